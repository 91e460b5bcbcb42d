//! Desired state of the led shards, computed from their jobs and sent to the leaders of the
//! machines' shards.

use crate::controller::Controller;
use crate::controller::jobs::Jobs;
use crate::controller::jobs::job::{Job, Placement};
use crate::controller::scheduler::run_time_estimates::RunTimeEstimates;
use crate::controller::timers::UNOBSERVED_RESEND_INTERVAL;
use crate::peer::{DesiredTask, DesiredUpdate, Frame, MachineDesired, Phase, Shape};
use crate::time::Micros;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Machines whose desired tasks one shard is about to send.
#[derive(Default)]
struct ChangedMachines {
    /// Whether `machines` contains every machine on which the shard desires a task.
    complete: bool,
    machines: Vec<Rc<str>>,
}

impl Controller {
    /// Resends the desired state of tasks that no machine has reported for longer than
    /// [`UNOBSERVED_RESEND_INTERVAL`]. Messages between controllers are not acknowledged. If
    /// one were lost unnoticed, its task would wait forever and hold its share of the team's
    /// quota.
    pub(crate) fn resend_unobserved(&mut self) {
        let now = self.context.now;
        if !self.holds_lease() || !self.timers.unobserved_resend.restart_if_due(now) {
            return;
        }
        let wall = self.context.wall_clock();
        let is_unobserved = |placement: &Placement| {
            placement.observed.is_none()
                && wall.since(placement.placed_at) > UNOBSERVED_RESEND_INTERVAL
        };
        for job in self.jobs.by_id.values() {
            let placed = job.chunks.iter().flat_map(|chunk| chunk.placed.values());
            let unobserved = placed.filter(|placement| is_unobserved(placement));
            self.changes.desired.extend(unobserved.map(|p| (job.shard, p.machine.clone())));
        }
    }

    /// Queues the desired state of every machine with tasks of the job for sending.
    pub(crate) fn refresh_desired_state(&mut self, id: &str) {
        let Some(shard) = self.jobs.by_id.get(id).map(|job| job.shard) else {
            return;
        };
        let with_tasks_of_job = self.jobs.task_index.machines_of_job(shard, id);
        self.changes.desired.extend(with_tasks_of_job.cloned());
    }

    /// Adds the changed desired state of led shards to the frame for the peers, and applies it
    /// to this process.
    pub(crate) fn send_desired_state(&mut self, frame: &mut Frame) {
        for (shard, changed) in self.take_changed_machines() {
            let (Some(term), true) = (self.leading_term(shard), self.has_recovered(shard)) else {
                continue;
            };
            let seq = self.peers.next_desired_state_seq();
            let desired = |machine: &Rc<str>| MachineDesired {
                machine: machine.to_string(),
                known_term: 0,
                tasks: desired_on(&mut self.jobs, self.scheduler.estimates(), shard, machine, seq),
            };
            let machines = changed.machines.iter().map(desired).collect();
            let terms = self.leadership.terms();
            let known_terms = terms.clone();
            let complete = changed.complete;
            let update = DesiredUpdate { shard, term, seq, complete, machines, terms, known_terms };
            frame.desired.push(update.to_message());
            self.apply_desired_state(update);
        }
    }

    /// Takes the machines whose desired state is to be sent, by shard. A shard without changed
    /// machines still sends the terms that it knows, if these are to be announced.
    fn take_changed_machines(&mut self) -> BTreeMap<usize, ChangedMachines> {
        let mut changed: BTreeMap<usize, ChangedMachines> = BTreeMap::new();
        for shard in std::mem::take(&mut self.changes.complete_desired) {
            let all = self.jobs.task_index.machines_of_shard(shard);
            let machines = all.map(Rc::clone).collect();
            changed.insert(shard, ChangedMachines { complete: true, machines });
        }
        for (shard, machine) in std::mem::take(&mut self.changes.desired) {
            let changed = changed.entry(shard).or_default();
            if !changed.complete {
                changed.machines.push(machine);
            }
        }
        if std::mem::take(&mut self.changes.announce_terms) {
            for shard in 0..self.leadership.shard_count() {
                changed.entry(shard).or_default();
            }
        }
        changed
    }

    /// Whether this process has recovered the jobs of a shard that it leads. Also true while
    /// it is about to hand the shard over.
    fn has_recovered(&self, shard: usize) -> bool {
        let leadership = self.leadership.led_shard(shard);
        leadership.is_some_and(|leadership| leadership.recovered)
    }
}

/// The tasks that a shard desires on a machine, computed from its jobs. `seq` is the sequence
/// number of the message; it is recorded as that of each stop that is sent for the first time.
fn desired_on(
    jobs: &mut Jobs,
    estimates: &RunTimeEstimates,
    shard: usize,
    machine: &Rc<str>,
    seq: u64,
) -> Vec<DesiredTask> {
    let Some(tasks) = jobs.task_index.tasks_on(shard, machine) else {
        return Vec::new();
    };
    let mut list = Vec::new();
    for task in tasks {
        if let Some(job) = jobs.by_id.get_mut(&task.job) {
            let expected_s = estimates.expected_s(job);
            job.push_desired(&mut list, task.index, machine, expected_s, seq);
        }
    }
    list
}

impl Job {
    /// Adds the desired attempts of one task on a machine: the task's placement there, and
    /// attempts whose end there is not stored yet.
    fn push_desired(
        &mut self,
        list: &mut Vec<DesiredTask>,
        index: u32,
        machine: &Rc<str>,
        expected_s: f64,
        seq: u64,
    ) {
        let shape = self.shape(expected_s);
        let Some(chunk) = self.chunk_of(index) else {
            return;
        };
        let stored = chunk.stored_version;
        let desired = |placement: &Placement, phase: Phase| DesiredTask {
            shape: Rc::clone(&shape),
            index,
            attempt: placement.attempt,
            incarnation: placement.incarnation,
            stop_ms: placement.stop_grace.map(Micros::as_millis),
            placed_s: placement.placed_at.0 / 1_000_000,
            phase: phase as i32,
        };
        // A task is not started before its placement is stored: otherwise the attempt could
        // run beside the next one. Its capacity is reserved as soon as the placement is decided.
        if let Some(placement) = chunk.placed.get_mut(&index)
            && placement.machine == *machine
        {
            if placement.stop_grace.is_some() {
                placement.stop_seq.get_or_insert(seq);
            }
            let is_stored = placement.version <= stored;
            let phase = if is_stored { Phase::Stored } else { Phase::Reserved };
            list.push(desired(placement, phase));
        }
        for ended in &chunk.unstored_ends {
            let placement = &ended.placement;
            if ended.index == index && placement.machine == *machine && placement.version <= stored
            {
                list.push(desired(placement, Phase::Ended));
            }
        }
    }

    /// Attributes that all tasks of the job share. Returns the same `Rc` until its rank or
    /// expected duration changes.
    fn shape(&mut self, expected_s: f64) -> Rc<Shape> {
        let rank = self.rank();
        match &self.sent_shape {
            Some(shape) if shape.rank == rank && shape.expected_s == expected_s => Rc::clone(shape),
            _ => {
                let spec = &self.spec;
                let shape = Rc::new(Shape {
                    job: spec.id.clone(),
                    cpus: spec.cpus,
                    gpus: spec.gpus,
                    memory_gb: spec.memory_gb,
                    image: spec.image.clone(),
                    image_gb: spec.image_gb,
                    rank,
                    team: spec.team.clone(),
                    checkpoint_s: spec.checkpoint_s,
                    expected_s,
                });
                self.sent_shape = Some(Rc::clone(&shape));
                shape
            }
        }
    }
}
