//! Tests that each rule is violated by some history, and holds until the violating entry.

#![allow(clippy::too_many_lines, reason = "a table of cases is one function")]

use millethold::time::Micros;
use millethold::wire::JobStage;
use millethold_rehearsal::history::{
    Entry, History, Observation, RequestKind, TaskEnd, TaskId, UserAnswer,
};
use millethold_rehearsal::rules::{Facts, JobFacts, MachineFacts, RULES, Rule, check};
use std::collections::BTreeSet;

/// The job under test, a job that depends on it, and an id that no user submitted.
const JOB: &str = "j-1";
const DEPENDENT: &str = "j-2";
const UNSUBMITTED: &str = "j-9";
/// Cancellation deadline in the facts.
const CANCEL_DEADLINE: Micros = Micros::secs(18);
/// When the last effect of a fault ends.
const FAULTS_END: Micros = Micros::secs(50);

fn facts() -> Facts {
    let job = JobFacts {
        team: "red".into(),
        tasks: 3,
        cpus: 1.0,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        dependencies: Vec::new(),
    };
    let dependent = JobFacts { dependencies: vec![JOB.into()], team: "blue".into(), ..job.clone() };
    let machine = |zone: &str, spot| MachineFacts { zone: zone.into(), spot };
    Facts {
        jobs: [(JOB.to_string(), job), (DEPENDENT.to_string(), dependent)].into(),
        machines: [
            ("vm-0".to_string(), machine("a", false)),
            ("vm-1".to_string(), machine("b", false)),
            ("vm-2".to_string(), machine("a", true)),
        ]
        .into(),
        limits: [("red".to_string(), 8.0)].into(),
        cancel_deadline: CANCEL_DEADLINE,
        faults_end_at: FAULTS_END,
        end: Micros::secs(200),
    }
}

/// The facts with a change to the job.
fn facts_with(change: fn(&mut JobFacts)) -> Facts {
    let mut facts = facts();
    change(facts.jobs.get_mut(JOB).expect("the job"));
    facts
}

fn at(s: u64, observation: Observation) -> Entry {
    Entry { at: Micros::secs(s), observation }
}

fn started(s: u64, job: &str, index: u32, attempt: u64, machine: &str) -> Entry {
    let task = TaskId { job: job.into(), index };
    at(s, Observation::TaskStarted { task, attempt, machine: machine.into() })
}

fn ended(s: u64, job: &str, index: u32, attempt: u64, machine: &str, how: TaskEnd) -> Entry {
    let task = TaskId { job: job.into(), index };
    at(s, Observation::TaskEnded { task, attempt, machine: machine.into(), how })
}

fn requested(s: u64, job: &str, request_kind: RequestKind) -> Entry {
    at(s, Observation::Requested { job: job.into(), request_kind })
}

/// An answer that arrived one second after its request was sent.
fn answer(
    s: u64,
    job: &str,
    request_kind: RequestKind,
    status: u16,
    stage: Option<JobStage>,
) -> Entry {
    answer_sent_at(s - 1, s, job, request_kind, status, stage)
}

fn answer_sent_at(
    sent: u64,
    s: u64,
    job: &str,
    request_kind: RequestKind,
    status: u16,
    stage: Option<JobStage>,
) -> Entry {
    let sent = Micros::secs(sent);
    let job = job.to_string();
    at(s, Observation::Answer(UserAnswer { job, request_kind, controller: 0, sent, status, stage }))
}

fn submitted(job: &str) -> Vec<Entry> {
    let queued = Some(JobStage::Queued);
    vec![requested(1, job, RequestKind::Submit), answer(2, job, RequestKind::Submit, 201, queued)]
}

/// The job is submitted, and answered as cancelled at second 10.
fn cancelled(job: &str) -> Vec<Entry> {
    let mut entries = submitted(job);
    entries.push(requested(9, job, RequestKind::Cancel));
    entries.push(answer(10, job, RequestKind::Cancel, 200, Some(JobStage::Cancelled)));
    entries
}

/// The job is submitted, and its three tasks complete one after another.
fn completed(job: &str) -> Vec<Entry> {
    let mut entries = submitted(job);
    for index in 0..3 {
        let s = 3 + 2 * u64::from(index);
        entries.push(started(s, job, index, 1, "vm-0"));
        entries.push(ended(s + 1, job, index, 1, "vm-0", TaskEnd::Done));
    }
    entries
}

fn concat(mut entries: Vec<Entry>, more: Vec<Entry>) -> Vec<Entry> {
    entries.extend(more);
    entries
}

struct Case {
    name: &'static str,
    rule: Rule,
    facts: Facts,
    /// The history up to the violation.
    preceding: Vec<Entry>,
    /// The entry that violates the rule.
    violating: Entry,
}

fn cases() -> Vec<Case> {
    use JobStage::{Cancelled, Done, Queued, Running};
    let case =
        |name, rule, facts, preceding, violating| Case { name, rule, facts, preceding, violating };
    let poll = |s, job, stage| answer(s, job, RequestKind::Poll, 200, Some(stage));
    vec![
        case(
            "started on a second machine",
            Rule::RanTwice,
            facts(),
            concat(
                submitted(JOB),
                vec![started(5, JOB, 0, 1, "vm-0"), started(5, JOB, 1, 2, "vm-1")],
            ),
            started(6, JOB, 0, 3, "vm-1"),
        ),
        case(
            "started too long after its cancellation",
            Rule::RanCancelled,
            facts(),
            concat(
                cancelled(JOB),
                vec![
                    started(28, JOB, 0, 1, "vm-0"),
                    ended(28, JOB, 0, 1, "vm-0", TaskEnd::Stopped),
                ],
            ),
            started(29, JOB, 1, 2, "vm-0"),
        ),
        case(
            "ended too long after its cancellation",
            Rule::RanCancelled,
            facts(),
            concat(submitted(JOB), concat(vec![started(5, JOB, 0, 1, "vm-0")], cancelled(JOB))),
            ended(29, JOB, 0, 1, "vm-0", TaskEnd::LeaseExpired),
        ),
        case(
            "above the team's limit",
            Rule::Quota,
            facts_with(|job| job.cpus = 4.0),
            concat(
                submitted(JOB),
                vec![started(5, JOB, 0, 1, "vm-0"), started(5, JOB, 1, 2, "vm-1")],
            ),
            started(6, JOB, 2, 3, "vm-0"),
        ),
        case(
            "in a zone that the job does not allow",
            Rule::WrongPlace,
            facts_with(|job| job.zone = Some("a".into())),
            concat(submitted(JOB), vec![started(5, JOB, 0, 1, "vm-0")]),
            started(6, JOB, 1, 2, "vm-1"),
        ),
        case(
            "on a spot machine",
            Rule::WrongPlace,
            facts(),
            concat(submitted(JOB), vec![started(5, JOB, 0, 1, "vm-0")]),
            started(6, JOB, 1, 2, "vm-2"),
        ),
        case(
            "in a second zone, though all tasks must run in one",
            Rule::WrongPlace,
            facts_with(|job| job.one_zone = true),
            concat(submitted(JOB), vec![started(5, JOB, 0, 1, "vm-0")]),
            started(6, JOB, 1, 2, "vm-1"),
        ),
        case(
            "more than half of the tasks in one zone",
            Rule::WrongPlace,
            facts_with(|job| job.spread = true),
            concat(
                submitted(JOB),
                vec![started(5, JOB, 0, 1, "vm-0"), started(5, JOB, 1, 2, "vm-0")],
            ),
            started(6, JOB, 2, 3, "vm-0"),
        ),
        case(
            "answered 404 after acceptance",
            Rule::Forgotten,
            facts(),
            submitted(JOB),
            answer(5, JOB, RequestKind::Poll, 404, None),
        ),
        case(
            "a repeated submission is refused",
            Rule::Forgotten,
            facts(),
            submitted(JOB),
            answer(5, JOB, RequestKind::Submit, 422, None),
        ),
        case(
            "no answer for too long after all faults have ended",
            Rule::Forgotten,
            facts(),
            concat(
                submitted(JOB),
                vec![at(
                    125,
                    Observation::NoAnswer { job: JOB.into(), request_kind: RequestKind::Poll },
                )],
            ),
            at(126, Observation::NoAnswer { job: JOB.into(), request_kind: RequestKind::Poll }),
        ),
        case(
            "a job that no user submitted is reported",
            Rule::Invented,
            facts(),
            vec![answer(5, UNSUBMITTED, RequestKind::Poll, 404, None)],
            poll(6, UNSUBMITTED, Queued),
        ),
        case(
            "a task of a job that no user submitted",
            Rule::Invented,
            facts(),
            submitted(JOB),
            started(6, UNSUBMITTED, 0, 1, "vm-0"),
        ),
        case(
            "done before all tasks have completed",
            Rule::NotDone,
            facts(),
            completed(JOB)[..7].to_vec(),
            poll(20, JOB, Done),
        ),
        case(
            "queued after cancelled",
            Rule::WentBack,
            facts(),
            concat(
                cancelled(JOB),
                vec![answer_sent_at(9, 11, JOB, RequestKind::Poll, 200, Some(Queued))],
            ),
            answer_sent_at(11, 12, JOB, RequestKind::Poll, 200, Some(Queued)),
        ),
        case(
            "running after done",
            Rule::WentBack,
            facts(),
            concat(completed(JOB), vec![poll(20, JOB, Done)]),
            answer_sent_at(21, 22, JOB, RequestKind::Poll, 200, Some(Running)),
        ),
        case(
            "done after cancelled, even if the request was sent before",
            Rule::WentBack,
            facts(),
            concat(completed(JOB), cancelled(JOB)[2..].to_vec()),
            answer_sent_at(8, 11, JOB, RequestKind::Poll, 200, Some(Done)),
        ),
        case(
            "cancelled without a request",
            Rule::WentBack,
            facts(),
            submitted(JOB),
            poll(5, JOB, Cancelled),
        ),
        case(
            "started before its dependency is done",
            Rule::TooEarly,
            facts(),
            concat(completed(JOB)[..7].to_vec(), submitted(DEPENDENT)),
            started(20, DEPENDENT, 0, 1, "vm-0"),
        ),
        case(
            "queued too long after its dependency was cancelled",
            Rule::Orphaned,
            facts(),
            concat(
                concat(submitted(DEPENDENT), cancelled(JOB)),
                vec![answer_sent_at(28, 30, DEPENDENT, RequestKind::Poll, 200, Some(Queued))],
            ),
            answer_sent_at(29, 31, DEPENDENT, RequestKind::Poll, 200, Some(Queued)),
        ),
    ]
}

#[test]
fn every_check_can_fail() {
    let mut violated = BTreeSet::new();
    for Case { name, rule, facts, preceding, violating } in cases() {
        let mut history = History { entries: preceding };
        let last = history.entries.last().map_or(violating.at, |entry| entry.at);
        let facts = Facts { end: last, ..facts };
        assert_eq!(check(&facts, &history), Vec::new(), "{name}: before the violation");
        let facts = Facts { end: violating.at, ..facts };
        history.entries.push(violating);
        let violations = check(&facts, &history);
        let rules: BTreeSet<Rule> = violations.iter().map(|violation| violation.rule).collect();
        assert_eq!(rules, BTreeSet::from([rule]), "{name}: {violations:?}");
        assert!(!history.lines_about(&violations[0].job, 10).is_empty(), "{name}: no evidence");
        violated.insert(rule);
    }
    assert_eq!(violated, BTreeSet::from(RULES), "a rule that no history violates");
}

/// An attempt that is still on its machine at the end of the run is checked too.
#[test]
fn cancelled_task_still_running_at_the_end() {
    let entries =
        concat(concat(submitted(JOB), vec![started(5, JOB, 0, 1, "vm-0")]), cancelled(JOB));
    let history = History { entries };
    for (end, want) in [(28, 0), (29, 1)] {
        let facts = Facts { end: Micros::secs(end), ..facts() };
        assert_eq!(check(&facts, &history).len(), want, "ended at {end}");
    }
}
