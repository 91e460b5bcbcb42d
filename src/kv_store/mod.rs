//! The key-value store: its calls and its answers.

mod rate;

pub use rate::{Bucket, Budget, REQUEST_RATE_SHARE, WRITE_RATE_SHARE};

use crate::http::{OutgoingRequest, contains};
use crate::time::Micros;
use crate::wire::{
    self, Empty, KeyValue, KeyValuePage, LeaseGranted, LeaseRequest, Revision, Txn, WatchEvent,
    WatchResponse, path,
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

/// A call to the key-value store.
#[derive(Debug, Clone, PartialEq)]
pub enum KvRequest {
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
    GrantLease(Micros),
    /// Renew a lease.
    RenewLease(u64),
    /// End a lease.
    RevokeLease(u64),
    /// Wait for changes.
    Watch {
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
pub enum KvResponse {
    /// The key's value, if it exists.
    Value(Option<KeyValue>),
    /// A page.
    Page {
        /// The values.
        items: Vec<KeyValue>,
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
    LeaseGranted(u64),
    /// The lease was renewed or ended.
    LeaseRenewed,
    /// The lease does not exist any more.
    LeaseNotFound,
    /// Changes up to a revision.
    WatchEvents(u64, Vec<WatchEvent>),
    /// The watch asked too far back.
    Compacted,
    /// Surely not executed: refused, or never sent.
    NotExecuted,
    /// May have been executed, or may still be.
    OutcomeUnknown,
    /// The service says that the request is wrong; our defect.
    Rejected,
}

impl KvRequest {
    /// Renewals come first: without them every shard is lost.
    pub fn urgent(&self) -> bool {
        matches!(
            self,
            KvRequest::GrantLease(_) | KvRequest::RenewLease(_) | KvRequest::RevokeLease(_)
        )
    }

    /// A watch occupies its connection while it waits.
    pub fn waits(&self) -> bool {
        matches!(self, KvRequest::Watch { .. })
    }

    /// Puts and deletes that count towards the write rate.
    pub fn puts(&self) -> usize {
        match self {
            KvRequest::Txn(t) => t.writes.len(),
            _ => 0,
        }
    }

    /// How long an answer may take before the outcome counts as unknown.
    pub fn timeout(&self) -> Micros {
        match self {
            KvRequest::Watch { block, .. } => *block + WATCH_GRACE,
            call if call.urgent() => LEASE_TIMEOUT,
            _ => CALL_TIMEOUT,
        }
    }

    /// The request that it is sent as.
    pub fn encode(&self) -> OutgoingRequest {
        match self {
            KvRequest::Get(key) => OutgoingRequest::get(format!("{}/{key}", path::KV)),
            KvRequest::List { prefix, after } => {
                let after = after.as_ref().map_or(String::new(), |key| format!("&after={key}"));
                let query = format!("prefix={prefix}{after}&limit={PAGE}");
                OutgoingRequest::get(format!("{}?{query}", path::KV))
            }
            KvRequest::Txn(txn) => OutgoingRequest::post(path::TXN.into(), txn),
            KvRequest::GrantLease(ttl) => {
                let wanted = LeaseRequest { ttl_ms: ttl.as_millis() };
                OutgoingRequest::post(path::LEASES.into(), &wanted)
            }
            KvRequest::RenewLease(id) => {
                let path = format!("{}/{id}/{}", path::LEASES, path::EXTEND);
                OutgoingRequest::post(path, &Empty {})
            }
            KvRequest::RevokeLease(id) => OutgoingRequest::delete(format!("{}/{id}", path::LEASES)),
            KvRequest::Watch { prefix, after, block } => {
                let wait = format!("{}={}", path::WAIT, block.as_millis());
                let query = format!("prefix={prefix}&after={after}&{wait}");
                OutgoingRequest::get(format!("{}?{query}", path::FOLLOW))
            }
        }
    }

    /// Reads the answer. What cannot be read counts as unknown.
    pub fn decode(&self, status: u16, body: &[u8]) -> KvResponse {
        fn read<T: serde::de::DeserializeOwned>(body: &[u8]) -> Option<T> {
            wire::read_answer("state", body)
        }
        match (status, self) {
            (429 | 503, _) => KvResponse::NotExecuted,
            (200, KvRequest::Get(_)) => read::<KeyValue>(body)
                .map_or(KvResponse::OutcomeUnknown, |i| KvResponse::Value(Some(i))),
            (404, KvRequest::Get(_)) => KvResponse::Value(None),
            (200, KvRequest::List { .. }) => {
                read::<KeyValuePage>(body).map_or(KvResponse::OutcomeUnknown, |p| {
                    KvResponse::Page { items: p.items, more: p.more, revision: p.revision }
                })
            }
            (200, KvRequest::Txn(_)) => read::<Revision>(body)
                .map_or(KvResponse::OutcomeUnknown, |r| KvResponse::Applied(r.revision)),
            (409, KvRequest::Txn(_)) => read::<Revision>(body)
                .map_or(KvResponse::OutcomeUnknown, |r| KvResponse::Conflict(r.failed)),
            (400, KvRequest::Txn(_)) if contains(body, NO_SUCH_LEASE) => KvResponse::LeaseNotFound,
            (200, KvRequest::GrantLease(_)) => read::<LeaseGranted>(body)
                .map_or(KvResponse::OutcomeUnknown, |g| KvResponse::LeaseGranted(g.lease)),
            (200, KvRequest::RenewLease(_) | KvRequest::RevokeLease(_)) => KvResponse::LeaseRenewed,
            (404, KvRequest::RenewLease(_) | KvRequest::RevokeLease(_)) => {
                KvResponse::LeaseNotFound
            }
            (200, KvRequest::Watch { .. }) => read::<WatchResponse>(body)
                .map_or(KvResponse::OutcomeUnknown, |c| {
                    KvResponse::WatchEvents(c.revision, c.events)
                }),
            (410, KvRequest::Watch { .. }) => KvResponse::Compacted,
            (400..=499, _) => {
                log::error!("state: {status} for {self:?}: {}", String::from_utf8_lossy(body));
                KvResponse::Rejected
            }
            _ => KvResponse::OutcomeUnknown,
        }
    }
}
