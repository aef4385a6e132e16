//! Sends one request to the state store and interprets its response.

use super::StateRequest;
use crate::http_client::{HttpClient, HttpResponse, ResponseLimits};
use crate::timings::RECORDS_READ;
use crate::wire::state_store as wire;
use glenmount_core::constants::STATE_TIMEOUT_MS;
use glenmount_core::controller::{Event, StateOperation, StateResponse};
use std::pin::pin;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Duration, Instant};

/// Limits of a response, which usually takes 10 ms and occasionally a few hundred.
const LIMITS: ResponseLimits = ResponseLimits {
    timeout: Duration::from_millis(1_200),
    max_body_bytes: 8 << 20,
};
/// Limits of the response with a page of a list.
const LIST_LIMITS: ResponseLimits = ResponseLimits {
    timeout: Duration::from_millis(3 * 1_200),
    max_body_bytes: 8 << 20,
};
/// Multiple of the mean latency after which a transaction is overdue.
const OVERDUE_LATENCY_FACTOR: f64 = 6.0;
/// Backoff after the store rejected a request because of its rate limit.
const THROTTLING_BACKOFF: Duration = Duration::from_millis(150);
/// Bytes of a conflict's response body that are logged.
const LOGGED_CONFLICT_BYTES: usize = 300;
/// Bytes of an unexpected response's body that are logged.
const LOGGED_UNEXPECTED_BYTES: usize = 200;

/// The outcome of a request, as reported to the dispatcher.
pub enum Outcome {
    /// The store responded.
    Responded {
        /// Time from sending the request until the response.
        latency_ms: f64,
    },
    NoResponse,
    /// The store did not execute the request because of its rate limit; it is to be retried.
    Throttled(StateRequest),
}

/// Sends requests and reports their outcomes to the core and the dispatcher.
pub struct Exchange {
    pub http: HttpClient,
    pub core: mpsc::Sender<Event>,
    pub outcomes: mpsc::Sender<Outcome>,
}

impl Exchange {
    /// Spawns the task of a request. The response timeout bounds the life of the task.
    pub fn spawn(&self, request: StateRequest, mean_latency_ms: f64) {
        let (http, core) = (self.http.clone(), self.core.clone());
        let outcomes = self.outcomes.clone();
        let overdue_after = overdue_timeout(mean_latency_ms);
        tokio::spawn(async move {
            let outcome = perform(&http, &core, request, overdue_after).await;
            let _ = outcomes.send(outcome).await;
        });
    }
}

/// Returns the time after which the core is told that a transaction is overdue. Its response may still come.
fn overdue_timeout(mean_latency_ms: f64) -> Duration {
    let overdue_after_ms = (mean_latency_ms * OVERDUE_LATENCY_FACTOR).max(STATE_TIMEOUT_MS as f64);
    Duration::from_secs_f64(overdue_after_ms / 1e3).min(LIMITS.timeout)
}

async fn perform(
    http: &HttpClient,
    core: &mpsc::Sender<Event>,
    request: StateRequest,
    overdue_after: Duration,
) -> Outcome {
    let operation_id = request.operation_id;
    let sent_at = Instant::now();
    let response = {
        let mut response = pin!(execute(http, &request.operation));
        match timeout(overdue_after, &mut response).await {
            Ok(response) => response,
            Err(_) => {
                if matches!(request.operation, StateOperation::Transaction(_)) {
                    let _ = core.send(Event::StateTimeout { operation_id }).await;
                }
                response.await
            }
        }
    };
    let Some(response) = response else {
        sleep(THROTTLING_BACKOFF).await;
        return Outcome::Throttled(request);
    };
    let outcome = match response {
        StateResponse::NoAnswer => Outcome::NoResponse,
        _ => Outcome::Responded {
            latency_ms: sent_at.elapsed().as_secs_f64() * 1e3,
        },
    };
    let _ = core
        .send(Event::State {
            operation_id,
            response,
        })
        .await;
    outcome
}

/// Executes an operation. Returns `None` for status 429: the store did not execute it and it is to be retried.
async fn execute(http: &HttpClient, operation: &StateOperation) -> Option<StateResponse> {
    let response = match operation {
        StateOperation::Transaction(transaction) => {
            let body = transaction.request_body();
            http.post(wire::TRANSACTION_PATH, body, LIMITS).await
        }
        StateOperation::ReadIndex => http.get(wire::READ_INDEX_PATH, LIMITS).await,
        StateOperation::List { after } => {
            let path = wire::list_path(after.as_deref());
            http.get(&path, LIST_LIMITS).await
        }
    };
    let Ok(response) = response else {
        return Some(StateResponse::NoAnswer);
    };
    match response.status {
        429 => None,
        503 => Some(StateResponse::Unavailable),
        _ => Some(read_response(operation, &response)),
    }
}

/// Interprets a response and logs it if it is unexpected.
fn read_response(operation: &StateOperation, response: &HttpResponse) -> StateResponse {
    let HttpResponse { status, body } = response;
    let response = match (operation, status) {
        (StateOperation::Transaction(_), 200) => {
            wire::read_revision(body).map(|revision| StateResponse::Committed { revision })
        }
        (StateOperation::Transaction(_), 409) => {
            tracing::debug!(response = %prefix_text(body, LOGGED_CONFLICT_BYTES), "transaction conflict");
            wire::read_revision(body).map(|revision| StateResponse::Conflict { revision })
        }
        (StateOperation::ReadIndex, 404) => {
            wire::read_revision(body).map(|revision| StateResponse::ReadIndex { revision })
        }
        (StateOperation::List { .. }, 200) => RECORDS_READ.time(|| wire::read_list_page(body)),
        (_, 400) => Some(StateResponse::Refused),
        _ => None,
    };
    if response.is_none() || response == Some(StateResponse::Refused) {
        let body = prefix_text(body, LOGGED_UNEXPECTED_BYTES);
        tracing::error!(status, %body, "unexpected response from the state service");
    }
    response.unwrap_or(StateResponse::NoAnswer)
}

/// Returns at most the given number of leading bytes as text.
fn prefix_text(body: &[u8], max_bytes: usize) -> String {
    String::from_utf8_lossy(&body[..body.len().min(max_bytes)]).into_owned()
}
