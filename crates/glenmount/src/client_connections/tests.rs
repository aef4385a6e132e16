//! Which connections are closed when too many are held.

use super::{accept, Limits};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout, Duration};
use warp::http::{Request, Response};
use warp::hyper::Body;

#[test]
fn neither_users_nor_workers_can_take_all() {
    for sockets in [32, 1_200, 1_989, 3_851] {
        let l = Limits::of(sockets);
        assert!(l.users < l.all && l.workers < l.all && l.all < sockets);
    }
    assert!(
        Limits::of(1_989).workers > 1_300,
        "a whole fleet's, if need be"
    );
}

async fn ask(stream: &mut TcpStream, path: &str) -> Option<String> {
    let text = format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n");
    stream.write_all(text.as_bytes()).await.ok()?;
    let mut buffer = [0; 1_024];
    let n = timeout(Duration::from_secs(2), stream.read(&mut buffer)).await;
    let n = n.ok()?.ok().filter(|n| *n > 0)?;
    Some(String::from_utf8_lossy(&buffer[..n]).into_owned())
}

/// A connection on which something was asked and answered.
async fn asked(addr: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    assert!(ask(&mut stream, path).await.is_some(), "each is answered");
    stream
}

/// Whether the other side has closed it.
async fn closed(stream: &mut TcpStream) -> bool {
    let mut byte = [0];
    matches!(
        timeout(Duration::from_millis(300), stream.read(&mut byte)).await,
        Ok(Ok(0) | Err(_))
    )
}

fn with_server<F: std::future::Future<Output = ()>>(
    [all, users, workers]: [usize; 3],
    scenario: impl FnOnce(SocketAddr) -> F,
) {
    let limits = Limits {
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
        let addr = listener.local_addr().unwrap();
        let service = hyper::service::service_fn(|request: Request<Body>| async move {
            if request.uri().path() == "/v2/runs/slow" {
                sleep(Duration::from_millis(400)).await;
            }
            Ok::<_, std::convert::Infallible>(Response::new(Body::from("ok")))
        });
        tokio::spawn(accept(listener, limits, service));
        timeout(Duration::from_secs(20), scenario(addr))
            .await
            .expect("in time");
    });
}

#[test]
fn a_flood_of_users_closes_the_idlest_of_them_and_no_worker() {
    with_server([12, 4, 6], |addr| async move {
        let mut workers = Vec::new();
        for _ in 0..3 {
            workers.push(asked(addr, "/checkin").await);
        }
        let mut users = Vec::new();
        for _ in 0..30 {
            users.push(asked(addr, "/v2/runs/j-1").await);
            sleep(Duration::from_millis(5)).await;
        }
        for w in &mut workers {
            assert!(ask(w, "/checkin").await.is_some(), "no worker lost its own");
        }
        let last = users.len() - 1;
        assert!(closed(&mut users[0]).await && !closed(&mut users[last]).await);
    });
}

#[test]
fn one_that_waits_for_its_answer_is_never_closed_under_it() {
    with_server([6, 3, 3], |addr| async move {
        let slow = tokio::spawn(async move {
            let mut u = TcpStream::connect(addr).await.unwrap();
            ask(&mut u, "/v2/runs/slow").await
        });
        sleep(Duration::from_millis(50)).await;
        for _ in 0..12 {
            asked(addr, "/v2/runs/j-1").await;
        }
        assert!(slow.await.unwrap().is_some_and(|a| a.contains("200 OK")));
    });
}

#[test]
fn unused_connections_are_closed_for_those_that_ask() {
    with_server([5, 4, 4], |addr| async move {
        let mut silent = Vec::new();
        for _ in 0..5 {
            silent.push(TcpStream::connect(addr).await.unwrap());
            sleep(Duration::from_millis(5)).await;
        }
        asked(addr, "/checkin").await;
        assert!(closed(&mut silent[0]).await);
    });
}
