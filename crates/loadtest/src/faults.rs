//! Injection of a plan's faults at their times.

use crate::environment::Environment;
use crate::network::partitions::Partition;
use crate::plan::{Fault, FaultKind, ZoneIndex};
use crate::processes::controllers::Controllers;
use crate::stand_ins::cloud::Cloud;
use crate::stand_ins::state_store::server::StateStoreServer;
use crate::stand_ins::worker_fleet::{Worker, WorkerFleet};
use rand::seq::SliceRandom;
use std::sync::Arc;
use tokio::time::{sleep, sleep_until, Duration};

/// Injects faults into the parts of a run.
#[derive(Clone)]
pub struct FaultInjector {
    /// Environment of the run.
    pub environment: Arc<Environment>,
    /// Workers of the run.
    pub fleet: Arc<WorkerFleet>,
    /// Stand-in of the cloud.
    pub cloud: Arc<Cloud>,
    /// Stand-in of the state store.
    pub state_store: Arc<StateStoreServer>,
    /// Controller processes.
    pub controllers: Arc<Controllers>,
}

impl FaultInjector {
    /// Starts the injection of all faults of the plan, until the run's runtime is shut down.
    pub fn start(&self) {
        let plan = &self.environment.plan;
        for fault in plan.faults.clone() {
            let injector = self.clone();
            let at_ms = ((plan.warm_up_s + fault.at_s) * 1_000.0) as u64;
            tokio::spawn(async move {
                sleep_until(injector.environment.instant_at(at_ms)).await;
                injector.inject(fault).await;
            });
        }
    }

    async fn inject(self, fault: Fault) {
        let duration = Duration::from_secs_f64(fault.duration_s);
        match fault.kind {
            FaultKind::WorkerFailures
            | FaultKind::WorkerRestarts
            | FaultKind::WorkerReplacements => self.inject_sequentially(&fault).await,
            FaultKind::RackFailure => self.fail_rack(&fault),
            FaultKind::RackPartition => self.isolate_rack(&fault, duration).await,
            FaultKind::ZonePartition | FaultKind::RegionPartition => {
                self.partition(self.partition_of(&fault), duration).await;
            }
            FaultKind::ZoneFailure => self.fail_zone(self.zone_of(&fault), duration).await,
            FaultKind::ControllerCrash => {
                let controller = controller_of(&fault) as usize;
                self.controllers.kill(controller);
                sleep(duration).await;
                self.restart_controller(controller);
            }
            FaultKind::StateStoreLatency => {
                let planned_latency_ms = self.environment.plan.state.latency_ms;
                self.state_store.set_latency(fault.latency_ms);
                sleep(duration).await;
                self.state_store.set_latency(planned_latency_ms);
            }
            FaultKind::StateStoreOutage => {
                self.state_store.set_down(true);
                sleep(duration).await;
                self.state_store.set_down(false);
            }
            FaultKind::StateStoreRejection => {
                let controller = controller_of(&fault);
                self.state_store.set_rejected(controller, true);
                sleep(duration).await;
                self.state_store.set_rejected(controller, false);
            }
            FaultKind::RepeatedCommands => {
                self.fleet.command_copies.set_share(fault.share);
                sleep(duration).await;
                self.fleet.command_copies.set_share(0.0);
            }
            FaultKind::CloudOutage => {
                self.cloud.set_down(true);
                sleep(duration).await;
                self.cloud.set_down(false);
            }
        }
    }

    fn zone_of(&self, fault: &Fault) -> Option<ZoneIndex> {
        let location = fault.location.as_deref()?;
        self.environment.plan.zone(location)
    }

    /// Returns the sites that a fault separates from all others.
    fn partition_of(&self, fault: &Fault) -> Partition {
        let plan = &self.environment.plan;
        let location = fault.location.as_deref().unwrap_or("");
        if fault.kind == FaultKind::ZonePartition {
            return Partition {
                zones: plan.zone(location).into_iter().collect(),
                includes_outside: false,
            };
        }
        let first_region = plan.regions.first();
        Partition {
            zones: plan.zones_of(location).into_iter().collect(),
            includes_outside: first_region.is_some_and(|region| region.name == location),
        }
    }

    /// Injects a fault into `count` random workers one after another, evenly over its duration.
    async fn inject_sequentially(&self, fault: &Fault) {
        let interval = Duration::from_secs_f64(fault.duration_s / f64::from(fault.count));
        for _ in 0..fault.count {
            let Some(worker) = self.random_workers(None, 1).pop() else {
                return;
            };
            match fault.kind {
                FaultKind::WorkerRestarts => self.fleet.restart(&worker),
                FaultKind::WorkerReplacements => self.cloud.delete(&worker.name),
                _ => self.fail_worker(&worker),
            }
            sleep(interval).await;
        }
    }

    fn fail_rack(&self, fault: &Fault) {
        for worker in self.random_workers(self.zone_of(fault), fault.count) {
            self.fail_worker(&worker);
        }
    }

    async fn isolate_rack(&self, fault: &Fault, duration: Duration) {
        let rack = self.random_workers(self.zone_of(fault), fault.count);
        for worker in &rack {
            worker.set_isolated(true);
        }
        sleep(duration).await;
        for worker in &rack {
            worker.set_isolated(false);
        }
    }

    fn fail_worker(&self, worker: &Worker) {
        self.fleet.power_off(worker);
        self.cloud.mark_failed(&worker.name);
    }

    /// Returns up to `count` random workers with power, of one zone or of all zones.
    fn random_workers(&self, zone: Option<ZoneIndex>, count: u32) -> Vec<Arc<Worker>> {
        let mut workers = self.fleet.workers();
        workers.retain(|worker| worker.is_powered() && zone.is_none_or(|zone| worker.zone == zone));
        self.environment
            .with_random(|random| workers.shuffle(random));
        workers.truncate(count as usize);
        workers
    }

    async fn partition(&self, partition: Partition, duration: Duration) {
        let network = &self.environment.network;
        let id = network.begin(partition);
        sleep(duration).await;
        network.end(id);
    }

    async fn fail_zone(&self, zone: Option<ZoneIndex>, duration: Duration) {
        let zones = self.controllers.zones.iter().enumerate();
        let controllers: Vec<usize> = zones
            .filter(|(_, controller_zone)| Some(**controller_zone) == zone)
            .map(|(controller, _)| controller)
            .collect();
        for controller in &controllers {
            self.controllers.kill(*controller);
        }
        for worker in self.random_workers(zone, u32::MAX) {
            self.fail_worker(&worker);
        }
        sleep(duration).await;
        for controller in controllers {
            self.restart_controller(controller);
        }
    }

    fn restart_controller(&self, controller: usize) {
        if let Err(error) = self.controllers.restart(controller) {
            eprintln!("controller {controller} failed to restart: {error}");
        }
    }
}

fn controller_of(fault: &Fault) -> u32 {
    fault.controller.unwrap_or(0)
}
