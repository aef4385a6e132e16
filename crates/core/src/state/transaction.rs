//! Conditional transactions over a controller's state cache.

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

/// A compare-and-swap transaction: if all conditions hold, all changes take effect as one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CasTransaction {
    /// Keys, with the revision that each must still have; 0: no record.
    pub conditions: Vec<(Key, u64)>,
    /// Keys and their new records; `None` removes the key.
    pub changes: Vec<(Key, Option<Record>)>,
    /// The format in which the records are stored.
    pub format: u32,
}

impl CasTransaction {
    /// The text that the state service takes.
    pub fn text(&self) -> String {
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

/// Builds a transaction over the cached records. Whatever is read through it becomes a condition,
/// so that the transaction commits only if nothing that it depends on has changed meanwhile.
pub struct TransactionBuilder<'a> {
    /// The cache that it is built over.
    pub cache: &'a StateCache,
    conditions: BTreeMap<Key, u64>,
    changes: BTreeMap<Key, Option<Record>>,
    /// What the claims in it add to their teams' usage.
    claimed: BTreeMap<String, TeamRecord>,
    /// Bytes of the changes, at most.
    bytes: usize,
    /// Changes that it may hold.
    max_changes: usize,
}

impl<'a> TransactionBuilder<'a> {
    /// A builder for as many changes as the state service takes.
    pub fn new(cache: &'a StateCache) -> TransactionBuilder<'a> {
        TransactionBuilder {
            cache,
            conditions: BTreeMap::new(),
            changes: BTreeMap::new(),
            claimed: BTreeMap::new(),
            bytes: 0,
            max_changes: usize::MAX,
        }
    }
    /// A builder for at most so many changes.
    pub fn limited(cache: &'a StateCache, max_changes: usize) -> TransactionBuilder<'a> {
        TransactionBuilder {
            max_changes,
            ..TransactionBuilder::new(cache)
        }
    }
    /// The transaction takes effect only if this key has not changed.
    pub fn rests_on(&mut self, key: Key) {
        let mod_revision = self.cache.mod_revision(&key);
        self.conditions.entry(key).or_insert(mod_revision);
    }
    /// The transaction takes effect only if this key is at a revision that was read earlier.
    pub fn rests_on_revision(&mut self, key: Key, mod_revision: u64) {
        self.conditions.entry(key).or_insert(mod_revision);
    }
    /// A machine's record, which the transaction is then conditional on.
    pub fn machine(&mut self, id: &str) -> Option<MachineRecord> {
        let key = Key::Machine(id.to_string());
        self.rests_on(key.clone());
        match self.changes.get(&key) {
            Some(Some(Record::Machine(m))) => Some(m.clone()),
            Some(_) => None,
            None => self.cache.machine(id).cloned(),
        }
    }
    /// The record of provisioning, which the transaction is then conditional on.
    pub fn fleet(&mut self) -> ProvisioningRecord {
        self.rests_on(Key::Provisioning);
        match self.changes.get(&Key::Provisioning) {
            Some(Some(Record::Provisioning(f))) => f.clone(),
            _ => self.cache.fleet(),
        }
    }
    /// Whether a job's failures are no evidence against machines: it seems to be at fault itself, or
    /// that is not known, as of a cancelled one.
    pub fn suspect(&self, job: &str) -> bool {
        let Some(record) = self.cache.job(job) else {
            return true;
        };
        let drafted = |(key, change): (&Key, &Option<Record>)| match (key, change) {
            (Key::Chunk(id, _), Some(Record::Chunk(c))) if id == job => Some(c.clone()),
            _ => None,
        };
        let chunks: Vec<ChunkRecord> = self.changes.iter().filter_map(drafted).collect();
        let fails = chunks
            .iter()
            .any(|c| c.failed_on.len() >= FAULTY_JOB_MIN_MACHINES);
        let succeeds = self.cache.counts(job).done > 0 || chunks.iter().any(|c| c.done() > 0);
        match record.phase {
            JobPhase::Done => false,
            JobPhase::Cancelled => true,
            JobPhase::Open => !succeeds && (fails || self.cache.suspect(job)),
        }
    }
    /// A chunk with the changes so far; none if it is neither on record nor added.
    pub fn chunk(&self, job: &str, n: u32) -> Option<&ChunkRecord> {
        match self.changes.get(&Key::Chunk(job.to_string(), n)) {
            Some(Some(Record::Chunk(c))) => Some(c),
            Some(_) => None,
            None => self.cache.chunk(job, n),
        }
    }
    /// A task's assignment with the changes so far.
    pub fn assignment(&self, task: &TaskId) -> Option<&Assignment> {
        let n = self.cache.job(&task.job)?.chunk_of(task.index);
        self.chunk(&task.job, n)?.assignment(task.index)
    }
    /// A chunk to be changed; `fresh` makes one that is not on record yet. None if it can't be
    /// written.
    pub fn chunk_mut(
        &mut self,
        job: &str,
        n: u32,
        fresh: impl FnOnce() -> Option<ChunkRecord>,
    ) -> Option<&mut ChunkRecord> {
        let key = Key::Chunk(job.to_string(), n);
        if self.cache.is_refused(&key) {
            return None;
        }
        if !self.changes.contains_key(&key) {
            let chunk = self.cache.chunk(job, n).cloned().or_else(fresh)?;
            self.put(key.clone(), Record::Chunk(chunk));
        }
        match self.changes.get_mut(&key) {
            Some(Some(Record::Chunk(c))) => Some(c),
            _ => None,
        }
    }
    /// Writes a record, conditional on the cached one.
    pub fn put(&mut self, key: Key, record: Record) {
        if matches!(key, Key::Machine(_)) && self.cache.is_refused(&key) {
            return;
        }
        self.rests_on(key.clone());
        self.bytes += match &record {
            Record::Chunk(c) => c.size(),
            _ if self.changes.contains_key(&key) => 0,
            _ => SMALL_RECORD_BYTES,
        };
        self.changes.insert(key, Some(record));
    }
    /// Removes a record, conditional on the cached one.
    pub fn remove(&mut self, key: Key) {
        self.rests_on(key.clone());
        self.changes.insert(key, None);
    }
    /// A team's usage with the claims so far.
    pub fn usage(&self, team: &str) -> TeamRecord {
        let mut usage = self.cache.usage(team);
        if let Some(more) = self.claimed.get(team) {
            usage.cpus = usage.cpus.saturating_add(more.cpus);
            usage.gpus = usage.gpus.saturating_add(more.gpus);
        }
        usage
    }
    /// Adds a claim to a team's usage.
    pub fn use_more(&mut self, team: &str, resources: &Resources) {
        let claimed = self.claimed.entry(team.to_string()).or_default();
        claimed.cpus = claimed.cpus.saturating_add(resources.cpus);
        claimed.gpus = claimed.gpus.saturating_add(resources.gpus);
    }
    /// Whether it holds no changes.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
    /// Whether it changes this key.
    pub fn touches(&self, key: &Key) -> bool {
        self.changes.contains_key(key)
    }
    /// How many changes it holds.
    pub fn ops(&self) -> usize {
        self.changes.len()
    }
    /// Whether so many more changes and conditions, and so many more bytes, keep the state service's
    /// limits.
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
            && self.bytes + self.conditions.len() * KEY_BYTES + bytes <= TRANSACTION_MAX_BYTES
    }
    /// A record that it holds became larger by so many bytes.
    pub fn grow(&mut self, bytes: usize) {
        self.bytes += bytes;
    }
    /// Removes chunks that have become too large for a value, and returns their keys and sizes.
    /// A chunk that a version before format 2 stored beyond the smaller of two limits is written
    /// again in that format as long as it does not grow: the larger limit holds while such a
    /// version serves. All else in the transaction goes ahead.
    pub fn drop_oversized(&mut self, max_value_bytes: u64) -> Vec<(Key, usize)> {
        let format = self.cache.format();
        let mut large = Vec::new();
        for (key, change) in &self.changes {
            let (Key::Chunk(job, n), Some(Record::Chunk(c))) = (key, change) else {
                continue;
            };
            if c.size() as u64 <= max_value_bytes {
                continue;
            }
            let bytes = |c: &ChunkRecord| {
                let record = Record::Chunk(c.clone());
                formats::stored_bytes(&record, format)
            };
            let now = bytes(c);
            let before = match format {
                formats::OLDEST => self.cache.chunk(job, *n).map_or(0, bytes),
                _ => 0,
            };
            if now > before.max(max_value_bytes as usize) {
                large.push((key.clone(), now));
            }
        }
        for (key, _) in &large {
            self.changes.remove(key);
        }
        large
    }
    /// The transaction.
    pub fn finish(self) -> CasTransaction {
        CasTransaction {
            format: self.cache.format(),
            conditions: self.conditions.into_iter().collect(),
            changes: self.changes.into_iter().collect(),
        }
    }
}
