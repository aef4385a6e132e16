//! Users who look closely at jobs that have just changed.

use crate::{Act, World};
use rand::Rng;

/// What a user asks who looks closely.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Look {
    Ask,
    SubmitAgain,
    Cancel,
}

/// Milliseconds within which users look again at what has just changed.
const LOOKS_WITHIN_MS: u64 = 12;

/// Looks at each controller.
const LOOKS: usize = 4;

/// One job in so many is called off at once after its acceptance.
const CALLED_OFF_PART: u32 = 8;

impl World {
    /// Users ask at all controllers, repeat the submission, and some call the job off.
    pub(crate) fn look_closely(&mut self, id: &str, accepted: bool) {
        for n in 0..self.controllers.len() {
            for _ in 0..LOOKS {
                let delay = self.rng.gen_range(0..LOOKS_WITHIN_MS);
                self.at(
                    delay,
                    Act::Look {
                        controller: n,
                        job: id.to_string(),
                        look: Look::Ask,
                    },
                );
            }
            let delay = self.rng.gen_range(0..LOOKS_WITHIN_MS);
            self.at(
                delay,
                Act::Look {
                    controller: n,
                    job: id.to_string(),
                    look: Look::SubmitAgain,
                },
            );
        }
        let over = self.told.get(id).is_some_and(|t| t.done);
        if over || accepted && self.rng.gen_ratio(1, CALLED_OFF_PART) {
            let n = self.rng.gen_range(0..self.controllers.len());
            let delay = self.rng.gen_range(0..LOOKS_WITHIN_MS);
            self.at(
                delay,
                Act::Look {
                    controller: n,
                    job: id.to_string(),
                    look: Look::Cancel,
                },
            );
        }
    }

    pub(crate) fn look(&mut self, n: usize, id: &str, look: Look) {
        match look {
            Look::Ask => {
                self.status(n, id);
            }
            Look::SubmitAgain => {
                if let Some(spec) = self.specs.get(id).cloned() {
                    self.submit(n, spec);
                }
            }
            Look::Cancel => {
                self.cancel(n, id);
            }
        }
    }

    /// A task has ended: some call the job off at the moment at which the last one does.
    pub(crate) fn ends(&mut self, job: &str) {
        let share = self.cancelled_at_end;
        if share > 0.0 && self.all_done(job) && self.chance(share) {
            for n in 0..self.controllers.len() {
                let delay = self.rng.gen_range(0..600);
                self.at(
                    delay,
                    Act::Look {
                        controller: n,
                        job: job.to_string(),
                        look: Look::Cancel,
                    },
                );
            }
        }
    }
}
