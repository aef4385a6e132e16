//! Follow-up requests: users who ask about a job right after it was accepted, cancelled or completed.

use crate::{Action, Simulation};
use rand::Rng;

/// Milliseconds within which users send follow-up requests.
const FOLLOW_UP_WITHIN_MS: u64 = 12;
/// Status requests to each controller.
const STATUS_REQUESTS: usize = 4;
/// One accepted job in this many is cancelled at once.
const CANCELLED_PART: u32 = 8;
/// Milliseconds within which users cancel a job whose last task has completed.
const CANCEL_WITHIN_MS: u64 = 600;

/// What a user asks in a follow-up request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FollowUp {
    Status,
    Resubmit,
    Cancel,
}

impl Simulation {
    /// Schedules follow-up requests: status requests and a repeated submission at every controller; some users
    /// cancel the job.
    pub(crate) fn schedule_follow_ups(&mut self, job: &str, is_new: bool) {
        for controller in 0..self.controllers.len() {
            for _ in 0..STATUS_REQUESTS {
                self.schedule_follow_up(FOLLOW_UP_WITHIN_MS, controller, job, FollowUp::Status);
            }
            self.schedule_follow_up(FOLLOW_UP_WITHIN_MS, controller, job, FollowUp::Resubmit);
        }
        let is_completed = self.user_views.get(job).is_some_and(|view| view.completed);
        if is_completed || is_new && self.rng.gen_ratio(1, CANCELLED_PART) {
            let controller = self.rng.gen_range(0..self.controllers.len());
            self.schedule_follow_up(FOLLOW_UP_WITHIN_MS, controller, job, FollowUp::Cancel);
        }
    }

    fn schedule_follow_up(&mut self, within_ms: u64, controller: usize, job: &str, kind: FollowUp) {
        let delay_ms = self.rng.gen_range(0..within_ms);
        let action = Action::FollowUp {
            controller,
            job: job.to_string(),
            kind,
        };
        self.schedule(delay_ms, action);
    }

    /// A user sends a follow-up request.
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

    /// A task has completed. If it was its job's last one, users cancel a share of such jobs at this moment.
    pub(crate) fn cancel_completed_job(&mut self, job: &str) {
        let share = self.cancel_at_completion;
        if share > 0.0 && self.is_complete(job) && self.chance(share) {
            for controller in 0..self.controllers.len() {
                self.schedule_follow_up(CANCEL_WITHIN_MS, controller, job, FollowUp::Cancel);
            }
        }
    }
}
