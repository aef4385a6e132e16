//! One hollow worker: session, lease, token, images and tasks by the protocol, without sockets or clock.

use crate::plan::JobShape;
use crate::protocol::{
    CommandAction, ExitCause, Submission, TaskCommand, TaskId, TaskState, TaskStatus,
    WorkerHeartbeat,
};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// Images that a machine keeps.
const IMAGES_KEPT: usize = 12;

/// What a machine is, as its reports and the cloud's list say.
#[derive(Debug, Clone)]
pub struct Identity {
    pub name: String,
    pub address: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

/// What a machine has.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    pub cpus: f64,
    pub ram_gb: f64,
    pub image_gb_per_s: f64,
}

/// A job's description, which workers fetch by themselves, and how long its tasks run.
#[derive(Debug, Clone)]
pub struct JobDescription {
    pub submission: Arc<Submission>,
    pub run_ms: u64,
}

/// Finds a job's description.
pub trait JobLookup {
    fn find(&self, job: &str) -> Option<JobDescription>;
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Fetching {
        until_ms: u64,
    },
    /// Without an end for services.
    Running {
        until_ms: Option<u64>,
    },
    Exited {
        cause: ExitCause,
        at_ms: u64,
    },
}

struct Task {
    phase: Phase,
    cpus: f64,
    ram_gb: f64,
    run_ms: Option<u64>,
}

/// What happened on a machine, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerEvent {
    TaskStarted(TaskId),
    TaskEnded {
        task: TaskId,
        completed: bool,
        at_ms: u64,
    },
    /// Its result is on record; it completed at this time.
    ResultRecorded {
        task: TaskId,
        ended_ms: u64,
    },
}

/// How a direct command was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandOutcome {
    Executed,
    Rejected,
}

pub struct HollowWorker {
    pub identity: Identity,
    capacity: Capacity,
    incarnation: u64,
    sequence: u64,
    fencing_token: u64,
    /// When the last answered report was sent, or the session began.
    lease_from_ms: u64,
    tasks: BTreeMap<(TaskId, u64), Task>,
    /// Most recently used last.
    images: VecDeque<String>,
    fetches: HashMap<String, u64>,
}

impl HollowWorker {
    pub fn new(identity: Identity, capacity: Capacity, now_ms: u64) -> HollowWorker {
        HollowWorker {
            identity,
            capacity,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            lease_from_ms: now_ms,
            tasks: BTreeMap::new(),
            images: VecDeque::new(),
            fetches: HashMap::new(),
        }
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub fn heartbeat(&mut self) -> WorkerHeartbeat {
        self.sequence += 1;
        let tasks = self
            .tasks
            .iter()
            .map(|((task, attempt), state)| TaskStatus {
                task: task.clone(),
                attempt: *attempt,
                state: match state.phase {
                    Phase::Fetching { .. } => TaskState::Fetching,
                    Phase::Running { .. } => TaskState::Running,
                    Phase::Exited { .. } => TaskState::Exited,
                },
                cause: match state.phase {
                    Phase::Exited { cause, .. } => Some(cause),
                    _ => None,
                },
            });
        WorkerHeartbeat {
            worker: self.identity.name.clone(),
            address: self.identity.address.clone(),
            machine_type: self.identity.machine_type.clone(),
            zone: self.identity.zone.clone(),
            spot: self.identity.spot,
            incarnation: self.incarnation,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            eviction_warning_s: None,
            tasks: tasks.collect(),
        }
    }

    /// Brings fetches and tasks to where they are now.
    pub fn advance(&mut self, now_ms: u64) -> Vec<WorkerEvent> {
        let mut changes = Vec::new();
        let fetched: Vec<String> = (self.fetches.iter())
            .filter(|(_, until)| **until <= now_ms)
            .map(|(image, _)| image.clone())
            .collect();
        for image in fetched {
            self.fetches.remove(&image);
            self.keep_image(&image);
        }
        for ((id, _), task) in &mut self.tasks {
            if let Phase::Fetching { until_ms } = task.phase {
                if until_ms <= now_ms {
                    let until_ms = task.run_ms.map(|run| now_ms + run);
                    task.phase = Phase::Running { until_ms };
                    changes.push(WorkerEvent::TaskStarted(id.clone()));
                }
            }
            if let Phase::Running { until_ms: Some(at) } = task.phase {
                if at <= now_ms {
                    let cause = ExitCause::Completed;
                    task.phase = Phase::Exited {
                        cause,
                        at_ms: now_ms,
                    };
                    changes.push(WorkerEvent::TaskEnded {
                        task: id.clone(),
                        completed: true,
                        at_ms: now_ms,
                    });
                }
            }
        }
        changes
    }

    /// When `advance` has something to do next.
    pub fn next_change_ms(&self) -> Option<u64> {
        let each = self.tasks.values().filter_map(|task| match task.phase {
            Phase::Fetching { until_ms } => Some(until_ms),
            Phase::Running { until_ms } => until_ms,
            Phase::Exited { .. } => None,
        });
        each.min()
    }

    /// Whether the lease that the last answered report gave is over.
    pub fn is_lease_expired(&self, lease_ms: u64, now_ms: u64) -> bool {
        now_ms > self.lease_from_ms + lease_ms
    }

    /// Kills and forgets all tasks and moves on to the next session.
    pub fn begin_incarnation(&mut self, now_ms: u64) -> Vec<WorkerEvent> {
        let changes = self.stop_all(now_ms);
        self.incarnation += 1;
        self.lease_from_ms = now_ms;
        changes
    }

    /// The machine starts anew: what it held in memory is gone, its images stay.
    pub fn restart(&mut self, now_ms: u64) -> Vec<WorkerEvent> {
        self.begin_incarnation(now_ms)
    }

    /// All that ran is gone with the machine.
    pub fn stop_all(&mut self, now_ms: u64) -> Vec<WorkerEvent> {
        self.fetches.clear();
        let tasks = std::mem::take(&mut self.tasks);
        let running = tasks
            .into_iter()
            .filter(|(_, task)| matches!(task.phase, Phase::Running { .. }));
        running
            .map(|((task, _), _)| WorkerEvent::TaskEnded {
                task,
                completed: false,
                at_ms: now_ms,
            })
            .collect()
    }

    /// Takes the answer to a report that was sent at `sent_ms` in `session`; a lower token drops it.
    pub fn apply_heartbeat_answer(
        &mut self,
        fencing_token: Option<u64>,
        commands: &[TaskCommand],
        incarnation: u64,
        sent_ms: u64,
        jobs: &dyn JobLookup,
        now_ms: u64,
    ) -> Vec<WorkerEvent> {
        let valid = fencing_token.is_some_and(|fencing_token| fencing_token >= self.fencing_token);
        if !valid || incarnation != self.incarnation {
            return Vec::new();
        }
        self.fencing_token = fencing_token.unwrap_or(self.fencing_token);
        self.lease_from_ms = self.lease_from_ms.max(sent_ms);
        self.execute(commands, jobs, now_ms)
    }

    /// Takes commands sent to the machine's address.
    pub fn apply_direct_command(
        &mut self,
        fencing_token: u64,
        incarnation: u64,
        commands: &[TaskCommand],
        jobs: &dyn JobLookup,
        now_ms: u64,
    ) -> (CommandOutcome, Vec<WorkerEvent>) {
        if fencing_token < self.fencing_token || incarnation != self.incarnation {
            return (CommandOutcome::Rejected, Vec::new());
        }
        self.fencing_token = fencing_token;
        (
            CommandOutcome::Executed,
            self.execute(commands, jobs, now_ms),
        )
    }

    fn execute(
        &mut self,
        commands: &[TaskCommand],
        jobs: &dyn JobLookup,
        now_ms: u64,
    ) -> Vec<WorkerEvent> {
        let mut changes = self.advance(now_ms);
        for command in commands {
            match command.action {
                CommandAction::Start => self.start(command, jobs, now_ms),
                CommandAction::Stop => changes.extend(self.halt(command, now_ms)),
                CommandAction::Forget => changes.extend(self.forget(command)),
                CommandAction::Unknown => {}
            }
        }
        changes.extend(self.advance(now_ms));
        changes
    }

    fn start(&mut self, command: &TaskCommand, jobs: &dyn JobLookup, now_ms: u64) {
        let key = (command.task.clone(), command.attempt);
        if self.tasks.contains_key(&key) {
            return;
        }
        let described = jobs.find(&command.task.job);
        let described = described.filter(|d| command.task.index < d.submission.task_count);
        let (phase, described) = match described {
            None => (exited(ExitCause::UnknownTask, now_ms), None),
            Some(d) if self.holds_other_attempt(&command.task) => {
                (exited(ExitCause::OtherAttemptRuns, now_ms), Some(d))
            }
            Some(d) if !self.has_resources_for(&d.submission) => {
                (exited(ExitCause::InsufficientResources, now_ms), Some(d))
            }
            Some(d) => {
                let until_ms = self.image_ready_ms(&d.submission, now_ms);
                (Phase::Fetching { until_ms }, Some(d))
            }
        };
        let submission = described.as_ref().map(|d| &d.submission);
        let endless = submission.is_some_and(|s| s.shape == JobShape::Daemon);
        let task = Task {
            phase,
            cpus: submission.map_or(0.0, |s| s.vcpus),
            ram_gb: submission.map_or(0.0, |s| s.ram_gb),
            run_ms: described.as_ref().filter(|_| !endless).map(|d| d.run_ms),
        };
        self.tasks.insert(key, task);
    }

    fn holds_other_attempt(&self, task: &TaskId) -> bool {
        let mut same = self.tasks.iter().filter(|((id, _), _)| id == task);
        same.any(|(_, state)| !matches!(state.phase, Phase::Exited { .. }))
    }

    fn has_resources_for(&self, submission: &Submission) -> bool {
        let live = || {
            let all = self.tasks.values();
            all.filter(|task| !matches!(task.phase, Phase::Exited { .. }))
        };
        let cpus: f64 = live().map(|task| task.cpus).sum();
        let ram: f64 = live().map(|task| task.ram_gb).sum();
        let margin = 1e-6;
        cpus + submission.vcpus <= self.capacity.cpus + margin
            && ram + submission.ram_gb <= self.capacity.ram_gb + margin
    }

    fn image_ready_ms(&mut self, submission: &Submission, now_ms: u64) -> u64 {
        let image = &submission.image;
        if self.images.contains(image) {
            self.keep_image(image);
            return now_ms;
        }
        let takes = submission.image_gb / self.capacity.image_gb_per_s * 1_000.0;
        *(self.fetches.entry(image.clone())).or_insert(now_ms + takes as u64)
    }

    fn keep_image(&mut self, image: &str) {
        self.images.retain(|kept| kept != image);
        self.images.push_back(image.to_string());
        if self.images.len() > IMAGES_KEPT {
            self.images.pop_front();
        }
    }

    fn halt(&mut self, command: &TaskCommand, now_ms: u64) -> Option<WorkerEvent> {
        let key = (command.task.clone(), command.attempt);
        let task = self.tasks.get_mut(&key)?;
        let was = task.phase;
        if !matches!(was, Phase::Exited { .. }) {
            task.phase = exited(ExitCause::Stopped, now_ms);
        }
        matches!(was, Phase::Running { .. }).then(|| WorkerEvent::TaskEnded {
            task: command.task.clone(),
            completed: false,
            at_ms: now_ms,
        })
    }

    fn forget(&mut self, command: &TaskCommand) -> Option<WorkerEvent> {
        let key = (command.task.clone(), command.attempt);
        let phase = self.tasks.get(&key)?.phase;
        let Phase::Exited { cause, at_ms } = phase else {
            return None;
        };
        self.tasks.remove(&key);
        (cause == ExitCause::Completed).then(|| WorkerEvent::ResultRecorded {
            task: command.task.clone(),
            ended_ms: at_ms,
        })
    }
}

fn exited(cause: ExitCause, at_ms: u64) -> Phase {
    Phase::Exited { cause, at_ms }
}
