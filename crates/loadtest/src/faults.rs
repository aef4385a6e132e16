//! A plan's troubles, each played at its time.

use crate::environment::World;
use crate::network::partitions::Cut;
use crate::plan::{Trouble, TroubleKind, ZoneIndex};
use crate::processes::controllers::Controllers;
use crate::stand_ins::cloud::Cloud;
use crate::stand_ins::state_store::server::StateService;
use crate::stand_ins::worker_fleet::{Fleet, Host};
use rand::seq::SliceRandom;
use std::collections::BTreeSet;
use std::sync::Arc;
use tokio::time::{sleep, sleep_until, Duration};

/// Everything that troubles strike.
#[derive(Clone)]
pub struct Struck {
    pub world: Arc<World>,
    pub fleet: Arc<Fleet>,
    pub cloud: Arc<Cloud>,
    pub state: Arc<StateService>,
    pub controllers: Arc<Controllers>,
}

/// Plays all troubles of the plan at their times.
pub fn play(struck: &Struck) {
    let warm_up_s = struck.world.plan.warm_up_s;
    for trouble in struck.world.plan.troubles.clone() {
        let struck = struck.clone();
        let at_ms = ((warm_up_s + trouble.at_s) * 1_000.0) as u64;
        tokio::spawn(async move {
            sleep_until(struck.world.instant(at_ms)).await;
            struck.strike(trouble).await;
        });
    }
}

impl Struck {
    async fn strike(self, trouble: Trouble) {
        let lasts = Duration::from_secs_f64(trouble.for_s);
        let plan = &self.world.plan;
        let place = trouble.place.as_deref().unwrap_or("");
        let zone = plan.zone(place);
        let controller = trouble.controller.unwrap_or(0);
        match trouble.kind {
            TroubleKind::MachinesFail
            | TroubleKind::MachinesRestart
            | TroubleKind::MachinesReplaced => self.one_after_another(&trouble).await,
            TroubleKind::RackFail => {
                for host in self.some_of(zone, trouble.count) {
                    self.fail(&host);
                }
            }
            TroubleKind::RackCut => {
                let rack = self.some_of(zone, trouble.count);
                rack.iter().for_each(|host| host.set_isolated(true));
                sleep(lasts).await;
                rack.iter().for_each(|host| host.set_isolated(false));
            }
            TroubleKind::ZoneCut => self.cut(zone.into_iter().collect(), false, lasts).await,
            TroubleKind::ZoneFail => self.fail_zone(zone, lasts).await,
            TroubleKind::RegionCut => {
                let zones: BTreeSet<ZoneIndex> = plan.zones_of(place).into_iter().collect();
                let outside = plan.regions.first().is_some_and(|r| r.name == place);
                self.cut(zones, outside, lasts).await;
            }
            TroubleKind::ControllerEnd => {
                self.controllers.kill(controller as usize);
                sleep(lasts).await;
                self.restart(controller as usize);
            }
            TroubleKind::StateSlow => {
                self.state.set_latency(trouble.latency_ms);
                sleep(lasts).await;
                self.state.set_latency(plan.state.latency_ms);
            }
            TroubleKind::StateDown => {
                self.state.set_down(true);
                sleep(lasts).await;
                self.state.set_down(false);
            }
            TroubleKind::StateRefuses => {
                self.state.set_refused(controller, true);
                sleep(lasts).await;
                self.state.set_refused(controller, false);
            }
            TroubleKind::CloudDown => {
                self.cloud.set_down(true);
                sleep(lasts).await;
                self.cloud.set_down(false);
            }
        }
    }

    async fn one_after_another(&self, trouble: &Trouble) {
        let gap = Duration::from_secs_f64(trouble.for_s / f64::from(trouble.count));
        for _ in 0..trouble.count {
            let Some(host) = self.some_of(None, 1).pop() else {
                return;
            };
            match trouble.kind {
                TroubleKind::MachinesRestart => self.fleet.restart(&host),
                TroubleKind::MachinesReplaced => self.cloud.take(&host.name),
                _ => self.fail(&host),
            }
            sleep(gap).await;
        }
    }

    fn fail(&self, host: &Host) {
        self.fleet.power_off(host);
        self.cloud.has_failed(&host.name);
    }

    /// Machines that are up, drawn at random, of one zone or of all.
    fn some_of(&self, zone: Option<ZoneIndex>, count: u32) -> Vec<Arc<Host>> {
        let mut hosts = self.fleet.hosts();
        hosts.retain(|host| host.is_powered() && zone.is_none_or(|zone| host.zone == zone));
        self.world.with_random(|random| hosts.shuffle(random));
        hosts.truncate(count as usize);
        hosts
    }

    async fn cut(&self, zones: BTreeSet<ZoneIndex>, outside: bool, lasts: Duration) {
        let network = &self.world.network;
        let cut = network.begin(Cut { zones, outside });
        sleep(lasts).await;
        network.end(cut);
    }

    async fn fail_zone(&self, zone: Option<ZoneIndex>, lasts: Duration) {
        let inside = self.controllers.zones.iter().enumerate();
        let inside: Vec<usize> = inside
            .filter(|(_, of)| Some(**of) == zone)
            .map(|(n, _)| n)
            .collect();
        inside.iter().for_each(|n| self.controllers.kill(*n));
        for host in self.some_of(zone, u32::MAX) {
            self.fail(&host);
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
