//! What the status page, the queue page and the log tell of the controller.

use super::Controller;
use crate::time::Micros;
use serde_json::Value;
use std::collections::BTreeMap;

/// Counters for the status page.
#[derive(Debug, Clone, Default)]
pub(super) struct Counts {
    pub(super) accepted: u64,
    pub(super) refused: u64,
    pub(super) done: u64,
    pub(super) cancelled: u64,
    pub(super) placed: u64,
    pub(super) image_hits: u64,
    pub(super) failed: u64,
    pub(super) lost: u64,
    pub(super) preempted: u64,
    pub(super) reports: u64,
    pub(super) bad_reports: u64,
}

impl Controller {
    /// For the status page.
    pub fn status(&self, now: Micros) -> Value {
        let shards: Vec<Value> = self
            .shards
            .iter()
            .enumerate()
            .map(|(n, s)| {
                serde_json::json!({
                    "seat": n,
                    "holder": s.lease.as_ref().map(|(h, _)| &h.member),
                    "term": s.term,
                    "mine": s.owned.is_some(),
                    "loaded": s.owned.as_ref().is_some_and(|m| m.loaded),
                })
            })
            .collect();
        let machines: Vec<Value> = self
            .views
            .values()
            .map(|v| {
                serde_json::json!({
                    "machine": v.machine, "type": v.machine_type, "zone": v.zone,
                    "spot": v.spot, "known": v.known, "healthy": v.healthy,
                    "tasks": v.tasks.len(),
                })
            })
            .collect();
        let c = &self.counts;
        serde_json::json!({
            "member": self.member,
            "lease_valid": self.state_lease.valid(now),
            "seats": shards,
            "jobs": self.jobs.len(),
            "jobs_that_need_others": self.jobs.values().filter(|j| j.waiting).count(),
            "tasks_waiting": self.jobs.values().map(|j| u64::from(j.pending())).sum::<u64>(),
            "machines": machines,
            "rented": self.fleet.stages(),
            "image_entries": self.images.len(),
            "counts": {
                "accepted": c.accepted, "refused": c.refused, "done": c.done,
                "cancelled": c.cancelled, "placed": c.placed, "image_hits": c.image_hits,
                "failed": c.failed, "lost": c.lost, "preempted": c.preempted,
                "reports": c.reports, "bad_reports": c.bad_reports,
            },
        })
    }

    /// Tells the log how many tasks wait for what.
    pub(super) fn log_waiting(&self) {
        if !log::log_enabled!(log::Level::Debug) {
            return;
        }
        let mut counts: BTreeMap<(&str, &str, &str), u32> = BTreeMap::new();
        for j in self.jobs.values().filter(|j| !j.cancelled && !j.over && j.pending() > 0) {
            *counts.entry((&j.spec.class, &j.spec.team, j.waits)).or_default() += j.pending();
        }
        for ((class, team, reason), tasks) in counts {
            log::debug!("{tasks} tasks of {class}, team {team}, wait: {reason}");
        }
    }

    /// The queue as plain text: in order of service, each with why it waits.
    pub fn queue_page(&self, _now: Micros) -> String {
        use std::fmt::Write;
        let mut page = String::from("job class team priority waiting running done reason\n");
        for (_, id) in self.queue_order() {
            if let Some(j) = self.jobs.get(&id) {
                // Writing into a String cannot fail.
                let _ = writeln!(
                    page,
                    "{id} {} {} {:?} {} {} {} {}",
                    j.spec.class,
                    j.spec.team,
                    j.spec.priority,
                    j.pending(),
                    j.running(),
                    j.done(),
                    j.waits
                );
            }
        }
        for (id, j) in self.jobs.iter().filter(|(_, j)| j.waiting && !j.cancelled && !j.over) {
            let needs: Vec<&str> = j.upstream.iter().map(String::as_str).collect();
            let _ = writeln!(
                page,
                "{id} {} {} {:?} {} 0 0 needs {}",
                j.spec.class,
                j.spec.team,
                j.spec.priority,
                j.pending(),
                needs.join(" ")
            );
        }
        page
    }

    /// Number of shards owned, for tests and the log.
    pub fn owned_shard_count(&self) -> usize {
        self.shards.iter().filter(|s| s.owned.is_some()).count()
    }
}
