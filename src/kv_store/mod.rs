//! The key-value store: its requests, what each outcome proves, and the rates to keep.
//!
//! Nothing here takes an unknown outcome for a failure: what may have been executed is
//! told apart from what surely was not.

mod rate;

pub use rate::{Bucket, Budget, REQUEST_RATE_SHARE, WRITE_RATE_SHARE};

use crate::http::{OutgoingRequest, contains};
use crate::time::Micros;
use crate::wire::{
    self, Empty, KeyValue, KeyValuePage, LeaseGranted, LeaseRequest, Revision, Txn, WatchEvent,
    WatchResponse, path,
};

/// Keys in a page of a list.
const PAGE_KEYS: usize = 100;
/// How long the answer to a watch may take beyond the time for which it waits.
const WATCH_GRACE_PERIOD: Micros = Micros::secs(5);
/// How long the answer to a request about a lease may take: short, so that another try
/// fits before the lease expires.
const LEASE_TIMEOUT: Micros = Micros::millis(1_200);
/// How long any other answer may take.
const REQUEST_TIMEOUT: Micros = Micros::millis(2_500);
/// How the store's reason begins where a transaction names a lease that has expired.
const NO_SUCH_LEASE: &[u8] = b"no such ";

/// A request to the key-value store.
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
    /// Compare-and-swap: change keys if all conditions hold.
    Txn(Txn),
    /// Grant a lease with this time to live.
    GrantLease(Micros),
    /// Renew the lease of this number.
    RenewLease(u64),
    /// End the lease of this number, and remove the keys attached to it.
    RevokeLease(u64),
    /// Wait for changes of keys.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// Only changes after this revision.
        after: u64,
        /// How long the store may wait for a change.
        block: Micros,
    },
}

/// The outcome of a request, and what it proves.
#[derive(Debug, Clone, PartialEq)]
pub enum KvResponse {
    /// The key's value when the store answered; `None` if it had none.
    Value(Option<KeyValue>),
    /// A page of a list.
    Page {
        /// The keys with their values, in order.
        items: Vec<KeyValue>,
        /// Another follows.
        more: bool,
        /// Revision of the whole store: all changes up to it are in the page.
        revision: u64,
    },
    /// The transaction was applied, at this revision.
    Applied(u64),
    /// Conditions on these keys failed: nothing was changed. Others may have failed too.
    Conflict(Vec<String>),
    /// The lease of this number was granted.
    LeaseGranted(u64),
    /// The lease was renewed or ended.
    LeaseRenewed,
    /// The lease has expired or was revoked: keys attached to it are gone. For a
    /// transaction: it was not applied.
    LeaseNotFound,
    /// Changes, which may be none.
    WatchEvents {
        /// The events are complete up to here.
        revision: u64,
        /// In order of their revisions.
        events: Vec<WatchEvent>,
    },
    /// The store does not keep the changes since so early a revision: list the keys anew.
    Compacted,
    /// Surely not executed, and never will be: refused by the store, or not sent.
    NotExecuted,
    /// No answer that could be read: it may have been executed, or may still be.
    OutcomeUnknown,
    /// Surely not executed: the store takes no such request, which is a defect here.
    Rejected,
}

impl KvRequest {
    /// Whether it must not wait for the rate: without renewals every shard is lost.
    pub fn is_urgent(&self) -> bool {
        matches!(
            self,
            KvRequest::GrantLease(_) | KvRequest::RenewLease(_) | KvRequest::RevokeLease(_)
        )
    }

    /// Whether it is a watch, which occupies its connection while it waits.
    pub fn is_watch(&self) -> bool {
        matches!(self, KvRequest::Watch { .. })
    }

    /// Changes that it would make, which count towards the rate of changes.
    pub fn writes(&self) -> usize {
        match self {
            KvRequest::Txn(txn) => txn.writes.len(),
            _ => 0,
        }
    }

    /// How long its answer may take before its outcome is unknown.
    pub fn timeout(&self) -> Micros {
        match self {
            KvRequest::Watch { block, .. } => *block + WATCH_GRACE_PERIOD,
            request if request.is_urgent() => LEASE_TIMEOUT,
            _ => REQUEST_TIMEOUT,
        }
    }

    /// The HTTP request that it is sent as.
    pub fn encode(&self) -> OutgoingRequest {
        match self {
            KvRequest::Get(key) => OutgoingRequest::get(format!("{}/{key}", path::KV)),
            KvRequest::List { prefix, after } => {
                let after = after.as_ref().map_or(String::new(), |key| format!("&after={key}"));
                let query = format!("prefix={prefix}{after}&limit={PAGE_KEYS}");
                OutgoingRequest::get(format!("{}?{query}", path::KV))
            }
            KvRequest::Txn(txn) => OutgoingRequest::post(path::TXN.into(), txn),
            KvRequest::GrantLease(ttl) => {
                let request = LeaseRequest { ttl_ms: ttl.as_millis() };
                OutgoingRequest::post(path::LEASES.into(), &request)
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

    /// The outcome by the store's answer; an answer that cannot be read proves nothing.
    pub fn decode(&self, status: u16, body: &[u8]) -> KvResponse {
        fn read<T: serde::de::DeserializeOwned>(body: &[u8]) -> Option<T> {
            wire::read_answer("state", body)
        }
        let unknown = KvResponse::OutcomeUnknown;
        match (status, self) {
            (429 | 503, _) => KvResponse::NotExecuted,
            (200, KvRequest::Get(_)) => {
                read::<KeyValue>(body).map_or(unknown, |item| KvResponse::Value(Some(item)))
            }
            (404, KvRequest::Get(_)) => KvResponse::Value(None),
            (200, KvRequest::List { .. }) => read::<KeyValuePage>(body).map_or(unknown, |page| {
                KvResponse::Page { items: page.items, more: page.more, revision: page.revision }
            }),
            (200, KvRequest::Txn(_)) => {
                read::<Revision>(body).map_or(unknown, |txn| KvResponse::Applied(txn.revision))
            }
            (409, KvRequest::Txn(_)) => {
                read::<Revision>(body).map_or(unknown, |txn| KvResponse::Conflict(txn.failed))
            }
            (400, KvRequest::Txn(_)) if contains(body, NO_SUCH_LEASE) => KvResponse::LeaseNotFound,
            (200, KvRequest::GrantLease(_)) => read::<LeaseGranted>(body)
                .map_or(unknown, |granted| KvResponse::LeaseGranted(granted.lease)),
            (200, KvRequest::RenewLease(_) | KvRequest::RevokeLease(_)) => KvResponse::LeaseRenewed,
            (404, KvRequest::RenewLease(_) | KvRequest::RevokeLease(_)) => {
                KvResponse::LeaseNotFound
            }
            (200, KvRequest::Watch { .. }) => {
                read::<WatchResponse>(body).map_or(unknown, |watch| KvResponse::WatchEvents {
                    revision: watch.revision,
                    events: watch.events,
                })
            }
            (410, KvRequest::Watch { .. }) => KvResponse::Compacted,
            (400..=499, _) => {
                log::error!("state: {status} for {self:?}: {}", String::from_utf8_lossy(body));
                KvResponse::Rejected
            }
            _ => unknown,
        }
    }
}
