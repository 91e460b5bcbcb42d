//! Periodic work: call deadlines, connections to peers, slow and idle connections.

use super::Runtime;
use super::limits::{
    BUSY_TICK_INTERVAL, IDLE_TICK_INTERVAL, STALL_THRESHOLD, SWEEP_INTERVAL, TIMEOUT_PAUSE,
};
use crate::controller::Event;
use crate::time::Micros;
use log::info;

impl Runtime {
    /// Runs the work of one tick and returns the time until the next one.
    pub(super) fn tick(&mut self) -> Micros {
        self.read_clock();
        let gap = self.now.since(std::mem::replace(&mut self.last_tick, self.now));
        if gap > STALL_THRESHOLD {
            info!("this process stood still for {} ms", gap.as_millis());
            self.timeouts_paused_until = self.now + TIMEOUT_PAUSE;
        }
        if self.now >= self.timeouts_paused_until {
            self.time_out_calls();
        }
        let members: Vec<usize> = self.peers.keys().copied().collect();
        for member in members {
            self.maintain_peer(member);
        }
        if self.now >= self.next_sweep && self.now >= self.timeouts_paused_until {
            self.next_sweep = self.now + SWEEP_INTERVAL;
            self.sweep_connections();
        }
        self.dispatch(Event::Tick);
        let busy = self.controller.has_waiting_submissions() || self.calls.throttled() > 0;
        if busy { BUSY_TICK_INTERVAL } else { IDLE_TICK_INTERVAL }
    }

    /// Closes connections that have been slow or idle for too long, and drops unused pools.
    fn sweep_connections(&mut self) {
        let now = self.now;
        for id in self.connections.matching(|_, connection| connection.has_expired(now)) {
            self.close(id);
        }
        self.calls.drop_unused_pools();
    }
}
