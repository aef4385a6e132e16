//! For each guard of a decision a scenario that breaks an invariant, or loses work or time, when that one guard is
//! left out, and does not when all are in force. See docs/design.md, "Before the first decision".

use crate::guard_harness::{assert_needed, assert_violates, guarded};
use glenmount_core::controller::UserReply;
use glenmount_core::model::{JobPriority, JobSpec};
use glenmount_simulation::{job, limited_team, service, Simulation};

/// Accepted by one controller, asked about at another a moment later, before the watch has told that one.
#[test]
fn without_linearizable_reads_an_accepted_job_is_not_found() {
    let cost = assert_needed("proof", 0, |checks| {
        for seed in 0..12 {
            let mut sim = guarded(checks, 900 + seed, 3, 2);
            sim.run(4_000);
            let r = sim.submit(0, job("j-1", 1));
            sim.await_answer(r);
            let r = sim.status(1, "j-1");
            sim.await_answer(r);
        }
        0
    });
    assert_violates(cost, "forgotten");
}

/// Asked about before a controller was paused; meanwhile the job was accepted elsewhere. The read that it
/// had begun is old when its answer is taken up.
#[test]
fn without_pause_detection_a_stale_read_decides() {
    let cost = assert_needed("gap", 0, |checks| {
        for seed in 0..6 {
            let mut sim = guarded(checks, 920 + seed, 3, 2);
            sim.run(4_000);
            sim.status(1, "j-1");
            sim.run(3);
            sim.pause(1, 6_000);
            sim.run(1_000);
            let r = sim.submit(0, job("j-1", 1));
            sim.await_answer(r);
            sim.run(8_000);
        }
        0
    });
    assert_violates(cost, "forgotten");
}

/// Submitted to the first controller of a site, 40 ms after its start.
#[test]
fn without_machine_types_a_feasible_job_is_rejected() {
    let cost = assert_needed("types", 0, |checks| {
        let mut refused = 0;
        for seed in 0..6 {
            let mut sim = guarded(checks, 940 + seed, 1, 2);
            sim.run(45);
            let r = sim.submit(0, job("j-1", 1));
            refused += u64::from(matches!(sim.await_answer(r), UserReply::Rejected(_)));
        }
        refused
    });
    assert!(cost.is_ok_and(|refused| refused > 0));
}

/// One controller of three has the new version: what it writes must be read by the others.
#[test]
fn without_recorded_formats_the_previous_version_cannot_read_records() {
    let cost = assert_needed("format", 0, |checks| {
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

/// All controllers come back at once: workers that find one should stay.
#[test]
fn without_a_synced_peer_view_workers_are_redirected_repeatedly() {
    let cost = assert_needed("view", 2, |checks| {
        let mut sim = guarded(checks, 965, 3, 30);
        sim.run(6_000);
        sim.submit(0, service("j-1", 20));
        sim.run_until(20_000, "up", |sim| sim.running("j-1") == 20);
        // Longer readings, so that many check in meanwhile.
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

/// A controller is paused for less than what counts as a gap; then a worker's report is read before the
/// news that a peer claimed what it runs.
#[test]
fn without_the_outcome_of_an_attempt_running_tasks_are_stopped() {
    let cost = assert_needed("fate", 0, |checks| {
        let mut wasted = 0;
        for seed in 0..10 {
            let mut sim = guarded(checks, 970 + seed, 2, 4);
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

/// All controllers come back: most machines have not reported yet, and are there all the same.
#[test]
fn without_a_round_of_heartbeats_existing_machines_are_provisioned_again() {
    let cost = assert_needed("round", 0, |checks| {
        let mut sim = guarded(checks, 985, 3, 40);
        sim.settings.heartbeat_interval_ms = 5_000;
        sim.settings.lease_ms = 26_500;
        sim.run(9_000);
        sim.cloud.capacity = 40;
        for n in 0..3 {
            sim.crash(n, 1_000);
        }
        sim.run(1_300);
        let before = sim.cloud.provisioned;
        let r = sim.submit(0, job("j-1", 60));
        sim.await_answer(r);
        sim.run(10_000);
        u64::from(sim.cloud.provisioned - before)
    });
    assert!(cost.is_ok_and(|rented| rented > 0));
}

/// What has been provisioned takes its time to come up.
#[test]
fn without_pending_requests_instances_are_provisioned_repeatedly() {
    let cost = assert_needed("hires", 8, |checks| {
        let mut sim = guarded(checks, 990, 3, 0);
        sim.cloud.capacity = 60;
        sim.run(4_000);
        sim.submit(0, job("j-1", 12));
        sim.run(20_000);
        u64::from(sim.cloud.provisioned)
    });
    assert!(cost.is_ok_and(|rented| rented > 8));
}

/// While the records are read page by page a peer claims all that a team may have, after the page of
/// the chunks and before that of the team; what is more urgent comes next.
#[test]
fn without_catching_up_with_the_watch_a_team_exceeds_its_limit() {
    let cost = assert_needed("caught_up", 0, |checks| {
        for seed in 0..100 {
            let mut checks = *checks;
            // Machines count as heard at once, so that the claim follows the reading.
            (checks.heartbeat_since_start, checks.heartbeat_round) = (false, false);
            let mut sim = guarded(&checks, 1_100 + seed, 2, 12);
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
            let blue = |id: &str, priority| JobSpec {
                team: "blue".into(),
                priority,
                ..job(id, 6)
            };
            sim.submit(0, blue("j-0", JobPriority::Normal));
            sim.run(4 + seed / 5 % 20);
            sim.submit(0, blue("j-1", JobPriority::High));
            sim.run(3_000);
        }
        0
    });
    assert_violates(cost, "quota");
}

/// A third of the transactions is carried out late. Those that come after do not wait for them.
#[test]
fn without_bypassing_unanswered_transactions_all_work_waits_for_them() {
    let cost = assert_needed("unanswered", 4, |checks| {
        let mut sim = guarded(checks, 993, 3, 12);
        sim.run(9_000);
        sim.network.faults.transaction_late = 0.33;
        let mut slow = 0;
        for i in 0..40 {
            let at = sim.now_ms;
            let r = sim.submit(i % 3, job(&format!("j-{i}"), 2));
            sim.await_answer(r);
            slow += u64::from(sim.now_ms > at + 1_000);
            sim.run(200);
        }
        slow
    });
    assert!(cost.is_ok_and(|slow| slow > 8));
}

/// A class asks for more than there is all the time. Milliseconds until its largest job begins.
#[test]
fn without_partial_starts_the_largest_job_waits_for_a_quarter_of_an_hour() {
    let cost = assert_needed("begins", 240_000, |checks| {
        let mut sim = guarded(checks, 994, 3, 4);
        sim.run(9_000);
        (sim.cloud.capacity, sim.workload.run_ms) = (0, 10_000);
        let of = |id: String, tasks: u32| JobSpec {
            class: "quick".into(),
            estimate_s: 10.0,
            ..job(&id, tasks)
        };
        // There is more than room before it comes, or it may begin by luck.
        for i in 0..6 {
            sim.submit(i % 3, of(format!("j-0{i}"), 8));
        }
        sim.run(500);
        sim.submit(0, of("j-9".into(), 60));
        let from = sim.now_ms;
        for i in 0..200 {
            sim.submit(i % 3, of(format!("j-1{i:03}"), 8));
            sim.run(2_000);
            if sim.metrics.first_run_ms.contains_key("j-9") {
                break;
            }
        }
        sim.now_ms - from
    });
    assert!(cost.is_ok_and(|ms| ms > 240_000));
}

/// Claims are carried out at once and the answers of half of them are lost. Milliseconds until their tasks run, in
/// the mean.
#[test]
fn without_refencing_doubtful_claims_wait_for_a_heartbeat() {
    let cost = assert_needed("doubt", 1_800, |checks| {
        let mut sim = guarded(checks, 996, 3, 12);
        (sim.settings.heartbeat_interval_ms, sim.settings.lease_ms) = (5_000, 26_500);
        sim.cloud.capacity = 0;
        sim.run(15_000);
        sim.network.faults.transaction_answer_lost = 0.5;
        let mut sum = 0;
        for i in 0..40 {
            let id = format!("j-{i}");
            let from = sim.now_ms;
            sim.submit(i % 3, job(&id, 1));
            sim.run_until(60_000, "runs", |sim| {
                sim.metrics.first_run_ms.contains_key(&id)
            });
            sum += sim.metrics.first_run_ms[&id] - from;
            sim.run(300);
        }
        sum / 40
    });
    assert!(cost.as_ref().is_ok_and(|ms| *ms > 2_400), "{cost:?}");
}

/// The limit falls while a claim is on its way: without the condition it takes effect all the same.
#[test]
fn without_the_configuration_condition_a_claim_uses_a_stale_limit() {
    let cost = assert_needed("configured", 0, |checks| {
        for seed in 0..12 {
            let mut sim = guarded(checks, 980 + seed, 3, 8);
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

/// A controller that goes on by its settings file refuses a new team's jobs for good.
#[test]
fn without_following_configurations_a_new_team_is_unknown() {
    let cost = assert_needed("configuration", 0, |checks| {
        let mut sim = guarded(checks, 990, 3, 6);
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
        let r = sim.submit(0, spec);
        u64::from(matches!(sim.await_answer(r), UserReply::Rejected(_)))
    });
    assert_eq!(cost, Ok(1));
}

/// What ran above a limit that was lowered goes on for as long as it takes.
#[test]
fn without_evictions_a_lowered_limit_stays_exceeded() {
    let cost = assert_needed("eviction", 1, |checks| {
        let mut sim = guarded(checks, 995, 3, 8);
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
