//! Days of a site, described in TOML: machines and limits, the jobs that users submit, and the faults with their
//! times.

mod validation;

pub use validation::{DayError, InvalidDay};

use glenmount_core::model::JobPriority;
use glenmount_core::safety_checks::Checks;
use glenmount_core::tuning::Tuning;
use serde::Deserialize;

/// An experiment file: days, and variants that each of them is run with.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Days, each of which is run.
    #[serde(rename = "day")]
    pub days: Vec<Day>,
    /// Variants of each day; without any, the day runs unchanged.
    #[serde(rename = "variant", default)]
    pub variants: Vec<Variant>,
}

/// Disabled checks and changed values of a run. Only the simulation has variants.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Name, unique among the variants.
    pub name: String,
    /// Names of the checks that are disabled.
    #[serde(rename = "without", default)]
    pub disabled_checks: Vec<String>,
    /// Changed tuning constants.
    #[serde(default)]
    pub tuning: Tuning,
    /// Number of machines at the start, if it differs from the day's.
    #[serde(default)]
    pub machines: Option<usize>,
    /// Number of controllers, if it differs from the day's.
    #[serde(rename = "nodes", default)]
    pub controllers: Option<usize>,
}

/// A day of a site.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// Name, unique among the days.
    pub name: String,
    /// Seconds in which users submit jobs.
    pub seconds: u64,
    /// Seconds before measurements begin.
    #[serde(rename = "warm_s")]
    pub warmup_s: u64,
    /// Number of machines at the start.
    pub machines: usize,
    /// Number of further machines that the cloud can provision.
    #[serde(default)]
    pub capacity: u32,
    /// Number of controllers.
    #[serde(rename = "nodes")]
    pub controllers: usize,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Zones of the controllers, assigned in turn; all zones by default.
    #[serde(rename = "nodes_in", default)]
    pub controller_zones: Vec<String>,
    /// Limits of the state store, the cloud and the controllers.
    pub limits: Limits,
    /// Intervals and timeouts of workers.
    pub workers: Workers,
    /// Teams and their quotas.
    #[serde(rename = "team")]
    pub teams: Vec<Team>,
    /// Classes of jobs.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Faults to inject.
    #[serde(rename = "trouble", default)]
    pub faults: Vec<Fault>,
}

/// Limits of the external services and of controllers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Requests per second that the state store accepts.
    pub state_rps: f64,
    /// Changes per second that the state store accepts.
    pub write_rps: f64,
    /// Calls per second that the cloud accepts.
    pub cloud_rps: f64,
    /// Seconds by which the cloud's instance list lags.
    pub list_lag_s: f64,
    /// Size limit of a value in KiB.
    pub value_kb: f64,
    /// Maximum number of changes in a transaction.
    #[serde(rename = "txn_ops")]
    pub transaction_changes: usize,
    /// Maximum number of worker connections of a controller.
    #[serde(rename = "sockets")]
    pub worker_connections: usize,
}

/// Intervals and timeouts of workers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workers {
    /// Seconds between two heartbeats of a worker.
    #[serde(rename = "report_s")]
    pub heartbeat_s: f64,
    /// Seconds after which the lease of a worker expires.
    pub lease_s: f64,
    /// Seconds within which tasks of a cancelled job must have ended.
    pub cancel_s: f64,
}

/// A team and its quota.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name, unique among the teams.
    pub name: String,
    /// Guaranteed processors; 0 for none.
    pub cpus: f64,
    /// Maximum number of processors in use at a time; 0 for no limit.
    pub cpus_max: f64,
}

/// A class of jobs. Sizes and run times follow a log-normal distribution.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name, unique among the classes.
    pub name: String,
    /// Names of the teams that submit its jobs.
    pub teams: Vec<String>,
    /// Whether its jobs are services, which run until a user cancels them.
    #[serde(default)]
    pub service: bool,
    /// Priority: `low`, `standard`, `high` or `critical`.
    #[serde(rename = "rank")]
    pub priority: String,
    /// Median number of tasks of a job.
    pub tasks: f64,
    /// Maximum number of tasks of a job.
    #[serde(default)]
    pub tasks_max: Option<u32>,
    /// Median run time of a task in seconds.
    pub run_s: f64,
    /// Processors of a task.
    pub cpus: f64,
    /// Jobs submitted per second.
    pub rate: f64,
    /// Jobs submitted at the start.
    #[serde(default)]
    pub initial: u32,
    /// Completion goals of its jobs in seconds.
    #[serde(rename = "within_s", default)]
    pub objectives_s: Vec<f64>,
    /// Factor of the estimated run time after which, plus 10 s, a job is due.
    #[serde(rename = "deadline", default)]
    pub deadline_factor: Option<f64>,
    /// Whether tasks may run on spot machines.
    #[serde(default)]
    pub spot: bool,
    /// Whether tasks are spread over the zones.
    #[serde(default)]
    #[serde(rename = "scatter")]
    pub topology_spread: bool,
    /// Number of different images of its jobs.
    #[serde(default)]
    pub images: Option<u32>,
    /// Share of its jobs that users cancel after half of their run time.
    #[serde(rename = "cancelled", default)]
    pub cancelled_share: f64,
}

/// A fault and the times at which it begins.
#[derive(Clone, Debug, Deserialize)]
pub struct Fault {
    /// Seconds from the day's start to the first time.
    pub at_s: f64,
    /// Number of times that the fault is injected; 0 counts as 1.
    #[serde(default)]
    pub times: u32,
    /// Seconds between two of these times.
    #[serde(default)]
    pub every_s: f64,
    /// Kind of the fault.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// A kind of fault with its parameters. The busiest controller is the one with the most workers.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum FaultKind {
    /// The busiest controllers crash and restart.
    #[serde(rename = "end")]
    Crash {
        /// Number of controllers.
        count: usize,
        /// Seconds until the next process starts.
        back_s: f64,
    },
    /// The busiest controller shuts down gracefully and restarts.
    #[serde(rename = "leave")]
    ShutDown {
        /// Seconds until the next process starts.
        back_s: f64,
    },
    /// The busiest controllers are paused.
    #[serde(rename = "freeze")]
    Pause {
        /// Number of controllers.
        count: usize,
        /// Duration in seconds.
        for_s: f64,
    },
    /// The busiest controller loses its connection to the state store.
    CutState {
        /// Duration in seconds.
        for_s: f64,
    },
    /// The busiest controller loses its connections to workers.
    CutWorkers {
        /// Duration in seconds.
        for_s: f64,
    },
    /// The busiest controller loses its connections to peers.
    CutPeers {
        /// Duration in seconds.
        for_s: f64,
    },
    /// The state store is unavailable.
    StateOutage {
        /// Duration in seconds.
        for_s: f64,
    },
    /// A zone, with the controllers in it, is partitioned from everything else.
    ZoneCut {
        /// Name of the zone.
        zone: String,
        /// Duration in seconds.
        for_s: f64,
    },
    /// Random machines fail for good.
    MachinesDie {
        /// Number of machines.
        count: usize,
    },
    /// Random machines lose their network connection.
    MachinesCut {
        /// Number of machines.
        count: usize,
        /// Duration in seconds.
        for_s: f64,
    },
    /// The busiest controller loses the state store and its peers, but not its workers and users.
    CutAlone {
        /// Duration in seconds.
        for_s: f64,
    },
    /// The state store answers only the busiest controller with 503.
    RefuseState {
        /// Duration in seconds.
        for_s: f64,
    },
    /// Random machines lose all messages to them, while their heartbeats arrive.
    #[serde(rename = "deaf")]
    InboundLost {
        /// Number of machines.
        count: usize,
        /// Duration in seconds.
        for_s: f64,
    },
    /// A share of the transactions gets no answer and is executed seconds later.
    LateWrites {
        /// Share between 0 and 1.
        share: f64,
        /// Duration in seconds.
        for_s: f64,
    },
    /// A share of the workers' heartbeats arrives a second time, later.
    LateReports {
        /// Share between 0 and 1.
        share: f64,
        /// Duration in seconds.
        for_s: f64,
    },
    /// A class submits more jobs.
    Burst {
        /// Name of the class.
        class: String,
        /// Factor on the rate of its submissions.
        factor: f64,
        /// Duration in seconds.
        for_s: f64,
    },
}

/// Disables a check by its name.
///
/// # Errors
/// Returns [`DayError::UnknownCheck`] for an unknown name.
pub fn disable_check(checks: &mut Checks, name: &str) -> Result<(), DayError> {
    let check = match name {
        "proof" => &mut checks.linearizable_reads,
        "gap" => &mut checks.pause_detection,
        "caught_up" => &mut checks.watch_caught_up,
        "types" => &mut checks.machine_types,
        "format" => &mut checks.storage_format,
        "view" => &mut checks.current_cache,
        "fate" => &mut checks.attempt_revision,
        "heard" => &mut checks.heartbeat_since_start,
        "round" => &mut checks.heartbeat_round,
        "hires" => &mut checks.outstanding_instances,
        "zones" => &mut checks.zone_reachability,
        "workers" => &mut checks.worker_reachability,
        "copies" => &mut checks.duplicate_heartbeats,
        "hears" => &mut checks.command_reachability,
        "alone" => &mut checks.isolation,
        "bounded" => &mut checks.bounded_leases,
        "unanswered" => &mut checks.unanswered_transactions,
        "doubt" => &mut checks.uncertain_outcomes,
        "session" => &mut checks.incarnation,
        "forget" => &mut checks.fenced_forget,
        "mute" => &mut checks.heartbeat_reachability,
        "strangers" => &mut checks.unmanaged_instances,
        "begins" => &mut checks.batch_start_delay,
        "configuration" => &mut checks.stored_configuration,
        "configured" => &mut checks.configuration_conditions,
        "eviction" => &mut checks.quota_eviction,
        other => return Err(DayError::UnknownCheck(other.to_string())),
    };
    *check = false;
    Ok(())
}

/// Returns the job priority for a `rank`, or `None` for an unknown one.
pub fn parse_priority(name: &str) -> Option<JobPriority> {
    Some(match name {
        "low" => JobPriority::Low,
        "standard" => JobPriority::Normal,
        "high" => JobPriority::High,
        "critical" => JobPriority::Production,
        _ => return None,
    })
}
