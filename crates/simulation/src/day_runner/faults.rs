//! Faults of a day: how each begins, and how those end that last for some time.

use super::{to_ms, DayRun};
use crate::day::FaultKind;
use rand::seq::SliceRandom;
use std::collections::BTreeMap;

/// A fault that lasts for some time.
pub(super) enum ActiveFault {
    CutState(usize),
    CutWorkers(usize),
    CutPeers(usize),
    CutAlone(usize),
    RefuseState(usize),
    StateOutage,
    ZoneCut(String),
    MachinesCut(Vec<String>),
    Deaf(Vec<String>),
    LateWrites(f64),
    LateReports(f64),
    Burst { class: usize, factor: f64 },
}

impl DayRun<'_> {
    /// Controllers that live, the one with the most workers first.
    fn busiest(&self) -> Vec<usize> {
        let mut load: BTreeMap<usize, usize> = BTreeMap::new();
        for worker in self.sim.workers.values().filter(|worker| worker.alive) {
            *load.entry(worker.controller).or_default() += 1;
        }
        let lives =
            |n: &usize| self.sim.controllers[*n].controller.is_some() && !self.sim.is_paused(*n);
        let mut controllers: Vec<usize> = (0..self.day.controllers).filter(lives).collect();
        controllers.sort_by_key(|n| std::cmp::Reverse(load.get(n).copied().unwrap_or(0)));
        controllers
    }

    fn draw_machines(&mut self, count: usize) -> Vec<String> {
        let alive = self.sim.workers.values().filter(|worker| worker.alive);
        let mut names: Vec<String> = alive.map(|worker| worker.name.clone()).collect();
        names.shuffle(&mut self.rng);
        names.truncate(count);
        names
    }

    /// A fault begins.
    pub(super) fn begin_fault(&mut self, what: FaultKind) {
        let busiest = self.busiest();
        match (what, busiest.first().copied()) {
            (FaultKind::Crash { count, back_s }, _) => {
                for n in busiest.into_iter().take(count) {
                    self.observe_failure(n);
                    self.sim.crash(n, to_ms(back_s));
                }
            }
            (FaultKind::ShutDown { back_s }, Some(n)) => self.sim.shut_down(n, to_ms(back_s)),
            (FaultKind::Pause { count, for_s }, _) => {
                for n in busiest.into_iter().take(count) {
                    self.sim.pause(n, to_ms(for_s));
                }
            }
            (FaultKind::CutState { for_s }, Some(n)) => {
                self.begin_lasting_fault(for_s, ActiveFault::CutState(n))
            }
            (FaultKind::CutWorkers { for_s }, Some(n)) => {
                self.begin_lasting_fault(for_s, ActiveFault::CutWorkers(n))
            }
            (FaultKind::CutPeers { for_s }, Some(n)) => {
                self.begin_lasting_fault(for_s, ActiveFault::CutPeers(n))
            }
            (FaultKind::CutAlone { for_s }, Some(n)) => {
                self.begin_lasting_fault(for_s, ActiveFault::CutAlone(n))
            }
            (FaultKind::RefuseState { for_s }, Some(n)) => {
                self.begin_lasting_fault(for_s, ActiveFault::RefuseState(n))
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
                self.begin_lasting_fault(for_s, ActiveFault::Deaf(names));
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

    /// Begins a fault that lasts for so many seconds.
    fn begin_lasting_fault(&mut self, for_s: f64, trouble: ActiveFault) {
        self.set_fault(&trouble, true);
        self.active_faults
            .push((self.sim.now_ms + to_ms(for_s), trouble));
    }

    /// Ends the faults whose time is over.
    pub(super) fn end_faults(&mut self) {
        let now = self.sim.now_ms;
        let ongoing = std::mem::take(&mut self.active_faults);
        let (over, last): (Vec<_>, Vec<_>) = ongoing.into_iter().partition(|(at, _)| *at <= now);
        self.active_faults = last;
        for (_, trouble) in over {
            self.set_fault(&trouble, false);
        }
    }

    /// Puts a fault in force, or takes it back.
    fn set_fault(&mut self, trouble: &ActiveFault, on: bool) {
        let sim = &mut self.sim;
        match trouble {
            ActiveFault::CutState(n) => sim.controllers[*n].cut_from_state = on,
            ActiveFault::CutWorkers(n) => sim.controllers[*n].cut_from_workers = on,
            ActiveFault::CutPeers(n) => sim.controllers[*n].cut_from_peers = on,
            ActiveFault::CutAlone(n) => {
                let slot = &mut sim.controllers[*n];
                (slot.cut_from_state, slot.cut_from_peers) = (on, on);
            }
            ActiveFault::RefuseState(n) => sim.controllers[*n].refused_by_state = on,
            ActiveFault::StateOutage => sim.state.is_down = on,
            ActiveFault::ZoneCut(zone) if on => {
                let there = |n: &usize| sim.zone_of_controller(*n) == *zone;
                let inside: Vec<usize> = (0..self.day.controllers).filter(there).collect();
                sim.partition_zone(zone, &inside);
            }
            ActiveFault::ZoneCut(_) => sim.heal_zone(),
            ActiveFault::MachinesCut(names) => {
                for name in names {
                    if let Some(worker) = sim.workers.get_mut(name) {
                        worker.disconnected = on;
                    }
                }
            }
            ActiveFault::Deaf(names) => {
                for name in names {
                    if let Some(worker) = sim.workers.get_mut(name) {
                        worker.inbound_lost = on;
                    }
                }
            }
            ActiveFault::LateWrites(share) => {
                sim.network.faults.transaction_late = if on { *share } else { 0.0 }
            }
            ActiveFault::LateReports(share) => {
                sim.network.faults.heartbeat_duplicated = if on { *share } else { 0.0 }
            }
            ActiveFault::Burst { class, factor } if on => {
                self.rate_factors[*class] *= factor;
                self.next_submission_s[*class] = sim.now_ms as f64 / 1e3;
            }
            ActiveFault::Burst { class, factor } => self.rate_factors[*class] /= factor,
        }
    }
}
