//! A node follows the configuration on record: takes versions up, says which one it decides by, and
//! lets operators put configurations on record once every node reads them.

use crate::configuration::{ConfigurableRecord, FollowingRecord, Taken};
use crate::controller::*;
use crate::scheduling::placement::KeptTurns;
use crate::state::formats;
use crate::state::*;

impl Node {
    /// Takes up the configuration that the copy shows; before anything is decided by a copy that changed.
    /// While the records are read page by page the copy may show a part of one.
    pub(crate) fn follow_configuration(&mut self) {
        if !self.loaded || !self.settings.checks.configuration {
            return;
        }
        match self.configuration.take(&self.cache) {
            Taken::Unchanged => {}
            Taken::InForce(policy) => {
                let (version, teams) = (policy.version, policy.teams.len());
                tracing::info!(version, teams, "configuration in force");
                if self.configuration.differs_from_file(&policy) {
                    tracing::info!(
                        version,
                        "it differs from the settings file, which is passed over"
                    );
                }
                self.settings.policy = policy;
                self.turns = KeptTurns::default();
                self.lookup_wanted = true;
            }
            Taken::Unreadable(error) => {
                let error = error.to_string();
                tracing::error!(
                    error,
                    "the configuration on record can't be read: nothing is claimed"
                );
            }
        }
    }

    /// Says that configurations may be on record, where every node reads them and nobody has said it yet.
    pub(crate) fn draft_configurable(&self, draft: &mut TransactionBuilder) {
        if self.cache.format() >= formats::CONFIGURABLE && !self.cache.is_configurable() {
            let version = formats::CONFIGURABLE;
            let record = Record::Configurable(ConfigurableRecord { version });
            draft.put(Key::Configurable, record);
        }
    }

    /// Puts on record, once, that configurations may be, and the version that this node follows.
    pub(crate) fn note_configuration(&mut self) {
        if self.cache.format() < formats::CONFIGURABLE {
            return;
        }
        let settled = self.cache.stamp(&Key::Settled) > 0;
        if settled && !self.cache.is_configurable() && !self.upgrade.configurable_busy {
            let mut draft = TransactionBuilder::new(&self.cache);
            self.draft_configurable(&mut draft);
            let txn = draft.finish();
            self.upgrade.configurable_busy = true;
            self.commit(txn, Purpose::Configurable, Priority::Housekeeping);
        }
        let version = self.settings.policy.version;
        let on_record = self.cache.followed_by(&self.settings.node);
        if self.configuration.should_tell(version, on_record) {
            let mut draft = TransactionBuilder::new(&self.cache);
            let key = Key::Following(self.settings.node.clone());
            draft.put(key, Record::Following(FollowingRecord { version }));
            let txn = draft.finish();
            self.commit(txn, Purpose::Following, Priority::Result);
        }
    }
}
