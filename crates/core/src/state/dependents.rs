//! Which open jobs depend on which, and which of them on a cancelled one.

use std::collections::{BTreeMap, BTreeSet};

/// Open jobs by their dependencies, and those that depend on a cancelled job.
#[derive(Debug, Default)]
pub struct Dependents {
    by_dependency: BTreeMap<String, BTreeSet<String>>,
    doomed: BTreeSet<String>,
}

impl Dependents {
    /// Open jobs, by each of their dependencies.
    pub(crate) fn by_awaited(&self) -> &BTreeMap<String, BTreeSet<String>> {
        &self.by_dependency
    }

    /// Open jobs that depend on a cancelled one, directly or through others.
    pub fn doomed(&self) -> &BTreeSet<String> {
        &self.doomed
    }

    /// Open jobs that name this one as a dependency.
    pub fn of(&self, id: &str) -> Vec<String> {
        self.by_dependency
            .get(id)
            .map_or(Vec::new(), |jobs| jobs.iter().cloned().collect())
    }

    /// A job's dependencies changed; it has none once it is over.
    pub(crate) fn link(&mut self, id: &str, before: &[String], now: &[String]) {
        if before != now {
            for dependency in before {
                if let Some(jobs) = self.by_dependency.get_mut(dependency) {
                    jobs.remove(id);
                    if jobs.is_empty() {
                        self.by_dependency.remove(dependency);
                    }
                }
            }
            for dependency in now {
                let jobs = self.by_dependency.entry(dependency.clone()).or_default();
                jobs.insert(id.to_string());
            }
        }
        if now.is_empty() {
            self.doomed.remove(id);
        }
    }

    /// An open job depends on a cancelled one, and so do its dependents.
    pub(crate) fn doom(&mut self, id: &str) {
        let mut unvisited = vec![id.to_string()];
        while let Some(id) = unvisited.pop() {
            if !self.doomed.contains(&id) {
                unvisited.extend(self.of(&id));
                self.doomed.insert(id);
            }
        }
    }

    /// A job was cancelled: its dependents depend on a cancelled one.
    pub(crate) fn cancelled(&mut self, id: &str) {
        for dependent in self.of(id) {
            self.doom(&dependent);
        }
    }
}
