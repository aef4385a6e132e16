//! What is read from a state service: pages, refusals, damage, and what is none.

use glenmount_core::state::{Key, Record, RunTimesRecord};
use glenmount_runtime_estimates::estimator::class_id;
use glenmount_runtime_estimates::history::{History, RunBatch};
use glenmount_runtime_estimates::{Run, RunOutcome};
use glenmountctl::estimates::StoredHistories;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;

/// Answers requests in turn; says what was asked.
fn answering(answers: Vec<(u16, String)>) -> (String, std::thread::JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let served = std::thread::spawn(move || {
        let mut asked = Vec::new();
        for (status, body) in answers {
            let (mut stream, _) = listener.accept().unwrap();
            let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
            asked.push(lines.next().unwrap().unwrap());
            while lines.next().is_some_and(|l| !l.unwrap().is_empty()) {}
            let length = body.len();
            let head = format!("HTTP/1.1 {status} X\r\nconnection: close\r\n");
            write!(stream, "{head}content-length: {length}\r\n\r\n{body}").unwrap();
        }
        asked
    });
    (address, served)
}

fn item(class: &str, jobs: u32) -> serde_json::Value {
    let mut history = History::default();
    for n in 0..jobs {
        let run = Run {
            team: "red".into(),
            class: class.into(),
            image: "i".into(),
            job: format!("j-{n}"),
            owner_estimate_s: 30.0,
            run_time_s: 60.0,
            outcome: RunOutcome::Completed,
        };
        history.add_batch(&RunBatch::from_run(&run));
    }
    let record = RunTimesRecord {
        team: "red".into(),
        class: class.into(),
        updated_at: 1_700_000_000_000,
        packed: history.pack(),
    };
    let key = Key::RunTimes(class_id("red", class)).path();
    serde_json::json!({"k": key, "v": Record::RunTimes(record).value(3), "stamp": 4})
}

#[test]
fn pages_are_followed_refusals_asked_again_and_damage_counted() {
    let mut broken = item("c", 3);
    broken["v"]["n"] = 77.into();
    let first = serde_json::json!({"items": [item("a", 12), broken], "more": true, "epoch": 9});
    let second = serde_json::json!({"items": [item("b", 2)], "more": false, "epoch": 9});
    let (address, served) = answering(vec![
        (200, first.to_string()),
        (503, String::new()),
        (200, second.to_string()),
    ]);
    let stored = StoredHistories::read(&address).unwrap();
    assert_eq!((stored.readable.len(), stored.damaged), (2, 1));
    let asked = served.join().unwrap();
    let last = Key::RunTimes(class_id("red", "c")).path();
    assert!(asked[1].contains(&format!("since={last}")), "{asked:?}");
    let shown = stored.readable[0].summary();
    assert!(
        (55.0..65.0).contains(&shown.median_s) && shown.runs == 12,
        "{shown:?}"
    );
    assert!((shown.owner_bias.unwrap().exp() - 2.0).abs() < 0.01);
    let rows = stored.readable[0].run_records();
    assert_eq!(rows.len(), 12);
    assert!(rows
        .iter()
        .all(|r| r.check().is_ok() && (r.secs - 60.0).abs() < 0.1));
    assert!(rows.windows(2).all(|r| r[0].start_ms < r[1].start_ms));
}

#[test]
fn what_is_no_state_service_is_named_as_such() {
    let (address, served) = answering(vec![(404, String::new())]);
    let error = StoredHistories::read(&address).unwrap_err().to_string();
    assert!(error.contains(&address) && error.contains("404"), "{error}");
    served.join().unwrap();
    let (address, served) = answering(vec![(200, "<html>".into())]);
    let error = StoredHistories::read(&address).unwrap_err().to_string();
    assert!(error.contains("not the state service's answer"), "{error}");
    served.join().unwrap();
}
