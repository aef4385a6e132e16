//! How urgent waiting work is: the order in which the scheduling pass serves it.

use crate::model::{JobPriority, WallMs};

/// Order in which work is served: services; then what is within its team's guarantee; then higher rank, what
/// is not put off, and what is due earliest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    pub priority: std::cmp::Reverse<JobPriority>,
    pub borrowed: bool,
    /// There is not room for all of its rank in time, and most would miss if it went first.
    pub put_off: bool,
    pub due: WallMs,
}

impl Urgency {
    /// What is within a guarantee goes before what is borrowed, whatever the ranks: the latter is stopped for
    /// it, and would else take the room again at once, and be stopped again.
    fn turn(&self) -> impl Ord {
        let later = self.priority.0 != JobPriority::Production;
        (later, self.borrowed, self.priority, self.put_off, self.due)
    }
}

impl PartialOrd for Urgency {
    fn partial_cmp(&self, other: &Urgency) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Urgency {
    fn cmp(&self, other: &Urgency) -> std::cmp::Ordering {
        self.turn().cmp(&other.turn())
    }
}

pub fn same_class(a: &Urgency, b: &Urgency) -> bool {
    (a.priority, a.borrowed, a.put_off) == (b.priority, b.borrowed, b.put_off)
}
