//! What the state service holds that concerns configurations.

use super::{ConfigFailure, Followers};
use crate::state_client::{CommitOutcome, StateClient, StoredItem};
use glenmount_core::configuration::{
    self, ConfigurationPageRecord, ConfigurationVersionRecord, PolicySettings,
    CONFIGURATION_SCHEMA_VERSION,
};
use glenmount_core::model::JobSpec;
use glenmount_core::state::formats;
use glenmount_core::state::{CasTransaction, Key, Record, StateCache};
use std::collections::BTreeMap;

/// Records read at most: many times what a site of two years has.
const MAX_RECORDS: usize = 20_000_000;
/// Changes of one transaction that removes pages nobody can go back to.
const PAGES_REMOVED_PER_TRANSACTION: usize = 3;

/// The configuration on record.
#[derive(Debug, Clone)]
pub struct Current {
    /// Which version is in force, and which are kept.
    pub record: ConfigurationVersionRecord,
    /// The record's revision.
    pub revision: u64,
    /// The version's settings.
    pub settings: PolicySettings,
}

/// The state service's records, read when they are asked for.
pub struct Records {
    service: StateClient,
}

impl Records {
    /// Of the state service at an address; nothing is read yet.
    pub fn new(address: &str) -> Records {
        Records {
            service: StateClient::new(address),
        }
    }

    pub(super) fn commit(
        &self,
        transaction: &CasTransaction,
    ) -> Result<CommitOutcome, ConfigFailure> {
        Ok(self.service.commit(transaction)?)
    }

    /// The configuration on record, if there is one; one that can't be read is an error.
    ///
    /// # Errors
    ///
    /// `Failed` if it can't be read, or a later program wrote it.
    pub fn current(&self) -> Result<Option<Current>, ConfigFailure> {
        let Some(stored) = self.service.value(&Key::Configuration)? else {
            return Ok(None);
        };
        let revision = stored.revision;
        let Some((_, Record::Configuration(record))) = stored.record() else {
            let why = "the configuration on record can't be read";
            return Err(ConfigFailure::Failed(why.into()));
        };
        if record.schema_version > CONFIGURATION_SCHEMA_VERSION {
            let why = format!(
                "form: {} is later than this program reads",
                record.schema_version
            );
            return Err(ConfigFailure::Failed(why));
        }
        let settings = self.pages(record.version, record.pages)?.ok_or_else(|| {
            ConfigFailure::Failed("pages of the configuration on record are missing".into())
        })?;
        Ok(Some(Current {
            record,
            revision,
            settings,
        }))
    }

    /// The settings of a version that is in force or kept.
    ///
    /// # Errors
    ///
    /// `Failed` if the state service can't be used.
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
            let stored = self.service.value(&Key::ConfigurationPage(version, n))?;
            match stored.and_then(StoredItem::record) {
                Some((_, Record::ConfigurationPage(page))) => pages.push(page),
                _ => return Ok(None),
            }
        }
        Ok(Some(configuration::settings_from_pages(&pages)))
    }

    /// The revision of the record that says that every controller reads configurations.
    pub(super) fn configurable_revision(&self) -> Result<Option<u64>, ConfigFailure> {
        let stored = self.service.value(&Key::ConfigurationEnabled)?;
        Ok(stored.map(|stored| stored.revision))
    }

    /// Jobs that were accepted and are not over.
    ///
    /// # Errors
    ///
    /// `Failed` if the state service can't be used.
    pub fn open_jobs(&self) -> Result<Vec<JobSpec>, ConfigFailure> {
        let stored = self.service.list("g/job/", MAX_RECORDS)?;
        let open = stored
            .into_iter()
            .filter_map(|stored| match stored.record()? {
                (_, Record::Job(job)) => job.open_spec().cloned(),
                _ => None,
            });
        Ok(open.collect())
    }

    /// Jobs and what is assigned of them, as a controller's cache would have them.
    pub(super) fn task_cache(&self) -> Result<StateCache, ConfigFailure> {
        let mut cache = StateCache::default();
        for under in ["g/job/", "g/chunk/"] {
            for stored in self.service.list(under, MAX_RECORDS)? {
                let revision = stored.revision;
                if let Some((key, record)) = stored.record() {
                    cache.put(key, revision, record);
                }
            }
        }
        Ok(cache)
    }

    /// Which controllers follow a version or a later one.
    ///
    /// # Errors
    ///
    /// `Failed` if the state service can't be used.
    pub fn followers(&self, version: u64) -> Result<Followers, ConfigFailure> {
        let mut versions: BTreeMap<String, u64> = BTreeMap::new();
        for stored in self.service.list("g/format/", MAX_RECORDS)? {
            if let Some(Key::Format(controller)) = Key::parse(&stored.key) {
                versions.insert(controller, 0);
            }
        }
        for stored in self.service.list("g/following/", MAX_RECORDS)? {
            if let Some((Key::ObservedVersion(controller), Record::ObservedVersion(record))) =
                stored.record()
            {
                versions.insert(controller, record.version);
            }
        }
        let (follow, others): (Vec<_>, Vec<_>) =
            versions.into_iter().partition(|(_, has)| *has >= version);
        let names = |controllers: Vec<(String, u64)>| {
            controllers
                .into_iter()
                .map(|(controller, _)| controller)
                .collect()
        };
        Ok(Followers {
            follow: names(follow),
            others: names(others),
        })
    }

    /// Removes pages that nobody can go back to. What is left of them is found the next time.
    pub(super) fn remove_outdated(&self) {
        let Ok(Some(current)) = self.current() else {
            return;
        };
        let stored = self.service.list("g/configuration/", MAX_RECORDS);
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
                self.service.commit(&transaction),
                Ok(CommitOutcome::Committed)
            ) {
                return;
            }
        }
    }
}
