//! Compare-and-swap transactions, built from the records in a controller's state cache.

use super::{
    Assignment, ChunkRecord, JobPhase, Key, MachineRecord, ProvisioningRecord, Record, StateCache,
    TeamRecord,
};
use crate::constants::{
    CONDITIONS_PER_CHANGE, FAULTY_JOB_MIN_MACHINES, KEY_BYTES, SMALL_RECORD_BYTES,
    TRANSACTION_MAX_BYTES,
};
use crate::model::{Resources, TaskId};
use crate::settings::Settings;
use crate::state::formats;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// A compare-and-swap transaction: the state store applies all changes atomically if all conditions
/// hold, and none otherwise.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CasTransaction {
    /// Keys and the revision that each must still have; 0 means that there must be no record.
    pub conditions: Vec<(Key, u64)>,
    /// Keys and their new records; `None` removes the record.
    pub changes: Vec<(Key, Option<Record>)>,
    /// The format in which the records are stored.
    pub format: u32,
}

impl CasTransaction {
    /// Returns the request body in the JSON form of the state store.
    pub fn request_body(&self) -> String {
        let conditions: Vec<Value> = (self.conditions.iter())
            .map(|(key, mod_revision)| json!({"k": key.path(), "stamp": mod_revision}))
            .collect();
        let changes: Vec<Value> = (self.changes.iter())
            .map(|(key, record)| match record {
                Some(record) => json!({"put": key.path(), "v": record.value(self.format)}),
                None => json!({"remove": key.path()}),
            })
            .collect();
        json!({"if": conditions, "apply": changes}).to_string()
    }
}

/// A builder of a transaction from cached records. Each record that the builder writes, or reads
/// for a decision, becomes a condition, so that the transaction commits only if no record that it
/// depends on has changed in the meantime.
pub struct TransactionBuilder<'a> {
    /// The cache that supplies the records and their revisions.
    pub cache: &'a StateCache,
    conditions: BTreeMap<Key, u64>,
    changes: BTreeMap<Key, Option<Record>>,
    /// Resources that the claims in the transaction add to each team's usage.
    claimed_usage: BTreeMap<String, TeamRecord>,
    /// Upper bound of the size of the changes.
    change_bytes: usize,
    /// Maximum number of changes, besides the limit of the state store.
    max_changes: usize,
}

impl<'a> TransactionBuilder<'a> {
    /// Creates a builder whose number of changes only the state store limits.
    pub fn new(cache: &'a StateCache) -> TransactionBuilder<'a> {
        TransactionBuilder {
            cache,
            conditions: BTreeMap::new(),
            changes: BTreeMap::new(),
            claimed_usage: BTreeMap::new(),
            change_bytes: 0,
            max_changes: usize::MAX,
        }
    }
    /// Creates a builder for at most `max_changes` changes.
    pub fn with_max_changes(cache: &'a StateCache, max_changes: usize) -> TransactionBuilder<'a> {
        TransactionBuilder {
            max_changes,
            ..TransactionBuilder::new(cache)
        }
    }
    /// Adds the condition that the record of this key is still the cached one.
    pub fn add_condition(&mut self, key: Key) {
        let mod_revision = self.cache.mod_revision(&key);
        self.conditions.entry(key).or_insert(mod_revision);
    }
    /// Adds the condition that this key is still at a revision that was read earlier.
    pub fn add_condition_at_revision(&mut self, key: Key, mod_revision: u64) {
        self.conditions.entry(key).or_insert(mod_revision);
    }
    /// Returns a machine's record with the changes so far, and makes the transaction conditional on
    /// it.
    pub fn machine(&mut self, id: &str) -> Option<MachineRecord> {
        let key = Key::Machine(id.to_string());
        self.add_condition(key.clone());
        match self.changes.get(&key) {
            Some(Some(Record::Machine(machine))) => Some(machine.clone()),
            Some(_) => None,
            None => self.cache.machine(id).cloned(),
        }
    }
    /// Returns the provisioning record with the changes so far, and makes the transaction
    /// conditional on it.
    pub fn provisioning_record(&mut self) -> ProvisioningRecord {
        self.add_condition(Key::Provisioning);
        match self.changes.get(&Key::Provisioning) {
            Some(Some(Record::Provisioning(provisioning))) => provisioning.clone(),
            _ => self.cache.provisioning_record(),
        }
    }
    /// Returns whether a job's failures must not count against the machines that it ran on: the job
    /// itself appears to be faulty, or the cache doesn't show it, as for a cancelled or unknown job.
    pub fn is_suspect_job(&self, job: &str) -> bool {
        let Some(record) = self.cache.job(job) else {
            return true;
        };
        let changed_chunk = |(key, change): (&Key, &Option<Record>)| match (key, change) {
            (Key::Chunk(id, _), Some(Record::Chunk(chunk))) if id == job => Some(chunk.clone()),
            _ => None,
        };
        let chunks: Vec<ChunkRecord> = self.changes.iter().filter_map(changed_chunk).collect();
        let has_failed = chunks
            .iter()
            .any(|c| c.failed_on.len() >= FAULTY_JOB_MIN_MACHINES);
        let has_succeeded =
            self.cache.task_counts(job).done > 0 || chunks.iter().any(|c| c.done() > 0);
        match record.phase {
            JobPhase::Done => false,
            JobPhase::Cancelled => true,
            JobPhase::Open => !has_succeeded && (has_failed || self.cache.is_suspect_job(job)),
        }
    }
    /// Returns a chunk with the changes so far, or none if neither the cache nor the transaction
    /// has it.
    pub fn chunk(&self, job: &str, chunk_number: u32) -> Option<&ChunkRecord> {
        match self.changes.get(&Key::Chunk(job.to_string(), chunk_number)) {
            Some(Some(Record::Chunk(chunk))) => Some(chunk),
            Some(_) => None,
            None => self.cache.chunk(job, chunk_number),
        }
    }
    /// Returns a task's assignment with the changes so far.
    pub fn assignment(&self, task: &TaskId) -> Option<&Assignment> {
        let chunk_number = self.cache.job(&task.job)?.chunk_of(task.index);
        self.chunk(&task.job, chunk_number)?.assignment(task.index)
    }
    /// Adds a chunk to the changes and returns it for modification. `new_chunk` creates a chunk
    /// that has no record yet. Returns none if the state store refused the chunk as it is, or if
    /// `new_chunk` creates none.
    pub fn chunk_mut(
        &mut self,
        job: &str,
        chunk_number: u32,
        new_chunk: impl FnOnce() -> Option<ChunkRecord>,
    ) -> Option<&mut ChunkRecord> {
        let key = Key::Chunk(job.to_string(), chunk_number);
        if self.cache.is_refused(&key) {
            return None;
        }
        if !self.changes.contains_key(&key) {
            let chunk = self
                .cache
                .chunk(job, chunk_number)
                .cloned()
                .or_else(new_chunk)?;
            self.put(key.clone(), Record::Chunk(chunk));
        }
        match self.changes.get_mut(&key) {
            Some(Some(Record::Chunk(chunk))) => Some(chunk),
            _ => None,
        }
    }
    /// Adds a put of a record, conditional on the cached record. Skips a machine's record that the
    /// state store refused.
    pub fn put(&mut self, key: Key, record: Record) {
        if matches!(key, Key::Machine(_)) && self.cache.is_refused(&key) {
            return;
        }
        self.add_condition(key.clone());
        self.change_bytes += match &record {
            Record::Chunk(chunk) => chunk.max_json_bytes(),
            _ if self.changes.contains_key(&key) => 0,
            _ => SMALL_RECORD_BYTES,
        };
        self.changes.insert(key, Some(record));
    }
    /// Adds the removal of a record, conditional on the cached record.
    pub fn remove(&mut self, key: Key) {
        self.add_condition(key.clone());
        self.changes.insert(key, None);
    }
    /// Returns a team's usage including the claims in the transaction.
    pub fn usage(&self, team: &str) -> TeamRecord {
        let mut usage = self.cache.usage(team);
        if let Some(claimed) = self.claimed_usage.get(team) {
            usage.cpus = usage.cpus.saturating_add(claimed.cpus);
            usage.gpus = usage.gpus.saturating_add(claimed.gpus);
        }
        usage
    }
    /// Adds the resources of a claim to a team's usage.
    pub fn add_usage(&mut self, team: &str, resources: &Resources) {
        let claimed = self.claimed_usage.entry(team.to_string()).or_default();
        claimed.cpus = claimed.cpus.saturating_add(resources.cpus);
        claimed.gpus = claimed.gpus.saturating_add(resources.gpus);
    }
    /// Returns whether the transaction has no changes.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
    /// Returns whether the transaction changes this key.
    pub fn has_change(&self, key: &Key) -> bool {
        self.changes.contains_key(key)
    }
    /// Returns the number of changes.
    pub fn change_count(&self) -> usize {
        self.changes.len()
    }
    /// Returns whether the transaction stays within the limits of the state store with this many
    /// additional changes, conditions and bytes.
    pub fn has_room(
        &self,
        settings: &Settings,
        changes: usize,
        conditions: usize,
        bytes: usize,
    ) -> bool {
        self.changes.len() + changes <= settings.max_transaction_changes.min(self.max_changes)
            && self.conditions.len() + conditions
                <= settings.max_transaction_changes * CONDITIONS_PER_CHANGE
            && self.change_bytes + self.conditions.len() * KEY_BYTES + bytes
                <= TRANSACTION_MAX_BYTES
    }
    /// Counts bytes by which a record in the transaction has grown.
    pub fn add_bytes(&mut self, bytes: usize) {
        self.change_bytes += bytes;
    }
    /// Removes the chunks that exceed the maximum value size from the changes, and returns their
    /// keys and sizes in bytes. The other changes stay in the transaction.
    ///
    /// While format 1 is in use, a chunk that is stored already and larger than `max_value_bytes`
    /// may be rewritten as long as it doesn't grow: versions before format 2 use a larger limit.
    pub fn drop_oversized(&mut self, max_value_bytes: u64) -> Vec<(Key, usize)> {
        let format = self.cache.common_format();
        let mut oversized = Vec::new();
        for (key, change) in &self.changes {
            let (Key::Chunk(job, n), Some(Record::Chunk(chunk))) = (key, change) else {
                continue;
            };
            if chunk.max_json_bytes() as u64 <= max_value_bytes {
                continue;
            }
            let stored_bytes = |chunk: &ChunkRecord| {
                let record = Record::Chunk(chunk.clone());
                formats::stored_bytes(&record, format)
            };
            let new_bytes = stored_bytes(chunk);
            let old_bytes = match format {
                formats::OLDEST => self.cache.chunk(job, *n).map_or(0, stored_bytes),
                _ => 0,
            };
            if new_bytes > old_bytes.max(max_value_bytes as usize) {
                oversized.push((key.clone(), new_bytes));
            }
        }
        for (key, _) in &oversized {
            self.changes.remove(key);
        }
        oversized
    }
    /// Returns the finished transaction, with the format that all controllers can read.
    pub fn finish(self) -> CasTransaction {
        CasTransaction {
            format: self.cache.common_format(),
            conditions: self.conditions.into_iter().collect(),
            changes: self.changes.into_iter().collect(),
        }
    }
}
