//! Hints for placement: the images that each machine probably has in its cache.

use super::StateCache;
use crate::constants::messages::PEER_IMAGE_BYTES;
use crate::constants::{MACHINE_IMAGES_MAX, TRACKED_IMAGES_MAX};
use foldhash::HashMap;

/// The images that machines have fetched. They are hints only, kept in memory: to record them in
/// the state store would cost a write for each.
#[derive(Debug, Default)]
pub(super) struct ImageHints {
    /// Image ids and sizes in GB by machine, the most recently used image last.
    by_machine: HashMap<String, Vec<(u32, f64)>>,
    /// Ids of images by name, to store each name only once.
    ids: HashMap<String, u32>,
}

impl ImageHints {
    pub(super) fn forget_machine(&mut self, machine: &str) {
        self.by_machine.remove(machine);
    }

    /// Returns the id of an image, and assigns one to a new image. Returns none for a new image
    /// once `TRACKED_IMAGES_MAX` ids are assigned.
    fn id_or_new(&mut self, image: &str) -> Option<u32> {
        let next_id = self.ids.len();
        match self.ids.get(image) {
            Some(id) => Some(*id),
            None if next_id < TRACKED_IMAGES_MAX => {
                self.ids.insert(image.to_string(), next_id as u32);
                Some(next_id as u32)
            }
            None => None,
        }
    }

    /// Records that a machine fetches an image, and drops the machine's oldest images while their
    /// number or total size exceeds the limit.
    fn record(&mut self, machine: &str, image: &str, image_gb: f64, capacity_gb: f64) {
        let Some(id) = self.id_or_new(image) else {
            return;
        };
        let images = self.by_machine.entry(machine.to_string()).or_default();
        images.retain(|(known_id, _)| *known_id != id);
        images.push((id, image_gb));
        while images.len() > 1
            && (images.len() > MACHINE_IMAGES_MAX
                || images.iter().map(|(_, gb)| gb).sum::<f64>() > capacity_gb)
        {
            images.remove(0);
        }
    }

    /// Merges a peer's hints for a machine. The hints of this controller count as more recent.
    fn merge(&mut self, machine: &str, peer_hints: &[(String, f64)]) {
        let own_images = self.by_machine.remove(machine).unwrap_or_default();
        let mut merged: Vec<(u32, f64)> = Vec::new();
        for (image, image_gb) in peer_hints.iter().take(MACHINE_IMAGES_MAX) {
            if let Some(id) = self.id_or_new(image) {
                merged.push((id, *image_gb));
            }
        }
        merged.retain(|(id, _)| !own_images.iter().any(|(own_id, _)| own_id == id));
        merged.extend(own_images);
        let excess = merged.len().saturating_sub(MACHINE_IMAGES_MAX);
        let most_recent = merged.split_off(excess);
        self.by_machine.insert(machine.to_string(), most_recent);
    }
}

impl StateCache {
    /// Returns whether a machine has fetched an image, according to the hints.
    pub fn has_image(&self, machine: &str, image: &str) -> bool {
        let is_on_machine = |id| {
            let images = self.images_of(machine);
            images.iter().any(|(known_id, _)| *known_id == id)
        };
        self.image_id(image).is_some_and(is_on_machine)
    }

    /// Returns the id of an image. Ids are local to this cache.
    pub fn image_id(&self, image: &str) -> Option<u32> {
        self.images.ids.get(image).copied()
    }

    /// Returns the ids and sizes in GB of the images that a machine has fetched.
    pub fn images_of(&self, machine: &str) -> &[(u32, f64)] {
        let images = self.images.by_machine.get(machine);
        images.map_or(&[], |images| images)
    }

    /// Returns the hints by machine, of as many machines as a peer heartbeat can carry in `max_bytes`: image
    /// names and sizes in GB, the most recently used image last.
    pub fn image_hints(&self, max_bytes: usize) -> Vec<(String, Vec<(String, f64)>)> {
        let ids = self.images.ids.iter();
        let names: HashMap<u32, &String> = ids.map(|(image, id)| (*id, image)).collect();
        let with_name = |(id, gb): &(u32, f64)| Some(((*names.get(id)?).clone(), *gb));
        let mut bytes = 0;
        self.images
            .by_machine
            .iter()
            .map(|(machine, images)| {
                let images: Vec<(String, f64)> = images.iter().filter_map(with_name).collect();
                (machine.clone(), images)
            })
            .take_while(|(machine, images)| {
                let image_bytes = images.iter().map(|(name, _)| PEER_IMAGE_BYTES + name.len());
                bytes += PEER_IMAGE_BYTES + machine.len() + image_bytes.sum::<usize>();
                bytes <= max_bytes
            })
            .collect()
    }

    /// Merges the hints of a peer for the machines on record.
    pub fn merge_image_hints(&mut self, hints: &[(String, Vec<(String, f64)>)]) {
        for (machine, images) in hints {
            if self.machines.contains_key(machine) {
                self.images.merge(machine, images);
            }
        }
    }

    /// Records that a machine fetches the image of a job, because a task of it was assigned there.
    pub(super) fn record_image(&mut self, machine: &str, job: &str) {
        let Some(spec) = self.jobs.get(job).and_then(|(job, _)| job.spec.as_ref()) else {
            return;
        };
        let machine_type = self.machines.get(machine).map(|(m, _)| &m.type_name);
        let capacity_gb = machine_type
            .and_then(|name| self.image_cache_gb.get(name))
            .copied()
            .unwrap_or(f64::INFINITY);
        self.images
            .record(machine, &spec.image, spec.image_gb, capacity_gb);
    }
}
