//! The write budget of the state service: what heartbeats, results and requests cost of it.

use crate::common::{is_done, percentile, started, without_scale_in};
use glenmount_core::controller::{RequestId, UserReply};
use glenmount_core::model::JobState;
use glenmount_core::state::Key;
use glenmount_simulation::rate_limits::TokenBucket;
use glenmount_simulation::{job, service, Simulation};

/// Changes are short, and so many small jobs run that each result takes one or two of its own.
fn short_of_changes(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, 2, 20);
    sim.settings.idle_timeout_ms = 3_600_000;
    sim.settings.max_transaction_changes = 5;
    sim.settings.write_rps = 4.0;
    sim.cloud.capacity = 0;
    sim.run(12_000);
    let r = sim.submit(0, service("j-900", 1));
    sim.await_answer(r);
    sim.run_until(10_000, "runs", |sim| sim.running("j-900") == 1);
    sim.workload.run_ms = 500;
    for i in 0..120 {
        sim.submit(i % 2, job(&format!("j-{i}"), 1));
        sim.run(20);
    }
    sim.run_until(60_000, "results wait", |sim| sim.completed_tasks.len() > 20);
    sim
}

/// A one-task job of the flood, as its user sees it.
struct Flooded {
    id: String,
    n: usize,
    from: u64,
    cancel_at: Option<u64>,
    request: RequestId,
    sent: u64,
    again_at: Option<u64>,
    accepted: Option<u64>,
    /// Milliseconds from the first request to cancel to its answer.
    told: Option<u64>,
    over: bool,
}

impl Flooded {
    fn new(sim: &mut Simulation, id: String, n: usize, cancel_at: Option<u64>) -> Flooded {
        let request = sim.submit(n % 3, job(&id, 1));
        Flooded {
            id,
            n,
            from: sim.now_ms,
            cancel_at,
            request,
            sent: sim.now_ms,
            again_at: None,
            accepted: None,
            told: None,
            over: false,
        }
    }

    fn step(&mut self, sim: &mut Simulation) {
        if let Some(at) = self.again_at {
            if sim.now_ms < at {
                return;
            }
            self.again_at = None;
            self.n += 1;
            let cancels = self.cancel_at.is_some_and(|at| sim.now_ms >= at);
            self.request = match (self.accepted, cancels) {
                (None, _) => sim.submit(self.n % 3, job(&self.id, 1)),
                (_, true) => sim.cancel(self.n % 3, &self.id),
                _ => sim.status(self.n % 3, &self.id),
            };
            self.sent = sim.now_ms;
            return;
        }
        let Some(reply) = sim.answers.get(&self.request).cloned() else {
            if sim.now_ms >= self.sent + 5_000 {
                self.again_at = Some(sim.now_ms + 1_000);
            }
            return;
        };
        match reply {
            UserReply::RetryAfter { after_s } => {
                self.again_at = Some(sim.now_ms + u64::from(after_s) * 1_000);
            }
            UserReply::Cancelled { .. } => {
                self.told = self.cancel_at.map(|at| sim.now_ms - at);
                self.over = true;
            }
            reply => {
                self.accepted.get_or_insert(sim.now_ms);
                let done = JobState::Done;
                self.over = matches!(reply, UserReply::Status { state, .. } if state == done)
                    && self.cancel_at.is_none();
                let next = sim.now_ms + 500;
                self.again_at = Some(self.cancel_at.map_or(next, |at| at.max(sim.now_ms)));
            }
        }
    }
}

#[test]
fn idle_heartbeats_cost_no_writes_and_tasks_cost_few() {
    // The state service takes 50 changes a second from all controllers together.
    let mut sim = started(29, 3, 300);
    sim.settings.idle_timeout_ms = 600_000;
    sim.run_until(30_000, "all taken up", |sim| {
        let up = sim
            .state
            .records
            .keys()
            .filter(|k| matches!(k, Key::Machine(_)));
        up.count() == 300
    });
    let before = (sim.state.transactions, sim.state.changes);
    sim.run(20_000);
    assert_eq!(
        (sim.state.transactions, sim.state.changes),
        before,
        "check-ins without news"
    );
    for i in 0..6 {
        sim.submit(i % 3, job(&format!("j-{i}"), 90));
    }
    sim.run_until(60_000, "done", |sim| {
        (0..6).all(|i| is_done(sim, &format!("j-{i}")))
    });
    sim.check_records();
    assert_eq!(sim.metrics.starts, 540);
    let spent = sim.state.changes - before.1;
    assert!(spent < 540 / 3, "{spent} changes for 540 tasks");
}

/// All controllers were down for longer than leases last: what is lost is recorded and claimed anew
/// in large transactions, since the state service's changes are what its return waits for.
#[test]
fn recovery_from_expiry_of_all_leases_takes_few_writes() {
    let mut sim = without_scale_in(68, 3, 200);
    for i in 0..60 {
        sim.submit(i % 3, service(&format!("j-{i}"), 5));
        sim.run(300);
    }
    let up = |sim: &Simulation| (0..60).all(|i| sim.running(&format!("j-{i}")) == 5);
    sim.run_until(60_000, "up", up);
    for n in 0..3 {
        sim.crash(n, 13_000);
    }
    sim.run(13_000);
    let before = sim.state.changes;
    sim.run_until(60_000, "up again", up);
    let changes = sim.state.changes - before;
    assert!(changes < 330, "{changes} changes for 300 tasks");
}

#[test]
fn new_machines_are_recorded_while_results_fill_transactions() {
    let mut sim = short_of_changes(31);
    let recorded = Key::Machine(sim.boot_machine("large", "east", false, 100));
    sim.run_until(6_000, "the new machine is on record", |sim| {
        sim.state.records.contains_key(&recorded)
    });
    assert!(
        sim.completed_tasks.len() < 100,
        "meanwhile there was enough to do"
    );
    sim.check_records();
}

#[test]
fn a_dead_machine_is_deleted_while_results_fill_transactions() {
    let mut sim = short_of_changes(32);
    let machine = sim.machine_of("j-900").unwrap();
    sim.kill_machine(&machine);
    sim.run_until(12_000, "its service runs elsewhere", |sim| {
        sim.running("j-900") == 1
    });
    assert!(
        sim.completed_tasks.len() < 110,
        "meanwhile there was enough to do"
    );
    sim.check_records();
}

/// Users ask many times as often: one read of the revision serves all that wait, and polls change
/// nothing.
#[test]
fn a_storm_of_status_requests_costs_few_reads_and_no_write() {
    let mut sim = without_scale_in(71, 3, 4);
    sim.submit(0, service("j-1", 2));
    sim.run_until(10_000, "up", |sim| sim.running("j-1") == 2);
    sim.run(1_000);
    let (proofs, changes) = (sim.state.linearizable_reads, sim.state.changes);
    let asked: Vec<RequestId> = (0..900).map(|i| sim.status(i % 3, "j-1")).collect();
    for request in asked {
        assert!(matches!(
            sim.await_answer(request),
            UserReply::Status { .. }
        ));
    }
    assert!(
        sim.state.linearizable_reads <= proofs + 12,
        "{} reads",
        sim.state.linearizable_reads - proofs
    );
    assert_eq!(sim.state.changes, changes);
}

/// One-task jobs come four a second for five minutes, a quarter of them are cancelled, at the changes a second
/// of the smallest deployment, and after a while at fewer.
#[test]
fn a_flood_of_one_task_jobs_is_served_within_the_write_budget() {
    let mut sim = Simulation::new(2_600, 3, 24);
    sim.run(9_000);
    (sim.cloud.capacity, sim.workload.run_ms) = (10, 4_000);
    sim.service_limits.state_changes = Some(TokenBucket::new(50.0, 1.0));
    let mut open: Vec<Flooded> = Vec::new();
    let (mut accepted, mut started, mut told, mut done) = (vec![], vec![], vec![], vec![]);
    let (from, changes) = (sim.now_ms, sim.state.changes);
    let mut next = 0;
    while sim.now_ms < from + 300_000 || !open.is_empty() {
        assert!(sim.now_ms < from + 420_000, "{} are left", open.len());
        if next < 1_200 && sim.now_ms >= from + next * 250 {
            let id = format!("j-{next}");
            let cancel_at = (next % 4 == 1).then(|| sim.now_ms + 500 + next % 7 * 900);
            open.push(Flooded::new(&mut sim, id, next as usize, cancel_at));
            next += 1;
        }
        sim.run(50);
        for job in &mut open {
            job.step(&mut sim);
        }
        open.retain(|job| {
            if !job.over {
                return true;
            }
            accepted.extend(job.accepted.map(|at| at - job.from));
            let ran = sim.metrics.first_run_ms.get(&job.id).copied();
            if job.cancel_at.is_none() {
                let ran = ran.expect("it ran");
                started.push(ran - job.accepted.expect("it was accepted"));
                done.push(sim.now_ms - ran - 4_000);
            } else {
                told.extend(job.told);
            }
            false
        });
        assert!(open.len() < 400, "queues are bounded");
    }
    let spent = f64::from(sim.state.changes - changes) / 1_200.0;
    let of = [&mut accepted, &mut started, &mut told, &mut done].map(|v| percentile(v, 95));
    eprintln!("p95 of accepted, started, told, done: {of:?} ms; {spent:.2} changes a job");
    assert!(of[0] <= 1_000, "accepted: {of:?}");
    assert!(of[1] <= 3_000, "started: {of:?}");
    assert!(of[2] <= 5_000, "told: {of:?}");
    assert!(of[3] <= 4_000, "done: {of:?}");
    sim.run(10_000);
    sim.check_records();
}
