//! The schedule of scheduling passes, and what is kept from one to the next.

use crate::model::Millis;
use crate::scheduling::deferral::CachedQueueOrder;
use crate::scheduling::rescheduling::MigrationHistory;

/// When the next scheduling pass is due, and what is kept from earlier ones.
pub(crate) struct Schedule {
    /// The order of the queue, kept for a moment.
    pub(crate) queue_order: CachedQueueOrder,
    /// Whether the last scheduling pass found pending work.
    pub(crate) has_pending_work: bool,
    /// When tasks were last preempted.
    pub(crate) last_preemption_at: Millis,
    /// Since when no work is pending and nothing is being provisioned.
    pub(crate) idle_since: Millis,
    /// Migrations made lately, and when the next may be made.
    pub(crate) migrations: MigrationHistory,
    /// A pass is due at once.
    pub(crate) pass_requested: bool,
    /// A pass is due then in any case.
    pub(crate) next_pass_at: Millis,
}

impl Schedule {
    /// The schedule of a controller that starts: its first pass is due.
    pub(crate) fn new(now: Millis) -> Schedule {
        Schedule {
            queue_order: CachedQueueOrder::default(),
            has_pending_work: false,
            last_preemption_at: now,
            idle_since: now,
            migrations: MigrationHistory::new(now),
            pass_requested: false,
            next_pass_at: now,
        }
    }

    /// Makes the next pass due then, unless it is due earlier.
    pub(crate) fn pass_no_later_than(&mut self, at: Millis) {
        self.next_pass_at = self.next_pass_at.min(at);
    }
}
