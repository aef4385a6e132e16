//! Random faults that fall together: jobs come and go while controllers end, stand still and are cut off, machines
//! hang or restart, and messages are lost, late or doubled. The same seed gives the same run.

use crate::{job, long_leases, service, Mishaps, World};
use rand::Rng;

/// Steps of a run, each a fault or a request, 50 ms to 2.5 s apart.
pub const STEPS: usize = 140;

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
        true => World::old(7_000 + seed, 3, machines),
        false => World::new(7_000 + seed, 3, machines),
    };
    prepare(&mut w);
    w.run(9_000);
    w.capacity = 4;
    if seed % 3 == 0 {
        long_leases(&mut w);
        for n in 0..3 {
            w.crash(n, 50);
        }
        w.run(9_000);
    }
    let mut jobs: Vec<String> = Vec::new();
    for step in 0..steps {
        match w.rng.gen_range(0..25) {
            0..=3 => {
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
                w.submit(step % 3, spec);
                jobs.push(id);
            }
            4 | 5 if !jobs.is_empty() => {
                let id = jobs[w.rng.gen_range(0..jobs.len())].clone();
                for n in 0..3 {
                    w.cancel(n, &id);
                }
            }
            6 => {
                let (n, back) = (w.rng.gen_range(0..3), w.rng.gen_range(100..4_000));
                w.crash(n, back);
            }
            7 => {
                let back = w.rng.gen_range(100..6_000);
                (0..3).for_each(|n| w.crash(n, back * (n as u64 + 1) / 2));
            }
            8 => {
                let n = w.rng.gen_range(0..3);
                let slot = &mut w.controllers[n];
                (slot.cut_from_state, slot.cut_from_peers) = (true, true);
            }
            9 => {
                let n = w.rng.gen_range(0..3);
                w.controllers[n].refused = !w.controllers[n].refused;
            }
            10 => w.state_down = !w.state_down,
            11 | 12 => {
                let what = w.rng.gen_range(0..3);
                let share = w.rng.gen_range(0.1..0.8);
                let names: Vec<String> = w.workers.keys().cloned().collect();
                for name in names {
                    if w.rng.gen_bool(share) {
                        let worker = w.workers.get_mut(&name).unwrap();
                        match what {
                            0 => worker.deaf = !worker.deaf,
                            1 => worker.mute = !worker.mute,
                            _ => worker.cut = !worker.cut,
                        }
                    }
                }
            }
            13 => {
                let (n, ms) = (w.rng.gen_range(0..3), w.rng.gen_range(1_000..30_000));
                w.freeze(n, ms);
            }
            14 => {
                w.mishaps = Mishaps {
                    txn_late: [0.0, 0.1, 0.4][w.rng.gen_range(0..3)],
                    txn_answer_lost: [0.0, 0.3][w.rng.gen_range(0..2)],
                    report_kept: [0.0, 0.2][w.rng.gen_range(0..2)],
                    report_twice: [0.0, 0.3][w.rng.gen_range(0..2)],
                    report_late: [0.0, 0.2][w.rng.gen_range(0..2)],
                    command_late: [0.0, 0.3][w.rng.gen_range(0..2)],
                    reply_lost: [0.0, 0.2][w.rng.gen_range(0..2)],
                    answer_slow: [0.0, 0.5][w.rng.gen_range(0..2)],
                    ..Mishaps::default()
                }
            }
            15 => w.heal(),
            16 if rolling_upgrade => {
                let (n, back) = (w.rng.gen_range(0..3), w.rng.gen_range(100..3_000));
                w.upgrade(n, back);
            }
            17 => w.close_looks = !w.close_looks,
            18 => w.cancelled_at_end = [0.0, 0.5][w.rng.gen_range(0..2)],
            19 | 20 if !jobs.is_empty() => {
                // Jobs that run are called off, and their machines hang; some go on inside their lease.
                let ms = w.rng.gen_range(500..2 * w.settings.lease_ms);
                for _ in 0..w.rng.gen_range(1..4) {
                    let id = jobs[w.rng.gen_range(0..jobs.len())].clone();
                    for machine in w.machines_of(&id) {
                        w.hang(&machine, ms);
                    }
                    for n in 0..3 {
                        w.cancel(n, &id);
                    }
                }
            }
            21 if !w.workers.is_empty() => {
                let names: Vec<String> = w.workers.keys().cloned().collect();
                let name = names[w.rng.gen_range(0..names.len())].clone();
                match w.rng.gen_bool(0.4) {
                    true => w.kill_machine(&name),
                    false => w.restart_machine(&name, 300),
                }
            }
            22 => w.boot_ms = [1_000..5_000, 20..2_000][w.rng.gen_range(0..2)].clone(),
            23 => w.slow_links_ms = [0, 300, 1_500][w.rng.gen_range(0..3)],
            _ => {
                for id in jobs.clone() {
                    let n = w.rng.gen_range(0..3);
                    w.status(n, &id);
                }
            }
        }
        let pause = w.rng.gen_range(50..2_500);
        w.run(pause);
        if w.rng.gen_bool(0.03) {
            let long = w.settings.cancel_ms + 10_000;
            w.run(long);
        }
        if w.rng.gen_bool(0.12) {
            w.heal();
        }
    }
    RandomFaults {
        world: w,
        jobs,
        rolling_upgrade,
    }
}
