//! What goes into the controller and what comes out of it.
//!
//! The controller does no input or output of its own: the runtime turns what
//! happened into [`Event`]s and carries out the [`Effect`]s that it returns.

use crate::cloud::{CloudCall, CloudReply};
use crate::kv_store::{KvRequest, KvResponse};
use crate::peer::Frame;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// A request that awaits its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A call to an outside system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What became of direct commands.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectReply {
    /// The worker answered.
    Answered {
        /// Status.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
    /// Surely not executed.
    NotSent,
    /// May have been executed, or may still be.
    Unknown,
}

/// The end of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The key-value store's.
    KvStore(KvResponse),
    /// The cloud's.
    Cloud(CloudReply),
    /// A worker's.
    Direct(DirectReply),
}

/// Something that happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A user, worker or prober asks.
    Http {
        /// Goes with the answer.
        ticket: Ticket,
        /// Method.
        method: String,
        /// Path with its query.
        path: String,
        /// Body.
        body: Vec<u8>,
    },
    /// A call ended.
    Reply {
        /// The call.
        id: CallId,
        /// How.
        reply: Reply,
    },
    /// A peer sent a frame.
    Peer {
        /// Number of the member.
        from: usize,
        /// The frame.
        frame: Box<Frame>,
    },
    /// A new connection to a peer stands: nothing was received on it yet.
    PeerUp(usize),
    /// The connection to a peer is gone.
    PeerDown(usize),
    /// Time has passed.
    Tick,
}

/// Something to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Answer a request.
    Respond {
        /// The request.
        ticket: Ticket,
        /// Status.
        status: u16,
        /// Seconds after which to ask again.
        retry_after: Option<u64>,
        /// JSON.
        body: Vec<u8>,
    },
    /// Call the key-value store.
    KvStore {
        /// Goes with the reply.
        id: CallId,
        /// The call.
        call: KvRequest,
    },
    /// Call the cloud.
    Cloud {
        /// Goes with the reply.
        id: CallId,
        /// The call.
        call: CloudCall,
    },
    /// Send direct commands to a worker.
    Direct {
        /// Goes with the reply.
        id: CallId,
        /// The worker.
        address: SocketAddrV4,
        /// JSON.
        body: Vec<u8>,
    },
    /// Ask a worker for its report, ordering nothing and showing no token.
    Inspect {
        /// Goes with the reply, which is a worker's.
        id: CallId,
        /// The worker.
        address: SocketAddrV4,
    },
    /// Send a frame to a peer.
    Peer {
        /// Number of the member.
        to: usize,
        /// The frame; one for several peers is written only once.
        frame: Rc<Frame>,
    },
}
