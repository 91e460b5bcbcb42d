//! Reachability between this node and its workers.
//!
//! A node that a network partition separates only from its workers keeps its controller lease and
//! thus its shards, while the leases of its machines would expire and all tasks on them would be
//! lost. Silence observed by a node that no worker reaches is no evidence against machines: if at
//! the same time machines of its shards turn to a peer and reach it, the node hands its shards over
//! to members that can be reached.
//!
//! Until a worker answers a probe, the node acquires vacant shards later than the other members,
//! and hands them over again while any peer is healthy. From the second partition on, this
//! continues for a further pause, longer after each partition up to a maximum, since a partition
//! may be one-way.

use crate::controller::calls::MachinesCall;
use crate::controller::context::Context;
use crate::controller::leadership::Leadership;
use crate::controller::leadership::shard::shard_of_machine;
use crate::controller::machines::Machines;
use crate::controller::peers::Peers;
use crate::controller::{DirectReply, Effect};
use crate::peer::MisdirectedHeartbeats;
use crate::time::Micros;
use log::info;
use rand::seq::IteratorRandom;
use std::collections::BTreeMap;

/// How long a misdirected heartbeat counts as a sign that its machine cannot reach the leader of
/// its shard.
const MISDIRECTED_MAX_AGE: Micros = Micros::secs(6);
/// How long the signs of a partition must last while no heartbeat arrives here. A redirected worker
/// sends a heartbeat sooner than that.
const FULL_PARTITION_MIN_DURATION: Micros = Micros::millis(1_200);
/// How long the signs of a partition must last while some workers' heartbeats still arrive. Late
/// heartbeats, which all arrive at once when a partition ends, count as signs for a shorter time
/// ([`MISDIRECTED_MAX_AGE`]).
const PARTIAL_PARTITION_MIN_DURATION: Micros = Micros::secs(10);
/// Time after an acquisition during which the shard's machines are still being redirected to this
/// node: misdirected heartbeats are no sign of a partition yet.
const REDIRECTION_TIME: Micros = Micros::secs(8);
/// Maximum gap between two checks. After a longer one this process was paused, and the silence of
/// workers proves nothing.
const MAX_CHECK_GAP: Micros = Micros::secs(1);
/// Interval between checks.
const CHECK_INTERVAL: Micros = Micros::millis(250);
/// Interval between probes of workers during a partition.
const PROBE_INTERVAL: Micros = Micros::secs(2);
/// Maximum number of workers probed at once.
const MAX_PROBED_WORKERS: usize = 4;
/// Maximum number of earlier partitions that lengthen the pause before shards may come back. The
/// pause is `failback_delay` times 2^n - 1 after n earlier partitions, so at most 7 times.
const MAX_COUNTED_PARTITIONS: u32 = 3;

/// Observed state of the network between this node and the workers.
#[derive(Debug, Default)]
pub(crate) struct Connectivity {
    /// When this process last accepted a heartbeat of a led shard's worker. Also set after a pause
    /// of the process and at the end of a partition.
    last_contact_at: Micros,
    /// Machines of other members' shards whose heartbeats arrived here, with the time of the last
    /// one.
    misdirected: BTreeMap<String, Micros>,
    /// Since when the signs of a partition have been present; `None` while there are none.
    suspected_since: Option<Micros>,
    checked_at: Micros,
    /// Shards are being handed over, or have been and must not come back yet.
    partitioned: bool,
    /// When a worker first answered a probe in the current partition.
    contact_regained_at: Option<Micros>,
    /// Number of partitions detected since the start of the process.
    partitions: u32,
    next_probe_at: Micros,
}

impl Connectivity {
    /// Whether this node counts as partitioned from its workers and hands its shards over.
    pub(crate) fn partitioned(&self) -> bool {
        self.partitioned
    }

    /// Records that this process accepted a heartbeat of a led shard's worker.
    pub(crate) fn record_contact(&mut self, now: Micros) {
        self.last_contact_at = now;
    }

    /// Records a heartbeat from a machine whose shard another member leads.
    pub(crate) fn record_misdirected_heartbeat(&mut self, now: Micros, machine: &str) {
        self.misdirected.insert(machine.to_string(), now);
    }

    /// Handles the result of a probe; only a successful answer counts as regained contact.
    pub(crate) fn probe_reply(&mut self, reply: &DirectReply, now: Micros) {
        if matches!(reply, DirectReply::Answered { status: 200, .. }) {
            self.contact_regained_at.get_or_insert(now);
        }
    }

    /// Records whether the signs of a partition are present: `required` is how long they must last,
    /// `None` if there are none. Returns true if this node counts as partitioned from now on.
    fn detect_partition(&mut self, required: Option<Micros>, now: Micros) -> bool {
        let Some(required) = required else {
            self.suspected_since = None;
            return false;
        };
        if now.since(*self.suspected_since.get_or_insert(now)) < required {
            return false;
        }
        self.suspected_since = None;
        self.partitioned = true;
        self.contact_regained_at = None;
        self.partitions += 1;
        true
    }

    /// Ends the partition once workers have been reachable for long enough: longer after each
    /// partition, up to a maximum.
    fn end_partition_if_due(&mut self, regained_at: Micros, context: &Context) {
        let earlier_partitions = (self.partitions.max(1) - 1).min(MAX_COUNTED_PARTITIONS);
        let pause = Micros(context.options.failback_delay.0 * ((1 << earlier_partitions) - 1));
        if context.now.since(regained_at) >= pause {
            info!("workers can be reached again; shards may come back");
            self.partitioned = false;
            self.last_contact_at = context.now;
        }
    }

    /// Probes a few workers whose machines the cached views report as healthy.
    fn probe_workers(&mut self, machines: &Machines, context: &mut Context) {
        if context.now < self.next_probe_at {
            return;
        }
        self.next_probe_at = context.now + PROBE_INTERVAL;
        let healthy = machines.views().values().filter(|view| view.healthy);
        let addresses = healthy.filter_map(|view| view.address.parse().ok());
        for address in addresses.sample(&mut context.rng, MAX_PROBED_WORKERS) {
            let id = context.register_call(MachinesCall::Inspect);
            context.emit(Effect::Inspect { id, address });
        }
    }
}

/// How long the signs of a partition must last; `None` if there are none. Of the `machines`
/// observed in a shard, `misdirected` send their heartbeats to a peer; `silent` is true if no
/// heartbeat arrives here.
fn required_duration(machines: usize, misdirected: usize, silent: bool) -> Option<Micros> {
    if machines == 0 {
        None
    } else if silent && misdirected >= machines.min(2) {
        Some(FULL_PARTITION_MIN_DURATION)
    } else if misdirected * 2 > machines && machines > 2 {
        Some(PARTIAL_PARTITION_MIN_DURATION)
    } else {
        None
    }
}

/// How long all of `machines` must be silent before their silence counts as a sign of a partition.
fn silence_threshold(machines: usize, heartbeat_interval_s: f64) -> Micros {
    // A machine sends a heartbeat within 1.25 times its interval. Of many machines, one sends a
    // heartbeat at nearly any moment.
    let all_s = heartbeat_interval_s * 1.25 + 1.0;
    let any_s = (heartbeat_interval_s / 2.0).max(2.5).min(all_s);
    Micros::from_secs_f64(if machines < 16 { all_s } else { any_s })
}

impl Leadership {
    /// Number of machines of each shard whose heartbeats arrived here although another member leads
    /// it, for the leaders of those shards.
    pub(crate) fn misdirected_heartbeats(&self) -> Vec<MisdirectedHeartbeats> {
        let mut counts: BTreeMap<usize, u32> = BTreeMap::new();
        for machine in self.connectivity.misdirected.keys() {
            *counts.entry(self.shard_of_machine(machine)).or_insert(0) += 1;
        }
        counts
            .into_iter()
            .map(|(shard, machines)| MisdirectedHeartbeats { shard: shard as u32, machines })
            .collect()
    }

    /// Hands all shards over while machines cannot reach this node, and checks whether they can
    /// again.
    pub(crate) fn check_connectivity(
        &mut self,
        machines: &Machines,
        peers: &Peers,
        context: &mut Context,
    ) {
        let now = context.now;
        let gap = now.since(self.connectivity.checked_at);
        if gap < CHECK_INTERVAL {
            return;
        }
        let connectivity = &mut self.connectivity;
        connectivity.checked_at = now;
        connectivity.misdirected.retain(|_, at| now.since(*at) < MISDIRECTED_MAX_AGE);
        if gap > MAX_CHECK_GAP {
            // Heartbeats that arrived during the pause have not been read yet.
            connectivity.last_contact_at = now;
            connectivity.suspected_since = None;
        } else if connectivity.partitioned {
            self.maintain_partition(machines, peers, context);
        } else {
            let required = self.required_partition_duration(machines, peers, context);
            if self.connectivity.detect_partition(required, now) {
                info!("the workers cannot reach this node; its shards are handed over");
                self.begin_handover_of_all();
            }
        }
    }

    /// The shortest time for which the signs of a partition must last in any led shard; `None` if
    /// no shard shows them.
    fn required_partition_duration(
        &self,
        machines: &Machines,
        peers: &Peers,
        context: &Context,
    ) -> Option<Micros> {
        let now = context.now;
        if !self.holds_lease(now) {
            return None;
        }
        let mut machine_counts = vec![0_usize; self.shard_count()];
        for (machine, managed) in machines.managed() {
            if managed.has_live_incarnation() {
                machine_counts[shard_of_machine(machine, self.shard_count())] += 1;
            }
        }
        let heartbeat_interval_s = context.settings.workers.heartbeat_interval_s;
        let silence = silence_threshold(machine_counts.iter().sum(), heartbeat_interval_s);
        let silent = now.since(self.connectivity.last_contact_at) > silence;
        let redirected = |shard: &usize| {
            self.led_shard(*shard).is_some_and(|leadership| {
                leadership.recovered && now.since(leadership.acquired_at) > REDIRECTION_TIME
            })
        };
        (0..self.shard_count())
            .filter(redirected)
            .filter_map(|shard| {
                let misdirected = peers.misdirected_heartbeats(shard, now);
                required_duration(machine_counts[shard], misdirected as usize, silent)
            })
            .min()
    }

    /// Probes workers until one answers. After a pause that grows with each partition, shards may
    /// then come back.
    fn maintain_partition(&mut self, machines: &Machines, peers: &Peers, context: &mut Context) {
        if peers.any_healthy(context.now) {
            // This includes shards that were acquired meanwhile because no other member was
            // available.
            self.begin_handover_of_all();
        }
        match self.connectivity.contact_regained_at {
            Some(at) => self.connectivity.end_partition_if_due(at, context),
            None => self.connectivity.probe_workers(machines, context),
        }
    }
}
