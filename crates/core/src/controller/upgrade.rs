//! Rolling upgrades: the storage format that each controller reads, and records that are written once.

use crate::constants::REFUSED_RECORDS_MAX;
use crate::controller::{Controller, PendingOperation, RequestClass};
use crate::state::formats::{self, FormatRecord};
use crate::state::{Key, Record, TermRecord, TransactionBuilder};

/// Writes of the records that a controller writes once, as far as they are in flight.
#[derive(Debug, Default)]
pub(crate) struct Upgrade {
    /// Whether the write of the format that this controller reads is in flight.
    pub format_in_flight: bool,
    /// Whether the write is in flight after which cancellations are confirmed only when all tasks of the job
    /// have ended.
    pub confirmation_in_flight: bool,
    /// Whether the write is in flight after which configurations may be stored.
    pub configuration_enabling_in_flight: bool,
    /// Whether the write of the first term is in flight.
    pub term_in_flight: bool,
    /// The common format and the number of controllers without the latest format, as last logged.
    pub format_logged: Option<(u32, usize)>,
}

impl Controller {
    /// Writes the first term if none is stored.
    pub(super) fn record_first_term(&mut self) {
        if self.cache.term().is_some() || self.upgrade.term_in_flight {
            return;
        }
        let mut draft = TransactionBuilder::new(&self.cache);
        draft.put(Key::Term, Record::Term(TermRecord { term: 1 }));
        let transaction = draft.finish();
        self.upgrade.term_in_flight = true;
        self.commit(transaction, PendingOperation::Term, RequestClass::User);
    }

    /// Records the format that this controller reads, and logs the progress of a rolling upgrade.
    pub(super) fn record_format(&mut self) {
        self.log_format();
        let known = self.cache.format_of(&self.settings.controller);
        if known >= formats::LATEST || self.upgrade.format_in_flight {
            return;
        }
        let mut draft = TransactionBuilder::new(&self.cache);
        let version = formats::LATEST;
        let key = Key::Format(self.settings.controller.clone());
        draft.put(key, Record::Format(FormatRecord { version }));
        let transaction = draft.finish();
        self.upgrade.format_in_flight = true;
        self.commit(
            transaction,
            PendingOperation::RecordFormat,
            RequestClass::User,
        );
    }

    /// Logs the common format and the controllers that lack the latest one, when either has changed.
    fn log_format(&mut self) {
        let format = self.cache.common_format();
        let is_outdated = |name: &&String| self.cache.format_of(name) < formats::LATEST;
        let outdated = self.settings.controllers.iter().filter(is_outdated);
        let outdated: Vec<&str> = outdated.map(String::as_str).collect();
        if self.upgrade.format_logged == Some((format, outdated.len())) {
            return;
        }
        if outdated.is_empty() {
            tracing::info!(format, "every controller has the latest format");
        } else {
            let waits_for = outdated.join(" ");
            tracing::info!(format, waits_for, "rolling upgrade: old format in use");
        }
        self.upgrade.format_logged = Some((format, outdated.len()));
    }

    /// Handles a rejection by the state store's rate limit. Once all controllers have the latest format, the
    /// announced lower limit may take effect at any time, so this controller keeps to it from the first
    /// rejection on.
    pub(super) fn handle_throttling(&mut self) {
        self.writes.throttled_at = Some(self.now);
        if self.cache.common_format() == formats::LATEST {
            self.writes
                .budget
                .reduce_rate(self.settings.announced_write_rps);
        }
    }

    /// Logs, once per record, that a record exceeds the state store's maximum value size.
    pub(crate) fn log_oversized(&mut self, records: Vec<(Key, usize)>) {
        let logged = &mut self.writes.oversized_logged;
        for (key, bytes) in records {
            if logged.len() < REFUSED_RECORDS_MAX && logged.insert(key.clone()) {
                let (key, limit) = (key.path(), self.settings.max_value_bytes);
                tracing::error!(key, bytes, limit, "record too large to be written");
            }
        }
    }
}
