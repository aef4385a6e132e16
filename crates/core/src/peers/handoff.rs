//! Handoff of workers from a controller that has more than its part of them to a peer that has fewer.

use super::peer::Peer;
use super::status::PeerStatus;
use super::tracker::PeerTracker;
use crate::constants::{
    HANDOFF_LOAD_FACTOR, HANDOFF_MIN_EXCESS_WORKERS, HANDOFF_PROBE_INTERVAL_MS,
    SLOW_CONTROLLER_LOAD_DIVISOR, TICK_DELAY_SLOW_MS,
};
use crate::model::Millis;

/// Workers to be handed over until the next heartbeat.
#[derive(Debug, Default)]
pub(super) struct Handoff {
    planned: Option<PlannedHandoff>,
    /// When a single worker was last handed to a peer that has none.
    probed_at: Millis,
}

#[derive(Debug)]
struct PlannedHandoff {
    /// The peer that gets them.
    target: String,
    /// How many are still to be handed over.
    left: usize,
}

impl Handoff {
    pub(super) fn cancel(&mut self) {
        self.planned = None;
    }
}

impl PeerTracker {
    /// Workers that lost their controller all turn to the next one, and stay there: it would run out of
    /// sockets, processor time and changes while its peers have them to spare. Once these
    /// hear from workers again, they are handed over a few at a time. `own`: workers that report here.
    pub fn plan_handoff(&mut self, now: Millis, own: usize, recent: Millis) {
        self.handoff.cancel();
        let targets: Vec<(usize, String)> = (self.fresh(now))
            .filter(|p| p.can_serve_workers() && !p.heartbeat.just_started)
            .filter(|p| p.status() != PeerStatus::Slow)
            .map(|p| (p.load(recent), p.heartbeat.controller.clone()))
            .collect();
        // Were it by number alone, one that has too little processor time would keep its part.
        let own = match self.tick_delay_ms > f64::from(TICK_DELAY_SLOW_MS) {
            true => own + own / SLOW_CONTROLLER_LOAD_DIVISOR,
            false => own,
        };
        let sum = own + targets.iter().map(|(load, _)| load).sum::<usize>();
        let mean = sum / (targets.len() + 1);
        let Some((min_load, target)) = targets.into_iter().min() else {
            return;
        };
        if own <= mean + HANDOFF_MIN_EXCESS_WORKERS
            || own as f64 <= mean as f64 * HANDOFF_LOAD_FACTOR
        {
            return;
        }
        let left = match min_load {
            0 if now < self.handoff.probed_at + HANDOFF_PROBE_INTERVAL_MS => return,
            0 => {
                self.handoff.probed_at = now;
                1
            }
            _ => min_load
                .max(2)
                .min((own - mean) / 2)
                .min(self.membership.tuning.handoff_max_workers),
        };
        tracing::debug!(own, mean, target, workers = left, "worker handoff planned");
        self.handoff.planned = Some(PlannedHandoff { target, left });
    }

    /// No worker is handed over.
    pub fn cancel_handoff(&mut self) {
        self.handoff.cancel();
    }

    /// The peer that the next worker is handed over to, if any.
    pub fn next_handoff(&mut self) -> Option<String> {
        let planned = self.handoff.planned.as_mut()?;
        planned.left = planned.left.checked_sub(1)?;
        Some(planned.target.clone())
    }

    /// Where workers are sent by a controller that is about to exit: to peers in turn.
    pub fn shutdown_target(&self, now: Millis, turn: u64) -> Option<String> {
        let targets: Vec<&Peer> = (self.fresh(now))
            .filter(|p| p.can_serve_workers())
            .collect();
        let turn = turn.checked_rem(targets.len() as u64)?;
        Some(targets[turn as usize].heartbeat.controller.clone())
    }
}
