//! Images that machines have had: hints for placement.

use super::StateCache;
use crate::constants::{MACHINE_IMAGES_MAX, TRACKED_IMAGES_MAX};
use foldhash::HashMap;

/// Images that machines have had. Only hints: they are not on record, where each would cost a put.
#[derive(Debug, Default)]
pub(super) struct ImageHints {
    /// Images of each machine by number, latest last, with their size in GB.
    by_machine: HashMap<String, Vec<(u32, f64)>>,
    /// Numbers that stand for images.
    numbers: HashMap<String, u32>,
}

impl ImageHints {
    pub(super) fn forget_machine(&mut self, machine: &str) {
        self.by_machine.remove(machine);
    }

    /// The number that stands for an image, a new one if there is none yet; none once as many are
    /// known as are kept.
    fn number(&mut self, image: &str) -> Option<u32> {
        let next = self.numbers.len();
        match self.numbers.get(image) {
            Some(number) => Some(*number),
            None if next < TRACKED_IMAGES_MAX => {
                self.numbers.insert(image.to_string(), next as u32);
                Some(next as u32)
            }
            None => None,
        }
    }

    /// A machine gets an image; the oldest go while all together exceed its capacity.
    fn note(&mut self, machine: &str, image: &str, image_gb: f64, capacity_gb: f64) {
        let Some(number) = self.number(image) else {
            return;
        };
        let images = self.by_machine.entry(machine.to_string()).or_default();
        images.retain(|(known, _)| *known != number);
        images.push((number, image_gb));
        while images.len() > 1
            && (images.len() > MACHINE_IMAGES_MAX
                || images.iter().map(|(_, gb)| gb).sum::<f64>() > capacity_gb)
        {
            images.remove(0);
        }
    }

    /// Adds a peer's hints of a machine; the own ones count as later.
    fn merge(&mut self, machine: &str, hints: &[(String, f64)]) {
        let own = self.by_machine.remove(machine).unwrap_or_default();
        let mut merged: Vec<(u32, f64)> = Vec::new();
        for (image, gb) in hints.iter().take(MACHINE_IMAGES_MAX) {
            if let Some(number) = self.number(image) {
                merged.push((number, *gb));
            }
        }
        merged.retain(|(number, _)| !own.iter().any(|(known, _)| known == number));
        merged.extend(own);
        let excess = merged.len().saturating_sub(MACHINE_IMAGES_MAX);
        let latest = merged.split_off(excess);
        self.by_machine.insert(machine.to_string(), latest);
    }
}

impl StateCache {
    /// Whether a machine has had an image, as far as is known here.
    pub fn has_image(&self, machine: &str, image: &str) -> bool {
        let has = |number| {
            let images = self.images_of(machine);
            images.iter().any(|(known, _)| *known == number)
        };
        self.image_id(image).is_some_and(has)
    }

    /// The number that stands for an image.
    pub fn image_id(&self, image: &str) -> Option<u32> {
        self.images.numbers.get(image).copied()
    }

    /// Images that a machine has had, by their numbers, with their size in GB.
    pub fn images_of(&self, machine: &str) -> &[(u32, f64)] {
        let images = self.images.by_machine.get(machine);
        images.map_or(&[], |images| images)
    }

    /// All hints: machine, then images with their size in GB, latest last.
    pub fn image_hints(&self) -> Vec<(String, Vec<(String, f64)>)> {
        let numbers = self.images.numbers.iter();
        let names: HashMap<u32, &String> = numbers.map(|(image, n)| (*n, image)).collect();
        let named = |(number, gb): &(u32, f64)| Some(((*names.get(number)?).clone(), *gb));
        self.images
            .by_machine
            .iter()
            .map(|(machine, images)| {
                let images = images.iter().filter_map(named).collect();
                (machine.clone(), images)
            })
            .collect()
    }

    /// Adds the hints of a peer for machines on record.
    pub fn take_hints(&mut self, hints: &[(String, Vec<(String, f64)>)]) {
        for (machine, images) in hints {
            if self.machines.contains_key(machine) {
                self.images.merge(machine, images);
            }
        }
    }

    /// A task of a job was assigned to a machine, which fetches the job's image.
    pub(super) fn note_image(&mut self, machine: &str, job: &str) {
        let Some(spec) = self.jobs.get(job).and_then(|(job, _)| job.spec.as_ref()) else {
            return;
        };
        let machine_type = self.machines.get(machine).map(|(m, _)| &m.type_name);
        let capacity_gb = machine_type
            .and_then(|name| self.cache_gb.get(name))
            .copied()
            .unwrap_or(f64::INFINITY);
        self.images
            .note(machine, &spec.image, spec.image_gb, capacity_gb);
    }
}
