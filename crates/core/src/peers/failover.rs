//! What a controller does when a peer is lost or comes back, and the heartbeats between controllers.
//!
//! Workers turn to another controller by themselves; this one expects them, and goes on with what the
//! lost one had claimed, accepted, provisioned or deleted. Every step rests on records, so it does no
//! harm that two do it, or that the peer lives.

use crate::constants::{FAILOVER_STAGGER_MS, STARTUP_PERIOD_MS, STATE_PROBE_INTERVAL_MS};
use crate::controller::{Controller, ControllerStatus, Effect, HeardWorker, PeerHeartbeat};
use crate::peers::status::{HeartbeatOutcome, PeerStatus, PeerStatusChange};
use crate::state::formats;
use crate::workers::starts::Attempt;

impl Controller {
    /// Takes a peer's heartbeat in.
    pub(crate) fn receive_peer_heartbeat(&mut self, heartbeat: PeerHeartbeat) {
        let images = heartbeat.images.clone();
        let is_behind = self.is_behind(&heartbeat.controller);
        let (now, wall) = (self.now, self.wall);
        let own = &self.workers.last_heartbeats;
        let outcome = self.peers.receive_heartbeat(now, wall, heartbeat, own);
        if outcome != HeartbeatOutcome::Accepted {
            return;
        }
        self.cache.merge_image_hints(&images);
        if is_behind && self.sync.has_listed {
            // A linearizable read tells whether the watch lags.
            let at = self.now.saturating_sub(STATE_PROBE_INTERVAL_MS);
            self.reads.last_requested_at = self.reads.last_requested_at.min(at);
        }
        self.judge_peers();
    }

    /// Whether this cache still lacks what a peer had at its heartbeat before, half a second ago.
    fn is_behind(&self, controller: &str) -> bool {
        let peer = self.peers.peer(controller);
        let status = peer.and_then(|peer| peer.heartbeat.status.as_ref());
        status.is_some_and(|status| status.revision > self.cache.revision)
    }

    /// The connection by which a peer sent its heartbeats has ended, and it has no other.
    pub(crate) fn peer_link_ended(&mut self, controller: &str) {
        self.peers.link_ended(controller);
        self.judge_peers();
    }

    /// Judges peers anew, and takes over from those that are newly lost.
    pub(crate) fn judge_peers(&mut self) {
        let (changes, completed) = self.peers.judge(self.now);
        for change in changes {
            tracing::info!(
                controller = change.controller,
                previous = %change.previous,
                status = %change.status,
                workers = change.workers,
                silent_ms = change.silent_ms,
                "peer status changed"
            );
            if change.status.is_away() && !change.previous.is_away() {
                self.fail_over_from(&change);
            }
        }
        for failover in completed {
            tracing::info!(
                controller = failover.controller,
                workers = failover.workers,
                missing = failover.missing,
                duration_ms = failover.duration_ms,
                "failover completed"
            );
        }
    }

    fn fail_over_from(&mut self, lost: &PeerStatusChange) {
        // What it accepted and had no time to place is placed now, by one controller after another.
        let turn = self.now + self.settings.controller_index() * FAILOVER_STAGGER_MS;
        self.scheduling.next_pass_at = self.scheduling.next_pass_at.min(turn);
        if self.settings.tuning.recover_starts {
            let heard_at = self.now - lost.silent_ms;
            self.workers
                .starts
                .schedule_failover_check(self.now, heard_at);
        }
    }

    /// Asks machines whether starts have arrived that a lost peer may have claimed without
    /// sending them. One controller does.
    pub(crate) fn check_starts_of_lost_peers(&mut self) {
        if !self.on_duty() {
            return;
        }
        for id in self.workers.starts.take_machines_to_check(self.now) {
            self.send_command(id, Vec::new());
        }
    }

    /// Own claims of which it is not known whether they were carried out, but which the cache shows by now.
    /// Nobody has sent their starts; nor may this controller, since a peer may have made the very same claim:
    /// they are fenced at once, and go with the next answer to a heartbeat, rather than once a heartbeat has
    /// lacked them.
    pub(crate) fn fence_uncertain_claims(&mut self) {
        if !self.workers.starts.has_uncertain_claims() {
            return;
        }
        let cache = &self.cache;
        let token = |(task, attempt): &Attempt, machine: &str| {
            let placed = cache.assignment(machine, task)?;
            let assignment = Some(&placed.assignment).filter(|b| b.attempt == *attempt)?;
            assignment.direct_start.map(|start| start.token)
        };
        for (machine, token) in self
            .workers
            .starts
            .take_recorded_uncertain_claims(self.now, token)
        {
            tracing::info!(
                machine,
                "uncertain claim found on record: start fenced, to be resent"
            );
            self.fence_start(&machine, token);
        }
    }

    /// Sends a heartbeat to all peers, when one is due.
    pub(crate) fn send_heartbeat(&mut self) {
        let Some((images, status)) = self.peers.heartbeat_due(self.now) else {
            return;
        };
        self.plan_handoff();
        let workers = self
            .workers
            .last_heartbeats
            .iter()
            .filter(|(_, h)| self.now - h.at < self.settings.lease_ms * 2)
            .map(|(id, h)| HeardWorker {
                machine: id.clone(),
                incarnation: h.position.incarnation,
                sequence: h.position.sequence,
                age_ms: self.now - h.at,
            })
            .collect();
        let status = ControllerStatus {
            revision: self.cache.revision,
            term: self.cache.term().unwrap_or(0),
            under_way: self.operations.outstanding.len() as u32,
            reports: self.load() as u32,
            configuration: self.settings.policy.version,
            ..status
        };
        // Versions before format 2 refuse a heartbeat with an element more.
        let longer = self.sync.has_listed
            && self.cache.common_format() >= formats::COMPACT_CHUNKS_AND_DEPENDENCIES;
        self.emit(Effect::PeerHeartbeat(PeerHeartbeat {
            controller: self.settings.controller.clone(),
            at: self.wall,
            has_current_state: self.has_current_state(),
            workers_reachable: self.workers_reachable()
                && self.lifecycle.shutting_down_since.is_none(),
            workers,
            just_started: self.now - self.lifecycle.started_at < STARTUP_PERIOD_MS,
            images: match images {
                true => self.cache.image_hints(),
                false => Vec::new(),
            },
            status: longer.then_some(status),
        }));
    }

    /// What this controller takes a peer to be, if it has ever heard it.
    pub fn status_of(&self, controller: &str) -> Option<PeerStatus> {
        Some(self.peers.peer(controller)?.status())
    }
}
