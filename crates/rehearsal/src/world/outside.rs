//! Calls to the key-value store and the cloud.

use super::{Action, World};
use crate::cloud::CloudEffect;
use crate::faults::Fault;
use crate::links::{self, Direction, Link, Passage, Service};
use crate::net::ConnectionId;
use crate::state_calls::{self, Answer, nothing_changed};
use millethold::http::Request;
use millethold::kv_store::KvRequest;
use millethold::time::Micros;
use rand::RngExt;
use serde_json::json;

/// A rented machine is up after a time from this range, in milliseconds: at times at once.
const BOOT_MS: (u64, u64) = (100, 3_000);

/// A watch that waits for changes.
#[derive(Debug)]
pub(super) struct Watch {
    pub(super) connection: ConnectionId,
    controller: usize,
    call: KvRequest,
    until: Micros,
}

impl World {
    /// A controller sends a call to the key-value store.
    pub(super) fn state_request(&mut self, id: ConnectionId, controller: usize, asked: &Request) {
        let Some(call) = state_calls::read(asked) else {
            return self.net.answer(id, 400, b"{\"error\":\"malformed\"}");
        };
        match self.pass(Link::State { controller }, Direction::Request) {
            Passage::At(at) => {
                self.at(at, Action::KvRequest { connection: id, controller, call });
            }
            Passage::Lost => {}
            Passage::Reset => self.net.close(id),
        }
    }

    /// A call arrives at the key-value store.
    pub(super) fn state_call(&mut self, id: ConnectionId, controller: usize, call: KvRequest) {
        let changes = call.puts() > 0;
        match links::serve(&self.faults, &mut self.rng, self.now, controller, changes) {
            Service::Refused => {
                let trouble = Answer::new(503, &json!({ "error": "trouble" }));
                self.answer_state(id, controller, trouble);
            }
            Service::Late(at) => self.at(at, Action::LateCall { call }),
            Service::AnswerLost => {
                state_calls::carry_out(&call, self.now, &mut self.state);
                self.wake_watches();
            }
            Service::Served => match state_calls::carry_out(&call, self.now, &mut self.state) {
                Some(answer) => {
                    self.answer_state(id, controller, answer);
                    self.wake_watches();
                }
                None => {
                    let block = match &call {
                        KvRequest::Watch { block, .. } => *block,
                        _ => Micros::ZERO,
                    };
                    let until = self.now + block;
                    self.watches.push(Watch { connection: id, controller, call, until });
                    self.wake_watches();
                }
            },
        }
    }

    /// A transaction that its caller has given up is carried out.
    pub(super) fn late_call(&mut self, call: KvRequest) {
        let outage = self.outage_until();
        if outage > self.now {
            return self.at(outage, Action::LateCall { call });
        }
        state_calls::carry_out(&call, self.now, &mut self.state);
        self.wake_watches();
    }

    /// Until when the key-value store refuses everybody.
    fn outage_until(&self) -> Micros {
        let outages = self.faults.iter().filter(|fault| fault.fault == Fault::RefuseAll);
        let active = outages.filter(|fault| fault.active(self.now));
        active.map(|fault| fault.until).max().unwrap_or(Micros::ZERO)
    }

    fn answer_state(&mut self, id: ConnectionId, controller: usize, answer: Answer) {
        match self.pass(Link::State { controller }, Direction::Answer) {
            Passage::At(at) => self.at(at, Action::Reply { connection: id, answer }),
            Passage::Lost => {}
            Passage::Reset => self.net.close(id),
        }
    }

    /// Answers the watches for which something has changed or whose time is over. Those
    /// of a controller that is refused wait on.
    pub(super) fn wake_watches(&mut self) {
        let now = self.now;
        let mut waiting = Vec::new();
        for watch in std::mem::take(&mut self.watches) {
            if links::refused(&self.faults, now, watch.controller) {
                waiting.push(watch);
                continue;
            }
            let answer = match state_calls::carry_out(&watch.call, now, &mut self.state) {
                None if watch.until <= now => Some(nothing_changed(&self.state)),
                answer => answer,
            };
            match answer {
                Some(answer) => self.answer_state(watch.connection, watch.controller, answer),
                None => waiting.push(watch),
            }
        }
        self.watches = waiting;
    }

    /// Ends leases and watches whose time is over.
    pub(super) fn expire_state(&mut self) {
        if self.outage_until() <= self.now {
            self.state.expire(self.now);
        }
        self.wake_watches();
    }

    /// A controller sends a call to the cloud.
    pub(super) fn cloud_request(&mut self, id: ConnectionId, controller: usize, request: Request) {
        match self.pass(Link::Cloud { controller }, Direction::Request) {
            Passage::At(at) => {
                self.at(at, Action::CloudCall { connection: id, controller, request });
            }
            Passage::Lost => {}
            Passage::Reset => self.net.close(id),
        }
    }

    /// A call arrives at the cloud.
    pub(super) fn cloud_call(&mut self, id: ConnectionId, controller: usize, request: &Request) {
        let away = self.faults.iter().any(|f| f.active(self.now) && f.fault == Fault::CloudAway);
        let (answer, effect) = match away {
            true => (Answer::new(503, &json!({ "error": "trouble" })), CloudEffect::None),
            false => self.cloud.call(self.now, request).unwrap_or_else(|| {
                (Answer::new(400, &json!({ "error": "malformed" })), CloudEffect::None)
            }),
        };
        match effect {
            CloudEffect::None => {}
            CloudEffect::RentedMachine(names) => {
                for name in names {
                    let boot = Micros::millis(self.rng.random_range(BOOT_MS.0..BOOT_MS.1));
                    self.at(self.now + boot, Action::MachineUp { name });
                }
            }
            CloudEffect::ScaledIn(names) => {
                for name in names {
                    self.take_machine(&name);
                }
            }
        }
        if let Passage::At(at) = self.pass(Link::Cloud { controller }, Direction::Answer) {
            self.at(at, Action::Reply { connection: id, answer });
        }
    }
}
