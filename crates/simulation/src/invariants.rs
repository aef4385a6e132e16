//! What must hold at each step.

use crate::World;
use glenmount_core::model::TaskId;
use glenmount_core::state::{JobPhase, Key, Record};
use std::collections::BTreeMap;

impl World {
    pub(crate) fn check_start(&self, machine: &str, task: &TaskId) {
        let spec = &self.specs[&task.job];
        let w = &self.workers[machine];
        if let Some(other) = self.rules.place(task) {
            assert_eq!(other, machine, "ran_twice: {task} on {machine} and {other}");
        }
        for dependency in &spec.dependencies {
            let tasks = self.specs.get(dependency).map_or(0, |s| s.tasks);
            let done = (0..tasks).all(|index| {
                let job = dependency.clone();
                self.done_tasks.contains(&TaskId { job, index })
            });
            assert!(tasks > 0 && done, "too_early: {task} before {dependency}");
        }
        assert!(
            spec.allows(&w.type_name, &w.zone, w.spot),
            "wrong_place: {task} on {machine}"
        );
        let in_zone = |zone: &str| {
            let others = self.rules.places(&task.job);
            let others = others.filter(|(index, _)| *index != task.index);
            others
                .filter(|(_, m)| self.workers[*m].zone == zone)
                .count() as u32
        };
        if spec.topology_spread {
            assert!(
                in_zone(&w.zone) < spec.tasks.div_ceil(2),
                "wrong_place: {task} crowds {}",
                w.zone
            );
        }
        if spec.zone_affinity {
            for zone in &self.settings.zones {
                assert!(
                    *zone == w.zone || in_zone(zone) == 0,
                    "wrong_place: {task} apart from its job"
                );
            }
        }
    }

    /// A task is on its machine from now on.
    pub(crate) fn goes_on(&mut self, machine: &str, task: &TaskId) {
        let spec = &self.specs[&task.job];
        self.rules.goes_on(machine, task, spec);
        self.check_quota(&spec.team, self.rules.used(&spec.team));
        if self.rules.cancelled(&task.job) {
            self.check_rules();
        }
    }

    pub(crate) fn goes_off(&mut self, machine: &str, task: &TaskId) {
        self.rules.goes_off(machine, task, &self.specs[&task.job]);
    }

    pub(crate) fn all_off(&mut self, machine: &str) {
        let live: Vec<TaskId> = (self.workers.get(machine).into_iter())
            .flat_map(|w| w.live().map(|(t, _)| t.clone()))
            .collect();
        for task in live {
            self.goes_off(machine, &task);
        }
    }

    pub(crate) fn check_rules(&self) {
        if let Some((task, machine)) = self.rules.outlives(self.now) {
            panic!("ran_cancelled: {task} on {machine}");
        }
    }

    /// What must hold among the records themselves at any time.
    pub fn check_records(&self) {
        for (key, (record, _)) in &self.store {
            let (Key::Chunk(id, _), Record::Chunk(c)) = (key, record) else {
                continue;
            };
            let Some((Record::Job(j), _)) = self.store.get(&Key::Job(id.clone())) else {
                panic!("a chunk of an unknown job {id}");
            };
            assert!(
                c.first + c.tasks.len() as u32 <= j.tasks,
                "{id}: too many tasks"
            );
            for (index, b) in c.assigned() {
                assert!(
                    self.store.contains_key(&Key::Machine(b.machine.clone())),
                    "{id}/{index} is booked on {}, which is not on record",
                    b.machine
                );
            }
        }
        for slot in self
            .controllers
            .iter()
            .filter_map(|s| s.controller.as_ref())
        {
            if slot.cache.revision == self.revision && slot.has_current_state() {
                for (key, (_, mod_revision)) in &self.store {
                    assert_eq!(
                        slot.cache.mod_revision(key),
                        *mod_revision,
                        "copy of {key:?}"
                    );
                }
                assert_eq!(
                    slot.cache.len(),
                    self.store.len(),
                    "what is gone is not in a copy"
                );
            }
            for (team, used) in &self.assigned_cpus() {
                if slot.cache.revision == self.revision {
                    assert_eq!(slot.cache.usage(team).cpus, *used, "usage of {team}");
                }
            }
        }
    }

    pub(crate) fn assigned_cpus(&self) -> BTreeMap<String, u64> {
        let mut used: BTreeMap<String, u64> = BTreeMap::new();
        for team in self.settings.policy.teams.keys() {
            used.insert(team.clone(), 0);
        }
        for (record, _) in self.store.values() {
            if let Record::Chunk(c) = record {
                *used.entry(c.team.clone()).or_default() +=
                    c.assigned().count() as u64 * c.resources.cpus;
            }
        }
        used
    }

    pub fn job_phase(&self, id: &str) -> Option<JobPhase> {
        match self.store.get(&Key::Job(id.into())) {
            Some((Record::Job(j), _)) => Some(j.phase),
            _ => None,
        }
    }

    pub(crate) fn all_done(&self, id: &str) -> bool {
        self.specs.get(id).is_some_and(|s| {
            (0..s.tasks).all(|index| {
                let job = id.to_string();
                self.done_tasks.contains(&TaskId { job, index })
            })
        })
    }
}
