//! Stand-in for the state service.

use crate::{Act, World};
use glenmount_core::constants::STATE_TIMEOUT_MS;
use glenmount_core::controller::{Event, OperationId, StateOperation, StateResponse};
use glenmount_core::state::formats::OLDEST;
use glenmount_core::state::{Key, Record};
use rand::Rng;

/// Milliseconds after which what the state service refused for being too much is sent again.
pub(crate) const TOO_MANY_PAUSE_MS: u64 = 150;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    Normal,
    /// Executed, but the answer is lost.
    AnswerLost,
    /// Given up by the controller, executed later.
    Late(u64),
}

impl World {
    /// Somebody else changes a record.
    pub fn put_record(&mut self, key: Key, record: Record) {
        self.change(key, Some(record));
    }

    pub fn remove_record(&mut self, key: Key) {
        self.change(key, None);
    }

    pub(crate) fn change(&mut self, key: Key, record: Option<Record>) {
        self.revision += 1;
        match &record {
            Some(r) => self.store.insert(key.clone(), (r.clone(), self.revision)),
            None => self.store.remove(&key),
        };
        self.log.push((self.revision, key, record));
        for n in 0..self.controllers.len() {
            let life = self.controllers[n].life;
            self.at(3, Act::Watch(n, life));
        }
    }

    /// The limits of the state service fall to those announced.
    pub fn limits_fall(&mut self) {
        self.limits = None;
    }

    pub fn state_request(
        &mut self,
        n: usize,
        life: u32,
        token: OperationId,
        op: StateOperation,
        fate: Fate,
    ) {
        let delay = match fate {
            Fate::Late(ms) => ms,
            _ => self.rng.gen_range(2..10),
        };
        if fate != Fate::Normal {
            self.at(
                STATE_TIMEOUT_MS,
                Act::Controller(n, life, Event::StateTimeout { token }),
            );
            let event = Event::State {
                token,
                answer: StateResponse::NoAnswer,
            };
            self.at(1_200, Act::Controller(n, life, event));
        }
        self.at(delay, Act::State(n, life, token, op, fate));
    }

    pub(crate) fn execute(&mut self, op: StateOperation, old: bool) -> StateResponse {
        match op {
            StateOperation::ReadIndex => {
                self.proofs += 1;
                StateResponse::ReadIndex {
                    revision: self.revision,
                }
            }
            StateOperation::List { after } => {
                self.lists += 1;
                if self.listing.0 != self.revision {
                    let mut keys: Vec<_> =
                        self.store.keys().map(|k| (k.path(), k.clone())).collect();
                    keys.sort();
                    self.listing = (self.revision, keys);
                }
                let keys = &self.listing.1;
                let from = keys.partition_point(|(path, _)| Some(path) <= after.as_ref());
                let page = &keys[from..keys.len().min(from + self.page)];
                let items = page.iter().map(|(_, k)| {
                    let (r, mod_revision) = &self.store[k];
                    (k.clone(), *mod_revision, r.clone())
                });
                StateResponse::Listed {
                    items: items.collect(),
                    last: page.last().map(|(path, _)| path.clone()),
                    more: from + page.len() < keys.len(),
                    revision: self.revision,
                }
            }
            StateOperation::Transaction(transaction) => {
                self.transactions += 1;
                self.changes += transaction.changes.len() as u32;
                let (max_value_bytes, max_transaction_changes) = match old {
                    true => self.old_limits,
                    false => (
                        self.settings.max_value_bytes,
                        self.settings.max_transaction_changes,
                    ),
                };
                assert!(
                    transaction.changes.len() <= max_transaction_changes,
                    "too many changes"
                );
                assert!(
                    transaction.conditions.len() <= max_transaction_changes * 4,
                    "too many conditions"
                );
                let all_new =
                    !(0..self.controllers.len()).any(|n| self.is_old(n, self.controllers[n].life));
                let (most, most_ops) = self
                    .limits
                    .unwrap_or((max_value_bytes, max_transaction_changes));
                let mut refused = transaction.changes.len() > most_ops;
                for (key, record) in &transaction.changes {
                    let Some(record) = record else { continue };
                    let value = record.value(transaction.format);
                    let size = value.to_string().len() as u64;
                    let before = self
                        .store
                        .get(key)
                        .map_or(0, |(r, _)| r.value(OLDEST).to_string().len() as u64);
                    // A chunk of the old version's may be written as large as it is.
                    let shrinks = transaction.format == OLDEST && size <= before;
                    assert!(
                        size <= max_value_bytes || shrinks,
                        "{key:?} has {size} bytes, had {before}"
                    );
                    refused |= size > most;
                    let plain = crate::old::value(key, value.clone()) == Some(value);
                    let kept = plain
                        || matches!(
                            key,
                            Key::Format(_) | Key::CancellationConfirmation | Key::RunTimes(_)
                        );
                    assert!(all_new || kept, "{key:?} is not in the old shape");
                }
                if refused {
                    self.refused += 1;
                    return StateResponse::Refused;
                }
                let holds = transaction.conditions.iter().all(|(k, mod_revision)| {
                    self.store
                        .get(k)
                        .map_or(0, |(_, mod_revision)| *mod_revision)
                        == *mod_revision
                });
                if !holds {
                    self.conflicts += 1;
                    return StateResponse::Conflict {
                        revision: self.revision,
                    };
                }
                self.check_claims(&transaction);
                self.revision += 1;
                let revision = self.revision;
                for (key, record) in transaction.changes {
                    // Through JSON, as on the wire.
                    if let Some(r) = &record {
                        let back = Record::read(&key, r.value(transaction.format));
                        assert_eq!(back.as_ref(), Some(r), "a record reads back");
                    }
                    match &record {
                        Some(r) => {
                            self.store.insert(key.clone(), (r.clone(), revision));
                        }
                        None => {
                            self.store.remove(&key);
                        }
                    }
                    self.log.push((revision, key, record));
                }
                for n in 0..self.controllers.len() {
                    let life = self.controllers[n].life;
                    let delay = self.rng.gen_range(2..8);
                    self.at(delay, Act::Watch(n, life));
                }
                StateResponse::Committed { revision }
            }
        }
    }
}
