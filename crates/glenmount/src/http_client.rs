//! A small HTTP client for the cloud and the state service.

use hyper::client::HttpConnector;
use hyper::{Body, Client, Method, Request};
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Clone)]
pub struct HttpClient {
    client: Client<HttpConnector>,
    base: String,
}

impl HttpClient {
    /// `once`: nothing is ever sent a second time, not even what a closed connection may
    /// have swallowed.
    pub fn new(addr: SocketAddr, connect_timeout: Duration, once: bool) -> HttpClient {
        // Commands go to hundreds of workers a second after a start or an outage, to each now and
        // then: kept open for 2 s, the connections to them took 1,200 of 1,989 sockets.
        let (idle, idle_s) = if once { (0, 1) } else { (8, 30) };
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        HttpClient {
            client: Client::builder()
                .retry_canceled_requests(!once)
                .pool_max_idle_per_host(idle)
                .pool_idle_timeout(Duration::from_secs(idle_s))
                .http1_max_buf_size(1 << 20)
                .build(connector),
            base: format!("http://{addr}"),
        }
    }

    /// The same connections, for another address.
    pub fn for_address(&self, addr: SocketAddr) -> HttpClient {
        HttpClient {
            client: self.client.clone(),
            base: format!("http://{addr}"),
        }
    }

    /// Status and body, or nothing when no answer came in time. No answer means that the
    /// request may have been executed, or may yet be.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<String>,
        timeout: Duration,
        most_bytes: usize,
    ) -> Option<(u16, Vec<u8>)> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("{}{}", self.base, path));
        if body.is_some() {
            request = request.header("content-type", "application/json");
        }
        let request = request
            .body(body.map_or_else(Body::empty, Body::from))
            .ok()?;
        let exchange = async {
            let response = self.client.request(request).await.ok()?;
            let status = response.status().as_u16();
            let mut body = response.into_body();
            let mut bytes = Vec::new();
            while let Some(part) = hyper::body::HttpBody::data(&mut body).await {
                let part = part.ok()?;
                if bytes.len() + part.len() > most_bytes {
                    return None;
                }
                bytes.extend_from_slice(&part);
            }
            Some((status, bytes))
        };
        tokio::time::timeout(timeout, exchange).await.ok().flatten()
    }
}
