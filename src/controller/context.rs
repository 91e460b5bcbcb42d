//! Context that is passed to every component: the time, the settings, random numbers, and the
//! outbox of effects with the calls in flight.
//!
//! It depends on no component. All effects go through its outbox, in order.

use crate::cloud::CloudCall;
use crate::config::{Config, Options, Settings};
use crate::controller::calls::PendingCall;
use crate::controller::event::{CallId, Effect, Ticket};
use crate::kv_store::{KvRequest, REQUEST_RATE_SHARE, TokenBucket, WRITE_RATE_SHARE};
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
    /// Number of this member among all members.
    pub(crate) local_member: usize,
    /// Names of all members, sorted; a member's number is its index.
    pub(crate) members: Vec<String>,
    /// Distinguishes this process from earlier ones of the same member; never 0.
    pub(crate) incarnation: u64,
    /// Settings that all members share.
    pub(crate) settings: Settings,
    /// Options of this process.
    pub(crate) options: Options,
    /// Seeded, so that a run can be repeated exactly.
    pub(crate) rng: StdRng,
    /// Wall-clock time at the zero of the monotonic clock.
    wall_at_zero: Micros,
    /// Time of the event that is being handled, by the monotonic clock.
    pub(crate) now: Micros,
    /// The outbox: effects that have not been taken yet, in order.
    effects: Vec<Effect>,
    next_call: u64,
    /// Calls that have not been answered, each with its purpose.
    calls_in_flight: BTreeMap<CallId, PendingCall>,
    /// This node's share of the key-value store's write rate.
    pub(crate) write_budget: TokenBucket,
    /// This node's share of the key-value store's request rate.
    pub(crate) request_budget: TokenBucket,
}

impl Context {
    /// Creates the context of a process that has just started. `seed` determines its random numbers
    /// and its incarnation; `wall` is the wall-clock time at the zero of the monotonic clock.
    pub(crate) fn new(config: &Config, options: Options, seed: u64, wall: Micros) -> Context {
        let members = config.members();
        let local_member = members.iter().position(|member| *member == config.member).unwrap_or(0);
        let limits = &config.settings.kv_store;
        let write_rate = limits.write_rps * WRITE_RATE_SHARE / members.len() as f64;
        let request_rate = limits.rps * REQUEST_RATE_SHARE / members.len() as f64;
        Context {
            member: config.member.clone(),
            local_member,
            members,
            // Zero means that there is no process.
            incarnation: seed.max(1),
            settings: config.settings.clone(),
            options,
            rng: StdRng::seed_from_u64(seed),
            wall_at_zero: wall,
            now: Micros::ZERO,
            effects: Vec::new(),
            next_call: 1,
            calls_in_flight: BTreeMap::new(),
            write_budget: TokenBucket::new(write_rate, write_rate),
            request_budget: TokenBucket::new(request_rate, request_rate),
        }
    }

    /// Current wall-clock time.
    pub(crate) fn wall_clock(&self) -> Micros {
        self.wall_at_zero + self.now
    }

    /// Number of a member; `None` if no member has this name.
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

    /// Answers a request with a JSON body; `retry_after` is in seconds.
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

    /// Registers the purpose of a call. Its reply arrives under the returned id, once.
    pub(crate) fn register_call(&mut self, purpose: impl Into<PendingCall>) -> CallId {
        let id = CallId(self.next_call);
        self.next_call += 1;
        self.calls_in_flight.insert(id, purpose.into());
        id
    }

    /// Removes an answered call and returns its purpose; `None` if the call is unknown.
    pub(crate) fn take_call(&mut self, id: CallId) -> Option<PendingCall> {
        self.calls_in_flight.remove(&id)
    }

    /// Purposes of the calls that have not been answered.
    pub(crate) fn calls_in_flight(&self) -> impl Iterator<Item = &PendingCall> {
        self.calls_in_flight.values()
    }

    /// Calls the key-value store and charges the call to this node's share of the store's rates. An
    /// urgent call does not count as a request.
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

    /// Whether more than half of this node's budget of requests to the store is left.
    pub(crate) fn has_spare_requests(&mut self) -> bool {
        self.request_budget.level(self.now) > self.request_budget.burst() / 2.0
    }
}
