//! The client of the cloud. One task sends requests within this controller's share of the cloud's rate limit.

use crate::http_client::{HttpClient, HttpResponse, Resend, ResponseLimits};
use crate::token_bucket::TokenBucket;
use crate::wire::cloud as wire;
use glenmount_core::constants::MACHINE_TYPES_RETRY_MS;
use glenmount_core::controller::{CloudOperation, CloudResponse, Event, OperationId};
use std::net::SocketAddr;
use tokio::sync::mpsc;
use tokio::time::{sleep, Duration};

/// Limits of a response, which usually takes a few hundred milliseconds.
const LIMITS: ResponseLimits = ResponseLimits {
    timeout: Duration::from_millis(4_000),
    max_body_bytes: 1 << 20,
};
const CONNECT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Number of requests that may wait.
pub const QUEUE_CAPACITY: usize = 200;
/// Size of a burst of requests, in seconds at the rate limit.
const BURST_S: f64 = 2.0;
/// Delay before a failed request is reported to the core, which may then retry: this spaces the retries.
const RETRY_DELAY: Duration = Duration::from_millis(MACHINE_TYPES_RETRY_MS);

/// An operation that the core asked for.
pub struct CloudRequest {
    /// Identifies the operation in the event that reports its outcome.
    pub operation_id: OperationId,
    pub operation: CloudOperation,
}

/// Creates a client for the cloud at this address.
pub fn connection(address: SocketAddr) -> HttpClient {
    HttpClient::new(address, CONNECT_TIMEOUT, Resend::OnClosedConnection)
}

/// Sends requests in order as the rate limit allows, and the outcomes to the core, until the sender of
/// `requests` is dropped.
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
        // The response timeout bounds the life of the task.
        tokio::spawn(perform(http.clone(), request, core.clone()));
    }
}

async fn perform(http: HttpClient, request: CloudRequest, core: mpsc::Sender<Event>) {
    let CloudRequest {
        operation_id,
        operation,
    } = request;
    let response = execute(&http, &operation)
        .await
        .unwrap_or(CloudResponse::Failed);
    if response == CloudResponse::Failed {
        tracing::debug!(?operation, "cloud request failed");
        sleep(RETRY_DELAY).await;
    }
    let _ = core
        .send(Event::Cloud {
            operation_id,
            response,
        })
        .await;
}

/// Executes an operation. Returns `None` if there was no response or an unexpected one.
async fn execute(http: &HttpClient, operation: &CloudOperation) -> Option<CloudResponse> {
    match operation {
        CloudOperation::Types => {
            let response = http.get(wire::CATALOG_PATH, LIMITS).await.ok()?;
            wire::read_catalog(&ok_body(response)?).map(CloudResponse::Types)
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
            let body = wire::deletion_request(machines);
            let response = http.post(wire::DELETE_PATH, body, LIMITS).await.ok()?;
            ok_body(response).map(|_| CloudResponse::Deleted)
        }
        CloudOperation::List { after } => {
            let path = wire::instances_page_path(after.as_deref());
            let response = http.get(&path, LIMITS).await.ok()?;
            wire::read_instances(&ok_body(response)?)
        }
    }
}

async fn provision(
    http: &HttpClient,
    request: &wire::ProvisioningRequest<'_>,
) -> Option<CloudResponse> {
    let body = request.to_json();
    let response = http.post(wire::INSTANCES_PATH, body, LIMITS).await;
    let HttpResponse { status, body } = response.ok()?;
    let text = String::from_utf8_lossy(&body);
    match status {
        200 => wire::read_provisioned(&body).map(CloudResponse::Provisioned),
        503 if text.contains(wire::NO_CAPACITY) => Some(CloudResponse::NoCapacity),
        400 => {
            tracing::error!(body = %text, "provisioning request rejected as malformed");
            Some(CloudResponse::NoCapacity)
        }
        _ => None,
    }
}

/// Returns the body of a response with status 200.
fn ok_body(response: HttpResponse) -> Option<Vec<u8>> {
    (response.status == 200).then_some(response.body)
}
