//! The desired state of a shard: the tasks that its leader wants on each machine.
//!
//! The wire forms (`...Message`) refer to a task's [`Shape`] by index; the in-memory forms share
//! it through an [`Rc`].

use crate::wire::WorkerIncarnation;
use prost::Message;
use std::collections::BTreeMap;
use std::ops::Deref;
use std::rc::Rc;
use thiserror::Error;

/// The part of the desired state that all tasks of a job have in common.
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
    /// Scheduling rank: lower is more urgent.
    #[prost(uint32, tag = "7")]
    pub rank: u32,
    /// Name of the team.
    #[prost(string, tag = "8")]
    pub team: String,
    /// Seconds between two checkpoints of a task; 0 if it saves none.
    #[prost(double, tag = "9")]
    pub checkpoint_s: f64,
    /// Expected run time of a task, in seconds.
    #[prost(double, tag = "10")]
    pub expected_s: f64,
}

/// Wire form of [`DesiredTask`].
///
/// The shape is an index, since a job with thousands of tasks would repeat it in each of them.
#[derive(Clone, PartialEq, Message)]
pub struct DesiredTaskMessage {
    /// Index of the task's shape in [`DesiredStateMessage::shapes`].
    #[prost(uint32, tag = "1")]
    pub shape: u32,
    /// Number of the task in its job.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Number of the attempt.
    #[prost(uint64, tag = "3")]
    pub attempt: u64,
    /// Incarnation of the worker that the placement was stored for.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Stop the task, with this many milliseconds to save a checkpoint; `None` if it is not to
    /// be stopped.
    #[prost(uint64, optional, tag = "5")]
    pub stop_ms: Option<u64>,
    /// Wall-clock time at which the task was placed, in seconds since the Unix epoch.
    #[prost(uint64, tag = "6")]
    pub placed_s: u64,
    /// A [`Phase`]. Only a placement that is definitely stored may be started, so an unknown
    /// value of a later version must not count as stored: it reads as [`Phase::Reserved`].
    #[prost(enumeration = "Phase", tag = "7")]
    pub phase: i32,
}

impl DesiredTaskMessage {
    /// Converts the task to its in-memory form; `shapes` are those of its message.
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

/// A task of a desired state refers to a shape that the message does not contain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("task {index} refers to shape {shape}, which the message does not contain")]
pub struct DesiredStateError {
    /// Number of the task in its job.
    index: u32,
    /// Index of the missing shape.
    shape: u32,
}

/// Lifecycle phase of a desired task, decided by the leader of the shard that desires it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Phase {
    /// The placement is decided but not stored yet: its resources are reserved, and the task
    /// must not be started.
    Reserved = 0,
    /// The placement is stored: the task is to be started, or to continue.
    Stored = 1,
    /// The attempt has ended, but its end is not stored yet: the task is not started again, and
    /// its observed state is kept.
    Ended = 2,
}

/// Wire form of [`MachineDesired`].
#[derive(Clone, PartialEq, Message)]
pub struct MachineDesiredMessage {
    /// Name of the machine.
    #[prost(string, tag = "1")]
    pub machine: String,
    /// All tasks that the shard desires on the machine.
    #[prost(message, repeated, tag = "2")]
    pub tasks: Vec<DesiredTaskMessage>,
    /// Highest term of the machine's shard that these tasks take into account. Set when a full
    /// sync repeats them; 0 if [`DesiredStateMessage::terms`] applies.
    #[prost(uint64, tag = "3")]
    pub known_term: u64,
}

/// Wire form of [`DesiredUpdate`].
#[derive(Clone, PartialEq, Message)]
pub struct DesiredStateMessage {
    /// Number of the shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// Term under which the shard's leader sends the message.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Sequence number of the shard's updates within the term; a full sync repeats the number of
    /// the newest update.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// Whether the message covers all machines: one that is absent has no desired tasks of this
    /// shard.
    #[prost(bool, tag = "4")]
    pub complete: bool,
    /// Machines whose desired tasks are replaced.
    #[prost(message, repeated, tag = "5")]
    pub machines: Vec<MachineDesiredMessage>,
    /// Latest terms of all shards that the sender knew, by shard number; empty in a full sync.
    /// The message includes all that the sender concluded from views of earlier terms. The leader
    /// of a machine's shard therefore starts no task of the message under a later term than the
    /// one given here.
    #[prost(uint64, repeated, tag = "6")]
    pub terms: Vec<u64>,
    /// Shapes of the tasks, which refer to them by index.
    #[prost(message, repeated, tag = "7")]
    pub shapes: Vec<Shape>,
    /// Latest terms of all shards, by shard number, that the sender knew when it made the newest
    /// update that the message includes. The absence of a task proves that it is not desired on a
    /// machine only if the sender knew the current term of the machine's shard.
    #[prost(uint64, repeated, tag = "9")]
    pub known_terms: Vec<u64>,
}

impl DesiredStateMessage {
    /// Converts the message to its in-memory form.
    ///
    /// # Errors
    /// A task refers to a shape that the message does not contain.
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

/// A task that a shard desires on a machine, or wants to be stopped there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DesiredTask {
    /// Shape that the task shares with the other tasks of its job.
    pub shape: Rc<Shape>,
    /// Number of the task in its job.
    pub index: u32,
    /// Number of the attempt.
    pub attempt: u64,
    /// Incarnation of the worker that the placement was stored for.
    pub incarnation: WorkerIncarnation,
    /// Stop the task, with this many milliseconds to save a checkpoint; `None` if it is not to
    /// be stopped.
    pub stop_ms: Option<u64>,
    /// Wall-clock time at which the task was placed, in seconds since the Unix epoch.
    pub placed_s: u64,
    /// The number of a [`Phase`], possibly one that only a later version knows.
    pub phase: i32,
}

impl Deref for DesiredTask {
    type Target = Shape;

    fn deref(&self) -> &Shape {
        &self.shape
    }
}

impl DesiredTask {
    /// Phase of the task; [`Phase::Reserved`] if a later version sent an unknown one.
    pub fn phase(&self) -> Phase {
        Phase::try_from(self.phase).unwrap_or(Phase::Reserved)
    }

    /// Converts the task to its wire form; `shape` is the index of its shape in the message.
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

/// All tasks that a shard desires on one machine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachineDesired {
    /// Name of the machine.
    pub machine: String,
    /// Highest term of the machine's shard that the tasks take into account; 0 if
    /// [`DesiredUpdate::terms`] applies.
    pub known_term: u64,
    /// Empty if the shard desires nothing on the machine any more.
    pub tasks: Vec<DesiredTask>,
}

/// An update of a shard's desired state, for some machines or for all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DesiredUpdate {
    /// Number of the shard.
    pub shard: usize,
    /// Term under which the shard's leader sends the update.
    pub term: u64,
    /// Sequence number of the shard's updates within the term.
    pub seq: u64,
    /// Whether the update covers all machines: one that is absent has no desired tasks of this
    /// shard.
    pub complete: bool,
    /// Machines whose desired tasks are replaced.
    pub machines: Vec<MachineDesired>,
    /// Latest terms of all shards that the sender knew, by shard number; see
    /// [`DesiredStateMessage::terms`].
    pub terms: Vec<u64>,
    /// Latest terms of all shards that the sender knew when it made the newest included update;
    /// see [`DesiredStateMessage::known_terms`].
    pub known_terms: Vec<u64>,
}

impl DesiredUpdate {
    /// Converts the update to its wire form, with each shape once.
    pub fn to_message(&self) -> DesiredStateMessage {
        let mut shapes: Vec<Shape> = Vec::new();
        let mut shape_indices: BTreeMap<*const Shape, u32> = BTreeMap::new();
        let mut machines = Vec::with_capacity(self.machines.len());
        for desired in &self.machines {
            let mut tasks = Vec::with_capacity(desired.tasks.len());
            for task in &desired.tasks {
                let shape = *shape_indices.entry(Rc::as_ptr(&task.shape)).or_insert_with(|| {
                    shapes.push((*task.shape).clone());
                    shapes.len() as u32 - 1
                });
                tasks.push(task.to_message(shape));
            }
            machines.push(MachineDesiredMessage {
                machine: desired.machine.clone(),
                tasks,
                known_term: desired.known_term,
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
