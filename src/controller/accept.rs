//! Accepting jobs: one transaction of `j/REF` and `w/S/REF/0` for each.
//!
//! Where more come than this node's share of changes can take one by one, those
//! that wait are accepted together: an `j/REF` each, and one key, a *bundle*, with
//! all their descriptions. What is written of them later: see [`super::bundle`].

use super::job::{self, Job, StoredStage};
use super::pipeline::Fate;
use super::{Controller, Known, Op, Ticket, seat};
use crate::state::{StateCall, StateReply};
use crate::time::Micros;
use crate::wire::{Condition, JobSpec, Refusal, Txn, Write};
use log::info;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// How long after a submission others are expected.
const ACCEPTING: Micros = Micros::millis(500);
/// Changes that an acceptance by itself makes.
pub(super) const ACCEPT_PUTS: usize = 2;
/// A submission that has waited for longer is answered, to be sent again.
const GIVEN_UP: Micros = Micros::millis(2_500);
/// Bytes of a value that is full: some are left for what surrounds the list.
const FULL: f64 = 0.95;
/// Bytes that a job takes in a bundle beside its description, at most.
const PART_BYTES: f64 = 100.0;

/// A submission on its way to the state service.
#[derive(Debug, Clone)]
pub(super) struct Arrival {
    pub ticket: Ticket,
    pub spec: Rc<JobSpec>,
    /// Time of day at which it came.
    pub accepted: Micros,
    came: Micros,
    /// Bytes of its description.
    size: usize,
}

/// Descriptions of jobs accepted together.
#[derive(Debug, Clone)]
pub(super) struct Bundle {
    pub seat: usize,
    pub mark: u64,
    /// Jobs whose description stands nowhere else.
    pub jobs: BTreeSet<String>,
    /// It is being written, read or removed.
    pub busy: bool,
}

/// Submissions that wait, and the bundles that are still needed.
#[derive(Debug, Default)]
pub(super) struct Acceptance {
    waiting: Vec<Arrival>,
    pub bundles: BTreeMap<String, Bundle>,
    /// Where a job's description is, if in a bundle.
    pub bundled: BTreeMap<String, String>,
    count: u64,
}

impl Acceptance {
    /// Submissions that wait for their turn.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether a submission of the job waits.
    pub fn holds(&self, id: &str) -> bool {
        self.waiting.iter().any(|a| a.spec.id == id)
    }

    /// A job's description stands on its own, or the job is over.
    pub fn unbundle(&mut self, id: &str) {
        if let Some(key) = self.bundled.remove(id)
            && let Some(b) = self.bundles.get_mut(&key)
        {
            b.jobs.remove(id);
        }
    }

    /// Takes in a bundle that was read or written.
    pub fn bundle(&mut self, key: &str, seat: usize, mark: u64, jobs: BTreeSet<String>) {
        for id in &jobs {
            self.bundled.insert(id.clone(), key.to_string());
        }
        self.bundles.entry(key.to_string()).or_insert(Bundle { seat, mark, jobs, busy: false });
    }

    /// Forgets what belonged to a seat that is lost.
    fn forget_seat(&mut self, s: usize) {
        self.bundles.retain(|_, b| b.seat != s);
        let kept = &self.bundles;
        self.bundled.retain(|_, key| kept.contains_key(key));
    }
}

impl Controller {
    /// Puts a submission that can be accepted among those that wait.
    pub(super) fn arrive(&mut self, ticket: Ticket, spec: Rc<JobSpec>, size: usize) {
        self.accepting_until = self.now + ACCEPTING;
        let arrival = Arrival { ticket, spec, accepted: self.wall(), came: self.now, size };
        self.acceptance.waiting.push(arrival);
    }

    /// True while submissions wait for their share of changes.
    pub fn accepting(&self) -> bool {
        self.acceptance.len() > 0
    }

    /// Changes that others leave to acceptances: while submissions come, their
    /// users wait for them.
    pub(super) fn accept_reserve(&self) -> f64 {
        if self.now < self.accepting_until { self.puts.burst() / 2.0 } else { 0.0 }
    }

    /// Sends waiting submissions to the state service: one by one while there is
    /// plenty of this node's share, together where there is not.
    pub(super) fn accept_waiting(&mut self) {
        while self.acceptance.len() > 0 {
            let seat = self.accepting_seat();
            let mine = seat.and_then(|s| Some((s, self.seats[s].mine.clone()?)));
            let Some((s, mine)) = mine else {
                return self.refuse_waiting("no seat is held");
            };
            let waiting = self.acceptance.len();
            let level = self.puts.level(self.now);
            let plenty = level >= (waiting * ACCEPT_PUTS) as f64 + self.puts.burst() / 2.0;
            let count = if plenty { 1 } else { self.bundle_size() };
            let puts = if count == 1 { ACCEPT_PUTS } else { count + 1 };
            // No more than what writes of tasks leave: waiting for more, it would
            // wait for ever behind them.
            if level < (puts as f64).min(1.0 + self.accept_reserve()) {
                return;
            }
            let list: Vec<Arrival> = self.acceptance.waiting.drain(..count).collect();
            self.accept(s, &mine, list);
        }
    }

    /// How many of those that wait fit in one transaction and one value.
    fn bundle_size(&self) -> usize {
        let state = &self.settings.state;
        let mut left = state.value_kb * 1024.0 * FULL;
        let share = (self.puts.burst() / 2.0) as usize;
        let most = state.txn_ops.saturating_sub(1).min(share).clamp(1, self.acceptance.len());
        let fits = |a: &&Arrival| {
            left -= a.size as f64 + PART_BYTES;
            left > 0.0
        };
        self.acceptance.waiting[..most].iter().take_while(fits).count().max(1)
    }

    fn accept(&mut self, s: usize, mine: &seat::Mine, list: Vec<Arrival>) {
        let mut txn = Txn {
            conditions: vec![Condition { key: seat::hold_key(s), version: mine.mark }],
            writes: Vec::new(),
        };
        let mut values: Vec<Value> = Vec::new();
        for a in &list {
            let record = self.record_of(s, &a.spec);
            let key = job::job_key(&a.spec.id);
            txn.conditions.push(Condition { key: key.clone(), version: 0 });
            txn.writes.push(Write::Put { key, value: json!(record), lease: None });
            let mut job = Job::new(Rc::clone(&a.spec), s, 0, a.accepted, self.part_size);
            job.parts[0].version = 1;
            values.push(job.encode_part(0));
        }
        let bundle = (list.len() > 1).then(|| {
            self.acceptance.count += 1;
            job::bundle_key(s, mine.term, self.acceptance.count)
        });
        let (key, value) = match (&bundle, values.pop()) {
            (None, Some(one)) => (job::part_key(s, &list[0].spec.id, 0), one),
            (Some(key), Some(last)) => {
                values.push(last);
                (key.clone(), job::encode_bundle(values))
            }
            (_, None) => return,
        };
        txn.conditions.push(Condition { key: key.clone(), version: 0 });
        txn.writes.push(Write::Put { key, value, lease: None });
        self.state(Op::Accept { list, seat: s, term: mine.term, bundle }, StateCall::Txn(txn));
    }

    pub(super) fn accept_reply(
        &mut self,
        list: Vec<Arrival>,
        s: usize,
        term: u64,
        bundle: Option<String>,
        reply: StateReply,
    ) {
        self.submissions = self.submissions.saturating_sub(list.len());
        match reply {
            StateReply::Applied(mark) => {
                // The seat may have been lost meanwhile; whoever has it reads the jobs.
                let held = self.seats[s].mine.as_ref().is_some_and(|m| m.term == term);
                if let Some(key) = bundle.as_ref().filter(|_| held) {
                    let jobs = list.iter().map(|a| a.spec.id.clone()).collect();
                    self.acceptance.bundle(key, s, mark, jobs);
                }
                for a in list {
                    self.accepted(a, s, mark, held, bundle.is_some());
                }
            }
            StateReply::Conflict(failed) => {
                let lost = failed.contains(&seat::hold_key(s));
                if lost {
                    self.suspect_seat(s, term);
                }
                for a in list {
                    let known = failed.contains(&job::job_key(&a.spec.id));
                    if !lost && !known && bundle.is_some() && self.acting() {
                        // Another of them was known already; this one is not.
                        self.submissions += 1;
                        self.acceptance.waiting.push(a);
                        continue;
                    }
                    let otherwise = Refusal::new("undecided");
                    self.read_or(a.ticket, &a.spec.id, 503, Some(1), &otherwise);
                }
            }
            // They may still be applied; the watch then shows the jobs, or has done
            // so already, when it could not be told from the acceptance under way.
            _ => {
                for a in list {
                    let known = self.known.get(&a.spec.id).copied();
                    if let Some(k) = known.filter(|k| k.stage == StoredStage::Accepted) {
                        self.adopt(&a.spec.id, k.seat);
                    }
                    self.later(a.ticket, 503, "state service away");
                }
            }
        }
    }

    fn accepted(&mut self, a: Arrival, s: usize, mark: u64, held: bool, bundled: bool) {
        let spec = a.spec;
        info!(
            "job {} accepted: {} tasks of {}, team {}",
            spec.id, spec.tasks, spec.class, spec.team
        );
        let took = self.now.since(a.came).as_millis();
        log::debug!("job {} was written {took} ms after it had come", spec.id);
        self.counts.accepted += 1;
        self.pipelines.note_all(&spec.id, &spec.upstream);
        let known = Known { stage: StoredStage::Accepted, seat: s, tasks: spec.tasks, mark };
        self.note_known(&spec.id, known);
        let cancelled = self.known.get(&spec.id).is_some_and(|k| k.stage == StoredStage::Cancelled);
        if held && !self.jobs.contains_key(&spec.id) {
            let mut job = Job::new(Rc::clone(&spec), s, mark, a.accepted, self.part_size);
            let part = &mut job.parts[0];
            // In a bundle it has no key of its own yet.
            (part.version, part.stored) = (1, 1);
            part.mark = if bundled { 0 } else { mark };
            job.cancelled = cancelled;
            if job.waiting {
                self.pipelines.wait(&spec.id);
            }
            self.dirty_jobs.insert(spec.id.clone());
            self.jobs.insert(spec.id.clone(), job);
            self.place_wanted = true;
        }
        // Others may have said more of it while the answer was on its way here.
        let known = self.known.get(&spec.id).copied().unwrap_or(known);
        if known.stage == StoredStage::Accepted && self.fate_of(&spec.id) == Fate::Waits {
            // Nobody can have been told more of it: it was accepted just now.
            let answer = self.job_answer(&spec.id, known);
            return self.respond(a.ticket, 201, None, &answer);
        }
        self.tell(a.ticket, 201, &spec.id, known);
    }

    /// Answers submissions that have waited for too long, or that nothing can
    /// be done for: their users are told when to come back.
    pub(super) fn tend_waiting(&mut self) {
        if !self.acting() {
            return self.refuse_waiting("state service away");
        }
        let now = self.now;
        let over = |a: &Arrival| now.since(a.came) > GIVEN_UP;
        let (late, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.acceptance.waiting).into_iter().partition(over);
        self.acceptance.waiting = rest;
        for a in late {
            self.submissions = self.submissions.saturating_sub(1);
            self.later(a.ticket, 429, "too many submissions wait");
        }
    }

    fn refuse_waiting(&mut self, why: &str) {
        for a in std::mem::take(&mut self.acceptance.waiting) {
            self.submissions = self.submissions.saturating_sub(1);
            self.later(a.ticket, 503, why);
        }
    }

    /// A seat is lost, and what it had accepted is another's to remember.
    pub(super) fn lose_bundles(&mut self, s: usize) {
        self.acceptance.forget_seat(s);
    }

    /// Removes a bundle that no job needs any more, when nothing urgent waits.
    pub(super) fn drop_bundle(&mut self) {
        let unreadable = &self.unreadable;
        let idle =
            |key: &str, b: &Bundle| b.jobs.is_empty() && !b.busy && !unreadable.contains(key);
        let found = self.acceptance.bundles.iter_mut().find(|(key, b)| idle(key, b));
        let Some((key, b)) = found else {
            return;
        };
        let Some(mine) = self.seats[b.seat].mine.as_ref().filter(|m| m.loaded) else {
            return;
        };
        b.busy = true;
        let txn = Txn {
            conditions: vec![
                Condition { key: seat::hold_key(b.seat), version: mine.mark },
                Condition { key: key.clone(), version: b.mark },
            ],
            writes: vec![Write::Delete { key: key.clone() }],
        };
        let op = Op::DropBundle { key: key.clone(), term: mine.term };
        self.state(op, StateCall::Txn(txn));
    }

    pub(super) fn bundle_reply(&mut self, key: &str, term: u64, reply: StateReply) {
        let Some(b) = self.acceptance.bundles.get_mut(key) else {
            return;
        };
        b.busy = false;
        let s = b.seat;
        match reply {
            StateReply::Applied(_) => {
                self.acceptance.bundles.remove(key);
            }
            StateReply::Conflict(failed) if failed.contains(&seat::hold_key(s)) => {
                self.suspect_seat(s, term);
            }
            // An earlier try was applied after all.
            StateReply::Conflict(_) => {
                self.acceptance.bundles.remove(key);
            }
            _ => {}
        }
    }
}
