//! The figures of a run, and those that follow from them.

use super::latencies::{LatencyKind, Quantiles};
use super::traffic::{ExchangeKind, Traffic};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What one process used while it was measured.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct ProcessUsage {
    /// Mean share of a core.
    #[serde(rename = "cpu")]
    pub mean_cpu: f64,
    /// Highest share of a core in a second.
    #[serde(rename = "cpu_peak")]
    pub peak_cpu: f64,
    /// Resident memory at the end.
    pub resident_mb: f64,
    /// Highest resident memory since the process started.
    pub peak_mb: f64,
    /// Most sockets seen.
    #[serde(rename = "sockets")]
    pub max_sockets: usize,
}

/// Tasks of submitted jobs, and tasks started, per second.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct StartRates {
    /// Mean rate of submitted tasks.
    #[serde(rename = "asked")]
    pub requested: f64,
    /// Highest rate of submitted tasks over ten seconds.
    #[serde(rename = "asked_best_10s")]
    pub requested_best_10s: f64,
    /// Mean rate of starts.
    #[serde(rename = "reached")]
    pub started: f64,
    /// Highest rate of starts over ten seconds.
    #[serde(rename = "reached_best_10s")]
    pub started_best_10s: f64,
}

/// Bytes a second that workers send and receive for control.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct WorkerBandwidth {
    /// Mean over all workers.
    pub mean: f64,
    /// 99th percentile of the workers.
    pub p99: f64,
    /// The busiest worker.
    pub max: f64,
}

/// Keys of one kind of record, and their bytes.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct RecordUsage {
    /// Number of keys.
    pub count: usize,
    /// Bytes of keys and values.
    pub bytes: usize,
}

/// The figures of a run; rates are per second of the measured time.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Figures {
    /// Seconds that were measured.
    pub seconds: f64,
    /// Workers that were up at the end.
    pub workers: usize,
    /// Tasks that ran, in the mean.
    #[serde(rename = "running")]
    pub mean_running_tasks: f64,
    /// Tasks that ran, at most.
    #[serde(rename = "running_most")]
    pub max_running_tasks: usize,
    /// By controller.
    pub controllers: Vec<ProcessUsage>,
    /// Of the process that plays all the rest.
    pub stand_ins: ProcessUsage,
    /// Exchanges by kind.
    pub traffic: BTreeMap<ExchangeKind, Traffic>,
    /// Changes of the state store by kind of record.
    #[serde(rename = "changes")]
    pub record_changes: BTreeMap<String, f64>,
    /// Transactions by the kinds of records that they change.
    pub transactions: BTreeMap<String, f64>,
    /// What the state store holds at the end, by kind of record.
    pub records: BTreeMap<String, RecordUsage>,
    /// Starts of tasks.
    pub starts: StartRates,
    /// How long things took.
    #[serde(rename = "times")]
    pub latencies: BTreeMap<LatencyKind, Quantiles>,
    /// What workers send and receive.
    #[serde(rename = "worker_bytes")]
    pub worker_bandwidth: WorkerBandwidth,
    /// Answers to users other than 200 and 201.
    #[serde(rename = "user_answers")]
    pub unexpected_answers: BTreeMap<String, u64>,
}

/// A figure that is compared between runs, and fitted to their sizes.
#[derive(Debug, Clone, PartialEq)]
pub struct MainFigure {
    /// Its name with its unit.
    pub name: &'static str,
    /// Its value.
    pub value: f64,
}

impl MainFigure {
    fn new(name: &'static str, value: f64) -> MainFigure {
        MainFigure { name, value }
    }
}

#[derive(Clone, Copy)]
enum Quantile {
    P50,
    P99,
}

impl Quantile {
    fn of(self, quantiles: Quantiles) -> u64 {
        match self {
            Quantile::P50 => quantiles.p50_ms,
            Quantile::P99 => quantiles.p99_ms,
        }
    }
}

/// A main figure that is a quantile of a latency.
struct LatencyFigure {
    name: &'static str,
    kind: LatencyKind,
    quantile: Quantile,
}

const fn latency(name: &'static str, kind: LatencyKind, quantile: Quantile) -> LatencyFigure {
    LatencyFigure {
        name,
        kind,
        quantile,
    }
}

const LATENCY_FIGURES: [LatencyFigure; 13] = [
    latency(
        "acceptance p50 (ms)",
        LatencyKind::Acceptance,
        Quantile::P50,
    ),
    latency(
        "acceptance p99 (ms)",
        LatencyKind::Acceptance,
        Quantile::P99,
    ),
    latency(
        "urgent start p50 (ms)",
        LatencyKind::UrgentStart,
        Quantile::P50,
    ),
    latency(
        "urgent start p99 (ms)",
        LatencyKind::UrgentStart,
        Quantile::P99,
    ),
    latency(
        "standard start p50 (ms)",
        LatencyKind::StandardStart,
        Quantile::P50,
    ),
    latency(
        "standard start p99 (ms)",
        LatencyKind::StandardStart,
        Quantile::P99,
    ),
    latency(
        "urgent restart p99 (ms)",
        LatencyKind::UrgentRestart,
        Quantile::P99,
    ),
    latency(
        "result recorded p50 (ms)",
        LatencyKind::ResultRecorded,
        Quantile::P50,
    ),
    latency(
        "result recorded p99 (ms)",
        LatencyKind::ResultRecorded,
        Quantile::P99,
    ),
    latency(
        "done told p99 (ms)",
        LatencyKind::CompletionReported,
        Quantile::P99,
    ),
    latency(
        "cancellation told p99 (ms)",
        LatencyKind::CancellationReported,
        Quantile::P99,
    ),
    latency(
        "configuration in force p99 (ms)",
        LatencyKind::ConfigurationInForce,
        Quantile::P99,
    ),
    latency(
        "controller ready p50 (ms)",
        LatencyKind::ControllerReady,
        Quantile::P50,
    ),
];

/// Starts per second below this count as this many, where a figure is divided by them.
const LEAST_START_RATE: f64 = 1e-9;

impl Figures {
    /// Processor time of the controllers in the mean, as a share of a core.
    pub fn mean_controller_cpu(&self) -> f64 {
        let total: f64 = self.controllers.iter().map(|usage| usage.mean_cpu).sum();
        total / self.controllers.len().max(1) as f64
    }

    /// Processor time of the busiest controller, as a share of a core.
    pub fn max_controller_cpu(&self) -> f64 {
        let each = self.controllers.iter().map(|usage| usage.mean_cpu);
        each.fold(0.0, f64::max)
    }

    /// Highest memory of a controller, in MB.
    pub fn max_controller_memory_mb(&self) -> f64 {
        let each = self.controllers.iter().map(|usage| usage.peak_mb);
        each.fold(0.0, f64::max)
    }

    /// Most sockets of a controller.
    pub fn max_controller_sockets(&self) -> usize {
        let each = self.controllers.iter().map(|usage| usage.max_sockets);
        each.max().unwrap_or(0)
    }

    /// Requests of the controllers to the state store, per second.
    pub fn state_requests(&self) -> f64 {
        let kinds = [
            ExchangeKind::StateTransaction,
            ExchangeKind::StateRead,
            ExchangeKind::StateList,
            ExchangeKind::StateWatch,
            ExchangeKind::StateLease,
        ];
        kinds.into_iter().map(|kind| self.exchanges(kind)).sum()
    }

    /// Changes of the state store, per second.
    pub fn state_changes(&self) -> f64 {
        self.record_changes.values().sum()
    }

    /// Changes of the state store for each start of a task.
    pub fn changes_per_start(&self) -> f64 {
        self.state_changes() / self.starts.started.max(LEAST_START_RATE)
    }

    /// Bytes a second of one kind of exchange.
    pub fn bytes(&self, kind: ExchangeKind) -> f64 {
        let traffic = self.traffic.get(&kind);
        traffic.map_or(0.0, |traffic| traffic.bytes())
    }

    /// Exchanges a second of one kind.
    pub fn exchanges(&self, kind: ExchangeKind) -> f64 {
        let traffic = self.traffic.get(&kind);
        traffic.map_or(0.0, |traffic| traffic.exchanges)
    }

    /// The figures that are compared and fitted, in the order in which they are printed.
    pub fn main_figures(&self) -> Vec<MainFigure> {
        let latencies = LATENCY_FIGURES.iter().map(|figure| {
            let quantiles = self.latencies.get(&figure.kind).copied();
            let value_ms = figure.quantile.of(quantiles.unwrap_or_default());
            MainFigure::new(figure.name, value_ms as f64)
        });
        self.rate_figures().into_iter().chain(latencies).collect()
    }

    /// The main figures that are not latencies.
    fn rate_figures(&self) -> [MainFigure; 21] {
        use ExchangeKind::{
            Peer, StateRead, StateTransaction, StateWatch, WorkerCommand, WorkerHeartbeat,
        };
        let (exchanges, bytes) = (|kind| self.exchanges(kind), |kind| self.bytes(kind));
        let max_sockets = self.max_controller_sockets() as f64;
        let worker_bytes = self.worker_bandwidth;
        [
            MainFigure::new(
                "controller processor, mean (cores)",
                self.mean_controller_cpu(),
            ),
            MainFigure::new(
                "controller processor, busiest (cores)",
                self.max_controller_cpu(),
            ),
            MainFigure::new(
                "controller memory, most (MB)",
                self.max_controller_memory_mb(),
            ),
            MainFigure::new("controller sockets, most", max_sockets),
            MainFigure::new("state requests/s", self.state_requests()),
            MainFigure::new("state changes/s", self.state_changes()),
            MainFigure::new("state changes per start", self.changes_per_start()),
            MainFigure::new("state transactions/s", exchanges(StateTransaction)),
            MainFigure::new("state reads/s", exchanges(StateRead)),
            MainFigure::new("state watches/s", exchanges(StateWatch)),
            MainFigure::new("state watch bytes/s", bytes(StateWatch)),
            MainFigure::new("state transaction bytes/s", bytes(StateTransaction)),
            MainFigure::new("sibling bytes/s", bytes(Peer)),
            MainFigure::new("worker reports/s", exchanges(WorkerHeartbeat)),
            MainFigure::new("worker report bytes/s", bytes(WorkerHeartbeat)),
            MainFigure::new("worker commands/s", exchanges(WorkerCommand)),
            MainFigure::new("worker control bytes/s, mean", worker_bytes.mean),
            MainFigure::new("worker control bytes/s, most", worker_bytes.max),
            MainFigure::new("starts/s", self.starts.started),
            MainFigure::new("starts/s, best 10 s", self.starts.started_best_10s),
            MainFigure::new("tasks running, mean", self.mean_running_tasks),
        ]
    }
}
