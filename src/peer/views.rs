//! The observed state: machines and their tasks as the leaders of the machines' shards see them.

use crate::wire::WorkerIncarnation;
use prost::Message;

/// Observed state of an attempt on a machine.
#[derive(Clone, PartialEq, Message)]
pub struct ObservedTask {
    /// Id of the job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// Number of the task in its job.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Number of the attempt.
    #[prost(uint64, tag = "3")]
    pub attempt: u64,
    /// An [`ObservedState`]. An unknown value of a later version reads as
    /// [`ObservedState::Sent`], from which nothing is concluded.
    #[prost(enumeration = "ObservedState", tag = "4")]
    pub observed: i32,
}

/// State of a task on its machine, as observed by the leader of the machine's shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ObservedState {
    /// A start command may be in flight.
    Sent = 0,
    /// Waiting for its image.
    Fetching = 1,
    /// Running.
    Running = 2,
    /// Saving a checkpoint before it stops.
    Saving = 3,
    /// Completed.
    Done = 4,
    /// Stopped by a command.
    Stopped = 5,
    /// Ended with an error.
    Failed = 6,
    /// Refused for lack of capacity: the task never ran there.
    Refused = 7,
    /// Not started yet: the task waits for the resources of a task that is stopping.
    Waiting = 8,
}

impl ObservedState {
    /// Whether the task has ended on this machine.
    pub fn is_terminal(self) -> bool {
        matches!(
            self,
            ObservedState::Done
                | ObservedState::Stopped
                | ObservedState::Failed
                | ObservedState::Refused
        )
    }
}

/// The newest update of a shard's desired state that a machine's view takes into account.
#[derive(Clone, PartialEq, Message)]
pub struct AppliedUpdate {
    /// Number of the shard that sent the update.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// Term under which the update was sent.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Sequence number of the update.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
}

/// Observed state of a machine, sent by the leader of its shard.
#[derive(Clone, PartialEq, Message)]
pub struct MachineView {
    /// Name of the machine.
    #[prost(string, tag = "1")]
    pub machine: String,
    /// Term under which the machine's shard is led.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Sequence number of the machine's views within the term.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// Whether the machine has sent a heartbeat with this term's fencing token.
    #[prost(bool, tag = "4")]
    pub observed_in_term: bool,
    /// Incarnation that the newest heartbeat shows; 0 if there is none.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// Incarnations up to and including this one have definitely ended.
    #[prost(uint64, tag = "6")]
    pub last_ended_incarnation: u64,
    /// Whether the machine has sent no heartbeat under this term for longer than any worker
    /// lease, so that every earlier incarnation has ended.
    #[prost(bool, tag = "7")]
    pub worker_gone: bool,
    /// Name of the machine type.
    #[prost(string, tag = "8")]
    pub machine_type: String,
    /// Zone of the machine.
    #[prost(string, tag = "9")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[prost(bool, tag = "10")]
    pub spot: bool,
    /// Address for direct commands, as `IP:port`; empty if it is not known.
    #[prost(string, tag = "11")]
    pub address: String,
    /// Milliseconds until the cloud reclaims the machine; `None` without a spot notice.
    #[prost(uint64, optional, tag = "12")]
    pub notice_ms: Option<u64>,
    /// Whether the machine sends heartbeats in time, responds to commands and is not in
    /// quarantine.
    #[prost(bool, tag = "13")]
    pub healthy: bool,
    /// Attempts on the machine, including refused ones and starts that may be in flight.
    #[prost(message, repeated, tag = "14")]
    pub tasks: Vec<ObservedTask>,
    /// Updates of desired state that this view takes into account, one per shard; a shard whose
    /// desired state is incomplete is absent.
    #[prost(message, repeated, tag = "15")]
    pub applied: Vec<AppliedUpdate>,
    /// Whether the machine fails the tasks that it starts, and has been in quarantine for long
    /// enough to be scaled in.
    #[prost(bool, tag = "16")]
    pub faulty: bool,
}

impl MachineView {
    /// Incarnation that the newest heartbeat shows; [`WorkerIncarnation::NONE`] if there is none.
    pub fn worker_incarnation(&self) -> WorkerIncarnation {
        WorkerIncarnation(self.incarnation)
    }

    /// Whether an incarnation of the machine's worker has definitely ended.
    pub fn has_ended(&self, incarnation: WorkerIncarnation) -> bool {
        self.last_ended_incarnation >= incarnation.0
    }
}
