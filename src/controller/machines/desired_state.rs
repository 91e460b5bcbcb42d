//! What own shards want on machines, told to the machines' managers, and what was
//! received from the other shards.

use crate::controller::Controller;
use crate::controller::jobs::job::{Job, Placement};
use crate::controller::scheduler::estimate::Estimates;
use crate::peer::{DesiredTask, DesiredUpdate, Frame, Phase, Shape};
use crate::time::Micros;
use std::collections::BTreeMap;
use std::rc::Rc;

/// How often the desired state is repeated for tasks of which no machine has reported for as long.
const REMIND: Micros = Micros::secs(8);

/// Seconds that a job's tasks are expected to run: what its completed ones
/// took, or its owner's estimate, corrected.
pub(crate) fn expected_s(job: &Job, estimates: &Estimates) -> f64 {
    match job.usual_run() {
        Some(run) => run.as_secs_f64(),
        None => job.spec.estimate_s * estimates.correction(&job.spec.class),
    }
}

impl Controller {
    /// Says again what is wanted of tasks that no machine has reported for long. Messages
    /// between controllers need no answers, and one that was lost unnoticed would
    /// leave its task, and its part of the team's limit, waiting for ever.
    pub(crate) fn repeat_unobserved(&mut self) {
        if !self.holds_lease() || self.context.now < self.timers.reminder {
            return;
        }
        self.timers.reminder = self.context.now + REMIND;
        let wall = self.context.wall();
        let unobserved = |p: &Placement| p.observed.is_none() && wall.since(p.at) > REMIND;
        let mut machines: Vec<(usize, Rc<str>)> = Vec::new();
        for job in self.jobs.by_id.values() {
            let placed = job.chunks.iter().flat_map(|chunk| chunk.placed.values());
            machines
                .extend(placed.filter(|p| unobserved(p)).map(|p| (job.shard, p.machine.clone())));
        }
        self.changes.desired.extend(machines);
    }

    /// Marks the desired state of every machine that has tasks of the job.
    pub(crate) fn refresh_desired_state(&mut self, id: &str) {
        let Some(shard) = self.jobs.by_id.get(id).map(|j| j.shard) else {
            return;
        };
        let keys: Vec<(usize, Rc<str>)> = self
            .jobs
            .tasks_by_machine
            .iter()
            .filter(|((s, _), tasks)| *s == shard && tasks.iter().any(|(j, _)| j == id))
            .map(|(k, _)| k.clone())
            .collect();
        self.changes.desired.extend(keys);
    }

    /// What a shard wants on a machine, by what is stored.
    fn desired_on(&mut self, s: usize, machine: &Rc<str>, seq: u64) -> Vec<DesiredTask> {
        let Some(tasks) = self.jobs.tasks_by_machine.get(&(s, Rc::clone(machine))).cloned() else {
            return Vec::new();
        };
        let mut list = Vec::new();
        for (id, index) in tasks {
            let Some(job) = self.jobs.by_id.get_mut(&id) else {
                continue;
            };
            let shape = job.shape(expected_s(job, &self.scheduler.estimates));
            let Some(chunk) = job.chunk_of(index) else {
                continue;
            };
            let stored = chunk.stored;
            let wanted = |p: &Placement, phase: Phase| DesiredTask {
                shape: Rc::clone(&shape),
                index,
                attempt: p.attempt,
                incarnation: p.incarnation,
                stop_ms: p.stop.map(Micros::as_millis),
                placed_s: p.at.0 / 1_000_000,
                phase: phase as i32,
            };
            // Nothing is asked for before it is written down: a start that
            // nobody remembers could run beside the next one. Its room is
            // booked from the decision on.
            if let Some(p) = chunk.placed.get_mut(&index)
                && p.machine == *machine
            {
                if p.stop.is_some() {
                    p.stop_seq.get_or_insert(seq);
                }
                let phase = if p.version <= stored { Phase::DesiredHere } else { Phase::Ahead };
                list.push(wanted(p, phase));
            }
            for ended in &chunk.unstored_ends {
                let p = &ended.placement;
                if ended.index == index && p.machine == *machine && p.version <= stored {
                    list.push(wanted(p, Phase::Over));
                }
            }
        }
        list
    }

    /// Sends what has changed in the desired state of own shards, to the own machine
    /// manager first.
    pub(crate) fn send_desired_state(&mut self, frame: &mut Frame) {
        let mut changed: BTreeMap<usize, (bool, Vec<Rc<str>>)> = BTreeMap::new();
        for s in std::mem::take(&mut self.changes.complete_desired) {
            let all = self.jobs.tasks_by_machine.keys().filter(|(shard, _)| *shard == s);
            changed.insert(s, (true, all.map(|(_, m)| Rc::clone(m)).collect()));
        }
        for (s, m) in std::mem::take(&mut self.changes.desired) {
            let (complete, machines) = changed.entry(s).or_default();
            if !*complete {
                machines.push(m);
            }
        }
        if std::mem::take(&mut self.changes.announce_terms) {
            for s in 0..self.leadership.shards.len() {
                changed.entry(s).or_default();
            }
        }
        for (s, (complete, machines)) in changed {
            let (Some(term), true) = (self.leading_term(s), self.runs_or_releases(s)) else {
                continue;
            };
            self.peers.desired_state_seq += 1;
            let seq = self.peers.desired_state_seq;
            let machines =
                machines.iter().map(|m| (m.to_string(), 0, self.desired_on(s, m, seq))).collect();
            let terms: Vec<u64> = self.leadership.shards.iter().map(|s| s.term).collect();
            let known_terms = terms.clone();
            let desired =
                DesiredUpdate { shard: s, term, seq, complete, machines, terms, known_terms };
            frame.desired.push(desired.to_message());
            self.apply_desired_state(desired);
        }
    }

    fn runs_or_releases(&self, s: usize) -> bool {
        self.leadership.shards[s].leadership.as_ref().is_some_and(|m| m.recovered)
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
}
