//! The pages for people, and the latencies and counters that they show.

use super::Runtime;
use super::limits::PAGE_AGE;
use crate::time::Micros;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::json;
use std::collections::VecDeque;
use std::rc::Rc;

/// Longest latency that a histogram tells apart, in microseconds.
const LONGEST_LATENCY_US: u64 = 60_000_000;

/// Pages for people.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Page {
    /// The state of this controller, in JSON.
    Status,
    /// The jobs that wait, in text.
    Queue,
}

/// Latencies and counters for the status page.
pub(super) struct Stats {
    answers: Histogram<u64>,
    heartbeats: Histogram<u64>,
    state_calls: Histogram<u64>,
    pub(super) refused_connections: u64,
    pub(super) bad_requests: u64,
}

impl Stats {
    /// Nothing counted yet.
    pub(super) fn new() -> Stats {
        Stats {
            answers: latency_histogram(),
            heartbeats: latency_histogram(),
            state_calls: latency_histogram(),
            refused_connections: 0,
            bad_requests: 0,
        }
    }

    /// Counts an answer to a sender, apart for workers' reports.
    pub(super) fn record_answer(&mut self, took: Micros, is_heartbeat: bool) {
        let histogram = if is_heartbeat { &mut self.heartbeats } else { &mut self.answers };
        histogram.saturating_record(took.0.max(1));
    }

    /// Counts an answer of the key-value store.
    pub(super) fn record_state_call(&mut self, took: Micros) {
        self.state_calls.saturating_record(took.0.max(1));
    }
}

fn latency_histogram() -> Histogram<u64> {
    // Two digits up to a minute in microseconds: these bounds are valid.
    Histogram::new_with_bounds(1, LONGEST_LATENCY_US, 2).unwrap_or_else(|_| {
        Histogram::new(1).unwrap_or_else(|_| unreachable!("one significant digit is valid"))
    })
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
    state_calls: LatencySummary,
}

/// Connections and what went wrong on them.
#[derive(Serialize)]
struct ConnectionsPage {
    open: usize,
    senders: usize,
    commands: usize,
    refused: u64,
    bad_requests: u64,
    state_calls_waiting: usize,
}

impl Runtime {
    /// A page, made at most once a second whoever asks for it: it tells of all
    /// jobs or machines, and boards that refresh it would take the processor.
    pub(super) fn page(&mut self, page: Page) -> Rc<Vec<u8>> {
        if let Some((made, body)) = self.pages.get(&page)
            && self.now.since(*made) < PAGE_AGE
        {
            return Rc::clone(body);
        }
        let body = Rc::new(match page {
            Page::Status => self.status(),
            Page::Queue => self.controller.queue_page(self.now).into_bytes(),
        });
        self.pages.insert(page, (self.now, Rc::clone(&body)));
        body
    }

    fn status(&mut self) -> Vec<u8> {
        let mut page = self.controller.status(self.now);
        let latency = LatencyPage {
            answers: LatencySummary::of(&self.stats.answers),
            heartbeats: LatencySummary::of(&self.stats.heartbeats),
            state_calls: LatencySummary::of(&self.stats.state_calls),
        };
        let connections = ConnectionsPage {
            open: self.connections.len(),
            senders: self.senders,
            commands: self.commanding,
            refused: self.stats.refused_connections,
            bad_requests: self.stats.bad_requests,
            state_calls_waiting: self.throttled.iter().map(VecDeque::len).sum(),
        };
        page["latency"] = json!(latency);
        page["connections"] = json!(connections);
        serde_json::to_vec(&page).unwrap_or_default()
    }
}
