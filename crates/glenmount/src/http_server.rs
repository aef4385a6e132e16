//! The HTTP server for users, workers and health checks.

use crate::timings::{MESSAGES_READ, REPLIES_WRITTEN};
use crate::wire;
use futures_util::{Stream, StreamExt};
use glenmount_core::constants::BODY_BYTES;
use glenmount_core::controller::{Event, RequestId, UserReply, WorkerReply};
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use warp::http::{header, Method, Response, StatusCode};
use warp::hyper::Body;
use warp::{Buf, Filter, Reply};

pub enum CoreReply {
    User(UserReply),
    Worker(WorkerReply),
}

/// What the server hands to the core's actor: an event and where its answer goes.
pub struct PendingRequest {
    pub request: RequestId,
    pub event: Event,
    pub answer: oneshot::Sender<CoreReply>,
}

#[derive(Clone)]
pub struct Api {
    pub calls: mpsc::Sender<PendingRequest>,
    pub ready: Arc<AtomicBool>,
}

static NEXT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1);

fn plain(status: u16, body: String, retry_after: Option<u32>) -> Response<Body> {
    let mut response = Response::builder()
        .status(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(s) = retry_after {
        response = response.header(header::RETRY_AFTER, s);
    }
    response.body(Body::from(body)).unwrap_or_default()
}

fn error(status: u16, what: &str) -> Response<Body> {
    plain(status, serde_json::json!({"error": what}).to_string(), None)
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

async fn read_body(body: impl RequestBody) -> Result<Vec<u8>, Response<Body>> {
    let mut body = std::pin::pin!(body);
    let mut bytes = Vec::new();
    while let Some(part) = body.next().await {
        let mut part = part.map_err(|_| error(400, "the body broke off"))?;
        if bytes.len() + part.remaining() > BODY_BYTES as usize {
            return Err(error(400, "the body is longer than 64 KiB"));
        }
        while part.has_remaining() {
            let piece = part.chunk();
            bytes.extend_from_slice(piece);
            let n = piece.len();
            part.advance(n);
        }
    }
    Ok(bytes)
}

impl Api {
    async fn call(&self, make: impl FnOnce(RequestId) -> Event) -> Response<Body> {
        let request = NEXT.fetch_add(1, Ordering::Relaxed);
        let (answer, reached) = oneshot::channel();
        let call = PendingRequest {
            request,
            event: make(request),
            answer,
        };
        if self.calls.try_send(call).is_err() {
            return plain(503, "{\"error\":\"too busy\"}".into(), Some(1));
        }
        match reached.await {
            Ok(CoreReply::User(reply)) => {
                let (status, body, retry) = REPLIES_WRITTEN.time(|| wire::user_reply(&reply));
                plain(status, body, retry)
            }
            Ok(CoreReply::Worker(reply)) => {
                let (status, body) = REPLIES_WRITTEN.time(|| wire::worker_reply(&reply));
                plain(status, body, None)
            }
            Err(_) => plain(503, "{\"error\":\"no answer\"}".into(), Some(1)),
        }
    }

    async fn route(&self, method: Method, path: &str, body: impl RequestBody) -> Response<Body> {
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (method.as_str(), parts.as_slice()) {
            ("GET", ["ready"]) => match self.ready.load(Ordering::Relaxed) {
                true => plain(200, "{\"ready\":true}".into(), None),
                false => plain(503, "{\"ready\":false}".into(), None),
            },
            ("POST", ["v2", "runs"]) => {
                let body = match read_body(body).await {
                    Ok(body) => body,
                    Err(response) => return response,
                };
                match MESSAGES_READ.time(|| wire::submission(&body)) {
                    Ok(spec) => {
                        let spec = Box::new(spec);
                        self.call(|request| Event::Submit { request, spec }).await
                    }
                    Err(why) => error(400, &why.to_string()),
                }
            }
            ("GET", ["v2", "runs", id]) => {
                if !wire::job_id(id) {
                    return error(404, "no such job");
                }
                let job = id.to_string();
                self.call(|request| Event::Status { request, job }).await
            }
            ("POST", ["v2", "runs", id, "withdraw"]) => {
                if !wire::job_id(id) {
                    return error(404, "no such job");
                }
                let job = id.to_string();
                self.call(|request| Event::Cancel { request, job }).await
            }
            ("POST", ["checkin"]) => {
                let body = match read_body(body).await {
                    Ok(body) => body,
                    Err(response) => return response,
                };
                match MESSAGES_READ.time(|| wire::report(&body)) {
                    Ok(report) => {
                        let report = Box::new(report);
                        self.call(|request| Event::WorkerHeartbeat { request, report })
                            .await
                    }
                    Err(why) => {
                        let why = why.to_string();
                        tracing::error!(why, "unreadable check-in");
                        error(400, &why)
                    }
                }
            }
            (_, ["ready"] | ["v2", "runs"] | ["v2", "runs", _] | ["checkin"])
            | (_, ["v2", "runs", _, "withdraw"]) => error(405, "method not allowed"),
            _ => error(404, "no such path"),
        }
    }
}

/// One route that takes everything: paths and methods are told apart by `Api::route`, so
/// that each kind of wrong request gets its own status.
pub fn routes(api: Api) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone {
    warp::method()
        .and(warp::path::full())
        .and(warp::filters::body::stream())
        .and(warp::any().map(move || api.clone()))
        .then(
            |method: Method, path: warp::path::FullPath, body, api: Api| async move {
                api.route(method, path.as_str(), body).await
            },
        )
        .recover(|_| async { Ok::<_, Infallible>(error(404, "no such path")) })
        .unify()
}
