//! The HTTP server for users, workers and health checks.

use crate::timings::{MESSAGES_READ, REPLIES_WRITTEN};
use crate::wire;
use futures_util::{Stream, StreamExt};
use glenmount_core::constants::messages::REQUEST_BODY_MAX_BYTES;
use glenmount_core::controller::{Event, RequestId, UserReply, WorkerReply};
use std::convert::Infallible;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use warp::filters::body;
use warp::http::{header, Method, Response, StatusCode};
use warp::hyper::Body;
use warp::path::FullPath;
use warp::{Buf, Filter, Reply};

/// Value of `Retry-After` in responses that refuse a request because the controller is overloaded.
const BUSY_RETRY_AFTER_S: u32 = 1;
/// Most bytes of an error's text in a response and in the log. The text may quote a value of the request.
const ERROR_TEXT_MAX_BYTES: usize = 1_000;

/// The core's reply to a request.
pub enum CoreReply {
    User(UserReply),
    Worker(WorkerReply),
}

/// A request for the core.
pub struct PendingRequest {
    pub id: RequestId,
    pub event: Event,
    /// Receives the core's reply.
    pub reply: oneshot::Sender<CoreReply>,
}

/// The HTTP interface of the core. Clones serve the same core.
#[derive(Clone)]
pub struct Api {
    requests: mpsc::Sender<PendingRequest>,
    /// Whether health checks report the controller as ready for users.
    is_ready: Arc<AtomicBool>,
    next_id: Arc<AtomicU64>,
}

/// Returns a single route that accepts every request. `Api::route` dispatches on path and method so that
/// each kind of invalid request gets its own status.
pub fn routes(api: Api) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone {
    warp::method()
        .and(warp::path::full())
        .and(body::stream())
        .and(warp::any().map(move || api.clone()))
        .then(
            |method: Method, path: FullPath, body, api: Api| async move {
                api.route(method, path.as_str(), body).await
            },
        )
        .recover(|_| async { Ok::<_, Infallible>(error_response(404, "no such path")) })
        .unify()
}

impl Api {
    /// Creates the interface, which passes requests to the core through the channel.
    pub fn new(requests: mpsc::Sender<PendingRequest>, is_ready: Arc<AtomicBool>) -> Api {
        Api {
            requests,
            is_ready,
            next_id: Arc::new(AtomicU64::new(1)),
        }
    }

    async fn route(&self, method: Method, path: &str, body: impl RequestBody) -> Response<Body> {
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (method.as_str(), segments.as_slice()) {
            ("GET", ["ready"]) => self.readiness(),
            ("POST", ["v2", "runs"]) => self.submit(body).await,
            ("GET", ["v2", "runs", id]) => self.status(id).await,
            ("POST", ["v2", "runs", id, "withdraw"]) => self.cancel(id).await,
            ("POST", ["checkin"]) => self.heartbeat(body).await,
            (_, ["ready"] | ["v2", "runs"] | ["v2", "runs", _] | ["checkin"])
            | (_, ["v2", "runs", _, "withdraw"]) => error_response(405, "method not allowed"),
            _ => error_response(404, "no such path"),
        }
    }

    fn readiness(&self) -> Response<Body> {
        match self.is_ready.load(Ordering::Relaxed) {
            true => json_response(200, "{\"ready\":true}".into(), None),
            false => json_response(503, "{\"ready\":false}".into(), None),
        }
    }

    async fn submit(&self, body: impl RequestBody) -> Response<Body> {
        let body = match read_body(body).await {
            Ok(body) => body,
            Err(error) => return error_response(400, error.text()),
        };
        let spec = match MESSAGES_READ.time(|| wire::read_submission(&body)) {
            Ok(spec) => Box::new(spec),
            Err(error) => return error_response(400, &error.to_string()),
        };
        self.ask_core(|request| Event::Submit { request, spec })
            .await
    }

    async fn status(&self, id: &str) -> Response<Body> {
        if !wire::is_job_id(id) {
            return error_response(404, "no such job");
        }
        let job = id.to_string();
        self.ask_core(|request| Event::Status { request, job })
            .await
    }

    async fn cancel(&self, id: &str) -> Response<Body> {
        if !wire::is_job_id(id) {
            return error_response(404, "no such job");
        }
        let job = id.to_string();
        self.ask_core(|request| Event::Cancel { request, job })
            .await
    }

    async fn heartbeat(&self, body: impl RequestBody) -> Response<Body> {
        let body = match read_body(body).await {
            Ok(body) => body,
            Err(error) => return reject_heartbeat(error.text()),
        };
        let heartbeat = match MESSAGES_READ.time(|| wire::read_heartbeat(&body)) {
            Ok(heartbeat) => Box::new(heartbeat),
            Err(error) => return reject_heartbeat(&error.to_string()),
        };
        self.ask_core(|request| Event::WorkerHeartbeat { request, heartbeat })
            .await
    }

    /// Passes a request to the core and waits for its reply.
    async fn ask_core(&self, event: impl FnOnce(RequestId) -> Event) -> Response<Body> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (reply_sender, reply) = oneshot::channel();
        let request = PendingRequest {
            id,
            event: event(id),
            reply: reply_sender,
        };
        if self.requests.try_send(request).is_err() {
            return busy_response("{\"error\":\"too busy\"}");
        }
        match reply.await {
            Ok(CoreReply::User(reply)) => {
                reply_response(REPLIES_WRITTEN.time(|| wire::write_user_reply(&reply)))
            }
            Ok(CoreReply::Worker(reply)) => {
                reply_response(REPLIES_WRITTEN.time(|| wire::write_worker_reply(&reply)))
            }
            Err(_) => busy_response("{\"error\":\"no answer\"}"),
        }
    }
}

fn reply_response(reply: wire::Reply) -> Response<Body> {
    json_response(reply.status, reply.body, reply.retry_after_s)
}

fn json_response(status: u16, body: String, retry_after_s: Option<u32>) -> Response<Body> {
    let mut response = Response::builder()
        .status(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(seconds) = retry_after_s {
        response = response.header(header::RETRY_AFTER, seconds);
    }
    response.body(Body::from(body)).unwrap_or_default()
}

fn busy_response(body: &str) -> Response<Body> {
    json_response(503, body.into(), Some(BUSY_RETRY_AFTER_S))
}

fn error_response(status: u16, message: &str) -> Response<Body> {
    json_response(
        status,
        serde_json::json!({"error": shorten(message)}).to_string(),
        None,
    )
}

/// Rejects a worker's heartbeat. A machine whose heartbeats are all rejected loses its lease, so the log names the
/// reason.
fn reject_heartbeat(reason: &str) -> Response<Body> {
    tracing::error!(why = shorten(reason), "unreadable check-in");
    error_response(400, reason)
}

/// Returns the text, or its beginning if it is longer than `ERROR_TEXT_MAX_BYTES`.
fn shorten(text: &str) -> &str {
    let mut end = text.len().min(ERROR_TEXT_MAX_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

/// The stream of a request's body, read only for requests that have one.
trait RequestBody: Stream<Item = Result<Self::Part, warp::Error>> + Send {
    type Part: Buf;
}

impl<S, B> RequestBody for S
where
    S: Stream<Item = Result<B, warp::Error>> + Send,
    B: Buf,
{
    type Part = B;
}

/// The reason why a request's body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyError {
    BrokeOff,
    TooLong,
}

impl BodyError {
    /// Returns the text for the response.
    fn text(self) -> &'static str {
        match self {
            BodyError::BrokeOff => "the body broke off",
            BodyError::TooLong => "the body is longer than 64 KiB",
        }
    }
}

/// Reads the whole body.
async fn read_body(body: impl RequestBody) -> Result<Vec<u8>, BodyError> {
    let mut body = pin!(body);
    let mut bytes = Vec::new();
    while let Some(part) = body.next().await {
        let mut part = part.map_err(|_| BodyError::BrokeOff)?;
        if bytes.len() + part.remaining() > REQUEST_BODY_MAX_BYTES as usize {
            return Err(BodyError::TooLong);
        }
        while part.has_remaining() {
            let chunk = part.chunk();
            bytes.extend_from_slice(chunk);
            let chunk_bytes = chunk.len();
            part.advance(chunk_bytes);
        }
    }
    Ok(bytes)
}
