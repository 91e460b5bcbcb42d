//! Which machines hold which images, as far as this controller knows.
//!
//! Kept in memory only: a lost entry costs one fetch. Entries belong to a
//! machine's session, so that a machine that began anew stops matching.

use crate::time::Micros;
use std::collections::{BTreeMap, HashMap};

#[derive(Debug, Clone, Copy)]
struct Entry {
    incarnation: u64,
    at: Micros,
    stamp: u64,
}

/// The index, bounded in entries and in age.
#[derive(Debug)]
pub struct ImageIndex {
    images: HashMap<String, BTreeMap<String, Entry>>,
    /// Oldest first, to find what must go when the index is full.
    order: BTreeMap<u64, (String, String)>,
    next: u64,
    most: usize,
    age: Micros,
}

impl ImageIndex {
    /// An empty index.
    pub fn new(most: usize, age: Micros) -> ImageIndex {
        ImageIndex { images: HashMap::new(), order: BTreeMap::new(), next: 0, most, age }
    }

    /// Notes that a machine has, or is about to fetch, an image.
    pub fn note(&mut self, now: Micros, image: &str, machine: &str, incarnation: u64) {
        if let Some(e) = self.images.get_mut(image).and_then(|m| m.get_mut(machine))
            && e.incarnation == incarnation
            && now.since(e.at) < Micros::secs(1)
        {
            // Just noted: reports repeat themselves every few seconds.
            return;
        }
        let stamp = self.next;
        self.next += 1;
        let entry = Entry { incarnation, at: now, stamp };
        let machines = self.images.entry(image.to_string()).or_default();
        if let Some(old) = machines.insert(machine.to_string(), entry) {
            self.order.remove(&old.stamp);
        }
        self.order.insert(stamp, (image.to_string(), machine.to_string()));
        while self.order.len() > self.most {
            let Some((_, (image, machine))) = self.order.pop_first() else {
                return;
            };
            if let Some(machines) = self.images.get_mut(&image) {
                machines.remove(&machine);
                if machines.is_empty() {
                    self.images.remove(&image);
                }
            }
        }
    }

    /// True if the machine holds the image in its present session.
    pub fn holds(&self, now: Micros, image: &str, machine: &str, incarnation: u64) -> bool {
        self.images
            .get(image)
            .and_then(|m| m.get(machine))
            .is_some_and(|e| e.incarnation == incarnation && now.since(e.at) <= self.age)
    }

    /// Machines that hold an image, with the session in which they got it.
    pub fn machines_with(&self, now: Micros, image: &str) -> impl Iterator<Item = (&str, u64)> {
        self.images
            .get(image)
            .into_iter()
            .flatten()
            .filter(move |(_, e)| now.since(e.at) <= self.age)
            .map(|(machine, e)| (machine.as_str(), e.incarnation))
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// True if there are none.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
