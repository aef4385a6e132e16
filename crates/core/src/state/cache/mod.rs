//! A controller's copy of the shared records, and what is gathered from them.

mod assignments;
mod images;
mod jobs;
mod refused;
mod tables;

pub use assignments::{Counts, Placed};

use crate::configuration::{
    ConfigurationEnabledRecord, ConfigurationPageRecord, ConfigurationVersionRecord,
    ObservedVersionRecord,
};
use crate::state::dependents::Dependents;
use crate::state::formats::{self, FormatRecord};
use crate::state::{
    CancellationConfirmationRecord, ChunkRecord, InstanceRequestRecord, JobRecord, Key,
    MachineRecord, MachineTypesRecord, ProvisioningRecord, RunTimesRecord, TeamRecord, TermRecord,
    ZoneSpreadRecord,
};
use foldhash::HashMap;
use std::collections::{BTreeMap, BTreeSet};

/// A record and the revision of its latest change.
type Table<K, R> = BTreeMap<K, (R, u64)>;

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
    held: HashMap<String, assignments::Holding>,
    usage: BTreeMap<String, TeamRecord>,
    /// Images each machine has had, latest last, with their size in GB. Only a hint: it is
    /// not kept in the records, where it would cost a put for each.
    images: HashMap<String, Vec<(u32, f64)>>,
    /// Numbers that stand for images in that list.
    image_ids: HashMap<String, u32>,
    /// Room for images per type, in GB.
    pub cache_gb: HashMap<String, f64>,
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
}
