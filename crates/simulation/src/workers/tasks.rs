//! Tasks on workers: they are started and stopped by orders, run, and end.

use super::Task;
use crate::{Action, Simulation};
use glenmount_core::model::{ExitCause, JobKind, Resources, TaskId, TaskPhase, WorkerCommand};
use glenmount_core::state::{JobPhase, Key, Record};
use rand::Rng;

/// Milliseconds after which a worker reports what orders have changed.
const REPORT_AFTER_ORDER_MS: u64 = 500;
/// Milliseconds after which a worker reports that a task has gone on by itself.
const REPORT_AFTER_CHANGE_MS: u64 = 5;
/// Milliseconds after which a task with a mistake fails.
const FAILS_AFTER_MS: u64 = 300;
/// By how much a slow machine takes longer.
const SLOW_FACTOR: u64 = 3;

/// A task goes from one phase to the next.
#[derive(Clone, Debug)]
pub(crate) struct PhaseChange {
    pub worker: String,
    pub task: TaskId,
    pub attempt: u64,
    pub phase: TaskPhase,
}

impl Simulation {
    /// A worker carries out an order.
    pub(crate) fn execute_order(&mut self, name: &str, order: WorkerCommand) {
        match order {
            WorkerCommand::Start { task, attempt } => self.start_task(name, task, attempt),
            WorkerCommand::Stop { task, attempt, .. } => self.stop_task(name, task, attempt),
            WorkerCommand::Forget { task, attempt } => {
                let tasks = self.workers.get_mut(name).map(|worker| &mut worker.tasks);
                let gone = tasks.and_then(|tasks| tasks.remove(&(task, attempt)));
                if let Some(t) = gone {
                    assert!(matches!(t.phase, TaskPhase::Exited(_)));
                }
            }
        }
    }

    fn start_task(&mut self, name: &str, task: TaskId, attempt: u64) {
        let key = (task.clone(), attempt);
        if self.workers[name].tasks.contains_key(&key) {
            return;
        }
        if let Some(told) = self.user_views.get(&task.job) {
            let over = self.settings.cancellation_timeout_ms;
            assert!(
                told.cancelled_ms.is_none_or(|at| self.now_ms <= at + over),
                "ran_cancelled: {task} starts"
            );
        }
        let phase = self.initial_phase(name, &task);
        if phase == TaskPhase::Fetching {
            self.check_start(name, &task);
            self.metrics.starts += 1;
        }
        let now = self.now_ms;
        if let Some(worker) = self.workers.get_mut(name) {
            worker.tasks.insert(key, Task { phase });
            worker.last_start_ms = now;
        }
        if phase == TaskPhase::Fetching {
            self.add_placement(name, &task);
            let fetch = self.rng.gen_range(50..900);
            let change = PhaseChange {
                worker: name.to_string(),
                task,
                attempt,
                phase: TaskPhase::Running,
            };
            self.schedule(fetch, Action::ChangePhase(change));
        }
        self.schedule(
            REPORT_AFTER_ORDER_MS,
            Action::SendHeartbeat(name.to_string()),
        );
    }

    /// What a worker makes of an order to start: it begins to fetch the image, or has no room.
    fn initial_phase(&self, name: &str, task: &TaskId) -> TaskPhase {
        let worker = &self.workers[name];
        let kind = (self.cloud.machine_types.iter()).find(|t| t.name == worker.type_name);
        let kind = kind.expect("a machine's type is one of the cloud's");
        let used = worker
            .live_tasks()
            .fold(Resources::default(), |sum, (t, _)| {
                sum.saturating_add(&self.job_specs[&t.job].resources)
            });
        if worker.tasks.keys().any(|(t, _)| t == task) {
            TaskPhase::Exited(ExitCause::Busy)
        } else if !kind
            .capacity
            .saturating_sub(&used)
            .fits(&self.job_specs[&task.job].resources)
        {
            TaskPhase::Exited(ExitCause::NoResources)
        } else {
            TaskPhase::Fetching
        }
    }

    fn stop_task(&mut self, name: &str, task: TaskId, attempt: u64) {
        let now = self.now_ms;
        let tasks = self.workers.get_mut(name).map(|worker| &mut worker.tasks);
        if let Some(t) = tasks.and_then(|tasks| tasks.get_mut(&(task.clone(), attempt))) {
            if t.phase == TaskPhase::Running {
                if let Some(done) = self.workload.progress.get_mut(&task) {
                    done.0 += now - done.1;
                }
            }
            if !matches!(t.phase, TaskPhase::Exited(_)) {
                t.phase = TaskPhase::Exited(ExitCause::Stopped);
                self.remove_placement(name, &task);
                self.count_stop(&task, attempt);
            }
        }
        self.schedule(
            REPORT_AFTER_ORDER_MS,
            Action::SendHeartbeat(name.to_string()),
        );
    }

    /// Notes why a task was stopped.
    fn count_stop(&mut self, task: &TaskId, attempt: u64) {
        let ran = self
            .metrics
            .running_since_ms
            .remove(&(task.clone(), attempt));
        let ran = ran.map_or(0, |at| self.now_ms - at);
        let job = match self.state.records.get(&Key::Job(task.job.clone())) {
            Some((Record::Job(job), _)) => job,
            _ => return,
        };
        let why = match self
            .state
            .records
            .get(&Key::Chunk(task.job.clone(), job.chunk_of(task.index)))
        {
            _ if job.phase == JobPhase::Cancelled => Some("cancelled"),
            Some((Record::Chunk(c), _)) => c
                .assignment(task.index)
                .and_then(|b| b.stop_reason.as_deref()),
            _ => None,
        };
        let (count, ms) = self
            .metrics
            .stops
            .entry(why.unwrap_or("other").to_string())
            .or_default();
        (*count, *ms) = (*count + 1, *ms + ran);
    }

    /// A task goes to its next phase, unless it has ended meanwhile.
    pub(crate) fn change_phase(&mut self, change: PhaseChange) {
        let PhaseChange {
            worker: name,
            task,
            attempt,
            phase,
        } = &change;
        let Some(worker) = self.workers.get_mut(name).filter(|worker| worker.alive) else {
            return;
        };
        let Some(t) = worker.tasks.get_mut(&(task.clone(), *attempt)) else {
            return;
        };
        if matches!(t.phase, TaskPhase::Exited(_)) {
            return;
        }
        t.phase = *phase;
        match phase {
            TaskPhase::Exited(cause) => {
                self.remove_placement(name, task);
                if *cause == ExitCause::Done {
                    self.completed_tasks.insert(task.clone());
                    self.cancel_completed_job(&task.job);
                }
            }
            TaskPhase::Running => self.begin_run(&change),
            TaskPhase::Fetching | TaskPhase::Checkpointing => {}
        }
        self.schedule(REPORT_AFTER_CHANGE_MS, Action::SendHeartbeat(change.worker));
    }

    /// A task runs: it fails soon, or is done after its time; a service runs on.
    fn begin_run(&mut self, change: &PhaseChange) {
        let (now, task) = (self.now_ms, &change.task);
        self.metrics
            .first_run_ms
            .entry(task.job.clone())
            .or_insert(now);
        self.metrics
            .running_since_ms
            .insert((task.clone(), change.attempt), now);
        let fails = self.workers[&change.worker].fails_tasks
            || self.workload.failing_jobs.contains(&task.job);
        let spec = &self.job_specs[&task.job];
        let (after, cause) = if fails {
            (FAILS_AFTER_MS, ExitCause::Error)
        } else if spec.kind == JobKind::Array {
            let saves = spec.checkpoint_interval_s > 0.0;
            let mut run_ms = self.run_ms_of(change);
            if saves {
                let done = self
                    .workload
                    .progress
                    .entry(task.clone())
                    .or_insert((0, now));
                done.1 = now;
                run_ms = run_ms.saturating_sub(done.0);
            }
            (run_ms, ExitCause::Done)
        } else {
            return;
        };
        let end = PhaseChange {
            phase: TaskPhase::Exited(cause),
            ..change.clone()
        };
        self.schedule(after, Action::ChangePhase(end));
    }

    /// Milliseconds that a task takes on its machine.
    fn run_ms_of(&self, change: &PhaseChange) -> u64 {
        let job = &change.task.job;
        let class = &self.job_specs[job].class;
        let known = self
            .workload
            .job_run_ms
            .get(job)
            .or(self.workload.class_run_ms.get(class));
        let run_ms = known.copied().unwrap_or(self.workload.run_ms);
        match self.workload.slow_machines.contains(&change.worker) {
            true => run_ms * SLOW_FACTOR,
            false => run_ms,
        }
    }
}
