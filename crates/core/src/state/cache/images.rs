//! Images that machines have had: a hint for placement.

use super::StateCache;
use crate::constants::{IMAGES_KNOWN, MACHINE_IMAGES};
use foldhash::HashMap;

impl StateCache {
    pub fn has_image(&self, machine: &str, image: &str) -> bool {
        self.image_id(image)
            .is_some_and(|id| self.images_of(machine).iter().any(|(i, _)| *i == id))
    }

    pub fn image_id(&self, image: &str) -> Option<u32> {
        self.image_ids.get(image).copied()
    }

    /// Images that a machine has had, by their numbers, with their size in GB.
    pub fn images_of(&self, machine: &str) -> &[(u32, f64)] {
        self.images.get(machine).map_or(&[], |list| list)
    }

    /// All that is remembered of images: machine, then images with their size, latest last.
    pub fn image_hints(&self) -> Vec<(String, Vec<(String, f64)>)> {
        let names: HashMap<u32, &String> = self.image_ids.iter().map(|(n, id)| (*id, n)).collect();
        let named = |(id, gb): &(u32, f64)| Some(((*names.get(id)?).clone(), *gb));
        self.images
            .iter()
            .map(|(machine, list)| (machine.clone(), list.iter().filter_map(named).collect()))
            .collect()
    }

    /// Takes up what a peer remembers of images; what is known here is later.
    pub fn take_hints(&mut self, hints: &[(String, Vec<(String, f64)>)]) {
        for (machine, list) in hints {
            if !self.machines.contains_key(machine) {
                continue;
            }
            let own = self.images.remove(machine).unwrap_or_default();
            let mut merged: Vec<(u32, f64)> = Vec::new();
            for (image, gb) in list.iter().take(MACHINE_IMAGES) {
                if let Some(id) = self.image_number(image) {
                    merged.push((id, *gb));
                }
            }
            merged.retain(|(id, _)| !own.iter().any(|(i, _)| i == id));
            merged.extend(own);
            let over = merged.len().saturating_sub(MACHINE_IMAGES);
            self.images.insert(machine.clone(), merged.split_off(over));
        }
    }

    fn image_number(&mut self, image: &str) -> Option<u32> {
        let next = self.image_ids.len();
        match self.image_ids.get(image) {
            Some(id) => Some(*id),
            None if next < IMAGES_KNOWN => {
                self.image_ids.insert(image.to_string(), next as u32);
                Some(next as u32)
            }
            None => None,
        }
    }

    pub(super) fn note_image(&mut self, machine: &str, job: &str) {
        let spec = self.jobs.get(job).and_then(|(j, _)| j.spec.as_ref());
        let Some((image, gb)) = spec.map(|s| (s.image.clone(), s.image_gb)) else {
            return;
        };
        let room = self
            .machines
            .get(machine)
            .and_then(|(m, _)| self.cache_gb.get(&m.type_name))
            .copied()
            .unwrap_or(f64::INFINITY);
        let Some(id) = self.image_number(&image) else {
            return;
        };
        let images = self.images.entry(machine.to_string()).or_default();
        images.retain(|(i, _)| *i != id);
        images.push((id, gb));
        while images.len() > 1
            && (images.len() > MACHINE_IMAGES
                || images.iter().map(|(_, gb)| gb).sum::<f64>() > room)
        {
            images.remove(0);
        }
    }
}
