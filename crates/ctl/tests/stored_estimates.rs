//! Reads run times from a state store: pages, throttling, damaged records, and other servers.

use glenmount_core::state::{Key, Record, RunTimesRecord};
use glenmount_runtime_estimates::estimator::class_id;
use glenmount_runtime_estimates::history::{History, RunBatch};
use glenmount_runtime_estimates::{Run, RunOutcome};
use glenmountctl::estimates::StoredHistories;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;

/// Starts a server that answers requests in turn and returns their first lines.
fn start_server(responses: Vec<(u16, String)>) -> (String, std::thread::JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server = std::thread::spawn(move || {
        let mut requests = Vec::new();
        for (status, body) in responses {
            let (mut stream, _) = listener.accept().unwrap();
            let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
            requests.push(lines.next().unwrap().unwrap());
            while lines.next().is_some_and(|l| !l.unwrap().is_empty()) {}
            let length = body.len();
            let head = format!("HTTP/1.1 {status} X\r\nconnection: close\r\n");
            write!(stream, "{head}content-length: {length}\r\n\r\n{body}").unwrap();
        }
        requests
    });
    (address, server)
}

fn run_times_item(class: &str, jobs: u32) -> serde_json::Value {
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
fn all_pages_are_read_throttled_requests_retried_and_damaged_records_counted() {
    let mut damaged = run_times_item("c", 3);
    damaged["v"]["n"] = 77.into();
    let first =
        serde_json::json!({"items": [run_times_item("a", 12), damaged], "more": true, "epoch": 9});
    let second = serde_json::json!({"items": [run_times_item("b", 2)], "more": false, "epoch": 9});
    let (address, server) = start_server(vec![
        (200, first.to_string()),
        (503, String::new()),
        (200, second.to_string()),
    ]);
    let stored = StoredHistories::read(&address).unwrap();
    assert_eq!((stored.readable.len(), stored.damaged), (2, 1));
    let requests = server.join().unwrap();
    let last = Key::RunTimes(class_id("red", "c")).path();
    assert!(
        requests[1].contains(&format!("since={last}")),
        "{requests:?}"
    );
    let summary = stored.readable[0].summary();
    assert!(
        (55.0..65.0).contains(&summary.median_s) && summary.runs == 12,
        "{summary:?}"
    );
    assert!((summary.owner_bias.unwrap().exp() - 2.0).abs() < 0.01);
    let rows = stored.readable[0].run_records();
    assert_eq!(rows.len(), 12);
    assert!(rows
        .iter()
        .all(|r| r.check().is_ok() && (r.run_time_s - 60.0).abs() < 0.1));
    assert!(rows.windows(2).all(|r| r[0].start_ms < r[1].start_ms));
}

#[test]
fn other_servers_are_reported_with_their_address() {
    let (address, server) = start_server(vec![(404, String::new())]);
    let error = StoredHistories::read(&address).unwrap_err().to_string();
    assert!(error.contains(&address) && error.contains("404"), "{error}");
    server.join().unwrap();
    let (address, server) = start_server(vec![(200, "<html>".into())]);
    let error = StoredHistories::read(&address).unwrap_err().to_string();
    assert!(error.contains("not the state service's answer"), "{error}");
    server.join().unwrap();
}
