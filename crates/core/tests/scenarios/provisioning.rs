//! Provisioning of machines: one instance request among all controllers, lost answers, machines that never boot.

use crate::common::{is_done, is_over, started_cluster, time_to_confirm_cancel};
use glenmount_simulation::{job, service, use_long_leases, FaultRates, Simulation};

#[test]
fn controllers_agree_on_one_instance_request() {
    let mut sim = started_cluster(16, 3, 0);
    sim.submit(0, job("j-1", 2));
    sim.submit(1, job("j-2", 2));
    sim.run_until(40_000, "done", |sim| {
        is_done(sim, "j-1") && is_done(sim, "j-2")
    });
    assert!(
        sim.cloud.provisioned <= 3,
        "{} machines provisioned for eight CPUs",
        sim.cloud.provisioned
    );
    sim.run(60_000);
    assert_eq!(sim.workers.len(), 0, "idle machines are deprovisioned");
    sim.check_records();
}

#[test]
fn an_unanswered_instance_request_is_retried_under_the_same_name() {
    let mut sim = started_cluster(17, 3, 0);
    sim.network.faults.cloud_answer_lost = 1.0;
    sim.submit(0, job("j-1", 2));
    sim.run(3_000);
    sim.network.faults.cloud_answer_lost = 0.0;
    sim.run_until(60_000, "done", |sim| is_done(sim, "j-1"));
    assert_eq!(sim.cloud.provisioned, 1);
    sim.check_records();
}

#[test]
fn machines_provisioned_by_a_crashed_controller_are_adopted() {
    let mut sim = started_cluster(18, 3, 0);
    let request = sim.submit(0, job("j-1", 2));
    sim.await_answer(request);
    sim.run(15);
    sim.crash(0, 60_000);
    sim.run_until(40_000, "done", |sim| is_done(sim, "j-1"));
    sim.check_records();
}

/// A provisioned machine does not boot. Its tasks must run on another one, and the machine is deleted later.
#[test]
fn tasks_do_not_wait_for_a_machine_that_never_boots() {
    let mut sim = started_cluster(72, 3, 0);
    sim.cloud.stuck_boots = 1;
    sim.submit(0, job("j-1", 2));
    sim.run_until(25_000, "done on another", |sim| is_done(sim, "j-1"));
    sim.run_until(40_000, "the machine is deleted", |sim| {
        sim.cloud.deleted.contains("n-000000")
    });
    assert!(
        sim.cloud.provisioned <= 3,
        "{} machines provisioned",
        sim.cloud.provisioned
    );
}

/// New machines boot within two seconds and get work at once while transactions are late and controllers crash. Every
/// machine must be used or deprovisioned, no task runs twice, and the number of machines stays near the demand.
#[test]
fn machines_that_boot_within_two_seconds_are_used_while_writes_are_late() {
    for seed in 0..8_u64 {
        let mut sim = Simulation::new(2_400 + seed, 3, 2);
        if seed % 2 == 0 {
            use_long_leases(&mut sim);
        }
        sim.run(9_000);
        (sim.cloud.capacity, sim.cloud.boot_ms, sim.workload.run_ms) = (60, 30..2_000, 20_000);
        (
            sim.network.faults.transaction_late,
            sim.network.faults.transaction_answer_lost,
        ) = (0.25, 0.1);
        if seed % 4 >= 2 {
            sim.network.faults.cloud_answer_lost = 0.3;
        }
        for j in 0..6 {
            sim.submit(j % 3, job(&format!("j-{j}"), 6));
        }
        sim.submit(1, service("j-s", 4));
        sim.run(1_200 + 300 * (seed % 3));
        sim.crash((seed % 3) as usize, [200, 3_000][seed as usize % 2]);
        sim.run(1_500);
        sim.crash(((seed + 1) % 3) as usize, 400);
        let (start_ms, provisioned_before) = (sim.now_ms, sim.cloud.provisioned);
        sim.run_until(120_000, "runs", |sim| {
            (0..6).all(|j| sim.metrics.first_run_ms.contains_key(&format!("j-{j}")))
                && sim.running("j-s") == 4
        });
        sim.network.faults = FaultRates::default();
        sim.run_until(240_000, "done", |sim| {
            (0..6).all(|j| is_over(sim, &format!("j-{j}")))
        });
        // 40 tasks of 2 CPUs take 20 of the small machines, or 10 of the large ones.
        assert!(
            sim.cloud.provisioned <= 2 + 20 * 2,
            "seed {seed}: {provisioned_before} machines provisioned before, {} in all",
            sim.cloud.provisioned
        );
        assert!(sim.now_ms < start_ms + 240_000);
        time_to_confirm_cancel(&mut sim, 0, "j-s").expect("the cancellation is confirmed");
        // Every machine is on record or deleted, so unneeded ones are deprovisioned.
        sim.run(sim.settings.idle_timeout_ms + 120_000);
        let left = sim.workers.len();
        assert!(left <= 4, "seed {seed}: {left} idle machines are left");
        sim.check_records();
    }
}
