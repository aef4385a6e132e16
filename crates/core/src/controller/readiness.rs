//! Whether a controller has heard and read enough since its start, or since it was paused, to decide anything.

use crate::controller::Controller;
use crate::model::Millis;
use crate::workers::observations::Liveness;

impl Controller {
    /// Whether a round of reports has come in since the start, or since it was paused: what was
    /// not heard by then is silent, and what is not there is missing.
    pub(crate) fn has_heard_full_round(&self) -> bool {
        !self.settings.checks.round
            || self.now - self.lifecycle.resumed_at >= self.settings.report_due_ms()
    }

    /// Whether a machine's own report has come in since then, here or at a peer. Work is placed
    /// on it before all others have reported.
    pub(crate) fn has_reported_since_resume(&self, sight: &Liveness) -> bool {
        let since = |at: Millis| at >= self.lifecycle.resumed_at;
        let round = self.now - self.lifecycle.resumed_at >= self.settings.report_due_ms();
        !self.settings.checks.heard || round || sight.last_heartbeat_at().is_some_and(since)
    }

    /// Whether the cache holds all that the reading page by page met.
    pub(crate) fn has_synced(&self) -> bool {
        !self.settings.checks.caught_up || self.cache.revision >= self.sync.list.high
    }
}
