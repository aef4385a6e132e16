//! Urgency: the order in which a scheduling pass serves pending work.

use crate::model::{JobPriority, WallMs};
use std::cmp::{Ordering, Reverse};

/// The urgency of pending work. Work of production priority is served first, then work within its team's
/// guarantee; further ties are broken by higher priority, by not being deferred, and by the earliest due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// The job's priority, or the higher priority that it inherits from jobs that depend on it.
    pub priority: Reverse<JobPriority>,
    /// Whether its first task would take the team's usage beyond the team's guarantee.
    pub is_borrowed: bool,
    /// Whether it is served after the other work of its priority, because capacity is too short for all of that
    /// work and serving this first would make most of it miss its goals.
    pub is_deferred: bool,
    /// The wall-clock time by which it should start.
    pub due: WallMs,
}

impl Urgency {
    /// Returns the sort key. Work within a guarantee precedes borrowed work regardless of priority: borrowed work
    /// is preempted for guaranteed work, and if it came first it would claim the freed capacity again at once
    /// and be preempted again.
    fn sort_key(&self) -> impl Ord {
        let is_batch = self.priority.0 != JobPriority::Production;
        (
            is_batch,
            self.is_borrowed,
            self.priority,
            self.is_deferred,
            self.due,
        )
    }

    /// Returns whether both are served in the same group, that is, they differ at most in their due times.
    pub fn is_same_group(&self, other: &Urgency) -> bool {
        (self.priority, self.is_borrowed, self.is_deferred)
            == (other.priority, other.is_borrowed, other.is_deferred)
    }
}

impl PartialOrd for Urgency {
    fn partial_cmp(&self, other: &Urgency) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Urgency {
    fn cmp(&self, other: &Urgency) -> Ordering {
        self.sort_key().cmp(&other.sort_key())
    }
}
