//! The controller: handles events, maintains the state cache and emits effects.

mod housekeeping;
mod lifecycle;
pub(crate) mod messages;
pub(crate) mod operations;
mod pause;
mod readiness;
mod shutdown;
mod upgrade;

pub use messages::*;
pub(crate) use operations::*;

use crate::configuration::Configuration;
use crate::constants::PAUSE_DETECTION_MS;
use crate::controller::lifecycle::Lifecycle;
use crate::controller::upgrade::Upgrade;
use crate::jobs::cleanup_state::CleanupState;
use crate::jobs::request_table::RequestTable;
use crate::metrics::Metrics;
use crate::model::{MachineType, Millis, WallMs};
use crate::peers::PeerTracker;
use crate::provisioning::tracker::ProvisioningTracker;
use crate::run_times::RunTimes;
use crate::scheduling::schedule::Schedule;
use crate::settings::Settings;
use crate::state::list_watch::ListWatch;
use crate::state::reads::LinearizableReads;
use crate::state::write_control::WriteControl;
use crate::state::StateCache;
use crate::workers::registry::WorkerRegistry;
use crate::workers::write_back::WriteBack;
use crate::zones::failures::ZoneTracker;
use foldhash::{HashMap, HashMapExt};
use rand::rngs::SmallRng;
use rand::SeedableRng;

/// A controller. Its methods make every scheduling decision, one event at a time.
pub struct Controller {
    /// Settings read at the start. Teams and objectives are updated from the stored configuration.
    pub settings: Settings,
    pub cache: StateCache,
    /// The cloud's machine types, by name.
    pub machine_types: HashMap<String, MachineType>,
    pub(crate) rng: SmallRng,
    /// Monotonic time of the current event.
    pub(crate) now: Millis,
    /// Wall-clock time of the current event.
    pub(crate) wall_time: WallMs,
    /// Whether the current event has changed the cache.
    pub(crate) cache_changed: bool,
    /// Effects of the current event.
    pub(crate) effects: Vec<Effect>,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) operations: OperationTracker,
    pub(crate) list_watch: ListWatch,
    pub(crate) reads: LinearizableReads,
    pub(crate) writes: WriteControl,
    pub(crate) requests: RequestTable,
    pub(crate) workers: WorkerRegistry,
    pub(crate) write_back: WriteBack,
    pub(crate) peers: PeerTracker,
    pub(crate) zones: ZoneTracker,
    pub(crate) provisioning: ProvisioningTracker,
    pub(crate) scheduling: Schedule,
    pub(crate) cleanup: CleanupState,
    pub(crate) upgrade: Upgrade,
    pub(crate) configuration: Configuration,
    pub(crate) run_times: RunTimes,
    pub(crate) metrics: Metrics,
}

impl Controller {
    /// Creates a controller that has just started. `seed` seeds its random number generator, `now` is the
    /// monotonic time and `wall_time` the wall-clock time.
    pub fn new(settings: Settings, seed: u64, now: Millis, wall_time: WallMs) -> Controller {
        let mut cache = StateCache::default();
        cache.members = match settings.checks.storage_format {
            true => settings.controllers.clone(),
            false => vec![settings.controller.clone()],
        };
        Controller {
            cache,
            machine_types: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            now,
            wall_time,
            cache_changed: false,
            effects: Vec::new(),
            lifecycle: Lifecycle::new(now),
            operations: OperationTracker::new(),
            list_watch: ListWatch::new(now),
            reads: LinearizableReads::new(),
            writes: WriteControl::new(&settings, now),
            requests: RequestTable::new(&settings, now),
            workers: WorkerRegistry::new(now),
            write_back: WriteBack::new(),
            peers: PeerTracker::new(&settings, wall_time),
            zones: ZoneTracker::default(),
            provisioning: ProvisioningTracker::new(now),
            scheduling: Schedule::new(now),
            cleanup: CleanupState::new(),
            upgrade: Upgrade::default(),
            configuration: Configuration::new(settings.policy.clone()),
            run_times: RunTimes::default(),
            metrics: Metrics::new(now),
            settings,
        }
    }

    /// Handles one event at a monotonic time and a wall-clock time. Returns the effects to carry out.
    pub fn handle(&mut self, now: Millis, wall_time: WallMs, event: Event) -> Vec<Effect> {
        let gap_ms = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        self.wall_time = wall_time;
        if gap_ms >= PAUSE_DETECTION_MS && self.settings.checks.pause_detection {
            self.reset_after_pause(gap_ms);
        }
        match event {
            Event::Tick => self.tick(),
            Event::Submit { request, spec } => self.handle_submit(request, *spec),
            Event::Status { request, job } => self.handle_status(request, job),
            Event::Cancel { request, job } => self.handle_cancel(request, job),
            Event::WorkerHeartbeat { request, heartbeat } => {
                self.receive_worker_heartbeat(request, *heartbeat)
            }
            Event::State {
                operation_id,
                response,
            } => self.handle_state_response(operation_id, response),
            Event::StateTimeout { operation_id } => self.handle_state_timeout(operation_id),
            Event::WatchUpdate { revision, changes } => self.handle_watch_update(revision, changes),
            Event::WatchGap => self.start_list(),
            Event::Throttled => self.handle_throttling(),
            Event::Cloud {
                operation_id,
                response,
            } => self.handle_cloud_response(operation_id, response),
            Event::CommandResult {
                machine,
                outcome,
                heartbeat,
            } => {
                self.handle_command_result(machine, outcome, heartbeat.as_deref());
                if let Some(heartbeat) = heartbeat {
                    self.process_command_response(&heartbeat);
                }
            }
            Event::PeerHeartbeat(heartbeat) => self.receive_peer_heartbeat(heartbeat),
            Event::LinkEnded { controller } => self.peer_link_ended(&controller),
            Event::Shutdown => self.begin_shutdown(),
        }
        self.issue_read_index();
        if std::mem::take(&mut self.cache_changed) {
            self.process_deferred_heartbeats();
            self.confirm_cancellations();
        }
        self.write_results();
        self.run_scheduling_pass();
        std::mem::take(&mut self.effects)
    }
}
