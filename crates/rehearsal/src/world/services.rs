//! Calls to the key-value store and the cloud.

use super::{Action, World};
use crate::cloud::CloudEffect;
use crate::faults::Fault;
use crate::kv_store_http::{self, Answer, nothing_changed};
use crate::links::{self, Delivery, Direction, Link, StoreBehavior};
use crate::net::ConnectionId;
use millethold::http::Request;
use millethold::kv_store::KvRequest;
use millethold::time::Micros;
use rand::RngExt;
use serde_json::json;

/// A machine that is added is up after a time from this range, in milliseconds: at times at once.
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
    pub(super) fn kv_request(&mut self, id: ConnectionId, controller: usize, request: &Request) {
        let Some(call) = kv_store_http::read(request) else {
            return self.net.answer(id, 400, b"{\"error\":\"malformed\"}");
        };
        match self.transmit(Link::KvStore { controller }, Direction::Request) {
            Delivery::At(at) => {
                self.at(at, Action::KvRequest { connection: id, controller, call });
            }
            Delivery::Lost => {}
            Delivery::Reset => self.net.close(id),
        }
    }

    /// A call arrives at the key-value store.
    pub(super) fn serve_kv_request(
        &mut self,
        id: ConnectionId,
        controller: usize,
        call: KvRequest,
    ) {
        let changes = call.writes() > 0;
        match links::store_behavior(&self.faults, &mut self.rng, self.now, controller, changes) {
            StoreBehavior::Refused => {
                let trouble = Answer::new(503, &json!({ "error": "trouble" }));
                self.answer_kv_request(id, controller, trouble);
            }
            StoreBehavior::Late(at) => self.at(at, Action::LateTransaction { call }),
            StoreBehavior::AnswerLost => {
                kv_store_http::carry_out(&call, self.now, &mut self.state);
                self.wake_watches();
            }
            StoreBehavior::Served => {
                match kv_store_http::carry_out(&call, self.now, &mut self.state) {
                    Some(answer) => {
                        self.answer_kv_request(id, controller, answer);
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
                }
            }
        }
    }

    /// A transaction that its caller has given up is carried out.
    pub(super) fn serve_late_transaction(&mut self, call: KvRequest) {
        let outage = self.outage_until();
        if outage > self.now {
            return self.at(outage, Action::LateTransaction { call });
        }
        kv_store_http::carry_out(&call, self.now, &mut self.state);
        self.wake_watches();
    }

    /// Until when the key-value store refuses everybody.
    fn outage_until(&self) -> Micros {
        let outages = self.faults.iter().filter(|fault| fault.fault == Fault::RefuseAll);
        let active = outages.filter(|fault| fault.active(self.now));
        active.map(|fault| fault.until).max().unwrap_or(Micros::ZERO)
    }

    fn answer_kv_request(&mut self, id: ConnectionId, controller: usize, answer: Answer) {
        match self.transmit(Link::KvStore { controller }, Direction::Answer) {
            Delivery::At(at) => self.at(at, Action::Reply { connection: id, answer }),
            Delivery::Lost => {}
            Delivery::Reset => self.net.close(id),
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
            let answer = match kv_store_http::carry_out(&watch.call, now, &mut self.state) {
                None if watch.until <= now => Some(nothing_changed(&self.state)),
                answer => answer,
            };
            match answer {
                Some(answer) => self.answer_kv_request(watch.connection, watch.controller, answer),
                None => waiting.push(watch),
            }
        }
        self.watches = waiting;
    }

    /// Ends leases and watches whose time is over.
    pub(super) fn expire_leases(&mut self) {
        if self.outage_until() <= self.now {
            self.state.expire(self.now);
        }
        self.wake_watches();
    }

    /// A controller sends a call to the cloud.
    pub(super) fn cloud_request(&mut self, id: ConnectionId, controller: usize, request: Request) {
        match self.transmit(Link::Cloud { controller }, Direction::Request) {
            Delivery::At(at) => {
                self.at(at, Action::CloudCall { connection: id, controller, request });
            }
            Delivery::Lost => {}
            Delivery::Reset => self.net.close(id),
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
            CloudEffect::Created(names) => {
                for name in names {
                    let boot = Micros::millis(self.rng.random_range(BOOT_MS.0..BOOT_MS.1));
                    self.at(self.now + boot, Action::MachineUp { name });
                }
            }
            CloudEffect::Deleted(names) => {
                for name in names {
                    self.remove_machine(&name);
                }
            }
        }
        if let Delivery::At(at) = self.transmit(Link::Cloud { controller }, Direction::Answer) {
            self.at(at, Action::Reply { connection: id, answer });
        }
    }
}
