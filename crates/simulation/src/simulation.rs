//! The [`Simulation`] type, its components and its construction.

use crate::cloud::Cloud;
use crate::digest::EffectDigest;
use crate::event_loop::{Action, EventQueue};
use crate::invariants::BegunAttempt;
use crate::metrics::Metrics;
use crate::network::Network;
use crate::operator::OperatorState;
use crate::placements::Placements;
use crate::rate_limits::ServiceLimits;
use crate::requests::PendingRequest;
use crate::state_store::{StateStore, TransactionLimits};
use crate::workers::PendingHeartbeat;
use crate::workload::Workload;
use crate::{settings, ControllerSlot, UserView, Worker};
use glenmount_core::controller::{RequestId, UserReply};
use glenmount_core::model::{JobSpec, TaskId};
use glenmount_core::settings::Settings;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// Wall-clock time at the start of every simulation, in milliseconds since the Unix epoch.
pub const START_TIME_MS: u64 = 1_700_000_000_000;
/// Delay between the initial starts of two controllers.
const CONTROLLER_START_GAP_MS: u64 = 7;
/// Delay until the first machine is up.
const FIRST_BOOT_MS: u64 = 10;
/// Delay between the initial boots of two machines.
const BOOT_GAP_MS: u64 = 13;
/// Limits that the state store announces for the time after an upgrade from the previous version.
const LOWERED_LIMITS: TransactionLimits = TransactionLimits {
    max_value_bytes: 2 * 1024,
    changes: 5,
};

/// Identifies one process of a controller. The event loop drops events for earlier processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ProcessId {
    pub controller: usize,
    pub incarnation: u32,
}

/// A simulation of controllers, state store, cloud, workers and users, in one thread and in simulated time. The
/// same seed and the same calls give the same run.
pub struct Simulation {
    /// Simulated time in milliseconds since the start.
    pub now_ms: u64,
    /// Source of all random numbers.
    pub rng: SmallRng,
    pub(crate) queue: EventQueue,
    /// Settings. Controllers use them from their next start on, workers and the state store at once.
    pub settings: Settings,
    /// Controllers by index.
    pub controllers: Vec<ControllerSlot>,
    /// Zones of the controllers, assigned in turn; empty for all zones.
    pub controller_zones: Vec<String>,
    /// Milliseconds by which each controller's wall clock is ahead of simulated time.
    pub clock_ahead_ms: Vec<u64>,
    /// State store.
    pub state: StateStore,
    /// Cloud.
    pub cloud: Cloud,
    /// Network between the components, with its faults.
    pub network: Network,
    /// Limits of the state store, the cloud and the controllers.
    pub service_limits: ServiceLimits,
    /// Workers by the names of their machines.
    pub workers: BTreeMap<String, Worker>,
    /// Whether the lease of a stalled worker expires on time. Otherwise the worker holds its tasks until it
    /// resumes. The protocol does not guarantee the expiry on time, so no answer to a user may depend on it.
    pub stalled_leases_expire: bool,
    pub(crate) pending_heartbeats: HashMap<(ProcessId, RequestId), PendingHeartbeat>,
    /// Run times of tasks, and jobs whose tasks fail.
    pub workload: Workload,
    /// Specs of all submitted jobs, accepted or not.
    pub job_specs: BTreeMap<String, JobSpec>,
    /// Tasks that have completed on a worker.
    pub completed_tasks: BTreeSet<TaskId>,
    /// Answers that users have received so far, summarised by job.
    pub user_views: BTreeMap<String, UserView>,
    /// Answers to users' requests, by request.
    pub answers: BTreeMap<RequestId, UserReply>,
    pub(crate) pending_requests: HashMap<RequestId, PendingRequest>,
    pub(crate) next_request: u64,
    /// Whether users send requests about a job to all controllers within milliseconds of its acceptance,
    /// cancellation or completion.
    pub follow_up_requests: bool,
    /// Share of the jobs that users cancel at the moment at which the last task completes.
    pub cancel_at_completion: f64,
    /// Whether to skip the checks of invariants for measurements: they take longer than everything else.
    pub skip_invariants: bool,
    pub(crate) placements: Placements,
    /// Attempts that a worker has begun, with the machine and the worker's incarnation.
    pub(crate) begun_attempts: HashSet<BegunAttempt>,
    /// Configuration that operators have committed.
    pub operator: OperatorState,
    /// Counters of the simulation.
    pub metrics: Metrics,
    /// Digest of the effects of controllers, if enabled.
    pub digest: Option<EffectDigest>,
}

impl Simulation {
    /// Creates a simulation with controllers, and with machines of type `small` in two zones.
    pub fn new(seed: u64, controllers: usize, machines: usize) -> Simulation {
        let mut sim = Simulation::without_machines(seed, controllers);
        for index in 0..controllers {
            sim.controllers.push(ControllerSlot::default());
            sim.schedule(
                index as u64 * CONTROLLER_START_GAP_MS,
                Action::StartController(index),
            );
        }
        for index in 0..machines {
            let zone = ["east", "west"][index % 2];
            sim.boot_machine(
                "small",
                zone,
                false,
                FIRST_BOOT_MS + index as u64 * BOOT_GAP_MS,
            );
        }
        sim
    }

    fn without_machines(seed: u64, controllers: usize) -> Simulation {
        Simulation {
            now_ms: 0,
            rng: SmallRng::seed_from_u64(seed),
            queue: EventQueue::default(),
            settings: settings("", controllers),
            controllers: Vec::new(),
            controller_zones: Vec::new(),
            clock_ahead_ms: vec![0; controllers],
            state: StateStore::default(),
            cloud: Cloud::default(),
            network: Network::default(),
            service_limits: ServiceLimits::default(),
            workers: BTreeMap::new(),
            stalled_leases_expire: false,
            pending_heartbeats: HashMap::new(),
            workload: Workload::default(),
            job_specs: BTreeMap::new(),
            completed_tasks: BTreeSet::new(),
            user_views: BTreeMap::new(),
            answers: BTreeMap::new(),
            pending_requests: HashMap::new(),
            next_request: 1,
            follow_up_requests: false,
            cancel_at_completion: 0.0,
            skip_invariants: false,
            placements: Placements::default(),
            begun_attempts: HashSet::new(),
            operator: OperatorState::default(),
            metrics: Metrics::default(),
            digest: None,
        }
    }

    /// Creates a simulation whose controllers all run the previous version, under limits that are lowered after
    /// their upgrade.
    pub fn previous_version(seed: u64, controllers: usize, machines: usize) -> Simulation {
        let mut sim = Simulation::new(seed, controllers, machines);
        for slot in &mut sim.controllers {
            slot.upgraded_from = u32::MAX;
        }
        // The previous version confirms a cancellation at its commit, which is correct only if leases expire on time.
        sim.stalled_leases_expire = true;
        sim.state.limits = Some(sim.state.previous_limits);
        sim.settings.max_value_bytes = LOWERED_LIMITS.max_value_bytes;
        sim.settings.max_transaction_changes = LOWERED_LIMITS.changes;
        sim
    }
}
