//! The heap allocations for a heartbeat in the core. Unlike times they are deterministic, so a test can bound them.

use glenmount_core::controller::{Effect, Event, WorkerReply};
use glenmount_core::model::{TaskStatus, WorkerHeartbeat};
use glenmount_simulation::{service, Simulation, START_TIME_MS};

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

/// The number of blocks that an unchanged heartbeat may allocate: the reported tasks, and the list of effects with the
/// answer. Copies of names in maps, and of fields that the machine record lacks, raised it to 9.
const MAX_BLOCKS: f64 = 4.0;
/// The bytes that an unchanged heartbeat may allocate, most of them for the list of effects.
const MAX_BYTES: f64 = 900.0;

#[test]
fn an_unchanged_heartbeat_allocates_little() {
    let mut sim = Simulation::new(1, 1, 40);
    sim.settings.idle_timeout_ms = 3_600_000;
    sim.run(6_000);
    for i in 0..20 {
        sim.submit(0, service(&format!("j-{i}"), 4));
        sim.run(200);
    }
    sim.run_until(30_000, "up", |sim| {
        (0..20).all(|i| sim.running(&format!("j-{i}")) == 4)
    });
    sim.run(20_000);
    let mut heartbeats: Vec<WorkerHeartbeat> = (sim.workers.values())
        .map(|worker| WorkerHeartbeat {
            machine: worker.name.clone(),
            address: "10.0.0.9:9000".into(),
            type_name: worker.type_name.clone(),
            zone: worker.zone.clone(),
            spot: worker.spot,
            incarnation: worker.incarnation,
            sequence: worker.sequence + 100,
            token: worker.fencing_token,
            notice_s: None,
            tasks: (worker.tasks.iter())
                .map(|((task, attempt), state)| TaskStatus {
                    task: task.clone(),
                    attempt: *attempt,
                    phase: state.phase,
                })
                .collect(),
        })
        .collect();
    let tasks: usize = heartbeats.iter().map(|h| h.tasks.len()).sum();
    assert!(tasks >= 80, "only {tasks} tasks run");
    let (now, wall) = (sim.now_ms, START_TIME_MS + sim.now_ms);
    let controller = sim.controllers[0].controller.as_mut().unwrap();
    // The first round of heartbeats differs from the controller's state, so its allocations are not counted.
    let mut events = |increment: u64| -> Vec<Event> {
        (heartbeats.iter_mut())
            .enumerate()
            .map(|(i, heartbeat)| {
                heartbeat.sequence += increment;
                let heartbeat = Box::new(heartbeat.clone());
                let request = 1_000_000 + i as u64;
                Event::WorkerHeartbeat { request, heartbeat }
            })
            .collect()
    };
    for event in events(1) {
        controller.handle(now, wall, event);
    }
    let counted = events(1);
    let count = counted.len() as f64;
    let profiler = dhat::Profiler::builder().testing().build();
    let before = dhat::HeapStats::get();
    let mut answers = 0;
    for event in counted {
        let effects = controller.handle(now, wall, event);
        answers += effects
            .iter()
            .filter(|e| {
                matches!(
                    e,
                    Effect::Worker {
                        reply: WorkerReply::Commands { .. },
                        ..
                    }
                )
            })
            .count();
    }
    let after = dhat::HeapStats::get();
    drop(profiler);
    assert_eq!(
        answers, count as usize,
        "every heartbeat is answered at once"
    );
    let blocks = (after.total_blocks - before.total_blocks) as f64 / count;
    let bytes = (after.total_bytes - before.total_bytes) as f64 / count;
    println!("a heartbeat: {blocks:.1} blocks, {bytes:.0} bytes");
    assert!(blocks <= MAX_BLOCKS, "{blocks} blocks");
    assert!(bytes <= MAX_BYTES, "{bytes} bytes");
}
