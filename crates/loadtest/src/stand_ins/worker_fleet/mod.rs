//! The hollow workers of a run. Each sends heartbeats to a controller, accepts commands at an address of its
//! own, and begins a new incarnation when its lease expires.

mod addresses;
mod command_copies;
mod commands;
mod heartbeats;
mod worker;

pub use worker::Worker;

use super::hollow_worker::{Capacity, HollowWorker, WorkerIdentity};
use crate::environment::Environment;
use crate::measurement::traffic::ExchangeKind;
use crate::network::http::serve;
use crate::plan::ZoneIndex;
use crate::processes::controllers::Controllers;
use crate::sync::lock;
use addresses::worker_ip;
use command_copies::CommandCopies;
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, OnceLock};
use tokio::net::TcpListener;
use tokio::time::timeout_at;

/// The only machine type.
pub const MACHINE_TYPE: &str = "standard-16";
/// Number of checks for expiry during one lease.
const CHECKS_PER_LEASE: u64 = 4;

/// The name and the address of a worker that isn't booted yet.
#[derive(Debug, Clone)]
pub struct Reservation {
    /// Name of the worker.
    pub name: String,
    /// Address of the worker.
    pub address: SocketAddr,
}

/// The workers that aren't deleted, by address.
pub struct WorkerFleet {
    environment: Arc<Environment>,
    workers: Mutex<HashMap<Ipv4Addr, Arc<Worker>>>,
    /// Set once the controllers have started; workers send no heartbeats before.
    controllers: OnceLock<Arc<Controllers>>,
    next_index: AtomicU64,
    port: u16,
    /// Copies of executed direct commands that arrive again.
    pub(crate) command_copies: CommandCopies,
}

impl WorkerFleet {
    /// Creates a fleet without workers, and listens for commands on all loopback addresses.
    pub async fn new(environment: Arc<Environment>) -> io::Result<Arc<WorkerFleet>> {
        let listener = TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0)).await?;
        let fleet = Arc::new(WorkerFleet {
            environment,
            workers: Mutex::default(),
            controllers: OnceLock::new(),
            next_index: AtomicU64::new(1),
            port: listener.local_addr()?.port(),
            command_copies: CommandCopies::default(),
        });
        let serving_fleet = fleet.clone();
        serve(listener, move |request| {
            let fleet = serving_fleet.clone();
            async move { fleet.serve_command(request).await }
        });
        Ok(fleet)
    }

    /// Sets the controllers to which workers send heartbeats.
    pub fn set_controllers(&self, controllers: Arc<Controllers>) {
        // A run sets the controllers only once, so this never fails.
        let _ = self.controllers.set(controllers);
    }

    /// Returns all workers in the order of their names.
    pub fn workers(&self) -> Vec<Arc<Worker>> {
        let mut workers: Vec<Arc<Worker>> = lock(&self.workers).values().cloned().collect();
        workers.sort_by(|a, b| a.name.cmp(&b.name));
        workers
    }

    /// Returns the number of workers with power.
    pub fn powered_count(&self) -> usize {
        let workers = lock(&self.workers);
        workers
            .values()
            .filter(|worker| worker.is_powered())
            .count()
    }

    /// Returns the bytes of control traffic of each worker, by name.
    pub fn control_bytes(&self) -> HashMap<String, u64> {
        let workers = lock(&self.workers);
        let bytes = workers.values().map(|worker| {
            let total = worker.control_bytes.load(Relaxed);
            (worker.name.clone(), total)
        });
        bytes.collect()
    }

    /// Reserves a name and an address for a new worker; names follow the order of reservation.
    pub fn reserve(&self) -> Reservation {
        let index = self.next_index.fetch_add(1, Relaxed);
        Reservation {
            name: format!("n-{index:06}"),
            address: SocketAddr::from((worker_ip(index), self.port)),
        }
    }

    /// Boots a worker and starts its tasks.
    pub fn boot(self: &Arc<Self>, reservation: &Reservation, zone: ZoneIndex, spot: bool) {
        let IpAddr::V4(ip) = reservation.address.ip() else {
            return;
        };
        let plan = &self.environment.plan;
        let identity = WorkerIdentity {
            name: reservation.name.clone(),
            address: reservation.address.to_string(),
            machine_type: MACHINE_TYPE.to_string(),
            zone: plan.zone_name(zone).to_string(),
            spot,
        };
        let capacity = Capacity {
            cpus: plan.workers.cpus,
            ram_gb: plan.workers.ram_gb,
            image_gb_per_s: plan.workers.image_gb_per_s,
        };
        let state = HollowWorker::new(identity, capacity, self.environment.now_ms());
        let worker = Arc::new(Worker::new(state, zone));
        lock(&self.workers).insert(ip, worker.clone());
        // Both tasks end once the worker has no power.
        tokio::spawn(self.clone().advance(worker.clone()));
        tokio::spawn(self.clone().send_heartbeats(worker));
    }

    /// Powers a worker off; it ends all tasks and no longer answers at its address.
    pub fn power_off(&self, worker: &Worker) {
        let mut state = lock(&worker.state);
        worker.mark_powered_off();
        let events = state.stop_all(self.environment.now_ms());
        self.environment
            .record_worker_events(&worker.placement, events);
        worker.wake();
    }

    /// Restarts a worker at once, with its next incarnation.
    pub fn restart(&self, worker: &Worker) {
        let mut state = lock(&worker.state);
        let events = state.begin_incarnation(self.environment.now_ms());
        self.environment
            .record_worker_events(&worker.placement, events);
        worker.wake();
    }

    /// Powers a worker off and removes it from the fleet.
    pub fn remove(&self, name: &str) {
        let found = {
            let workers = lock(&self.workers);
            let mut workers = workers.iter();
            let found = workers.find(|(_, worker)| worker.name == name);
            found.map(|(ip, worker)| (*ip, worker.clone()))
        };
        if let Some((ip, worker)) = found {
            self.power_off(&worker);
            lock(&self.workers).remove(&ip);
        }
    }

    /// Advances a worker's image pulls, tasks and lease until the worker has no power.
    async fn advance(self: Arc<Self>, worker: Arc<Worker>) {
        let lease_ms = (self.environment.plan.workers.lease_s * 1_000.0) as u64;
        while worker.is_powered() {
            let next_ms = self.advance_once(&worker, lease_ms);
            let at = self.environment.instant_at(next_ms + 1);
            let _ = timeout_at(at, worker.advance_requested.notified()).await;
        }
    }

    /// Advances a worker to the current time and returns the time of its next check.
    fn advance_once(&self, worker: &Worker, lease_ms: u64) -> u64 {
        let mut state = lock(&worker.state);
        let now_ms = self.environment.now_ms();
        let is_expired = state.is_lease_expired(lease_ms, now_ms);
        let mut events = match is_expired {
            true => state.begin_incarnation(now_ms),
            false => Vec::new(),
        };
        events.extend(state.advance(now_ms));
        if is_expired || !events.is_empty() {
            worker.heartbeat_requested.notify_one();
        }
        if worker.is_powered() {
            self.environment
                .record_worker_events(&worker.placement, events);
        }
        let lease_check_ms = now_ms + lease_ms / CHECKS_PER_LEASE;
        let next_ms = state.next_change_ms();
        next_ms.map_or(lease_check_ms, |at_ms| at_ms.min(lease_check_ms))
    }

    /// Counts a control exchange of a worker.
    fn count(&self, worker: &Worker, kind: ExchangeKind, request_bytes: u64, answer_bytes: u64) {
        let traffic = &self.environment.traffic;
        traffic.count(kind, request_bytes, answer_bytes);
        let bytes = request_bytes + answer_bytes;
        worker.control_bytes.fetch_add(bytes, Relaxed);
    }
}
