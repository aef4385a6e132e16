//! The scheduling pass's preemption step: when pending work may preempt, and which stops are recorded.

use crate::constants::{
    PREEMPT_AFTER_MS, PREEMPT_GAP_MS, PREEMPT_LATER_MS, SPARED_CHANCE, SPARED_MS,
};
use crate::controller::Controller;
use crate::jobs::dependencies;
use crate::model::{JobPriority, JobSpec, Millis, TaskId};
use crate::scheduling::pass::InheritedPriorities;
use crate::scheduling::pending_work::{overdue_batch_begun, PendingWork};
use crate::scheduling::preemption::{self, Observations};
use crate::scheduling::service_reserve;
use crate::scheduling::stops::Stop;

/// Milliseconds that work waits before it may preempt; none if it may not. Urgent work is not kept waiting;
/// other work waits a little for capacity that comes free by itself.
fn preempts_after_ms(work: &PendingWork) -> Option<Millis> {
    match work.own_priority {
        _ if work.requires_cached_image => Some(0),
        JobPriority::High | JobPriority::Production => Some(PREEMPT_AFTER_MS),
        JobPriority::Normal => Some(PREEMPT_LATER_MS),
        JobPriority::Low if work.is_within_guarantee => Some(PREEMPT_LATER_MS),
        JobPriority::Low => None,
    }
}

impl Controller {
    /// Stops running work for pending work that found no machine.
    pub(super) fn preempt(&mut self, work: &[PendingWork], inherited: &InheritedPriorities) {
        if work.is_empty()
            || !self.may_write()
            || self.now < self.scheduling.last_preemption_at + PREEMPT_GAP_MS
        {
            return;
        }
        let Some(preemptors) = self.work_that_may_preempt(work) else {
            return;
        };
        let stops = self.choose_preempted(work, &preemptors, inherited);
        if self.commit_stops(stops, None).stops > 0 {
            self.scheduling.last_preemption_at = self.now;
        }
    }

    /// Work that has waited for long enough. If there is none, a pass comes when the first has.
    fn work_that_may_preempt(&mut self, work: &[PendingWork]) -> Option<Vec<PendingWork>> {
        let mut next_ms = Millis::MAX;
        let mut preemptors: Vec<PendingWork> = Vec::new();
        for work in work {
            let Some(after_ms) = preempts_after_ms(work) else {
                continue;
            };
            match (work.ready_at + after_ms).saturating_sub(self.wall) {
                0 => preemptors.push(work.clone()),
                left_ms => next_ms = next_ms.min(left_ms),
            }
        }
        if preemptors.is_empty() {
            let at = self.now.saturating_add(next_ms);
            self.scheduling.pass_no_later_than(at);
            return None;
        }
        Some(preemptors)
    }

    fn choose_preempted(
        &self,
        work: &[PendingWork],
        preemptors: &[PendingWork],
        inherited: &InheritedPriorities,
    ) -> Vec<Stop> {
        let spares_ending = self.settings.learned.stops;
        let observations = Observations {
            is_usable: &|id| self.is_usable(id),
            priority: &|id, spec| self.priority_against_preemption(id, spec, inherited),
            assigned_for: &|attempt| self.assigned_for(attempt),
            is_about_to_end: &|task: &TaskId, attempt| {
                spares_ending && self.about_to_end(task, attempt, SPARED_MS, SPARED_CHANCE)
            },
        };
        let open_to = service_reserve::reserve_open_to(work, self.wall);
        preemption::choose_stops(self.cluster_view(), preemptors, &observations, open_to)
    }

    /// What a running job counts as: its first part counts as urgent if it has begun late.
    fn priority_against_preemption(
        &self,
        id: &str,
        spec: &JobSpec,
        inherited: &InheritedPriorities,
    ) -> JobPriority {
        let priority = dependencies::priority(inherited, id, spec);
        if priority >= JobPriority::High {
            return priority;
        }
        let ready_at = (self.cache.job(id)).map_or(0, |job| self.cache.ready_at(job));
        match overdue_batch_begun(&self.cache, &self.settings, id, ready_at, self.wall) {
            Some(_) => JobPriority::High,
            None => priority,
        }
    }

    /// Milliseconds since an attempt was assigned, going by the revision that it is named after.
    fn assigned_for(&self, attempt: u64) -> Millis {
        let times = &self.list_watch.revision_times;
        let position = times.partition_point(|(revision, _)| *revision <= attempt);
        match times.get(position) {
            // Older than all that is remembered.
            _ if position == 0 => Millis::MAX,
            Some((_, at)) => self.now - at,
            None => 0,
        }
    }
}
