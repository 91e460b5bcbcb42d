//! Updates of the capacity index from machine views, the shards' desired state and local jobs.

use crate::controller::Controller;
use crate::controller::jobs::task_index::TaskId;
use crate::controller::scheduler::Scheduler;
use crate::controller::scheduler::capacity::{MachineCapacity, PoolKey, ReservedTask};
use crate::controller::scheduler::scheduling_inputs::SchedulingInputs;
use crate::peer::{DesiredTask, MachineView, Phase};
use crate::resources::{Resources, TOLERANCE};
use crate::time::Micros;
use std::rc::Rc;

/// How long newly free capacity of a peer's machine is left to that peer.
const PEER_CAPACITY_YIELD: Micros = Micros::millis(250);

/// The state of a shard that the capacity of its machines depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ShardCapacitySource {
    /// A live controller leads the shard, and so sends commands to its machines.
    has_live_leader: bool,
    /// This process has recovered the shard's jobs. Otherwise, the desired state received from
    /// the shard's leader is used.
    jobs_recovered: bool,
    /// Term under which this process leads the shard; `None` if it does not.
    leading_term: Option<u64>,
    /// Newest term of the shard.
    term: u64,
}

impl SchedulingInputs<'_> {
    fn leading_term(&self, shard: usize) -> Option<u64> {
        self.leadership.leading_term(shard, self.context.now)
    }

    /// Whether this process has recovered a shard's jobs. Otherwise, the desired state received
    /// from the shard's leader is used.
    fn jobs_recovered(&self, shard: usize) -> bool {
        let leadership = self.leadership.led_shard(shard);
        leadership.is_some_and(|leadership| leadership.recovered)
    }

    /// Whether the last observed leader of a shard is another member that is alive.
    fn led_by_live_peer(&self, shard: usize) -> bool {
        let leader = self.leadership.leader_name(shard);
        let member = leader.and_then(|name| self.context.member_number(name));
        member.is_some_and(|member| {
            member != self.context.local_member && self.peers.is_alive(member, self.context.now)
        })
    }

    fn shard_source(&self, shard: usize) -> ShardCapacitySource {
        let leading_term = self.leading_term(shard);
        ShardCapacitySource {
            has_live_leader: leading_term.is_some() || self.led_by_live_peer(shard),
            jobs_recovered: self.jobs_recovered(shard),
            leading_term,
            term: self.leadership.term(shard),
        }
    }
}

impl Controller {
    /// Recomputes the capacity of stale machines and of the machines of changed shards.
    pub(crate) fn refresh_capacity(&mut self) {
        for shard in 0..self.leadership.shard_count() {
            let source = self.scheduling_inputs().shard_source(shard);
            let previous = self.scheduler.shard_sources.insert(shard, source);
            // The leader, its liveness or the term has changed, or the jobs were recovered.
            if previous != Some(source) {
                self.mark_shard_stale(shard);
            }
        }
        for machine in std::mem::take(&mut self.scheduler.stale_machines) {
            let inputs = self.scheduling_inputs();
            let capacity = self.scheduler.compute_capacity(&inputs, &machine);
            self.scheduler.set_capacity(&machine, capacity, self.context.now);
        }
    }

    /// Marks as stale a shard's machines and all machines in its desired state, because the
    /// shard's tasks are now read from another source.
    fn mark_shard_stale(&mut self, shard: usize) {
        for machine in self.machines.views().keys() {
            if self.leadership.shard_of_machine(machine) == shard {
                self.scheduler.mark_stale(machine);
            }
        }
        for machine in self.machines.desired()[shard].machines.keys() {
            self.scheduler.mark_stale(machine);
        }
    }
}

impl Scheduler {
    /// Stores a machine's recomputed capacity. If the free capacity of a peer's machine has
    /// grown, it is left to that peer for [`PEER_CAPACITY_YIELD`].
    fn set_capacity(
        &mut self,
        machine: &str,
        mut capacity: Option<(PoolKey, MachineCapacity)>,
        now: Micros,
    ) {
        if let Some((_, new)) = capacity.as_mut().filter(|(_, new)| new.led_by_peer) {
            let old = self.capacity.by_name(machine);
            let grown = old.is_none_or(|old| new.free.cpus > old.free.cpus + TOLERANCE);
            new.yielded_until = match old {
                Some(old) if !grown => old.yielded_until,
                _ => now + PEER_CAPACITY_YIELD,
            };
        }
        self.capacity.set(machine, capacity);
    }

    /// Computes a machine's pool and capacity; `None` if no task may be placed on it.
    fn compute_capacity(
        &self,
        inputs: &SchedulingInputs<'_>,
        name: &str,
    ) -> Option<(PoolKey, MachineCapacity)> {
        let view = inputs.machines.view(name)?;
        let shard = inputs.leadership.shard_of_machine(name);
        if !self.accepts_tasks(inputs, view, shard) {
            return None;
        }
        let machine_type = inputs.autoscaler.machine_types.get(&view.machine_type)?;
        let mut capacity = MachineCapacity::new(
            Rc::from(name),
            view.worker_incarnation(),
            inputs.leading_term(shard).is_none(),
            Resources::from(machine_type),
        );
        self.reserve_desired_tasks(inputs, view, &mut capacity);
        self.reserve_local_tasks(inputs, &mut capacity);
        // A listed task without a reservation uses an unknown amount of resources.
        if lists_unknown_task(view, &capacity) {
            return None;
        }
        let pool = PoolKey {
            machine_type: Rc::from(view.machine_type.as_str()),
            zone: Rc::from(view.zone.as_str()),
            spot: view.spot,
        };
        Some((pool, capacity))
    }

    /// Whether tasks may be placed on a machine of a shard, whatever its free capacity.
    fn accepts_tasks(
        &self,
        inputs: &SchedulingInputs<'_>,
        view: &MachineView,
        shard: usize,
    ) -> bool {
        view.observed_in_term
            && view.healthy
            && self.shard_sources.get(&shard).is_some_and(|source| source.has_live_leader)
            && view.notice_ms.is_none()
            && view.term == inputs.leadership.term(shard)
            && !inputs.autoscaler.is_draining(&view.machine)
            && !inputs.machines.is_terminated(&view.machine)
    }

    /// Reserves the desired tasks on a machine of shards whose jobs this process has not
    /// recovered.
    fn reserve_desired_tasks(
        &self,
        inputs: &SchedulingInputs<'_>,
        view: &MachineView,
        capacity: &mut MachineCapacity,
    ) {
        for (shard, desired) in inputs.machines.desired().iter().enumerate() {
            if inputs.jobs_recovered(shard) {
                continue;
            }
            let tasks = desired.machines.get(&*capacity.machine).map_or(&[][..], |m| &m.tasks[..]);
            // A task of another incarnation is gone; the leader of its shard will observe that.
            let present = |task: &&DesiredTask| {
                task.incarnation == view.worker_incarnation()
                    && task.phase() != Phase::Ended
                    && !has_ended(view, &task.job, task.index, task.attempt)
            };
            for task in tasks.iter().filter(present) {
                let (job, index, attempt) = (&task.job, task.index, task.attempt);
                let now = inputs.context.now;
                capacity.reserve(ReservedTask {
                    rank: task.rank,
                    team: task.team.clone(),
                    resources: Resources::from(&*task.shape),
                    job: job.clone(),
                    index,
                    attempt,
                    stopping: task.stop_ms.is_some()
                        || self.preemption_requests.is_pending(job, index, attempt, now),
                    placed_at: Micros::secs(task.placed_s),
                    checkpoint_s: task.checkpoint_s,
                    expected_s: task.expected_s,
                });
            }
        }
    }

    /// Reserves the tasks of local jobs that are placed on a machine.
    fn reserve_local_tasks(&self, inputs: &SchedulingInputs<'_>, capacity: &mut MachineCapacity) {
        let jobs = inputs.jobs;
        let shards = 0..inputs.leadership.shard_count();
        for shard in shards.filter(|shard| inputs.jobs_recovered(*shard)) {
            let tasks = jobs.task_index.tasks_on(shard, &capacity.machine);
            for TaskId { job: id, index } in tasks.into_iter().flatten() {
                let Some(job) = jobs.by_id.get(id) else {
                    continue;
                };
                let placement = job.placement(*index);
                let Some(placement) = placement.filter(|p| p.machine == capacity.machine) else {
                    continue;
                };
                capacity.reserve(ReservedTask {
                    rank: job.rank(),
                    team: job.spec.team.clone(),
                    resources: Resources::from(&*job.spec),
                    job: id.clone(),
                    index: *index,
                    attempt: placement.attempt,
                    stopping: placement.stop_grace.is_some(),
                    placed_at: placement.placed_at,
                    checkpoint_s: job.spec.checkpoint_s,
                    expected_s: self.estimates.expected_s(job),
                });
            }
        }
    }
}

/// Whether a machine's view lists an attempt as ended.
fn has_ended(view: &MachineView, job: &str, index: u32, attempt: u64) -> bool {
    view.tasks.iter().any(|task| {
        task.attempt == attempt
            && task.index == index
            && task.job == job
            && task.observed().is_terminal()
    })
}

/// Whether a machine's view lists an attempt that has not ended and has no reservation.
fn lists_unknown_task(view: &MachineView, capacity: &MachineCapacity) -> bool {
    view.tasks.iter().filter(|task| !task.observed().is_terminal()).any(|task| {
        !capacity.tasks.iter().any(|reserved| {
            reserved.attempt == task.attempt
                && reserved.index == task.index
                && reserved.job == task.job
        })
    })
}
