//! Which configuration a controller decides by.

use super::records::read;
use super::{ConfigurationError, Policy};
use crate::state::StateCache;

/// How the configuration on record stands with a controller.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Standing {
    /// Nothing is on record: the settings file holds.
    FromFile,
    InForce,
    /// It can't be read: nothing is decided by any configuration.
    Unreadable(ConfigurationError),
}

/// What changed for a controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Taken {
    Unchanged,
    /// Another configuration holds from now on.
    InForce(Policy),
    Unreadable(ConfigurationError),
}

/// The part of a controller that follows the configuration on record.
#[derive(Debug)]
pub struct Configuration {
    from_file: Policy,
    standing: Standing,
    /// The revision of the version record that was last looked at, and how many pages the cache had.
    seen: (u64, usize),
    /// The version on its way to the records as the one that this controller follows.
    telling: bool,
}

impl Configuration {
    pub fn new(from_file: Policy) -> Configuration {
        Configuration {
            from_file,
            standing: Standing::FromFile,
            seen: (0, 0),
            telling: false,
        }
    }

    /// Whether decisions can rest on a configuration.
    pub fn is_readable(&self) -> bool {
        !matches!(self.standing, Standing::Unreadable(_))
    }

    /// Whether what holds differs from the settings file: said once when it comes into force.
    pub fn differs_from_file(&self, policy: &Policy) -> bool {
        let file = &self.from_file;
        file.teams != policy.teams || file.goals != policy.goals || file.starts != policy.starts
    }

    /// Looks at the state cache; to be called whenever it has changed, before anything is decided.
    pub fn take(&mut self, cache: &StateCache) -> Taken {
        let (record, mod_revision) = match cache.configuration() {
            Some((record, mod_revision)) => (Some(record), mod_revision),
            None => (None, 0),
        };
        let seen = (mod_revision, cache.configuration_pages());
        if seen == self.seen {
            return Taken::Unchanged;
        }
        let same_version = mod_revision == self.seen.0 && self.standing == Standing::InForce;
        self.seen = seen;
        let Some(record) = record else {
            let was = std::mem::replace(&mut self.standing, Standing::FromFile);
            return match was {
                Standing::FromFile => Taken::Unchanged,
                _ => Taken::InForce(self.from_file.clone()),
            };
        };
        if same_version {
            // Pages of other versions came or went.
            return Taken::Unchanged;
        }
        match read(record, mod_revision, cache) {
            Ok(policy) => {
                self.standing = Standing::InForce;
                Taken::InForce(policy)
            }
            Err(error) => {
                self.standing = Standing::Unreadable(error.clone());
                Taken::Unreadable(error)
            }
        }
    }

    /// Whether a controller should put on record now that it follows this version.
    pub fn should_tell(&mut self, version: u64, on_record: Option<u64>) -> bool {
        let due = self.standing == Standing::InForce && on_record != Some(version);
        let tells = due && !self.telling;
        self.telling |= tells;
        tells
    }

    /// That transaction has ended, one way or the other.
    pub fn told(&mut self) {
        self.telling = false;
    }
}
