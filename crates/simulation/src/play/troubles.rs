//! Troubles of a day: how each begins, and how those end that last for some time.

use super::{ms, Play};
use crate::day::What;
use rand::seq::SliceRandom;
use std::collections::BTreeMap;

/// A trouble that lasts for some time.
pub(super) enum Ongoing {
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

impl Play<'_> {
    /// Controllers that live, the one with the most workers first.
    fn busiest(&self) -> Vec<usize> {
        let mut load: BTreeMap<usize, usize> = BTreeMap::new();
        for worker in self.w.workers.values().filter(|w| w.alive) {
            *load.entry(worker.controller).or_default() += 1;
        }
        let lives = |n: &usize| self.w.controllers[*n].controller.is_some() && !self.w.frozen(*n);
        let mut controllers: Vec<usize> = (0..self.day.controllers).filter(lives).collect();
        controllers.sort_by_key(|n| std::cmp::Reverse(load.get(n).copied().unwrap_or(0)));
        controllers
    }

    fn some_machines(&mut self, count: usize) -> Vec<String> {
        let alive = self.w.workers.values().filter(|w| w.alive);
        let mut names: Vec<String> = alive.map(|w| w.name.clone()).collect();
        names.shuffle(&mut self.rng);
        names.truncate(count);
        names
    }

    /// A trouble begins.
    pub(super) fn begin(&mut self, what: What) {
        let busiest = self.busiest();
        match (what, busiest.first().copied()) {
            (What::End { count, back_s }, _) => {
                for n in busiest.into_iter().take(count) {
                    self.follow_end(n);
                    self.w.crash(n, ms(back_s));
                }
            }
            (What::Leave { back_s }, Some(n)) => self.w.leave(n, ms(back_s)),
            (What::Freeze { count, for_s }, _) => {
                for n in busiest.into_iter().take(count) {
                    self.w.freeze(n, ms(for_s));
                }
            }
            (What::CutState { for_s }, Some(n)) => self.last(for_s, Ongoing::CutState(n)),
            (What::CutWorkers { for_s }, Some(n)) => self.last(for_s, Ongoing::CutWorkers(n)),
            (What::CutPeers { for_s }, Some(n)) => self.last(for_s, Ongoing::CutPeers(n)),
            (What::CutAlone { for_s }, Some(n)) => self.last(for_s, Ongoing::CutAlone(n)),
            (What::RefuseState { for_s }, Some(n)) => self.last(for_s, Ongoing::RefuseState(n)),
            (What::StateOutage { for_s }, _) => self.last(for_s, Ongoing::StateOutage),
            (What::ZoneCut { zone, for_s }, _) => self.last(for_s, Ongoing::ZoneCut(zone)),
            (What::MachinesDie { count }, _) => {
                for name in self.some_machines(count) {
                    self.w.kill_machine(&name);
                }
            }
            (What::MachinesCut { count, for_s }, _) => {
                let names = self.some_machines(count);
                self.last(for_s, Ongoing::MachinesCut(names));
            }
            (What::Deaf { count, for_s }, _) => {
                let names = self.some_machines(count);
                self.last(for_s, Ongoing::Deaf(names));
            }
            (What::LateWrites { share, for_s }, _) => self.last(for_s, Ongoing::LateWrites(share)),
            (What::LateReports { share, for_s }, _) => {
                self.last(for_s, Ongoing::LateReports(share));
            }
            (
                What::Burst {
                    class,
                    factor,
                    for_s,
                },
                _,
            ) => {
                let class = self.day.classes.iter().position(|c| c.name == class);
                if let Some(class) = class {
                    self.last(for_s, Ongoing::Burst { class, factor });
                }
            }
            (_, None) => {}
        }
    }

    /// Begins a trouble that lasts for so many seconds.
    fn last(&mut self, for_s: f64, trouble: Ongoing) {
        self.set(&trouble, true);
        self.ongoing.push((self.w.now + ms(for_s), trouble));
    }

    /// Ends the troubles whose time is over.
    pub(super) fn end_troubles(&mut self) {
        let now = self.w.now;
        let ongoing = std::mem::take(&mut self.ongoing);
        let (over, last): (Vec<_>, Vec<_>) = ongoing.into_iter().partition(|(at, _)| *at <= now);
        self.ongoing = last;
        for (_, trouble) in over {
            self.set(&trouble, false);
        }
    }

    /// Puts a trouble in force, or takes it back.
    fn set(&mut self, trouble: &Ongoing, on: bool) {
        let w = &mut self.w;
        match trouble {
            Ongoing::CutState(n) => w.controllers[*n].cut_from_state = on,
            Ongoing::CutWorkers(n) => w.controllers[*n].cut_from_workers = on,
            Ongoing::CutPeers(n) => w.controllers[*n].cut_from_peers = on,
            Ongoing::CutAlone(n) => {
                let slot = &mut w.controllers[*n];
                (slot.cut_from_state, slot.cut_from_peers) = (on, on);
            }
            Ongoing::RefuseState(n) => w.controllers[*n].refused = on,
            Ongoing::StateOutage => w.state_down = on,
            Ongoing::ZoneCut(zone) if on => {
                let there = |n: &usize| w.zone_of_controller(*n) == *zone;
                let inside: Vec<usize> = (0..self.day.controllers).filter(there).collect();
                w.cut_zone(zone, &inside);
            }
            Ongoing::ZoneCut(_) => w.join_zone(),
            Ongoing::MachinesCut(names) => {
                for name in names {
                    if let Some(worker) = w.workers.get_mut(name) {
                        worker.cut = on;
                    }
                }
            }
            Ongoing::Deaf(names) => {
                for name in names {
                    if let Some(worker) = w.workers.get_mut(name) {
                        worker.deaf = on;
                    }
                }
            }
            Ongoing::LateWrites(share) => w.mishaps.txn_late = if on { *share } else { 0.0 },
            Ongoing::LateReports(share) => w.mishaps.report_twice = if on { *share } else { 0.0 },
            Ongoing::Burst { class, factor } if on => {
                self.factor[*class] *= factor;
                self.next_at[*class] = w.now as f64 / 1e3;
            }
            Ongoing::Burst { class, factor } => self.factor[*class] /= factor,
        }
    }
}
