//! Lease, seats and watches: how this process learns what it may do.

use super::job::{self, Job, JobRecord, StoredStage};
use super::seat::{self, Mine, Seat};
use super::{Controller, Known, Op, Watch};
use crate::state::{StateCall, StateReply};
use crate::time::Micros;
use crate::wire::{Change, Item};
use log::{info, warn};
use rand::RngExt;
use serde_json::Value;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

/// How long a watch waits for changes.
const BLOCK: Micros = Micros::secs(20);
/// Between looks at changes beside a watch that has said nothing for long.
const LOOK_EVERY: Micros = Micros::millis(400);
/// Reads of job records under way at once while a seat is loaded.
const LOADS: usize = 12;

/// A seat's jobs, being read after a take.
#[derive(Debug, Clone, Default)]
pub(super) struct Loading {
    term: u64,
    after: Option<String>,
    listed: bool,
    busy: bool,
    retry: Micros,
    parts: BTreeMap<String, BTreeMap<usize, (Value, u64)>>,
    /// Jobs whose record is still to be read.
    todo: BTreeSet<String>,
    asked: BTreeSet<String>,
    /// Asked for before changes may have been missed: read again.
    stale: BTreeSet<String>,
    records: BTreeMap<String, (Option<JobRecord>, u64)>,
    /// Descriptions from bundles: key and version of the bundle, and part 0.
    bundled: BTreeMap<String, (String, u64, Value)>,
}

/// A watch.
#[derive(Debug, Clone, Default)]
pub(super) struct Following {
    after: Option<u64>,
    busy: bool,
    retry: Micros,
    /// When the call that is under way was sent.
    sent: Micros,
    /// When the last call that was answered had been sent.
    heard: Micros,
    /// When changes were last looked at beside the watch.
    look_at: Micros,
}

impl Following {
    /// Changes up to a revision, asked for at a time, are taken in. A watch and a
    /// look may cross.
    fn took(&mut self, revision: u64, sent: Micros) {
        self.after = Some(self.after.unwrap_or(0).max(revision));
        self.heard = self.heard.max(sent);
    }

    /// All that had changed by then is known.
    pub(super) fn heard(&self) -> Micros {
        self.heard
    }

    /// Revision up to which changes are known, 0 for none.
    pub(super) fn revision(&self) -> u64 {
        self.after.unwrap_or(0)
    }
}

fn prefix(watch: Watch) -> &'static str {
    match watch {
        Watch::Jobs => "j/",
        Watch::Holds => "hold/",
        Watch::Quotas => "quota/",
    }
}

impl Controller {
    pub(super) fn tend_seats(&mut self) {
        let now = self.now;
        let ttl = self.options.seat_lease;
        if !self.lease.busy && now >= self.lease.renew_at {
            self.lease.busy = true;
            match self.lease.id {
                None => self.state(Op::Grant { sent: now }, StateCall::Grant(ttl)),
                Some(id) => {
                    let op = Op::Extend { sent: now, epoch: self.lease.epoch };
                    self.state(op, StateCall::Extend(id));
                }
            }
        }
        if !self.seats_read && !self.seats_reading {
            self.seats_reading = true;
            self.state(Op::ListTerms, StateCall::List { prefix: "seat/".into(), after: None });
        }
        for watch in [Watch::Holds, Watch::Jobs, Watch::Quotas] {
            let f = self.follow.entry(watch).or_default();
            if f.busy || now < f.retry {
                continue;
            }
            f.busy = true;
            f.sent = now;
            let block = if watch == Watch::Jobs { Micros(ttl.0 / 4) } else { BLOCK };
            let prefix = prefix(watch).to_string();
            match f.after {
                Some(after) => {
                    self.state(Op::Follow(watch), StateCall::Follow { prefix, after, block })
                }
                // The jobs' own list grows without end; any list tells the
                // present revision, and the holds are few.
                None => self.state(
                    Op::FollowStart(watch),
                    StateCall::List { prefix: "hold/".into(), after: None },
                ),
            }
        }
        self.look_beside_watch();
        if self.seats_read && self.lease.valid(now + Micros::millis(500)) {
            for s in 0..self.seats.len() {
                self.tend_seat(s);
            }
        }
        self.tend_loads();
    }

    /// After an outage the lease is good at once, while the watch that was open waits
    /// on: reports are answered only once it is known what was cancelled meanwhile.
    fn look_beside_watch(&mut self) {
        let now = self.now;
        if !self.acting() || self.hears_cancellations() {
            return;
        }
        let Some(f) = self.follow.get_mut(&Watch::Jobs).filter(|f| now >= f.look_at) else {
            return;
        };
        let Some(after) = f.after else {
            return;
        };
        f.look_at = now + LOOK_EVERY;
        let prefix = prefix(Watch::Jobs).to_string();
        let call = StateCall::Follow { prefix, after, block: Micros::ZERO };
        self.state(Op::Look { sent: now }, call);
    }

    fn tend_seat(&mut self, s: usize) {
        let seat = &self.seats[s];
        if seat.busy {
            return;
        }
        if let Some(mine) = &seat.mine {
            let home_well = self
                .peers
                .get(&s)
                .and_then(|p| p.well_since)
                .is_some_and(|at| self.now.since(at) > self.options.hand_back)
                && self.peer_alive(s);
            if s != self.me && mine.loaded && !mine.releasing && home_well {
                info!("seat {s} goes back to {}", self.members[s]);
                if let Some(m) = &mut self.seats[s].mine {
                    m.releasing = true;
                }
            }
            self.finish_release(s);
            return;
        }
        let Some(mark) = seat.takeable(&self.member, self.run) else {
            return;
        };
        if mark == 0 {
            // Its home takes it at once; others leave it time, longer while
            // the home is seen to be well, and not all at the same moment.
            let wait = if s == self.me {
                Micros::ZERO
            } else {
                let rank = (self.me + self.seats.len() - s) % self.seats.len();
                let well = |p: &super::PeerInfo| p.state_ok && !p.cut_off;
                let home_well = self.peer_alive(s) && self.peers.get(&s).is_some_and(well);
                let base = if home_well { Micros::millis(2_000) } else { Micros::millis(200) };
                base + Micros::millis(rank as u64 * 250)
            };
            // One who cannot hear its workers leaves it to anybody else.
            let wait = if self.reach.cut_off() { wait + Micros::secs(5) } else { wait };
            if self.now.since(seat.free_since) < wait {
                return;
            }
        }
        let Some(lease) = self.lease.id else {
            return;
        };
        let (txn, term) = seat.take(s, mark, &self.member, self.run, lease);
        self.seats[s].busy = true;
        let op = Op::Take { seat: s, term, epoch: self.lease.epoch };
        self.state(op, StateCall::Txn(txn));
    }

    /// Hands a seat back once nothing of it is being written.
    fn finish_release(&mut self, s: usize) {
        let Some(mine) = self.seats[s].mine.as_ref().filter(|m| m.releasing) else {
            return;
        };
        if self.jobs.values().any(|j| j.seat == s && j.busy) {
            return;
        }
        let txn = Seat::release(s, mine.mark);
        // It stops acting before the release can be applied, and does not
        // begin again whatever the answer: the outcome may come late.
        self.lose_seat(s, "handed back");
        self.seats[s].busy = true;
        self.state(Op::Release { seat: s }, StateCall::Txn(txn));
    }

    /// The store says that a seat's mark has changed.
    pub(super) fn suspect_seat(&mut self, s: usize, term: u64) {
        if self.seats[s].mine.as_ref().is_some_and(|m| m.term == term) {
            self.lose_seat(s, "its mark has changed");
        }
        self.seats_read = false;
    }

    /// Forgets everything that belonged to a seat.
    pub(super) fn lose_seat(&mut self, s: usize, why: &str) {
        let Some(mine) = self.seats[s].mine.take() else {
            return;
        };
        info!("seat {s} term {} lost: {why}", mine.term);
        self.loads.remove(&s);
        // It is tried once more under the next term.
        self.unreadable.clear();
        self.jobs.retain(|_, j| j.seat != s);
        self.by_machine.retain(|(seat, _), _| *seat != s);
        self.lose_bundles(s);
        self.dirty_wants.retain(|(seat, _)| *seat != s);
        self.complete_wants.remove(&s);
        let seats = self.seats.len();
        self.posts.retain(|m, _| seat::seat_of_machine(m, seats) != s);
        self.dirty_posts.retain(|m| seat::seat_of_machine(m, seats) != s);
        if s == super::fleet::RENTING_SEAT {
            self.fleet = super::fleet::Fleet::default();
        }
    }

    fn lose_lease(&mut self) {
        warn!("state lease lost");
        self.lease.lost();
        self.lease.renew_at = self.now;
        for s in 0..self.seats.len() {
            self.lose_seat(s, "the state lease ended");
        }
        self.seats_read = false;
    }

    fn seat_taken(&mut self, s: usize, term: u64, mark: u64) {
        info!("seat {s} taken, term {term}");
        let seat = &mut self.seats[s];
        seat.term = seat.term.max(term);
        seat.term_mark = seat.term_mark.max(mark);
        seat.acted = term;
        seat.mine = Some(Mine { term, mark, taken: self.now, loaded: false, releasing: false });
        let hold = seat::Hold {
            member: self.member.clone(),
            run: self.run,
            term,
            lease: self.lease.id.unwrap_or(0),
        };
        seat.hold = Some((hold, mark));
        self.loads.insert(s, Loading { term, ..Loading::default() });
        // Machines that some seat wants things of: each is unknown until it
        // reports under the new term, or has been silent for a whole lease.
        let machines: BTreeSet<String> = self
            .wants
            .iter()
            .flat_map(|w| w.machines.iter())
            .filter(|(_, m)| !m.tasks.is_empty())
            .map(|(m, _)| m.clone())
            .filter(|m| self.seat_of_machine(m) == s)
            .collect();
        for m in machines {
            self.posts.entry(m.clone()).or_default();
            self.dirty_posts.insert(m);
        }
        // Where they are is known from the views of the earlier holder, or
        // from a peer that had heard them.
        for v in self.views.values().filter(|v| !v.address.is_empty()) {
            if let Ok(address) = v.address.parse() {
                self.hints.entry(v.machine.clone()).or_insert((v.session, address));
            }
        }
        let ours: Vec<String> =
            self.hints.keys().filter(|m| self.seat_of_machine(m) == s).cloned().collect();
        self.hellos.extend(ours);
    }

    pub(super) fn seat_reply(&mut self, op: Op, reply: StateReply) {
        match (op, reply) {
            (Op::Grant { sent }, StateReply::Granted(id)) => {
                self.lease.busy = false;
                self.lease.id = Some(id);
                self.lease.epoch += 1;
                self.lease.valid_until = Micros::ZERO;
                self.lease.extended(sent, self.options.seat_lease);
            }
            (Op::Grant { .. }, _) => {
                self.lease.busy = false;
                self.lease.renew_at = self.now + Micros::millis(300);
            }
            (Op::Extend { sent, epoch }, r) => {
                self.lease.busy = false;
                if epoch != self.lease.epoch {
                    return;
                }
                match r {
                    StateReply::Kept => self.lease.extended(sent, self.options.seat_lease),
                    StateReply::NoLease => self.lose_lease(),
                    _ => self.lease.renew_at = self.now + Micros::millis(200),
                }
            }
            (Op::ListTerms, StateReply::Page { items, .. }) => {
                for item in &items {
                    if let Some(s) = seat::seat_of_key(&item.key).filter(|s| *s < self.seats.len())
                    {
                        self.seats[s].see_term(item);
                    }
                }
                // Holds after terms: a take in between shows in the holds.
                self.state(Op::ListHolds, StateCall::List { prefix: "hold/".into(), after: None });
            }
            (Op::ListHolds, StateReply::Page { items, .. }) => {
                self.seats_reading = false;
                self.seats_read = true;
                for s in 0..self.seats.len() {
                    let key = seat::hold_key(s);
                    let item = items.iter().find(|i| i.key == key).cloned();
                    self.see_hold(s, item.as_ref());
                }
            }
            (Op::ListTerms | Op::ListHolds, _) => self.seats_reading = false,
            (Op::FollowStart(watch), StateReply::Page { revision, items, .. }) => {
                if let Some(f) = self.follow.get_mut(&watch) {
                    f.busy = false;
                    f.took(revision, f.sent);
                }
                match watch {
                    Watch::Holds => {
                        for s in 0..self.seats.len() {
                            let key = seat::hold_key(s);
                            let item = items.iter().find(|i| i.key == key).cloned();
                            self.see_hold(s, item.as_ref());
                        }
                    }
                    // Cancellations may have been missed.
                    Watch::Jobs => {
                        self.doubt_unfinished();
                        for l in self.loads.values_mut() {
                            l.todo.extend(std::mem::take(&mut l.records).into_keys());
                            l.stale.append(&mut l.asked);
                        }
                        let busy = self.jobs.iter().filter(|(_, j)| j.busy);
                        self.note_unknown(busy.map(|(id, _)| id.clone()).collect());
                        let ids: Vec<String> = self.jobs.keys().cloned().collect();
                        for id in ids {
                            self.recheck(&id);
                        }
                    }
                    Watch::Quotas => self.quotas_read = false,
                }
            }
            (Op::Follow(watch), StateReply::Changes(revision, changes)) => {
                for change in changes {
                    self.change(watch, change);
                }
                if let Some(f) = self.follow.get_mut(&watch) {
                    f.busy = false;
                    f.took(revision, f.sent);
                }
            }
            (Op::Look { sent }, StateReply::Changes(revision, changes)) => {
                for change in changes {
                    self.change(Watch::Jobs, change);
                }
                if let Some(f) = self.follow.get_mut(&Watch::Jobs) {
                    f.took(revision, sent);
                }
            }
            // The watch itself will say so.
            (Op::Look { .. }, _) => {}
            (Op::Follow(watch), StateReply::TooOld) => {
                if let Some(f) = self.follow.get_mut(&watch) {
                    (f.busy, f.after) = (false, None);
                }
            }
            (Op::Follow(watch) | Op::FollowStart(watch), _) => {
                let wait = Micros::millis(self.rng.random_range(200..400));
                if let Some(f) = self.follow.get_mut(&watch) {
                    f.busy = false;
                    f.retry = self.now + wait;
                }
            }
            (Op::Take { seat, term, epoch }, r) => {
                self.seats[seat].busy = false;
                match r {
                    StateReply::Applied(mark) if epoch == self.lease.epoch => {
                        self.seat_taken(seat, term, mark);
                    }
                    StateReply::NoLease if epoch == self.lease.epoch => self.lose_lease(),
                    StateReply::Refused => {}
                    // Perhaps applied, or somebody was faster: what is stored decides.
                    _ => self.seats_read = false,
                }
            }
            (Op::Release { seat }, _) => {
                self.seats[seat].busy = false;
                self.seats_read = false;
            }
            (Op::Load { seat, term }, r) => self.load_reply(seat, term, r),
            (Op::LoadJob { seat, term, job }, r) => self.load_job_reply(seat, term, &job, r),
            (op, _) => warn!("unexpected reply to {op:?}"),
        }
    }

    fn see_hold(&mut self, s: usize, item: Option<&Item>) {
        let now = self.now;
        self.seats[s].see_hold(now, item);
        let seat = &self.seats[s];
        match (&seat.hold, &seat.mine) {
            // A watch may tell of what was before the take.
            (Some((_, mark)), Some(m)) if *mark <= m.mark => {}
            (None, Some(_)) | (Some(_), Some(_)) => self.lose_seat(s, "the store says so"),
            (Some((h, mark)), None)
                if h.member == self.member
                    && h.run == self.run
                    && !seat.busy
                    && h.term > seat.acted
                    && Some(h.lease) == self.lease.id =>
            {
                // A take whose answer was lost.
                let (term, mark) = (h.term, *mark);
                self.seat_taken(s, term, mark);
            }
            _ => {}
        }
    }

    fn change(&mut self, watch: Watch, change: Change) {
        let Some(key) = change.put.as_ref().or(change.delete.as_ref()).cloned() else {
            return;
        };
        let item = change.put.is_some().then(|| Item {
            key: key.clone(),
            value: change.value,
            version: change.version,
        });
        match watch {
            Watch::Holds => {
                let Some(s) = seat::seat_of_key(&key).filter(|s| *s < self.seats.len()) else {
                    return;
                };
                // News older than the own take: the seat has been taken since.
                if self.seats[s].mine.as_ref().is_some_and(|m| change.version <= m.mark) {
                    return;
                }
                self.see_hold(s, item.as_ref());
            }
            Watch::Jobs => {
                let (Some(item), Some(id)) = (item, key.strip_prefix("j/")) else {
                    return;
                };
                let Ok(record) = serde_json::from_value::<JobRecord>(item.value) else {
                    warn!("unreadable record of job {id}");
                    return;
                };
                self.pipelines.note(id, &record);
                self.unreadable.remove(id);
                self.note_known(
                    id,
                    Known {
                        stage: record.stage,
                        seat: record.seat,
                        tasks: record.tasks,
                        mark: item.version,
                    },
                );
                match record.stage {
                    StoredStage::Cancelled => self.job_cancelled(id),
                    StoredStage::Accepted => self.adopt(id, record.seat),
                    StoredStage::Done => {}
                }
            }
            Watch::Quotas => {
                if let Some(team) = key.strip_prefix("quota/") {
                    let value = item.map(|i| i.value).unwrap_or_default();
                    self.see_quota(team, &value, change.version);
                }
            }
        }
    }

    /// A job that the store holds and this process does not: its acceptance
    /// was applied after the answer had been given up.
    pub(super) fn adopt(&mut self, id: &str, s: usize) {
        if s >= self.seats.len() || !self.runs(s) || self.jobs.contains_key(id) {
            return;
        }
        // Read again and again it would be no more readable.
        if self.unreadable.contains(id) {
            return;
        }
        let under_way = self.ops.values().any(
            |op| matches!(op, Op::Accept { list, .. } if list.iter().any(|a| a.spec.id == id)),
        );
        if under_way {
            return;
        }
        let Some(term) = self.my_term(s) else {
            return;
        };
        info!("job {id} found in the store");
        // The whole list again: it is short, and only unknown jobs are taken.
        let loading = self.loads.entry(s).or_insert_with(|| Loading { term, ..Loading::default() });
        loading.after = None;
        loading.listed = false;
    }

    /// Something stored cannot be read, which is told once: it stays as it is.
    pub(super) fn note_unreadable(&mut self, name: &str, what: &str) {
        if self.unreadable.insert(name.to_string()) {
            warn!("{name}: {what}");
        }
    }

    /// A job cannot be read, and its bundle, if it is in one, is kept for it.
    fn leave_unreadable(&mut self, id: &str, what: &str) {
        self.note_unreadable(id, what);
        if let Some(bundle) = self.acceptance.bundled.get(id).cloned() {
            self.unreadable.insert(bundle);
        }
        self.acceptance.unbundle(id);
    }

    fn tend_loads(&mut self) {
        // What changes after a record was read comes by the watch, which must stand.
        let watched = self.follow.get(&Watch::Jobs).is_some_and(|f| f.after.is_some());
        if !self.acting() || !watched {
            return;
        }
        let seats: Vec<usize> = self.loads.keys().copied().collect();
        for s in seats {
            self.tend_load(s);
        }
    }

    fn tend_load(&mut self, s: usize) {
        let now = self.now;
        let Some(l) = self.loads.get_mut(&s) else {
            return;
        };
        if l.busy || now < l.retry {
            return;
        }
        let term = l.term;
        if !l.listed {
            l.busy = true;
            let call = StateCall::List { prefix: format!("w/{s}/"), after: l.after.clone() };
            return self.state(Op::Load { seat: s, term }, call);
        }
        let asked: Vec<String> =
            l.todo.iter().take(LOADS.saturating_sub(l.asked.len())).cloned().collect();
        for job in &asked {
            l.todo.remove(job);
            l.asked.insert(job.clone());
        }
        let finished = l.todo.is_empty() && l.asked.is_empty() && l.stale.is_empty();
        for job in asked {
            let key = job::job_key(&job);
            self.state(Op::LoadJob { seat: s, term, job }, StateCall::Get(key));
        }
        if finished {
            self.loaded(s);
        }
    }

    fn load_reply(&mut self, s: usize, term: u64, reply: StateReply) {
        let now = self.now;
        let known = |id: &str, c: &Controller| c.jobs.contains_key(id);
        let StateReply::Page { items, more, .. } = reply else {
            if let Some(l) = self.loads.get_mut(&s).filter(|l| l.term == term) {
                l.busy = false;
                l.retry = now + Micros::millis(200);
            }
            return;
        };
        let (mut new, mut bundled) = (Vec::new(), Vec::new());
        for i in &items {
            let Some((id, part)) = job::parse_part_key(&i.key) else {
                continue;
            };
            if job::is_bundle(id) {
                if !job::bundle_is_sound(&i.value) {
                    self.note_unreadable(&i.key, "some of its jobs cannot be read");
                }
                let jobs = job::decode_bundle(&i.value).into_iter();
                let unknown = jobs.filter(|(id, _)| !known(id, self));
                bundled.extend(unknown.map(|(id, v)| (id, (i.key.clone(), i.version, v))));
            } else if !known(id, self) {
                new.push((id.to_string(), part, i.clone()));
            }
        }
        let Some(l) = self.loads.get_mut(&s).filter(|l| l.term == term) else {
            return;
        };
        l.busy = false;
        l.after = items.last().map(|i| i.key.clone());
        l.listed = !more || items.is_empty();
        for (id, part, item) in new {
            l.todo.insert(id.clone());
            l.parts.entry(id).or_default().insert(part, (item.value, item.version));
        }
        for (id, found) in bundled {
            l.todo.insert(id.clone());
            l.bundled.insert(id, found);
        }
        self.tend_load(s);
    }

    fn load_job_reply(&mut self, s: usize, term: u64, job: &str, reply: StateReply) {
        let Some(l) = self.loads.get_mut(&s).filter(|l| l.term == term) else {
            return;
        };
        l.asked.remove(job);
        match reply {
            _ if l.stale.remove(job) => {
                l.todo.insert(job.to_string());
            }
            StateReply::Value(item) => {
                let record =
                    item.as_ref().and_then(|i| serde_json::from_value(i.value.clone()).ok());
                let mark = item.map_or(0, |i| i.version);
                l.records.insert(job.to_string(), (record, mark));
            }
            _ => {
                l.todo.insert(job.to_string());
                l.retry = self.now + Micros::millis(150);
                return;
            }
        }
        self.tend_load(s);
    }

    fn loaded(&mut self, s: usize) {
        let Some(mut l) = self.loads.remove(&s) else {
            return;
        };
        // A job's own part 0 is newer than what it was accepted with.
        let mut bundles: BTreeMap<(String, u64), BTreeSet<String>> = BTreeMap::new();
        for (id, (key, version, value)) in l.bundled {
            let jobs = bundles.entry((key, version)).or_default();
            let parts = l.parts.entry(id.clone()).or_default();
            if let Entry::Vacant(first) = parts.entry(0) {
                first.insert((value, 0));
                jobs.insert(id);
            }
        }
        for ((key, version), jobs) in bundles {
            self.acceptance.bundle(&key, s, version, jobs);
        }
        let mut count = 0;
        for (id, parts) in l.parts {
            if self.jobs.contains_key(&id) {
                continue;
            }
            let Some((Some(record), mark)) = l.records.remove(&id) else {
                self.leave_unreadable(&id, "no record that can be read");
                continue;
            };
            self.pipelines.note(&id, &record);
            self.note_known(
                &id,
                Known { stage: record.stage, seat: record.seat, tasks: record.tasks, mark },
            );
            let Some(mut job) = Job::restore(s, mark, self.part_size, &parts) else {
                self.leave_unreadable(&id, "stored tasks cannot be read");
                continue;
            };
            job.fit(self.part_size, self.larger);
            // What was said since its record was read came by the watch.
            let stage = self.known.get(&id).map_or(record.stage, |k| k.stage);
            job.cancelled = stage == StoredStage::Cancelled;
            job.over = stage == StoredStage::Done;
            job.upstream = record.upstream.as_slice().into();
            job.waiting = !job.upstream.is_empty() && stage == StoredStage::Accepted;
            if job.waiting {
                self.pipelines.wait(&id);
            }
            if job.over {
                // What its parts still name has completed; it must not be
                // wanted, and so started, again.
                job.parts.iter_mut().for_each(|p| p.placed.clear());
            }
            count += 1;
            for part in &job.parts {
                for (index, p) in &part.placed {
                    self.by_machine
                        .entry((s, p.machine.clone()))
                        .or_default()
                        .insert((id.clone(), *index));
                }
            }
            self.dirty_jobs.insert(id.clone());
            self.dirty_progress.insert(id.clone());
            self.jobs.insert(id, job);
        }
        let first = match &mut self.seats[s].mine {
            Some(m) if m.term == l.term => !std::mem::replace(&mut m.loaded, true),
            _ => return,
        };
        info!("seat {s} term {}: {count} unfinished jobs read", l.term);
        // The whole of the seat's wants: whatever it does not name is not wanted.
        self.complete_wants.insert(s);
        let machines: Vec<String> = self
            .by_machine
            .keys()
            .filter(|(seat, _)| *seat == s)
            .map(|(_, m)| m.to_string())
            .collect();
        let cancelled: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.seat == s && j.cancelled)
            .map(|(id, _)| id.clone())
            .collect();
        for id in cancelled {
            self.stop_job(&id);
        }
        for m in machines {
            self.touch_slot(&m);
            self.judge_machine(s, &m);
        }
        if first {
            self.place_wanted = true;
        }
    }
}
