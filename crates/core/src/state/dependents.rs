//! An index of the open jobs by their dependencies, and of those that depend on a cancelled job.

use std::collections::{BTreeMap, BTreeSet};

/// An index of the open jobs by their dependencies, and of those that depend on a cancelled job.
#[derive(Debug, Default)]
pub struct Dependents {
    /// Open jobs, by each of their dependencies.
    by_dependency: BTreeMap<String, BTreeSet<String>>,
    /// Open jobs that depend on a cancelled job, directly or transitively.
    with_cancelled_dependency: BTreeSet<String>,
}

impl Dependents {
    /// Returns the open jobs, by each of their dependencies.
    pub(crate) fn by_dependency(&self) -> &BTreeMap<String, BTreeSet<String>> {
        &self.by_dependency
    }

    /// Returns the open jobs that depend on a cancelled job, directly or transitively.
    pub fn with_cancelled_dependency(&self) -> &BTreeSet<String> {
        &self.with_cancelled_dependency
    }

    /// Returns the open jobs that name this job as a dependency.
    pub fn of(&self, id: &str) -> Vec<String> {
        self.by_dependency
            .get(id)
            .map_or(Vec::new(), |jobs| jobs.iter().cloned().collect())
    }

    /// Replaces a job's dependencies in the index. A job that is done or cancelled has none.
    pub(crate) fn set_dependencies(&mut self, id: &str, old: &[String], new: &[String]) {
        if old != new {
            for dependency in old {
                if let Some(jobs) = self.by_dependency.get_mut(dependency) {
                    jobs.remove(id);
                    if jobs.is_empty() {
                        self.by_dependency.remove(dependency);
                    }
                }
            }
            for dependency in new {
                let jobs = self.by_dependency.entry(dependency.clone()).or_default();
                jobs.insert(id.to_string());
            }
        }
        if new.is_empty() {
            self.with_cancelled_dependency.remove(id);
        }
    }

    /// Marks an open job and its transitive dependents as dependent on a cancelled job.
    pub(crate) fn mark_cancelled_dependency(&mut self, id: &str) {
        let mut unvisited = vec![id.to_string()];
        while let Some(id) = unvisited.pop() {
            if !self.with_cancelled_dependency.contains(&id) {
                unvisited.extend(self.of(&id));
                self.with_cancelled_dependency.insert(id);
            }
        }
    }

    /// Marks all transitive dependents of a cancelled job.
    pub(crate) fn mark_dependents_of_cancelled(&mut self, id: &str) {
        for dependent in self.of(id) {
            self.mark_cancelled_dependency(&dependent);
        }
    }
}
