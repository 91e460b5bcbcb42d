//! Relayed connections between controllers. Bytes are forwarded in order, when the link delivers
//! them.

use crate::net::ConnectionId;
use millethold::time::Micros;
use std::collections::{BTreeMap, VecDeque};

/// One direction of a relayed connection.
#[derive(Debug, Default)]
struct RelayDirection {
    /// Bytes to forward, with the earliest time for each part.
    queue: VecDeque<(Micros, Vec<u8>)>,
    /// The source has closed its side; the target's side is closed after the queue is empty.
    source_closed: bool,
}

/// A relayed connection: its two sides, and the bytes queued in each direction.
#[derive(Debug)]
pub struct RelayedConnection {
    /// Number of the controller that connected.
    pub from: usize,
    /// Number of the controller that it connected to.
    pub to: usize,
    initiator: ConnectionId,
    target: ConnectionId,
    forward: RelayDirection,
    backward: RelayDirection,
}

/// An action on one side of a relayed connection.
#[derive(Debug, PartialEq, Eq)]
pub enum RelayAction {
    /// Send these bytes.
    Send(ConnectionId, Vec<u8>),
    /// Close it after all pending bytes are written.
    Close(ConnectionId),
}

impl RelayedConnection {
    fn direction_from(&mut self, from_initiator: bool) -> (&mut RelayDirection, ConnectionId) {
        match from_initiator {
            true => (&mut self.forward, self.target),
            false => (&mut self.backward, self.initiator),
        }
    }

    /// The connections to both sides.
    pub fn connections(&self) -> [ConnectionId; 2] {
        [self.initiator, self.target]
    }

    /// Queues bytes from one side, to be forwarded at `at` but never before earlier bytes. Returns
    /// the time at which they are due.
    pub fn push(&mut self, from_initiator: bool, at: Micros, bytes: Vec<u8>) -> Micros {
        let (direction, _) = self.direction_from(from_initiator);
        let at = direction.queue.back().map_or(at, |(last, _)| at.max(*last));
        direction.queue.push_back((at, bytes));
        at
    }

    /// Records that one side has closed; true if none of its bytes are queued.
    pub fn close_source(&mut self, from_initiator: bool) -> bool {
        let (direction, _) = self.direction_from(from_initiator);
        direction.source_closed = true;
        direction.queue.is_empty()
    }

    /// Takes the actions for bytes from one side that are due by now.
    pub fn take_due(&mut self, from_initiator: bool, now: Micros) -> Vec<RelayAction> {
        let (direction, target) = self.direction_from(from_initiator);
        let mut actions = Vec::new();
        while direction.queue.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, bytes)) = direction.queue.pop_front() {
                actions.push(RelayAction::Send(target, bytes));
            }
        }
        if direction.source_closed && direction.queue.is_empty() {
            actions.push(RelayAction::Close(target));
        }
        actions
    }
}

/// All relayed connections of a run.
#[derive(Debug, Default)]
pub struct Relays {
    next_id: u64,
    connections: BTreeMap<u64, RelayedConnection>,
}

impl Relays {
    /// Reserves the id of a new connection.
    pub fn reserve_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Adds a connection with its two sides; `endpoints` are the controllers that connected and
    /// that it connected to.
    pub fn add(
        &mut self,
        relay_id: u64,
        endpoints: (usize, usize),
        initiator: ConnectionId,
        target: ConnectionId,
    ) {
        let (from, to) = endpoints;
        let (forward, backward) = (RelayDirection::default(), RelayDirection::default());
        self.connections
            .insert(relay_id, RelayedConnection { from, to, initiator, target, forward, backward });
    }

    /// The connection with this id.
    pub fn get_mut(&mut self, relay_id: u64) -> Option<&mut RelayedConnection> {
        self.connections.get_mut(&relay_id)
    }

    /// Removes the connection with this id.
    pub fn remove(&mut self, relay_id: u64) -> Option<RelayedConnection> {
        self.connections.remove(&relay_id)
    }

    /// Ids of the connections from or to a controller.
    pub fn ids_of(&self, controller: usize) -> Vec<u64> {
        let has_end_at =
            |relayed: &RelayedConnection| relayed.from == controller || relayed.to == controller;
        self.connections
            .iter()
            .filter(|(_, relayed)| has_end_at(relayed))
            .map(|(id, _)| *id)
            .collect()
    }
}
