//! How far the state cache is known to be current: the list, the watch, and answers of the state service.

use crate::model::Millis;
use crate::state::sync::ListProgress;
use std::collections::VecDeque;

/// How far the state cache is known to be current: the list, the watch, and answers of the state service.
pub(crate) struct ListWatch {
    /// All records were read once, and the watch goes on from there.
    pub(crate) has_listed: bool,
    /// The list under way.
    pub(crate) list: ListProgress,
    /// When the state service last answered a request that was sent since the last pause.
    pub(crate) last_response_at: Option<Millis>,
    /// Since when the watch is behind a revision that a read proved.
    pub(crate) watch_lag_since: Option<Millis>,
    /// When the watch was last opened.
    pub(crate) watch_opened_at: Millis,
    /// Revisions and when they became known here.
    pub(crate) revision_times: VecDeque<(u64, Millis)>,
}

impl ListWatch {
    pub(crate) fn new(now: Millis) -> ListWatch {
        ListWatch {
            has_listed: false,
            list: ListProgress::default(),
            last_response_at: None,
            watch_lag_since: None,
            watch_opened_at: now,
            revision_times: VecDeque::new(),
        }
    }
}
