//! The published messages. Names of the wire end here; inside, the standard ones are used.

use glenmount_core::constants::*;
use glenmount_core::controller::{UserReply, WorkerReply};
use glenmount_core::model::*;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;
use std::borrow::Cow;
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

/// Status, body and `Retry-After` of an answer to a user.
/// What users are told. Written as it is, without a tree of values between: polls are many.
#[derive(Serialize)]
#[serde(untagged)]
enum Told<'a> {
    Job {
        #[serde(rename = "nameId")]
        id: &'a str,
        standing: &'static str,
        #[serde(skip_serializing_if = "Option::is_none")]
        done: Option<u32>,
        #[serde(skip_serializing_if = "Option::is_none")]
        running: Option<u32>,
    },
    Error {
        error: &'a str,
    },
}

fn text(message: &impl Serialize) -> String {
    // Plain structs of strings and numbers can't fail to be written.
    serde_json::to_string(message).unwrap_or_else(|_| "{}".into())
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

#[derive(Deserialize)]
struct CheckIn<'a> {
    #[serde(rename = "host")]
    instance: String,
    address: String,
    flavour: String,
    yard: String,
    reclaimable: bool,
    tenure: u64,
    #[serde(rename = "tally")]
    sequence: u64,
    #[serde(default)]
    fence: u64,
    #[serde(rename = "warningS", default)]
    warning_s: Option<f64>,
    #[serde(default, borrow)]
    drops: Vec<Drop<'a>>,
}

#[derive(Deserialize)]
struct Drop<'a> {
    #[serde(borrow)]
    drop: Cow<'a, str>,
    #[serde(rename = "try")]
    attempt: u64,
    #[serde(borrow)]
    standing: Cow<'a, str>,
    #[serde(default)]
    cause: Option<String>,
}

pub fn report(body: &[u8]) -> Result<WorkerHeartbeat, String> {
    let c: CheckIn = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    if c.instance.is_empty() || c.instance.len() > 100 || c.address.len() > 100 {
        return Err("host or address is empty or too long".into());
    }
    // One that counted wrongly would make all that come after it look old.
    if c.tenure == 0 || c.tenure > MAX_INCARNATION {
        return Err(format!("tenure: {} is absurd", c.tenure));
    }
    if c.sequence > MAX_SEQUENCE {
        return Err(format!("tally: {} is absurd", c.sequence));
    }
    // They stand in the machine's record.
    if c.flavour.len() > 200 || c.yard.len() > 200 {
        return Err("flavour or yard is too long".into());
    }
    if c.drops.len() > HEARTBEAT_MAX_TASKS {
        return Err("too many drops".into());
    }
    let mut tasks = Vec::with_capacity(c.drops.len());
    for d in c.drops {
        tasks.push(TaskStatus {
            task: TaskId::parse(&d.drop).ok_or("a drop is malformed")?,
            attempt: d.attempt,
            phase: match d.standing.as_ref() {
                "fetching" => TaskPhase::Fetching,
                "flushing" => TaskPhase::Checkpointing,
                "exited" => TaskPhase::Exited(match d.cause.as_deref() {
                    Some("done") => ExitCause::Done,
                    Some("stopped") => ExitCause::Stopped,
                    Some("error") => ExitCause::Error,
                    Some("no_room") => ExitCause::NoResources,
                    Some("in_use") => ExitCause::Busy,
                    Some("no_such") => ExitCause::Unknown,
                    _ => ExitCause::Other,
                }),
                _ => TaskPhase::Running,
            },
        });
    }
    Ok(WorkerHeartbeat {
        machine: c.instance,
        address: c.address,
        type_name: c.flavour,
        zone: c.yard,
        spot: c.reclaimable,
        incarnation: c.tenure,
        sequence: c.sequence,
        token: c.fence,
        notice_s: c.warning_s,
        tasks,
    })
}

fn shown<S: Serializer>(task: &TaskId, s: S) -> Result<S::Ok, S::Error> {
    s.collect_str(task)
}

#[derive(Serialize)]
struct Verb<'a> {
    verb: &'static str,
    #[serde(serialize_with = "shown")]
    drop: &'a TaskId,
    #[serde(rename = "try")]
    attempt: u64,
    #[serde(rename = "leewayS", skip_serializing_if = "Option::is_none")]
    leeway_s: Option<f64>,
}

fn order(o: &WorkerCommand) -> Verb<'_> {
    let (verb, drop, attempt, leeway_s) = match o {
        WorkerCommand::Start { task, attempt } => ("start", task, *attempt, None),
        WorkerCommand::Stop {
            task,
            attempt,
            grace_s,
        } => ("halt", task, *attempt, Some(*grace_s)),
        WorkerCommand::Forget { task, attempt } => ("forget", task, *attempt, None),
    };
    Verb {
        verb,
        drop,
        attempt,
        leeway_s,
    }
}

/// What a worker is told to do: in a command with its incarnation, in an answer without.
#[derive(Serialize)]
struct Orders<'a> {
    fence: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    tenure: Option<u64>,
    #[serde(rename = "orders")]
    commands: Vec<Verb<'a>>,
}

fn command_body(token: u64, incarnation: Option<u64>, commands: &[WorkerCommand]) -> String {
    text(&Orders {
        fence: token,
        tenure: incarnation,
        commands: commands.iter().map(order).collect(),
    })
}

pub fn command(incarnation: u64, token: u64, commands: &[WorkerCommand]) -> String {
    command_body(token, Some(incarnation), commands)
}

#[derive(Serialize)]
struct Elsewhere<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    steward: Option<&'a str>,
}

pub fn worker_reply(reply: &WorkerReply) -> (u16, String) {
    match reply {
        WorkerReply::Commands {
            token,
            commands: told,
        } => (200, command_body(*token, None, told)),
        WorkerReply::Redirect { controller } => {
            let steward = controller.as_deref();
            (421, text(&Elsewhere { steward }))
        }
        WorkerReply::Unavailable => (503, text(&Told::Error { error: "not now" })),
    }
}

#[derive(Deserialize)]
struct Catalog {
    flavours: Vec<Flavour>,
}

#[derive(Deserialize)]
struct Flavour {
    name: String,
    vcpus: f64,
    #[serde(default)]
    accelerators: f64,
    #[serde(rename = "ramGb")]
    ram_gb: f64,
    #[serde(rename = "localGb", default)]
    local_gb: f64,
    #[serde(rename = "pullGbPerS", default)]
    pull_gb_per_s: f64,
    #[serde(default)]
    hourly: f64,
    #[serde(rename = "marketPrice", default)]
    market_price: Option<f64>,
    #[serde(rename = "readyS", default)]
    ready_s: f64,
    #[serde(default)]
    yards: Vec<String>,
}

pub fn catalog(body: &[u8]) -> Option<Vec<MachineType>> {
    let c: Catalog = serde_json::from_slice(body).ok()?;
    Some(
        c.flavours
            .into_iter()
            .map(|f| MachineType {
                name: f.name,
                room: Resources {
                    cpus: have_milli(f.vcpus),
                    gpus: have_milli(f.accelerators),
                    ram: have_milli(f.ram_gb),
                },
                cache_gb: f.local_gb,
                fetch_gb_per_s: f.pull_gb_per_s,
                price: f.hourly,
                spot_price: f.market_price.unwrap_or(0.0),
                boot_s: f.ready_s,
                zones: f.yards,
            })
            .collect(),
    )
}

#[derive(Serialize)]
pub struct Hire<'a> {
    #[serde(rename = "hire")]
    pub instance_request: &'a str,
    pub flavour: &'a str,
    pub yard: &'a str,
    pub reclaimable: bool,
    pub number: u32,
}

#[derive(Deserialize)]
struct Names {
    #[serde(rename = "hosts")]
    instances: Vec<String>,
}

pub fn hired(body: &[u8]) -> Option<Vec<String>> {
    serde_json::from_slice::<Names>(body)
        .ok()
        .map(|n| n.instances)
}

#[derive(Deserialize)]
struct HostList {
    #[serde(rename = "hosts")]
    instances: Vec<HostItem>,
    #[serde(default)]
    more: bool,
}

#[derive(Deserialize)]
struct HostItem {
    #[serde(rename = "nameId")]
    name: String,
    #[serde(default)]
    address: Option<String>,
    flavour: String,
    yard: String,
    reclaimable: bool,
    standing: String,
    #[serde(rename = "ageS", default)]
    age_s: f64,
}

pub fn instances(body: &[u8]) -> Option<(Vec<CloudInstance>, bool)> {
    let list: HostList = serde_json::from_slice(body).ok()?;
    let instances = list
        .instances
        .into_iter()
        .map(|h| CloudInstance {
            name: h.name,
            address: h.address.unwrap_or_default(),
            type_name: h.flavour,
            zone: h.yard,
            spot: h.reclaimable,
            state: match h.standing.as_str() {
                "starting" => CloudInstanceState::Booting,
                "failed" => CloudInstanceState::Failed,
                _ => CloudInstanceState::Running,
            },
            age_s: h.age_s,
        })
        .collect();
    Some((instances, list.more))
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn good() -> Value {
        json!({"nameId":"j-000412","jobclass":"train","owner":"vision","shape":"array",
            "rank":"high","drops":16,"vcpus":8.0,"accelerators":1.0,"ramGb":64.0,
            "bundle":"img-07","pullGb":6.2,"flavours":["g8"],"yard":null,"together":true,
            "scatter":false,"reclaimable":true,"expectS":240.0,"snapshotS":30.0,"flushS":4.0,
            "dueS":900.0,"unheard":1})
    }

    #[test]
    fn a_submission_is_read_and_each_fault_is_found() {
        let spec = submission(good().to_string().as_bytes()).unwrap();
        assert_eq!(
            (spec.tasks, spec.resources.cpus, spec.priority),
            (16, 8000, JobPriority::High)
        );
        let faults = [
            ("nameId", json!("x-1")),
            ("nameId", Value::Null),
            ("vcpus", json!(0.0)),
            ("vcpus", json!(-1)),
            ("ramGb", json!(0)),
            ("accelerators", json!(-0.5)),
            ("drops", json!(1.5)),
            ("drops", json!(0)),
            ("drops", json!(100_001)),
            ("shape", json!("group")),
            ("rank", json!("top")),
            ("together", Value::Null),
            ("expectS", Value::Null),
            ("flavours", json!("g8")),
            ("dueS", json!("soon")),
            ("awaits", json!("j-1")),
            ("awaits", json!([1])),
            ("awaits", json!(["j-1", "x-2"])),
        ];
        for (field, value) in faults {
            let mut body = good();
            body[field] = value.clone();
            assert!(
                submission(body.to_string().as_bytes()).is_err(),
                "{field} = {value}"
            );
        }
        for body in ["", "[]", "7", "{", "null"] {
            assert!(submission(body.as_bytes()).is_err(), "{body}");
        }
        for field in ["pullGb", "accelerators", "expectS", "snapshotS", "flushS"] {
            let mut body = good();
            body[field] = json!(0);
            assert!(submission(body.to_string().as_bytes()).is_ok(), "{field}");
        }
        let dependencies = |value: Value| {
            let mut body = good();
            body["awaits"] = value;
            submission(body.to_string().as_bytes())
                .unwrap()
                .dependencies
        };
        assert!(spec.dependencies.is_empty() && dependencies(Value::Null).is_empty());
        assert!(dependencies(json!([])).is_empty());
        assert_eq!(dependencies(json!(["j-2", "j-1", "j-2"])), ["j-1", "j-2"]);
        for field in ["nameId", "drops", "scatter", "flushS"] {
            let mut body = good();
            body.as_object_mut().unwrap().remove(field);
            assert!(submission(body.to_string().as_bytes()).is_err(), "{field}");
        }
    }

    #[test]
    fn what_is_said_is_as_published() {
        let read = |text: &str| serde_json::from_str::<Value>(text).unwrap();
        let task = TaskId::parse("j-000412/4").unwrap();
        let attempt = 2;
        let told = [
            WorkerCommand::Start {
                task: task.clone(),
                attempt,
            },
            WorkerCommand::Stop {
                task: task.clone(),
                attempt,
                grace_s: 10.0,
            },
            WorkerCommand::Forget { task, attempt },
        ];
        let verbs = json!([{"verb":"start","drop":"j-000412/4","try":2},
            {"verb":"halt","drop":"j-000412/4","try":2,"leewayS":10.0},
            {"verb":"forget","drop":"j-000412/4","try":2}]);
        assert_eq!(
            read(&command(1, 41, &told)),
            json!({"fence":41,"tenure":1,"orders":verbs})
        );
        let reply = |r| {
            let (status, body) = worker_reply(&r);
            (status, read(&body))
        };
        let commands = WorkerReply::Commands {
            token: 41,
            commands: told.to_vec(),
        };
        assert_eq!(reply(commands), (200, json!({"fence":41,"orders":verbs})));
        let away = |controller: Option<&str>| WorkerReply::Redirect {
            controller: controller.map(Into::into),
        };
        assert_eq!(reply(away(Some("b-2"))), (421, json!({"steward":"b-2"})));
        assert_eq!(reply(away(None)), (421, json!({})));
        assert_eq!(reply(WorkerReply::Unavailable).0, 503);
        let user = |r| {
            let (status, body, after) = user_reply(&r);
            (status, read(&body), after)
        };
        let job = || "j-000412".to_string();
        let state = UserReply::Status {
            job: job(),
            state: JobState::Running,
            done: 3,
            running: 13,
        };
        assert_eq!(
            user(state),
            (
                200,
                json!({"nameId":"j-000412","standing":"running","done":3,"running":13}),
                None
            )
        );
        let accepted = UserReply::Accepted { job: job() };
        assert_eq!(
            user(accepted),
            (201, json!({"nameId":"j-000412","standing":"pending"}), None)
        );
        let cancelled = UserReply::Cancelled {
            job: job(),
            state: JobState::Cancelled,
        };
        assert_eq!(
            user(cancelled),
            (200, json!({"nameId":"j-000412","standing":"aborted"}), None)
        );
        let never = UserReply::Rejected("no \"team\"".into());
        assert_eq!(user(never), (422, json!({"error":"no \"team\""}), None));
        assert_eq!(user(UserReply::RetryAfter { after_s: 5 }).2, Some(5));
    }

    #[test]
    fn a_check_in_is_read_with_causes() {
        let body = json!({"host":"n-1","address":"10.1.0.2:9000","flavour":"g8","yard":"a",
            "reclaimable":true,"tenure":1,"tally":88,"fence":41,
            "drops":[{"drop":"j-000412/3","try":2,"standing":"running"},
                     {"drop":"j-000398/0","try":1,"standing":"exited","cause":"no_room"}]});
        let r = report(body.to_string().as_bytes()).unwrap();
        assert_eq!(r.tasks[0].task.index, 3);
        assert_eq!(r.tasks[1].phase, TaskPhase::Exited(ExitCause::NoResources));
        assert!(report(b"{}").is_err());
        // Nothing is learned from a machine that counts wrongly: what comes after would look old.
        for (field, value) in [("tenure", 0), ("tenure", u64::MAX), ("tally", u64::MAX)] {
            let mut body = body.clone();
            body[field] = value.into();
            let why = report(body.to_string().as_bytes()).unwrap_err();
            assert!(why.starts_with(field), "{why}");
        }
    }
}
