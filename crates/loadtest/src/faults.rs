//! A plan's troubles, each played at its time.

use crate::environment::Environment;
use crate::network::partitions::Partition;
use crate::plan::{Fault, FaultKind, ZoneIndex};
use crate::processes::controllers::Controllers;
use crate::stand_ins::cloud::Cloud;
use crate::stand_ins::state_store::server::StateStoreServer;
use crate::stand_ins::worker_fleet::{Worker, WorkerFleet};
use rand::seq::SliceRandom;
use std::collections::BTreeSet;
use std::sync::Arc;
use tokio::time::{sleep, sleep_until, Duration};

/// Everything that troubles strike.
#[derive(Clone)]
pub struct FaultInjector {
    pub environment: Arc<Environment>,
    pub fleet: Arc<WorkerFleet>,
    pub cloud: Arc<Cloud>,
    pub state: Arc<StateStoreServer>,
    pub controllers: Arc<Controllers>,
}

/// Plays all troubles of the plan at their times.
pub fn play(injector: &FaultInjector) {
    let warm_up_s = injector.environment.plan.warm_up_s;
    for fault in injector.environment.plan.faults.clone() {
        let injector = injector.clone();
        let at_ms = ((warm_up_s + fault.at_s) * 1_000.0) as u64;
        tokio::spawn(async move {
            sleep_until(injector.environment.instant_at(at_ms)).await;
            injector.inject(fault).await;
        });
    }
}

impl FaultInjector {
    async fn inject(self, fault: Fault) {
        let lasts = Duration::from_secs_f64(fault.duration_s);
        let plan = &self.environment.plan;
        let location = fault.location.as_deref().unwrap_or("");
        let zone = plan.zone(location);
        let controller = fault.controller.unwrap_or(0);
        match fault.kind {
            FaultKind::WorkerFailures
            | FaultKind::WorkerRestarts
            | FaultKind::WorkerReplacements => self.one_after_another(&fault).await,
            FaultKind::RackFailure => {
                for worker in self.some_of(zone, fault.count) {
                    self.fail(&worker);
                }
            }
            FaultKind::RackPartition => {
                let rack = self.some_of(zone, fault.count);
                rack.iter().for_each(|worker| worker.set_isolated(true));
                sleep(lasts).await;
                rack.iter().for_each(|worker| worker.set_isolated(false));
            }
            FaultKind::ZonePartition => {
                self.partition_network(zone.into_iter().collect(), false, lasts)
                    .await
            }
            FaultKind::ZoneFailure => self.fail_zone(zone, lasts).await,
            FaultKind::RegionPartition => {
                let zones: BTreeSet<ZoneIndex> = plan.zones_of(location).into_iter().collect();
                let outside = plan.regions.first().is_some_and(|r| r.name == location);
                self.partition_network(zones, outside, lasts).await;
            }
            FaultKind::ControllerCrash => {
                self.controllers.kill(controller as usize);
                sleep(lasts).await;
                self.restart(controller as usize);
            }
            FaultKind::StateStoreLatency => {
                self.state.set_latency(fault.latency_ms);
                sleep(lasts).await;
                self.state.set_latency(plan.state.latency_ms);
            }
            FaultKind::StateStoreOutage => {
                self.state.set_down(true);
                sleep(lasts).await;
                self.state.set_down(false);
            }
            FaultKind::StateStoreRejection => {
                self.state.set_refused(controller, true);
                sleep(lasts).await;
                self.state.set_refused(controller, false);
            }
            FaultKind::CloudOutage => {
                self.cloud.set_down(true);
                sleep(lasts).await;
                self.cloud.set_down(false);
            }
        }
    }

    async fn one_after_another(&self, fault: &Fault) {
        let gap = Duration::from_secs_f64(fault.duration_s / f64::from(fault.count));
        for _ in 0..fault.count {
            let Some(worker) = self.some_of(None, 1).pop() else {
                return;
            };
            match fault.kind {
                FaultKind::WorkerRestarts => self.fleet.restart(&worker),
                FaultKind::WorkerReplacements => self.cloud.take(&worker.name),
                _ => self.fail(&worker),
            }
            sleep(gap).await;
        }
    }

    fn fail(&self, worker: &Worker) {
        self.fleet.power_off(worker);
        self.cloud.has_failed(&worker.name);
    }

    /// Machines that are up, drawn at random, of one zone or of all.
    fn some_of(&self, zone: Option<ZoneIndex>, count: u32) -> Vec<Arc<Worker>> {
        let mut workers = self.fleet.workers();
        workers.retain(|worker| worker.is_powered() && zone.is_none_or(|zone| worker.zone == zone));
        self.environment
            .with_random(|random| workers.shuffle(random));
        workers.truncate(count as usize);
        workers
    }

    async fn partition_network(&self, zones: BTreeSet<ZoneIndex>, outside: bool, lasts: Duration) {
        let network = &self.environment.network;
        let partition_network = network.begin(Partition { zones, outside });
        sleep(lasts).await;
        network.end(partition_network);
    }

    async fn fail_zone(&self, zone: Option<ZoneIndex>, lasts: Duration) {
        let inside = self.controllers.zones.iter().enumerate();
        let inside: Vec<usize> = inside
            .filter(|(_, of)| Some(**of) == zone)
            .map(|(n, _)| n)
            .collect();
        inside.iter().for_each(|n| self.controllers.kill(*n));
        for worker in self.some_of(zone, u32::MAX) {
            self.fail(&worker);
        }
        sleep(lasts).await;
        inside.into_iter().for_each(|n| self.restart(n));
    }

    fn restart(&self, controller: usize) {
        if let Err(error) = self.controllers.restart(controller) {
            eprintln!("controller {controller} did not start again: {error}");
        }
    }
}
