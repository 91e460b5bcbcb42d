//! What a test has held back or repeats: calls, replies and direct commands.

use super::{Event, Harness, KvResponse, REPLY_DELAY, Reply};

impl Harness {
    /// Ends an outage of the key-value store: every lease has its full time again.
    pub fn end_outage(&mut self) {
        self.store.renew_all_leases(self.now);
    }

    /// Answers the open watches as a store that no longer keeps the changes they wait for.
    pub fn compact_watched_changes(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            self.schedule_reply(self.now + REPLY_DELAY, watch.id, KvResponse::Compacted);
        }
    }

    /// Executes and answers the held calls. Returns their number.
    pub fn serve_held_calls(&mut self) -> usize {
        let held = std::mem::take(&mut self.held_calls);
        let count = held.len();
        for (id, call, reply) in held {
            let reply = reply.unwrap_or_else(|| self.store.apply(self.now, &call));
            self.schedule_reply(self.now + REPLY_DELAY, id, reply);
        }
        count
    }

    /// Executes the calls whose outcome is [`Outcome::Late`]. Returns the replies, which the
    /// controller never receives.
    pub fn execute_late_calls(&mut self) -> Vec<KvResponse> {
        let late = std::mem::take(&mut self.late_calls);
        late.iter().map(|call| self.store.apply(self.now, call)).collect()
    }

    /// Delivers the held direct commands to their workers. Returns the status of each response;
    /// the controller does not receive the responses.
    pub fn deliver_held_commands(&mut self) -> Vec<u16> {
        let mut statuses = Vec::new();
        for (worker, body) in std::mem::take(&mut self.held_commands) {
            let (status, started, _) =
                self.workers[worker].handle_direct_commands(self.now, worker, &body);
            self.started_tasks.extend(started);
            statuses.push(status);
        }
        statuses
    }

    /// Delivers copies of all direct commands with starts that workers have executed. Returns the
    /// status of each response; the controller does not receive the responses.
    pub fn repeat_direct_starts(&mut self) -> Vec<u16> {
        let mut statuses = Vec::new();
        for (worker, body) in self.executed_starts.clone() {
            let (status, started, _) =
                self.workers[worker].handle_direct_commands(self.now, worker, &body);
            self.started_tasks.extend(started);
            statuses.push(status);
        }
        statuses
    }

    /// Delivers the held replies of the cloud. Returns their number.
    pub fn deliver_cloud_replies(&mut self) -> usize {
        let held = std::mem::take(&mut self.held_cloud_replies);
        let count = held.len();
        for (id, reply) in held {
            self.handle_event(Event::Reply { id, reply: Reply::Cloud(reply) });
        }
        count
    }
}
