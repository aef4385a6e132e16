//! Tasks on workers: starts, phase changes, stops and exits.

use super::Task;
use crate::{Action, Simulation};
use glenmount_core::model::{ExitCause, JobKind, Resources, TaskId, TaskPhase, WorkerCommand};
use glenmount_core::state::{JobPhase, Key, Record};
use rand::Rng;

/// Delay after which a worker reports the effect of a command.
const HEARTBEAT_AFTER_COMMAND_MS: u64 = 500;
/// Delay after which a worker reports a phase change of a task.
const HEARTBEAT_AFTER_CHANGE_MS: u64 = 5;
/// Run time of a task that fails.
const FAILING_RUN_MS: u64 = 300;
/// Factor on the run time of tasks on slow machines.
const SLOW_FACTOR: u64 = 3;

/// A change of a task attempt to its next phase.
#[derive(Clone, Debug)]
pub(crate) struct PhaseChange {
    pub worker: String,
    pub task: TaskId,
    pub attempt: u64,
    pub phase: TaskPhase,
}

impl Simulation {
    /// Executes a command on a worker.
    pub fn execute_command(&mut self, name: &str, command: WorkerCommand) {
        match command {
            WorkerCommand::Start { task, attempt } => self.start_task(name, task, attempt),
            WorkerCommand::Stop { task, attempt, .. } => self.stop_task(name, task, attempt),
            WorkerCommand::Forget { task, attempt } => {
                let tasks = self.workers.get_mut(name).map(|worker| &mut worker.tasks);
                let removed = tasks.and_then(|tasks| tasks.remove(&(task, attempt)));
                if let Some(task) = removed {
                    assert!(matches!(task.phase, TaskPhase::Exited(_)));
                }
            }
        }
    }

    /// Starts a task attempt that the worker does not know, and checks that it may start.
    fn start_task(&mut self, name: &str, task: TaskId, attempt: u64) {
        let key = (task.clone(), attempt);
        if self.workers[name].tasks.contains_key(&key) {
            return;
        }
        if let Some(view) = self.user_views.get(&task.job) {
            let timeout_ms = self.settings.cancellation_timeout_ms;
            assert!(
                view.cancelled_ms
                    .is_none_or(|at| self.now_ms <= at + timeout_ms),
                "ran_cancelled: {task} starts"
            );
        }
        let phase = self.initial_phase(name, &task);
        if phase == TaskPhase::Fetching {
            self.check_start(name, &task);
            self.metrics.starts += 1;
        }
        let now_ms = self.now_ms;
        if let Some(worker) = self.workers.get_mut(name) {
            worker.tasks.insert(key, Task { phase });
            worker.last_start_ms = now_ms;
        }
        if phase == TaskPhase::Fetching {
            self.add_placement(name, &task);
            if !self.skip_invariants {
                self.check_first_run(name, &task, attempt);
            }
            let fetch_ms = self.rng.gen_range(50..900);
            let change = PhaseChange {
                worker: name.to_string(),
                task,
                attempt,
                phase: TaskPhase::Running,
            };
            self.schedule(fetch_ms, Action::ChangePhase(change));
        }
        self.schedule(
            HEARTBEAT_AFTER_COMMAND_MS,
            Action::SendHeartbeat(name.to_string()),
        );
    }

    /// Returns the first phase of a started task: it fetches its image, or exits because the task is on the worker
    /// already or there are not enough resources.
    fn initial_phase(&self, name: &str, task: &TaskId) -> TaskPhase {
        let worker = &self.workers[name];
        let mut machine_types = self.cloud.machine_types.iter();
        let machine_type = machine_types.find(|offered| offered.name == worker.type_name);
        let machine_type = machine_type.expect("a machine type of the cloud");
        let used = worker
            .live_tasks()
            .fold(Resources::default(), |sum, (id, _)| {
                sum.saturating_add(&self.job_specs[&id.job].resources)
            });
        if worker.tasks.keys().any(|(id, _)| id == task) {
            TaskPhase::Exited(ExitCause::Busy)
        } else if !machine_type
            .capacity
            .saturating_sub(&used)
            .fits(&self.job_specs[&task.job].resources)
        {
            TaskPhase::Exited(ExitCause::NoResources)
        } else {
            TaskPhase::Fetching
        }
    }

    /// Stops a task attempt that has not exited.
    fn stop_task(&mut self, name: &str, task: TaskId, attempt: u64) {
        let now_ms = self.now_ms;
        let tasks = self.workers.get_mut(name).map(|worker| &mut worker.tasks);
        if let Some(found) = tasks.and_then(|tasks| tasks.get_mut(&(task.clone(), attempt))) {
            if found.phase == TaskPhase::Running {
                if let Some((ran_ms, started_ms)) = self.workload.progress.get_mut(&task) {
                    *ran_ms += now_ms - *started_ms;
                }
            }
            if !matches!(found.phase, TaskPhase::Exited(_)) {
                found.phase = TaskPhase::Exited(ExitCause::Stopped);
                self.remove_placement(name, &task);
                self.count_stop(&task, attempt);
            }
        }
        self.schedule(
            HEARTBEAT_AFTER_COMMAND_MS,
            Action::SendHeartbeat(name.to_string()),
        );
    }

    /// Counts a stopped task by its reason.
    fn count_stop(&mut self, task: &TaskId, attempt: u64) {
        let started_ms = self
            .metrics
            .running_since_ms
            .remove(&(task.clone(), attempt));
        let ran_ms = started_ms.map_or(0, |started_ms| self.now_ms - started_ms);
        let job = match self.state.records.get(&Key::Job(task.job.clone())) {
            Some((Record::Job(job), _)) => job,
            _ => return,
        };
        let reason = match self
            .state
            .records
            .get(&Key::Chunk(task.job.clone(), job.chunk_of(task.index)))
        {
            _ if job.phase == JobPhase::Cancelled => Some("cancelled"),
            Some((Record::Chunk(chunk), _)) => chunk
                .assignment(task.index)
                .and_then(|assignment| assignment.stop_reason.as_deref()),
            _ => None,
        };
        let (count, ms) = self
            .metrics
            .stops
            .entry(reason.unwrap_or("other").to_string())
            .or_default();
        (*count, *ms) = (*count + 1, *ms + ran_ms);
    }

    /// Moves a task attempt to its next phase, unless it has exited meanwhile.
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
        let Some(found) = worker.tasks.get_mut(&(task.clone(), *attempt)) else {
            return;
        };
        if matches!(found.phase, TaskPhase::Exited(_)) {
            return;
        }
        found.phase = *phase;
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
        self.schedule(
            HEARTBEAT_AFTER_CHANGE_MS,
            Action::SendHeartbeat(change.worker),
        );
    }

    /// Begins the run of a task: it fails soon, or completes after its run time. Services run until a controller stops
    /// them. The progress of a checkpointed task shortens the run time of its next attempt.
    fn begin_run(&mut self, change: &PhaseChange) {
        let (now_ms, task) = (self.now_ms, &change.task);
        self.metrics
            .first_run_ms
            .entry(task.job.clone())
            .or_insert(now_ms);
        self.metrics
            .running_since_ms
            .insert((task.clone(), change.attempt), now_ms);
        let fails = self.workers[&change.worker].fails_tasks
            || self.workload.failing_jobs.contains(&task.job);
        let spec = &self.job_specs[&task.job];
        let (run_ms, cause) = if fails {
            (FAILING_RUN_MS, ExitCause::Error)
        } else if spec.kind == JobKind::Array {
            let is_checkpointed = spec.checkpoint_interval_s > 0.0;
            let mut run_ms = self.run_ms_of(change);
            if is_checkpointed {
                let (ran_ms, started_ms) = self
                    .workload
                    .progress
                    .entry(task.clone())
                    .or_insert((0, now_ms));
                *started_ms = now_ms;
                run_ms = run_ms.saturating_sub(*ran_ms);
            }
            (run_ms, ExitCause::Done)
        } else {
            return;
        };
        let exit = PhaseChange {
            phase: TaskPhase::Exited(cause),
            ..change.clone()
        };
        self.schedule(run_ms, Action::ChangePhase(exit));
    }

    /// Returns the run time of a task on its machine.
    fn run_ms_of(&self, change: &PhaseChange) -> u64 {
        let job = &change.task.job;
        let class = &self.job_specs[job].class;
        let configured_ms = self
            .workload
            .job_run_ms
            .get(job)
            .or(self.workload.class_run_ms.get(class));
        let run_ms = configured_ms.copied().unwrap_or(self.workload.run_ms);
        match self.workload.slow_machines.contains(&change.worker) {
            true => run_ms * SLOW_FACTOR,
            false => run_ms,
        }
    }
}
