//! Events of a run.

use super::faults::CancelRunning;
use millethold::controller::{CallId, Controller, Event};
use millethold::kv_store::KvRequest;
use millethold::peer::Frame;
use millethold::time::Micros;

/// A running process of a controller.
pub(super) struct ControllerProcess {
    pub(super) controller: Controller,
    /// Distinguishes this process from other processes of the same controller.
    pub(super) incarnation: u64,
    /// When it started.
    pub(super) started_at: Micros,
}

/// Sender and kind of a request to a controller.
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
    /// A repeated submission of an accepted job, with any body, or a cancellation of a job that is
    /// done.
    Repeat(String),
    /// A request that must be refused: its description and the expected status.
    InvalidRequest(&'static str, u16),
}

/// An event with a scheduled time.
pub(super) enum SimEvent {
    /// A controller's timer fires.
    Tick { controller: usize, incarnation: u64 },
    /// A controller's process starts.
    Start { controller: usize },
    /// A controller's process ends.
    Crash { controller: usize },
    /// An event reaches a controller process; it is lost if this process has ended.
    ToController { controller: usize, incarnation: u64, event: Event },
    /// A copy of a heartbeat reaches a controller, whichever process is running.
    HeartbeatCopy { controller: usize, event: Event },
    /// A call reaches the key-value store.
    KvStore {
        controller: usize,
        incarnation: u64,
        id: CallId,
        call: KvRequest,
        lose_answer: bool,
        sent: Micros,
    },
    /// A transaction reaches the key-value store after its caller has stopped waiting.
    LateTxn { call: KvRequest },
    /// Direct commands reach a worker.
    Direct { controller: usize, incarnation: u64, id: CallId, worker: usize, body: Vec<u8> },
    /// Held direct commands reach a worker after their sender has stopped waiting.
    HeldCommands { worker: usize, body: Vec<u8>, sent: Micros },
    /// A copy of direct commands that were answered reaches their worker again.
    CommandCopy { worker: usize, body: Vec<u8> },
    /// A frame reaches a peer.
    Peer { from: usize, link: u64, to: usize, frame: Box<Frame> },
    /// A connection to a peer opens.
    PeerUp { from: usize, to: usize, link: u64 },
    /// An answer that a controller sent at `sent_at` reaches the worker or user.
    Answer { ticket: u64, sent_at: Micros, status: u16, body: Vec<u8> },
    /// A worker advances its tasks and sends a heartbeat if one is due.
    WorkerStep { worker: usize },
    /// A heartbeat of a worker got no answer in time.
    HeartbeatTimeout { worker: usize, heartbeat: u64 },
    /// The running tasks of a job complete.
    TasksComplete(String),
    /// A user submits a job.
    Submit(String),
    /// A user cancels a job.
    Cancel(String),
    /// A user queries the status of a job.
    Poll(String),
    /// The cloud terminates a machine.
    MachineTerminated { worker: usize },
    /// The key-value store becomes unavailable.
    OutageBegins,
    /// The key-value store is available again.
    OutageEnds,
    /// The key-value store drops the changes that the open watches wait for.
    Compaction,
    /// The waiting watches are checked again.
    WakeWatches,
    /// Users cancel running jobs.
    CancelRunning(CancelRunning),
    /// A user sends an invalid request.
    InvalidRequest,
    /// A user queries one controller about a job as part of a burst, or (`repeat`) repeats the
    /// submission there.
    BurstQuery { id: String, controller: usize, repeat: bool },
}
