//! Random faults that fall together: jobs come and go while controllers end, are paused and are cut off, machines
//! hang or restart, and messages are lost, late or doubled. The same seed gives the same run.

use crate::{job, service, use_long_leases, FaultRates, Simulation};
use rand::Rng;

/// Steps of a run, each a fault or a request, 50 ms to 2.5 s apart.
pub const STEPS: usize = 140;

const CONTROLLERS: usize = 3;

/// A run whose faults are still in force.
pub struct RandomFaults {
    /// The simulation at the end of the run.
    pub simulation: Simulation,
    /// Jobs that were submitted, whether they were accepted or not.
    pub jobs: Vec<String>,
    /// It began with the version before, which is replaced meanwhile.
    pub rolling_upgrade: bool,
}

/// Plays so many steps on three controllers.
pub fn play(seed: u64, machines: usize, steps: usize) -> RandomFaults {
    play_on(seed, machines, steps, |_| {})
}

/// The same in a simulation that is prepared first.
pub fn play_on(
    seed: u64,
    machines: usize,
    steps: usize,
    prepare: impl FnOnce(&mut Simulation),
) -> RandomFaults {
    // Some begin with the version before, which is replaced meanwhile.
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
        for n in 0..CONTROLLERS {
            sim.crash(n, 50);
        }
        sim.run(9_000);
    }
    let mut run = RandomFaults {
        simulation: sim,
        jobs: Vec::new(),
        rolling_upgrade,
    };
    for step in 0..steps {
        run.act(step);
        run.pause();
    }
    run
}

impl RandomFaults {
    /// One fault or request.
    fn act(&mut self, step: usize) {
        let kind = self.simulation.rng.gen_range(0..25);
        match kind {
            0..=3 => self.submit(step),
            4 | 5 if !self.jobs.is_empty() => {
                let id = self.some_job();
                self.cancel(&id);
            }
            6..=9 | 13 => self.disturb_controllers(kind),
            10 => self.simulation.state.is_down = !self.simulation.state.is_down,
            11 | 12 => self.cut_workers(),
            14 => self.draw_mishaps(),
            15 => self.simulation.heal_all(),
            16 if self.rolling_upgrade => {
                let (n, back) = (self.some_controller(), self.draw(100..3_000));
                self.simulation.upgrade(n, back);
            }
            17 => self.simulation.follow_up_requests = !self.simulation.follow_up_requests,
            18 => self.simulation.cancel_at_completion = self.one_of([0.0, 0.5]),
            19 | 20 if !self.jobs.is_empty() => self.cancel_on_hanging_machines(),
            21 if !self.simulation.workers.is_empty() => self.end_a_machine(),
            22 => self.simulation.cloud.boot_ms = self.one_of([1_000..5_000, 20..2_000]),
            23 => self.simulation.network.max_extra_latency_ms = self.one_of([0, 300, 1_500]),
            _ => {
                for id in self.jobs.clone() {
                    let n = self.some_controller();
                    self.simulation.status(n, &id);
                }
            }
        }
    }

    /// Time passes, now and then for longer than a cancellation may take; at times all faults end.
    fn pause(&mut self) {
        let pause = self.draw(50..2_500);
        let sim = &mut self.simulation;
        sim.run(pause);
        if sim.rng.gen_bool(0.03) {
            let long = sim.settings.cancellation_timeout_ms + 10_000;
            sim.run(long);
        }
        if sim.rng.gen_bool(0.12) {
            sim.heal_all();
        }
    }

    fn draw(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.simulation.rng.gen_range(range)
    }

    fn one_of<T: Clone, const N: usize>(&mut self, values: [T; N]) -> T {
        values[self.simulation.rng.gen_range(0..N)].clone()
    }

    fn some_controller(&mut self) -> usize {
        self.simulation.rng.gen_range(0..CONTROLLERS)
    }

    fn some_job(&mut self) -> String {
        self.jobs[self.simulation.rng.gen_range(0..self.jobs.len())].clone()
    }

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
        let ms = [2_000, 15_000, 70_000][sim.rng.gen_range(0..3)];
        sim.workload.job_run_ms.insert(id.clone(), ms);
        sim.submit(step % CONTROLLERS, spec);
        self.jobs.push(id);
    }

    /// A user asks all controllers to cancel a job.
    fn cancel(&mut self, id: &str) {
        for n in 0..CONTROLLERS {
            self.simulation.cancel(n, id);
        }
    }

    /// One or all end, one is cut off, refused by the state service or is paused.
    fn disturb_controllers(&mut self, kind: u32) {
        match kind {
            6 => {
                let (n, back) = (self.some_controller(), self.draw(100..4_000));
                self.simulation.crash(n, back);
            }
            7 => {
                let back = self.draw(100..6_000);
                for n in 0..CONTROLLERS {
                    self.simulation.crash(n, back * (n as u64 + 1) / 2);
                }
            }
            8 => {
                let n = self.some_controller();
                let slot = &mut self.simulation.controllers[n];
                (slot.cut_from_state, slot.cut_from_peers) = (true, true);
            }
            9 => {
                let n = self.some_controller();
                let slot = &mut self.simulation.controllers[n];
                slot.refused_by_state = !slot.refused_by_state;
            }
            _ => {
                let (n, ms) = (self.some_controller(), self.draw(1_000..30_000));
                self.simulation.pause(n, ms);
            }
        }
    }

    /// A share of the workers loses its connections in one way, or gets them back.
    fn cut_workers(&mut self) {
        let sim = &mut self.simulation;
        let what = sim.rng.gen_range(0..3);
        let share = sim.rng.gen_range(0.1..0.8);
        for worker in sim.workers.values_mut() {
            if sim.rng.gen_bool(share) {
                match what {
                    0 => worker.inbound_lost = !worker.inbound_lost,
                    1 => worker.outbound_lost = !worker.outbound_lost,
                    _ => worker.disconnected = !worker.disconnected,
                }
            }
        }
    }

    fn draw_mishaps(&mut self) {
        self.simulation.network.faults = FaultRates {
            transaction_late: self.one_of([0.0, 0.1, 0.4]),
            transaction_answer_lost: self.one_of([0.0, 0.3]),
            heartbeat_kept: self.one_of([0.0, 0.2]),
            heartbeat_duplicated: self.one_of([0.0, 0.3]),
            heartbeat_late: self.one_of([0.0, 0.2]),
            command_late: self.one_of([0.0, 0.3]),
            reply_lost: self.one_of([0.0, 0.2]),
            answer_slow: self.one_of([0.0, 0.5]),
            ..FaultRates::default()
        };
    }

    /// Jobs that run are called off, and their machines hang; some go on inside their lease.
    fn cancel_on_hanging_machines(&mut self) {
        let most = 2 * self.simulation.settings.lease_ms;
        let ms = self.draw(500..most);
        for _ in 0..self.simulation.rng.gen_range(1..4) {
            let id = self.some_job();
            for machine in self.simulation.machines_of(&id) {
                self.simulation.stall(&machine, ms);
            }
            self.cancel(&id);
        }
    }

    /// A machine dies, or its worker restarts.
    fn end_a_machine(&mut self) {
        let sim = &mut self.simulation;
        let names: Vec<String> = sim.workers.keys().cloned().collect();
        let name = &names[sim.rng.gen_range(0..names.len())];
        match sim.rng.gen_bool(0.4) {
            true => sim.kill_machine(name),
            false => sim.restart_machine(name, 300),
        }
    }
}
