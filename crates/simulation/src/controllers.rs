//! Controllers: how they start, end, are paused and handle events.

use crate::{event_as_read, Action, ProcessId, Simulation, START_TIME_MS};
use glenmount_core::controller::{Controller, Event, PeerHeartbeat};
use glenmount_core::settings::RuntimeEstimateUse;
use rand::Rng;

/// Milliseconds between two ticks of a controller.
const TICK_MS: u64 = 50;

/// A controller: its process, if it runs, and its connections.
#[derive(Default)]
pub struct ControllerSlot {
    /// Its process, if it runs.
    pub controller: Option<Controller>,
    /// Number of processes before the present one.
    pub incarnation: u32,
    /// From this incarnation on it has the new version; before, one that knows only format 1.
    pub(crate) upgraded_from: u32,
    /// Requests to the state service get no answer, and its watch tells nothing.
    pub cut_from_state: bool,
    /// The state service answers it alone with 503.
    pub refused_by_state: bool,
    /// No worker reaches it, nor does it reach any.
    pub cut_from_workers: bool,
    /// It and its peers do not reach each other.
    pub cut_from_peers: bool,
    /// What the controller sends does not get through, to workers and peers; what it gets does.
    pub outbound_lost: bool,
    pub(crate) watched_revision: Option<u64>,
    /// Until when its watch tells nothing.
    pub(crate) watch_delayed_until_ms: u64,
    /// Until when it is paused, and what comes in meanwhile.
    pub(crate) paused_until_ms: u64,
    pub(crate) backlog: Vec<Event>,
    /// Commands and transactions that it has sent.
    pub messages_sent: u32,
    /// Milliseconds after its end at which it is back, once it was asked to end.
    pub(crate) restart_after_ms: u64,
    /// When its last process ended.
    pub last_stopped_ms: u64,
    /// When its process began, and from when on it was ready, accepted a job, and sent a start.
    pub started_ms: u64,
    /// When its process was ready first.
    pub first_ready_ms: Option<u64>,
    /// When its process accepted its first job.
    pub first_accepted_ms: Option<u64>,
    /// When its process sent its first start.
    pub first_start_ms: Option<u64>,
}

/// In which order what waited for a controller that was paused is read, by connection.
fn connection(event: &Event) -> u64 {
    match event {
        Event::WatchUpdate { .. } | Event::WatchGap => 0,
        Event::State { .. } => 3,
        Event::PeerHeartbeat(_) => 5,
        Event::WorkerHeartbeat { .. } => 6,
        _ => 7,
    }
}

impl Simulation {
    /// The process that a controller has now, or had last.
    pub(crate) fn process(&self, controller: usize) -> ProcessId {
        ProcessId {
            controller,
            incarnation: self.controllers[controller].incarnation,
        }
    }

    /// Whether a process has not been followed by another.
    pub(crate) fn is_current(&self, process: ProcessId) -> bool {
        self.process(process.controller) == process
    }

    /// Whether a process has the previous version.
    pub(crate) fn is_previous_version(&self, process: ProcessId) -> bool {
        process.incarnation < self.controllers[process.controller].upgraded_from
    }

    /// A controller's time of day.
    fn wall_clock(&self, controller: usize) -> u64 {
        START_TIME_MS + self.now_ms + self.clock_ahead_ms[controller]
    }

    /// A controller's process begins.
    pub(crate) fn start_controller(&mut self, controller: usize) {
        self.send_kept_heartbeats();
        let mut settings = self.settings.clone();
        settings.controller = self.settings.controllers[controller].clone();
        settings.zone = self.zone_of_controller(controller);
        let zone = |controller: usize| {
            (
                self.settings.controllers[controller].clone(),
                self.zone_of_controller(controller),
            )
        };
        settings.controller_zones = (0..self.controllers.len()).map(zone).collect();
        let process = self.process(controller);
        if self.is_previous_version(process) {
            settings.max_value_bytes = self.state.previous_limits.max_value_bytes;
            settings.max_transaction_changes = self.state.previous_limits.changes;
            settings.runtime_estimates = RuntimeEstimateUse::default();
        }
        let seed = self.rng.gen();
        let running = Controller::new(settings, seed, self.now_ms, self.wall_clock(controller));
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

    /// A controller's clock ticks.
    pub(crate) fn tick(&mut self, process: ProcessId) {
        let controller = process.controller;
        if !self.is_current(process) || self.controllers[controller].controller.is_none() {
            return;
        }
        // A clock that was paused ticks once for all it missed.
        if !self.is_paused(controller) {
            self.handle(controller, Event::Tick);
        }
        self.schedule(TICK_MS, Action::Tick(process));
    }

    /// Lets a controller handle an event, and carries out its effects.
    pub(crate) fn handle(&mut self, controller: usize, event: Event) {
        if self.is_paused(controller) {
            self.controllers[controller].backlog.push(event);
            return;
        }
        let (now, wall_time) = (self.now_ms, self.wall_clock(controller));
        let process = self.process(controller);
        let old = self.is_previous_version(process);
        let slot = &mut self.controllers[controller];
        let Some(running) = slot.controller.as_mut() else {
            return;
        };
        let event = match old {
            true => event_as_read(event),
            false => event,
        };
        let heartbeat = matches!(event, Event::PeerHeartbeat(_));
        let begun = std::time::Instant::now();
        let effects = running.handle(now, wall_time, event);
        let took = begun.elapsed();
        self.metrics.event_time += took;
        if heartbeat {
            self.metrics.heartbeats += 1;
            self.metrics.heartbeat_time += took;
        }
        self.metrics.events += 1;
        if slot.first_ready_ms.is_none() && running.ready() {
            slot.first_ready_ms = Some(now);
        }
        if let Some(digest) = &mut self.digest {
            let ready = running.ready();
            for effect in &effects {
                digest.add(controller, now, effect, ready);
            }
        }
        for effect in effects {
            self.apply_effect(process, effect);
        }
    }

    /// Ends a controller, which comes back with the new version.
    pub fn upgrade(&mut self, controller: usize, restart_after_ms: u64) {
        self.crash(controller, restart_after_ms);
        self.controllers[controller].upgraded_from = self.controllers[controller]
            .incarnation
            .min(self.controllers[controller].upgraded_from);
    }

    /// Ends a controller's process; the next one starts after so many milliseconds.
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

    /// A process has ended: workers that wait for its answers and its peers are told so by its host.
    fn close_connections(&mut self, controller: usize) {
        let cut = self.controllers[controller].cut_from_workers
            || self.controllers[controller].outbound_lost;
        let waiting: Vec<_> = (self.workers.values())
            .filter(|worker| {
                worker.controller == controller
                    && !worker.disconnected
                    && !cut
                    && self.controller_reaches(controller, &worker.name)
            })
            .filter_map(|worker| Some((worker.name.clone(), worker.pending_heartbeat?)))
            .collect();
        for (worker, serial) in waiting {
            let delay = self.rng.gen_range(1..4);
            self.schedule(delay, Action::TimeOutHeartbeat { worker, serial });
        }
        for peer in (0..self.controllers.len()).filter(|peer| *peer != controller) {
            if self.peers_connected(controller, peer) {
                let controller = self.settings.controllers[controller].clone();
                let delay = self.rng.gen_range(1..4);
                self.deliver(delay, self.process(peer), Event::LinkEnded { controller });
            }
        }
    }

    /// Asks a controller to end in good order; it is back so long after it has.
    pub fn shut_down(&mut self, controller: usize, restart_after_ms: u64) {
        self.controllers[controller].restart_after_ms = restart_after_ms;
        self.deliver(1, self.process(controller), Event::Shutdown);
    }

    /// Delivers a peer heartbeat to a controller, whoever made it.
    pub fn inject_peer_heartbeat(&mut self, controller: usize, heartbeat: PeerHeartbeat) {
        self.deliver(1, self.process(controller), Event::PeerHeartbeat(heartbeat));
    }

    /// The controller is paused, its clocks running on; what comes in waits for it.
    pub fn pause(&mut self, controller: usize, ms: u64) {
        let slot = &mut self.controllers[controller];
        slot.paused_until_ms = slot.paused_until_ms.max(self.now_ms + ms);
        self.schedule(ms, Action::ResumeController(self.process(controller)));
    }

    /// Whether a controller is paused.
    pub fn is_paused(&self, controller: usize) -> bool {
        self.now_ms < self.controllers[controller].paused_until_ms
    }

    /// A controller goes on: each of its connections is read in order, but any of them first.
    pub(crate) fn resume_controller(&mut self, process: ProcessId) {
        let controller = process.controller;
        if !self.is_current(process) || self.is_paused(controller) {
            return;
        }
        let mut backlog = std::mem::take(&mut self.controllers[controller].backlog);
        let start = self.rng.gen_range(0..8);
        backlog.sort_by_key(|event| (connection(event) + start) % 8);
        for event in backlog {
            self.handle(controller, event);
        }
    }

    /// Where a controller stands: in the zones in turn, unless said otherwise.
    pub fn zone_of_controller(&self, controller: usize) -> String {
        let zones = match self.controller_zones.is_empty() {
            true => &self.settings.zones,
            false => &self.controller_zones,
        };
        zones[controller % zones.len()].clone()
    }
}
