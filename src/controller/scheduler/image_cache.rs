//! Index of the images that machines have cached.
//!
//! Kept in memory only: a lost entry costs one fetch. Entries belong to an incarnation of a
//! machine's worker, so that they no longer match once the worker has restarted.

use crate::time::Micros;
use crate::wire::WorkerIncarnation;
use std::collections::{BTreeMap, HashMap};

/// An entry younger than this is not renewed, since heartbeats report the same images every few
/// seconds.
const MIN_RENEWAL_INTERVAL: Micros = Micros::secs(1);

#[derive(Debug, Clone, Copy)]
struct CacheEntry {
    incarnation: WorkerIncarnation,
    recorded_at: Micros,
    /// Position among all entries; the oldest entry has the lowest number.
    sequence: u64,
}

/// Key of an entry: an image on a machine.
#[derive(Debug, Clone)]
struct ImageOnMachine {
    image: String,
    machine: String,
}

/// A machine that has an image.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CachedOn<'a> {
    /// Name of the machine.
    pub machine: &'a str,
    /// Worker incarnation that has the image.
    pub incarnation: WorkerIncarnation,
}

/// The image cache index, bounded by number and age of entries.
#[derive(Debug)]
pub struct ImageCacheIndex {
    /// Entries by image and machine.
    images: HashMap<String, BTreeMap<String, CacheEntry>>,
    /// Keys by sequence number, to find the entry to evict when the index is full.
    oldest_first: BTreeMap<u64, ImageOnMachine>,
    next_sequence: u64,
    max_entries: usize,
    max_age: Micros,
}

impl ImageCacheIndex {
    /// An empty index that keeps at most `max_entries`, each for `max_age` after it was last
    /// renewed.
    pub fn new(max_entries: usize, max_age: Micros) -> ImageCacheIndex {
        ImageCacheIndex {
            images: HashMap::new(),
            oldest_first: BTreeMap::new(),
            next_sequence: 0,
            max_entries,
            max_age,
        }
    }

    /// Records that a worker has an image or is about to fetch it.
    pub fn record(
        &mut self,
        now: Micros,
        image: &str,
        machine: &str,
        incarnation: WorkerIncarnation,
    ) {
        let known = self.images.get(image).and_then(|machines| machines.get(machine));
        if known.is_some_and(|entry| {
            entry.incarnation == incarnation && now.since(entry.recorded_at) < MIN_RENEWAL_INTERVAL
        }) {
            return;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let entry = CacheEntry { incarnation, recorded_at: now, sequence };
        let machines = self.images.entry(image.to_string()).or_default();
        if let Some(old) = machines.insert(machine.to_string(), entry) {
            self.oldest_first.remove(&old.sequence);
        }
        let key = ImageOnMachine { image: image.to_string(), machine: machine.to_string() };
        self.oldest_first.insert(sequence, key);
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

    /// Whether this incarnation of a machine's worker has the image.
    pub fn contains(
        &self,
        now: Micros,
        image: &str,
        machine: &str,
        incarnation: WorkerIncarnation,
    ) -> bool {
        self.images.get(image).and_then(|machines| machines.get(machine)).is_some_and(|entry| {
            entry.incarnation == incarnation && now.since(entry.recorded_at) <= self.max_age
        })
    }

    /// Machines that have an image, ordered by name.
    pub fn machines_with(&self, now: Micros, image: &str) -> impl Iterator<Item = CachedOn<'_>> {
        self.images
            .get(image)
            .into_iter()
            .flatten()
            .filter(move |(_, entry)| now.since(entry.recorded_at) <= self.max_age)
            .map(|(machine, entry)| CachedOn { machine, incarnation: entry.incarnation })
    }

    /// Number of entries, including those past the maximum age.
    pub fn len(&self) -> usize {
        self.oldest_first.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.oldest_first.is_empty()
    }
}
