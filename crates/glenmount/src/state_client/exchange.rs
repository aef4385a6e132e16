//! One request to the state store and its answer.

use super::StateRequest;
use crate::http_client::{Answer, AnswerLimits, HttpClient};
use crate::timings::RECORDS_READ;
use crate::wire::state_store as wire;
use glenmount_core::constants::STATE_TIMEOUT_MS;
use glenmount_core::controller::{Event, StateOperation, StateResponse};
use std::pin::pin;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Duration, Instant};

/// What an answer may take: usually 10 ms, now and then a few hundred.
const LIMITS: AnswerLimits = AnswerLimits {
    timeout: Duration::from_millis(1_200),
    body_bytes: 8 << 20,
};
/// The same for a page of a list.
const LIST_LIMITS: AnswerLimits = AnswerLimits {
    timeout: Duration::from_millis(3 * 1_200),
    body_bytes: 8 << 20,
};
/// A transaction counts as unanswered after so many times what answers take on the whole.
const UNANSWERED_TIMES: f64 = 6.0;
/// Pause after an answer that the store was asked too much.
const THROTTLED_PAUSE: Duration = Duration::from_millis(150);
/// Bytes of an answer that are logged.
const CONFLICT_LOGGED_BYTES: usize = 300;
const UNEXPECTED_LOGGED_BYTES: usize = 200;

/// How a request ended, for the one that sends the next.
pub enum Outcome {
    /// With an answer after so many milliseconds.
    Answered {
        took_ms: f64,
    },
    NoAnswer,
    /// Not executed: it is to be sent again.
    Throttled(StateRequest),
}

/// Performs requests.
pub struct Exchange {
    pub http: HttpClient,
    pub core: mpsc::Sender<Event>,
    pub outcomes: mpsc::Sender<Outcome>,
}

impl Exchange {
    /// Starts a request. Its task ends by itself: the answer has a time limit.
    pub fn spawn(&self, request: StateRequest, answer_ms: f64) {
        let (http, core) = (self.http.clone(), self.core.clone());
        let outcomes = self.outcomes.clone();
        let overdue = unanswered_after(answer_ms);
        tokio::spawn(async move {
            let outcome = perform(&http, &core, request, overdue).await;
            let _ = outcomes.send(outcome).await;
        });
    }
}

/// Time after which a transaction counts as unanswered, though an answer may yet come.
fn unanswered_after(answer_ms: f64) -> Duration {
    let overdue_ms = (answer_ms * UNANSWERED_TIMES).max(STATE_TIMEOUT_MS as f64);
    Duration::from_secs_f64(overdue_ms / 1e3).min(LIMITS.timeout)
}

async fn perform(
    http: &HttpClient,
    core: &mpsc::Sender<Event>,
    request: StateRequest,
    overdue: Duration,
) -> Outcome {
    let token = request.token;
    let sent_at = Instant::now();
    let answer = {
        let mut answer = pin!(execute(http, &request.operation));
        match timeout(overdue, &mut answer).await {
            Ok(answer) => answer,
            Err(_) => {
                if matches!(request.operation, StateOperation::Transaction(_)) {
                    let _ = core
                        .send(Event::StateTimeout {
                            operation_id: token,
                        })
                        .await;
                }
                answer.await
            }
        }
    };
    let Some(answer) = answer else {
        sleep(THROTTLED_PAUSE).await;
        return Outcome::Throttled(request);
    };
    let outcome = match answer {
        StateResponse::NoAnswer => Outcome::NoAnswer,
        _ => Outcome::Answered {
            took_ms: sent_at.elapsed().as_secs_f64() * 1e3,
        },
    };
    let _ = core
        .send(Event::State {
            operation_id: token,
            response: answer,
        })
        .await;
    outcome
}

/// `None` stands for 429: not executed, to be sent again.
async fn execute(http: &HttpClient, operation: &StateOperation) -> Option<StateResponse> {
    let answer = match operation {
        StateOperation::Transaction(transaction) => {
            let body = transaction.request_body();
            http.post(wire::TRANSACTION_PATH, body, LIMITS).await
        }
        StateOperation::ReadIndex => http.get(wire::BARRIER_PATH, LIMITS).await,
        StateOperation::List { after } => {
            let path = wire::list_path(after.as_deref());
            http.get(&path, LIST_LIMITS).await
        }
    };
    let Some(answer) = answer else {
        return Some(StateResponse::NoAnswer);
    };
    match answer.status {
        429 => None,
        503 => Some(StateResponse::Unavailable),
        _ => Some(read(operation, &answer)),
    }
}

/// What an answer says. Unexpected ones are logged.
fn read(operation: &StateOperation, answer: &Answer) -> StateResponse {
    let Answer { status, body } = answer;
    let known = match (operation, status) {
        (StateOperation::Transaction(_), 200) => {
            wire::read_revision(body).map(|revision| StateResponse::Committed { revision })
        }
        (StateOperation::Transaction(_), 409) => {
            tracing::debug!(answer = %start_of(body, CONFLICT_LOGGED_BYTES), "conflict");
            wire::read_revision(body).map(|revision| StateResponse::Conflict { revision })
        }
        (StateOperation::ReadIndex, 404) => {
            wire::read_revision(body).map(|revision| StateResponse::ReadIndex { revision })
        }
        (StateOperation::List { .. }, 200) => RECORDS_READ.time(|| wire::read_list_page(body)),
        (_, 400) => Some(StateResponse::Refused),
        _ => None,
    };
    if known.is_none() || known == Some(StateResponse::Refused) {
        let body = start_of(body, UNEXPECTED_LOGGED_BYTES);
        tracing::error!(status, %body, "unexpected answer of the state service");
    }
    known.unwrap_or(StateResponse::NoAnswer)
}

fn start_of(body: &[u8], bytes: usize) -> String {
    String::from_utf8_lossy(&body[..body.len().min(bytes)]).into_owned()
}
