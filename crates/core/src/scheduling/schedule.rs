//! The schedule of scheduling passes and the state that is kept between passes.

use crate::model::Millis;
use crate::scheduling::deferral::CachedQueueOrder;
use crate::scheduling::rescheduling::MigrationHistory;

/// The time of the next scheduling pass and the state kept from earlier passes.
pub(crate) struct Schedule {
    /// The cached queue order, which expires after `QUEUE_ORDER_CACHE_MS`.
    pub(crate) queue_order: CachedQueueOrder,
    /// Whether the last scheduling pass found pending work.
    pub(crate) has_pending_work: bool,
    /// When this controller last preempted tasks.
    pub(crate) last_preemption_at: Millis,
    /// The time since which no work has been pending and no instance request has been open.
    pub(crate) idle_since: Millis,
    /// Recent migrations and the time of the last migration round.
    pub(crate) migrations: MigrationHistory,
    /// Whether a pass is due at once.
    pub(crate) pass_requested: bool,
    /// The time at which the next pass is due even if none is requested.
    pub(crate) next_pass_at: Millis,
}

impl Schedule {
    /// Creates the schedule of a controller that starts at `now`, with its first pass due at once.
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

    /// Makes the next pass due at `at`, unless it is due earlier.
    pub(crate) fn schedule_pass_by(&mut self, at: Millis) {
        self.next_pass_at = self.next_pass_at.min(at);
    }
}
