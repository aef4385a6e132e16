//! The state-service client: one actor that owns the controller's share of the service's rates and
//! ranks its work, and one that follows the watch.

use crate::http_client::HttpClient;
use crate::timings::RECORDS_READ;
use crate::token_bucket::TokenBucket;
use glenmount_core::constants::*;
use glenmount_core::controller::{Event, OperationId, RequestClass, StateOperation, StateResponse};
use glenmount_core::state::{Key, Record, PREFIX};
use hyper::Method;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::VecDeque;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Duration, Instant};

/// Time an answer may take: usually 10 ms, now and then a few hundred.
const TIMEOUT: Duration = Duration::from_millis(1_200);
/// A transaction counts as unanswered after so many times what answers take on the whole ...
const UNANSWERED_TIMES: f64 = 6.0;
/// ... of which a new one replaces this part.
const TAKES_PART: f64 = 0.05;
/// Time to set up a connection on a network of a few milliseconds.
const CONNECT: Duration = Duration::from_millis(1_000);
/// Requests on their way at once: keeps connections few.
const IN_FLIGHT: usize = 12;
/// Items per page of a list at most, by protocol. Each page is a turn of the service; one that would
/// be larger than 512 KiB comes shorter.
const PAGE: u32 = 1_000;
/// Bytes of an answer at most.
const ANSWER_BYTES: usize = 8 << 20;
/// Pause after a 429.
const TOO_MANY_PAUSE: Duration = Duration::from_millis(150);
/// Pause between two tries to open the watch.
const WATCH_PAUSE: Duration = Duration::from_millis(250);
/// What has waited in line for longer is not sent: after this process was paused, or a long
/// time at the limit of the rate, it rests on what has changed since.
const OLD: Duration = Duration::from_millis(1_500);
/// Requests that may wait in line; more get `Unavailable` at once.
const LINE: usize = 4_000;

pub struct StateRequest {
    pub token: OperationId,
    pub op: StateOperation,
    pub request_class: RequestClass,
    pub since: Instant,
}

enum Message {
    Send(StateRequest),
    Wake,
    /// With the milliseconds that its answer took.
    Finished(Option<f64>),
    TooMany(StateRequest),
}

#[derive(Deserialize)]
struct EpochBody {
    #[serde(rename = "epoch")]
    revision: u64,
}

#[derive(Deserialize)]
struct ListBody<'a> {
    #[serde(borrow)]
    items: Vec<Item<'a>>,
    #[serde(default)]
    more: bool,
    #[serde(rename = "epoch")]
    revision: u64,
}

#[derive(Deserialize)]
struct Item<'a> {
    k: String,
    #[serde(borrow)]
    v: &'a RawValue,
    #[serde(rename = "stamp")]
    mod_revision: u64,
}

fn revision(body: &[u8]) -> Option<u64> {
    serde_json::from_slice::<EpochBody>(body)
        .ok()
        .map(|b| b.revision)
}

/// `None` stands for 429: not executed, to be sent again.
async fn execute(http: &HttpClient, op: &StateOperation) -> Option<StateResponse> {
    let answer = match op {
        StateOperation::Transaction(transaction) => {
            http.call(
                Method::POST,
                "/txn",
                Some(transaction.text()),
                TIMEOUT,
                ANSWER_BYTES,
            )
            .await
        }
        StateOperation::ReadIndex => {
            // A key that never exists: its 404 tells the revision.
            http.call(Method::GET, "/keys/g/none", None, TIMEOUT, ANSWER_BYTES)
                .await
        }
        StateOperation::List { after } => {
            let since = after
                .as_ref()
                .map_or(String::new(), |a| format!("&since={a}"));
            let path = format!("/keys?under={PREFIX}{since}&most={PAGE}");
            http.call(Method::GET, &path, None, TIMEOUT * 3, ANSWER_BYTES)
                .await
        }
    };
    let Some((status, body)) = answer else {
        return Some(StateResponse::NoAnswer);
    };
    let parsed = match (op, status) {
        (_, 429) => return None,
        (_, 503) => return Some(StateResponse::Unavailable),
        (StateOperation::Transaction(_), 200) => {
            revision(&body).map(|revision| StateResponse::Committed { revision })
        }
        (StateOperation::Transaction(_), 409) => {
            tracing::debug!(answer = %String::from_utf8_lossy(&body[..body.len().min(300)]), "conflict");
            revision(&body).map(|revision| StateResponse::Conflict { revision })
        }
        (StateOperation::ReadIndex, 404) => {
            revision(&body).map(|revision| StateResponse::ReadIndex { revision })
        }
        (StateOperation::List { .. }, 200) => RECORDS_READ.time(|| {
            serde_json::from_slice::<ListBody>(&body).ok().map(|list| {
                let last = list.items.last().map(|i| i.k.clone());
                let items = list
                    .items
                    .into_iter()
                    .filter_map(|i| {
                        let key = Key::parse(&i.k)?;
                        let record = Record::read_text(&key, i.v.get())?;
                        Some((key, i.mod_revision, record))
                    })
                    .collect();
                StateResponse::Listed {
                    items,
                    last,
                    more: list.more,
                    revision: list.revision,
                }
            })
        }),
        (_, 400) => Some(StateResponse::Refused),
        _ => None,
    };
    if parsed.is_none() || parsed == Some(StateResponse::Refused) {
        tracing::error!(status, body = %String::from_utf8_lossy(&body[..body.len().min(200)]),
            "unexpected answer of the state service");
    }
    Some(parsed.unwrap_or(StateResponse::NoAnswer))
}

fn cost(op: &StateOperation) -> f64 {
    match op {
        StateOperation::Transaction(transaction) => transaction.changes.len() as f64,
        _ => 0.0,
    }
}

/// It was never sent, so it certainly had no effect.
fn unavailable(job: &StateRequest) -> Event {
    Event::State {
        token: job.token,
        answer: StateResponse::Unavailable,
    }
}

/// Rates at which the state store may be asked.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Changes a second.
    pub changes_per_s: f64,
}

/// Starts the actor; work is sent to the returned channel, outcomes go to the core.
pub fn client(
    http: HttpClient,
    rates: Rates,
    core: mpsc::Sender<Event>,
) -> mpsc::Sender<StateRequest> {
    let (jobs_in, mut jobs) = mpsc::channel::<StateRequest>(LINE);
    let (inner_in, mut inner) = mpsc::unbounded_channel::<Message>();
    let forward = inner_in.clone();
    tokio::spawn(async move {
        while let Some(job) = jobs.recv().await {
            if forward.send(Message::Send(job)).is_err() {
                break;
            }
        }
    });
    tokio::spawn(async move {
        let http = Arc::new(http);
        let mut requests = TokenBucket::new(rates.requests_per_s, 0.9);
        let mut writes = TokenBucket::new(rates.changes_per_s, 0.9);
        let mut lines: [VecDeque<StateRequest>; 4] = Default::default();
        let mut in_flight = 0;
        let mut takes_ms: f64 = 0.0;
        let mut wait = Duration::ZERO;
        loop {
            let message = if wait.is_zero() {
                inner.recv().await
            } else {
                tokio::select! {
                    m = inner.recv() => m,
                    _ = sleep(wait) => Some(Message::Wake),
                }
            };
            match message {
                None => return,
                Some(Message::Wake) => {}
                Some(Message::Send(job)) => {
                    let line = &mut lines[job.request_class as usize];
                    if line.len() >= LINE {
                        let _ = core.send(unavailable(&job)).await;
                    } else {
                        line.push_back(job);
                    }
                }
                Some(Message::Finished(took)) => {
                    in_flight -= 1;
                    takes_ms += took.map_or(0.0, |ms| TAKES_PART * (ms - takes_ms));
                }
                Some(Message::TooMany(job)) => {
                    in_flight -= 1;
                    requests.drain();
                    writes.drain();
                    let _ = core.send(Event::Throttled).await;
                    lines[job.request_class as usize].push_front(job);
                }
            }
            wait = Duration::ZERO;
            while in_flight < IN_FLIGHT {
                let Some(line) = lines.iter_mut().find(|l| !l.is_empty()) else {
                    break;
                };
                if line.front().is_some_and(|job| job.since.elapsed() > OLD) {
                    if let Some(old) = line.pop_front() {
                        let _ = core.send(unavailable(&old)).await;
                    }
                    continue;
                }
                let puts = line.front().map_or(0.0, |j| cost(&j.op));
                let pause = requests.time_until(1.0).max(writes.time_until(puts));
                if !pause.is_zero() {
                    wait = pause.max(Duration::from_millis(1));
                    break;
                }
                let Some(job) = line.pop_front() else { break };
                requests.take(1.0);
                writes.take(puts);
                in_flight += 1;
                let (http, core, inner_in) = (http.clone(), core.clone(), inner_in.clone());
                let patience = (takes_ms * UNANSWERED_TIMES).max(STATE_TIMEOUT_MS as f64);
                let patience = Duration::from_secs_f64(patience / 1e3).min(TIMEOUT);
                tokio::spawn(async move {
                    let (token, begun) = (job.token, Instant::now());
                    let answer = {
                        let mut call = std::pin::pin!(execute(&http, &job.op));
                        match timeout(patience, &mut call).await {
                            Ok(answer) => answer,
                            Err(_) => {
                                if matches!(job.op, StateOperation::Transaction(_)) {
                                    let _ = core.send(Event::StateTimeout { token }).await;
                                }
                                call.await
                            }
                        }
                    };
                    match answer {
                        Some(answer) => {
                            let took = begun.elapsed().as_secs_f64() * 1e3;
                            let took = Some(took).filter(|_| answer != StateResponse::NoAnswer);
                            let _ = core.send(Event::State { token, answer }).await;
                            let _ = inner_in.send(Message::Finished(took));
                        }
                        None => {
                            sleep(TOO_MANY_PAUSE).await;
                            let _ = inner_in.send(Message::TooMany(job));
                        }
                    }
                });
            }
        }
    });
    jobs_in
}

#[derive(Deserialize)]
struct WatchBody<'a> {
    #[serde(rename = "epoch")]
    revision: u64,
    #[serde(default, borrow)]
    news: Vec<News<'a>>,
}

#[derive(Deserialize)]
struct News<'a> {
    put: Option<String>,
    remove: Option<String>,
    #[serde(borrow)]
    v: Option<&'a RawValue>,
    #[serde(rename = "stamp")]
    mod_revision: u64,
}

/// Follows all changes; a revision sent to the returned channel opens the watch anew.
pub fn watch(http: HttpClient, core: mpsc::Sender<Event>) -> mpsc::Sender<u64> {
    let (restart_in, mut restart) = mpsc::channel::<u64>(16);
    tokio::spawn(async move {
        let Some(mut since) = restart.recv().await else {
            return;
        };
        loop {
            let path = format!("/watch?under={PREFIX}&since={since}&holdMs={WATCH_HOLD_MS}");
            let timeout = Duration::from_millis(WATCH_HOLD_MS) + Duration::from_secs(60);
            let call = http.call(Method::GET, &path, None, timeout, ANSWER_BYTES);
            let answer = tokio::select! {
                answer = call => answer,
                new = restart.recv() => {
                    match new {
                        Some(revision) => since = revision,
                        None => return,
                    }
                    continue;
                }
            };
            match answer {
                Some((200, body)) => match RECORDS_READ.time(|| watched(&body)) {
                    Ok((revision, changes)) => {
                        since = since.max(revision);
                        let event = Event::WatchUpdate { revision, changes };
                        if core.send(event).await.is_err() {
                            return;
                        }
                    }
                    Err(error) => {
                        tracing::error!(%error, "unreadable changes");
                        sleep(WATCH_PAUSE).await;
                    }
                },
                Some((410, _)) => {
                    let _ = core.send(Event::WatchGap).await;
                    match restart.recv().await {
                        Some(revision) => since = revision,
                        None => return,
                    }
                }
                _ => sleep(WATCH_PAUSE).await,
            }
        }
    });
    restart_in
}

type Changes = Vec<(Key, u64, Option<Record>)>;

fn watched(body: &[u8]) -> serde_json::Result<(u64, Changes)> {
    let body: WatchBody = serde_json::from_slice(body)?;
    let changes = body.news.into_iter().filter_map(change).collect();
    Ok((body.revision, changes))
}

fn change(news: News) -> Option<(Key, u64, Option<Record>)> {
    if let Some(path) = news.put {
        let key = Key::parse(&path)?;
        let record = Record::read_text(&key, news.v?.get())?;
        Some((key, news.mod_revision, Some(record)))
    } else {
        Some((Key::parse(&news.remove?)?, news.mod_revision, None))
    }
}

pub fn connection(addr: std::net::SocketAddr) -> HttpClient {
    HttpClient::new(addr, CONNECT, false)
}
