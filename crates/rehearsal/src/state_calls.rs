//! Calls of the state service, as they come over HTTP.

use crate::state_service::{Outcome, StateService};
use millethold::http::Request;
use millethold::time::Micros;
use millethold::wire::{Changes, LeaseGranted, LeaseWanted, Revision, Txn, path};
use serde::Serialize;
use serde_json::json;

/// Values of a page if the call does not say.
const PAGE: usize = 100;

/// A call.
#[derive(Debug, Clone, PartialEq)]
pub enum Call {
    /// Read a key.
    Get(String),
    /// Read a page of keys.
    List {
        /// How they begin.
        prefix: String,
        /// The key before the first.
        after: Option<String>,
        /// How many.
        limit: usize,
    },
    /// Compare and change.
    Txn(Txn),
    /// Ask for a lease that lives so long.
    Grant(Micros),
    /// Renew a lease.
    Extend(u64),
    /// End a lease.
    End(u64),
    /// Wait for changes.
    Follow {
        /// How their keys begin.
        prefix: String,
        /// The revision before them.
        after: u64,
        /// How long.
        block: Micros,
    },
}

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

impl Call {
    /// Reads a request; `None` if it is none of the protocol's.
    pub fn read(request: &Request) -> Option<Call> {
        let (target, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let text = |name| parameter(query, name).map(str::to_string);
        let number = |name| parameter(query, name).and_then(|n| n.parse::<u64>().ok());
        let leases = target.strip_prefix(path::LEASES);
        match request.method.as_str() {
            "GET" if target == path::KV => Some(Call::List {
                prefix: text("prefix")?,
                after: text("after"),
                limit: number("limit").map_or(PAGE, |n| n as usize),
            }),
            "GET" if target == path::FOLLOW => Some(Call::Follow {
                prefix: text("prefix")?,
                after: number("after")?,
                block: Micros::millis(number(path::WAIT).unwrap_or(0)),
            }),
            "GET" => {
                let key = target.strip_prefix(path::KV)?.strip_prefix('/')?;
                Some(Call::Get(key.to_string()))
            }
            "POST" if target == path::TXN => {
                serde_json::from_slice(&request.body).ok().map(Call::Txn)
            }
            "POST" if leases == Some("") => {
                let wanted: LeaseWanted = serde_json::from_slice(&request.body).ok()?;
                Some(Call::Grant(Micros::millis(wanted.ttl_ms)))
            }
            "POST" => {
                let (number, last) = leases?.strip_prefix('/')?.split_once('/')?;
                (last == path::EXTEND).then_some(())?;
                number.parse().ok().map(Call::Extend)
            }
            "DELETE" => leases?.strip_prefix('/')?.parse().ok().map(Call::End),
            _ => None,
        }
    }

    /// Whether it changes what is stored, so that its answer may be lost or late.
    pub fn changes_keys(&self) -> bool {
        matches!(self, Call::Txn(txn) if !txn.writes.is_empty())
    }

    /// Carries it out; `None` if it is a watch that has to wait.
    pub fn carry_out(&self, now: Micros, state: &mut StateService) -> Option<Answer> {
        state.expire(now);
        let revision = |revision, failed| Revision { revision, failed };
        Some(match self {
            Call::Get(key) => match state.get(key) {
                Some(item) => Answer::new(200, &item),
                None => Answer::new(404, &json!({ "ledger": state.revision() })),
            },
            Call::List { prefix, after, limit } => {
                Answer::new(200, &state.list(prefix, after.as_deref(), *limit))
            }
            Call::Txn(txn) => match state.transact(txn) {
                Outcome::Applied(at) => Answer::new(200, &revision(at, Vec::new())),
                Outcome::Failed(keys) => Answer::new(409, &revision(state.revision(), keys)),
                Outcome::NoLease => Answer::new(400, &json!({ "error": "no such lease" })),
            },
            Call::Grant(lives) => {
                Answer::new(200, &LeaseGranted { lease: state.grant(now, *lives) })
            }
            Call::Extend(lease) => match state.extend(now, *lease) {
                true => Answer::new(200, &json!({})),
                false => Answer::new(404, &json!({ "error": "no such lease" })),
            },
            Call::End(lease) => {
                state.end(*lease);
                Answer::new(200, &json!({}))
            }
            Call::Follow { prefix, after, .. } => match state.changes(prefix, *after) {
                None => Answer::new(410, &json!({ "error": "too old" })),
                Some(events) if events.is_empty() => return None,
                Some(events) => Answer::new(200, &Changes { revision: state.revision(), events }),
            },
        })
    }
}

/// The answer to a watch that nothing has happened for.
pub fn nothing_changed(state: &StateService) -> Answer {
    Answer::new(200, &Changes { revision: state.revision(), events: Vec::new() })
}
