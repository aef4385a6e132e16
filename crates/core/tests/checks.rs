//! For each check before a controller's first decision a short scenario that breaks a rule, or loses work or
//! time, when that one check is left out, and does not when all hold. See docs/design.md, "Before the
//! first decision".

use glenmount_core::controller::*;
use glenmount_core::model::*;
use glenmount_core::safety_checks::Checks;
use glenmount_core::state::Record;
use glenmount_simulation::day::leave_out;
use glenmount_simulation::*;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// What a scenario cost, or the rule that it broke.
type Cost = Result<u64, String>;

fn told(checks: &Checks, story: impl Fn(&Checks) -> u64) -> Cost {
    let played = catch_unwind(AssertUnwindSafe(|| story(checks)));
    played.map_err(|panic| match panic.downcast_ref::<String>() {
        Some(why) => why.clone(),
        None => panic.downcast_ref::<&str>().unwrap_or(&"").to_string(),
    })
}

/// With all checks the scenario costs at most so much; without the one it breaks a rule or costs more.
fn needs(check: &str, most: u64, story: impl Fn(&Checks) -> u64) -> Cost {
    let with = told(&Checks::default(), &story);
    assert!(with.as_ref().is_ok_and(|c| *c <= most), "{check}: {with:?}");
    let mut checks = Checks::default();
    leave_out(&mut checks, check).unwrap();
    let without = told(&checks, &story);
    assert!(
        !without.as_ref().is_ok_and(|c| *c <= most),
        "nothing happens without {check}: {with:?} and {without:?}"
    );
    without
}

fn broke(cost: Cost, rule: &str) {
    let why = cost.expect_err("a rule is broken");
    assert!(why.contains(rule), "{why}");
}

fn world(checks: &Checks, seed: u64, controllers: usize, machines: usize) -> Simulation {
    let mut sim = Simulation::new(seed, controllers, machines);
    sim.settings.checks = *checks;
    sim.settings.idle_return_ms = 3_600_000;
    sim
}

/// Accepted by one controller, asked about at another a moment later, before the watch has told that one.
#[test]
fn without_a_proof_an_accepted_job_is_not_found() {
    let cost = needs("proof", 0, |checks| {
        for seed in 0..12 {
            let mut sim = world(checks, 900 + seed, 3, 2);
            sim.run(4_000);
            let r = sim.submit(0, job("j-1", 1));
            sim.await_answer(r);
            let r = sim.status(1, "j-1");
            sim.await_answer(r);
        }
        0
    });
    broke(cost, "forgotten");
}

/// Asked about before a controller was paused; meanwhile the job was accepted elsewhere. The read that it
/// had begun is old when its answer is taken up.
#[test]
fn without_the_gap_a_read_of_before_decides() {
    let cost = needs("gap", 0, |checks| {
        for seed in 0..6 {
            let mut sim = world(checks, 920 + seed, 3, 2);
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
    broke(cost, "forgotten");
}

/// Submitted to the first controller of a site, 40 ms after its start.
#[test]
fn without_types_a_job_that_fits_is_refused_for_good() {
    let cost = needs("types", 0, |checks| {
        let mut refused = 0;
        for seed in 0..6 {
            let mut sim = world(checks, 940 + seed, 1, 2);
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
fn without_formats_on_record_old_nodes_can_not_read_what_is_written() {
    let cost = needs("format", 0, |checks| {
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
    broke(cost, "old shape");
}

/// All controllers come back at once: workers that find one should stay.
#[test]
fn without_waiting_for_the_view_workers_are_sent_round() {
    let cost = needs("view", 2, |checks| {
        let mut sim = world(checks, 965, 3, 30);
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
fn without_the_fate_of_an_attempt_running_tasks_are_stopped() {
    let cost = needs("fate", 0, |checks| {
        let mut wasted = 0;
        for seed in 0..10 {
            let mut sim = world(checks, 970 + seed, 2, 4);
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

/// Half of the machines die while all controllers are away. Which, a controller that comes back can't know.
#[test]
fn without_being_heard_dead_machines_get_the_work() {
    let cost = needs("heard", 6_000, |checks| {
        let mut sim = world(checks, 980, 3, 30);
        sim.settings.report_ms = 5_000;
        sim.settings.lease_ms = 26_500;
        sim.cloud.capacity = 0;
        sim.run(9_000);
        for n in 0..3 {
            sim.crash(n, 3_000);
        }
        let names: Vec<String> = sim.workers.keys().cloned().collect();
        for name in names.iter().skip(8) {
            sim.kill_machine(name);
        }
        sim.run(3_500);
        let r = sim.submit(0, service("j-1", 16));
        sim.await_answer(r);
        let at = sim.now_ms;
        sim.run_until(90_000, "up", |sim| sim.running("j-1") == 16);
        sim.now_ms - at
    });
    assert!(cost.is_ok_and(|ms| ms > 6_000));
}

/// All controllers come back: most machines have not reported yet, and are there all the same.
#[test]
fn without_a_round_of_reports_what_is_there_is_rented_anew() {
    let cost = needs("round", 0, |checks| {
        let mut sim = world(checks, 985, 3, 40);
        sim.settings.report_ms = 5_000;
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
fn without_rentals_under_way_the_same_is_rented_over_and_over() {
    let cost = needs("hires", 8, |checks| {
        let mut sim = world(checks, 990, 3, 0);
        sim.cloud.capacity = 60;
        sim.run(4_000);
        sim.submit(0, job("j-1", 12));
        sim.run(20_000);
        u64::from(sim.cloud.provisioned)
    });
    assert!(cost.is_ok_and(|rented| rented > 8));
}

#[test]
fn without_silent_zones_work_waits_behind_the_cut() {
    let cost = needs("zones", 2_500, |checks| {
        let mut sim = world(checks, 995, 3, 40);
        sim.settings.report_ms = 5_000;
        sim.settings.lease_ms = 26_500;
        sim.settings.cancel_ms = 51_500;
        sim.cloud.capacity = 0;
        sim.run(9_000);
        sim.partition_zone("west", &[1]);
        sim.run(4_500);
        let r = sim.submit(0, service("j-1", 30));
        sim.await_answer(r);
        let at = sim.now_ms;
        sim.run_until(90_000, "up", |sim| sim.running("j-1") == 30);
        sim.now_ms - at
    });
    assert!(cost.is_ok_and(|ms| ms > 2_500));
}

/// Each claim that goes nowhere costs its machine a raised token, and its task the time for that.
#[test]
fn without_own_reach_of_workers_claims_go_nowhere() {
    let cost = needs("workers", 12, |checks| {
        let mut token_offset = 0;
        for seed in 0..4 {
            let mut sim = world(checks, 1_000 + seed, 3, 12);
            sim.run(6_000);
            sim.controllers[0].cut_from_workers = true;
            for i in 0..10 {
                sim.submit(0, job(&format!("j-{i}"), 2));
                sim.run(3_000);
            }
            let machines = sim.state.records.values().filter_map(|(r, _)| match r {
                Record::Machine(m) => Some(m.token_offset),
                _ => None,
            });
            token_offset += machines.sum::<u64>();
        }
        token_offset
    });
    assert!(cost.is_ok_and(|token_offset| token_offset > 12));
}

/// While the records are read page by page a peer claims all that a team may have, after the page of
/// the chunks and before that of the team; what is more urgent comes next.
#[test]
fn without_catching_up_a_team_exceeds_its_limit() {
    let cost = needs("caught_up", 0, |checks| {
        for seed in 0..100 {
            let mut checks = *checks;
            // Machines count as heard at once, so that the claim follows the reading.
            (checks.heard, checks.round) = (false, false);
            let mut sim = world(&checks, 1_100 + seed, 2, 12);
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
    broke(cost, "quota");
}

/// The state service refuses a controller alone, a peer confirms a cancellation, then it is down for all; the
/// halts were lost, and the worker reports to the refused one. Both old and new versions serve.
#[test]
fn without_a_bound_what_an_old_version_cancelled_runs_on() {
    let cost = needs("bounded", 0, |checks| {
        let mut sim = Simulation::previous_version(43, 3, 4);
        sim.settings.checks = *checks;
        sim.run(9_000);
        sim.upgrade(0, 500);
        sim.run(4_000);
        sim.upgrade(1, 500);
        (sim.workload.run_ms, sim.cloud.capacity) = (600_000, 0);
        sim.run(9_000);
        let r = sim.submit(1, job("j-1", 4));
        sim.await_answer(r);
        sim.run_until(20_000, "runs", |sim| sim.running("j-1") == 4);
        for worker in sim.workers.values_mut() {
            worker.controller = 0;
        }
        sim.run(3_000);
        sim.controllers[0].refused_by_state = true;
        for n in 1..3 {
            sim.controllers[n].cut_from_workers = true;
        }
        sim.run(100);
        let r = sim.cancel(1, "j-1");
        assert!(matches!(sim.await_answer(r), UserReply::Cancelled { .. }));
        sim.state.is_down = true;
        for _ in 0..100 {
            for worker in sim.workers.values_mut() {
                worker.controller = 0;
            }
            sim.run(500);
        }
        0
    });
    broke(cost, "ran_cancelled");
}

/// Copies of a dead machine's last report go on arriving.
#[test]
fn without_telling_copies_a_dead_machine_lives_on() {
    let cost = needs("copies", 15_000, |checks| {
        let mut sim = world(checks, 990, 3, 6);
        sim.run(9_000);
        sim.submit(0, service("j-1", 2));
        sim.run_until(10_000, "up", |sim| sim.running("j-1") == 2);
        sim.run(3_000);
        let id = sim.machine_of("j-1").unwrap();
        let last = sim.heartbeat_of(&id);
        sim.kill_machine(&id);
        let from = sim.now_ms;
        while sim.running("j-1") < 2 && sim.now_ms < from + 60_000 {
            (0..3).for_each(|n| sim.inject_heartbeat(n, &last));
            sim.run(700);
        }
        sim.now_ms - from
    });
    assert!(cost.is_ok_and(|ms| ms >= 60_000));
}

/// Half of the machines hear nothing, and look free once their leases have ended.
#[test]
fn without_an_answer_machines_that_hear_nothing_get_the_work() {
    let cost = needs("hears", 12_000, |checks| {
        let mut sim = world(checks, 991, 3, 12);
        (sim.settings.report_ms, sim.settings.lease_ms) = (5_000, 26_500);
        sim.cloud.capacity = 0;
        sim.run(15_000);
        sim.submit(0, service("j-1", 10));
        let up = |sim: &Simulation| sim.running("j-1") == 10;
        sim.run_until(20_000, "up", up);
        let busy = sim
            .workers
            .values()
            .filter(|worker| worker.live_tasks().count() > 0);
        let deaf: Vec<String> = busy.map(|worker| worker.name.clone()).take(3).collect();
        for name in deaf {
            sim.workers.get_mut(&name).unwrap().inbound_lost = true;
        }
        sim.run_until(40_000, "leases end", |sim| !up(sim));
        let from = sim.now_ms;
        while !up(&sim) && sim.now_ms < from + 60_000 {
            sim.run(100);
        }
        sim.now_ms - from
    });
    assert!(cost.is_ok_and(|ms| ms > 12_000));
}

/// Milliseconds in which a controller that is cut off alone goes on drawing users.
#[test]
fn without_knowing_that_it_is_alone_a_node_keeps_its_users() {
    let cost = needs("alone", 6_000, |checks| {
        let mut sim = world(checks, 992, 3, 4);
        sim.run(9_000);
        (
            sim.controllers[0].cut_from_state,
            sim.controllers[0].cut_from_peers,
        ) = (true, true);
        let from = sim.now_ms;
        while sim.controllers[0]
            .controller
            .as_ref()
            .is_some_and(Controller::ready)
            && sim.now_ms < from + 90_000
        {
            sim.run(100);
        }
        sim.now_ms - from
    });
    assert!(cost.is_ok_and(|ms| ms >= 90_000));
}

/// A third of the transactions is carried out late. Those that come after do not wait for them.
#[test]
fn without_passing_unanswered_transactions_all_wait_for_them() {
    let cost = needs("unanswered", 4, |checks| {
        let mut sim = world(checks, 993, 3, 12);
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
fn without_a_part_that_begins_the_largest_job_waits_for_a_quarter_of_an_hour() {
    let cost = needs("begins", 240_000, |checks| {
        let mut sim = world(checks, 994, 3, 4);
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
fn without_doubt_what_a_lost_answer_claimed_waits_for_a_report() {
    let cost = needs("doubt", 1_800, |checks| {
        let mut sim = world(checks, 996, 3, 12);
        (sim.settings.report_ms, sim.settings.lease_ms) = (5_000, 26_500);
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

/// Half of the machines reach no controller for much longer than a lease, which are too many to be moved off.
#[test]
fn without_sessions_in_answers_what_a_lease_ended_stays_booked() {
    let cost = needs("session", 50_000, |checks| {
        let mut sim = world(checks, 997, 3, 12);
        (sim.settings.report_ms, sim.settings.lease_ms) = (5_000, 26_500);
        sim.cloud.capacity = 0;
        sim.run(15_000);
        sim.submit(0, service("j-1", 10));
        let up = |sim: &Simulation| sim.running("j-1") == 10;
        sim.run_until(20_000, "up", up);
        let busy: Vec<String> = sim.machines_of("j-1").into_iter().take(5).collect();
        for name in busy {
            sim.workers.get_mut(&name).unwrap().outbound_lost = true;
        }
        let from = sim.now_ms;
        sim.run_until(40_000, "leases end", |sim| !up(sim));
        while !up(&sim) && sim.now_ms < from + 120_000 {
            sim.run(100);
        }
        sim.now_ms - from
    });
    assert!(cost.is_ok_and(|ms| ms >= 120_000));
}

/// Some machines reach no controller. Milliseconds in which a service lacks a task.
#[test]
fn without_moves_off_mute_machines_services_end_with_their_leases() {
    let cost = needs("mute", 3_000, |checks| {
        let mut sim = world(checks, 998, 3, 14);
        (sim.settings.report_ms, sim.settings.lease_ms) = (5_000, 26_500);
        sim.cloud.capacity = 0;
        sim.run(15_000);
        for i in 0..3 {
            sim.submit(i % 3, service(&format!("j-{i}"), 3));
        }
        let up = |sim: &Simulation| (0..3).all(|i| sim.running(&format!("j-{i}")) == 3);
        sim.run_until(20_000, "up", up);
        let busy = sim
            .workers
            .values()
            .filter(|worker| worker.live_tasks().count() > 0);
        let mute: Vec<String> = busy.map(|worker| worker.name.clone()).take(3).collect();
        for name in mute {
            sim.workers.get_mut(&name).unwrap().outbound_lost = true;
        }
        let mut down = 0;
        for _ in 0..600 {
            sim.run(100);
            down += if up(&sim) { 0 } else { 100 };
        }
        down
    });
    assert!(cost.is_ok_and(|ms| ms > 3_000));
}

/// Reports of machines that died, and were deleted, reach controllers that have just started. Milliseconds until a
/// service is up that needs most of what there is.
#[test]
fn without_asking_strangers_work_goes_to_machines_that_are_gone() {
    let cost = needs("strangers", 9_000, |checks| {
        let mut slowest = 0;
        for seed in 0..4 {
            let mut sim = world(checks, 1_300 + seed, 3, 12);
            (sim.settings.report_ms, sim.settings.lease_ms) = (5_000, 26_500);
            sim.cloud.capacity = 0;
            sim.run(15_000);
            sim.network.faults.heartbeat_kept = 1.0;
            sim.run(10_000);
            sim.network.faults.heartbeat_kept = 0.0;
            let names: Vec<String> = sim.workers.keys().take(3).cloned().collect();
            for name in &names {
                sim.kill_machine(name);
            }
            let gone = |sim: &Simulation| names.iter().all(|n| sim.cloud.deleted.contains(n));
            sim.run_until(60_000, "deleted", gone);
            sim.cloud.capacity = 0;
            sim.run(3_000);
            for n in 0..3 {
                sim.crash(n, 400);
            }
            sim.run(1_500);
            let from = sim.now_ms;
            sim.submit(0, service("j-1", 17));
            sim.run_until(90_000, "up", |sim| sim.running("j-1") == 17);
            slowest = slowest.max(sim.now_ms - from);
        }
        slowest
    });
    assert!(cost.is_ok_and(|ms| ms > 9_000));
}

/// The limit falls while a claim is on its way: without the condition it takes effect all the same.
#[test]
fn without_the_condition_a_claim_goes_by_an_older_limit() {
    let cost = needs("configured", 0, |checks| {
        for seed in 0..12 {
            let mut sim = world(checks, 980 + seed, 3, 8);
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
    broke(cost, "quota");
}

/// A controller that goes on by its settings file refuses a new team's jobs for good.
#[test]
fn without_following_a_new_team_is_unknown() {
    let cost = needs("configuration", 0, |checks| {
        let mut sim = world(checks, 990, 3, 6);
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
fn without_evictions_a_lowered_limit_is_exceeded_for_good() {
    let cost = needs("eviction", 1, |checks| {
        let mut sim = world(checks, 995, 3, 8);
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
