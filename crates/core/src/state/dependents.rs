//! Which open jobs await which, and which of them need a cancelled one.

use std::collections::{BTreeMap, BTreeSet};

/// Open jobs by the jobs that they await, and those that need a cancelled one.
#[derive(Debug, Default)]
pub struct Dependents {
    by_awaited: BTreeMap<String, BTreeSet<String>>,
    doomed: BTreeSet<String>,
}

impl Dependents {
    /// Open jobs, by each job that they await.
    pub(crate) fn by_awaited(&self) -> &BTreeMap<String, BTreeSet<String>> {
        &self.by_awaited
    }
    /// Open jobs that need a cancelled one.
    pub fn doomed(&self) -> &BTreeSet<String> {
        &self.doomed
    }
    /// Open jobs that name this one.
    pub fn of(&self, id: &str) -> Vec<String> {
        self.by_awaited
            .get(id)
            .map_or(Vec::new(), |d| d.iter().cloned().collect())
    }
    /// A job awaits others now: none, once it is over.
    pub(crate) fn link(&mut self, id: &str, before: &[String], now: &[String]) {
        if before != now {
            for dependency in before {
                if let Some(jobs) = self.by_awaited.get_mut(dependency) {
                    jobs.remove(id);
                    if jobs.is_empty() {
                        self.by_awaited.remove(dependency);
                    }
                }
            }
            for dependency in now {
                let jobs = self.by_awaited.entry(dependency.clone()).or_default();
                jobs.insert(id.to_string());
            }
        }
        if now.is_empty() {
            self.doomed.remove(id);
        }
    }
    /// An open job needs a cancelled one, and so does all that needs it.
    pub(crate) fn doom(&mut self, id: &str) {
        let mut next = vec![id.to_string()];
        while let Some(id) = next.pop() {
            if !self.doomed.contains(&id) {
                next.extend(self.of(&id));
                self.doomed.insert(id);
            }
        }
    }
    pub(crate) fn cancelled(&mut self, id: &str) {
        for dependent in self.of(id) {
            self.doom(&dependent);
        }
    }
}
