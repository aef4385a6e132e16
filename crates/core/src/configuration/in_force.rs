//! The configuration by which a controller makes decisions.

use super::records::read;
use super::{ConfigurationError, Policy};
use crate::state::StateCache;

/// The source of the configuration by which a controller makes decisions.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ConfigurationSource {
    /// The settings file, since no configuration is on record.
    FromFile,
    /// The configuration on record.
    InForce,
    /// None, since the configuration on record is unreadable.
    Unreadable(ConfigurationError),
}

/// The effect of a refresh from the cache.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationUpdate {
    /// The configuration has not changed.
    Unchanged,
    /// This configuration is in force from now on.
    InForce(Policy),
    /// The configuration on record is unreadable, and no configuration is in force from now on.
    Unreadable(ConfigurationError),
}

/// The configuration state of a controller, which follows the configuration on record.
#[derive(Debug)]
pub struct Configuration {
    /// Configuration of the settings file.
    from_file: Policy,
    source: ConfigurationSource,
    /// Revision of the version record at the last refresh, and the number of pages in the cache.
    last_refreshed: (u64, usize),
    /// Whether a transaction is in flight that records the version which this controller follows.
    recording_in_flight: bool,
}

impl Configuration {
    /// Returns the state before any record is read, with the configuration of the settings file.
    pub fn new(from_file: Policy) -> Configuration {
        Configuration {
            from_file,
            source: ConfigurationSource::FromFile,
            last_refreshed: (0, 0),
            recording_in_flight: false,
        }
    }

    /// Returns whether a configuration is in force.
    pub fn is_readable(&self) -> bool {
        !matches!(self.source, ConfigurationSource::Unreadable(_))
    }

    /// Returns whether a policy differs from the settings file.
    pub fn differs_from_file(&self, policy: &Policy) -> bool {
        let file = &self.from_file;
        file.teams != policy.teams
            || file.completion_goals_ms != policy.completion_goals_ms
            || file.start_goals_ms != policy.start_goals_ms
    }

    /// Reads the configuration in the cache. Must be called whenever the cache has changed, before any
    /// decision.
    pub fn refresh(&mut self, cache: &StateCache) -> ConfigurationUpdate {
        let (record, mod_revision) = match cache.configuration() {
            Some((record, mod_revision)) => (Some(record), mod_revision),
            None => (None, 0),
        };
        let current = (mod_revision, cache.configuration_pages());
        if current == self.last_refreshed {
            return ConfigurationUpdate::Unchanged;
        }
        let same_version =
            mod_revision == self.last_refreshed.0 && self.source == ConfigurationSource::InForce;
        self.last_refreshed = current;
        let Some(record) = record else {
            let previous = std::mem::replace(&mut self.source, ConfigurationSource::FromFile);
            return match previous {
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

    /// Returns whether the controller must record now that it follows this version. If so, the write counts as
    /// in flight from now on.
    pub fn start_recording_version(&mut self, version: u64, recorded: Option<u64>) -> bool {
        let is_due = self.source == ConfigurationSource::InForce && recorded != Some(version);
        let must_write = is_due && !self.recording_in_flight;
        self.recording_in_flight |= must_write;
        must_write
    }

    /// Ends the write of the version, committed or not.
    pub fn version_recording_finished(&mut self) {
        self.recording_in_flight = false;
    }
}
