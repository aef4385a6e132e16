//! A controller follows the configuration on record: takes versions up, says which one it decides by, and
//! lets operators put configurations on record once every controller reads them.

use crate::configuration::{ConfigurationEnabledRecord, ObservedVersionRecord, Taken};
use crate::controller::{Controller, PendingOperation, RequestClass};
use crate::scheduling::deferral::CachedQueueOrder;
use crate::state::formats;
use crate::state::{Key, Record, TransactionBuilder};

impl Controller {
    /// Takes up the configuration that the cache shows; before anything is decided by a copy that changed.
    /// While the records are read page by page the cache may show a part of one.
    pub(crate) fn apply_stored_configuration(&mut self) {
        if !self.sync.has_listed || !self.settings.checks.configuration {
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
                self.scheduling.queue_order = CachedQueueOrder::default();
                self.scheduling.pass_requested = true;
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

    /// Says that configurations may be on record, where every controller reads them and nobody has said it yet.
    pub(crate) fn draft_configuration_enabled(&self, draft: &mut TransactionBuilder) {
        if self.cache.format() >= formats::STORED_CONFIGURATION && !self.cache.is_configurable() {
            let version = formats::STORED_CONFIGURATION;
            let record = Record::ConfigurationEnabled(ConfigurationEnabledRecord { version });
            draft.put(Key::ConfigurationEnabled, record);
        }
    }

    /// Puts on record, once, that configurations may be, and the version that this controller follows.
    pub(crate) fn record_observed_version(&mut self) {
        if self.cache.format() < formats::STORED_CONFIGURATION {
            return;
        }
        let settled = self.cache.mod_revision(&Key::CancellationConfirmation) > 0;
        if settled && !self.cache.is_configurable() && !self.upgrade.configurable_busy {
            let mut draft = TransactionBuilder::new(&self.cache);
            self.draft_configuration_enabled(&mut draft);
            let transaction = draft.finish();
            self.upgrade.configurable_busy = true;
            self.commit(
                transaction,
                PendingOperation::EnableConfiguration,
                RequestClass::Housekeeping,
            );
        }
        let version = self.settings.policy.version;
        let on_record = self.cache.followed_by(&self.settings.controller);
        if self.configuration.should_tell(version, on_record) {
            let mut draft = TransactionBuilder::new(&self.cache);
            let key = Key::ObservedVersion(self.settings.controller.clone());
            draft.put(
                key,
                Record::ObservedVersion(ObservedVersionRecord { version }),
            );
            let transaction = draft.finish();
            self.commit(
                transaction,
                PendingOperation::RecordObservedVersion,
                RequestClass::Result,
            );
        }
    }
}
