//! The preemption step of the scheduling pass: decides when pending work may preempt, and records the stops.

use crate::constants::{
    PREEMPT_DELAY_MS, PREEMPT_EXEMPT_MS, PREEMPT_EXEMPT_PROBABILITY, PREEMPT_INTERVAL_MS,
    PREEMPT_URGENT_DELAY_MS,
};
use crate::controller::Controller;
use crate::jobs::dependencies;
use crate::model::{JobPriority, JobSpec, Millis, TaskId};
use crate::scheduling::pass::InheritedPriorities;
use crate::scheduling::pending_work::{started_tasks_of_overdue_batch, PendingWork};
use crate::scheduling::preemption::{self, PreemptionContext};
use crate::scheduling::service_reserve;
use crate::scheduling::stops::Stop;

/// Returns the milliseconds that work must have been pending before it may preempt, or `None` if it never may.
/// Less urgent work waits longer, since capacity often becomes free without preemption.
fn preemption_delay_ms(work: &PendingWork) -> Option<Millis> {
    match work.own_priority {
        _ if work.requires_cached_image => Some(0),
        JobPriority::High | JobPriority::Production => Some(PREEMPT_URGENT_DELAY_MS),
        JobPriority::Normal => Some(PREEMPT_DELAY_MS),
        JobPriority::Low if work.is_within_guarantee => Some(PREEMPT_DELAY_MS),
        JobPriority::Low => None,
    }
}

impl Controller {
    /// Preempts running tasks for pending work that found no machine.
    pub(super) fn preempt(&mut self, work: &[PendingWork], inherited: &InheritedPriorities) {
        if work.is_empty()
            || !self.may_write()
            || self.now < self.scheduling.last_preemption_at + PREEMPT_INTERVAL_MS
        {
            return;
        }
        let Some(preemptors) = self.work_allowed_to_preempt(work) else {
            return;
        };
        let stops = self.choose_preemptions(work, &preemptors, inherited);
        if self.commit_stops(stops, None).stops > 0 {
            self.scheduling.last_preemption_at = self.now;
        }
    }

    /// Returns the work that has been pending long enough to preempt. If there is none, schedules a pass for the
    /// time at which the first will have been.
    fn work_allowed_to_preempt(&mut self, work: &[PendingWork]) -> Option<Vec<PendingWork>> {
        let mut shortest_wait_ms = Millis::MAX;
        let mut preemptors: Vec<PendingWork> = Vec::new();
        for work in work {
            let Some(delay_ms) = preemption_delay_ms(work) else {
                continue;
            };
            match (work.ready_at + delay_ms).saturating_sub(self.wall_time) {
                0 => preemptors.push(work.clone()),
                remaining_ms => shortest_wait_ms = shortest_wait_ms.min(remaining_ms),
            }
        }
        if preemptors.is_empty() {
            let pass_at = self.now.saturating_add(shortest_wait_ms);
            self.scheduling.schedule_pass_by(pass_at);
            return None;
        }
        Some(preemptors)
    }

    fn choose_preemptions(
        &self,
        work: &[PendingWork],
        preemptors: &[PendingWork],
        inherited: &InheritedPriorities,
    ) -> Vec<Stop> {
        let spares_ending_tasks = self.settings.runtime_estimates.preemption;
        let context = PreemptionContext {
            is_usable: &|id| self.is_usable(id),
            priority: &|id, spec| self.priority_against_preemption(id, spec, inherited),
            assigned_for_ms: &|attempt| self.assigned_for_ms(attempt),
            is_about_to_end: &|task: &TaskId, attempt| {
                spares_ending_tasks
                    && self.is_likely_to_end(
                        task,
                        attempt,
                        PREEMPT_EXEMPT_MS,
                        PREEMPT_EXEMPT_PROBABILITY,
                    )
            },
        };
        let reserve_open_to = service_reserve::reserve_open_to(work, self.wall_time);
        preemption::choose_stops(self.cluster_view(), preemptors, &context, reserve_open_to)
    }

    /// Returns the priority by which a running job resists preemption. The first part of a batch that started
    /// late counts as urgent.
    fn priority_against_preemption(
        &self,
        id: &str,
        spec: &JobSpec,
        inherited: &InheritedPriorities,
    ) -> JobPriority {
        let priority = dependencies::effective_priority(inherited, id, spec);
        if priority >= JobPriority::High {
            return priority;
        }
        let ready_at = (self.cache.job(id)).map_or(0, |job| self.cache.ready_at(job));
        match started_tasks_of_overdue_batch(
            &self.cache,
            &self.settings,
            id,
            ready_at,
            self.wall_time,
        ) {
            Some(_) => JobPriority::High,
            None => priority,
        }
    }

    /// Returns the milliseconds since an attempt was assigned, derived from the time of the revision that
    /// identifies the attempt.
    fn assigned_for_ms(&self, attempt: u64) -> Millis {
        let times = &self.list_watch.revision_times;
        let position = times.partition_point(|(revision, _)| *revision <= attempt);
        match times.get(position) {
            // The attempt is older than all remembered revisions.
            _ if position == 0 => Millis::MAX,
            Some((_, at)) => self.now - at,
            None => 0,
        }
    }
}
