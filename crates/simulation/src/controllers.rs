//! Controllers: starts, crashes, shutdowns, pauses and the handling of events.

use crate::{event_as_read, Action, ProcessId, Simulation, START_TIME_MS};
use glenmount_core::controller::{Controller, Event, PeerHeartbeat};
use glenmount_core::settings::RuntimeEstimateUse;
use rand::Rng;

/// Interval between two ticks of a controller.
const TICK_MS: u64 = 50;

/// A controller with its process, if one runs, and its connections.
#[derive(Default)]
pub struct ControllerSlot {
    /// Running process, if any.
    pub controller: Option<Controller>,
    /// Number of earlier processes.
    pub incarnation: u32,
    /// First incarnation that runs the current version. Earlier ones run the previous version, which supports only
    /// format 1.
    pub(crate) upgraded_from: u32,
    /// Whether its requests to the state store get no answer and its watch delivers nothing.
    pub cut_from_state: bool,
    /// Whether the state store answers it, and only it, with 503.
    pub refused_by_state: bool,
    /// Whether it and the workers cannot reach each other.
    pub cut_from_workers: bool,
    /// Whether it and its peers cannot reach each other.
    pub cut_from_peers: bool,
    /// Whether its messages to workers and peers are lost, while it receives theirs.
    pub outbound_lost: bool,
    /// Revision up to which its watch has delivered changes, if it has a watch.
    pub(crate) watched_revision: Option<u64>,
    /// Time until which its watch delivers nothing.
    pub(crate) watch_delayed_until_ms: u64,
    /// Time until which it is paused.
    pub(crate) paused_until_ms: u64,
    /// Events that arrived during the pause.
    pub(crate) backlog: Vec<Event>,
    /// Number of commands and transactions that it has sent.
    pub messages_sent: u32,
    /// Milliseconds from the end of a graceful shutdown to the next start.
    pub(crate) restart_after_ms: u64,
    /// Time at which its last process ended.
    pub last_stopped_ms: u64,
    /// Time at which its process started.
    pub started_ms: u64,
    /// Time at which its process was first ready.
    pub first_ready_ms: Option<u64>,
    /// Time at which its process accepted its first job.
    pub first_accepted_ms: Option<u64>,
    /// Time at which its process sent its first start command.
    pub first_start_ms: Option<u64>,
}

/// Returns the number of the connection that an event arrives on. A resumed controller reads one connection after
/// the other.
fn connection_number(event: &Event) -> u64 {
    match event {
        Event::WatchUpdate { .. } | Event::WatchGap => 0,
        Event::State { .. } => 3,
        Event::PeerHeartbeat(_) => 5,
        Event::WorkerHeartbeat { .. } => 6,
        _ => 7,
    }
}

impl Simulation {
    /// Returns the current process of a controller, or its last one.
    pub(crate) fn process(&self, controller: usize) -> ProcessId {
        ProcessId {
            controller,
            incarnation: self.controllers[controller].incarnation,
        }
    }

    /// Returns whether a process is the latest of its controller.
    pub(crate) fn is_current(&self, process: ProcessId) -> bool {
        self.process(process.controller) == process
    }

    /// Returns whether a process runs the previous version.
    pub(crate) fn is_previous_version(&self, process: ProcessId) -> bool {
        process.incarnation < self.controllers[process.controller].upgraded_from
    }

    /// Returns the wall-clock time of a controller.
    fn wall_clock_ms(&self, controller: usize) -> u64 {
        START_TIME_MS + self.now_ms + self.clock_ahead_ms[controller]
    }

    /// Starts a process of a controller.
    pub(crate) fn start_controller(&mut self, controller: usize) {
        self.send_kept_heartbeats();
        let mut settings = self.settings.clone();
        settings.controller = self.settings.controllers[controller].clone();
        settings.zone = self.zone_of_controller(controller);
        let name_and_zone = |index: usize| {
            (
                self.settings.controllers[index].clone(),
                self.zone_of_controller(index),
            )
        };
        settings.controller_zones = (0..self.controllers.len()).map(name_and_zone).collect();
        let process = self.process(controller);
        if self.is_previous_version(process) {
            settings.max_value_bytes = self.state.previous_limits.max_value_bytes;
            settings.max_transaction_changes = self.state.previous_limits.changes;
            settings.runtime_estimates = RuntimeEstimateUse::default();
        }
        let seed = self.rng.gen();
        let running = Controller::new(settings, seed, self.now_ms, self.wall_clock_ms(controller));
        let slot = &mut self.controllers[controller];
        slot.controller = Some(running);
        slot.started_ms = self.now_ms;
        (
            slot.first_ready_ms,
            slot.first_accepted_ms,
            slot.first_start_ms,
        ) = (None, None, None);
        self.schedule(1, Action::Tick(process));
    }

    /// Delivers a tick to a controller and schedules the next one.
    pub(crate) fn tick(&mut self, process: ProcessId) {
        let controller = process.controller;
        if !self.is_current(process) || self.controllers[controller].controller.is_none() {
            return;
        }
        // A paused controller gets one tick, at its resumption, in place of all that it missed.
        if !self.is_paused(controller) {
            self.handle(controller, Event::Tick);
        }
        self.schedule(TICK_MS, Action::Tick(process));
    }

    /// Lets a controller handle an event, and applies its effects. A paused controller gets the event when it resumes.
    pub(crate) fn handle(&mut self, controller: usize, event: Event) {
        if self.is_paused(controller) {
            self.controllers[controller].backlog.push(event);
            return;
        }
        let (now_ms, wall_ms) = (self.now_ms, self.wall_clock_ms(controller));
        let process = self.process(controller);
        let is_previous_version = self.is_previous_version(process);
        let slot = &mut self.controllers[controller];
        let Some(running) = slot.controller.as_mut() else {
            return;
        };
        let event = match is_previous_version {
            true => event_as_read(event),
            false => event,
        };
        let is_peer_heartbeat = matches!(event, Event::PeerHeartbeat(_));
        let handling_started = std::time::Instant::now();
        let effects = running.handle(now_ms, wall_ms, event);
        let elapsed = handling_started.elapsed();
        self.metrics.event_time += elapsed;
        if is_peer_heartbeat {
            self.metrics.heartbeats += 1;
            self.metrics.heartbeat_time += elapsed;
        }
        self.metrics.events += 1;
        if slot.first_ready_ms.is_none() && running.ready() {
            slot.first_ready_ms = Some(now_ms);
        }
        if let Some(digest) = &mut self.digest {
            let ready = running.ready();
            for effect in &effects {
                digest.add(controller, now_ms, effect, ready);
            }
        }
        for effect in effects {
            self.apply_effect(process, effect);
        }
    }

    /// Crashes a controller, which restarts with the current version.
    pub fn upgrade(&mut self, controller: usize, restart_after_ms: u64) {
        self.crash(controller, restart_after_ms);
        self.controllers[controller].upgraded_from = self.controllers[controller]
            .incarnation
            .min(self.controllers[controller].upgraded_from);
    }

    /// Crashes a controller's process. The next process starts after a delay.
    pub fn crash(&mut self, controller: usize, restart_after_ms: u64) {
        let slot = &mut self.controllers[controller];
        slot.controller = None;
        slot.incarnation += 1;
        slot.watched_revision = None;
        slot.paused_until_ms = 0;
        slot.backlog.clear();
        slot.last_stopped_ms = self.now_ms;

        self.schedule(restart_after_ms, Action::StartController(controller));
        self.close_connections(controller);
    }

    /// Closes the connections of a process that has ended: its host tells the workers that wait for a reply, and
    /// the peers.
    fn close_connections(&mut self, controller: usize) {
        let is_cut_from_workers = self.controllers[controller].cut_from_workers
            || self.controllers[controller].outbound_lost;
        let waiting_workers: Vec<_> = (self.workers.values())
            .filter(|worker| {
                worker.controller == controller
                    && !worker.disconnected
                    && !is_cut_from_workers
                    && self.controller_reaches(controller, &worker.name)
            })
            .filter_map(|worker| Some((worker.name.clone(), worker.pending_heartbeat?)))
            .collect();
        for (worker, serial) in waiting_workers {
            let delay_ms = self.rng.gen_range(1..4);
            self.schedule(delay_ms, Action::TimeOutHeartbeat { worker, serial });
        }
        for peer in (0..self.controllers.len()).filter(|peer| *peer != controller) {
            if self.peers_connected(controller, peer) {
                let controller = self.settings.controllers[controller].clone();
                let delay_ms = self.rng.gen_range(1..4);
                self.deliver(
                    delay_ms,
                    self.process(peer),
                    Event::LinkEnded { controller },
                );
            }
        }
    }

    /// Shuts a controller down gracefully. The next process starts a delay after the shutdown has ended.
    pub fn shut_down(&mut self, controller: usize, restart_after_ms: u64) {
        self.controllers[controller].restart_after_ms = restart_after_ms;
        self.deliver(1, self.process(controller), Event::Shutdown);
    }

    /// Delivers a peer heartbeat, possibly a forged one, to a controller.
    pub fn inject_peer_heartbeat(&mut self, controller: usize, heartbeat: PeerHeartbeat) {
        self.deliver(1, self.process(controller), Event::PeerHeartbeat(heartbeat));
    }

    /// Pauses a controller. Its clocks run on, and events wait until it resumes.
    pub fn pause(&mut self, controller: usize, duration_ms: u64) {
        let slot = &mut self.controllers[controller];
        slot.paused_until_ms = slot.paused_until_ms.max(self.now_ms + duration_ms);
        self.schedule(
            duration_ms,
            Action::ResumeController(self.process(controller)),
        );
    }

    /// Returns whether a controller is paused.
    pub fn is_paused(&self, controller: usize) -> bool {
        self.now_ms < self.controllers[controller].paused_until_ms
    }

    /// Resumes a controller. It reads the events of each connection in their order, and starts with a random
    /// connection.
    pub(crate) fn resume_controller(&mut self, process: ProcessId) {
        let controller = process.controller;
        if !self.is_current(process) || self.is_paused(controller) {
            return;
        }
        let mut backlog = std::mem::take(&mut self.controllers[controller].backlog);
        let first = self.rng.gen_range(0..8);
        backlog.sort_by_key(|event| (connection_number(event) + first) % 8);
        for event in backlog {
            self.handle(controller, event);
        }
    }

    /// Returns the zone of a controller: controllers are assigned to [`Self::controller_zones`] in turn,
    /// or to all zones if that is empty.
    pub fn zone_of_controller(&self, controller: usize) -> String {
        let zones = match self.controller_zones.is_empty() {
            true => &self.settings.zones,
            false => &self.controller_zones,
        };
        zones[controller % zones.len()].clone()
    }
}
