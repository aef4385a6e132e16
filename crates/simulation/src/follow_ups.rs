//! Follow-up requests: users send requests about a job right after its acceptance, cancellation or completion.

use crate::{Action, Simulation};
use rand::Rng;

/// Time within which users send follow-up requests.
const FOLLOW_UP_WINDOW_MS: u64 = 12;
/// Number of status requests to each controller.
const STATUS_REQUESTS: usize = 4;
/// Number of accepted jobs of which users cancel one at once.
const CANCELLED_DIVISOR: u32 = 8;
/// Time within which users cancel a job whose last task has completed.
const CANCEL_WINDOW_MS: u64 = 600;

/// A kind of follow-up request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FollowUp {
    Status,
    Resubmit,
    Cancel,
}

impl Simulation {
    /// Schedules status requests and a repeated submission at every controller. Some users cancel the job.
    pub(crate) fn schedule_follow_ups(&mut self, job: &str, is_new: bool) {
        for controller in 0..self.controllers.len() {
            for _ in 0..STATUS_REQUESTS {
                self.schedule_follow_up(FOLLOW_UP_WINDOW_MS, controller, job, FollowUp::Status);
            }
            self.schedule_follow_up(FOLLOW_UP_WINDOW_MS, controller, job, FollowUp::Resubmit);
        }
        let is_completed = self.user_views.get(job).is_some_and(|view| view.completed);
        if is_completed || is_new && self.rng.gen_ratio(1, CANCELLED_DIVISOR) {
            let controller = self.rng.gen_range(0..self.controllers.len());
            self.schedule_follow_up(FOLLOW_UP_WINDOW_MS, controller, job, FollowUp::Cancel);
        }
    }

    /// Schedules a follow-up request at a random time within a window.
    fn schedule_follow_up(&mut self, window_ms: u64, controller: usize, job: &str, kind: FollowUp) {
        let delay_ms = self.rng.gen_range(0..window_ms);
        let action = Action::FollowUp {
            controller,
            job: job.to_string(),
            kind,
        };
        self.schedule(delay_ms, action);
    }

    /// Sends a follow-up request.
    pub(crate) fn send_follow_up(&mut self, controller: usize, job: &str, kind: FollowUp) {
        match kind {
            FollowUp::Status => {
                self.status(controller, job);
            }
            FollowUp::Resubmit => {
                if let Some(spec) = self.job_specs.get(job).cloned() {
                    self.submit(controller, spec);
                }
            }
            FollowUp::Cancel => {
                self.cancel(controller, job);
            }
        }
    }

    /// Lets users cancel a share of the jobs whose last task has just completed.
    pub(crate) fn cancel_completed_job(&mut self, job: &str) {
        let share = self.cancel_at_completion;
        if share > 0.0 && self.is_complete(job) && self.chance(share) {
            for controller in 0..self.controllers.len() {
                self.schedule_follow_up(CANCEL_WINDOW_MS, controller, job, FollowUp::Cancel);
            }
        }
    }
}
