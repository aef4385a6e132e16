//! Invariants of the protocol, checked at every step, and of the stored records.

use crate::Simulation;
use glenmount_core::model::TaskId;
use glenmount_core::state::{JobPhase, Key, Record};
use std::collections::BTreeMap;

/// An attempt that a worker has begun.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct BegunAttempt {
    pub machine: String,
    pub incarnation: u64,
    pub task: TaskId,
    pub attempt: u64,
}

impl Simulation {
    /// Checks that no worker begins an attempt twice in one incarnation: the second run is on no record.
    pub(crate) fn check_first_run(&mut self, machine: &str, task: &TaskId, attempt: u64) {
        let begun = BegunAttempt {
            machine: machine.to_string(),
            incarnation: self.workers[machine].incarnation,
            task: task.clone(),
            attempt,
        };
        let is_first = self.begun_attempts.insert(begun);
        assert!(
            is_first,
            "started_again: {task} attempt {attempt} on {machine}"
        );
    }

    /// Checks that a task may start on a machine: it runs on no other machine, its dependencies are complete, and its
    /// job allows the machine and the zone.
    pub(crate) fn check_start(&self, machine: &str, task: &TaskId) {
        let spec = &self.job_specs[&task.job];
        let worker = &self.workers[machine];
        if let Some(other) = self.placements.machine_of(task) {
            assert_eq!(other, machine, "ran_twice: {task} on {machine} and {other}");
        }
        for dependency in &spec.dependencies {
            let tasks = self.job_specs.get(dependency).map_or(0, |s| s.tasks);
            let done = (0..tasks).all(|index| {
                let job = dependency.clone();
                self.completed_tasks.contains(&TaskId { job, index })
            });
            assert!(tasks > 0 && done, "too_early: {task} before {dependency}");
        }
        assert!(
            spec.allows(&worker.type_name, &worker.zone, worker.spot),
            "wrong_place: {task} on {machine}"
        );
        let in_zone = |zone: &str| {
            let others = self.placements.machines_of_job(&task.job);
            let others = others.filter(|(index, _)| *index != task.index);
            others
                .filter(|(_, machine)| self.workers[*machine].zone == zone)
                .count() as u32
        };
        if spec.topology_spread {
            assert!(
                in_zone(&worker.zone) < spec.tasks.div_ceil(2),
                "wrong_place: {task} exceeds the spread limit of zone {}",
                worker.zone
            );
        }
        if spec.zone_affinity {
            for zone in &self.settings.zones {
                assert!(
                    *zone == worker.zone || in_zone(zone) == 0,
                    "wrong_place: {task} is outside its job's zone"
                );
            }
        }
    }

    /// Records that a task is on a machine, and checks the quota of its team.
    pub(crate) fn add_placement(&mut self, machine: &str, task: &TaskId) {
        let spec = &self.job_specs[&task.job];
        self.placements.add(machine, task, spec);
        self.check_quota(&spec.team, self.placements.cpus_used(&spec.team));
        if self.placements.is_cancelled(&task.job) {
            self.check_invariants();
        }
    }

    /// Records that a task has ended on a machine.
    pub(crate) fn remove_placement(&mut self, machine: &str, task: &TaskId) {
        self.placements
            .remove(machine, task, &self.job_specs[&task.job]);
    }

    /// Records that all tasks of a machine have ended.
    pub(crate) fn remove_all_placements(&mut self, machine: &str) {
        let live: Vec<TaskId> = (self.workers.get(machine).into_iter())
            .flat_map(|worker| worker.live_tasks().map(|(t, _)| t.clone()))
            .collect();
        for task in live {
            self.remove_placement(machine, &task);
        }
    }

    /// Checks that no task of a cancelled job runs after its cancellation timeout.
    pub(crate) fn check_invariants(&self) {
        if let Some((task, machine)) = self.placements.overdue_task(self.now_ms) {
            panic!("ran_cancelled: {task} on {machine}");
        }
    }

    /// Checks the consistency of the records, and that up-to-date caches of controllers agree with them.
    pub fn check_records(&self) {
        for (key, (record, _)) in &self.state.records {
            let (Key::Chunk(id, _), Record::Chunk(chunk)) = (key, record) else {
                continue;
            };
            let Some((Record::Job(job), _)) = self.state.records.get(&Key::Job(id.clone())) else {
                panic!("chunk of unknown job {id}");
            };
            assert!(
                chunk.first + chunk.tasks.len() as u32 <= job.tasks,
                "{id}: too many tasks"
            );
            for (index, assignment) in chunk.assigned() {
                assert!(
                    self.state
                        .records
                        .contains_key(&Key::Machine(assignment.machine.clone())),
                    "{id}/{index} is assigned to {}, which has no record",
                    assignment.machine
                );
            }
        }
        for slot in self
            .controllers
            .iter()
            .filter_map(|s| s.controller.as_ref())
        {
            if slot.cache.revision == self.state.revision && slot.has_current_state() {
                for (key, (_, mod_revision)) in &self.state.records {
                    assert_eq!(
                        slot.cache.mod_revision(key),
                        *mod_revision,
                        "cached revision of {key:?}"
                    );
                }
                assert_eq!(
                    slot.cache.len(),
                    self.state.records.len(),
                    "number of cached records"
                );
            }
            for (team, used) in &self.assigned_cpus() {
                if slot.cache.revision == self.state.revision {
                    assert_eq!(slot.cache.usage(team).cpus, *used, "usage of {team}");
                }
            }
        }
    }

    /// Returns the thousandths of processors that the records assign, by team.
    pub(crate) fn assigned_cpus(&self) -> BTreeMap<String, u64> {
        let mut used: BTreeMap<String, u64> = BTreeMap::new();
        for team in self.settings.policy.teams.keys() {
            used.insert(team.clone(), 0);
        }
        for (record, _) in self.state.records.values() {
            if let Record::Chunk(chunk) = record {
                *used.entry(chunk.team.clone()).or_default() +=
                    chunk.assigned().count() as u64 * chunk.resources.cpus;
            }
        }
        used
    }

    /// Returns the stored phase of a job.
    pub fn job_phase(&self, id: &str) -> Option<JobPhase> {
        match self.state.records.get(&Key::Job(id.into())) {
            Some((Record::Job(job), _)) => Some(job.phase),
            _ => None,
        }
    }

    /// Returns whether all tasks of a job have completed.
    pub(crate) fn is_complete(&self, id: &str) -> bool {
        self.job_specs.get(id).is_some_and(|s| {
            (0..s.tasks).all(|index| {
                let job = id.to_string();
                self.completed_tasks.contains(&TaskId { job, index })
            })
        })
    }
}
