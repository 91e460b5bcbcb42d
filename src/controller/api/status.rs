//! What the status page, the queue page and the log tell of the controller.

use crate::controller::Controller;
use crate::controller::decision_log::DecisionCounts;
use crate::controller::leadership::shard::Shard;
use crate::controller::peers::frames::PeerInfo;
use crate::peer::{self, MachineView};
use crate::time::Micros;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// The status page.
#[derive(Serialize)]
struct StatusPage<'a> {
    member: &'a str,
    /// Format of what this process stores and sends.
    format: u32,
    lease_valid: bool,
    peers: Vec<PeerStatus<'a>>,
    state_limits: StateLimitsStatus,
    shards: Vec<ShardStatus<'a>>,
    jobs: usize,
    #[serde(rename = "jobs_that_need_others")]
    jobs_with_dependencies: usize,
    tasks_waiting: u64,
    machines: Vec<MachineStatus<'a>>,
    rented: BTreeMap<&'static str, usize>,
    image_entries: usize,
    counts: &'a Counts,
}

/// Another controller.
#[derive(Serialize)]
struct PeerStatus<'a> {
    member: &'a str,
    alive: bool,
    state_ok: bool,
    /// 0: a version that does not tell its format; absent: no frame of it has come.
    format: Option<u32>,
}

/// The limits of the key-value store that are kept.
#[derive(Serialize)]
struct StateLimitsStatus {
    rps: f64,
    write_rps: f64,
    txn_ops: usize,
    /// For what is divided from now on.
    value_kb: f64,
    /// For what earlier versions divided: larger until the service refuses a value.
    largest_value_kb: f64,
}

/// A shard, the member that holds its lease, and its term.
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
    /// Revision of the lease's key, on which all writes for the shard depend.
    revision: Option<u64>,
}

impl<'a> ShardStatus<'a> {
    fn of(number: usize, shard: &'a Shard) -> ShardStatus<'a> {
        ShardStatus {
            shard: number,
            leader: shard.lease.as_ref().map(|(lease, _)| lease.member.as_str()),
            term: shard.term,
            led: shard.leadership.is_some(),
            recovered: shard.leadership.as_ref().is_some_and(|leadership| leadership.recovered),
            revision: shard.lease.as_ref().map(|(_, revision)| *revision),
        }
    }
}

/// A machine as its manager last told.
#[derive(Serialize)]
struct MachineStatus<'a> {
    machine: &'a str,
    #[serde(rename = "type")]
    machine_type: &'a str,
    zone: &'a str,
    spot: bool,
    known: bool,
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
            known: view.known,
            healthy: view.healthy,
            tasks: view.tasks.len(),
        }
    }
}

/// Counters for the status page.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct Counts {
    pub(crate) accepted: u64,
    pub(crate) refused: u64,
    pub(crate) done: u64,
    pub(crate) cancelled: u64,
    /// Jobs let go once all that they need was done.
    pub(crate) released: u64,
    /// Jobs cancelled with one that they need.
    #[serde(rename = "cancelled_with_upstream")]
    pub(crate) cancelled_with_dependency: u64,
    pub(crate) placed: u64,
    pub(crate) image_hits: u64,
    pub(crate) failed: u64,
    pub(crate) lost: u64,
    pub(crate) preempted: u64,
    #[serde(rename = "reports")]
    pub(crate) heartbeats: u64,
    #[serde(rename = "bad_reports")]
    pub(crate) bad_heartbeats: u64,
    pub(crate) decisions: DecisionCounts,
}

impl Controller {
    /// For the status page.
    pub fn status(&self, now: Micros) -> Value {
        let page = StatusPage {
            member: &self.context.member,
            format: peer::FORMAT,
            lease_valid: self.leadership.controller_lease.valid(now),
            peers: self.peer_statuses(),
            state_limits: self.state_limits_status(),
            shards: self.shard_statuses(),
            jobs: self.jobs.by_id.len(),
            jobs_with_dependencies: self.jobs.by_id.values().filter(|j| j.waiting).count(),
            tasks_waiting: self.jobs.by_id.values().map(|j| u64::from(j.pending())).sum(),
            machines: self.machine_statuses(),
            rented: self.autoscaler.fleet.stages(),
            image_entries: self.scheduler.images.len(),
            counts: &self.counts,
        };
        serde_json::json!(page)
    }

    fn peer_statuses(&self) -> Vec<PeerStatus<'_>> {
        let status = |(number, peer): (&usize, &PeerInfo)| PeerStatus {
            member: &self.context.members[*number],
            alive: self.peer_alive(*number),
            state_ok: peer.state_ok,
            format: peer.last_frame.map(|_| peer.format),
        };
        self.peers.by_member.iter().map(status).collect()
    }

    fn state_limits_status(&self) -> StateLimitsStatus {
        let limits = &self.context.settings.state;
        let lowered = self.jobs.previous_chunk_layout.is_none();
        StateLimitsStatus {
            rps: limits.rps,
            write_rps: limits.write_rps,
            txn_ops: limits.txn_ops,
            value_kb: limits.value_kb,
            largest_value_kb: if lowered { limits.value_kb } else { limits.value_kb_now },
        }
    }

    fn shard_statuses(&self) -> Vec<ShardStatus<'_>> {
        self.leadership
            .shards
            .iter()
            .enumerate()
            .map(|(number, shard)| ShardStatus::of(number, shard))
            .collect()
    }

    fn machine_statuses(&self) -> Vec<MachineStatus<'_>> {
        self.machines.views.values().map(MachineStatus::of).collect()
    }

    /// Tells the log how many tasks wait for what.
    pub(crate) fn log_waiting(&self) {
        if !log::log_enabled!(log::Level::Debug) {
            return;
        }
        let mut counts: BTreeMap<(&str, &str, &str), u32> = BTreeMap::new();
        for j in self.jobs.by_id.values().filter(|j| !j.cancelled && !j.over && j.pending() > 0) {
            *counts.entry((&j.spec.class, &j.spec.team, j.pending_reason)).or_default() +=
                j.pending();
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
            if let Some(j) = self.jobs.by_id.get(&id) {
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
                    j.pending_reason
                );
            }
        }
        for (id, j) in self.jobs.by_id.iter().filter(|(_, j)| j.waiting && !j.cancelled && !j.over)
        {
            let needs: Vec<&str> = j.dependencies.iter().map(String::as_str).collect();
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
    pub fn led_shard_count(&self) -> usize {
        self.leadership.shards.iter().filter(|s| s.leadership.is_some()).count()
    }
}
