//! Whether workers reach this controller, as far as it can tell by itself.

use crate::constants::{
    COMMAND_LIMIT_MS, PARTITION_PROBE_INTERVAL_MS, PARTITION_UNANSWERED_COMMANDS,
};
use crate::model::Millis;

#[derive(Debug)]
pub(crate) struct WorkerReachability {
    /// Direct commands without an answer since workers were last heard from, in a row.
    unanswered: u32,
    /// When a worker last reported here, or answered.
    heard_at: Millis,
    /// Until when it was cut off from them, as a gap between these shows.
    deaf_until: Millis,
    /// When it last asked a machine whether it is heard again.
    asked_at: Millis,
}

impl WorkerReachability {
    pub fn new(now: Millis) -> WorkerReachability {
        WorkerReachability {
            unanswered: 0,
            heard_at: now,
            deaf_until: 0,
            asked_at: now,
        }
    }

    /// Milliseconds since a worker was heard.
    pub fn gap(&self, now: Millis) -> Millis {
        now - self.heard_at
    }

    /// A worker has reported here, or answered. `longest`: the longest gap that is no sign of a cut.
    pub fn heard(&mut self, now: Millis, longest: Millis) {
        if self.gap(now) > longest {
            self.deaf_until = now;
        }
        (self.unanswered, self.heard_at) = (0, now);
    }

    /// A direct command got no answer.
    pub fn handle_state_timeout(&mut self) {
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Too many in a row did.
    pub fn is_doubtful(&self) -> bool {
        self.unanswered >= PARTITION_UNANSWERED_COMMANDS
    }

    /// Whether a question that failed says nothing of its machine: no worker was heard since, or it was
    /// sent in the last moments of a cut, and failed with the rest.
    pub fn failed_alone(&self, at: Millis) -> bool {
        self.heard_at <= at || at <= self.deaf_until + 2 * COMMAND_LIMIT_MS
    }

    /// Whether to ask a machine now if it is heard again.
    pub fn asks(&mut self, now: Millis) -> bool {
        let asks = self.is_doubtful() && now >= self.asked_at + PARTITION_PROBE_INTERVAL_MS;
        if asks {
            self.asked_at = now;
        }
        asks
    }

    /// After a pause the silence was its own.
    pub fn reset_after_pause(&mut self) {
        self.unanswered = 0;
    }
}
