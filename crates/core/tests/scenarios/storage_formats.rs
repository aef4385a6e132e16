//! Storage formats: records of the previous version, the compact form of chunks, and sizes of records.

use glenmount_core::constants::{
    FAULTY_JOB_MIN_MACHINES, MACHINE_FAULTS_MAX, PROVISION_MAX_INSTANCES,
};
use glenmount_core::model::JobSpec;
use glenmount_core::state::formats::{self, FormatRecord};
use glenmount_core::state::{
    offer_key, Assignment, ChunkRecord, InstanceRequestRecord, JobPhase, JobRecord, Key,
    MachinePhase, MachineRecord, ProvisioningRecord, Record, TaskState, ZoneSpreadRecord,
};
use glenmount_simulation::{dependent_job, job, previous_version, START_TIME_MS};
use rand::Rng;
use serde_json::Value;
use std::collections::BTreeMap;

/// Records as the version before format 2 writes them.
const SAMPLES: [(&str, &str); 10] = [
    (
        "g/job/j-000412",
        r#"{"at":1700000000000,"chunk":100,"ended":0,"phase":"Open","spec":{"checkpoint_s":0.0,"class":"reach","deadline_s":90.0,"estimate_s":40.0,"id":"j-000412","image":"img-07","image_gb":1.5,"need":{"c":2000,"g":0,"r":3200},"rank":"Normal","save_s":0.0,"scatter":true,"shape":"Array","spot":true,"tasks":3,"team":"hub","together":false,"types":["g8"],"zone":null},"tasks":3}"#,
    ),
    (
        "g/job/j-000413",
        r#"{"at":1700000000000,"chunk":100,"ended":1700000009000,"phase":"Done","spec":null,"tasks":3}"#,
    ),
    (
        "g/chunk/j-000412/0000",
        r#"{"f":["n-000230"],"i":0,"n":1,"o":"hub","p":1700000001000,"t":["w","d",{"b":{"a":41,"d":[1,7],"m":"n-000231"}},{"b":{"a":41,"m":"n-000232","s":[2,88],"x":"preempted"}}],"u":{"c":2000,"g":0,"r":3200}}"#,
    ),
    ("g/place/j-000412", r#"{"zones":{"a":2}}"#),
    (
        "g/machine/n-000231",
        r#"{"address":"10.1.0.232:9000","at":1700000000500,"faults":["j-000398"],"phase":"Up","raised":1,"spot":true,"type":"g8","zone":"a"}"#,
    ),
    ("g/team/hub", r#"{"cpus":4000,"gpus":0}"#),
    (
        "g/hire/00000017",
        r#"{"at":1700000000000,"count":2,"hosts":["n-000231","n-000232"],"node":"bothy-0","spot":true,"type":"g8","zone":"a"}"#,
    ),
    (
        "g/fleet",
        r#"{"next":18,"refused":{"g8|a|spot":1700000015000}}"#,
    ),
    ("g/term", r#"{"term":1}"#),
    (
        "g/types",
        r#"{"types":[{"boot_s":45.0,"cache_gb":200.0,"fetch_gb_per_s":1.0,"name":"g8","price":12.0,"room":{"c":96000,"g":8000,"r":1024000},"spot_price":4.5,"zones":["a"]}]}"#,
    ),
];

#[test]
fn records_of_the_previous_version_round_trip() {
    for (path, text) in SAMPLES {
        let key = Key::parse(path).unwrap();
        let value: Value = serde_json::from_str(text).unwrap();
        let record = Record::from_value(&key, value.clone()).expect(path);
        let parsed = Record::parse(&key, &value.to_string());
        assert_eq!(parsed.as_ref(), Some(&record), "{path}: read from the text");
        assert_eq!(record.value(formats::OLDEST), value, "{path}");
        assert_eq!(
            previous_version::value(&key, value.clone()),
            Some(value),
            "{path}"
        );
        // The latest format represents the same record.
        let reread = Record::from_value(&key, record.value(formats::LATEST));
        assert_eq!(reread, Some(record), "{path}");
    }
}

#[test]
fn the_previous_version_drops_or_rejects_new_fields() {
    // Controllers wait for the upgrade of all before they write these fields: the previous version drops the
    // dependencies of a job, cannot read a compact chunk, and skips keys of an unknown kind.
    let mut spec = dependent_job("j-000414", 1, &["j-000412"]);
    spec.dependencies.push("j-000413".into());
    let record = Record::Job(JobRecord {
        phase: JobPhase::Open,
        tasks: 1,
        tasks_per_chunk: 1,
        accepted_at: 0,
        ended_at: 0,
        spec: Some(Box::new(spec)),
    });
    let key = Key::Job("j-000414".into());
    let rewritten = previous_version::value(&key, record.value(formats::LATEST)).unwrap();
    assert!(rewritten["spec"].get("awaits").is_none());
    let key = Key::parse(SAMPLES[2].0).unwrap();
    let chunk = Record::from_value(&key, serde_json::from_str(SAMPLES[2].1).unwrap()).unwrap();
    assert_eq!(
        previous_version::value(&key, chunk.value(formats::LATEST)),
        None
    );
    let compact = chunk.value(formats::LATEST)["z"].to_string();
    assert_eq!(compact, r#""=1 +1 1:0:d1.7 2:0!0""#);
    // A fixed sample, which must stay readable if the compact form changes.
    let text = r#"{"i":0,"z":"=1 +1 1:0:d1.7 2:0!0","m":"n-00023","a":41,"s":"s2.88","x":["preempted"],"o":"hub","u":{"c":2000,"g":0,"r":3200},"f":["n-000230"],"n":1,"p":1700000001000}"#;
    let parsed = Record::from_value(&key, serde_json::from_str(text).unwrap());
    assert_eq!(parsed, Some(chunk));
    let format = Key::Format("a node".into());
    assert_eq!(Key::parse(&format.path()), Some(format.clone()));
    let record = Record::Format(FormatRecord { version: 2 });
    assert_eq!(Record::from_value(&format, record.value(2)), Some(record));
}

#[test]
fn a_compact_chunk_round_trips() {
    use rand::SeedableRng;
    let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
    let names = ["n-000231", "n-000232", "n-1", "", "a b:c*2!~", "=3", "é"];
    for _ in 0..2_000 {
        let mut random_start = |bound: u64| {
            let is_present = rng.gen_bool(0.5);
            is_present.then(|| (rng.gen_range(0..bound), rng.gen_range(0..u64::MAX)))
        };
        let (reply_start, direct_start) = (random_start(3), random_start(u64::MAX));
        let tasks = (0..rng.gen_range(0..30))
            .map(|_| match rng.gen_range(0..4) {
                0 => TaskState::Pending,
                1 => TaskState::Done,
                n => TaskState::Assigned(Assignment {
                    machine: names[rng.gen_range(0..names.len())].into(),
                    attempt: [5, 5, 77, u64::MAX][rng.gen_range(0..4)],
                    reply_start: reply_start.filter(|_| n == 2).map(Into::into),
                    direct_start: direct_start.map(Into::into),
                    stop_reason: rng.gen_bool(0.2).then(|| "preempted".to_string()),
                }),
            })
            .collect();
        let chunk = Record::Chunk(ChunkRecord {
            first: 100,
            tasks,
            team: "blue \"1\"".into(),
            ..ChunkRecord::default()
        });
        let key = Key::Chunk("j-1".into(), 1);
        let value = chunk.value(formats::LATEST);
        assert_eq!(
            Record::from_value(&key, value.clone()),
            Some(chunk),
            "{value}"
        );
    }
    let key = Key::Chunk("j-1".into(), 0);
    for compact in [
        "x",
        "=",
        "=-1",
        "+999999999",
        "a:b:c",
        "a:1!0",
        "a:1*x",
        "é",
    ] {
        let value = serde_json::json!({"z": compact});
        assert_eq!(Record::from_value(&key, value), None, "{compact}");
    }
}

#[test]
fn every_record_at_its_largest_fits_into_2_kib() {
    let max_bytes = 2 * 1024;
    let assert_fits = |description: &str, record: Record| {
        let bytes = formats::stored_bytes(&record, formats::LATEST);
        assert!(bytes <= max_bytes, "{description}: {bytes} bytes");
    };
    let long_name = |n: usize| "x".repeat(n);
    let spec = JobSpec {
        class: long_name(200),
        team: long_name(200),
        image: long_name(200),
        dependencies: (0..36).map(|i| format!("j-{i:018}")).collect(),
        ..job("j-123456789012345678", 100_000)
    };
    let job = |spec| JobRecord {
        phase: JobPhase::Open,
        tasks: 100_000,
        tasks_per_chunk: 100,
        accepted_at: START_TIME_MS,
        ended_at: 0,
        spec: Some(Box::new(spec)),
    };
    assert_fits("a job with the longest names", Record::Job(job(spec)));
    let mut typical = dependent_job("j-000001", 100, &[]);
    typical.dependencies = (0..130).map(|i| format!("j-{i:06}")).collect();
    assert_fits("a job with 130 dependencies", Record::Job(job(typical)));
    let mut machine = MachineRecord::new(
        &long_name(200),
        &long_name(200),
        true,
        MachinePhase::Up,
        START_TIME_MS,
    );
    machine.address = long_name(100);
    machine.faults = vec!["j-123456789012345678".into(); MACHINE_FAULTS_MAX];
    assert_fits("a machine", Record::Machine(machine));
    let instances = (0..PROVISION_MAX_INSTANCES).map(|i| format!("n-{:06}", 999_000 + i));
    let instance_request = InstanceRequestRecord {
        type_name: long_name(200),
        zone: long_name(200),
        spot: true,
        count: PROVISION_MAX_INSTANCES,
        controller: long_name(60),
        created_at: START_TIME_MS,
        instances: Some(instances.collect()),
    };
    assert_fits(
        "an instance request",
        Record::InstanceRequest(instance_request),
    );
    let zones = (0..60).map(|i| (format!("zone-{i:04}"), 100_000));
    let zones = ZoneSpreadRecord {
        zones: zones.collect(),
    };
    assert_fits("a zone spread over 60 zones", Record::ZoneSpread(zones));
    let refused: BTreeMap<_, _> = (0..40)
        .map(|i| {
            (
                offer_key(&format!("type-{i:04}"), "capital", true),
                START_TIME_MS,
            )
        })
        .collect();
    assert_fits(
        "the provisioning record",
        Record::Provisioning(ProvisioningRecord {
            next_request_number: 9,
            refused,
        }),
    );
    let tasks = |n: u32| {
        let assignment = |i: u32| Assignment {
            machine: format!("n-{:06}", 1_000 + i * 37),
            attempt: 100_000 + i as u64 * 531,
            reply_start: Some((1 + i as u64 % 3, 1_000 + i as u64).into()),
            direct_start: None,
            stop_reason: Some("preempted".into()),
        };
        let assigned = (0..n).map(|i| TaskState::Assigned(assignment(i)));
        assigned.collect::<Vec<_>>()
    };
    let chunk = |n: u32| ChunkRecord {
        tasks: tasks(n),
        team: "franquicias".into(),
        failed_on: vec!["n-000231".into(); FAULTY_JOB_MIN_MACHINES],
        pause_until: START_TIME_MS,
        ..ChunkRecord::default()
    };
    let n = formats::tasks_per_chunk(formats::LATEST, max_bytes as u64);
    assert!(n > 80, "{n} tasks of a new job");
    assert_fits(
        "a chunk whose tasks are all assigned and to be stopped",
        Record::Chunk(chunk(n)),
    );
}

#[test]
fn a_chunk_is_never_claimed_beyond_what_can_be_written() {
    // Machine names without a common prefix need the most space.
    let limit = 2 * 1024;
    for format in [formats::OLDEST, formats::LATEST] {
        let mut chunk = ChunkRecord {
            tasks: vec![TaskState::Pending; 100],
            team: "blue".into(),
            ..ChunkRecord::default()
        };
        let mut assigned = 0;
        for i in 0..100usize {
            let machine = format!("{}{}", (b'a' + (i % 26) as u8) as char, "y".repeat(i % 30));
            if !formats::fits_another_assignment(&chunk, &machine, format, limit) {
                break;
            }
            chunk.tasks[i] = TaskState::Assigned(Assignment {
                machine,
                attempt: 1_000_000 - i as u64 * 7_919,
                reply_start: None,
                direct_start: Some((1, 1).into()),
                stop_reason: None,
            });
            assigned += 1;
        }
        // Each task then gets a new start and a stop reason.
        for task in &mut chunk.tasks {
            if let TaskState::Assigned(assignment) = task {
                (assignment.reply_start, assignment.direct_start) = (Some((2, 1_234).into()), None);
                assignment.stop_reason = Some("preempted".into());
            }
        }
        let bytes = formats::stored_bytes(&Record::Chunk(chunk), format) as u64;
        assert!(
            bytes <= limit,
            "format {format}: {assigned} assignments take {bytes} bytes"
        );
        assert!(assigned > 15, "format {format}: {assigned} assignments");
    }
}
