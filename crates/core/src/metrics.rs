//! Metrics of a controller, logged at an interval: its messages, its changes, and the delays of jobs.

use crate::constants::{METRICS_INTERVAL_MS, METRICS_MAX_DURATION_MS, METRICS_MAX_TRACKED_STARTS};
use crate::controller::PendingOperation;
use crate::model::{Millis, TaskId};
use crate::state::{CasTransaction, Key};
use foldhash::{HashMap, HashMapExt};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// A histogram of durations in milliseconds, with a precision of 1 %.
type DurationHistogram = Option<Histogram<u32>>;

fn duration_histogram() -> DurationHistogram {
    Histogram::new_with_bounds(1, METRICS_MAX_DURATION_MS, 2).ok()
}

fn record(histogram: &mut DurationHistogram, ms: Millis) {
    if let Some(histogram) = histogram {
        histogram.saturating_record(ms.max(1));
    }
}

/// Formats a histogram as count / median / 99th percentile / maximum.
fn summary(histogram: &DurationHistogram) -> String {
    histogram.as_ref().map_or(String::new(), |durations| {
        format!(
            "{}/{}/{}/{}",
            durations.len(),
            durations.value_at_quantile(0.5),
            durations.value_at_quantile(0.99),
            durations.max()
        )
    })
}

/// The metrics since the last log line.
pub(crate) struct Metrics {
    since: Millis,
    pub heartbeats: u64,
    pub scheduling_passes: u64,
    pub transactions: u64,
    /// Changes sent to the state store, committed or not.
    pub changes: u64,
    /// Changes sent, by the purpose of the transaction and the kind of record.
    changes_by_kind: BTreeMap<(&'static str, &'static str), u64>,
    pub conflicts: u64,
    pub results: u64,
    pub cloud_requests: u64,
    /// Direct commands that a worker refused because of their token or incarnation.
    pub commands_refused: u64,
    /// Attempts that workers were told to forget.
    pub forgets: u64,
    /// Attempts listed in a heartbeat that wait for a higher token before they are forgotten.
    pub forgets_deferred: u64,
    /// Raises of the term that this controller sent.
    pub term_raises: u64,
    /// Delay from a submission to its acceptance, both at this controller.
    acceptance_ms: DurationHistogram,
    /// Delay from the acceptance of a job to the claim of a task, by the times of day of the controllers.
    claim_ms: DurationHistogram,
    /// Delay from a claim to the first heartbeat that shows the task running, both at this controller.
    start_ms: DurationHistogram,
    /// Times of the claims of attempts that no heartbeat has shown running yet.
    pending_starts: HashMap<(TaskId, u64), Millis>,
}

impl Metrics {
    /// Returns empty metrics.
    pub fn new(now: Millis) -> Metrics {
        Metrics {
            since: now,
            heartbeats: 0,
            scheduling_passes: 0,
            transactions: 0,
            changes: 0,
            changes_by_kind: BTreeMap::new(),
            conflicts: 0,
            results: 0,
            cloud_requests: 0,
            commands_refused: 0,
            forgets: 0,
            forgets_deferred: 0,
            term_raises: 0,
            acceptance_ms: duration_histogram(),
            claim_ms: duration_histogram(),
            start_ms: duration_histogram(),
            pending_starts: HashMap::new(),
        }
    }
    /// Counts a transaction that was sent.
    pub fn record_transaction(&mut self, purpose: &PendingOperation, transaction: &CasTransaction) {
        self.transactions += 1;
        self.changes += transaction.changes.len() as u64;
        let purpose = match purpose {
            PendingOperation::Claim(_) => "claim",
            PendingOperation::WriteResults { .. } => "report",
            PendingOperation::UserRequest(_) => "user",
            PendingOperation::Stop(_) => "stop",
            PendingOperation::CreateInstanceRequests(_)
            | PendingOperation::RecordProvisioned(_)
            | PendingOperation::RemoveInstanceRequest(_) => "rent",
            _ => "keep",
        };
        for (key, change) in &transaction.changes {
            let kind = match (key, change) {
                (Key::Chunk(..), _) => "chunk",
                (Key::Machine(_), None) => "gone",
                (Key::Machine(_), _) => "machine",
                (Key::Job(_), _) => "job",
                (Key::Team(_), _) => "team",
                _ => "other",
            };
            *self.changes_by_kind.entry((purpose, kind)).or_default() += 1;
        }
    }
    /// Records the delay between a submission and its acceptance.
    pub fn record_acceptance(&mut self, ms: Millis) {
        record(&mut self.acceptance_ms, ms);
    }
    /// Records the delay between the acceptance of a job and the claim of one of its tasks.
    pub fn record_claim(&mut self, task: &TaskId, attempt: u64, ms: Millis, now: Millis) {
        record(&mut self.claim_ms, ms);
        if self.pending_starts.len() < METRICS_MAX_TRACKED_STARTS {
            self.pending_starts.insert((task.clone(), attempt), now);
        }
    }
    /// Records the start of a task that a heartbeat shows running.
    pub fn record_running(&mut self, task: &TaskId, attempt: u64, now: Millis) {
        if self.pending_starts.is_empty() {
            return;
        }
        if let Some(claimed_at) = self.pending_starts.remove(&(task.clone(), attempt)) {
            record(&mut self.start_ms, now - claimed_at);
        }
    }
    /// Logs the metrics and resets them, once the interval is over.
    pub fn log_if_due(&mut self, now: Millis, records: usize, held: usize) {
        if now < self.since + METRICS_INTERVAL_MS {
            return;
        }
        let kinds = self.changes_by_kind.iter();
        let kinds: Vec<String> = kinds.map(|((p, k), n)| format!("{p}-{k}:{n}")).collect();
        tracing::info!(
            seconds = (now - self.since) / 1000,
            check_ins = self.heartbeats,
            lookups = self.scheduling_passes,
            transactions = self.transactions,
            changes = self.changes,
            kinds = kinds.join(" "),
            conflicts = self.conflicts,
            results = self.results,
            cloud = self.cloud_requests,
            commands_refused = self.commands_refused,
            forgets = self.forgets,
            forgets_deferred = self.forgets_deferred,
            term_raises = self.term_raises,
            records,
            held,
            accepted_ms = summary(&self.acceptance_ms),
            claimed_ms = summary(&self.claim_ms),
            running_ms = summary(&self.start_ms),
            "spent"
        );
        let mut pending_starts = std::mem::take(&mut self.pending_starts);
        pending_starts.retain(|_, at| now < *at + METRICS_INTERVAL_MS);
        *self = Metrics {
            pending_starts,
            ..Metrics::new(now)
        };
    }
}
