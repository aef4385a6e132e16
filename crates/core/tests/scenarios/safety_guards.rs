//! One scenario for each safety check of a decision: with all checks it holds the invariants; with that check disabled
//! it violates an invariant, or loses work or time. See docs/design.md, "Before the first decision".

use crate::guard_harness::{assert_check_needed, assert_violates, simulation_with_checks};
use glenmount_core::controller::UserReply;
use glenmount_core::model::{JobPriority, JobSpec};
use glenmount_simulation::{job, limited_team, service, Simulation};

/// One controller accepts a job and a user asks another about it before the watch has delivered the job there. Without
/// a linearizable read the second controller answers "not found".
#[test]
fn without_linearizable_reads_an_accepted_job_is_not_found() {
    let cost = assert_check_needed("proof", 0, |checks| {
        for seed in 0..12 {
            let mut sim = simulation_with_checks(checks, 900 + seed, 3, 2);
            sim.run(4_000);
            let request = sim.submit(0, job("j-1", 1));
            sim.await_answer(request);
            let request = sim.status(1, "j-1");
            sim.await_answer(request);
        }
        0
    });
    assert_violates(cost, "forgotten");
}

/// A controller begins a read for a status request and is paused; meanwhile a peer accepts the job. Without pause
/// detection the controller answers from the read, which is stale by then.
#[test]
fn without_pause_detection_a_stale_read_decides() {
    let cost = assert_check_needed("gap", 0, |checks| {
        for seed in 0..6 {
            let mut sim = simulation_with_checks(checks, 920 + seed, 3, 2);
            sim.run(4_000);
            sim.status(1, "j-1");
            sim.run(3);
            sim.pause(1, 6_000);
            sim.run(1_000);
            let request = sim.submit(0, job("j-1", 1));
            sim.await_answer(request);
            sim.run(8_000);
        }
        0
    });
    assert_violates(cost, "forgotten");
}

/// A user submits a job to the first controller of a site about 40 ms after its start, before it has read the machine
/// types.
#[test]
fn without_machine_types_a_feasible_job_is_rejected() {
    let cost = assert_check_needed("types", 0, |checks| {
        let mut rejected = 0;
        for seed in 0..6 {
            let mut sim = simulation_with_checks(checks, 940 + seed, 1, 2);
            sim.run(45);
            let request = sim.submit(0, job("j-1", 1));
            rejected += u64::from(matches!(sim.await_answer(request), UserReply::Rejected(_)));
        }
        rejected
    });
    assert!(cost.is_ok_and(|rejected| rejected > 0));
}

/// One controller of three has the new version; the others must be able to read what it writes.
#[test]
fn without_recorded_formats_the_previous_version_cannot_read_records() {
    let cost = assert_check_needed("format", 0, |checks| {
        let mut sim = Simulation::previous_version(960, 3, 6);
        sim.settings.checks = *checks;
        sim.run(5_000);
        sim.upgrade(0, 500);
        sim.run(5_000);
        for i in 0..6 {
            sim.submit(i % 3, job(&format!("j-{i}"), 4));
        }
        sim.run_until(60_000, "done", |sim| sim.completed_tasks.len() == 24);
        0
    });
    assert_violates(cost, "not in the previous format");
}

/// All controllers restart at once. Workers that have found one should stay with it rather than be redirected.
#[test]
fn without_a_synced_peer_view_workers_are_redirected_repeatedly() {
    let cost = assert_check_needed("view", 2, |checks| {
        let mut sim = simulation_with_checks(checks, 965, 3, 30);
        sim.run(6_000);
        sim.submit(0, service("j-1", 20));
        sim.run_until(20_000, "up", |sim| sim.running("j-1") == 20);
        // Small pages make the initial reads longer, so that many workers send heartbeats meanwhile.
        sim.state.page_size = 2;
        for n in 0..3 {
            sim.crash(n, 2_000);
        }
        sim.run(2_000);
        let before: Vec<usize> = sim
            .workers
            .values()
            .map(|worker| worker.controller)
            .collect();
        sim.run(1_500);
        let after = sim.workers.values().map(|worker| worker.controller);
        after.zip(before).filter(|(a, b)| a != b).count() as u64
    });
    assert!(cost.is_ok_and(|moved| moved > 2));
}

/// A controller is paused for less than pause detection notices, then reads a worker's heartbeat before the watch
/// delivers a peer's claim of the tasks in it. Without the check it stops these tasks as unknown.
#[test]
fn without_the_outcome_of_an_attempt_running_tasks_are_stopped() {
    let cost = assert_check_needed("fate", 0, |checks| {
        let mut wasted = 0;
        for seed in 0..10 {
            let mut sim = simulation_with_checks(checks, 970 + seed, 2, 4);
            sim.workload.run_ms = 20_000;
            sim.run(5_000);
            for worker in sim.workers.values_mut() {
                worker.controller = 1;
            }
            sim.run(3_000);
            sim.pause(1, 900);
            sim.run(50);
            sim.submit(0, job("j-1", 6));
            sim.run_until(90_000, "done", |sim| sim.completed_tasks.len() == 6);
            wasted += u64::from(sim.metrics.starts) - 6;
        }
        wasted
    });
    assert!(!cost.is_ok_and(|wasted| wasted == 0));
}

/// All controllers restart. Most machines exist but have not sent a heartbeat yet, and must not be provisioned again.
#[test]
fn without_a_round_of_heartbeats_existing_machines_are_provisioned_again() {
    let cost = assert_check_needed("round", 0, |checks| {
        let mut sim = simulation_with_checks(checks, 985, 3, 40);
        sim.settings.heartbeat_interval_ms = 5_000;
        sim.settings.lease_ms = 26_500;
        sim.run(9_000);
        sim.cloud.capacity = 40;
        for n in 0..3 {
            sim.crash(n, 1_000);
        }
        sim.run(1_300);
        let before = sim.cloud.provisioned;
        let request = sim.submit(0, job("j-1", 60));
        sim.await_answer(request);
        sim.run(10_000);
        u64::from(sim.cloud.provisioned - before)
    });
    assert!(cost.is_ok_and(|provisioned| provisioned > 0));
}

/// Machines take time to boot. Controllers must count pending instance requests as capacity.
#[test]
fn without_pending_requests_instances_are_provisioned_repeatedly() {
    let cost = assert_check_needed("hires", 8, |checks| {
        let mut sim = simulation_with_checks(checks, 990, 3, 0);
        sim.cloud.capacity = 60;
        sim.run(4_000);
        sim.submit(0, job("j-1", 12));
        sim.run(20_000);
        u64::from(sim.cloud.provisioned)
    });
    assert!(cost.is_ok_and(|provisioned| provisioned > 8));
}

/// While a restarted controller reads the records page by page, a peer claims a team's whole quota after the page
/// with the chunks and before the page with the team's usage. A more urgent job of the team follows.
#[test]
fn without_catching_up_with_the_watch_a_team_exceeds_its_limit() {
    let cost = assert_check_needed("caught_up", 0, |checks| {
        for seed in 0..100 {
            let mut checks = *checks;
            // Machines count as alive at once, so that the claim directly follows the read.
            (checks.heartbeat_since_start, checks.heartbeat_round) = (false, false);
            let mut sim = simulation_with_checks(&checks, 1_100 + seed, 2, 12);
            sim.cloud.capacity = 0;
            sim.state.page_size = 3;
            sim.workload.run_ms = 60_000;
            sim.run(6_000);
            for i in 0..12 {
                sim.submit(0, job(&format!("j-9{i}"), 1));
            }
            sim.run(2_000);
            sim.crash(1, 100);
            sim.run(100 + seed % 20);
            let blue_job = |id: &str, priority| JobSpec {
                team: "blue".into(),
                priority,
                ..job(id, 6)
            };
            sim.submit(0, blue_job("j-0", JobPriority::Normal));
            sim.run(4 + seed / 5 % 20);
            sim.submit(0, blue_job("j-1", JobPriority::High));
            sim.run(3_000);
        }
        0
    });
    assert_violates(cost, "quota");
}

/// The state service applies a third of the transactions late. Later transactions must not wait for them.
#[test]
fn without_bypassing_unanswered_transactions_all_work_waits_for_them() {
    let cost = assert_check_needed("unanswered", 4, |checks| {
        let mut sim = simulation_with_checks(checks, 993, 3, 12);
        sim.run(9_000);
        sim.network.faults.transaction_late = 0.33;
        let mut slow = 0;
        for i in 0..40 {
            let submitted_ms = sim.now_ms;
            let request = sim.submit(i % 3, job(&format!("j-{i}"), 2));
            sim.await_answer(request);
            slow += u64::from(sim.now_ms > submitted_ms + 1_000);
            sim.run(200);
        }
        slow
    });
    assert!(cost.is_ok_and(|slow| slow > 8));
}

/// A class permanently demands more than the capacity. The cost is the milliseconds until its largest job starts.
#[test]
fn without_partial_starts_the_largest_job_waits_for_minutes() {
    let cost = assert_check_needed("begins", 240_000, |checks| {
        let mut sim = simulation_with_checks(checks, 994, 3, 4);
        sim.run(9_000);
        (sim.cloud.capacity, sim.workload.run_ms) = (0, 10_000);
        let quick_job = |id: String, tasks: u32| JobSpec {
            class: "quick".into(),
            estimate_s: 10.0,
            ..job(&id, tasks)
        };
        // The backlog exceeds the capacity before the large job arrives, or it could start by chance.
        for i in 0..6 {
            sim.submit(i % 3, quick_job(format!("j-0{i}"), 8));
        }
        sim.run(500);
        sim.submit(0, quick_job("j-9".into(), 60));
        let start_ms = sim.now_ms;
        for i in 0..200 {
            sim.submit(i % 3, quick_job(format!("j-1{i:03}"), 8));
            sim.run(2_000);
            if sim.metrics.first_run_ms.contains_key("j-9") {
                break;
            }
        }
        sim.now_ms - start_ms
    });
    assert!(cost.is_ok_and(|ms| ms > 240_000));
}

/// The state service applies claims at once and the answers to half of them are lost. The cost is the mean time in
/// milliseconds until their tasks run.
#[test]
fn without_refencing_doubtful_claims_wait_for_a_heartbeat() {
    let cost = assert_check_needed("doubt", 1_800, |checks| {
        let mut sim = simulation_with_checks(checks, 996, 3, 12);
        (sim.settings.heartbeat_interval_ms, sim.settings.lease_ms) = (5_000, 26_500);
        sim.cloud.capacity = 0;
        // A raise of the term for other attempts would fence doubtful claims as well.
        sim.settings.checks.fenced_forget = checks.uncertain_outcomes;
        sim.run(15_000);
        sim.network.faults.transaction_answer_lost = 0.5;
        let mut total_ms = 0;
        for i in 0..40 {
            let id = format!("j-{i}");
            let submitted_ms = sim.now_ms;
            sim.submit(i % 3, job(&id, 1));
            sim.run_until(60_000, "runs", |sim| {
                sim.metrics.first_run_ms.contains_key(&id)
            });
            total_ms += sim.metrics.first_run_ms[&id] - submitted_ms;
            sim.run(300);
        }
        total_ms / 40
    });
    assert!(cost.as_ref().is_ok_and(|ms| *ms > 2_400), "{cost:?}");
}

/// A worker has forgotten a completed task under the token of its start, and a copy of the start arrives.
#[test]
fn without_a_fenced_forget_a_copy_runs_a_task_again() {
    let cost = assert_check_needed("forget", 0, |checks| {
        let mut sim = simulation_with_checks(checks, 998, 3, 2);
        sim.network.keeps_commands = true;
        sim.run(6_000);
        sim.submit(0, job("j-1", 2));
        sim.run_until(20_000, "done", |sim| sim.completed_tasks.len() == 2);
        sim.run(20_000);
        sim.repeat_commands();
        sim.run(5_000);
        0
    });
    assert_violates(cost, "started_again");
}

/// A team's limit is lowered while a claim is in flight. Without the condition on the configuration the claim still
/// commits.
#[test]
fn without_the_configuration_condition_a_claim_uses_a_stale_limit() {
    let cost = assert_check_needed("configured", 0, |checks| {
        for seed in 0..12 {
            let mut sim = simulation_with_checks(checks, 980 + seed, 3, 8);
            sim.cloud.capacity = 0;
            sim.run(6_000);
            sim.workload.run_ms = 3_600_000;
            for round in 0..6 {
                sim.submit(round % 3, limited_team(job(&format!("j-{round}"), 3)));
                sim.run(2 + seed);
                let settings = sim.with_limit("blue", [2.0, 12.0][round % 2]);
                sim.configure(&settings).unwrap();
                sim.run(300);
            }
        }
        0
    });
    assert_violates(cost, "quota");
}

/// A controller that keeps using its settings file rejects the jobs of a new team permanently.
#[test]
fn without_following_configurations_a_new_team_is_unknown() {
    let cost = assert_check_needed("configuration", 0, |checks| {
        let mut sim = simulation_with_checks(checks, 990, 3, 6);
        sim.run(6_000);
        let mut settings = sim.policy_settings();
        let mut green = settings.teams[0].clone();
        green.name = "green".into();
        settings.teams.push(green);
        sim.configure(&settings).unwrap();
        sim.run(2_000);
        let spec = JobSpec {
            team: "green".into(),
            ..job("j-1", 1)
        };
        let request = sim.submit(0, spec);
        u64::from(matches!(sim.await_answer(request), UserReply::Rejected(_)))
    });
    assert_eq!(cost, Ok(1));
}

/// A limit is lowered below the running usage. Without evictions the tasks above it run to their end.
#[test]
fn without_evictions_a_lowered_limit_stays_exceeded() {
    let cost = assert_check_needed("eviction", 1, |checks| {
        let mut sim = simulation_with_checks(checks, 995, 3, 8);
        sim.cloud.capacity = 0;
        sim.run(6_000);
        sim.workload.run_ms = 3_600_000;
        sim.submit(0, limited_team(job("j-1", 6)));
        sim.run_until(10_000, "full", |sim| sim.running("j-1") == 6);
        let settings = sim.with_limit("blue", 2.0);
        sim.configure(&settings).unwrap();
        sim.run(20_000);
        sim.running("j-1") as u64
    });
    assert_eq!(cost, Ok(6));
}
