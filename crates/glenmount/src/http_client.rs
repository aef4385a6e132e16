//! A small HTTP client for the cloud, the state store and workers.

use hyper::body::HttpBody;
use hyper::client::HttpConnector;
use hyper::header::CONTENT_TYPE;
use hyper::{Body, Client, Method, Request};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Connections to one address that are kept open without use, and for how long.
const IDLE_CONNECTIONS: usize = 8;
const IDLE: Duration = Duration::from_secs(30);
/// Bytes that are read ahead on a connection at most.
const BUFFER_BYTES: usize = 1 << 20;

/// Whether a request may be sent a second time by the client itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resend {
    /// When the connection that was to carry it turns out to be closed.
    OnClosedConnection,
    /// Never, not even what a closed connection may have swallowed.
    Never,
}

/// An answer: its status and its whole body.
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// A pool of connections, and the address that requests go to. Clones share the pool.
#[derive(Clone)]
pub struct HttpClient {
    pool: Client<HttpConnector>,
    base_url: String,
}

impl HttpClient {
    /// A client without connections yet.
    pub fn new(address: SocketAddr, connect_timeout: Duration, resend: Resend) -> HttpClient {
        // Commands go to hundreds of workers a second after a start or an outage, to each now and
        // then: kept open for 2 s, the connections to them took 1,200 of 1,989 sockets.
        let (idle_connections, idle) = match resend {
            Resend::Never => (0, Duration::from_secs(1)),
            Resend::OnClosedConnection => (IDLE_CONNECTIONS, IDLE),
        };
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        HttpClient {
            pool: Client::builder()
                .retry_canceled_requests(resend == Resend::OnClosedConnection)
                .pool_max_idle_per_host(idle_connections)
                .pool_idle_timeout(idle)
                .http1_max_buf_size(BUFFER_BYTES)
                .build(connector),
            base_url: base_url(address),
        }
    }

    /// The same pool, for another address.
    pub fn for_address(&self, address: SocketAddr) -> HttpClient {
        HttpClient {
            pool: self.pool.clone(),
            base_url: base_url(address),
        }
    }

    /// Reads from a path; see [`HttpClient::call`].
    pub async fn get(&self, path: &str, limits: AnswerLimits) -> Option<Answer> {
        self.call(Method::GET, path, None, limits).await
    }

    /// Sends JSON to a path; see [`HttpClient::call`].
    pub async fn post(&self, path: &str, json: String, limits: AnswerLimits) -> Option<Answer> {
        self.call(Method::POST, path, Some(json), limits).await
    }

    /// The answer, or nothing when none came in time or it was too long. No answer means that the
    /// request may have been executed, or may yet be.
    async fn call(
        &self,
        method: Method,
        path: &str,
        json: Option<String>,
        limits: AnswerLimits,
    ) -> Option<Answer> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("{}{}", self.base_url, path));
        if json.is_some() {
            request = request.header(CONTENT_TYPE, "application/json");
        }
        let body = json.map_or_else(Body::empty, Body::from);
        let exchange = self.exchange(request.body(body).ok()?, limits.body_bytes);
        timeout(limits.timeout, exchange).await.ok().flatten()
    }

    async fn exchange(&self, request: Request<Body>, body_bytes: usize) -> Option<Answer> {
        let response = self.pool.request(request).await.ok()?;
        let status = response.status().as_u16();
        let mut incoming = response.into_body();
        let mut body = Vec::new();
        while let Some(part) = incoming.data().await {
            let part = part.ok()?;
            if body.len() + part.len() > body_bytes {
                return None;
            }
            body.extend_from_slice(&part);
        }
        Some(Answer { status, body })
    }
}

/// What an answer may take.
#[derive(Clone, Copy, Debug)]
pub struct AnswerLimits {
    /// Time until the whole answer is there.
    pub timeout: Duration,
    /// Bytes of its body.
    pub body_bytes: usize,
}

fn base_url(address: SocketAddr) -> String {
    format!("http://{address}")
}
