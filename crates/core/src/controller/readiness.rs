//! Whether a node has heard and read enough since its start, or since it stood still, to decide anything.

use crate::controller::Node;
use crate::model::Millis;
use crate::workers::observations::Liveness;

impl Node {
    /// Whether a round of reports has come in since the start, or since it stood still: what was
    /// not heard by then is silent, and what is not there is missing.
    pub(crate) fn settled(&self) -> bool {
        !self.settings.checks.round || self.now - self.woke >= self.settings.report_due_ms()
    }

    /// Whether a machine's own report has come in since then, here or at a sibling. Work is placed
    /// on it before all others have reported.
    pub(crate) fn reported(&self, sight: &Liveness) -> bool {
        let since = |at: Millis| at >= self.woke;
        let round = self.now - self.woke >= self.settings.report_due_ms();
        !self.settings.checks.heard || round || sight.check_in().is_some_and(since)
    }

    /// Whether the copy holds all that the reading page by page met.
    pub(crate) fn caught_up_since_reading(&self) -> bool {
        !self.settings.checks.caught_up || self.cache.epoch >= self.reading.high
    }
}
