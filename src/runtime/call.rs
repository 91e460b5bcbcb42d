//! One outgoing call, and what its end proves.

use super::connection::ConnectionId;
use super::destination::Destination;
use crate::cloud::{CloudCall, CloudReply};
use crate::controller::{DirectReply, Reply};
use crate::http;
use crate::kv_store::{KvRequest, KvResponse};
use crate::time::Micros;

/// What is called, as far as it is needed to read the answer.
#[derive(Debug)]
pub(super) enum CallKind {
    /// The key-value store.
    KvStore(KvRequest),
    /// The cloud.
    Cloud(CloudCall),
    /// A worker, without going through the cloud.
    Direct,
}

/// How a call ended.
#[derive(Debug)]
pub(super) enum CallEnd {
    /// It was answered.
    Answered(http::Answer),
    /// Not a byte of it has left: it was surely not executed.
    NotSent,
    /// No answer came: it may have been executed, or may still be.
    Unanswered,
}

/// A call that has not been answered.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) kind: CallKind,
    pub(super) destination: Destination,
    /// The request, until it is sent.
    pub(super) bytes: Vec<u8>,
    /// When it ends without an answer.
    pub(super) deadline: Micros,
    /// The connection on which it has been sent.
    pub(super) connection: Option<ConnectionId>,
}

impl Call {
    /// A call that has not been sent.
    pub(super) fn new(
        kind: CallKind,
        destination: Destination,
        bytes: Vec<u8>,
        deadline: Micros,
    ) -> Call {
        Call { kind, destination, bytes, deadline, connection: None }
    }

    /// How long the key-value store took to answer; `None` for watches, which wait, and
    /// for calls elsewhere.
    pub(super) fn store_latency(&self, now: Micros) -> Option<Micros> {
        match &self.kind {
            CallKind::KvStore(request) if !request.is_watch() => {
                Some(now.since(self.deadline.since(request.timeout())))
            }
            _ => None,
        }
    }

    /// What its end proves, for the controller.
    pub(super) fn into_reply(self, end: CallEnd) -> Reply {
        match self.kind {
            CallKind::KvStore(request) => Reply::KvStore(match end {
                CallEnd::Answered(answer) => request.decode(answer.status, &answer.body),
                CallEnd::NotSent => KvResponse::NotExecuted,
                CallEnd::Unanswered => KvResponse::OutcomeUnknown,
            }),
            CallKind::Cloud(request) => Reply::Cloud(match end {
                CallEnd::Answered(answer) => request.decode(answer.status, &answer.body),
                CallEnd::NotSent => CloudReply::NotExecuted,
                CallEnd::Unanswered => CloudReply::Unknown,
            }),
            CallKind::Direct => Reply::Direct(match end {
                CallEnd::Answered(answer) => {
                    DirectReply::Answered { status: answer.status, body: answer.body }
                }
                CallEnd::NotSent => DirectReply::NotSent,
                CallEnd::Unanswered => DirectReply::Unknown,
            }),
        }
    }
}
