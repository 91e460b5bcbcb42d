//! HTTP requests to the key-value store and its responses.

use crate::kv_store::{KvStore, TxnOutcome};
use millethold::http::Request;
use millethold::kv_store::KvRequest;
use millethold::time::Micros;
use millethold::wire::{LeaseRequest, LeaseResponse, RevisionResponse, WatchResponse, path};
use serde::Serialize;
use serde_json::json;

/// Values on a page, the same number as the service requests.
const PAGE_SIZE: usize = 100;

/// An HTTP response of a stand-in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Body, in JSON.
    pub body: Vec<u8>,
}

impl Response {
    /// A response with this value as its body.
    pub fn new(status: u16, body: &impl Serialize) -> Response {
        Response { status, body: serde_json::to_vec(body).unwrap_or_default() }
    }
}

/// The value of a parameter in a query string.
fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').filter_map(|pair| pair.split_once('=')).find(|p| p.0 == name).map(|p| p.1)
}

/// Parses a request; `None` if the protocol has no such request.
pub fn parse(request: &Request) -> Option<KvRequest> {
    let (target, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
    let text = |name| query_parameter(query, name).map(str::to_string);
    let number = |name| query_parameter(query, name).and_then(|n| n.parse::<u64>().ok());
    let leases = target.strip_prefix(path::LEASES);
    match request.method.as_str() {
        "GET" if target == path::KV => {
            let limit = number("limit").map_or(PAGE_SIZE, |limit| limit as usize);
            Some(KvRequest::List { prefix: text("prefix")?, after: text("after"), limit })
        }
        "GET" if target == path::WATCH => Some(KvRequest::Watch {
            prefix: text("prefix")?,
            after: number("after")?,
            block: Micros::millis(number(path::WATCH_TIMEOUT_PARAM).unwrap_or(0)),
        }),
        "GET" => {
            let key = target.strip_prefix(path::KV)?.strip_prefix('/')?;
            Some(KvRequest::Get(key.to_string()))
        }
        "POST" if target == path::TXN => {
            serde_json::from_slice(&request.body).ok().map(KvRequest::Txn)
        }
        "POST" if leases == Some("") => {
            let lease: LeaseRequest = serde_json::from_slice(&request.body).ok()?;
            Some(KvRequest::GrantLease(Micros::millis(lease.ttl_ms)))
        }
        "POST" => {
            let (number, last) = leases?.strip_prefix('/')?.split_once('/')?;
            (last == path::RENEW).then_some(())?;
            number.parse().ok().map(KvRequest::RenewLease)
        }
        "DELETE" => leases?.strip_prefix('/')?.parse().ok().map(KvRequest::RevokeLease),
        _ => None,
    }
}

/// Executes a call; `None` if it is a watch without changes, which has to wait.
pub fn execute(call: &KvRequest, now: Micros, store: &mut KvStore) -> Option<Response> {
    store.expire_leases(now);
    let revision = |revision, failed| RevisionResponse { revision, failed };
    Some(match call {
        KvRequest::Get(key) => match store.get(key) {
            Some(item) => Response::new(200, &item),
            None => Response::new(404, &json!({ "ledger": store.revision() })),
        },
        KvRequest::List { prefix, after, limit } => {
            Response::new(200, &store.list(prefix, after.as_deref(), *limit))
        }
        KvRequest::Txn(txn) => match store.transact(txn) {
            TxnOutcome::Applied(at) => Response::new(200, &revision(at, Vec::new())),
            TxnOutcome::Failed(keys) => Response::new(409, &revision(store.revision(), keys)),
            TxnOutcome::NoLease => Response::new(400, &json!({ "error": "no such lease" })),
        },
        KvRequest::GrantLease(ttl) => {
            Response::new(200, &LeaseResponse { lease: store.grant_lease(now, *ttl) })
        }
        KvRequest::RenewLease(lease) => match store.renew_lease(now, *lease) {
            true => Response::new(200, &json!({})),
            false => Response::new(404, &json!({ "error": "no such lease" })),
        },
        KvRequest::RevokeLease(lease) => {
            store.revoke_lease(*lease);
            Response::new(200, &json!({}))
        }
        KvRequest::Watch { prefix, after, .. } => match store.changes_since(prefix, *after) {
            None => Response::new(410, &json!({ "error": "too old" })),
            Some(events) if events.is_empty() => return None,
            Some(events) => {
                Response::new(200, &WatchResponse { revision: store.revision(), events })
            }
        },
    })
}

/// The response to a watch that ends without changes.
pub fn empty_watch_response(store: &KvStore) -> Response {
    Response::new(200, &WatchResponse { revision: store.revision(), events: Vec::new() })
}
