//! A node's copy of the shared records, and what is gathered from them.

use super::dependents::Dependents;
use super::{
    Booking, ChunkRecord, FleetRecord, HireRecord, JobRecord, Key, MachineRecord, Phase,
    PlaceRecord, Record, RunsRecord, SettledRecord, TeamRecord, TermRecord, TypesRecord,
};
use crate::configuration::{ConfigurableRecord, FollowingRecord, PageRecord, VersionRecord};
use crate::constants::*;
use crate::model::*;
use crate::state::formats::{self, FormatRecord};
use foldhash::HashMap;
use std::collections::{BTreeMap, BTreeSet};

/// A record and the revision of its latest change.
type Table<K, R> = BTreeMap<K, (R, u64)>;

/// What a machine holds, gathered from the chunks.
#[derive(Debug, Default)]
struct Holding {
    tasks: BTreeMap<TaskId, Placed>,
    used: Room,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Placed {
    pub booking: Booking,
    pub need: Room,
}

/// Tasks of a job by state, gathered from its chunks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub booked: u32,
    pub done: u32,
}

/// This node's copy of the records, with the revision up to which it is complete, and what
/// is looked up in them often.
#[derive(Debug, Default)]
pub struct Cache {
    term: Table<(), TermRecord>,
    types: Table<(), TypesRecord>,
    fleet: Table<(), FleetRecord>,
    jobs: Table<String, JobRecord>,
    chunks: BTreeMap<String, Table<u32, ChunkRecord>>,
    places: Table<String, PlaceRecord>,
    machines: Table<String, MachineRecord>,
    teams: Table<String, TeamRecord>,
    hires: Table<u64, HireRecord>,
    formats: Table<String, FormatRecord>,
    settled: Table<(), SettledRecord>,
    runs: Table<u64, RunsRecord>,
    configuration: Table<(), VersionRecord>,
    configuration_pages: Table<(u64, u32), PageRecord>,
    configurable: Table<(), ConfigurableRecord>,
    following: Table<String, FollowingRecord>,
    /// Names of all nodes, as the settings have them.
    pub members: Vec<String>,
    /// Records that the state service refused to take as large as they would have become, and the
    /// revision that this was tried on.
    barred: BTreeMap<Key, u64>,
    pub epoch: u64,
    // Gathered
    open: BTreeSet<String>,
    /// Open jobs with tasks that are neither done nor booked.
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

fn keep<K: Ord, R>(table: &mut Table<K, R>, key: K, record: R, stamp: u64) -> bool {
    if table.get(&key).is_some_and(|(_, s)| *s >= stamp) {
        return false;
    }
    table.insert(key, (record, stamp));
    true
}

fn drop_older<K: Ord, R>(table: &mut Table<K, R>, key: &K, stamp: u64) {
    if table.get(key).is_some_and(|(_, s)| *s < stamp) {
        table.remove(key);
    }
}

macro_rules! accessors {
    ($one:ident, $all:ident, $table:ident, $record:ty, $key:ty) => {
        pub fn $one(&self, key: &$key) -> Option<&$record> {
            self.$table.get(key).map(|(r, _)| r)
        }
        pub fn $all(&self) -> impl Iterator<Item = (&$key, &$record, u64)> {
            self.$table.iter().map(|(k, (r, stamp))| {
                let k: &$key = k;
                (k, r, *stamp)
            })
        }
    };
}

impl Cache {
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
        let waits = job.is_some_and(|j| counts.booked + counts.done < j.tasks);
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
    accessors!(place, places, places, PlaceRecord, str);
    accessors!(hire, hires, hires, HireRecord, u64);
    accessors!(class_runs, all_runs, runs, RunsRecord, u64);

    /// Whether an open job awaits one that is not done on record. `Done` is final, so what is
    /// found not to be blocked never is again.
    pub fn blocked(&self, id: &str) -> bool {
        let done = |a: &String| self.job(a).is_some_and(|j| j.phase == Phase::Done);
        self.open_job(id)
            .is_some_and(|s| !s.awaits.iter().all(done))
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
            for awaited in self.open_job(id).iter().flat_map(|s| &s.awaits) {
                match self.job(awaited).map(|j| j.phase) {
                    Some(Phase::Cancelled) if !self.ending(awaited) => return true,
                    Some(Phase::Open) if seen.insert(awaited) => next.push(awaited),
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
        let (stamp, settled) = (self.job_stamp(id), self.stamp(&Key::Settled));
        let cancelled = self.job(id).is_some_and(|j| j.phase == Phase::Cancelled);
        cancelled
            && settled > 0
            && stamp > settled
            && (self.epoch < stamp || self.counts(id).booked > 0)
    }
    pub fn dependents(&self) -> &Dependents {
        &self.dependents
    }
    /// From when on a job's tasks could start: its acceptance, or the end of the last job that it
    /// awaits. The same for every node.
    pub fn ready_at(&self, job: &JobRecord) -> WallMs {
        let awaits = job.spec.iter().flat_map(|s| &s.awaits);
        let ends = awaits.filter_map(|a| self.job(a).map(|j| j.ended));
        ends.fold(job.at, WallMs::max)
    }
    /// Keeps what depends on a job's phase in step with a record that changed.
    fn job_changed(&mut self, id: &str, awaited: Vec<String>) {
        let spec = self.job(id).and_then(|j| j.open());
        let awaits = spec.map_or(Vec::new(), |s| s.awaits.clone());
        let phase = self.job(id).map(|j| j.phase);
        let cancelled = |a: &String| {
            let phase = self.jobs.get(a).map(|(j, _)| j.phase);
            phase == Some(Phase::Cancelled) || self.dependents.doomed().contains(a)
        };
        let dooms = awaits.iter().any(cancelled);
        self.dependents.link(id, &awaited, &awaits);
        self.note_waiting(id);
        match phase {
            Some(Phase::Cancelled) => self.dependents.cancelled(id),
            _ if dooms => self.dependents.doom(id),
            _ => {}
        }
        for dependent in self.dependents.of(id) {
            self.note_waiting(&dependent);
        }
    }

    /// The latest format that every node reads.
    pub fn format(&self) -> u32 {
        let of = |node| self.format_of(node);
        let common = self.members.iter().map(of).min();
        common.unwrap_or(formats::OLDEST).min(formats::LATEST)
    }
    /// The latest format that a node reads, as far as it has said so.
    pub fn format_of(&self, node: &String) -> u32 {
        let row = self.formats.get(node);
        row.map_or(formats::OLDEST, |(f, _)| f.version)
    }
    /// A record is not to be written again as it stands now.
    pub fn bar(&mut self, key: Key) {
        let stamp = self.stamp(&key);
        let mut barred = std::mem::take(&mut self.barred);
        barred.retain(|key, at| *at == self.stamp(key));
        self.barred = barred;
        if self.barred.len() < BARRED_KEPT {
            self.barred.insert(key, stamp);
        }
    }
    /// Refused records are tried once more: the limits may have been raised.
    pub fn unbar(&mut self) {
        self.barred.clear();
    }
    /// Whether that holds: once somebody has changed it, it is tried again.
    pub fn barred(&self, key: &Key) -> bool {
        let at = self.barred.get(key);
        at.is_some_and(|at| *at == self.stamp(key))
    }

    pub fn stamp(&self, key: &Key) -> u64 {
        fn of<R>(row: Option<&(R, u64)>) -> u64 {
            row.map_or(0, |(_, stamp)| *stamp)
        }
        match key {
            Key::Term => of(self.term.get(&())),
            Key::Types => of(self.types.get(&())),
            Key::Fleet => of(self.fleet.get(&())),
            Key::Job(id) => of(self.jobs.get(id)),
            Key::Chunk(id, n) => self.chunk_stamp(id, *n),
            Key::Place(id) => of(self.places.get(id)),
            Key::Machine(id) => of(self.machines.get(id)),
            Key::Team(id) => of(self.teams.get(id)),
            Key::Hire(n) => of(self.hires.get(n)),
            Key::Format(node) => of(self.formats.get(node)),
            Key::Settled => of(self.settled.get(&())),
            Key::Runs(class) => of(self.runs.get(class)),
            Key::Configuration => of(self.configuration.get(&())),
            Key::ConfigurationPage(version, n) => of(self.configuration_pages.get(&(*version, *n))),
            Key::Configurable => of(self.configurable.get(&())),
            Key::Following(node) => of(self.following.get(node)),
        }
    }
    pub fn get(&self, key: &Key) -> Option<Record> {
        Some(match key {
            Key::Term => Record::Term(self.term.get(&())?.0.clone()),
            Key::Types => Record::Types(self.types.get(&())?.0.clone()),
            Key::Fleet => Record::Fleet(self.fleet.get(&())?.0.clone()),
            Key::Job(id) => Record::Job(self.job(id)?.clone()),
            Key::Chunk(id, n) => Record::Chunk(self.chunk(id, *n)?.clone()),
            Key::Place(id) => Record::Place(self.place(id)?.clone()),
            Key::Machine(id) => Record::Machine(self.machine(id)?.clone()),
            Key::Team(id) => Record::Team(self.teams.get(id)?.0.clone()),
            Key::Hire(n) => Record::Hire(self.hire(n)?.clone()),
            Key::Format(node) => Record::Format(self.formats.get(node)?.0.clone()),
            Key::Settled => Record::Settled(self.settled.get(&())?.0.clone()),
            Key::Runs(class) => Record::Runs(self.class_runs(class)?.clone()),
            Key::Configuration => Record::Configuration(self.configuration()?.0.clone()),
            Key::ConfigurationPage(version, n) => {
                Record::ConfigurationPage(self.configuration_page(*version, *n)?.clone())
            }
            Key::Configurable => Record::Configurable(self.configurable.get(&())?.0.clone()),
            Key::Following(node) => Record::Following(self.following.get(node)?.0.clone()),
        })
    }
    pub fn job_stamp(&self, id: &str) -> u64 {
        self.jobs.get(id).map_or(0, |(_, stamp)| *stamp)
    }
    pub fn chunk(&self, job: &str, n: u32) -> Option<&ChunkRecord> {
        self.chunks.get(job)?.get(&n).map(|(c, _)| c)
    }
    pub fn chunk_stamp(&self, job: &str, n: u32) -> u64 {
        let row = self.chunks.get(job).and_then(|c| c.get(&n));
        row.map_or(0, |(_, stamp)| *stamp)
    }
    /// The revision that a claim in this chunk is conditional on, and its attempt. A chunk that
    /// is not on record yet has none; its job's serves once, and lies below all that follow.
    pub fn claim_stamp(&self, job: &str, n: u32) -> u64 {
        match self.chunk_stamp(job, n) {
            0 => self.job_stamp(job),
            stamp => stamp,
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
    pub fn fleet(&self) -> FleetRecord {
        self.fleet
            .get(&())
            .map_or(FleetRecord::default(), |(f, _)| f.clone())
    }
    pub fn types(&self) -> Option<&TypesRecord> {
        self.types.get(&()).map(|(t, _)| t)
    }
    pub fn term(&self) -> Option<u64> {
        self.term.get(&()).map(|(t, _)| t.term)
    }

    /// The version of the configuration on record, and its revision.
    pub fn configuration(&self) -> Option<(&VersionRecord, u64)> {
        self.configuration.get(&()).map(|(r, stamp)| (r, *stamp))
    }
    pub fn configuration_page(&self, version: u64, n: u32) -> Option<&PageRecord> {
        self.configuration_pages.get(&(version, n)).map(|(r, _)| r)
    }
    /// Pages of all versions.
    pub fn configuration_pages(&self) -> usize {
        self.configuration_pages.len()
    }
    pub fn is_configurable(&self) -> bool {
        !self.configurable.is_empty()
    }
    /// The version of the configuration that a node follows, as it has said on record.
    pub fn followed_by(&self, node: &String) -> Option<u64> {
        self.following.get(node).map(|(r, _)| r.version)
    }

    /// Tasks booked on a machine.
    pub fn bookings(&self, machine: &str) -> impl Iterator<Item = (&TaskId, &Placed)> {
        self.held.get(machine).into_iter().flat_map(|h| &h.tasks)
    }
    pub fn booking(&self, machine: &str, task: &TaskId) -> Option<&Placed> {
        self.held.get(machine)?.tasks.get(task)
    }
    /// The booking of one attempt of a task, wherever it stands.
    pub fn attempt(&self, task: &TaskId, attempt: u64) -> Option<&Booking> {
        let n = self.job(&task.job)?.chunk_of(task.index);
        let booking = self.chunk(&task.job, n)?.booking(task.index);
        booking.filter(|b| b.attempt == attempt)
    }
    pub fn booked_tasks(&self, machine: &str) -> usize {
        self.held.get(machine).map_or(0, |h| h.tasks.len())
    }
    /// Room taken on a machine.
    pub fn used(&self, machine: &str) -> Room {
        self.held.get(machine).map_or(Room::default(), |h| h.used)
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
    /// Takes up what a sibling remembers of images; what is known here is later.
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
            let booked = chunk.booked().count() as u32;
            let done = chunk.done();
            if add {
                counts.booked += booked;
                counts.done += done;
            } else {
                counts.booked = counts.booked.saturating_sub(booked);
                counts.done = counts.done.saturating_sub(done);
            }
        }
        if !self.chunks.contains_key(job) {
            self.counts.remove(job);
        }
        let booking = |chunk: &Option<ChunkRecord>, index| {
            chunk.as_ref().and_then(|c| c.booking(index)).cloned()
        };
        for (index, b) in old.iter().flat_map(|c| c.booked()) {
            if booking(&new, index).as_ref() != Some(b) {
                let need = old.as_ref().map_or(Room::default(), |c| c.need);
                let task = TaskId {
                    job: job.to_string(),
                    index,
                };
                if let Some(holding) = self.held.get_mut(&b.machine) {
                    holding.tasks.remove(&task);
                    holding.used = holding.used.less(&need);
                    if holding.tasks.is_empty() {
                        self.held.remove(&b.machine);
                    }
                }
                let team = old.as_ref().map_or("", |c| c.team.as_str());
                if let Some(usage) = self.usage.get_mut(team) {
                    usage.cpus = usage.cpus.saturating_sub(need.cpus);
                    usage.gpus = usage.gpus.saturating_sub(need.gpus);
                }
            }
        }
        let Some(chunk) = &new else { return };
        for (index, b) in chunk.booked() {
            if booking(&old, index).as_ref() != Some(b) {
                let task = TaskId {
                    job: job.to_string(),
                    index,
                };
                let need = chunk.need;
                let holding = self.held.entry(b.machine.clone()).or_default();
                holding.used = holding.used.plus(&need);
                holding.tasks.insert(
                    task,
                    Placed {
                        booking: b.clone(),
                        need,
                    },
                );
                let usage = self.usage.entry(chunk.team.clone()).or_default();
                usage.cpus = usage.cpus.saturating_add(need.cpus);
                usage.gpus = usage.gpus.saturating_add(need.gpus);
                self.note_image(&b.machine, job);
            }
        }
    }

    /// Takes up a record unless a later state of it is known already.
    pub fn put(&mut self, key: Key, stamp: u64, record: Record) {
        match (key, record) {
            (Key::Term, Record::Term(r)) => {
                keep(&mut self.term, (), r, stamp);
            }
            (Key::Types, Record::Types(r)) => {
                keep(&mut self.types, (), r, stamp);
            }
            (Key::Fleet, Record::Fleet(r)) => {
                keep(&mut self.fleet, (), r, stamp);
            }
            (Key::Job(id), Record::Job(r)) => {
                let open = r.open().is_some();
                let awaited = self.open_job(&id).map_or(Vec::new(), |s| s.awaits.clone());
                if keep(&mut self.jobs, id.clone(), r, stamp) {
                    self.job_changed(&id, awaited);
                    match open {
                        true => self.open.insert(id),
                        false => self.open.remove(&id),
                    };
                }
            }
            (Key::Chunk(id, n), Record::Chunk(r)) => {
                let chunks = self.chunks.entry(id.clone()).or_default();
                if chunks.get(&n).is_some_and(|(_, s)| *s >= stamp) {
                    return;
                }
                let old = chunks.insert(n, (r.clone(), stamp)).map(|(c, _)| c);
                self.gather(&id, old, Some(r));
                self.note_waiting(&id);
            }
            (Key::Place(id), Record::Place(r)) => {
                keep(&mut self.places, id, r, stamp);
            }
            (Key::Machine(id), Record::Machine(r)) => {
                keep(&mut self.machines, id, r, stamp);
            }
            (Key::Team(id), Record::Team(r)) => {
                keep(&mut self.teams, id, r, stamp);
            }
            (Key::Hire(n), Record::Hire(r)) => {
                keep(&mut self.hires, n, r, stamp);
            }
            (Key::Format(node), Record::Format(r)) => {
                keep(&mut self.formats, node, r, stamp);
                // What was too large in the old format may fit in the new one.
                self.unbar();
            }
            (Key::Settled, Record::Settled(r)) => {
                keep(&mut self.settled, (), r, stamp);
            }
            (Key::Runs(class), Record::Runs(r)) => {
                keep(&mut self.runs, class, r, stamp);
            }
            (Key::Configuration, Record::Configuration(r)) => {
                keep(&mut self.configuration, (), r, stamp);
            }
            (Key::ConfigurationPage(version, n), Record::ConfigurationPage(r)) => {
                keep(&mut self.configuration_pages, (version, n), r, stamp);
            }
            (Key::Configurable, Record::Configurable(r)) => {
                keep(&mut self.configurable, (), r, stamp);
            }
            (Key::Following(node), Record::Following(r)) => {
                keep(&mut self.following, node, r, stamp);
            }
            _ => {}
        }
    }
    pub fn remove(&mut self, key: &Key, stamp: u64) {
        match key {
            Key::Term => drop_older(&mut self.term, &(), stamp),
            Key::Types => drop_older(&mut self.types, &(), stamp),
            Key::Fleet => drop_older(&mut self.fleet, &(), stamp),
            Key::Job(id) => {
                let awaited = self.open_job(id).map_or(Vec::new(), |s| s.awaits.clone());
                drop_older(&mut self.jobs, id, stamp);
                if !self.jobs.contains_key(id) {
                    self.open.remove(id);
                    self.job_changed(id, awaited);
                }
            }
            Key::Chunk(id, n) => {
                let Some(chunks) = self.chunks.get_mut(id) else {
                    return;
                };
                if chunks.get(n).is_some_and(|(_, s)| *s < stamp) {
                    let old = chunks.remove(n).map(|(c, _)| c);
                    if chunks.is_empty() {
                        self.chunks.remove(id);
                    }
                    self.gather(id, old, None);
                    self.note_waiting(id);
                }
            }
            Key::Place(id) => drop_older(&mut self.places, id, stamp),
            Key::Machine(id) => {
                drop_older(&mut self.machines, id, stamp);
                if !self.machines.contains_key(id) {
                    self.images.remove(id);
                }
            }
            Key::Team(id) => drop_older(&mut self.teams, id, stamp),
            Key::Hire(n) => drop_older(&mut self.hires, n, stamp),
            Key::Format(node) => drop_older(&mut self.formats, node, stamp),
            Key::Settled => drop_older(&mut self.settled, &(), stamp),
            Key::Runs(class) => drop_older(&mut self.runs, class, stamp),
            Key::Configuration => drop_older(&mut self.configuration, &(), stamp),
            Key::ConfigurationPage(version, n) => {
                drop_older(&mut self.configuration_pages, &(*version, *n), stamp)
            }
            Key::Configurable => drop_older(&mut self.configurable, &(), stamp),
            Key::Following(node) => drop_older(&mut self.following, node, stamp),
        }
    }
    fn keys(&self) -> Vec<Key> {
        let term = self.term.keys().map(|_| Key::Term);
        let types = self.types.keys().map(|_| Key::Types);
        let fleet = self.fleet.keys().map(|_| Key::Fleet);
        let chunks = self.chunks.iter();
        let chunks = chunks.flat_map(|(id, c)| c.keys().map(|n| Key::Chunk(id.clone(), *n)));
        term.chain(types)
            .chain(fleet)
            .chain(chunks)
            .chain(self.jobs.keys().cloned().map(Key::Job))
            .chain(self.places.keys().cloned().map(Key::Place))
            .chain(self.machines.keys().cloned().map(Key::Machine))
            .chain(self.teams.keys().cloned().map(Key::Team))
            .chain(self.hires.keys().copied().map(Key::Hire))
            .chain(self.formats.keys().cloned().map(Key::Format))
            .chain(self.settled.keys().map(|_| Key::Settled))
            .chain(self.runs.keys().copied().map(Key::Runs))
            .chain(self.configuration.keys().map(|_| Key::Configuration))
            .chain((self.configuration_pages.keys()).map(|(v, n)| Key::ConfigurationPage(*v, *n)))
            .chain(self.configurable.keys().map(|_| Key::Configurable))
            .chain(self.following.keys().cloned().map(Key::Following))
            .collect()
    }
    /// After a full reading that began at `epoch`: what it did not hold is gone, unless it
    /// was written later.
    pub fn retain_listed(&mut self, listed: &BTreeSet<Key>, epoch: u64) {
        for key in self.keys() {
            if !listed.contains(&key) {
                self.remove(&key, epoch + 1);
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
