//! Figures of a run and the main figures that are derived from them.

use super::latencies::{LatencyKind, Quantiles};
use super::traffic::{ExchangeKind, Traffic};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The resource usage of one process during the measured phase.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct ProcessUsage {
    /// Mean processor usage, in cores.
    #[serde(rename = "cpu")]
    pub mean_cpu: f64,
    /// Highest processor usage within one second, in cores.
    #[serde(rename = "cpu_peak")]
    pub peak_cpu: f64,
    /// Resident memory at the end of the measured phase.
    pub resident_mb: f64,
    /// Highest resident memory since the process started.
    pub peak_mb: f64,
    /// Highest number of open sockets.
    #[serde(rename = "sockets")]
    pub max_sockets: usize,
}

/// The rates of submitted and of started tasks, per second.
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

/// The control traffic of workers, in bytes per second of one worker.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct WorkerBandwidth {
    /// Mean over all workers.
    pub mean: f64,
    /// 99th percentile over all workers.
    pub p99: f64,
    /// Value of the busiest worker.
    pub max: f64,
}

/// The number of keys of one kind of record, and their bytes.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct RecordUsage {
    /// Number of keys.
    pub count: usize,
    /// Bytes of keys and values.
    pub bytes: usize,
}

/// The figures of a run; rates are per second of the measured phase.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Figures {
    /// Length of the measured phase.
    pub seconds: f64,
    /// Workers with power at the end.
    pub workers: usize,
    /// Mean number of running tasks.
    #[serde(rename = "running")]
    pub mean_running_tasks: f64,
    /// Highest number of running tasks.
    #[serde(rename = "running_most")]
    pub max_running_tasks: usize,
    /// Usage of each controller, by index.
    pub controllers: Vec<ProcessUsage>,
    /// Usage of the load test's own process, which runs all stand-ins.
    pub stand_ins: ProcessUsage,
    /// Rates of exchanges by kind.
    pub traffic: BTreeMap<ExchangeKind, Traffic>,
    /// Rates of changes of the state store by kind of record.
    #[serde(rename = "changes")]
    pub record_changes: BTreeMap<String, f64>,
    /// Rates of transactions by the kinds of records that they change.
    pub transactions: BTreeMap<String, f64>,
    /// Contents of the state store at the end, by kind of record.
    pub records: BTreeMap<String, RecordUsage>,
    /// Rates of submitted and started tasks.
    pub starts: StartRates,
    /// Latencies by kind.
    #[serde(rename = "times")]
    pub latencies: BTreeMap<LatencyKind, Quantiles>,
    /// Control traffic of workers.
    #[serde(rename = "worker_bytes")]
    pub worker_bandwidth: WorkerBandwidth,
    /// Number of answers to users other than 200 and 201, and of missing answers, by name.
    #[serde(rename = "user_answers")]
    pub unexpected_answers: BTreeMap<String, u64>,
    /// Number of direct commands, their copies and answered heartbeats by outcome, since the start of the run.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub worker_messages: BTreeMap<String, u64>,
    /// Size of the largest heartbeat of a worker since the start of the run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub largest_heartbeat_bytes: Option<u64>,
}

/// A figure that is compared between runs and fitted to the sizes of runs.
#[derive(Debug, Clone, PartialEq)]
pub struct MainFigure {
    /// Name with unit.
    pub name: &'static str,
    /// Value of the figure.
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

/// Lower bound of the start rate as a divisor, so that a run without starts doesn't divide by 0.
const MIN_STARTS_PER_S: f64 = 1e-9;

impl Figures {
    /// Returns the mean processor usage of the controllers, in cores.
    pub fn mean_controller_cpu(&self) -> f64 {
        let total: f64 = self.controllers.iter().map(|usage| usage.mean_cpu).sum();
        total / self.controllers.len().max(1) as f64
    }

    /// Returns the processor usage of the busiest controller, in cores.
    pub fn max_controller_cpu(&self) -> f64 {
        let cpus = self.controllers.iter().map(|usage| usage.mean_cpu);
        cpus.fold(0.0, f64::max)
    }

    /// Returns the highest memory usage of a controller, in MB.
    pub fn max_controller_memory_mb(&self) -> f64 {
        let peaks_mb = self.controllers.iter().map(|usage| usage.peak_mb);
        peaks_mb.fold(0.0, f64::max)
    }

    /// Returns the highest number of open sockets of a controller.
    pub fn max_controller_sockets(&self) -> usize {
        let sockets = self.controllers.iter().map(|usage| usage.max_sockets);
        sockets.max().unwrap_or(0)
    }

    /// Returns the requests of the controllers to the state store per second.
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

    /// Returns the changes of the state store per second.
    pub fn state_changes(&self) -> f64 {
        self.record_changes.values().sum()
    }

    /// Returns the changes of the state store per start of a task.
    pub fn changes_per_start(&self) -> f64 {
        self.state_changes() / self.starts.started.max(MIN_STARTS_PER_S)
    }

    /// Returns the bytes per second of one kind of exchange.
    pub fn bytes(&self, kind: ExchangeKind) -> f64 {
        let traffic = self.traffic.get(&kind);
        traffic.map_or(0.0, |traffic| traffic.bytes())
    }

    /// Returns the exchanges per second of one kind.
    pub fn exchanges(&self, kind: ExchangeKind) -> f64 {
        let traffic = self.traffic.get(&kind);
        traffic.map_or(0.0, |traffic| traffic.exchanges)
    }

    /// Returns the main figures in the order in which they are printed.
    pub fn main_figures(&self) -> Vec<MainFigure> {
        let latencies = LATENCY_FIGURES.iter().map(|figure| {
            let quantiles = self.latencies.get(&figure.kind).copied();
            let value_ms = figure.quantile.of(quantiles.unwrap_or_default());
            MainFigure::new(figure.name, value_ms as f64)
        });
        self.rate_figures().into_iter().chain(latencies).collect()
    }

    /// Returns the main figures that are not latencies.
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
