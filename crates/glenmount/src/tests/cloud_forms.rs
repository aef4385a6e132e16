//! Compares requests to the cloud and the interpretation of its responses with samples.

use super::{check_lines, in_time, listener, respond_once};
use crate::cloud_client::{self, CloudRequest};
use glenmount_core::controller::{CloudOperation, CloudResponse, Event};
use glenmount_core::model::CloudInstanceState;
use tokio::sync::mpsc;

fn operation(name: &str) -> CloudOperation {
    let provision = |spot, count| CloudOperation::Provision {
        name: "h-00000007-\"é\"".into(),
        type_name: "g8".into(),
        zone: "a".into(),
        spot,
        count,
    };
    match name {
        "types" => CloudOperation::Types,
        "rental" => provision(false, 1),
        "rental of spot machines" => provision(true, u32::MAX),
        "deletion" => CloudOperation::Delete {
            machines: vec!["n-1".into(), "n-\"2\"".into()],
        },
        "deletion of none" => CloudOperation::Delete {
            machines: Vec::new(),
        },
        "list" => CloudOperation::List { after: None },
        "rest of a list" => CloudOperation::List {
            after: Some("n-000231".into()),
        },
        other => panic!("no such operation: {other}"),
    }
}

/// Formats a response as in the samples.
fn format_response(response: CloudResponse) -> String {
    match response {
        CloudResponse::Types(machine_types) => {
            let json = serde_json::to_value(&machine_types).expect("JSON");
            format!("types {json}")
        }
        CloudResponse::Provisioned(names) => format!("rented {names:?}"),
        CloudResponse::NoCapacity => "no capacity".to_string(),
        CloudResponse::Deleted => "deleted".to_string(),
        CloudResponse::Failed => "failed".to_string(),
        CloudResponse::Instances { instances, more } => {
            let instances = instances.iter().map(|instance| {
                let state = match instance.state {
                    CloudInstanceState::Booting => "booting",
                    CloudInstanceState::Running => "running",
                    CloudInstanceState::Failed => "failed",
                };
                format!(
                    "[{:?} at {:?}, type {:?}, zone {:?}, spot {}, {state}, {:?} s old]",
                    instance.name,
                    instance.address,
                    instance.type_name,
                    instance.zone,
                    instance.spot,
                    instance.age_s
                )
            });
            format!("machines {}, more {more}", instances.collect::<String>())
        }
    }
}

/// Executes an operation against a server with this response. Returns the request and the outcome.
async fn execute(name: &str, status: &str, body: &str) -> (String, String) {
    let listener = listener().await;
    let connection = cloud_client::connection(listener.local_addr().expect("an address"));
    let (core, mut events) = mpsc::channel(1);
    let (request_sender, requests) = mpsc::channel(1);
    tokio::spawn(cloud_client::run(connection, 1_000.0, requests, core));
    let request = CloudRequest {
        operation_id: 17,
        operation: operation(name),
    };
    assert!(request_sender.send(request).await.is_ok());
    let request = in_time(respond_once(&listener, status, body)).await;
    match in_time(events.recv()).await {
        Some(Event::Cloud {
            operation_id: 17,
            response,
        }) => (request, format_response(response)),
        other => panic!("not the cloud's response: {other:?}"),
    }
}

#[tokio::test]
async fn cloud_requests_have_the_published_form() {
    let sample = include_str!("../../tests/samples/cloud_requests.tsv");
    check_lines("cloud_requests.tsv", sample, |columns| async move {
        execute(columns[0], "500", "").await.0
    })
    .await;
}

#[tokio::test]
async fn cloud_responses_are_interpreted_by_status_and_request() {
    let sample = include_str!("../../tests/samples/cloud_answers.tsv");
    check_lines("cloud_answers.tsv", sample, |columns| async move {
        execute(columns[0], columns[1], columns[2]).await.1
    })
    .await;
}
