//! Handoff of workers from a controller with more than its share of them to the peer with the fewest.

use super::peer::Peer;
use super::status::PeerStatus;
use super::tracker::PeerTracker;
use crate::constants::{
    HANDOFF_LOAD_FACTOR, HANDOFF_MIN_EXCESS_WORKERS, HANDOFF_PROBE_INTERVAL_MS,
    SLOW_CONTROLLER_LOAD_DIVISOR, TICK_DELAY_SLOW_MS,
};
use crate::model::Millis;

/// The handoff that is planned until the next heartbeat.
#[derive(Debug, Default)]
pub(super) struct Handoff {
    planned: Option<PlannedHandoff>,
    /// When a single worker was last handed off to a peer without workers, as a probe.
    last_probe_at: Millis,
}

#[derive(Debug)]
struct PlannedHandoff {
    /// The peer that the workers are handed off to.
    target: String,
    /// Number of workers that are still to be handed off.
    remaining: usize,
}

impl Handoff {
    pub(super) fn cancel(&mut self) {
        self.planned = None;
    }
}

impl PeerTracker {
    /// Plans how many workers to hand off, and to which peer, until the next heartbeat. `own_load` is the number of
    /// workers that send their heartbeats here; a peer's load counts heartbeats of the last `recent_ms`.
    ///
    /// Workers that lost their controller all switch to the same next controller and stay there. That controller
    /// would run out of sockets, processor time and write budget while its peers have spare capacity. A peer with
    /// workers gets a few at a time; a peer without any gets a single one as a probe, since it may be cut off from
    /// workers.
    pub fn plan_handoff(&mut self, now: Millis, own_load: usize, recent_ms: Millis) {
        self.handoff.cancel();
        let targets: Vec<(usize, String)> = (self.live(now))
            .filter(|p| p.can_serve_workers() && !p.heartbeat.just_started)
            .filter(|p| p.status() != PeerStatus::Slow)
            .map(|p| (p.load(recent_ms), p.heartbeat.controller.clone()))
            .collect();
        // A controller whose ticks are late has too little processor time for its share. It counts its load as
        // higher than it is, so that it hands off workers.
        let own_load = match self.tick_delay_ms > f64::from(TICK_DELAY_SLOW_MS) {
            true => own_load + own_load / SLOW_CONTROLLER_LOAD_DIVISOR,
            false => own_load,
        };
        let total_load = own_load + targets.iter().map(|(load, _)| load).sum::<usize>();
        let mean_load = total_load / (targets.len() + 1);
        let Some((min_load, target)) = targets.into_iter().min() else {
            return;
        };
        if own_load <= mean_load + HANDOFF_MIN_EXCESS_WORKERS
            || own_load as f64 <= mean_load as f64 * HANDOFF_LOAD_FACTOR
        {
            return;
        }
        let workers = match min_load {
            0 if now < self.handoff.last_probe_at + HANDOFF_PROBE_INTERVAL_MS => return,
            0 => {
                self.handoff.last_probe_at = now;
                1
            }
            _ => min_load
                .max(2)
                .min((own_load - mean_load) / 2)
                .min(self.membership.tuning.handoff_max_workers),
        };
        tracing::debug!(
            own_load,
            mean_load,
            target,
            workers,
            "worker handoff planned"
        );
        self.handoff.planned = Some(PlannedHandoff {
            target,
            remaining: workers,
        });
    }

    /// Cancels the planned handoff.
    pub fn cancel_handoff(&mut self) {
        self.handoff.cancel();
    }

    /// Returns the peer that the next worker is handed off to, if any, and counts the worker.
    pub fn next_handoff(&mut self) -> Option<String> {
        let planned = self.handoff.planned.as_mut()?;
        planned.remaining = planned.remaining.checked_sub(1)?;
        Some(planned.target.clone())
    }

    /// Returns the peer that a controller redirects its next worker to while it shuts down: peers take turns.
    pub fn shutdown_target(&self, now: Millis, turn: u64) -> Option<String> {
        let targets: Vec<&Peer> = (self.live(now)).filter(|p| p.can_serve_workers()).collect();
        let turn = turn.checked_rem(targets.len() as u64)?;
        Some(targets[turn as usize].heartbeat.controller.clone())
    }
}
