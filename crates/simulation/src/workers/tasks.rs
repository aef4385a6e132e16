//! Tasks on workers: they are started and stopped by orders, run, and end.

use super::Task;
use crate::{Act, World};
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
pub(crate) struct TaskChange {
    pub worker: String,
    pub task: TaskId,
    pub attempt: u64,
    pub phase: TaskPhase,
}

impl World {
    /// A worker carries out an order.
    pub(crate) fn order(&mut self, name: &str, order: WorkerCommand) {
        match order {
            WorkerCommand::Start { task, attempt } => self.start_task(name, task, attempt),
            WorkerCommand::Stop { task, attempt, .. } => self.stop_task(name, task, attempt),
            WorkerCommand::Forget { task, attempt } => {
                let tasks = self.workers.get_mut(name).map(|w| &mut w.tasks);
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
        if let Some(told) = self.told.get(&task.job) {
            let over = self.settings.cancel_ms;
            assert!(
                told.cancelled_at.is_none_or(|at| self.now <= at + over),
                "ran_cancelled: {task} starts"
            );
        }
        let phase = self.phase_of_start(name, &task);
        if phase == TaskPhase::Fetching {
            self.check_start(name, &task);
            self.starts += 1;
        }
        let now = self.now;
        if let Some(w) = self.workers.get_mut(name) {
            w.tasks.insert(key, Task { phase });
            w.told_start = now;
        }
        if phase == TaskPhase::Fetching {
            self.goes_on(name, &task);
            let fetch = self.rng.gen_range(50..900);
            let change = TaskChange {
                worker: name.to_string(),
                task,
                attempt,
                phase: TaskPhase::Running,
            };
            self.at(fetch, Act::Phase(change));
        }
        self.at(REPORT_AFTER_ORDER_MS, Act::Report(name.to_string()));
    }

    /// What a worker makes of an order to start: it begins to fetch the image, or has no room.
    fn phase_of_start(&self, name: &str, task: &TaskId) -> TaskPhase {
        let w = &self.workers[name];
        let kind = (self.machine_types.iter()).find(|t| t.name == w.type_name);
        let kind = kind.expect("a machine's type is one of the cloud's");
        let used = w.live().fold(Resources::default(), |sum, (t, _)| {
            sum.plus(&self.specs[&t.job].resources)
        });
        if w.tasks.keys().any(|(t, _)| t == task) {
            TaskPhase::Exited(ExitCause::Busy)
        } else if !kind.room.less(&used).fits(&self.specs[&task.job].resources) {
            TaskPhase::Exited(ExitCause::NoResources)
        } else {
            TaskPhase::Fetching
        }
    }

    fn stop_task(&mut self, name: &str, task: TaskId, attempt: u64) {
        let now = self.now;
        let tasks = self.workers.get_mut(name).map(|w| &mut w.tasks);
        if let Some(t) = tasks.and_then(|tasks| tasks.get_mut(&(task.clone(), attempt))) {
            if t.phase == TaskPhase::Running {
                if let Some(done) = self.progress.get_mut(&task) {
                    done.0 += now - done.1;
                }
            }
            if !matches!(t.phase, TaskPhase::Exited(_)) {
                t.phase = TaskPhase::Exited(ExitCause::Stopped);
                self.goes_off(name, &task);
                self.stopped(&task, attempt);
            }
        }
        self.at(REPORT_AFTER_ORDER_MS, Act::Report(name.to_string()));
    }

    /// Notes why a task was stopped.
    fn stopped(&mut self, task: &TaskId, attempt: u64) {
        let ran = self.ran_since.remove(&(task.clone(), attempt));
        let ran = ran.map_or(0, |at| self.now - at);
        let job = match self.store.get(&Key::Job(task.job.clone())) {
            Some((Record::Job(job), _)) => job,
            _ => return,
        };
        let why = match self
            .store
            .get(&Key::Chunk(task.job.clone(), job.chunk_of(task.index)))
        {
            _ if job.phase == JobPhase::Cancelled => Some("cancelled"),
            Some((Record::Chunk(c), _)) => c.assignment(task.index).and_then(|b| b.stop.as_deref()),
            _ => None,
        };
        let (count, ms) = self
            .stops
            .entry(why.unwrap_or("other").to_string())
            .or_default();
        (*count, *ms) = (*count + 1, *ms + ran);
    }

    /// A task goes to its next phase, unless it has ended meanwhile.
    pub(crate) fn change_task(&mut self, change: TaskChange) {
        let TaskChange {
            worker,
            task,
            attempt,
            phase,
        } = &change;
        let Some(w) = self.workers.get_mut(worker).filter(|w| w.alive) else {
            return;
        };
        let Some(t) = w.tasks.get_mut(&(task.clone(), *attempt)) else {
            return;
        };
        if matches!(t.phase, TaskPhase::Exited(_)) {
            return;
        }
        t.phase = *phase;
        match phase {
            TaskPhase::Exited(cause) => {
                self.goes_off(worker, task);
                if *cause == ExitCause::Done {
                    self.done_tasks.insert(task.clone());
                    self.ends(&task.job);
                }
            }
            TaskPhase::Running => self.task_runs(&change),
            TaskPhase::Fetching | TaskPhase::Checkpointing => {}
        }
        self.at(REPORT_AFTER_CHANGE_MS, Act::Report(change.worker));
    }

    /// A task runs: it fails soon, or is done after its time; a service runs on.
    fn task_runs(&mut self, change: &TaskChange) {
        let (now, task) = (self.now, &change.task);
        self.ran_at.entry(task.job.clone()).or_insert(now);
        self.ran_since.insert((task.clone(), change.attempt), now);
        let fails = self.workers[&change.worker].fails_all || self.mistaken.contains(&task.job);
        let spec = &self.specs[&task.job];
        let (after, cause) = if fails {
            (FAILS_AFTER_MS, ExitCause::Error)
        } else if spec.kind == JobKind::Array {
            let saves = spec.checkpoint_interval_s > 0.0;
            let mut run_ms = self.run_ms_of(change);
            if saves {
                let done = self.progress.entry(task.clone()).or_insert((0, now));
                done.1 = now;
                run_ms = run_ms.saturating_sub(done.0);
            }
            (run_ms, ExitCause::Done)
        } else {
            return;
        };
        let end = TaskChange {
            phase: TaskPhase::Exited(cause),
            ..change.clone()
        };
        self.at(after, Act::Phase(end));
    }

    /// Milliseconds that a task takes on its machine.
    fn run_ms_of(&self, change: &TaskChange) -> u64 {
        let job = &change.task.job;
        let class = &self.specs[job].class;
        let known = self.job_ms.get(job).or(self.class_ms.get(class));
        let run_ms = known.copied().unwrap_or(self.run_ms);
        match self.slow.contains(&change.worker) {
            true => run_ms * SLOW_FACTOR,
            false => run_ms,
        }
    }
}
