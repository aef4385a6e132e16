//! Workers and machines that fail: death, expired leases, partitions, termination notices, failing tasks.

use crate::common::{is_done, started_cluster, without_scale_in};
use glenmount_core::controller::UserReply;
use glenmount_core::state::{JobPhase, Key};
use glenmount_simulation::{job, service, Simulation};

#[test]
fn tasks_of_an_expired_lease_are_restarted() {
    let mut sim = started_cluster(7, 2, 1);
    sim.submit(0, service("j-1", 1));
    sim.run_until(10_000, "runs", |sim| sim.running("j-1") == 1);
    let name = sim.machine_of("j-1").unwrap();
    // A silent machine is deleted before its lease expires, so the cloud is down to let the worker reach the next
    // incarnation.
    sim.cloud.is_down = true;
    sim.workers.get_mut(&name).unwrap().disconnected = true;
    sim.run(14_000);
    assert_eq!(sim.workers[&name].incarnation, 2);
    assert_eq!(sim.running("j-1"), 0);
    sim.workers.get_mut(&name).unwrap().disconnected = false;
    sim.cloud.is_down = false;
    sim.run_until(60_000, "runs again", |sim| sim.running("j-1") == 1);
    sim.check_records();
}

#[test]
fn a_dead_machine_is_deleted_and_its_service_moves() {
    let mut sim = started_cluster(8, 3, 3);
    sim.submit(0, service("j-1", 1));
    sim.run_until(10_000, "runs", |sim| sim.running("j-1") == 1);
    let name = sim.machine_of("j-1").unwrap();
    sim.kill_machine(&name);
    sim.run_until(25_000, "runs elsewhere", |sim| sim.running("j-1") == 1);
    assert!(
        sim.cloud.deleted.contains(&name),
        "the machine is deleted, which proves that its tasks ended"
    );
    sim.check_records();
}

#[test]
fn a_dead_machine_is_detected_before_a_worker_could_reconnect() {
    let mut sim = started_cluster(24, 1, 5);
    sim.submit(0, service("j-1", 1));
    sim.run_until(10_000, "runs", |sim| sim.running("j-1") == 1);
    let name = sim.machine_of("j-1").unwrap();
    sim.kill_machine(&name);
    sim.run_until(6_000, "runs elsewhere", |sim| sim.running("j-1") == 1);
}

#[test]
fn a_machine_that_dies_with_its_controller_is_detected_before_its_lease_expires() {
    let mut sim = started_cluster(30, 3, 6);
    sim.settings.idle_timeout_ms = 600_000;
    for worker in sim.workers.values_mut() {
        worker.controller = 0;
    }
    sim.submit(1, service("j-1", 1));
    sim.run_until(10_000, "runs", |sim| sim.running("j-1") == 1);
    sim.run(2_000);
    let name = sim.machine_of("j-1").unwrap();
    sim.kill_machine(&name);
    sim.crash(0, 60_000);
    sim.run_until(11_500, "runs elsewhere", |sim| sim.running("j-1") == 1);
}

#[test]
fn a_machine_that_dies_while_all_controllers_are_down_is_detected() {
    // No controller has received a heartbeat of the machine since its start, so none knows its incarnation.
    let mut sim = without_scale_in(24, 3, 2);
    sim.submit(0, job("j-1", 1));
    sim.run_until(10_000, "runs", |sim| sim.running("j-1") == 1);
    let machine = sim.machine_of("j-1").unwrap();
    for n in 0..3 {
        sim.crash(n, 4_000);
    }
    sim.kill_machine(&machine);
    sim.run_until(60_000, "done elsewhere", |sim| is_done(sim, "j-1"));
    assert!(sim.cloud.deleted.contains(&machine));
    sim.check_records();
}

#[test]
fn a_partitioned_machine_runs_no_task_twice() {
    // The worker keeps running behind the partition; only its deletion proves that the task has ended.
    let mut sim = started_cluster(9, 3, 3);
    sim.submit(0, service("j-1", 2));
    sim.run_until(10_000, "runs", |sim| sim.running("j-1") == 2);
    let name = sim.machine_of("j-1").unwrap();
    sim.workers.get_mut(&name).unwrap().disconnected = true;
    sim.run(40_000);
    assert_eq!(sim.running("j-1"), 2);
    sim.check_records();
}

#[test]
fn a_machine_on_which_every_task_fails_is_quarantined_and_deleted() {
    let mut sim = started_cluster(19, 2, 3);
    let faulty = "n-000000".to_string();
    sim.workers.get_mut(&faulty).unwrap().fails_tasks = true;
    for i in 0..4 {
        sim.submit(0, job(&format!("j-{i}"), 3));
    }
    sim.run_until(90_000, "all done", |sim| {
        (0..4).all(|i| is_done(sim, &format!("j-{i}")))
    });
    sim.run_until(60_000, "deleted", |sim| {
        sim.cloud.deleted.contains("n-000000")
    });
}

#[test]
fn a_failing_job_backs_off_and_quarantines_no_machine() {
    let mut sim = started_cluster(20, 2, 4);
    sim.cloud.capacity = 0;
    for worker in sim.workers.values_mut() {
        worker.fails_tasks = true;
    }
    sim.submit(0, job("j-1", 1));
    sim.run(60_000);
    assert!(sim.metrics.starts < 25, "{} starts", sim.metrics.starts);
    for worker in sim.workers.values_mut() {
        worker.fails_tasks = false;
    }
    sim.submit(0, job("j-2", 1));
    sim.run_until(60_000, "other jobs run", |sim| is_done(sim, "j-2"));
}

#[test]
fn a_checkpointing_task_moves_on_a_termination_notice() {
    let mut sim = started_cluster(32, 2, 2);
    sim.workload.run_ms = 20_000;
    let mut spec = job("j-1", 1);
    (spec.checkpoint_interval_s, spec.checkpoint_duration_s) = (5.0, 1.0);
    sim.submit(0, spec);
    sim.run_until(10_000, "runs", |sim| sim.running("j-1") == 1);
    let name = sim.machine_of("j-1").unwrap();
    sim.workers.get_mut(&name).unwrap().termination_notice_s = Some(20.0);
    sim.run_until(8_000, "runs elsewhere", |sim| {
        sim.running("j-1") == 1 && sim.machine_of("j-1").as_ref() != Some(&name)
    });
    sim.run_until(60_000, "done", |sim| is_done(sim, "j-1"));
}

#[test]
fn a_machine_with_a_termination_notice_gets_no_new_task() {
    let mut sim = started_cluster(21, 2, 2);
    sim.workers
        .get_mut("n-000000")
        .unwrap()
        .termination_notice_s = Some(20.0);
    sim.run(4_000);
    sim.submit(0, job("j-1", 2));
    sim.run_until(20_000, "done", |sim| is_done(sim, "j-1"));
    assert!(sim
        .workers
        .get("n-000000")
        .is_none_or(|worker| worker.tasks.is_empty()));
}

/// A task of an expired lease ran twice on a machine with many tasks: a controller resent its start under the same
/// attempt in the answer to a heartbeat, while the proof that the attempt had ended was not yet recorded, and then
/// assigned the task to another machine as well.
#[test]
fn a_task_of_an_expired_lease_is_not_restarted_as_the_same_attempt() {
    for seed in 0..6 {
        let mut sim = Simulation::new(80 + seed, 3, 60);
        sim.settings.idle_timeout_ms = 3_600_000;
        sim.run(5_000);
        for i in 0..30 {
            sim.submit(i % 3, service(&format!("j-{i}"), 4));
            sim.run(200);
        }
        let all_running = |sim: &Simulation| (0..30).all(|i| sim.running(&format!("j-{i}")) == 4);
        sim.run_until(40_000, "up", all_running);
        // The low write rate delays the recording of ended attempts.
        sim.settings.write_rps = 4.0;
        for n in 0..3 {
            sim.crash(n, 13_000);
        }
        sim.run(13_000);
        sim.run_until(90_000, "up again", all_running);
    }
}

/// Faulty jobs fail on every machine until they are cancelled. They must neither make healthy machines look faulty nor
/// take the capacity of other jobs. A job that only met faulty machines must not be considered faulty.
#[test]
fn failing_jobs_quarantine_no_machines_and_starve_nobody() {
    let mut sim = without_scale_in(69, 3, 8);
    sim.cloud.capacity = 0;
    for id in ["j-1", "j-2", "j-3"] {
        sim.workload.failing_jobs.insert(id.into());
        sim.submit(0, job(id, 6));
        sim.run(1_500);
    }
    sim.run(40_000);
    let (starts, provisioned) = (sim.metrics.starts, sim.cloud.provisioned);
    sim.run(40_000);
    assert!(
        sim.metrics.starts < starts + 20,
        "{} more starts",
        sim.metrics.starts - starts
    );
    assert_eq!(
        sim.cloud.provisioned, provisioned,
        "no machine is provisioned for failing jobs"
    );
    assert!(sim.cloud.deleted.is_empty(), "{:?}", sim.cloud.deleted);
    sim.submit(1, job("j-4", 12));
    sim.run_until(20_000, "other jobs run", |sim| is_done(sim, "j-4"));
    for id in ["j-1", "j-2", "j-3"] {
        assert_eq!(sim.job_phase(id), Some(JobPhase::Open));
        let request = sim.cancel(2, id);
        assert!(matches!(
            sim.await_answer(request),
            UserReply::Cancelled { .. }
        ));
    }
    for name in ["n-000000", "n-000001", "n-000002"] {
        sim.workers.get_mut(name).unwrap().fails_tasks = true;
    }
    sim.submit(0, job("j-5", 16));
    sim.run_until(60_000, "done", |sim| is_done(sim, "j-5"));
    sim.check_records();
}

/// Guards against jobs that wait forever, since controllers of earlier versions removed the record of a deleted machine
/// to which a peer had assigned their tasks.
#[test]
fn tasks_on_a_machine_without_a_record_are_started_elsewhere() {
    for seed in 0..4 {
        let mut sim = without_scale_in(seed, 3, 3);
        sim.workload.run_ms = 20_000;
        sim.submit(0, job("j-1", 4));
        sim.run_until(10_000, "runs", |sim| sim.running("j-1") == 4);
        let name = sim.machine_of("j-1").expect("the job runs");
        sim.kill_machine(&name);
        sim.run(10);
        sim.remove_record(Key::Machine(name));
        sim.run_until(90_000, "done", |sim| is_done(sim, "j-1"));
        sim.run(10_000);
        sim.check_records();
    }
}

/// Guards against the deletion of a machine on an old decision: a controller found it unreachable, lost the state
/// service before it could record that, and has learned since that the machine reports to a peer.
#[test]
fn a_machine_unreachable_before_an_outage_is_kept_if_it_reports_since() {
    let mut kept = 0;
    for offset_ms in (0..3_000).step_by(50) {
        let mut sim = without_scale_in(offset_ms, 2, 4);
        sim.workload.run_ms = 600_000;
        sim.submit(1, job("j-1", 8));
        sim.run_until(10_000, "runs", |sim| sim.running("j-1") == 8);
        let name = "n-000000";
        for worker in sim.workers.values_mut() {
            worker.controller = 0;
        }
        sim.run(3_000);
        sim.workers.get_mut(name).unwrap().disconnected = true;
        sim.run(1_500 + offset_ms);
        sim.controllers[0].refused_by_state = true;
        sim.run(1_200);
        sim.workers.get_mut(name).unwrap().disconnected = false;
        // The worker finds the other controller, and the peers learn of it.
        sim.run(6_000);
        let is_deleted = sim.cloud.deleted.contains(name);
        sim.controllers[0].refused_by_state = false;
        sim.run(6_000);
        if is_deleted {
            continue;
        }
        assert!(!sim.cloud.deleted.contains(name), "offset {offset_ms} ms");
        kept += 1;
    }
    assert!(kept > 10, "{kept} machines were kept");
}
