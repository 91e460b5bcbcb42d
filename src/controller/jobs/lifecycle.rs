//! The jobs of this process's shards: what became of their tasks, what is
//! written down, and what is therefore wanted on machines.

use crate::controller::Controller;
use crate::controller::jobs::job::{Job, TaskEnd};
use crate::peer::{MachineView, ObservedState, Preempt};
use crate::time::Micros;
use log::info;
use std::rc::Rc;

/// Refusals without a start between them after which a job waits a little.
const REFUSED_IN_A_ROW: u32 = 16;

impl Controller {
    /// Looks at all tasks of a shard on a machine.
    pub(crate) fn evaluate_machine(&mut self, s: usize, machine: &str) {
        if !self.serves_shard(s) {
            return;
        }
        let Some(tasks) = self.jobs.tasks_by_machine.get(&(s, Rc::from(machine))).cloned() else {
            return;
        };
        for (job, index) in &tasks {
            self.evaluate_task(job, *index);
        }
    }

    /// Looks at all own tasks: what was received while this process might not act has
    /// been taken in, and nobody has drawn its conclusions.
    pub(crate) fn evaluate_all(&mut self) {
        let all: Vec<(usize, Rc<str>)> = self.jobs.tasks_by_machine.keys().cloned().collect();
        for (s, machine) in all {
            self.evaluate_machine(s, &machine);
        }
    }

    /// Works out what became of a task from what its machine's shard says.
    fn evaluate_task(&mut self, id: &str, index: u32) {
        let Some(term) = self.jobs.by_id.get(id).and_then(|j| self.leading_term(j.shard)) else {
            return;
        };
        let (now, wall) = (self.context.now, self.context.wall());
        let Some(job) = self.jobs.by_id.get_mut(id) else {
            return;
        };
        let s = job.shard;
        let Some(chunk) = job.chunk_of(index) else {
            return;
        };
        let Some(p) = chunk.placed.get_mut(&index) else {
            return;
        };
        let machine = Rc::clone(&p.machine);
        if self.machines.terminated.contains(&*machine) {
            self.counts.lost += 1;
            return self.end_task(id, index, TaskEnd::known(ObservedState::Stopped));
        }
        // A view of an earlier holder proves nothing any more: the present one
        // may begin what that one had refused.
        let here = self.leadership.term(self.leadership.shard_of_machine(&machine));
        let Some(view) = self.machines.views.get(&*machine).filter(|v| v.term == here) else {
            return;
        };
        // That a machine has never reported proves nothing of a later session, which a view
        // of before may not know: only views made since this owner was heard count.
        let heard = view.applied.iter().any(|h| h.shard as usize == s && h.term == term);
        let vanished = view.vanished && heard;
        let ended =
            if view.over_through >= p.incarnation || vanished || view.incarnation > p.incarnation {
                // Its session is surely over, and everything in it.
                self.counts.lost += 1;
                Some(TaskEnd::known(ObservedState::Stopped))
            } else if !view.known || view.incarnation != p.incarnation {
                None
            } else {
                let found = view
                    .tasks
                    .iter()
                    .find(|t| t.attempt == p.attempt && t.index == index && t.job == id)
                    .map(|t| t.observed());
                match found {
                    Some(observed) if observed.over() => Some(TaskEnd::listed(observed)),
                    Some(observed) => {
                        if p.observed != Some(observed) {
                            p.observed = Some(observed);
                            if observed == ObservedState::Running && p.running_since.is_none() {
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
                    // Absence proves something only once the machine's shard has
                    // learnt that the task is not wanted: until then it may be
                    // about to send the start.
                    None => {
                        let applied = view.applied.iter().find(|h| h.shard as usize == s);
                        let stopped = p
                            .stop_seq
                            .is_some_and(|q| applied.is_some_and(|h| h.term == term && h.seq >= q));
                        stopped.then_some(TaskEnd::never_started())
                    }
                }
            };
        match ended {
            Some(end) => self.end_task(id, index, end),
            None => self.handle_spot_notice(id, index),
        }
    }

    /// A spot machine is about to be taken: tasks that can save do so, tasks
    /// that cannot end in time move at once, the others may still end.
    fn handle_spot_notice(&mut self, id: &str, index: u32) {
        let now = self.context.now;
        let Some(job) = self.jobs.by_id.get_mut(id) else {
            return;
        };
        let spec = Rc::clone(&job.spec);
        let correction = self.scheduler.estimates().correction(&spec.class);
        let typical =
            job.usual_run().unwrap_or_else(|| Micros::from_secs_f64(spec.estimate_s * correction));
        let Some(p) = job.chunk_of(index).and_then(|chunk| chunk.placed.get_mut(&index)) else {
            return;
        };
        if p.stop.is_some() {
            return;
        }
        let Some(left) = self.machines.views.get(&*p.machine).and_then(|v| v.notice_ms) else {
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
        let s = job.shard;
        self.scheduler.mark_stale(&machine);
        self.changes.desired.insert((s, machine));
    }

    /// Asks for a task to be stopped.
    pub(crate) fn stop_task(&mut self, id: &str, index: u32, grace: Micros) {
        let Some(job) = self.jobs.by_id.get_mut(id) else {
            return;
        };
        let s = job.shard;
        let Some(p) = job.chunk_of(index).and_then(|chunk| chunk.placed.get_mut(&index)) else {
            return;
        };
        if p.stop.is_some_and(|g| g <= grace) {
            return;
        }
        p.stop = Some(grace);
        let machine = Rc::clone(&p.machine);
        self.scheduler.mark_stale(&machine);
        self.changes.desired.insert((s, machine));
    }

    /// One of our tasks is to make room for a more urgent one.
    pub(crate) fn preempt_task(&mut self, t: &Preempt) {
        let Some(job) = self.jobs.by_id.get_mut(&t.job) else {
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
            .chunk_of(t.index)
            .and_then(|p| p.placed.get(&t.index))
            .is_some_and(|p| p.attempt == t.attempt && p.stop.is_none());
        if there {
            self.counts.preempted += 1;
            self.stop_task(&t.job, t.index, grace);
        }
    }

    /// Stops everything of a cancelled job.
    pub(crate) fn stop_job(&mut self, id: &str) {
        let Some(job) = self.jobs.by_id.get(id) else {
            return;
        };
        let placed: Vec<u32> = job.chunks.iter().flat_map(|p| p.placed.keys().copied()).collect();
        for index in placed {
            self.stop_task(id, index, Micros::ZERO);
        }
        self.changes.jobs.insert(id.to_string());
    }

    /// A job's user has cancelled it: on some node, perhaps this one.
    pub(crate) fn job_cancelled(&mut self, id: &str) {
        if let Some(job) = self.jobs.by_id.get_mut(id)
            && !job.cancelled
            && !job.over
        {
            job.cancelled = true;
            self.counts.cancelled += 1;
            self.stop_job(id);
            self.scheduler.request_pass();
        }
    }

    /// A machine is known to be terminated, with everything on it.
    pub(crate) fn machine_terminated(&mut self, machine: &str) {
        if !self.machines.terminated.insert(machine.to_string()) {
            return;
        }
        info!("machine {machine} is terminated");
        while self.machines.terminated.len() > 5_000 {
            // Names rise with time, so the first is the oldest.
            self.machines.terminated.pop_first();
        }
        self.machines.managed.remove(machine);
        self.machines.views.remove(machine);
        self.scheduler.mark_stale(machine);
        self.changes.machines.remove(machine);
        self.autoscaler.fleet.forget(machine);
        for s in 0..self.leadership.shard_count() {
            self.evaluate_machine(s, machine);
        }
        self.scheduler.request_pass();
    }

    pub(crate) fn end_task(&mut self, id: &str, index: u32, end: TaskEnd) {
        let observed = end.observed;
        let now = self.context.now;
        let Some(job) = self.jobs.by_id.get_mut(id) else {
            return;
        };
        let Some(p) = job.end(index, end) else {
            return;
        };
        log::debug!("task {id}/{index} ended on {}: {observed:?}", p.machine);
        let machine = Rc::clone(&p.machine);
        match observed {
            ObservedState::Done => {
                job.note_success();
                if let Some(at) = p.running_since {
                    let ran = now.since(at);
                    let estimate = job.spec.estimate_s;
                    if estimate > 0.0 {
                        let ratio = ran.as_secs_f64() / estimate;
                        self.scheduler.learn_run_time(&job.spec.class, ratio);
                    }
                    job.note_run(ran);
                }
            }
            ObservedState::Failed => {
                self.counts.failed += 1;
                info!("task {id}/{index} failed on {}", p.machine);
                job.note_failure(now, &p.machine);
            }
            ObservedState::Refused => {
                job.refused += 1;
                if job.refused >= REFUSED_IN_A_ROW {
                    job.not_before = job.not_before.max(now + Micros::millis(100));
                }
            }
            _ => {}
        }
        job.deferred_since.get_or_insert(now);
        let s = job.shard;
        self.changes.jobs.insert(id.to_string());
        self.changes.progress.insert(id.to_string());
        self.changes.desired.insert((s, Rc::clone(&machine)));
        self.scheduler.mark_stale(&machine);
        self.scheduler.request_pass();
    }

    /// Times out what waits for nothing else.
    pub(crate) fn check_spot_notices(&mut self) {
        if !self.holds_lease() {
            return;
        }
        // Notices run down between reports.
        let noticed: Vec<String> = self
            .machines
            .views
            .iter()
            .filter(|(_, v)| v.notice_ms.is_some())
            .map(|(m, _)| m.clone())
            .collect();
        for m in noticed {
            for s in 0..self.leadership.shard_count() {
                self.evaluate_machine(s, &m);
            }
        }
    }

    /// Takes in a view of a machine.
    pub(crate) fn apply_view(&mut self, view: MachineView) {
        let h = self.shard_of_machine(&view.machine);
        if self.machines.terminated.contains(&view.machine) || view.term < self.leadership.term(h) {
            return;
        }
        if let Some(old) = self.machines.views.get(&view.machine)
            && (view.term, view.seq) <= (old.term, old.seq)
        {
            return;
        }
        let now = self.context.now;
        let old = self
            .machines
            .views
            .get(&view.machine)
            .filter(|old| old.incarnation == view.incarnation);
        for t in &view.tasks {
            // What was there already has been noted.
            let there = old.is_some_and(|old| old.tasks.contains(t));
            if !there
                && matches!(
                    t.observed(),
                    ObservedState::Running | ObservedState::Saving | ObservedState::Done
                )
            {
                let image = self
                    .machines
                    .desired
                    .iter()
                    .filter_map(|w| w.machines.get(&view.machine))
                    .flat_map(|m| &m.tasks)
                    .find(|w| w.index == t.index && w.attempt == t.attempt && w.job == t.job)
                    .map(|w| &w.image);
                if let Some(image) = image {
                    self.scheduler.note_image(now, image, &view.machine, view.incarnation);
                }
            }
        }
        let machine = view.machine.clone();
        self.machines.views.insert(machine.clone(), view);
        self.scheduler.mark_stale(&machine);
        for s in 0..self.leadership.shard_count() {
            self.evaluate_machine(s, &machine);
        }
        self.scheduler.request_pass();
    }
}

impl Job {
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
