//! What a node follows of its siblings, so that whatever one of them did is carried on when it
//! ends, stands still or is cut off.
//!
//! There is no leader and nobody is asked to take over: every node is the standby of each of its
//! siblings. While all is well this part keeps, with every beat, which machines report to which
//! sibling, how regularly it is heard and what it says of itself. It judges by more than one sign
//! what has become of one that falls silent; the node acts on that (see `takeover`). Suspicion is a
//! guess: what rests on it may waste work, and nothing else.

use crate::constants::*;
use crate::controller::{Heard, Heartbeat, Said};
use crate::model::*;
use crate::settings::*;
use crate::tuning::Tuning;
use foldhash::{HashMap, HashMapExt};
use std::collections::{BTreeMap, BTreeSet};

/// What has most likely become of a sibling.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Sign {
    Well,
    /// Its beats come late: it has more to do than it has processor time for.
    Slow,
    /// It says that it does not reach the state service.
    NoState,
    /// It says that workers do not reach it.
    NoWorkers,
    /// This node does not hear it, but a sibling does.
    Unlinked,
    /// Silent for longer than beats vary; not known why.
    Silent,
    /// Silent, and its workers turn to other nodes: it stands still or is cut off.
    Lost,
    /// Silent, and its workers stay away as well: cut off together with them, or only its links are.
    Apart,
    /// The link to it has ended, and nobody hears it.
    Ended,
}

impl Sign {
    /// Whether it is taken to do nothing now, so that others do what it did.
    pub fn is_away(self) -> bool {
        matches!(self, Sign::Silent | Sign::Lost | Sign::Apart | Sign::Ended)
    }
    pub fn name(self) -> &'static str {
        match self {
            Sign::Well => "well",
            Sign::Slow => "slow",
            Sign::NoState => "it does not reach the state service",
            Sign::NoWorkers => "workers do not reach it",
            Sign::Unlinked => "only this node does not hear it",
            Sign::Silent => "silent",
            Sign::Lost => "silent, and its workers leave it",
            Sign::Apart => "silent, and its workers with it",
            Sign::Ended => "ended",
        }
    }
}

/// How regularly a sibling is heard, in milliseconds: means that follow the last dozen beats.
#[derive(Clone, Copy, Debug)]
struct Rhythm {
    mean: f64,
    deviation: f64,
}

impl Rhythm {
    fn new() -> Rhythm {
        Rhythm {
            mean: PEER_BEAT_MS as f64,
            deviation: PEER_BEAT_MS as f64 / 4.0,
        }
    }
    fn note(&mut self, gap: Millis) {
        // One long silence is not its rhythm.
        let gap = (gap as f64).min(PEER_FRESH_MS as f64);
        self.deviation += RHYTHM_PART * ((gap - self.mean).abs() - self.deviation);
        self.mean += RHYTHM_PART * (gap - self.mean);
    }
    /// Milliseconds of silence after which chance is no explanation.
    fn patience(&self, least: Millis) -> Millis {
        let usual = self.mean + RHYTHM_DEVIATIONS * self.deviation;
        (usual as Millis).max(least).min(PEER_FRESH_MS)
    }
    fn is_slow(&self) -> bool {
        self.mean > RHYTHM_SLOW * PEER_BEAT_MS as f64
    }
}

/// One sibling, as far as it is known here.
#[derive(Debug)]
pub(crate) struct Sibling {
    /// When its last beat was taken up.
    pub at: Millis,
    pub beat: Heartbeat,
    rhythm: Rhythm,
    /// Its link ended, and no beat has come since.
    link_ended: bool,
    /// Machines whose latest check-in, as far as is known here, it got.
    carries: BTreeSet<String>,
    /// Of these, how many have come here since its last beat.
    came: usize,
    pub sign: Sign,
}

impl Sibling {
    /// Workers that report to it.
    pub fn load(&self, recent: Millis) -> usize {
        let heard = self.beat.heard.iter();
        heard.filter(|(.., age)| *age < recent).count()
    }
}

/// What siblings said they heard of a machine.
#[derive(Debug)]
pub(crate) struct Told {
    pub at: Millis,
    pub session: u64,
    pub tally: u64,
    by: String,
}

impl Told {
    /// The sibling that got its latest check-in.
    pub fn by(&self) -> &str {
        &self.by
    }
}

impl Heard {
    /// Whether a sibling is known to have got a later check-in.
    pub fn older_than(&self, told: Option<&Told>) -> bool {
        told.is_some_and(|t| (t.session, t.tally) > (self.session, self.tally))
    }
}

/// Why a beat says nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Dropped {
    Stranger,
    Old,
    Ahead,
    Repeated,
    EarlierLife,
    TooLarge,
}

/// What a beat changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Heeded {
    Dropped(Dropped),
    Taken,
}

/// What has newly been judged of a sibling.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Judged {
    pub node: String,
    pub was: Sign,
    pub is: Sign,
    /// Machines that report to it.
    pub machines: usize,
    pub silent_ms: Millis,
}

/// How a takeover goes on: for the log, and to know when it is over.
#[derive(Debug)]
struct Takeover {
    since: Millis,
    expected: BTreeSet<String>,
    machines: usize,
}

/// A takeover that has ended.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct TakenOver {
    pub node: String,
    pub machines: usize,
    /// Of these, not heard by any node since.
    pub missing: usize,
    pub ms: Millis,
}

#[derive(Debug)]
pub(crate) struct Standby {
    me: String,
    members: Vec<String>,
    clock_off_ms: Millis,
    tuning: Tuning,
    /// A report and a move of a worker: within that all of an ended node's have turned elsewhere.
    move_ms: Millis,
    siblings: BTreeMap<String, Sibling>,
    told: HashMap<String, Told>,
    takeovers: BTreeMap<String, Takeover>,
    /// Beats that were dropped since the last log line, by reason.
    dropped: BTreeMap<Dropped, u64>,
    dropped_logged: Millis,
    // What this node says itself
    life: WallMs,
    said: u64,
    said_at: Millis,
    /// The next beat says what is remembered of images.
    share_images: bool,
    /// By how many milliseconds this node's clock ticks late, on the whole.
    late_ms: f64,
    /// Workers to be handed over until the next beat, and to whom.
    handover: Option<(String, usize)>,
    handover_probe_at: Millis,
}

impl Standby {
    pub fn new(settings: &Settings, wall: WallMs) -> Standby {
        Standby::of(
            settings.node.clone(),
            settings.nodes.clone(),
            settings.clock_off_ms,
            WORKER_MOVE_MS + settings.report_due_ms(),
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
    ) -> Standby {
        Standby {
            me,
            members,
            clock_off_ms,
            move_ms,
            tuning,
            siblings: BTreeMap::new(),
            told: HashMap::new(),
            takeovers: BTreeMap::new(),
            dropped: BTreeMap::new(),
            dropped_logged: 0,
            life: wall,
            said: 0,
            said_at: 0,
            share_images: false,
            late_ms: 0.0,
            handover: None,
            handover_probe_at: 0,
        }
    }

    // ---- Events -------------------------------------------------------------------------

    /// Takes up a beat, or says why not. `own` is what this node heard of machines itself.
    pub fn heed(
        &mut self,
        now: Millis,
        wall: WallMs,
        beat: Heartbeat,
        own: &HashMap<String, Heard>,
    ) -> Heeded {
        if let Some(why) = self.refusal(now, wall, &beat) {
            *self.dropped.entry(why).or_default() += 1;
            tracing::debug!(node = beat.node, ?why, "beat dropped");
            return Heeded::Dropped(why);
        }
        self.told_of(now, &beat, own);
        let life = |b: &Heartbeat| b.said.as_ref().map(|s| s.life);
        let known = self.siblings.get(&beat.node);
        let appeared = known.is_none_or(|s| !s.beat.young || life(&s.beat) < life(&beat));
        let appeared = appeared && beat.young;
        self.share_images |= appeared;
        let node = beat.node.clone();
        match self.siblings.get_mut(&node) {
            Some(sibling) => {
                sibling.rhythm.note(now - sibling.at);
                sibling.at = now;
                sibling.link_ended = false;
                sibling.came = 0;
                sibling.beat = beat;
            }
            None => {
                let carries = self.carried_by(&node);
                self.siblings.insert(
                    node,
                    Sibling {
                        at: now,
                        beat,
                        rhythm: Rhythm::new(),
                        link_ended: false,
                        carries,
                        came: 0,
                        sign: Sign::Well,
                    },
                );
            }
        }
        Heeded::Taken
    }

    /// The connection by which a sibling told its beats has ended, and it has no other.
    pub fn link_ended(&mut self, node: &str) {
        if let Some(sibling) = self.siblings.get_mut(node) {
            sibling.link_ended = self.tuning.link_ends;
        }
    }

    /// A machine has checked in here.
    pub fn came(&mut self, id: &str) {
        for takeover in self.takeovers.values_mut() {
            takeover.expected.remove(id);
        }
        let Some(by) = self.told.get(id).map(|t| t.by.as_str()) else {
            return;
        };
        if let Some(sibling) = self.siblings.get_mut(by) {
            sibling.came += usize::from(sibling.carries.remove(id));
        }
    }

    /// After standing still: the silence was this node's own.
    pub fn wake(&mut self, now: Millis) {
        for sibling in self.siblings.values_mut() {
            // Not known what has become of it, and no reason to take over from it.
            sibling.at = sibling.at.min(now.saturating_sub(PEER_FRESH_MS + 1));
            (sibling.sign, sibling.came) = (Sign::Silent, 0);
        }
        self.takeovers.clear();
        self.handover = None;
    }

    /// The clock ticked, so long after the last time.
    pub fn ticked(&mut self, gap: Millis) {
        let late = gap.saturating_sub(CLOCK_MS).min(GAP_MS) as f64;
        self.late_ms += RHYTHM_PART * (late - self.late_ms);
    }

    /// What this node adds to its next beat, when one is due: whether it says what it remembers of
    /// images, and what it says of itself.
    pub fn beat_due(&mut self, now: Millis) -> Option<(bool, Said)> {
        if now < self.said_at + PEER_BEAT_MS {
            return None;
        }
        self.said_at = now;
        self.said += 1;
        let heard = |s: &&Sibling| now.saturating_sub(s.at) <= BEATS_MISSED_MS && !s.link_ended;
        let hears = self.siblings.values().filter(heard);
        let said = Said {
            life: self.life,
            count: self.said,
            late_ms: self.late_ms as u32,
            hears: hears.map(|s| s.beat.node.clone()).collect(),
            ..Said::default()
        };
        Some((std::mem::take(&mut self.share_images), said))
    }

    pub fn say_now(&mut self) {
        self.said_at = 0;
    }

    // ---- Workers handed over ------------------------------------------------------------

    /// Workers that lost their node all turn to the next one, and stay there: it would run out of
    /// sockets, processor time and changes while its siblings have them to spare. Once these
    /// hear from workers again, they are handed over a few at a time. `own`: machines that report
    /// here.
    pub fn plan_handover(&mut self, now: Millis, own: usize, recent: Millis) {
        self.handover = None;
        let loads: Vec<(usize, String)> = (self.fresh(now))
            .filter(|s| s.beat.state_ok && s.beat.workers_ok && !s.beat.young)
            .filter(|s| s.sign != Sign::Slow)
            .map(|s| (s.load(recent), s.beat.node.clone()))
            .collect();
        // Were it by number alone, one that has too little processor time would keep its part.
        let own = match self.late_ms > f64::from(LATE_MS) {
            true => own + own / SLOW_PART,
            false => own,
        };
        let sum = own + loads.iter().map(|(n, _)| n).sum::<usize>();
        let mean = sum / (loads.len() + 1);
        let Some((least, node)) = loads.into_iter().min() else {
            return;
        };
        if own <= mean + LOAD_SPARE || own as f64 <= mean as f64 * LOAD_SHARE {
            return;
        }
        let count = match least {
            0 if now < self.handover_probe_at + HANDOVER_PROBE_MS => return,
            0 => {
                self.handover_probe_at = now;
                1
            }
            _ => least
                .max(2)
                .min((own - mean) / 2)
                .min(self.tuning.handover_max),
        };
        tracing::debug!(own, mean, node, count, "workers to be handed over");
        self.handover = Some((node, count));
    }

    pub fn no_handover(&mut self) {
        self.handover = None;
    }

    /// The sibling that the next worker is handed over to, if any.
    pub fn next_handover(&mut self) -> Option<String> {
        let (node, left) = self.handover.as_mut().filter(|(_, left)| *left > 0)?;
        *left -= 1;
        Some(node.clone())
    }

    /// Where workers are sent by a node that is about to end: to siblings in turn.
    pub fn refuge(&self, now: Millis, turn: u64) -> Option<String> {
        let takes = |s: &&Sibling| s.beat.state_ok && s.beat.workers_ok;
        let those: Vec<&Sibling> = self.fresh(now).filter(takes).collect();
        let turn = turn.checked_rem(those.len() as u64)?;
        Some(those[turn as usize].beat.node.clone())
    }

    /// Judges all siblings anew; says of whom it now thinks otherwise, and which takeovers are over.
    pub fn judge(&mut self, now: Millis) -> (Vec<Judged>, Vec<TakenOver>) {
        let mut changes = Vec::new();
        let nodes: Vec<String> = self.siblings.keys().cloned().collect();
        for node in nodes {
            let is = self.sign_of(now, &node);
            let Some(sibling) = self.siblings.get_mut(&node) else {
                continue;
            };
            let was = std::mem::replace(&mut sibling.sign, is);
            if was == is {
                continue;
            }
            let machines = sibling.carries.len() + sibling.came;
            if is.is_away() && !was.is_away() {
                let expected = sibling.carries.clone();
                let since = sibling.at;
                self.takeovers.insert(
                    node.clone(),
                    Takeover {
                        since,
                        expected,
                        machines,
                    },
                );
            }
            changes.push(Judged {
                silent_ms: now - sibling.at,
                node,
                was,
                is,
                machines,
            });
        }
        (changes, self.ended_takeovers(now))
    }

    fn ended_takeovers(&mut self, now: Millis) -> Vec<TakenOver> {
        let over = |t: &Takeover| {
            let rest = t.machines / TAKEN_PART;
            t.expected.len() <= rest || now > t.since + TAKEOVER_MOVES * self.move_ms
        };
        let ended: Vec<String> = (self.takeovers.iter())
            .filter(|(_, t)| over(t))
            .map(|(node, _)| node.clone())
            .collect();
        let taken = ended.into_iter().filter_map(|node| {
            let t = self.takeovers.remove(&node)?;
            Some(TakenOver {
                node,
                machines: t.machines,
                missing: t.expected.len(),
                ms: now - t.since,
            })
        });
        taken.collect()
    }

    /// Beats dropped since the last time, now and then.
    pub fn dropped(&mut self, now: Millis) -> Vec<(Dropped, u64)> {
        if self.dropped.is_empty() || now < self.dropped_logged + STATS_MS {
            return Vec::new();
        }
        self.dropped_logged = now;
        std::mem::take(&mut self.dropped).into_iter().collect()
    }

    /// Forgets machines that are gone.
    pub fn forget(&mut self, lives: impl Fn(&str) -> bool) {
        self.told.retain(|id, _| lives(id));
        for sibling in self.siblings.values_mut() {
            sibling.carries.retain(|id| lives(id));
        }
        for takeover in self.takeovers.values_mut() {
            takeover.expected.retain(|id| lives(id));
        }
    }

    // ---- What it knows ------------------------------------------------------------------

    /// Siblings that were heard lately and are not known to have ended.
    pub fn fresh(&self, now: Millis) -> impl Iterator<Item = &Sibling> {
        let fresh = move |s: &&Sibling| {
            let lost = s.link_ended || s.sign.is_away() || s.sign == Sign::Unlinked;
            now.saturating_sub(s.at) <= PEER_FRESH_MS && !lost
        };
        self.siblings.values().filter(fresh)
    }

    /// Siblings that are taken to serve, heard here or not, by name; as far as they were ever
    /// heard.
    pub fn serving(&self, now: Millis) -> usize {
        let unlinked = self.siblings.values();
        let unlinked = unlinked.filter(|s| s.sign == Sign::Unlinked).count();
        self.fresh(now).count() + unlinked
    }

    /// Whether a sibling does the duties that fall to the first node that can: it is heard to reach
    /// the state service, or was when only this node lost it.
    pub fn does_duty(&self, now: Millis, node: &str) -> bool {
        let sibling = self.siblings.get(node);
        sibling.is_some_and(|s| s.beat.state_ok) && self.serves(now, node)
    }

    /// Whether some sibling's work is being taken over.
    pub fn takes_over(&self) -> bool {
        !self.takeovers.is_empty()
    }

    /// Whether a sibling is heard, here or by another.
    pub fn serves(&self, now: Millis, node: &str) -> bool {
        let unlinked = self.siblings.get(node).map(|s| s.sign) == Some(Sign::Unlinked);
        unlinked || self.fresh(now).any(|s| s.beat.node == node)
    }

    /// Whether a sibling is heard in time and reaches state service and workers.
    pub fn is_well(&self, now: Millis, node: &str) -> bool {
        let mut fresh = self.fresh(now).filter(|s| s.beat.node == node);
        fresh.any(|s| s.sign == Sign::Well && s.beat.state_ok && s.beat.workers_ok)
    }

    pub fn sibling(&self, node: &str) -> Option<&Sibling> {
        self.siblings.get(node)
    }

    /// Whether a sibling is taken to have ended or stopped, so that its work is carried on at once.
    pub fn is_away(&self, node: &str) -> bool {
        self.siblings.get(node).is_some_and(|s| s.sign.is_away())
    }

    pub fn told(&self, id: &str) -> Option<&Told> {
        self.told.get(id)
    }

    // ---- How it judges ------------------------------------------------------------------

    fn refusal(&self, now: Millis, wall: WallMs, beat: &Heartbeat) -> Option<Dropped> {
        let off = 2 * self.clock_off_ms;
        if beat.node == self.me || !self.members.contains(&beat.node) {
            return Some(Dropped::Stranger);
        }
        let hears = beat.said.as_ref().map_or(0, |s| s.hears.len());
        if beat.heard.len() > BEAT_MACHINES || hears > self.members.len() {
            return Some(Dropped::TooLarge);
        }
        if wall > beat.at.saturating_add(BEAT_OLD_MS + off) {
            return Some(Dropped::Old);
        }
        if beat.at > wall + off + BEAT_OLD_MS {
            return Some(Dropped::Ahead);
        }
        let sibling = self.siblings.get(&beat.node)?;
        // One that ends soon after its start, and whose time of day is set back meanwhile, begins a life
        // that seems to be earlier: it counts once the other is silent, or its link has ended.
        let lives = now.saturating_sub(sibling.at) <= BEATS_MISSED_MS && !sibling.link_ended;
        let known = &sibling.beat;
        match (&known.said, &beat.said) {
            (Some(a), Some(b)) if b.life < a.life => lives.then_some(Dropped::EarlierLife),
            // Of one life the time of day may be set back by as much as it may be off.
            (Some(a), Some(b)) if b.life == a.life && b.count <= a.count => Some(Dropped::Repeated),
            (None, None) if *known == *beat => Some(Dropped::Repeated),
            _ => None,
        }
    }

    fn sign_of(&self, now: Millis, node: &str) -> Sign {
        let Some(s) = self.siblings.get(node) else {
            return Sign::Silent;
        };
        let gap = now.saturating_sub(s.at);
        let patience = s.rhythm.patience(self.tuning.beats_missed_ms);
        if s.link_ended || gap > patience {
            let heard_elsewhere = self.siblings.values().any(|o| {
                let fresh = now.saturating_sub(o.at) <= BEATS_MISSED_MS && !o.link_ended;
                let hears = |said: &Said| said.hears.iter().any(|n| n == node);
                // What it said before that silence began says nothing of it.
                let since = o.at > s.at + BEATS_MISSED_MS + WORD_SPARE_MS;
                o.beat.node != node && fresh && since && o.beat.said.as_ref().is_some_and(hears)
            });
            let left = s.came > s.carries.len() / CAME_PART;
            let stay = gap > self.move_ms && s.carries.len() >= CAME_LEAST && !left;
            return if heard_elsewhere {
                Sign::Unlinked
            } else if stay {
                Sign::Apart
            } else if s.link_ended {
                Sign::Ended
            } else if left && s.came >= CAME_LEAST {
                Sign::Lost
            } else {
                Sign::Silent
            };
        }
        if !s.beat.state_ok {
            Sign::NoState
        } else if !s.beat.workers_ok {
            Sign::NoWorkers
        } else if s.rhythm.is_slow() || s.beat.said.as_ref().is_some_and(|s| s.late_ms > LATE_MS) {
            Sign::Slow
        } else {
            Sign::Well
        }
    }

    /// Keeps what siblings say they heard. It must outlive their next beat: a node that has
    /// just restarted has heard of nothing, and machines that had reported to it would seem
    /// silent for as long as this node has not heard of them.
    fn told_of(&mut self, now: Millis, beat: &Heartbeat, own: &HashMap<String, Heard>) {
        for (id, session, tally, age) in &beat.heard {
            let at = now.saturating_sub(*age);
            let mark = (*session, *tally);
            let Some(told) = self.told.get_mut(id) else {
                let by = beat.node.clone();
                self.carry(&by, id);
                let (session, tally) = mark;
                let told = Told {
                    at,
                    session,
                    tally,
                    by,
                };
                self.told.insert(id.clone(), told);
                continue;
            };
            let newer = mark > (told.session, told.tally);
            told.at = told.at.max(at);
            if !newer {
                continue;
            }
            (told.session, told.tally) = mark;
            let came = own.get(id).is_some_and(|h| (h.session, h.tally) >= mark);
            let moved = told.by != beat.node;
            let from = moved.then(|| std::mem::replace(&mut told.by, beat.node.clone()));
            if let Some(from) = from.and_then(|from| self.siblings.get_mut(&from)) {
                from.came += usize::from(from.carries.remove(id));
            }
            if !came {
                self.carry(&beat.node, id);
            }
        }
    }

    fn carry(&mut self, node: &str, id: &str) {
        if let Some(sibling) = self.siblings.get_mut(node) {
            if !sibling.carries.contains(id) {
                sibling.carries.insert(id.to_string());
            }
        }
        for takeover in self.takeovers.values_mut() {
            takeover.expected.remove(id);
        }
    }

    fn carried_by(&self, node: &str) -> BTreeSet<String> {
        let those = self.told.iter().filter(|(_, t)| t.by == node);
        those.map(|(id, _)| id.clone()).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WALL: WallMs = 1_700_000_000_000;

    fn standby() -> Standby {
        let members = ["a", "b", "c"].map(String::from).to_vec();
        Standby::of("a".into(), members, 1_000, 11_250, Tuning::default(), WALL)
    }

    fn beat(node: &str, at: Millis, count: u64, hears: &[&str]) -> Heartbeat {
        let heard = (0..20).map(|i| (format!("{node}-{i}"), 1, 1 + at / 5_000, 100));
        Heartbeat {
            node: node.into(),
            at: WALL + at,
            state_ok: true,
            workers_ok: true,
            heard: heard.collect(),
            said: Some(Said {
                life: WALL,
                count,
                hears: hears.iter().map(|n| n.to_string()).collect(),
                ..Said::default()
            }),
            ..Heartbeat::default()
        }
    }

    /// Both siblings beat regularly for so long.
    fn followed(s: &mut Standby, until: Millis) {
        for i in 0..until / 500 {
            let at = i * 500;
            for (node, other) in [("b", "c"), ("c", "b")] {
                let heeded = s.heed(
                    at,
                    WALL + at,
                    beat(node, at, i, &[other, "a"]),
                    &HashMap::new(),
                );
                assert!(heeded == Heeded::Taken, "{heeded:?}");
            }
            s.judge(at);
        }
    }

    fn sign(s: &mut Standby, now: Millis, node: &str) -> Sign {
        s.judge(now);
        s.sibling(node).unwrap().sign
    }

    #[test]
    fn an_end_shows_at_once_and_silence_only_when_beats_are_missed() {
        let mut s = standby();
        followed(&mut s, 10_000);
        assert_eq!(sign(&mut s, 10_300, "b"), Sign::Well);
        s.link_ended("b");
        assert_eq!(sign(&mut s, 10_301, "b"), Sign::Ended);
        assert!(!s.fresh(10_301).any(|x| x.beat.node == "b"));
        // Its next life is heard: all is forgiven.
        let mut again = beat("b", 10_400, 0, &[]);
        again.said.as_mut().unwrap().life += 10_400;
        s.heed(10_400, WALL + 10_400, again, &HashMap::new());
        assert_eq!(sign(&mut s, 10_400, "b"), Sign::Well);
        // c has been silent since 9,500.
        assert_eq!(sign(&mut s, 10_500, "c"), Sign::Well);
        assert_eq!(sign(&mut s, 10_900, "c"), Sign::Silent);
    }

    #[test]
    fn what_its_workers_do_tells_a_frozen_node_from_a_broken_link() {
        let mut s = standby();
        followed(&mut s, 10_000);
        let go_on = |s: &mut Standby, at, hears: &[&str]| {
            s.heed(
                at,
                WALL + at,
                beat("c", at, at / 500, hears),
                &HashMap::new(),
            );
        };
        go_on(&mut s, 11_500, &["a"]);
        assert_eq!(sign(&mut s, 11_500, "b"), Sign::Silent);
        // Its workers turn up here.
        for i in 0..6 {
            s.came(&format!("b-{i}"));
        }
        assert_eq!(sign(&mut s, 11_600, "b"), Sign::Lost);
        // The other way round: they stay away for longer than they would need.
        let mut s = standby();
        followed(&mut s, 10_000);
        go_on(&mut s, 21_000, &["a"]);
        assert_eq!(sign(&mut s, 21_000, "b"), Sign::Apart);
        // Or a sibling says that it hears it.
        let mut s = standby();
        followed(&mut s, 10_000);
        go_on(&mut s, 12_000, &["a", "b"]);
        assert_eq!(sign(&mut s, 12_000, "b"), Sign::Unlinked);
        assert_eq!(s.serving(12_000), 2);
    }

    #[test]
    fn a_takeover_is_over_when_its_machines_are_heard() {
        let mut s = standby();
        followed(&mut s, 10_000);
        s.link_ended("b");
        let (judged, over) = s.judge(10_100);
        assert_eq!((judged.len(), judged[0].machines, over.len()), (1, 20, 0));
        for i in 0..12 {
            s.came(&format!("b-{i}"));
        }
        // The others have turned to c.
        let mut both = beat("c", 13_000, 30, &["a"]);
        both.heard
            .extend((12..20).map(|i| (format!("b-{i}"), 1, 9, 50)));
        s.heed(13_000, WALL + 13_000, both, &HashMap::new());
        let (_, over) = s.judge(13_000);
        let over = &over[0];
        assert_eq!((over.machines, over.missing, over.ms), (20, 0, 3_500));
        assert_eq!(s.sibling("c").unwrap().carries.len(), 28);
    }

    #[test]
    fn bad_beats_teach_nothing() {
        let mut s = standby();
        followed(&mut s, 10_000);
        let now = 10_100;
        let mut cases = vec![
            (beat("x", now, 99, &[]), Dropped::Stranger),
            (beat("a", now, 99, &[]), Dropped::Stranger),
            (beat("b", now, 19, &[]), Dropped::Repeated),
            (beat("b", now, 3, &[]), Dropped::Repeated),
            (beat("b", now + 60_000, 99, &[]), Dropped::Ahead),
            (beat("b", 0, 99, &[]), Dropped::Old),
            (beat("b", now, 99, &[]), Dropped::EarlierLife),
            (beat("b", now, 99, &[]), Dropped::TooLarge),
        ];
        cases[6].0.said.as_mut().unwrap().life -= 1;
        cases[7].0.heard = (0..=BEAT_MACHINES)
            .map(|i| (format!("z-{i}"), 1, 1, 1))
            .collect();
        for (mut bad, why) in cases {
            bad.heard.push(("forged".into(), 9, 9, 0));
            let heeded = s.heed(now, WALL + now, bad, &HashMap::new());
            assert_eq!(heeded, Heeded::Dropped(why));
            assert!(s.told("forged").is_none());
        }
        assert_eq!(s.dropped(STATS_MS).iter().map(|(_, n)| n).sum::<u64>(), 8);
        assert!(s.dropped(STATS_MS).is_empty());
    }

    /// It would never have been heard again.
    #[test]
    fn a_life_that_seems_earlier_counts_once_the_other_has_ended() {
        let mut s = standby();
        followed(&mut s, 10_000);
        let mut next = beat("b", 10_200, 0, &[]);
        next.said.as_mut().unwrap().life -= 300;
        let heed = |s: &mut Standby, at, beat: &Heartbeat| {
            s.heed(at, WALL + at, beat.clone(), &HashMap::new())
        };
        let dropped = Heeded::Dropped(Dropped::EarlierLife);
        assert_eq!(heed(&mut s, 10_200, &next), dropped);
        s.link_ended("b");
        assert_eq!(heed(&mut s, 10_300, &next), Heeded::Taken);
        assert_eq!(sign(&mut s, 10_300, "b"), Sign::Well);
        let late = beat("b", 10_400, 90, &[]);
        assert_eq!(
            heed(&mut s, 10_400, &late),
            Heeded::Taken,
            "a later one is its next"
        );
    }

    #[test]
    fn irregular_beats_are_given_more_time() {
        let mut regular = Rhythm::new();
        let mut wild = Rhythm::new();
        for i in 0..40 {
            regular.note(500 + i % 3 * 20);
            wild.note([300, 1_100][i as usize % 2]);
        }
        assert_eq!(regular.patience(BEATS_MISSED_MS), BEATS_MISSED_MS);
        let patience = wild.patience(BEATS_MISSED_MS);
        assert!(patience > 2_000 && patience <= PEER_FRESH_MS);
        assert!(!regular.is_slow());
        for _ in 0..40 {
            wild.note(1_400);
        }
        assert!(wild.is_slow());
    }
}
