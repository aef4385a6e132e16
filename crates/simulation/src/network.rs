//! The network between the components: partitions, and messages that are lost, late or duplicated.

use crate::workers::Command;
use crate::{Action, Simulation};
use glenmount_core::controller::{CommandOutcome, Event};
use glenmount_core::model::WorkerHeartbeat;
use rand::Rng;
use std::collections::BTreeSet;

/// Probabilities of faults per message, between 0 and 1.
#[derive(Default, Clone)]
pub struct FaultRates {
    /// The state store executes a transaction, but its answer is lost.
    pub transaction_answer_lost: f64,
    /// The state store executes a transaction seconds later, after its sender has timed out.
    pub transaction_late: f64,
    /// A transaction that the state store has committed arrives again, from at once to minutes later.
    pub transaction_repeated: f64,
    /// An answer of the state store takes up to a second, so that the watch can overtake it.
    pub answer_slow: f64,
    /// A worker's heartbeat is lost.
    pub heartbeat_lost: f64,
    /// A worker's heartbeat arrives seconds later.
    pub heartbeat_late: f64,
    /// A worker's heartbeat arrives twice, the second time up to half a minute later.
    pub heartbeat_duplicated: f64,
    /// The network keeps a copy of a worker's heartbeat and delivers it to all controllers when the next one starts.
    pub heartbeat_kept: f64,
    /// The reply to a heartbeat is lost.
    pub reply_lost: f64,
    /// The cloud executes a call, but its sender gets an error.
    pub cloud_answer_lost: f64,
    /// A command to a worker is lost.
    pub command_lost: f64,
    /// A command to a worker arrives up to a minute later.
    pub command_late: f64,
    /// A direct command that a worker has executed and answered arrives again, up to three times, from at once
    /// to minutes later.
    pub command_repeated: f64,
}

/// A partition: no message gets into or out of the zone.
struct ZonePartition {
    zone: String,
    /// Controllers inside the zone.
    controllers: BTreeSet<usize>,
}

/// Connections between the components.
#[derive(Default)]
pub struct Network {
    /// Probabilities of lost, late and duplicated messages.
    pub faults: FaultRates,
    /// Maximum additional latency of a message between a controller and a worker.
    pub max_extra_latency_ms: u64,
    partition: Option<ZonePartition>,
    /// Messages into and out of the partitioned zone, which arrive after the partition heals.
    pub(crate) held_back: Vec<Action>,
    /// Copies of workers' heartbeats that all controllers get when a controller starts.
    pub(crate) kept_heartbeats: Vec<WorkerHeartbeat>,
    /// Whether the network keeps a copy of each direct command that a worker executes, for
    /// [`Simulation::repeat_commands`].
    pub keeps_commands: bool,
    /// Copies of executed direct commands.
    pub(crate) kept_commands: Vec<Command>,
}

/// Returns the result of a command without a heartbeat of its worker.
pub(crate) fn command_unanswered(machine: String, outcome: CommandOutcome) -> Event {
    Event::CommandResult {
        machine,
        outcome,
        heartbeat: None,
    }
}

impl Simulation {
    /// Returns whether messages of a controller reach a peer.
    pub(crate) fn peers_connected(&self, controller: usize, peer: usize) -> bool {
        let is_cut = |index: usize| self.controllers[index].cut_from_peers;
        peer != controller
            && !is_cut(controller)
            && !is_cut(peer)
            && !self.controllers[controller].outbound_lost
            && self.is_partitioned(controller) == self.is_partitioned(peer)
    }

    /// Partitions a zone, with these controllers inside, from everything else.
    pub fn partition_zone(&mut self, zone: &str, inside: &[usize]) {
        self.network.partition = Some(ZonePartition {
            zone: zone.into(),
            controllers: inside.iter().copied().collect(),
        });
    }

    /// Heals the partition of a zone. The messages that it held back arrive now.
    pub fn heal_zone(&mut self) {
        self.network.partition = None;
        for action in std::mem::take(&mut self.network.held_back) {
            let delay_ms = self.rng.gen_range(1..60);
            self.schedule(delay_ms, action);
        }
    }

    /// Returns whether a controller is inside the partitioned zone.
    pub(crate) fn is_partitioned(&self, controller: usize) -> bool {
        let partition = self.network.partition.as_ref();
        partition.is_some_and(|p| p.controllers.contains(&controller))
    }

    /// Returns whether users cannot reach a controller.
    pub fn is_unreachable(&self, controller: usize) -> bool {
        self.is_partitioned(controller) || self.controllers[controller].outbound_lost
    }

    /// Returns whether no partition lies between a controller and a machine.
    pub(crate) fn controller_reaches(&self, controller: usize, machine: &str) -> bool {
        let Some(partition) = &self.network.partition else {
            return true;
        };
        let is_inside = self
            .workers
            .get(machine)
            .map(|worker| worker.zone == partition.zone);
        is_inside == Some(partition.controllers.contains(&controller))
    }

    /// Heals the partition, ends all outages and restores all connections.
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

    /// Draws the additional latency of a message.
    pub(crate) fn extra_latency_ms(&mut self) -> u64 {
        match self.network.max_extra_latency_ms {
            0 => 0,
            max_ms => self.rng.gen_range(0..max_ms),
        }
    }
}
