//! The HTTP server for users, workers and health checks.

use crate::timings::{MESSAGES_READ, REPLIES_WRITTEN};
use crate::wire;
use futures_util::{Stream, StreamExt};
use glenmount_core::constants::REQUEST_BODY_MAX_BYTES;
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

/// Seconds after which a request is worth another try that found this controller too busy.
const BUSY_RETRY_AFTER_S: u32 = 1;

/// The core's answer to a request.
pub enum CoreReply {
    User(UserReply),
    Worker(WorkerReply),
}

/// A request that the server hands to the core: an event, and where its answer goes.
pub struct PendingRequest {
    pub id: RequestId,
    pub event: Event,
    pub reply: oneshot::Sender<CoreReply>,
}

/// What the server needs of the rest. Clones serve the same core.
#[derive(Clone)]
pub struct Api {
    requests: mpsc::Sender<PendingRequest>,
    /// Whether health checks are told to send users here.
    is_ready: Arc<AtomicBool>,
    next_id: Arc<AtomicU64>,
}

/// One route that takes everything: paths and methods are told apart by `Api::route`, so
/// that each kind of wrong request gets its own status.
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
        .recover(|_| async { Ok::<_, Infallible>(error(404, "no such path")) })
        .unify()
}

impl Api {
    /// Hands requests to the core by this channel.
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
            | (_, ["v2", "runs", _, "withdraw"]) => error(405, "method not allowed"),
            _ => error(404, "no such path"),
        }
    }

    fn readiness(&self) -> Response<Body> {
        match self.is_ready.load(Ordering::Relaxed) {
            true => json(200, "{\"ready\":true}".into(), None),
            false => json(503, "{\"ready\":false}".into(), None),
        }
    }

    async fn submit(&self, body: impl RequestBody) -> Response<Body> {
        let body = match read_body(body).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        let spec = match MESSAGES_READ.time(|| wire::read_submission(&body)) {
            Ok(spec) => Box::new(spec),
            Err(reason) => return error(400, &reason.to_string()),
        };
        self.ask(|request| Event::Submit { request, spec }).await
    }

    async fn status(&self, id: &str) -> Response<Body> {
        if !wire::is_job_id(id) {
            return error(404, "no such job");
        }
        let job = id.to_string();
        self.ask(|request| Event::Status { request, job }).await
    }

    async fn cancel(&self, id: &str) -> Response<Body> {
        if !wire::is_job_id(id) {
            return error(404, "no such job");
        }
        let job = id.to_string();
        self.ask(|request| Event::Cancel { request, job }).await
    }

    async fn heartbeat(&self, body: impl RequestBody) -> Response<Body> {
        let body = match read_body(body).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        let report = match MESSAGES_READ.time(|| wire::read_heartbeat(&body)) {
            Ok(report) => Box::new(report),
            Err(reason) => {
                let reason = reason.to_string();
                tracing::error!(why = reason, "unreadable check-in");
                return error(400, &reason);
            }
        };
        self.ask(|request| Event::WorkerHeartbeat {
            request,
            heartbeat: report,
        })
        .await
    }

    /// Asks the core, and waits for its answer.
    async fn ask(&self, event: impl FnOnce(RequestId) -> Event) -> Response<Body> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (reply_sender, reply) = oneshot::channel();
        let request = PendingRequest {
            id,
            event: event(id),
            reply: reply_sender,
        };
        if self.requests.try_send(request).is_err() {
            return busy("{\"error\":\"too busy\"}");
        }
        match reply.await {
            Ok(CoreReply::User(reply)) => {
                respond(REPLIES_WRITTEN.time(|| wire::write_user_reply(&reply)))
            }
            Ok(CoreReply::Worker(reply)) => {
                respond(REPLIES_WRITTEN.time(|| wire::write_worker_reply(&reply)))
            }
            Err(_) => busy("{\"error\":\"no answer\"}"),
        }
    }
}

fn respond(reply: wire::Reply) -> Response<Body> {
    json(reply.status, reply.body, reply.retry_after_s)
}

fn json(status: u16, body: String, retry_after_s: Option<u32>) -> Response<Body> {
    let mut response = Response::builder()
        .status(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(seconds) = retry_after_s {
        response = response.header(header::RETRY_AFTER, seconds);
    }
    response.body(Body::from(body)).unwrap_or_default()
}

fn busy(body: &str) -> Response<Body> {
    json(503, body.into(), Some(BUSY_RETRY_AFTER_S))
}

fn error(status: u16, what: &str) -> Response<Body> {
    json(status, serde_json::json!({"error": what}).to_string(), None)
}

/// A request's body as it arrives; read only where one is expected.
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

/// The whole body, or the answer that refuses it.
async fn read_body(body: impl RequestBody) -> Result<Vec<u8>, Response<Body>> {
    let mut body = pin!(body);
    let mut bytes = Vec::new();
    while let Some(part) = body.next().await {
        let mut part = part.map_err(|_| error(400, "the body broke off"))?;
        if bytes.len() + part.remaining() > REQUEST_BODY_MAX_BYTES as usize {
            return Err(error(400, "the body is longer than 64 KiB"));
        }
        while part.has_remaining() {
            let piece = part.chunk();
            bytes.extend_from_slice(piece);
            let length = piece.len();
            part.advance(length);
        }
    }
    Ok(bytes)
}
