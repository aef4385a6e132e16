//! Cancellations: starts in flight, loss of the state service, machines that keep a cancelled task.

use crate::common::started_cluster;
use glenmount_core::controller::UserReply;
use glenmount_core::model::JobState;
use glenmount_core::state::{Key, Record};
use glenmount_simulation::service;

#[test]
fn a_cancellation_reaches_a_start_in_flight() {
    for delay_ms in [0, 3, 8, 15, 30, 60, 150, 700] {
        let mut sim = started_cluster(10, 3, 2);
        let request = sim.submit(0, service("j-1", 3));
        sim.await_answer(request);
        sim.run(delay_ms);
        let request = sim.cancel(1, "j-1");
        assert!(matches!(
            sim.await_answer(request),
            UserReply::Cancelled {
                state: JobState::Cancelled,
                ..
            }
        ));
        sim.run(5_000);
        assert_eq!(sim.running("j-1"), 0);
        let request = sim.status(2, "j-1");
        assert!(matches!(
            sim.await_answer(request),
            UserReply::Status {
                state: JobState::Cancelled,
                ..
            }
        ));
        sim.run(40_000);
        sim.check_records();
    }
}

#[test]
fn a_cancelled_task_stops_in_time_although_its_controller_lost_the_state_service() {
    // A controller that reaches its peers redirects its workers to them; an isolated one stops renewing leases.
    for isolated in [false, true] {
        let mut sim = started_cluster(11, 3, 2);
        sim.submit(0, service("j-1", 3));
        sim.run_until(10_000, "runs", |sim| sim.running("j-1") == 3);
        let n = 0;
        for worker in sim.workers.values_mut() {
            worker.controller = n;
        }
        sim.run(3_000);
        sim.controllers[n].cut_from_state = true;
        sim.controllers[n].cut_from_peers = isolated;
        sim.run(3_000);
        // The user repeats the request while the answer is to retry because the machines are not heard.
        let confirmed = (0..10).any(|_| {
            let request = sim.cancel(1, "j-1");
            let confirmed = matches!(sim.await_answer(request), UserReply::Cancelled { .. });
            sim.run(2_000);
            confirmed
        });
        assert!(confirmed, "isolated: {isolated}");
        sim.run(36_000);
        assert_eq!(sim.running("j-1"), 0, "isolated: {isolated}");
    }
}

#[test]
fn a_heartbeat_from_before_the_start_does_not_prove_that_it_never_arrived() {
    let mut sim = started_cluster(22, 2, 1);
    let mut spec = service("j-1", 1);
    spec.team = "blue".into();
    sim.submit(0, spec);
    sim.run_until(10_000, "runs", |sim| sim.running("j-1") == 1);
    let name = sim.machine_of("j-1").unwrap();
    sim.workers.get_mut(&name).unwrap().disconnected = true;
    let request = sim.cancel(0, "j-1");
    sim.await_answer(request);
    for n in 0..2 {
        sim.inject_stale_heartbeat(n, &name, 1);
    }
    sim.run(500);
    let Some((Record::Chunk(chunk), _)) = sim.state.records.get(&Key::Chunk("j-1".into(), 0))
    else {
        panic!("the chunk is not on record");
    };
    assert_eq!(
        chunk.assignment(0).map(|assignment| &assignment.machine),
        Some(&name),
        "the task still runs and stays assigned"
    );
}

#[test]
fn a_machine_that_keeps_a_cancelled_task_is_deleted() {
    let mut sim = started_cluster(12, 2, 1);
    sim.submit(0, service("j-1", 1));
    sim.run_until(10_000, "runs", |sim| sim.running("j-1") == 1);
    let name = sim.machine_of("j-1").unwrap();
    // The controllers are cut off from their workers: the leases would expire too, but later.
    for slot in &mut sim.controllers {
        slot.cut_from_workers = true;
    }
    let request = sim.cancel(0, "j-1");
    sim.await_answer(request);
    sim.run(34_000);
    assert!(sim.cloud.deleted.contains(&name) || sim.running("j-1") == 0);
}
