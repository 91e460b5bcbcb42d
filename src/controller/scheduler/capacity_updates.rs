//! Keeping the capacity index up to date with machines' views, the shards' desired state and
//! own jobs.

use crate::controller::Controller;
use crate::controller::jobs::task_index::TaskId;
use crate::controller::scheduler::Scheduler;
use crate::controller::scheduler::capacity::{MachineCapacity, PoolKey, ReservedTask};
use crate::controller::scheduler::inputs::SchedulingInputs;
use crate::peer::{DesiredTask, MachineView, Phase};
use crate::resources::{Resources, TOLERANCE};
use crate::time::Micros;
use std::rc::Rc;

/// How long capacity that comes up on a machine is left to its own shard.
const PEER_CAPACITY_YIELD: Micros = Micros::millis(250);

/// What the capacity of a shard's machines is computed from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ShardSource {
    /// Some live controller leads the shard, and so commands its machines.
    has_live_leader: bool,
    /// The shard's jobs are known here; else the desired state received from it counts.
    jobs_known: bool,
    /// The term under which this process leads the shard, if it does.
    leading_term: Option<u64>,
    /// The shard's newest term.
    term: u64,
}

impl SchedulingInputs<'_> {
    fn leading_term(&self, shard: usize) -> Option<u64> {
        self.leadership.leading_term(shard, self.context.now)
    }

    /// Whether a shard's jobs are known here; else the desired state received from it counts.
    fn jobs_known(&self, shard: usize) -> bool {
        let leadership = self.leadership.led_shard(shard);
        leadership.is_some_and(|leadership| leadership.recovered)
    }

    /// Whether another member leads a shard and is alive, as far as known.
    fn led_by_live_peer(&self, shard: usize) -> bool {
        let leader = self.leadership.leader_name(shard);
        let member = leader.and_then(|name| self.context.member_number(name));
        member.is_some_and(|member| {
            member != self.context.me && self.peers.is_alive(member, self.context.now)
        })
    }

    fn shard_source(&self, shard: usize) -> ShardSource {
        let leading_term = self.leading_term(shard);
        ShardSource {
            has_live_leader: leading_term.is_some() || self.led_by_live_peer(shard),
            jobs_known: self.jobs_known(shard),
            leading_term,
            term: self.leadership.term(shard),
        }
    }
}

impl Controller {
    /// Brings the capacity index up to date: only what has changed is computed anew.
    pub(crate) fn refresh_capacity(&mut self) {
        for shard in 0..self.leadership.shard_count() {
            let source = self.scheduling_inputs().shard_source(shard);
            let previous = self.scheduler.shard_sources.insert(shard, source);
            // The shard has changed its leader, or its leader has fallen silent.
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

    /// Marks as stale a shard's machines, and those that its tasks are desired on: these are
    /// read from another source from now on.
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
    /// Takes in a machine's capacity as computed anew. What has come up on a peer's machine is
    /// left to that peer for a moment.
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

    /// A machine's pool and capacity; `None` if nothing may be placed on it.
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
        self.reserve_own_tasks(inputs, &mut capacity);
        // Tasks that no shard is known to desire use an unknown amount of resources.
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

    /// Whether tasks may be placed on a machine of a shard at all.
    fn accepts_tasks(
        &self,
        inputs: &SchedulingInputs<'_>,
        view: &MachineView,
        shard: usize,
    ) -> bool {
        view.known
            && view.healthy
            && self.shard_sources.get(&shard).is_some_and(|source| source.has_live_leader)
            && view.notice_ms.is_none()
            && view.term == inputs.leadership.term(shard)
            && !inputs.autoscaler.is_draining(&view.machine)
            && !inputs.machines.is_terminated(&view.machine)
    }

    /// Reserves what shards desire on a machine whose jobs are not known here.
    fn reserve_desired_tasks(
        &self,
        inputs: &SchedulingInputs<'_>,
        view: &MachineView,
        capacity: &mut MachineCapacity,
    ) {
        for (shard, desired) in inputs.machines.desired().iter().enumerate() {
            if inputs.jobs_known(shard) {
                continue;
            }
            let tasks = desired.machines.get(&*capacity.machine).map_or(&[][..], |m| &m.tasks[..]);
            // One of another incarnation is gone, and its shard will learn of it.
            let present = |task: &&DesiredTask| {
                task.incarnation == view.worker_incarnation()
                    && task.phase() != Phase::Over
                    && !is_over(view, &task.job, task.index, task.attempt)
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
                        || self.preemption_requests.stands(job, index, attempt, now),
                    placed: Micros::secs(task.placed_s),
                    checkpoint_s: task.checkpoint_s,
                    expected_s: task.expected_s,
                });
            }
        }
    }

    /// Reserves what own jobs have placed on a machine.
    fn reserve_own_tasks(&self, inputs: &SchedulingInputs<'_>, capacity: &mut MachineCapacity) {
        let jobs = inputs.jobs;
        let shards = 0..inputs.leadership.shard_count();
        for shard in shards.filter(|shard| inputs.jobs_known(*shard)) {
            let tasks = jobs.task_index.on(shard, &capacity.machine);
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
                    placed: placement.placed_at,
                    checkpoint_s: job.spec.checkpoint_s,
                    expected_s: self.estimates.expected_s(job),
                });
            }
        }
    }
}

/// Whether a machine lists an attempt as over.
fn is_over(view: &MachineView, job: &str, index: u32, attempt: u64) -> bool {
    view.tasks.iter().any(|task| {
        task.attempt == attempt && task.index == index && task.job == job && task.observed().over()
    })
}

/// Whether a machine lists an attempt for which nothing is reserved.
fn lists_unknown_task(view: &MachineView, capacity: &MachineCapacity) -> bool {
    view.tasks.iter().filter(|task| !task.observed().over()).any(|task| {
        !capacity.tasks.iter().any(|reserved| {
            reserved.attempt == task.attempt
                && reserved.index == task.index
                && reserved.job == task.job
        })
    })
}
