//! Calls to the key-value store that wait for their share of its rate.

use super::limits::MAX_THROTTLED_CALLS;
use crate::controller::CallId;
use crate::kv_store::{Budget, KvRequest};
use crate::time::Micros;
use std::collections::VecDeque;

/// What becomes of a call to the key-value store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Admission {
    /// It may be sent now; its cost is taken.
    Send,
    /// It waits for its share.
    Wait,
    /// Too many wait: it is not sent.
    Refuse,
}

/// The calls that wait: changes wait longer and must not hold up the reads.
pub(super) struct Throttle {
    budget: Budget,
    reads: VecDeque<CallId>,
    changes: VecDeque<CallId>,
}

/// Which of the queues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ThrottledQueue {
    /// Calls that change nothing.
    Reads,
    /// Calls that change something.
    Changes,
}

impl ThrottledQueue {
    /// All queues, in the order in which they are served.
    pub(super) const ALL: [ThrottledQueue; 2] = [ThrottledQueue::Reads, ThrottledQueue::Changes];

    fn of(call: &KvRequest) -> ThrottledQueue {
        if call.writes() > 0 { ThrottledQueue::Changes } else { ThrottledQueue::Reads }
    }
}

impl Throttle {
    /// No call waits.
    pub(super) fn new(budget: Budget) -> Throttle {
        Throttle { budget, reads: VecDeque::new(), changes: VecDeque::new() }
    }

    fn queue(&mut self, queue: ThrottledQueue) -> &mut VecDeque<CallId> {
        match queue {
            ThrottledQueue::Reads => &mut self.reads,
            ThrottledQueue::Changes => &mut self.changes,
        }
    }

    /// Decides about a new call; one that is to wait is added to its queue.
    pub(super) fn admit(&mut self, now: Micros, id: CallId, call: &KvRequest) -> Admission {
        let queue = ThrottledQueue::of(call);
        let may_go_first = self.queue(queue).is_empty() || call.is_urgent();
        if may_go_first && self.budget.admit(now, call) {
            return Admission::Send;
        }
        let queue = self.queue(queue);
        if queue.len() >= MAX_THROTTLED_CALLS {
            return Admission::Refuse;
        }
        queue.push_back(id);
        Admission::Wait
    }

    /// The call that is next in a queue.
    pub(super) fn front(&mut self, queue: ThrottledQueue) -> Option<CallId> {
        self.queue(queue).front().copied()
    }

    /// Takes a call's cost if it may be sent now.
    pub(super) fn take_cost(&mut self, now: Micros, call: &KvRequest) -> bool {
        self.budget.admit(now, call)
    }

    /// Removes the call that is next in a queue.
    pub(super) fn pop_front(&mut self, queue: ThrottledQueue) {
        self.queue(queue).pop_front();
    }

    /// Removes a call that waits no more.
    pub(super) fn remove(&mut self, id: CallId) {
        self.reads.retain(|waiting| *waiting != id);
        self.changes.retain(|waiting| *waiting != id);
    }

    /// Calls that wait.
    pub(super) fn len(&self) -> usize {
        self.reads.len() + self.changes.len()
    }
}
