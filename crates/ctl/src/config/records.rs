//! Reads the records in the state store that concern configurations, and commits changes.

use super::{ConfigFailure, RolloutStatus};
use crate::state_client::{CommitOutcome, StateClient, StoredItem};
use glenmount_core::configuration::{
    self, ConfigurationPageRecord, ConfigurationVersionRecord, PolicySettings,
    CONFIGURATION_SCHEMA_VERSION,
};
use glenmount_core::model::JobSpec;
use glenmount_core::state::formats;
use glenmount_core::state::{CasTransaction, Key, Record, StateCache};
use std::collections::BTreeMap;

/// Largest number of records that are read, many times the number that a site has after two years.
const MAX_RECORDS: usize = 20_000_000;
/// Changes of one transaction that removes outdated pages.
const PAGES_REMOVED_PER_TRANSACTION: usize = 3;

/// The stored configuration.
#[derive(Debug, Clone)]
pub struct CurrentConfiguration {
    /// The record of the current version and the kept ones.
    pub record: ConfigurationVersionRecord,
    /// The record's revision.
    pub revision: u64,
    /// The settings of the current version.
    pub settings: PolicySettings,
}

/// Access to the configuration in the state store, without a cache.
pub struct ConfigurationStore {
    client: StateClient,
}

impl ConfigurationStore {
    /// Creates the access to the state store at an address without a request.
    pub fn new(address: &str) -> ConfigurationStore {
        ConfigurationStore {
            client: StateClient::new(address),
        }
    }

    pub(super) fn commit(
        &self,
        transaction: &CasTransaction,
    ) -> Result<CommitOutcome, ConfigFailure> {
        Ok(self.client.commit(transaction)?)
    }

    /// Returns the stored configuration, if there is one.
    ///
    /// # Errors
    ///
    /// `Failed` if it cannot be read or has a later schema version.
    pub fn current(&self) -> Result<Option<CurrentConfiguration>, ConfigFailure> {
        let Some(stored) = self.client.value(&Key::Configuration)? else {
            return Ok(None);
        };
        let revision = stored.revision;
        let Some((_, Record::Configuration(record))) = stored.record() else {
            let reason = "the configuration on record can't be read";
            return Err(ConfigFailure::Failed(reason.into()));
        };
        if record.schema_version > CONFIGURATION_SCHEMA_VERSION {
            let reason = format!(
                "schema version {} is later than this program reads",
                record.schema_version
            );
            return Err(ConfigFailure::Failed(reason));
        }
        let settings = self.pages(record.version, record.pages)?.ok_or_else(|| {
            ConfigFailure::Failed("pages of the configuration on record are missing".into())
        })?;
        Ok(Some(CurrentConfiguration {
            record,
            revision,
            settings,
        }))
    }

    /// Returns the settings of the current version or a kept one.
    ///
    /// # Errors
    ///
    /// `Failed` if the state store cannot be read.
    pub fn version(
        &self,
        record: &ConfigurationVersionRecord,
        version: u64,
    ) -> Result<Option<PolicySettings>, ConfigFailure> {
        let kept = record.kept.iter().find(|kept| kept.version == version);
        let pages = match kept {
            Some(kept) => kept.pages,
            None if record.version == version => record.pages,
            None => return Ok(None),
        };
        self.pages(version, pages)
    }

    fn pages(&self, version: u64, count: u32) -> Result<Option<PolicySettings>, ConfigFailure> {
        let mut pages: Vec<ConfigurationPageRecord> = Vec::new();
        for n in 0..count {
            let stored = self.client.value(&Key::ConfigurationPage(version, n))?;
            match stored.and_then(StoredItem::record) {
                Some((_, Record::ConfigurationPage(page))) => pages.push(page),
                _ => return Ok(None),
            }
        }
        Ok(Some(configuration::settings_from_pages(&pages)))
    }

    /// Returns the revision of the record that marks that every controller reads configurations.
    pub(super) fn enabled_revision(&self) -> Result<Option<u64>, ConfigFailure> {
        let stored = self.client.value(&Key::ConfigurationEnabled)?;
        Ok(stored.map(|stored| stored.revision))
    }

    /// Returns the accepted jobs that have not ended.
    ///
    /// # Errors
    ///
    /// `Failed` if the state store cannot be read.
    pub fn open_jobs(&self) -> Result<Vec<JobSpec>, ConfigFailure> {
        let stored = self.client.list("g/job/", MAX_RECORDS)?;
        let open = stored
            .into_iter()
            .filter_map(|stored| match stored.record()? {
                (_, Record::Job(job)) => job.open_spec().cloned(),
                _ => None,
            });
        Ok(open.collect())
    }

    /// Returns the jobs and their assignments as a controller's cache holds them.
    pub(super) fn task_cache(&self) -> Result<StateCache, ConfigFailure> {
        let mut cache = StateCache::default();
        for prefix in ["g/job/", "g/chunk/"] {
            for stored in self.client.list(prefix, MAX_RECORDS)? {
                let revision = stored.revision;
                if let Some((key, record)) = stored.record() {
                    cache.put(key, revision, record);
                }
            }
        }
        Ok(cache)
    }

    /// Returns which controllers have observed a version or a later one.
    ///
    /// # Errors
    ///
    /// `Failed` if the state store cannot be read.
    pub fn rollout_status(&self, version: u64) -> Result<RolloutStatus, ConfigFailure> {
        let mut versions: BTreeMap<String, u64> = BTreeMap::new();
        for stored in self.client.list("g/format/", MAX_RECORDS)? {
            if let Some(Key::Format(controller)) = Key::parse(&stored.key) {
                versions.insert(controller, 0);
            }
        }
        for stored in self.client.list("g/following/", MAX_RECORDS)? {
            if let Some((Key::ObservedVersion(controller), Record::ObservedVersion(record))) =
                stored.record()
            {
                versions.insert(controller, record.version);
            }
        }
        let (up_to_date, outdated): (Vec<_>, Vec<_>) = versions
            .into_iter()
            .partition(|(_, observed)| *observed >= version);
        let names = |controllers: Vec<(String, u64)>| {
            controllers
                .into_iter()
                .map(|(controller, _)| controller)
                .collect()
        };
        Ok(RolloutStatus {
            up_to_date: names(up_to_date),
            outdated: names(outdated),
        })
    }

    /// Removes the pages of versions that are no longer kept. Stops at an error; the next change removes the rest.
    pub(super) fn remove_outdated(&self) {
        let Ok(Some(current)) = self.current() else {
            return;
        };
        let stored = self.client.list("g/configuration/", MAX_RECORDS);
        let pages = stored.into_iter().flatten().filter_map(|stored| {
            let Some(Key::ConfigurationPage(version, n)) = Key::parse(&stored.key) else {
                return None;
            };
            Some((version, n))
        });
        let pages: Vec<(u64, u32)> = pages.collect();
        let outdated = configuration::outdated_pages(&current.record, pages.iter());
        for keys in outdated.chunks(PAGES_REMOVED_PER_TRANSACTION) {
            let transaction = CasTransaction {
                conditions: vec![(Key::Configuration, current.revision)],
                changes: keys.iter().map(|key| (key.clone(), None)).collect(),
                format: formats::STORED_CONFIGURATION,
            };
            if !matches!(
                self.client.commit(&transaction),
                Ok(CommitOutcome::Committed)
            ) {
                return;
            }
        }
    }
}
