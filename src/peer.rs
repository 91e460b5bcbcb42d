//! What controllers tell each other, as length-prefixed `prost` frames.
//!
//! Everything here is whole-state: a lost frame is made good by the next one
//! about the same thing, so nothing needs an answer. A gap in a sender's frames is
//! known by their numbers, and all is asked for anew.

use prost::Message;
use std::collections::BTreeMap;
use std::ops::Deref;
use std::rc::Rc;

/// Largest frame taken from a peer; a larger one ends the connection.
pub const MAX_FRAME: usize = 4 * 1024 * 1024;

/// A seat as its holder sees it.
#[derive(Clone, PartialEq, Message)]
pub struct HeldSeat {
    /// Number of the seat.
    #[prost(uint32, tag = "1")]
    pub seat: u32,
    /// Its term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
}

/// What the tasks of a job have in common, as wants tell it.
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

/// A task that a seat wants on a machine, or wants stopped there, as it is sent:
/// an array of thousands would repeat its job's description in each.
#[derive(Clone, PartialEq, Message)]
pub struct TaskWant {
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
    pub session: u64,
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

/// A task that a seat wants on a machine, as it is kept.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WantedTask {
    /// Its job.
    pub shape: Rc<Shape>,
    /// See [`TaskWant`].
    pub index: u32,
    /// See [`TaskWant`].
    pub attempt: u64,
    /// See [`TaskWant`].
    pub session: u64,
    /// See [`TaskWant`].
    pub stop_ms: Option<u64>,
    /// See [`TaskWant`].
    pub placed_s: u64,
    /// See [`TaskWant`].
    pub phase: i32,
}

impl Deref for WantedTask {
    type Target = Shape;

    fn deref(&self) -> &Shape {
        &self.shape
    }
}

impl WantedTask {
    /// How far it is, by its owner.
    pub fn phase(&self) -> Phase {
        Phase::try_from(self.phase).unwrap_or(Phase::Ahead)
    }
}

/// Wants of a seat, as they are kept: see [`SeatWants`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Wants {
    /// Seat.
    pub seat: usize,
    /// Term under which it asks.
    pub term: u64,
    /// Order within the term.
    pub seq: u64,
    /// Machines that are not named have no wants of this seat.
    pub complete: bool,
    /// Machine, term of its seat that was taken into account (0: as `terms`
    /// says), tasks.
    pub machines: Vec<(String, u64, Vec<WantedTask>)>,
    /// Terms of all seats, as the sender knew them.
    pub terms: Vec<u64>,
    /// See [`SeatWants`].
    pub knows: Vec<u64>,
}

impl Wants {
    /// As it is sent.
    pub fn to_message(&self) -> SeatWants {
        let mut shapes: Vec<Shape> = Vec::new();
        let mut places: BTreeMap<*const Shape, u32> = BTreeMap::new();
        let mut machines = Vec::with_capacity(self.machines.len());
        for (machine, known, tasks) in &self.machines {
            let mut wants = Vec::with_capacity(tasks.len());
            for t in tasks {
                let shape = *places.entry(Rc::as_ptr(&t.shape)).or_insert_with(|| {
                    shapes.push((*t.shape).clone());
                    shapes.len() as u32 - 1
                });
                wants.push(TaskWant {
                    shape,
                    index: t.index,
                    attempt: t.attempt,
                    session: t.session,
                    stop_ms: t.stop_ms,
                    placed_s: t.placed_s,
                    phase: t.phase,
                });
            }
            let machine = machine.clone();
            machines.push(MachineWants { machine, tasks: wants, known: *known });
        }
        SeatWants {
            seat: self.seat as u32,
            term: self.term,
            seq: self.seq,
            complete: self.complete,
            machines,
            terms: self.terms.clone(),
            shapes,
            knows: self.knows.clone(),
        }
    }
}

impl SeatWants {
    /// As it is kept; `None` if a task names no job.
    pub fn read(self) -> Option<Wants> {
        let shapes: Vec<Rc<Shape>> = self.shapes.into_iter().map(Rc::new).collect();
        let task = |t: TaskWant| {
            Some(WantedTask {
                shape: Rc::clone(shapes.get(t.shape as usize)?),
                index: t.index,
                attempt: t.attempt,
                session: t.session,
                stop_ms: t.stop_ms,
                placed_s: t.placed_s,
                phase: t.phase,
            })
        };
        let mut machines = Vec::with_capacity(self.machines.len());
        for m in self.machines {
            let tasks: Option<Vec<WantedTask>> = m.tasks.into_iter().map(task).collect();
            machines.push((m.machine, m.known, tasks?));
        }
        Some(Wants {
            seat: self.seat as usize,
            term: self.term,
            seq: self.seq,
            complete: self.complete,
            machines,
            terms: self.terms,
            knows: self.knows,
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
    Wanted = 1,
    /// Its attempt has ended, which is not written down yet: it is not started
    /// again, and what is listed of it is kept.
    Over = 2,
}

/// All that a seat wants on one machine.
#[derive(Clone, PartialEq, Message)]
pub struct MachineWants {
    /// Machine.
    #[prost(string, tag = "1")]
    pub machine: String,
    /// The tasks.
    #[prost(message, repeated, tag = "2")]
    pub tasks: Vec<TaskWant>,
    /// Term of the machine's seat that these wants have taken into account, where
    /// they are repeated; 0: as the message says.
    #[prost(uint64, tag = "3")]
    pub known: u64,
}

/// A seat's wants: of some machines, or of all.
#[derive(Clone, PartialEq, Message)]
pub struct SeatWants {
    /// Seat.
    #[prost(uint32, tag = "1")]
    pub seat: u32,
    /// Term under which it asks.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Order within the term.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// True: machines that are not named have no wants of this seat.
    #[prost(bool, tag = "4")]
    pub complete: bool,
    /// The machines.
    #[prost(message, repeated, tag = "5")]
    pub machines: Vec<MachineWants>,
    /// Terms of all seats, by number, as the sender knew them. What it had
    /// concluded from views under earlier terms is in the message, so a
    /// machine's seat starts nothing of it under a later term than the named.
    #[prost(uint64, repeated, tag = "6")]
    pub terms: Vec<u64>,
    /// Jobs of the tasks.
    #[prost(message, repeated, tag = "7")]
    pub shapes: Vec<Shape>,
    /// Terms of all seats that the sender knew when it made this, or the newest
    /// change that is in it. Only from one who knows the term of a machine's seat
    /// does it follow that a task which is not named is not wanted there.
    #[prost(uint64, repeated, tag = "9")]
    pub knows: Vec<u64>,
}

/// A task on a machine, as the machine's seat knows it.
#[derive(Clone, PartialEq, Message)]
pub struct SeenTask {
    /// Job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// Number of the task in its job.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Attempt.
    #[prost(uint64, tag = "3")]
    pub attempt: u64,
    /// See [`Seen`]; a word of a later version reads as the first one, from
    /// which nothing is concluded.
    #[prost(enumeration = "Seen", tag = "4")]
    pub seen: i32,
}

/// How a task stands on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Seen {
    /// A start may be on its way.
    Sent = 0,
    /// Waits for its image.
    Fetching = 1,
    /// Runs.
    Running = 2,
    /// Saves.
    Saving = 3,
    /// Completed.
    Done = 4,
    /// Stopped by command.
    Stopped = 5,
    /// Failed.
    Failed = 6,
    /// The machine or its seat had no room: it never ran there.
    Refused = 7,
    /// Admitted, waiting for a stopping task's room.
    Waiting = 8,
}

impl Seen {
    /// Over on this machine.
    pub fn over(self) -> bool {
        matches!(self, Seen::Done | Seen::Stopped | Seen::Failed | Seen::Refused)
    }
}

/// Which wants of a seat the machine's seat acts on.
#[derive(Clone, PartialEq, Message)]
pub struct Heard {
    /// The asking seat.
    #[prost(uint32, tag = "1")]
    pub seat: u32,
    /// Its term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Its newest message.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
}

/// A machine as its seat knows it.
#[derive(Clone, PartialEq, Message)]
pub struct MachineView {
    /// Name.
    #[prost(string, tag = "1")]
    pub machine: String,
    /// Its seat's term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Order within the term.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// Has reported under this term.
    #[prost(bool, tag = "4")]
    pub known: bool,
    /// Session of the newest report.
    #[prost(uint64, tag = "5")]
    pub session: u64,
    /// Sessions up to this one are surely over.
    #[prost(uint64, tag = "6")]
    pub over_through: u64,
    /// Never reported under this term, and every older session is over.
    #[prost(bool, tag = "7")]
    pub vanished: bool,
    /// Type.
    #[prost(string, tag = "8")]
    pub machine_type: String,
    /// Zone.
    #[prost(string, tag = "9")]
    pub zone: String,
    /// Spot machine.
    #[prost(bool, tag = "10")]
    pub spot: bool,
    /// Address for direct commands.
    #[prost(string, tag = "11")]
    pub address: String,
    /// Milliseconds until the cloud takes it.
    #[prost(uint64, optional, tag = "12")]
    pub notice_ms: Option<u64>,
    /// Reports in time and does not fail its tasks.
    #[prost(bool, tag = "13")]
    pub healthy: bool,
    /// Its tasks.
    #[prost(message, repeated, tag = "14")]
    pub tasks: Vec<SeenTask>,
    /// Wants that this view takes into account.
    #[prost(message, repeated, tag = "15")]
    pub heard: Vec<Heard>,
    /// Fails what it starts; its seat wants it returned.
    #[prost(bool, tag = "16")]
    pub faulty: bool,
}

/// A job's progress for display.
#[derive(Clone, PartialEq, Message)]
pub struct Progress {
    /// Job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// Tasks done.
    #[prost(uint32, tag = "2")]
    pub done: u32,
    /// Tasks running.
    #[prost(uint32, tag = "3")]
    pub running: u32,
}

/// Waiting tasks of one shape.
#[derive(Clone, PartialEq, Message)]
pub struct Demand {
    /// How many tasks wait.
    #[prost(uint32, tag = "1")]
    pub tasks: u32,
    /// CPUs of each.
    #[prost(double, tag = "2")]
    pub cpus: f64,
    /// GPUs of each.
    #[prost(double, tag = "3")]
    pub gpus: f64,
    /// Memory of each.
    #[prost(double, tag = "4")]
    pub memory_gb: f64,
    /// Allowed types; none named: all.
    #[prost(string, repeated, tag = "5")]
    pub types: Vec<String>,
    /// Allowed zone.
    #[prost(string, optional, tag = "6")]
    pub zone: Option<String>,
    /// May use spot machines.
    #[prost(bool, tag = "7")]
    pub spot: bool,
    /// Rank of service.
    #[prost(uint32, tag = "8")]
    pub rank: u32,
    /// Its team uses its whole guarantee, so that others go first.
    #[prost(bool, tag = "9")]
    pub beyond: bool,
}

impl Demand {
    /// Order of service, as in a seat's queue.
    pub fn turn(&self) -> (bool, u32) {
        (self.beyond, self.rank)
    }
}

/// What a seat lacks of a team's limit.
#[derive(Clone, PartialEq, Message)]
pub struct QuotaNeed {
    /// Seat.
    #[prost(uint32, tag = "1")]
    pub seat: u32,
    /// Team.
    #[prost(string, tag = "2")]
    pub team: String,
    /// CPUs that waiting tasks lack.
    #[prost(double, tag = "3")]
    pub cpus: f64,
    /// GPUs that they lack.
    #[prost(double, tag = "4")]
    pub gpus: f64,
    /// Rank of these tasks.
    #[prost(uint32, tag = "5")]
    pub rank: u32,
}

/// A task that is asked to make room.
#[derive(Clone, PartialEq, Message)]
pub struct Preempt {
    /// Job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// Number of the task in its job.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Attempt.
    #[prost(uint64, tag = "3")]
    pub attempt: u64,
    /// There is time for it to save first.
    #[prost(bool, tag = "4")]
    pub save: bool,
}

/// Where a machine was last known to be, for a controller that may take its
/// seat without having heard of it.
#[derive(Clone, PartialEq, Message)]
pub struct Hint {
    /// Machine.
    #[prost(string, tag = "1")]
    pub machine: String,
    /// Session.
    #[prost(uint64, tag = "2")]
    pub session: u64,
    /// Address for direct commands.
    #[prost(string, tag = "3")]
    pub address: String,
}

/// Machines of somebody else's seat that reported to the sender lately: their
/// holder does not answer them.
#[derive(Clone, PartialEq, Message)]
pub struct Strays {
    /// Seat.
    #[prost(uint32, tag = "1")]
    pub seat: u32,
    /// How many machines.
    #[prost(uint32, tag = "2")]
    pub machines: u32,
}

/// A job that others need, and how pressing the most pressing of them is.
#[derive(Clone, PartialEq, Message)]
pub struct Pressing {
    /// Job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// Rank of service: lower is more urgent.
    #[prost(uint32, tag = "2")]
    pub rank: u32,
    /// Time of day of the deadline, in microseconds.
    #[prost(uint64, tag = "3")]
    pub due_us: u64,
}

/// One message between controllers.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Sender.
    #[prost(string, tag = "1")]
    pub member: String,
    /// The sender's run: a number drawn when its process started.
    #[prost(uint64, tag = "2")]
    pub run: u64,
    /// Seats that the sender holds at present, as far as it may act.
    #[prost(message, repeated, tag = "3")]
    pub held: Vec<HeldSeat>,
    /// The sender's state lease is valid.
    #[prost(bool, tag = "4")]
    pub state_ok: bool,
    /// Wants.
    #[prost(message, repeated, tag = "5")]
    pub wants: Vec<SeatWants>,
    /// Machines.
    #[prost(message, repeated, tag = "6")]
    pub views: Vec<MachineView>,
    /// Progress of jobs.
    #[prost(message, repeated, tag = "7")]
    pub progress: Vec<Progress>,
    /// Everything that waits at the sender; replaces what it said before.
    #[prost(message, repeated, tag = "8")]
    pub demand: Vec<Demand>,
    /// True if `demand` and `needs` are meant to be taken.
    #[prost(bool, tag = "9")]
    pub has_demand: bool,
    /// Limits that its seats run into.
    #[prost(message, repeated, tag = "10")]
    pub needs: Vec<QuotaNeed>,
    /// Jobs whose cancellation the sender has confirmed, told again until all
    /// have heard of them.
    #[prost(string, repeated, tag = "11")]
    pub cancelled: Vec<String>,
    /// Machines that the renting seat knows to be gone.
    #[prost(string, repeated, tag = "12")]
    pub gone: Vec<String>,
    /// Machines that the renting seat is about to return; all of them.
    #[prost(string, repeated, tag = "13")]
    pub draining: Vec<String>,
    /// True if the sender rents and `draining` is meant to be taken.
    #[prost(bool, tag = "14")]
    pub rents: bool,
    /// Tasks of other seats that the sender asks to be stopped for more
    /// urgent ones.
    #[prost(message, repeated, tag = "15")]
    pub preempt: Vec<Preempt>,
    /// Machines of seats that the sender does not hold, as it last knew them.
    #[prost(message, repeated, tag = "16")]
    pub hints: Vec<Hint>,
    /// Machines of others' seats that report to the sender; taken with `demand`.
    #[prost(message, repeated, tag = "17")]
    pub strays: Vec<Strays>,
    /// The sender and its workers are out of each other's reach: it gives its
    /// seats up and is to be given none.
    #[prost(bool, tag = "18")]
    pub cut_off: bool,
    /// Members of whom the sender missed something: they are to tell it all.
    #[prost(uint32, repeated, tag = "19")]
    pub missed: Vec<u32>,
    /// Counts the sender's frames, the same for all peers: one that was lost with a
    /// connection shows as a gap.
    #[prost(uint64, tag = "20")]
    pub number: u64,
    /// It tells everything: what was missed before does not matter any more.
    #[prost(bool, tag = "21")]
    pub full: bool,
    /// Revision of the state service up to which the sender has heard of jobs.
    #[prost(uint64, tag = "22")]
    pub watched: u64,
    /// Jobs that the sender's waiting jobs need.
    #[prost(message, repeated, tag = "23")]
    pub pressing: Vec<Pressing>,
}

/// Appends a frame with its length in front.
pub fn write_frame(out: &mut Vec<u8>, frame: &Frame) {
    let len = frame.encoded_len();
    out.reserve(len + 4);
    out.extend_from_slice(&(len as u32).to_be_bytes());
    // A Vec grows as needed, so encoding into it cannot run out of room.
    let _ = frame.encode(out);
}

/// A frame that cannot be read; its connection must be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadFrame;

/// Reads a frame from the front of `buf`, with its length.
pub fn read_frame(buf: &[u8]) -> Result<Option<(Frame, usize)>, BadFrame> {
    let Some(head) = buf.first_chunk::<4>() else {
        return Ok(None);
    };
    let len = u32::from_be_bytes(*head) as usize;
    if len > MAX_FRAME {
        return Err(BadFrame);
    }
    match buf.get(4..4 + len) {
        None => Ok(None),
        Some(body) => match Frame::decode(body) {
            Ok(frame) => Ok(Some((frame, 4 + len))),
            Err(_) => Err(BadFrame),
        },
    }
}
