//! The protocol's rules, checked against what workers and users observed and the [`Facts`] of the
//! run, never against what controllers report of themselves.

use crate::history::{Entry, History, Observation, RequestKind, TaskEnd, TaskId, UserAnswer};
use millethold::time::Micros;
use millethold::wire::JobStage;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// CPUs above a team's limit that are accepted as rounding errors.
const CPU_TOLERANCE: f64 = 1e-6;
/// An accepted job counts as forgotten if no request about it is answered for this long. Time
/// before the last fault has ended does not count.
pub const FORGOTTEN_AFTER: Micros = Micros::secs(75);

/// A rule of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A task starts on a machine while another attempt of it is on a machine.
    RanTwice,
    /// A task is still on a machine, or starts, later than [`Facts::cancel_deadline`] after its
    /// job was cancelled.
    RanCancelled,
    /// A team's running tasks use more CPUs than its limit.
    Quota,
    /// A task starts on a machine that its job does not allow.
    WrongPlace,
    /// An accepted job is unknown or refused, or its user gets no answers any more.
    Forgotten,
    /// A job that no user submitted is known to a controller, or one of its tasks starts.
    Invented,
    /// A job is reported done before all of its tasks have completed.
    NotDone,
    /// A job reported done or cancelled is then reported in another stage, or a job is reported
    /// cancelled without a request to cancel it or a dependency.
    WentBack,
    /// A task starts before all of its job's dependencies are done.
    TooEarly,
    /// A job is reported queued or running too long after one of its dependencies was cancelled.
    Orphaned,
}

/// All rules, in the order of their declaration.
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

/// The properties of a job that the rules depend on.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct JobFacts {
    /// Name of the team.
    pub team: String,
    /// Number of tasks.
    pub tasks: u32,
    /// CPUs of each task.
    pub cpus: f64,
    /// The only allowed zone; any zone if `None`.
    pub zone: Option<String>,
    /// All tasks must run in one zone.
    pub one_zone: bool,
    /// At most half of the tasks may run in one zone.
    pub spread: bool,
    /// The tasks may run on spot machines.
    pub spot: bool,
    /// Ids of the jobs that must be done first.
    pub dependencies: Vec<String>,
}

/// The properties of a machine that the rules depend on.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MachineFacts {
    /// Zone of the machine.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// What the rules know about a run beside its history.
#[derive(Debug, Clone, Default)]
pub struct Facts {
    /// All jobs that users submit, by id.
    pub jobs: BTreeMap<String, JobFacts>,
    /// Machines, by name.
    pub machines: BTreeMap<String, MachineFacts>,
    /// CPU limits by team; teams without a limit are absent.
    pub limits: BTreeMap<String, f64>,
    /// How long tasks may run after their job was cancelled.
    pub cancel_deadline: Micros,
    /// When the last effect of a fault ends.
    pub faults_end_at: Micros,
    /// When the run ended.
    pub end: Micros,
}

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// When it was observed.
    pub at: Micros,
    /// Id of the job.
    pub job: String,
    /// What was observed, as text.
    pub what: String,
}

/// What users have requested and received for a job so far.
#[derive(Debug, Clone, Default)]
struct JobAnswers {
    submitted: bool,
    cancel_requested: bool,
    accepted: Option<Micros>,
    last_answer: Option<Micros>,
    ended: Option<(JobStage, Micros)>,
    forgotten: bool,
}

/// An attempt of a task that is on a machine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RunningAttempt {
    task: TaskId,
    attempt: u64,
    machine: String,
}

/// State of the check: the history up to the current entry, and the violations in it.
struct Checker<'a> {
    facts: &'a Facts,
    answers_by_job: BTreeMap<String, JobAnswers>,
    running: BTreeSet<RunningAttempt>,
    completed: BTreeMap<String, BTreeSet<u32>>,
    violations: Vec<Violation>,
}

/// Returns all violations in a history.
pub fn check(facts: &Facts, history: &History) -> Vec<Violation> {
    let mut checker = Checker {
        facts,
        answers_by_job: BTreeMap::new(),
        running: BTreeSet::new(),
        completed: BTreeMap::new(),
        violations: Vec::new(),
    };
    for entry in &history.entries {
        checker.observe(entry);
    }
    checker.finish();
    checker.violations
}

impl Checker<'_> {
    fn observe(&mut self, entry: &Entry) {
        let at = entry.at;
        match &entry.observation {
            Observation::TaskStarted { task, attempt, machine } => {
                let attempt_on_machine = RunningAttempt {
                    task: task.clone(),
                    attempt: *attempt,
                    machine: machine.clone(),
                };
                self.task_started(at, attempt_on_machine);
            }
            Observation::TaskEnded { task, attempt, machine, how } => {
                let attempt_on_machine = RunningAttempt {
                    task: task.clone(),
                    attempt: *attempt,
                    machine: machine.clone(),
                };
                self.task_ended(at, &attempt_on_machine, *how);
            }
            Observation::Requested { job, request_kind } => {
                let answers = self.answers_by_job.entry(job.clone()).or_default();
                answers.submitted |= *request_kind == RequestKind::Submit;
                answers.cancel_requested |= *request_kind == RequestKind::Cancel;
            }
            Observation::Answer(answer) => self.check_answer(at, answer),
            Observation::NoAnswer { job, .. } => self.check_no_answer(at, job),
            Observation::LateCommands { .. } => {}
        }
    }

    fn add_violation(&mut self, rule: Rule, at: Micros, job: &str, what: String) {
        self.violations.push(Violation { rule, at, job: job.to_string(), what });
    }

    /// When users were first answered that a job is cancelled.
    fn cancelled_at(&self, job: &str) -> Option<Micros> {
        let (stage, at) = self.answers_by_job.get(job)?.ended?;
        (stage == JobStage::Cancelled).then_some(at)
    }

    fn is_done(&self, job: &str) -> bool {
        let tasks = self.facts.jobs.get(job).map_or(0, |facts| facts.tasks as usize);
        self.completed.get(job).is_some_and(|completed| completed.len() >= tasks)
    }

    /// A job and its direct and transitive dependencies.
    fn with_dependencies(&self, job: &str) -> BTreeSet<String> {
        let mut found = BTreeSet::new();
        let mut pending = vec![job.to_string()];
        while let Some(next) = pending.pop() {
            if let Some(facts) = self.facts.jobs.get(&next) {
                pending.extend(facts.dependencies.iter().cloned());
            }
            found.insert(next);
        }
        found
    }

    fn task_started(&mut self, at: Micros, started: RunningAttempt) {
        let job = started.task.job.clone();
        let name = format!(
            "{job}/{} attempt {} on {}",
            started.task.index, started.attempt, started.machine
        );
        let others: Vec<&RunningAttempt> =
            self.running.iter().filter(|other| other.task == started.task).collect();
        if let Some(other) = others.first() {
            let what =
                format!("{name} started while attempt {} ran on {}", other.attempt, other.machine);
            self.add_violation(Rule::RanTwice, at, &job, what);
        }
        if let Some(cancelled_at) = self.cancelled_at(&job)
            && at > cancelled_at + self.facts.cancel_deadline
        {
            let late = at.since(cancelled_at).as_secs_f64();
            self.add_violation(
                Rule::RanCancelled,
                at,
                &job,
                format!("{name} started {late:.1} s after the job was reported cancelled"),
            );
        }
        let Some(facts) = self.facts.jobs.get(&job).cloned() else {
            return self.add_violation(
                Rule::Invented,
                at,
                &job,
                format!("{name} started, but no user submitted the job"),
            );
        };
        let unfinished_dependency =
            facts.dependencies.iter().find(|dependency| !self.is_done(dependency));
        if let Some(dependency) = unfinished_dependency {
            let what = format!("{name} started before dependency {dependency} was done");
            self.add_violation(Rule::TooEarly, at, &job, what);
        }
        self.running.insert(started.clone());
        if let Some(reason) = self.placement_violation(&started, &facts) {
            self.add_violation(Rule::WrongPlace, at, &job, format!("{name}: {reason}"));
        }
        self.check_quota(at, &job, &facts.team);
    }

    fn task_ended(&mut self, at: Micros, ended: &RunningAttempt, how: TaskEnd) {
        let job = &ended.task.job;
        self.running.remove(ended);
        if how == TaskEnd::Done {
            self.completed.entry(job.clone()).or_default().insert(ended.task.index);
        }
        self.check_ran_after_cancellation(at, ended);
    }

    /// Checks that an attempt which is on its machine until `at` has not run past its job's
    /// cancellation deadline.
    fn check_ran_after_cancellation(&mut self, at: Micros, attempt: &RunningAttempt) {
        let job = &attempt.task.job;
        if let Some(cancelled_at) = self.cancelled_at(job)
            && at > cancelled_at + self.facts.cancel_deadline
        {
            let late = at.since(cancelled_at).as_secs_f64();
            let what = format!(
                "{job}/{} attempt {} ran on {} until {late:.1} s after the job was reported \
                 cancelled",
                attempt.task.index, attempt.attempt, attempt.machine
            );
            self.add_violation(Rule::RanCancelled, at, job, what);
        }
    }

    fn placement_violation(&self, started: &RunningAttempt, job: &JobFacts) -> Option<String> {
        let machine = self.facts.machines.get(&started.machine)?;
        if job.zone.as_ref().is_some_and(|zone| *zone != machine.zone) {
            return Some(format!("the job does not allow zone {}", machine.zone));
        }
        if machine.spot && !job.spot {
            return Some("the job does not allow spot machines".to_string());
        }
        let job_attempts = self.running.iter().filter(|other| other.task.job == started.task.job);
        let zones: Vec<&str> = job_attempts
            .filter_map(|other| self.facts.machines.get(&other.machine))
            .map(|m| m.zone.as_str())
            .collect();
        if job.one_zone && zones.iter().any(|zone| *zone != machine.zone) {
            return Some(format!("the job's tasks must share one zone, but run in {zones:?}"));
        }
        let in_zone = zones.iter().filter(|zone| **zone == machine.zone).count();
        if job.spread && in_zone > job.tasks.div_ceil(2) as usize {
            return Some(format!("more than half of the job's tasks run in one zone: {zones:?}"));
        }
        None
    }

    fn check_quota(&mut self, at: Micros, job: &str, team: &str) {
        let Some(limit) = self.facts.limits.get(team).copied() else {
            return;
        };
        let team_jobs =
            self.running.iter().filter_map(|other| self.facts.jobs.get(&other.task.job));
        let used: f64 = team_jobs.filter(|j| j.team == team).map(|j| j.cpus).sum();
        if used > limit + CPU_TOLERANCE {
            self.add_violation(
                Rule::Quota,
                at,
                job,
                format!("team {team} uses {used} CPUs, its limit is {limit}"),
            );
        }
    }

    fn check_answer(&mut self, at: Micros, answer: &UserAnswer) {
        let job = answer.job.as_str();
        let answers = self.answers_by_job.get(job).cloned().unwrap_or_default();
        let found = matches!(answer.status, 200 | 201);
        if !answers.submitted {
            if found {
                let what = format!(
                    "{:?} of a job that no user submitted answered {}",
                    answer.request_kind, answer.status
                );
                self.add_violation(Rule::Invented, at, job, what);
            }
            return;
        }
        let accepted_before = answers.accepted.is_some_and(|accepted| accepted < answer.sent);
        let refused = answer.status == 404
            || (answer.request_kind == RequestKind::Submit && matches!(answer.status, 400 | 422));
        if accepted_before && refused {
            let what =
                format!("{:?} of an accepted job answered {}", answer.request_kind, answer.status);
            self.add_violation(Rule::Forgotten, at, job, what);
        }
        if !found {
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
        let is_terminal = matches!(stage, JobStage::Done | JobStage::Cancelled);
        let before = self.answers_by_job.get(job).and_then(|answers| answers.ended);
        if let Some((stage_before, when)) = before
            && stage_before != stage
            && (is_terminal || answer.sent > when)
        {
            let what = format!(
                "reported {stage_before:?} at {:.3} s, then {stage:?} by n{}",
                when.as_secs_f64(),
                answer.controller
            );
            self.add_violation(Rule::WentBack, at, job, what);
        }
        if stage == JobStage::Done && !self.is_done(job) {
            let what =
                format!("n{} reported Done before all tasks had completed", answer.controller);
            self.add_violation(Rule::NotDone, at, job, what);
        }
        if stage == JobStage::Cancelled && before.is_none() {
            let job_and_dependencies = self.with_dependencies(job);
            let cancel_requested = |id: &String| {
                self.answers_by_job.get(id).is_some_and(|answers| answers.cancel_requested)
            };
            if !job_and_dependencies.iter().any(cancel_requested) {
                let what = "reported Cancelled, but no user requested to cancel it or a dependency"
                    .to_string();
                self.add_violation(Rule::WentBack, at, job, what);
            }
        }
        if !is_terminal {
            self.check_orphaned(at, answer, stage);
        }
        if is_terminal && let Some(answers) = self.answers_by_job.get_mut(job) {
            answers.ended.get_or_insert((stage, at));
        }
    }

    fn check_orphaned(&mut self, at: Micros, answer: &UserAnswer, stage: JobStage) {
        let mut dependencies = self.with_dependencies(&answer.job);
        dependencies.remove(&answer.job);
        let dependency_cancelled_at =
            dependencies.iter().filter_map(|dependency| self.cancelled_at(dependency)).min();
        if let Some(cancelled_at) = dependency_cancelled_at
            && answer.sent > cancelled_at + self.facts.cancel_deadline
        {
            let late = answer.sent.since(cancelled_at).as_secs_f64();
            let what = format!(
                "reported {stage:?} to a request sent {late:.1} s after a dependency was reported \
                 cancelled"
            );
            self.add_violation(Rule::Orphaned, at, &answer.job, what);
        }
    }

    fn check_no_answer(&mut self, at: Micros, job: &str) {
        let faults_end_at = self.facts.faults_end_at;
        let Some(answers) = self.answers_by_job.get_mut(job).filter(|answers| !answers.forgotten)
        else {
            return;
        };
        let Some(accepted) = answers.accepted.filter(|_| answers.ended.is_none()) else {
            return;
        };
        let since = answers.last_answer.unwrap_or(accepted).max(faults_end_at);
        if at > since + FORGOTTEN_AFTER {
            answers.forgotten = true;
            let what = format!("no request answered for {:.0} s", at.since(since).as_secs_f64());
            self.add_violation(Rule::Forgotten, at, job, what);
        }
    }

    /// Checks the attempts that are still on their machines at the end of the run.
    fn finish(&mut self) {
        for attempt in self.running.clone() {
            self.check_ran_after_cancellation(self.facts.end, &attempt);
        }
    }
}
