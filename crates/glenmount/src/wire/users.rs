//! Messages between users and the controller: submissions and the replies to all requests.

use super::{has_valid_length, ErrorBody, Reply};
use glenmount_core::constants::JOB_MAX_TASKS;
use glenmount_core::controller::UserReply;
use glenmount_core::model::{ceil_milli, JobKind, JobPriority, JobSpec, JobState, Resources};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;
use thiserror::Error;

/// Limit of cores, GB and seconds in a submission; a larger value is a mistake.
const MAX_AMOUNT: f64 = 1e9;
/// Most machine types that a job may name.
const MAX_MACHINE_TYPES: usize = 100;

/// The reason why a submission is rejected. Users see the text.
#[derive(Debug, Error)]
pub enum SubmissionError {
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("not an object")]
    NotAnObject,
    #[error("nameId is malformed")]
    MalformedId,
    #[error("awaits holds a malformed id")]
    MalformedDependency,
    #[error("{0} is out of range")]
    OutOfRange(&'static str),
    #[error("{0} is empty or too long")]
    TextLength(&'static str),
    #[error("{0} is too long")]
    ListLength(&'static str),
    #[error("{0} is unknown")]
    Unknown(&'static str),
}

/// The body of a submission. Of several missing fields, the first in this order is reported.
#[derive(Deserialize)]
struct Submission {
    #[serde(rename = "nameId")]
    id: String,
    #[serde(rename = "jobclass")]
    class: String,
    #[serde(rename = "owner")]
    team: String,
    #[serde(rename = "shape")]
    kind: String,
    #[serde(rename = "rank")]
    priority: String,
    /// Any JSON value, so that a fraction or a negative number is reported as out of range and not as a type
    /// error.
    #[serde(rename = "drops")]
    tasks: Value,
    #[serde(rename = "vcpus")]
    cpus: f64,
    #[serde(rename = "accelerators")]
    gpus: f64,
    #[serde(rename = "ramGb")]
    ram_gb: f64,
    #[serde(rename = "bundle")]
    image: String,
    #[serde(rename = "pullGb")]
    image_gb: f64,
    #[serde(rename = "flavours", default)]
    machine_types: Option<Vec<String>>,
    #[serde(rename = "yard", default)]
    zone: Option<String>,
    #[serde(rename = "together")]
    zone_affinity: bool,
    #[serde(rename = "scatter")]
    topology_spread: bool,
    #[serde(rename = "reclaimable")]
    allows_spot: bool,
    #[serde(rename = "expectS")]
    estimate_s: f64,
    #[serde(rename = "snapshotS")]
    checkpoint_interval_s: f64,
    #[serde(rename = "flushS")]
    checkpoint_duration_s: f64,
    #[serde(rename = "dueS", default)]
    deadline_s: Option<f64>,
    #[serde(rename = "awaits", default)]
    dependencies: Option<Vec<String>>,
}

/// Returns whether a text has the form of a job's identifier: `j-` and 1 to 18 digits.
pub fn is_job_id(text: &str) -> bool {
    let Some(digits) = text.strip_prefix("j-") else {
        return false;
    };
    (1..=18).contains(&digits.len()) && digits.bytes().all(|byte| byte.is_ascii_digit())
}

/// Parses and validates a submission.
///
/// # Errors
/// Names the first field, in a fixed order, that is missing, malformed or out of range.
pub fn read_submission(body: &[u8]) -> Result<JobSpec, SubmissionError> {
    let value: Value = serde_json::from_slice(body)?;
    if !value.is_object() {
        return Err(SubmissionError::NotAnObject);
    }
    let submission: Submission = serde_json::from_value(value)?;
    submission.validate_identity()?;
    submission.into_job()
}

impl Submission {
    /// Validates the identifiers and the lengths of lists, before any other field.
    fn validate_identity(&self) -> Result<(), SubmissionError> {
        if !is_job_id(&self.id) {
            return Err(SubmissionError::MalformedId);
        }
        self.task_count()?;
        let machine_types = self.machine_types.as_deref().unwrap_or_default();
        if machine_types.len() > MAX_MACHINE_TYPES {
            return Err(SubmissionError::ListLength("flavours"));
        }
        if !self.dependencies.iter().flatten().all(|id| is_job_id(id)) {
            return Err(SubmissionError::MalformedDependency);
        }
        Ok(())
    }

    fn task_count(&self) -> Result<u32, SubmissionError> {
        let count = self.tasks.as_u64();
        let count = count.filter(|count| (1..=JOB_MAX_TASKS).contains(count));
        Ok(count.ok_or(SubmissionError::OutOfRange("drops"))? as u32)
    }

    fn resources(&self) -> Result<Resources, SubmissionError> {
        Ok(Resources {
            cpus: ceil_milli(positive("vcpus", self.cpus)?),
            gpus: ceil_milli(not_negative("accelerators", self.gpus)?),
            ram: ceil_milli(positive("ramGb", self.ram_gb)?),
            ..Resources::default()
        })
    }

    fn into_job(self) -> Result<JobSpec, SubmissionError> {
        let tasks = self.task_count()?;
        // Sorts the dependencies and removes duplicates.
        let dependencies: BTreeSet<&String> = self.dependencies.iter().flatten().collect();
        Ok(JobSpec {
            dependencies: dependencies.into_iter().cloned().collect(),
            class: text("jobclass", &self.class)?,
            team: text("owner", &self.team)?,
            kind: kind(&self.kind)?,
            priority: priority(&self.priority)?,
            tasks,
            resources: self.resources()?,
            image: text("bundle", &self.image)?,
            image_gb: not_negative("pullGb", self.image_gb)?,
            machine_types: self.machine_types,
            zone: self.zone,
            zone_affinity: self.zone_affinity,
            topology_spread: self.topology_spread,
            spot: self.allows_spot,
            estimate_s: not_negative("expectS", self.estimate_s)?,
            checkpoint_interval_s: not_negative("snapshotS", self.checkpoint_interval_s)?,
            checkpoint_duration_s: not_negative("flushS", self.checkpoint_duration_s)?,
            deadline_s: match self.deadline_s {
                Some(seconds) => Some(not_negative("dueS", seconds)?),
                None => None,
            },
            id: self.id,
        })
    }
}

fn not_negative(field: &'static str, amount: f64) -> Result<f64, SubmissionError> {
    if (0.0..=MAX_AMOUNT).contains(&amount) {
        Ok(amount)
    } else {
        Err(SubmissionError::OutOfRange(field))
    }
}

fn positive(field: &'static str, amount: f64) -> Result<f64, SubmissionError> {
    if amount > 0.0 {
        not_negative(field, amount)
    } else {
        Err(SubmissionError::OutOfRange(field))
    }
}

fn text(field: &'static str, text: &str) -> Result<String, SubmissionError> {
    if has_valid_length(text) {
        Ok(text.to_string())
    } else {
        Err(SubmissionError::TextLength(field))
    }
}

fn kind(name: &str) -> Result<JobKind, SubmissionError> {
    match name {
        "array" => Ok(JobKind::Array),
        "daemon" => Ok(JobKind::Service),
        _ => Err(SubmissionError::Unknown("shape")),
    }
}

fn priority(name: &str) -> Result<JobPriority, SubmissionError> {
    match name {
        "critical" => Ok(JobPriority::Production),
        "high" => Ok(JobPriority::High),
        "standard" => Ok(JobPriority::Normal),
        "low" => Ok(JobPriority::Low),
        _ => Err(SubmissionError::Unknown("rank")),
    }
}

fn state_name(state: JobState) -> &'static str {
    match state {
        JobState::Pending => "pending",
        JobState::Running => "running",
        JobState::Done => "done",
        JobState::Cancelled => "aborted",
    }
}

/// The state of a job as reported to users.
#[derive(Serialize)]
struct JobBody<'a> {
    #[serde(rename = "nameId")]
    id: &'a str,
    #[serde(rename = "standing")]
    state: &'static str,
    #[serde(rename = "done", skip_serializing_if = "Option::is_none")]
    tasks_done: Option<u32>,
    #[serde(rename = "running", skip_serializing_if = "Option::is_none")]
    tasks_running: Option<u32>,
}

impl JobBody<'_> {
    /// Creates a body without the counts of tasks.
    fn state_only(id: &str, state: JobState) -> JobBody<'_> {
        JobBody {
            id,
            state: state_name(state),
            tasks_done: None,
            tasks_running: None,
        }
    }
}

/// Serializes the reply to a user.
///
/// Serializes structs directly instead of building JSON values first, because users poll often.
pub fn write_user_reply(reply: &UserReply) -> Reply {
    let refusal = |status, error| Reply::new(status, &ErrorBody { error });
    match reply {
        UserReply::Accepted { job } => {
            Reply::new(201, &JobBody::state_only(job, JobState::Pending))
        }
        UserReply::Status {
            job,
            state,
            done,
            running,
        } => {
            let body = JobBody {
                id: job,
                state: state_name(*state),
                tasks_done: Some(*done),
                tasks_running: Some(*running),
            };
            Reply::new(200, &body)
        }
        UserReply::Cancelled { job, state } => Reply::new(200, &JobBody::state_only(job, *state)),
        UserReply::NotFound => refusal(404, "no such job"),
        UserReply::Rejected(reason) => refusal(422, reason),
        UserReply::RetryAfter { after_s } => Reply {
            retry_after_s: Some(*after_s),
            ..refusal(503, "can't decide now")
        },
    }
}
