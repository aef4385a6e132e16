//! Measurements of failovers after a controller's crash, and of process starts.

use super::DayRun;
use crate::outcome::Outcome;
use crate::{Simulation, Worker};
use glenmount_core::controller::Controller;
use glenmount_core::peers::PeerStatus;
use std::collections::BTreeSet;

/// Time for which a failover is observed.
const OBSERVATION_MS: u64 = 60_000;
/// Time after a process's start at which the start is measured.
const START_MEASUREMENT_MS: u64 = 20_000;

/// A controller's failure, observed until its peers have taken over its workers and duties.
pub(super) struct FailoverObservation {
    controller: usize,
    failed_ms: u64,
    /// Machines that sent heartbeats to the failed controller, and none to another one since.
    pending_workers: BTreeSet<String>,
    /// Number of machines that sent heartbeats to it.
    worker_count: usize,
    /// Whether a peer has detected the failure.
    is_detected: bool,
    /// Whether one of these workers has got a start command since.
    has_start: bool,
    /// Whether a peer has taken over the duties.
    has_duty: bool,
}

impl FailoverObservation {
    /// Begins the observation of a controller that fails now.
    fn new(sim: &Simulation, controller: usize) -> FailoverObservation {
        let its_workers = sim
            .workers
            .values()
            .filter(|worker| worker.alive && worker.controller == controller);
        let pending_workers: BTreeSet<String> =
            its_workers.map(|worker| worker.name.clone()).collect();
        FailoverObservation {
            controller,
            failed_ms: sim.now_ms,
            worker_count: pending_workers.len(),
            pending_workers,
            is_detected: false,
            has_start: false,
            has_duty: false,
        }
    }

    /// Records the progress of the failover since the last call.
    fn update(&mut self, sim: &Simulation, outcome: &mut Outcome) {
        self.observe_peers(sim, outcome);
        self.observe_workers(sim, outcome);
        self.observe_starts(sim, outcome);
    }

    /// Records when a peer has detected the failure, and when one acts as coordinator.
    fn observe_peers(&mut self, sim: &Simulation, outcome: &mut Outcome) {
        let elapsed_ms = sim.now_ms - self.failed_ms;
        let name = &sim.settings.controllers[self.controller];
        let running = |index: usize| {
            sim.controllers[index]
                .controller
                .as_ref()
                .filter(|_| !sim.is_paused(index))
        };
        let others = (0..sim.controllers.len()).filter(|index| *index != self.controller);
        let peers: Vec<&Controller> = others.filter_map(running).collect();
        let sees_failure =
            |peer: &&Controller| peer.status_of(name).is_some_and(PeerStatus::is_inactive);
        if !self.is_detected && peers.iter().any(sees_failure) {
            self.is_detected = true;
            outcome.failure_detection.record(elapsed_ms);
        }
        if !self.has_duty && self.is_detected && peers.iter().any(|peer| peer.acts_as_coordinator())
        {
            self.has_duty = true;
            outcome.duty_takeover.record(elapsed_ms);
        }
    }

    /// Records the first heartbeat of each of its workers after the failure, and the first start command.
    fn observe_workers(&mut self, sim: &Simulation, outcome: &mut Outcome) {
        let mut settled = Vec::new();
        for id in &self.pending_workers {
            match sim.workers.get(id) {
                Some(worker) if worker.last_heard.at_ms > self.failed_ms => {
                    outcome
                        .worker_reconnection
                        .record(worker.last_heard.at_ms - self.failed_ms);
                    settled.push(id.clone());
                    if !self.has_start && worker.last_start_ms > self.failed_ms {
                        self.has_start = true;
                        outcome
                            .first_start_after_failure
                            .record(worker.last_start_ms - self.failed_ms);
                    }
                }
                Some(worker) if worker.alive && !worker.disconnected => {}
                _ => settled.push(id.clone()),
            }
        }
        for id in settled {
            self.pending_workers.remove(&id);
        }
    }

    /// Records the first start command on a worker whose first heartbeat after the failure was recorded before.
    fn observe_starts(&mut self, sim: &Simulation, outcome: &mut Outcome) {
        if self.has_start {
            return;
        }
        let has_start = |worker: &&Worker| {
            worker.last_heard.at_ms > self.failed_ms && worker.last_start_ms > self.failed_ms
        };
        let starts = sim
            .workers
            .values()
            .filter(has_start)
            .map(|worker| worker.last_start_ms);
        if let Some(at_ms) = starts.min().filter(|_| self.worker_count > 0) {
            self.has_start = true;
            outcome
                .first_start_after_failure
                .record(at_ms - self.failed_ms);
        }
    }

    /// Returns whether the failover is complete, or the observation has lasted its time.
    fn is_over(&self, now_ms: u64) -> bool {
        let taken_over =
            self.pending_workers.is_empty() && self.is_detected && self.has_start && self.has_duty;
        now_ms >= self.failed_ms + OBSERVATION_MS || taken_over
    }
}

impl DayRun<'_> {
    /// Begins the observation of a controller that fails now.
    pub(super) fn observe_failure(&mut self, controller: usize) {
        self.failovers
            .push(FailoverObservation::new(&self.sim, controller));
    }

    /// Updates all observed failovers and measures the starts of processes.
    pub(super) fn observe_failovers(&mut self) {
        for failover in &mut self.failovers {
            failover.update(&self.sim, &mut self.outcome);
        }
        let now_ms = self.sim.now_ms;
        self.failovers.retain(|failover| !failover.is_over(now_ms));
        self.measure_starts();
    }

    /// Records the start times of the processes that started [`START_MEASUREMENT_MS`] ago.
    fn measure_starts(&mut self) {
        for (index, slot) in self.sim.controllers.iter().enumerate() {
            if slot.started_ms <= self.measured_starts_ms[index]
                || self.sim.now_ms < slot.started_ms + START_MEASUREMENT_MS
            {
                continue;
            }
            self.measured_starts_ms[index] = slot.started_ms;
            for (reached_ms, durations) in [
                (slot.first_ready_ms, &mut self.outcome.time_to_ready),
                (
                    slot.first_accepted_ms,
                    &mut self.outcome.time_to_first_acceptance,
                ),
                (slot.first_start_ms, &mut self.outcome.time_to_first_start),
            ] {
                if let Some(reached_ms) = reached_ms {
                    durations.record(reached_ms - slot.started_ms);
                }
            }
        }
    }
}
