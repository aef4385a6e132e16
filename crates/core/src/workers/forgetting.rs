//! When a worker may be told to forget an ended attempt.
//!
//! A worker executes a direct command again if a copy of it arrives while token and incarnation match, minutes
//! after it was answered. An attempt that the worker still lists is not begun again by a copy of its start; one that
//! it has forgotten is. A worker is therefore told to forget an attempt only under a token that is higher than the
//! one of every direct command that may have started it, so that it refuses all copies from then on.
//!
//! The shared term is the base of all tokens. While attempts wait to be forgotten it is raised at an interval: one
//! change for all attempts on all machines. Replies to heartbeats carry the raised token only to workers that are
//! to forget something, since a worker also refuses starts under an older token that are still on their way.

use crate::constants::messages::FORGET_PRESSURE_BYTES;
use crate::constants::{
    CONFIRMED_CANCELLATION_TERM, FORGET_MIN_RAISE_INTERVAL_MS, FORGET_RAISE_INTERVAL_MS,
    FORGET_RAISE_STAGGER_MS, FORGET_TERM_SETTLE_MS,
};
use crate::controller::{Controller, PendingOperation, RequestClass};
use crate::model::{
    heartbeat_task_bytes, HeartbeatPosition, Millis, TaskId, TaskPhase, TaskStatus, WorkerHeartbeat,
};
use crate::state::{Key, Record, TermRecord, TransactionBuilder};
use foldhash::HashMap;
use std::collections::BTreeMap;

/// An exited attempt that a worker lists.
#[derive(Debug)]
struct ExitedAttempt {
    attempt: u64,
    /// The highest token that a direct command which started it may have had.
    start_token: u64,
    /// The latest message of the worker that lists it.
    listed_in: HeartbeatPosition,
}

/// The exited attempts that a worker lists, by task.
type ExitedAttempts = HashMap<TaskId, Vec<ExitedAttempt>>;

/// Attempts of a machine whose results are on record and that wait for a higher token.
#[derive(Clone, Copy, Debug)]
struct DeferredForgets {
    /// When the worker last listed them.
    listed_at: Millis,
    /// Bytes of their entries in a heartbeat.
    bytes: u64,
}

/// What this controller knows of the exited attempts of the workers that report to it.
#[derive(Debug, Default)]
pub(crate) struct ForgetTracker {
    /// Exited attempts by machine.
    exited: HashMap<String, ExitedAttempts>,
    /// What waits for a higher token, by machine.
    deferred: BTreeMap<String, DeferredForgets>,
    /// When the term last changed in this controller's cache.
    term_changed_at: Millis,
    /// Whether a raise of the term is in flight.
    pub raise_in_flight: bool,
}

impl ForgetTracker {
    /// Records that the term has changed in the cache.
    pub fn record_term_change(&mut self, now: Millis) {
        self.term_changed_at = now;
    }

    /// Records an exited attempt that a worker lists. Of several bounds for an attempt the lowest one is kept, since
    /// each of them holds.
    fn record_exited(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        status: &TaskStatus,
        start_token: u64,
    ) {
        let by_task = self.exited.entry(heartbeat.machine.clone()).or_default();
        let attempts = by_task.entry(status.task.clone()).or_default();
        let listed_in = heartbeat.position();
        match attempts.iter_mut().find(|a| a.attempt == status.attempt) {
            Some(known) => {
                known.start_token = known.start_token.min(start_token);
                known.listed_in = known.listed_in.max(listed_in);
            }
            None => attempts.push(ExitedAttempt {
                attempt: status.attempt,
                start_token,
                listed_in,
            }),
        }
    }

    /// Drops the attempts of a machine that its worker no longer lists.
    fn drop_unlisted(&mut self, heartbeat: &WorkerHeartbeat) {
        let position = heartbeat.position();
        let Some(by_task) = self.exited.get_mut(&heartbeat.machine) else {
            return;
        };
        by_task.retain(|_, attempts| {
            attempts.retain(|attempt| attempt.listed_in >= position);
            !attempts.is_empty()
        });
        if by_task.is_empty() {
            self.exited.remove(&heartbeat.machine);
        }
    }

    /// Returns the highest token that a direct command which started an exited attempt may have had. The worker has
    /// executed the command, so the token that it reports with the attempt is a bound.
    fn start_token(&self, heartbeat: &WorkerHeartbeat, status: &TaskStatus) -> u64 {
        let by_task = self.exited.get(&heartbeat.machine);
        let attempts = by_task.and_then(|by_task| by_task.get(&status.task));
        let mut attempts = attempts.into_iter().flatten();
        let known = attempts.find(|known| known.attempt == status.attempt);
        let bound = known.map_or(heartbeat.token, |known| known.start_token);
        bound.min(heartbeat.token)
    }

    /// Records how many bytes of a machine's heartbeats are attempts that wait for a higher token.
    fn record_deferred(&mut self, now: Millis, machine: &str, bytes: u64) {
        if bytes == 0 {
            self.deferred.remove(machine);
            return;
        }
        let forgets = DeferredForgets {
            listed_at: now,
            bytes,
        };
        self.deferred.insert(machine.to_string(), forgets);
    }

    /// Returns when the term may be raised, if attempts wait for it: sooner if they take up much of their machine's
    /// heartbeats.
    fn raise_due_at(&self) -> Option<Millis> {
        let largest = self.deferred.values().map(|forgets| forgets.bytes).max()?;
        let interval_ms = match largest >= FORGET_PRESSURE_BYTES {
            true => FORGET_MIN_RAISE_INTERVAL_MS,
            false => FORGET_RAISE_INTERVAL_MS,
        };
        Some(self.term_changed_at + interval_ms)
    }

    /// Drops what waits on machines that have not listed it since a time. Returns on how many something waits.
    fn retain_deferred(&mut self, listed_since: Millis) -> usize {
        self.deferred
            .retain(|_, forgets| forgets.listed_at >= listed_since);
        self.deferred.len()
    }

    /// Drops what is known of machines whose workers no longer report here.
    pub fn retain_machines(&mut self, reports_here: impl Fn(&str) -> bool) {
        self.exited.retain(|machine, _| reports_here(machine));
    }
}

impl Controller {
    /// Records the exited attempts that a heartbeat lists.
    pub(super) fn record_exited_attempts(&mut self, heartbeat: &WorkerHeartbeat) {
        self.add_exited_attempts(heartbeat);
        self.workers.forgetting.drop_unlisted(heartbeat);
    }

    /// Records the exited attempts that a heartbeat or the response to a direct command lists, and keeps others.
    pub(super) fn add_exited_attempts(&mut self, heartbeat: &WorkerHeartbeat) {
        for status in &heartbeat.tasks {
            if matches!(status.phase, TaskPhase::Exited(_)) {
                let start_token = self.recorded_start_token(heartbeat, status);
                self.workers
                    .forgetting
                    .record_exited(heartbeat, status, start_token);
            }
        }
    }

    /// Returns a bound of the tokens of the direct commands that may have started an attempt. An attempt is sent by
    /// one direct command at most, under the token on record; one that a reply to a heartbeat carries was fenced
    /// before that was recorded.
    fn recorded_start_token(&self, heartbeat: &WorkerHeartbeat, status: &TaskStatus) -> u64 {
        let assignment = self.assignment_of(heartbeat, status);
        let delivery = assignment.map(|assignment| assignment.delivery());
        match delivery.map(|delivery| (delivery.direct, delivery.reply)) {
            Some((Some(direct), _)) => direct.token,
            Some((None, Some(_))) => 0,
            Some((None, None)) | None => heartbeat.token,
        }
    }

    /// Returns whether a worker may be told to forget an exited attempt in a reply under this token.
    pub(super) fn may_forget(
        &self,
        heartbeat: &WorkerHeartbeat,
        status: &TaskStatus,
        token: u64,
    ) -> bool {
        !self.settings.checks.fenced_forget
            || token > self.workers.forgetting.start_token(heartbeat, status)
    }

    /// Returns whether the result of an exited attempt is on record, so that its worker need not list it any more.
    pub(super) fn is_result_recorded(
        &self,
        heartbeat: &WorkerHeartbeat,
        status: &TaskStatus,
    ) -> bool {
        matches!(status.phase, TaskPhase::Exited(_))
            && self.assignment_of(heartbeat, status).is_none()
            && self.is_claim_outcome_known(&status.task, status.attempt)
    }

    /// Returns the token of the reply to a heartbeat, `current` being the machine's token: the worker's own, unless
    /// the higher one fences a lost start, lets the worker forget an attempt, or spreads a proof.
    pub(super) fn reply_token(
        &self,
        heartbeat: &WorkerHeartbeat,
        current: u64,
        fences_start: bool,
    ) -> u64 {
        let lacks_proof =
            heartbeat.token < CONFIRMED_CANCELLATION_TERM && current >= CONFIRMED_CANCELLATION_TERM;
        if heartbeat.token == 0
            || lacks_proof
            || fences_start
            || !self.settings.checks.fenced_forget
        {
            return current;
        }
        let has_settled =
            self.now >= self.workers.forgetting.term_changed_at + FORGET_TERM_SETTLE_MS;
        let needs_current = |status: &TaskStatus| {
            self.is_result_recorded(heartbeat, status)
                && !self.may_forget(heartbeat, status, heartbeat.token)
                && self.may_forget(heartbeat, status, current)
        };
        match has_settled && heartbeat.tasks.iter().any(needs_current) {
            true => current,
            false => heartbeat.token,
        }
    }

    /// Records which attempts of a heartbeat wait for a higher token than the machine's present one.
    pub(super) fn record_deferred_forgets(&mut self, heartbeat: &WorkerHeartbeat, current: u64) {
        let mut deferred_bytes = 0;
        for status in &heartbeat.tasks {
            if self.is_result_recorded(heartbeat, status)
                && !self.may_forget(heartbeat, status, current)
            {
                deferred_bytes += heartbeat_task_bytes(&status.task.job);
                let (task, attempt) = (&status.task, status.attempt);
                let start_token = self.workers.forgetting.start_token(heartbeat, status);
                let (machine, token) = (&heartbeat.machine, current);
                tracing::debug!(%task, attempt, machine, token, start_token, "forget deferred: a copy of the start may arrive");
                self.metrics.forgets_deferred += 1;
            }
        }
        self.workers
            .forgetting
            .record_deferred(self.now, &heartbeat.machine, deferred_bytes);
    }

    /// Raises the term if attempts wait to be forgotten. The controllers take turns by their order, so that usually
    /// one of them makes the change.
    pub(crate) fn raise_term_for_forgets(&mut self) {
        let stagger_ms = self.settings.controller_index() * FORGET_RAISE_STAGGER_MS;
        let due_at = self.workers.forgetting.raise_due_at();
        let is_due = due_at.is_some_and(|at| self.now >= at + stagger_ms);
        let Some(term) = self.cache.term().filter(|_| is_due) else {
            return;
        };
        let listed_since = self
            .now
            .saturating_sub(2 * self.settings.heartbeat_due_ms());
        let machines = self.workers.forgetting.retain_deferred(listed_since);
        if machines == 0 || self.workers.forgetting.raise_in_flight || self.changes_left() == 0 {
            return;
        }
        tracing::debug!(
            term,
            machines,
            "term to be raised: ended attempts wait to be forgotten"
        );
        let mut draft = TransactionBuilder::new(&self.cache);
        draft.put(Key::Term, Record::Term(TermRecord { term: term + 1 }));
        let transaction = draft.finish();
        self.workers.forgetting.raise_in_flight = true;
        self.metrics.term_raises += 1;
        self.commit(
            transaction,
            PendingOperation::RaiseTerm,
            RequestClass::Result,
        );
    }
}
