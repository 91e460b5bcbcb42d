//! Calls of the key-value store, as they come over HTTP.

use crate::kv_store::{KvStore, Outcome};
use millethold::http::Request;
use millethold::kv_store::KvRequest;
use millethold::time::Micros;
use millethold::wire::{LeaseGranted, LeaseRequest, Revision, WatchResponse, path};
use serde::Serialize;
use serde_json::json;

/// Values of a page: as many as the service asks for.
const PAGE: usize = 100;

/// Status and body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// JSON.
    pub body: Vec<u8>,
}

impl Answer {
    /// An answer with this body.
    pub fn new(status: u16, body: &impl Serialize) -> Answer {
        Answer { status, body: serde_json::to_vec(body).unwrap_or_default() }
    }
}

/// A parameter of a query.
fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').filter_map(|pair| pair.split_once('=')).find(|p| p.0 == name).map(|p| p.1)
}

/// Reads a request; `None` if it is none of the protocol's.
pub fn read(request: &Request) -> Option<KvRequest> {
    let (target, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
    let text = |name| parameter(query, name).map(str::to_string);
    let number = |name| parameter(query, name).and_then(|n| n.parse::<u64>().ok());
    let leases = target.strip_prefix(path::LEASES);
    match request.method.as_str() {
        "GET" if target == path::KV => {
            Some(KvRequest::List { prefix: text("prefix")?, after: text("after") })
        }
        "GET" if target == path::FOLLOW => Some(KvRequest::Watch {
            prefix: text("prefix")?,
            after: number("after")?,
            block: Micros::millis(number(path::WAIT).unwrap_or(0)),
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
            (last == path::EXTEND).then_some(())?;
            number.parse().ok().map(KvRequest::RenewLease)
        }
        "DELETE" => leases?.strip_prefix('/')?.parse().ok().map(KvRequest::RevokeLease),
        _ => None,
    }
}

/// Carries a call out; `None` if it is a watch that has to wait.
pub fn carry_out(call: &KvRequest, now: Micros, state: &mut KvStore) -> Option<Answer> {
    state.expire(now);
    let revision = |revision, failed| Revision { revision, failed };
    Some(match call {
        KvRequest::Get(key) => match state.get(key) {
            Some(item) => Answer::new(200, &item),
            None => Answer::new(404, &json!({ "ledger": state.revision() })),
        },
        KvRequest::List { prefix, after } => {
            Answer::new(200, &state.list(prefix, after.as_deref(), PAGE))
        }
        KvRequest::Txn(txn) => match state.transact(txn) {
            Outcome::Applied(at) => Answer::new(200, &revision(at, Vec::new())),
            Outcome::Failed(keys) => Answer::new(409, &revision(state.revision(), keys)),
            Outcome::NoLease => Answer::new(400, &json!({ "error": "no such lease" })),
        },
        KvRequest::GrantLease(lives) => {
            Answer::new(200, &LeaseGranted { lease: state.grant(now, *lives) })
        }
        KvRequest::RenewLease(lease) => match state.extend(now, *lease) {
            true => Answer::new(200, &json!({})),
            false => Answer::new(404, &json!({ "error": "no such lease" })),
        },
        KvRequest::RevokeLease(lease) => {
            state.end(*lease);
            Answer::new(200, &json!({}))
        }
        KvRequest::Watch { prefix, after, .. } => match state.changes(prefix, *after) {
            None => Answer::new(410, &json!({ "error": "too old" })),
            Some(events) if events.is_empty() => return None,
            Some(events) => Answer::new(200, &WatchResponse { revision: state.revision(), events }),
        },
    })
}

/// The answer to a watch that nothing has happened for.
pub fn nothing_changed(state: &KvStore) -> Answer {
    Answer::new(200, &WatchResponse { revision: state.revision(), events: Vec::new() })
}
