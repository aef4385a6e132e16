//! Answers and decisions of controllers that have read only a part of the records: after a start, after a list that
//! ended early, and after a gap in their watch. The records are read page by page, so a record that is absent from a
//! cache may be on a later page, and the pages are of different ages. The simulation checks every answer against all
//! earlier ones.

use crate::common::{has_phase, is_done, started_cluster, submit_accepted};
use crate::listing_controller::{listed_job, ListingController};
use glenmount_core::controller::{Event, RequestId, UserReply};
use glenmount_core::model::JobState;
use glenmount_core::state::formats::{self, FormatRecord};
use glenmount_core::state::{JobPhase, Key, Record};
use glenmount_simulation::{dependent_job, job, service, settings, Simulation};
use std::ops::Range;

/// Time for which users poll: longer than the list of all records on pages of one record takes.
const POLL_MS: u64 = 900;

/// Milliseconds from a crash of a controller to its next start.
const RESTART_MS: u64 = 100;

/// Run time of a task, which ends within no test.
const LONG_RUN_MS: u64 = 600_000;

/// A job with a long task, the job that depends on it, and one that depends on that.
const JOBS: [&str; 3] = ["j-1", "j-2", "j-3"];

/// Submits [`JOBS`] and runs until the long task runs.
fn submit_pipeline(sim: &mut Simulation) {
    sim.workload.run_ms = LONG_RUN_MS;
    let specs = [
        job("j-1", 1),
        dependent_job("j-2", 1, &["j-1"]),
        dependent_job("j-3", 1, &["j-2"]),
    ];
    for spec in specs {
        submit_accepted(sim, 0, spec);
    }
    sim.run_until(20_000, "the task runs", |sim| sim.running("j-1") == 1);
}

/// Submits jobs that wait for the long task, so that the records take more pages.
fn submit_waiting_jobs(sim: &mut Simulation, numbers: Range<u32>) {
    for number in numbers {
        let waiting = dependent_job(&format!("j-{number}"), 1, &["j-1"]);
        submit_accepted(sim, 0, waiting);
    }
}

/// Starts three controllers that run [`JOBS`], disconnects the machine of the long task, and cancels its job. The
/// user is told to retry, since the task may still run.
fn with_unconfirmed_cancellation(seed: u64) -> Simulation {
    let mut sim = started_cluster(seed, 3, 2);
    submit_pipeline(&mut sim);
    cancel_without_confirmation(&mut sim);
    sim
}

/// Disconnects the machine of the long task and cancels its job at controller 0.
fn cancel_without_confirmation(sim: &mut Simulation) {
    let machine = sim.machine_of("j-1").expect("the task runs");
    sim.workers.get_mut(&machine).unwrap().disconnected = true;
    sim.run(2_500);
    let request = sim.cancel(0, "j-1");
    let reply = sim.await_answer(request);
    assert!(matches!(reply, UserReply::RetryAfter { .. }), "{reply:?}");
}

/// Returns whether a poll was answered with this state.
fn says(reply: Option<&UserReply>, expected: JobState) -> bool {
    matches!(reply, Some(UserReply::Status { state, .. }) if *state == expected)
}

/// Polls all controllers for these jobs every millisecond. Returns the requests.
fn poll(sim: &mut Simulation, jobs: &[&str], duration_ms: u64) -> Vec<RequestId> {
    let mut requests = Vec::new();
    for _ in 0..duration_ms {
        for controller in 0..sim.controllers.len() {
            requests.extend(jobs.iter().map(|id| sim.status(controller, id)));
        }
        sim.run(1);
    }
    sim.run(100);
    requests
}

/// Polls all controllers, and asserts that none of them says that one of the jobs is cancelled.
fn assert_none_cancelled(sim: &mut Simulation, jobs: &[&str], context: &str) {
    for request in poll(sim, jobs, POLL_MS) {
        let is_cancelled = says(sim.answers.get(&request), JobState::Cancelled);
        assert!(!is_cancelled, "{context}");
    }
}

/// Reconnects all machines and asserts that the cancellation is confirmed and reaches the dependents.
fn assert_cancelled_in_the_end(sim: &mut Simulation, context: &str) {
    for worker in sim.workers.values_mut() {
        worker.disconnected = false;
    }
    sim.run_until(30_000, context, |sim| {
        JOBS.iter()
            .all(|id| has_phase(sim, id, JobPhase::Cancelled))
    });
    sim.run(1_000);
    for (controller, id) in JOBS.iter().enumerate() {
        let request = sim.status(controller, id);
        let reply = sim.await_answer(request);
        let UserReply::Status { state, .. } = reply else {
            panic!("{context}: {reply:?}");
        };
        assert_eq!(state, JobState::Cancelled, "{context}: {id}");
    }
    sim.check_records();
}

/// Guards against `went_back`: a controller that had read the jobs but not yet `g/settled`, which is on a later page,
/// called the dependents of an unconfirmed cancellation cancelled, and all controllers called them pending again.
#[test]
fn dependents_of_an_unconfirmed_cancellation_are_not_called_cancelled_during_a_list() {
    let records = with_unconfirmed_cancellation(0).state.records.len();
    for page_size in 1..=records {
        for restarted in [&[1][..], &[0, 1, 2]] {
            let mut sim = with_unconfirmed_cancellation(page_size as u64);
            sim.state.page_size = page_size;
            for controller in restarted {
                sim.crash(*controller, RESTART_MS);
            }
            let context = format!("pages of {page_size}, {restarted:?} restarted");
            assert_none_cancelled(&mut sim, &JOBS, &context);
            assert_cancelled_in_the_end(&mut sim, &context);
        }
    }
}

/// Guards against the same answer of a controller that ends within its list and starts another one.
#[test]
fn a_list_that_a_crash_ended_leaves_no_answer_behind() {
    for second_crash_ms in (0..200).step_by(10) {
        let mut sim = with_unconfirmed_cancellation(second_crash_ms);
        sim.state.page_size = 1;
        sim.crash(1, RESTART_MS);
        let context = format!("again after {second_crash_ms} ms");
        poll(&mut sim, &JOBS, RESTART_MS + second_crash_ms);
        sim.crash(1, 20);
        assert_none_cancelled(&mut sim, &JOBS, &context);
        assert_cancelled_in_the_end(&mut sim, &context);
    }
}

/// Guards against the same answer during a new list after a gap in the watch, when the cache still holds the records
/// from before the gap, and during a list that begins anew because another gap follows.
#[test]
fn dependents_are_not_called_cancelled_during_a_list_after_a_gap() {
    for page_size in [1, 2, 3, 5, 8, 40] {
        for second_gap_ms in [None, Some(7), Some(40)] {
            let mut sim = started_cluster(page_size, 3, 2);
            submit_pipeline(&mut sim);
            // Controller 1 learns of the cancellation from its list only.
            sim.delay_watch(1, 3_500);
            cancel_without_confirmation(&mut sim);
            sim.state.page_size = page_size as usize;
            sim.break_watch(1);
            if let Some(gap_ms) = second_gap_ms {
                poll(&mut sim, &JOBS, gap_ms);
                sim.break_watch(1);
            }
            let context = format!("pages of {page_size}, second gap after {second_gap_ms:?} ms");
            assert_none_cancelled(&mut sim, &JOBS, &context);
            assert_cancelled_in_the_end(&mut sim, &context);
        }
    }
}

/// Guards against the same answer of a controller that misses the end of an upgrade, from which on cancellations are
/// confirmed, and then lists the records anew.
#[test]
fn dependents_are_not_called_cancelled_during_a_list_that_follows_an_upgrade() {
    for page_size in [1, 2, 3, 5, 8, 40] {
        let mut sim = Simulation::previous_version(page_size, 3, 2);
        sim.run(4_000);
        sim.upgrade(1, 500);
        sim.run(4_000);
        sim.upgrade(2, 500);
        sim.run(4_000);
        sim.delay_watch(1, 60_000);
        sim.upgrade(0, 500);
        sim.run_until(20_000, "cancellations are confirmed", |sim| {
            sim.state
                .records
                .contains_key(&Key::CancellationConfirmation)
        });
        sim.run(3_000);
        submit_pipeline(&mut sim);
        cancel_without_confirmation(&mut sim);
        sim.state.page_size = page_size as usize;
        sim.break_watch(1);
        let context = format!("pages of {page_size}");
        assert_none_cancelled(&mut sim, &JOBS, &context);
        sim.delay_watch(1, 0);
        assert_cancelled_in_the_end(&mut sim, &context);
    }
}

/// Guards against an answer that is older than another controller's confirmation, which is given while this one lists
/// the records.
#[test]
fn a_cancellation_confirmed_during_a_list_stays_confirmed() {
    for page_size in [1, 2, 3, 5, 8, 40] {
        for restarted in [&[1][..], &[1, 2]] {
            let mut sim = with_unconfirmed_cancellation(100 + page_size);
            sim.state.page_size = page_size as usize;
            for worker in sim.workers.values_mut() {
                worker.disconnected = false;
            }
            for controller in restarted {
                sim.crash(*controller, RESTART_MS);
            }
            for _ in 0..30 {
                for controller in 0..3 {
                    sim.cancel(controller, "j-1");
                }
                poll(&mut sim, &JOBS, 30);
            }
            let context = format!("pages of {page_size}, {restarted:?} restarted");
            assert_cancelled_in_the_end(&mut sim, &context);
        }
    }
}

/// Guards against a confirmation from pages of different ages: the page with the chunks is older than the claim, the
/// page with the job is newer than its cancellation.
#[test]
fn a_cancellation_is_not_confirmed_without_the_claims_before_it() {
    for seed in 0..8 {
        let mut sim = started_cluster(seed, 3, 2);
        submit_pipeline(&mut sim);
        submit_waiting_jobs(&mut sim, 100..130);
        sim.state.page_size = 1;
        sim.crash(1, 20);
        sim.run(20 + 10 * seed);
        let request = sim.submit(0, service("j-9", 1));
        sim.await_answer(request);
        sim.run_until(1_000, "claimed", |sim| sim.machine_of("j-9").is_some());
        for worker in sim.workers.values_mut() {
            worker.disconnected = true;
        }
        sim.delay_watch(1, 400);
        sim.cancel(0, "j-9");
        let context = format!("seed {seed}");
        assert_none_cancelled(&mut sim, &["j-9"], &context);
    }
}

/// The state of a job that is done is final by its record alone: a controller that is still listing the records
/// answers at once.
#[test]
fn a_job_that_is_done_is_reported_during_a_list() {
    let mut sim = started_cluster(1, 3, 2);
    let request = sim.submit(0, job("j-1", 1));
    sim.await_answer(request);
    sim.run_until(20_000, "done", |sim| is_done(sim, "j-1"));
    sim.state.page_size = 1;
    sim.crash(1, RESTART_MS);
    sim.run(RESTART_MS);
    let mut answered_before_ready = false;
    for _ in 0..400 {
        let request = sim.status(1, "j-1");
        sim.run(4);
        let is_ready = sim.controllers[1].first_ready_ms.is_some();
        let is_done = says(sim.answers.get(&request), JobState::Done);
        answered_before_ready |= is_done && !is_ready;
    }
    assert!(answered_before_ready);
}

/// Guards against the removal of the record of a deleted machine by a controller that has not learned of a claim of a
/// peer yet: the task stayed assigned to a machine without a record, nothing ended its attempt, and its job never ended.
#[test]
fn the_record_of_a_deleted_machine_outlives_its_assignments() {
    for offset_ms in (0..4_000).step_by(100) {
        let mut sim = Simulation::new(offset_ms, 2, 2);
        sim.settings.idle_timeout_ms = 6_000;
        sim.run(4_000 + offset_ms);
        sim.delay_watch(0, 3_500);
        let request = sim.submit(1, job("j-1", 4));
        sim.await_answer(request);
        for _ in 0..40 {
            sim.run(100);
            sim.check_records();
        }
        sim.run_until(90_000, &format!("offset {offset_ms} ms"), |sim| {
            is_done(sim, "j-1")
        });
    }
}

/// Guards against the deletion of a machine as idle by a controller whose list has chunks from before a claim for the
/// machine, until its watch has caught up with the later pages.
#[test]
fn a_machine_claimed_during_a_list_is_not_deleted_as_idle() {
    for offset_ms in (0..2_400).step_by(50) {
        let mut sim = Simulation::new(offset_ms, 2, 2);
        sim.settings.idle_timeout_ms = 8_000;
        sim.run(4_000);
        submit_pipeline(&mut sim);
        submit_waiting_jobs(&mut sim, 100..160);
        sim.run(8_000 + offset_ms - sim.now_ms.min(8_000));
        sim.state.page_size = 1;
        sim.delay_watch(0, 700);
        sim.break_watch(0);
        sim.run(100);
        sim.submit(1, job("j-9", 2));
        sim.run(3_000);
        // A machine that was deleted before the list takes no task.
        let (started, running) = (sim.metrics.starts as usize, sim.running("j-9"));
        assert_eq!(
            started - 1,
            running,
            "offset {offset_ms} ms: a task was lost"
        );
    }
}

/// Guards against the deletion of a machine on an old decision: a controller found it idle, lost the state service before
/// it could record that, and has learned since that a peer uses the machine.
#[test]
fn a_machine_found_idle_before_an_outage_is_kept_if_it_is_used_since() {
    let mut kept = 0;
    for offset_ms in (0..1_200).step_by(20) {
        let mut sim = Simulation::new(offset_ms, 2, 1);
        sim.settings.idle_timeout_ms = 8_000;
        sim.run(8_500 + offset_ms);
        sim.controllers[0].refused_by_state = true;
        sim.run(1_200);
        sim.submit(1, job("j-1", 2));
        sim.workload.run_ms = LONG_RUN_MS;
        sim.run(3_000);
        sim.controllers[0].refused_by_state = false;
        let machines = sim.machines_of("j-1");
        sim.run(4_000);
        if machines.is_empty() {
            // The deletion was recorded before the outage.
            continue;
        }
        assert_eq!(sim.machines_of("j-1"), machines, "offset {offset_ms} ms");
        kept += 1;
    }
    assert!(kept > 10, "{kept} machines were used during the outage");
}

/// Guards against changes of a watch from before a list: taken for the whole of the records up to their revision, they
/// would make the cache seem complete, and the dependents of an unconfirmed cancellation cancelled.
#[test]
fn changes_of_an_earlier_watch_do_not_complete_a_list() {
    let mut listing = ListingController::start(settings("node-0", 3));
    let cancelled = listed_job(job("j-1", 1), 9, JobPhase::Cancelled);
    let dependent = listed_job(dependent_job("j-2", 1, &["j-1"]), 4, JobPhase::Open);
    let done = listed_job(job("j-3", 1), 5, JobPhase::Done);
    listing.deliver_page(20, vec![cancelled, dependent, done]);
    let changes = Vec::new();
    listing.handle(Event::WatchUpdate {
        revision: 30,
        changes,
    });
    for id in ["j-1", "j-2", "j-9"] {
        let reply = listing.status(id);
        assert!(
            matches!(reply, Some(UserReply::RetryAfter { .. })),
            "{id}: {reply:?}"
        );
    }
    let reply = listing.status("j-3");
    assert!(says(reply.as_ref(), JobState::Done), "{reply:?}");
}

/// Guards against a status for peers whose revision, term and configuration are defaults.
#[test]
fn peers_get_no_status_from_an_unfinished_list() {
    let mut listing = ListingController::start(settings("node-0", 3));
    let format = |controller: &str| {
        let version = formats::LATEST;
        let record = Record::Format(FormatRecord { version });
        (Key::Format(controller.into()), 2, record)
    };
    listing.deliver_page(
        20,
        vec![format("node-0"), format("node-1"), format("node-2")],
    );
    listing.peer_heartbeats.clear();
    listing.run(2_000);
    assert!(!listing.peer_heartbeats.is_empty());
    let has_status = listing.peer_heartbeats.iter().any(|h| h.status.is_some());
    assert!(!has_status);
}
