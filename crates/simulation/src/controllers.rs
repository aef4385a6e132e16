//! Controllers: how they start, end, stand still and handle events.

use crate::{seen_by_old, Act, ProcessId, World, WALL0};
use glenmount_core::controller::{Controller, Event, PeerHeartbeat};
use glenmount_core::settings::LearnedUse;
use rand::Rng;

/// Milliseconds between two ticks of a controller.
const TICK_MS: u64 = 50;

/// A place for a controller, whose processes follow one another in it.
#[derive(Default)]
pub struct ControllerSlot {
    pub controller: Option<Controller>,
    pub life: u32,
    /// From this life on it has the new version; before, one that knows only format 1.
    pub(crate) new_from: u32,
    pub cut_from_state: bool,
    /// The state service answers it alone with 503.
    pub refused: bool,
    pub cut_from_workers: bool,
    pub cut_from_peers: bool,
    /// What the controller sends does not get through, to workers and peers; what it gets does.
    pub mute: bool,
    pub(crate) watching: Option<u64>,
    /// Until when its watch tells nothing.
    pub(crate) watch_lags_until: u64,
    /// Until when it is paused, and what comes in meanwhile.
    pub(crate) frozen_until: u64,
    pub(crate) backlog: Vec<Event>,
    /// Commands and transactions that it has sent.
    pub sent: u32,
    /// Milliseconds after its end at which it is back, once it was asked to end.
    pub(crate) back_after: u64,
    /// When its process began, and from when on it was ready, accepted a job, and sent a start.
    pub began: u64,
    pub first_ready: Option<u64>,
    pub first_accepted: Option<u64>,
    pub first_start: Option<u64>,
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

impl World {
    /// The process that a controller has now, or had last.
    pub(crate) fn process(&self, n: usize) -> ProcessId {
        ProcessId {
            controller: n,
            incarnation: self.controllers[n].life,
        }
    }

    /// Whether a process has not been followed by another.
    pub(crate) fn runs(&self, process: ProcessId) -> bool {
        self.process(process.controller) == process
    }

    /// Whether a process has the old version.
    pub(crate) fn is_old(&self, process: ProcessId) -> bool {
        process.incarnation < self.controllers[process.controller].new_from
    }

    /// A controller's time of day.
    fn wall_clock(&self, n: usize) -> u64 {
        WALL0 + self.now + self.clock_ahead[n]
    }

    /// A controller's process begins.
    pub(crate) fn start_controller(&mut self, n: usize) {
        self.send_kept_reports();
        let mut settings = self.settings.clone();
        settings.controller = self.settings.controllers[n].clone();
        settings.zone = self.zone_of_controller(n);
        let zone = |n: usize| {
            (
                self.settings.controllers[n].clone(),
                self.zone_of_controller(n),
            )
        };
        settings.controller_zones = (0..self.controllers.len()).map(zone).collect();
        let process = self.process(n);
        if self.is_old(process) {
            (settings.max_value_bytes, settings.max_transaction_changes) = self.old_limits;
            settings.learned = LearnedUse::default();
        }
        let seed = self.rng.gen();
        let controller = Controller::new(settings, seed, self.now, self.wall_clock(n));
        let slot = &mut self.controllers[n];
        slot.controller = Some(controller);
        slot.began = self.now;
        (slot.first_ready, slot.first_accepted, slot.first_start) = (None, None, None);
        self.at(1, Act::Tick(process));
    }

    pub(crate) fn tick(&mut self, process: ProcessId) {
        let n = process.controller;
        if !self.runs(process) || self.controllers[n].controller.is_none() {
            return;
        }
        // A clock that was paused ticks once for all it missed.
        if !self.frozen(n) {
            self.controller(n, Event::Tick);
        }
        self.at(TICK_MS, Act::Tick(process));
    }

    /// Lets a controller handle an event, and carries out its effects.
    pub(crate) fn controller(&mut self, n: usize, event: Event) {
        if self.frozen(n) {
            self.controllers[n].backlog.push(event);
            return;
        }
        let (now, wall) = (self.now, self.wall_clock(n));
        let process = self.process(n);
        let old = self.is_old(process);
        let slot = &mut self.controllers[n];
        let Some(controller) = slot.controller.as_mut() else {
            return;
        };
        let event = match old {
            true => seen_by_old(event),
            false => event,
        };
        let heartbeat = matches!(event, Event::PeerHeartbeat(_));
        let begun = std::time::Instant::now();
        let effects = controller.handle(now, wall, event);
        let took = begun.elapsed();
        self.spent += took;
        if heartbeat {
            self.heartbeats += 1;
            self.spent_on_beats += took;
        }
        self.events += 1;
        if slot.first_ready.is_none() && controller.ready() {
            slot.first_ready = Some(now);
        }
        if let Some(digest) = &mut self.digest {
            let ready = controller.ready();
            for effect in &effects {
                digest.add(n, now, effect, ready);
            }
        }
        for effect in effects {
            self.carry_out(process, effect);
        }
    }

    /// Ends a controller, which comes back with the new version.
    pub fn upgrade(&mut self, n: usize, back_after: u64) {
        self.crash(n, back_after);
        self.controllers[n].new_from = self.controllers[n].life.min(self.controllers[n].new_from);
    }

    pub fn crash(&mut self, n: usize, back_after: u64) {
        let slot = &mut self.controllers[n];
        slot.controller = None;
        slot.life += 1;
        slot.watching = None;
        slot.frozen_until = 0;
        slot.backlog.clear();
        self.ended_at[n] = self.now;
        self.at(back_after, Act::Restart(n));
        self.end_connections(n);
    }

    /// A process has ended: workers that wait for its answers and its peers are told so by its host.
    fn end_connections(&mut self, n: usize) {
        let cut = self.controllers[n].cut_from_workers || self.controllers[n].mute;
        let waiting: Vec<_> = (self.workers.values())
            .filter(|w| w.controller == n && !w.cut && !cut && self.reaches(n, &w.name))
            .filter_map(|w| Some((w.name.clone(), w.in_flight?)))
            .collect();
        for (worker, serial) in waiting {
            let delay = self.rng.gen_range(1..4);
            self.at(delay, Act::GaveUp { worker, serial });
        }
        for m in (0..self.controllers.len()).filter(|m| *m != n) {
            if self.linked(n, m) {
                let controller = self.settings.controllers[n].clone();
                let delay = self.rng.gen_range(1..4);
                self.deliver(delay, self.process(m), Event::LinkEnded { controller });
            }
        }
    }

    /// Asks a controller to end in good order; it is back so long after it has.
    pub fn leave(&mut self, n: usize, back_after: u64) {
        self.controllers[n].back_after = back_after;
        self.deliver(1, self.process(n), Event::Shutdown);
    }

    /// Lets a heartbeat arrive at a controller, whoever made it.
    pub fn beat_to(&mut self, n: usize, heartbeat: PeerHeartbeat) {
        self.deliver(1, self.process(n), Event::PeerHeartbeat(heartbeat));
    }

    /// The controller is paused, its clocks running on; what comes in waits for it.
    pub fn freeze(&mut self, n: usize, ms: u64) {
        let slot = &mut self.controllers[n];
        slot.frozen_until = slot.frozen_until.max(self.now + ms);
        self.at(ms, Act::Thaw(self.process(n)));
    }

    pub fn frozen(&self, n: usize) -> bool {
        self.now < self.controllers[n].frozen_until
    }

    /// A controller goes on: each of its connections is read in order, but any of them first.
    pub(crate) fn thaw(&mut self, process: ProcessId) {
        let n = process.controller;
        if !self.runs(process) || self.frozen(n) {
            return;
        }
        let mut backlog = std::mem::take(&mut self.controllers[n].backlog);
        let start = self.rng.gen_range(0..8);
        backlog.sort_by_key(|event| (connection(event) + start) % 8);
        for event in backlog {
            self.controller(n, event);
        }
    }

    /// Where a controller stands: in the zones in turn, unless said otherwise.
    pub fn zone_of_controller(&self, n: usize) -> String {
        let zones = match self.controllers_in.is_empty() {
            true => &self.settings.zones,
            false => &self.controllers_in,
        };
        zones[n % zones.len()].clone()
    }
}
