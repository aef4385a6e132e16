//! What a controller follows of its peers, so that whatever one of them did is carried on when it
//! exits, is paused or is cut off.
//!
//! There is no leader and nobody is asked to take over: every controller is the standby of each of its
//! peers. While all is well the tracker keeps, with every heartbeat, which workers report to which
//! peer, how regularly it is heard and what it says of itself. It judges by more than one sign
//! what has become of one that falls silent (`failure_detector`); the controller acts on that (`failover`).

use super::failure_detector::Failover;
use super::handoff::Handoff;
use super::heartbeat_intervals::HeartbeatIntervals;
use super::peer::{Peer, PeerObservation};
use super::status::{HeartbeatOutcome, PeerStatus, RejectedHeartbeat};
use crate::constants::{
    CLOCK_TICK_MS, HEARTBEAT_INTERVAL_WEIGHT, HEARTBEAT_MAX_AGE_MS, HEARTBEAT_MAX_MACHINES,
    METRICS_INTERVAL_MS, PAUSE_DETECTION_MS, PEER_HEARTBEAT_EXPIRY_MS, PEER_HEARTBEAT_INTERVAL_MS,
    WORKER_FAILOVER_MS,
};
use crate::controller::{ControllerStatus, HeardWorker, PeerHeartbeat};
use crate::model::{Millis, WallMs};
use crate::settings::Settings;
use crate::tuning::Tuning;
use crate::workers::registry::ReceivedHeartbeat;
use foldhash::{HashMap, HashMapExt};
use std::collections::{BTreeMap, BTreeSet};

/// What a tracker needs to know of the deployment.
#[derive(Debug)]
pub(super) struct Membership {
    /// The name of this controller.
    pub(super) own_name: String,
    /// The names of all controllers.
    pub(super) members: Vec<String>,
    /// By how much times of day may differ between controllers.
    pub(super) clock_off_ms: Millis,
    /// Milliseconds within which all workers of a controller that has exited have turned elsewhere.
    pub(super) worker_failover_ms: Millis,
    pub(super) tuning: Tuning,
}

/// What is known of all peers.
#[derive(Debug)]
pub(crate) struct PeerTracker {
    pub(super) membership: Membership,
    pub(super) peers: BTreeMap<String, Peer>,
    /// The latest heartbeats that peers got of workers, by machine.
    observations: HashMap<String, PeerObservation>,
    /// Failovers in progress, by peer.
    pub(super) failovers: BTreeMap<String, Failover>,
    /// Heartbeats rejected since the last log line, by reason.
    rejected: BTreeMap<RejectedHeartbeat, u64>,
    rejected_logged_at: Millis,
    /// The time of day at which this process began.
    process_started_at: WallMs,
    /// Heartbeats that this controller has sent.
    sent: u64,
    sent_at: Millis,
    /// The next heartbeat says what is remembered of images.
    share_images: bool,
    /// By how many milliseconds this controller's clock ticks late, on the whole.
    pub(super) tick_delay_ms: f64,
    pub(super) handoff: Handoff,
}

impl PeerTracker {
    pub fn new(settings: &Settings, wall: WallMs) -> PeerTracker {
        let membership = Membership {
            own_name: settings.controller.clone(),
            members: settings.controllers.clone(),
            clock_off_ms: settings.clock_skew_ms,
            worker_failover_ms: WORKER_FAILOVER_MS + settings.heartbeat_due_ms(),
            tuning: settings.tuning,
        };
        PeerTracker::of(membership, wall)
    }

    pub(super) fn of(membership: Membership, wall: WallMs) -> PeerTracker {
        PeerTracker {
            membership,
            peers: BTreeMap::new(),
            observations: HashMap::new(),
            failovers: BTreeMap::new(),
            rejected: BTreeMap::new(),
            rejected_logged_at: 0,
            process_started_at: wall,
            sent: 0,
            sent_at: 0,
            share_images: false,
            tick_delay_ms: 0.0,
            handoff: Handoff::default(),
        }
    }

    // ---- Events -------------------------------------------------------------------------

    /// Accepts a heartbeat, or says why not. `own`: the heartbeats of workers that came here.
    pub fn receive_heartbeat(
        &mut self,
        now: Millis,
        wall: WallMs,
        heartbeat: PeerHeartbeat,
        own: &HashMap<String, ReceivedHeartbeat>,
    ) -> HeartbeatOutcome {
        if let Some(reason) = self.reason_to_reject(now, wall, &heartbeat) {
            *self.rejected.entry(reason).or_default() += 1;
            tracing::debug!(
                controller = heartbeat.controller,
                ?reason,
                "peer heartbeat rejected"
            );
            return HeartbeatOutcome::Rejected(reason);
        }
        self.observe_workers(now, &heartbeat, own);
        self.share_images |= self.has_just_started(&heartbeat);
        match self.peers.get_mut(&heartbeat.controller) {
            Some(peer) => {
                peer.intervals.observe(now - peer.at);
                peer.at = now;
                peer.link_ended = false;
                peer.failed_over = 0;
                peer.heartbeat = heartbeat;
            }
            None => self.add_peer(now, heartbeat),
        }
        HeartbeatOutcome::Accepted
    }

    fn add_peer(&mut self, now: Millis, heartbeat: PeerHeartbeat) {
        let controller = heartbeat.controller.clone();
        let peer = Peer {
            at: now,
            heartbeat,
            intervals: HeartbeatIntervals::new(),
            link_ended: false,
            workers: self.workers_observed_by(&controller),
            failed_over: 0,
            status: PeerStatus::Healthy,
        };
        self.peers.insert(controller, peer);
    }

    /// Whether its sender has just started, and has not said so before.
    fn has_just_started(&self, heartbeat: &PeerHeartbeat) -> bool {
        let process = |h: &PeerHeartbeat| h.status.as_ref().map(|s| s.life);
        let known = self.peers.get(&heartbeat.controller).map(|p| &p.heartbeat);
        let is_new = known.is_none_or(|k| !k.just_started || process(k) < process(heartbeat));
        is_new && heartbeat.just_started
    }

    /// The connection by which a peer sent its heartbeats has ended, and it has no other.
    pub fn link_ended(&mut self, controller: &str) {
        if let Some(peer) = self.peers.get_mut(controller) {
            peer.link_ended = self.membership.tuning.detect_link_loss;
        }
    }

    /// A worker's heartbeat has come here: it may have reported to a peer before.
    pub fn note_failover_of(&mut self, machine: &str) {
        for failover in self.failovers.values_mut() {
            failover.expected.remove(machine);
        }
        let Some(before) = self.observations.get(machine) else {
            return;
        };
        if let Some(peer) = self.peers.get_mut(before.peer()) {
            peer.failed_over += usize::from(peer.workers.remove(machine));
        }
    }

    /// After a pause: the silence of peers was this controller's own.
    pub fn reset_after_pause(&mut self, now: Millis) {
        for peer in self.peers.values_mut() {
            // Not known what has become of it, and no reason to take over from it.
            peer.at = peer
                .at
                .min(now.saturating_sub(PEER_HEARTBEAT_EXPIRY_MS + 1));
            (peer.status, peer.failed_over) = (PeerStatus::Silent, 0);
        }
        self.failovers.clear();
        self.handoff.cancel();
    }

    /// The clock ticked, so many milliseconds after the last time.
    pub fn ticked(&mut self, interval: Millis) {
        let delay = interval
            .saturating_sub(CLOCK_TICK_MS)
            .min(PAUSE_DETECTION_MS) as f64;
        self.tick_delay_ms += HEARTBEAT_INTERVAL_WEIGHT * (delay - self.tick_delay_ms);
    }

    /// What this controller adds to its next heartbeat, when one is due: whether it says what it
    /// remembers of images, and what it says of itself.
    pub fn heartbeat_due(&mut self, now: Millis) -> Option<(bool, ControllerStatus)> {
        if now < self.sent_at + PEER_HEARTBEAT_INTERVAL_MS {
            return None;
        }
        self.sent_at = now;
        self.sent += 1;
        let in_time = self.peers.values().filter(|peer| peer.is_in_time(now));
        let status = ControllerStatus {
            life: self.process_started_at,
            count: self.sent,
            tick_delay_ms: self.tick_delay_ms as u32,
            heard_peers: in_time.map(|p| p.heartbeat.controller.clone()).collect(),
            ..ControllerStatus::default()
        };
        Some((std::mem::take(&mut self.share_images), status))
    }

    /// The next heartbeat is due at once.
    pub fn send_heartbeat_now(&mut self) {
        self.sent_at = 0;
    }

    /// Heartbeats rejected since the last time, by reason; none more often than every `METRICS_INTERVAL_MS`.
    pub fn take_rejected(&mut self, now: Millis) -> Vec<(RejectedHeartbeat, u64)> {
        if self.rejected.is_empty() || now < self.rejected_logged_at + METRICS_INTERVAL_MS {
            return Vec::new();
        }
        self.rejected_logged_at = now;
        std::mem::take(&mut self.rejected).into_iter().collect()
    }

    /// Forgets machines that are gone.
    pub fn forget(&mut self, is_on_record: impl Fn(&str) -> bool) {
        self.observations.retain(|id, _| is_on_record(id));
        for peer in self.peers.values_mut() {
            peer.workers.retain(|id| is_on_record(id));
        }
        for failover in self.failovers.values_mut() {
            failover.expected.retain(|id| is_on_record(id));
        }
    }

    // ---- What it knows ------------------------------------------------------------------

    /// Peers that were heard lately and are not known to have exited.
    pub fn fresh(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| peer.is_fresh(now))
    }

    /// How many peers are taken to serve, heard here or by others.
    pub fn serving(&self, now: Millis) -> usize {
        let by_others = self.peers.values();
        let by_others = by_others.filter(|p| p.status == PeerStatus::LinkLost);
        self.fresh(now).count() + by_others.count()
    }

    /// Whether a peer may do the duties that fall to the first controller that can: it is heard to reach
    /// the state service, or was when only this controller lost it.
    pub fn can_be_on_duty(&self, now: Millis, controller: &str) -> bool {
        let peer = self.peers.get(controller);
        peer.is_some_and(|p| p.heartbeat.has_current_state) && self.serves(now, controller)
    }

    /// Whether some peer's work is being taken over.
    pub fn has_failover_in_progress(&self) -> bool {
        !self.failovers.is_empty()
    }

    /// Whether a peer is heard, here or by another.
    pub fn serves(&self, now: Millis, controller: &str) -> bool {
        let peer = self.peers.get(controller);
        peer.is_some_and(|p| p.status == PeerStatus::LinkLost || p.is_fresh(now))
    }

    /// Whether a peer is heard in time and reaches state service and workers.
    pub fn is_healthy(&self, now: Millis, controller: &str) -> bool {
        let peer = self.peers.get(controller);
        peer.is_some_and(|p| {
            p.is_fresh(now) && p.status == PeerStatus::Healthy && p.can_serve_workers()
        })
    }

    /// A peer, if it was ever heard.
    pub fn peer(&self, controller: &str) -> Option<&Peer> {
        self.peers.get(controller)
    }

    /// Whether a peer is taken to have exited or stopped, so that its work is carried on at once.
    pub fn is_away(&self, controller: &str) -> bool {
        let peer = self.peers.get(controller);
        peer.is_some_and(|p| p.status.is_away())
    }

    /// The latest heartbeat of a worker that any peer got, as far as is known here.
    pub fn observation(&self, machine: &str) -> Option<&PeerObservation> {
        self.observations.get(machine)
    }

    // ---- Heartbeats ---------------------------------------------------------------------

    fn reason_to_reject(
        &self,
        now: Millis,
        wall: WallMs,
        heartbeat: &PeerHeartbeat,
    ) -> Option<RejectedHeartbeat> {
        let Membership {
            own_name, members, ..
        } = &self.membership;
        let clocks_off_ms = 2 * self.membership.clock_off_ms;
        if heartbeat.controller == *own_name || !members.contains(&heartbeat.controller) {
            return Some(RejectedHeartbeat::UnknownController);
        }
        let heard_peers = heartbeat.status.as_ref().map_or(0, |s| s.heard_peers.len());
        if heartbeat.workers.len() > HEARTBEAT_MAX_MACHINES || heard_peers > members.len() {
            return Some(RejectedHeartbeat::TooLarge);
        }
        if wall
            > heartbeat
                .at
                .saturating_add(HEARTBEAT_MAX_AGE_MS + clocks_off_ms)
        {
            return Some(RejectedHeartbeat::TooOld);
        }
        if heartbeat.at > wall + clocks_off_ms + HEARTBEAT_MAX_AGE_MS {
            return Some(RejectedHeartbeat::FromTheFuture);
        }
        let peer = self.peers.get(&heartbeat.controller)?;
        let known = &peer.heartbeat;
        match (&known.status, &heartbeat.status) {
            // A process that exits soon after its start, and whose time of day is set back meanwhile, is followed
            // by one that seems to be earlier: that counts once the other is silent, or its link has ended.
            (Some(a), Some(b)) if b.life < a.life => peer
                .is_in_time(now)
                .then_some(RejectedHeartbeat::EarlierProcess),
            // Within one process the time of day may be set back by as much as it may be off.
            (Some(a), Some(b)) if b.life == a.life && b.count <= a.count => {
                Some(RejectedHeartbeat::Duplicate)
            }
            (None, None) if *known == *heartbeat => Some(RejectedHeartbeat::Duplicate),
            _ => None,
        }
    }

    /// Keeps what a peer says it got of workers. That must outlive its next heartbeat: a controller that has
    /// just restarted has heard of none, and workers that had reported to it would seem silent for as
    /// long as this controller has not heard of them.
    fn observe_workers(
        &mut self,
        now: Millis,
        heartbeat: &PeerHeartbeat,
        own: &HashMap<String, ReceivedHeartbeat>,
    ) {
        for worker in &heartbeat.workers {
            self.observe_worker(now, &heartbeat.controller, worker, own);
        }
    }

    fn observe_worker(
        &mut self,
        now: Millis,
        controller: &str,
        worker: &HeardWorker,
        own: &HashMap<String, ReceivedHeartbeat>,
    ) {
        let (machine, position) = (&worker.machine, worker.position());
        let at = now.saturating_sub(worker.age_ms);
        let Some(known) = self.observations.get_mut(machine) else {
            let observation = PeerObservation {
                at,
                position,
                peer: controller.to_string(),
            };
            self.assign_worker(controller, machine);
            self.observations.insert(machine.clone(), observation);
            return;
        };
        known.at = known.at.max(at);
        if position <= known.position {
            return;
        }
        known.position = position;
        let came_here = own.get(machine).is_some_and(|h| h.position >= position);
        let moved = known.peer != controller;
        let before = moved.then(|| std::mem::replace(&mut known.peer, controller.to_string()));
        if let Some(peer) = before.and_then(|before| self.peers.get_mut(&before)) {
            peer.failed_over += usize::from(peer.workers.remove(machine));
        }
        if !came_here {
            self.assign_worker(controller, machine);
        }
    }

    /// A worker reports to a peer now.
    fn assign_worker(&mut self, controller: &str, machine: &str) {
        if let Some(peer) = self.peers.get_mut(controller) {
            if !peer.workers.contains(machine) {
                peer.workers.insert(machine.to_string());
            }
        }
        for failover in self.failovers.values_mut() {
            failover.expected.remove(machine);
        }
    }

    fn workers_observed_by(&self, controller: &str) -> BTreeSet<String> {
        let observed = self.observations.iter();
        let observed = observed.filter(|(_, observation)| observation.peer == controller);
        observed.map(|(machine, _)| machine.clone()).collect()
    }
}

#[cfg(test)]
mod tests;
