//! The key-value store as the controllers reach it: outages, watches, lost answers.

use super::event::SimEvent;
use super::settings::{CONTROLLERS, LIMITS, LOWERED};
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

/// After this long a controller counts a transaction without an answer as unknown.
const NO_ANSWER: Micros = Micros::millis(2_500);
/// How much longer than it may wait a watch that hangs is waited for.
const HUNG_WATCH: Micros = Micros::secs(5);

impl World {
    /// A call reaches the key-value store. `lose` says that the answer to a
    /// transaction is lost.
    pub(super) fn kv_store_call(
        &mut self,
        node: usize,
        incarnation: u64,
        id: CallId,
        call: KvRequest,
        lose: bool,
        sent: Micros,
    ) {
        let storms = self.faults.storm.is_some_and(|s| self.during(s.0, s.1));
        self.calls += u64::from(storms);
        let reply_at = self.now + self.delay() + self.kv_store_slow();
        let reply = |reply| SimEvent::Node {
            node,
            incarnation,
            event: Event::Reply { id, reply: Reply::KvStore(reply) },
        };
        if self.refused(node) {
            let at = if call.is_watch() { reply_at + Micros::secs(1) } else { reply_at };
            return self.at(at, reply(KvResponse::NotExecuted));
        }
        if let KvRequest::Watch { prefix, after, block } = call {
            let until = self.now + block;
            self.watches.push(Watch { node, incarnation, call: id, prefix, after, until });
            return self.wake_watches();
        }
        if let KvRequest::Txn(txn) = &call {
            if self.too_large(txn) {
                return self.at(reply_at, reply(KvResponse::Rejected));
            }
            if self.leaves_unanswered(&call, lose) {
                return self.at(self.now + NO_ANSWER, reply(KvResponse::OutcomeUnknown));
            }
        }
        let answer = self.store.apply(self.now, &call);
        // Who has waited for too long hears nothing more of its call.
        let patience = sent + call.timeout();
        let (at, answer) = match reply_at > patience {
            true => (patience, KvResponse::OutcomeUnknown),
            false => (reply_at, answer),
        };
        self.at(at.max(self.now), reply(answer));
        self.wake_watches();
    }

    /// Whether a transaction is larger than what the key-value store takes; checks
    /// that it is fenced, and that it keeps to limits that were not lowered.
    fn too_large(&mut self, txn: &Txn) -> bool {
        self.violations.extend(store::unfenced(txn));
        let lowered = self.faults.lowered.is_some_and(|(_, at)| self.now >= Micros::secs(at));
        let limits = if lowered { LOWERED } else { LIMITS };
        let Some(what) = store::too_large(txn, limits.value_kb, limits.operations) else {
            return false;
        };
        if !lowered {
            self.violations.push(format!("a transaction that is refused: {what}"));
        }
        self.refused_large += 1;
        true
    }

    /// Whether a transaction gets no answer; it may be carried out all the same.
    fn leaves_unanswered(&mut self, txn: &KvRequest, lose: bool) -> bool {
        if lose {
            if self.chance(self.faults.late) {
                let late = Micros::millis(self.rng.random_range(0..10_000));
                self.at(self.now + late, SimEvent::LateTxn { call: txn.clone() });
            }
            return true;
        }
        let late = self.faults.late_writes.iter().find(|l| self.during(l.from, l.to)).copied();
        let Some(late) = late else {
            return false;
        };
        if !self.chance(late.share) {
            return false;
        }
        self.unanswered += 1;
        let wait = match late.at_once {
            true => 0,
            false => self.rng.random_range(2_000..12_000),
        };
        self.at(self.now + Micros::millis(wait), SimEvent::LateTxn { call: txn.clone() });
        true
    }

    /// A transaction without an answer is carried out, after an outage if there is one.
    pub(super) fn late_transaction(&mut self, call: KvRequest) {
        if self.out() {
            let later = Micros::millis(self.rng.random_range(0..2_000));
            return self.at(self.now + Micros::secs(1) + later, SimEvent::LateTxn { call });
        }
        self.store.apply(self.now, &call);
        self.wake_watches();
    }

    pub(super) fn outage_begins(&mut self) {
        // What has run out by now ran out while the service was well.
        self.store.expire(self.now);
        self.wake_watches();
    }

    pub(super) fn outage_ends(&mut self) {
        self.store.renew_all(self.now);
        self.wake_watches();
    }

    /// Answers the watches that have something to tell or have waited long enough.
    pub(super) fn wake_watches(&mut self) {
        self.greet_leaders();
        let now = self.now;
        let mut ready = Vec::new();
        let store = &self.store;
        let refused: Vec<bool> =
            (0..CONTROLLERS).map(|n| self.refused(n) || self.watches_hang(n)).collect();
        self.watches.retain(|watch| {
            let mut answer = |reply| {
                let event = Event::Reply { id: watch.call, reply: Reply::KvStore(reply) };
                ready.push((watch.node, watch.incarnation, event));
            };
            if refused[watch.node] {
                // It waits until this is over, or its node has waited for too long.
                let given_up = now >= watch.until + HUNG_WATCH;
                if given_up {
                    answer(KvResponse::OutcomeUnknown);
                }
                return !given_up;
            }
            let changes = store.changes(&watch.prefix, watch.after);
            if changes.is_empty() && now < watch.until {
                return true;
            }
            answer(KvResponse::WatchEvents { revision: store.ledger, events: changes });
            false
        });
        for (node, incarnation, event) in ready {
            let at = now + self.delay() + Micros::millis(self.faults.slow_watches);
            self.at(at, SimEvent::Node { node, incarnation, event });
        }
    }

    /// Gives the copies that were kept to the controllers that have just taken a shard.
    fn greet_leaders(&mut self) {
        if self.faults.for_next.is_none() || self.store.ledger == self.seen {
            return;
        }
        let taken = self.store.changes("hold/", self.seen);
        self.seen = self.store.ledger;
        for change in taken {
            let member = change.value.get("member").and_then(Value::as_str).unwrap_or_default();
            let node = member.strip_prefix('n').and_then(|n| n.parse::<usize>().ok());
            let (Some(node), Some(shard)) = (node, change.put.as_deref().and_then(shard_of_key))
            else {
                continue;
            };
            let here: Vec<usize> = self.kept.keys().copied().collect();
            for worker in here {
                if shard_of_machine(&self.workers[worker].name, 3) != shard {
                    continue;
                }
                for event in self.kept.remove(&worker).unwrap_or_default() {
                    // Just as it begins, or when it has acted.
                    let late = match self.rng.random_range(0..2) {
                        0 => self.rng.random_range(2..600),
                        _ => self.rng.random_range(2_000..8_000),
                    };
                    let at = self.now + Micros::millis(late);
                    self.copies_for_next += 1;
                    self.at(at, SimEvent::Copy { node, event });
                }
            }
        }
    }
}
