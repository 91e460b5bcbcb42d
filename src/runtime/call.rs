//! One outgoing call, and the reply that its outcome yields for the controller.

use super::connection::ConnectionId;
use super::destination::Destination;
use crate::cloud::{CloudCall, CloudReply};
use crate::controller::{DirectReply, Reply};
use crate::http;
use crate::kv_store::{KvRequest, KvResponse};
use crate::time::Micros;

/// The type of a call, with the request where decoding its response needs it.
#[derive(Debug)]
pub(super) enum CallKind {
    /// A request to the key-value store.
    KvStore(KvRequest),
    /// A request to the cloud.
    Cloud(CloudCall),
    /// Commands or a status request sent directly to a worker.
    Direct,
}

/// The outcome of a call.
#[derive(Debug)]
pub(super) enum CallOutcome {
    /// A response was received.
    Answered(http::Response),
    /// No byte was sent: the call was definitely not executed.
    NotSent,
    /// No response was received: the call may have been executed, or may still be.
    Unanswered,
}

/// A call whose outcome is pending.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) kind: CallKind,
    pub(super) destination: Destination,
    /// The encoded request; empty once it has been handed to a connection.
    pub(super) bytes: Vec<u8>,
    /// When the call times out.
    pub(super) deadline: Micros,
    /// The connection that carries the call; `None` until one is assigned.
    pub(super) connection: Option<ConnectionId>,
}

impl Call {
    /// Creates a call that has not been sent.
    pub(super) fn new(
        kind: CallKind,
        destination: Destination,
        bytes: Vec<u8>,
        deadline: Micros,
    ) -> Call {
        Call { kind, destination, bytes, deadline, connection: None }
    }

    /// Time since the call to the key-value store was started; `None` for watches, which wait
    /// for changes, and for calls to other destinations.
    pub(super) fn kv_store_latency(&self, now: Micros) -> Option<Micros> {
        match &self.kind {
            CallKind::KvStore(request) if !request.is_watch() => {
                Some(now.since(self.deadline.since(request.timeout())))
            }
            _ => None,
        }
    }

    /// Decodes the outcome into the controller's reply.
    pub(super) fn into_reply(self, outcome: CallOutcome) -> Reply {
        match self.kind {
            CallKind::KvStore(request) => Reply::KvStore(match outcome {
                CallOutcome::Answered(response) => request.decode(response.status, &response.body),
                CallOutcome::NotSent => KvResponse::NotExecuted,
                CallOutcome::Unanswered => KvResponse::OutcomeUnknown,
            }),
            CallKind::Cloud(request) => Reply::Cloud(match outcome {
                CallOutcome::Answered(response) => request.decode(response.status, &response.body),
                CallOutcome::NotSent => CloudReply::NotExecuted,
                CallOutcome::Unanswered => CloudReply::Unknown,
            }),
            CallKind::Direct => Reply::Direct(match outcome {
                CallOutcome::Answered(response) => {
                    DirectReply::Answered { status: response.status, body: response.body }
                }
                CallOutcome::NotSent => DirectReply::NotSent,
                CallOutcome::Unanswered => DirectReply::Unknown,
            }),
        }
    }
}
