//! Connections: which are cut, and which messages are lost or late.

use crate::World;
use glenmount_core::controller::{CommandOutcome, Event};
use rand::Rng;

/// Chances of faults per message, between 0 and 1.
#[derive(Default, Clone)]
pub struct Mishaps {
    pub txn_answer_lost: f64,
    pub txn_late: f64,
    /// An answer is overtaken by the watch, by up to a second.
    pub answer_slow: f64,
    pub report_lost: f64,
    pub report_late: f64,
    pub report_twice: f64,
    /// A copy is kept for the next controller that begins: all controllers get it then.
    pub report_kept: f64,
    pub reply_lost: f64,
    pub cloud_lost: f64,
    pub command_lost: f64,
    pub command_late: f64,
}

pub(crate) fn no_answer(machine: String, reach: CommandOutcome) -> Event {
    Event::CommandResult {
        machine,
        reach,
        report: None,
    }
}

impl World {
    /// Whether what a controller sends to a peer gets there.
    pub(crate) fn linked(&self, n: usize, m: usize) -> bool {
        let cut = |n: usize| self.controllers[n].cut_from_peers;
        m != n
            && !cut(n)
            && !cut(m)
            && !self.controllers[n].mute
            && self.inside(n) == self.inside(m)
    }

    /// Cuts a zone off with these controllers inside.
    pub fn cut_zone(&mut self, zone: &str, inside: &[usize]) {
        self.zone_cut = Some((zone.into(), inside.iter().copied().collect()));
    }

    /// Ends the cut: what was sent across arrives now.
    pub fn join_zone(&mut self) {
        self.zone_cut = None;
        for act in std::mem::take(&mut self.held_back) {
            let delay = self.rng.gen_range(1..60);
            self.at(delay, act);
        }
    }

    /// Whether a controller is cut off, with its zone, from all that belongs to the region.
    pub(crate) fn inside(&self, n: usize) -> bool {
        let cut = self.zone_cut.as_ref();
        cut.is_some_and(|(_, inside)| inside.contains(&n))
    }

    /// Whether users do not reach a controller.
    pub fn unreachable(&self, n: usize) -> bool {
        self.inside(n) || self.controllers[n].mute
    }

    pub(crate) fn reaches(&self, n: usize, machine: &str) -> bool {
        let Some((zone, inside)) = &self.zone_cut else {
            return true;
        };
        let there = self.workers.get(machine).map(|w| w.zone == *zone);
        there == Some(inside.contains(&n))
    }

    /// Ends all outages and cuts.
    pub fn heal(&mut self) {
        self.join_zone();
        (self.state_down, self.cloud_down) = (false, false);
        for slot in &mut self.controllers {
            slot.cut_from_state = false;
            slot.refused = false;
            slot.cut_from_workers = false;
            slot.cut_from_peers = false;
            slot.mute = false;
        }
        for worker in self.workers.values_mut() {
            (worker.cut, worker.deaf, worker.mute) = (false, false, false);
        }
    }

    pub(crate) fn link_ms(&mut self) -> u64 {
        match self.slow_links_ms {
            0 => 0,
            most => self.rng.gen_range(0..most),
        }
    }
}
