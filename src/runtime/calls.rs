//! Pending outgoing calls: their deadlines, and the connection pools on which they are sent.

use super::call::{Call, CallKind};
use super::connection::ConnectionId;
use super::destination::Destination;
use super::throttle::{Admission, Throttle, ThrottledQueue};
use crate::controller::CallId;
use crate::kv_store::{KvRequest, RateBudget};
use crate::time::Micros;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// The connections to one destination, and the calls that wait for a connection.
#[derive(Default)]
pub(super) struct Pool {
    /// Connections without a pending call.
    pub(super) idle: Vec<ConnectionId>,
    /// Number of open connections, idle or busy.
    pub(super) open: usize,
    /// Calls that wait for a connection, oldest first.
    pub(super) queue: VecDeque<CallId>,
}

/// The time at which a call times out; ordered by time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    at: Micros,
    call: CallId,
}

/// All calls whose outcome is pending.
pub(super) struct Calls {
    in_flight: HashMap<CallId, Call>,
    deadlines: BTreeSet<Deadline>,
    pools: HashMap<Destination, Pool>,
    throttle: Throttle,
}

impl Calls {
    /// Creates an empty set of calls; calls to the key-value store are limited by `budget`.
    pub(super) fn new(budget: RateBudget) -> Calls {
        Calls {
            in_flight: HashMap::new(),
            deadlines: BTreeSet::new(),
            pools: HashMap::new(),
            throttle: Throttle::new(budget),
        }
    }

    /// Registers a call and its deadline.
    pub(super) fn register(&mut self, id: CallId, call: Call) {
        self.deadlines.insert(Deadline { at: call.deadline, call: id });
        self.in_flight.insert(id, call);
    }

    /// Decides whether a new call to the key-value store may be sent. The caller must register
    /// a call that has to wait.
    pub(super) fn admit(&mut self, now: Micros, id: CallId, request: &KvRequest) -> Admission {
        self.throttle.admit(now, id, request)
    }

    /// Removes the next call from a throttled queue if the rate limit allows it now, and returns
    /// it with its destination. Entries of calls that have already ended are skipped.
    pub(super) fn next_throttled(
        &mut self,
        now: Micros,
        queue: ThrottledQueue,
    ) -> Option<(CallId, Destination)> {
        while let Some(id) = self.throttle.front(queue) {
            let mut destination = None;
            if let Some(call) = self.in_flight.get(&id)
                && let CallKind::KvStore(request) = &call.kind
            {
                if !self.throttle.take_cost(now, request) {
                    return None;
                }
                destination = Some(call.destination);
            }
            self.throttle.pop_front(queue);
            if let Some(destination) = destination {
                return Some((id, destination));
            }
        }
        None
    }

    /// Number of calls that wait for the key-value store's rate limit.
    pub(super) fn throttled(&self) -> usize {
        self.throttle.len()
    }

    /// Returns the pool of a destination; creates an empty one if there is none.
    pub(super) fn pool(&mut self, destination: Destination) -> &mut Pool {
        self.pools.entry(destination).or_default()
    }

    /// Removes a destination's pool and returns the calls that waited in it.
    pub(super) fn remove_pool(&mut self, destination: Destination) -> VecDeque<CallId> {
        self.pools.remove(&destination).map(|pool| pool.queue).unwrap_or_default()
    }

    /// Removes the pools of workers that have no open connection and no waiting call.
    pub(super) fn drop_unused_pools(&mut self) {
        self.pools.retain(|destination, pool| {
            !destination.is_worker() || pool.open > 0 || !pool.queue.is_empty()
        });
    }

    /// Returns a pending call.
    pub(super) fn get_mut(&mut self, id: CallId) -> Option<&mut Call> {
        self.in_flight.get_mut(&id)
    }

    /// Removes a call that has ended, with its deadline.
    pub(super) fn remove(&mut self, id: CallId) -> Option<Call> {
        let call = self.in_flight.remove(&id)?;
        self.deadlines.remove(&Deadline { at: call.deadline, call: id });
        Some(call)
    }

    /// Removes the earliest deadline that has passed and returns its call.
    pub(super) fn next_overdue(&mut self, now: Micros) -> Option<CallId> {
        let first = self.deadlines.first().copied().filter(|deadline| deadline.at <= now)?;
        self.deadlines.remove(&first);
        Some(first.call)
    }

    /// Removes a call from every queue in which it may wait to be sent.
    pub(super) fn dequeue(&mut self, id: CallId, destination: Destination) {
        self.throttle.remove(id);
        self.pool(destination).queue.retain(|waiting| *waiting != id);
    }
}
