//! A stand-in of the state service: the store behind HTTP, with limits, latency, outages and refusals.

use crate::environment::Environment;
use crate::measurement::counters::{ExchangeKind, LatencyKind};
use crate::network::http::{serve, Answer, Incoming};
use crate::network::partitions::{lock, Site};
use crate::stand_ins::state_store::key_value_store::{
    kind_of, ChangeEvent, KeyValueStore, SizeLimits, Transaction, TransactionOutcome,
};
use crate::stand_ins::token_bucket::TokenBucket;
use glenmount_core::state::formats::LATEST;
use glenmount_core::state::{JobPhase, JobRecord, Key, Record};
use hyper::Method;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Duration};

/// Both limits allow one second's worth at once.
const BURST_S: f64 = 1.0;
/// Longest hold of a watch.
const MOST_HOLD_MS: u64 = 60_000;
/// One answer in so many takes some hundred milliseconds.
const SLOW_ONE_IN: u32 = 500;
const SLOW_MS: std::ops::Range<u64> = 150..400;
/// Time of day at which preloaded jobs were accepted.
const ENDED_AT_MS: u64 = 1_700_000_000_000;
/// Stands for operators where controllers are numbered; their traffic is not counted with these.
pub const OPERATORS: u32 = u32::MAX;
/// How often leases are looked at.
const LEASE_CHECK: Duration = Duration::from_millis(50);
const LEASE_LIFE_MS: std::ops::RangeInclusive<u64> = 100..=600_000;

#[derive(Serialize)]
struct RevisionAnswer {
    #[serde(rename = "epoch")]
    revision: u64,
}

#[derive(Serialize)]
struct Failed<'a> {
    failed: &'a [String],
    #[serde(rename = "epoch")]
    revision: u64,
}

#[derive(Serialize)]
struct Problem<'a> {
    error: &'a str,
}

#[derive(Serialize)]
struct WatchAnswer {
    #[serde(rename = "epoch")]
    revision: u64,
    news: Vec<ChangeEvent>,
}

#[derive(Deserialize)]
struct LeaseRequest {
    #[serde(rename = "lifeMs")]
    life_ms: u64,
}

#[derive(Serialize)]
struct LeaseAnswer {
    tenancy: u64,
}

struct Limits {
    requests: TokenBucket,
    changes: TokenBucket,
}

/// The service and the troubles that it has.
pub struct StateStoreServer {
    environment: Arc<Environment>,
    store: Mutex<KeyValueStore>,
    revision: watch::Sender<u64>,
    limits: Mutex<Limits>,
    latency_ms: AtomicU64,
    down: AtomicBool,
    /// Controllers that get 503.
    refused: Mutex<BTreeSet<u32>>,
    /// When versions of the configuration were committed.
    versions: Mutex<BTreeMap<u64, u64>>,
}

/// The part of a configuration's records that is looked at here.
#[derive(Deserialize)]
struct VersionOf {
    v: u64,
}

impl StateStoreServer {
    pub fn new(environment: Arc<Environment>) -> Arc<StateStoreServer> {
        let limits = &environment.plan.state;
        let mut store = KeyValueStore::default();
        for n in 0..environment.plan.ended_jobs {
            let (key, value) = ended_job(n);
            store.preload(key, value);
        }
        let service = Arc::new(StateStoreServer {
            revision: watch::channel(store.revision()).0,
            store: Mutex::new(store),
            limits: Mutex::new(Limits {
                requests: TokenBucket::new(limits.rps, BURST_S),
                changes: TokenBucket::new(limits.write_rps, BURST_S),
            }),
            latency_ms: AtomicU64::new(limits.latency_ms.round() as u64),
            down: AtomicBool::new(false),
            refused: Mutex::default(),
            versions: Mutex::default(),
            environment,
        });
        tokio::spawn(service.clone().expire_leases());
        service
    }

    /// An address of its own for a controller, by which that one is known; or for operators, who stand
    /// outside of all zones.
    pub async fn listen(
        self: &Arc<Self>,
        controller: u32,
        zone: Site,
    ) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let service = self.clone();
        serve(listener, move |request| {
            let service = service.clone();
            async move { service.serve(request, controller, zone).await }
        });
        Ok(address)
    }

    pub fn set_latency(&self, ms: f64) {
        self.latency_ms.store(ms.round() as u64, Relaxed);
    }

    pub fn set_down(&self, down: bool) {
        self.down.store(down, Relaxed);
        if !down {
            lock(&self.store).renew_all(self.environment.now_ms());
        }
    }

    pub fn set_refused(&self, controller: u32, refused: bool) {
        let mut all = lock(&self.refused);
        match refused {
            true => all.insert(controller),
            false => all.remove(&controller),
        };
    }

    /// Reads the store, for what is printed at the end.
    pub fn read<T>(&self, look: impl FnOnce(&KeyValueStore) -> T) -> T {
        look(&lock(&self.store))
    }

    async fn serve(&self, request: Incoming, controller: u32, zone: Site) -> Answer {
        let network = &self.environment.network;
        network.until_reached(zone, Site::Outside).await;
        let kind = kind(&request);
        let request_bytes = request.bytes;
        let answer = self.answer(request, controller).await;
        network.until_reached(Site::Outside, zone).await;
        let traffic = &self.environment.traffic;
        if controller != OPERATORS {
            traffic.count(kind, request_bytes, answer.bytes());
        }
        answer
    }

    fn serves(&self, controller: u32) -> bool {
        !self.down.load(Relaxed) && !lock(&self.refused).contains(&controller)
    }

    async fn answer(&self, request: Incoming, controller: u32) -> Answer {
        self.take_time().await;
        if !self.serves(controller) {
            return problem(503, "unavailable");
        }
        let now_ms = self.environment.now_ms();
        if !lock(&self.limits).requests.take(1.0, now_ms) {
            return problem(429, "too many requests");
        }
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/txn") => self.transact(&request),
            (&Method::GET, "/watch") => self.watch(&request, controller).await,
            (&Method::GET, "/keys") => {
                let most = request.number("most").unwrap_or(1_000) as usize;
                let store = lock(&self.store);
                let page = store.list(request.word("under"), request.word("since"), most);
                Answer::json(200, &page)
            }
            (&Method::GET, path) => match path.strip_prefix("/keys/") {
                Some(key) => self.get(key),
                None => problem(400, "malformed"),
            },
            (_, path) => match path.strip_prefix("/leases") {
                Some(rest) => self.lease(&request, rest),
                None => problem(400, "malformed"),
            },
        }
    }

    async fn take_time(&self) {
        let usual = self.latency_ms.load(Relaxed);
        let ms = match self.environment.draw(0..SLOW_ONE_IN) {
            0 => self.environment.draw(SLOW_MS),
            _ => self.environment.draw(usual / 2..=usual * 3 / 2),
        };
        if ms > 0 {
            sleep(Duration::from_millis(ms)).await;
        }
    }

    fn get(&self, key: &str) -> Answer {
        let store = lock(&self.store);
        match store.get(key) {
            Some(item) => Answer::json(200, &item),
            None => Answer::json(
                404,
                &RevisionAnswer {
                    revision: store.revision(),
                },
            ),
        }
    }

    fn transact(&self, request: &Incoming) -> Answer {
        let Ok(transaction) = serde_json::from_slice::<Transaction>(&request.body) else {
            return problem(400, "malformed");
        };
        let changes = transaction.apply.len() as f64;
        let now_ms = self.environment.now_ms();
        if !lock(&self.limits).changes.take(changes, now_ms) {
            return problem(429, "too many changes");
        }
        let shape = shape(&transaction);
        let versions = versions(&transaction);
        let kinds: Vec<String> = transaction.apply.iter().map(|c| kind_of(c.key())).collect();
        let limits = &self.environment.plan.state;
        let sizes = SizeLimits {
            value_bytes: (limits.value_kb * 1_024.0) as usize,
            changes: limits.txn_ops as usize,
        };
        let mut store = lock(&self.store);
        let outcome = store.transact(transaction, request.body.len(), sizes);
        self.revision.send_replace(store.revision());
        drop(store);
        let (answer, ended) = match &outcome {
            TransactionOutcome::Committed(revision) => (
                Answer::json(
                    200,
                    &RevisionAnswer {
                        revision: *revision,
                    },
                ),
                "",
            ),
            TransactionOutcome::Conflict { failed, revision } => {
                let failed = Failed {
                    failed,
                    revision: *revision,
                };
                (Answer::json(409, &failed), " (conflict)")
            }
            TransactionOutcome::Malformed(what) => (problem(400, what), " (refused)"),
        };
        if let TransactionOutcome::Committed(_) = outcome {
            self.note_versions(versions);
        }
        let name = format!("{shape}{ended}");
        self.environment.transactions.add(&name, 1);
        for kind in kinds {
            self.environment
                .record_changes
                .add(&format!("{kind}{ended}"), 1);
        }
        answer
    }

    /// Notes when a version is committed, and how long it took until a controller follows it.
    fn note_versions(&self, changed: Vec<Versioned>) {
        let now_ms = self.environment.now_ms();
        let mut versions = lock(&self.versions);
        for change in changed {
            match change {
                Versioned::Committed(version) => {
                    versions.insert(version, now_ms);
                }
                Versioned::Followed(version) => {
                    if let Some(at) = versions.get(&version) {
                        self.environment
                            .latencies
                            .record(LatencyKind::ConfigurationInForce, now_ms - at);
                    }
                }
            }
        }
    }

    async fn watch(&self, request: &Incoming, controller: u32) -> Answer {
        let under = request.word("under");
        let since = request.number("since").unwrap_or(0);
        let hold = request.number("holdMs").unwrap_or(0).min(MOST_HOLD_MS);
        let ends_ms = self.environment.now_ms() + hold;
        let mut revisions = self.revision.subscribe();
        loop {
            revisions.mark_unchanged();
            let news = {
                let store = lock(&self.store);
                (store.revision(), store.changes_since(under, since))
            };
            let serves = self.serves(controller);
            let now_ms = self.environment.now_ms();
            match news {
                (_, None) if serves => {
                    return Answer::json(410, &RevisionAnswer { revision: news.0 })
                }
                (revision, Some(news)) if serves && (!news.is_empty() || now_ms >= ends_ms) => {
                    return Answer::json(200, &WatchAnswer { revision, news });
                }
                _ => {}
            }
            // An open watch waits through an outage.
            let left = ends_ms.saturating_sub(now_ms).clamp(20, 250);
            let _ = timeout(Duration::from_millis(left), revisions.changed()).await;
        }
    }

    fn lease(&self, request: &Incoming, rest: &str) -> Answer {
        let now_ms = self.environment.now_ms();
        let mut store = lock(&self.store);
        let parts: Vec<&str> = rest.split('/').filter(|part| !part.is_empty()).collect();
        let id = parts.first().and_then(|id| id.parse::<u64>().ok());
        let held = match (&request.method, id, parts.get(1)) {
            (&Method::POST, None, None) => {
                let asked = serde_json::from_slice::<LeaseRequest>(&request.body);
                let life = asked.ok().map(|asked| asked.life_ms);
                let Some(life) = life.filter(|ms| LEASE_LIFE_MS.contains(ms)) else {
                    return problem(400, "lifeMs");
                };
                let tenancy = store.grant(life, now_ms);
                return Answer::json(200, &LeaseAnswer { tenancy });
            }
            (&Method::POST, Some(id), Some(&"touch")) => store.renew(id, now_ms),
            (&Method::DELETE, Some(id), None) => store.end(id),
            _ => return problem(400, "malformed"),
        };
        self.revision.send_replace(store.revision());
        match (held, id) {
            (true, Some(tenancy)) => Answer::json(200, &LeaseAnswer { tenancy }),
            _ => problem(404, "no such lease"),
        }
    }

    async fn expire_leases(self: Arc<Self>) {
        loop {
            sleep(LEASE_CHECK).await;
            if self.down.load(Relaxed) {
                continue;
            }
            let mut store = lock(&self.store);
            if store.expire(self.environment.now_ms()) {
                self.revision.send_replace(store.revision());
            }
        }
    }
}

/// The record of a job that ended long ago, as controllers write it.
fn ended_job(
    n: u32,
) -> (
    String,
    crate::stand_ins::state_store::key_value_store::Value,
) {
    let id = format!("j-8{n:07}");
    let record = Record::Job(JobRecord {
        phase: JobPhase::Done,
        tasks: 1 + n % 700,
        chunk: 100,
        at: ENDED_AT_MS + u64::from(n),
        ended: ENDED_AT_MS + u64::from(n) + 60_000,
        spec: None,
    });
    let text = record.value(LATEST).to_string();
    let value = RawValue::from_string(text).unwrap_or_else(|_| RawValue::NULL.to_owned());
    (Key::Job(id).path(), Arc::from(value))
}

/// What a transaction says of versions of the configuration.
enum Versioned {
    Committed(u64),
    Followed(u64),
}

fn versions(transaction: &Transaction) -> Vec<Versioned> {
    let each = transaction.apply.iter().filter_map(|change| {
        let key = change.put.as_deref()?;
        let wanted = key == "g/configuration" || key.starts_with("g/following/");
        let value = change.v.as_ref().filter(|_| wanted)?;
        let version = serde_json::from_str::<VersionOf>(value.get()).ok()?.v;
        Some(match key {
            "g/configuration" => Versioned::Committed(version),
            _ => Versioned::Followed(version),
        })
    });
    each.collect()
}

fn problem(status: u16, error: &str) -> Answer {
    Answer::json(status, &Problem { error })
}

fn kind(request: &Incoming) -> ExchangeKind {
    match request.path.as_str() {
        "/txn" => ExchangeKind::StateTransaction,
        "/watch" => ExchangeKind::StateWatch,
        "/keys" => ExchangeKind::StateList,
        path if path.starts_with("/leases") => ExchangeKind::StateLease,
        _ => ExchangeKind::StateRead,
    }
}

/// The kinds of records that a transaction changes, each once: `chunk+team` for a claim.
fn shape(transaction: &Transaction) -> String {
    let kinds: BTreeSet<String> = (transaction.apply.iter())
        .map(|change| kind_of(change.key()))
        .collect();
    let kinds: Vec<String> = kinds.into_iter().collect();
    kinds.join("+")
}
