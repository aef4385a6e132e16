//! Random faults that fall together: jobs come and go while controllers end, stand still and are cut off, machines
//! hang or restart, and messages are lost, late or doubled. The same seed gives the same run.

use crate::{job, long_leases, service, Mishaps, World};
use rand::Rng;

/// Steps of a run, each a fault or a request, 50 ms to 2.5 s apart.
pub const STEPS: usize = 140;

const CONTROLLERS: usize = 3;

/// A run whose faults are still in force.
pub struct RandomFaults {
    pub world: World,
    /// Jobs that were submitted, whether they were accepted or not.
    pub jobs: Vec<String>,
    /// It began with the version before, which is replaced meanwhile.
    pub rolling_upgrade: bool,
}

/// Plays so many steps on three controllers.
pub fn play(seed: u64, machines: usize, steps: usize) -> RandomFaults {
    play_on(seed, machines, steps, |_| {})
}

/// The same in a world that is prepared first.
pub fn play_on(
    seed: u64,
    machines: usize,
    steps: usize,
    prepare: impl FnOnce(&mut World),
) -> RandomFaults {
    // Some begin with the version before, which is replaced meanwhile.
    let rolling_upgrade = seed % 4 == 1;
    let mut w = match rolling_upgrade {
        true => World::old(7_000 + seed, CONTROLLERS, machines),
        false => World::new(7_000 + seed, CONTROLLERS, machines),
    };
    prepare(&mut w);
    w.run(9_000);
    w.capacity = 4;
    if seed % 3 == 0 {
        long_leases(&mut w);
        for n in 0..CONTROLLERS {
            w.crash(n, 50);
        }
        w.run(9_000);
    }
    let mut run = RandomFaults {
        world: w,
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
        let kind = self.world.rng.gen_range(0..25);
        match kind {
            0..=3 => self.submit(step),
            4 | 5 if !self.jobs.is_empty() => {
                let id = self.some_job();
                self.cancel(&id);
            }
            6..=9 | 13 => self.disturb_controllers(kind),
            10 => self.world.state_down = !self.world.state_down,
            11 | 12 => self.cut_workers(),
            14 => self.draw_mishaps(),
            15 => self.world.heal(),
            16 if self.rolling_upgrade => {
                let (n, back) = (self.some_controller(), self.draw(100..3_000));
                self.world.upgrade(n, back);
            }
            17 => self.world.close_looks = !self.world.close_looks,
            18 => self.world.cancelled_at_end = self.one_of([0.0, 0.5]),
            19 | 20 if !self.jobs.is_empty() => self.cancel_on_hanging_machines(),
            21 if !self.world.workers.is_empty() => self.end_a_machine(),
            22 => self.world.boot_ms = self.one_of([1_000..5_000, 20..2_000]),
            23 => self.world.slow_links_ms = self.one_of([0, 300, 1_500]),
            _ => {
                for id in self.jobs.clone() {
                    let n = self.some_controller();
                    self.world.status(n, &id);
                }
            }
        }
    }

    /// Time passes, now and then for longer than a cancellation may take; at times all faults end.
    fn pause(&mut self) {
        let pause = self.draw(50..2_500);
        let w = &mut self.world;
        w.run(pause);
        if w.rng.gen_bool(0.03) {
            let long = w.settings.cancel_ms + 10_000;
            w.run(long);
        }
        if w.rng.gen_bool(0.12) {
            w.heal();
        }
    }

    fn draw(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.world.rng.gen_range(range)
    }

    fn one_of<T: Clone, const N: usize>(&mut self, values: [T; N]) -> T {
        values[self.world.rng.gen_range(0..N)].clone()
    }

    fn some_controller(&mut self) -> usize {
        self.world.rng.gen_range(0..CONTROLLERS)
    }

    fn some_job(&mut self) -> String {
        self.jobs[self.world.rng.gen_range(0..self.jobs.len())].clone()
    }

    fn submit(&mut self, step: usize) {
        let w = &mut self.world;
        let id = format!("j-{step}");
        let tasks = w.rng.gen_range(1..4);
        let mut spec = match w.rng.gen_bool(0.3) {
            true => service(&id, tasks),
            false => job(&id, tasks),
        };
        if w.rng.gen_bool(0.5) {
            spec.team = "blue".into();
        }
        spec.topology_spread = w.rng.gen_bool(0.3);
        spec.zone_affinity = !spec.topology_spread && w.rng.gen_bool(0.2);
        let ms = [2_000, 15_000, 70_000][w.rng.gen_range(0..3)];
        w.job_ms.insert(id.clone(), ms);
        w.submit(step % CONTROLLERS, spec);
        self.jobs.push(id);
    }

    /// A user asks all controllers to cancel a job.
    fn cancel(&mut self, id: &str) {
        for n in 0..CONTROLLERS {
            self.world.cancel(n, id);
        }
    }

    /// One or all end, one is cut off, refused by the state service or is paused.
    fn disturb_controllers(&mut self, kind: u32) {
        match kind {
            6 => {
                let (n, back) = (self.some_controller(), self.draw(100..4_000));
                self.world.crash(n, back);
            }
            7 => {
                let back = self.draw(100..6_000);
                for n in 0..CONTROLLERS {
                    self.world.crash(n, back * (n as u64 + 1) / 2);
                }
            }
            8 => {
                let n = self.some_controller();
                let slot = &mut self.world.controllers[n];
                (slot.cut_from_state, slot.cut_from_peers) = (true, true);
            }
            9 => {
                let n = self.some_controller();
                let slot = &mut self.world.controllers[n];
                slot.refused = !slot.refused;
            }
            _ => {
                let (n, ms) = (self.some_controller(), self.draw(1_000..30_000));
                self.world.freeze(n, ms);
            }
        }
    }

    /// A share of the workers loses its connections in one way, or gets them back.
    fn cut_workers(&mut self) {
        let w = &mut self.world;
        let what = w.rng.gen_range(0..3);
        let share = w.rng.gen_range(0.1..0.8);
        for worker in w.workers.values_mut() {
            if w.rng.gen_bool(share) {
                match what {
                    0 => worker.deaf = !worker.deaf,
                    1 => worker.mute = !worker.mute,
                    _ => worker.cut = !worker.cut,
                }
            }
        }
    }

    fn draw_mishaps(&mut self) {
        self.world.mishaps = Mishaps {
            txn_late: self.one_of([0.0, 0.1, 0.4]),
            txn_answer_lost: self.one_of([0.0, 0.3]),
            report_kept: self.one_of([0.0, 0.2]),
            report_twice: self.one_of([0.0, 0.3]),
            report_late: self.one_of([0.0, 0.2]),
            command_late: self.one_of([0.0, 0.3]),
            reply_lost: self.one_of([0.0, 0.2]),
            answer_slow: self.one_of([0.0, 0.5]),
            ..Mishaps::default()
        };
    }

    /// Jobs that run are called off, and their machines hang; some go on inside their lease.
    fn cancel_on_hanging_machines(&mut self) {
        let most = 2 * self.world.settings.lease_ms;
        let ms = self.draw(500..most);
        for _ in 0..self.world.rng.gen_range(1..4) {
            let id = self.some_job();
            for machine in self.world.machines_of(&id) {
                self.world.hang(&machine, ms);
            }
            self.cancel(&id);
        }
    }

    /// A machine dies, or its worker restarts.
    fn end_a_machine(&mut self) {
        let w = &mut self.world;
        let names: Vec<String> = w.workers.keys().cloned().collect();
        let name = &names[w.rng.gen_range(0..names.len())];
        match w.rng.gen_bool(0.4) {
            true => w.kill_machine(name),
            false => w.restart_machine(name, 300),
        }
    }
}
