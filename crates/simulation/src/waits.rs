//! Jobs that wait beside room.

use crate::World;
use glenmount_core::model::{JobSpec, Resources, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// Since when jobs have waited though a machine that fits has room and their team is under its limit: by the
/// world's own sum of what runs, not by the records.
#[derive(Debug, Default)]
pub struct Waits {
    pub(crate) since: BTreeMap<String, u64>,
    /// Milliseconds, and the job that waited so long.
    pub longest: u64,
    pub job: String,
}

impl Waits {
    pub fn look(&mut self, w: &World) {
        let waiting = w.waiting_beside_room();
        self.since.retain(|id, _| waiting.contains(id));
        for id in waiting {
            let since = *self.since.entry(id.clone()).or_insert(w.now);
            if w.now - since > self.longest {
                (self.longest, self.job) = (w.now - since, id);
            }
        }
    }
}

impl World {
    /// Jobs of which a task waits although a machine that it may use has room for it, and its team is under
    /// its limit.
    pub fn waiting_beside_room(&self) -> BTreeSet<String> {
        let mut waiting = BTreeSet::new();
        let open = |id: &str| match self.told.get(id) {
            Some(t) => t.accepted && !t.asked_cancel && !t.done,
            None => false,
        };
        for (id, spec) in self.specs.iter().filter(|(id, _)| open(id)) {
            let (on, done) = (self.rules.places(id).count(), self.done_of(id));
            let used = self.rules.used(&spec.team) + spec.resources.cpus;
            let under = self
                .limit(&spec.team)
                .is_some_and(|limit| limit == 0 || used <= limit);
            let ready = spec.dependencies.iter().all(|a| self.all_done(a));
            let plain = !spec.zone_affinity && !spec.topology_spread;
            if on + done >= spec.tasks as usize || !under || !ready || !plain {
                continue;
            }
            if self.workers.values().any(|m| self.has_room(m, spec)) {
                waiting.insert(id.clone());
            }
        }
        waiting
    }

    pub(crate) fn done_of(&self, id: &str) -> usize {
        let job = id.to_string();
        let from = TaskId { job, index: 0 };
        let of = self.done_tasks.range(from..);
        of.take_while(|t| t.job == id).count()
    }

    pub(crate) fn has_room(&self, m: &crate::Worker, spec: &JobSpec) -> bool {
        let well = m.alive && !m.cut && !m.deaf && !m.mute && m.hangs_until == 0 && !m.fails_all;
        let kind = self.machine_types.iter().find(|t| t.name == m.type_name);
        let used = m.live().fold(Resources::default(), |sum, (t, _)| {
            sum.plus(&self.specs[&t.job].resources)
        });
        well && m.notice_s.is_none()
            && spec.allows(&m.type_name, &m.zone, m.spot)
            && kind.is_some_and(|k| k.room.less(&used).fits(&spec.resources))
    }
}
