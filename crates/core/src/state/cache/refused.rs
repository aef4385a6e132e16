//! Records that the state service refused to store.

use super::StateCache;
use crate::constants::REFUSED_RECORDS_MAX;
use crate::state::Key;

impl StateCache {
    /// The state service refused a record: it is not to be written again as it is now.
    pub fn mark_refused(&mut self, key: Key) {
        let mod_revision = self.mod_revision(&key);
        let mut refused = std::mem::take(&mut self.refused);
        refused.retain(|key, at| *at == self.mod_revision(key));
        self.refused = refused;
        if self.refused.len() < REFUSED_RECORDS_MAX {
            self.refused.insert(key, mod_revision);
        }
    }

    /// Refused records are tried once more: the limits may have been raised.
    pub fn retry_refused(&mut self) {
        self.refused.clear();
    }

    /// Whether a record was refused and has not changed since: then it is not written.
    pub fn is_refused(&self, key: &Key) -> bool {
        let refused_at = self.refused.get(key);
        refused_at.is_some_and(|at| *at == self.mod_revision(key))
    }
}
