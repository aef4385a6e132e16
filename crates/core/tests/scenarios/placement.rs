//! Placement: claims, topology spread and zone affinity, chunks of arrays, image locality.

use crate::common::{is_done, started_cluster, without_scale_in};
use glenmount_core::state::Key;
use glenmount_simulation::{job, service};

#[test]
fn controllers_that_claim_the_same_task_start_it_once() {
    for seed in 0..10 {
        let mut sim = started_cluster(seed, 3, 4);
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
        let mut sim = started_cluster(400 + seed, 3, 6);
        sim.cloud.capacity = 0;
        let mut spread = service("j-1", 4);
        spread.topology_spread = true;
        let mut affine = job("j-2", 5);
        affine.zone_affinity = true;
        let mut zoned = job("j-3", 2);
        zoned.zone = Some("west".into());
        sim.submit(0, spread);
        sim.submit(1, affine);
        sim.submit(2, zoned);
        sim.run_until(60_000, "placed", |sim| {
            sim.running("j-1") == 4 && is_done(sim, "j-2") && is_done(sim, "j-3")
        });
    }
}

#[test]
fn a_large_array_is_stored_in_chunks_created_on_demand() {
    let mut sim = started_cluster(13, 2, 4);
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
    assert_eq!(left.count(), 0, "leftover records are deleted");
}

/// The scheduler placed a service at once on free capacity where fetching its image takes seconds, although preempting
/// a batch task on a machine with the image takes half a second.
#[test]
fn a_service_preempts_a_batch_to_start_where_its_image_is_cached() {
    let mut sim = without_scale_in(90, 1, 4);
    sim.cloud.capacity = 0;
    sim.workload.run_ms = 120_000;
    let mut first = service("j-1", 1);
    (first.image, first.image_gb) = ("svc".into(), 4.0);
    sim.submit(0, first.clone());
    sim.run_until(10_000, "runs", |sim| sim.running("j-1") == 1);
    let machine_with_image = sim.machine_of("j-1").unwrap();
    sim.cancel(0, "j-1");
    sim.run(3_000);
    // The batch runs on every machine; there is capacity for one more task on a machine without the image.
    sim.submit(0, job("j-2", 7));
    sim.run_until(10_000, "runs", |sim| sim.running("j-2") == 7);
    first.id = "j-3".into();
    let request = sim.submit(0, first);
    sim.await_answer(request);
    sim.run_until(3_000, "runs", |sim| sim.running("j-3") == 1);
    assert_eq!(sim.machine_of("j-3"), Some(machine_with_image));
    sim.check_records();
}
