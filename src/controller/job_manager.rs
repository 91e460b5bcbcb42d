//! The jobs of this process's seats: what became of their tasks, what is
//! written down, and what is therefore wanted on machines.

use super::estimate::Estimates;
use super::job::{self, Job, JobRecord, Placement, StoredStage};
use super::seat;
use super::{Controller, Known, Op};
use crate::peer::{Frame, MachineView, Phase, Preempt, Seen, Shape, WantedTask, Wants};
use crate::state::{StateCall, StateReply};
use crate::time::Micros;
use crate::wire::{Condition, Txn, Write};
use log::{info, warn};
use serde_json::json;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Parts in one transaction: with 8 KiB values more would pass 64 KiB, and one
/// large job's would hold up all others.
const PARTS_PER_TXN: usize = 4;
/// Writes of tasks under way at once. What changes meanwhile is written together.
const STORES: usize = 3;
/// Refusals without a start between them after which a job waits a little.
const REFUSED_IN_A_ROW: u32 = 16;
/// Ends of tasks that have waited for longer are written like starts.
const OVERDUE: Micros = Micros::secs(10);
/// How long ends of tasks may wait for others to be written with.
const LAZY: Micros = Micros::millis(2_500);
/// How often the desired state is repeated for tasks that have not been seen for as long.
const REMIND: Micros = Micros::secs(8);

/// How urgently a job's changes are to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WriteUrgency {
    /// Starts, or the end of a whole job, wait for it.
    Now,
    /// Ends of tasks, and what is left of jobs that are over.
    Later,
    /// Not yet.
    None,
}

impl Controller {
    /// Looks at all tasks of a seat on a machine.
    pub(super) fn evaluate_machine(&mut self, s: usize, machine: &str) {
        if !self.runs(s) {
            return;
        }
        let Some(tasks) = self.by_machine.get(&(s, Rc::from(machine))).cloned() else {
            return;
        };
        for (job, index) in &tasks {
            self.evaluate_task(job, *index);
        }
    }

    /// Looks at all own tasks: what was heard while this process might not act has
    /// been taken in, and nobody has drawn its conclusions.
    pub(super) fn evaluate_all(&mut self) {
        let all: Vec<(usize, Rc<str>)> = self.by_machine.keys().cloned().collect();
        for (s, machine) in all {
            self.evaluate_machine(s, &machine);
        }
    }

    /// Works out what became of a task from what its machine's seat says.
    fn evaluate_task(&mut self, id: &str, index: u32) {
        let Some(term) = self.jobs.get(id).and_then(|j| self.my_term(j.seat)) else {
            return;
        };
        let (now, wall) = (self.now, self.wall());
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let s = job.seat;
        let Some(part) = job.part_of(index) else {
            return;
        };
        let Some(p) = part.placed.get_mut(&index) else {
            return;
        };
        let machine = Rc::clone(&p.machine);
        if self.terminated.contains(&*machine) {
            self.counts.lost += 1;
            return self.end_task(id, index, Seen::Stopped);
        }
        // A view of an earlier holder proves nothing any more: the present one
        // may begin what that one had refused.
        let here = self.seats[super::seat::seat_of_machine(&machine, self.seats.len())].term;
        let Some(view) = self.views.get(&*machine).filter(|v| v.term == here) else {
            return;
        };
        let ended = if view.over_through >= p.session || view.vanished || view.session > p.session {
            // Its session is surely over, and everything in it.
            self.counts.lost += 1;
            Some(Seen::Stopped)
        } else if !view.known || view.session != p.session {
            None
        } else {
            let found = view
                .tasks
                .iter()
                .find(|t| t.attempt == p.attempt && t.index == index && t.job == id)
                .map(|t| t.seen());
            match found {
                Some(seen) if seen.over() => Some(seen),
                Some(seen) => {
                    if p.seen != Some(seen) {
                        p.seen = Some(seen);
                        if seen == Seen::Running && p.running_since.is_none() {
                            let took = wall.since(p.at);
                            let began = if p.restored { now.since(took) } else { now };
                            p.running_since = Some(began);
                            let took = took.as_millis();
                            log::debug!("task {id}/{index} runs on {machine} after {took} ms");
                            job.refused = 0;
                        }
                        self.changes.progress.insert(id.to_string());
                    }
                    None
                }
                // Absence proves something only once the machine's seat has
                // heard that the task is not wanted: until then it may be
                // about to send the start.
                None => {
                    let heard = view.heard.iter().find(|h| h.seat as usize == s);
                    let stopped = p
                        .stop_seq
                        .is_some_and(|q| heard.is_some_and(|h| h.term == term && h.seq >= q));
                    stopped.then_some(Seen::Stopped)
                }
            }
        };
        match ended {
            Some(seen) => self.end_task(id, index, seen),
            None => self.handle_spot_notice(id, index),
        }
    }

    /// A spot machine is about to be taken: tasks that can save do so, tasks
    /// that cannot end in time move at once, the others may still end.
    fn handle_spot_notice(&mut self, id: &str, index: u32) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let spec = Rc::clone(&job.spec);
        let correction = self.estimates.correction(&spec.class);
        let typical =
            job.usual_run().unwrap_or_else(|| Micros::from_secs_f64(spec.estimate_s * correction));
        let Some(p) = job.part_of(index).and_then(|part| part.placed.get_mut(&index)) else {
            return;
        };
        if p.stop.is_some() {
            return;
        }
        let Some(left) = self.views.get(&*p.machine).and_then(|v| v.notice_ms) else {
            return;
        };
        let left = Micros::millis(left);
        let ran = p.running_since.map_or(Micros::ZERO, |at| now.since(at));
        // One that has run for longer than usual is a long one: nothing says
        // that it ends now.
        let ends_in = match p.running_since {
            Some(_) if ran < typical => typical.since(ran),
            Some(_) => Micros(ran.0 / 2),
            None => Micros::FAR,
        };
        if ends_in + Micros::secs(2) < left {
            return;
        }
        let save = Micros::from_secs_f64(spec.save_s);
        let grace = if spec.checkpoint_s > 0.0 && save < left {
            save + Micros::secs(1)
        } else {
            Micros::ZERO
        };
        p.stop = Some(grace);
        let machine = Rc::clone(&p.machine);
        let s = job.seat;
        self.touch_slot(&machine);
        self.changes.desired.insert((s, machine));
    }

    /// Asks for a task to be stopped.
    pub(super) fn stop_task(&mut self, id: &str, index: u32, grace: Micros) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let s = job.seat;
        let Some(p) = job.part_of(index).and_then(|part| part.placed.get_mut(&index)) else {
            return;
        };
        if p.stop.is_some_and(|g| g <= grace) {
            return;
        }
        p.stop = Some(grace);
        let machine = Rc::clone(&p.machine);
        self.touch_slot(&machine);
        self.changes.desired.insert((s, machine));
    }

    /// One of our tasks is to make room for a more urgent one.
    pub(super) fn preempt_task(&mut self, t: &Preempt) {
        let Some(job) = self.jobs.get_mut(&t.job) else {
            return;
        };
        let saves = t.save && job.spec.checkpoint_s > 0.0;
        let grace = if saves {
            Micros::from_secs_f64(job.spec.save_s) + Micros::secs(1)
        } else {
            // At once: what it has saved by itself is kept.
            Micros::ZERO
        };
        let there = job
            .part_of(t.index)
            .and_then(|p| p.placed.get(&t.index))
            .is_some_and(|p| p.attempt == t.attempt && p.stop.is_none());
        if there {
            self.counts.preempted += 1;
            self.stop_task(&t.job, t.index, grace);
        }
    }

    /// Stops everything of a cancelled job.
    pub(super) fn stop_job(&mut self, id: &str) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let placed: Vec<u32> = job.parts.iter().flat_map(|p| p.placed.keys().copied()).collect();
        for index in placed {
            self.stop_task(id, index, Micros::ZERO);
        }
        self.changes.jobs.insert(id.to_string());
    }

    /// A job's user has cancelled it: on some node, perhaps this one.
    pub(super) fn job_cancelled(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id)
            && !job.cancelled
            && !job.over
        {
            job.cancelled = true;
            self.counts.cancelled += 1;
            self.stop_job(id);
            self.place_wanted = true;
        }
    }

    /// A machine is known to be terminated, with everything on it.
    pub(super) fn machine_terminated(&mut self, machine: &str) {
        if !self.terminated.insert(machine.to_string()) {
            return;
        }
        info!("machine {machine} is gone");
        while self.terminated.len() > 5_000 {
            // Names rise with time, so the first is the oldest.
            self.terminated.pop_first();
        }
        self.posts.remove(machine);
        self.views.remove(machine);
        self.touch_slot(machine);
        self.changes.machines.remove(machine);
        self.fleet.forget(machine);
        for s in 0..self.seats.len() {
            self.evaluate_machine(s, machine);
        }
        self.place_wanted = true;
    }

    fn end_task(&mut self, id: &str, index: u32, seen: Seen) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(p) = job.end(index, seen == Seen::Done) else {
            return;
        };
        log::debug!("task {id}/{index} ended on {}: {seen:?}", p.machine);
        let machine = Rc::clone(&p.machine);
        match seen {
            Seen::Done => {
                job.note_success();
                if let Some(at) = p.running_since {
                    let ran = now.since(at);
                    let estimate = job.spec.estimate_s;
                    if estimate > 0.0 {
                        self.estimates.learn(&job.spec.class, ran.as_secs_f64() / estimate);
                    }
                    job.note_run(ran);
                }
            }
            Seen::Failed => {
                self.counts.failed += 1;
                info!("task {id}/{index} failed on {}", p.machine);
                job.note_failure(now, &p.machine);
            }
            Seen::Refused => {
                job.refused += 1;
                if job.refused >= REFUSED_IN_A_ROW {
                    job.not_before = job.not_before.max(now + Micros::millis(100));
                }
            }
            _ => {}
        }
        job.lazy_since.get_or_insert(now);
        let s = job.seat;
        self.changes.jobs.insert(id.to_string());
        self.changes.progress.insert(id.to_string());
        self.changes.desired.insert((s, Rc::clone(&machine)));
        self.touch_slot(&machine);
        self.place_wanted = true;
    }

    /// Times out what waits for nothing else.
    pub(super) fn tend_jobs(&mut self) {
        if !self.acting() {
            return;
        }
        // Notices run down between reports.
        let noticed: Vec<String> = self
            .views
            .iter()
            .filter(|(_, v)| v.notice_ms.is_some())
            .map(|(m, _)| m.clone())
            .collect();
        for m in noticed {
            for s in 0..self.seats.len() {
                self.evaluate_machine(s, &m);
            }
        }
    }

    /// Says again what is wanted of tasks that nobody has seen for long. Messages
    /// between controllers need no answers, and one that was lost unnoticed would
    /// leave its task, and its part of the team's limit, waiting for ever.
    pub(super) fn repeat_unobserved(&mut self) {
        if !self.acting() || self.now < self.timers.reminder {
            return;
        }
        self.timers.reminder = self.now + REMIND;
        let wall = self.wall();
        let unseen = |p: &Placement| p.seen.is_none() && wall.since(p.at) > REMIND;
        let mut machines: Vec<(usize, Rc<str>)> = Vec::new();
        for job in self.jobs.values() {
            let placed = job.parts.iter().flat_map(|part| part.placed.values());
            machines.extend(placed.filter(|p| unseen(p)).map(|p| (job.seat, p.machine.clone())));
        }
        self.changes.desired.extend(machines);
    }

    /// Reads again how a job stands in the store.
    pub(super) fn recheck(&mut self, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.busy {
            return;
        }
        let Some(term) = self.seats[job.seat].mine.as_ref().map(|m| m.term) else {
            return;
        };
        job.busy = true;
        let op = Op::Recheck { job: id.to_string(), term };
        self.state(op, StateCall::Get(job::job_key(id)));
    }

    /// Begins transactions for jobs with changes: starts that wait for their
    /// write and ends of whole jobs first, by rank; what nobody waits for later,
    /// together, and only from a share that is not needed for the others.
    pub(super) fn store_dirty(&mut self) {
        if self.puts.level(self.now) > 1.0 + self.puts.burst() / 2.0 {
            self.drop_batch();
        }
        if self.changes.jobs.is_empty() || self.stores >= STORES || !self.acting() {
            return;
        }
        let now = self.now;
        let level = self.puts.level(now);
        let accepting = self.admission_reserve();
        let mut order: Vec<(WriteUrgency, u32, Micros, String)> = Vec::new();
        for id in &self.changes.jobs {
            let Some(job) = self.jobs.get(id) else {
                order.push((WriteUrgency::Now, 0, Micros::ZERO, id.clone()));
                continue;
            };
            if !job.busy {
                let urgency = job.urgency(now);
                if urgency != WriteUrgency::None {
                    order.push((urgency, job.rank(), job.accepted, id.clone()));
                }
            }
        }
        order.sort();
        for (urgency, _, _, id) in order {
            // What waits here joins the next write; in the queue of calls it
            // would be written as it was.
            let least = match urgency {
                WriteUrgency::Now => 1.0 + accepting,
                _ => 1.0 + accepting + self.puts.burst() / 2.0,
            };
            if self.stores >= STORES || level.min(self.puts.level(now)) < least {
                return;
            }
            self.store(&id, urgency);
        }
    }

    fn store(&mut self, id: &str, urgency: WriteUrgency) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            self.changes.jobs.remove(id);
            return;
        };
        let s = job.seat;
        if job.busy {
            return;
        }
        // A seat that is being handed over waits for its writes, so none begins.
        let ready = |m: &&super::seat::Mine| m.loaded && !m.releasing;
        let Some(mine) = self.seats[s].mine.as_ref().filter(ready) else {
            return;
        };
        let (hold, term) = (mine.mark, mine.term);
        if self.stays_batched(id) && self.store_batch(id) {
            return;
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let most = self.settings.state.txn_ops.min(PARTS_PER_TXN);
        // What is larger is refused once the state service has its new limits.
        let limit =
            self.larger.map_or(self.settings.state.value_kb, |_| self.settings.state.value_kb_now);
        let limit = (limit * 1024.0) as usize;
        let lowered = self.settings.state.next.is_some();
        if job.cancelled && !job.over {
            // Its ends need not be stored: nothing of it is ever started again.
            for part in &mut job.parts {
                part.releasing.clear();
            }
            if job.booked() > 0 {
                self.refresh_desired_state(id);
                self.changes.jobs.remove(id);
                return;
            }
            job.over = true;
        }
        let mut txn = Txn {
            conditions: vec![Condition { key: seat::hold_key(s), version: hold }],
            writes: Vec::new(),
        };
        let record = job::job_key(id);
        let (mut parts, mut drops, mut done) = (Vec::new(), Vec::new(), false);
        let mut rest = false;
        if !job.over && job.complete() {
            done = true;
            let value = JobRecord {
                seat: s,
                stage: StoredStage::Done,
                tasks: job.spec.tasks,
                upstream: Vec::new(),
                more: 0,
            };
            txn.conditions.push(Condition { key: record.clone(), version: job.mark });
            txn.writes.push(Write::Put { key: record, value: json!(value), lease: None });
            // Its parts are dropped later, when nothing urgent waits.
            rest = true;
        } else if job.over {
            for (n, part) in job.parts.iter().enumerate().rev() {
                if part.mark > 0 && txn.writes.len() < most {
                    drops.push(n);
                    let key = job::part_key(s, id, n);
                    txn.conditions.push(Condition { key: key.clone(), version: part.mark });
                    txn.writes.push(Write::Delete { key });
                }
            }
            if drops.is_empty() {
                self.forget_job(id);
                return;
            }
        } else {
            txn.conditions.push(Condition { key: record, version: job.mark });
            let fresh = urgency == WriteUrgency::Now && job.fresh_parts() > 0;
            let changed = |p: &job::Part| p.version > p.stored;
            let mut order: Vec<usize> = Vec::new();
            for (n, part) in job.parts.iter().enumerate().filter(|(_, p)| changed(p)) {
                if !fresh || part.fresh() || part.mostly_ended() {
                    order.push(n);
                } else {
                    rest = true;
                }
            }
            order.sort_by_key(|n| !job.parts[*n].fresh());
            rest |= order.len() > most;
            for n in order.into_iter().take(most) {
                let part = &job.parts[n];
                let key = job::part_key(s, id, n);
                let value = job.encode_part(n);
                if lowered && value.to_string().len() > limit {
                    // Of a time with larger values: nothing more is placed in it, and
                    // it is written once enough of it has ended.
                    log::debug!("part {n} of job {id} is too large to be written yet");
                    continue;
                }
                parts.push((n, part.version));
                txn.conditions.push(Condition { key: key.clone(), version: part.mark });
                txn.writes.push(Write::Put { key, value, lease: None });
            }
            if parts.is_empty() {
                if !rest {
                    self.changes.jobs.remove(id);
                }
                return;
            }
        }
        job.busy = true;
        job.lazy_since = rest.then(|| job.lazy_since.unwrap_or(now));
        if !rest {
            self.changes.jobs.remove(id);
        }
        self.stores += 1;
        let op = Op::Store { job: id.to_string(), term, parts, done, drops };
        self.state(op, StateCall::Txn(txn));
    }

    /// The state service refuses values that it took before: it has its new limits.
    fn limits_lowered(&mut self) {
        info!("the state service takes only smaller values from now on");
        self.larger = None;
        let size = self.part_size;
        self.jobs.values_mut().for_each(|j| j.fit(size, None));
    }

    fn forget_job(&mut self, id: &str) {
        self.changes.jobs.remove(id);
        self.refresh_desired_state(id);
        self.admission.unbatch(id);
        if let Some(job) = self.jobs.remove(id) {
            let machines: Vec<(usize, Rc<str>)> = self
                .by_machine
                .iter()
                .filter(|((s, _), tasks)| *s == job.seat && tasks.iter().any(|(j, _)| j == id))
                .map(|(k, _)| k.clone())
                .collect();
            for key in machines {
                if let Some(tasks) = self.by_machine.get_mut(&key) {
                    tasks.retain(|(j, _)| j != id);
                    if tasks.is_empty() {
                        self.by_machine.remove(&key);
                    }
                }
                self.changes.desired.insert(key);
            }
        }
    }

    /// Marks the desired state of every machine that has tasks of the job.
    fn refresh_desired_state(&mut self, id: &str) {
        let Some(seat) = self.jobs.get(id).map(|j| j.seat) else {
            return;
        };
        let keys: Vec<(usize, Rc<str>)> = self
            .by_machine
            .iter()
            .filter(|((s, _), tasks)| *s == seat && tasks.iter().any(|(j, _)| j == id))
            .map(|(k, _)| k.clone())
            .collect();
        self.changes.desired.extend(keys);
    }

    pub(super) fn store_reply(&mut self, op: Op, reply: StateReply) {
        if matches!(op, Op::Store { .. }) {
            self.stores = self.stores.saturating_sub(1);
        }
        let (Op::Store { job: id, term, .. }
        | Op::Recheck { job: id, term }
        | Op::RecheckParts { job: id, term, .. }) = &op
        else {
            return;
        };
        let id = id.clone();
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let s = job.seat;
        // A reply to an earlier holding of the seat says nothing about this one.
        if self.seats[s].mine.as_ref().is_none_or(|m| m.term != *term) {
            return;
        }
        job.busy = false;
        self.changes.jobs.insert(id.clone());
        match (op, reply) {
            (Op::Store { parts, done, drops, .. }, StateReply::Applied(mark)) => {
                self.stored(&id, mark, &parts, done, &drops);
            }
            (Op::Store { term, .. }, StateReply::Conflict(failed)) => {
                if failed.contains(&seat::hold_key(s)) {
                    self.suspect_seat(s, term);
                } else {
                    self.recheck(&id);
                }
            }
            (Op::Store { .. }, StateReply::Refused) => {}
            (Op::Store { .. }, StateReply::Invalid) if self.larger.is_some() => {
                self.limits_lowered();
                self.recheck(&id);
            }
            // It may have been applied, or may be later: what is stored decides,
            // and a late one fails on the parts' marks.
            (Op::Store { .. }, _) => self.recheck(&id),
            (Op::Recheck { term, .. }, StateReply::Value(Some(item))) => {
                let Ok(r) = serde_json::from_value::<JobRecord>(item.value) else {
                    warn!("unreadable record of job {id}");
                    return;
                };
                let mark = item.version;
                let known = Known { stage: r.stage, seat: r.seat, tasks: r.tasks, mark };
                self.pipelines.note(&id, &r);
                self.note_known(&id, known);
                match r.stage {
                    StoredStage::Cancelled => self.job_cancelled(&id),
                    StoredStage::Done => {
                        if let Some(job) = self.jobs.get_mut(&id) {
                            job.over = true;
                        }
                    }
                    StoredStage::Accepted => {}
                }
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.mark = item.version;
                    job.busy = true;
                    let op = Op::RecheckParts { job: id.clone(), term, read: BTreeMap::new() };
                    let prefix = format!("w/{s}/{id}/");
                    self.state(op, StateCall::List { prefix, after: None });
                }
            }
            (Op::RecheckParts { term, mut read, .. }, StateReply::Page { items, more, .. }) => {
                for item in &items {
                    if let Some((_, n)) = job::parse_part_key(&item.key) {
                        let v = item.value.get("v").and_then(serde_json::Value::as_u64);
                        read.insert(n, (v.unwrap_or(0), item.version));
                    }
                }
                match items.last().filter(|_| more) {
                    // A mark missed on a further page would fail every write.
                    Some(last) => {
                        if let Some(job) = self.jobs.get_mut(&id) {
                            job.busy = true;
                        }
                        let after = Some(last.key.clone());
                        let op = Op::RecheckParts { job: id.clone(), term, read };
                        let prefix = format!("w/{s}/{id}/");
                        self.state(op, StateCall::List { prefix, after });
                    }
                    None => self.parts_read(&id, &read),
                }
            }
            (Op::Recheck { .. } | Op::RecheckParts { .. }, _) => self.recheck_later(&id),
            _ => {}
        }
    }

    /// A recheck failed. The job's next write would fail on its marks and so
    /// lead here again; nothing is lost by trying that.
    fn recheck_later(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.not_before = job.not_before.max(self.now + Micros::millis(200));
        }
    }

    /// Takes in the stored versions and marks of all of a job's parts.
    fn parts_read(&mut self, id: &str, stored: &BTreeMap<usize, (u64, u64)>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let mut applied: Vec<(usize, u64)> = Vec::new();
        let mut marks: Vec<(usize, u64)> = Vec::new();
        for (n, part) in job.parts.iter_mut().enumerate() {
            match stored.get(&n) {
                Some((v, mark)) => {
                    marks.push((n, *mark));
                    if *v > part.stored && *v <= part.version {
                        applied.push((n, *v));
                    }
                }
                None => part.mark = 0,
            }
        }
        for (n, mark) in marks {
            job.parts[n].mark = mark;
        }
        for (n, v) in applied {
            let mark = self.jobs.get(id).map_or(0, |j| j.parts[n].mark);
            self.stored(id, mark, &[(n, v)], false, &[]);
        }
    }

    /// Changes are stored: they may now be acted on. The mark is 0 in a batch.
    pub(super) fn stored(
        &mut self,
        id: &str,
        mark: u64,
        parts: &[(usize, u64)],
        done: bool,
        drops: &[usize],
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let s = job.seat;
        let mut touched: Vec<(Rc<str>, u32)> = Vec::new();
        for (n, version) in parts {
            let part = &mut job.parts[*n];
            let before = part.stored;
            part.stored = (*version).max(before);
            part.mark = mark;
            let fresh = part.placed.iter().filter(|(_, p)| p.version > before);
            touched.extend(fresh.map(|(i, p)| (Rc::clone(&p.machine), *i)));
            let stored = part.stored;
            let ended = part.releasing.iter().filter(|(v, _, _)| *v <= stored);
            touched.extend(ended.map(|(_, i, p)| (Rc::clone(&p.machine), *i)));
            part.releasing.retain(|(v, _, _)| *v > stored);
        }
        for n in drops {
            job.parts[*n].mark = 0;
        }
        // Without a mark it was written in the batch, where it stays.
        if mark > 0 && parts.iter().any(|(n, _)| *n == 0) {
            self.admission.unbatch(id);
        }
        if done {
            info!("job {id} done: {} tasks", job.spec.tasks);
            job.over = true;
            self.counts.done += 1;
            for part in &mut job.parts {
                for (_, i, p) in part.releasing.drain(..) {
                    touched.push((p.machine, i));
                }
            }
            let tasks = job.spec.tasks;
            let known = Known { stage: StoredStage::Done, seat: s, tasks, mark };
            self.note_known(id, known);
        }
        for (machine, index) in touched {
            self.unlink(id, index, &machine);
            self.changes.desired.insert((s, machine));
        }
    }

    /// Removes a task from its machine's list once nothing of it is left there.
    fn unlink(&mut self, id: &str, index: u32, machine: &Rc<str>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let s = job.seat;
        let Some(part) = job.part_of(index) else {
            return;
        };
        let here = part.placed.get(&index).is_some_and(|p| p.machine == *machine)
            || part.releasing.iter().any(|(_, i, p)| *i == index && p.machine == *machine);
        if here {
            return;
        }
        let key = (s, Rc::clone(machine));
        if let Some(tasks) = self.by_machine.get_mut(&key) {
            tasks.remove(&(id.to_string(), index));
            if tasks.is_empty() {
                self.by_machine.remove(&key);
            }
        }
    }

    /// What a seat wants on a machine, by what is stored.
    fn desired_on(&mut self, s: usize, machine: &Rc<str>, seq: u64) -> Vec<WantedTask> {
        let Some(tasks) = self.by_machine.get(&(s, Rc::clone(machine))).cloned() else {
            return Vec::new();
        };
        let mut list = Vec::new();
        for (id, index) in tasks {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let shape = job.shape(expected_s(job, &self.estimates));
            let Some(part) = job.part_of(index) else {
                continue;
            };
            let stored = part.stored;
            let wanted = |p: &Placement, phase: Phase| WantedTask {
                shape: Rc::clone(&shape),
                index,
                attempt: p.attempt,
                session: p.session,
                stop_ms: p.stop.map(Micros::as_millis),
                placed_s: p.at.0 / 1_000_000,
                phase: phase as i32,
            };
            // Nothing is asked for before it is written down: a start that
            // nobody remembers could run beside the next one. Its room is
            // booked from the decision on.
            if let Some(p) = part.placed.get_mut(&index)
                && p.machine == *machine
            {
                if p.stop.is_some() {
                    p.stop_seq.get_or_insert(seq);
                }
                let phase = if p.version <= stored { Phase::Wanted } else { Phase::Ahead };
                list.push(wanted(p, phase));
            }
            for (_, i, p) in &part.releasing {
                if *i == index && p.machine == *machine && p.version <= stored {
                    list.push(wanted(p, Phase::Over));
                }
            }
        }
        list
    }

    /// Sends what has changed in the desired state of own seats, to the own machine
    /// manager first.
    pub(super) fn send_desired_state(&mut self, frame: &mut Frame) {
        let mut changed: BTreeMap<usize, (bool, Vec<Rc<str>>)> = BTreeMap::new();
        for s in std::mem::take(&mut self.changes.complete_desired) {
            let all = self.by_machine.keys().filter(|(seat, _)| *seat == s);
            changed.insert(s, (true, all.map(|(_, m)| Rc::clone(m)).collect()));
        }
        for (s, m) in std::mem::take(&mut self.changes.desired) {
            let (complete, machines) = changed.entry(s).or_default();
            if !*complete {
                machines.push(m);
            }
        }
        if std::mem::take(&mut self.changes.known_terms) {
            for s in 0..self.seats.len() {
                changed.entry(s).or_default();
            }
        }
        for (s, (complete, machines)) in changed {
            let (Some(term), true) = (self.my_term(s), self.runs_or_releases(s)) else {
                continue;
            };
            self.seq += 1;
            let seq = self.seq;
            let machines =
                machines.iter().map(|m| (m.to_string(), 0, self.desired_on(s, m, seq))).collect();
            let terms: Vec<u64> = self.seats.iter().map(|s| s.term).collect();
            let knows = terms.clone();
            let desired = Wants { seat: s, term, seq, complete, machines, terms, knows };
            frame.wants.push(desired.to_message());
            self.apply_desired_state(desired);
        }
    }

    fn runs_or_releases(&self, s: usize) -> bool {
        self.seats[s].mine.as_ref().is_some_and(|m| m.loaded)
    }

    /// Takes in a view of a machine.
    pub(super) fn apply_view(&mut self, view: MachineView) {
        let h = self.seat_of_machine(&view.machine);
        if self.terminated.contains(&view.machine) || view.term < self.seats[h].term {
            return;
        }
        if let Some(old) = self.views.get(&view.machine)
            && (view.term, view.seq) <= (old.term, old.seq)
        {
            return;
        }
        let now = self.now;
        let old = self.views.get(&view.machine).filter(|old| old.session == view.session);
        for t in &view.tasks {
            // What was there already has been noted.
            let there = old.is_some_and(|old| old.tasks.contains(t));
            if !there && matches!(t.seen(), Seen::Running | Seen::Saving | Seen::Done) {
                let image = self
                    .desired
                    .iter()
                    .filter_map(|w| w.machines.get(&view.machine))
                    .flat_map(|m| &m.tasks)
                    .find(|w| w.index == t.index && w.attempt == t.attempt && w.job == t.job)
                    .map(|w| &w.image);
                if let Some(image) = image {
                    self.images.note(now, image, &view.machine, view.session);
                }
            }
        }
        let machine = view.machine.clone();
        self.views.insert(machine.clone(), view);
        self.touch_slot(&machine);
        for s in 0..self.seats.len() {
            self.evaluate_machine(s, &machine);
        }
        self.place_wanted = true;
    }
}

/// Seconds that a job's tasks are expected to run: what its completed ones
/// took, or its owner's estimate, corrected.
pub(super) fn expected_s(job: &Job, estimates: &Estimates) -> f64 {
    match job.usual_run() {
        Some(run) => run.as_secs_f64(),
        None => job.spec.estimate_s * estimates.correction(&job.spec.class),
    }
}

impl Job {
    /// What its tasks have in common; the same as long as nothing of it changes.
    fn shape(&mut self, expected_s: f64) -> Rc<Shape> {
        let rank = self.rank();
        match &self.shape {
            Some(s) if s.rank == rank && s.expected_s == expected_s => Rc::clone(s),
            _ => {
                let spec = &self.spec;
                let shape = Rc::new(Shape {
                    job: spec.id.clone(),
                    cpus: spec.cpus,
                    gpus: spec.gpus,
                    memory_gb: spec.memory_gb,
                    image: spec.image.clone(),
                    image_gb: spec.image_gb,
                    rank,
                    team: spec.team.clone(),
                    checkpoint_s: spec.checkpoint_s,
                    expected_s,
                });
                self.shape = Some(Rc::clone(&shape));
                shape
            }
        }
    }

    fn urgency(&self, now: Micros) -> WriteUrgency {
        if self.cancelled && !self.over {
            return if self.booked() > 0 { WriteUrgency::Now } else { WriteUrgency::Later };
        }
        if self.over {
            return WriteUrgency::Later;
        }
        if self.complete() || self.fresh_parts() > 0 {
            return WriteUrgency::Now;
        }
        match self.lazy_since.map(|at| now.since(at)) {
            Some(waited) if waited < LAZY => WriteUrgency::None,
            Some(waited) if waited > OVERDUE => WriteUrgency::Now,
            _ => WriteUrgency::Later,
        }
    }

    /// How long a task of this job runs, once enough of them have completed.
    pub fn usual_run(&self) -> Option<Micros> {
        self.usual
    }

    /// A task of it has run for so long.
    fn note_run(&mut self, ran: Micros) {
        if self.run_times.len() >= 64 {
            return;
        }
        let at = self.run_times.partition_point(|t| *t <= ran);
        self.run_times.insert(at, ran);
        if self.run_times.len() >= 3 {
            self.usual = Some(self.run_times[self.run_times.len() / 2]);
        }
    }
}
