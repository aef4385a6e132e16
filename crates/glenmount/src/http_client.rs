//! The HTTP client for the cloud, the state store and workers.

use hyper::body::HttpBody;
use hyper::client::HttpConnector;
use hyper::header::CONTENT_TYPE;
use hyper::{Body, Client, Method, Request};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::time::timeout;

/// Most idle connections that are kept open per address.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Size limit of the read buffer of a connection.
const MAX_BUFFER_BYTES: usize = 1 << 20;

/// Whether the client itself may resend a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resend {
    /// The client resends a request if its pooled connection turns out to be closed.
    OnClosedConnection,
    /// The client never resends a request, not even one lost on a closed connection.
    Never,
}

/// The reason why there is no response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// No whole response arrived in time.
    #[error("no response")]
    NoResponse,
    /// A response arrived whose body exceeds the limit.
    #[error("the response is too long")]
    BodyTooLong,
}

/// A response with its whole body.
pub struct HttpResponse {
    pub status: u16,
    pub body: Vec<u8>,
}

/// A connection pool and the address of the server. Clones share the pool.
#[derive(Clone)]
pub struct HttpClient {
    pool: Client<HttpConnector>,
    base_url: String,
}

impl HttpClient {
    /// Creates a client without open connections.
    pub fn new(address: SocketAddr, connect_timeout: Duration, resend: Resend) -> HttpClient {
        // After a start or an outage, the controller sends commands to hundreds of workers per second,
        // but rarely to the same one. Keeping these connections open for 2 s took 1,200 of 1,989 sockets.
        let (max_idle_connections, idle_timeout) = match resend {
            Resend::Never => (0, Duration::from_secs(1)),
            Resend::OnClosedConnection => (MAX_IDLE_CONNECTIONS, IDLE_TIMEOUT),
        };
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        HttpClient {
            pool: Client::builder()
                .retry_canceled_requests(resend == Resend::OnClosedConnection)
                .pool_max_idle_per_host(max_idle_connections)
                .pool_idle_timeout(idle_timeout)
                .http1_max_buf_size(MAX_BUFFER_BYTES)
                .build(connector),
            base_url: base_url(address),
        }
    }

    /// Returns a client for another address that shares the pool.
    pub fn for_address(&self, address: SocketAddr) -> HttpClient {
        HttpClient {
            pool: self.pool.clone(),
            base_url: base_url(address),
        }
    }

    /// Sends a GET request; see [`HttpClient::call`].
    pub async fn get(&self, path: &str, limits: ResponseLimits) -> Result<HttpResponse, HttpError> {
        self.call(Method::GET, path, None, limits).await
    }

    /// Sends a POST request with a JSON body; see [`HttpClient::call`].
    pub async fn post(
        &self,
        path: &str,
        json: String,
        limits: ResponseLimits,
    ) -> Result<HttpResponse, HttpError> {
        self.call(Method::POST, path, Some(json), limits).await
    }

    /// Sends a request and returns the response.
    ///
    /// # Errors
    /// No whole response came in time, or its body was too long. In both cases the server may have executed the
    /// request, and in the first it may still do so.
    async fn call(
        &self,
        method: Method,
        path: &str,
        json: Option<String>,
        limits: ResponseLimits,
    ) -> Result<HttpResponse, HttpError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("{}{}", self.base_url, path));
        if json.is_some() {
            request = request.header(CONTENT_TYPE, "application/json");
        }
        let body = json.map_or_else(Body::empty, Body::from);
        let request = request.body(body).map_err(|_| HttpError::NoResponse)?;
        let exchange = self.exchange(request, limits.max_body_bytes);
        let outcome = timeout(limits.timeout, exchange).await;
        outcome.unwrap_or(Err(HttpError::NoResponse))
    }

    async fn exchange(
        &self,
        request: Request<Body>,
        max_body_bytes: usize,
    ) -> Result<HttpResponse, HttpError> {
        let no_response = |_| HttpError::NoResponse;
        let response = self.pool.request(request).await.map_err(no_response)?;
        let status = response.status().as_u16();
        let mut body_stream = response.into_body();
        let mut body = Vec::new();
        while let Some(part) = body_stream.data().await {
            let part = part.map_err(no_response)?;
            if body.len() + part.len() > max_body_bytes {
                return Err(HttpError::BodyTooLong);
            }
            body.extend_from_slice(&part);
        }
        Ok(HttpResponse { status, body })
    }
}

/// The limits of a response.
#[derive(Clone, Copy, Debug)]
pub struct ResponseLimits {
    /// Time until the whole response has arrived.
    pub timeout: Duration,
    /// Size of the body.
    pub max_body_bytes: usize,
}

fn base_url(address: SocketAddr) -> String {
    format!("http://{address}")
}
