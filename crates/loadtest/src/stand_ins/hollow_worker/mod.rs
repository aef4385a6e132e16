//! State machine of one hollow worker, without sockets or clock: handles incarnation, lease, fencing token,
//! images and tasks by the protocol.

mod attempts;
mod job_lookup;

pub use job_lookup::{JobDescription, JobLookup};

use crate::plan::JobShape;
use crate::protocol::jobs::{Submission, TaskId};
use crate::protocol::workers::{
    CommandAction, ExitCause, HeartbeatAnswer, TaskCommand, TaskState, TaskStatus, WorkerHeartbeat,
};
use attempts::{exited, Attempt, AttemptId, Phase};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::mem;

/// Number of images that a worker caches.
const MAX_CACHED_IMAGES: usize = 12;
/// Tolerance when resources are compared with a worker's capacity, since sums of fractions are inexact.
const ROUNDING_MARGIN: f64 = 1e-6;

/// The identity of a worker, as its heartbeats and the cloud's list state it.
#[derive(Debug, Clone)]
pub struct WorkerIdentity {
    /// Name of the worker.
    pub name: String,
    /// Address at which the worker accepts direct commands.
    pub address: String,
    /// Machine type of the worker.
    pub machine_type: String,
    /// Zone of the worker.
    pub zone: String,
    /// Whether the worker is a spot instance.
    pub spot: bool,
}

/// The resources of a worker.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Number of processors.
    pub cpus: f64,
    /// Amount of memory.
    pub ram_gb: f64,
    /// Rate at which the worker pulls images.
    pub image_gb_per_s: f64,
}

/// An event on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerEvent {
    /// The image of a task is pulled and the task runs.
    TaskStarted(TaskId),
    /// The worker begins an attempt that it has begun before in this incarnation, and forgotten.
    AttemptRestarted {
        /// The task.
        task: TaskId,
        /// Number of the attempt.
        attempt: u64,
    },
    /// A task no longer runs.
    TaskEnded {
        /// The task.
        task: TaskId,
        /// Whether the task completed by itself.
        completed: bool,
        /// End of the task, in milliseconds of the run.
        at_ms: u64,
    },
    /// A controller allows the worker to forget a completed task, since its result is recorded.
    ResultRecorded {
        /// The task.
        task: TaskId,
        /// Completion time, in milliseconds of the run.
        ended_ms: u64,
    },
}

/// The sender and the send time of an answered heartbeat.
#[derive(Debug, Clone, Copy)]
pub struct SentHeartbeat {
    /// Incarnation that sent the heartbeat.
    pub incarnation: u64,
    /// Send time, in milliseconds of the run.
    pub sent_ms: u64,
}

/// The rejection of a direct command with an outdated fencing token or another incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the command is fenced off")]
pub struct CommandFenced;

/// The state of a hollow worker.
pub struct HollowWorker {
    /// Identity of the worker.
    pub identity: WorkerIdentity,
    capacity: Capacity,
    incarnation: u64,
    sequence: u64,
    fencing_token: u64,
    /// Start of the lease: the send time of the latest answered heartbeat, or the start of the incarnation.
    lease_begin_ms: u64,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// Attempts that this incarnation has begun, to find those that it begins again.
    begun: HashSet<AttemptId>,
    /// Cached images, most recently used last.
    images: VecDeque<String>,
    /// End of each running image pull, by image.
    pulls: HashMap<String, u64>,
}

impl HollowWorker {
    /// Creates a worker that has just booted.
    pub fn new(identity: WorkerIdentity, capacity: Capacity, now_ms: u64) -> HollowWorker {
        HollowWorker {
            identity,
            capacity,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            lease_begin_ms: now_ms,
            attempts: BTreeMap::new(),
            begun: HashSet::new(),
            images: VecDeque::new(),
            pulls: HashMap::new(),
        }
    }

    /// Returns the current incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the next heartbeat and increments its sequence number.
    pub fn heartbeat(&mut self) -> WorkerHeartbeat {
        self.sequence += 1;
        let tasks = self.attempts.iter().map(|(id, attempt)| {
            let (state, cause) = match attempt.phase {
                Phase::Fetching { .. } => (TaskState::Fetching, None),
                Phase::Running { .. } => (TaskState::Running, None),
                Phase::Exited { cause, .. } => (TaskState::Exited, Some(cause)),
            };
            TaskStatus {
                task: id.task.clone(),
                attempt: id.attempt,
                state,
                cause,
            }
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

    /// Advances image pulls and tasks to the current time and returns the resulting events.
    pub fn advance(&mut self, now_ms: u64) -> Vec<WorkerEvent> {
        self.finish_pulls(now_ms);
        let mut events = Vec::new();
        for (id, attempt) in &mut self.attempts {
            if let Phase::Fetching { until_ms } = attempt.phase {
                if until_ms <= now_ms {
                    let until_ms = attempt.run_ms.map(|run_ms| now_ms + run_ms);
                    attempt.phase = Phase::Running { until_ms };
                    events.push(WorkerEvent::TaskStarted(id.task.clone()));
                }
            }
            if let Phase::Running {
                until_ms: Some(until_ms),
            } = attempt.phase
            {
                if until_ms <= now_ms {
                    attempt.phase = exited(ExitCause::Completed, now_ms);
                    events.push(WorkerEvent::TaskEnded {
                        task: id.task.clone(),
                        completed: true,
                        at_ms: now_ms,
                    });
                }
            }
        }
        events
    }

    fn finish_pulls(&mut self, now_ms: u64) {
        let pulled_images: Vec<String> = (self.pulls.iter())
            .filter(|(_, until_ms)| **until_ms <= now_ms)
            .map(|(image, _)| image.clone())
            .collect();
        for image in pulled_images {
            self.pulls.remove(&image);
            self.cache_image(&image);
        }
    }

    /// Returns the time of the next change of a task, at which [`HollowWorker::advance`] is due.
    pub fn next_change_ms(&self) -> Option<u64> {
        let attempts = self.attempts.values();
        let changes = attempts.filter_map(|attempt| match attempt.phase {
            Phase::Fetching { until_ms } => Some(until_ms),
            Phase::Running { until_ms } => until_ms,
            Phase::Exited { .. } => None,
        });
        changes.min()
    }

    /// Returns whether the lease that the latest answered heartbeat granted has expired.
    pub fn is_lease_expired(&self, lease_ms: u64, now_ms: u64) -> bool {
        now_ms > self.lease_begin_ms + lease_ms
    }

    /// Kills and forgets all tasks and begins the next incarnation, after the lease has expired or the worker
    /// has restarted. Cached images stay.
    pub fn begin_incarnation(&mut self, now_ms: u64) -> Vec<WorkerEvent> {
        let events = self.stop_all(now_ms);
        self.incarnation += 1;
        self.lease_begin_ms = now_ms;
        events
    }

    /// Stops and forgets all tasks and cancels all image pulls.
    pub fn stop_all(&mut self, now_ms: u64) -> Vec<WorkerEvent> {
        self.pulls.clear();
        self.begun.clear();
        let attempts = mem::take(&mut self.attempts).into_iter();
        let running = attempts.filter(|(_, attempt)| attempt.is_running());
        running
            .map(|(id, _)| WorkerEvent::TaskEnded {
                task: id.task,
                completed: false,
                at_ms: now_ms,
            })
            .collect()
    }

    /// Applies the answer to a heartbeat. An answer with an older fencing token, or to a heartbeat of an
    /// earlier incarnation, has no effect.
    pub fn apply_heartbeat_answer(
        &mut self,
        answer: &HeartbeatAnswer,
        sent: SentHeartbeat,
        jobs: &dyn JobLookup,
        now_ms: u64,
    ) -> Vec<WorkerEvent> {
        let valid_token = answer
            .fencing_token
            .filter(|token| *token >= self.fencing_token);
        let Some(fencing_token) = valid_token else {
            return Vec::new();
        };
        if sent.incarnation != self.incarnation {
            return Vec::new();
        }
        self.fencing_token = fencing_token;
        self.lease_begin_ms = self.lease_begin_ms.max(sent.sent_ms);
        self.execute(&answer.commands, jobs, now_ms)
    }

    /// Applies commands that a controller sent to the worker's address.
    pub fn apply_direct_command(
        &mut self,
        fencing_token: u64,
        incarnation: u64,
        commands: &[TaskCommand],
        jobs: &dyn JobLookup,
        now_ms: u64,
    ) -> Result<Vec<WorkerEvent>, CommandFenced> {
        if fencing_token < self.fencing_token || incarnation != self.incarnation {
            return Err(CommandFenced);
        }
        self.fencing_token = fencing_token;
        Ok(self.execute(commands, jobs, now_ms))
    }

    fn execute(
        &mut self,
        commands: &[TaskCommand],
        jobs: &dyn JobLookup,
        now_ms: u64,
    ) -> Vec<WorkerEvent> {
        let mut events = self.advance(now_ms);
        for command in commands {
            match command.action {
                CommandAction::Start => events.extend(self.start(command, jobs, now_ms)),
                CommandAction::Stop => events.extend(self.stop(command, now_ms)),
                CommandAction::Forget => events.extend(self.forget(command)),
                CommandAction::Unknown => {}
            }
        }
        events.extend(self.advance(now_ms));
        events
    }

    fn start(
        &mut self,
        command: &TaskCommand,
        jobs: &dyn JobLookup,
        now_ms: u64,
    ) -> Option<WorkerEvent> {
        let id = AttemptId::of(command);
        if self.attempts.contains_key(&id) {
            return None;
        }
        let task = &command.task;
        let job = jobs.find(&task.job);
        let job = job.filter(|job| task.index < job.submission.task_count);
        let attempt = match job {
            None => Attempt {
                phase: exited(ExitCause::UnknownTask, now_ms),
                cpus: 0.0,
                ram_gb: 0.0,
                run_ms: None,
            },
            Some(job) => Attempt {
                phase: self.initial_phase(task, &job.submission, now_ms),
                cpus: job.submission.vcpus,
                ram_gb: job.submission.ram_gb,
                run_ms: (job.submission.shape != JobShape::Daemon).then_some(job.run_ms),
            },
        };
        let is_restarted = attempt.is_live() && !self.begun.insert(id.clone());
        self.attempts.insert(id, attempt);
        is_restarted.then(|| WorkerEvent::AttemptRestarted {
            task: command.task.clone(),
            attempt: command.attempt,
        })
    }

    fn initial_phase(&mut self, task: &TaskId, submission: &Submission, now_ms: u64) -> Phase {
        if self.holds_live_attempt(task) {
            return exited(ExitCause::OtherAttemptRuns, now_ms);
        }
        if !self.has_resources_for(submission) {
            return exited(ExitCause::InsufficientResources, now_ms);
        }
        let until_ms = self.image_available_ms(submission, now_ms);
        Phase::Fetching { until_ms }
    }

    fn holds_live_attempt(&self, task: &TaskId) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|(id, attempt)| id.task == *task && attempt.is_live())
    }

    fn has_resources_for(&self, submission: &Submission) -> bool {
        let live = || self.attempts.values().filter(|attempt| attempt.is_live());
        let cpus: f64 = live().map(|attempt| attempt.cpus).sum();
        let ram_gb: f64 = live().map(|attempt| attempt.ram_gb).sum();
        cpus + submission.vcpus <= self.capacity.cpus + ROUNDING_MARGIN
            && ram_gb + submission.ram_gb <= self.capacity.ram_gb + ROUNDING_MARGIN
    }

    /// Returns the time at which a job's image is available, and begins to pull it unless the worker has it or
    /// pulls it already.
    fn image_available_ms(&mut self, submission: &Submission, now_ms: u64) -> u64 {
        let image = &submission.image;
        if self.images.contains(image) {
            self.cache_image(image);
            return now_ms;
        }
        let pull_ms = submission.image_gb / self.capacity.image_gb_per_s * 1_000.0;
        let pull = self.pulls.entry(image.clone());
        *pull.or_insert(now_ms + pull_ms as u64)
    }

    fn cache_image(&mut self, image: &str) {
        self.images.retain(|cached| cached != image);
        self.images.push_back(image.to_string());
        if self.images.len() > MAX_CACHED_IMAGES {
            self.images.pop_front();
        }
    }

    fn stop(&mut self, command: &TaskCommand, now_ms: u64) -> Option<WorkerEvent> {
        let attempt = self.attempts.get_mut(&AttemptId::of(command))?;
        let was_running = attempt.is_running();
        if attempt.is_live() {
            attempt.phase = exited(ExitCause::Stopped, now_ms);
        }
        was_running.then(|| WorkerEvent::TaskEnded {
            task: command.task.clone(),
            completed: false,
            at_ms: now_ms,
        })
    }

    fn forget(&mut self, command: &TaskCommand) -> Option<WorkerEvent> {
        let id = AttemptId::of(command);
        let Phase::Exited { cause, at_ms } = self.attempts.get(&id)?.phase else {
            return None;
        };
        self.attempts.remove(&id);
        (cause == ExitCause::Completed).then(|| WorkerEvent::ResultRecorded {
            task: command.task.clone(),
            ended_ms: at_ms,
        })
    }
}
