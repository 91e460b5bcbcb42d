//! Frames from and to the other controllers: what they say is taken in, and what
//! has changed here is told to them.

use crate::controller::autoscaler::AUTOSCALER_SHARD;
use crate::controller::timers::{
    DEMAND_EVERY, MISSED_EVERY, PEER_HEARTBEAT_INTERVAL, PROGRESS_EVERY,
};
use crate::controller::{Controller, Effect, Watch};
use crate::peer::{self, DesiredUpdate, Frame};
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A peer that has been silent for longer does not count as alive.
const PEER_SILENT: Micros = Micros::secs(3);

/// Another controller, by what its frames say.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerInfo {
    pub(crate) last_frame: Option<Micros>,
    pub(crate) well_since: Option<Micros>,
    pub(crate) state_ok: bool,
    pub(crate) incarnation: u64,
    pub(crate) demand: Vec<peer::Demand>,
    pub(crate) quota_demand: Vec<peer::QuotaDemand>,
    /// It gives its shards up, since it and its workers cannot reach each other.
    pub(crate) partitioned: bool,
    /// Machines of others' shards that report to it, by shard.
    pub(crate) misdirected: BTreeMap<usize, u32>,
    /// Number of its last frame.
    pub(crate) number: u64,
    /// A frame of it was lost, and it has not told all since.
    pub(crate) behind: bool,
    /// Revision of the key-value store up to which it has followed the jobs.
    pub(crate) watched: u64,
    /// Format of what it stores and sends; 0 in versions that do not tell it.
    pub(crate) format: u32,
}

impl Controller {
    pub(crate) fn peer_alive(&self, member: usize) -> bool {
        self.peers
            .by_member
            .get(&member)
            .and_then(|p| p.last_frame)
            .is_some_and(|at| self.context.now.since(at) < PEER_SILENT)
    }

    pub(crate) fn peer_frame(&mut self, from: usize, frame: Frame) {
        let now = self.context.now;
        let Some(info) = self.peers.by_member.get_mut(&from) else {
            return;
        };
        let next = info.incarnation == frame.incarnation && info.number + 1 == frame.number;
        info.number = frame.number;
        info.behind = !frame.full && (info.behind || !next);
        if !frame.full && !next {
            // What was lost is not known, so nothing follows from what the rest
            // does not name.
            for s in 0..self.leadership.shards.len() {
                if self.shard_leader(s) == Some(from) {
                    self.machines.desired[s].mark_incomplete();
                }
            }
        }
        let Some(info) = self.peers.by_member.get_mut(&from) else {
            return;
        };
        if info.incarnation != frame.incarnation {
            info.incarnation = frame.incarnation;
            info.well_since = None;
        }
        info.partitioned = frame.partitioned;
        info.watched = frame.watched;
        info.format = frame.format;
        if info.last_frame.is_none_or(|at| now.since(at) > PEER_SILENT)
            || !frame.state_ok
            || frame.partitioned
        {
            info.well_since = None;
        }
        info.last_frame = Some(now);
        info.state_ok = frame.state_ok;
        if !frame.state_ok {
            // It cannot act: what it said that it needs must hold up nobody.
            info.demand.clear();
            info.quota_demand.clear();
            info.misdirected.clear();
        }
        if frame.state_ok && !frame.partitioned {
            info.well_since.get_or_insert(now);
        }
        if frame.has_demand {
            let misdirected = frame.misdirected.iter().map(|s| (s.shard as usize, s.machines));
            info.misdirected = misdirected.collect();
            info.demand = frame.demand;
            info.quota_demand = frame.quota_demand;
        }
        for h in &frame.shard_claims {
            let Some(shard) = self.leadership.shards.get_mut(h.shard as usize) else {
                continue;
            };
            if h.term > shard.term {
                // Not yet received from the watch: only the term is taken over,
                // the holder's mark comes with the watch.
                shard.term = h.term;
                if shard.leadership.as_ref().is_some_and(|m| m.term < h.term) {
                    self.step_down(h.shard as usize, "a peer holds it under a higher term");
                }
            }
        }
        for w in frame.desired {
            match w.read() {
                Some(w) => self.apply_desired_state(w),
                None => log::warn!("desired tasks without a job from peer {from}"),
            }
        }
        for v in frame.views {
            self.apply_view(v);
        }
        for p in frame.progress {
            self.jobs.progress.insert(p.job, (p.done, p.running));
        }
        for job in frame.cancelled {
            // Answers that were read before the cancellation must not go out now.
            self.apply_peer_cancellation(&job);
        }
        for machine in frame.terminated {
            self.machine_terminated(&machine);
        }
        for p in frame.inherited_urgency {
            self.inherit_urgency(&p.job, p.rank, Micros(p.due_us));
        }
        if frame.is_autoscaler {
            self.set_draining(frame.draining.into_iter().collect());
        }
        for t in frame.preempt {
            self.preempt_task(&t);
        }
        for h in frame.address_hints {
            self.machines.apply_address_hint(h);
        }
        if frame.missed.contains(&(self.context.me as u32)) {
            self.changes.peers_to_sync.insert(from);
        }
    }

    pub(crate) fn send_frames(&mut self, mut frame: Frame) {
        let holds_lease = self.holds_lease();
        // For display alone, and counted anew for every job: now and then will do.
        if self.context.now >= self.timers.progress {
            self.timers.progress = self.context.now + PROGRESS_EVERY;
            for job in std::mem::take(&mut self.changes.progress) {
                if let Some(j) = self.jobs.by_id.get(&job) {
                    let (done, running) = (j.done(), j.running());
                    if self.jobs.progress.get(&job) != Some(&(done, running)) {
                        self.jobs.progress.insert(job.clone(), (done, running));
                        frame.progress.push(peer::Progress { job, done, running });
                    }
                }
            }
        }
        frame.cancelled = std::mem::take(&mut self.changes.cancelled);
        frame.terminated = std::mem::take(&mut self.changes.terminated);
        frame.preempt = std::mem::take(&mut self.changes.preemptions);
        frame.inherited_urgency = std::mem::take(&mut self.jobs.dependency_graph.news);
        if self.context.now >= self.timers.missed_frames {
            let behind = self.peers.by_member.iter().filter(|(_, p)| p.behind);
            frame.missed = behind.map(|(n, _)| *n as u32).collect();
            if !frame.missed.is_empty() {
                self.timers.missed_frames = self.context.now + MISSED_EVERY;
            }
        }
        let beat = self.context.now >= self.timers.peer_heartbeat;
        let idle = frame == Frame::default() && !self.api.terminal_states.take_peer_notification();
        if beat || self.context.now >= self.timers.demand {
            self.timers.demand = self.context.now + DEMAND_EVERY;
            if holds_lease {
                frame.has_demand = true;
                frame.demand = self.scheduler.demand(&self.scheduling_inputs());
                frame.quota_demand =
                    self.quota.unmet_demand(&self.jobs, &self.leadership, self.context.now);
                frame.misdirected = self.misdirected();
            }
        }
        if idle && !beat && self.changes.peers_to_sync.is_empty() {
            return;
        }
        if beat {
            self.timers.peer_heartbeat = self.context.now + PEER_HEARTBEAT_INTERVAL;
            let again = self.cancellations_to_repeat();
            frame.cancelled.extend(again);
        }
        frame.format = peer::FORMAT;
        frame.watched = self.leadership.watches.get(&Watch::Jobs).map_or(0, |f| f.revision());
        self.peers.frames_sent += 1;
        frame.number = self.peers.frames_sent;
        frame.member.clone_from(&self.context.member);
        frame.incarnation = self.context.incarnation;
        frame.state_ok = holds_lease;
        frame.partitioned = self.leadership.connectivity.partitioned();
        if holds_lease {
            for (n, shard) in self.leadership.shards.iter().enumerate() {
                if let Some(m) = &shard.leadership {
                    frame.shard_claims.push(peer::ShardClaim { shard: n as u32, term: m.term });
                }
            }
            if self.leading_term(AUTOSCALER_SHARD).is_some() {
                frame.is_autoscaler = true;
                frame.draining = self.autoscaler.fleet.draining_since.keys().cloned().collect();
                self.set_draining(frame.draining.iter().cloned().collect());
            }
        }
        let frame = Rc::new(frame);
        let sync = std::mem::take(&mut self.changes.peers_to_sync);
        let peers: Vec<usize> = self.peers.by_member.keys().copied().collect();
        for to in peers {
            let frame = if sync.contains(&to) && holds_lease {
                Rc::new(self.full_frame((*frame).clone()))
            } else {
                Rc::clone(&frame)
            };
            self.context.effects.push(Effect::Peer { to, frame });
        }
        if !holds_lease {
            // Nothing could be said yet; the new connections still need all of it.
            self.changes.peers_to_sync = sync;
        }
    }

    pub(crate) fn set_draining(&mut self, draining: BTreeSet<String>) {
        let old = std::mem::replace(&mut self.autoscaler.draining, draining);
        for machine in old.symmetric_difference(&self.autoscaler.draining) {
            self.scheduler.mark_stale(machine);
        }
    }

    /// Everything that a peer must know which has received nothing so far.
    pub(crate) fn full_frame(&self, mut frame: Frame) -> Frame {
        frame.full = true;
        frame.desired.clear();
        for shard in 0..self.leadership.shards.len() {
            let desired = &self.machines.desired[shard];
            if !self.serves_shard(shard)
                || self.leading_term(shard) != Some(desired.term)
                || !desired.is_complete()
            {
                continue;
            }
            let wanted = desired.machines.iter().filter(|(_, m)| !m.tasks.is_empty());
            let desired = DesiredUpdate {
                shard,
                term: desired.term,
                seq: desired.seq,
                complete: true,
                // Terms machine by machine: one that nothing has been wanted on
                // since its shard moved would hold up all others of the shard.
                machines: wanted
                    .map(|(name, m)| (name.clone(), m.known_machine_term, m.tasks.clone()))
                    .collect(),
                terms: Vec::new(),
                known_terms: desired.known_terms.clone(),
            };
            frame.desired.push(desired.to_message());
        }
        frame.views = self
            .machines
            .managed
            .keys()
            .filter_map(|m| self.machines.views.get(m))
            .cloned()
            .collect();
        frame.progress = self
            .jobs
            .by_id
            .iter()
            .map(|(id, j)| peer::Progress { job: id.clone(), done: j.done(), running: j.running() })
            .collect();
        frame.address_hints = self
            .machines
            .views
            .values()
            .filter(|v| !self.machines.managed.contains_key(&v.machine) && !v.address.is_empty())
            .map(|v| peer::AddressHint {
                machine: v.machine.clone(),
                incarnation: v.incarnation,
                address: v.address.clone(),
            })
            .collect();
        frame.terminated = self.machines.terminated.iter().rev().take(500).cloned().collect();
        frame
    }

    /// A shard has a new term: what is wanted on its machines is said anew, with
    /// all that was concluded under the earlier one.
    pub(crate) fn announce_terms(&mut self) {
        for h in 0..self.leadership.shards.len() {
            if self.leadership.shards[h].term > self.peers.announced_terms[h] {
                self.peers.announced_terms[h] = self.leadership.shards[h].term;
                self.changes.announce_terms = true;
                let there: Vec<(usize, Rc<str>)> = self
                    .jobs
                    .tasks_by_machine
                    .keys()
                    .filter(|(_, m)| self.shard_of_machine(m) == h)
                    .cloned()
                    .collect();
                self.changes.desired.extend(there);
            }
        }
    }
}
