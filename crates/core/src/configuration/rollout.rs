//! Rollout of configurations: a controller applies new versions on record, records the version that it
//! follows, and enables configurations on record once every controller reads them.

use crate::configuration::{
    ConfigurationEnabledRecord, ConfigurationUpdate, ObservedVersionRecord,
};
use crate::controller::{Controller, PendingOperation, RequestClass};
use crate::scheduling::deferral::CachedQueueOrder;
use crate::state::formats;
use crate::state::{Key, Record, TransactionBuilder};

impl Controller {
    /// Applies the configuration in the cache, before any decision that depends on a changed cache. The caller has
    /// completed a list: before that the cache may hold only a part of a configuration.
    pub(crate) fn apply_stored_configuration(&mut self) {
        if !self.settings.checks.stored_configuration {
            return;
        }
        match self.configuration.refresh(&self.cache) {
            ConfigurationUpdate::Unchanged => {}
            ConfigurationUpdate::InForce(policy) => {
                let (version, teams) = (policy.version, policy.teams.len());
                tracing::info!(version, teams, "configuration in force");
                if self.configuration.differs_from_file(&policy) {
                    tracing::info!(
                        version,
                        "configuration differs from settings file, which is ignored"
                    );
                }
                self.settings.policy = policy;
                self.scheduling.queue_order = CachedQueueOrder::default();
                self.scheduling.pass_requested = true;
            }
            ConfigurationUpdate::Unreadable(error) => {
                let error = error.to_string();
                tracing::error!(error, "stored configuration unreadable, claims suspended");
            }
        }
    }

    /// Adds the record that enables configurations on record to a draft, once every controller reads them.
    pub(crate) fn draft_configuration_enabled(&self, draft: &mut TransactionBuilder) {
        if self.cache.common_format() >= formats::STORED_CONFIGURATION
            && !self.cache.is_configuration_enabled()
        {
            let version = formats::STORED_CONFIGURATION;
            let record = Record::ConfigurationEnabled(ConfigurationEnabledRecord { version });
            draft.put(Key::ConfigurationEnabled, record);
        }
    }

    /// Enables configurations on record, if they are not, and records the version that this controller follows.
    pub(crate) fn record_observed_version(&mut self) {
        if self.cache.common_format() < formats::STORED_CONFIGURATION {
            return;
        }
        let is_confirmation_enabled = self.cache.mod_revision(&Key::CancellationConfirmation) > 0;
        if is_confirmation_enabled
            && !self.cache.is_configuration_enabled()
            && !self.upgrade.configuration_enabling_in_flight
        {
            let mut draft = TransactionBuilder::new(&self.cache);
            self.draft_configuration_enabled(&mut draft);
            let transaction = draft.finish();
            self.upgrade.configuration_enabling_in_flight = true;
            self.commit(
                transaction,
                PendingOperation::EnableConfiguration,
                RequestClass::Housekeeping,
            );
        }
        let version = self.settings.policy.version;
        let recorded = self.cache.observed_version(&self.settings.controller);
        if self
            .configuration
            .start_recording_version(version, recorded)
        {
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
