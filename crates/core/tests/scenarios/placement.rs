//! Placement: claims, topology spread and zone affinity, chunks of arrays, image locality.

use crate::common::{is_done, started, without_scale_in};
use glenmount_core::state::Key;
use glenmount_simulation::{job, service};

#[test]
fn controllers_that_claim_the_same_task_start_it_once() {
    for seed in 0..10 {
        let mut sim = started(seed, 3, 4);
        for i in 0..6 {
            sim.submit(i % 3, job(&format!("j-{i}"), 3));
        }
        sim.run_until(60_000, "all done", |sim| {
            (0..6).all(|i| is_done(sim, &format!("j-{i}")))
        });
        assert_eq!(sim.metrics.starts, 18, "seed {seed}");
        sim.check_records();
    }
}

#[test]
fn topology_spread_and_zone_affinity_are_respected() {
    for seed in 0..6 {
        let mut sim = started(400 + seed, 3, 6);
        sim.cloud.capacity = 0;
        let mut apart = service("j-1", 4);
        apart.topology_spread = true;
        let mut joined = job("j-2", 5);
        joined.zone_affinity = true;
        let mut zoned = job("j-3", 2);
        zoned.zone = Some("west".into());
        sim.submit(0, apart);
        sim.submit(1, joined);
        sim.submit(2, zoned);
        sim.run_until(60_000, "placed", |sim| {
            sim.running("j-1") == 4 && is_done(sim, "j-2") && is_done(sim, "j-3")
        });
    }
}

#[test]
fn a_large_array_is_stored_in_chunks_created_on_demand() {
    let mut sim = started(13, 2, 4);
    sim.workload.run_ms = 100;
    sim.settings.idle_timeout_ms = 600_000;
    let mut spec = job("j-1", 250);
    spec.topology_spread = true;
    spec.resources.cpus = 500;
    spec.resources.ram = 100;
    sim.submit(0, spec);
    sim.run(300);
    assert!(!sim.state.records.contains_key(&Key::Chunk("j-1".into(), 2)));
    sim.run_until(300_000, "done", |sim| is_done(sim, "j-1"));
    sim.run(10_000);
    sim.check_records();
    let left = sim
        .state
        .records
        .keys()
        .filter(|k| matches!(k, Key::Chunk(..) | Key::ZoneSpread(_)));
    assert_eq!(left.count(), 0, "swept");
}

/// Room that is free, but where its image would be fetched for seconds, used to be taken at once,
/// though a batch's task on a machine with the image could be stopped in half of one.
#[test]
fn a_service_preempts_a_batch_to_start_where_its_image_is_cached() {
    let mut sim = without_scale_in(90, 1, 4);
    sim.cloud.capacity = 0;
    sim.workload.run_ms = 120_000;
    let mut first = service("j-1", 1);
    (first.image, first.image_gb) = ("svc".into(), 4.0);
    sim.submit(0, first.clone());
    sim.run_until(10_000, "runs", |sim| sim.running("j-1") == 1);
    let warm = sim.machine_of("j-1").unwrap();
    sim.cancel(0, "j-1");
    sim.run(3_000);
    // A batch on every machine, capacity for one more task on one without the image.
    sim.submit(0, job("j-2", 7));
    sim.run_until(10_000, "runs", |sim| sim.running("j-2") == 7);
    first.id = "j-3".into();
    let r = sim.submit(0, first);
    sim.await_answer(r);
    sim.run_until(3_000, "runs", |sim| sim.running("j-3") == 1);
    assert_eq!(sim.machine_of("j-3"), Some(warm));
    sim.check_records();
}
