//! Lease, seats and watches: how this process learns what it may do.

use super::seat::{self, Mine, Seat};
use super::seat_loading::Loading;
use super::watches::prefix;
use super::{Controller, Op, Watch};
use crate::state::{StateCall, StateReply};
use crate::time::Micros;
use crate::wire::Item;
use log::{info, warn};
use rand::RngExt;
use std::collections::BTreeSet;

/// How long a watch waits for changes.
const BLOCK: Micros = Micros::secs(20);

impl Controller {
    pub(super) fn maintain_seats(&mut self) {
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
                self.maintain_seat(s);
            }
        }
        self.continue_loads();
    }

    fn maintain_seat(&mut self, s: usize) {
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
            // the home is observed to be well, and not all at the same moment.
            let wait = if s == self.me {
                Micros::ZERO
            } else {
                let rank = (self.me + self.seats.len() - s) % self.seats.len();
                let well = |p: &super::PeerInfo| p.state_ok && !p.cut_off;
                let home_well = self.peer_alive(s) && self.peers.get(&s).is_some_and(well);
                let base = if home_well { Micros::millis(2_000) } else { Micros::millis(200) };
                base + Micros::millis(rank as u64 * 250)
            };
            // One who cannot reach its workers leaves it to anybody else.
            let wait = if self.connectivity.cut_off() { wait + Micros::secs(5) } else { wait };
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
        self.jobs.retain(|_, j| j.seat != s);
        self.by_machine.retain(|(seat, _), _| *seat != s);
        self.forget_batches(s);
        self.changes.desired.retain(|(seat, _)| *seat != s);
        self.changes.complete_desired.remove(&s);
        let seats = self.seats.len();
        self.managed_machines.retain(|m, _| seat::seat_of_machine(m, seats) != s);
        self.changes.machines.retain(|m| seat::seat_of_machine(m, seats) != s);
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
        // Machines that some seat wants tasks on: each is unknown until it
        // reports under the new term, or has been silent for a whole lease.
        let machines: BTreeSet<String> = self
            .desired
            .iter()
            .flat_map(|w| w.machines.iter())
            .filter(|(_, m)| !m.tasks.is_empty())
            .map(|(m, _)| m.clone())
            .filter(|m| self.seat_of_machine(m) == s)
            .collect();
        for m in machines {
            self.managed_machines.entry(m.clone()).or_default();
            self.changes.machines.insert(m);
        }
        // Where they are is known from the views of the earlier holder, or
        // from a peer that had received them.
        for v in self.views.values().filter(|v| !v.address.is_empty()) {
            if let Ok(address) = v.address.parse() {
                self.hints.entry(v.machine.clone()).or_insert((v.session, address));
            }
        }
        let ours: Vec<String> =
            self.hints.keys().filter(|m| self.seat_of_machine(m) == s).cloned().collect();
        self.probes.extend(ours);
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

    pub(super) fn see_hold(&mut self, s: usize, item: Option<&Item>) {
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
}
