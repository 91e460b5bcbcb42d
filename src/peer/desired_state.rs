//! What a shard desires on machines: the desired state, as it is sent and as it is kept.

use crate::wire::WorkerIncarnation;
use prost::Message;
use std::collections::BTreeMap;
use std::ops::Deref;
use std::rc::Rc;
use thiserror::Error;

/// What the tasks of a job have in common, as far as the desired state says it.
#[derive(Clone, PartialEq, Message)]
pub struct Shape {
    /// Id of the job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// CPUs of each task.
    #[prost(double, tag = "2")]
    pub cpus: f64,
    /// GPUs of each task.
    #[prost(double, tag = "3")]
    pub gpus: f64,
    /// Memory of each task, in GB.
    #[prost(double, tag = "4")]
    pub memory_gb: f64,
    /// Name of the image.
    #[prost(string, tag = "5")]
    pub image: String,
    /// Size of the image, in GB.
    #[prost(double, tag = "6")]
    pub image_gb: f64,
    /// Rank of service: lower is more urgent.
    #[prost(uint32, tag = "7")]
    pub rank: u32,
    /// Name of the team.
    #[prost(string, tag = "8")]
    pub team: String,
    /// Seconds between a task's checkpoints, 0 if it saves none.
    #[prost(double, tag = "9")]
    pub checkpoint_s: f64,
    /// Seconds that a task is expected to run.
    #[prost(double, tag = "10")]
    pub expected_s: f64,
}

/// A task that a shard desires on a machine, or desires to be stopped there, as it is sent:
/// an array of thousands would repeat its job's description in each.
#[derive(Clone, PartialEq, Message)]
pub struct DesiredTaskMessage {
    /// Index of its job among the message's shapes.
    #[prost(uint32, tag = "1")]
    pub shape: u32,
    /// Number of the task in its job.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Number of its attempt.
    #[prost(uint64, tag = "3")]
    pub attempt: u64,
    /// Incarnation of the worker for which it was stored.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Stop it, with this many milliseconds to save a checkpoint.
    #[prost(uint64, optional, tag = "5")]
    pub stop_ms: Option<u64>,
    /// Time of day at which it was placed, in seconds.
    #[prost(uint64, tag = "6")]
    pub placed_s: u64,
    /// See [`Phase`]. Only what is surely stored may be started, so a value of a later version
    /// must not read as that: it reads as `Ahead`.
    #[prost(enumeration = "Phase", tag = "7")]
    pub phase: i32,
}

impl DesiredTaskMessage {
    /// As it is kept.
    fn decode(self, shapes: &[Rc<Shape>]) -> Result<DesiredTask, DesiredStateError> {
        let Some(shape) = shapes.get(self.shape as usize) else {
            return Err(DesiredStateError { index: self.index, shape: self.shape });
        };
        Ok(DesiredTask {
            shape: Rc::clone(shape),
            index: self.index,
            attempt: self.attempt,
            incarnation: WorkerIncarnation(self.incarnation),
            stop_ms: self.stop_ms,
            placed_s: self.placed_s,
            phase: self.phase,
        })
    }
}

/// Why a desired state cannot be decoded: a task names a job that the message does not have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("task {index} is of job {shape} of the message, which has fewer")]
pub struct DesiredStateError {
    /// Number of the task in its job.
    index: u32,
    /// Index of its job among the message's shapes.
    shape: u32,
}

/// How far a desired task is, by the shard that desires it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Phase {
    /// Decided and not stored yet: its resources are reserved, it is not started.
    Ahead = 0,
    /// Stored: to be started, or to go on.
    DesiredHere = 1,
    /// Its attempt has ended, which is not stored yet: it is not started again, and what is
    /// observed of it is kept.
    Over = 2,
}

/// All that a shard desires on one machine, as it is sent.
#[derive(Clone, PartialEq, Message)]
pub struct MachineDesiredMessage {
    /// Name of the machine.
    #[prost(string, tag = "1")]
    pub machine: String,
    /// The tasks.
    #[prost(message, repeated, tag = "2")]
    pub tasks: Vec<DesiredTaskMessage>,
    /// Highest term of the machine's shard that this desired state has taken into account, where
    /// it is sent again; 0: as the message's `terms` say.
    #[prost(uint64, tag = "3")]
    pub known_term: u64,
}

/// A shard's desired state: of some machines, or of all, as it is sent.
#[derive(Clone, PartialEq, Message)]
pub struct DesiredStateMessage {
    /// Number of the shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// Term under which its leader sends it.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Order of the shard's messages within the term.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// True: machines that are not named have no desired tasks of this shard.
    #[prost(bool, tag = "4")]
    pub complete: bool,
    /// The machines.
    #[prost(message, repeated, tag = "5")]
    pub machines: Vec<MachineDesiredMessage>,
    /// Terms of all shards, by number, as the sender knew them. What it had concluded from views
    /// under earlier terms is in the message, so the leader of a machine's shard starts nothing
    /// of it under a later term than the named.
    #[prost(uint64, repeated, tag = "6")]
    pub terms: Vec<u64>,
    /// Jobs of the tasks, which name them by index.
    #[prost(message, repeated, tag = "7")]
    pub shapes: Vec<Shape>,
    /// Terms of all shards that the sender knew when it made this, or the newest
    /// change that is in it. Only from one who knows the term of a machine's shard
    /// does it follow that a task which is not named is not desired there.
    #[prost(uint64, repeated, tag = "9")]
    pub known_terms: Vec<u64>,
}

impl DesiredStateMessage {
    /// As it is kept.
    pub fn decode(self) -> Result<DesiredUpdate, DesiredStateError> {
        let shapes: Vec<Rc<Shape>> = self.shapes.into_iter().map(Rc::new).collect();
        let mut machines = Vec::with_capacity(self.machines.len());
        for desired in self.machines {
            let tasks = desired.tasks.into_iter().map(|task| task.decode(&shapes));
            machines.push(MachineDesired {
                machine: desired.machine,
                known_term: desired.known_term,
                tasks: tasks.collect::<Result<_, _>>()?,
            });
        }
        Ok(DesiredUpdate {
            shard: self.shard as usize,
            term: self.term,
            seq: self.seq,
            complete: self.complete,
            machines,
            terms: self.terms,
            known_terms: self.known_terms,
        })
    }
}

/// A task that a shard desires on a machine, as it is kept: see [`DesiredTaskMessage`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DesiredTask {
    /// Its job.
    pub shape: Rc<Shape>,
    /// Number of the task in its job.
    pub index: u32,
    /// Number of its attempt.
    pub attempt: u64,
    /// Incarnation of the worker for which it was stored.
    pub incarnation: WorkerIncarnation,
    /// Stop it, with this many milliseconds to save a checkpoint.
    pub stop_ms: Option<u64>,
    /// Time of day at which it was placed, in seconds.
    pub placed_s: u64,
    /// A [`Phase`], or what a later version sent as one.
    pub phase: i32,
}

impl Deref for DesiredTask {
    type Target = Shape;

    fn deref(&self) -> &Shape {
        &self.shape
    }
}

impl DesiredTask {
    /// How far it is, by the shard that desires it.
    pub fn phase(&self) -> Phase {
        Phase::try_from(self.phase).unwrap_or(Phase::Ahead)
    }

    /// As it is sent; `shape` is the index of its job among the message's shapes.
    fn to_message(&self, shape: u32) -> DesiredTaskMessage {
        DesiredTaskMessage {
            shape,
            index: self.index,
            attempt: self.attempt,
            incarnation: self.incarnation.0,
            stop_ms: self.stop_ms,
            placed_s: self.placed_s,
            phase: self.phase,
        }
    }
}

/// All that a shard desires on one machine, as it is kept.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachineDesired {
    /// Name of the machine.
    pub machine: String,
    /// Highest term of the machine's shard that was taken into account; 0: as
    /// [`DesiredUpdate::terms`] says.
    pub known_term: u64,
    /// The tasks.
    pub tasks: Vec<DesiredTask>,
}

/// A shard's desired state, as it is kept: see [`DesiredStateMessage`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DesiredUpdate {
    /// Number of the shard.
    pub shard: usize,
    /// Term under which its leader sends it.
    pub term: u64,
    /// Order of the shard's messages within the term.
    pub seq: u64,
    /// Machines that are not named have no desired tasks of this shard.
    pub complete: bool,
    /// The machines.
    pub machines: Vec<MachineDesired>,
    /// Terms of all shards, as the sender knew them.
    pub terms: Vec<u64>,
    /// Terms of all shards that the sender knew when it made this, or the newest change that is
    /// in it.
    pub known_terms: Vec<u64>,
}

impl DesiredUpdate {
    /// As it is sent.
    pub fn to_message(&self) -> DesiredStateMessage {
        let mut shapes: Vec<Shape> = Vec::new();
        let mut indices: BTreeMap<*const Shape, u32> = BTreeMap::new();
        let mut machines = Vec::with_capacity(self.machines.len());
        for on_machine in &self.machines {
            let mut tasks = Vec::with_capacity(on_machine.tasks.len());
            for task in &on_machine.tasks {
                let shape = *indices.entry(Rc::as_ptr(&task.shape)).or_insert_with(|| {
                    shapes.push((*task.shape).clone());
                    shapes.len() as u32 - 1
                });
                tasks.push(task.to_message(shape));
            }
            machines.push(MachineDesiredMessage {
                machine: on_machine.machine.clone(),
                tasks,
                known_term: on_machine.known_term,
            });
        }
        DesiredStateMessage {
            shard: self.shard as u32,
            term: self.term,
            seq: self.seq,
            complete: self.complete,
            machines,
            terms: self.terms.clone(),
            shapes,
            known_terms: self.known_terms.clone(),
        }
    }
}
