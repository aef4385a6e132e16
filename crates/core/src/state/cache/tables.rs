//! Reads, puts and removes records of any kind in the cache by their key.

use super::{StateCache, Table};
use crate::state::{Key, Record};
use std::collections::BTreeSet;

/// Puts a record unless the table has one of the same or a later revision. Returns whether it did.
fn put_newer<K: Ord, R>(table: &mut Table<K, R>, key: K, record: R, mod_revision: u64) -> bool {
    if table
        .get(&key)
        .is_some_and(|(_, cached_revision)| *cached_revision >= mod_revision)
    {
        return false;
    }
    table.insert(key, (record, mod_revision));
    true
}

/// Removes a record whose revision is lower than this one.
fn remove_older<K: Ord, R>(table: &mut Table<K, R>, key: &K, mod_revision: u64) {
    if table
        .get(key)
        .is_some_and(|(_, cached_revision)| *cached_revision < mod_revision)
    {
        table.remove(key);
    }
}

impl StateCache {
    /// Returns the revision of a record's latest change, or 0 without a record.
    pub fn mod_revision(&self, key: &Key) -> u64 {
        fn of<R>(row: Option<&(R, u64)>) -> u64 {
            row.map_or(0, |(_, mod_revision)| *mod_revision)
        }
        match key {
            Key::Term => of(self.term.get(&())),
            Key::MachineTypes => of(self.machine_types.get(&())),
            Key::Provisioning => of(self.provisioning.get(&())),
            Key::Job(id) => of(self.jobs.get(id)),
            Key::Chunk(id, n) => self.chunk_revision(id, *n),
            Key::ZoneSpread(id) => of(self.zone_spreads.get(id)),
            Key::Machine(id) => of(self.machines.get(id)),
            Key::Team(id) => of(self.teams.get(id)),
            Key::InstanceRequest(n) => of(self.instance_requests.get(n)),
            Key::Format(controller) => of(self.formats.get(controller)),
            Key::CancellationConfirmation => of(self.cancellation_confirmation.get(&())),
            Key::RunTimes(class) => of(self.run_times.get(class)),
            Key::Configuration => of(self.configuration.get(&())),
            Key::ConfigurationPage(version, n) => of(self.configuration_pages.get(&(*version, *n))),
            Key::ConfigurationEnabled => of(self.configuration_enabled.get(&())),
            Key::ObservedVersion(controller) => of(self.observed_versions.get(controller)),
        }
    }

    /// Returns a copy of a record.
    pub fn get(&self, key: &Key) -> Option<Record> {
        Some(match key {
            Key::Term => Record::Term(self.term.get(&())?.0.clone()),
            Key::MachineTypes => Record::MachineTypes(self.machine_types.get(&())?.0.clone()),
            Key::Provisioning => Record::Provisioning(self.provisioning.get(&())?.0.clone()),
            Key::Job(id) => Record::Job(self.job(id)?.clone()),
            Key::Chunk(id, n) => Record::Chunk(self.chunk(id, *n)?.clone()),
            Key::ZoneSpread(id) => Record::ZoneSpread(self.zone_spread(id)?.clone()),
            Key::Machine(id) => Record::Machine(self.machine(id)?.clone()),
            Key::Team(id) => Record::Team(self.teams.get(id)?.0.clone()),
            Key::InstanceRequest(n) => Record::InstanceRequest(self.instance_request(n)?.clone()),
            Key::Format(controller) => Record::Format(self.formats.get(controller)?.0.clone()),
            Key::CancellationConfirmation => {
                Record::CancellationConfirmation(self.cancellation_confirmation.get(&())?.0.clone())
            }
            Key::RunTimes(class) => Record::RunTimes(self.run_times(class)?.clone()),
            Key::Configuration => Record::Configuration(self.configuration()?.0.clone()),
            Key::ConfigurationPage(version, n) => {
                Record::ConfigurationPage(self.configuration_page(*version, *n)?.clone())
            }
            Key::ConfigurationEnabled => {
                Record::ConfigurationEnabled(self.configuration_enabled.get(&())?.0.clone())
            }
            Key::ObservedVersion(controller) => {
                Record::ObservedVersion(self.observed_versions.get(controller)?.0.clone())
            }
        })
    }

    /// Puts a record, unless the cache has the same or a later revision of it, and updates the
    /// indexes.
    pub fn put(&mut self, key: Key, mod_revision: u64, record: Record) {
        match (key, record) {
            (Key::Term, Record::Term(r)) => {
                put_newer(&mut self.term, (), r, mod_revision);
            }
            (Key::MachineTypes, Record::MachineTypes(r)) => {
                put_newer(&mut self.machine_types, (), r, mod_revision);
            }
            (Key::Provisioning, Record::Provisioning(r)) => {
                put_newer(&mut self.provisioning, (), r, mod_revision);
            }
            (Key::Job(id), Record::Job(r)) => {
                let is_open = r.open_spec().is_some();
                let dependencies = self
                    .open_job(&id)
                    .map_or(Vec::new(), |s| s.dependencies.clone());
                if put_newer(&mut self.jobs, id.clone(), r, mod_revision) {
                    self.job_changed(&id, dependencies);
                    match is_open {
                        true => self.open.insert(id),
                        false => self.open.remove(&id),
                    };
                }
            }
            (Key::Chunk(id, n), Record::Chunk(r)) => {
                let chunks = self.chunks.entry(id.clone()).or_default();
                if chunks
                    .get(&n)
                    .is_some_and(|(_, cached_revision)| *cached_revision >= mod_revision)
                {
                    return;
                }
                let old = chunks.insert(n, (r.clone(), mod_revision)).map(|(c, _)| c);
                self.update_assignments(&id, old.as_ref(), Some(&r));
                self.update_waiting(&id);
            }
            (Key::ZoneSpread(id), Record::ZoneSpread(r)) => {
                put_newer(&mut self.zone_spreads, id, r, mod_revision);
            }
            (Key::Machine(id), Record::Machine(r)) => {
                put_newer(&mut self.machines, id, r, mod_revision);
            }
            (Key::Team(id), Record::Team(r)) => {
                put_newer(&mut self.teams, id, r, mod_revision);
            }
            (Key::InstanceRequest(n), Record::InstanceRequest(r)) => {
                put_newer(&mut self.instance_requests, n, r, mod_revision);
            }
            (Key::Format(controller), Record::Format(r)) => {
                put_newer(&mut self.formats, controller, r, mod_revision);
                // A record that was too large in the old format may fit in the new one.
                self.retry_refused();
            }
            (Key::CancellationConfirmation, Record::CancellationConfirmation(r)) => {
                put_newer(&mut self.cancellation_confirmation, (), r, mod_revision);
            }
            (Key::RunTimes(class), Record::RunTimes(r)) => {
                put_newer(&mut self.run_times, class, r, mod_revision);
            }
            (Key::Configuration, Record::Configuration(r)) => {
                put_newer(&mut self.configuration, (), r, mod_revision);
            }
            (Key::ConfigurationPage(version, n), Record::ConfigurationPage(r)) => {
                put_newer(&mut self.configuration_pages, (version, n), r, mod_revision);
            }
            (Key::ConfigurationEnabled, Record::ConfigurationEnabled(r)) => {
                put_newer(&mut self.configuration_enabled, (), r, mod_revision);
            }
            (Key::ObservedVersion(controller), Record::ObservedVersion(r)) => {
                put_newer(&mut self.observed_versions, controller, r, mod_revision);
            }
            _ => {}
        }
    }

    /// Removes a record, unless the cache has the same or a later revision of it, and updates the
    /// indexes.
    pub fn remove(&mut self, key: &Key, mod_revision: u64) {
        match key {
            Key::Term => remove_older(&mut self.term, &(), mod_revision),
            Key::MachineTypes => remove_older(&mut self.machine_types, &(), mod_revision),
            Key::Provisioning => remove_older(&mut self.provisioning, &(), mod_revision),
            Key::Job(id) => {
                let dependencies = self
                    .open_job(id)
                    .map_or(Vec::new(), |s| s.dependencies.clone());
                remove_older(&mut self.jobs, id, mod_revision);
                if !self.jobs.contains_key(id) {
                    self.open.remove(id);
                    self.job_changed(id, dependencies);
                }
            }
            Key::Chunk(id, n) => {
                let Some(chunks) = self.chunks.get_mut(id) else {
                    return;
                };
                if chunks
                    .get(n)
                    .is_some_and(|(_, cached_revision)| *cached_revision < mod_revision)
                {
                    let old = chunks.remove(n).map(|(c, _)| c);
                    if chunks.is_empty() {
                        self.chunks.remove(id);
                    }
                    self.update_assignments(id, old.as_ref(), None);
                    self.update_waiting(id);
                }
            }
            Key::ZoneSpread(id) => remove_older(&mut self.zone_spreads, id, mod_revision),
            Key::Machine(id) => {
                remove_older(&mut self.machines, id, mod_revision);
                if !self.machines.contains_key(id) {
                    self.images.forget_machine(id);
                }
            }
            Key::Team(id) => remove_older(&mut self.teams, id, mod_revision),
            Key::InstanceRequest(n) => remove_older(&mut self.instance_requests, n, mod_revision),
            Key::Format(controller) => remove_older(&mut self.formats, controller, mod_revision),
            Key::CancellationConfirmation => {
                remove_older(&mut self.cancellation_confirmation, &(), mod_revision)
            }
            Key::RunTimes(class) => remove_older(&mut self.run_times, class, mod_revision),
            Key::Configuration => remove_older(&mut self.configuration, &(), mod_revision),
            Key::ConfigurationPage(version, n) => {
                remove_older(&mut self.configuration_pages, &(*version, *n), mod_revision)
            }
            Key::ConfigurationEnabled => {
                remove_older(&mut self.configuration_enabled, &(), mod_revision)
            }
            Key::ObservedVersion(controller) => {
                remove_older(&mut self.observed_versions, controller, mod_revision)
            }
        }
    }

    fn keys(&self) -> Vec<Key> {
        let term = self.term.keys().map(|_| Key::Term);
        let machine_types = self.machine_types.keys().map(|_| Key::MachineTypes);
        let provisioning = self.provisioning.keys().map(|_| Key::Provisioning);
        let chunks = self.chunks.iter();
        let chunks = chunks.flat_map(|(id, c)| c.keys().map(|n| Key::Chunk(id.clone(), *n)));
        term.chain(machine_types)
            .chain(provisioning)
            .chain(chunks)
            .chain(self.jobs.keys().cloned().map(Key::Job))
            .chain(self.zone_spreads.keys().cloned().map(Key::ZoneSpread))
            .chain(self.machines.keys().cloned().map(Key::Machine))
            .chain(self.teams.keys().cloned().map(Key::Team))
            .chain(
                self.instance_requests
                    .keys()
                    .copied()
                    .map(Key::InstanceRequest),
            )
            .chain(self.formats.keys().cloned().map(Key::Format))
            .chain(
                self.cancellation_confirmation
                    .keys()
                    .map(|_| Key::CancellationConfirmation),
            )
            .chain(self.run_times.keys().copied().map(Key::RunTimes))
            .chain(self.configuration.keys().map(|_| Key::Configuration))
            .chain((self.configuration_pages.keys()).map(|(v, n)| Key::ConfigurationPage(*v, *n)))
            .chain(
                self.configuration_enabled
                    .keys()
                    .map(|_| Key::ConfigurationEnabled),
            )
            .chain(
                self.observed_versions
                    .keys()
                    .cloned()
                    .map(Key::ObservedVersion),
            )
            .collect()
    }

    /// Removes the records that are absent from a list that began at `revision`, unless they were
    /// written after that revision.
    pub fn retain_listed(&mut self, listed: &BTreeSet<Key>, revision: u64) {
        for key in self.keys() {
            if !listed.contains(&key) {
                self.remove(&key, revision + 1);
            }
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.keys().len()
    }

    /// Returns whether the cache has no records.
    pub fn is_empty(&self) -> bool {
        self.keys().is_empty()
    }
}
