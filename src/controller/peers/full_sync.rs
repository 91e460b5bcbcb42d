//! Full sync: everything that a peer needs which has received nothing so far or has missed a frame.

use crate::controller::Controller;
use crate::peer::{
    AddressHint, DesiredStateMessage, DesiredUpdate, Frame, MachineDesired, Progress,
};

/// Maximum number of terminated machines in a full frame: the last ones in the order of names.
const MAX_TERMINATED_IN_FRAME: usize = 500;

impl Controller {
    /// Builds a full frame, which keeps the remaining content of `frame`.
    pub(crate) fn full_frame(&self, mut frame: Frame) -> Frame {
        frame.is_full_sync = true;
        let shards = 0..self.leadership.shard_count();
        frame.desired = shards.filter_map(|shard| self.full_desired_state(shard)).collect();
        let managed = self.machines.managed().keys();
        let views = managed.filter_map(|machine| self.machines.view(machine));
        frame.views = views.cloned().collect();
        frame.progress = self
            .jobs
            .by_id
            .iter()
            .map(|(id, j)| Progress { job: id.clone(), done: j.done(), running: j.running() })
            .collect();
        frame.address_hints = self.address_hints();
        frame.terminated = self.machines.last_terminated(MAX_TERMINATED_IN_FRAME);
        frame
    }

    /// The complete desired state of a shard, for all machines; `None` if this process does not
    /// serve the shard or its desired state is incomplete.
    fn full_desired_state(&self, shard: usize) -> Option<DesiredStateMessage> {
        let desired = &self.machines.desired()[shard];
        if !self.serves_shard(shard)
            || self.leading_term(shard) != Some(desired.term)
            || !desired.is_complete()
        {
            return None;
        }
        let with_tasks = desired.machines.iter().filter(|(_, m)| !m.tasks.is_empty());
        let update = DesiredUpdate {
            shard,
            term: desired.term,
            seq: desired.seq,
            complete: true,
            // Each machine carries its own known term. With one term per shard, a machine on which
            // nothing has been desired since its shard changed leader would hold back all others of
            // the shard.
            machines: with_tasks
                .map(|(name, m)| MachineDesired {
                    machine: name.clone(),
                    known_term: m.known_machine_term,
                    tasks: m.tasks.clone(),
                })
                .collect(),
            terms: Vec::new(),
            known_terms: desired.known_terms.clone(),
        };
        Some(update.to_message())
    }

    /// Last known addresses of machines of other members' shards, for a peer that may acquire those
    /// shards.
    fn address_hints(&self) -> Vec<AddressHint> {
        let views = self.machines.views().values();
        views
            .filter(|v| !self.machines.managed().contains_key(&v.machine) && !v.address.is_empty())
            .map(|v| AddressHint {
                machine: v.machine.clone(),
                incarnation: v.incarnation,
                address: v.address.clone(),
            })
            .collect()
    }
}
