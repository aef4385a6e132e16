//! HTTP server of the state store with rate limits, latency, outages and rejections.

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

/// Burst of both rate limits, in seconds' worth of tokens.
const BURST_S: f64 = 1.0;
/// Longest time for which the server holds a watch without changes.
const MAX_WATCH_HOLD_MS: u64 = 60_000;
/// Shortest and longest wait of an open watch before it checks again without a change: a watch stays open
/// during an outage, whose end isn't signalled as a change.
const MIN_WATCH_WAIT_MS: u64 = 20;
const MAX_WATCH_WAIT_MS: u64 = 250;
/// One of this many answers is slow, and the range of its latency.
const ANSWERS_PER_SLOW_ANSWER: u32 = 500;
const SLOW_LATENCY_MS: Range<u64> = 150..400;
/// Upper bound of the items of a page if the request sets none.
const DEFAULT_PAGE_ITEMS: u64 = 1_000;
/// Interval between two checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
const LEASE_TIME_TO_LIVE_MS: RangeInclusive<u64> = 100..=600_000;

/// A client of the state store, identified by the address at which it connects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreClient {
    /// The controller with this index.
    Controller(u32),
    /// An operator; its traffic isn't counted as the controllers' traffic.
    Operator,
}

struct RateLimits {
    requests: TokenBucket,
    changes: TokenBucket,
}

/// The server with its injected faults.
pub struct StateStoreServer {
    environment: Arc<Environment>,
    store: Mutex<KeyValueStore>,
    /// Revision of the store; each change wakes open watches.
    revision: watch::Sender<u64>,
    rate_limits: Mutex<RateLimits>,
    latency_ms: AtomicU64,
    is_down: AtomicBool,
    /// Controllers whose requests the server answers with 503.
    rejected_controllers: Mutex<BTreeSet<u32>>,
    versions: ConfigurationVersions,
}

impl StateStoreServer {
    /// Creates a server with the plan's limits and preloaded records.
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
            rejected_controllers: Mutex::default(),
            versions: ConfigurationVersions::default(),
            environment,
        });
        tokio::spawn(server.clone().expire_leases());
        server
    }

    /// Opens an address for a client at a site.
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

    /// Begins or ends an outage; at its end the server renews all leases for their full time to live.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Relaxed);
        if !is_down {
            lock(&self.store).renew_all_leases(self.environment.now_ms());
        }
    }

    /// Begins or ends the rejection of a controller's requests with 503.
    pub fn set_rejected(&self, controller: u32, is_rejected: bool) {
        let mut rejected = lock(&self.rejected_controllers);
        match is_rejected {
            true => rejected.insert(controller),
            false => rejected.remove(&controller),
        };
    }

    /// Reads the store, for the figures of the run.
    pub fn read<T>(&self, read: impl FnOnce(&KeyValueStore) -> T) -> T {
        read(&lock(&self.store))
    }

    async fn serve(&self, request: IncomingRequest, client: StoreClient, site: Site) -> Answer {
        let network = &self.environment.network;
        network.wait_until_reachable(site, Site::Outside).await;
        let kind = exchange_kind(&request);
        let request_bytes = request.bytes;
        let answer = self.answer(request, client).await;
        network.wait_until_reachable(Site::Outside, site).await;
        if client != StoreClient::Operator {
            let traffic = &self.environment.traffic;
            traffic.count(kind, request_bytes, answer.bytes());
        }
        answer
    }

    fn is_serving(&self, client: StoreClient) -> bool {
        let is_rejected = match client {
            StoreClient::Controller(index) => lock(&self.rejected_controllers).contains(&index),
            StoreClient::Operator => false,
        };
        !self.is_down.load(Relaxed) && !is_rejected
    }

    async fn answer(&self, request: IncomingRequest, client: StoreClient) -> Answer {
        self.sleep_for_latency().await;
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
            (&Method::GET, path) => match key_of_path(path) {
                Some(key) => self.get(key),
                None => Answer::error(400, "malformed"),
            },
            (_, path) => match path.strip_prefix(LEASES_PATH) {
                Some(lease_path) => self.lease(&request, lease_path),
                None => Answer::error(400, "malformed"),
            },
        }
    }

    async fn sleep_for_latency(&self) {
        let mean_ms = self.latency_ms.load(Relaxed);
        let latency_ms = match self.environment.draw(0..ANSWERS_PER_SLOW_ANSWER) {
            0 => self.environment.draw(SLOW_LATENCY_MS),
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

    /// Counts a transaction by the distinct kinds of records that it changes (`chunk+team` for a claim), and
    /// its changes by kind.
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
        let hold_ms = request
            .query_number("holdMs")
            .unwrap_or(0)
            .min(MAX_WATCH_HOLD_MS);
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
            let remaining_ms = ends_ms.saturating_sub(now_ms);
            let wait_ms = remaining_ms.clamp(MIN_WATCH_WAIT_MS, MAX_WATCH_WAIT_MS);
            let _ = timeout(Duration::from_millis(wait_ms), revisions.changed()).await;
        }
    }

    fn lease(&self, request: &IncomingRequest, lease_path: &str) -> Answer {
        let segments: Vec<&str> = lease_path
            .split('/')
            .filter(|segment| !segment.is_empty())
            .collect();
        let id = segments.first().and_then(|id| id.parse::<u64>().ok());
        let now_ms = self.environment.now_ms();
        let mut store = lock(&self.store);
        let (lease, is_held) = match (&request.method, id, segments.get(1)) {
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
    let lease_request = serde_json::from_slice::<LeaseRequest>(&request.body).ok();
    let time_to_live_ms = lease_request.map(|request| request.time_to_live_ms);
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

/// Returns the key that a path names.
fn key_of_path(path: &str) -> Option<&str> {
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
