//! The machines of this process's seats: reports in, commands out. What all
//! seats want there against what is there.

use super::job::StoredStage;
use super::machine::{self, Key, Outcome};
use super::quota::EPS;
use super::seat::DRIFT;
use super::{Controller, DesiredOnMachine, DesiredState, DirectReply, Effect, Op, Ticket};
use crate::peer::{Frame, Heard, Hint, MachineView, Phase, Seen, WantedTask, Wants};
use crate::time::Micros;
use crate::wire::{Command, DirectCommands, Refusal, Report, ReportReply, ReportTo};
use log::{debug, info, warn};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// Added to a worker's lease before its tasks count as gone.
const LEASE_MARGIN: Micros = Micros::millis(1_000);
/// Failures in a row, of jobs that complete elsewhere, or of so many jobs that fail
/// nowhere else, after which a machine is set aside.
const MACHINE_FAULTY: u32 = 3;
/// How long it must seem sick before it is returned: a job with a mistake shows as
/// such once it has failed elsewhere, too.
const SICK_FOR: Micros = Micros::secs(5);
/// Machines remembered of each failing job, and failing jobs, at most.
const JOB_ELSEWHERE: usize = 2;
const MAX_FAILING: usize = 2_000;
/// Machines asked in one turn how they stand, so that a take starves nobody.
const PROBES_PER_TURN: usize = 16;
/// Hints kept at most.
const MAX_HINTS: usize = 10_000;
/// Longest names that fit a stored placement.
const MAX_NAME: usize = 40;

/// Why commands are worked out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// For the answer to a report: everything that is still to be done.
    Answer,
    /// For direct commands: only what has not been sent yet.
    Direct,
}

impl DesiredState {
    /// Adds tasks to the sums of what teams use, or takes them away.
    fn count(&mut self, tasks: &[WantedTask], sign: f64) {
        for t in tasks.iter().filter(|t| t.phase() != Phase::Over) {
            let u = self.usage.entry(t.team.clone()).or_default();
            u[0] += sign * t.cpus;
            u[1] += sign * t.gpus;
        }
    }
}

impl Controller {
    /// Until when a worker may go on after its last answered report.
    fn worker_lease(&self) -> Micros {
        Micros::from_secs_f64(self.settings.workers.lease_s).stretched(DRIFT) + LEASE_MARGIN
    }

    pub(super) fn report(&mut self, ticket: Ticket, body: &[u8]) {
        let report: Report = match serde_json::from_slice(body) {
            Ok(r) => r,
            Err(e) => {
                self.counts.bad_reports += 1;
                debug!("malformed report: {e}");
                return self.respond(ticket, 400, None, &Refusal::new("malformed report"));
            }
        };
        if report.machine.is_empty()
            || report.machine.len() > MAX_NAME
            || report.zone.len() > MAX_NAME
            || report.session == 0
        {
            self.counts.bad_reports += 1;
            return self.respond(ticket, 400, None, &Refusal::new("malformed report"));
        }
        self.counts.reports += 1;
        let s = self.seat_of_machine(&report.machine);
        let Some(term) = self.my_term(s) else {
            let away = Refusal::new("seat not held here");
            return match self.holder(s) {
                Some(h) if h != self.me => {
                    self.connectivity.note_misdirected(self.now, &report.machine);
                    let member = self.members[h].clone();
                    self.respond(ticket, 421, None, &ReportTo { member: &member })
                }
                _ => self.respond(ticket, 503, Some(1), &away),
            };
        };
        if !self.cancellations_up_to_date() {
            // Its answer would keep tasks alive whose users were told that they
            // are cancelled.
            let lags = Refusal::new("cancellations are not heard");
            return self.respond(ticket, 503, Some(1), &lags);
        }
        if report.token > term || self.terminated.contains(&report.machine) {
            return self.respond(ticket, 503, Some(1), &Refusal::new("superseded"));
        }
        let now = self.now;
        self.connectivity.hear(now);
        let lease = Micros::from_secs_f64(self.settings.workers.lease_s);
        let machine = report.machine.clone();
        let post = self.posts.entry(machine.clone()).or_default();
        if post.session == 0 {
            info!("machine {machine} reports: {} in {}", report.machine_type, report.zone);
        }
        let before = post.session;
        let Some(outcomes) = post.take_report(now, &report, term, true) else {
            // Overtaken on its way: the worker has long given it up, and an
            // answer would claim a lease that has been declared over.
            return self.respond(ticket, 503, Some(1), &Refusal::new("overtaken"));
        };
        post.judge_connectivity(now, before, lease);
        post.answered = Some(now);
        let known = post.known;
        self.note_outcomes(&machine, outcomes);
        let commands = if known { self.commands(&machine, Way::Answer) } else { Vec::new() };
        self.changes.machines.insert(machine);
        let body = serde_json::to_vec(&ReportReply { token: term, commands }).unwrap_or_default();
        self.out.push(Effect::Respond { ticket, status: 200, retry_after: None, body });
    }

    fn note_outcomes(&mut self, machine: &str, outcomes: Vec<Outcome>) {
        for o in outcomes {
            match o {
                Outcome::Done(_) => {
                    if let Some(post) = self.posts.get_mut(machine) {
                        post.failed_jobs.clear();
                    }
                }
                Outcome::Failed(key) => {
                    if let Some(post) = self.posts.get_mut(machine) {
                        *post.failed_jobs.entry(key.job.clone()).or_insert(0) += 1;
                    }
                    self.note_failing(key.job, machine);
                }
            }
        }
    }

    /// Remembers on which machines of own seats a job failed; a few will do.
    fn note_failing(&mut self, job: String, machine: &str) {
        if self.failing.len() >= MAX_FAILING {
            let known = &self.known;
            let over = |id: &String| known.get(id).is_none_or(|k| k.stage != StoredStage::Accepted);
            self.failing.retain(|id, _| !over(id));
        }
        if self.failing.len() < MAX_FAILING {
            let machines = self.failing.entry(job).or_default();
            if machines.len() < JOB_ELSEWHERE {
                machines.insert(machine.to_string());
            }
        }
    }

    /// Whether a machine's failures since its last success are its own: of jobs
    /// that complete elsewhere, or of several that fail nowhere else. A job with a
    /// mistake fails everywhere and says nothing of its machines.
    fn seems_sick(&self, post: &machine::Post) -> bool {
        if post.failed_jobs.is_empty() {
            return false;
        }
        let completes = |job: &str| self.progress.get(job).is_some_and(|(done, _)| *done > 0);
        let elsewhere = |job: &str| self.failing.get(job).is_some_and(|m| m.len() > 1);
        let jobs = &post.failed_jobs;
        let good: u32 = jobs.iter().filter(|(j, _)| completes(j)).map(|(_, n)| n).sum();
        let only_here = jobs.keys().filter(|j| completes(j) || !elsewhere(j)).count();
        good >= MACHINE_FAULTY || only_here >= MACHINE_FAULTY as usize
    }

    /// Takes in what a seat wants on machines.
    pub(super) fn apply_desired_state(&mut self, message: Wants) {
        let s = message.seat;
        if s >= self.desired.len() || message.term < self.seats[s].term {
            return;
        }
        let heard = &mut self.desired[s];
        // After a gap the whole is told again, under its old number if nothing of it has
        // changed: dropped as old, all later changes of it would be, too.
        let again = message.complete
            && heard.complete == 0
            && (message.term, message.seq) == (heard.term, heard.seq);
        if !again && (message.term, message.seq) <= (heard.term, heard.seq) {
            return;
        }
        if message.term > heard.term {
            // Starts asked for under the older term are dropped here; what
            // runs stays until the new holder has said all it wants.
            heard.term = message.term;
            heard.complete = 0;
        }
        if !message.complete && heard.complete == 0 {
            // Changes to a whole that has not been heard; its number is not
            // taken over, or the whole would seem to be known already.
            return;
        }
        heard.seq = message.seq;
        heard.knows.clone_from(&message.knows);
        let mut touched: BTreeSet<String> = BTreeSet::new();
        if message.complete {
            heard.complete = message.seq;
            heard.usage.clear();
            touched.extend(std::mem::take(&mut heard.machines).into_keys());
        }
        let now = self.now;
        for (machine, known, tasks) in message.machines {
            touched.insert(machine.clone());
            let heard = &mut self.desired[s];
            let old = heard.machines.get(&machine).map_or(&[][..], |old| &old.tasks);
            for t in &tasks {
                // What was wanted before has been noted.
                let there =
                    |o: &WantedTask| o.attempt == t.attempt && o.index == t.index && o.job == t.job;
                if t.stop_ms.is_none() && !old.iter().any(there) {
                    self.images.note(now, &t.image, &machine, t.session);
                }
            }
            heard.count(&tasks, 1.0);
            let h = super::seat::seat_of_machine(&machine, self.seats.len());
            let known = match known {
                0 => message.terms.get(h).copied().unwrap_or(0),
                known => known,
            };
            let new = DesiredOnMachine { seq: message.seq, known, tasks };
            if let Some(old) = heard.machines.insert(machine, new) {
                heard.count(&old.tasks, -1.0);
            }
        }
        for machine in touched {
            self.desired_state_changed(&machine);
        }
    }

    fn desired_state_changed(&mut self, machine: &str) {
        self.place_wanted = true;
        self.touch_slot(machine);
        if self.my_term(self.seat_of_machine(machine)).is_none()
            || self.terminated.contains(machine)
        {
            return;
        }
        self.posts.entry(machine.to_string()).or_default();
        self.push(machine);
        self.changes.machines.insert(machine.to_string());
    }

    /// Whether everything that the job's seat wants on machines of a seat has been
    /// heard: only then does a task's absence from the desired state mean that it is not
    /// wanted. What was heard before the machine's seat changed hands is no longer
    /// all: its owner may have had more begun there through the earlier holder.
    fn knows_all_desired(&self, job: &str, at: usize) -> bool {
        let term = self.seats[at].term;
        let heard = |s: usize| {
            let w = &self.desired[s];
            let knows = w.knows.get(at).copied().unwrap_or(0);
            w.complete > 0 && w.term == self.seats[s].term && knows >= term
        };
        match self.known.get(job) {
            Some(k) if k.seat < self.desired.len() => heard(k.seat),
            _ => (0..self.desired.len()).all(heard),
        }
    }

    /// Works out the commands for a machine, and books what they start.
    fn commands(&mut self, machine: &str, way: Way) -> Vec<Command> {
        let at = self.seat_of_machine(machine);
        let term = self.seats[at].term;
        let Some(post) = self.posts.get(machine) else {
            return Vec::new();
        };
        // All is decided by what is wanted and what is there; a machine has few
        // tasks, and this is worked out at every report.
        let desired = || self.desired.iter().filter_map(|w| w.machines.get(machine));
        let is_wanted = |k: &Key| desired().any(|m| m.tasks.iter().any(|t| k.names(t)));
        let known = &self.known;
        let cancelled = |k: &str| known.get(k).is_some_and(|k| k.stage == StoredStage::Cancelled);
        let here = post.tasks.iter().filter(|(_, seen)| !seen.over()).map(|(k, _)| &k.job);
        let unknown: Vec<String> = here.filter(|j| !known.contains_key(*j)).cloned().collect();
        let unwanted: BTreeSet<Key> = post
            .tasks
            .keys()
            .chain(post.sent.keys())
            .chain(&post.refused)
            .chain(&post.waiting)
            .filter(|k| !is_wanted(k) && self.knows_all_desired(&k.job, at))
            .cloned()
            .collect();
        let size = self.types.get(&post.machine_type).map(|t| [t.cpus, t.gpus, t.memory_gb]);
        let mut wanted: Vec<(&WantedTask, bool)> = Vec::new();
        for m in self.desired.iter().filter_map(|w| w.machines.get(machine)) {
            let may = |t: &WantedTask| machine::may_start(t, m.known, term) && !cancelled(&t.job);
            wanted.extend(m.tasks.iter().map(|t| (t, may(t))));
        }
        let find = |k: &Key| wanted.iter().find(|(w, _)| k.names(w)).copied();
        let Some(post) = self.posts.get_mut(machine) else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        for (key, seen) in &post.tasks {
            match find(key).map(|(w, _)| w) {
                Some(w) => {
                    // Its owner may be out of reach, or not have heard yet.
                    let stop_ms = if cancelled(&key.job) { Some(0) } else { w.stop_ms };
                    if let Some(ms) = stop_ms
                        && !seen.over()
                        && (*seen != Seen::Saving || ms == 0)
                        && (way == Way::Answer || post.pushed.insert(key.clone()))
                    {
                        commands.push(machine::stop(key, Micros::millis(ms)));
                    }
                }
                None if unwanted.contains(key) => {
                    if seen.over() {
                        // A start of it that may still arrive would run it anew.
                        if way == Way::Answer && !post.late.contains(key) {
                            commands.push(machine::forget(key));
                        }
                    } else if way == Way::Answer {
                        info!("machine {machine}: {} is not wanted there", key.task());
                        commands.push(machine::stop(key, Micros::ZERO));
                    }
                }
                None if cancelled(&key.job)
                    && !seen.over()
                    && (way == Way::Answer || post.pushed.insert(key.clone())) =>
                {
                    commands.push(machine::stop(key, Micros::ZERO));
                }
                None => {}
            }
        }
        // What is not wanted any more, or is to be stopped before it began,
        // is forgotten once no start of it can arrive.
        let dropped = |key: &Key| {
            unwanted.contains(key) || find(key).is_some_and(|(_, startable)| !startable)
        };
        post.sent.retain(|key, sent| sent.open() || !dropped(key));
        post.refused.retain(|key| !unwanted.contains(key));
        post.waiting.retain(|key| !dropped(key));

        let amount = |w: &WantedTask| [w.cpus, w.gpus, w.memory_gb];
        let mut free = size.unwrap_or_default();
        let mut freeing = false;
        let mut strange = size.is_none();
        let present = post.tasks.iter().filter(|(_, seen)| !seen.over()).map(|(k, _)| k);
        for key in present.chain(post.sent.keys()) {
            match find(key).map(|(w, _)| w) {
                Some(w) => {
                    freeing |= w.stop_ms.is_some();
                    for (f, a) in free.iter_mut().zip(amount(w)) {
                        *f -= a;
                    }
                }
                // How much it takes is not known: nothing is added until it has ended.
                None => strange = true,
            }
        }
        let mut starts: Vec<(Key, &WantedTask)> = wanted
            .iter()
            .filter(|(w, startable)| *startable && w.session == post.session)
            .map(|(w, _)| (Key::of(w), *w))
            .filter(|(k, _)| !post.tasks.contains_key(k) && !post.refused.contains(k))
            .collect();
        starts.sort_by(|a, b| a.1.rank.cmp(&b.1.rank).then_with(|| a.0.cmp(&b.0)));
        for (key, w) in &starts {
            if !post.sent.contains_key(key) {
                let fits = free.iter().zip(amount(w)).all(|(f, a)| *f + EPS >= a);
                if strange || (!fits && freeing) {
                    post.waiting.insert(key.clone());
                    continue;
                }
                if !fits {
                    debug!("machine {machine}: no room for {}", key.task());
                    post.waiting.remove(key);
                    post.refused.insert(key.clone());
                    continue;
                }
                for (f, a) in free.iter_mut().zip(amount(w)) {
                    *f -= a;
                }
                post.waiting.remove(key);
                post.sent.insert(key.clone(), machine::Sent::default());
            }
            let Some(sent) = post.sent.get_mut(key) else {
                continue;
            };
            match way {
                Way::Answer => {
                    sent.answered = true;
                    commands.push(machine::start(key));
                }
                Way::Direct if !sent.open() => {
                    sent.direct += 1;
                    commands.push(machine::start(key));
                }
                Way::Direct => {}
            }
        }
        self.note_unknown(unknown);
        commands
    }

    /// Sends what is new straight to the worker, instead of waiting for its
    /// next report.
    fn push(&mut self, machine: &str) {
        let s = self.seat_of_machine(machine);
        let Some(term) = self.my_term(s) else {
            return;
        };
        let Some(post) = self.posts.get(machine) else {
            return;
        };
        // A worker that is silent is not waited for with further connections.
        let quiet = post.heard.is_none_or(|at| self.now.since(at) > self.silent());
        if !post.known || post.direct_busy || quiet || self.now < post.direct_after {
            return;
        }
        let (Some(address), session) = (post.address, post.session) else {
            return;
        };
        let commands = self.commands(machine, Way::Direct);
        if commands.is_empty() {
            return;
        }
        let starts: Vec<Key> = commands
            .iter()
            .filter_map(|c| match c {
                Command::Start { task, attempt } => Key::parse(task, *attempt),
                _ => None,
            })
            .collect();
        if let Some(post) = self.posts.get_mut(machine) {
            post.direct_busy = true;
        }
        let body = DirectCommands { token: term, session, commands };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let id = self.call_id(Op::Direct { machine: machine.to_string(), starts, term });
        self.out.push(Effect::Direct { id, address, body });
    }

    /// A peer tells where a machine was when it last knew of it.
    pub(super) fn apply_hint(&mut self, hint: Hint) {
        let known = self.posts.get(&hint.machine).is_some_and(|p| p.heard.is_some());
        if known
            || self.terminated.contains(&hint.machine)
            || hint.machine.len() > MAX_NAME
            || self.hints.len() >= MAX_HINTS
        {
            return;
        }
        if let Ok(address) = hint.address.parse() {
            self.hints.insert(hint.machine.clone(), (hint.session, address));
            self.probes.insert(hint.machine);
        }
    }

    /// Asks machines of a seat that was just taken how they stand, by commands
    /// that order nothing. They would report within their period only, and a
    /// second time under the new term before anything may be sent to them.
    pub(super) fn send_probes(&mut self) {
        if !self.acting() {
            return;
        }
        let mut sent = 0;
        while sent < PROBES_PER_TURN
            && let Some(machine) = self.probes.pop_first()
        {
            let s = self.seat_of_machine(&machine);
            if self.my_term(s).is_none() {
                // Kept among the hints until the seat is taken.
                continue;
            }
            let Some((session, address)) = self.hints.remove(&machine) else {
                continue;
            };
            if self.terminated.contains(&machine) {
                continue;
            }
            let post = self.posts.entry(machine.clone()).or_default();
            if post.known || post.heard.is_some() || post.direct_busy {
                continue;
            }
            // The session is not taken over: what it is now, its answer says.
            self.ask(&machine, session, address);
            sent += 1;
        }
    }

    pub(super) fn direct_reply(
        &mut self,
        machine: &str,
        starts: &[Key],
        term: u64,
        reply: DirectReply,
    ) {
        let s = self.seat_of_machine(machine);
        if self.seats[s].mine.as_ref().is_none_or(|m| m.term != term) {
            return;
        }
        let now = self.now;
        let Some(post) = self.posts.get_mut(machine) else {
            return;
        };
        let (executed, body) = match reply {
            DirectReply::Answered { status: 200, body } => (Some(true), Some(body)),
            DirectReply::Answered { status: 400..=499, body } => (Some(false), Some(body)),
            DirectReply::Answered { .. } | DirectReply::Unknown => (None, None),
            DirectReply::NotSent => (Some(false), None),
        };
        post.direct_ended(starts, executed);
        match executed {
            Some(true) => post.deaf = false,
            Some(false) => {}
            // Until something shows that it hears, it is given nothing more.
            None => {
                debug!("machine {machine} did not answer commands");
                post.deaf = true;
            }
        }
        if executed != Some(true) {
            // Its reports carry the commands meanwhile.
            post.direct_after = now + Micros::secs(5);
        }
        let report = body.and_then(|b| serde_json::from_slice::<Report>(&b).ok());
        if let Some(report) = report.filter(|r| r.machine == machine && r.token <= term)
            && let Some(outcomes) = post.take_report(now, &report, term, false)
        {
            self.note_outcomes(machine, outcomes);
        }
        self.push(machine);
        self.changes.machines.insert(machine.to_string());
    }

    /// Looks for machines that have been silent for longer than a lease.
    pub(super) fn tend_posts(&mut self) {
        if !self.acting() {
            return;
        }
        let (now, lease) = (self.now, self.worker_lease());
        let taken: Vec<Option<Micros>> =
            self.seats.iter().map(|s| s.mine.as_ref().map(|m| m.taken)).collect();
        let (mut changed, mut deaf) = (Vec::new(), Vec::new());
        let silent = self.silent();
        let seats = self.seats.len();
        for (name, post) in &mut self.posts {
            let Some(Some(taken)) = taken.get(super::seat::seat_of_machine(name, seats)) else {
                continue;
            };
            let base = post.answered.unwrap_or(*taken).max(*taken);
            if post.tend(now, base, lease) {
                info!("machine {name} has been silent for a whole lease");
                changed.push(name.clone());
            } else {
                // Health depends on time, and starts may wait for their next try.
                let fresh = post.in_time(now, base, silent);
                let unsent = post.sent.values().any(|s| !s.open()) && now >= post.direct_after;
                if fresh != post.fresh || unsent {
                    changed.push(name.clone());
                }
                if post.deaf
                    && fresh
                    && now >= post.direct_after
                    && let Some(address) = post.address
                {
                    deaf.push((name.clone(), post.session, address));
                }
            }
        }
        self.changes.machines.extend(changed);
        for (machine, session, address) in deaf {
            self.ask(&machine, session, address);
        }
    }

    /// Sends commands that order nothing: the answer shows that it hears.
    fn ask(&mut self, machine: &str, session: u64, address: SocketAddrV4) {
        let Some(term) = self.my_term(self.seat_of_machine(machine)) else {
            return;
        };
        let Some(post) = self.posts.get_mut(machine).filter(|p| !p.direct_busy) else {
            return;
        };
        post.direct_busy = true;
        let body = DirectCommands { token: term, session, commands: Vec::new() };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let op = Op::Direct { machine: machine.to_string(), starts: Vec::new(), term };
        let id = self.call_id(op);
        self.out.push(Effect::Direct { id, address, body });
    }

    /// Sends the views that have changed, to the own job manager first.
    pub(super) fn send_views(&mut self, frame: &mut Frame) {
        for machine in std::mem::take(&mut self.changes.machines) {
            let s = self.seat_of_machine(&machine);
            let Some(term) = self.my_term(s) else {
                continue;
            };
            if self.posts.get(&machine).is_some_and(|p| p.known && !p.direct_busy) {
                self.push(&machine);
            }
            let mut view = self.view_of(&machine, term);
            let Some(post) = self.posts.get_mut(&machine) else {
                continue;
            };
            if let Some(old) = self.views.get(&machine) {
                let old_notice = old.notice_ms;
                view.seq = old.seq;
                // A notice runs down by itself; only its coming is news.
                let notice = view.notice_ms;
                if notice.is_some() && old_notice.is_some() {
                    view.notice_ms = old_notice;
                }
                if view == *old {
                    continue;
                }
                view.notice_ms = notice;
            }
            post.view_seq += 1;
            view.seq = post.view_seq;
            frame.views.push(view.clone());
            self.apply_view(view);
        }
    }

    /// A machine silent for longer is not counted on.
    fn silent(&self) -> Micros {
        Micros::from_secs_f64(self.settings.workers.report_s * 2.0 + 1.0)
    }

    fn view_of(&mut self, machine: &str, term: u64) -> MachineView {
        let silent = self.silent();
        let now = self.now;
        let sick = self.posts.get(machine).is_some_and(|p| self.seems_sick(p));
        let at = self.seat_of_machine(machine);
        let taken = self.seats[at].mine.as_ref().map_or(Micros::ZERO, |m| m.taken);
        let Some(post) = self.posts.get_mut(machine) else {
            return MachineView::default();
        };
        let base = post.answered.unwrap_or(taken).max(taken);
        let fresh = post.in_time(now, base, silent);
        post.fresh = fresh;
        if !sick {
            post.sick_since = None;
        } else if post.sick_since.is_none() {
            post.sick_since = Some(now);
            warn!("machine {machine} fails what it starts; set aside");
        }
        let faulty = post.sick_since.is_some_and(|at| now.since(at) > SICK_FOR);
        let heard = self
            .desired
            .iter()
            .enumerate()
            .filter(|(_, w)| w.complete > 0)
            .map(|(n, w)| Heard {
                seat: n as u32,
                term: w.term,
                seq: w.machines.get(machine).map_or(0, |m| m.seq).max(w.complete),
            })
            .collect();
        MachineView {
            machine: machine.to_string(),
            term,
            seq: 0,
            known: post.known,
            session: post.session,
            over_through: post.over_through,
            vanished: post.vanished,
            machine_type: post.machine_type.clone(),
            zone: post.zone.clone(),
            spot: post.spot,
            address: post.address.map(|a| a.to_string()).unwrap_or_default(),
            notice_ms: post.taken_at.map(|at| at.since(self.now).as_millis()),
            healthy: fresh && !sick && !post.deaf,
            tasks: post.seen_tasks(),
            heard,
            faulty,
        }
    }
}
