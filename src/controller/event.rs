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

/// The end of direct commands to a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectReply {
    /// The worker answered.
    Answered {
        /// Status.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
    /// Surely not executed: they were never sent.
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
    /// A request of a user, a worker or the load balancer came.
    Http {
        /// Names the request in its answer.
        ticket: Ticket,
        /// HTTP method.
        method: String,
        /// Path of the URL, with its query.
        path: String,
        /// Body.
        body: Vec<u8>,
    },
    /// A call ended.
    Reply {
        /// The call.
        id: CallId,
        /// How it ended.
        reply: Reply,
    },
    /// A peer sent a frame.
    Peer {
        /// Number of the member.
        from: usize,
        /// The frame.
        frame: Box<Frame>,
    },
    /// A new connection to a peer is open: the peer has received nothing on it yet.
    PeerUp(usize),
    /// The connection to a peer is closed.
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
        /// HTTP status.
        status: u16,
        /// Seconds after which the request may be repeated.
        retry_after: Option<u64>,
        /// JSON.
        body: Vec<u8>,
    },
    /// Call the key-value store.
    KvStore {
        /// Names the call in its reply.
        id: CallId,
        /// The call.
        call: KvRequest,
    },
    /// Call the cloud.
    Cloud {
        /// Names the call in its reply.
        id: CallId,
        /// The call.
        call: CloudCall,
    },
    /// Send direct commands to a worker.
    Direct {
        /// Names the call in its reply.
        id: CallId,
        /// The worker.
        address: SocketAddrV4,
        /// JSON.
        body: Vec<u8>,
    },
    /// Request a worker's heartbeat, with no commands and no fencing token.
    Inspect {
        /// Names the call in its reply, which is a worker's.
        id: CallId,
        /// The worker.
        address: SocketAddrV4,
    },
    /// Send a frame to a peer.
    Peer {
        /// Number of the member.
        to: usize,
        /// The frame; one for several peers is encoded only once.
        frame: Rc<Frame>,
    },
}
