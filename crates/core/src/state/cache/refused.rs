//! Tracks the records that the state store refused to store.

use super::StateCache;
use crate::constants::REFUSED_RECORDS_MAX;
use crate::state::Key;

impl StateCache {
    /// Marks a record as refused by the state store, so that the controller doesn't write it again
    /// until it has changed.
    pub fn mark_refused(&mut self, key: Key) {
        let mod_revision = self.mod_revision(&key);
        let mut refused = std::mem::take(&mut self.refused);
        refused.retain(|key, at| *at == self.mod_revision(key));
        self.refused = refused;
        if self.refused.len() < REFUSED_RECORDS_MAX {
            self.refused.insert(key, mod_revision);
        }
    }

    /// Clears all marks, so that the controller retries refused records: an operator may have
    /// raised the limits of the state store.
    pub fn retry_refused(&mut self) {
        self.refused.clear();
    }

    /// Returns whether the state store refused a record that hasn't changed since. The controller
    /// doesn't write such a record.
    pub fn is_refused(&self, key: &Key) -> bool {
        let refused_at = self.refused.get(key);
        refused_at.is_some_and(|at| *at == self.mod_revision(key))
    }
}
