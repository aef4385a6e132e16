//! Messages between users and the controller.

use super::{text, Told};
use glenmount_core::constants::JOB_TASKS;
use glenmount_core::controller::UserReply;
use glenmount_core::model::{need_milli, JobKind, JobPriority, JobSpec, JobState, Resources};
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::collections::BTreeSet;

/// A field that must be there, but may be null.
fn present<'de, D: Deserializer<'de>, T: Deserialize<'de>>(d: D) -> Result<Option<T>, D::Error> {
    Option::deserialize(d)
}

#[derive(Deserialize)]
struct Submission {
    #[serde(rename = "nameId")]
    id: String,
    jobclass: String,
    owner: String,
    #[serde(rename = "shape")]
    kind: String,
    #[serde(rename = "rank")]
    priority: String,
    drops: Value,
    vcpus: f64,
    accelerators: f64,
    #[serde(rename = "ramGb")]
    ram_gb: f64,
    bundle: String,
    #[serde(rename = "pullGb")]
    pull_gb: f64,
    #[serde(default, deserialize_with = "present")]
    flavours: Option<Vec<String>>,
    #[serde(default, deserialize_with = "present")]
    yard: Option<String>,
    #[serde(rename = "together")]
    zone_affinity: bool,
    #[serde(rename = "scatter")]
    topology_spread: bool,
    reclaimable: bool,
    #[serde(rename = "expectS")]
    expect_s: f64,
    #[serde(rename = "snapshotS")]
    snapshot_s: f64,
    #[serde(rename = "flushS")]
    flush_s: f64,
    #[serde(rename = "dueS", default, deserialize_with = "present")]
    due_s: Option<f64>,
    #[serde(default, deserialize_with = "present")]
    #[serde(rename = "awaits")]
    dependencies: Option<Vec<String>>,
}

pub fn job_id(s: &str) -> bool {
    s.strip_prefix("j-")
        .is_some_and(|n| (1..=18).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit()))
}

/// Reads a submission, or says what is wrong with it.
pub fn submission(body: &[u8]) -> Result<JobSpec, String> {
    let value: Value = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    if !value.is_object() {
        return Err("not an object".into());
    }
    let s: Submission = serde_json::from_value(value).map_err(|e| e.to_string())?;
    let amount = |field: &str, x: f64, least: f64| {
        if x.is_finite() && x >= 0.0 && x > least && x <= 1e9 {
            Ok(x)
        } else {
            Err(format!("{field} is out of range"))
        }
    };
    let text = |field: &str, s: &str| {
        if s.is_empty() || s.len() > 200 {
            Err(format!("{field} is empty or too long"))
        } else {
            Ok(s.to_string())
        }
    };
    if !job_id(&s.id) {
        return Err("nameId is malformed".into());
    }
    let tasks = s
        .drops
        .as_u64()
        .filter(|n| (1..=JOB_TASKS).contains(n))
        .ok_or("drops is out of range")? as u32;
    if s.flavours.as_ref().is_some_and(|f| f.len() > 100) {
        return Err("flavours is too long".into());
    }
    let dependencies: BTreeSet<String> = s.dependencies.into_iter().flatten().collect();
    if !dependencies.iter().all(|id| job_id(id)) {
        return Err("awaits holds a malformed id".into());
    }
    Ok(JobSpec {
        dependencies: dependencies.into_iter().collect(),
        class: text("jobclass", &s.jobclass)?,
        team: text("owner", &s.owner)?,
        kind: match s.kind.as_str() {
            "array" => JobKind::Array,
            "daemon" => JobKind::Service,
            _ => return Err("shape is unknown".into()),
        },
        priority: match s.priority.as_str() {
            "critical" => JobPriority::Production,
            "high" => JobPriority::High,
            "standard" => JobPriority::Normal,
            "low" => JobPriority::Low,
            _ => return Err("rank is unknown".into()),
        },
        tasks,
        resources: Resources {
            cpus: need_milli(amount("vcpus", s.vcpus, 0.0)?),
            gpus: need_milli(amount("accelerators", s.accelerators, -1.0)?),
            ram: need_milli(amount("ramGb", s.ram_gb, 0.0)?),
        },
        image: text("bundle", &s.bundle)?,
        image_gb: amount("pullGb", s.pull_gb, -1.0)?,
        machine_types: s.flavours,
        zone: s.yard,
        zone_affinity: s.zone_affinity,
        topology_spread: s.topology_spread,
        spot: s.reclaimable,
        estimate_s: amount("expectS", s.expect_s, -1.0)?,
        checkpoint_interval_s: amount("snapshotS", s.snapshot_s, -1.0)?,
        checkpoint_duration_s: amount("flushS", s.flush_s, -1.0)?,
        deadline_s: match s.due_s {
            Some(d) => Some(amount("dueS", d, -1.0)?),
            None => None,
        },
        id: s.id,
    })
}

fn state_name(state: JobState) -> &'static str {
    match state {
        JobState::Pending => "pending",
        JobState::Running => "running",
        JobState::Done => "done",
        JobState::Cancelled => "aborted",
    }
}

pub fn user_reply(reply: &UserReply) -> (u16, String, Option<u32>) {
    let standing = |id, standing| Told::Job {
        id,
        standing,
        done: None,
        running: None,
    };
    let (status, told, after_s) = match reply {
        UserReply::Accepted { job } => (201, standing(job, "pending"), None),
        UserReply::Status {
            job,
            state,
            done,
            running,
        } => (
            200,
            Told::Job {
                id: job,
                standing: state_name(*state),
                done: Some(*done),
                running: Some(*running),
            },
            None,
        ),
        UserReply::Cancelled { job, state } => (200, standing(job, state_name(*state)), None),
        UserReply::NotFound => (
            404,
            Told::Error {
                error: "no such job",
            },
            None,
        ),
        UserReply::Rejected(why) => (422, Told::Error { error: why }, None),
        UserReply::RetryAfter { after_s } => (
            503,
            Told::Error {
                error: "can't decide now",
            },
            Some(*after_s),
        ),
    };
    (status, text(&told), after_s)
}
