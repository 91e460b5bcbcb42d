//! The status page: this controller's leadership, peers, machines and counters, in JSON.
//! Operators' tools read the names of its fields, which must not change.

use crate::controller::Controller;
use crate::controller::api::counters::Counters;
use crate::controller::leadership::shard::Shard;
use crate::controller::peers::PeerState;
use crate::peer::{self, MachineView};
use crate::time::Micros;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// The status page.
#[derive(Serialize)]
struct StatusPage<'a> {
    member: &'a str,
    /// Version of the format in which this process stores data and sends frames.
    format: u32,
    lease_valid: bool,
    peers: Vec<PeerStatus<'a>>,
    #[serde(rename = "state_limits")]
    kv_store_limits: KvStoreLimitsStatus,
    shards: Vec<ShardStatus<'a>>,
    jobs: usize,
    /// Accepted jobs of led shards that this process does not run yet.
    unlisted_jobs: usize,
    #[serde(rename = "jobs_that_need_others")]
    jobs_with_dependencies: usize,
    #[serde(rename = "tasks_waiting")]
    pending_tasks: u64,
    machines: Vec<MachineStatus<'a>>,
    /// Number of machines that the cloud has created, by stage.
    #[serde(rename = "rented")]
    created_machines: BTreeMap<&'static str, usize>,
    /// Number of entries in the image cache index.
    image_entries: usize,
    counts: &'a Counters,
}

/// A peer, as last observed here.
#[derive(Serialize)]
struct PeerStatus<'a> {
    member: &'a str,
    alive: bool,
    #[serde(rename = "state_ok")]
    holds_lease: bool,
    /// 0 for a version that does not send its format; `None` before its first frame.
    format: Option<u32>,
}

/// The key-value store's limits, as this process observes them.
#[derive(Serialize)]
struct KvStoreLimitsStatus {
    rps: f64,
    write_rps: f64,
    txn_ops: usize,
    /// Largest value of a chunk in the current layout.
    value_kb: f64,
    /// Largest value of a chunk, including chunks that an earlier version laid out: larger than
    /// `value_kb` until the store refuses a value.
    largest_value_kb: f64,
}

/// A shard, the member that leads it, and its term.
#[derive(Serialize)]
struct ShardStatus<'a> {
    shard: usize,
    #[serde(rename = "holder")]
    leader: Option<&'a str>,
    term: u64,
    #[serde(rename = "owned")]
    led: bool,
    #[serde(rename = "loaded")]
    recovered: bool,
    /// Revision of the shard lease's key, a condition of all writes for the shard.
    revision: Option<u64>,
}

impl<'a> ShardStatus<'a> {
    fn of(number: usize, shard: &'a Shard) -> ShardStatus<'a> {
        ShardStatus {
            shard: number,
            leader: shard.lease.as_ref().map(|stored| stored.lease.member.as_str()),
            term: shard.term,
            led: shard.leadership.is_some(),
            recovered: shard.leadership.as_ref().is_some_and(|leadership| leadership.recovered),
            revision: shard.lease.as_ref().map(|stored| stored.revision),
        }
    }
}

/// A machine, as last described by the leader of its shard.
#[derive(Serialize)]
struct MachineStatus<'a> {
    machine: &'a str,
    #[serde(rename = "type")]
    machine_type: &'a str,
    zone: &'a str,
    spot: bool,
    #[serde(rename = "known")]
    observed_in_term: bool,
    healthy: bool,
    tasks: usize,
}

impl<'a> MachineStatus<'a> {
    fn of(view: &'a MachineView) -> MachineStatus<'a> {
        MachineStatus {
            machine: &view.machine,
            machine_type: &view.machine_type,
            zone: &view.zone,
            spot: view.spot,
            observed_in_term: view.observed_in_term,
            healthy: view.healthy,
            tasks: view.tasks.len(),
        }
    }
}

impl Controller {
    /// The status page at `now`.
    pub fn status(&self, now: Micros) -> Value {
        let page = StatusPage {
            member: &self.context.member,
            format: peer::FORMAT,
            lease_valid: self.leadership.holds_lease(now),
            peers: self.peer_statuses(),
            kv_store_limits: self.kv_store_limits_status(),
            shards: self.shard_statuses(),
            jobs: self.jobs.by_id.len(),
            unlisted_jobs: self.leadership.unlisted_job_count(),
            jobs_with_dependencies: self
                .jobs
                .by_id
                .values()
                .filter(|job| job.awaits_dependencies)
                .count(),
            pending_tasks: self.jobs.by_id.values().map(|job| u64::from(job.pending())).sum(),
            machines: self.machine_statuses(),
            created_machines: self.autoscaler.machines_by_stage(),
            image_entries: self.scheduler.image_entries(),
            counts: &self.counts,
        };
        serde_json::json!(page)
    }

    fn peer_statuses(&self) -> Vec<PeerStatus<'_>> {
        let status = |(number, peer): (usize, &PeerState)| PeerStatus {
            member: &self.context.members[number],
            alive: peer.is_alive(self.context.now),
            holds_lease: peer.holds_lease,
            format: peer.last_frame_at.map(|_| peer.format),
        };
        self.peers.all().map(status).collect()
    }

    fn kv_store_limits_status(&self) -> KvStoreLimitsStatus {
        let limits = &self.context.settings.kv_store;
        let limit_lowered = self.jobs.previous_chunk_layout.is_none();
        KvStoreLimitsStatus {
            rps: limits.rps,
            write_rps: limits.write_rps,
            txn_ops: limits.txn_ops,
            value_kb: limits.value_kb,
            largest_value_kb: if limit_lowered { limits.value_kb } else { limits.current_value_kb },
        }
    }

    fn shard_statuses(&self) -> Vec<ShardStatus<'_>> {
        self.leadership
            .shards()
            .iter()
            .enumerate()
            .map(|(number, shard)| ShardStatus::of(number, shard))
            .collect()
    }

    fn machine_statuses(&self) -> Vec<MachineStatus<'_>> {
        self.machines.views().values().map(MachineStatus::of).collect()
    }

    /// Number of shards that this process leads, recovered or not.
    pub fn led_shard_count(&self) -> usize {
        self.leadership.shards().iter().filter(|s| s.leadership.is_some()).count()
    }
}
