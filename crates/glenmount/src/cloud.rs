//! The cloud client: one actor that owns the node's share of the cloud's rate.

use crate::budget::Budget;
use crate::http::Http;
use crate::wire;
use glenmount_core::constants::*;
use glenmount_core::controller::{CloudAnswer, CloudOp, Event, Token};
use hyper::Method;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::{sleep, Duration};

/// Time an answer may take; the cloud usually needs a few hundred milliseconds.
const TIMEOUT: Duration = Duration::from_millis(4_000);
const CONNECT: Duration = Duration::from_millis(2_000);
/// Bytes of an answer at most.
const ANSWER_BYTES: usize = 1 << 20;
/// Operations that may wait in line.
const LINE: usize = 200;

async fn execute(http: &Http, op: &CloudOp) -> CloudAnswer {
    let call = |method, path: String, body| async move {
        http.call(method, &path, body, TIMEOUT, ANSWER_BYTES).await
    };
    match op {
        CloudOp::Types => match call(Method::GET, "/catalog".into(), None).await {
            Some((200, body)) => {
                wire::catalog(&body).map_or(CloudAnswer::Failed, CloudAnswer::Types)
            }
            _ => CloudAnswer::Failed,
        },
        CloudOp::Hire {
            name,
            type_name,
            zone,
            spot,
            count,
        } => {
            let body = serde_json::to_string(&wire::Hire {
                hire: name,
                flavour: type_name,
                yard: zone,
                reclaimable: *spot,
                number: *count,
            });
            match call(Method::POST, "/hosts".into(), body.ok()).await {
                Some((200, body)) => {
                    wire::hired(&body).map_or(CloudAnswer::Failed, CloudAnswer::Hired)
                }
                Some((503, body)) if String::from_utf8_lossy(&body).contains("no capacity") => {
                    CloudAnswer::NoCapacity
                }
                Some((400, body)) => {
                    tracing::error!(body = %String::from_utf8_lossy(&body), "rental malformed");
                    CloudAnswer::NoCapacity
                }
                _ => CloudAnswer::Failed,
            }
        }
        CloudOp::Delete { machines } => {
            let body = json!({"hosts": machines}).to_string();
            match call(Method::POST, "/hosts/delete".into(), Some(body)).await {
                Some((200, _)) => CloudAnswer::Deleted,
                _ => CloudAnswer::Failed,
            }
        }
        CloudOp::List { after } => {
            let since = after
                .as_ref()
                .map_or(String::new(), |a| format!("since={a}&"));
            let path = format!("/hosts?{since}most={LIST_PAGE}");
            match call(Method::GET, path, None).await {
                Some((200, body)) => match wire::hosts(&body) {
                    Some((hosts, more)) => CloudAnswer::Hosts { hosts, more },
                    None => CloudAnswer::Failed,
                },
                _ => CloudAnswer::Failed,
            }
        }
    }
}

pub fn client(http: Http, rps: f64, core: mpsc::Sender<Event>) -> mpsc::Sender<(Token, CloudOp)> {
    let (jobs_in, mut jobs) = mpsc::channel::<(Token, CloudOp)>(LINE);
    tokio::spawn(async move {
        let mut budget = Budget::new(rps, 2.0);
        while let Some((token, op)) = jobs.recv().await {
            let pause = budget.wait(1.0);
            if !pause.is_zero() {
                sleep(pause).await;
            }
            budget.take(1.0);
            let (http, core) = (http.clone(), core.clone());
            tokio::spawn(async move {
                let answer = execute(&http, &op).await;
                if answer == CloudAnswer::Failed {
                    tracing::debug!(?op, "the cloud did not do it");
                    // Spaces the tries; the core asks again when it still wants this.
                    sleep(Duration::from_millis(CATALOG_RETRY_MS)).await;
                }
                let _ = core.send(Event::Cloud { token, answer }).await;
            });
        }
    });
    jobs_in
}

pub fn connection(addr: std::net::SocketAddr) -> Http {
    Http::new(addr, CONNECT, false)
}
