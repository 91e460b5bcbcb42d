//! What is done at every turn of the timer: deadlines, peers, slow connections.

use super::Runtime;
use super::calls::Destination;
use super::connection::{Connection, ConnectionId, Role};
use super::limits::{
    BUSY_TICK, CONNECT_TIMEOUT, IDLE_COMMAND, IDLE_SENDER, QUIET_TICK, SLOW_SENDER, STALLED_PEER,
    STOOD_STILL, SWEEP_INTERVAL, TIMEOUT_PAUSE,
};
use crate::controller::Event;
use crate::time::Micros;
use log::info;

impl Runtime {
    /// The timer has fired. Returns the time until it fires again.
    pub(super) fn tick(&mut self) -> Micros {
        self.read_clock();
        let gap = self.now.since(std::mem::replace(&mut self.last_tick, self.now));
        if gap > STOOD_STILL {
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
        let busy = self.controller.accepting() || self.throttled.iter().any(|q| !q.is_empty());
        if busy { BUSY_TICK } else { QUIET_TICK }
    }

    /// Closes the connections that are slow or have long been idle.
    fn sweep_connections(&mut self) {
        let now = self.now;
        let expired: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| has_expired(connection, now))
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.close(id);
        }
        self.pools.retain(|destination, pool| {
            let for_worker = matches!(destination, Destination::Worker(_));
            !for_worker || pool.open > 0 || !pool.queue.is_empty()
        });
    }
}

/// Whether a connection has been slow or idle for too long.
fn has_expired(connection: &Connection, now: Micros) -> bool {
    let quiet_for_more_than = |span: Micros| now > connection.active + span;
    let unread = !connection.inbound.is_empty();
    let unwritten = !connection.outbound.is_empty();
    match connection.role {
        Role::Sender { busy: false, .. } => {
            let slow_to_send = unread && now > connection.message_began + SLOW_SENDER;
            let slow_to_read = unwritten && quiet_for_more_than(SLOW_SENDER);
            slow_to_send || slow_to_read || quiet_for_more_than(IDLE_SENDER)
        }
        Role::Outgoing { call: None, destination: Destination::Worker(_) } => {
            quiet_for_more_than(IDLE_COMMAND)
        }
        Role::Outgoing { call: Some(_), .. } => {
            !connection.connected && quiet_for_more_than(CONNECT_TIMEOUT)
        }
        Role::PeerOut { .. } => {
            connection.connected && unwritten && quiet_for_more_than(STALLED_PEER)
        }
        _ => false,
    }
}
