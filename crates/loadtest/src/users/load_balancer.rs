//! Load balancer of the users: probes controllers and picks one for each new connection.

use crate::environment::Environment;
use crate::measurement::latencies::LatencyKind;
use crate::measurement::traffic::ExchangeKind;
use crate::network::http::{Client, OutgoingRequest};
use crate::network::partitions::Site;
use crate::processes::controllers::Controllers;
use crate::protocol::jobs::READY_PATH;
use crate::sync::lock;
use hyper::Method;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use tokio::time::{sleep, Duration};

/// Interval between two probes and timeout of each probe, by protocol.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two probes of a controller that has never been ready.
const FIRST_PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Consecutive failures that make a controller unhealthy, and consecutive successes that make it healthy
/// again, by protocol.
const CONSECUTIVE_PROBES: usize = 2;
/// Failures among the latest [`PROBE_HISTORY`] probes that make a controller unhealthy, by protocol.
const MAX_FAILED_PROBES: usize = 3;
const PROBE_HISTORY: usize = 6;
/// Shortest and longest removal of a controller; each recent removal doubles the time, by protocol.
const MIN_REMOVAL_MS: u64 = 3_000;
const MAX_REMOVAL_MS: u64 = 60_000;
/// Upper bound of the doublings, which already exceeds [`MAX_REMOVAL_MS`] and keeps the shift in range.
const MAX_DOUBLINGS: usize = 8;
/// Time for which a removal counts for the doubling, by protocol.
const RECENT_REMOVALS_WINDOW_MS: u64 = 120_000;

#[derive(Default)]
struct Health {
    is_healthy: bool,
    was_ever_healthy: bool,
    /// Outcomes of the latest probes, true for success, latest first.
    probes: VecDeque<bool>,
    /// Times of the controller's removals, oldest first.
    removals_ms: Vec<u64>,
}

impl Health {
    fn record_probe(&mut self, succeeded: bool, now_ms: u64) {
        self.probes.push_front(succeeded);
        self.probes.truncate(PROBE_HISTORY);
        if self.is_healthy {
            let failed = self.probes.iter().filter(|succeeded| !**succeeded).count();
            if self.consecutive_probes(false) >= CONSECUTIVE_PROBES || failed >= MAX_FAILED_PROBES {
                self.is_healthy = false;
                self.removals_ms.push(now_ms);
            }
            return;
        }
        let is_first_success = !self.was_ever_healthy && succeeded;
        let is_recovered = self.consecutive_probes(true) >= CONSECUTIVE_PROBES
            && now_ms >= self.removed_until_ms(now_ms);
        if is_first_success || is_recovered {
            self.is_healthy = true;
            self.was_ever_healthy = true;
            self.probes.clear();
        }
    }

    /// Returns how many consecutive probes up to the latest had an outcome.
    fn consecutive_probes(&self, outcome: bool) -> usize {
        let probes = self.probes.iter();
        probes
            .take_while(|succeeded| **succeeded == outcome)
            .count()
    }

    fn removed_until_ms(&self, now_ms: u64) -> u64 {
        let removals = self.removals_ms.iter();
        let recent = removals.filter(|at_ms| **at_ms + RECENT_REMOVALS_WINDOW_MS > now_ms);
        let doublings = recent.count().saturating_sub(1).min(MAX_DOUBLINGS);
        let removal_ms = (MIN_REMOVAL_MS << doublings).min(MAX_REMOVAL_MS);
        self.removals_ms.last().copied().unwrap_or(0) + removal_ms
    }
}

struct Target {
    address: SocketAddr,
    health: Mutex<Health>,
    open_connections: AtomicUsize,
}

/// The slot of a connection at a controller, which is released on drop.
pub struct ConnectionSlot {
    target: Arc<Target>,
    /// Index of the controller.
    pub controller: usize,
}

impl ConnectionSlot {
    /// Returns the address of the controller.
    pub fn address(&self) -> SocketAddr {
        self.target.address
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.target.open_connections.fetch_sub(1, Relaxed);
    }
}

/// The load balancer with the health of all controllers.
pub struct LoadBalancer {
    targets: Vec<Arc<Target>>,
    /// Number of picks so far, by which picks rotate among controllers with equally many connections.
    picks: AtomicUsize,
}

impl LoadBalancer {
    /// Creates a load balancer and probes all controllers until the run's runtime is shut down.
    pub fn start(
        environment: &Arc<Environment>,
        controllers: &Arc<Controllers>,
    ) -> Arc<LoadBalancer> {
        let targets = controllers.client_addresses.iter().map(|address| {
            Arc::new(Target {
                address: *address,
                health: Mutex::default(),
                open_connections: AtomicUsize::new(0),
            })
        });
        let balancer = Arc::new(LoadBalancer {
            targets: targets.collect(),
            picks: AtomicUsize::new(0),
        });
        for (target, zone) in balancer.targets.iter().zip(&controllers.zones) {
            let site = Site::Zone(*zone);
            tokio::spawn(probe(environment.clone(), target.clone(), site));
        }
        balancer
    }

    /// Returns a slot at the healthy controller with the fewest connections of users, without the excluded
    /// ones; `None` if there is no such controller.
    pub fn pick(&self, excluded: &[usize]) -> Option<ConnectionSlot> {
        let rotation = self.picks.fetch_add(1, Relaxed);
        let count = self.targets.len();
        let candidates =
            self.targets.iter().enumerate().filter(|(index, target)| {
                !excluded.contains(index) && lock(&target.health).is_healthy
            });
        let (controller, target) = candidates.min_by_key(|(index, target)| {
            let open_connections = target.open_connections.load(Relaxed);
            (open_connections, (index + rotation) % count)
        })?;
        target.open_connections.fetch_add(1, Relaxed);
        Some(ConnectionSlot {
            target: target.clone(),
            controller,
        })
    }
}

async fn probe(environment: Arc<Environment>, target: Arc<Target>, site: Site) {
    let mut client = Client::new(target.address);
    let started_ms = environment.now_ms();
    loop {
        let is_ready = probe_once(&environment, &mut client, site).await;
        let now_ms = environment.now_ms();
        let was_ever_healthy = {
            let mut health = lock(&target.health);
            if is_ready && !health.was_ever_healthy {
                let latency_ms = now_ms - started_ms;
                let latencies = &environment.latencies;
                latencies.record(LatencyKind::ControllerReady, latency_ms);
            }
            health.record_probe(is_ready, now_ms);
            health.was_ever_healthy
        };
        let interval = match was_ever_healthy {
            true => PROBE_INTERVAL,
            false => FIRST_PROBE_INTERVAL,
        };
        sleep(interval).await;
    }
}

async fn probe_once(environment: &Environment, client: &mut Client, site: Site) -> bool {
    if !environment.network.is_reachable(Site::Outside, site) {
        return false;
    }
    let request = OutgoingRequest {
        method: Method::GET,
        path: READY_PATH,
        body: Vec::new(),
        timeout: PROBE_INTERVAL,
    };
    let Some(reply) = client.call(request).await else {
        return false;
    };
    let traffic = &environment.traffic;
    let kind = ExchangeKind::UserReady;
    traffic.count(kind, reply.request_bytes, reply.answer_bytes);
    reply.status == 200
}
