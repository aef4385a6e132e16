//! The users' load balancer: probes controllers and picks one for each new connection.

use crate::environment::Environment;
use crate::measurement::counters::{ExchangeKind, LatencyKind};
use crate::network::http::Client;
use crate::network::partitions::{lock, Site};
use crate::processes::controllers::Controllers;
use hyper::Method;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use tokio::time::{sleep, Duration};

/// Between two probes, and the time that an answer may take, by protocol.
const PROBE: Duration = Duration::from_secs(1);
/// Between two probes of a controller that has not been ready yet.
const FIRST_PROBE: Duration = Duration::from_millis(100);
/// Failures in a row, or among the last probes, that make a controller unhealthy, by protocol.
const FAILED_IN_A_ROW: usize = 2;
const FAILED_OF_LAST: usize = 3;
const LAST_PROBES: usize = 6;
/// Least time out, doubled by each removal up to the most, by protocol.
const LEAST_OUT_MS: u64 = 3_000;
const MOST_OUT_MS: u64 = 60_000;
/// Removals within this time count together, by protocol.
const REMOVALS_MS: u64 = 120_000;

#[derive(Default)]
struct Health {
    healthy: bool,
    ever: bool,
    /// Latest first.
    probes: VecDeque<bool>,
    removals_ms: Vec<u64>,
}

impl Health {
    fn probed(&mut self, answered: bool, now_ms: u64) {
        self.probes.push_front(answered);
        self.probes.truncate(LAST_PROBES);
        let row = |wanted: bool| self.probes.iter().take_while(|p| **p == wanted).count();
        let failed = self.probes.iter().filter(|p| !**p).count();
        if self.healthy {
            if row(false) >= FAILED_IN_A_ROW || failed >= FAILED_OF_LAST {
                self.healthy = false;
                self.removals_ms.push(now_ms);
            }
            return;
        }
        let first = !self.ever && answered;
        let back = row(true) >= FAILED_IN_A_ROW && now_ms >= self.out_until_ms(now_ms);
        if first || back {
            self.healthy = true;
            self.ever = true;
            self.probes.clear();
        }
    }

    fn out_until_ms(&self, now_ms: u64) -> u64 {
        let recent = self
            .removals_ms
            .iter()
            .filter(|at| **at + REMOVALS_MS > now_ms);
        let doubled = LEAST_OUT_MS << recent.count().saturating_sub(1).min(8);
        let last = self.removals_ms.last().copied().unwrap_or(0);
        last + doubled.min(MOST_OUT_MS)
    }
}

struct Target {
    address: SocketAddr,
    health: Mutex<Health>,
    open: AtomicUsize,
}

/// A connection's place at a controller; given back when dropped.
pub struct ConnectionSlot {
    target: Arc<Target>,
    /// Number of the controller.
    pub controller: usize,
}

impl ConnectionSlot {
    pub fn address(&self) -> SocketAddr {
        self.target.address
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.target.open.fetch_sub(1, Relaxed);
    }
}

/// All controllers as the balancer sees them.
pub struct LoadBalancer {
    targets: Vec<Arc<Target>>,
    next: AtomicUsize,
}

impl LoadBalancer {
    pub fn start(
        environment: &Arc<Environment>,
        controllers: &Arc<Controllers>,
    ) -> Arc<LoadBalancer> {
        let targets = controllers.clients.iter().map(|address| {
            Arc::new(Target {
                address: *address,
                health: Mutex::default(),
                open: AtomicUsize::new(0),
            })
        });
        let balancer = Arc::new(LoadBalancer {
            targets: targets.collect(),
            next: AtomicUsize::new(0),
        });
        for (n, target) in balancer.targets.iter().enumerate() {
            let site = Site::Zone(controllers.zones[n]);
            tokio::spawn(probe(environment.clone(), target.clone(), site));
        }
        balancer
    }

    /// The healthy controller with the fewest connections of users, others if none is.
    pub fn pick(&self, without: &[usize]) -> Option<ConnectionSlot> {
        let turn = self.next.fetch_add(1, Relaxed);
        let all = self.targets.iter().enumerate();
        let usable = all.filter(|(n, target)| !without.contains(n) && lock(&target.health).healthy);
        let count = self.targets.len();
        let order = |n: usize, target: &Target| (target.open.load(Relaxed), (n + turn) % count);
        let (controller, target) = usable.min_by_key(|(n, target)| order(*n, target))?;
        target.open.fetch_add(1, Relaxed);
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
        let reaches = environment.network.reaches(Site::Outside, site);
        let reply = match reaches {
            true => client.call(Method::GET, "/ready", Vec::new(), PROBE).await,
            false => None,
        };
        if let Some(reply) = &reply {
            let (sent, came) = (reply.request_bytes, reply.answer_bytes);
            environment
                .traffic
                .count(ExchangeKind::UserReady, sent, came);
        }
        let answered = reply.is_some_and(|reply| reply.status == 200);
        let first = answered && !lock(&target.health).ever;
        if first {
            let took = environment.now_ms() - begun_ms;
            environment
                .latencies
                .record(LatencyKind::ControllerReady, took);
        }
        lock(&target.health).probed(answered, environment.now_ms());
        let pause = match lock(&target.health).ever {
            true => PROBE,
            false => FIRST_PROBE,
        };
        sleep(pause).await;
    }
}
