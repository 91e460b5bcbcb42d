//! Whether the workers and this node can reach each other.
//!
//! A node that is cut off from its workers alone keeps its state lease and so
//! its shards; its machines would run out their leases with all that is on them.
//! Silence observed by one that nobody reaches is no evidence against machines: if at
//! the same time machines of its shards turn to a peer and reach it, the node
//! gives its shards up to those who can be reached. It is given none back until a
//! worker answers it, and later each time, since a cut may be one-way.

use crate::controller::calls::MachinesCall;
use crate::controller::{Controller, DirectReply, Effect};
use crate::peer::MisdirectedHeartbeats;
use crate::time::Micros;
use log::info;
use rand::seq::IteratorRandom;
use std::collections::BTreeMap;

/// How long a report to the wrong node counts as a sign that its own is away.
const MISDIRECTED_FOR: Micros = Micros::secs(6);
/// How long the signs of a cut must last: a redirected worker reports sooner.
const SURE: Micros = Micros::millis(1_200);
/// The same where some workers still report: longer than late reports, which
/// all come at once when a cut ends, count as signs.
const SURE_OF_PART: Micros = Micros::secs(10);
/// After a take its machines are on their way here; misdirected reports are no sign yet.
const SETTLED: Micros = Micros::secs(8);
/// A gap in this node's own time: it stood still, and its silence proves nothing.
const GAP: Micros = Micros::secs(1);
/// Between probes of workers while cut off, and how many are asked.
const PROBE_EVERY: Micros = Micros::secs(2);
const PROBED: usize = 4;
/// Times that the pause before shards come back is doubled at most.
const DOUBLINGS: u32 = 3;

/// What is known of the way between this node and the workers.
#[derive(Debug, Default)]
pub(crate) struct Connectivity {
    /// When a worker of an own shard last reported or answered.
    last_contact: Micros,
    /// Machines of others' shards that reported here, and when.
    misdirected: BTreeMap<String, Micros>,
    /// Since when the signs of a cut are there.
    suspected: Option<Micros>,
    /// When this was last looked at.
    checked_at: Micros,
    /// Shards are being given up, or were, and are not to come back yet.
    cut: bool,
    /// When a worker answered again.
    back: Option<Micros>,
    /// Cuts so far.
    cuts: u32,
    probe_at: Micros,
}

impl Connectivity {
    /// Whether this node gives its shards up.
    pub fn partitioned(&self) -> bool {
        self.cut
    }

    /// A worker of an own shard reported or answered.
    pub fn record_contact(&mut self, now: Micros) {
        self.last_contact = now;
    }

    /// A machine of somebody else's shard reported here.
    pub fn note_misdirected(&mut self, now: Micros, machine: &str) {
        self.misdirected.insert(machine.to_string(), now);
    }
}

/// Whether the signs of a cut are there, and how long they must last: of `machines`
/// that a shard knows, so many turn to a peer, and any, or none, report here.
pub fn signs(machines: usize, misdirected: u32, silent: bool) -> Option<Micros> {
    let misdirected = misdirected as usize;
    if machines == 0 {
        None
    } else if silent && misdirected >= machines.min(2) {
        Some(SURE)
    } else if misdirected * 2 > machines && machines > 2 {
        Some(SURE_OF_PART)
    } else {
        None
    }
}

/// How long it takes until silence of all of so many machines means something.
pub fn silence(machines: usize, heartbeat_interval_s: f64) -> Micros {
    // Each reports within a quarter more than its period; of many, one does
    // at nearly any moment.
    let all = heartbeat_interval_s * 1.25 + 1.0;
    let s = if machines < 16 { all } else { (heartbeat_interval_s / 2.0).max(2.5).min(all) };
    Micros::from_secs_f64(s)
}

impl Controller {
    /// Machines of others' shards that report here, for those who own their shards.
    pub(crate) fn misdirected(&self) -> Vec<MisdirectedHeartbeats> {
        let mut counts: BTreeMap<usize, u32> = BTreeMap::new();
        for m in self.leadership.connectivity.misdirected.keys() {
            *counts.entry(self.shard_of_machine(m)).or_insert(0) += 1;
        }
        counts
            .into_iter()
            .map(|(s, machines)| MisdirectedHeartbeats { shard: s as u32, machines })
            .collect()
    }

    /// Gives shards up while their machines cannot reach this node, and looks
    /// whether they can again.
    pub(crate) fn check_connectivity(&mut self) {
        let now = self.context.now;
        let gap = now.since(self.leadership.connectivity.checked_at);
        if gap < Micros::millis(250) {
            return;
        }
        self.leadership.connectivity.checked_at = now;
        self.leadership.connectivity.misdirected.retain(|_, at| now.since(*at) < MISDIRECTED_FOR);
        if gap > GAP {
            // What has come meanwhile is not read yet.
            self.leadership.connectivity.last_contact = now;
            self.leadership.connectivity.suspected = None;
            return;
        }
        if self.leadership.connectivity.cut {
            return self.look_for_workers();
        }
        if !self.holds_lease() {
            self.leadership.connectivity.suspected = None;
            return;
        }
        let mut known = vec![0_usize; self.leadership.shards.len()];
        let mut all = 0;
        for (m, _) in self.machines.managed.iter().filter(|(_, p)| p.has_live_incarnation()) {
            known[crate::controller::leadership::shard::shard_of_machine(
                m,
                self.leadership.shards.len(),
            )] += 1;
            all += 1;
        }
        let silent = now.since(self.leadership.connectivity.last_contact)
            > silence(all, self.context.settings.workers.heartbeat_interval_s);
        let found = (0..self.leadership.shards.len())
            .filter(|s| {
                let leadership = self.leadership.shards[*s].leadership.as_ref();
                leadership.is_some_and(|m| m.recovered && now.since(m.acquired_at) > SETTLED)
            })
            .filter_map(|s| {
                let alive = self
                    .peers
                    .by_member
                    .iter()
                    .filter(|(n, p)| self.peer_alive(**n) && !p.partitioned);
                let misdirected = alive.filter_map(|(_, p)| p.misdirected.get(&s)).max().copied();
                signs(known[s], misdirected.unwrap_or(0), silent)
            })
            .min();
        let Some(lasting) = found else {
            self.leadership.connectivity.suspected = None;
            return;
        };
        if now.since(*self.leadership.connectivity.suspected.get_or_insert(now)) < lasting {
            return;
        }
        info!("the workers do not reach this node; its shards are given up");
        self.leadership.connectivity.suspected = None;
        self.leadership.connectivity.cut = true;
        self.leadership.connectivity.back = None;
        self.leadership.connectivity.cuts += 1;
        self.give_up_shards();
    }

    fn give_up_shards(&mut self) {
        for leadership in self.leadership.shards.iter_mut().filter_map(|s| s.leadership.as_mut()) {
            leadership.handing_over = true;
        }
    }

    /// Asks a few machines how they are; once one answers, and after a pause
    /// that grows with every cut, shards may come back.
    fn look_for_workers(&mut self) {
        let now = self.context.now;
        let well = |p: &crate::controller::PeerInfo| p.state_ok && !p.partitioned;
        if self.peers.by_member.iter().any(|(n, p)| self.peer_alive(*n) && well(p)) {
            // Also what was taken meanwhile because nobody else was there.
            self.give_up_shards();
        }
        if let Some(at) = self.leadership.connectivity.back {
            let doublings = (self.leadership.connectivity.cuts.max(1) - 1).min(DOUBLINGS);
            let pause = Micros(self.context.options.failback_delay.0 * ((1 << doublings) - 1));
            if now.since(at) >= pause {
                info!("workers answer again; shards may come back");
                self.leadership.connectivity.cut = false;
                self.leadership.connectivity.last_contact = now;
            }
            return;
        }
        if now < self.leadership.connectivity.probe_at {
            return;
        }
        self.leadership.connectivity.probe_at = now + PROBE_EVERY;
        let there = self.machines.views.values().filter(|v| v.healthy);
        let addresses = there.filter_map(|v| v.address.parse().ok());
        for address in addresses.sample(&mut self.context.rng, PROBED) {
            let id = self.context.register_call(MachinesCall::Inspect);
            self.context.effects.push(Effect::Inspect { id, address });
        }
    }

    pub(crate) fn inspected(&mut self, reply: &DirectReply) {
        if matches!(reply, DirectReply::Answered { status: 200, .. }) {
            self.leadership.connectivity.back.get_or_insert(self.context.now);
        }
    }
}
