//! Stories of a rolling upgrade: controllers of the version before format 2 beside new ones, on the same
//! records, and the state service's limits falling afterwards. The world lets old controllers see and
//! write only the shapes they know, and checks that until all are new nothing else is written.

use glenmount_core::constants::*;
use glenmount_core::controller::*;
use glenmount_core::model::*;
use glenmount_core::state::formats::{self, FormatRecord};
use glenmount_core::state::*;
use glenmount_simulation::*;
use rand::Rng;
use serde_json::Value;
use std::collections::BTreeMap;

fn phase(sim: &Simulation, id: &str, phase: JobPhase) -> bool {
    sim.job_phase(id) == Some(phase)
}

fn upgraded(sim: &Simulation) -> bool {
    let formats = sim
        .state
        .records
        .keys()
        .filter(|k| matches!(k, Key::Format(_)));
    formats.count() == sim.controllers.len()
}

/// Upgrades one controller after another, `gap` milliseconds apart.
fn roll(sim: &mut Simulation, gap: u64) {
    for n in 0..sim.controllers.len() {
        sim.upgrade(n, 2_000);
        sim.run(gap);
    }
    sim.run_until(10_000, "upgraded", upgraded);
}

#[test]
fn work_goes_on_through_a_roll_with_crashes_back_to_old_between() {
    for seed in 0..6 {
        let mut sim = Simulation::previous_version(seed, 3, 6);
        sim.run(4_000);
        let r = sim.submit(0, service("j-1", 3));
        sim.await_answer(r);
        for i in 2..8 {
            let r = sim.submit(i % 3, job(&format!("j-{i}"), 4));
            sim.await_answer(r);
        }
        sim.upgrade(0, 2_000);
        sim.run(9_000);
        // Not its turn yet: it comes back old.
        sim.crash(2, 2_000);
        sim.run(9_000);
        let r = sim.submit(0, dependent_job("j-8", 1, &["j-2"]));
        assert!(
            matches!(sim.await_answer(r), UserReply::RetryAfter { after_s } if after_s > 1),
            "an old node would start it at once"
        );
        sim.upgrade(1, 2_000);
        sim.run(1_000);
        sim.crash(1, 2_000);
        sim.run(9_000);
        assert!(!upgraded(&sim));
        sim.upgrade(2, 2_000);
        sim.run_until(15_000, "upgraded", upgraded);
        sim.run(500);
        assert_eq!(sim.running("j-1"), 3, "services stay up");
        let r = sim.submit(1, dependent_job("j-8", 1, &["j-2"]));
        assert!(matches!(sim.await_answer(r), UserReply::Accepted { .. }));
        sim.lower_limits();
        sim.run_until(60_000, "done", |sim| {
            (2..9).all(|i| phase(sim, &format!("j-{i}"), JobPhase::Done))
        });
        assert_eq!(
            (sim.metrics.starts, sim.state.too_large),
            (3 + 24 + 1, 0),
            "seed {seed}"
        );
        sim.check_records();
    }
}

/// A world in which old controllers have stored a chunk of 100 tasks with 80 assignments: twice the size
/// that a value may have later.
fn with_a_large_chunk(seed: u64) -> Simulation {
    let mut sim = Simulation::previous_version(seed, 3, 40);
    sim.settings.idle_return_ms = 3_600_000;
    sim.cloud.capacity = 0;
    sim.run(4_000);
    sim.workload.run_ms = 25_000;
    sim.submit(0, job("j-1", 100));
    sim.run_until(10_000, "80 run", |sim| sim.running("j-1") == 80);
    let (chunk, _) = &sim.state.records[&Key::Chunk("j-1".into(), 0)];
    let bytes = formats::stored_bytes(chunk, formats::OLDEST) as u64;
    assert!(bytes > 3 * 1024, "{bytes} bytes");
    sim
}

#[test]
fn a_large_chunk_of_the_old_version_is_completed_after_the_limits_have_fallen() {
    for seed in 0..4 {
        let mut sim = with_a_large_chunk(seed);
        roll(&mut sim, 9_000);
        sim.lower_limits();
        sim.run_until(90_000, "done", |sim| phase(sim, "j-1", JobPhase::Done));
        assert_eq!((sim.metrics.starts, sim.state.too_large), (100, 0));
        sim.check_records();
    }
}

#[test]
fn results_of_a_large_chunk_are_recorded_while_both_versions_serve() {
    let mut sim = with_a_large_chunk(9);
    sim.upgrade(0, 2_000);
    sim.run(9_000);
    sim.upgrade(1, 2_000);
    sim.run(9_000);
    // The last old controller stays away: its peers record what ends meanwhile.
    sim.crash(2, 60_000);
    sim.run_until(40_000, "all have started", |sim| sim.metrics.starts == 100);
    sim.run_until(45_000, "done", |sim| phase(sim, "j-1", JobPhase::Done));
    assert!(!upgraded(&sim));
    assert_eq!(sim.state.too_large, 0);
    sim.check_records();
}

#[test]
fn a_large_chunk_is_cancelled_and_its_tasks_stopped_after_the_limits_have_fallen() {
    let mut sim = with_a_large_chunk(5);
    sim.workload.run_ms = 3_600_000;
    roll(&mut sim, 9_000);
    sim.lower_limits();
    // First some are stopped for work of higher rank, each with a reason on record.
    let urgent = JobSpec {
        priority: JobPriority::High,
        ..job("j-2", 10)
    };
    sim.submit(1, urgent);
    sim.run_until(15_000, "room is made", |sim| sim.running("j-2") == 10);
    let r = sim.cancel(2, "j-1");
    sim.await_answer(r);
    sim.run_until(30_000, "gone", |sim| {
        sim.running("j-1") == 0 && !sim.state.records.contains_key(&Key::Chunk("j-1".into(), 0))
    });
    assert_eq!(sim.state.too_large, 0);
    sim.check_records();
}

#[test]
fn the_last_old_node_stores_a_large_chunk_a_moment_before_it_ends() {
    let mut sim = Simulation::previous_version(3, 3, 40);
    sim.settings.idle_return_ms = 3_600_000;
    sim.cloud.capacity = 0;
    sim.run(4_000);
    sim.workload.run_ms = 25_000;
    for n in [0, 1] {
        sim.upgrade(n, 2_000);
        sim.run(9_000);
    }
    sim.submit(2, job("j-1", 100));
    sim.run_until(15_000, "most run", |sim| sim.running("j-1") > 60);
    sim.upgrade(2, 2_000);
    sim.run_until(10_000, "upgraded", upgraded);
    sim.lower_limits();
    sim.run_until(120_000, "done", |sim| phase(sim, "j-1", JobPhase::Done));
    assert_eq!(sim.state.too_large, 0);
    sim.check_records();
}

#[test]
fn a_record_that_the_state_service_refuses_holds_up_no_other() {
    // Its limits are smaller than announced: so many assignments at once don't fit.
    let mut sim = Simulation::new(7, 2, 82);
    sim.settings.idle_return_ms = 3_600_000;
    sim.settings.max_value_bytes = 2 * 1024;
    sim.cloud.capacity = 0;
    sim.run(4_000);
    sim.state.limits = Some(TransactionLimits {
        max_value_bytes: 420,
        changes: 16,
    });
    let mut spec = job("j-1", 80);
    spec.resources.cpus = 4_000;
    let r = sim.submit(0, spec);
    sim.await_answer(r);
    sim.run(1_000);
    let r = sim.submit(1, job("j-2", 1));
    sim.await_answer(r);
    sim.run_until(20_000, "the other is done", |sim| {
        phase(sim, "j-2", JobPhase::Done)
    });
    sim.run(60_000);
    assert!(
        (1..20).contains(&sim.state.too_large),
        "{} tries",
        sim.state.too_large
    );
    sim.state.limits = None;
    sim.run_until(90_000, "done after all", |sim| {
        phase(sim, "j-1", JobPhase::Done)
    });
}

/// As the version before format 2 writes them.
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
fn what_the_old_version_stored_is_read_and_written_back_the_same() {
    for (path, text) in SAMPLES {
        let key = Key::parse(path).unwrap();
        let value: Value = serde_json::from_str(text).unwrap();
        let record = Record::read(&key, value.clone()).expect(path);
        let text = Record::read_text(&key, &value.to_string());
        assert_eq!(text.as_ref(), Some(&record), "{path}: from its text");
        assert_eq!(record.value(formats::OLDEST), value, "{path}");
        assert_eq!(
            previous_version::value(&key, value.clone()),
            Some(value),
            "{path}"
        );
        // In the latest format it says the same.
        let again = Record::read(&key, record.value(formats::LATEST));
        assert_eq!(again, Some(record), "{path}");
    }
}

#[test]
fn what_the_old_version_makes_of_new_records() {
    // Reasons for waiting until all are new: it drops whom a job awaits, and can't read a compact
    // chunk. A key of a kind it does not know it passes over.
    let mut spec = dependent_job("j-000414", 1, &["j-000412"]);
    spec.dependencies.push("j-000413".into());
    let record = Record::Job(JobRecord {
        phase: JobPhase::Open,
        tasks: 1,
        chunk: 1,
        at: 0,
        ended: 0,
        spec: Some(Box::new(spec)),
    });
    let key = Key::Job("j-000414".into());
    let back = previous_version::value(&key, record.value(formats::LATEST)).unwrap();
    assert!(back["spec"].get("awaits").is_none());
    let key = Key::parse(SAMPLES[2].0).unwrap();
    let chunk = Record::read(&key, serde_json::from_str(SAMPLES[2].1).unwrap()).unwrap();
    assert_eq!(
        previous_version::value(&key, chunk.value(formats::LATEST)),
        None
    );
    let compact = chunk.value(formats::LATEST)["z"].to_string();
    assert_eq!(compact, r#""=1 +1 1:0:d1.7 2:0!0""#);
    // Kept as written, should the way of writing change.
    let text = r#"{"i":0,"z":"=1 +1 1:0:d1.7 2:0!0","m":"n-00023","a":41,"s":"s2.88","x":["preempted"],"o":"hub","u":{"c":2000,"g":0,"r":3200},"f":["n-000230"],"n":1,"p":1700000001000}"#;
    let read = Record::read(&key, serde_json::from_str(text).unwrap());
    assert_eq!(read, Some(chunk));
    let format = Key::Format("a node".into());
    assert_eq!(Key::parse(&format.path()), Some(format.clone()));
    let record = Record::Format(FormatRecord { version: 2 });
    assert_eq!(Record::read(&format, record.value(2)), Some(record));
}

#[test]
fn a_compact_chunk_reads_back_whatever_it_holds() {
    use rand::SeedableRng;
    let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
    let names = ["n-000231", "n-000232", "n-1", "", "a b:c*2!~", "=3", "é"];
    for _ in 0..2_000 {
        let mut pair = |most: u64| {
            let some = rng.gen_bool(0.5);
            some.then(|| (rng.gen_range(0..most), rng.gen_range(0..u64::MAX)))
        };
        let (reply_start, direct_start) = (pair(3), pair(u64::MAX));
        let tasks = (0..rng.gen_range(0..30))
            .map(|_| match rng.gen_range(0..4) {
                0 => TaskState::Pending,
                1 => TaskState::Done,
                n => TaskState::Assigned(Assignment {
                    machine: names[rng.gen_range(0..names.len())].into(),
                    attempt: [5, 5, 77, u64::MAX][rng.gen_range(0..4)],
                    reply_start: reply_start.filter(|_| n == 2).map(Into::into),
                    direct_start: direct_start.map(Into::into),
                    stop: rng.gen_bool(0.2).then(|| "preempted".to_string()),
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
        assert_eq!(Record::read(&key, value.clone()), Some(chunk), "{value}");
    }
    let key = Key::Chunk("j-1".into(), 0);
    for z in [
        "x",
        "=",
        "=-1",
        "+999999999",
        "a:b:c",
        "a:1!0",
        "a:1*x",
        "é",
    ] {
        let value = serde_json::json!({"z": z});
        assert_eq!(Record::read(&key, value), None, "{z}");
    }
}

#[test]
fn every_kind_of_record_at_its_greatest_fits_into_2_kib() {
    let most = 2 * 1024;
    let fits = |what: &str, record: Record| {
        let bytes = formats::stored_bytes(&record, formats::LATEST);
        assert!(bytes <= most, "{what}: {bytes} bytes");
    };
    let long = |n: usize| "x".repeat(n);
    let spec = JobSpec {
        class: long(200),
        team: long(200),
        image: long(200),
        dependencies: (0..36).map(|i| format!("j-{i:018}")).collect(),
        ..job("j-123456789012345678", 100_000)
    };
    let job = |spec| JobRecord {
        phase: JobPhase::Open,
        tasks: 100_000,
        chunk: 100,
        at: START_TIME_MS,
        ended: 0,
        spec: Some(Box::new(spec)),
    };
    fits("a job with the longest names", Record::Job(job(spec)));
    let mut usual = dependent_job("j-000001", 100, &[]);
    usual.dependencies = (0..130).map(|i| format!("j-{i:06}")).collect();
    fits("a job that awaits 130 others", Record::Job(job(usual)));
    let mut machine = MachineRecord::new(
        &long(200),
        &long(200),
        true,
        MachinePhase::Up,
        START_TIME_MS,
    );
    machine.address = long(100);
    machine.faults = vec!["j-123456789012345678".into(); FAULTS_KEPT];
    fits("a machine", Record::Machine(machine));
    let instances = (0..PROVISION_MAX_INSTANCES).map(|i| format!("n-{:06}", 999_000 + i));
    let instance_request = InstanceRequestRecord {
        type_name: long(200),
        zone: long(200),
        spot: true,
        count: PROVISION_MAX_INSTANCES,
        controller: long(60),
        at: START_TIME_MS,
        instances: Some(instances.collect()),
    };
    fits("a rental", Record::InstanceRequest(instance_request));
    let zones = (0..60).map(|i| (format!("zone-{i:04}"), 100_000));
    let zones = ZoneSpreadRecord {
        zones: zones.collect(),
    };
    fits("places in 60 zones", Record::ZoneSpread(zones));
    let refused: BTreeMap<_, _> = (0..40)
        .map(|i| {
            (
                offer_key(&format!("type-{i:04}"), "capital", true),
                START_TIME_MS,
            )
        })
        .collect();
    fits(
        "the fleet",
        Record::Provisioning(ProvisioningRecord { next: 9, refused }),
    );
    let tasks = |n: u32| {
        let assignment = |i: u32| Assignment {
            machine: format!("n-{:06}", 1_000 + i * 37),
            attempt: 100_000 + i as u64 * 531,
            reply_start: Some((1 + i as u64 % 3, 1_000 + i as u64).into()),
            direct_start: None,
            stop: Some("preempted".into()),
        };
        let assigned = (0..n).map(|i| TaskState::Assigned(assignment(i)));
        assigned.collect::<Vec<_>>()
    };
    let chunk = |n: u32| ChunkRecord {
        tasks: tasks(n),
        team: "franquicias".into(),
        failed_on: vec!["n-000231".into(); FAULTY_MACHINES],
        pause_until: START_TIME_MS,
        ..ChunkRecord::default()
    };
    let n = formats::chunk_tasks(formats::LATEST, most as u64);
    assert!(n > 80, "{n} tasks of a new job");
    fits(
        "a chunk, all booked and to be stopped",
        Record::Chunk(chunk(n)),
    );
}

#[test]
fn a_chunk_is_never_claimed_beyond_what_can_still_be_written() {
    // Names that have nothing in common take the most room.
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
            if !formats::takes_one_more(&chunk, &machine, format, limit) {
                break;
            }
            chunk.tasks[i] = TaskState::Assigned(Assignment {
                machine,
                attempt: 1_000_000 - i as u64 * 7_919,
                reply_start: None,
                direct_start: Some((1, 1).into()),
                stop: None,
            });
            assigned += 1;
        }
        // Then each is armed anew, and is to be stopped.
        for task in &mut chunk.tasks {
            if let TaskState::Assigned(b) = task {
                (b.reply_start, b.direct_start) = (Some((2, 1_234).into()), None);
                b.stop = Some("preempted".into());
            }
        }
        let bytes = formats::stored_bytes(&Record::Chunk(chunk), format) as u64;
        assert!(
            bytes <= limit,
            "format {format}: {assigned} make {bytes} bytes"
        );
        assert!(assigned > 15, "format {format}: {assigned}");
    }
}

#[test]
fn a_roll_among_random_mishaps_breaks_no_rule() {
    let mut starts = 0;
    for seed in 0..10 {
        let mut sim = Simulation::previous_version(3_000 + seed, 3, 6);
        sim.cloud.capacity = 4;
        sim.run(4_000);
        sim.network.faults = FaultRates {
            transaction_answer_lost: 0.03,
            transaction_late: 0.03,
            answer_slow: 0.05,
            heartbeat_lost: 0.03,
            reply_lost: 0.03,
            cloud_answer_lost: 0.1,
            command_lost: 0.05,
            command_late: 0.05,
            ..FaultRates::default()
        };
        let mut jobs: Vec<String> = Vec::new();
        let mut turn = 0;
        for step in 0..120 {
            let n = sim.rng.gen_range(0..3);
            match sim.rng.gen_range(0..12) {
                0..=3 => {
                    let mut spec = job(&format!("j-{step}"), sim.rng.gen_range(1..6));
                    for _ in 0..sim.rng.gen_range(0..3) {
                        if !jobs.is_empty() && upgraded(&sim) {
                            spec.dependencies
                                .push(jobs[sim.rng.gen_range(0..jobs.len())].clone());
                        }
                    }
                    spec.dependencies.sort();
                    spec.dependencies.dedup();
                    spec.spot = sim.rng.gen_bool(0.5);
                    spec.topology_spread = sim.rng.gen_bool(0.2);
                    if sim.rng.gen_bool(0.4) {
                        spec.team = "blue".into();
                    }
                    let r = sim.submit(n, spec.clone());
                    sim.run(400);
                    // Only accepted jobs are named.
                    let accepted = |sim: &Simulation| {
                        sim.state.records.contains_key(&Key::Job(spec.id.clone()))
                    };
                    if sim.answers.contains_key(&r) && accepted(&sim) {
                        jobs.push(spec.id);
                    }
                }
                4 if !jobs.is_empty() => {
                    let id = jobs[sim.rng.gen_range(0..jobs.len())].clone();
                    sim.cancel(n, &id);
                }
                5 => sim.crash(n, 4_000),
                6 => sim.controllers[n].cut_from_state = !sim.controllers[n].cut_from_state,
                7 => sim.state.is_down = !sim.state.is_down,
                8 => sim.pause(n, 5_000),
                9 if turn < 3 && step > 20 => {
                    sim.upgrade(turn, 4_000);
                    turn += 1;
                }
                _ => {
                    for id in jobs.clone() {
                        let n = sim.rng.gen_range(0..3);
                        sim.status(n, &id);
                    }
                }
            }
            if upgraded(&sim) && sim.rng.gen_bool(0.1) {
                sim.lower_limits();
            }
            let pause = sim.rng.gen_range(100..2_000);
            sim.run(pause);
            if sim.rng.gen_bool(0.3) {
                sim.heal_all();
            }
        }
        sim.network.faults = FaultRates::default();
        sim.heal_all();
        sim.cloud.capacity += 6;
        for n in turn..3 {
            sim.upgrade(n, 1_000);
        }
        sim.run_until(30_000, "upgraded", upgraded);
        sim.lower_limits();
        let over = |sim: &Simulation| jobs.iter().all(|id| !phase(sim, id, JobPhase::Open));
        sim.run_until(400_000, "all end", over);
        sim.run(3_000);
        sim.check_records();
        // A seed may draw few jobs; none draws hardly any, and together they start many.
        let tasks: u32 = jobs.iter().map(|id| sim.job_specs[id].tasks).sum();
        let drawn = format!("seed {seed}: {} starts, {tasks} tasks", sim.metrics.starts);
        assert!(
            sim.metrics.starts > 10 && sim.metrics.starts * 2 >= tasks,
            "{drawn}"
        );
        starts += sim.metrics.starts;
    }
    assert!(starts > 400, "{starts} starts");
}
