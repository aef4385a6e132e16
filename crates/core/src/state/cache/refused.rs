//! Records that the state service refused to store.

use super::StateCache;
use crate::constants::REFUSED_RECORDS_KEPT;
use crate::state::Key;

impl StateCache {
    /// A record is not to be written again as it stands now.
    pub fn fence_start(&mut self, key: Key) {
        let mod_revision = self.mod_revision(&key);
        let mut barred = std::mem::take(&mut self.barred);
        barred.retain(|key, at| *at == self.mod_revision(key));
        self.barred = barred;
        if self.barred.len() < REFUSED_RECORDS_KEPT {
            self.barred.insert(key, mod_revision);
        }
    }

    /// Refused records are tried once more: the limits may have been raised.
    pub fn retry_refused(&mut self) {
        self.barred.clear();
    }

    /// Whether that holds: once somebody has changed it, it is tried again.
    pub fn is_refused(&self, key: &Key) -> bool {
        let at = self.barred.get(key);
        at.is_some_and(|at| *at == self.mod_revision(key))
    }
}
