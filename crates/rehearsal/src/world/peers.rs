//! Links between controllers: each connection goes through a relay.

use super::{Action, World};
use crate::links::{Direction, Link, Passage};
use crate::net::{ConnectionId, Role};
use crate::relay::Step;

impl World {
    /// A controller has connected to what it believes to be a peer.
    pub(crate) fn relay_accepted(&mut self, pipe: u64, from: usize, to: usize, near: ConnectionId) {
        if self.pass(Link::Peer { from, to }, Direction::Request) == Passage::Reset {
            return self.net.close(near);
        }
        match self.net.connect(self.addresses.peers(to), Role::Relay { pipe, near: false }) {
            Ok(far) => self.relays.add(pipe, (from, to), near, far),
            Err(_) => self.net.close(near),
        }
    }

    /// Bytes have come from one side.
    pub(super) fn relay_bytes(&mut self, pipe: u64, near: bool, bytes: Vec<u8>) {
        let Some((from, to)) = self.relays.get_mut(pipe).map(|pipe| (pipe.from, pipe.to)) else {
            return;
        };
        let link = if near { Link::Peer { from, to } } else { Link::Peer { from: to, to: from } };
        match self.pass(link, Direction::Request) {
            Passage::At(at) => {
                if let Some(relayed) = self.relays.get_mut(pipe) {
                    let at = relayed.push(near, at, bytes);
                    self.at(at, Action::Relay { pipe, near });
                }
            }
            Passage::Lost => {}
            Passage::Reset => self.cut_pipe(pipe),
        }
    }

    /// What waited on a relayed connection may go on.
    pub(super) fn relay_on(&mut self, pipe: u64, near: bool) {
        let now = self.now;
        let Some(relayed) = self.relays.get_mut(pipe) else {
            return;
        };
        for step in relayed.take(near, now) {
            match step {
                Step::Send(id, bytes) => self.net.send(id, &bytes),
                Step::Close(id) => {
                    self.net.close_when_written(id);
                    self.relays.remove(pipe);
                }
            }
        }
    }

    /// One side of a relayed connection has closed: the other does once all has arrived.
    pub(super) fn relay_closed(&mut self, pipe: u64, near: bool) {
        let settled = self.relays.get_mut(pipe).map(|relayed| relayed.end(near));
        if settled == Some(true) {
            self.cut_pipe(pipe);
        }
    }

    /// Both sides of a relayed connection are reset.
    fn cut_pipe(&mut self, pipe: u64) {
        if let Some(relayed) = self.relays.remove(pipe) {
            for id in relayed.connections() {
                self.net.close(id);
            }
        }
    }

    /// All connections of a controller with its peers are reset.
    pub(super) fn cut_pipes_of(&mut self, controller: usize) {
        for pipe in self.relays.of(controller) {
            self.cut_pipe(pipe);
        }
    }
}
