//! What happens after a controller's end, and after a process's start.

use super::DayRun;
use crate::outcome::Outcome;
use crate::{Simulation, Worker};
use glenmount_core::controller::Controller;
use glenmount_core::peers::PeerStatus;
use std::collections::BTreeSet;

/// Milliseconds for which a controller's end is followed.
const FOLLOWED_MS: u64 = 60_000;
/// Milliseconds after a process's start at which it is measured.
const STARTED_MS: u64 = 20_000;

/// A controller's end that is followed until its work is taken over.
pub(super) struct FailoverObservation {
    controller: usize,
    failed_ms: u64,
    /// Machines that reported to it and have not been heard since.
    pending_workers: BTreeSet<String>,
    /// How many they were.
    workers: usize,
    is_detected: bool,
    has_start: bool,
    has_duty: bool,
}

impl FailoverObservation {
    /// The end of a controller, now.
    fn new(sim: &Simulation, controller: usize) -> FailoverObservation {
        let there = sim
            .workers
            .values()
            .filter(|m| m.alive && m.controller == controller);
        let pending_workers: BTreeSet<String> = there.map(|m| m.name.clone()).collect();
        FailoverObservation {
            controller,
            failed_ms: sim.now_ms,
            workers: pending_workers.len(),
            pending_workers,
            is_detected: false,
            has_start: false,
            has_duty: false,
        }
    }

    fn look(&mut self, sim: &Simulation, out: &mut Outcome) {
        self.look_at_siblings(sim, out);
        self.look_at_machines(sim, out);
        self.look_for_claims(sim, out);
    }

    /// Whether its peers have noticed it, and one does its duties.
    fn look_at_siblings(&mut self, sim: &Simulation, out: &mut Outcome) {
        let took = sim.now_ms - self.failed_ms;
        let name = &sim.settings.controllers[self.controller];
        let lives = |n: usize| {
            sim.controllers[n]
                .controller
                .as_ref()
                .filter(|_| !sim.is_paused(n))
        };
        let others = (0..sim.controllers.len()).filter(|n| *n != self.controller);
        let others: Vec<&Controller> = others.filter_map(lives).collect();
        let away = |o: &&Controller| o.status_of(name).is_some_and(PeerStatus::is_inactive);
        if !self.is_detected && others.iter().any(away) {
            self.is_detected = true;
            out.failure_detection.record(took);
        }
        if !self.has_duty && self.is_detected && others.iter().any(|o| o.acts_as_coordinator()) {
            self.has_duty = true;
            out.duty_takeover.record(took);
        }
    }

    /// Which of its machines have been heard, and told to start something.
    fn look_at_machines(&mut self, sim: &Simulation, out: &mut Outcome) {
        let mut came = Vec::new();
        for id in &self.pending_workers {
            match sim.workers.get(id) {
                Some(worker) if worker.last_heard.at_ms > self.failed_ms => {
                    out.worker_reconnection
                        .record(worker.last_heard.at_ms - self.failed_ms);
                    came.push(id.clone());
                    if !self.has_start && worker.last_start_ms > self.failed_ms {
                        self.has_start = true;
                        out.first_start_after_failure
                            .record(worker.last_start_ms - self.failed_ms);
                    }
                }
                Some(worker) if worker.alive && !worker.disconnected => {}
                _ => came.push(id.clone()),
            }
        }
        for id in came {
            self.pending_workers.remove(&id);
        }
    }

    /// A claim on a machine that was heard already.
    fn look_for_claims(&mut self, sim: &Simulation, out: &mut Outcome) {
        if self.has_start {
            return;
        }
        let told =
            |m: &&Worker| m.last_heard.at_ms > self.failed_ms && m.last_start_ms > self.failed_ms;
        let starts = sim.workers.values().filter(told).map(|m| m.last_start_ms);
        if let Some(at) = starts.min().filter(|_| self.workers > 0) {
            self.has_start = true;
            out.first_start_after_failure.record(at - self.failed_ms);
        }
    }

    fn is_over(&self, now: u64) -> bool {
        let taken_over =
            self.pending_workers.is_empty() && self.is_detected && self.has_start && self.has_duty;
        now >= self.failed_ms + FOLLOWED_MS || taken_over
    }
}

impl DayRun<'_> {
    pub(super) fn observe_failure(&mut self, n: usize) {
        self.failovers.push(FailoverObservation::new(&self.sim, n));
    }

    /// Looks at all that is followed.
    pub(super) fn observe_failovers(&mut self) {
        for followed in &mut self.failovers {
            followed.look(&self.sim, &mut self.outcome);
        }
        let now = self.sim.now_ms;
        self.failovers.retain(|followed| !followed.is_over(now));
        self.measure_starts();
    }

    /// What processes did in their first seconds.
    fn measure_starts(&mut self) {
        for (n, slot) in self.sim.controllers.iter().enumerate() {
            if slot.started_ms <= self.measured_starts_ms[n]
                || self.sim.now_ms < slot.started_ms + STARTED_MS
            {
                continue;
            }
            self.measured_starts_ms[n] = slot.started_ms;
            for (at, times) in [
                (slot.first_ready_ms, &mut self.outcome.time_to_ready),
                (
                    slot.first_accepted_ms,
                    &mut self.outcome.time_to_first_acceptance,
                ),
                (slot.first_start_ms, &mut self.outcome.time_to_first_start),
            ] {
                if let Some(at) = at {
                    times.record(at - slot.started_ms);
                }
            }
        }
    }
}
