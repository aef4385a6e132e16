//! What a node does when a sibling is lost, comes back, or when it is itself asked to end.
//!
//! Workers turn to another node by themselves; this one expects them, and goes on with what the
//! lost one had claimed, accepted, rented or deleted. Every step rests on records, so it does no
//! harm that two do it, or that the sibling lives.

use crate::constants::*;
use crate::controller::*;
use crate::peers::tracker::{Heeded, Judged, Sign};
use crate::workers::starts::Attempt;

impl Node {
    pub(crate) fn heed(&mut self, beat: Heartbeat) {
        let images = beat.images.clone();
        let before = self.standby.sibling(&beat.node);
        // What a sibling had half a second ago, and this copy still lacks.
        let said = before.and_then(|s| s.beat.said.as_ref());
        let ahead = said.is_some_and(|s| s.revision > self.cache.epoch);
        if self.standby.heed(self.now, self.wall, beat, &self.heard) != Heeded::Taken {
            return;
        }
        self.cache.take_hints(&images);
        if ahead && self.loaded {
            // A proof of freshness tells whether the watch trails.
            self.last_beat_read = self
                .last_beat_read
                .min(self.now.saturating_sub(STATE_BEAT_MS));
        }
        self.judge_siblings();
    }

    pub(crate) fn known_term(&self) -> u64 {
        self.cache.term().unwrap_or(0)
    }

    pub(crate) fn link_ended(&mut self, node: &str) {
        self.standby.link_ended(node);
        self.judge_siblings();
    }

    /// Judges siblings anew, and takes over from those that are newly lost.
    pub(crate) fn judge_siblings(&mut self) {
        let (judged, over) = self.standby.judge(self.now);
        for j in judged {
            let (node, was, is) = (j.node.as_str(), j.was.name(), j.is.name());
            let (machines, silent_ms) = (j.machines, j.silent_ms);
            tracing::info!(node, was, is, machines, silent_ms, "sibling judged");
            if j.is.is_away() && !j.was.is_away() {
                self.take_over(&j);
            }
        }
        for t in over {
            let (node, machines, missing, ms) = (t.node, t.machines, t.missing, t.ms);
            tracing::info!(node, machines, missing, ms, "taken over");
        }
    }

    fn take_over(&mut self, lost: &Judged) {
        // What it accepted and had no time to place is looked up now, by one node after another.
        let turn = self.now + self.settings.node_index() * TAKEOVER_STAGGER_MS;
        self.lookup_at = self.lookup_at.min(turn);
        if self.settings.tuning.carry_on {
            let heard_at = self.now - lost.silent_ms;
            self.starts.sibling_lost(self.now, heard_at);
        }
    }

    /// Asks machines whether starts have arrived that a lost sibling may have claimed without
    /// sending them. One node does.
    pub(crate) fn carry_on_starts(&mut self) {
        if !self.on_duty() {
            return;
        }
        for id in self.starts.due_to_ask(self.now) {
            self.command_now(id, Vec::new());
        }
    }

    /// Own claims of which it is not known whether they were carried out, but which the copy shows by now.
    /// Nobody has sent their starts; nor may this node, since a sibling may have made the very same claim:
    /// they are barred at once, and go with the next answer to a check-in, rather than once a report has
    /// lacked them.
    pub(crate) fn bar_doubtful(&mut self) {
        if !self.starts.has_doubts() {
            return;
        }
        let cache = &self.cache;
        let token = |(task, attempt): &Attempt, machine: &str| {
            let placed = cache.booking(machine, task)?;
            let booking = Some(&placed.booking).filter(|b| b.attempt == *attempt)?;
            booking.direct.map(|(_, token)| token)
        };
        for (machine, token) in self.starts.found_booked(self.now, token) {
            tracing::info!(
                machine,
                "a claim without an answer is on record: barred, sent anew"
            );
            self.bar(&machine, token);
        }
    }

    /// What this node says to its siblings, when that is due.
    pub(crate) fn say(&mut self) {
        let Some((images, said)) = self.standby.beat_due(self.now) else {
            return;
        };
        self.plan_handover();
        let heard = self
            .heard
            .iter()
            .filter(|(_, h)| self.now - h.at < self.settings.lease_ms * 2)
            .map(|(id, h)| (id.clone(), h.session, h.tally, self.now - h.at))
            .collect();
        let said = Said {
            revision: self.cache.epoch,
            term: self.known_term(),
            under_way: self.pending.len() as u32,
            reports: self.load() as u32,
            configuration: self.settings.policy.version,
            ..said
        };
        // Versions before format 2 refuse a beat with an element more.
        let longer = self.loaded && self.cache.format() >= crate::state::formats::PIPELINES;
        self.emit(Effect::Heartbeat(Heartbeat {
            node: self.settings.node.clone(),
            at: self.wall,
            state_ok: self.state_ok(),
            workers_ok: self.workers_ok() && self.leaving.is_none(),
            heard,
            young: self.now - self.started < YOUNG_MS,
            images: match images {
                true => self.cache.image_hints(),
                false => Vec::new(),
            },
            said: longer.then_some(said),
        }));
    }

    /// What this node takes a sibling to be, if it has ever heard it.
    pub fn sign_of(&self, node: &str) -> Option<Sign> {
        Some(self.standby.sibling(node)?.sign)
    }

    /// Whether it does what falls to the first node that can: lists, deletions, sweeps, moves.
    pub fn does_duty(&self) -> bool {
        self.on_duty()
    }

    // ---- Ending in good order ---------------------------------------------------------------

    /// The process was asked to end: users are sent elsewhere from now on, workers are handed over
    /// as they report, and what is under way is finished.
    pub(crate) fn leave(&mut self) {
        if self.leaving.is_none() {
            tracing::info!(
                workers = self.load(),
                asks = self.asks.len(),
                "asked to end"
            );
            self.leaving = Some(self.now);
            // Siblings hear of it now, not with the next beat.
            self.standby.say_now();
            self.say();
        }
    }

    /// Where a worker is sent by a node that is about to end.
    pub(crate) fn sent_away(&mut self) -> Option<String> {
        self.leaving?;
        let turn = self.next_token;
        self.next_token += 1;
        self.standby.refuge(self.now, turn)
    }

    /// Ends once nothing is under way and every worker has been sent to a sibling, or can't be.
    pub(crate) fn end_if_left(&mut self) {
        let Some(since) = self.leaving else {
            return;
        };
        let round = self.settings.report_due_ms();
        let busy = !self.asks.is_empty() || !self.held.is_empty() || self.writing.is_some();
        let workers = self.now < since + round && self.load() > 0;
        let alone = self.standby.refuge(self.now, 0).is_none();
        if !busy && (!workers || alone) || self.now >= since + round + LEAVE_SPARE_MS {
            let (ms, workers) = (self.now - since, self.load());
            tracing::info!(ms, workers, "ends");
            self.emit(Effect::End);
        }
    }
}
