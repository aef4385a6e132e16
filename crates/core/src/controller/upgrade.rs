//! Rolling upgrades: which storage format each controller reads, and what is put on record once.

use crate::constants::REFUSED_RECORDS_MAX;
use crate::controller::{Controller, PendingOperation, RequestClass};
use crate::state::formats::{self, FormatRecord};
use crate::state::{Key, Record, TermRecord, TransactionBuilder};

/// What a controller still has to put on record, and whether it is being written.
#[derive(Debug, Default)]
pub(crate) struct Upgrade {
    /// The format that this controller reads.
    pub format_in_flight: bool,
    /// From when on cancellations are confirmed only when nothing is left of the job.
    pub confirmation_in_flight: bool,
    /// That configurations may be on record.
    pub configuration_enabling_in_flight: bool,
    /// The first term is being written.
    pub term_in_flight: bool,
    /// The common format, and how many controllers lack the latest, as last logged.
    pub format_logged: Option<(u32, usize)>,
}

impl Controller {
    /// Writes the first term, where there is none.
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

    /// Records which format this controller reads, and logs how far a rolling upgrade is.
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

    fn log_format(&mut self) {
        let format = self.cache.common_format();
        let is_old = |name: &&String| self.cache.format_of(name) < formats::LATEST;
        let old = self.settings.controllers.iter().filter(is_old);
        let old: Vec<&str> = old.map(String::as_str).collect();
        if self.upgrade.format_logged == Some((format, old.len())) {
            return;
        }
        if old.is_empty() {
            tracing::info!(format, "every controller has the latest format");
        } else {
            let waits_for = old.join(" ");
            tracing::info!(format, waits_for, "rolling upgrade: old format in use");
        }
        self.upgrade.format_logged = Some((format, old.len()));
    }

    /// The state service was asked too much. Once all controllers are upgraded its announced limits may
    /// be in force any time: from the first such answer on this controller keeps to them.
    pub(super) fn throttled(&mut self) {
        self.writes.throttled_at = Some(self.now);
        if self.cache.common_format() == formats::LATEST {
            self.writes
                .budget
                .reduce_rate(self.settings.announced_write_rps);
        }
    }

    /// Says once of each record that it does not fit into a value any more.
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
