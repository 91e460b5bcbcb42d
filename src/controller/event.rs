//! Inputs and outputs of the controller.
//!
//! The controller does no I/O: the runtime turns occurrences into [`Event`]s and carries out the
//! [`Effect`]s that the controller returns.

use crate::cloud::{CloudCall, CloudReply};
use crate::kv_store::{KvRequest, KvResponse};
use crate::peer::Frame;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// Identifies a request that awaits its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Identifies a call to an external system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Result of direct commands to a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectReply {
    /// The worker answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Body of the HTTP message.
        body: Vec<u8>,
    },
    /// The commands were definitely not executed: they were never sent.
    NotSent,
    /// The commands may have been executed, or may still be.
    Unknown,
}

/// Result of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// Reply of the key-value store.
    KvStore(KvResponse),
    /// Reply of the cloud.
    Cloud(CloudReply),
    /// Result of direct commands to a worker, or of a probe.
    Direct(DirectReply),
}

/// An input of the controller.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request of a user, a worker or the load balancer arrived.
    Http {
        /// Identifies the request in its answer.
        ticket: Ticket,
        /// HTTP method.
        method: String,
        /// Path of the URL, with its query.
        path: String,
        /// Body of the HTTP message.
        body: Vec<u8>,
    },
    /// A call ended.
    Reply {
        /// Identifies the call.
        id: CallId,
        /// Result of the call.
        reply: Reply,
    },
    /// A frame arrived from a peer.
    Peer {
        /// Number of the peer.
        from: usize,
        /// Content of the frame.
        frame: Box<Frame>,
    },
    /// A new connection to a peer is open: the peer has received nothing on it yet.
    PeerUp(usize),
    /// The connection to a peer is closed.
    PeerDown(usize),
    /// Time has passed.
    Tick,
}

/// An action that the runtime carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Answer a request.
    Respond {
        /// Identifies the request.
        ticket: Ticket,
        /// HTTP status.
        status: u16,
        /// Seconds after which the request may be repeated; `None` if the answer does not say so.
        retry_after: Option<u64>,
        /// JSON body.
        body: Vec<u8>,
    },
    /// Call the key-value store.
    KvStore {
        /// Identifies the call in its reply.
        id: CallId,
        /// Request to the key-value store.
        call: KvRequest,
    },
    /// Call the cloud.
    Cloud {
        /// Identifies the call in its reply.
        id: CallId,
        /// Request to the cloud.
        call: CloudCall,
    },
    /// Send direct commands to a worker.
    Direct {
        /// Identifies the call in its reply.
        id: CallId,
        /// Address of the worker.
        address: SocketAddrV4,
        /// JSON body.
        body: Vec<u8>,
    },
    /// Request a worker's heartbeat, without commands and without a fencing token.
    Inspect {
        /// Identifies the call in its reply, which is a [`DirectReply`].
        id: CallId,
        /// Address of the worker.
        address: SocketAddrV4,
    },
    /// Send a frame to a peer.
    Peer {
        /// Number of the peer.
        to: usize,
        /// Content of the frame; a frame to several peers is encoded only once.
        frame: Rc<Frame>,
    },
}
