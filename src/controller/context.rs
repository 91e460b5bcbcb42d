//! What every component is lent: the time, the settings, random numbers, and the outbox of
//! effects with the calls in flight.
//!
//! It knows no component. Whatever is to be done outside goes through its outbox, in order.

use crate::cloud::CloudCall;
use crate::config::{Config, Options, Settings};
use crate::controller::calls::PendingCall;
use crate::controller::event::{CallId, Effect, Ticket};
use crate::kv_store::{Bucket, KvRequest, REQUEST_RATE_SHARE, WRITE_RATE_SHARE};
use crate::time::Micros;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;
use std::collections::BTreeMap;

/// Time, settings, identity and outbox of a controller.
#[derive(Debug)]
pub(crate) struct Context {
    /// This member's name.
    pub(crate) member: String,
    /// Its number among the members.
    pub(crate) me: usize,
    /// Names of all members, sorted; a member's number is its index.
    pub(crate) members: Vec<String>,
    /// Tells this process from earlier ones of the same member; never 0.
    pub(crate) incarnation: u64,
    /// What all members are given.
    pub(crate) settings: Settings,
    /// How this process works.
    pub(crate) options: Options,
    /// Seeded, so that a run can be repeated exactly.
    pub(crate) rng: StdRng,
    /// Time of day at the zero of the steady clock.
    wall_at_zero: Micros,
    /// The steady clock at the event that is being handled.
    pub(crate) now: Micros,
    /// What is to be done, in order.
    effects: Vec<Effect>,
    next_call: u64,
    /// Calls that have not been answered, with what each is for.
    calls_in_flight: BTreeMap<CallId, PendingCall>,
    /// This node's share of the key-value store's rate of changes.
    pub(crate) write_budget: Bucket,
    /// Its share of the rate of requests.
    pub(crate) request_budget: Bucket,
}

impl Context {
    /// The context of a process that has just started. `seed` makes its random numbers
    /// and its incarnation, `wall` is the time of day at the zero of the steady clock.
    pub(crate) fn new(config: &Config, options: Options, seed: u64, wall: Micros) -> Context {
        let members = config.members();
        let me = members.iter().position(|member| *member == config.member).unwrap_or(0);
        let limits = &config.settings.kv_store;
        let write_rate = limits.write_rps * WRITE_RATE_SHARE / members.len() as f64;
        let request_rate = limits.rps * REQUEST_RATE_SHARE / members.len() as f64;
        Context {
            member: config.member.clone(),
            me,
            members,
            // Zero stands for no process.
            incarnation: seed.max(1),
            settings: config.settings.clone(),
            options,
            rng: StdRng::seed_from_u64(seed),
            wall_at_zero: wall,
            now: Micros::ZERO,
            effects: Vec::new(),
            next_call: 1,
            calls_in_flight: BTreeMap::new(),
            write_budget: Bucket::new(write_rate, write_rate),
            request_budget: Bucket::new(request_rate, request_rate),
        }
    }

    /// The time of day.
    pub(crate) fn wall(&self) -> Micros {
        self.wall_at_zero + self.now
    }

    /// Number of a member.
    pub(crate) fn member_number(&self, name: &str) -> Option<usize> {
        self.members.binary_search_by(|member| member.as_str().cmp(name)).ok()
    }

    /// Adds an effect to the outbox.
    pub(crate) fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Moves all effects from the outbox to `effects`.
    pub(crate) fn take_effects(&mut self, effects: &mut Vec<Effect>) {
        effects.append(&mut self.effects);
    }

    /// Answers a request; `retry_after` is in seconds.
    pub(crate) fn respond(
        &mut self,
        ticket: Ticket,
        status: u16,
        retry_after: Option<u64>,
        body: &impl Serialize,
    ) {
        let body = serde_json::to_vec(body).unwrap_or_default();
        self.emit(Effect::Respond { ticket, status, retry_after, body });
    }

    /// Registers what a call is for. Its reply comes under this id, once.
    pub(crate) fn register_call(&mut self, purpose: impl Into<PendingCall>) -> CallId {
        let id = CallId(self.next_call);
        self.next_call += 1;
        self.calls_in_flight.insert(id, purpose.into());
        id
    }

    /// What the call was for that is answered now; `None` if it is unknown.
    pub(crate) fn take_call(&mut self, id: CallId) -> Option<PendingCall> {
        self.calls_in_flight.remove(&id)
    }

    /// What the calls are for that have not been answered.
    pub(crate) fn calls_in_flight(&self) -> impl Iterator<Item = &PendingCall> {
        self.calls_in_flight.values()
    }

    /// Calls the key-value store, at the expense of this node's share of its rates. What is
    /// urgent is not counted as a request.
    pub(crate) fn call_store(&mut self, purpose: impl Into<PendingCall>, call: KvRequest) {
        self.write_budget.level(self.now);
        self.write_budget.take(call.writes() as f64);
        if !call.is_urgent() {
            self.request_budget.level(self.now);
            self.request_budget.take(1.0);
        }
        let id = self.register_call(purpose);
        self.emit(Effect::KvStore { id, call });
    }

    /// Calls the cloud.
    pub(crate) fn call_cloud(&mut self, purpose: impl Into<PendingCall>, call: CloudCall) {
        let id = self.register_call(purpose);
        self.emit(Effect::Cloud { id, call });
    }

    /// Whether more than half of this node's share of requests to the store is left.
    pub(crate) fn has_spare_requests(&mut self) -> bool {
        self.request_budget.level(self.now) > self.request_budget.burst() / 2.0
    }
}
