//! When the next scheduling pass is due, and what earlier ones left.

use crate::model::Millis;
use crate::scheduling::deferral::CachedQueueOrder;
use crate::scheduling::rescheduling::Moves;

/// When the next scheduling pass is due, and what earlier ones left.
pub(crate) struct Schedule {
    /// The order found by the last pass, kept for a moment.
    pub(crate) queue_order: CachedQueueOrder,
    /// Whether the last scheduling pass found anything waiting.
    pub(crate) has_pending_work: bool,
    /// When tasks were last preempted.
    pub(crate) last_preemption_at: Millis,
    /// Since when nothing waits and nothing is being provisioned.
    pub(crate) idle_since: Millis,
    /// Migrations made lately.
    pub(crate) moves: Moves,
    /// A pass is due at once.
    pub(crate) pass_requested: bool,
    /// A pass is due then in any case.
    pub(crate) next_pass_at: Millis,
}

impl Schedule {
    pub(crate) fn new(now: Millis) -> Schedule {
        Schedule {
            queue_order: CachedQueueOrder::default(),
            has_pending_work: false,
            last_preemption_at: now,
            idle_since: now,
            moves: Moves::new(now),
            pass_requested: false,
            next_pass_at: now,
        }
    }
}
