//! Calls to the key-value store and the cloud.

use super::{Action, Run};
use crate::cloud::CloudEffect;
use crate::faults::Fault;
use crate::kv_store_http::{self, Response, empty_watch_response};
use crate::links::{self, Delivery, Direction, Link, StoreBehavior};
use crate::net::ConnectionId;
use millethold::http::Request;
use millethold::kv_store::KvRequest;
use millethold::time::Micros;
use rand::RngExt;
use serde_json::json;

/// Boot time of a created machine, in milliseconds. At times a machine is up almost at once.
const BOOT_TIME_MS: (u64, u64) = (100, 3_000);

/// A watch that waits for changes.
#[derive(Debug)]
pub(super) struct Watch {
    pub(super) connection: ConnectionId,
    controller: usize,
    call: KvRequest,
    until: Micros,
}

impl Run {
    /// Receives a controller's call to the key-value store, and schedules its arrival.
    pub(super) fn receive_kv_request(
        &mut self,
        id: ConnectionId,
        controller: usize,
        request: &Request,
    ) {
        let Some(call) = kv_store_http::parse(request) else {
            return self.net.answer(id, 400, b"{\"error\":\"malformed\"}");
        };
        match self.transmit(Link::KvStore { controller }, Direction::Request) {
            Delivery::At(at) => {
                self.schedule(at, Action::KvRequest { connection: id, controller, call });
            }
            Delivery::Lost => {}
            Delivery::Reset => self.net.close(id),
        }
    }

    /// Serves a call that reached the key-value store.
    pub(super) fn serve_kv_request(
        &mut self,
        id: ConnectionId,
        controller: usize,
        call: KvRequest,
    ) {
        let is_write = call.writes() > 0;
        match links::store_behavior(&self.faults, &mut self.rng, self.now, controller, is_write) {
            StoreBehavior::Refused => {
                let refusal = Response::new(503, &json!({ "error": "trouble" }));
                self.answer_kv_request(id, controller, refusal);
            }
            StoreBehavior::Late(at) => self.schedule(at, Action::LateTransaction { call }),
            StoreBehavior::AnswerLost => {
                kv_store_http::execute(&call, self.now, &mut self.kv_store);
                self.answer_watches();
            }
            StoreBehavior::Served => {
                match kv_store_http::execute(&call, self.now, &mut self.kv_store) {
                    Some(answer) => {
                        self.answer_kv_request(id, controller, answer);
                        self.answer_watches();
                    }
                    None => {
                        let block = match &call {
                            KvRequest::Watch { block, .. } => *block,
                            _ => Micros::ZERO,
                        };
                        let until = self.now + block;
                        self.watches.push(Watch { connection: id, controller, call, until });
                        self.answer_watches();
                    }
                }
            }
        }
    }

    /// Applies a transaction late, after an outage if there is one. It is never answered; its caller
    /// may have stopped waiting.
    pub(super) fn serve_late_transaction(&mut self, call: KvRequest) {
        let outage_end = self.outage_ends_at();
        if outage_end > self.now {
            return self.schedule(outage_end, Action::LateTransaction { call });
        }
        kv_store_http::execute(&call, self.now, &mut self.kv_store);
        self.answer_watches();
    }

    /// When the key-value store ends its current refusal of all requests; zero if there is none.
    fn outage_ends_at(&self) -> Micros {
        let outages = self.faults.iter().filter(|fault| fault.fault == Fault::RefuseAll);
        let active = outages.filter(|fault| fault.active(self.now));
        active.map(|fault| fault.until).max().unwrap_or(Micros::ZERO)
    }

    fn answer_kv_request(&mut self, id: ConnectionId, controller: usize, answer: Response) {
        match self.transmit(Link::KvStore { controller }, Direction::Response) {
            Delivery::At(at) => self.schedule(at, Action::Reply { connection: id, answer }),
            Delivery::Lost => {}
            Delivery::Reset => self.net.close(id),
        }
    }

    /// Answers the watches that have changes or have timed out. Watches of a controller that the
    /// store refuses keep waiting.
    pub(super) fn answer_watches(&mut self) {
        let now = self.now;
        let mut waiting = Vec::new();
        for watch in std::mem::take(&mut self.watches) {
            if links::refuses_controller(&self.faults, now, watch.controller) {
                waiting.push(watch);
                continue;
            }
            let answer = match kv_store_http::execute(&watch.call, now, &mut self.kv_store) {
                None if watch.until <= now => Some(empty_watch_response(&self.kv_store)),
                answer => answer,
            };
            match answer {
                Some(answer) => self.answer_kv_request(watch.connection, watch.controller, answer),
                None => waiting.push(watch),
            }
        }
        self.watches = waiting;
    }

    /// Removes expired leases, except during an outage of the store, and answers the watches that
    /// are due.
    pub(super) fn expire_leases(&mut self) {
        if self.outage_ends_at() <= self.now {
            self.kv_store.expire_leases(self.now);
        }
        self.answer_watches();
    }

    /// Receives a controller's call to the cloud, and schedules its arrival.
    pub(super) fn receive_cloud_request(
        &mut self,
        id: ConnectionId,
        controller: usize,
        request: Request,
    ) {
        match self.transmit(Link::Cloud { controller }, Direction::Request) {
            Delivery::At(at) => {
                self.schedule(at, Action::CloudCall { connection: id, controller, request });
            }
            Delivery::Lost => {}
            Delivery::Reset => self.net.close(id),
        }
    }

    /// Serves a call that reached the cloud.
    pub(super) fn serve_cloud_call(
        &mut self,
        id: ConnectionId,
        controller: usize,
        request: &Request,
    ) {
        let unavailable =
            self.faults.iter().any(|f| f.active(self.now) && f.fault == Fault::CloudAway);
        let (answer, effect) = match unavailable {
            true => (Response::new(503, &json!({ "error": "trouble" })), CloudEffect::None),
            false => self.cloud.handle(self.now, request).unwrap_or_else(|| {
                (Response::new(400, &json!({ "error": "malformed" })), CloudEffect::None)
            }),
        };
        match effect {
            CloudEffect::None => {}
            CloudEffect::Created(names) => {
                for name in names {
                    let boot =
                        Micros::millis(self.rng.random_range(BOOT_TIME_MS.0..BOOT_TIME_MS.1));
                    self.schedule(self.now + boot, Action::MachineUp { name });
                }
            }
            CloudEffect::Deleted(names) => {
                for name in names {
                    self.remove_machine(&name);
                }
            }
        }
        if let Delivery::At(at) = self.transmit(Link::Cloud { controller }, Direction::Response) {
            self.schedule(at, Action::Reply { connection: id, answer });
        }
    }
}
