//! Whether the workers and this node can reach each other.
//!
//! A node that a network partition separates from its workers alone keeps its controller lease
//! and so its shards; its machines' leases would expire with all that runs on them. Silence
//! observed by a node that nobody reaches is no evidence against machines: if at the same time
//! machines of its shards turn to a peer and reach it, the node hands its shards over to those
//! who can be reached. It acquires none until a worker answers it, and later each time, since a
//! partition may be one-way.

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

/// How long a heartbeat to the wrong node counts as a sign that its own cannot be reached.
const MISDIRECTED_MAX_AGE: Micros = Micros::secs(6);
/// How long the signs of a partition must last: a redirected worker sends a heartbeat sooner.
const FULL_PARTITION_MIN_DURATION: Micros = Micros::millis(1_200);
/// The same where some workers' heartbeats still arrive: longer than late heartbeats, which
/// all come at once when a partition ends, count as signs.
const PARTIAL_PARTITION_MIN_DURATION: Micros = Micros::secs(10);
/// After an acquisition the shard's machines are on their way here; misdirected heartbeats are
/// no sign yet.
const REDIRECTION_TIME: Micros = Micros::secs(8);
/// Longest gap between two checks: after a longer one this process was paused, and the
/// silence of workers proves nothing.
const MAX_CHECK_GAP: Micros = Micros::secs(1);
/// Between checks.
const CHECK_INTERVAL: Micros = Micros::millis(250);
/// Between probes of workers during a partition.
const PROBE_INTERVAL: Micros = Micros::secs(2);
/// Workers probed at once.
const PROBED_WORKERS: usize = 4;
/// Times that the pause before shards come back is doubled at most.
const MAX_PAUSE_DOUBLINGS: u32 = 3;

/// What is known of the network between this node and the workers.
#[derive(Debug, Default)]
pub(crate) struct Connectivity {
    /// When a worker of an own shard last sent a heartbeat or answered.
    last_contact_at: Micros,
    /// Machines of others' shards whose heartbeats came here, and when.
    misdirected: BTreeMap<String, Micros>,
    /// Since when the signs of a partition are there.
    suspected_since: Option<Micros>,
    checked_at: Micros,
    /// Shards are being handed over, or were, and are not to come back yet.
    partitioned: bool,
    /// When a worker answered again.
    contact_regained_at: Option<Micros>,
    /// Partitions so far.
    partitions: u32,
    next_probe_at: Micros,
}

impl Connectivity {
    /// Whether this node hands its shards over, since its workers cannot reach it.
    pub(crate) fn partitioned(&self) -> bool {
        self.partitioned
    }

    /// A worker of an own shard sent a heartbeat or answered.
    pub(crate) fn record_contact(&mut self, now: Micros) {
        self.last_contact_at = now;
    }

    /// A machine of somebody else's shard sent its heartbeat here.
    pub(crate) fn note_misdirected(&mut self, now: Micros, machine: &str) {
        self.misdirected.insert(machine.to_string(), now);
    }

    /// A worker that was probed answered, or did not.
    pub(crate) fn probe_reply(&mut self, reply: &DirectReply, now: Micros) {
        if matches!(reply, DirectReply::Answered { status: 200, .. }) {
            self.contact_regained_at.get_or_insert(now);
        }
    }

    /// Records whether the signs of a partition are there, with how long they must last. Whether
    /// this node counts as partitioned from now on.
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

    /// Ends the partition once workers have been reached for long enough: longer with each
    /// partition.
    fn end_partition_if_due(&mut self, regained_at: Micros, context: &Context) {
        let doublings = (self.partitions.max(1) - 1).min(MAX_PAUSE_DOUBLINGS);
        let pause = Micros(context.options.failback_delay.0 * ((1 << doublings) - 1));
        if context.now.since(regained_at) >= pause {
            info!("workers can be reached again; shards may come back");
            self.partitioned = false;
            self.last_contact_at = context.now;
        }
    }

    /// Probes a few workers that are healthy by others' views.
    fn probe_workers(&mut self, machines: &Machines, context: &mut Context) {
        if context.now < self.next_probe_at {
            return;
        }
        self.next_probe_at = context.now + PROBE_INTERVAL;
        let healthy = machines.views().values().filter(|view| view.healthy);
        let addresses = healthy.filter_map(|view| view.address.parse().ok());
        for address in addresses.sample(&mut context.rng, PROBED_WORKERS) {
            let id = context.register_call(MachinesCall::Inspect);
            context.emit(Effect::Inspect { id, address });
        }
    }
}

/// How long the signs of a partition must last, if they are there: of `machines` that a shard
/// knows, so many are `misdirected` to a peer; `silent` if no heartbeat arrives here.
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

/// How long all of so many machines must be silent until that means something.
fn significant_silence(machines: usize, heartbeat_interval_s: f64) -> Micros {
    // Each sends a heartbeat within a quarter more than its interval; of many, one does
    // at nearly any moment.
    let all_s = heartbeat_interval_s * 1.25 + 1.0;
    let any_s = (heartbeat_interval_s / 2.0).max(2.5).min(all_s);
    Micros::from_secs_f64(if machines < 16 { all_s } else { any_s })
}

impl Leadership {
    /// How many machines of each other shard send their heartbeats here, for those shards'
    /// leaders.
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

    /// Hands shards over while their machines cannot reach this node, and checks
    /// whether they can again.
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
            // What has come meanwhile is not read yet.
            connectivity.last_contact_at = now;
            connectivity.suspected_since = None;
        } else if connectivity.partitioned {
            self.maintain_partition(machines, peers, context);
        } else {
            let signs = self.partition_signs(machines, peers, context);
            if self.connectivity.detect_partition(signs, now) {
                info!("the workers cannot reach this node; its shards are handed over");
                self.begin_handover_of_all();
            }
        }
    }

    /// How long the signs of a partition must last, if any shard shows them.
    fn partition_signs(
        &self,
        machines: &Machines,
        peers: &Peers,
        context: &Context,
    ) -> Option<Micros> {
        let now = context.now;
        if !self.holds_lease(now) {
            return None;
        }
        let mut known = vec![0_usize; self.shard_count()];
        for (machine, managed) in machines.managed() {
            if managed.has_live_incarnation() {
                known[shard_of_machine(machine, self.shard_count())] += 1;
            }
        }
        let heartbeat_interval_s = context.settings.workers.heartbeat_interval_s;
        let silence = significant_silence(known.iter().sum(), heartbeat_interval_s);
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
                required_duration(known[shard], misdirected as usize, silent)
            })
            .min()
    }

    /// Probes workers; once one answers, and after a pause that grows with every partition,
    /// shards may come back.
    fn maintain_partition(&mut self, machines: &Machines, peers: &Peers, context: &mut Context) {
        if peers.any_healthy(context.now) {
            // Also what was acquired meanwhile because nobody else was there.
            self.begin_handover_of_all();
        }
        match self.connectivity.contact_regained_at {
            Some(at) => self.connectivity.end_partition_if_due(at, context),
            None => self.connectivity.probe_workers(machines, context),
        }
    }
}
