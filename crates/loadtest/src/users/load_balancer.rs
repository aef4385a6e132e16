//! The users' load balancer: probes controllers and picks one for each new connection.

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

/// Between two probes, and the time that an answer may take, by protocol.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Between two probes of a controller that has not been ready yet.
const FIRST_PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Failures in a row, or among the last probes, that make a controller unhealthy, by protocol; as many
/// successes in a row make it healthy again.
const PROBES_IN_A_ROW: usize = 2;
const MAX_FAILED_PROBES: usize = 3;
const PROBES_KEPT: usize = 6;
/// Least time out, doubled by each removal up to the most, by protocol.
const MIN_REMOVAL_MS: u64 = 3_000;
const MAX_REMOVAL_MS: u64 = 60_000;
/// Doublings that are counted; more would exceed the most anyway.
const MAX_DOUBLINGS: usize = 8;
/// Removals within this time count together, by protocol.
const REMOVALS_WINDOW_MS: u64 = 120_000;

#[derive(Default)]
struct Health {
    is_healthy: bool,
    was_ever_healthy: bool,
    /// Whether probes succeeded, latest first.
    probes: VecDeque<bool>,
    /// When the controller was removed.
    removals_ms: Vec<u64>,
}

impl Health {
    fn record_probe(&mut self, succeeded: bool, now_ms: u64) {
        self.probes.push_front(succeeded);
        self.probes.truncate(PROBES_KEPT);
        if self.is_healthy {
            let failed = self.probes.iter().filter(|succeeded| !**succeeded).count();
            if self.in_a_row(false) >= PROBES_IN_A_ROW || failed >= MAX_FAILED_PROBES {
                self.is_healthy = false;
                self.removals_ms.push(now_ms);
            }
            return;
        }
        let is_first = !self.was_ever_healthy && succeeded;
        let is_back =
            self.in_a_row(true) >= PROBES_IN_A_ROW && now_ms >= self.removed_until_ms(now_ms);
        if is_first || is_back {
            self.is_healthy = true;
            self.was_ever_healthy = true;
            self.probes.clear();
        }
    }

    /// How many of the latest probes had the same outcome.
    fn in_a_row(&self, outcome: bool) -> usize {
        let probes = self.probes.iter();
        probes
            .take_while(|succeeded| **succeeded == outcome)
            .count()
    }

    fn removed_until_ms(&self, now_ms: u64) -> u64 {
        let removals = self.removals_ms.iter();
        let recent = removals.filter(|at_ms| **at_ms + REMOVALS_WINDOW_MS > now_ms);
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

/// A connection's slot at a controller; given back when dropped.
pub struct ConnectionSlot {
    target: Arc<Target>,
    /// Index of the controller.
    pub controller: usize,
}

impl ConnectionSlot {
    /// Address of the controller.
    pub fn address(&self) -> SocketAddr {
        self.target.address
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.target.open_connections.fetch_sub(1, Relaxed);
    }
}

/// All controllers as the load balancer sees them.
pub struct LoadBalancer {
    targets: Vec<Arc<Target>>,
    /// Takes turns among controllers with as many connections.
    next: AtomicUsize,
}

impl LoadBalancer {
    /// Starts to probe all controllers, until the run's runtime is shut down.
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
            next: AtomicUsize::new(0),
        });
        for (target, zone) in balancer.targets.iter().zip(&controllers.zones) {
            let site = Site::Zone(*zone);
            tokio::spawn(probe(environment.clone(), target.clone(), site));
        }
        balancer
    }

    /// A slot at the healthy controller with the fewest connections of users; `None` if none is healthy but
    /// for the excluded ones.
    pub fn pick(&self, excluded: &[usize]) -> Option<ConnectionSlot> {
        let turn = self.next.fetch_add(1, Relaxed);
        let count = self.targets.len();
        let usable =
            self.targets.iter().enumerate().filter(|(index, target)| {
                !excluded.contains(index) && lock(&target.health).is_healthy
            });
        let (controller, target) = usable.min_by_key(|(index, target)| {
            let open_connections = target.open_connections.load(Relaxed);
            (open_connections, (index + turn) % count)
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
    let begun_ms = environment.now_ms();
    loop {
        let is_ready = probe_once(&environment, &mut client, site).await;
        let now_ms = environment.now_ms();
        let was_ever_healthy = {
            let mut health = lock(&target.health);
            if is_ready && !health.was_ever_healthy {
                let took_ms = now_ms - begun_ms;
                let latencies = &environment.latencies;
                latencies.record(LatencyKind::ControllerReady, took_ms);
            }
            health.record_probe(is_ready, now_ms);
            health.was_ever_healthy
        };
        let pause = match was_ever_healthy {
            true => PROBE_INTERVAL,
            false => FIRST_PROBE_INTERVAL,
        };
        sleep(pause).await;
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
