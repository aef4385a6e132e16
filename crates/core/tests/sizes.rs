//! The cost of events in a controller by fleet size. A measurement, run by hand:
//! `cargo test --release -p glenmount-core --test sizes -- --ignored --nocapture`

use glenmount_simulation::{job, service, Simulation};

#[test]
#[ignore = "a measurement that takes minutes"]
fn cost_by_fleet_size() {
    println!("machines  events/s  us/event  node share  txns/s  changes/s  beat KB  us/beat");
    let mut us_per_event_and_machine = Vec::new();
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
        // Services and short batch jobs use about a third of the machines.
        let jobs = machines / 30;
        for i in 0..jobs {
            sim.submit(i % 3, service(&format!("j-{i}"), 10));
            sim.run(100);
        }
        let before = (
            sim.metrics.events,
            sim.metrics.event_time,
            sim.state.transactions,
            sim.state.changes,
        );
        let heartbeats_before = (sim.metrics.heartbeats, sim.metrics.heartbeat_time);
        let duration_s = 30;
        for i in 0..duration_s {
            let id = format!("j-9{i:03}");
            sim.submit(i % 3, job(&id, (machines / 100) as u32));
            sim.run(1_000);
        }
        let events = sim.metrics.events - before.0;
        let busy_s = (sim.metrics.event_time - before.1).as_secs_f64();
        let us_per_event = busy_s * 1e6 / events as f64;
        println!(
            "{machines:8}  {:8.0}  {us_per_event:8.1}  {:9.2}%  {:6.1}  {:9.1}  {:7.1}  {:7.0}",
            events as f64 / duration_s as f64,
            busy_s * 100.0 / duration_s as f64 / 3.0,
            f64::from(sim.state.transactions - before.2) / duration_s as f64,
            f64::from(sim.state.changes - before.3) / duration_s as f64,
            sim.metrics.heartbeat_bytes as f64 / 1024.0,
            (sim.metrics.heartbeat_time - heartbeats_before.1).as_secs_f64() * 1e6
                / (sim.metrics.heartbeats - heartbeats_before.0) as f64,
        );
        us_per_event_and_machine.push(us_per_event / machines as f64);
    }
    // The cost of an event grows at most linearly with the fleet, with a margin of a half for noise.
    assert!(
        us_per_event_and_machine[3] < us_per_event_and_machine[0] * 1.5,
        "{us_per_event_and_machine:?}"
    );
}
