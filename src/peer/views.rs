//! Machines and their tasks as the machine's shard knows them: the observed state.

use prost::Message;

/// A task on a machine, as the machine's shard knows it.
#[derive(Clone, PartialEq, Message)]
pub struct ObservedTask {
    /// Job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// Number of the task in its job.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Attempt.
    #[prost(uint64, tag = "3")]
    pub attempt: u64,
    /// See [`ObservedState`]; a word of a later version reads as the first one, from
    /// which nothing is concluded.
    #[prost(enumeration = "ObservedState", tag = "4")]
    pub observed: i32,
}

/// How a task stands on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ObservedState {
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
    /// The machine or its shard had no room: it never ran there.
    Refused = 7,
    /// Admitted, waiting for a stopping task's room.
    Waiting = 8,
}

impl ObservedState {
    /// Over on this machine.
    pub fn over(self) -> bool {
        matches!(
            self,
            ObservedState::Done
                | ObservedState::Stopped
                | ObservedState::Failed
                | ObservedState::Refused
        )
    }
}

/// Which desired state of a shard the machine's shard acts on.
#[derive(Clone, PartialEq, Message)]
pub struct AppliedUpdate {
    /// The asking shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// Its term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Its newest message.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
}

/// A machine as its shard knows it.
#[derive(Clone, PartialEq, Message)]
pub struct MachineView {
    /// Name.
    #[prost(string, tag = "1")]
    pub machine: String,
    /// Its shard's term.
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
    pub incarnation: u64,
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
    pub tasks: Vec<ObservedTask>,
    /// Wants that this view takes into account.
    #[prost(message, repeated, tag = "15")]
    pub applied: Vec<AppliedUpdate>,
    /// Fails what it starts; its shard wants it returned.
    #[prost(bool, tag = "16")]
    pub faulty: bool,
}
