//! Compares requests to the state store and the interpretation of its responses with samples. Tests of the core
//! cover the text of transactions.

use super::{check_lines, in_time, listener, respond_once};
use crate::state_client::{self, watch, Rates, StateRequest};
use glenmount_core::controller::{Event, RequestClass, StateOperation, StateResponse};
use glenmount_core::state::formats::LATEST;
use glenmount_core::state::{CasTransaction, Key, Record};
use tokio::sync::mpsc;
use tokio::time::Instant;

fn key(path: &str) -> Key {
    Key::parse(path).expect("a key")
}

fn operation(name: &str) -> StateOperation {
    match name {
        "transaction" => {
            let record = Record::parse(&key("g/term"), "{\"term\":3}");
            StateOperation::Transaction(CasTransaction {
                conditions: vec![(key("g/term"), 17), (key("g/settled"), 0)],
                changes: vec![
                    (key("g/term"), Some(record.expect("a record"))),
                    (key("g/place/j-1"), None),
                ],
                format: LATEST,
            })
        }
        "read of the revision" => StateOperation::ReadIndex,
        "list" => StateOperation::List { after: None },
        "rest of a list" => StateOperation::List {
            after: Some("g/machine/n-1".into()),
        },
        other => panic!("no such operation: {other}"),
    }
}

/// Formats a record as in the samples.
fn format_record(key: &Key, mod_revision: u64, record: Option<&Record>) -> String {
    let value = record.map_or("removed".to_string(), |r| r.value(LATEST).to_string());
    format!("[{} {mod_revision} {value}]", key.path())
}

/// Formats a response as in the samples.
fn format_response(response: &StateResponse) -> String {
    match response {
        StateResponse::Committed { revision } => format!("committed at {revision}"),
        StateResponse::Conflict { revision } => format!("conflict at {revision}"),
        StateResponse::ReadIndex { revision } => format!("revision {revision}"),
        StateResponse::Refused => "refused as malformed".to_string(),
        StateResponse::Unavailable => "not executed".to_string(),
        StateResponse::NoAnswer => "no answer".to_string(),
        StateResponse::Listed {
            items,
            last,
            more,
            revision,
        } => {
            let items = items
                .iter()
                .map(|(key, mod_revision, record)| format_record(key, *mod_revision, Some(record)));
            let items: String = items.collect();
            format!("listed {items}, last {last:?}, more {more}, revision {revision}")
        }
    }
}

/// Executes an operation against a server with this response. Returns the request and the outcome.
async fn execute(name: &str, status: &str, body: &str) -> (String, String) {
    let listener = listener().await;
    let connection = state_client::connection(listener.local_addr().expect("an address"));
    let (core, mut events) = mpsc::channel(1);
    let rates = Rates {
        requests_per_s: 1_000.0,
        changes_per_s: 1_000.0,
    };
    let (request_sender, requests) = mpsc::channel(1);
    tokio::spawn(state_client::run(connection, rates, requests, core));
    let request = StateRequest {
        operation_id: 17,
        operation: operation(name),
        request_class: RequestClass::User,
        queued_at: Instant::now(),
    };
    assert!(request_sender.send(request).await.is_ok());
    let request = in_time(respond_once(&listener, status, body)).await;
    let outcome = loop {
        match in_time(events.recv()).await {
            // May occur on a busy machine; the response follows.
            Some(Event::StateTimeout { operation_id: 17 }) => {}
            Some(Event::State {
                operation_id: 17,
                response,
            }) => break format_response(&response),
            Some(Event::Throttled) => break "throttled, to be sent again".to_string(),
            other => panic!("not a response: {other:?}"),
        }
    };
    (request, outcome)
}

#[tokio::test]
async fn state_store_requests_have_the_published_form() {
    let sample = include_str!("../../tests/samples/state_requests.tsv");
    check_lines("state_requests.tsv", sample, |columns| async move {
        execute(columns[0], "503", "").await.0
    })
    .await;
}

#[tokio::test]
async fn state_store_responses_are_interpreted_by_status_and_request() {
    let sample = include_str!("../../tests/samples/state_answers.tsv");
    check_lines("state_answers.tsv", sample, |columns| async move {
        execute(columns[0], columns[1], columns[2]).await.1
    })
    .await;
}

/// Opens a watch against a server with this response. Returns the request and the outcome; malformed and failed
/// responses are ignored.
async fn watch_once(status: &str, body: &str) -> (String, String) {
    let listener = listener().await;
    let connection = state_client::connection(listener.local_addr().expect("an address"));
    let (core, mut events) = mpsc::channel(1);
    let (restart_sender, restarts) = mpsc::channel(1);
    tokio::spawn(watch::run(connection, restarts, core));
    restart_sender.send(41).await.expect("a watch");
    let request = in_time(respond_once(&listener, status, body)).await;
    // The watch sends an event before its next request if and only if the response is usable.
    let event = tokio::select! {
        biased;
        event = in_time(events.recv()) => event,
        _ = listener.accept() => return (request, "passed over".to_string()),
    };
    let outcome = match event {
        Some(Event::WatchGap) => "records to be listed anew".to_string(),
        Some(Event::WatchUpdate { revision, changes }) => {
            let changes = changes.iter().map(|(key, mod_revision, record)| {
                format_record(key, *mod_revision, record.as_ref())
            });
            format!("up to {revision} {}", changes.collect::<String>())
        }
        other => panic!("not an event of the watch: {other:?}"),
    };
    (request, outcome)
}

#[tokio::test]
async fn watch_requests_have_the_published_form() {
    let request = watch_once("410", "").await.0;
    assert_eq!(
        request,
        "GET /watch?under=g/&since=41&holdMs=10000 HTTP/1.1|"
    );
}

#[tokio::test]
async fn watch_responses_are_read_or_ignored() {
    let sample = include_str!("../../tests/samples/watch_answers.tsv");
    check_lines("watch_answers.tsv", sample, |columns| async move {
        watch_once(columns[0], columns[1]).await.1
    })
    .await;
}

/// A controller asked for the same changes again and again when they exceeded the size that it reads, and its cache stayed
/// outdated until the store had forgotten them. The protocol sets no limit to a watch response.
#[tokio::test]
async fn a_watch_response_that_is_too_long_leads_to_a_new_list() {
    let padding = " ".repeat(9 << 20);
    let body: &'static str = format!("{padding}{{\"epoch\":43,\"news\":[]}}").leak();
    let (_, outcome) = watch_once("200", body).await;
    assert_eq!(outcome, "records to be listed anew");
}
