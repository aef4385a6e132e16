//! What a controller does when a peer is lost, comes back, or when it is itself asked to end.
//!
//! Workers turn to another controller by themselves; this one expects them, and goes on with what the
//! lost one had claimed, accepted, provisioned or deleted. Every step rests on records, so it does no
//! harm that two do it, or that the peer lives.

use crate::constants::{
    FAILOVER_STAGGER_MS, JUST_STARTED_MS, SHUTDOWN_MARGIN_MS, STATE_PROBE_INTERVAL_MS,
};
use crate::controller::HeardWorker;
use crate::controller::{Controller, ControllerStatus, Effect, PeerHeartbeat};
use crate::peers::tracker::{HeartbeatOutcome, PeerStatus, PeerStatusChange};
use crate::workers::starts::Attempt;

impl Controller {
    pub(crate) fn receive_heartbeat(&mut self, heartbeat: PeerHeartbeat) {
        let images = heartbeat.images.clone();
        let before = self.peers.peer(&heartbeat.controller);
        // What a peer had half a second ago, and this copy still lacks.
        let said = before.and_then(|s| s.heartbeat.status.as_ref());
        let ahead = said.is_some_and(|s| s.revision > self.cache.revision);
        if self.peers.receive_heartbeat(
            self.now,
            self.wall,
            heartbeat,
            &self.workers.last_heartbeats,
        ) != HeartbeatOutcome::Accepted
        {
            return;
        }
        self.cache.take_hints(&images);
        if ahead && self.sync.has_listed {
            // A proof of freshness tells whether the watch trails.
            self.reads.last_requested_at = self
                .reads
                .last_requested_at
                .min(self.now.saturating_sub(STATE_PROBE_INTERVAL_MS));
        }
        self.judge_peers();
    }

    pub(crate) fn known_term(&self) -> u64 {
        self.cache.term().unwrap_or(0)
    }

    pub(crate) fn link_ended(&mut self, controller: &str) {
        self.peers.link_ended(controller);
        self.judge_peers();
    }

    /// Judges peers anew, and takes over from those that are newly lost.
    pub(crate) fn judge_peers(&mut self) {
        let (judged, over) = self.peers.judge(self.now);
        for j in judged {
            let (controller, was, is) = (j.controller.as_str(), j.was.name(), j.is.name());
            let (machines, silent_ms) = (j.machines, j.silent_ms);
            tracing::info!(controller, was, is, machines, silent_ms, "sibling judged");
            if j.is.is_away() && !j.was.is_away() {
                self.fail_over_from(&j);
            }
        }
        for t in over {
            let (controller, machines, missing, ms) = (t.controller, t.machines, t.missing, t.ms);
            tracing::info!(controller, machines, missing, ms, "taken over");
        }
    }

    fn fail_over_from(&mut self, lost: &PeerStatusChange) {
        // What it accepted and had no time to place is looked up now, by one controller after another.
        let turn = self.now + self.settings.controller_index() * FAILOVER_STAGGER_MS;
        self.scheduling.next_pass_at = self.scheduling.next_pass_at.min(turn);
        if self.settings.tuning.recover_starts {
            let heard_at = self.now - lost.silent_ms;
            self.workers.starts.peer_lost(self.now, heard_at);
        }
    }

    /// Asks machines whether starts have arrived that a lost peer may have claimed without
    /// sending them. One controller does.
    pub(crate) fn check_starts_of_lost_peers(&mut self) {
        if !self.on_duty() {
            return;
        }
        for id in self.workers.starts.due_to_ask(self.now) {
            self.send_command(id, Vec::new());
        }
    }

    /// Own claims of which it is not known whether they were carried out, but which the cache shows by now.
    /// Nobody has sent their starts; nor may this controller, since a peer may have made the very same claim:
    /// they are barred at once, and go with the next answer to a heartbeat, rather than once a report has
    /// lacked them.
    pub(crate) fn fence_uncertain_claims(&mut self) {
        if !self.workers.starts.has_doubts() {
            return;
        }
        let cache = &self.cache;
        let token = |(task, attempt): &Attempt, machine: &str| {
            let placed = cache.assignment(machine, task)?;
            let assignment = Some(&placed.assignment).filter(|b| b.attempt == *attempt)?;
            assignment.direct_start.map(|start| start.token)
        };
        for (machine, token) in self.workers.starts.found_assigned(self.now, token) {
            tracing::info!(
                machine,
                "a claim without an answer is on record: barred, sent anew"
            );
            self.fence_start(&machine, token);
        }
    }

    /// What this controller says to its peers, when that is due.
    pub(crate) fn send_heartbeat(&mut self) {
        let Some((images, status)) = self.peers.beat_due(self.now) else {
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
            term: self.known_term(),
            under_way: self.operations.outstanding.len() as u32,
            reports: self.load() as u32,
            configuration: self.settings.policy.version,
            ..status
        };
        // Versions before format 2 refuse a heartbeat with an element more.
        let longer =
            self.sync.has_listed && self.cache.format() >= crate::state::formats::PIPELINES;
        self.emit(Effect::PeerHeartbeat(PeerHeartbeat {
            controller: self.settings.controller.clone(),
            at: self.wall,
            has_current_state: self.has_current_state(),
            workers_reachable: self.workers_reachable()
                && self.lifecycle.shutting_down_since.is_none(),
            workers,
            just_started: self.now - self.lifecycle.started_at < JUST_STARTED_MS,
            images: match images {
                true => self.cache.image_hints(),
                false => Vec::new(),
            },
            status: longer.then_some(status),
        }));
    }

    /// What this controller takes a peer to be, if it has ever heard it.
    pub fn status_of(&self, controller: &str) -> Option<PeerStatus> {
        Some(self.peers.peer(controller)?.sign)
    }

    /// Whether it does what falls to the first controller that can: lists, deletions, sweeps, moves.
    pub fn is_on_duty(&self) -> bool {
        self.on_duty()
    }

    // ---- Ending in good order ---------------------------------------------------------------

    /// The process was asked to end: users are sent elsewhere from now on, workers are handed over
    /// as they report, and what is under way is finished.
    pub(crate) fn begin_shutdown(&mut self) {
        if self.lifecycle.shutting_down_since.is_none() {
            tracing::info!(
                workers = self.load(),
                asks = self.requests.open.len(),
                "asked to end"
            );
            self.lifecycle.shutting_down_since = Some(self.now);
            // Peers hear of it now, not with the next heartbeat.
            self.peers.send_heartbeat_now();
            self.send_heartbeat();
        }
    }

    /// Where a worker is sent by a controller that is about to end.
    pub(crate) fn shutdown_redirect(&mut self) -> Option<String> {
        self.lifecycle.shutting_down_since?;
        let turn = self.operations.next_id;
        self.operations.next_id += 1;
        self.peers.shutdown_target(self.now, turn)
    }

    /// Ends once nothing is under way and every worker has been sent to a peer, or can't be.
    pub(crate) fn exit_if_drained(&mut self) {
        let Some(since) = self.lifecycle.shutting_down_since else {
            return;
        };
        let round = self.settings.report_due_ms();
        let busy = !self.requests.open.is_empty()
            || !self.workers.held_heartbeats.is_empty()
            || self.writes.assignment_write.is_some();
        let workers = self.now < since + round && self.load() > 0;
        let alone = self.peers.shutdown_target(self.now, 0).is_none();
        if !busy && (!workers || alone) || self.now >= since + round + SHUTDOWN_MARGIN_MS {
            let (ms, workers) = (self.now - since, self.load());
            tracing::info!(ms, workers, "ends");
            self.emit(Effect::Exit);
        }
    }
}
