//! Random combinations of faults: users submit and cancel jobs while controllers crash, pause and lose connections,
//! machines stall or restart, and messages are lost, late or duplicated. The same seed gives the same run.

use crate::{job, service, use_long_leases, FaultRates, Simulation};
use rand::Rng;

/// Number of steps of a run. Each step is a fault or a request, 50 ms to 2.5 s after the previous one.
pub const STEPS: usize = 140;

const CONTROLLERS: usize = 3;

/// A run at its end, with its faults still in force.
pub struct RandomFaults {
    /// Simulation at the end of the run.
    pub simulation: Simulation,
    /// Names of the submitted jobs, accepted or not.
    pub jobs: Vec<String>,
    /// Whether the controllers began with the previous version and were upgraded during the run.
    pub rolling_upgrade: bool,
}

/// Runs a number of steps on three controllers.
pub fn run(seed: u64, machines: usize, steps: usize) -> RandomFaults {
    run_prepared(seed, machines, steps, |_| {})
}

/// Runs a number of steps on three controllers, after `prepare` has changed the simulation.
pub fn run_prepared(
    seed: u64,
    machines: usize,
    steps: usize,
    prepare: impl FnOnce(&mut Simulation),
) -> RandomFaults {
    // One seed in four begins with the previous version, and upgrades the controllers during the run.
    let rolling_upgrade = seed % 4 == 1;
    let mut sim = match rolling_upgrade {
        true => Simulation::previous_version(7_000 + seed, CONTROLLERS, machines),
        false => Simulation::new(7_000 + seed, CONTROLLERS, machines),
    };
    prepare(&mut sim);
    sim.run(9_000);
    sim.cloud.capacity = 4;
    if seed % 3 == 0 {
        use_long_leases(&mut sim);
        for controller in 0..CONTROLLERS {
            sim.crash(controller, 50);
        }
        sim.run(9_000);
    }
    let mut run = RandomFaults {
        simulation: sim,
        jobs: Vec::new(),
        rolling_upgrade,
    };
    for step in 0..steps {
        run.perform_step(step);
        run.advance_time();
    }
    run
}

impl RandomFaults {
    /// Injects one fault or sends one request.
    fn perform_step(&mut self, step: usize) {
        let kind = self.simulation.rng.gen_range(0..25);
        match kind {
            0..=3 => self.submit(step),
            4 | 5 if !self.jobs.is_empty() => {
                let id = self.random_job();
                self.cancel(&id);
            }
            6..=9 | 13 => self.inject_controller_fault(kind),
            10 => self.simulation.state.is_down = !self.simulation.state.is_down,
            11 | 12 => self.toggle_worker_connections(),
            14 => self.draw_message_faults(),
            15 => self.simulation.heal_all(),
            16 if self.rolling_upgrade => {
                let (controller, restart_after_ms) =
                    (self.random_controller(), self.draw(100..3_000));
                self.simulation.upgrade(controller, restart_after_ms);
            }
            17 => self.simulation.follow_up_requests = !self.simulation.follow_up_requests,
            18 => self.simulation.cancel_at_completion = self.one_of([0.0, 0.5]),
            19 | 20 if !self.jobs.is_empty() => self.cancel_on_stalled_machines(),
            21 if !self.simulation.workers.is_empty() => self.kill_or_restart_machine(),
            22 => self.simulation.cloud.boot_ms = self.one_of([1_000..5_000, 20..2_000]),
            23 => self.simulation.network.max_extra_latency_ms = self.one_of([0, 300, 1_500]),
            _ => {
                for id in self.jobs.clone() {
                    let controller = self.random_controller();
                    self.simulation.status(controller, &id);
                }
            }
        }
    }

    /// Runs the simulation for a random time, sometimes for longer than the cancellation timeout, and sometimes
    /// ends all faults.
    fn advance_time(&mut self) {
        let duration_ms = self.draw(50..2_500);
        let sim = &mut self.simulation;
        sim.run(duration_ms);
        if sim.rng.gen_bool(0.03) {
            let long_ms = sim.settings.cancellation_timeout_ms + 10_000;
            sim.run(long_ms);
        }
        if sim.rng.gen_bool(0.12) {
            sim.heal_all();
        }
    }

    /// Draws a number from a range.
    fn draw(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.simulation.rng.gen_range(range)
    }

    /// Draws one of several values.
    fn one_of<T: Clone, const N: usize>(&mut self, values: [T; N]) -> T {
        values[self.simulation.rng.gen_range(0..N)].clone()
    }

    fn random_controller(&mut self) -> usize {
        self.simulation.rng.gen_range(0..CONTROLLERS)
    }

    fn random_job(&mut self) -> String {
        self.jobs[self.simulation.rng.gen_range(0..self.jobs.len())].clone()
    }

    /// A user submits a job of random size and constraints.
    fn submit(&mut self, step: usize) {
        let sim = &mut self.simulation;
        let id = format!("j-{step}");
        let tasks = sim.rng.gen_range(1..4);
        let mut spec = match sim.rng.gen_bool(0.3) {
            true => service(&id, tasks),
            false => job(&id, tasks),
        };
        if sim.rng.gen_bool(0.5) {
            spec.team = "blue".into();
        }
        spec.topology_spread = sim.rng.gen_bool(0.3);
        spec.zone_affinity = !spec.topology_spread && sim.rng.gen_bool(0.2);
        let run_ms = [2_000, 15_000, 70_000][sim.rng.gen_range(0..3)];
        sim.workload.job_run_ms.insert(id.clone(), run_ms);
        sim.submit(step % CONTROLLERS, spec);
        self.jobs.push(id);
    }

    /// A user asks all controllers to cancel a job.
    fn cancel(&mut self, id: &str) {
        for controller in 0..CONTROLLERS {
            self.simulation.cancel(controller, id);
        }
    }

    /// Crashes one or all controllers, cuts one off, lets the state store refuse one, or pauses one.
    fn inject_controller_fault(&mut self, kind: u32) {
        match kind {
            6 => {
                let (controller, restart_after_ms) =
                    (self.random_controller(), self.draw(100..4_000));
                self.simulation.crash(controller, restart_after_ms);
            }
            7 => {
                let restart_after_ms = self.draw(100..6_000);
                for controller in 0..CONTROLLERS {
                    let delay_ms = restart_after_ms * (controller as u64 + 1) / 2;
                    self.simulation.crash(controller, delay_ms);
                }
            }
            8 => {
                let controller = self.random_controller();
                let slot = &mut self.simulation.controllers[controller];
                (slot.cut_from_state, slot.cut_from_peers) = (true, true);
            }
            9 => {
                let controller = self.random_controller();
                let slot = &mut self.simulation.controllers[controller];
                slot.refused_by_state = !slot.refused_by_state;
            }
            _ => {
                let (controller, duration_ms) =
                    (self.random_controller(), self.draw(1_000..30_000));
                self.simulation.pause(controller, duration_ms);
            }
        }
    }

    /// Cuts the connections of a random share of the workers in one direction or both, or restores them.
    fn toggle_worker_connections(&mut self) {
        let sim = &mut self.simulation;
        let direction = sim.rng.gen_range(0..3);
        let share = sim.rng.gen_range(0.1..0.8);
        for worker in sim.workers.values_mut() {
            if sim.rng.gen_bool(share) {
                match direction {
                    0 => worker.inbound_lost = !worker.inbound_lost,
                    1 => worker.outbound_lost = !worker.outbound_lost,
                    _ => worker.disconnected = !worker.disconnected,
                }
            }
        }
    }

    /// Draws the probabilities of message faults.
    fn draw_message_faults(&mut self) {
        self.simulation.network.faults = FaultRates {
            transaction_late: self.one_of([0.0, 0.1, 0.4]),
            transaction_answer_lost: self.one_of([0.0, 0.3]),
            heartbeat_kept: self.one_of([0.0, 0.2]),
            heartbeat_duplicated: self.one_of([0.0, 0.3]),
            heartbeat_late: self.one_of([0.0, 0.2]),
            command_late: self.one_of([0.0, 0.3]),
            reply_lost: self.one_of([0.0, 0.2]),
            answer_slow: self.one_of([0.0, 0.5]),
            command_repeated: self.one_of([0.0, 0.3]),
            transaction_repeated: self.one_of([0.0, 0.2]),
            ..FaultRates::default()
        };
    }

    /// Users cancel jobs whose machines stall at the same time. Some machines resume before their lease expires.
    fn cancel_on_stalled_machines(&mut self) {
        let max_ms = 2 * self.simulation.settings.lease_ms;
        let duration_ms = self.draw(500..max_ms);
        for _ in 0..self.simulation.rng.gen_range(1..4) {
            let id = self.random_job();
            for machine in self.simulation.machines_of(&id) {
                self.simulation.stall(&machine, duration_ms);
            }
            self.cancel(&id);
        }
    }

    /// Kills a random machine, or restarts its worker.
    fn kill_or_restart_machine(&mut self) {
        let sim = &mut self.simulation;
        let names: Vec<String> = sim.workers.keys().cloned().collect();
        let name = &names[sim.rng.gen_range(0..names.len())];
        match sim.rng.gen_bool(0.4) {
            true => sim.kill_machine(name),
            false => sim.restart_machine(name, 300),
        }
    }
}
