//! Tests of which connections are closed when too many are open.

use super::{accept, ConnectionLimits};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout, Duration};
use warp::http::{Request, Response};
use warp::hyper::Body;

#[test]
fn neither_users_nor_workers_can_hold_all_connections() {
    for sockets in [32, 1_200, 1_989, 3_851] {
        let limits = ConnectionLimits::for_sockets(sockets);
        assert!(limits.users < limits.all && limits.workers < limits.all && limits.all < sockets);
    }
    assert!(
        ConnectionLimits::for_sockets(1_989).workers > 1_300,
        "one controller can hold the connections of all workers"
    );
}

/// Sends a request. Returns the response, if there is one within 2 s.
async fn send_request(stream: &mut TcpStream, path: &str) -> Option<String> {
    let text = format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n");
    stream.write_all(text.as_bytes()).await.ok()?;
    let mut buffer = [0; 1_024];
    let read = timeout(Duration::from_secs(2), stream.read(&mut buffer)).await;
    let bytes = read.ok()?.ok().filter(|bytes| *bytes > 0)?;
    Some(String::from_utf8_lossy(&buffer[..bytes]).into_owned())
}

/// Opens a connection and completes one request on it.
async fn connect_with_request(address: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    assert!(
        send_request(&mut stream, path).await.is_some(),
        "each request is answered"
    );
    stream
}

/// Returns whether the server has closed the connection.
async fn is_closed(stream: &mut TcpStream) -> bool {
    let mut byte = [0];
    matches!(
        timeout(Duration::from_millis(300), stream.read(&mut byte)).await,
        Ok(Ok(0) | Err(_))
    )
}

/// Runs a scenario against a server with these limits, in which `/v2/runs/slow` takes 400 ms.
fn with_server<F: std::future::Future<Output = ()>>(
    [all, users, workers]: [usize; 3],
    scenario: impl FnOnce(SocketAddr) -> F,
) {
    let limits = ConnectionLimits {
        all,
        users,
        workers,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let service = hyper::service::service_fn(|request: Request<Body>| async move {
            if request.uri().path() == "/v2/runs/slow" {
                sleep(Duration::from_millis(400)).await;
            }
            Ok::<_, std::convert::Infallible>(Response::new(Body::from("ok")))
        });
        tokio::spawn(accept(listener, limits, service));
        timeout(Duration::from_secs(20), scenario(address))
            .await
            .expect("in time");
    });
}

#[test]
fn too_many_users_close_the_longest_idle_user_and_no_worker() {
    with_server([12, 4, 6], |address| async move {
        let mut workers = Vec::new();
        for _ in 0..3 {
            workers.push(connect_with_request(address, "/checkin").await);
        }
        let mut users = Vec::new();
        for _ in 0..30 {
            users.push(connect_with_request(address, "/v2/runs/j-1").await);
            sleep(Duration::from_millis(5)).await;
        }
        for worker in &mut workers {
            let response = send_request(worker, "/checkin").await;
            assert!(response.is_some(), "no worker lost its connection");
        }
        let last = users.len() - 1;
        assert!(is_closed(&mut users[0]).await && !is_closed(&mut users[last]).await);
    });
}

#[test]
fn connection_with_a_request_in_progress_is_not_closed() {
    with_server([6, 3, 3], |address| async move {
        let slow = tokio::spawn(async move {
            let mut user = TcpStream::connect(address).await.unwrap();
            send_request(&mut user, "/v2/runs/slow").await
        });
        sleep(Duration::from_millis(50)).await;
        for _ in 0..12 {
            connect_with_request(address, "/v2/runs/j-1").await;
        }
        let response = slow.await.unwrap();
        assert!(response.is_some_and(|text| text.contains("200 OK")));
    });
}

#[test]
fn unused_connections_are_closed_for_new_clients() {
    with_server([5, 4, 4], |address| async move {
        let mut unused = Vec::new();
        for _ in 0..5 {
            unused.push(TcpStream::connect(address).await.unwrap());
            sleep(Duration::from_millis(5)).await;
        }
        connect_with_request(address, "/checkin").await;
        assert!(is_closed(&mut unused[0]).await);
    });
}
