//! What a controller does by the number of machines. A measurement, run by hand:
//! `cargo test --release -p glenmount-core --test sizes -- --ignored --nocapture`

use glenmount_simulation::{job, service, Simulation};

#[test]
#[ignore = "a measurement of minutes"]
fn cost_by_fleet_size() {
    println!("machines  events/s  us/event  node share  txns/s  changes/s  beat KB  us/beat");
    let mut per_event = Vec::new();
    for machines in [300, 1_250, 2_500, 5_000] {
        let mut sim = Simulation::new(7, 3, machines);
        sim.skip_invariants = true;
        sim.settings.idle_timeout_ms = 3_600_000;
        sim.settings.heartbeat_interval_ms = 5_000;
        sim.settings.lease_ms = 26_500;
        sim.settings.cancellation_timeout_ms = 51_500;
        sim.settings.write_rps = 60.0;
        sim.settings.max_transaction_changes = 40;
        sim.settings.max_value_bytes = 16 * 1024;
        sim.cloud.capacity = 0;
        sim.workload.run_ms = 40_000;
        sim.run(40_000);
        // A third of the machines in use, by services and batches, which come and go.
        let jobs = machines / 30;
        for i in 0..jobs {
            sim.submit(i % 3, service(&format!("j-{i}"), 10));
            sim.run(100);
        }
        let begun = (
            sim.metrics.events,
            sim.metrics.event_time,
            sim.state.transactions,
            sim.state.changes,
        );
        let heartbeats = (sim.metrics.heartbeats, sim.metrics.heartbeat_time);
        let seconds = 30;
        for i in 0..seconds {
            let id = format!("j-9{i:03}");
            sim.submit(i % 3, job(&id, (machines / 100) as u32));
            sim.run(1_000);
        }
        let events = sim.metrics.events - begun.0;
        let spent = (sim.metrics.event_time - begun.1).as_secs_f64();
        let us = spent * 1e6 / events as f64;
        println!(
            "{machines:8}  {:8.0}  {us:8.1}  {:9.2}%  {:6.1}  {:9.1}  {:7.1}  {:7.0}",
            events as f64 / seconds as f64,
            spent * 100.0 / seconds as f64 / 3.0,
            f64::from(sim.state.transactions - begun.2) / seconds as f64,
            f64::from(sim.state.changes - begun.3) / seconds as f64,
            sim.metrics.heartbeat_bytes as f64 / 1024.0,
            (sim.metrics.heartbeat_time - heartbeats.1).as_secs_f64() * 1e6
                / (sim.metrics.heartbeats - heartbeats.0) as f64,
        );
        per_event.push(us / machines as f64);
    }
    // Nothing is worse than linear in the machines, apart from what the measurement itself varies.
    assert!(per_event[3] < per_event[0] * 1.5, "{per_event:?}");
}
