//! Receives frames from the other controllers and passes their content to the components.

use crate::controller::Controller;
use crate::controller::jobs::job::{Progress, Urgency};
use crate::controller::peers::Peers;
use crate::controller::peers::peer_state::FrameContinuity;
use crate::peer::{self, DesiredStateMessage, Frame, ShardClaim};
use crate::time::Micros;
use log::warn;

impl Peers {
    /// Records the sender's state from a frame; `None` if `from` is not another member.
    fn record_frame(
        &mut self,
        from: usize,
        frame: &mut Frame,
        now: Micros,
    ) -> Option<FrameContinuity> {
        Some(self.by_member.get_mut(&from)?.record(frame, now))
    }
}

impl Controller {
    /// Handles a frame that arrived from a member.
    pub(crate) fn peer_frame(&mut self, from: usize, mut frame: Frame) {
        let Some(continuity) = self.peers.record_frame(from, &mut frame, self.context.now) else {
            return;
        };
        if continuity == FrameContinuity::FramesLost {
            self.mark_desired_state_incomplete(from);
        }
        self.observe_claims(&frame.shard_claims);
        self.receive_desired_state(from, frame.desired);
        for view in frame.views {
            self.apply_view(view);
        }
        for progress in frame.progress {
            let peer::Progress { job, done, running } = progress;
            self.jobs.progress.insert(job, Progress { done, running });
        }
        for job in frame.cancelled {
            // Answers that were read before the cancellation must not be sent any more.
            self.apply_peer_cancellation(&job);
        }
        for machine in frame.terminated {
            self.machine_terminated(&machine);
        }
        for urgency in frame.inherited_urgency {
            let due = Micros(urgency.due_us);
            self.inherit_urgency(&urgency.job, Urgency { rank: urgency.rank, due });
        }
        if frame.is_autoscaler {
            self.set_draining(frame.draining.into_iter().collect());
        }
        for request in frame.preemptions {
            self.preempt_task(&request);
        }
        for hint in frame.address_hints {
            self.machines.apply_address_hint(hint);
        }
        if frame.missed_members.contains(&(self.context.local_member as u32)) {
            self.changes.peers_to_sync.insert(from);
        }
    }

    /// Handles the loss of frames from a member. Their content is unknown, so the absence of a task
    /// from the rest of the member's desired state proves nothing.
    fn mark_desired_state_incomplete(&mut self, from: usize) {
        for shard in 0..self.leadership.shard_count() {
            if self.shard_leader(shard) == Some(from) {
                self.machines.mark_desired_incomplete(shard);
            }
        }
    }

    /// Records which shards a peer claims to lead. A higher term that has not arrived through the
    /// watch yet takes effect immediately; the lease itself arrives through the watch.
    fn observe_claims(&mut self, claims: &[ShardClaim]) {
        for claim in claims {
            let shard = claim.shard as usize;
            if self.leadership.observe_claim(shard, claim.term) {
                self.step_down(shard, "a peer leads it under a higher term");
            }
        }
    }

    fn receive_desired_state(&mut self, from: usize, messages: Vec<DesiredStateMessage>) {
        for message in messages {
            match message.decode() {
                Ok(update) => self.apply_desired_state(update),
                Err(error) => {
                    let peer = &self.context.members[from];
                    warn!("desired state from {peer} ignored: {error}");
                }
            }
        }
    }
}
