//! HTTP for the stand-ins: one server and one client call.

use hyper::client::HttpConnector;
use hyper::server::conn::Http;
use hyper::service::service_fn;
use hyper::{Body, Client, Request, Response};
use serde_json::Value;
use std::future::Future;
use std::net::SocketAddr;
use tokio::net::TcpListener;

pub type Answer = Response<Body>;

pub fn answer(status: u16, body: &Value) -> Answer {
    let mut answer = Response::new(Body::from(body.to_string()));
    *answer.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    answer
}

/// The value of one word of a path's query, or nothing.
pub fn query<'a>(words: &'a str, name: &str) -> &'a str {
    let pairs = words.split('&').filter_map(|w| w.split_once('='));
    pairs
        .into_iter()
        .find(|(n, _)| *n == name)
        .map_or("", |(_, v)| v)
}

/// Serves whatever comes; the handler is told to which address.
pub fn serve<F, H>(listener: TcpListener, handle: H)
where
    F: Future<Output = Answer> + Send + 'static,
    H: Fn(SocketAddr, String, String, Vec<u8>) -> F + Clone + Send + 'static,
{
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let Ok(to) = stream.local_addr() else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            let each = service_fn(move |request: Request<Body>| {
                let handle = handle.clone();
                async move {
                    let (parts, body) = request.into_parts();
                    let body = hyper::body::to_bytes(body).await?.to_vec();
                    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
                    let method = parts.method.to_string();
                    Ok::<_, hyper::Error>(handle(to, method, path.to_string(), body).await)
                }
            });
            tokio::spawn(Http::new().http1_only(true).serve_connection(stream, each));
        }
    });
}

/// Status and body of an answer, if any came.
pub async fn call(
    client: &Client<HttpConnector>,
    post: bool,
    url: String,
    body: Option<Value>,
) -> Option<(u16, Value)> {
    let request = Request::builder()
        .method(if post { "POST" } else { "GET" })
        .uri(url)
        .body(body.map_or_else(Body::empty, |b| Body::from(b.to_string())))
        .ok()?;
    let exchange = async {
        let answer = client.request(request).await.ok()?;
        let status = answer.status().as_u16();
        let bytes = hyper::body::to_bytes(answer.into_body()).await.ok()?;
        Some((
            status,
            serde_json::from_slice(&bytes).unwrap_or(Value::Null),
        ))
    };
    let limit = std::time::Duration::from_secs(4);
    tokio::time::timeout(limit, exchange).await.ok().flatten()
}
