//! Copies of direct commands that a worker has executed and answered: they arrive again, as the network may deliver
//! them, and nobody waits for their answer.

use super::{Worker, WorkerFleet};
use crate::protocol::workers::DirectCommand;
use crate::sync::lock;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use tokio::time::{sleep, Duration};

/// Delays after which a copy arrives, in milliseconds: at once, within a lease, or long after.
const COPY_DELAYS_MS: [Range<u64>; 3] = [1..1_000, 1_000..10_000, 10_000..60_000];
/// Maximum number of copies of one command.
const COPIES_MAX: usize = 3;
/// Number by which the stored share is multiplied.
const SHARE_SCALE: f64 = 1e6;

/// The share of the direct commands of which copies arrive.
#[derive(Default)]
pub struct CommandCopies {
    share_in_millionths: AtomicU64,
}

impl CommandCopies {
    /// Sets the share, from 0 to 1, of the commands executed from now on.
    pub fn set_share(&self, share: f64) {
        let millionths = (share * SHARE_SCALE) as u64;
        self.share_in_millionths.store(millionths, Relaxed);
    }

    fn share(&self) -> f64 {
        self.share_in_millionths.load(Relaxed) as f64 / SHARE_SCALE
    }
}

impl WorkerFleet {
    /// Lets copies of an executed command arrive later, if the fault in force draws it.
    pub(super) fn repeat_later(self: &Arc<Self>, worker: &Arc<Worker>, command: DirectCommand) {
        let share = self.command_copies.share();
        if share == 0.0 || self.environment.draw(0.0..1.0) >= share {
            return;
        }
        let command = Arc::new(command);
        for _ in 0..self.environment.draw(1..=COPIES_MAX) {
            let delays = COPY_DELAYS_MS[self.environment.draw(0..COPY_DELAYS_MS.len())].clone();
            let delay = Duration::from_millis(self.environment.draw(delays));
            let (fleet, worker, command) = (self.clone(), worker.clone(), command.clone());
            tokio::spawn(async move {
                sleep(delay).await;
                fleet.deliver_copy(&worker, &command);
            });
        }
    }

    fn deliver_copy(&self, worker: &Worker, command: &DirectCommand) {
        let (Some(token), Some(incarnation)) = (command.fencing_token, command.incarnation) else {
            return;
        };
        let environment = &self.environment;
        let mut state = lock(&worker.state);
        if !worker.is_powered() {
            return;
        }
        let (jobs, now_ms) = (&environment.jobs, environment.now_ms());
        let outcome =
            state.apply_direct_command(token, incarnation, &command.commands, jobs, now_ms);
        let name = match outcome {
            Ok(events) => {
                environment.record_worker_events(&worker.placement, events);
                "copies executed"
            }
            Err(_) => "copies refused",
        };
        environment.worker_messages.add(name, 1);
        worker.wake();
    }
}
