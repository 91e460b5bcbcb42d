//! Queues of calls to the key-value store that wait for the rate limit.

use super::limits::MAX_THROTTLED_CALLS;
use crate::controller::CallId;
use crate::kv_store::{KvRequest, RateBudget};
use crate::time::Micros;
use std::collections::VecDeque;

/// The decision on a new call to the key-value store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Admission {
    /// Send it now; its cost has been taken from the budget.
    Send,
    /// It waits in a queue for the rate limit.
    Wait,
    /// The queue is full: it is not sent.
    Refuse,
}

/// The waiting calls. Reads and writes have separate queues: writes wait longer and must not delay
/// reads.
pub(super) struct Throttle {
    budget: RateBudget,
    reads: VecDeque<CallId>,
    writes: VecDeque<CallId>,
}

/// Selects one of the two queues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ThrottledQueue {
    /// Calls that write no keys.
    Reads,
    /// Calls that write keys.
    Writes,
}

impl ThrottledQueue {
    /// All queues, in the order in which they are served.
    pub(super) const ALL: [ThrottledQueue; 2] = [ThrottledQueue::Reads, ThrottledQueue::Writes];

    fn of(request: &KvRequest) -> ThrottledQueue {
        if request.writes() > 0 { ThrottledQueue::Writes } else { ThrottledQueue::Reads }
    }
}

impl Throttle {
    /// Creates empty queues with this budget.
    pub(super) fn new(budget: RateBudget) -> Throttle {
        Throttle { budget, reads: VecDeque::new(), writes: VecDeque::new() }
    }

    fn queue(&mut self, queue: ThrottledQueue) -> &mut VecDeque<CallId> {
        match queue {
            ThrottledQueue::Reads => &mut self.reads,
            ThrottledQueue::Writes => &mut self.writes,
        }
    }

    /// Decides whether a new call is sent now; adds it to its queue if it has to wait.
    pub(super) fn admit(&mut self, now: Micros, id: CallId, request: &KvRequest) -> Admission {
        let queue = ThrottledQueue::of(request);
        let may_skip_queue = self.queue(queue).is_empty() || request.is_urgent();
        if may_skip_queue && self.budget.admit(now, request) {
            return Admission::Send;
        }
        let queue = self.queue(queue);
        if queue.len() >= MAX_THROTTLED_CALLS {
            return Admission::Refuse;
        }
        queue.push_back(id);
        Admission::Wait
    }

    /// Returns the next call in a queue.
    pub(super) fn front(&mut self, queue: ThrottledQueue) -> Option<CallId> {
        self.queue(queue).front().copied()
    }

    /// Takes a call's cost from the budget; returns false, and takes nothing, if the rate limit
    /// does not allow the call now.
    pub(super) fn take_cost(&mut self, now: Micros, request: &KvRequest) -> bool {
        self.budget.admit(now, request)
    }

    /// Removes the next call from a queue.
    pub(super) fn pop_front(&mut self, queue: ThrottledQueue) {
        self.queue(queue).pop_front();
    }

    /// Removes a call from its queue.
    pub(super) fn remove(&mut self, id: CallId) {
        self.reads.retain(|waiting| *waiting != id);
        self.writes.retain(|waiting| *waiting != id);
    }

    /// Number of waiting calls.
    pub(super) fn len(&self) -> usize {
        self.reads.len() + self.writes.len()
    }
}
