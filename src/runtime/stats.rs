//! Latencies and counters for the status page.

use crate::time::Micros;
use hdrhistogram::Histogram;

/// Longest latency that a histogram can record, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Latencies, in microseconds, and counters since the start of the process.
pub(super) struct Stats {
    /// Latency of responses to users and the load balancer.
    pub(super) responses: Histogram<u64>,
    /// Latency of responses to workers' heartbeats.
    pub(super) heartbeats: Histogram<u64>,
    /// Latency of the key-value store's responses, except to watches.
    pub(super) kv_store_calls: Histogram<u64>,
    /// Connections that were closed right after they were accepted, at the socket limit.
    pub(super) refused_connections: u64,
    /// Requests that could not be parsed.
    pub(super) bad_requests: u64,
}

impl Stats {
    /// Creates empty histograms and zero counters.
    pub(super) fn new() -> Stats {
        Stats {
            responses: latency_histogram(),
            heartbeats: latency_histogram(),
            kv_store_calls: latency_histogram(),
            refused_connections: 0,
            bad_requests: 0,
        }
    }

    /// Records the latency of a response to a client; heartbeats have their own histogram.
    pub(super) fn record_response(&mut self, latency: Micros, is_heartbeat: bool) {
        let histogram = if is_heartbeat { &mut self.heartbeats } else { &mut self.responses };
        histogram.saturating_record(latency.0.max(1));
    }

    /// Records the latency of a call to the key-value store.
    pub(super) fn record_kv_store_call(&mut self, latency: Micros) {
        self.kv_store_calls.saturating_record(latency.0.max(1));
    }
}

fn latency_histogram() -> Histogram<u64> {
    // These bounds are valid: two significant digits, and up to a minute in microseconds.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).unwrap_or_else(|_| {
        Histogram::new(1).unwrap_or_else(|_| unreachable!("one significant digit is valid"))
    })
}
