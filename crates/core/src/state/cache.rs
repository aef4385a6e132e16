//! A controller's copy of the shared records, and what is gathered from them.

use super::dependents::Dependents;
use super::{
    Assignment, CancellationConfirmationRecord, ChunkRecord, InstanceRequestRecord, JobPhase,
    JobRecord, Key, MachineRecord, MachineTypesRecord, ProvisioningRecord, Record, RunTimesRecord,
    TeamRecord, TermRecord, ZoneSpreadRecord,
};
use crate::configuration::{
    ConfigurationEnabledRecord, ConfigurationPageRecord, ConfigurationVersionRecord,
    ObservedVersionRecord,
};
use crate::constants::{FAULTY_MACHINES, IMAGES_KNOWN, MACHINE_IMAGES, REFUSED_RECORDS_KEPT};
use crate::model::{JobSpec, Resources, TaskId, WallMs};
use crate::state::formats::{self, FormatRecord};
use foldhash::HashMap;
use std::collections::{BTreeMap, BTreeSet};

/// A record and the revision of its latest change.
type Table<K, R> = BTreeMap<K, (R, u64)>;

/// What a machine holds, gathered from the chunks.
#[derive(Debug, Default)]
struct Holding {
    tasks: BTreeMap<TaskId, Placed>,
    used: Resources,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Placed {
    pub assignment: Assignment,
    pub resources: Resources,
}

/// Tasks of a job by state, gathered from its chunks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub assigned: u32,
    pub done: u32,
}

/// This controller's state cache, with the revision up to which it is complete, and what
/// is looked up in them often.
#[derive(Debug, Default)]
pub struct StateCache {
    term: Table<(), TermRecord>,
    machine_types: Table<(), MachineTypesRecord>,
    fleet: Table<(), ProvisioningRecord>,
    jobs: Table<String, JobRecord>,
    chunks: BTreeMap<String, Table<u32, ChunkRecord>>,
    places: Table<String, ZoneSpreadRecord>,
    machines: Table<String, MachineRecord>,
    teams: Table<String, TeamRecord>,
    instance_requests: Table<u64, InstanceRequestRecord>,
    formats: Table<String, FormatRecord>,
    settled: Table<(), CancellationConfirmationRecord>,
    runs: Table<u64, RunTimesRecord>,
    configuration: Table<(), ConfigurationVersionRecord>,
    configuration_pages: Table<(u64, u32), ConfigurationPageRecord>,
    configurable: Table<(), ConfigurationEnabledRecord>,
    following: Table<String, ObservedVersionRecord>,
    /// Names of all controllers, as the settings have them.
    pub members: Vec<String>,
    /// Records that the state service refused to take as large as they would have become, and the
    /// revision that this was tried on.
    barred: BTreeMap<Key, u64>,
    pub revision: u64,
    // Gathered
    open: BTreeSet<String>,
    /// Open jobs with tasks that are neither done nor assigned.
    waiting: BTreeSet<String>,
    dependents: Dependents,
    counts: BTreeMap<String, Counts>,
    held: HashMap<String, Holding>,
    usage: BTreeMap<String, TeamRecord>,
    /// Images each machine has had, latest last, with their size in GB. Only a hint: it is
    /// not kept in the records, where it would cost a put for each.
    images: HashMap<String, Vec<(u32, f64)>>,
    /// Numbers that stand for images in that list.
    image_ids: HashMap<String, u32>,
    /// Room for images per type, in GB.
    pub cache_gb: HashMap<String, f64>,
}

fn keep<K: Ord, R>(table: &mut Table<K, R>, key: K, record: R, mod_revision: u64) -> bool {
    if table.get(&key).is_some_and(|(_, s)| *s >= mod_revision) {
        return false;
    }
    table.insert(key, (record, mod_revision));
    true
}

fn drop_older<K: Ord, R>(table: &mut Table<K, R>, key: &K, mod_revision: u64) {
    if table.get(key).is_some_and(|(_, s)| *s < mod_revision) {
        table.remove(key);
    }
}

macro_rules! accessors {
    ($one:ident, $all:ident, $table:ident, $record:ty, $key:ty) => {
        pub fn $one(&self, key: &$key) -> Option<&$record> {
            self.$table.get(key).map(|(r, _)| r)
        }
        pub fn $all(&self) -> impl Iterator<Item = (&$key, &$record, u64)> {
            self.$table.iter().map(|(k, (r, mod_revision))| {
                let k: &$key = k;
                (k, r, *mod_revision)
            })
        }
    };
}

impl StateCache {
    /// What an open job asks for.
    pub fn open_job(&self, id: &str) -> Option<&JobSpec> {
        self.job(id).and_then(|j| j.open())
    }
    /// Open jobs, in order of their names.
    pub fn open_jobs(&self) -> impl Iterator<Item = (&str, &JobRecord, &JobSpec)> {
        self.with_specs(&self.open)
    }
    fn with_specs<'a>(
        &'a self,
        ids: &'a BTreeSet<String>,
    ) -> impl Iterator<Item = (&'a str, &'a JobRecord, &'a JobSpec)> {
        ids.iter().filter_map(|id| {
            let job = self.job(id)?;
            Some((id.as_str(), job, job.open()?))
        })
    }

    /// Open jobs with tasks that wait for a machine, and for no other job, in order of their names.
    pub fn waiting_jobs(&self) -> impl Iterator<Item = (&str, &JobRecord, &JobSpec)> {
        self.with_specs(&self.waiting)
    }
    fn note_waiting(&mut self, id: &str) {
        let counts = self.counts(id);
        let job = self.job(id).filter(|j| j.open().is_some());
        let waits = job.is_some_and(|j| counts.assigned + counts.done < j.tasks);
        if waits && !self.blocked(id) {
            if !self.waiting.contains(id) {
                self.waiting.insert(id.to_string());
            }
        } else {
            self.waiting.remove(id);
        }
    }

    accessors!(job, jobs, jobs, JobRecord, str);
    accessors!(machine, machines, machines, MachineRecord, str);
    accessors!(place, places, places, ZoneSpreadRecord, str);
    accessors!(
        instance_request,
        instance_requests,
        instance_requests,
        InstanceRequestRecord,
        u64
    );
    accessors!(class_runs, all_runs, runs, RunTimesRecord, u64);

    /// Whether an open job awaits one that is not done on record. `Done` is final, so what is
    /// found not to be blocked never is again.
    pub fn blocked(&self, id: &str) -> bool {
        let done = |a: &String| self.job(a).is_some_and(|j| j.phase == JobPhase::Done);
        self.open_job(id)
            .is_some_and(|s| !s.dependencies.iter().all(done))
    }
    /// Whether an open job needs a cancelled one, directly or through others, that is told as such.
    /// Nothing of it has run or ever will, so it counts as cancelled before its own record says so.
    pub fn doomed(&self, id: &str) -> bool {
        self.dependents.doomed().contains(id) && self.needs_ended(id)
    }
    fn needs_ended(&self, id: &str) -> bool {
        let mut next: Vec<&str> = vec![id];
        let mut seen: BTreeSet<&str> = BTreeSet::new();
        while let Some(id) = next.pop() {
            for dependency in self.open_job(id).iter().flat_map(|s| &s.dependencies) {
                match self.job(dependency).map(|j| j.phase) {
                    Some(JobPhase::Cancelled) if !self.ending(dependency) => return true,
                    Some(JobPhase::Open) if seen.insert(dependency) => next.push(dependency),
                    _ => {}
                }
            }
        }
        false
    }
    /// Whether a job is cancelled on record, but not to be told as such yet: tasks of it may still
    /// be somewhere. The copy must have reached the cancellation, or it may lack a claim that came
    /// before. No claim comes after, so what is found to be over is so for good.
    pub fn ending(&self, id: &str) -> bool {
        let (mod_revision, settled) = (
            self.job_revision(id),
            self.mod_revision(&Key::CancellationConfirmation),
        );
        let cancelled = self.job(id).is_some_and(|j| j.phase == JobPhase::Cancelled);
        cancelled
            && settled > 0
            && mod_revision > settled
            && (self.revision < mod_revision || self.counts(id).assigned > 0)
    }
    pub fn dependents(&self) -> &Dependents {
        &self.dependents
    }
    /// From when on a job's tasks could start: its acceptance, or the end of the last job that it
    /// awaits. The same for every controller.
    pub fn ready_at(&self, job: &JobRecord) -> WallMs {
        let dependencies = job.spec.iter().flat_map(|s| &s.dependencies);
        let ends = dependencies.filter_map(|a| self.job(a).map(|j| j.ended));
        ends.fold(job.at, WallMs::max)
    }
    /// Keeps what depends on a job's phase in step with a record that changed.
    fn job_changed(&mut self, id: &str, dependency: Vec<String>) {
        let spec = self.job(id).and_then(|j| j.open());
        let dependencies = spec.map_or(Vec::new(), |s| s.dependencies.clone());
        let phase = self.job(id).map(|j| j.phase);
        let cancelled = |a: &String| {
            let phase = self.jobs.get(a).map(|(j, _)| j.phase);
            phase == Some(JobPhase::Cancelled) || self.dependents.doomed().contains(a)
        };
        let dooms = dependencies.iter().any(cancelled);
        self.dependents.link(id, &dependency, &dependencies);
        self.note_waiting(id);
        match phase {
            Some(JobPhase::Cancelled) => self.dependents.cancelled(id),
            _ if dooms => self.dependents.doom(id),
            _ => {}
        }
        for dependent in self.dependents.of(id) {
            self.note_waiting(&dependent);
        }
    }

    /// The latest format that every controller reads.
    pub fn format(&self) -> u32 {
        let of = |controller| self.format_of(controller);
        let common = self.members.iter().map(of).min();
        common.unwrap_or(formats::OLDEST).min(formats::LATEST)
    }
    /// The latest format that a controller reads, as far as it has said so.
    pub fn format_of(&self, controller: &String) -> u32 {
        let row = self.formats.get(controller);
        row.map_or(formats::OLDEST, |(f, _)| f.version)
    }
    /// A record is not to be written again as it stands now.
    pub fn fence_start(&mut self, key: Key) {
        let mod_revision = self.mod_revision(&key);
        let mut barred = std::mem::take(&mut self.barred);
        barred.retain(|key, at| *at == self.mod_revision(key));
        self.barred = barred;
        if self.barred.len() < REFUSED_RECORDS_KEPT {
            self.barred.insert(key, mod_revision);
        }
    }
    /// Refused records are tried once more: the limits may have been raised.
    pub fn retry_refused(&mut self) {
        self.barred.clear();
    }
    /// Whether that holds: once somebody has changed it, it is tried again.
    pub fn is_refused(&self, key: &Key) -> bool {
        let at = self.barred.get(key);
        at.is_some_and(|at| *at == self.mod_revision(key))
    }

    pub fn mod_revision(&self, key: &Key) -> u64 {
        fn of<R>(row: Option<&(R, u64)>) -> u64 {
            row.map_or(0, |(_, mod_revision)| *mod_revision)
        }
        match key {
            Key::Term => of(self.term.get(&())),
            Key::MachineTypes => of(self.machine_types.get(&())),
            Key::Provisioning => of(self.fleet.get(&())),
            Key::Job(id) => of(self.jobs.get(id)),
            Key::Chunk(id, n) => self.chunk_revision(id, *n),
            Key::ZoneSpread(id) => of(self.places.get(id)),
            Key::Machine(id) => of(self.machines.get(id)),
            Key::Team(id) => of(self.teams.get(id)),
            Key::InstanceRequest(n) => of(self.instance_requests.get(n)),
            Key::Format(controller) => of(self.formats.get(controller)),
            Key::CancellationConfirmation => of(self.settled.get(&())),
            Key::RunTimes(class) => of(self.runs.get(class)),
            Key::Configuration => of(self.configuration.get(&())),
            Key::ConfigurationPage(version, n) => of(self.configuration_pages.get(&(*version, *n))),
            Key::ConfigurationEnabled => of(self.configurable.get(&())),
            Key::ObservedVersion(controller) => of(self.following.get(controller)),
        }
    }
    pub fn get(&self, key: &Key) -> Option<Record> {
        Some(match key {
            Key::Term => Record::Term(self.term.get(&())?.0.clone()),
            Key::MachineTypes => Record::MachineTypes(self.machine_types.get(&())?.0.clone()),
            Key::Provisioning => Record::Provisioning(self.fleet.get(&())?.0.clone()),
            Key::Job(id) => Record::Job(self.job(id)?.clone()),
            Key::Chunk(id, n) => Record::Chunk(self.chunk(id, *n)?.clone()),
            Key::ZoneSpread(id) => Record::ZoneSpread(self.place(id)?.clone()),
            Key::Machine(id) => Record::Machine(self.machine(id)?.clone()),
            Key::Team(id) => Record::Team(self.teams.get(id)?.0.clone()),
            Key::InstanceRequest(n) => Record::InstanceRequest(self.instance_request(n)?.clone()),
            Key::Format(controller) => Record::Format(self.formats.get(controller)?.0.clone()),
            Key::CancellationConfirmation => {
                Record::CancellationConfirmation(self.settled.get(&())?.0.clone())
            }
            Key::RunTimes(class) => Record::RunTimes(self.class_runs(class)?.clone()),
            Key::Configuration => Record::Configuration(self.configuration()?.0.clone()),
            Key::ConfigurationPage(version, n) => {
                Record::ConfigurationPage(self.configuration_page(*version, *n)?.clone())
            }
            Key::ConfigurationEnabled => {
                Record::ConfigurationEnabled(self.configurable.get(&())?.0.clone())
            }
            Key::ObservedVersion(controller) => {
                Record::ObservedVersion(self.following.get(controller)?.0.clone())
            }
        })
    }
    pub fn job_revision(&self, id: &str) -> u64 {
        self.jobs
            .get(id)
            .map_or(0, |(_, mod_revision)| *mod_revision)
    }
    pub fn chunk(&self, job: &str, n: u32) -> Option<&ChunkRecord> {
        self.chunks.get(job)?.get(&n).map(|(c, _)| c)
    }
    pub fn chunk_revision(&self, job: &str, n: u32) -> u64 {
        let row = self.chunks.get(job).and_then(|c| c.get(&n));
        row.map_or(0, |(_, mod_revision)| *mod_revision)
    }
    /// The revision that a claim in this chunk is conditional on, and its attempt. A chunk that
    /// is not on record yet has none; its job's serves once, and lies below all that follow.
    pub fn claim_revision(&self, job: &str, n: u32) -> u64 {
        match self.chunk_revision(job, n) {
            0 => self.job_revision(job),
            mod_revision => mod_revision,
        }
    }
    pub fn chunks_of(&self, job: &str) -> impl Iterator<Item = (u32, &ChunkRecord)> {
        let chunks = self.chunks.get(job).into_iter().flatten();
        chunks.map(|(n, (c, _))| (*n, c))
    }
    /// Whether a job seems to have been submitted with a mistake: it has failed on several machines
    /// and nothing of it has ever succeeded.
    pub fn suspect(&self, job: &str) -> bool {
        let failed = |c: &ChunkRecord| c.failed_on.len() >= FAULTY_MACHINES;
        self.counts(job).done == 0 && self.chunks_of(job).any(|(_, c)| failed(c))
    }
    /// Jobs with chunks on record, open or not, and how far they are.
    pub fn counted(&self) -> impl Iterator<Item = (&str, Counts)> {
        self.counts.iter().map(|(id, c)| (id.as_str(), *c))
    }
    pub fn counts(&self, job: &str) -> Counts {
        self.counts.get(job).copied().unwrap_or_default()
    }
    pub fn fleet(&self) -> ProvisioningRecord {
        self.fleet
            .get(&())
            .map_or(ProvisioningRecord::default(), |(f, _)| f.clone())
    }
    pub fn machine_types(&self) -> Option<&MachineTypesRecord> {
        self.machine_types.get(&()).map(|(t, _)| t)
    }
    pub fn term(&self) -> Option<u64> {
        self.term.get(&()).map(|(t, _)| t.term)
    }

    /// The version of the configuration on record, and its revision.
    pub fn configuration(&self) -> Option<(&ConfigurationVersionRecord, u64)> {
        self.configuration
            .get(&())
            .map(|(r, mod_revision)| (r, *mod_revision))
    }
    pub fn configuration_page(&self, version: u64, n: u32) -> Option<&ConfigurationPageRecord> {
        self.configuration_pages.get(&(version, n)).map(|(r, _)| r)
    }
    /// Pages of all versions.
    pub fn configuration_pages(&self) -> usize {
        self.configuration_pages.len()
    }
    pub fn is_configurable(&self) -> bool {
        !self.configurable.is_empty()
    }
    /// The version of the configuration that a controller follows, as it has said on record.
    pub fn followed_by(&self, controller: &String) -> Option<u64> {
        self.following.get(controller).map(|(r, _)| r.version)
    }

    /// Tasks assigned to a machine.
    pub fn assignments(&self, machine: &str) -> impl Iterator<Item = (&TaskId, &Placed)> {
        self.held.get(machine).into_iter().flat_map(|h| &h.tasks)
    }
    pub fn assignment(&self, machine: &str, task: &TaskId) -> Option<&Placed> {
        self.held.get(machine)?.tasks.get(task)
    }
    /// The assignment of one attempt of a task, wherever it stands.
    pub fn attempt(&self, task: &TaskId, attempt: u64) -> Option<&Assignment> {
        let n = self.job(&task.job)?.chunk_of(task.index);
        let assignment = self.chunk(&task.job, n)?.assignment(task.index);
        assignment.filter(|b| b.attempt == attempt)
    }
    pub fn assigned_tasks(&self, machine: &str) -> usize {
        self.held.get(machine).map_or(0, |h| h.tasks.len())
    }
    /// Room taken on a machine.
    pub fn used(&self, machine: &str) -> Resources {
        self.held
            .get(machine)
            .map_or(Resources::default(), |h| h.used)
    }
    pub fn usage(&self, team: &str) -> TeamRecord {
        self.usage.get(team).cloned().unwrap_or_default()
    }
    pub fn has_image(&self, machine: &str, image: &str) -> bool {
        self.image_id(image)
            .is_some_and(|id| self.images_of(machine).iter().any(|(i, _)| *i == id))
    }
    pub fn image_id(&self, image: &str) -> Option<u32> {
        self.image_ids.get(image).copied()
    }
    /// Images that a machine has had, by their numbers, with their size in GB.
    pub fn images_of(&self, machine: &str) -> &[(u32, f64)] {
        self.images.get(machine).map_or(&[], |list| list)
    }

    /// All that is remembered of images: machine, then images with their size, latest last.
    pub fn image_hints(&self) -> Vec<(String, Vec<(String, f64)>)> {
        let names: HashMap<u32, &String> = self.image_ids.iter().map(|(n, id)| (*id, n)).collect();
        let named = |(id, gb): &(u32, f64)| Some(((*names.get(id)?).clone(), *gb));
        self.images
            .iter()
            .map(|(machine, list)| (machine.clone(), list.iter().filter_map(named).collect()))
            .collect()
    }
    /// Takes up what a peer remembers of images; what is known here is later.
    pub fn take_hints(&mut self, hints: &[(String, Vec<(String, f64)>)]) {
        for (machine, list) in hints {
            if !self.machines.contains_key(machine) {
                continue;
            }
            let own = self.images.remove(machine).unwrap_or_default();
            let mut merged: Vec<(u32, f64)> = Vec::new();
            for (image, gb) in list.iter().take(MACHINE_IMAGES) {
                if let Some(id) = self.image_number(image) {
                    merged.push((id, *gb));
                }
            }
            merged.retain(|(id, _)| !own.iter().any(|(i, _)| i == id));
            merged.extend(own);
            let over = merged.len().saturating_sub(MACHINE_IMAGES);
            self.images.insert(machine.clone(), merged.split_off(over));
        }
    }
    fn image_number(&mut self, image: &str) -> Option<u32> {
        let next = self.image_ids.len();
        match self.image_ids.get(image) {
            Some(id) => Some(*id),
            None if next < IMAGES_KNOWN => {
                self.image_ids.insert(image.to_string(), next as u32);
                Some(next as u32)
            }
            None => None,
        }
    }

    fn note_image(&mut self, machine: &str, job: &str) {
        let spec = self.jobs.get(job).and_then(|(j, _)| j.spec.as_ref());
        let Some((image, gb)) = spec.map(|s| (s.image.clone(), s.image_gb)) else {
            return;
        };
        let room = self
            .machines
            .get(machine)
            .and_then(|(m, _)| self.cache_gb.get(&m.type_name))
            .copied()
            .unwrap_or(f64::INFINITY);
        let Some(id) = self.image_number(&image) else {
            return;
        };
        let images = self.images.entry(machine.to_string()).or_default();
        images.retain(|(i, _)| *i != id);
        images.push((id, gb));
        while images.len() > 1
            && (images.len() > MACHINE_IMAGES
                || images.iter().map(|(_, gb)| gb).sum::<f64>() > room)
        {
            images.remove(0);
        }
    }

    /// Keeps what is gathered from chunks in step with one that changed.
    fn gather(&mut self, job: &str, old: Option<ChunkRecord>, new: Option<ChunkRecord>) {
        let counts = self.counts.entry(job.to_string()).or_default();
        for (chunk, add) in [(&old, false), (&new, true)] {
            let Some(chunk) = chunk else { continue };
            let assigned = chunk.assigned().count() as u32;
            let done = chunk.done();
            if add {
                counts.assigned += assigned;
                counts.done += done;
            } else {
                counts.assigned = counts.assigned.saturating_sub(assigned);
                counts.done = counts.done.saturating_sub(done);
            }
        }
        if !self.chunks.contains_key(job) {
            self.counts.remove(job);
        }
        let assignment = |chunk: &Option<ChunkRecord>, index| {
            chunk.as_ref().and_then(|c| c.assignment(index)).cloned()
        };
        for (index, b) in old.iter().flat_map(|c| c.assigned()) {
            if assignment(&new, index).as_ref() != Some(b) {
                let resources = old.as_ref().map_or(Resources::default(), |c| c.resources);
                let task = TaskId {
                    job: job.to_string(),
                    index,
                };
                if let Some(holding) = self.held.get_mut(&b.machine) {
                    holding.tasks.remove(&task);
                    holding.used = holding.used.less(&resources);
                    if holding.tasks.is_empty() {
                        self.held.remove(&b.machine);
                    }
                }
                let team = old.as_ref().map_or("", |c| c.team.as_str());
                if let Some(usage) = self.usage.get_mut(team) {
                    usage.cpus = usage.cpus.saturating_sub(resources.cpus);
                    usage.gpus = usage.gpus.saturating_sub(resources.gpus);
                }
            }
        }
        let Some(chunk) = &new else { return };
        for (index, b) in chunk.assigned() {
            if assignment(&old, index).as_ref() != Some(b) {
                let task = TaskId {
                    job: job.to_string(),
                    index,
                };
                let resources = chunk.resources;
                let holding = self.held.entry(b.machine.clone()).or_default();
                holding.used = holding.used.plus(&resources);
                holding.tasks.insert(
                    task,
                    Placed {
                        assignment: b.clone(),
                        resources,
                    },
                );
                let usage = self.usage.entry(chunk.team.clone()).or_default();
                usage.cpus = usage.cpus.saturating_add(resources.cpus);
                usage.gpus = usage.gpus.saturating_add(resources.gpus);
                self.note_image(&b.machine, job);
            }
        }
    }

    /// Takes up a record unless a later state of it is known already.
    pub fn put(&mut self, key: Key, mod_revision: u64, record: Record) {
        match (key, record) {
            (Key::Term, Record::Term(r)) => {
                keep(&mut self.term, (), r, mod_revision);
            }
            (Key::MachineTypes, Record::MachineTypes(r)) => {
                keep(&mut self.machine_types, (), r, mod_revision);
            }
            (Key::Provisioning, Record::Provisioning(r)) => {
                keep(&mut self.fleet, (), r, mod_revision);
            }
            (Key::Job(id), Record::Job(r)) => {
                let open = r.open().is_some();
                let dependency = self
                    .open_job(&id)
                    .map_or(Vec::new(), |s| s.dependencies.clone());
                if keep(&mut self.jobs, id.clone(), r, mod_revision) {
                    self.job_changed(&id, dependency);
                    match open {
                        true => self.open.insert(id),
                        false => self.open.remove(&id),
                    };
                }
            }
            (Key::Chunk(id, n), Record::Chunk(r)) => {
                let chunks = self.chunks.entry(id.clone()).or_default();
                if chunks.get(&n).is_some_and(|(_, s)| *s >= mod_revision) {
                    return;
                }
                let old = chunks.insert(n, (r.clone(), mod_revision)).map(|(c, _)| c);
                self.gather(&id, old, Some(r));
                self.note_waiting(&id);
            }
            (Key::ZoneSpread(id), Record::ZoneSpread(r)) => {
                keep(&mut self.places, id, r, mod_revision);
            }
            (Key::Machine(id), Record::Machine(r)) => {
                keep(&mut self.machines, id, r, mod_revision);
            }
            (Key::Team(id), Record::Team(r)) => {
                keep(&mut self.teams, id, r, mod_revision);
            }
            (Key::InstanceRequest(n), Record::InstanceRequest(r)) => {
                keep(&mut self.instance_requests, n, r, mod_revision);
            }
            (Key::Format(controller), Record::Format(r)) => {
                keep(&mut self.formats, controller, r, mod_revision);
                // What was too large in the old format may fit in the new one.
                self.retry_refused();
            }
            (Key::CancellationConfirmation, Record::CancellationConfirmation(r)) => {
                keep(&mut self.settled, (), r, mod_revision);
            }
            (Key::RunTimes(class), Record::RunTimes(r)) => {
                keep(&mut self.runs, class, r, mod_revision);
            }
            (Key::Configuration, Record::Configuration(r)) => {
                keep(&mut self.configuration, (), r, mod_revision);
            }
            (Key::ConfigurationPage(version, n), Record::ConfigurationPage(r)) => {
                keep(&mut self.configuration_pages, (version, n), r, mod_revision);
            }
            (Key::ConfigurationEnabled, Record::ConfigurationEnabled(r)) => {
                keep(&mut self.configurable, (), r, mod_revision);
            }
            (Key::ObservedVersion(controller), Record::ObservedVersion(r)) => {
                keep(&mut self.following, controller, r, mod_revision);
            }
            _ => {}
        }
    }
    pub fn remove(&mut self, key: &Key, mod_revision: u64) {
        match key {
            Key::Term => drop_older(&mut self.term, &(), mod_revision),
            Key::MachineTypes => drop_older(&mut self.machine_types, &(), mod_revision),
            Key::Provisioning => drop_older(&mut self.fleet, &(), mod_revision),
            Key::Job(id) => {
                let dependency = self
                    .open_job(id)
                    .map_or(Vec::new(), |s| s.dependencies.clone());
                drop_older(&mut self.jobs, id, mod_revision);
                if !self.jobs.contains_key(id) {
                    self.open.remove(id);
                    self.job_changed(id, dependency);
                }
            }
            Key::Chunk(id, n) => {
                let Some(chunks) = self.chunks.get_mut(id) else {
                    return;
                };
                if chunks.get(n).is_some_and(|(_, s)| *s < mod_revision) {
                    let old = chunks.remove(n).map(|(c, _)| c);
                    if chunks.is_empty() {
                        self.chunks.remove(id);
                    }
                    self.gather(id, old, None);
                    self.note_waiting(id);
                }
            }
            Key::ZoneSpread(id) => drop_older(&mut self.places, id, mod_revision),
            Key::Machine(id) => {
                drop_older(&mut self.machines, id, mod_revision);
                if !self.machines.contains_key(id) {
                    self.images.remove(id);
                }
            }
            Key::Team(id) => drop_older(&mut self.teams, id, mod_revision),
            Key::InstanceRequest(n) => drop_older(&mut self.instance_requests, n, mod_revision),
            Key::Format(controller) => drop_older(&mut self.formats, controller, mod_revision),
            Key::CancellationConfirmation => drop_older(&mut self.settled, &(), mod_revision),
            Key::RunTimes(class) => drop_older(&mut self.runs, class, mod_revision),
            Key::Configuration => drop_older(&mut self.configuration, &(), mod_revision),
            Key::ConfigurationPage(version, n) => {
                drop_older(&mut self.configuration_pages, &(*version, *n), mod_revision)
            }
            Key::ConfigurationEnabled => drop_older(&mut self.configurable, &(), mod_revision),
            Key::ObservedVersion(controller) => {
                drop_older(&mut self.following, controller, mod_revision)
            }
        }
    }
    fn keys(&self) -> Vec<Key> {
        let term = self.term.keys().map(|_| Key::Term);
        let machine_types = self.machine_types.keys().map(|_| Key::MachineTypes);
        let fleet = self.fleet.keys().map(|_| Key::Provisioning);
        let chunks = self.chunks.iter();
        let chunks = chunks.flat_map(|(id, c)| c.keys().map(|n| Key::Chunk(id.clone(), *n)));
        term.chain(machine_types)
            .chain(fleet)
            .chain(chunks)
            .chain(self.jobs.keys().cloned().map(Key::Job))
            .chain(self.places.keys().cloned().map(Key::ZoneSpread))
            .chain(self.machines.keys().cloned().map(Key::Machine))
            .chain(self.teams.keys().cloned().map(Key::Team))
            .chain(
                self.instance_requests
                    .keys()
                    .copied()
                    .map(Key::InstanceRequest),
            )
            .chain(self.formats.keys().cloned().map(Key::Format))
            .chain(self.settled.keys().map(|_| Key::CancellationConfirmation))
            .chain(self.runs.keys().copied().map(Key::RunTimes))
            .chain(self.configuration.keys().map(|_| Key::Configuration))
            .chain((self.configuration_pages.keys()).map(|(v, n)| Key::ConfigurationPage(*v, *n)))
            .chain(self.configurable.keys().map(|_| Key::ConfigurationEnabled))
            .chain(self.following.keys().cloned().map(Key::ObservedVersion))
            .collect()
    }
    /// After a full reading that began at `revision`: what it did not hold is gone, unless it
    /// was written later.
    pub fn retain_listed(&mut self, listed: &BTreeSet<Key>, revision: u64) {
        for key in self.keys() {
            if !listed.contains(&key) {
                self.remove(&key, revision + 1);
            }
        }
    }
    pub fn len(&self) -> usize {
        self.keys().len()
    }
    pub fn is_empty(&self) -> bool {
        self.keys().is_empty()
    }
}
