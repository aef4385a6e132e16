//! What a run found: written as JSON, printed as a table.

use crate::invariants::Violation;
use crate::measurement::counters::{ExchangeKind, LatencyKind, Quantiles, Traffic};
use crate::plan::Plan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// Bytes of a result file at most.
const RESULT_BYTES: u64 = 4 * 1024 * 1024;

/// What one controller spent while it was measured.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct ProcessUsage {
    /// Share of a core.
    pub cpu: f64,
    /// Highest share of a core in a second.
    pub cpu_peak: f64,
    pub resident_mb: f64,
    pub peak_mb: f64,
    pub sockets: usize,
}

/// Starts a second.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Starts {
    pub asked: f64,
    pub asked_best_10s: f64,
    pub reached: f64,
    pub reached_best_10s: f64,
}

/// Bytes a second that workers send and receive for control.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct WorkerBytes {
    pub mean: f64,
    pub p99: f64,
    pub max: f64,
}

/// Keys of one kind and their bytes.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct RecordUsage {
    pub count: usize,
    pub bytes: usize,
}

/// The figures of a run; rates are per second of the measured time.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Figures {
    pub seconds: f64,
    pub workers: usize,
    pub running: f64,
    pub running_most: usize,
    pub controllers: Vec<ProcessUsage>,
    /// Of the process that plays all the rest.
    pub stand_ins: ProcessUsage,
    pub traffic: BTreeMap<ExchangeKind, Traffic>,
    /// State changes a second by kind of record, and transactions by the records that they change.
    pub changes: BTreeMap<String, f64>,
    pub transactions: BTreeMap<String, f64>,
    pub records: BTreeMap<String, RecordUsage>,
    pub starts: Starts,
    pub times: BTreeMap<LatencyKind, Quantiles>,
    pub worker_bytes: WorkerBytes,
    /// Answers to users other than 200 and 201.
    pub user_answers: BTreeMap<String, u64>,
}

/// A run: what was played, what was found, which rules were broken.
#[derive(Debug, Clone, Serialize)]
pub struct RunResult {
    pub plan: Plan,
    pub figures: Figures,
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// Controllers that ended by themselves.
    pub ended: Vec<usize>,
    pub finished: bool,
}

/// The part of a result file that a comparison reads.
#[derive(Debug, Clone, Deserialize)]
pub struct EarlierResult {
    pub figures: Figures,
}

impl EarlierResult {
    /// Reads a result; the error names the file and what is wrong with it.
    pub fn read(path: &Path) -> Result<EarlierResult, String> {
        let name = path.display();
        let size = std::fs::metadata(path).map_err(|e| format!("{name}: {e}"))?;
        if size.len() > RESULT_BYTES {
            return Err(format!("{name}: larger than 4 MiB"));
        }
        let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
        serde_json::from_str(&text).map_err(|e| format!("{name}: {e}"))
    }
}

impl RunResult {
    pub fn is_good(&self) -> bool {
        self.finished && self.violations.is_empty() && self.ended.is_empty()
    }

    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        if let Some(folder) = path.parent() {
            std::fs::create_dir_all(folder)?;
        }
        let text = serde_json::to_string_pretty(self)?;
        std::fs::write(path, text + "\n")
    }
}

impl Figures {
    /// Processor time of the controllers, as a share of a core each.
    pub fn cpu_mean(&self) -> f64 {
        let all: f64 = self.controllers.iter().map(|c| c.cpu).sum();
        all / self.controllers.len().max(1) as f64
    }

    pub fn cpu_busiest(&self) -> f64 {
        self.controllers.iter().map(|c| c.cpu).fold(0.0, f64::max)
    }

    pub fn memory_most_mb(&self) -> f64 {
        self.controllers
            .iter()
            .map(|c| c.peak_mb)
            .fold(0.0, f64::max)
    }

    pub fn sockets_most(&self) -> usize {
        self.controllers
            .iter()
            .map(|c| c.sockets)
            .max()
            .unwrap_or(0)
    }

    /// Requests of the controllers to the state service.
    pub fn state_requests(&self) -> f64 {
        let kinds = [
            ExchangeKind::StateTransaction,
            ExchangeKind::StateRead,
            ExchangeKind::StateList,
            ExchangeKind::StateWatch,
            ExchangeKind::StateLease,
        ];
        let each = kinds.iter().filter_map(|kind| self.traffic.get(kind));
        each.map(|traffic| traffic.exchanges).sum()
    }

    pub fn state_changes(&self) -> f64 {
        self.changes.values().sum()
    }

    pub fn changes_per_start(&self) -> f64 {
        self.state_changes() / self.starts.reached.max(1e-9)
    }

    /// Bytes a second of one kind of exchange.
    pub fn bytes(&self, kind: ExchangeKind) -> f64 {
        self.traffic
            .get(&kind)
            .map_or(0.0, |traffic| traffic.bytes())
    }

    pub fn exchanges(&self, kind: ExchangeKind) -> f64 {
        self.traffic
            .get(&kind)
            .map_or(0.0, |traffic| traffic.exchanges)
    }

    fn time(&self, what: LatencyKind) -> Quantiles {
        self.times.get(&what).copied().unwrap_or_default()
    }

    /// The figures that are compared and fitted, by name.
    pub fn main(&self) -> Vec<(&'static str, f64)> {
        let ms = |what, quantile: fn(Quantiles) -> u64| quantile(self.time(what)) as f64;
        vec![
            ("controller processor, mean (cores)", self.cpu_mean()),
            ("controller processor, busiest (cores)", self.cpu_busiest()),
            ("controller memory, most (MB)", self.memory_most_mb()),
            ("controller sockets, most", self.sockets_most() as f64),
            ("state requests/s", self.state_requests()),
            ("state changes/s", self.state_changes()),
            ("state changes per start", self.changes_per_start()),
            (
                "state transactions/s",
                self.exchanges(ExchangeKind::StateTransaction),
            ),
            ("state reads/s", self.exchanges(ExchangeKind::StateRead)),
            ("state watches/s", self.exchanges(ExchangeKind::StateWatch)),
            ("state watch bytes/s", self.bytes(ExchangeKind::StateWatch)),
            (
                "state transaction bytes/s",
                self.bytes(ExchangeKind::StateTransaction),
            ),
            ("sibling bytes/s", self.bytes(ExchangeKind::Peer)),
            (
                "worker reports/s",
                self.exchanges(ExchangeKind::WorkerHeartbeat),
            ),
            (
                "worker report bytes/s",
                self.bytes(ExchangeKind::WorkerHeartbeat),
            ),
            (
                "worker commands/s",
                self.exchanges(ExchangeKind::WorkerCommand),
            ),
            ("worker control bytes/s, mean", self.worker_bytes.mean),
            ("worker control bytes/s, most", self.worker_bytes.max),
            ("starts/s", self.starts.reached),
            ("starts/s, best 10 s", self.starts.reached_best_10s),
            ("tasks running, mean", self.running),
            (
                "acceptance p50 (ms)",
                ms(LatencyKind::Acceptance, |q| q.p50_ms),
            ),
            (
                "acceptance p99 (ms)",
                ms(LatencyKind::Acceptance, |q| q.p99_ms),
            ),
            (
                "urgent start p50 (ms)",
                ms(LatencyKind::UrgentStart, |q| q.p50_ms),
            ),
            (
                "urgent start p99 (ms)",
                ms(LatencyKind::UrgentStart, |q| q.p99_ms),
            ),
            (
                "standard start p50 (ms)",
                ms(LatencyKind::StandardStart, |q| q.p50_ms),
            ),
            (
                "standard start p99 (ms)",
                ms(LatencyKind::StandardStart, |q| q.p99_ms),
            ),
            (
                "urgent restart p99 (ms)",
                ms(LatencyKind::UrgentRestart, |q| q.p99_ms),
            ),
            (
                "result recorded p50 (ms)",
                ms(LatencyKind::ResultRecorded, |q| q.p50_ms),
            ),
            (
                "result recorded p99 (ms)",
                ms(LatencyKind::ResultRecorded, |q| q.p99_ms),
            ),
            (
                "done told p99 (ms)",
                ms(LatencyKind::CompletionReported, |q| q.p99_ms),
            ),
            (
                "cancellation told p99 (ms)",
                ms(LatencyKind::CancellationReported, |q| q.p99_ms),
            ),
            (
                "configuration in force p99 (ms)",
                ms(LatencyKind::ConfigurationInForce, |q| q.p99_ms),
            ),
            (
                "controller ready p50 (ms)",
                ms(LatencyKind::ControllerReady, |q| q.p50_ms),
            ),
        ]
    }

    /// The table that is printed.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let _ = writeln!(
            text,
            "{} workers, {:.0} s measured",
            self.workers, self.seconds
        );
        for (n, used) in self.controllers.iter().enumerate() {
            let _ = writeln!(
                text,
                "controller {n}: {:.1}% of a core (most {:.1}%), {:.0} MB (most {:.0}), {} sockets",
                used.cpu * 100.0,
                used.cpu_peak * 100.0,
                used.resident_mb,
                used.peak_mb,
                used.sockets
            );
        }
        for (kind, traffic) in &self.traffic {
            let _ = writeln!(
                text,
                "{:18} {:9.1}/s {:11.0} B/s asked {:11.0} B/s answered",
                kind.to_string(),
                traffic.exchanges,
                traffic.request_bytes,
                traffic.answer_bytes
            );
        }
        for (name, rate) in &self.transactions {
            let _ = writeln!(text, "transactions {name}: {rate:.1}/s");
        }
        for (name, rate) in &self.changes {
            let _ = writeln!(text, "changes {name}: {rate:.1}/s");
        }
        for (name, records) in &self.records {
            let RecordUsage { count, bytes } = records;
            let _ = writeln!(text, "records {name}: {count}, {bytes} bytes");
        }
        for (name, count) in &self.user_answers {
            let _ = writeln!(text, "users, {name}: {count}");
        }
        for (what, q) in &self.times {
            let _ = writeln!(
                text,
                "{:18} p50 {:7} ms  p99 {:7} ms  max {:7} ms  of {}",
                what.to_string(),
                q.p50_ms,
                q.p99_ms,
                q.max_ms,
                q.count
            );
        }
        let starts = self.starts;
        let _ = writeln!(
            text,
            "starts/s: asked {:.0} (best 10 s {:.0}), reached {:.0} (best 10 s {:.0}); \
             running {:.0} (most {})",
            starts.asked,
            starts.asked_best_10s,
            starts.reached,
            starts.reached_best_10s,
            self.running,
            self.running_most
        );
        let bytes = self.worker_bytes;
        let _ = writeln!(
            text,
            "bytes/s a worker: {:.0} mean, {:.0} p99, {:.0} most",
            bytes.mean, bytes.p99, bytes.max
        );
        text
    }
}
