//! The key-value store as controllers reach it: outages, watches and lost answers.

use super::event::SimEvent;
use super::settings::{CONTROLLERS, LIMITS, LOWERED_LIMITS};
use super::store;
use super::world::{Watch, World};
use millethold::controller::leadership::shard::shard_of_machine;
use millethold::controller::leadership::shard_lease::shard_of_key;
use millethold::controller::{CallId, Event, Reply};
use millethold::kv_store::{KvRequest, KvResponse};
use millethold::time::Micros;
use millethold::wire::Txn;
use rand::RngExt;
use serde_json::Value;

/// Time after which a controller gets an unknown outcome for a transaction without an answer.
const UNANSWERED_TIMEOUT: Micros = Micros::millis(2_500);
/// Time after the end of a hung watch's blocking time until its controller gives it up.
const HUNG_WATCH_GRACE: Micros = Micros::secs(5);

impl World {
    /// Handles a call that reaches the key-value store. If `lose_answer` is set and the call is a
    /// transaction, it gets no answer.
    pub(super) fn kv_store_call(
        &mut self,
        controller: usize,
        incarnation: u64,
        id: CallId,
        call: KvRequest,
        lose_answer: bool,
        sent: Micros,
    ) {
        let query_storm = self.faults.query_storm.is_some_and(|s| self.during(s.0, s.1));
        self.storm_kv_calls += u64::from(query_storm);
        let extra = self.kv_store_extra_delay() + self.extra_delay_at_start(controller);
        let reply_at = self.now + self.delay() + extra;
        let reply = |reply| SimEvent::ToController {
            controller,
            incarnation,
            event: Event::Reply { id, reply: Reply::KvStore(reply) },
        };
        if self.kv_store_refuses(controller) {
            let at = if call.is_watch() { reply_at + Micros::secs(1) } else { reply_at };
            return self.schedule(at, reply(KvResponse::NotExecuted));
        }
        if let KvRequest::Watch { prefix, after, block } = call {
            let until = self.now + block;
            self.watches.push(Watch { controller, incarnation, call: id, prefix, after, until });
            return self.wake_watches();
        }
        if let KvRequest::Txn(txn) = &call {
            if self.too_large(txn) {
                return self.schedule(reply_at, reply(KvResponse::Rejected));
            }
            if self.leaves_unanswered(&call, lose_answer) {
                return self
                    .schedule(self.now + UNANSWERED_TIMEOUT, reply(KvResponse::OutcomeUnknown));
            }
        }
        let answer = self.store.apply(self.now, &call);
        // A caller whose timeout has passed gets an unknown outcome instead of the answer.
        let deadline = sent + call.timeout();
        let (at, answer) = match reply_at > deadline {
            true => (deadline, KvResponse::OutcomeUnknown),
            false => (reply_at, answer),
        };
        self.schedule(at.max(self.now), reply(answer));
        self.wake_watches();
    }

    /// Whether a transaction is larger than the key-value store takes. Records a violation if the
    /// transaction is not fenced, or if it exceeds limits that were not lowered.
    fn too_large(&mut self, txn: &Txn) -> bool {
        self.violations.extend(store::unfenced_writes(txn));
        let lowered =
            self.faults.lowered_limits.is_some_and(|(_, at)| self.now >= Micros::secs(at));
        let limits = if lowered { LOWERED_LIMITS } else { LIMITS };
        let Some(what) = store::too_large(txn, limits.value_kb, limits.operations) else {
            return false;
        };
        if !lowered {
            self.violations.push(format!("a transaction exceeds the limits of the store: {what}"));
        }
        self.refused_large_txns += 1;
        true
    }

    /// Draws whether a transaction gets no answer, and schedules its late execution if that is
    /// drawn too.
    fn leaves_unanswered(&mut self, txn: &KvRequest, lose_answer: bool) -> bool {
        if lose_answer {
            if self.chance(self.faults.late_applied) {
                let late = Micros::millis(self.rng.random_range(0..10_000));
                self.schedule(self.now + late, SimEvent::LateTxn { call: txn.clone() });
            }
            return true;
        }
        let fault = self.faults.unanswered_txns.iter().find(|f| self.during(f.from, f.to)).copied();
        let Some(fault) = fault else {
            return false;
        };
        if !self.chance(fault.share) {
            return false;
        }
        self.unanswered_txns += 1;
        let wait = match fault.at_once {
            true => 0,
            false => self.rng.random_range(2_000..12_000),
        };
        self.schedule(self.now + Micros::millis(wait), SimEvent::LateTxn { call: txn.clone() });
        true
    }

    /// Executes a transaction without an answer, after the outage if there is one.
    pub(super) fn late_transaction(&mut self, call: KvRequest) {
        if self.in_outage() {
            let later = Micros::millis(self.rng.random_range(0..2_000));
            return self.schedule(self.now + Micros::secs(1) + later, SimEvent::LateTxn { call });
        }
        self.store.apply(self.now, &call);
        self.wake_watches();
    }

    pub(super) fn outage_begins(&mut self) {
        // Only leases that expired before the outage are deleted; none expires during it.
        self.store.expire_leases(self.now);
        self.wake_watches();
    }

    pub(super) fn outage_ends(&mut self) {
        self.store.renew_all_leases(self.now);
        self.wake_watches();
    }

    /// Answers all open watches as a store that has dropped the changes that they wait for.
    pub(super) fn compact_changes(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            let at = self.now + self.delay();
            let reply = Reply::KvStore(KvResponse::Compacted);
            let Watch { controller, incarnation, call: id, .. } = watch;
            let event = Event::Reply { id, reply };
            self.schedule(at, SimEvent::ToController { controller, incarnation, event });
        }
    }

    /// Answers the watches that have events or have waited for their full time.
    pub(super) fn wake_watches(&mut self) {
        self.deliver_kept_heartbeats();
        let now = self.now;
        let mut ready = Vec::new();
        let store = &self.store;
        let refused: Vec<bool> =
            (0..CONTROLLERS).map(|n| self.kv_store_refuses(n) || self.watches_hang(n)).collect();
        self.watches.retain(|watch| {
            let mut answer = |reply| {
                let event = Event::Reply { id: watch.call, reply: Reply::KvStore(reply) };
                ready.push((watch.controller, watch.incarnation, event));
            };
            if refused[watch.controller] {
                // The watch waits until the fault ends or its controller gives it up.
                let gives_up = now >= watch.until + HUNG_WATCH_GRACE;
                if gives_up {
                    answer(KvResponse::OutcomeUnknown);
                }
                return !gives_up;
            }
            let changes = store.events_after(&watch.prefix, watch.after);
            if changes.is_empty() && now < watch.until {
                return true;
            }
            answer(KvResponse::WatchEvents { revision: store.revision, events: changes });
            false
        });
        for (controller, incarnation, event) in ready {
            let at = now + self.delay() + Micros::millis(self.faults.slow_watches);
            self.schedule(at, SimEvent::ToController { controller, incarnation, event });
        }
    }

    /// Sends the kept copies of heartbeats to the controllers that have just acquired a shard.
    fn deliver_kept_heartbeats(&mut self) {
        if self.faults.heartbeats_for_new_leader.is_none()
            || self.store.revision == self.checked_revision
        {
            return;
        }
        let acquired = self.store.events_after("hold/", self.checked_revision);
        self.checked_revision = self.store.revision;
        for change in acquired {
            let member = change.value.get("member").and_then(Value::as_str).unwrap_or_default();
            let controller = member.strip_prefix('n').and_then(|n| n.parse::<usize>().ok());
            let (Some(controller), Some(shard)) =
                (controller, change.put.as_deref().and_then(shard_of_key))
            else {
                continue;
            };
            let workers: Vec<usize> = self.kept_heartbeats.keys().copied().collect();
            for worker in workers {
                if shard_of_machine(&self.workers[worker].name, 3) != shard {
                    continue;
                }
                for event in self.kept_heartbeats.remove(&worker).unwrap_or_default() {
                    // As the leader starts, or after it has acted.
                    let late = match self.rng.random_range(0..2) {
                        0 => self.rng.random_range(2..600),
                        _ => self.rng.random_range(2_000..8_000),
                    };
                    let at = self.now + Micros::millis(late);
                    self.new_leader_copies += 1;
                    self.schedule(at, SimEvent::HeartbeatCopy { controller, event });
                }
            }
        }
    }
}
