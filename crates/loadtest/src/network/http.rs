//! HTTP for the stand-ins: a server, and a client's connection, both of which tell the bytes of what passed.

use hyper::body::Bytes;
use hyper::client::conn::SendRequest;
use hyper::header::{HeaderMap, CONTENT_LENGTH, DATE, HOST};
use hyper::server::conn::Http;
use hyper::service::service_fn;
use hyper::{Body, Method, Request, Response, StatusCode};
use serde::Serialize;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{timeout, Duration};

/// Bytes of a status line, and of a date, which the server adds by itself.
const STATUS_LINE_BYTES: u64 = 17;
const DATE_BYTES: u64 = 37;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// What a connection to a stand-in is known by.
pub struct Connection {
    pub peer: SocketAddr,
    pub local: SocketAddr,
    /// The controller at its other end, once somebody looked it up.
    pub owner: OnceLock<Option<u32>>,
}

/// A request that came.
pub struct Incoming {
    pub connection: Arc<Connection>,
    pub method: Method,
    pub path: String,
    pub query: String,
    pub body: Bytes,
    /// Bytes of its head and body.
    pub bytes: u64,
}

impl Incoming {
    /// The value of a word of the query, or nothing.
    pub fn word(&self, name: &str) -> &str {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(n, _)| *n == name)
            .map_or("", |(_, value)| value)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.word(name).parse().ok()
    }
}

/// What is answered.
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn json(status: u16, body: &impl Serialize) -> Answer {
        let body = serde_json::to_vec(body).unwrap_or_default();
        Answer { status, body }
    }

    pub fn text(status: u16, body: &str) -> Answer {
        let body = body.as_bytes().to_vec();
        Answer { status, body }
    }

    /// Bytes of its head and body as they are sent.
    pub fn bytes(&self) -> u64 {
        let length = self.body.len().to_string().len() as u64;
        let length_header = CONTENT_LENGTH.as_str().len() as u64 + 4 + length;
        STATUS_LINE_BYTES + length_header + DATE_BYTES + 2 + self.body.len() as u64
    }
}

fn header_bytes(headers: &HeaderMap) -> u64 {
    let each = headers.iter().filter(|(name, _)| **name != DATE);
    each.map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum::<usize>() as u64
}

/// Serves what comes from this machine until the listener is dropped with the runtime.
pub fn serve<F, H>(listener: TcpListener, handle: H)
where
    F: Future<Output = Answer> + Send + 'static,
    H: Fn(Incoming) -> F + Clone + Send + Sync + 'static,
{
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) if peer.ip().is_loopback() => {
                    tokio::spawn(serve_connection(stream, peer, handle.clone()));
                }
                Ok(_) => {}
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    });
}

async fn serve_connection<F, H>(stream: TcpStream, peer: SocketAddr, handle: H)
where
    F: Future<Output = Answer> + Send + 'static,
    H: Fn(Incoming) -> F + Clone + Send + Sync + 'static,
{
    let Ok(local) = stream.local_addr() else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let owner = OnceLock::new();
    let connection = Arc::new(Connection { peer, local, owner });
    let each = service_fn(move |request: Request<Body>| {
        let (handle, connection) = (handle.clone(), connection.clone());
        async move {
            let incoming = read(request, connection).await?;
            let answer = handle(incoming).await;
            let mut response = Response::new(Body::from(answer.body));
            let status = StatusCode::from_u16(answer.status);
            *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            Ok::<_, hyper::Error>(response)
        }
    });
    let _ = Http::new()
        .http1_only(true)
        .serve_connection(stream, each)
        .await;
}

async fn read(request: Request<Body>, connection: Arc<Connection>) -> hyper::Result<Incoming> {
    let (parts, body) = request.into_parts();
    let body = hyper::body::to_bytes(body).await?;
    let line = parts.method.as_str().len() + parts.uri.to_string().len() + 12;
    let bytes = line as u64 + header_bytes(&parts.headers) + 2 + body.len() as u64;
    Ok(Incoming {
        connection,
        method: parts.method,
        path: parts.uri.path().to_string(),
        query: parts.uri.query().unwrap_or("").to_string(),
        body,
        bytes,
    })
}

/// An answer that came to a client.
pub struct Reply {
    pub status: u16,
    pub retry_after_s: Option<u64>,
    pub body: Bytes,
    pub request_bytes: u64,
    pub answer_bytes: u64,
}

/// A client's connection to one address, opened when it is needed and kept.
pub struct Client {
    address: SocketAddr,
    sender: Option<SendRequest<Body>>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client {
            address,
            sender: None,
        }
    }

    /// Opens the connection; false if that takes longer or is refused.
    pub async fn connect(&mut self, within: Duration) -> bool {
        matches!(timeout(within, self.sender()).await, Ok(Some(_)))
    }

    /// Sends a request; nothing if no answer came in time, and the connection is then given up.
    pub async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        within: Duration,
    ) -> Option<Reply> {
        let exchange = self.exchange(method, path, body);
        let reply = timeout(within, exchange).await.ok().flatten();
        if reply.is_none() {
            self.sender = None;
        }
        reply
    }

    async fn exchange(&mut self, method: Method, path: &str, body: Vec<u8>) -> Option<Reply> {
        let host = self.address.to_string();
        let length = body.len();
        let line = method.as_str().len() + path.len() + 12;
        let head = line + HOST.as_str().len() + 4 + host.len() + 2;
        let length_header = CONTENT_LENGTH.as_str().len() + 4 + length.to_string().len();
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, host)
            .body(Body::from(body))
            .ok()?;
        let sender = self.sender().await?;
        let response = sender.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        let retry_after = response.headers().get("retry-after");
        let retry_after_s = retry_after.and_then(|v| v.to_str().ok()?.parse().ok());
        let closes = response.headers().get("connection");
        let closes = closes.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        let answer_head = STATUS_LINE_BYTES + header_bytes(response.headers()) + DATE_BYTES + 2;
        let body = hyper::body::to_bytes(response.into_body()).await.ok()?;
        if closes {
            self.sender = None;
        }
        Some(Reply {
            status,
            retry_after_s,
            request_bytes: (head + length_header + length) as u64,
            answer_bytes: answer_head + body.len() as u64,
            body,
        })
    }

    async fn sender(&mut self) -> Option<&mut SendRequest<Body>> {
        let usable = match &mut self.sender {
            Some(sender) => std::future::poll_fn(|cx| sender.poll_ready(cx))
                .await
                .is_ok(),
            None => false,
        };
        if !usable {
            let stream = TcpStream::connect(self.address).await.ok()?;
            let _ = stream.set_nodelay(true);
            let (sender, connection) = hyper::client::conn::handshake(stream).await.ok()?;
            tokio::spawn(connection);
            self.sender = Some(sender);
        }
        self.sender.as_mut()
    }
}
