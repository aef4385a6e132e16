//! A controller's cache of the shared records, and the indexes derived from them.

mod assignments;
mod images;
mod jobs;
mod refused;
mod tables;

pub use assignments::{AssignedTask, TaskCounts};

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
use images::ImageHints;
use std::collections::{BTreeMap, BTreeSet};

/// Records of one kind by key, each with the revision of its latest change.
type Table<K, R> = BTreeMap<K, (R, u64)>;

/// A controller's cache of the shared records, complete up to a revision, with indexes derived from
/// them.
#[derive(Debug, Default)]
pub struct StateCache {
    term: Table<(), TermRecord>,
    machine_types: Table<(), MachineTypesRecord>,
    provisioning: Table<(), ProvisioningRecord>,
    jobs: Table<String, JobRecord>,
    chunks: BTreeMap<String, Table<u32, ChunkRecord>>,
    zone_spreads: Table<String, ZoneSpreadRecord>,
    machines: Table<String, MachineRecord>,
    teams: Table<String, TeamRecord>,
    instance_requests: Table<u64, InstanceRequestRecord>,
    formats: Table<String, FormatRecord>,
    cancellation_confirmation: Table<(), CancellationConfirmationRecord>,
    run_times: Table<u64, RunTimesRecord>,
    configuration: Table<(), ConfigurationVersionRecord>,
    configuration_pages: Table<(u64, u32), ConfigurationPageRecord>,
    configuration_enabled: Table<(), ConfigurationEnabledRecord>,
    observed_versions: Table<String, ObservedVersionRecord>,
    /// Names of all controllers, from the settings.
    pub members: Vec<String>,
    /// Records whose changed value the state store refused, most likely because of its size, each
    /// with its revision at that time.
    refused: BTreeMap<Key, u64>,
    /// The revision up to which the cache is complete.
    pub revision: u64,
    /// Ids of the open jobs.
    open: BTreeSet<String>,
    /// Ids of the open jobs that have pending tasks and no unfinished dependency.
    waiting: BTreeSet<String>,
    dependents: Dependents,
    /// Task counts of each job with chunks on record.
    counts: BTreeMap<String, TaskCounts>,
    /// Assignments of each machine that has any.
    assigned: HashMap<String, assignments::MachineAssignments>,
    /// Resources that the assignments of each team use.
    usage: BTreeMap<String, TeamRecord>,
    images: ImageHints,
    /// Space for images by machine type, in GB.
    pub image_cache_gb: HashMap<String, f64>,
}

/// Defines two accessors for a kind of record: one for a single record by key, and one for all
/// records with their revisions, in key order.
macro_rules! accessors {
    ($one:ident, $all:ident, $table:ident, $record:ty, $key:ty) => {
        /// Returns the record of this key.
        pub fn $one(&self, key: &$key) -> Option<&$record> {
            self.$table.get(key).map(|(r, _)| r)
        }
        /// Returns all records in key order: key, record, and the revision of its latest change.
        pub fn $all(&self) -> impl Iterator<Item = (&$key, &$record, u64)> {
            self.$table.iter().map(|(key, (record, mod_revision))| {
                let key: &$key = key;
                (key, record, *mod_revision)
            })
        }
    };
}

impl StateCache {
    accessors!(job, jobs, jobs, JobRecord, str);
    accessors!(machine, machines, machines, MachineRecord, str);
    accessors!(
        zone_spread,
        zone_spreads,
        zone_spreads,
        ZoneSpreadRecord,
        str
    );
    accessors!(
        instance_request,
        instance_requests,
        instance_requests,
        InstanceRequestRecord,
        u64
    );
    accessors!(run_times, all_run_times, run_times, RunTimesRecord, u64);

    /// Returns the latest format that all controllers read.
    pub fn common_format(&self) -> u32 {
        let formats = self.members.iter().map(|member| self.format_of(member));
        let common_format = formats.min().unwrap_or(formats::OLDEST);
        common_format.min(formats::LATEST)
    }

    /// Returns the latest format that a controller reads, according to its record.
    pub fn format_of(&self, controller: &String) -> u32 {
        let row = self.formats.get(controller);
        row.map_or(formats::OLDEST, |(format, _)| format.version)
    }

    /// Returns the revision of a job's latest change, or 0 without a record.
    pub fn job_revision(&self, id: &str) -> u64 {
        let row = self.jobs.get(id);
        row.map_or(0, |(_, mod_revision)| *mod_revision)
    }

    /// Returns a chunk of a job, if it is on record.
    pub fn chunk(&self, job: &str, chunk_number: u32) -> Option<&ChunkRecord> {
        self.chunks
            .get(job)?
            .get(&chunk_number)
            .map(|(chunk, _)| chunk)
    }

    /// Returns the revision of a chunk's latest change, or 0 without a record.
    pub fn chunk_revision(&self, job: &str, chunk_number: u32) -> u64 {
        let row = self
            .chunks
            .get(job)
            .and_then(|chunks| chunks.get(&chunk_number));
        row.map_or(0, |(_, mod_revision)| *mod_revision)
    }

    /// Returns the revision that a claim in this chunk is conditional on, which is also the number
    /// of the attempt. A chunk that isn't on record yet has no revision. Its first claim uses the
    /// revision of the job, which is lower than all later revisions of the chunk.
    pub fn claim_revision(&self, job: &str, chunk_number: u32) -> u64 {
        match self.chunk_revision(job, chunk_number) {
            0 => self.job_revision(job),
            mod_revision => mod_revision,
        }
    }

    /// Returns a job's chunks on record, by number.
    pub fn chunks_of(&self, job: &str) -> impl Iterator<Item = (u32, &ChunkRecord)> {
        let chunks = self.chunks.get(job).into_iter().flatten();
        chunks.map(|(n, (chunk, _))| (*n, chunk))
    }

    /// Returns the provisioning record, or an empty one if there is none.
    pub fn provisioning_record(&self) -> ProvisioningRecord {
        let row = self.provisioning.get(&());
        row.map_or(ProvisioningRecord::default(), |(record, _)| record.clone())
    }

    /// Returns the machine types on record.
    pub fn machine_types(&self) -> Option<&MachineTypesRecord> {
        self.machine_types.get(&()).map(|(record, _)| record)
    }

    /// Returns the shared term, the base of all fencing tokens.
    pub fn term(&self) -> Option<u64> {
        self.term.get(&()).map(|(record, _)| record.term)
    }

    /// Returns the configuration version on record, and the record's revision.
    pub fn configuration(&self) -> Option<(&ConfigurationVersionRecord, u64)> {
        let row = self.configuration.get(&());
        row.map(|(record, mod_revision)| (record, *mod_revision))
    }

    /// Returns a page of a configuration version.
    pub fn configuration_page(
        &self,
        version: u64,
        page_number: u32,
    ) -> Option<&ConfigurationPageRecord> {
        let row = self.configuration_pages.get(&(version, page_number));
        row.map(|(page, _)| page)
    }

    /// Returns the number of pages on record of all configuration versions.
    pub fn configuration_pages(&self) -> usize {
        self.configuration_pages.len()
    }

    /// Returns whether controllers may store configurations.
    pub fn is_configuration_enabled(&self) -> bool {
        !self.configuration_enabled.is_empty()
    }

    /// Returns the configuration version that a controller applies, according to its record.
    pub fn observed_version(&self, controller: &String) -> Option<u64> {
        let row = self.observed_versions.get(controller);
        row.map(|(record, _)| record.version)
    }
}
