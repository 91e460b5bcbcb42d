//! The `/status` and `/queue` pages for operators, and a short-lived cache of them.

use super::Runtime;
use super::limits::MAX_PAGE_AGE;
use crate::time::Micros;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::json;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The pages for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Page {
    /// `/status`: the state of this controller, in JSON.
    Status,
    /// `/queue`: the waiting jobs, as plain text.
    Queue,
}

/// A rendered page.
struct CachedPage {
    rendered_at: Micros,
    body: Rc<Vec<u8>>,
}

/// The last rendered version of each page.
#[derive(Default)]
pub(super) struct PageCache(BTreeMap<Page, CachedPage>);

impl PageCache {
    /// Returns the cached page unless it is older than [`MAX_PAGE_AGE`].
    fn get(&self, page: Page, now: Micros) -> Option<Rc<Vec<u8>>> {
        let cached =
            self.0.get(&page).filter(|cached| now.since(cached.rendered_at) < MAX_PAGE_AGE)?;
        Some(Rc::clone(&cached.body))
    }

    fn insert(&mut self, page: Page, rendered_at: Micros, body: Rc<Vec<u8>>) {
        self.0.insert(page, CachedPage { rendered_at, body });
    }
}

/// Count and quantiles of a latency histogram on the status page, in microseconds.
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

/// Latencies on the status page.
#[derive(Serialize)]
struct LatencyPage {
    #[serde(rename = "answers")]
    responses: LatencySummary,
    #[serde(rename = "reports")]
    heartbeats: LatencySummary,
    #[serde(rename = "state_calls")]
    kv_store_calls: LatencySummary,
}

/// Numbers of connections and of failures on them, on the status page.
#[derive(Serialize)]
struct ConnectionsPage {
    open: usize,
    #[serde(rename = "senders")]
    clients: usize,
    commands: usize,
    refused: u64,
    bad_requests: u64,
    #[serde(rename = "state_calls_waiting")]
    throttled_calls: usize,
}

impl Runtime {
    /// Returns a page, rendered at most once a second regardless of the number of requests: it
    /// lists all jobs or machines, and dashboards that refresh it often would use too much CPU.
    pub(super) fn page(&mut self, page: Page) -> Rc<Vec<u8>> {
        if let Some(body) = self.pages.get(page, self.now) {
            return body;
        }
        let body = Rc::new(match page {
            Page::Status => self.render_status(),
            Page::Queue => self.controller.queue_page(self.now).into_bytes(),
        });
        self.pages.insert(page, self.now, Rc::clone(&body));
        body
    }

    fn render_status(&mut self) -> Vec<u8> {
        let mut page = self.controller.status(self.now);
        let latency = LatencyPage {
            responses: LatencySummary::of(&self.stats.responses),
            heartbeats: LatencySummary::of(&self.stats.heartbeats),
            kv_store_calls: LatencySummary::of(&self.stats.kv_store_calls),
        };
        let connections = ConnectionsPage {
            open: self.connections.len(),
            clients: self.connections.clients(),
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
