//! The cloud client: one actor that owns the controller's share of the cloud's rate.

use crate::http_client::HttpClient;
use crate::token_bucket::TokenBucket;
use crate::wire;
use glenmount_core::constants::*;
use glenmount_core::controller::{CloudOperation, CloudResponse, Event, OperationId};
use hyper::Method;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::{sleep, Duration};

/// Time an answer may take; the cloud usually needs a few hundred milliseconds.
const TIMEOUT: Duration = Duration::from_millis(4_000);
const CONNECT: Duration = Duration::from_millis(2_000);
/// Bytes of an answer at most.
const ANSWER_BYTES: usize = 1 << 20;
/// Operations that may wait in line.
const LINE: usize = 200;

async fn execute(http: &HttpClient, op: &CloudOperation) -> CloudResponse {
    let call = |method, path: String, body| async move {
        http.call(method, &path, body, TIMEOUT, ANSWER_BYTES).await
    };
    match op {
        CloudOperation::Types => match call(Method::GET, "/catalog".into(), None).await {
            Some((200, body)) => {
                wire::catalog(&body).map_or(CloudResponse::Failed, CloudResponse::Types)
            }
            _ => CloudResponse::Failed,
        },
        CloudOperation::Provision {
            name,
            type_name,
            zone,
            spot,
            count,
        } => {
            let body = serde_json::to_string(&wire::ProvisioningRequest {
                instance_request: name,
                flavour: type_name,
                yard: zone,
                reclaimable: *spot,
                number: *count,
            });
            match call(Method::POST, "/hosts".into(), body.ok()).await {
                Some((200, body)) => {
                    wire::hired(&body).map_or(CloudResponse::Failed, CloudResponse::Provisioned)
                }
                Some((503, body)) if String::from_utf8_lossy(&body).contains("no capacity") => {
                    CloudResponse::NoCapacity
                }
                Some((400, body)) => {
                    tracing::error!(body = %String::from_utf8_lossy(&body), "rental malformed");
                    CloudResponse::NoCapacity
                }
                _ => CloudResponse::Failed,
            }
        }
        CloudOperation::Delete { machines } => {
            let body = json!({"hosts": machines}).to_string();
            match call(Method::POST, "/hosts/delete".into(), Some(body)).await {
                Some((200, _)) => CloudResponse::Deleted,
                _ => CloudResponse::Failed,
            }
        }
        CloudOperation::List { after } => {
            let since = after
                .as_ref()
                .map_or(String::new(), |a| format!("since={a}&"));
            let path = format!("/hosts?{since}most={INSTANCE_LIST_PAGE}");
            match call(Method::GET, path, None).await {
                Some((200, body)) => match wire::instances(&body) {
                    Some((instances, more)) => CloudResponse::Instances { instances, more },
                    None => CloudResponse::Failed,
                },
                _ => CloudResponse::Failed,
            }
        }
    }
}

pub fn client(
    http: HttpClient,
    rps: f64,
    core: mpsc::Sender<Event>,
) -> mpsc::Sender<(OperationId, CloudOperation)> {
    let (jobs_in, mut jobs) = mpsc::channel::<(OperationId, CloudOperation)>(LINE);
    tokio::spawn(async move {
        let mut budget = TokenBucket::new(rps, 2.0);
        while let Some((token, op)) = jobs.recv().await {
            let pause = budget.time_until(1.0);
            if !pause.is_zero() {
                sleep(pause).await;
            }
            budget.take(1.0);
            let (http, core) = (http.clone(), core.clone());
            tokio::spawn(async move {
                let answer = execute(&http, &op).await;
                if answer == CloudResponse::Failed {
                    tracing::debug!(?op, "the cloud did not do it");
                    // Spaces the tries; the core asks again when it still wants this.
                    sleep(Duration::from_millis(MACHINE_TYPES_RETRY_MS)).await;
                }
                let _ = core.send(Event::Cloud { token, answer }).await;
            });
        }
    });
    jobs_in
}

pub fn connection(addr: std::net::SocketAddr) -> HttpClient {
    HttpClient::new(addr, CONNECT, false)
}
