//! Requests to the key-value store, their outcomes, and the client-side rate limit.
//!
//! An unknown outcome is never treated as a failure: requests that may have been executed are
//! distinguished from those that definitely were not.

mod rate;

pub use rate::{REQUEST_RATE_SHARE, RateBudget, TokenBucket, WRITE_RATE_SHARE};

use crate::http::{OutgoingRequest, contains};
use crate::time::Micros;
use crate::wire::{
    self, EmptyBody, KeyValue, KeyValuePage, LeaseRequest, LeaseResponse, RevisionResponse, Txn,
    WatchEvent, WatchResponse, path,
};

/// Number of keys in a page of a list of values of any size.
pub const PAGE_KEYS: usize = 100;
/// Number of keys in a page of a list of short values, the most that the store returns.
pub const LARGE_PAGE_KEYS: usize = 1_000;
/// How long the response to a watch may take beyond the time for which the store waits.
const WATCH_GRACE_PERIOD: Micros = Micros::secs(5);
/// How long the response to a lease request may take. It is short, so that a retry fits before the
/// lease expires.
const LEASE_TIMEOUT: Micros = Micros::millis(1_200);
/// How long the response to any other request may take.
const REQUEST_TIMEOUT: Micros = Micros::millis(2_500);
/// Beginning of the error text with which the store rejects a transaction that names an expired
/// lease.
const NO_SUCH_LEASE: &[u8] = b"no such ";

/// A request to the key-value store.
#[derive(Debug, Clone, PartialEq)]
pub enum KvRequest {
    /// Reads a key.
    Get(String),
    /// Reads one page of the keys with a prefix.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// The page begins after this key; at the first key if absent.
        after: Option<String>,
        /// Maximum number of keys in the page.
        limit: usize,
    },
    /// Compare-and-swap: writes keys if all conditions hold.
    Txn(Txn),
    /// Requests a lease with this time to live.
    GrantLease(Micros),
    /// Renews the lease with this id.
    RenewLease(u64),
    /// Revokes the lease with this id, which also deletes the keys attached to it.
    RevokeLease(u64),
    /// Waits for changes to keys (long poll).
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// Only changes after this revision are returned.
        after: u64,
        /// How long the store waits for a change before it responds with none.
        block: Micros,
    },
}

/// The outcome of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum KvResponse {
    /// The key's value; `None` if the key does not exist.
    Value(Option<KeyValue>),
    /// A page of a list.
    Page {
        /// The keys with their values, in key order.
        items: Vec<KeyValue>,
        /// Another page follows.
        more: bool,
        /// Revision of the whole store; the page includes all changes up to it.
        revision: u64,
    },
    /// The transaction was applied at this revision.
    Applied(u64),
    /// Conditions on these keys failed and nothing was changed. Conditions on other keys may have
    /// failed too.
    Conflict(Vec<String>),
    /// The lease with this id was granted.
    LeaseGranted(u64),
    /// The lease was renewed or revoked.
    LeaseRenewed,
    /// The lease has expired or was revoked, and the keys attached to it are deleted. A transaction
    /// that names it was not applied.
    LeaseNotFound,
    /// Response to a watch; `events` is empty if nothing has changed.
    WatchEvents {
        /// The events are complete up to this revision.
        revision: u64,
        /// The changes, in order of their revisions.
        events: Vec<WatchEvent>,
    },
    /// The store no longer keeps the changes since the requested revision: list the keys again.
    Compacted,
    /// Definitely not executed, and never will be: refused by the store, or not sent.
    NotExecuted,
    /// No readable response: the request may have been executed, or may still be.
    OutcomeUnknown,
    /// Definitely not executed: the store rejects the request as invalid, which is a bug in this
    /// program.
    Rejected,
}

impl KvRequest {
    /// Whether the request is never held back by the rate limit: without lease renewals this member
    /// loses all its shards.
    pub fn is_urgent(&self) -> bool {
        matches!(
            self,
            KvRequest::GrantLease(_) | KvRequest::RenewLease(_) | KvRequest::RevokeLease(_)
        )
    }

    /// Whether the request is a watch, which occupies its connection while it waits.
    pub fn is_watch(&self) -> bool {
        matches!(self, KvRequest::Watch { .. })
    }

    /// Number of keys that the request would write, counted against the write rate.
    pub fn writes(&self) -> usize {
        match self {
            KvRequest::Txn(txn) => txn.writes.len(),
            _ => 0,
        }
    }

    /// How long the response may take before the outcome counts as unknown.
    pub fn timeout(&self) -> Micros {
        match self {
            KvRequest::Watch { block, .. } => *block + WATCH_GRACE_PERIOD,
            request if request.is_urgent() => LEASE_TIMEOUT,
            _ => REQUEST_TIMEOUT,
        }
    }

    /// Encodes the request as HTTP.
    pub fn encode(&self) -> OutgoingRequest {
        match self {
            KvRequest::Get(key) => OutgoingRequest::get(format!("{}/{key}", path::KV)),
            KvRequest::List { prefix, after, limit } => {
                let after = after.as_ref().map_or(String::new(), |key| format!("&after={key}"));
                let query = format!("prefix={prefix}{after}&limit={limit}");
                OutgoingRequest::get(format!("{}?{query}", path::KV))
            }
            KvRequest::Txn(txn) => OutgoingRequest::post(path::TXN.into(), txn),
            KvRequest::GrantLease(ttl) => {
                let request = LeaseRequest { ttl_ms: ttl.as_millis() };
                OutgoingRequest::post(path::LEASES.into(), &request)
            }
            KvRequest::RenewLease(id) => {
                let path = format!("{}/{id}/{}", path::LEASES, path::RENEW);
                OutgoingRequest::post(path, &EmptyBody {})
            }
            KvRequest::RevokeLease(id) => OutgoingRequest::delete(format!("{}/{id}", path::LEASES)),
            KvRequest::Watch { prefix, after, block } => {
                let wait = format!("{}={}", path::WATCH_TIMEOUT_PARAM, block.as_millis());
                let query = format!("prefix={prefix}&after={after}&{wait}");
                OutgoingRequest::get(format!("{}?{query}", path::WATCH))
            }
        }
    }

    /// Decodes the store's response. If it cannot be parsed, the outcome is unknown.
    pub fn decode(&self, status: u16, body: &[u8]) -> KvResponse {
        fn read<T: serde::de::DeserializeOwned>(body: &[u8]) -> Option<T> {
            wire::decode_response("key-value store", body)
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
            (200, KvRequest::Txn(_)) => read::<RevisionResponse>(body)
                .map_or(unknown, |txn| KvResponse::Applied(txn.revision)),
            (409, KvRequest::Txn(_)) => read::<RevisionResponse>(body)
                .map_or(unknown, |txn| KvResponse::Conflict(txn.failed)),
            (400, KvRequest::Txn(_)) if contains(body, NO_SUCH_LEASE) => KvResponse::LeaseNotFound,
            (200, KvRequest::GrantLease(_)) => read::<LeaseResponse>(body)
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
                log::error!(
                    "key-value store rejected {self:?} with status {status}: {}",
                    String::from_utf8_lossy(body)
                );
                KvResponse::Rejected
            }
            _ => unknown,
        }
    }
}
