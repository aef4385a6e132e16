//! Faults of a day: injects each one, and ends those that last for some time.

use super::{to_ms, DayRun};
use crate::day::FaultKind;
use rand::seq::SliceRandom;
use std::collections::BTreeMap;

/// A fault that lasts for some time, with the controllers, machines or values that it affects.
pub(super) enum ActiveFault {
    CutState(usize),
    CutWorkers(usize),
    CutPeers(usize),
    CutAlone(usize),
    RefuseState(usize),
    StateOutage,
    ZoneCut(String),
    MachinesCut(Vec<String>),
    InboundLost(Vec<String>),
    LateWrites(f64),
    LateReports(f64),
    Burst { class: usize, factor: f64 },
}

impl DayRun<'_> {
    /// Returns the running controllers, the one with the most workers first.
    fn busiest_controllers(&self) -> Vec<usize> {
        let mut workers: BTreeMap<usize, usize> = BTreeMap::new();
        for worker in self.sim.workers.values().filter(|worker| worker.alive) {
            *workers.entry(worker.controller).or_default() += 1;
        }
        let is_running = |index: &usize| {
            self.sim.controllers[*index].controller.is_some() && !self.sim.is_paused(*index)
        };
        let mut controllers: Vec<usize> = (0..self.day.controllers).filter(is_running).collect();
        controllers
            .sort_by_key(|index| std::cmp::Reverse(workers.get(index).copied().unwrap_or(0)));
        controllers
    }

    /// Draws machines that are up.
    fn draw_machines(&mut self, count: usize) -> Vec<String> {
        let alive = self.sim.workers.values().filter(|worker| worker.alive);
        let mut names: Vec<String> = alive.map(|worker| worker.name.clone()).collect();
        names.shuffle(&mut self.rng);
        names.truncate(count);
        names
    }

    /// Injects a fault.
    pub(super) fn begin_fault(&mut self, kind: FaultKind) {
        let busiest = self.busiest_controllers();
        match (kind, busiest.first().copied()) {
            (FaultKind::Crash { count, back_s }, _) => {
                for controller in busiest.into_iter().take(count) {
                    self.observe_failure(controller);
                    self.sim.crash(controller, to_ms(back_s));
                }
            }
            (FaultKind::ShutDown { back_s }, Some(controller)) => {
                self.sim.shut_down(controller, to_ms(back_s))
            }
            (FaultKind::Pause { count, for_s }, _) => {
                for controller in busiest.into_iter().take(count) {
                    self.sim.pause(controller, to_ms(for_s));
                }
            }
            (FaultKind::CutState { for_s }, Some(controller)) => {
                self.begin_lasting_fault(for_s, ActiveFault::CutState(controller))
            }
            (FaultKind::CutWorkers { for_s }, Some(controller)) => {
                self.begin_lasting_fault(for_s, ActiveFault::CutWorkers(controller))
            }
            (FaultKind::CutPeers { for_s }, Some(controller)) => {
                self.begin_lasting_fault(for_s, ActiveFault::CutPeers(controller))
            }
            (FaultKind::CutAlone { for_s }, Some(controller)) => {
                self.begin_lasting_fault(for_s, ActiveFault::CutAlone(controller))
            }
            (FaultKind::RefuseState { for_s }, Some(controller)) => {
                self.begin_lasting_fault(for_s, ActiveFault::RefuseState(controller))
            }
            (FaultKind::StateOutage { for_s }, _) => {
                self.begin_lasting_fault(for_s, ActiveFault::StateOutage)
            }
            (FaultKind::ZoneCut { zone, for_s }, _) => {
                self.begin_lasting_fault(for_s, ActiveFault::ZoneCut(zone))
            }
            (FaultKind::MachinesDie { count }, _) => {
                for name in self.draw_machines(count) {
                    self.sim.kill_machine(&name);
                }
            }
            (FaultKind::MachinesCut { count, for_s }, _) => {
                let names = self.draw_machines(count);
                self.begin_lasting_fault(for_s, ActiveFault::MachinesCut(names));
            }
            (FaultKind::InboundLost { count, for_s }, _) => {
                let names = self.draw_machines(count);
                self.begin_lasting_fault(for_s, ActiveFault::InboundLost(names));
            }
            (FaultKind::LateWrites { share, for_s }, _) => {
                self.begin_lasting_fault(for_s, ActiveFault::LateWrites(share))
            }
            (FaultKind::LateReports { share, for_s }, _) => {
                self.begin_lasting_fault(for_s, ActiveFault::LateReports(share));
            }
            (
                FaultKind::Burst {
                    class,
                    factor,
                    for_s,
                },
                _,
            ) => {
                let class = self.day.classes.iter().position(|c| c.name == class);
                if let Some(class) = class {
                    self.begin_lasting_fault(for_s, ActiveFault::Burst { class, factor });
                }
            }
            (_, None) => {}
        }
    }

    /// Injects a fault that lasts for some time.
    fn begin_lasting_fault(&mut self, duration_s: f64, fault: ActiveFault) {
        self.set_fault(&fault, true);
        self.active_faults
            .push((self.sim.now_ms + to_ms(duration_s), fault));
    }

    /// Ends the faults that have lasted their time.
    pub(super) fn end_faults(&mut self) {
        let now_ms = self.sim.now_ms;
        let active = std::mem::take(&mut self.active_faults);
        let (expired, remaining): (Vec<_>, Vec<_>) =
            active.into_iter().partition(|(at, _)| *at <= now_ms);
        self.active_faults = remaining;
        for (_, fault) in expired {
            self.set_fault(&fault, false);
        }
    }

    /// Puts a fault in force, or ends it.
    fn set_fault(&mut self, fault: &ActiveFault, active: bool) {
        let sim = &mut self.sim;
        match fault {
            ActiveFault::CutState(controller) => {
                sim.controllers[*controller].cut_from_state = active
            }
            ActiveFault::CutWorkers(controller) => {
                sim.controllers[*controller].cut_from_workers = active
            }
            ActiveFault::CutPeers(controller) => {
                sim.controllers[*controller].cut_from_peers = active
            }
            ActiveFault::CutAlone(controller) => {
                let slot = &mut sim.controllers[*controller];
                (slot.cut_from_state, slot.cut_from_peers) = (active, active);
            }
            ActiveFault::RefuseState(controller) => {
                sim.controllers[*controller].refused_by_state = active
            }
            ActiveFault::StateOutage => sim.state.is_down = active,
            ActiveFault::ZoneCut(zone) if active => {
                let is_inside = |index: &usize| sim.zone_of_controller(*index) == *zone;
                let inside: Vec<usize> = (0..self.day.controllers).filter(is_inside).collect();
                sim.partition_zone(zone, &inside);
            }
            ActiveFault::ZoneCut(_) => sim.heal_zone(),
            ActiveFault::MachinesCut(names) => {
                for name in names {
                    if let Some(worker) = sim.workers.get_mut(name) {
                        worker.disconnected = active;
                    }
                }
            }
            ActiveFault::InboundLost(names) => {
                for name in names {
                    if let Some(worker) = sim.workers.get_mut(name) {
                        worker.inbound_lost = active;
                    }
                }
            }
            ActiveFault::LateWrites(share) => {
                sim.network.faults.transaction_late = if active { *share } else { 0.0 }
            }
            ActiveFault::LateReports(share) => {
                sim.network.faults.heartbeat_duplicated = if active { *share } else { 0.0 }
            }
            ActiveFault::Burst { class, factor } if active => {
                self.rate_factors[*class] *= factor;
                self.next_submission_s[*class] = sim.now_ms as f64 / 1e3;
            }
            ActiveFault::Burst { class, factor } => self.rate_factors[*class] /= factor,
        }
    }
}
