//! How urgent pending work is: the order in which a scheduling pass serves it.

use crate::model::{JobPriority, WallMs};
use std::cmp::{Ordering, Reverse};

/// Order in which pending work is served: services first; then work within its team's guarantee; then by
/// higher priority, work that is not deferred, and the earliest due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// The job's priority, or the higher one that it inherits from jobs which depend on it.
    pub priority: Reverse<JobPriority>,
    /// Its first task would take its team beyond the team's guarantee.
    pub borrowed: bool,
    /// The capacity does not suffice for all work of its priority in time, and most of that would miss its
    /// goals if this went first.
    pub is_deferred: bool,
    /// The time of day by which it should start.
    pub due: WallMs,
}

impl Urgency {
    /// Work within a guarantee goes before borrowed work, whatever their priorities: the latter is preempted
    /// for the former, and would otherwise take the capacity again at once, and be preempted again.
    fn sort_key(&self) -> impl Ord {
        let is_batch = self.priority.0 != JobPriority::Production;
        (
            is_batch,
            self.borrowed,
            self.priority,
            self.is_deferred,
            self.due,
        )
    }

    /// Whether both are served in the same group: they differ by their due times at most.
    pub fn is_same_group(&self, other: &Urgency) -> bool {
        (self.priority, self.borrowed, self.is_deferred)
            == (other.priority, other.borrowed, other.is_deferred)
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
