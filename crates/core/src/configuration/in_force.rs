//! Which configuration a controller decides by.

use super::records::read;
use super::{ConfigurationError, Policy};
use crate::state::StateCache;

/// Which configuration a controller decides by.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ConfigurationSource {
    /// Nothing is on record: the settings file holds.
    FromFile,
    /// The one on record.
    InForce,
    /// It can't be read: nothing is decided by any configuration.
    Unreadable(ConfigurationError),
}

/// What a look at the cache changed for a controller.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationUpdate {
    /// The configuration is the same as before.
    Unchanged,
    /// Another configuration holds from now on.
    InForce(Policy),
    /// The one on record can't be read: nothing is decided by any configuration from now on.
    Unreadable(ConfigurationError),
}

/// The part of a controller that follows the configuration on record.
#[derive(Debug)]
pub struct Configuration {
    /// The settings file's.
    from_file: Policy,
    source: ConfigurationSource,
    /// The revision of the version record that was last looked at, and how many pages the cache had.
    seen: (u64, usize),
    /// The version that this controller follows is being recorded.
    recording_in_flight: bool,
}

impl Configuration {
    /// Before anything is read from the records: the settings file's configuration.
    pub fn new(from_file: Policy) -> Configuration {
        Configuration {
            from_file,
            source: ConfigurationSource::FromFile,
            seen: (0, 0),
            recording_in_flight: false,
        }
    }

    /// Whether decisions can rest on a configuration.
    pub fn is_readable(&self) -> bool {
        !matches!(self.source, ConfigurationSource::Unreadable(_))
    }

    /// Whether a policy differs from the settings file, which is logged when it comes into force.
    pub fn differs_from_file(&self, policy: &Policy) -> bool {
        let file = &self.from_file;
        file.teams != policy.teams
            || file.completion_goals_ms != policy.completion_goals_ms
            || file.start_goals_ms != policy.start_goals_ms
    }

    /// Reads the configuration in the cache; to be called whenever the cache has changed, before
    /// anything is decided.
    pub fn refresh(&mut self, cache: &StateCache) -> ConfigurationUpdate {
        let (record, mod_revision) = match cache.configuration() {
            Some((record, mod_revision)) => (Some(record), mod_revision),
            None => (None, 0),
        };
        let seen = (mod_revision, cache.configuration_pages());
        if seen == self.seen {
            return ConfigurationUpdate::Unchanged;
        }
        let same_version =
            mod_revision == self.seen.0 && self.source == ConfigurationSource::InForce;
        self.seen = seen;
        let Some(record) = record else {
            let before = std::mem::replace(&mut self.source, ConfigurationSource::FromFile);
            return match before {
                ConfigurationSource::FromFile => ConfigurationUpdate::Unchanged,
                _ => ConfigurationUpdate::InForce(self.from_file.clone()),
            };
        };
        if same_version {
            // Only pages of other versions were added or removed.
            return ConfigurationUpdate::Unchanged;
        }
        match read(record, mod_revision, cache) {
            Ok(policy) => {
                self.source = ConfigurationSource::InForce;
                ConfigurationUpdate::InForce(policy)
            }
            Err(error) => {
                self.source = ConfigurationSource::Unreadable(error.clone());
                ConfigurationUpdate::Unreadable(error)
            }
        }
    }

    /// Whether the controller should record now that it follows this version. If so, the record is
    /// in flight from now on.
    pub fn start_recording_version(&mut self, version: u64, on_record: Option<u64>) -> bool {
        let is_due = self.source == ConfigurationSource::InForce && on_record != Some(version);
        let starts = is_due && !self.recording_in_flight;
        self.recording_in_flight |= starts;
        starts
    }

    /// The transaction that records the version has ended, committed or not.
    pub fn version_recording_finished(&mut self) {
        self.recording_in_flight = false;
    }
}
