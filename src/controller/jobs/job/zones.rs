//! Zone constraints of a job's tasks: all in one zone, or spread.

use super::Job;
use std::collections::BTreeMap;
use std::rc::Rc;

impl Job {
    /// Number of tasks per zone; empty for a job whose tasks need be neither in one zone nor
    /// spread.
    pub fn zones(&self) -> BTreeMap<Rc<str>, u32> {
        let mut zones = BTreeMap::new();
        if !self.spec.one_zone && !self.spec.spread {
            return zones;
        }
        // Ended attempts that a later leader would still start count, too.
        for placement in self
            .chunks
            .iter()
            .flat_map(|chunk| chunk.placed.values().chain(chunk.may_still_start()))
        {
            *zones.entry(Rc::clone(&placement.zone)).or_insert(0) += 1;
        }
        zones
    }

    /// Whether one more task may be placed in `zone`, given the number of tasks in each zone.
    pub fn zone_allows(&self, zones: &BTreeMap<Rc<str>, u32>, zone: &str) -> bool {
        if self.spec.zone.as_deref().is_some_and(|required| required != zone) {
            return false;
        }
        if self.spec.one_zone && zones.keys().any(|taken| &**taken != zone) {
            return false;
        }
        let in_zone = zones.get(zone).copied().unwrap_or(0);
        !self.spec.spread || in_zone < self.spec.tasks.div_ceil(2)
    }
}
