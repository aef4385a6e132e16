//! What happens after a controller's end, and after a process's start.

use super::DayRun;
use crate::outcome::Outcome;
use crate::{Simulation, Worker};
use glenmount_core::controller::Controller;
use glenmount_core::peers::tracker::PeerStatus;
use std::collections::BTreeSet;

/// Milliseconds for which a controller's end is followed.
const FOLLOWED_MS: u64 = 60_000;
/// Milliseconds after a process's start at which it is measured.
const STARTED_MS: u64 = 20_000;

/// A controller's end that is followed until its work is taken over.
pub(super) struct FailoverObservation {
    controller: usize,
    at: u64,
    /// Machines that reported to it and have not been heard since.
    machines: BTreeSet<String>,
    /// How many they were.
    all: usize,
    noticed: bool,
    claimed: bool,
    duty: bool,
}

impl FailoverObservation {
    /// The end of a controller, now.
    fn new(sim: &Simulation, controller: usize) -> FailoverObservation {
        let there = sim
            .workers
            .values()
            .filter(|m| m.alive && m.controller == controller);
        let machines: BTreeSet<String> = there.map(|m| m.name.clone()).collect();
        FailoverObservation {
            controller,
            at: sim.now_ms,
            all: machines.len(),
            machines,
            noticed: false,
            claimed: false,
            duty: false,
        }
    }

    fn look(&mut self, sim: &Simulation, out: &mut Outcome) {
        self.look_at_siblings(sim, out);
        self.look_at_machines(sim, out);
        self.look_for_claims(sim, out);
    }

    /// Whether its peers have noticed it, and one does its duties.
    fn look_at_siblings(&mut self, sim: &Simulation, out: &mut Outcome) {
        let took = sim.now_ms - self.at;
        let name = &sim.settings.controllers[self.controller];
        let lives = |n: usize| {
            sim.controllers[n]
                .controller
                .as_ref()
                .filter(|_| !sim.is_paused(n))
        };
        let others = (0..sim.controllers.len()).filter(|n| *n != self.controller);
        let others: Vec<&Controller> = others.filter_map(lives).collect();
        let away = |o: &&Controller| o.status_of(name).is_some_and(PeerStatus::is_away);
        if !self.noticed && others.iter().any(away) {
            self.noticed = true;
            out.noticed.note(took);
        }
        if !self.duty && self.noticed && others.iter().any(|o| o.is_on_duty()) {
            self.duty = true;
            out.duty.note(took);
        }
    }

    /// Which of its machines have been heard, and told to start something.
    fn look_at_machines(&mut self, sim: &Simulation, out: &mut Outcome) {
        let mut came = Vec::new();
        for id in &self.machines {
            match sim.workers.get(id) {
                Some(worker) if worker.last_heard.at_ms > self.at => {
                    out.heard.note(worker.last_heard.at_ms - self.at);
                    came.push(id.clone());
                    if !self.claimed && worker.last_start_ms > self.at {
                        self.claimed = true;
                        out.first_claim.note(worker.last_start_ms - self.at);
                    }
                }
                Some(worker) if worker.alive && !worker.disconnected => {}
                _ => came.push(id.clone()),
            }
        }
        for id in came {
            self.machines.remove(&id);
        }
    }

    /// A claim on a machine that was heard already.
    fn look_for_claims(&mut self, sim: &Simulation, out: &mut Outcome) {
        if self.claimed {
            return;
        }
        let told = |m: &&Worker| m.last_heard.at_ms > self.at && m.last_start_ms > self.at;
        let starts = sim.workers.values().filter(told).map(|m| m.last_start_ms);
        if let Some(at) = starts.min().filter(|_| self.all > 0) {
            self.claimed = true;
            out.first_claim.note(at - self.at);
        }
    }

    fn is_over(&self, now: u64) -> bool {
        let taken_over = self.machines.is_empty() && self.noticed && self.claimed && self.duty;
        now >= self.at + FOLLOWED_MS || taken_over
    }
}

impl DayRun<'_> {
    pub(super) fn follow_end(&mut self, n: usize) {
        self.followed.push(FailoverObservation::new(&self.sim, n));
    }

    /// Looks at all that is followed.
    pub(super) fn follow(&mut self) {
        for followed in &mut self.followed {
            followed.look(&self.sim, &mut self.out);
        }
        let now = self.sim.now_ms;
        self.followed.retain(|followed| !followed.is_over(now));
        self.measure_starts();
    }

    /// What processes did in their first seconds.
    fn measure_starts(&mut self) {
        for (n, slot) in self.sim.controllers.iter().enumerate() {
            if slot.started_ms <= self.began[n] || self.sim.now_ms < slot.started_ms + STARTED_MS {
                continue;
            }
            self.began[n] = slot.started_ms;
            for (at, times) in [
                (slot.first_ready_ms, &mut self.out.ready),
                (slot.first_accepted_ms, &mut self.out.accepted),
                (slot.first_start_ms, &mut self.out.claimed),
            ] {
                if let Some(at) = at {
                    times.note(at - slot.started_ms);
                }
            }
        }
    }
}
