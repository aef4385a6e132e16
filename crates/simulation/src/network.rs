//! Connections: partitions, and messages that are lost or late.

use crate::{Action, Simulation};
use glenmount_core::controller::{CommandOutcome, Event};
use glenmount_core::model::WorkerHeartbeat;
use rand::Rng;
use std::collections::BTreeSet;

/// Probability of each fault per message, between 0 and 1.
#[derive(Default, Clone)]
pub struct FaultRates {
    /// A transaction is committed, but its answer is lost.
    pub transaction_answer_lost: f64,
    /// A transaction is committed seconds later, when its sender has given up.
    pub transaction_late: f64,
    /// An answer is overtaken by the watch, by up to a second.
    pub answer_slow: f64,
    /// A worker's heartbeat is lost.
    pub heartbeat_lost: f64,
    /// A worker's heartbeat arrives seconds later.
    pub heartbeat_late: f64,
    /// A worker's heartbeat arrives twice, the second time up to half a minute later.
    pub heartbeat_duplicated: f64,
    /// A copy is kept for the next controller that begins: all controllers get it then.
    pub heartbeat_kept: f64,
    /// The reply to a heartbeat is lost.
    pub reply_lost: f64,
    /// A call to the cloud is executed, but its sender is told that it failed.
    pub cloud_answer_lost: f64,
    /// A command to a worker is lost.
    pub command_lost: f64,
    /// A command to a worker arrives up to a minute later.
    pub command_late: f64,
}

/// A zone that nothing gets into or out of.
struct ZonePartition {
    zone: String,
    /// Controllers inside.
    controllers: BTreeSet<usize>,
}

/// Connections between the parts.
#[derive(Default)]
pub struct Network {
    /// Which messages are lost or late.
    pub faults: FaultRates,
    /// Milliseconds that a message between a controller and a worker takes longer, at most.
    pub max_extra_latency_ms: u64,
    partition: Option<ZonePartition>,
    /// What was sent into or out of the zone that is cut off: it arrives once that is over.
    pub(crate) held_back: Vec<Action>,
    /// Copies of heartbeats that are sent again once a controller starts.
    pub(crate) kept_heartbeats: Vec<WorkerHeartbeat>,
}

pub(crate) fn command_unanswered(machine: String, reach: CommandOutcome) -> Event {
    Event::CommandResult {
        machine,
        outcome: reach,
        heartbeat: None,
    }
}

impl Simulation {
    /// Whether what a controller sends to a peer gets there.
    pub(crate) fn peers_connected(&self, controller: usize, peer: usize) -> bool {
        let cut = |controller: usize| self.controllers[controller].cut_from_peers;
        peer != controller
            && !cut(controller)
            && !cut(peer)
            && !self.controllers[controller].outbound_lost
            && self.is_partitioned(controller) == self.is_partitioned(peer)
    }

    /// Cuts a zone off with these controllers inside.
    pub fn partition_zone(&mut self, zone: &str, inside: &[usize]) {
        self.network.partition = Some(ZonePartition {
            zone: zone.into(),
            controllers: inside.iter().copied().collect(),
        });
    }

    /// Ends the cut: what was sent across arrives now.
    pub fn heal_zone(&mut self) {
        self.network.partition = None;
        for act in std::mem::take(&mut self.network.held_back) {
            let delay = self.rng.gen_range(1..60);
            self.schedule(delay, act);
        }
    }

    /// Whether a controller is cut off, with its zone, from all that belongs to the region.
    pub(crate) fn is_partitioned(&self, controller: usize) -> bool {
        let partition = self.network.partition.as_ref();
        partition.is_some_and(|p| p.controllers.contains(&controller))
    }

    /// Whether users do not reach a controller.
    pub fn is_unreachable(&self, controller: usize) -> bool {
        self.is_partitioned(controller) || self.controllers[controller].outbound_lost
    }

    pub(crate) fn controller_reaches(&self, controller: usize, machine: &str) -> bool {
        let Some(partition) = &self.network.partition else {
            return true;
        };
        let there = self
            .workers
            .get(machine)
            .map(|worker| worker.zone == partition.zone);
        there == Some(partition.controllers.contains(&controller))
    }

    /// Ends all outages and cuts.
    pub fn heal_all(&mut self) {
        self.heal_zone();
        (self.state.is_down, self.cloud.is_down) = (false, false);
        for slot in &mut self.controllers {
            slot.cut_from_state = false;
            slot.refused_by_state = false;
            slot.cut_from_workers = false;
            slot.cut_from_peers = false;
            slot.outbound_lost = false;
        }
        for worker in self.workers.values_mut() {
            (
                worker.disconnected,
                worker.inbound_lost,
                worker.outbound_lost,
            ) = (false, false, false);
        }
    }

    pub(crate) fn extra_latency_ms(&mut self) -> u64 {
        match self.network.max_extra_latency_ms {
            0 => 0,
            most => self.rng.gen_range(0..most),
        }
    }
}
