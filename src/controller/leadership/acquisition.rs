//! Lease, shards and watches: how this process learns what it may do.

use crate::controller::calls::LeadershipCall;
use crate::controller::decision_log;
use crate::controller::leadership::recovery::ShardRecovery;
use crate::controller::leadership::shard::{self, Shard, ShardLeadership};
use crate::controller::leadership::watches::prefix;
use crate::controller::{Controller, Watch};
use crate::kv_store::{KvRequest, KvResponse};
use crate::time::Micros;
use crate::wire::KeyValue;
use log::{info, warn};
use rand::RngExt;

/// How long a watch waits for changes.
const BLOCK: Micros = Micros::secs(20);

impl Controller {
    pub(crate) fn maintain_shards(&mut self) {
        let now = self.context.now;
        let ttl = self.context.options.controller_lease;
        if !self.leadership.controller_lease.busy
            && now >= self.leadership.controller_lease.renew_at
        {
            self.leadership.controller_lease.busy = true;
            match self.leadership.controller_lease.id {
                None => self.context.call_store(
                    LeadershipCall::GrantLease { sent: now },
                    KvRequest::GrantLease(ttl),
                ),
                Some(id) => {
                    let op = LeadershipCall::RenewLease {
                        sent: now,
                        epoch: self.leadership.controller_lease.epoch,
                    };
                    self.context.call_store(op, KvRequest::RenewLease(id));
                }
            }
        }
        if !self.leadership.shards_read && !self.leadership.shards_reading {
            self.leadership.shards_reading = true;
            self.context.call_store(
                LeadershipCall::ListTerms,
                KvRequest::List { prefix: shard::TERM_KEYS.into(), after: None },
            );
        }
        for watch in [Watch::ShardLeases, Watch::Jobs, Watch::Quotas] {
            let f = self.leadership.watches.entry(watch).or_default();
            if f.busy || now < f.retry {
                continue;
            }
            f.busy = true;
            f.sent = now;
            let block = if watch == Watch::Jobs { Micros(ttl.0 / 4) } else { BLOCK };
            let prefix = prefix(watch).to_string();
            match f.after {
                Some(after) => self.context.call_store(
                    LeadershipCall::Watch(watch),
                    KvRequest::Watch { prefix, after, block },
                ),
                // The jobs' own list grows without end; any list tells the
                // present revision, and the shard leases are few.
                None => self.context.call_store(
                    LeadershipCall::StartWatch(watch),
                    KvRequest::List { prefix: shard::LEASE_KEYS.into(), after: None },
                ),
            }
        }
        self.poll_beside_watch();
        if self.leadership.shards_read
            && self.leadership.controller_lease.valid(now + Micros::millis(500))
        {
            for s in 0..self.leadership.shards.len() {
                self.maintain_shard(s);
            }
        }
        self.continue_recoveries();
    }

    fn maintain_shard(&mut self, s: usize) {
        let shard = &self.leadership.shards[s];
        if shard.busy {
            return;
        }
        if let Some(leadership) = &shard.leadership {
            let home_well =
                self.peers.by_member.get(&s).and_then(|p| p.well_since).is_some_and(|at| {
                    self.context.now.since(at) > self.context.options.failback_delay
                }) && self.peer_alive(s);
            if s != self.context.me && leadership.recovered && !leadership.handing_over && home_well
            {
                info!("shard {s} goes back to {}", self.context.members[s]);
                if let Some(m) = &mut self.leadership.shards[s].leadership {
                    m.handing_over = true;
                }
            }
            self.finish_handover(s);
            return;
        }
        let Some(revision) = shard.acquirable_at(&self.context.member, self.context.incarnation)
        else {
            return;
        };
        if revision == 0 {
            // Its home takes it at once; others leave it time, longer while
            // the home is observed to be well, and not all at the same moment.
            let wait = if s == self.context.me {
                Micros::ZERO
            } else {
                let rank = (self.context.me + self.leadership.shards.len() - s)
                    % self.leadership.shards.len();
                let well = |p: &crate::controller::PeerInfo| p.state_ok && !p.partitioned;
                let home_well =
                    self.peer_alive(s) && self.peers.by_member.get(&s).is_some_and(well);
                let base = if home_well { Micros::millis(2_000) } else { Micros::millis(200) };
                base + Micros::millis(rank as u64 * 250)
            };
            // One who cannot reach its workers leaves it to anybody else.
            let wait = if self.leadership.connectivity.partitioned() {
                wait + Micros::secs(5)
            } else {
                wait
            };
            if self.context.now.since(shard.vacant_since) < wait {
                return;
            }
        }
        let Some(lease) = self.leadership.controller_lease.id else {
            return;
        };
        let (txn, term) =
            shard.take(s, revision, &self.context.member, self.context.incarnation, lease);
        self.leadership.shards[s].busy = true;
        let op = LeadershipCall::AcquireShard {
            shard: s,
            term,
            epoch: self.leadership.controller_lease.epoch,
        };
        self.context.call_store(op, KvRequest::Txn(txn));
    }

    /// Hands a shard back once nothing of it is being written.
    fn finish_handover(&mut self, s: usize) {
        let Some(leadership) =
            self.leadership.shards[s].leadership.as_ref().filter(|m| m.handing_over)
        else {
            return;
        };
        if self.jobs.by_id.values().any(|j| j.shard == s && j.busy) {
            return;
        }
        let txn = Shard::release(s, leadership.revision);
        // It stops acting before the release can be applied, and does not
        // begin again whatever the answer: the outcome may come late.
        self.step_down(s, "handed back");
        self.leadership.shards[s].busy = true;
        self.context.call_store(LeadershipCall::Release { shard: s }, KvRequest::Txn(txn));
    }

    /// The store says that a shard's mark has changed.
    pub(crate) fn lease_revision_changed(&mut self, s: usize, term: u64) {
        if self.leadership.shards[s].leadership.as_ref().is_some_and(|m| m.term == term) {
            self.step_down(s, "its mark has changed");
        }
        self.leadership.shards_read = false;
    }

    /// Forgets everything that belonged to a shard.
    pub(crate) fn step_down(&mut self, s: usize, why: &str) {
        let Some(leadership) = self.leadership.shards[s].leadership.take() else {
            return;
        };
        decision_log::leadership_lost(leadership.evidence(s, self.context.now), why);
        self.leadership.recoveries.remove(&s);
        // It is tried once more under the next term.
        self.jobs.unreadable.clear();
        self.jobs.by_id.retain(|_, j| j.shard != s);
        self.jobs.tasks_by_machine.retain(|(shard, _), _| *shard != s);
        self.api.admission.forget_shard(s);
        self.changes.desired.retain(|(shard, _)| *shard != s);
        self.changes.complete_desired.remove(&s);
        let shards = self.leadership.shards.len();
        self.machines.managed.retain(|m, _| shard::shard_of_machine(m, shards) != s);
        self.changes.machines.retain(|m| shard::shard_of_machine(m, shards) != s);
        if s == crate::controller::autoscaler::AUTOSCALER_SHARD {
            self.autoscaler.leadership_lost();
        }
    }

    fn lose_controller_lease(&mut self) {
        warn!("state lease lost");
        self.leadership.controller_lease.lost();
        self.leadership.controller_lease.renew_at = self.context.now;
        for s in 0..self.leadership.shards.len() {
            self.step_down(s, "the state lease ended");
        }
        self.leadership.shards_read = false;
    }

    fn shard_acquired(&mut self, s: usize, term: u64, revision: u64) {
        let leadership = ShardLeadership {
            term,
            revision,
            acquired_at: self.context.now,
            recovered: false,
            handing_over: false,
        };
        decision_log::leadership_acquired(
            leadership.evidence(s, leadership.acquired_at),
            self.leadership.controller_lease.valid_until,
        );
        let shard = &mut self.leadership.shards[s];
        shard.term = shard.term.max(term);
        shard.term_revision = shard.term_revision.max(revision);
        shard.last_led_term = term;
        shard.leadership = Some(leadership);
        let lease = shard::ShardLease {
            member: self.context.member.clone(),
            incarnation: self.context.incarnation,
            term,
            controller_lease: self.leadership.controller_lease.id.unwrap_or(0),
        };
        shard.lease = Some((lease, revision));
        self.leadership.recoveries.insert(s, ShardRecovery { term, ..ShardRecovery::default() });
        let shards = self.leadership.shards.len();
        let is_in_shard = |machine: &str| shard::shard_of_machine(machine, shards) == s;
        self.changes.machines.extend(self.machines.manage_shard(is_in_shard));
    }

    pub(crate) fn leadership_reply(&mut self, op: LeadershipCall, reply: KvResponse) {
        match (op, reply) {
            (LeadershipCall::GrantLease { sent }, KvResponse::LeaseGranted(id)) => {
                self.leadership.controller_lease.busy = false;
                self.leadership.controller_lease.id = Some(id);
                self.leadership.controller_lease.epoch += 1;
                self.leadership.controller_lease.valid_until = Micros::ZERO;
                self.leadership
                    .controller_lease
                    .extended(sent, self.context.options.controller_lease);
            }
            (LeadershipCall::GrantLease { .. }, _) => {
                self.leadership.controller_lease.busy = false;
                self.leadership.controller_lease.renew_at = self.context.now + Micros::millis(300);
            }
            (LeadershipCall::RenewLease { sent, epoch }, r) => {
                self.extend_reply(sent, epoch, &r);
            }
            (LeadershipCall::ListTerms, KvResponse::Page { items, .. }) => {
                for item in &items {
                    if let Some(s) =
                        shard::shard_of_key(&item.key).filter(|s| *s < self.leadership.shards.len())
                    {
                        self.leadership.shards[s].observe_term(item);
                    }
                }
                // Leases after terms: a take in between shows in the leases.
                self.context.call_store(
                    LeadershipCall::ListLeases,
                    KvRequest::List { prefix: shard::LEASE_KEYS.into(), after: None },
                );
            }
            (LeadershipCall::ListLeases, KvResponse::Page { items, .. }) => {
                self.leadership.shards_reading = false;
                self.leadership.shards_read = true;
                self.observe_leases(&items);
            }
            (LeadershipCall::ListTerms | LeadershipCall::ListLeases, _) => {
                self.leadership.shards_reading = false
            }
            (LeadershipCall::StartWatch(watch), KvResponse::Page { revision, items, .. }) => {
                self.watch_started(watch, revision, &items);
            }
            (LeadershipCall::Watch(watch), KvResponse::WatchEvents(revision, changes)) => {
                for change in changes {
                    self.change(watch, change);
                }
                if let Some(f) = self.leadership.watches.get_mut(&watch) {
                    f.busy = false;
                    f.advance_to(revision, f.sent);
                }
            }
            (LeadershipCall::PollChanges { sent }, KvResponse::WatchEvents(revision, changes)) => {
                for change in changes {
                    self.change(Watch::Jobs, change);
                }
                if let Some(f) = self.leadership.watches.get_mut(&Watch::Jobs) {
                    f.advance_to(revision, sent);
                }
            }
            // The watch itself will say so.
            (LeadershipCall::PollChanges { .. }, _) => {}
            (LeadershipCall::Watch(watch), KvResponse::Compacted) => {
                if let Some(f) = self.leadership.watches.get_mut(&watch) {
                    (f.busy, f.after) = (false, None);
                }
            }
            (LeadershipCall::Watch(watch) | LeadershipCall::StartWatch(watch), _) => {
                let wait = Micros::millis(self.context.rng.random_range(200..400));
                if let Some(f) = self.leadership.watches.get_mut(&watch) {
                    f.busy = false;
                    f.retry = self.context.now + wait;
                }
            }
            (LeadershipCall::AcquireShard { shard, term, epoch }, r) => {
                self.take_reply(shard, term, epoch, &r);
            }
            (LeadershipCall::Release { shard }, _) => {
                self.leadership.shards[shard].busy = false;
                self.leadership.shards_read = false;
            }
            (LeadershipCall::ReadRecoveryPage { shard, term }, r) => {
                self.recovery_page_reply(shard, term, r)
            }
            (LeadershipCall::ReadRecoveredRecord { shard, term, job }, r) => {
                self.recovery_record_reply(shard, term, &job, r)
            }
        }
    }

    /// A renewal of the state lease has ended; `epoch` is the lease's for which it was sent.
    fn extend_reply(&mut self, sent: Micros, epoch: u64, reply: &KvResponse) {
        self.leadership.controller_lease.busy = false;
        if epoch != self.leadership.controller_lease.epoch {
            return;
        }
        match reply {
            KvResponse::LeaseRenewed => self
                .leadership
                .controller_lease
                .extended(sent, self.context.options.controller_lease),
            KvResponse::LeaseNotFound => self.lose_controller_lease(),
            _ => self.leadership.controller_lease.renew_at = self.context.now + Micros::millis(200),
        }
    }

    /// Takes in all shard leases.
    fn observe_leases(&mut self, items: &[KeyValue]) {
        for shard in 0..self.leadership.shards.len() {
            let key = shard::lease_key(shard);
            let item = items.iter().find(|i| i.key == key).cloned();
            self.observe_lease(shard, item.as_ref());
        }
    }

    /// A watch begins anew at a revision: what changed before it may have been missed.
    fn watch_started(&mut self, watch: Watch, revision: u64, items: &[KeyValue]) {
        if let Some(f) = self.leadership.watches.get_mut(&watch) {
            f.busy = false;
            f.advance_to(revision, f.sent);
        }
        match watch {
            Watch::ShardLeases => {
                self.observe_leases(items);
            }
            // Cancellations may have been missed.
            Watch::Jobs => {
                self.invalidate_unfinished();
                for l in self.leadership.recoveries.values_mut() {
                    l.todo.extend(std::mem::take(&mut l.records).into_keys());
                    l.stale.append(&mut l.in_flight);
                }
                let busy = self.jobs.by_id.iter().filter(|(_, j)| j.busy);
                self.machines.cancellations.add_unknown(busy.map(|(id, _)| id.clone()).collect());
                let ids: Vec<String> = self.jobs.by_id.keys().cloned().collect();
                for id in ids {
                    self.read_back(&id);
                }
            }
            Watch::Quotas => self.quota.resynchronize(),
        }
    }

    /// An attempt to take a shard has ended.
    fn take_reply(&mut self, shard: usize, term: u64, epoch: u64, reply: &KvResponse) {
        self.leadership.shards[shard].busy = false;
        match reply {
            KvResponse::Applied(revision) if epoch == self.leadership.controller_lease.epoch => {
                self.shard_acquired(shard, term, *revision);
            }
            KvResponse::LeaseNotFound if epoch == self.leadership.controller_lease.epoch => {
                self.lose_controller_lease()
            }
            KvResponse::NotExecuted => {}
            // Perhaps applied, or somebody was faster: what is stored decides.
            _ => self.leadership.shards_read = false,
        }
    }

    pub(crate) fn observe_lease(&mut self, s: usize, item: Option<&KeyValue>) {
        let now = self.context.now;
        self.leadership.shards[s].observe_lease(now, item);
        let shard = &self.leadership.shards[s];
        match (&shard.lease, &shard.leadership) {
            // A watch may tell of what was before the take.
            (Some((_, revision)), Some(m)) if *revision <= m.revision => {}
            (None, Some(_)) | (Some(_), Some(_)) => self.step_down(s, "the store says so"),
            (Some((h, revision)), None)
                if h.member == self.context.member
                    && h.incarnation == self.context.incarnation
                    && !shard.busy
                    && h.term > shard.last_led_term
                    && Some(h.controller_lease) == self.leadership.controller_lease.id =>
            {
                // A take whose answer was lost.
                let (term, revision) = (h.term, *revision);
                self.shard_acquired(s, term, revision);
            }
            _ => {}
        }
    }
}
