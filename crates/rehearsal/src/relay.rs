//! Relayed connections between controllers: bytes go on in order, when the link lets them.

use crate::net::ConnectionId;
use millethold::time::Micros;
use std::collections::{BTreeMap, VecDeque};

/// One direction of a relayed connection.
#[derive(Debug, Default)]
struct Way {
    /// What waits, and until when.
    waiting: VecDeque<(Micros, Vec<u8>)>,
    /// Its source has closed: its target does once all has arrived.
    ends: bool,
}

/// A relayed connection.
#[derive(Debug)]
pub struct Pipe {
    /// Who connected.
    pub from: usize,
    /// To whom.
    pub to: usize,
    near: ConnectionId,
    far: ConnectionId,
    forward: Way,
    back: Way,
}

/// What is to be done with a connection of a pipe.
#[derive(Debug, PartialEq, Eq)]
pub enum Step {
    /// Send these bytes.
    Send(ConnectionId, Vec<u8>),
    /// Close it once all is written.
    Close(ConnectionId),
}

impl Pipe {
    fn way(&mut self, near: bool) -> (&mut Way, ConnectionId) {
        match near {
            true => (&mut self.forward, self.far),
            false => (&mut self.back, self.near),
        }
    }

    /// Both of its connections.
    pub fn connections(&self) -> [ConnectionId; 2] {
        [self.near, self.far]
    }

    /// Bytes came from one side, and may go on at a time; never before earlier ones.
    pub fn push(&mut self, near: bool, at: Micros, bytes: Vec<u8>) -> Micros {
        let (way, _) = self.way(near);
        let at = way.waiting.back().map_or(at, |(last, _)| at.max(*last));
        way.waiting.push_back((at, bytes));
        at
    }

    /// One side has closed; true if nothing of it waits any more.
    pub fn end(&mut self, near: bool) -> bool {
        let (way, _) = self.way(near);
        way.ends = true;
        way.waiting.is_empty()
    }

    /// What may go on by now, from one side.
    pub fn take(&mut self, near: bool, now: Micros) -> Vec<Step> {
        let (way, target) = self.way(near);
        let mut steps = Vec::new();
        while way.waiting.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, bytes)) = way.waiting.pop_front() {
                steps.push(Step::Send(target, bytes));
            }
        }
        if way.ends && way.waiting.is_empty() {
            steps.push(Step::Close(target));
        }
        steps
    }
}

/// All relayed connections.
#[derive(Debug, Default)]
pub struct Relays {
    next: u64,
    pipes: BTreeMap<u64, Pipe>,
}

impl Relays {
    /// A number for a new one.
    pub fn reserve(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Both sides are there.
    pub fn add(&mut self, pipe: u64, ends: (usize, usize), near: ConnectionId, far: ConnectionId) {
        let (from, to) = ends;
        let (forward, back) = (Way::default(), Way::default());
        self.pipes.insert(pipe, Pipe { from, to, near, far, forward, back });
    }

    /// One of them.
    pub fn get_mut(&mut self, pipe: u64) -> Option<&mut Pipe> {
        self.pipes.get_mut(&pipe)
    }

    /// Removes one.
    pub fn remove(&mut self, pipe: u64) -> Option<Pipe> {
        self.pipes.remove(&pipe)
    }

    /// Numbers of those that a controller is at an end of.
    pub fn of(&self, controller: usize) -> Vec<u64> {
        let of = |pipe: &Pipe| pipe.from == controller || pipe.to == controller;
        self.pipes.iter().filter(|(_, pipe)| of(pipe)).map(|(number, _)| *number).collect()
    }
}
