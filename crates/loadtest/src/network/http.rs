//! HTTP server and client of the stand-ins, which report the bytes of each request and answer.

use crate::protocol::ErrorAnswer;
use hyper::body::Bytes;
use hyper::client::conn::SendRequest;
use hyper::header::{HeaderMap, CONNECTION, CONTENT_LENGTH, DATE, HOST, RETRY_AFTER};
use hyper::server::conn::Http;
use hyper::service::service_fn;
use hyper::{Body, Method, Request, Response, StatusCode};
use serde::Serialize;
use std::future::{poll_fn, Future};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, OnceLock};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout, Duration};

/// Bytes of a status line, and of the date header that the server adds.
const STATUS_LINE_BYTES: u64 = 17;
const DATE_BYTES: u64 = 37;
/// Bytes of a request line in addition to method and path: two spaces, the version and the line end.
const REQUEST_LINE_EXTRA_BYTES: usize = 12;
/// Bytes of a header in addition to name and value: a colon, a space and the line end.
const HEADER_EXTRA_BYTES: usize = 4;
const LINE_END_BYTES: usize = 2;
/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A connection to a stand-in.
pub struct Connection {
    /// Address of the client.
    pub peer: SocketAddr,
    /// Address to which the client connected.
    pub local: SocketAddr,
    /// Index of the controller that opened the connection, once it has been looked up.
    pub controller: OnceLock<Option<usize>>,
}

/// A received request.
pub struct IncomingRequest {
    /// Connection on which the request arrived.
    pub connection: Arc<Connection>,
    /// Method of the request.
    pub method: Method,
    /// Path of the request target.
    pub path: String,
    /// Query of the request target; empty if there is none.
    pub query: String,
    /// Body of the request.
    pub body: Bytes,
    /// Bytes of head and body.
    pub bytes: u64,
}

impl IncomingRequest {
    /// Returns the value of a query parameter; empty if the query doesn't contain it.
    pub fn query_value(&self, name: &str) -> &str {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(parameter, _)| *parameter == name)
            .map_or("", |(_, value)| value)
    }

    /// Returns the value of a query parameter as a number.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query_value(name).parse().ok()
    }
}

/// The answer of a stand-in.
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Body of the answer.
    pub body: Vec<u8>,
}

impl Answer {
    /// Creates an answer with a JSON body.
    pub fn json(status: u16, body: &impl Serialize) -> Answer {
        let body = serde_json::to_vec(body).unwrap_or_default();
        Answer { status, body }
    }

    /// Creates an error answer.
    pub fn error(status: u16, error: &str) -> Answer {
        Answer::json(status, &ErrorAnswer { error })
    }

    /// Creates an answer without a body.
    pub fn empty(status: u16) -> Answer {
        let body = Vec::new();
        Answer { status, body }
    }

    /// Returns the bytes of head and body as the server sends them.
    pub fn bytes(&self) -> u64 {
        let body_bytes = self.body.len() as u64;
        let head_bytes = length_header_bytes(self.body.len()) + LINE_END_BYTES;
        STATUS_LINE_BYTES + DATE_BYTES + head_bytes as u64 + body_bytes
    }
}

fn length_header_bytes(length: usize) -> usize {
    CONTENT_LENGTH.as_str().len() + HEADER_EXTRA_BYTES + length.to_string().len()
}

/// Returns the bytes of all headers except the date, which [`DATE_BYTES`] accounts for.
fn header_bytes(headers: &HeaderMap) -> u64 {
    let counted = headers.iter().filter(|(name, _)| **name != DATE);
    counted
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_EXTRA_BYTES)
        .sum::<usize>() as u64
}

/// Binds a free port of the loopback address and returns the listener and its address.
pub async fn bind_loopback() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Serves connections from loopback addresses until the run's runtime is shut down.
pub fn serve<F, H>(listener: TcpListener, handle: H)
where
    F: Future<Output = Answer> + Send + 'static,
    H: Fn(IncomingRequest) -> F + Clone + Send + Sync + 'static,
{
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) if peer.ip().is_loopback() => {
                    tokio::spawn(serve_connection(stream, peer, handle.clone()));
                }
                Ok(_) => {}
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    });
}

async fn serve_connection<F, H>(stream: TcpStream, peer: SocketAddr, handle: H)
where
    F: Future<Output = Answer> + Send + 'static,
    H: Fn(IncomingRequest) -> F + Clone + Send + Sync + 'static,
{
    let Ok(local) = stream.local_addr() else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let connection = Arc::new(Connection {
        peer,
        local,
        controller: OnceLock::new(),
    });
    let service = service_fn(move |request: Request<Body>| {
        let (handle, connection) = (handle.clone(), connection.clone());
        async move {
            let incoming = read_request(request, connection).await?;
            let answer = handle(incoming).await;
            let mut response = Response::new(Body::from(answer.body));
            let status = StatusCode::from_u16(answer.status);
            *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            Ok::<_, hyper::Error>(response)
        }
    });
    // The client reopens a broken connection.
    let _ = Http::new()
        .http1_only(true)
        .serve_connection(stream, service)
        .await;
}

async fn read_request(
    request: Request<Body>,
    connection: Arc<Connection>,
) -> hyper::Result<IncomingRequest> {
    let (parts, body) = request.into_parts();
    let body = hyper::body::to_bytes(body).await?;
    let target_bytes = parts.uri.to_string().len();
    let line_bytes = parts.method.as_str().len() + target_bytes + REQUEST_LINE_EXTRA_BYTES;
    let head_bytes = (line_bytes + LINE_END_BYTES) as u64 + header_bytes(&parts.headers);
    Ok(IncomingRequest {
        connection,
        method: parts.method,
        path: parts.uri.path().to_string(),
        query: parts.uri.query().unwrap_or("").to_string(),
        bytes: head_bytes + body.len() as u64,
        body,
    })
}

/// A request to be sent.
pub struct OutgoingRequest<'a> {
    /// Method of the request.
    pub method: Method,
    /// Path of the request target.
    pub path: &'a str,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Time that the client waits for the answer.
    pub timeout: Duration,
}

/// A received answer.
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// Seconds after which the client may retry, if the server set a `Retry-After` header.
    pub retry_after_s: Option<u64>,
    /// Body of the answer.
    pub body: Bytes,
    /// Bytes of the request's head and body.
    pub request_bytes: u64,
    /// Bytes of the answer's head and body.
    pub answer_bytes: u64,
}

/// A client with a persistent connection to one address, opened on demand.
pub struct Client {
    address: SocketAddr,
    sender: Option<SendRequest<Body>>,
}

impl Client {
    /// Creates a client that isn't connected yet.
    pub fn new(address: SocketAddr) -> Client {
        Client {
            address,
            sender: None,
        }
    }

    /// Opens the connection; returns false if the server refuses it or the time limit passes.
    pub async fn connect(&mut self, time_limit: Duration) -> bool {
        matches!(timeout(time_limit, self.sender()).await, Ok(Some(_)))
    }

    /// Sends a request; returns `None` and drops the connection if no answer arrives in time.
    pub async fn call(&mut self, request: OutgoingRequest<'_>) -> Option<Reply> {
        let time_limit = request.timeout;
        let exchange = self.exchange(request);
        let reply = timeout(time_limit, exchange).await.ok().flatten();
        if reply.is_none() {
            self.sender = None;
        }
        reply
    }

    async fn exchange(&mut self, request: OutgoingRequest<'_>) -> Option<Reply> {
        let request_bytes = self.request_bytes(&request);
        let request = Request::builder()
            .method(request.method)
            .uri(request.path)
            .header(HOST, self.address.to_string())
            .body(Body::from(request.body))
            .ok()?;
        let response = self.sender().await?.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        let headers = response.headers();
        let retry_after_s = headers
            .get(RETRY_AFTER)
            .and_then(|value| value.to_str().ok()?.parse().ok());
        let is_closed_by_server = headers
            .get(CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        let head_bytes =
            STATUS_LINE_BYTES + header_bytes(headers) + DATE_BYTES + LINE_END_BYTES as u64;
        let body = hyper::body::to_bytes(response.into_body()).await.ok()?;
        if is_closed_by_server {
            self.sender = None;
        }
        Some(Reply {
            status,
            retry_after_s,
            request_bytes,
            answer_bytes: head_bytes + body.len() as u64,
            body,
        })
    }

    fn request_bytes(&self, request: &OutgoingRequest) -> u64 {
        let method_bytes = request.method.as_str().len();
        let line_bytes = method_bytes + request.path.len() + REQUEST_LINE_EXTRA_BYTES;
        let address_bytes = self.address.to_string().len();
        let host_header_bytes = HOST.as_str().len() + HEADER_EXTRA_BYTES + address_bytes;
        let content_length_bytes = length_header_bytes(request.body.len());
        let head_bytes = line_bytes + host_header_bytes + content_length_bytes + LINE_END_BYTES;
        (head_bytes + request.body.len()) as u64
    }

    async fn sender(&mut self) -> Option<&mut SendRequest<Body>> {
        let is_usable = match &mut self.sender {
            Some(sender) => poll_fn(|context| sender.poll_ready(context)).await.is_ok(),
            None => false,
        };
        if !is_usable {
            let stream = TcpStream::connect(self.address).await.ok()?;
            let _ = stream.set_nodelay(true);
            let (sender, connection) = hyper::client::conn::handshake(stream).await.ok()?;
            // The task ends when the sender is dropped or the server closes the connection.
            tokio::spawn(connection);
            self.sender = Some(sender);
        }
        self.sender.as_mut()
    }
}
