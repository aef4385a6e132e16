//! Days of a site, described in TOML: what there is, what is asked, and what goes wrong when.

mod validation;

pub use validation::{DayError, InvalidDay};

use glenmount_core::model::JobPriority;
use glenmount_core::safety_checks::Checks;
use glenmount_core::tuning::Tuning;
use serde::Deserialize;

/// A file of `experiment`: days, and variants that each of them is played with.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The days, each of which is played.
    #[serde(rename = "day")]
    pub days: Vec<Day>,
    /// None: as the service runs.
    #[serde(rename = "variant", default)]
    pub variants: Vec<Variant>,
}

/// What is left out or changed. Only the simulation has this.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Name, unique within its kind.
    pub name: String,
    /// Checks that are left out, by their names.
    #[serde(rename = "without", default)]
    pub disabled_checks: Vec<String>,
    /// Constants that are changed, by their names.
    #[serde(default)]
    pub tuning: Tuning,
    /// Machines at the start.
    #[serde(default)]
    pub machines: Option<usize>,
    /// Controllers.
    #[serde(rename = "nodes", default)]
    pub controllers: Option<usize>,
}

/// A day of a site.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// Name, unique within its kind.
    pub name: String,
    /// Seconds in which jobs are submitted.
    pub seconds: u64,
    /// Seconds before anything is counted.
    #[serde(rename = "warm_s")]
    pub warmup_s: u64,
    /// Machines at the start.
    pub machines: usize,
    /// Machines that the cloud has beyond these.
    #[serde(default)]
    pub capacity: u32,
    /// Controllers.
    #[serde(rename = "nodes")]
    pub controllers: usize,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Zones that have controllers, in turn; all of them if not said.
    #[serde(rename = "nodes_in", default)]
    pub controller_zones: Vec<String>,
    /// Limits of the state service and the cloud.
    pub limits: Limits,
    /// Intervals and bounds of workers.
    pub workers: Workers,
    /// Teams, by their names.
    #[serde(rename = "team")]
    pub teams: Vec<Team>,
    /// Classes of jobs.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Faults.
    #[serde(rename = "trouble", default)]
    pub faults: Vec<Fault>,
}

/// What the outside services take.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Requests to the state service, a second.
    pub state_rps: f64,
    /// Changes of the state service, a second.
    pub write_rps: f64,
    /// Calls to the cloud, a second.
    pub cloud_rps: f64,
    /// Seconds by which the cloud's list lags.
    pub list_lag_s: f64,
    /// Largest value in KiB.
    pub value_kb: f64,
    /// Changes of a transaction, at most.
    #[serde(rename = "txn_ops")]
    pub transaction_changes: usize,
    /// Workers' connections that a controller holds at most.
    #[serde(rename = "sockets")]
    pub worker_connections: usize,
}

/// Intervals and bounds of workers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workers {
    /// Seconds between two heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_s: f64,
    /// Seconds after which the lease of a worker expires.
    pub lease_s: f64,
    /// Seconds within which cancelled tasks have ended.
    pub cancel_s: f64,
}

/// A team and its quota.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name, unique within its kind.
    pub name: String,
    /// Processors; 0 is none.
    pub cpus: f64,
    /// Most processors at a time; 0 is no limit.
    pub cpus_max: f64,
}

/// A class of jobs. Sizes and run times are spread like a logarithmic normal distribution.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name, unique within its kind.
    pub name: String,
    /// Teams, by their names.
    pub teams: Vec<String>,
    /// Its jobs are services, which run until they are cancelled.
    #[serde(default)]
    pub service: bool,
    /// `low`, `standard`, `high` or `critical`.
    #[serde(rename = "rank")]
    pub priority: String,
    /// Median number of tasks.
    pub tasks: f64,
    /// Most tasks of a job.
    #[serde(default)]
    pub tasks_max: Option<u32>,
    /// Median run time in seconds.
    pub run_s: f64,
    /// Processors of a task.
    pub cpus: f64,
    /// Jobs a second, and at the start.
    pub rate: f64,
    /// Jobs submitted at the start.
    #[serde(default)]
    pub initial: u32,
    /// Seconds within which its jobs should be done.
    #[serde(rename = "within_s", default)]
    pub objectives_s: Vec<f64>,
    /// Due so many times its run time and 10 s after its submission.
    #[serde(rename = "deadline", default)]
    pub deadline_factor: Option<f64>,
    /// Tasks may run on spot machines.
    #[serde(default)]
    pub spot: bool,
    /// Tasks are spread over the zones.
    #[serde(default)]
    #[serde(rename = "scatter")]
    pub topology_spread: bool,
    /// Number of images.
    #[serde(default)]
    pub images: Option<u32>,
    /// Share of its jobs that are cancelled half way.
    #[serde(rename = "cancelled", default)]
    pub cancelled_share: f64,
}

/// A fault and when it begins.
#[derive(Clone, Debug, Deserialize)]
pub struct Fault {
    /// Seconds after the day's start.
    pub at_s: f64,
    /// Again so many times, so often.
    #[serde(default)]
    pub times: u32,
    /// Seconds between two repetitions.
    #[serde(default)]
    pub every_s: f64,
    /// What goes wrong.
    #[serde(flatten)]
    pub what: FaultKind,
}

/// What goes wrong.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum FaultKind {
    /// The busiest controllers end, and are back after some time.
    #[serde(rename = "end")]
    Crash {
        /// How many.
        count: usize,
        /// Seconds until the next process starts.
        back_s: f64,
    },
    /// The busiest controller is asked to end.
    #[serde(rename = "leave")]
    ShutDown {
        /// Seconds until the next process starts.
        back_s: f64,
    },
    /// The busiest controllers are paused.
    #[serde(rename = "freeze")]
    Pause {
        /// How many.
        count: usize,
        /// Seconds that it lasts.
        for_s: f64,
    },
    /// The busiest controller loses the state service.
    CutState {
        /// Seconds that it lasts.
        for_s: f64,
    },
    /// The busiest controller loses its workers.
    CutWorkers {
        /// Seconds that it lasts.
        for_s: f64,
    },
    /// The busiest controller loses its peers.
    CutPeers {
        /// Seconds that it lasts.
        for_s: f64,
    },
    /// The state service is down.
    StateOutage {
        /// Seconds that it lasts.
        for_s: f64,
    },
    /// A zone is cut off from everything else, with the controllers in it.
    ZoneCut {
        /// The zone.
        zone: String,
        /// Seconds that it lasts.
        for_s: f64,
    },
    /// Machines die.
    MachinesDie {
        /// How many.
        count: usize,
    },
    /// They lose the network.
    MachinesCut {
        /// How many.
        count: usize,
        /// Seconds that it lasts.
        for_s: f64,
    },
    /// The busiest controller loses the state service and its peers, not its workers or users.
    CutAlone {
        /// Seconds that it lasts.
        for_s: f64,
    },
    /// The state service answers the busiest controller alone with 503.
    RefuseState {
        /// Seconds that it lasts.
        for_s: f64,
    },
    /// Answers and commands to these machines are lost; their reports arrive.
    #[serde(rename = "deaf")]
    InboundLost {
        /// How many.
        count: usize,
        /// Seconds that it lasts.
        for_s: f64,
    },
    /// That share of transactions gets no answer and is carried out seconds later.
    LateWrites {
        /// Share between 0 and 1.
        share: f64,
        /// Seconds that it lasts.
        for_s: f64,
    },
    /// Of that share of the reports a copy arrives again later.
    LateReports {
        /// Share between 0 and 1.
        share: f64,
        /// Seconds that it lasts.
        for_s: f64,
    },
    /// A class submits more jobs.
    Burst {
        /// The class.
        class: String,
        /// By how much more often its jobs are submitted.
        factor: f64,
        /// Seconds that it lasts.
        for_s: f64,
    },
}

/// Leaves a check out, by its name.
///
/// # Errors
/// There is no such check.
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

/// The job priority that a class names, if there is such.
pub fn parse_priority(name: &str) -> Option<JobPriority> {
    Some(match name {
        "low" => JobPriority::Low,
        "standard" => JobPriority::Normal,
        "high" => JobPriority::High,
        "critical" => JobPriority::Production,
        _ => return None,
    })
}
