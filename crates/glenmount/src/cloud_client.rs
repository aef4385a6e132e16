//! The client of the cloud: one task that owns this controller's share of the cloud's rate.

use crate::http_client::{Answer, AnswerLimits, HttpClient, Resend};
use crate::token_bucket::TokenBucket;
use crate::wire::cloud as wire;
use glenmount_core::constants::MACHINE_TYPES_RETRY_MS;
use glenmount_core::controller::{CloudOperation, CloudResponse, Event, OperationId};
use std::net::SocketAddr;
use tokio::sync::mpsc;
use tokio::time::{sleep, Duration};

/// What an answer may take; the cloud usually needs a few hundred milliseconds.
const LIMITS: AnswerLimits = AnswerLimits {
    timeout: Duration::from_millis(4_000),
    body_bytes: 1 << 20,
};
const CONNECT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Requests that may wait in line.
pub const QUEUE: usize = 200;
/// Seconds' worth of requests that may go at once.
const BURST_S: f64 = 2.0;
/// Time after a failed request until the core is told so. It asks again when it still wants this:
/// this spaces the tries.
const RETRY_PAUSE: Duration = Duration::from_millis(MACHINE_TYPES_RETRY_MS);

/// An operation of the core, and by which token its outcome is known.
pub struct CloudRequest {
    pub token: OperationId,
    pub operation: CloudOperation,
}

/// A client for the cloud at this address.
pub fn connection(address: SocketAddr) -> HttpClient {
    HttpClient::new(address, CONNECT_TIMEOUT, Resend::OnClosedConnection)
}

/// Sends requests in order as the rate allows, and the outcomes to the core, until nobody holds the
/// other end of `requests`.
pub async fn run(
    http: HttpClient,
    requests_per_s: f64,
    mut requests: mpsc::Receiver<CloudRequest>,
    core: mpsc::Sender<Event>,
) {
    let mut rate = TokenBucket::new(requests_per_s, BURST_S);
    while let Some(request) = requests.recv().await {
        let pause = rate.time_until(1.0);
        if !pause.is_zero() {
            sleep(pause).await;
        }
        rate.take(1.0);
        // Ends by itself: each answer has a time limit.
        tokio::spawn(perform(http.clone(), request, core.clone()));
    }
}

async fn perform(http: HttpClient, request: CloudRequest, core: mpsc::Sender<Event>) {
    let CloudRequest { token, operation } = request;
    let answer = execute(&http, &operation)
        .await
        .unwrap_or(CloudResponse::Failed);
    if answer == CloudResponse::Failed {
        tracing::debug!(op = ?operation, "the cloud did not do it");
        sleep(RETRY_PAUSE).await;
    }
    let _ = core
        .send(Event::Cloud {
            operation_id: token,
            response: answer,
        })
        .await;
}

/// Nothing when there was no answer, or not one as published.
async fn execute(http: &HttpClient, operation: &CloudOperation) -> Option<CloudResponse> {
    match operation {
        CloudOperation::Types => {
            let answer = http.get(wire::CATALOG_PATH, LIMITS).await?;
            wire::read_catalog(&ok_body(answer)?).map(CloudResponse::Types)
        }
        CloudOperation::Provision {
            name,
            type_name,
            zone,
            spot,
            count,
        } => {
            let request = wire::ProvisioningRequest {
                idempotency_key: name,
                machine_type: type_name,
                zone,
                is_spot: *spot,
                count: *count,
            };
            provision(http, &request).await
        }
        CloudOperation::Delete { machines } => {
            let body = wire::deprovisioning_request(machines);
            let answer = http.post(wire::DELETE_PATH, body, LIMITS).await?;
            ok_body(answer).map(|_| CloudResponse::Deleted)
        }
        CloudOperation::List { after } => {
            let path = wire::instances_page_path(after.as_deref());
            let answer = http.get(&path, LIMITS).await?;
            wire::read_instances(&ok_body(answer)?)
        }
    }
}

async fn provision(
    http: &HttpClient,
    request: &wire::ProvisioningRequest<'_>,
) -> Option<CloudResponse> {
    let body = request.to_json();
    let Answer { status, body } = http.post(wire::INSTANCES_PATH, body, LIMITS).await?;
    let text = String::from_utf8_lossy(&body);
    match status {
        200 => wire::read_provisioned(&body).map(CloudResponse::Provisioned),
        503 if text.contains(wire::NO_CAPACITY) => Some(CloudResponse::NoCapacity),
        400 => {
            tracing::error!(body = %text, "rental malformed");
            Some(CloudResponse::NoCapacity)
        }
        _ => None,
    }
}

fn ok_body(answer: Answer) -> Option<Vec<u8>> {
    (answer.status == 200).then_some(answer.body)
}
