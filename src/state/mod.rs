//! The state service: its calls and its answers.

mod rate;

pub use rate::{Bucket, Budget, CALL_SHARE, WRITE_SHARE};

use crate::http::{OutgoingRequest, contains};
use crate::time::Micros;
use crate::wire::{
    self, Change, Changes, Empty, Item, Items, LeaseGranted, LeaseWanted, Revision, Txn, path,
};

/// Keys asked for at once.
const PAGE: usize = 100;
/// How long a watch may take beyond the time that it waits.
const WATCH_GRACE: Micros = Micros::secs(5);
/// How long the answer to a call for a lease may take.
const LEASE_TIMEOUT: Micros = Micros::millis(1_200);
/// How long any other answer may take.
const CALL_TIMEOUT: Micros = Micros::millis(2_500);
/// What the service says where a lease does not exist any more.
const NO_SUCH_LEASE: &[u8] = b"no such ";

/// A call to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum StateCall {
    /// Read a key.
    Get(String),
    /// Read a page of keys.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// Begin after this key.
        after: Option<String>,
    },
    /// Compare and change.
    Txn(Txn),
    /// Ask for a lease.
    Grant(Micros),
    /// Renew a lease.
    Extend(u64),
    /// End a lease.
    End(u64),
    /// Wait for changes.
    Follow {
        /// Prefix of the keys.
        prefix: String,
        /// Changes after this revision.
        after: u64,
        /// How long to wait.
        block: Micros,
    },
}

/// What became of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum StateReply {
    /// The key's value, if it exists.
    Value(Option<Item>),
    /// A page.
    Page {
        /// The values.
        items: Vec<Item>,
        /// Another follows.
        more: bool,
        /// Revision of the store.
        revision: u64,
    },
    /// The transaction was applied at this revision.
    Applied(u64),
    /// A condition failed; nothing was changed.
    Conflict(Vec<String>),
    /// A lease was granted.
    Granted(u64),
    /// The lease was renewed or ended.
    Kept,
    /// The lease does not exist any more.
    NoLease,
    /// Changes up to a revision.
    Changes(u64, Vec<Change>),
    /// The watch asked too far back.
    TooOld,
    /// Surely not executed: refused, or never sent.
    Refused,
    /// May have been executed, or may still be.
    Unknown,
    /// The service says that the request is wrong; our defect.
    Invalid,
}

impl StateCall {
    /// Renewals come first: without them every shard is lost.
    pub fn urgent(&self) -> bool {
        matches!(self, StateCall::Grant(_) | StateCall::Extend(_) | StateCall::End(_))
    }

    /// A watch occupies its connection while it waits.
    pub fn waits(&self) -> bool {
        matches!(self, StateCall::Follow { .. })
    }

    /// Puts and deletes that count towards the write rate.
    pub fn puts(&self) -> usize {
        match self {
            StateCall::Txn(t) => t.writes.len(),
            _ => 0,
        }
    }

    /// How long an answer may take before the outcome counts as unknown.
    pub fn timeout(&self) -> Micros {
        match self {
            StateCall::Follow { block, .. } => *block + WATCH_GRACE,
            call if call.urgent() => LEASE_TIMEOUT,
            _ => CALL_TIMEOUT,
        }
    }

    /// The request that it is sent as.
    pub fn encode(&self) -> OutgoingRequest {
        match self {
            StateCall::Get(key) => OutgoingRequest::get(format!("{}/{key}", path::KV)),
            StateCall::List { prefix, after } => {
                let after = after.as_ref().map_or(String::new(), |key| format!("&after={key}"));
                let query = format!("prefix={prefix}{after}&limit={PAGE}");
                OutgoingRequest::get(format!("{}?{query}", path::KV))
            }
            StateCall::Txn(txn) => OutgoingRequest::post(path::TXN.into(), txn),
            StateCall::Grant(ttl) => {
                let wanted = LeaseWanted { ttl_ms: ttl.as_millis() };
                OutgoingRequest::post(path::LEASES.into(), &wanted)
            }
            StateCall::Extend(id) => {
                let path = format!("{}/{id}/{}", path::LEASES, path::EXTEND);
                OutgoingRequest::post(path, &Empty {})
            }
            StateCall::End(id) => OutgoingRequest::delete(format!("{}/{id}", path::LEASES)),
            StateCall::Follow { prefix, after, block } => {
                let wait = format!("{}={}", path::WAIT, block.as_millis());
                let query = format!("prefix={prefix}&after={after}&{wait}");
                OutgoingRequest::get(format!("{}?{query}", path::FOLLOW))
            }
        }
    }

    /// Reads the answer. What cannot be read counts as unknown.
    pub fn decode(&self, status: u16, body: &[u8]) -> StateReply {
        fn read<T: serde::de::DeserializeOwned>(body: &[u8]) -> Option<T> {
            wire::read_answer("state", body)
        }
        match (status, self) {
            (429 | 503, _) => StateReply::Refused,
            (200, StateCall::Get(_)) => {
                read::<Item>(body).map_or(StateReply::Unknown, |i| StateReply::Value(Some(i)))
            }
            (404, StateCall::Get(_)) => StateReply::Value(None),
            (200, StateCall::List { .. }) => read::<Items>(body).map_or(StateReply::Unknown, |p| {
                StateReply::Page { items: p.items, more: p.more, revision: p.revision }
            }),
            (200, StateCall::Txn(_)) => read::<Revision>(body)
                .map_or(StateReply::Unknown, |r| StateReply::Applied(r.revision)),
            (409, StateCall::Txn(_)) => read::<Revision>(body)
                .map_or(StateReply::Unknown, |r| StateReply::Conflict(r.failed)),
            (400, StateCall::Txn(_)) if contains(body, NO_SUCH_LEASE) => StateReply::NoLease,
            (200, StateCall::Grant(_)) => read::<LeaseGranted>(body)
                .map_or(StateReply::Unknown, |g| StateReply::Granted(g.lease)),
            (200, StateCall::Extend(_) | StateCall::End(_)) => StateReply::Kept,
            (404, StateCall::Extend(_) | StateCall::End(_)) => StateReply::NoLease,
            (200, StateCall::Follow { .. }) => read::<Changes>(body)
                .map_or(StateReply::Unknown, |c| StateReply::Changes(c.revision, c.events)),
            (410, StateCall::Follow { .. }) => StateReply::TooOld,
            (400..=499, _) => {
                log::error!("state: {status} for {self:?}: {}", String::from_utf8_lossy(body));
                StateReply::Invalid
            }
            _ => StateReply::Unknown,
        }
    }
}
