//! The pages for people: made by the controller, and kept for a moment.

use super::Runtime;
use super::limits::MAX_PAGE_AGE;
use crate::time::Micros;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::json;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Pages for people.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Page {
    /// The state of this controller, in JSON.
    Status,
    /// The jobs that wait, in text.
    Queue,
}

/// A page as it was last made.
struct CachedPage {
    made_at: Micros,
    body: Rc<Vec<u8>>,
}

/// Pages as they were last made.
#[derive(Default)]
pub(super) struct PageCache(BTreeMap<Page, CachedPage>);

impl PageCache {
    /// A page, unless it is too old.
    fn get(&self, page: Page, now: Micros) -> Option<Rc<Vec<u8>>> {
        let cached = self.0.get(&page).filter(|cached| now.since(cached.made_at) < MAX_PAGE_AGE)?;
        Some(Rc::clone(&cached.body))
    }

    fn insert(&mut self, page: Page, made_at: Micros, body: Rc<Vec<u8>>) {
        self.0.insert(page, CachedPage { made_at, body });
    }
}

/// What the status page shows of a histogram, in microseconds.
#[derive(Serialize)]
struct LatencySummary {
    count: u64,
    p50_us: u64,
    p95_us: u64,
    p99_us: u64,
    max_us: u64,
}

impl LatencySummary {
    fn of(histogram: &Histogram<u64>) -> LatencySummary {
        LatencySummary {
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.5),
            p95_us: histogram.value_at_quantile(0.95),
            p99_us: histogram.value_at_quantile(0.99),
            max_us: histogram.max(),
        }
    }
}

/// Latencies, by what was answered.
#[derive(Serialize)]
struct LatencyPage {
    answers: LatencySummary,
    #[serde(rename = "reports")]
    heartbeats: LatencySummary,
    #[serde(rename = "state_calls")]
    kv_store_calls: LatencySummary,
}

/// Connections and what went wrong on them.
#[derive(Serialize)]
struct ConnectionsPage {
    open: usize,
    senders: usize,
    commands: usize,
    refused: u64,
    bad_requests: u64,
    #[serde(rename = "state_calls_waiting")]
    throttled_calls: usize,
}

impl Runtime {
    /// A page, made at most once a second whoever requests it: it lists all
    /// jobs or machines, and dashboards that refresh it would take the processor.
    pub(super) fn page(&mut self, page: Page) -> Rc<Vec<u8>> {
        if let Some(body) = self.pages.get(page, self.now) {
            return body;
        }
        let body = Rc::new(match page {
            Page::Status => self.status(),
            Page::Queue => self.controller.queue_page(self.now).into_bytes(),
        });
        self.pages.insert(page, self.now, Rc::clone(&body));
        body
    }

    fn status(&mut self) -> Vec<u8> {
        let mut page = self.controller.status(self.now);
        let latency = LatencyPage {
            answers: LatencySummary::of(&self.stats.answers),
            heartbeats: LatencySummary::of(&self.stats.heartbeats),
            kv_store_calls: LatencySummary::of(&self.stats.kv_store_calls),
        };
        let connections = ConnectionsPage {
            open: self.connections.len(),
            senders: self.connections.senders(),
            commands: self.connections.commands(),
            refused: self.stats.refused_connections,
            bad_requests: self.stats.bad_requests,
            throttled_calls: self.calls.throttled(),
        };
        page["latency"] = json!(latency);
        page["connections"] = json!(connections);
        serde_json::to_vec(&page).unwrap_or_default()
    }
}
