//! Zones that are lost, and what becomes of what they hold.
//!
//! A zone that falls silent as a whole (see `silence`) is cut off, or dead. For each of its machines
//! the choice is to leave it, and have back what runs on it when the zone is heard again, or to end
//! it: the cloud's answer to its deletion is the proof that lets its work be placed elsewhere. It is
//! decided by what the machine holds, by how long the loss has lasted and may last, and by what room
//! there is elsewhere. A wrong guess costs work, never a rule: nothing is placed before the proof.

use crate::constants::{
    START_TAKES_MS, ZONE_CONFIRM_MS, ZONE_DEAD_MS, ZONE_EVACUATION_MAX_WAIT_MS, ZONE_GIVE_UP_MS,
    ZONE_LEASE_MARGIN_MS, ZONE_RECOVERY_MARGIN_MS,
};
use crate::model::{JobPriority, Millis, WallMs};
use crate::tuning::Tuning;
use crate::zones::detector::ZoneObservation;
use std::collections::BTreeMap;

/// What a silent zone most likely is, as far as its controllers tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A controller of it is lost as well: it may renew the leases of what runs inside.
    Inside,
    /// No controller is in it: what runs there ends with its leases.
    Alone,
    /// All its controllers are heard, but none of its machines: these are what is gone.
    Dead,
}

/// A zone that is silent as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lost {
    pub kind: Kind,
    /// Milliseconds since it was last heard.
    pub ms: Millis,
}

/// What a machine of a lost zone holds: one task, or several alike.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    pub priority: JobPriority,
    pub service: bool,
    /// Its start was on its way when the zone was lost: most likely nobody runs it.
    pub unseen: bool,
    /// Its job allows another zone, and there is room, or soon will be.
    pub elsewhere: bool,
    /// Times of day by which its job is to be done.
    pub goals: Vec<WallMs>,
    pub run_ms: Millis,
}

/// Why a machine is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Why {
    Unseen,
    Dead,
    Due,
    Late,
    Given,
}

impl Why {
    pub fn name(self) -> &'static str {
        match self {
            Why::Unseen => "its zone is lost, and its starts most likely never arrived",
            Why::Dead => "its zone is lost, and what ran there has ended",
            Why::Due => "its zone is lost, and what it holds can be in time elsewhere only",
            Why::Given => "its zone has been lost for minutes",
            Why::Late => "its zone is lost, and what it holds has waited long enough",
        }
    }
}

/// Whether a machine of a lost zone is to be ended, and why.
pub fn evacuation_reason(
    lost: &Lost,
    holds: &[Holding],
    lease_ms: Millis,
    tuning: &Tuning,
    wall: WallMs,
) -> Option<Why> {
    let movable = |h: &Holding| h.elsewhere;
    if !holds.iter().any(movable) {
        let gone = holds.is_empty() || lost.kind == Kind::Dead;
        return (gone && lost.ms > ZONE_EVACUATION_MAX_WAIT_MS).then_some(Why::Given);
    }
    if holds.iter().all(|h| h.unseen) && lost.ms >= tuning.zone_unseen_ms {
        return Some(Why::Unseen);
    }
    let dead = match lost.kind {
        Kind::Alone => lost.ms > lease_ms + ZONE_LEASE_MARGIN_MS,
        Kind::Dead => lost.ms > ZONE_DEAD_MS,
        Kind::Inside => lost.ms > ZONE_GIVE_UP_MS,
    };
    if dead {
        return Some(Why::Dead);
    }
    // What serves inside goes on serving: to end it would be the loss that the cut is not.
    if holds.iter().any(|h| h.service && !h.unseen) {
        return None;
    }
    // A loss that has lasted so long lasts as long again, more likely than not: that holds of times
    // without a scale of their own, and nothing is known of this one's.
    let back = wall + lost.ms;
    let mut why = None;
    for h in holds.iter().filter(|h| h.elsewhere && !h.service) {
        let takes = START_TAKES_MS + h.run_ms;
        let in_time = |g: &&WallMs| wall + takes <= **g;
        let first = match h.goals.iter().find(in_time) {
            Some(goal) if back + ZONE_RECOVERY_MARGIN_MS > *goal => Some(Why::Due),
            Some(_) => None,
            // It is late in any case: not for the sake of a moment.
            None => (lost.ms > tuning.zone_late_ms.max(2 * h.run_ms)).then_some(Why::Late),
        };
        why = match (why, first) {
            (Some(a), Some(b)) => Some(std::cmp::min::<Why>(a, b)),
            (a, b) => a.or(b),
        };
    }
    why
}

/// What is known of the site's zones.
#[derive(Debug, Default)]
pub(crate) struct Zones {
    pub signs: BTreeMap<String, ZoneObservation>,
    /// Zones that are silent as a whole: when they were last heard, and since when that is known.
    quiet: BTreeMap<String, (Millis, Millis)>,
    /// When they were heard again.
    back: BTreeMap<String, Millis>,
    pub judged_at: Millis,
}

/// What has changed of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    Lost,
    Back { ms: Millis },
}

impl Zones {
    /// A zone's signs, and whether they say that it is silent as a whole.
    pub fn judged(
        &mut self,
        now: Millis,
        zone: &str,
        signs: &ZoneObservation,
        quiet: bool,
    ) -> Option<Turn> {
        match (quiet, self.quiet.contains_key(zone)) {
            (true, false) => {
                self.quiet.insert(zone.to_string(), (signs.latest, now));
                Some(Turn::Lost)
            }
            (false, true) => {
                let since = self.quiet.remove(zone).map_or(now, |(heard, _)| heard);
                self.back.insert(zone.to_string(), now);
                Some(Turn::Back { ms: now - since })
            }
            _ => None,
        }
    }

    /// Forgets zones without machines, and keeps the others' signs.
    pub fn keep(&mut self, signs: BTreeMap<String, ZoneObservation>) {
        self.quiet.retain(|zone, _| signs.contains_key(zone));
        self.signs = signs;
    }

    /// When a zone that is silent as a whole was last heard.
    pub fn unreachable_since(&self, zone: &str) -> Option<Millis> {
        self.quiet.get(zone).map(|(heard, _)| *heard)
    }

    /// The same, once it has been known for so long that peers would have told otherwise: a controller
    /// that was itself cut off takes what it reaches again for lost at first.
    pub fn lost_since(&self, now: Millis, zone: &str) -> Option<Millis> {
        let (heard, known) = *self.quiet.get(zone)?;
        (now >= known + ZONE_CONFIRM_MS).then_some(heard)
    }

    pub fn has_unreachable(&self) -> bool {
        !self.quiet.is_empty()
    }

    pub fn back_at(&self, zone: &str) -> Option<Millis> {
        self.back.get(zone).copied()
    }

    /// After a pause the silence was this controller's own.
    pub fn reset_after_pause(&mut self) {
        self.quiet.clear();
        self.back.clear();
    }
}

#[cfg(test)]
mod tests;
