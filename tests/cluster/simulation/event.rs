//! What can happen in a run.

use super::faults::CancelNow;
use millethold::controller::{CallId, Controller, Event};
use millethold::kv_store::KvRequest;
use millethold::peer::Frame;
use millethold::time::Micros;

/// A controller that is up.
pub(super) struct Node {
    pub(super) controller: Controller,
    /// Tells its runs apart.
    pub(super) incarnation: u64,
}

/// Who sent a request to a controller.
#[derive(Debug, Clone)]
pub(super) enum Origin {
    /// A worker's heartbeat.
    Worker { worker: usize, sent: Micros, heartbeat: u64 },
    /// A user's submission of a job.
    Submit(String),
    /// A user's status query.
    Poll(String),
    /// A user's cancellation of a job.
    Cancel(String),
    /// A repeat of a submission that was answered, whatever its body holds.
    Repeat(String),
    /// A request that must be refused with this status: what it is.
    InvalidRequest(&'static str, u16),
}

/// Something that happens at a certain time.
pub(super) enum SimEvent {
    /// A controller's timer fires.
    Tick { node: usize, incarnation: u64 },
    /// A controller's process starts.
    Start { node: usize },
    /// A controller's process ends.
    Crash { node: usize },
    /// Something reaches a controller's run.
    Node { node: usize, incarnation: u64, event: Event },
    /// A copy of a heartbeat reaches whatever run there is.
    Copy { node: usize, event: Event },
    /// A call reaches the key-value store.
    KvStore { node: usize, incarnation: u64, id: CallId, call: KvRequest, lose: bool, sent: Micros },
    /// A transaction reaches the key-value store whose answer nobody awaits.
    LateTxn { call: KvRequest },
    /// Direct commands reach a worker.
    Direct { node: usize, incarnation: u64, id: CallId, worker: usize, body: Vec<u8> },
    /// Direct commands that were held reach a worker; their sender has given them up.
    HeldCommands { worker: usize, body: Vec<u8>, sent: Micros },
    /// A frame reaches a peer.
    Peer { from: usize, link: u64, to: usize, frame: Box<Frame> },
    /// A connection to a peer is there.
    PeerUp { from: usize, to: usize, link: u64 },
    /// An answer reaches who asked.
    Answer { ticket: u64, left: Micros, status: u16, body: Vec<u8> },
    /// A worker's turn.
    Worker { worker: usize },
    /// A worker has waited for too long for the answer to its heartbeat.
    HeartbeatTimeout { worker: usize, heartbeat: u64 },
    /// A user submits a job.
    Submit(String),
    /// A user cancels a job.
    Cancel(String),
    /// A user asks about a job.
    Poll(String),
    /// The cloud takes a machine.
    Taken { worker: usize },
    /// The key-value store goes away.
    OutageBegins,
    /// It is back.
    OutageEnds,
    /// Watches are looked at again.
    Wake,
    /// Users call off running jobs.
    CancelNow(CancelNow),
    /// A user sends an invalid request.
    InvalidRequest,
    /// A user queries all controllers about a job.
    QueryAllControllers { id: String, node: usize, repeat: bool },
}
