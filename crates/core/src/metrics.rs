//! Metrics of a controller: what it sends, and how long jobs wait, logged at an interval.

use crate::constants::{METRICS_INTERVAL_MS, METRICS_MAX_DURATION_MS, METRICS_MAX_TRACKED_STARTS};
use crate::controller::PendingOperation;
use crate::model::{Millis, TaskId};
use crate::state::{CasTransaction, Key};
use foldhash::{HashMap, HashMapExt};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// A histogram of milliseconds, exact to a hundredth.
type Times = Option<Histogram<u32>>;

fn times() -> Times {
    Histogram::new_with_bounds(1, METRICS_MAX_DURATION_MS, 2).ok()
}

fn record(times: &mut Times, ms: Millis) {
    if let Some(times) = times {
        times.saturating_record(ms.max(1));
    }
}

/// Count / median / 99th percentile / maximum.
fn summary(times: &Times) -> String {
    times.as_ref().map_or(String::new(), |t| {
        format!(
            "{}/{}/{}/{}",
            t.len(),
            t.value_at_quantile(0.5),
            t.value_at_quantile(0.99),
            t.max()
        )
    })
}

/// What was counted since the last log line.
pub(crate) struct Stats {
    since: Millis,
    pub check_ins: u64,
    pub lookups: u64,
    pub transactions: u64,
    /// Changes sent to the state service, whether they took effect or not.
    pub changes: u64,
    /// The same by what they were for and the kind of record.
    by_kind: BTreeMap<(&'static str, &'static str), u64>,
    pub conflicts: u64,
    pub results: u64,
    pub cloud: u64,
    /// From a submission to its acceptance, both here.
    accepted: Times,
    /// From a job's acceptance, by the controllers' times of day, to the claim of a task.
    claimed: Times,
    /// From a claim made here to the first heartbeat, here, that shows the task running.
    running: Times,
    /// Claimed tasks that no heartbeat has shown running yet, and when they were claimed.
    starting: HashMap<(TaskId, u64), Millis>,
}

impl Stats {
    /// Nothing counted yet.
    pub fn new(now: Millis) -> Stats {
        Stats {
            since: now,
            check_ins: 0,
            lookups: 0,
            transactions: 0,
            changes: 0,
            by_kind: BTreeMap::new(),
            conflicts: 0,
            results: 0,
            cloud: 0,
            accepted: times(),
            claimed: times(),
            running: times(),
            starting: HashMap::new(),
        }
    }
    /// A transaction was sent.
    pub fn sent(&mut self, purpose: &PendingOperation, transaction: &CasTransaction) {
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
            *self.by_kind.entry((purpose, kind)).or_default() += 1;
        }
    }
    /// A job was accepted, so many milliseconds after its submission.
    pub fn accepted(&mut self, ms: Millis) {
        record(&mut self.accepted, ms);
    }
    /// A task was claimed, so many milliseconds after its job's acceptance.
    pub fn claimed(&mut self, task: &TaskId, attempt: u64, ms: Millis, now: Millis) {
        record(&mut self.claimed, ms);
        if self.starting.len() < METRICS_MAX_TRACKED_STARTS {
            self.starting.insert((task.clone(), attempt), now);
        }
    }
    /// A heartbeat shows a task running.
    pub fn runs(&mut self, task: &TaskId, attempt: u64, now: Millis) {
        if self.starting.is_empty() {
            return;
        }
        if let Some(at) = self.starting.remove(&(task.clone(), attempt)) {
            record(&mut self.running, now - at);
        }
    }
    /// Logs what was counted and starts anew, once the interval is over.
    pub fn report(&mut self, now: Millis, records: usize, held: usize) {
        if now < self.since + METRICS_INTERVAL_MS {
            return;
        }
        let kinds = self.by_kind.iter();
        let kinds: Vec<String> = kinds.map(|((p, k), n)| format!("{p}-{k}:{n}")).collect();
        tracing::info!(
            seconds = (now - self.since) / 1000,
            check_ins = self.check_ins,
            lookups = self.lookups,
            transactions = self.transactions,
            changes = self.changes,
            kinds = kinds.join(" "),
            conflicts = self.conflicts,
            results = self.results,
            cloud = self.cloud,
            records,
            held,
            accepted_ms = summary(&self.accepted),
            claimed_ms = summary(&self.claimed),
            running_ms = summary(&self.running),
            "spent"
        );
        let mut starting = std::mem::take(&mut self.starting);
        starting.retain(|_, at| now < *at + METRICS_INTERVAL_MS);
        *self = Stats {
            starting,
            ..Stats::new(now)
        };
    }
}
