//! The write budget of the state service: the writes that heartbeats, results and requests cost.

use crate::common::{is_done, percentile, started_cluster, without_scale_in};
use glenmount_core::controller::{RequestId, UserReply};
use glenmount_core::model::JobState;
use glenmount_core::state::Key;
use glenmount_simulation::rate_limits::TokenBucket;
use glenmount_simulation::{job, service, Simulation};

/// Starts a fleet with a scarce write budget and many small jobs, whose results each take one or two changes.
fn with_scarce_writes(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, 2, 20);
    sim.settings.idle_timeout_ms = 3_600_000;
    sim.settings.max_transaction_changes = 5;
    sim.settings.write_rps = 4.0;
    sim.cloud.capacity = 0;
    sim.run(12_000);
    let request = sim.submit(0, service("j-900", 1));
    sim.await_answer(request);
    sim.run_until(10_000, "runs", |sim| sim.running("j-900") == 1);
    sim.workload.run_ms = 500;
    for i in 0..120 {
        sim.submit(i % 2, job(&format!("j-{i}"), 1));
        sim.run(20);
    }
    sim.run_until(60_000, "results wait", |sim| sim.completed_tasks.len() > 20);
    sim
}

/// A one-task job and the state of its user's requests.
struct TrackedJob {
    id: String,
    /// The controller of the last request, modulo the number of controllers.
    controller: usize,
    submitted_ms: u64,
    /// The time at which the user cancels the job.
    cancel_at_ms: Option<u64>,
    request: RequestId,
    request_sent_ms: u64,
    retry_at_ms: Option<u64>,
    accepted_ms: Option<u64>,
    /// The duration from the first cancellation request to its confirmation.
    cancel_confirmed_ms: Option<u64>,
    is_over: bool,
}

impl TrackedJob {
    fn new(
        sim: &mut Simulation,
        id: String,
        controller: usize,
        cancel_at_ms: Option<u64>,
    ) -> TrackedJob {
        let request = sim.submit(controller % 3, job(&id, 1));
        TrackedJob {
            id,
            controller,
            submitted_ms: sim.now_ms,
            cancel_at_ms,
            request,
            request_sent_ms: sim.now_ms,
            retry_at_ms: None,
            accepted_ms: None,
            cancel_confirmed_ms: None,
            is_over: false,
        }
    }

    fn step(&mut self, sim: &mut Simulation) {
        if let Some(at) = self.retry_at_ms {
            if sim.now_ms < at {
                return;
            }
            self.retry_at_ms = None;
            self.controller += 1;
            let cancels = self.cancel_at_ms.is_some_and(|at| sim.now_ms >= at);
            self.request = match (self.accepted_ms, cancels) {
                (None, _) => sim.submit(self.controller % 3, job(&self.id, 1)),
                (_, true) => sim.cancel(self.controller % 3, &self.id),
                _ => sim.status(self.controller % 3, &self.id),
            };
            self.request_sent_ms = sim.now_ms;
            return;
        }
        let Some(reply) = sim.answers.get(&self.request).cloned() else {
            if sim.now_ms >= self.request_sent_ms + 5_000 {
                self.retry_at_ms = Some(sim.now_ms + 1_000);
            }
            return;
        };
        match reply {
            UserReply::RetryAfter { after_s } => {
                self.retry_at_ms = Some(sim.now_ms + u64::from(after_s) * 1_000);
            }
            UserReply::Cancelled { .. } => {
                self.cancel_confirmed_ms = self.cancel_at_ms.map(|at| sim.now_ms - at);
                self.is_over = true;
            }
            reply => {
                self.accepted_ms.get_or_insert(sim.now_ms);
                let done = JobState::Done;
                self.is_over = matches!(reply, UserReply::Status { state, .. } if state == done)
                    && self.cancel_at_ms.is_none();
                let next_ms = sim.now_ms + 500;
                self.retry_at_ms = Some(self.cancel_at_ms.map_or(next_ms, |at| at.max(sim.now_ms)));
            }
        }
    }
}

#[test]
fn idle_heartbeats_cost_no_writes_and_tasks_cost_few() {
    // The state service accepts 50 changes per second from all controllers together.
    let mut sim = started_cluster(29, 3, 300);
    sim.settings.idle_timeout_ms = 600_000;
    sim.run_until(30_000, "all machines are on record", |sim| {
        let recorded = sim
            .state
            .records
            .keys()
            .filter(|k| matches!(k, Key::Machine(_)));
        recorded.count() == 300
    });
    let writes_before = (sim.state.transactions, sim.state.changes);
    sim.run(20_000);
    assert_eq!(
        (sim.state.transactions, sim.state.changes),
        writes_before,
        "idle heartbeats cause writes"
    );
    for i in 0..6 {
        sim.submit(i % 3, job(&format!("j-{i}"), 90));
    }
    sim.run_until(60_000, "done", |sim| {
        (0..6).all(|i| is_done(sim, &format!("j-{i}")))
    });
    sim.check_records();
    assert_eq!(sim.metrics.starts, 540);
    let changes = sim.state.changes - writes_before.1;
    assert!(changes < 540 / 3, "{changes} changes for 540 tasks");
}

/// All controllers are down for longer than the leases. They must record the lost tasks and claim them again in large
/// transactions, since the write budget limits the speed of the recovery.
#[test]
fn recovery_from_expiry_of_all_leases_takes_few_writes() {
    let mut sim = without_scale_in(68, 3, 200);
    for i in 0..60 {
        sim.submit(i % 3, service(&format!("j-{i}"), 5));
        sim.run(300);
    }
    let all_running = |sim: &Simulation| (0..60).all(|i| sim.running(&format!("j-{i}")) == 5);
    sim.run_until(60_000, "up", all_running);
    for n in 0..3 {
        sim.crash(n, 13_000);
    }
    sim.run(13_000);
    let changes_before = sim.state.changes;
    sim.run_until(60_000, "up again", all_running);
    let changes = sim.state.changes - changes_before;
    assert!(changes < 330, "{changes} changes for 300 tasks");
}

#[test]
fn new_machines_are_recorded_while_results_fill_transactions() {
    let mut sim = with_scarce_writes(31);
    let machine_key = Key::Machine(sim.boot_machine("large", "east", false, 100));
    sim.run_until(6_000, "the new machine is on record", |sim| {
        sim.state.records.contains_key(&machine_key)
    });
    assert!(
        sim.completed_tasks.len() < 100,
        "the results no longer filled transactions"
    );
    sim.check_records();
}

#[test]
fn a_dead_machine_is_deleted_while_results_fill_transactions() {
    let mut sim = with_scarce_writes(32);
    let machine = sim.machine_of("j-900").unwrap();
    sim.kill_machine(&machine);
    sim.run_until(12_000, "its service runs elsewhere", |sim| {
        sim.running("j-900") == 1
    });
    assert!(
        sim.completed_tasks.len() < 110,
        "the results no longer filled transactions"
    );
    sim.check_records();
}

/// Users send hundreds of status requests at once. One linearizable read must serve all that wait, and status requests
/// must cause no write.
#[test]
fn a_storm_of_status_requests_costs_few_reads_and_no_write() {
    let mut sim = without_scale_in(71, 3, 4);
    sim.submit(0, service("j-1", 2));
    sim.run_until(10_000, "up", |sim| sim.running("j-1") == 2);
    sim.run(1_000);
    let (reads, changes) = (sim.state.linearizable_reads, sim.state.changes);
    let requests: Vec<RequestId> = (0..900).map(|i| sim.status(i % 3, "j-1")).collect();
    for request in requests {
        assert!(matches!(
            sim.await_answer(request),
            UserReply::Status { .. }
        ));
    }
    assert!(
        sim.state.linearizable_reads <= reads + 12,
        "{} reads",
        sim.state.linearizable_reads - reads
    );
    assert_eq!(sim.state.changes, changes);
}

/// Users submit four one-task jobs per second for five minutes and cancel a quarter of them, with the write rate of the
/// smallest deployment. Requests, starts and results must stay within their time limits.
#[test]
fn a_flood_of_one_task_jobs_is_served_within_the_write_budget() {
    let mut sim = Simulation::new(2_600, 3, 24);
    sim.run(9_000);
    (sim.cloud.capacity, sim.workload.run_ms) = (10, 4_000);
    sim.service_limits.state_changes = Some(TokenBucket::new(50.0, 1.0));
    let mut open: Vec<TrackedJob> = Vec::new();
    let (mut accept_ms, mut start_ms, mut cancel_ms, mut done_ms) =
        (vec![], vec![], vec![], vec![]);
    let (begin_ms, changes_before) = (sim.now_ms, sim.state.changes);
    let mut next = 0;
    while sim.now_ms < begin_ms + 300_000 || !open.is_empty() {
        assert!(
            sim.now_ms < begin_ms + 420_000,
            "{} jobs are left",
            open.len()
        );
        if next < 1_200 && sim.now_ms >= begin_ms + next * 250 {
            let id = format!("j-{next}");
            let cancel_at_ms = (next % 4 == 1).then(|| sim.now_ms + 500 + next % 7 * 900);
            open.push(TrackedJob::new(&mut sim, id, next as usize, cancel_at_ms));
            next += 1;
        }
        sim.run(50);
        for job in &mut open {
            job.step(&mut sim);
        }
        open.retain(|job| {
            if !job.is_over {
                return true;
            }
            accept_ms.extend(job.accepted_ms.map(|at| at - job.submitted_ms));
            let first_run_ms = sim.metrics.first_run_ms.get(&job.id).copied();
            if job.cancel_at_ms.is_none() {
                let first_run_ms = first_run_ms.expect("the job ran");
                start_ms.push(first_run_ms - job.accepted_ms.expect("the job was accepted"));
                done_ms.push(sim.now_ms - first_run_ms - 4_000);
            } else {
                cancel_ms.extend(job.cancel_confirmed_ms);
            }
            false
        });
        assert!(open.len() < 400, "the number of open jobs is bounded");
    }
    let changes_per_job = f64::from(sim.state.changes - changes_before) / 1_200.0;
    let p95 =
        [&mut accept_ms, &mut start_ms, &mut cancel_ms, &mut done_ms].map(|v| percentile(v, 95));
    eprintln!(
        "p95 until accepted, started, cancellation confirmed, done confirmed: {p95:?} ms; {changes_per_job:.2} changes per job"
    );
    assert!(p95[0] <= 1_000, "accepted: {p95:?}");
    assert!(p95[1] <= 3_000, "started: {p95:?}");
    assert!(p95[2] <= 5_000, "cancellation confirmed: {p95:?}");
    assert!(p95[3] <= 4_000, "done: {p95:?}");
    sim.run(10_000);
    sim.check_records();
}
