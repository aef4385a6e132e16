//! What a controller follows of its peers, so that whatever one of them did is carried on when it
//! ends, is paused or is cut off.
//!
//! There is no leader and nobody is asked to take over: every controller is the standby of each of its
//! peers. While all is well this part keeps, with every heartbeat, which machines report to which
//! peer, how regularly it is heard and what it says of itself. It judges by more than one sign
//! what has become of one that falls silent; the controller acts on that (see `takeover`). Suspicion is a
//! guess: what rests on it may waste work, and nothing else.

use crate::constants::{
    CLOCK_MS, FAILOVER_MISSING_PART, FAILOVER_MOVES_MAX, FAILOVER_WORKERS_MIN,
    FAILOVER_WORKERS_PART, HANDOFF_PROBE_MS, HEARTBEATS_MISSED_MS, HEARTBEAT_INTERVAL_DEVIATIONS,
    HEARTBEAT_INTERVAL_WEIGHT, HEARTBEAT_MAX_AGE_MS, HEARTBEAT_MAX_MACHINES, HEARTBEAT_SLOW_FACTOR,
    LOAD_SHARE, LOAD_SPARE, PAUSE_MS, PEER_HEARTBEAT_MS, PEER_LOST_MS, PEER_OPINION_MARGIN_MS,
    SLOW_PART, STATS_MS, TICK_DELAY_SLOW_MS, WORKER_FAILOVER_MS,
};
use crate::controller::{ControllerStatus, PeerHeartbeat};
use crate::model::{HeartbeatPosition, Millis, WallMs};
use crate::settings::Settings;
use crate::tuning::Tuning;
use crate::workers::registry::ReceivedHeartbeat;
use foldhash::{HashMap, HashMapExt};
use std::collections::{BTreeMap, BTreeSet};

/// What has most likely become of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerStatus {
    Well,
    /// Its heartbeats come late: it has more to do than it has processor time for.
    Slow,
    /// It says that it does not reach the state service.
    NoState,
    /// It says that workers do not reach it.
    NoWorkers,
    /// This controller does not hear it, but a peer does.
    Unlinked,
    /// Silent for longer than heartbeats vary; not known why.
    Silent,
    /// Silent, and its workers turn to other controllers: it is paused or is cut off.
    Lost,
    /// Silent, and its workers stay away as well: cut off together with them, or only its links are.
    Apart,
    /// The link to it has ended, and nobody hears it.
    Exited,
}

impl PeerStatus {
    /// Whether it is taken to do nothing now, so that others do what it did.
    pub fn is_away(self) -> bool {
        matches!(
            self,
            PeerStatus::Silent | PeerStatus::Lost | PeerStatus::Apart | PeerStatus::Exited
        )
    }
    pub fn name(self) -> &'static str {
        match self {
            PeerStatus::Well => "well",
            PeerStatus::Slow => "slow",
            PeerStatus::NoState => "it does not reach the state service",
            PeerStatus::NoWorkers => "workers do not reach it",
            PeerStatus::Unlinked => "only this node does not hear it",
            PeerStatus::Silent => "silent",
            PeerStatus::Lost => "silent, and its workers leave it",
            PeerStatus::Apart => "silent, and its workers with it",
            PeerStatus::Exited => "ended",
        }
    }
}

/// How regularly a peer is heard, in milliseconds: means that follow the last dozen heartbeats.
#[derive(Clone, Copy, Debug)]
struct HeartbeatIntervals {
    mean: f64,
    deviation: f64,
}

impl HeartbeatIntervals {
    fn new() -> HeartbeatIntervals {
        HeartbeatIntervals {
            mean: PEER_HEARTBEAT_MS as f64,
            deviation: PEER_HEARTBEAT_MS as f64 / 4.0,
        }
    }
    fn note(&mut self, gap: Millis) {
        // One long silence is not its rhythm.
        let gap = (gap as f64).min(PEER_LOST_MS as f64);
        self.deviation += HEARTBEAT_INTERVAL_WEIGHT * ((gap - self.mean).abs() - self.deviation);
        self.mean += HEARTBEAT_INTERVAL_WEIGHT * (gap - self.mean);
    }
    /// Milliseconds of silence after which chance is no explanation.
    fn patience(&self, least: Millis) -> Millis {
        let usual = self.mean + HEARTBEAT_INTERVAL_DEVIATIONS * self.deviation;
        (usual as Millis).max(least).min(PEER_LOST_MS)
    }
    fn is_slow(&self) -> bool {
        self.mean > HEARTBEAT_SLOW_FACTOR * PEER_HEARTBEAT_MS as f64
    }
}

/// One peer, as far as it is known here.
#[derive(Debug)]
pub(crate) struct Peer {
    /// When its last heartbeat was taken up.
    pub at: Millis,
    pub heartbeat: PeerHeartbeat,
    rhythm: HeartbeatIntervals,
    /// Its link ended, and no heartbeat has come since.
    link_ended: bool,
    /// Machines whose latest heartbeat, as far as is known here, it got.
    carries: BTreeSet<String>,
    /// Of these, how many have come here since its last heartbeat.
    came: usize,
    pub sign: PeerStatus,
}

impl Peer {
    /// Workers that report to it.
    pub fn load(&self, recent: Millis) -> usize {
        let heard = self.heartbeat.workers.iter();
        heard.filter(|worker| worker.age_ms < recent).count()
    }
}

/// What peers said they heard of a machine.
#[derive(Debug)]
pub(crate) struct PeerObservation {
    pub at: Millis,
    pub position: HeartbeatPosition,
    by: String,
}

impl PeerObservation {
    /// The peer that got its latest heartbeat.
    pub fn by(&self) -> &str {
        &self.by
    }
}

impl ReceivedHeartbeat {
    /// Whether a peer is known to have got a later heartbeat.
    pub fn older_than(&self, told: Option<&PeerObservation>) -> bool {
        told.is_some_and(|t| t.position > self.position)
    }
}

/// Why a heartbeat says nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectedHeartbeat {
    Stranger,
    Old,
    Ahead,
    Repeated,
    EarlierLife,
    TooLarge,
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatOutcome {
    Rejected(RejectedHeartbeat),
    Accepted,
}

/// What has newly been judged of a peer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct PeerStatusChange {
    pub controller: String,
    pub was: PeerStatus,
    pub is: PeerStatus,
    /// Machines that report to it.
    pub machines: usize,
    pub silent_ms: Millis,
}

/// How a failover goes on: for the log, and to know when it is over.
#[derive(Debug)]
struct Failover {
    since: Millis,
    expected: BTreeSet<String>,
    machines: usize,
}

/// A failover that has ended.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct CompletedFailover {
    pub controller: String,
    pub machines: usize,
    /// Of these, not heard by any controller since.
    pub missing: usize,
    pub ms: Millis,
}

#[derive(Debug)]
pub(crate) struct PeerTracker {
    me: String,
    members: Vec<String>,
    clock_off_ms: Millis,
    tuning: Tuning,
    /// A report and a move of a worker: within that all of an ended controller's have turned elsewhere.
    move_ms: Millis,
    peers: BTreeMap<String, Peer>,
    told: HashMap<String, PeerObservation>,
    takeovers: BTreeMap<String, Failover>,
    /// Heartbeats that were dropped since the last log line, by reason.
    dropped: BTreeMap<RejectedHeartbeat, u64>,
    dropped_logged: Millis,
    // What this controller says itself
    life: WallMs,
    sent: u64,
    sent_at: Millis,
    /// The next heartbeat says what is remembered of images.
    share_images: bool,
    /// By how many milliseconds this controller's clock ticks late, on the whole.
    tick_delay_ms: f64,
    /// Workers to be handed over until the next heartbeat, and to whom.
    handover: Option<(String, usize)>,
    handover_probe_at: Millis,
}

impl PeerTracker {
    pub fn new(settings: &Settings, wall: WallMs) -> PeerTracker {
        PeerTracker::of(
            settings.controller.clone(),
            settings.controllers.clone(),
            settings.clock_off_ms,
            WORKER_FAILOVER_MS + settings.report_due_ms(),
            settings.tuning,
            wall,
        )
    }

    fn of(
        me: String,
        members: Vec<String>,
        clock_off_ms: Millis,
        move_ms: Millis,
        tuning: Tuning,
        wall: WallMs,
    ) -> PeerTracker {
        PeerTracker {
            me,
            members,
            clock_off_ms,
            move_ms,
            tuning,
            peers: BTreeMap::new(),
            told: HashMap::new(),
            takeovers: BTreeMap::new(),
            dropped: BTreeMap::new(),
            dropped_logged: 0,
            life: wall,
            sent: 0,
            sent_at: 0,
            share_images: false,
            tick_delay_ms: 0.0,
            handover: None,
            handover_probe_at: 0,
        }
    }

    // ---- Events -------------------------------------------------------------------------

    /// Takes up a heartbeat, or says why not. `own` is what this controller heard of machines itself.
    pub fn receive_heartbeat(
        &mut self,
        now: Millis,
        wall: WallMs,
        heartbeat: PeerHeartbeat,
        own: &HashMap<String, ReceivedHeartbeat>,
    ) -> HeartbeatOutcome {
        if let Some(why) = self.refusal(now, wall, &heartbeat) {
            *self.dropped.entry(why).or_default() += 1;
            tracing::debug!(controller = heartbeat.controller, ?why, "beat dropped");
            return HeartbeatOutcome::Rejected(why);
        }
        self.told_of(now, &heartbeat, own);
        let life = |b: &PeerHeartbeat| b.status.as_ref().map(|s| s.life);
        let known = self.peers.get(&heartbeat.controller);
        let appeared = known
            .is_none_or(|s| !s.heartbeat.just_started || life(&s.heartbeat) < life(&heartbeat));
        let appeared = appeared && heartbeat.just_started;
        self.share_images |= appeared;
        let controller = heartbeat.controller.clone();
        match self.peers.get_mut(&controller) {
            Some(peer) => {
                peer.rhythm.note(now - peer.at);
                peer.at = now;
                peer.link_ended = false;
                peer.came = 0;
                peer.heartbeat = heartbeat;
            }
            None => {
                let carries = self.carried_by(&controller);
                self.peers.insert(
                    controller,
                    Peer {
                        at: now,
                        heartbeat,
                        rhythm: HeartbeatIntervals::new(),
                        link_ended: false,
                        carries,
                        came: 0,
                        sign: PeerStatus::Well,
                    },
                );
            }
        }
        HeartbeatOutcome::Accepted
    }

    /// The connection by which a peer told its heartbeats has ended, and it has no other.
    pub fn link_ended(&mut self, controller: &str) {
        if let Some(peer) = self.peers.get_mut(controller) {
            peer.link_ended = self.tuning.link_ends;
        }
    }

    /// A machine has checked in here.
    pub fn note_failover_of(&mut self, id: &str) {
        for takeover in self.takeovers.values_mut() {
            takeover.expected.remove(id);
        }
        let Some(by) = self.told.get(id).map(|t| t.by.as_str()) else {
            return;
        };
        if let Some(peer) = self.peers.get_mut(by) {
            peer.came += usize::from(peer.carries.remove(id));
        }
    }

    /// After a pause: the silence was this controller's own.
    pub fn reset_after_pause(&mut self, now: Millis) {
        for peer in self.peers.values_mut() {
            // Not known what has become of it, and no reason to take over from it.
            peer.at = peer.at.min(now.saturating_sub(PEER_LOST_MS + 1));
            (peer.sign, peer.came) = (PeerStatus::Silent, 0);
        }
        self.takeovers.clear();
        self.handover = None;
    }

    /// The clock ticked, so long after the last time.
    pub fn ticked(&mut self, gap: Millis) {
        let late = gap.saturating_sub(CLOCK_MS).min(PAUSE_MS) as f64;
        self.tick_delay_ms += HEARTBEAT_INTERVAL_WEIGHT * (late - self.tick_delay_ms);
    }

    /// What this controller adds to its next heartbeat, when one is due: whether it says what it remembers of
    /// images, and what it says of itself.
    pub fn beat_due(&mut self, now: Millis) -> Option<(bool, ControllerStatus)> {
        if now < self.sent_at + PEER_HEARTBEAT_MS {
            return None;
        }
        self.sent_at = now;
        self.sent += 1;
        let heard = |s: &&Peer| now.saturating_sub(s.at) <= HEARTBEATS_MISSED_MS && !s.link_ended;
        let heard_peers = self.peers.values().filter(heard);
        let status = ControllerStatus {
            life: self.life,
            count: self.sent,
            tick_delay_ms: self.tick_delay_ms as u32,
            heard_peers: heard_peers
                .map(|s| s.heartbeat.controller.clone())
                .collect(),
            ..ControllerStatus::default()
        };
        Some((std::mem::take(&mut self.share_images), status))
    }

    pub fn send_heartbeat_now(&mut self) {
        self.sent_at = 0;
    }

    // ---- Workers handed over ------------------------------------------------------------

    /// Workers that lost their controller all turn to the next one, and stay there: it would run out of
    /// sockets, processor time and changes while its peers have them to spare. Once these
    /// hear from workers again, they are handed over a few at a time. `own`: machines that report
    /// here.
    pub fn plan_handoff(&mut self, now: Millis, own: usize, recent: Millis) {
        self.handover = None;
        let loads: Vec<(usize, String)> = (self.fresh(now))
            .filter(|s| {
                s.heartbeat.has_current_state
                    && s.heartbeat.workers_reachable
                    && !s.heartbeat.just_started
            })
            .filter(|s| s.sign != PeerStatus::Slow)
            .map(|s| (s.load(recent), s.heartbeat.controller.clone()))
            .collect();
        // Were it by number alone, one that has too little processor time would keep its part.
        let own = match self.tick_delay_ms > f64::from(TICK_DELAY_SLOW_MS) {
            true => own + own / SLOW_PART,
            false => own,
        };
        let sum = own + loads.iter().map(|(n, _)| n).sum::<usize>();
        let mean = sum / (loads.len() + 1);
        let Some((least, controller)) = loads.into_iter().min() else {
            return;
        };
        if own <= mean + LOAD_SPARE || own as f64 <= mean as f64 * LOAD_SHARE {
            return;
        }
        let count = match least {
            0 if now < self.handover_probe_at + HANDOFF_PROBE_MS => return,
            0 => {
                self.handover_probe_at = now;
                1
            }
            _ => least
                .max(2)
                .min((own - mean) / 2)
                .min(self.tuning.handoff_max),
        };
        tracing::debug!(own, mean, controller, count, "workers to be handed over");
        self.handover = Some((controller, count));
    }

    pub fn cancel_handoff(&mut self) {
        self.handover = None;
    }

    /// The peer that the next worker is handed over to, if any.
    pub fn next_handoff(&mut self) -> Option<String> {
        let (controller, left) = self.handover.as_mut().filter(|(_, left)| *left > 0)?;
        *left -= 1;
        Some(controller.clone())
    }

    /// Where workers are sent by a controller that is about to end: to peers in turn.
    pub fn shutdown_target(&self, now: Millis, turn: u64) -> Option<String> {
        let takes = |s: &&Peer| s.heartbeat.has_current_state && s.heartbeat.workers_reachable;
        let those: Vec<&Peer> = self.fresh(now).filter(takes).collect();
        let turn = turn.checked_rem(those.len() as u64)?;
        Some(those[turn as usize].heartbeat.controller.clone())
    }

    /// Judges all peers anew; says of whom it now thinks otherwise, and which failovers are over.
    pub fn judge(&mut self, now: Millis) -> (Vec<PeerStatusChange>, Vec<CompletedFailover>) {
        let mut changes = Vec::new();
        let controllers: Vec<String> = self.peers.keys().cloned().collect();
        for controller in controllers {
            let is = self.status_of(now, &controller);
            let Some(peer) = self.peers.get_mut(&controller) else {
                continue;
            };
            let was = std::mem::replace(&mut peer.sign, is);
            if was == is {
                continue;
            }
            let machines = peer.carries.len() + peer.came;
            if is.is_away() && !was.is_away() {
                let expected = peer.carries.clone();
                let since = peer.at;
                self.takeovers.insert(
                    controller.clone(),
                    Failover {
                        since,
                        expected,
                        machines,
                    },
                );
            }
            changes.push(PeerStatusChange {
                silent_ms: now - peer.at,
                controller,
                was,
                is,
                machines,
            });
        }
        (changes, self.ended_takeovers(now))
    }

    fn ended_takeovers(&mut self, now: Millis) -> Vec<CompletedFailover> {
        let over = |t: &Failover| {
            let rest = t.machines / FAILOVER_MISSING_PART;
            t.expected.len() <= rest || now > t.since + FAILOVER_MOVES_MAX * self.move_ms
        };
        let ended: Vec<String> = (self.takeovers.iter())
            .filter(|(_, t)| over(t))
            .map(|(controller, _)| controller.clone())
            .collect();
        let taken = ended.into_iter().filter_map(|controller| {
            let t = self.takeovers.remove(&controller)?;
            Some(CompletedFailover {
                controller,
                machines: t.machines,
                missing: t.expected.len(),
                ms: now - t.since,
            })
        });
        taken.collect()
    }

    /// Heartbeats dropped since the last time, now and then.
    pub fn dropped(&mut self, now: Millis) -> Vec<(RejectedHeartbeat, u64)> {
        if self.dropped.is_empty() || now < self.dropped_logged + STATS_MS {
            return Vec::new();
        }
        self.dropped_logged = now;
        std::mem::take(&mut self.dropped).into_iter().collect()
    }

    /// Forgets machines that are gone.
    pub fn forget(&mut self, lives: impl Fn(&str) -> bool) {
        self.told.retain(|id, _| lives(id));
        for peer in self.peers.values_mut() {
            peer.carries.retain(|id| lives(id));
        }
        for takeover in self.takeovers.values_mut() {
            takeover.expected.retain(|id| lives(id));
        }
    }

    // ---- What it knows ------------------------------------------------------------------

    /// Peers that were heard lately and are not known to have ended.
    pub fn fresh(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        let fresh = move |s: &&Peer| {
            let lost = s.link_ended || s.sign.is_away() || s.sign == PeerStatus::Unlinked;
            now.saturating_sub(s.at) <= PEER_LOST_MS && !lost
        };
        self.peers.values().filter(fresh)
    }

    /// Peers that are taken to serve, heard here or not, by name; as far as they were ever
    /// heard.
    pub fn serving(&self, now: Millis) -> usize {
        let unlinked = self.peers.values();
        let unlinked = unlinked.filter(|s| s.sign == PeerStatus::Unlinked).count();
        self.fresh(now).count() + unlinked
    }

    /// Whether a peer does the duties that fall to the first controller that can: it is heard to reach
    /// the state service, or was when only this controller lost it.
    pub fn is_on_duty(&self, now: Millis, controller: &str) -> bool {
        let peer = self.peers.get(controller);
        peer.is_some_and(|s| s.heartbeat.has_current_state) && self.serves(now, controller)
    }

    /// Whether some peer's work is being taken over.
    pub fn has_failover_in_progress(&self) -> bool {
        !self.takeovers.is_empty()
    }

    /// Whether a peer is heard, here or by another.
    pub fn serves(&self, now: Millis, controller: &str) -> bool {
        let unlinked = self.peers.get(controller).map(|s| s.sign) == Some(PeerStatus::Unlinked);
        unlinked
            || self
                .fresh(now)
                .any(|s| s.heartbeat.controller == controller)
    }

    /// Whether a peer is heard in time and reaches state service and workers.
    pub fn is_well(&self, now: Millis, controller: &str) -> bool {
        let mut fresh = self
            .fresh(now)
            .filter(|s| s.heartbeat.controller == controller);
        fresh.any(|s| {
            s.sign == PeerStatus::Well
                && s.heartbeat.has_current_state
                && s.heartbeat.workers_reachable
        })
    }

    pub fn peer(&self, controller: &str) -> Option<&Peer> {
        self.peers.get(controller)
    }

    /// Whether a peer is taken to have ended or stopped, so that its work is carried on at once.
    pub fn is_away(&self, controller: &str) -> bool {
        self.peers.get(controller).is_some_and(|s| s.sign.is_away())
    }

    pub fn told(&self, id: &str) -> Option<&PeerObservation> {
        self.told.get(id)
    }

    // ---- How it judges ------------------------------------------------------------------

    fn refusal(
        &self,
        now: Millis,
        wall: WallMs,
        heartbeat: &PeerHeartbeat,
    ) -> Option<RejectedHeartbeat> {
        let off = 2 * self.clock_off_ms;
        if heartbeat.controller == self.me || !self.members.contains(&heartbeat.controller) {
            return Some(RejectedHeartbeat::Stranger);
        }
        let heard_peers = heartbeat.status.as_ref().map_or(0, |s| s.heard_peers.len());
        if heartbeat.workers.len() > HEARTBEAT_MAX_MACHINES || heard_peers > self.members.len() {
            return Some(RejectedHeartbeat::TooLarge);
        }
        if wall > heartbeat.at.saturating_add(HEARTBEAT_MAX_AGE_MS + off) {
            return Some(RejectedHeartbeat::Old);
        }
        if heartbeat.at > wall + off + HEARTBEAT_MAX_AGE_MS {
            return Some(RejectedHeartbeat::Ahead);
        }
        let peer = self.peers.get(&heartbeat.controller)?;
        // One that ends soon after its start, and whose time of day is set back meanwhile, begins a life
        // that seems to be earlier: it counts once the other is silent, or its link has ended.
        let lives = now.saturating_sub(peer.at) <= HEARTBEATS_MISSED_MS && !peer.link_ended;
        let known = &peer.heartbeat;
        match (&known.status, &heartbeat.status) {
            (Some(a), Some(b)) if b.life < a.life => {
                lives.then_some(RejectedHeartbeat::EarlierLife)
            }
            // Of one life the time of day may be set back by as much as it may be off.
            (Some(a), Some(b)) if b.life == a.life && b.count <= a.count => {
                Some(RejectedHeartbeat::Repeated)
            }
            (None, None) if *known == *heartbeat => Some(RejectedHeartbeat::Repeated),
            _ => None,
        }
    }

    fn status_of(&self, now: Millis, controller: &str) -> PeerStatus {
        let Some(s) = self.peers.get(controller) else {
            return PeerStatus::Silent;
        };
        let gap = now.saturating_sub(s.at);
        let patience = s.rhythm.patience(self.tuning.heartbeats_missed_ms);
        if s.link_ended || gap > patience {
            let heard_elsewhere = self.peers.values().any(|o| {
                let fresh = now.saturating_sub(o.at) <= HEARTBEATS_MISSED_MS && !o.link_ended;
                let heard_peers =
                    |said: &ControllerStatus| said.heard_peers.iter().any(|n| n == controller);
                // What it said before that silence began says nothing of it.
                let since = o.at > s.at + HEARTBEATS_MISSED_MS + PEER_OPINION_MARGIN_MS;
                o.heartbeat.controller != controller
                    && fresh
                    && since
                    && o.heartbeat.status.as_ref().is_some_and(heard_peers)
            });
            let left = s.came > s.carries.len() / FAILOVER_WORKERS_PART;
            let stay = gap > self.move_ms && s.carries.len() >= FAILOVER_WORKERS_MIN && !left;
            return if heard_elsewhere {
                PeerStatus::Unlinked
            } else if stay {
                PeerStatus::Apart
            } else if s.link_ended {
                PeerStatus::Exited
            } else if left && s.came >= FAILOVER_WORKERS_MIN {
                PeerStatus::Lost
            } else {
                PeerStatus::Silent
            };
        }
        if !s.heartbeat.has_current_state {
            PeerStatus::NoState
        } else if !s.heartbeat.workers_reachable {
            PeerStatus::NoWorkers
        } else if s.rhythm.is_slow()
            || s.heartbeat
                .status
                .as_ref()
                .is_some_and(|s| s.tick_delay_ms > TICK_DELAY_SLOW_MS)
        {
            PeerStatus::Slow
        } else {
            PeerStatus::Well
        }
    }

    /// Keeps what peers say they heard. It must outlive their next heartbeat: a controller that has
    /// just restarted has heard of nothing, and machines that had reported to it would seem
    /// silent for as long as this controller has not heard of them.
    fn told_of(
        &mut self,
        now: Millis,
        heartbeat: &PeerHeartbeat,
        own: &HashMap<String, ReceivedHeartbeat>,
    ) {
        for worker in &heartbeat.workers {
            let id = &worker.machine;
            let at = now.saturating_sub(worker.age_ms);
            let position = worker.position();
            let Some(told) = self.told.get_mut(id) else {
                let by = heartbeat.controller.clone();
                self.carry(&by, id);
                let told = PeerObservation { at, position, by };
                self.told.insert(id.clone(), told);
                continue;
            };
            let newer = position > told.position;
            told.at = told.at.max(at);
            if !newer {
                continue;
            }
            told.position = position;
            let came = own.get(id).is_some_and(|h| h.position >= position);
            let moved = told.by != heartbeat.controller;
            let from = moved.then(|| std::mem::replace(&mut told.by, heartbeat.controller.clone()));
            if let Some(from) = from.and_then(|from| self.peers.get_mut(&from)) {
                from.came += usize::from(from.carries.remove(id));
            }
            if !came {
                self.carry(&heartbeat.controller, id);
            }
        }
    }

    fn carry(&mut self, controller: &str, id: &str) {
        if let Some(peer) = self.peers.get_mut(controller) {
            if !peer.carries.contains(id) {
                peer.carries.insert(id.to_string());
            }
        }
        for takeover in self.takeovers.values_mut() {
            takeover.expected.remove(id);
        }
    }

    fn carried_by(&self, controller: &str) -> BTreeSet<String> {
        let those = self.told.iter().filter(|(_, t)| t.by == controller);
        those.map(|(id, _)| id.clone()).collect()
    }
}

#[cfg(test)]
mod tests;
