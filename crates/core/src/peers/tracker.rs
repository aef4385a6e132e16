//! Tracking of peers by their heartbeats: their status, their workers and their regularity.
//!
//! There is no leader election: every controller is a standby for each of its peers and fails over by itself. The
//! tracker assesses a silent peer by several kinds of evidence (`failure_detector`); the controller acts on the result
//! (`failover`).

use super::failure_detector::Failover;
use super::handoff::Handoff;
use super::heartbeat_intervals::HeartbeatIntervals;
use super::peer::{Peer, PeerObservation};
use super::status::{HeartbeatOutcome, PeerStatus, RejectedHeartbeat};
use crate::constants::messages::HEARTBEAT_MAX_MACHINES;
use crate::constants::{
    CLOCK_TICK_MS, HEARTBEAT_INTERVAL_WEIGHT, HEARTBEAT_MAX_AGE_MS, METRICS_INTERVAL_MS,
    PAUSE_DETECTION_MS, PEER_HEARTBEAT_EXPIRY_MS, PEER_HEARTBEAT_INTERVAL_MS, WORKER_FAILOVER_MS,
};
use crate::controller::{ControllerStatus, HeardWorker, PeerHeartbeat};
use crate::model::{Millis, WallMs};
use crate::settings::Settings;
use crate::tuning::Tuning;
use crate::workers::registry::ReceivedHeartbeat;
use foldhash::{HashMap, HashMapExt};
use std::collections::{BTreeMap, BTreeSet};

/// The settings that the tracker uses.
#[derive(Debug)]
pub(super) struct Membership {
    /// The name of this controller.
    pub(super) own_name: String,
    /// The names of all controllers.
    pub(super) members: Vec<String>,
    /// Milliseconds by which the wall clocks of controllers may differ.
    pub(super) clock_skew_ms: Millis,
    /// Milliseconds within which all workers of an exited controller have switched to another one.
    pub(super) worker_failover_ms: Millis,
    pub(super) tuning: Tuning,
}

/// Tracks all peers and the workers that send heartbeats to them.
#[derive(Debug)]
pub(crate) struct PeerTracker {
    pub(super) membership: Membership,
    pub(super) peers: BTreeMap<String, Peer>,
    /// The latest heartbeats of workers that peers received, by machine.
    observations: HashMap<String, PeerObservation>,
    /// Failovers in progress, by peer.
    pub(super) failovers: BTreeMap<String, Failover>,
    /// Heartbeats rejected since the last log line, by reason.
    rejected: BTreeMap<RejectedHeartbeat, u64>,
    /// When rejected heartbeats were last logged.
    rejected_logged_at: Millis,
    /// Wall-clock time at which this process started.
    process_started_at: WallMs,
    /// Number of heartbeats that this controller has sent.
    heartbeats_sent: u64,
    last_heartbeat_at: Millis,
    /// Whether the next heartbeat includes the images cached on machines.
    share_images: bool,
    /// Moving average of the delay of this controller's ticks, in milliseconds.
    pub(super) tick_delay_ms: f64,
    pub(super) handoff: Handoff,
}

impl PeerTracker {
    pub fn new(settings: &Settings, wall_time: WallMs) -> PeerTracker {
        let membership = Membership {
            own_name: settings.controller.clone(),
            members: settings.controllers.clone(),
            clock_skew_ms: settings.clock_skew_ms,
            worker_failover_ms: WORKER_FAILOVER_MS + settings.heartbeat_due_ms(),
            tuning: settings.tuning,
        };
        PeerTracker::with_membership(membership, wall_time)
    }

    pub(super) fn with_membership(membership: Membership, wall_time: WallMs) -> PeerTracker {
        PeerTracker {
            membership,
            peers: BTreeMap::new(),
            observations: HashMap::new(),
            failovers: BTreeMap::new(),
            rejected: BTreeMap::new(),
            rejected_logged_at: 0,
            process_started_at: wall_time,
            heartbeats_sent: 0,
            last_heartbeat_at: 0,
            share_images: false,
            tick_delay_ms: 0.0,
            handoff: Handoff::default(),
        }
    }

    // ---- Events -------------------------------------------------------------------------

    /// Accepts a peer's heartbeat, or returns the reason to reject it. `own_heartbeats` are the latest heartbeats of
    /// workers that this controller received itself.
    pub fn receive_heartbeat(
        &mut self,
        now: Millis,
        wall_time: WallMs,
        heartbeat: PeerHeartbeat,
        own_heartbeats: &HashMap<String, ReceivedHeartbeat>,
    ) -> HeartbeatOutcome {
        if let Some(reason) = self.reason_to_reject(now, wall_time, &heartbeat) {
            *self.rejected.entry(reason).or_default() += 1;
            tracing::debug!(
                controller = heartbeat.controller,
                ?reason,
                "peer heartbeat rejected"
            );
            return HeartbeatOutcome::Rejected(reason);
        }
        self.observe_workers(now, &heartbeat, own_heartbeats);
        self.share_images |= self.has_just_started(&heartbeat);
        match self.peers.get_mut(&heartbeat.controller) {
            Some(peer) => {
                peer.intervals.observe(now - peer.last_heartbeat_at);
                peer.last_heartbeat_at = now;
                peer.link_ended = false;
                peer.failed_over = 0;
                peer.heartbeat = heartbeat;
            }
            None => self.add_peer(now, heartbeat),
        }
        HeartbeatOutcome::Accepted
    }

    /// Adds a peer at its first heartbeat.
    fn add_peer(&mut self, now: Millis, heartbeat: PeerHeartbeat) {
        let controller = heartbeat.controller.clone();
        let peer = Peer {
            last_heartbeat_at: now,
            heartbeat,
            intervals: HeartbeatIntervals::new(),
            link_ended: false,
            workers: self.workers_observed_by(&controller),
            failed_over: 0,
            status: PeerStatus::Healthy,
        };
        self.peers.insert(controller, peer);
    }

    /// Returns whether a heartbeat is the first one by which its sender reports that it has just started.
    fn has_just_started(&self, heartbeat: &PeerHeartbeat) -> bool {
        let process = |h: &PeerHeartbeat| h.status.as_ref().map(|s| s.process_started_at);
        let known = self.peers.get(&heartbeat.controller).map(|p| &p.heartbeat);
        let is_new = known.is_none_or(|k| !k.just_started || process(k) < process(heartbeat));
        is_new && heartbeat.just_started
    }

    /// Handles the end of the last connection over which a peer sent heartbeats.
    pub fn link_ended(&mut self, controller: &str) {
        if let Some(peer) = self.peers.get_mut(controller) {
            peer.link_ended = self.membership.tuning.detect_link_loss;
        }
    }

    /// Records that this controller received a worker's heartbeat. If the worker sent its last one to a peer, it
    /// has switched controllers.
    pub fn record_worker_failover(&mut self, machine: &str) {
        for failover in self.failovers.values_mut() {
            failover.missing.remove(machine);
        }
        let Some(previous) = self.observations.get(machine) else {
            return;
        };
        if let Some(peer) = self.peers.get_mut(previous.peer()) {
            peer.failed_over += usize::from(peer.workers.remove(machine));
        }
    }

    /// Resets the status of all peers after a pause of this controller, which caused their silence.
    pub fn reset_after_pause(&mut self, now: Millis) {
        for peer in self.peers.values_mut() {
            // The status is unknown, which is no reason for a failover.
            peer.last_heartbeat_at = peer
                .last_heartbeat_at
                .min(now.saturating_sub(PEER_HEARTBEAT_EXPIRY_MS + 1));
            (peer.status, peer.failed_over) = (PeerStatus::Silent, 0);
        }
        self.failovers.clear();
        self.handoff.cancel();
    }

    /// Records a tick, `interval_ms` after the previous one, in the average delay.
    pub fn record_tick(&mut self, interval_ms: Millis) {
        let delay_ms = interval_ms
            .saturating_sub(CLOCK_TICK_MS)
            .min(PAUSE_DETECTION_MS) as f64;
        self.tick_delay_ms += HEARTBEAT_INTERVAL_WEIGHT * (delay_ms - self.tick_delay_ms);
    }

    /// Counts a heartbeat as sent when one is due. Returns whether it includes the images cached on machines, and
    /// the tracker's part of the status.
    pub fn heartbeat_due(&mut self, now: Millis) -> Option<(bool, ControllerStatus)> {
        if now < self.last_heartbeat_at + PEER_HEARTBEAT_INTERVAL_MS {
            return None;
        }
        self.last_heartbeat_at = now;
        self.heartbeats_sent += 1;
        let in_time = self.peers.values().filter(|peer| peer.is_in_time(now));
        let status = ControllerStatus {
            process_started_at: self.process_started_at,
            sequence: self.heartbeats_sent,
            tick_delay_ms: self.tick_delay_ms as u32,
            heard_peers: in_time.map(|p| p.heartbeat.controller.clone()).collect(),
            ..ControllerStatus::default()
        };
        Some((std::mem::take(&mut self.share_images), status))
    }

    /// Makes the next heartbeat due at once.
    pub fn send_heartbeat_now(&mut self) {
        self.last_heartbeat_at = 0;
    }

    /// Takes the numbers of heartbeats rejected since the last call, by reason. Returns none if the last non-empty
    /// result is less than `METRICS_INTERVAL_MS` old.
    pub fn take_rejected(&mut self, now: Millis) -> Vec<(RejectedHeartbeat, u64)> {
        if self.rejected.is_empty() || now < self.rejected_logged_at + METRICS_INTERVAL_MS {
            return Vec::new();
        }
        self.rejected_logged_at = now;
        std::mem::take(&mut self.rejected).into_iter().collect()
    }

    /// Removes machines that are no longer on record.
    pub fn retain_machines(&mut self, is_on_record: impl Fn(&str) -> bool) {
        self.observations.retain(|id, _| is_on_record(id));
        for peer in self.peers.values_mut() {
            peer.workers.retain(|id| is_on_record(id));
        }
        for failover in self.failovers.values_mut() {
            failover.missing.retain(|id| is_on_record(id));
        }
    }

    // ---- Queries ------------------------------------------------------------------------

    /// Returns the peers that sent a heartbeat recently and have not exited, as far as is known.
    pub fn live(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| peer.is_live(now))
    }

    /// Returns the number of peers whose heartbeats this controller or another peer receives.
    pub fn heard_count(&self, now: Millis) -> usize {
        let peers = self.peers.values();
        let heard_by_others = peers.filter(|p| p.status == PeerStatus::LinkLost);
        self.live(now).count() + heard_by_others.count()
    }

    /// Returns whether a peer can be the coordinator: according to its last heartbeat it reaches the state store,
    /// and this controller or another peer still receives its heartbeats.
    pub fn can_coordinate(&self, now: Millis, controller: &str) -> bool {
        let peer = self.peers.get(controller);
        peer.is_some_and(|p| p.heartbeat.has_current_state) && self.is_heard(now, controller)
    }

    /// Returns whether the failover of a peer's workers is in progress.
    pub fn has_failover_in_progress(&self) -> bool {
        !self.failovers.is_empty()
    }

    /// Returns whether this controller or another peer receives a peer's heartbeats.
    pub fn is_heard(&self, now: Millis, controller: &str) -> bool {
        let peer = self.peers.get(controller);
        peer.is_some_and(|p| p.status == PeerStatus::LinkLost || p.is_live(now))
    }

    /// Returns whether a peer's heartbeats arrive on time and it reaches the state store and workers.
    pub fn is_healthy(&self, now: Millis, controller: &str) -> bool {
        let peer = self.peers.get(controller);
        peer.is_some_and(|p| {
            p.is_live(now) && p.status == PeerStatus::Healthy && p.can_serve_workers()
        })
    }

    /// Returns a peer, if it has ever sent a heartbeat.
    pub fn peer(&self, controller: &str) -> Option<&Peer> {
        self.peers.get(controller)
    }

    /// Returns whether a peer is assumed to be inactive, so that its work is continued at once.
    pub fn is_inactive(&self, controller: &str) -> bool {
        let peer = self.peers.get(controller);
        peer.is_some_and(|p| p.status.is_inactive())
    }

    /// Returns the latest heartbeat of a worker that any peer received, as far as is known.
    pub fn observation(&self, machine: &str) -> Option<&PeerObservation> {
        self.observations.get(machine)
    }

    // ---- Heartbeats ---------------------------------------------------------------------

    /// Returns the reason to reject a peer's heartbeat, if there is one.
    fn reason_to_reject(
        &self,
        now: Millis,
        wall_time: WallMs,
        heartbeat: &PeerHeartbeat,
    ) -> Option<RejectedHeartbeat> {
        let Membership {
            own_name, members, ..
        } = &self.membership;
        let clock_tolerance_ms = 2 * self.membership.clock_skew_ms;
        if heartbeat.controller == *own_name || !members.contains(&heartbeat.controller) {
            return Some(RejectedHeartbeat::UnknownController);
        }
        let heard_peers = heartbeat.status.as_ref().map_or(0, |s| s.heard_peers.len());
        if heartbeat.workers.len() > HEARTBEAT_MAX_MACHINES || heard_peers > members.len() {
            return Some(RejectedHeartbeat::TooLarge);
        }
        if wall_time
            > heartbeat
                .sent_at
                .saturating_add(HEARTBEAT_MAX_AGE_MS + clock_tolerance_ms)
        {
            return Some(RejectedHeartbeat::TooOld);
        }
        if heartbeat.sent_at > wall_time + clock_tolerance_ms + HEARTBEAT_MAX_AGE_MS {
            return Some(RejectedHeartbeat::FromTheFuture);
        }
        let peer = self.peers.get(&heartbeat.controller)?;
        let known = &peer.heartbeat;
        match (&known.status, &heartbeat.status) {
            // If a process exits soon after its start and the wall clock is set back meanwhile, its successor seems
            // to be an earlier process. Its heartbeats are accepted once the known process is silent, or its link
            // has ended.
            (Some(known_status), Some(status))
                if status.process_started_at < known_status.process_started_at =>
            {
                peer.is_in_time(now)
                    .then_some(RejectedHeartbeat::EarlierProcess)
            }
            // Within one process the heartbeat count decides, as the wall clock may be set back within its tolerance.
            (Some(known_status), Some(status))
                if status.process_started_at == known_status.process_started_at
                    && status.sequence <= known_status.sequence =>
            {
                Some(RejectedHeartbeat::Duplicate)
            }
            (None, None) if *known == *heartbeat => Some(RejectedHeartbeat::Duplicate),
            _ => None,
        }
    }

    /// Records the workers' heartbeats that a peer received. They are kept beyond the peer's next heartbeat, since a
    /// controller that has just restarted lists none: without the earlier ones its workers would appear silent
    /// until the next list.
    fn observe_workers(
        &mut self,
        now: Millis,
        heartbeat: &PeerHeartbeat,
        own_heartbeats: &HashMap<String, ReceivedHeartbeat>,
    ) {
        for worker in &heartbeat.workers {
            self.observe_worker(now, &heartbeat.controller, worker, own_heartbeats);
        }
    }

    /// Records a worker's heartbeat that a peer received.
    fn observe_worker(
        &mut self,
        now: Millis,
        controller: &str,
        worker: &HeardWorker,
        own_heartbeats: &HashMap<String, ReceivedHeartbeat>,
    ) {
        let (machine, position) = (&worker.machine, worker.position());
        let at = now.saturating_sub(worker.age_ms);
        let Some(known) = self.observations.get_mut(machine) else {
            let observation = PeerObservation {
                received_at: at,
                position,
                peer: controller.to_string(),
            };
            self.assign_worker(controller, machine);
            self.observations.insert(machine.clone(), observation);
            return;
        };
        known.received_at = known.received_at.max(at);
        if position <= known.position {
            return;
        }
        known.position = position;
        let received_here = own_heartbeats
            .get(machine)
            .is_some_and(|h| h.position >= position);
        let has_switched = known.peer != controller;
        let previous =
            has_switched.then(|| std::mem::replace(&mut known.peer, controller.to_string()));
        if let Some(peer) = previous.and_then(|previous| self.peers.get_mut(&previous)) {
            peer.failed_over += usize::from(peer.workers.remove(machine));
        }
        if !received_here {
            self.assign_worker(controller, machine);
        }
    }

    /// Records that a worker sends its heartbeats to a peer.
    fn assign_worker(&mut self, controller: &str, machine: &str) {
        if let Some(peer) = self.peers.get_mut(controller) {
            if !peer.workers.contains(machine) {
                peer.workers.insert(machine.to_string());
            }
        }
        for failover in self.failovers.values_mut() {
            failover.missing.remove(machine);
        }
    }

    /// Returns the workers whose latest known heartbeat a peer received.
    fn workers_observed_by(&self, controller: &str) -> BTreeSet<String> {
        let observations = self.observations.iter();
        let by_peer = observations.filter(|(_, observation)| observation.peer == controller);
        by_peer.map(|(machine, _)| machine.clone()).collect()
    }
}

#[cfg(test)]
mod tests;
