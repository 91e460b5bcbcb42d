//! Links between controllers, with a relay for each connection.

use super::{Action, Run};
use crate::links::{Delivery, Direction, Link};
use crate::net::{ConnectionId, Role};
use crate::relay::RelayAction;

impl Run {
    /// Connects to the target of a connection that a controller opened to a peer's relay address.
    pub(super) fn relay_accepted(
        &mut self,
        relay_id: u64,
        from: usize,
        to: usize,
        initiator: ConnectionId,
    ) {
        if self.transmit(Link::Peer { from, to }, Direction::Request) == Delivery::Reset {
            return self.net.close(initiator);
        }
        match self.net.connect(
            self.addresses.peer_listener(to),
            Role::Relay { relay_id, from_initiator: false },
        ) {
            Ok(target) => self.relays.add(relay_id, (from, to), initiator, target),
            Err(_) => self.net.close(initiator),
        }
    }

    /// Receives bytes from one side, and queues them for the other.
    pub(super) fn relay_bytes(&mut self, relay_id: u64, from_initiator: bool, bytes: Vec<u8>) {
        let Some((from, to)) =
            self.relays.get_mut(relay_id).map(|connection| (connection.from, connection.to))
        else {
            return;
        };
        let link = if from_initiator {
            Link::Peer { from, to }
        } else {
            Link::Peer { from: to, to: from }
        };
        match self.transmit(link, Direction::Request) {
            Delivery::At(at) => {
                if let Some(connection) = self.relays.get_mut(relay_id) {
                    let at = connection.push(from_initiator, at, bytes);
                    self.schedule(at, Action::ForwardRelay { relay_id, from_initiator });
                }
            }
            Delivery::Lost => {}
            Delivery::Reset => self.reset_relay(relay_id),
        }
    }

    /// Forwards the queued bytes that are due.
    pub(super) fn forward_relay(&mut self, relay_id: u64, from_initiator: bool) {
        let now = self.now;
        let Some(connection) = self.relays.get_mut(relay_id) else {
            return;
        };
        for action in connection.take_due(from_initiator, now) {
            match action {
                RelayAction::Send(id, bytes) => self.net.send(id, &bytes),
                RelayAction::Close(id) => {
                    self.net.close_when_written(id);
                    self.relays.remove(relay_id);
                }
            }
        }
    }

    /// Handles one side's close: closes the other side as soon as all bytes have been forwarded.
    pub(super) fn relay_closed(&mut self, relay_id: u64, from_initiator: bool) {
        let drained =
            self.relays.get_mut(relay_id).map(|connection| connection.close_source(from_initiator));
        if drained == Some(true) {
            self.reset_relay(relay_id);
        }
    }

    /// Resets both sides of a relayed connection.
    fn reset_relay(&mut self, relay_id: u64) {
        if let Some(connection) = self.relays.remove(relay_id) {
            for id in connection.connections() {
                self.net.close(id);
            }
        }
    }

    /// Resets all connections between a controller and its peers.
    pub(super) fn reset_relays_of(&mut self, controller: usize) {
        for relay_id in self.relays.ids_of(controller) {
            self.reset_relay(relay_id);
        }
    }
}
