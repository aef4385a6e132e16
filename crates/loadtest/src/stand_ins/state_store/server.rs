//! The state store behind HTTP, with rate limits, latency, outages and rejections.

use super::configuration_versions::{version_changes, ConfigurationVersions};
use super::key_value_store::{record_kind, KeyValueStore, SizeLimits, TransactionOutcome};
use super::preload::ended_job;
use crate::environment::Environment;
use crate::measurement::traffic::ExchangeKind;
use crate::network::http::{bind_loopback, serve, Answer, IncomingRequest};
use crate::network::partitions::Site;
use crate::protocol::state_store::{
    ConflictAnswer, LeaseAnswer, LeaseRequest, RevisionAnswer, Transaction, WatchAnswer, KEYS_PATH,
    LEASES_PATH, RENEW_SEGMENT, TRANSACTION_PATH, WATCH_PATH,
};
use crate::stand_ins::token_bucket::TokenBucket;
use crate::sync::lock;
use hyper::Method;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::ops::{Range, RangeInclusive};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Duration};

/// Both rate limits allow one second's worth at once.
const BURST_S: f64 = 1.0;
/// Longest hold of a watch.
const MAX_HOLD_MS: u64 = 60_000;
/// How long an open watch sleeps at least and at most before it looks again: it waits through an outage.
const WATCH_WAIT_MS: (u64, u64) = (20, 250);
/// One answer in so many takes some hundred milliseconds.
const SLOW_ONE_IN: u32 = 500;
const SLOW_MS: Range<u64> = 150..400;
/// Items of a page unless a request says otherwise.
const DEFAULT_PAGE_ITEMS: u64 = 1_000;
/// How often leases are looked at.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
const LEASE_TIME_TO_LIVE_MS: RangeInclusive<u64> = 100..=600_000;

/// Who has an address of its own at the state store, by which it is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreClient {
    /// A controller by its index.
    Controller(u32),
    /// Operators; their traffic is not counted with the controllers'.
    Operator,
}

struct RateLimits {
    requests: TokenBucket,
    changes: TokenBucket,
}

/// The server and the faults that it has.
pub struct StateStoreServer {
    environment: Arc<Environment>,
    store: Mutex<KeyValueStore>,
    /// The store's revision, for open watches.
    revision: watch::Sender<u64>,
    rate_limits: Mutex<RateLimits>,
    latency_ms: AtomicU64,
    is_down: AtomicBool,
    /// Controllers that get 503.
    rejected: Mutex<BTreeSet<u32>>,
    versions: ConfigurationVersions,
}

impl StateStoreServer {
    /// A server with the plan's limits and preloaded records.
    pub fn new(environment: Arc<Environment>) -> Arc<StateStoreServer> {
        let limits = &environment.plan.state;
        let mut store = KeyValueStore::default();
        for index in 0..environment.plan.ended_jobs {
            let (key, value) = ended_job(index);
            store.preload(key, value);
        }
        let server = Arc::new(StateStoreServer {
            revision: watch::channel(store.revision()).0,
            store: Mutex::new(store),
            rate_limits: Mutex::new(RateLimits {
                requests: TokenBucket::new(limits.requests_per_s, BURST_S),
                changes: TokenBucket::new(limits.changes_per_s, BURST_S),
            }),
            latency_ms: AtomicU64::new(limits.latency_ms.round() as u64),
            is_down: AtomicBool::new(false),
            rejected: Mutex::default(),
            versions: ConfigurationVersions::default(),
            environment,
        });
        tokio::spawn(server.clone().expire_leases());
        server
    }

    /// Opens an address of its own for a client at a site.
    pub async fn listen(
        self: &Arc<Self>,
        client: StoreClient,
        site: Site,
    ) -> io::Result<SocketAddr> {
        let (listener, address) = bind_loopback().await?;
        let server = self.clone();
        serve(listener, move |request| {
            let server = server.clone();
            async move { server.serve(request, client, site).await }
        });
        Ok(address)
    }

    /// Sets the mean latency of answers.
    pub fn set_latency(&self, latency_ms: f64) {
        self.latency_ms.store(latency_ms.round() as u64, Relaxed);
    }

    /// Begins or ends an outage; leases have their full time when it ends.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Relaxed);
        if !is_down {
            lock(&self.store).renew_all_leases(self.environment.now_ms());
        }
    }

    /// Begins or ends to answer 503 to a controller.
    pub fn set_rejected(&self, controller: u32, is_rejected: bool) {
        let mut rejected = lock(&self.rejected);
        match is_rejected {
            true => rejected.insert(controller),
            false => rejected.remove(&controller),
        };
    }

    /// Reads the store, for what is printed at the end.
    pub fn read<T>(&self, look: impl FnOnce(&KeyValueStore) -> T) -> T {
        look(&lock(&self.store))
    }

    async fn serve(&self, request: IncomingRequest, client: StoreClient, site: Site) -> Answer {
        let network = &self.environment.network;
        network.until_reachable(site, Site::Outside).await;
        let kind = exchange_kind(&request);
        let request_bytes = request.bytes;
        let answer = self.answer(request, client).await;
        network.until_reachable(Site::Outside, site).await;
        if client != StoreClient::Operator {
            let traffic = &self.environment.traffic;
            traffic.count(kind, request_bytes, answer.bytes());
        }
        answer
    }

    fn is_serving(&self, client: StoreClient) -> bool {
        let is_rejected = match client {
            StoreClient::Controller(index) => lock(&self.rejected).contains(&index),
            StoreClient::Operator => false,
        };
        !self.is_down.load(Relaxed) && !is_rejected
    }

    async fn answer(&self, request: IncomingRequest, client: StoreClient) -> Answer {
        self.take_latency().await;
        if !self.is_serving(client) {
            return Answer::error(503, "unavailable");
        }
        let now_ms = self.environment.now_ms();
        if !lock(&self.rate_limits).requests.take(1.0, now_ms) {
            return Answer::error(429, "too many requests");
        }
        match (&request.method, request.path.as_str()) {
            (&Method::POST, TRANSACTION_PATH) => self.transact(&request),
            (&Method::GET, WATCH_PATH) => self.watch(&request, client).await,
            (&Method::GET, KEYS_PATH) => self.list(&request),
            (&Method::GET, path) => match key_in(path) {
                Some(key) => self.get(key),
                None => Answer::error(400, "malformed"),
            },
            (_, path) => match path.strip_prefix(LEASES_PATH) {
                Some(rest) => self.lease(&request, rest),
                None => Answer::error(400, "malformed"),
            },
        }
    }

    async fn take_latency(&self) {
        let mean_ms = self.latency_ms.load(Relaxed);
        let latency_ms = match self.environment.draw(0..SLOW_ONE_IN) {
            0 => self.environment.draw(SLOW_MS),
            _ => self.environment.draw(mean_ms / 2..=mean_ms * 3 / 2),
        };
        if latency_ms > 0 {
            sleep(Duration::from_millis(latency_ms)).await;
        }
    }

    fn get(&self, key: &str) -> Answer {
        let store = lock(&self.store);
        match store.get(key) {
            Some(item) => Answer::json(200, &item),
            None => revision_answer(404, store.revision()),
        }
    }

    fn list(&self, request: &IncomingRequest) -> Answer {
        let max_items = request.query_number("most").unwrap_or(DEFAULT_PAGE_ITEMS) as usize;
        let (prefix, after) = (request.query_value("under"), request.query_value("since"));
        let page = lock(&self.store).list(prefix, after, max_items);
        Answer::json(200, &page)
    }

    fn transact(&self, request: &IncomingRequest) -> Answer {
        let Ok(transaction) = serde_json::from_slice::<Transaction>(&request.body) else {
            return Answer::error(400, "malformed");
        };
        let change_count = transaction.changes.len() as f64;
        let now_ms = self.environment.now_ms();
        if !lock(&self.rate_limits).changes.take(change_count, now_ms) {
            return Answer::error(429, "too many changes");
        }
        let kinds: Vec<String> = (transaction.changes.iter())
            .map(|change| record_kind(change.key()))
            .collect();
        let versions = version_changes(&transaction);
        let limits = &self.environment.plan.state;
        let size_limits = SizeLimits {
            value_bytes: (limits.max_value_kb * 1_024.0) as usize,
            changes: limits.max_changes as usize,
        };
        let mut store = lock(&self.store);
        let outcome = store.transact(transaction, request.body.len(), size_limits);
        self.revision.send_replace(store.revision());
        drop(store);
        if let TransactionOutcome::Committed(_) = outcome {
            let (now_ms, latencies) = (self.environment.now_ms(), &self.environment.latencies);
            self.versions.record(versions, now_ms, latencies);
        }
        self.count_transaction(&outcome, kinds);
        transaction_answer(&outcome)
    }

    /// Counts a transaction by the kinds of records that it changes, each once (`chunk+team` for a claim),
    /// and its changes by kind.
    fn count_transaction(&self, outcome: &TransactionOutcome, kinds: Vec<String>) {
        let suffix = match outcome {
            TransactionOutcome::Committed(_) => "",
            TransactionOutcome::Conflict { .. } => " (conflict)",
            TransactionOutcome::Malformed(_) => " (refused)",
        };
        let distinct: BTreeSet<&str> = kinds.iter().map(String::as_str).collect();
        let distinct: Vec<&str> = distinct.into_iter().collect();
        let name = format!("{}{suffix}", distinct.join("+"));
        self.environment.transactions.add(&name, 1);
        for kind in kinds {
            let name = format!("{kind}{suffix}");
            self.environment.record_changes.add(&name, 1);
        }
    }

    async fn watch(&self, request: &IncomingRequest, client: StoreClient) -> Answer {
        let prefix = request.query_value("under");
        let since = request.query_number("since").unwrap_or(0);
        let hold_ms = request.query_number("holdMs").unwrap_or(0).min(MAX_HOLD_MS);
        let ends_ms = self.environment.now_ms() + hold_ms;
        let mut revisions = self.revision.subscribe();
        loop {
            revisions.mark_unchanged();
            let (revision, events) = {
                let store = lock(&self.store);
                (store.revision(), store.changes_since(prefix, since))
            };
            let is_serving = self.is_serving(client);
            let now_ms = self.environment.now_ms();
            match events {
                None if is_serving => return revision_answer(410, revision),
                Some(events) if is_serving && (!events.is_empty() || now_ms >= ends_ms) => {
                    return Answer::json(200, &WatchAnswer { revision, events });
                }
                _ => {}
            }
            let (least_ms, most_ms) = WATCH_WAIT_MS;
            let wait_ms = ends_ms.saturating_sub(now_ms).clamp(least_ms, most_ms);
            let _ = timeout(Duration::from_millis(wait_ms), revisions.changed()).await;
        }
    }

    fn lease(&self, request: &IncomingRequest, path: &str) -> Answer {
        let parts: Vec<&str> = path.split('/').filter(|part| !part.is_empty()).collect();
        let id = parts.first().and_then(|id| id.parse::<u64>().ok());
        let now_ms = self.environment.now_ms();
        let mut store = lock(&self.store);
        let (lease, is_held) = match (&request.method, id, parts.get(1)) {
            (&Method::POST, None, None) => return grant_lease(&mut store, request, now_ms),
            (&Method::POST, Some(id), Some(&RENEW_SEGMENT)) => (id, store.renew_lease(id, now_ms)),
            (&Method::DELETE, Some(id), None) => (id, store.end_lease(id)),
            _ => return Answer::error(400, "malformed"),
        };
        self.revision.send_replace(store.revision());
        match is_held {
            true => Answer::json(200, &LeaseAnswer { lease }),
            false => Answer::error(404, "no such lease"),
        }
    }

    async fn expire_leases(self: Arc<Self>) {
        loop {
            sleep(LEASE_CHECK_INTERVAL).await;
            if self.is_down.load(Relaxed) {
                continue;
            }
            let mut store = lock(&self.store);
            if store.expire_leases(self.environment.now_ms()) {
                self.revision.send_replace(store.revision());
            }
        }
    }
}

fn grant_lease(store: &mut KeyValueStore, request: &IncomingRequest, now_ms: u64) -> Answer {
    let requested = serde_json::from_slice::<LeaseRequest>(&request.body).ok();
    let time_to_live_ms = requested.map(|request| request.time_to_live_ms);
    match time_to_live_ms.filter(|ms| LEASE_TIME_TO_LIVE_MS.contains(ms)) {
        Some(time_to_live_ms) => {
            let lease = store.grant_lease(time_to_live_ms, now_ms);
            Answer::json(200, &LeaseAnswer { lease })
        }
        None => Answer::error(400, "lifeMs"),
    }
}

fn transaction_answer(outcome: &TransactionOutcome) -> Answer {
    match outcome {
        TransactionOutcome::Committed(revision) => revision_answer(200, *revision),
        TransactionOutcome::Conflict {
            failed_keys,
            revision,
        } => {
            let conflict = ConflictAnswer {
                failed_keys,
                revision: *revision,
            };
            Answer::json(409, &conflict)
        }
        TransactionOutcome::Malformed(problem) => Answer::error(400, problem),
    }
}

fn revision_answer(status: u16, revision: u64) -> Answer {
    Answer::json(status, &RevisionAnswer { revision })
}

/// The key whose own path this is.
fn key_in(path: &str) -> Option<&str> {
    path.strip_prefix(KEYS_PATH)?.strip_prefix('/')
}

fn exchange_kind(request: &IncomingRequest) -> ExchangeKind {
    match request.path.as_str() {
        TRANSACTION_PATH => ExchangeKind::StateTransaction,
        WATCH_PATH => ExchangeKind::StateWatch,
        KEYS_PATH => ExchangeKind::StateList,
        path if path.starts_with(LEASES_PATH) => ExchangeKind::StateLease,
        _ => ExchangeKind::StateRead,
    }
}
