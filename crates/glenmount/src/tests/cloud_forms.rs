//! Requests to the cloud and its answers.

use super::{answer_once, check_lines, in_time, listener};
use crate::cloud_client::{self, CloudRequest};
use glenmount_core::controller::{CloudOperation, CloudResponse, Event};
use glenmount_core::model::CloudInstanceState;
use tokio::sync::mpsc;

fn operation(name: &str) -> CloudOperation {
    let rental = |spot, count| CloudOperation::Provision {
        name: "h-00000007-\"é\"".into(),
        type_name: "g8".into(),
        zone: "a".into(),
        spot,
        count,
    };
    match name {
        "types" => CloudOperation::Types,
        "rental" => rental(false, 1),
        "rental of spot machines" => rental(true, u32::MAX),
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

fn show(answer: CloudResponse) -> String {
    match answer {
        CloudResponse::Types(machine_types) => {
            let stored = serde_json::to_value(&machine_types).expect("JSON");
            format!("types {stored}")
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

async fn asked(name: &str, status: &str, body: &str) -> (String, String) {
    let listener = listener().await;
    let connection = cloud_client::connection(listener.local_addr().expect("an address"));
    let (core, mut events) = mpsc::channel(1);
    let (request_sender, requests) = mpsc::channel(1);
    tokio::spawn(cloud_client::run(connection, 1_000.0, requests, core));
    let request = CloudRequest {
        token: 17,
        operation: operation(name),
    };
    assert!(request_sender.send(request).await.is_ok());
    let request = in_time(answer_once(&listener, status, body)).await;
    match in_time(events.recv()).await {
        Some(Event::Cloud {
            operation_id: 17,
            response: answer,
        }) => (request, show(answer)),
        other => panic!("not the cloud's answer: {other:?}"),
    }
}

#[tokio::test]
async fn the_cloud_is_asked_as_published() {
    let sample = include_str!("../../tests/samples/cloud_requests.tsv");
    check_lines("cloud_requests.tsv", sample, |columns| async move {
        asked(columns[0], "500", "").await.0
    })
    .await;
}

#[tokio::test]
async fn answers_of_the_cloud_are_read_by_status_and_request() {
    let sample = include_str!("../../tests/samples/cloud_answers.tsv");
    check_lines("cloud_answers.tsv", sample, |columns| async move {
        asked(columns[0], columns[1], columns[2]).await.1
    })
    .await;
}
