//! Machines and their tasks as the leaders of their shards know them: the observed state.

use crate::wire::WorkerIncarnation;
use prost::Message;

/// A task on a machine, as the leader of the machine's shard knows it.
#[derive(Clone, PartialEq, Message)]
pub struct ObservedTask {
    /// Id of its job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// Number of the task in its job.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Number of its attempt.
    #[prost(uint64, tag = "3")]
    pub attempt: u64,
    /// See [`ObservedState`]; a value of a later version reads as the first one, from
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
    /// Saves a checkpoint before it stops.
    Saving = 3,
    /// Completed.
    Done = 4,
    /// Stopped by command.
    Stopped = 5,
    /// Failed.
    Failed = 6,
    /// The machine had no capacity for it: it never ran there.
    Refused = 7,
    /// Admitted, waiting for the resources of a task that stops.
    Waiting = 8,
}

impl ObservedState {
    /// Whether it has ended on this machine.
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

/// Which desired state of a shard the leader of the machine's shard acts on.
#[derive(Clone, PartialEq, Message)]
pub struct AppliedUpdate {
    /// Number of the shard that desires it.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// Term under which it was sent.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Number of its newest message.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
}

/// A machine as the leader of its shard knows it.
#[derive(Clone, PartialEq, Message)]
pub struct MachineView {
    /// Name of the machine.
    #[prost(string, tag = "1")]
    pub machine: String,
    /// Its shard's term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Order of the machine's views within the term.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// It has sent a heartbeat under this term.
    #[prost(bool, tag = "4")]
    pub known: bool,
    /// Incarnation of the newest heartbeat.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// Incarnations up to this one are surely over.
    #[prost(uint64, tag = "6")]
    pub over_through: u64,
    /// It has sent no heartbeat under this term, and every earlier incarnation is over.
    #[prost(bool, tag = "7")]
    pub vanished: bool,
    /// Machine type.
    #[prost(string, tag = "8")]
    pub machine_type: String,
    /// Zone of the cloud.
    #[prost(string, tag = "9")]
    pub zone: String,
    /// It is a spot machine.
    #[prost(bool, tag = "10")]
    pub spot: bool,
    /// Address for direct commands.
    #[prost(string, tag = "11")]
    pub address: String,
    /// Milliseconds until the cloud reclaims it, after a spot notice.
    #[prost(uint64, optional, tag = "12")]
    pub notice_ms: Option<u64>,
    /// It sends heartbeats in time and is not in quarantine.
    #[prost(bool, tag = "13")]
    pub healthy: bool,
    /// Its tasks.
    #[prost(message, repeated, tag = "14")]
    pub tasks: Vec<ObservedTask>,
    /// Desired state that this view takes into account.
    #[prost(message, repeated, tag = "15")]
    pub applied: Vec<AppliedUpdate>,
    /// It fails what it starts, and is to be scaled in.
    #[prost(bool, tag = "16")]
    pub faulty: bool,
}

impl MachineView {
    /// Incarnation of the newest heartbeat.
    pub fn worker_incarnation(&self) -> WorkerIncarnation {
        WorkerIncarnation(self.incarnation)
    }

    /// Whether an incarnation of its worker is surely over.
    pub fn has_ended(&self, incarnation: WorkerIncarnation) -> bool {
        self.over_through >= incarnation.0
    }
}
