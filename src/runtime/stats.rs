//! Latencies and counters for the status page.

use crate::time::Micros;
use hdrhistogram::Histogram;

/// Longest latency that a histogram resolves, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Latencies and counters since the start of this process.
pub(super) struct Stats {
    /// Of answers to users and the load balancer, in microseconds.
    pub(super) answers: Histogram<u64>,
    /// Of answers to workers' heartbeats.
    pub(super) heartbeats: Histogram<u64>,
    /// Of the key-value store's answers.
    pub(super) kv_store_calls: Histogram<u64>,
    /// Connections that were closed at once, for want of sockets.
    pub(super) refused_connections: u64,
    /// Requests that could not be read.
    pub(super) bad_requests: u64,
}

impl Stats {
    /// Nothing counted yet.
    pub(super) fn new() -> Stats {
        Stats {
            answers: latency_histogram(),
            heartbeats: latency_histogram(),
            kv_store_calls: latency_histogram(),
            refused_connections: 0,
            bad_requests: 0,
        }
    }

    /// Counts an answer to a sender, apart for workers' heartbeats.
    pub(super) fn record_answer(&mut self, took: Micros, is_heartbeat: bool) {
        let histogram = if is_heartbeat { &mut self.heartbeats } else { &mut self.answers };
        histogram.saturating_record(took.0.max(1));
    }

    /// Counts an answer of the key-value store.
    pub(super) fn record_kv_store_call(&mut self, took: Micros) {
        self.kv_store_calls.saturating_record(took.0.max(1));
    }
}

fn latency_histogram() -> Histogram<u64> {
    // Two digits up to a minute in microseconds: these bounds are valid.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).unwrap_or_else(|_| {
        Histogram::new(1).unwrap_or_else(|_| unreachable!("one significant digit is valid"))
    })
}
