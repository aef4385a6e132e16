//! The simulation: its parts, and how one is set up.

use crate::cloud::Cloud;
use crate::digest::EffectDigest;
use crate::event_loop::{Action, EventQueue};
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
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Wall-clock time at the start of every simulation, in milliseconds since the Unix revision.
pub const START_TIME_MS: u64 = 1_700_000_000_000;
/// Milliseconds between the first starts of two controllers.
const CONTROLLER_START_GAP_MS: u64 = 7;
/// Milliseconds until the first machine is up, and between two.
const FIRST_BOOT_MS: u64 = 10;
const BOOT_GAP_MS: u64 = 13;
/// Limits that the state service announces for the time after an upgrade from the previous version.
const LOWERED_LIMITS: TransactionLimits = TransactionLimits {
    max_value_bytes: 2 * 1024,
    changes: 5,
};

/// One process of a controller. Events for an earlier one are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ProcessId {
    pub controller: usize,
    pub incarnation: u32,
}

/// Controllers, state service, cloud, workers and users, in one thread and in simulated time. The same seed
/// and the same calls give the same run.
pub struct Simulation {
    /// Simulated time in milliseconds since the start.
    pub now_ms: u64,
    /// Source of all random numbers.
    pub rng: SmallRng,
    pub(crate) queue: EventQueue,
    /// Settings with which controllers start next; workers and the state service follow them at once.
    pub settings: Settings,
    /// The controllers, by their index.
    pub controllers: Vec<ControllerSlot>,
    /// Zones that have controllers, in turn; empty for all zones.
    pub controller_zones: Vec<String>,
    /// Milliseconds by which each controller's wall clock is ahead.
    pub clock_ahead_ms: Vec<u64>,
    /// The state service.
    pub state: StateStore,
    /// The cloud.
    pub cloud: Cloud,
    /// Connections and what is lost on them.
    pub network: Network,
    /// Limits of what the state service, the cloud and controllers take, if any.
    pub service_limits: ServiceLimits,
    /// Workers by the names of their machines.
    pub workers: BTreeMap<String, Worker>,
    /// The lease of a stalled worker expires in time; else it holds its tasks until it resumes, which is more
    /// than the protocol promises, so nothing that users are told may rest on the former.
    pub stalled_leases_expire: bool,
    pub(crate) pending_heartbeats: HashMap<(ProcessId, RequestId), PendingHeartbeat>,
    /// How long tasks run, and which fail.
    pub workload: Workload,
    /// Jobs that were submitted, whether they were accepted or not.
    pub job_specs: BTreeMap<String, JobSpec>,
    /// Tasks that have completed on a worker.
    pub completed_tasks: BTreeSet<TaskId>,
    /// What users were told, by job.
    pub user_views: BTreeMap<String, UserView>,
    /// Answers to users' requests.
    pub answers: BTreeMap<RequestId, UserReply>,
    pub(crate) pending_requests: HashMap<RequestId, PendingRequest>,
    pub(crate) next_request: u64,
    /// Users send requests about a job to all controllers within milliseconds of its acceptance, cancellation
    /// or completion.
    pub follow_up_requests: bool,
    /// Share of the jobs that users cancel in the moment in which the last task completes.
    pub cancel_at_completion: f64,
    /// Invariants are not checked, which takes longer than all else: for measurements.
    pub skip_invariants: bool,
    pub(crate) placements: Placements,
    /// What operators have configured.
    pub operator: OperatorState,
    /// Counts of what happened.
    pub metrics: Metrics,
    /// Hashes what controllers do, if present.
    pub digest: Option<EffectDigest>,
}

impl Simulation {
    /// A simulation of so many controllers, and machines of the small type in two zones.
    pub fn new(seed: u64, controllers: usize, machines: usize) -> Simulation {
        let mut sim = Simulation::without_machines(seed, controllers);
        for i in 0..controllers {
            sim.controllers.push(ControllerSlot::default());
            sim.schedule(
                i as u64 * CONTROLLER_START_GAP_MS,
                Action::StartController(i),
            );
        }
        for i in 0..machines {
            let zone = ["east", "west"][i % 2];
            sim.boot_machine("small", zone, false, FIRST_BOOT_MS + i as u64 * BOOT_GAP_MS);
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
            operator: OperatorState::default(),
            metrics: Metrics::default(),
            digest: None,
        }
    }

    /// A simulation whose controllers all run the previous version, under limits that will be lowered after
    /// their upgrade.
    pub fn previous_version(seed: u64, controllers: usize, machines: usize) -> Simulation {
        let mut sim = Simulation::new(seed, controllers, machines);
        for slot in &mut sim.controllers {
            slot.upgraded_from = u32::MAX;
        }
        // Cancellations that the previous version confirms at their commit rest on leases.
        sim.stalled_leases_expire = true;
        sim.state.limits = Some(sim.state.previous_limits);
        sim.settings.max_value_bytes = LOWERED_LIMITS.max_value_bytes;
        sim.settings.max_transaction_changes = LOWERED_LIMITS.changes;
        sim
    }
}
