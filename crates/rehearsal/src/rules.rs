//! The protocol's rules, judged by what workers and users saw and by nothing else.

use crate::history::{Entry, History, Observation, RequestKind, TaskEnd, TaskId, UserAnswer};
use millethold::time::Micros;
use millethold::wire::JobStage;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Accepted CPUs over a limit that are rounding.
const ROUNDING: f64 = 1e-6;
/// A job whose questions go unanswered for so long once all faults are over is forgotten.
pub const FORGOTTEN_AFTER: Micros = Micros::secs(75);

/// A rule of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A task starts on one machine while it is on another.
    RanTwice,
    /// A task is on a machine, or starts, too long after its job was cancelled.
    RanCancelled,
    /// A team's tasks use more than its limit.
    Quota,
    /// A task starts where its job does not allow it.
    WrongPlace,
    /// An accepted job is not known, or its user is not answered any more.
    Forgotten,
    /// A job that nobody submitted is known.
    Invented,
    /// A job is called done before all of its tasks are.
    NotDone,
    /// A job that was called done or cancelled is called something else.
    WentBack,
    /// A task starts before all jobs that its job needs are done.
    TooEarly,
    /// A job is called queued or running too long after one before it was cancelled.
    Orphaned,
}

/// All rules, in the order in which they are told.
pub const RULES: [Rule; 10] = [
    Rule::RanTwice,
    Rule::RanCancelled,
    Rule::Quota,
    Rule::WrongPlace,
    Rule::Forgotten,
    Rule::Invented,
    Rule::NotDone,
    Rule::WentBack,
    Rule::TooEarly,
    Rule::Orphaned,
];

/// A job, as far as the rules depend on it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct JobFacts {
    /// Team.
    pub team: String,
    /// Tasks.
    pub tasks: u32,
    /// CPUs of each.
    pub cpus: f64,
    /// The only allowed zone.
    pub zone: Option<String>,
    /// All tasks in one zone.
    pub together: bool,
    /// At most half of the tasks in a zone.
    pub apart: bool,
    /// May use spot machines.
    pub spot: bool,
    /// Jobs that have to be done first.
    pub dependencies: Vec<String>,
}

/// A machine, as far as the rules depend on it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MachineFacts {
    /// Zone.
    pub zone: String,
    /// Spot machine.
    pub spot: bool,
}

/// What does not change in a run.
#[derive(Debug, Clone, Default)]
pub struct Facts {
    /// Jobs by id.
    pub jobs: BTreeMap<String, JobFacts>,
    /// Machines by name.
    pub machines: BTreeMap<String, MachineFacts>,
    /// Teams' limits; a team without one is not named.
    pub limits: BTreeMap<String, f64>,
    /// Time that a cancellation has.
    pub cancel: Micros,
    /// From when on no fault is left.
    pub faults_over_at: Micros,
    /// When the run ended.
    pub end: Micros,
}

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When it was seen.
    pub at: Micros,
    /// The job.
    pub job: String,
    /// What was seen.
    pub what: String,
}

/// What users were told of a job so far.
#[derive(Debug, Clone, Default)]
struct JobAnswers {
    submitted: bool,
    cancel_requested: bool,
    accepted: Option<Micros>,
    last_answer: Option<Micros>,
    ended: Option<(JobStage, Micros)>,
    forgotten: bool,
}

/// A task on a machine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Present {
    task: TaskId,
    attempt: u64,
    machine: String,
}

/// The rules at work: what was seen so far.
struct Checker<'a> {
    facts: &'a Facts,
    answers_by_job: BTreeMap<String, JobAnswers>,
    present: BTreeSet<Present>,
    completed: BTreeMap<String, BTreeSet<u32>>,
    violations: Vec<Violation>,
}

/// Finds all rules that a history breaks.
pub fn check(facts: &Facts, history: &History) -> Vec<Violation> {
    let mut checker = Checker {
        facts,
        answers_by_job: BTreeMap::new(),
        present: BTreeSet::new(),
        completed: BTreeMap::new(),
        violations: Vec::new(),
    };
    for entry in &history.entries {
        checker.take(entry);
    }
    checker.finish();
    checker.violations
}

impl Checker<'_> {
    fn take(&mut self, entry: &Entry) {
        let at = entry.at;
        match &entry.observation {
            Observation::TaskStarted { task, attempt, machine } => {
                let present =
                    Present { task: task.clone(), attempt: *attempt, machine: machine.clone() };
                self.comes_on(at, present);
            }
            Observation::TaskEnded { task, attempt, machine, how } => {
                let present =
                    Present { task: task.clone(), attempt: *attempt, machine: machine.clone() };
                self.goes_off(at, &present, *how);
            }
            Observation::Requested { job, request_kind } => {
                let answers = self.answers_by_job.entry(job.clone()).or_default();
                answers.submitted |= *request_kind == RequestKind::Submit;
                answers.cancel_requested |= *request_kind == RequestKind::Cancel;
            }
            Observation::Answer(answer) => self.answered(at, answer),
            Observation::NoAnswer { job, .. } => self.unanswered(at, job),
            Observation::LateCommands { .. } => {}
        }
    }

    fn broken(&mut self, rule: Rule, at: Micros, job: &str, what: String) {
        self.violations.push(Violation { rule, at, job: job.to_string(), what });
    }

    /// When users were first told that a job is cancelled.
    fn cancelled_at(&self, job: &str) -> Option<Micros> {
        let (stage, at) = self.answers_by_job.get(job)?.ended?;
        (stage == JobStage::Cancelled).then_some(at)
    }

    fn done(&self, job: &str) -> bool {
        let tasks = self.facts.jobs.get(job).map_or(0, |facts| facts.tasks as usize);
        self.completed.get(job).is_some_and(|completed| completed.len() >= tasks)
    }

    /// A job and all that it needs, directly or through others.
    fn with_ancestors(&self, job: &str) -> BTreeSet<String> {
        let mut found = BTreeSet::new();
        let mut open = vec![job.to_string()];
        while let Some(next) = open.pop() {
            if let Some(facts) = self.facts.jobs.get(&next) {
                open.extend(facts.dependencies.iter().cloned());
            }
            found.insert(next);
        }
        found
    }

    fn comes_on(&mut self, at: Micros, new: Present) {
        let job = new.task.job.clone();
        let name = format!("{job}/{} attempt {} on {}", new.task.index, new.attempt, new.machine);
        let others: Vec<&Present> =
            self.present.iter().filter(|other| other.task == new.task).collect();
        if let Some(other) = others.first() {
            let what = format!("{name} while attempt {} is on {}", other.attempt, other.machine);
            self.broken(Rule::RanTwice, at, &job, what);
        }
        if let Some(cancelled_at) = self.cancelled_at(&job)
            && at > cancelled_at + self.facts.cancel
        {
            let late = at.since(cancelled_at).as_secs_f64();
            self.broken(Rule::RanCancelled, at, &job, format!("{name} began {late:.1} s after"));
        }
        let Some(facts) = self.facts.jobs.get(&job).cloned() else {
            return self.broken(Rule::Invented, at, &job, format!("{name}: nobody's job"));
        };
        let waits = facts.dependencies.iter().find(|up| !self.done(up));
        if let Some(up) = waits {
            let what = format!("{name} before {up} is done");
            self.broken(Rule::TooEarly, at, &job, what);
        }
        self.present.insert(new.clone());
        if let Some(wrong) = self.wrong_place(&new, &facts) {
            self.broken(Rule::WrongPlace, at, &job, format!("{name}: {wrong}"));
        }
        self.check_quota(at, &job, &facts.team);
    }

    fn goes_off(&mut self, at: Micros, gone: &Present, how: TaskEnd) {
        let job = &gone.task.job;
        self.present.remove(gone);
        if how == TaskEnd::Done {
            self.completed.entry(job.clone()).or_default().insert(gone.task.index);
        }
        self.check_overstay(at, gone);
    }

    /// Whether a task that is on its machine until now has stayed for too long.
    fn check_overstay(&mut self, at: Micros, present: &Present) {
        let job = &present.task.job;
        if let Some(cancelled_at) = self.cancelled_at(job)
            && at > cancelled_at + self.facts.cancel
        {
            let late = at.since(cancelled_at).as_secs_f64();
            let what = format!(
                "{job}/{} attempt {} was on {} until {late:.1} s after",
                present.task.index, present.attempt, present.machine
            );
            self.broken(Rule::RanCancelled, at, job, what);
        }
    }

    fn wrong_place(&self, new: &Present, job: &JobFacts) -> Option<String> {
        let machine = self.facts.machines.get(&new.machine)?;
        if job.zone.as_ref().is_some_and(|zone| *zone != machine.zone) {
            return Some(format!("zone {}", machine.zone));
        }
        if machine.spot && !job.spot {
            return Some("a spot machine".to_string());
        }
        let of_job = self.present.iter().filter(|present| present.task.job == new.task.job);
        let zones: Vec<&str> = of_job
            .filter_map(|p| self.facts.machines.get(&p.machine))
            .map(|m| m.zone.as_str())
            .collect();
        if job.together && zones.iter().any(|zone| *zone != machine.zone) {
            return Some(format!("not together: {zones:?}"));
        }
        let here = zones.iter().filter(|zone| **zone == machine.zone).count();
        if job.apart && here > job.tasks.div_ceil(2) as usize {
            return Some(format!("not apart: {zones:?}"));
        }
        None
    }

    fn check_quota(&mut self, at: Micros, job: &str, team: &str) {
        let Some(most) = self.facts.limits.get(team).copied() else {
            return;
        };
        let of_team = self.present.iter().filter_map(|p| self.facts.jobs.get(&p.task.job));
        let used: f64 = of_team.filter(|j| j.team == team).map(|j| j.cpus).sum();
        if used > most + ROUNDING {
            self.broken(Rule::Quota, at, job, format!("{team} uses {used} CPUs of {most}"));
        }
    }

    fn answered(&mut self, at: Micros, answer: &UserAnswer) {
        let job = answer.job.as_str();
        let answers = self.answers_by_job.get(job).cloned().unwrap_or_default();
        let known = matches!(answer.status, 200 | 201);
        if !answers.submitted {
            if known {
                let what = format!("{:?} answered {}", answer.request_kind, answer.status);
                self.broken(Rule::Invented, at, job, what);
            }
            return;
        }
        let accepted_before = answers.accepted.is_some_and(|accepted| accepted < answer.sent);
        let refused = answer.status == 404
            || (answer.request_kind == RequestKind::Submit && matches!(answer.status, 400 | 422));
        if accepted_before && refused {
            let what = format!("{:?} answered {}", answer.request_kind, answer.status);
            self.broken(Rule::Forgotten, at, job, what);
        }
        if !known {
            return;
        }
        let answers = self.answers_by_job.entry(job.to_string()).or_default();
        answers.accepted.get_or_insert(at);
        answers.last_answer = Some(at);
        if let Some(stage) = answer.stage {
            self.check_stage(at, answer, stage);
        }
    }

    fn check_stage(&mut self, at: Micros, answer: &UserAnswer, stage: JobStage) {
        let job = answer.job.as_str();
        let is_final = matches!(stage, JobStage::Done | JobStage::Cancelled);
        let before = self.answers_by_job.get(job).and_then(|answers| answers.ended);
        if let Some((stage_before, when)) = before
            && stage_before != stage
            && (is_final || answer.sent > when)
        {
            let what = format!(
                "told {stage_before:?} at {:.3}, then {stage:?} by n{}",
                when.as_secs_f64(),
                answer.controller
            );
            self.broken(Rule::WentBack, at, job, what);
        }
        if stage == JobStage::Done && !self.done(job) {
            let what = format!("n{} says that it is done", answer.controller);
            self.broken(Rule::NotDone, at, job, what);
        }
        if stage == JobStage::Cancelled && before.is_none() {
            let family = self.with_ancestors(job);
            let request_kind = |id: &String| {
                self.answers_by_job.get(id).is_some_and(|answers| answers.cancel_requested)
            };
            if !family.iter().any(request_kind) {
                let what = "called cancelled, though nobody asked for that".to_string();
                self.broken(Rule::WentBack, at, job, what);
            }
        }
        if !is_final {
            self.check_orphan(at, answer, stage);
        }
        if is_final && let Some(answers) = self.answers_by_job.get_mut(job) {
            answers.ended.get_or_insert((stage, at));
        }
    }

    fn check_orphan(&mut self, at: Micros, answer: &UserAnswer, stage: JobStage) {
        let mut family = self.with_ancestors(&answer.job);
        family.remove(&answer.job);
        let called_off = family.iter().filter_map(|up| self.cancelled_at(up)).min();
        if let Some(cancelled_at) = called_off
            && answer.sent > cancelled_at + self.facts.cancel
        {
            let late = answer.sent.since(cancelled_at).as_secs_f64();
            let what = format!("{stage:?} {late:.1} s after one before it was cancelled");
            self.broken(Rule::Orphaned, at, &answer.job, what);
        }
    }

    fn unanswered(&mut self, at: Micros, job: &str) {
        let faults_over_at = self.facts.faults_over_at;
        let Some(answers) = self.answers_by_job.get_mut(job).filter(|answers| !answers.forgotten)
        else {
            return;
        };
        let Some(accepted) = answers.accepted.filter(|_| answers.ended.is_none()) else {
            return;
        };
        let since = answers.last_answer.unwrap_or(accepted).max(faults_over_at);
        if at > since + FORGOTTEN_AFTER {
            answers.forgotten = true;
            let what = format!("no answer for {:.0} s", at.since(since).as_secs_f64());
            self.broken(Rule::Forgotten, at, job, what);
        }
    }

    /// What is still on its machine at the end.
    fn finish(&mut self) {
        for present in self.present.clone() {
            self.check_overstay(self.facts.end, &present);
        }
    }
}
