//! What a shard wants on machines: the desired state, as it is sent and as it is kept.

use prost::Message;
use std::collections::BTreeMap;
use std::ops::Deref;
use std::rc::Rc;

/// What the tasks of a job have in common, as the desired state tells it.
#[derive(Clone, PartialEq, Message)]
pub struct Shape {
    /// Job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// CPUs.
    #[prost(double, tag = "2")]
    pub cpus: f64,
    /// GPUs.
    #[prost(double, tag = "3")]
    pub gpus: f64,
    /// Memory.
    #[prost(double, tag = "4")]
    pub memory_gb: f64,
    /// Image.
    #[prost(string, tag = "5")]
    pub image: String,
    /// Size of the image.
    #[prost(double, tag = "6")]
    pub image_gb: f64,
    /// Rank of service: lower is more urgent.
    #[prost(uint32, tag = "7")]
    pub rank: u32,
    /// Team.
    #[prost(string, tag = "8")]
    pub team: String,
    /// Seconds between its checkpoints, 0 if it saves none.
    #[prost(double, tag = "9")]
    pub checkpoint_s: f64,
    /// Seconds that a task is expected to run.
    #[prost(double, tag = "10")]
    pub expected_s: f64,
}

/// A task that a shard wants on a machine, or wants stopped there, as it is sent:
/// an array of thousands would repeat its job's description in each.
#[derive(Clone, PartialEq, Message)]
pub struct DesiredTaskMessage {
    /// Place of its job among the message's shapes.
    #[prost(uint32, tag = "1")]
    pub shape: u32,
    /// Number of the task in its job.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Attempt.
    #[prost(uint64, tag = "3")]
    pub attempt: u64,
    /// Session of the machine for which it was written ahead.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Stop it, giving it this many milliseconds to save.
    #[prost(uint64, optional, tag = "5")]
    pub stop_ms: Option<u64>,
    /// Time of day at which it was placed, in seconds.
    #[prost(uint64, tag = "6")]
    pub placed_s: u64,
    /// See [`Phase`]. Only what is surely written down may be started, so a
    /// word of a later version must not read as that: it reads as `Ahead`.
    #[prost(enumeration = "Phase", tag = "7")]
    pub phase: i32,
}

impl DesiredTaskMessage {
    /// As it is kept; `None` if it names no job.
    fn read(self, shapes: &[Rc<Shape>]) -> Option<DesiredTask> {
        Some(DesiredTask {
            shape: Rc::clone(shapes.get(self.shape as usize)?),
            index: self.index,
            attempt: self.attempt,
            incarnation: self.incarnation,
            stop_ms: self.stop_ms,
            placed_s: self.placed_s,
            phase: self.phase,
        })
    }
}

/// How far a wanted task is, by its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Phase {
    /// Decided and not written down yet: its room is booked, it is not started.
    Ahead = 0,
    /// Written down: to be started, or to go on.
    DesiredHere = 1,
    /// Its attempt has ended, which is not written down yet: it is not started
    /// again, and what is listed of it is kept.
    Over = 2,
}

/// All that a shard wants on one machine.
#[derive(Clone, PartialEq, Message)]
pub struct MachineDesiredMessage {
    /// Machine.
    #[prost(string, tag = "1")]
    pub machine: String,
    /// The tasks.
    #[prost(message, repeated, tag = "2")]
    pub tasks: Vec<DesiredTaskMessage>,
    /// Term of the machine's shard that this desired state has taken into account, where
    /// they are repeated; 0: as the message says.
    #[prost(uint64, tag = "3")]
    pub known: u64,
}

/// A shard's desired state: of some machines, or of all.
#[derive(Clone, PartialEq, Message)]
pub struct DesiredStateMessage {
    /// Shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// Term under which it asks.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Order within the term.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// True: machines that are not named have no desired tasks of this shard.
    #[prost(bool, tag = "4")]
    pub complete: bool,
    /// The machines.
    #[prost(message, repeated, tag = "5")]
    pub machines: Vec<MachineDesiredMessage>,
    /// Terms of all shards, by number, as the sender knew them. What it had
    /// concluded from views under earlier terms is in the message, so a
    /// machine's shard starts nothing of it under a later term than the named.
    #[prost(uint64, repeated, tag = "6")]
    pub terms: Vec<u64>,
    /// Jobs of the tasks.
    #[prost(message, repeated, tag = "7")]
    pub shapes: Vec<Shape>,
    /// Terms of all shards that the sender knew when it made this, or the newest
    /// change that is in it. Only from one who knows the term of a machine's shard
    /// does it follow that a task which is not named is not wanted there.
    #[prost(uint64, repeated, tag = "9")]
    pub known_terms: Vec<u64>,
}

impl DesiredStateMessage {
    /// As it is kept; `None` if a task names no job.
    pub fn read(self) -> Option<DesiredUpdate> {
        let shapes: Vec<Rc<Shape>> = self.shapes.into_iter().map(Rc::new).collect();
        let mut machines = Vec::with_capacity(self.machines.len());
        for desired in self.machines {
            let tasks: Option<Vec<DesiredTask>> =
                desired.tasks.into_iter().map(|task| task.read(&shapes)).collect();
            machines.push((desired.machine, desired.known, tasks?));
        }
        Some(DesiredUpdate {
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

/// A task that a shard wants on a machine, as it is kept.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DesiredTask {
    /// Its job.
    pub shape: Rc<Shape>,
    /// See [`DesiredTaskMessage`].
    pub index: u32,
    /// See [`DesiredTaskMessage`].
    pub attempt: u64,
    /// See [`DesiredTaskMessage`].
    pub incarnation: u64,
    /// See [`DesiredTaskMessage`].
    pub stop_ms: Option<u64>,
    /// See [`DesiredTaskMessage`].
    pub placed_s: u64,
    /// See [`DesiredTaskMessage`].
    pub phase: i32,
}

impl Deref for DesiredTask {
    type Target = Shape;

    fn deref(&self) -> &Shape {
        &self.shape
    }
}

impl DesiredTask {
    /// How far it is, by its owner.
    pub fn phase(&self) -> Phase {
        Phase::try_from(self.phase).unwrap_or(Phase::Ahead)
    }

    /// As it is sent; `shape` is the place of its job among the message's shapes.
    fn to_message(&self, shape: u32) -> DesiredTaskMessage {
        DesiredTaskMessage {
            shape,
            index: self.index,
            attempt: self.attempt,
            incarnation: self.incarnation,
            stop_ms: self.stop_ms,
            placed_s: self.placed_s,
            phase: self.phase,
        }
    }
}

/// Wants of a shard, as they are kept: see [`DesiredStateMessage`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DesiredUpdate {
    /// Shard.
    pub shard: usize,
    /// Term under which it asks.
    pub term: u64,
    /// Order within the term.
    pub seq: u64,
    /// Machines that are not named have no desired tasks of this shard.
    pub complete: bool,
    /// Machine, term of its shard that was taken into account (0: as `terms`
    /// says), tasks.
    pub machines: Vec<(String, u64, Vec<DesiredTask>)>,
    /// Terms of all shards, as the sender knew them.
    pub terms: Vec<u64>,
    /// See [`DesiredStateMessage`].
    pub known_terms: Vec<u64>,
}

impl DesiredUpdate {
    /// As it is sent.
    pub fn to_message(&self) -> DesiredStateMessage {
        let mut shapes: Vec<Shape> = Vec::new();
        let mut places: BTreeMap<*const Shape, u32> = BTreeMap::new();
        let mut machines = Vec::with_capacity(self.machines.len());
        for (machine, known, tasks) in &self.machines {
            let mut desired = Vec::with_capacity(tasks.len());
            for task in tasks {
                let shape = *places.entry(Rc::as_ptr(&task.shape)).or_insert_with(|| {
                    shapes.push((*task.shape).clone());
                    shapes.len() as u32 - 1
                });
                desired.push(task.to_message(shape));
            }
            let machine = machine.clone();
            machines.push(MachineDesiredMessage { machine, tasks: desired, known: *known });
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
