//! Frames to the other controllers: what has changed here since the last one.

use crate::controller::autoscaler::AUTOSCALER_SHARD;
use crate::controller::jobs::job;
use crate::controller::peers::Peers;
use crate::controller::{Controller, Effect};
use crate::peer::{self, Frame, Progress, ShardClaim};
use std::collections::BTreeSet;
use std::rc::Rc;

impl Peers {
    /// Numbers of the members of whom a frame was missed.
    fn with_missed_frames(&self) -> Vec<u32> {
        self.all().filter(|(_, peer)| peer.missed_frames).map(|(member, _)| member as u32).collect()
    }

    /// The number of a frame that is sent now.
    fn next_frame_number(&mut self) -> u64 {
        self.frames_sent += 1;
        self.frames_sent
    }

    /// Whether a shard has a higher term than the desired state of own shards has taken into
    /// account so far; it does from now on.
    fn term_is_new(&mut self, shard: usize, term: u64) -> bool {
        let announced = &mut self.announced_terms[shard];
        let is_new = term > *announced;
        if is_new {
            *announced = term;
        }
        is_new
    }
}

impl Controller {
    /// Sends a frame to every peer, with what has changed beside the desired state and views
    /// that are in `frame` already; nothing if nothing has changed and no heartbeat is due.
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
            let repeated = self.cancellations_to_repeat();
            frame.cancelled.extend(repeated);
        }
        self.add_sender(&mut frame);
        self.dispatch_frame(frame);
    }

    /// Adds what has changed since the last frame.
    fn add_changes(&mut self, frame: &mut Frame) {
        let now = self.context.now;
        // For display alone, and counted anew for every job: now and then will do.
        if self.timers.progress.restart_if_due(now) {
            self.add_progress(frame);
        }
        frame.cancelled = std::mem::take(&mut self.changes.cancelled);
        frame.terminated = std::mem::take(&mut self.changes.terminated);
        frame.preempt = std::mem::take(&mut self.changes.preemptions);
        frame.inherited_urgency = self.jobs.dependents.urgency.take_outbox();
        if self.timers.missed_frames.is_due(now) {
            frame.missed = self.peers.with_missed_frames();
            if !frame.missed.is_empty() {
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

    /// Adds what waits here and what it lacks, whole.
    fn add_demand(&mut self, frame: &mut Frame) {
        if self.holds_lease() {
            frame.has_demand = true;
            frame.demand = self.scheduler.demand(&self.scheduling_inputs());
            frame.quota_demand =
                self.quota.unmet_demand(&self.jobs, &self.leadership, self.context.now);
            frame.misdirected = self.leadership.misdirected_heartbeats();
        }
    }

    /// Adds what every frame says of its sender.
    fn add_sender(&mut self, frame: &mut Frame) {
        frame.format = peer::FORMAT;
        frame.watched = self.leadership.followed_jobs_revision();
        frame.number = self.peers.next_frame_number();
        frame.member.clone_from(&self.context.member);
        frame.incarnation = self.context.incarnation;
        frame.state_ok = self.holds_lease();
        frame.partitioned = self.leadership.is_partitioned();
        if !frame.state_ok {
            return;
        }
        for (shard, term) in self.leadership.led_terms() {
            frame.shard_claims.push(ShardClaim { shard: shard as u32, term });
        }
        if self.leading_term(AUTOSCALER_SHARD).is_some() {
            frame.is_autoscaler = true;
            frame.draining = self.autoscaler.drained_here();
            self.set_draining(frame.draining.iter().cloned().collect());
        }
    }

    /// Sends a frame to all peers; those that are to be synchronized are sent everything.
    fn dispatch_frame(&mut self, frame: Frame) {
        let holds_lease = frame.state_ok;
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
            // Nothing could be said yet; the new connections still need all of it.
            self.changes.peers_to_sync = to_sync;
        }
    }

    /// The machines about to be removed are known anew: nothing is placed on them.
    pub(crate) fn set_draining(&mut self, draining: BTreeSet<String>) {
        for machine in self.autoscaler.replace_draining(draining) {
            self.scheduler.mark_stale(&machine);
        }
    }

    /// Shards have new terms: what is desired on their machines is sent anew, with
    /// all that was concluded under the earlier ones.
    pub(crate) fn announce_terms(&mut self) {
        for shard in 0..self.leadership.shard_count() {
            if !self.peers.term_is_new(shard, self.leadership.term(shard)) {
                continue;
            }
            self.changes.announce_terms = true;
            let with_tasks = self.jobs.task_index.shards_and_machines();
            let there = with_tasks.filter(|(_, m)| self.leadership.shard_of_machine(m) == shard);
            self.changes.desired.extend(there.cloned());
        }
    }
}
