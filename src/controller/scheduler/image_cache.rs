//! Which machines have which images, as far as this controller knows.
//!
//! Kept in memory only: a lost entry costs one fetch. Entries belong to an incarnation of a
//! machine's worker, so that a machine that began anew stops matching.

use crate::time::Micros;
use crate::wire::WorkerIncarnation;
use std::collections::{BTreeMap, HashMap};

/// A younger entry is not renewed: heartbeats repeat themselves every few seconds.
const MIN_RENEWAL_INTERVAL: Micros = Micros::secs(1);

#[derive(Debug, Clone, Copy)]
struct Entry {
    incarnation: WorkerIncarnation,
    noted_at: Micros,
    /// Its place among all entries, the oldest of which has the lowest number.
    sequence: u64,
}

/// An image on a machine.
#[derive(Debug, Clone)]
struct ImageOnMachine {
    image: String,
    machine: String,
}

/// A machine that has an image.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CachedOn<'a> {
    /// The machine.
    pub machine: &'a str,
    /// The incarnation in which it fetched the image.
    pub incarnation: WorkerIncarnation,
}

/// The index, bounded in entries and in age.
#[derive(Debug)]
pub struct ImageCacheIndex {
    /// Entries by image and machine.
    images: HashMap<String, BTreeMap<String, Entry>>,
    /// By sequence, to find what must go when the index is full.
    oldest_first: BTreeMap<u64, ImageOnMachine>,
    next_sequence: u64,
    max_entries: usize,
    max_age: Micros,
}

impl ImageCacheIndex {
    /// An empty index that keeps so many entries for so long.
    pub fn new(max_entries: usize, max_age: Micros) -> ImageCacheIndex {
        ImageCacheIndex {
            images: HashMap::new(),
            oldest_first: BTreeMap::new(),
            next_sequence: 0,
            max_entries,
            max_age,
        }
    }

    /// Notes that a machine has, or is about to fetch, an image.
    pub fn note(
        &mut self,
        now: Micros,
        image: &str,
        machine: &str,
        incarnation: WorkerIncarnation,
    ) {
        let known = self.images.get(image).and_then(|machines| machines.get(machine));
        if known.is_some_and(|entry| {
            entry.incarnation == incarnation && now.since(entry.noted_at) < MIN_RENEWAL_INTERVAL
        }) {
            return;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let entry = Entry { incarnation, noted_at: now, sequence };
        let machines = self.images.entry(image.to_string()).or_default();
        if let Some(old) = machines.insert(machine.to_string(), entry) {
            self.oldest_first.remove(&old.sequence);
        }
        let noted = ImageOnMachine { image: image.to_string(), machine: machine.to_string() };
        self.oldest_first.insert(sequence, noted);
        self.evict_oldest();
    }

    fn evict_oldest(&mut self) {
        while self.oldest_first.len() > self.max_entries {
            let Some((_, ImageOnMachine { image, machine })) = self.oldest_first.pop_first() else {
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

    /// True if the machine has the image in its present incarnation.
    pub fn holds(
        &self,
        now: Micros,
        image: &str,
        machine: &str,
        incarnation: WorkerIncarnation,
    ) -> bool {
        self.images.get(image).and_then(|machines| machines.get(machine)).is_some_and(|entry| {
            entry.incarnation == incarnation && now.since(entry.noted_at) <= self.max_age
        })
    }

    /// Machines that have an image, by name.
    pub fn machines_with(&self, now: Micros, image: &str) -> impl Iterator<Item = CachedOn<'_>> {
        self.images
            .get(image)
            .into_iter()
            .flatten()
            .filter(move |(_, entry)| now.since(entry.noted_at) <= self.max_age)
            .map(|(machine, entry)| CachedOn { machine, incarnation: entry.incarnation })
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.oldest_first.len()
    }

    /// True if there are none.
    pub fn is_empty(&self) -> bool {
        self.oldest_first.is_empty()
    }
}
