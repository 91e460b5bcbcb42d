//! A stand-in for the state service, as PROTOCOL-millethold.md describes it. It keeps its limits of
//! requests and changes a second, and answers each node at an address of its own, so that a case
//! can treat one node otherwise than the others.
use crate::http::{self, Answer, Request};
use crate::json::{J, n, obj, s};
use std::collections::{BTreeMap, VecDeque};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The nodes that are cut off, by number.
pub type Cut = Arc<[AtomicBool; 3]>;

/// How a request is treated by a case; the first rule that matches counts.
#[derive(Clone)]
pub struct Rule {
    /// Only for this node; all nodes if absent.
    pub node: Option<usize>,
    pub method: &'static str,
    /// Beginning of the path.
    pub path: String,
    /// Text that the body has to contain.
    pub body: &'static str,
    /// Wait before the request is carried out.
    pub before: Duration,
    /// Wait after it was carried out, before it is answered.
    pub after: Duration,
    pub end: End,
    /// Number of requests for which the rule holds.
    pub times: usize,
    /// Only for one of so many matching requests.
    pub one_of: u64,
    pub matched: u64,
}

#[derive(Clone, Copy, PartialEq)]
pub enum End {
    Answer,
    /// Carried out, and the connection is closed without an answer.
    Lost,
    /// 503, not carried out.
    Refused,
}

impl Rule {
    pub fn new(method: &'static str, path: &str) -> Rule {
        Rule {
            node: None,
            method,
            path: path.to_string(),
            body: "",
            before: Duration::ZERO,
            after: Duration::ZERO,
            end: End::Answer,
            times: usize::MAX,
            one_of: 1,
            matched: 0,
        }
    }
}

struct Entry {
    value: J,
    mark: u64,
    permit: Option<u64>,
}

struct Bucket {
    rate: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    fn take(&mut self, amount: f64) -> bool {
        let now = Instant::now();
        self.level = (self.level + now.duration_since(self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        let ok = self.level >= amount;
        if ok {
            self.level -= amount;
        }
        ok
    }
}

struct State {
    keys: BTreeMap<String, Entry>,
    ledger: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    log: VecDeque<(u64, String, Option<J>)>,
    requests: Bucket,
    changes: Bucket,
    rules: Vec<Rule>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    txn_ops: usize,
    value_bytes: usize,
    /// The nodes that are cut off: nothing passes between them and the service.
    cut: Cut,
    /// Called for each transaction that was applied, with its body.
    pub seen: Box<dyn Fn(usize, &J) + Send + Sync>,
}

impl Store {
    pub fn start(
        listeners: Vec<TcpListener>,
        rps: f64,
        write_rps: f64,
        txn_ops: usize,
        cut: Cut,
        seen: Box<dyn Fn(usize, &J) + Send + Sync>,
    ) -> Arc<Store> {
        let bucket = |rate: f64| Bucket { rate, level: rate, at: Instant::now() };
        let store = Arc::new(Store {
            state: Mutex::new(State {
                keys: BTreeMap::new(),
                ledger: 100,
                leases: BTreeMap::new(),
                next_lease: 1,
                log: VecDeque::new(),
                requests: bucket(rps),
                changes: bucket(write_rps),
                rules: Vec::new(),
            }),
            changed: Condvar::new(),
            txn_ops,
            value_bytes: 8 * 1024,
            cut,
            seen,
        });
        for (node, listener) in listeners.into_iter().enumerate() {
            let store = Arc::clone(&store);
            http::serve(listener, move |request| store.handle(node, request));
        }
        let ticking = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                ticking.expire();
            }
        });
        store
    }

    pub fn set_rules(&self, rules: Vec<Rule>) {
        self.state.lock().unwrap().rules = rules;
    }

    pub fn value(&self, key: &str) -> Option<J> {
        self.state.lock().unwrap().keys.get(key).map(|e| e.value.clone())
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let over: Vec<u64> = state.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        for id in over {
            self.end_lease(&mut state, id);
        }
    }

    fn end_lease(&self, state: &mut State, id: u64) {
        state.leases.remove(&id);
        let keys: Vec<String> =
            state.keys.iter().filter(|(_, e)| e.permit == Some(id)).map(|(k, _)| k.clone()).collect();
        if !keys.is_empty() {
            state.ledger += 1;
            for key in keys {
                state.keys.remove(&key);
                let at = state.ledger;
                state.log.push_back((at, key, None));
            }
            self.changed.notify_all();
        }
    }

    /// While a node is cut off, what it sends and what it is sent waits; then its connection is closed.
    fn wait_for_cut(&self, node: usize) -> bool {
        let cut = self.cut[node].load(Ordering::Relaxed);
        while self.cut[node].load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(5));
        }
        cut
    }

    fn handle(&self, node: usize, request: Request) -> Answer {
        if self.wait_for_cut(node) {
            return None;
        }
        let mut rule = None;
        {
            let mut state = self.state.lock().unwrap();
            let found = state.rules.iter_mut().find(|r| {
                r.times > 0
                    && r.node.is_none_or(|wanted| wanted == node)
                    && (r.method.is_empty() || r.method == request.method)
                    && request.path.starts_with(&r.path)
                    && request.body.contains(r.body)
            });
            if let Some(found) = found {
                found.matched += 1;
                if found.matched % found.one_of == 0 {
                    found.times -= 1;
                    rule = Some(found.clone());
                }
            }
        }
        let end = rule.as_ref().map_or(End::Answer, |r| r.end);
        if let Some(rule) = &rule {
            thread::sleep(rule.before);
        }
        if end == End::Refused {
            return Some((503, "{}".into()));
        }
        let answer = self.answer(node, &request);
        if let Some(rule) = &rule {
            thread::sleep(rule.after);
        }
        if self.wait_for_cut(node) || end == End::Lost { None } else { Some(answer) }
    }

    fn answer(&self, node: usize, request: &Request) -> (u16, String) {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let mut params: BTreeMap<&str, &str> = BTreeMap::new();
        for pair in query.split('&') {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            params.insert(key, value);
        }
        let mut state = self.state.lock().unwrap();
        if !state.requests.take(1.0) {
            return (429, "{}".into());
        }
        let bad = (400, "{\"error\":\"malformed\"}".to_string());
        match (request.method.as_str(), path) {
            ("GET", "/kv") => {
                let prefix = params.get("prefix").copied().unwrap_or("");
                let after = params.get("after").copied().unwrap_or("");
                let limit = params.get("limit").and_then(|l| l.parse().ok()).unwrap_or(1000usize).min(1000);
                let mut bytes = 0;
                let mut pairs = Vec::new();
                let mut more = false;
                for (key, entry) in state.keys.range(prefix.to_string()..) {
                    if !key.starts_with(prefix) {
                        break;
                    }
                    if key.as_str() <= after {
                        continue;
                    }
                    let pair = obj(vec![("k", s(key)), ("value", entry.value.clone()), ("mark", n(entry.mark))]);
                    bytes += pair.to_string().len();
                    if pairs.len() == limit || bytes > 512 * 1024 {
                        more = true;
                        break;
                    }
                    pairs.push(pair);
                }
                let body = obj(vec![("pairs", J::Arr(pairs)), ("hasNext", J::Bool(more)), ("ledger", n(state.ledger))]);
                (200, body.to_string())
            }
            ("GET", "/follow") => {
                let prefix = params.get("prefix").copied().unwrap_or("").to_string();
                let after: u64 = params.get("after").and_then(|a| a.parse().ok()).unwrap_or(0);
                let block: u64 = params.get("blockMs").and_then(|a| a.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(block.min(60_000));
                loop {
                    let events: Vec<J> = state
                        .log
                        .iter()
                        .filter(|(mark, key, _)| *mark > after && key.starts_with(&prefix))
                        .map(|(mark, key, value)| match value {
                            Some(v) => obj(vec![("set", s(key)), ("value", v.clone()), ("mark", n(*mark))]),
                            None => obj(vec![("drop", s(key)), ("mark", n(*mark))]),
                        })
                        .collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= until {
                        let body = obj(vec![("ledger", n(state.ledger)), ("events", J::Arr(events))]);
                        return (200, body.to_string());
                    }
                    state = self.changed.wait_timeout(state, until - now).unwrap().0;
                }
            }
            ("POST", "/leases") => {
                let Some(ttl) = J::parse(&request.body).and_then(|b| b.get("ttlMs").u64()) else { return bad };
                let ttl = Duration::from_millis(ttl);
                let id = state.next_lease;
                state.next_lease += 1;
                state.leases.insert(id, (Instant::now() + ttl, ttl));
                (200, obj(vec![("permit", n(id))]).to_string())
            }
            ("POST", "/txn") => match J::parse(&request.body) {
                Some(body) => {
                    let answer = self.txn(&mut state, &body);
                    drop(state);
                    if answer.0 == 200 && !body.get("writes").arr().is_empty() {
                        (self.seen)(node, &body);
                    }
                    answer
                }
                None => bad,
            },
            (method, path) if path.starts_with("/leases/") => {
                let id = path.split('/').nth(2).and_then(|t| t.parse().ok()).unwrap_or(0);
                let Some((end, ttl)) = state.leases.get_mut(&id) else { return (404, "{}".into()) };
                if method == "DELETE" {
                    self.end_lease(&mut state, id);
                } else {
                    *end = Instant::now() + *ttl;
                }
                (200, obj(vec![("permit", n(id))]).to_string())
            }
            ("GET", path) if path.starts_with("/kv/") => match state.keys.get(&path[4..]) {
                Some(e) => {
                    let mut pairs = vec![("k", s(&path[4..])), ("value", e.value.clone()), ("mark", n(e.mark))];
                    if let Some(permit) = e.permit {
                        pairs.push(("permit", n(permit)));
                    }
                    (200, obj(pairs).to_string())
                }
                None => (404, obj(vec![("ledger", n(state.ledger))]).to_string()),
            },
            _ => bad,
        }
    }

    fn txn(&self, state: &mut State, body: &J) -> (u16, String) {
        let writes = body.get("writes").arr();
        let too_large = writes.len() > self.txn_ops
            || body.get("if").arr().len() > 4 * self.txn_ops
            || body.to_string().len() > 64 * 1024
            || writes.iter().any(|w| w.get("value").to_string().len() > self.value_bytes);
        if too_large {
            return (400, "{\"error\":\"too large\"}".into());
        }
        if !writes.is_empty() && !state.changes.take(writes.len() as f64) {
            return (429, "{}".into());
        }
        for write in writes {
            if write.get("permit").u64().is_some_and(|id| !state.leases.contains_key(&id)) {
                return (400, "{\"error\":\"no such lease\"}".into());
            }
        }
        let failed: Vec<J> = body
            .get("if")
            .arr()
            .iter()
            .filter(|c| state.keys.get(c.get("k").str()).map_or(0, |e| e.mark) != c.get("mark").u64().unwrap_or(0))
            .map(|c| c.get("k").clone())
            .collect();
        if !failed.is_empty() {
            return (409, obj(vec![("failed", J::Arr(failed)), ("ledger", n(state.ledger))]).to_string());
        }
        if !writes.is_empty() {
            state.ledger += 1;
            let mark = state.ledger;
            for write in writes {
                if write.get("set").is_null() {
                    let key = write.get("drop").str().to_string();
                    if state.keys.remove(&key).is_some() {
                        state.log.push_back((mark, key, None));
                    }
                } else {
                    let key = write.get("set").str().to_string();
                    let value = write.get("value").clone();
                    state.log.push_back((mark, key.clone(), Some(value.clone())));
                    state.keys.insert(key, Entry { value, mark, permit: write.get("permit").u64() });
                }
            }
            self.changed.notify_all();
        }
        (200, obj(vec![("ledger", n(state.ledger))]).to_string())
    }
}
