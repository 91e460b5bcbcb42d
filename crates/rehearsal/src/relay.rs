//! Relayed connections between controllers: bytes go on in order, when the link lets them.

use crate::net::ConnectionId;
use millethold::time::Micros;
use std::collections::{BTreeMap, VecDeque};

/// One direction of a relayed connection.
#[derive(Debug, Default)]
struct RelayDirection {
    /// What waits, and until when.
    waiting: VecDeque<(Micros, Vec<u8>)>,
    /// Its source has closed: its target does once all has arrived.
    ends: bool,
}

/// A relayed connection.
#[derive(Debug)]
pub struct RelayedConnection {
    /// Who connected.
    pub from: usize,
    /// To whom.
    pub to: usize,
    initiator: ConnectionId,
    target: ConnectionId,
    forward: RelayDirection,
    back: RelayDirection,
}

/// What is to be done with a connection of a pipe.
#[derive(Debug, PartialEq, Eq)]
pub enum Step {
    /// Send these bytes.
    Send(ConnectionId, Vec<u8>),
    /// Close it once all is written.
    Close(ConnectionId),
}

impl RelayedConnection {
    fn direction_from(&mut self, from_initiator: bool) -> (&mut RelayDirection, ConnectionId) {
        match from_initiator {
            true => (&mut self.forward, self.target),
            false => (&mut self.back, self.initiator),
        }
    }

    /// Both of its connections.
    pub fn connections(&self) -> [ConnectionId; 2] {
        [self.initiator, self.target]
    }

    /// Bytes came from one side, and may go on at a time; never before earlier ones.
    pub fn push(&mut self, from_initiator: bool, at: Micros, bytes: Vec<u8>) -> Micros {
        let (direction, _) = self.direction_from(from_initiator);
        let at = direction.waiting.back().map_or(at, |(last, _)| at.max(*last));
        direction.waiting.push_back((at, bytes));
        at
    }

    /// One side has closed; true if nothing of it waits any more.
    pub fn end(&mut self, from_initiator: bool) -> bool {
        let (direction, _) = self.direction_from(from_initiator);
        direction.ends = true;
        direction.waiting.is_empty()
    }

    /// What may go on by now, from one side.
    pub fn take(&mut self, from_initiator: bool, now: Micros) -> Vec<Step> {
        let (direction, target) = self.direction_from(from_initiator);
        let mut steps = Vec::new();
        while direction.waiting.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, bytes)) = direction.waiting.pop_front() {
                steps.push(Step::Send(target, bytes));
            }
        }
        if direction.ends && direction.waiting.is_empty() {
            steps.push(Step::Close(target));
        }
        steps
    }
}

/// All relayed connections.
#[derive(Debug, Default)]
pub struct Relays {
    next: u64,
    connections: BTreeMap<u64, RelayedConnection>,
}

impl Relays {
    /// A number for a new one.
    pub fn reserve(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Both sides are there.
    pub fn add(
        &mut self,
        relayed: u64,
        ends: (usize, usize),
        initiator: ConnectionId,
        target: ConnectionId,
    ) {
        let (from, to) = ends;
        let (forward, back) = (RelayDirection::default(), RelayDirection::default());
        self.connections
            .insert(relayed, RelayedConnection { from, to, initiator, target, forward, back });
    }

    /// One of them.
    pub fn get_mut(&mut self, relayed: u64) -> Option<&mut RelayedConnection> {
        self.connections.get_mut(&relayed)
    }

    /// Removes one.
    pub fn remove(&mut self, relayed: u64) -> Option<RelayedConnection> {
        self.connections.remove(&relayed)
    }

    /// Numbers of those that a controller is at an end of.
    pub fn of(&self, controller: usize) -> Vec<u64> {
        let of =
            |relayed: &RelayedConnection| relayed.from == controller || relayed.to == controller;
        self.connections
            .iter()
            .filter(|(_, relayed)| of(relayed))
            .map(|(number, _)| *number)
            .collect()
    }
}
