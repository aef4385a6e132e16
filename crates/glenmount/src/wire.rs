//! The published messages. Names of the wire end here; inside, the standard ones are used.

use glenmount_core::constants::*;
use glenmount_core::model::*;
use glenmount_core::node::{UserReply, WorkerReply};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::{json, Value};
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
    shape: String,
    rank: String,
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
    together: bool,
    scatter: bool,
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
    awaits: Option<Vec<String>>,
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
    let awaits: BTreeSet<String> = s.awaits.into_iter().flatten().collect();
    if !awaits.iter().all(|id| job_id(id)) {
        return Err("awaits holds a malformed id".into());
    }
    Ok(JobSpec {
        awaits: awaits.into_iter().collect(),
        class: text("jobclass", &s.jobclass)?,
        team: text("owner", &s.owner)?,
        shape: match s.shape.as_str() {
            "array" => Shape::Array,
            "daemon" => Shape::Service,
            _ => return Err("shape is unknown".into()),
        },
        rank: match s.rank.as_str() {
            "critical" => Rank::Production,
            "high" => Rank::High,
            "standard" => Rank::Normal,
            "low" => Rank::Low,
            _ => return Err("rank is unknown".into()),
        },
        tasks,
        need: Room {
            cpus: need_milli(amount("vcpus", s.vcpus, 0.0)?),
            gpus: need_milli(amount("accelerators", s.accelerators, -1.0)?),
            ram: need_milli(amount("ramGb", s.ram_gb, 0.0)?),
        },
        image: text("bundle", &s.bundle)?,
        image_gb: amount("pullGb", s.pull_gb, -1.0)?,
        types: s.flavours,
        zone: s.yard,
        together: s.together,
        scatter: s.scatter,
        spot: s.reclaimable,
        estimate_s: amount("expectS", s.expect_s, -1.0)?,
        checkpoint_s: amount("snapshotS", s.snapshot_s, -1.0)?,
        save_s: amount("flushS", s.flush_s, -1.0)?,
        deadline_s: match s.due_s {
            Some(d) => Some(amount("dueS", d, -1.0)?),
            None => None,
        },
        id: s.id,
    })
}

fn state_name(state: JobState) -> &'static str {
    match state {
        JobState::Queued => "pending",
        JobState::Running => "running",
        JobState::Done => "done",
        JobState::Cancelled => "aborted",
    }
}

/// Status, body and `Retry-After` of an answer to a user.
pub fn user_reply(reply: &UserReply) -> (u16, Value, Option<u32>) {
    match reply {
        UserReply::Accepted { job } => (201, json!({"nameId": job, "standing": "pending"}), None),
        UserReply::State {
            job,
            state,
            done,
            running,
        } => (
            200,
            json!({"nameId": job, "standing": state_name(*state), "done": done, "running": running}),
            None,
        ),
        UserReply::Cancelled { job, state } => (
            200,
            json!({"nameId": job, "standing": state_name(*state)}),
            None,
        ),
        UserReply::NotFound => (404, json!({"error": "no such job"}), None),
        UserReply::Never(why) => (422, json!({"error": why}), None),
        UserReply::Later { after_s } => (503, json!({"error": "can't decide now"}), Some(*after_s)),
    }
}

#[derive(Deserialize)]
struct CheckIn {
    host: String,
    address: String,
    flavour: String,
    yard: String,
    reclaimable: bool,
    tenure: u64,
    tally: u64,
    #[serde(default)]
    fence: u64,
    #[serde(rename = "warningS", default)]
    warning_s: Option<f64>,
    #[serde(default)]
    drops: Vec<Drop>,
}

#[derive(Deserialize)]
struct Drop {
    drop: String,
    #[serde(rename = "try")]
    attempt: u64,
    standing: String,
    #[serde(default)]
    cause: Option<String>,
}

pub fn report(body: &[u8]) -> Result<Report, String> {
    let c: CheckIn = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    if c.host.is_empty() || c.host.len() > 100 || c.address.len() > 100 {
        return Err("host or address is empty or too long".into());
    }
    // They stand in the machine's record.
    if c.flavour.len() > 200 || c.yard.len() > 200 {
        return Err("flavour or yard is too long".into());
    }
    if c.drops.len() > REPORT_TASKS {
        return Err("too many drops".into());
    }
    let mut tasks = Vec::with_capacity(c.drops.len());
    for d in c.drops {
        tasks.push(TaskReport {
            task: TaskId::parse(&d.drop).ok_or("a drop is malformed")?,
            attempt: d.attempt,
            phase: match d.standing.as_str() {
                "fetching" => TaskPhase::Fetching,
                "flushing" => TaskPhase::Saving,
                "exited" => TaskPhase::Exited(match d.cause.as_deref() {
                    Some("done") => Cause::Done,
                    Some("stopped") => Cause::Stopped,
                    Some("error") => Cause::Error,
                    Some("no_room") => Cause::NoRoom,
                    Some("in_use") => Cause::Busy,
                    Some("no_such") => Cause::Unknown,
                    _ => Cause::Other,
                }),
                _ => TaskPhase::Running,
            },
        });
    }
    Ok(Report {
        machine: c.host,
        address: c.address,
        type_name: c.flavour,
        zone: c.yard,
        spot: c.reclaimable,
        session: c.tenure,
        tally: c.tally,
        token: c.fence,
        notice_s: c.warning_s,
        tasks,
    })
}

fn order(o: &Order) -> Value {
    match o {
        Order::Start { task, attempt } => {
            json!({"verb": "start", "drop": task.to_string(), "try": attempt})
        }
        Order::Stop {
            task,
            attempt,
            grace_s,
        } => {
            json!({"verb": "halt", "drop": task.to_string(), "try": attempt, "leewayS": grace_s})
        }
        Order::Forget { task, attempt } => {
            json!({"verb": "forget", "drop": task.to_string(), "try": attempt})
        }
    }
}

pub fn command(session: u64, token: u64, orders: &[Order]) -> String {
    let orders: Vec<Value> = orders.iter().map(order).collect();
    json!({"fence": token, "tenure": session, "orders": orders}).to_string()
}

pub fn worker_reply(reply: &WorkerReply) -> (u16, Value) {
    match reply {
        WorkerReply::Orders { token, orders } => (
            200,
            json!({"fence": token, "orders": orders.iter().map(order).collect::<Vec<_>>()}),
        ),
        WorkerReply::Elsewhere { node: Some(node) } => (421, json!({"steward": node})),
        WorkerReply::Elsewhere { node: None } => (421, json!({})),
        WorkerReply::NotNow => (503, json!({"error": "not now"})),
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
                room: Room {
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
    pub hire: &'a str,
    pub flavour: &'a str,
    pub yard: &'a str,
    pub reclaimable: bool,
    pub number: u32,
}

#[derive(Deserialize)]
struct Names {
    hosts: Vec<String>,
}

pub fn hired(body: &[u8]) -> Option<Vec<String>> {
    serde_json::from_slice::<Names>(body).ok().map(|n| n.hosts)
}

#[derive(Deserialize)]
struct HostList {
    hosts: Vec<HostItem>,
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

pub fn hosts(body: &[u8]) -> Option<(Vec<Host>, bool)> {
    let list: HostList = serde_json::from_slice(body).ok()?;
    let hosts = list
        .hosts
        .into_iter()
        .map(|h| Host {
            name: h.name,
            address: h.address.unwrap_or_default(),
            type_name: h.flavour,
            zone: h.yard,
            spot: h.reclaimable,
            state: match h.standing.as_str() {
                "starting" => HostState::Booting,
                "failed" => HostState::Failed,
                _ => HostState::Running,
            },
            age_s: h.age_s,
        })
        .collect();
    Some((hosts, list.more))
}

#[cfg(test)]
mod tests {
    use super::*;

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
            (spec.tasks, spec.need.cpus, spec.rank),
            (16, 8000, Rank::High)
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
        let awaits = |value: Value| {
            let mut body = good();
            body["awaits"] = value;
            submission(body.to_string().as_bytes()).unwrap().awaits
        };
        assert!(spec.awaits.is_empty() && awaits(Value::Null).is_empty());
        assert!(awaits(json!([])).is_empty());
        assert_eq!(awaits(json!(["j-2", "j-1", "j-2"])), ["j-1", "j-2"]);
        for field in ["nameId", "drops", "scatter", "flushS"] {
            let mut body = good();
            body.as_object_mut().unwrap().remove(field);
            assert!(submission(body.to_string().as_bytes()).is_err(), "{field}");
        }
    }

    #[test]
    fn a_check_in_is_read_with_causes() {
        let body = json!({"host":"n-1","address":"10.1.0.2:9000","flavour":"g8","yard":"a",
            "reclaimable":true,"tenure":1,"tally":88,"fence":41,
            "drops":[{"drop":"j-000412/3","try":2,"standing":"running"},
                     {"drop":"j-000398/0","try":1,"standing":"exited","cause":"no_room"}]});
        let r = report(body.to_string().as_bytes()).unwrap();
        assert_eq!(r.tasks[0].task.index, 3);
        assert_eq!(r.tasks[1].phase, TaskPhase::Exited(Cause::NoRoom));
        assert!(report(b"{}").is_err());
    }
}
