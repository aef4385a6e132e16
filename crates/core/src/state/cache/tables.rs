//! Records by key: reading, writing and removing them in the cache, whatever their kind.

use super::{StateCache, Table};
use crate::state::{Key, Record};
use std::collections::BTreeSet;

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

impl StateCache {
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
