//! Sends frames to the other controllers, with the changes since the last one.

use crate::controller::autoscaler::AUTOSCALER_SHARD;
use crate::controller::jobs::job;
use crate::controller::peers::Peers;
use crate::controller::{Controller, Effect};
use crate::peer::{self, Frame, Progress, ShardClaim};
use std::collections::BTreeSet;
use std::rc::Rc;

impl Peers {
    /// Numbers of the members from which a frame was missed.
    fn members_with_missed_frames(&self) -> Vec<u32> {
        self.all().filter(|(_, peer)| peer.missed_frames).map(|(member, _)| member as u32).collect()
    }

    /// Allocates the number of a frame that is sent now.
    fn next_frame_number(&mut self) -> u64 {
        self.frames_sent += 1;
        self.frames_sent
    }

    /// Records that the desired state of led shards takes a shard's term into account from now on.
    /// Returns whether the term is higher than any it took into account before.
    fn record_announced_term(&mut self, shard: usize, term: u64) -> bool {
        let announced = &mut self.announced_terms[shard];
        let is_new = term > *announced;
        if is_new {
            *announced = term;
        }
        is_new
    }
}

impl Controller {
    /// Sends a frame to every peer, with all changes in addition to the desired state and views
    /// that are already in `frame`. Sends nothing if nothing has changed, no heartbeat is due and
    /// no peer awaits a full sync.
    pub(crate) fn send_frames(&mut self, mut frame: Frame) {
        let now = self.context.now;
        self.add_changes(&mut frame);
        let heartbeat = self.timers.peer_heartbeat.is_due(now);
        let unchanged =
            frame == Frame::default() && !self.api.terminal_states.take_peer_notification();
        if heartbeat || self.timers.demand.is_due(now) {
            self.timers.demand.restart(now);
            self.add_demand(&mut frame);
        }
        if unchanged && !heartbeat && self.changes.peers_to_sync.is_empty() {
            return;
        }
        if heartbeat {
            self.timers.peer_heartbeat.restart(now);
            let repeated = self.cancellations_to_resend();
            frame.cancelled.extend(repeated);
        }
        self.add_sender_state(&mut frame);
        self.dispatch_frame(frame);
    }

    /// Adds the changes since the last frame.
    fn add_changes(&mut self, frame: &mut Frame) {
        let now = self.context.now;
        // Progress is only displayed, and is recounted for every job: an update at intervals
        // suffices.
        if self.timers.progress.restart_if_due(now) {
            self.add_progress(frame);
        }
        frame.cancelled = std::mem::take(&mut self.changes.cancelled);
        frame.terminated = std::mem::take(&mut self.changes.terminated);
        frame.preemptions = std::mem::take(&mut self.changes.preemptions);
        frame.inherited_urgency = self.jobs.dependents.urgency.take_outbox();
        if self.timers.missed_frames.is_due(now) {
            frame.missed_members = self.peers.members_with_missed_frames();
            if !frame.missed_members.is_empty() {
                self.timers.missed_frames.restart(now);
            }
        }
    }

    fn add_progress(&mut self, frame: &mut Frame) {
        for id in std::mem::take(&mut self.changes.progress) {
            let Some(job) = self.jobs.by_id.get(&id) else {
                continue;
            };
            let progress = job.progress();
            if self.jobs.progress.get(&id) != Some(&progress) {
                self.jobs.progress.insert(id.clone(), progress);
                let job::Progress { done, running } = progress;
                frame.progress.push(Progress { job: id, done, running });
            }
        }
    }

    /// Adds the complete demand of this process: pending tasks, unmet quota demand and misdirected
    /// heartbeats.
    fn add_demand(&mut self, frame: &mut Frame) {
        if self.holds_lease() {
            frame.has_demand = true;
            frame.demand = self.scheduler.demand(&self.scheduling_inputs());
            frame.quota_demand =
                self.quota.unmet_demand(&self.jobs, &self.leadership, self.context.now);
            frame.misdirected = self.leadership.misdirected_heartbeats();
        }
    }

    /// Adds the state of the sender, which every frame carries.
    fn add_sender_state(&mut self, frame: &mut Frame) {
        frame.format = peer::FORMAT;
        frame.followed_revision = self.leadership.followed_jobs_revision();
        frame.frame_number = self.peers.next_frame_number();
        frame.member.clone_from(&self.context.member);
        frame.incarnation = self.context.incarnation;
        frame.lease_valid = self.holds_lease();
        frame.partitioned = self.leadership.is_partitioned();
        if !frame.lease_valid {
            return;
        }
        for (shard, term) in self.leadership.led_terms() {
            frame.shard_claims.push(ShardClaim { shard: shard as u32, term });
        }
        if self.leading_term(AUTOSCALER_SHARD).is_some() {
            frame.is_autoscaler = true;
            frame.draining = self.autoscaler.locally_draining();
            self.set_draining(frame.draining.iter().cloned().collect());
        }
    }

    /// Sends a frame to all peers; those that await a full sync get a full frame.
    fn dispatch_frame(&mut self, frame: Frame) {
        let holds_lease = frame.lease_valid;
        let frame = Rc::new(frame);
        let to_sync = std::mem::take(&mut self.changes.peers_to_sync);
        let peers: Vec<usize> = self.peers.all().map(|(member, _)| member).collect();
        for to in peers {
            let frame = if to_sync.contains(&to) && holds_lease {
                Rc::new(self.full_frame((*frame).clone()))
            } else {
                Rc::clone(&frame)
            };
            self.context.emit(Effect::Peer { to, frame });
        }
        if !holds_lease {
            // Without the controller lease no full frame is sent; the new connections still need
            // one.
            self.changes.peers_to_sync = to_sync;
        }
    }

    /// Replaces the set of machines that are drained before their removal: nothing is placed on
    /// them.
    pub(crate) fn set_draining(&mut self, draining: BTreeSet<String>) {
        for machine in self.autoscaler.replace_draining(draining) {
            self.scheduler.mark_stale(&machine);
        }
    }

    /// Marks the desired state on machines of shards with a new term to be sent again, with
    /// everything that was concluded under the earlier terms.
    pub(crate) fn announce_terms(&mut self) {
        for shard in 0..self.leadership.shard_count() {
            if !self.peers.record_announced_term(shard, self.leadership.term(shard)) {
                continue;
            }
            self.changes.announce_terms = true;
            let with_tasks = self.jobs.task_index.shards_and_machines();
            let in_shard = with_tasks.filter(|(_, m)| self.leadership.shard_of_machine(m) == shard);
            self.changes.desired.extend(in_shard.cloned());
        }
    }
}
