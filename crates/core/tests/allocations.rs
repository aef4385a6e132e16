//! What a heartbeat allocates in the core: exact, and so bounded here, unlike its time.

use glenmount_core::controller::{Effect, Event, WorkerReply};
use glenmount_core::model::{TaskStatus, WorkerHeartbeat};
use glenmount_simulation::{service, Simulation, START_TIME_MS};

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

/// Blocks that a heartbeat without news may take: what is reported by task, and the list of effects with
/// its answer. Names that were copied into maps, and what a record lacks of a machine, made it 9.
const BLOCKS: f64 = 4.0;
/// Bytes, the same: most of them for the list of effects.
const BYTES: f64 = 900.0;

#[test]
fn a_heartbeat_without_news_allocates_little() {
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
    let mut reports: Vec<WorkerHeartbeat> = (sim.workers.values())
        .map(|m| WorkerHeartbeat {
            machine: m.name.clone(),
            address: "10.0.0.9:9000".into(),
            type_name: m.type_name.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            incarnation: m.incarnation,
            sequence: m.sequence + 100,
            token: m.fencing_token,
            notice_s: None,
            tasks: (m.tasks.iter())
                .map(|((task, attempt), t)| TaskStatus {
                    task: task.clone(),
                    attempt: *attempt,
                    phase: t.phase,
                })
                .collect(),
        })
        .collect();
    let tasks: usize = reports.iter().map(|r| r.tasks.len()).sum();
    assert!(tasks >= 80, "{tasks} tasks run");
    let (now, wall_time) = (sim.now_ms, START_TIME_MS + sim.now_ms);
    let controller = sim.controllers[0].controller.as_mut().unwrap();
    // The first round has news: whatever it takes is not counted.
    let mut events = |sequence: u64| -> Vec<Event> {
        (reports.iter_mut())
            .enumerate()
            .map(|(i, report)| {
                report.sequence += sequence;
                let report = Box::new(report.clone());
                let request = 1_000_000 + i as u64;
                Event::WorkerHeartbeat {
                    request,
                    heartbeat: report,
                }
            })
            .collect()
    };
    for event in events(1) {
        controller.handle(now, wall_time, event);
    }
    let counted = events(1);
    let n = counted.len() as f64;
    let profiler = dhat::Profiler::builder().testing().build();
    let before = dhat::HeapStats::get();
    let mut answers = 0;
    for event in counted {
        let effects = controller.handle(now, wall_time, event);
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
    assert_eq!(answers, n as usize, "each is answered, and at once");
    let blocks = (after.total_blocks - before.total_blocks) as f64 / n;
    let bytes = (after.total_bytes - before.total_bytes) as f64 / n;
    println!("a check-in: {blocks:.1} blocks, {bytes:.0} bytes");
    assert!(blocks <= BLOCKS, "{blocks} blocks");
    assert!(bytes <= BYTES, "{bytes} bytes");
}
