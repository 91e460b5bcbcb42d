//! Links between controllers: each connection goes through a relay.

use super::{Action, World};
use crate::links::{Delivery, Direction, Link};
use crate::net::{ConnectionId, Role};
use crate::relay::Step;

impl World {
    /// A controller has connected to what it believes to be a peer.
    pub(super) fn relay_accepted(
        &mut self,
        number: u64,
        from: usize,
        to: usize,
        initiator: ConnectionId,
    ) {
        if self.transmit(Link::Peer { from, to }, Direction::Request) == Delivery::Reset {
            return self.net.close(initiator);
        }
        match self.net.connect(
            self.addresses.peers(to),
            Role::Relay { relayed: number, from_initiator: false },
        ) {
            Ok(target) => self.relays.add(number, (from, to), initiator, target),
            Err(_) => self.net.close(initiator),
        }
    }

    /// Bytes have come from one side.
    pub(super) fn relay_bytes(&mut self, number: u64, from_initiator: bool, bytes: Vec<u8>) {
        let Some((from, to)) =
            self.relays.get_mut(number).map(|connection| (connection.from, connection.to))
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
                if let Some(connection) = self.relays.get_mut(number) {
                    let at = connection.push(from_initiator, at, bytes);
                    self.at(at, Action::Relay { relayed: number, from_initiator });
                }
            }
            Delivery::Lost => {}
            Delivery::Reset => self.reset_relayed(number),
        }
    }

    /// What waited on a relayed connection may go on.
    pub(super) fn forward_relayed(&mut self, number: u64, from_initiator: bool) {
        let now = self.now;
        let Some(connection) = self.relays.get_mut(number) else {
            return;
        };
        for step in connection.take(from_initiator, now) {
            match step {
                Step::Send(id, bytes) => self.net.send(id, &bytes),
                Step::Close(id) => {
                    self.net.close_when_written(id);
                    self.relays.remove(number);
                }
            }
        }
    }

    /// One side of a connection connection has closed: the other does once all has arrived.
    pub(super) fn relay_closed(&mut self, number: u64, from_initiator: bool) {
        let drained = self.relays.get_mut(number).map(|connection| connection.end(from_initiator));
        if drained == Some(true) {
            self.reset_relayed(number);
        }
    }

    /// Both sides of a connection connection are reset.
    fn reset_relayed(&mut self, number: u64) {
        if let Some(connection) = self.relays.remove(number) {
            for id in connection.connections() {
                self.net.close(id);
            }
        }
    }

    /// All connections of a controller with its peers are reset.
    pub(super) fn reset_all_relayed_of(&mut self, controller: usize) {
        for number in self.relays.of(controller) {
            self.reset_relayed(number);
        }
    }
}
