//! Each rule's check tells of a history that breaks it, and says nothing a moment before.

#![allow(clippy::too_many_lines, reason = "a table of cases is one function")]

use millethold::time::Micros;
use millethold::wire::JobStage;
use millethold_rehearsal::history::{
    Entry, History, Observation, RequestKind, TaskEnd, TaskId, UserAnswer,
};
use millethold_rehearsal::rules::{Facts, JobFacts, MachineFacts, RULES, Rule, check};
use std::collections::BTreeSet;

/// The job that is looked at, one that needs it, and one that nobody submitted.
const JOB: &str = "j-1";
const AFTER: &str = "j-2";
const NOBODYS: &str = "j-9";
/// Time that a cancellation has.
const CANCEL_DEADLINE: Micros = Micros::secs(18);
/// From when on no fault is left.
const CALM: Micros = Micros::secs(50);

fn facts() -> Facts {
    let job = JobFacts {
        team: "red".into(),
        tasks: 3,
        cpus: 1.0,
        zone: None,
        together: false,
        apart: false,
        spot: false,
        dependencies: Vec::new(),
    };
    let after = JobFacts { dependencies: vec![JOB.into()], team: "blue".into(), ..job.clone() };
    let machine = |zone: &str, spot| MachineFacts { zone: zone.into(), spot };
    Facts {
        jobs: [(JOB.to_string(), job), (AFTER.to_string(), after)].into(),
        machines: [
            ("vm-0".to_string(), machine("a", false)),
            ("vm-1".to_string(), machine("b", false)),
            ("vm-2".to_string(), machine("a", true)),
        ]
        .into(),
        limits: [("red".to_string(), 8.0)].into(),
        cancel: CANCEL_DEADLINE,
        faults_over_at: CALM,
        end: Micros::secs(200),
    }
}

/// Facts of which one thing about the job differs.
fn facts_with(change: fn(&mut JobFacts)) -> Facts {
    let mut facts = facts();
    change(facts.jobs.get_mut(JOB).expect("the job"));
    facts
}

fn at(s: u64, observation: Observation) -> Entry {
    Entry { at: Micros::secs(s), observation }
}

fn on(s: u64, job: &str, index: u32, attempt: u64, machine: &str) -> Entry {
    let task = TaskId { job: job.into(), index };
    at(s, Observation::TaskStarted { task, attempt, machine: machine.into() })
}

fn off(s: u64, job: &str, index: u32, attempt: u64, machine: &str, how: TaskEnd) -> Entry {
    let task = TaskId { job: job.into(), index };
    at(s, Observation::TaskEnded { task, attempt, machine: machine.into(), how })
}

fn requested(s: u64, job: &str, request_kind: RequestKind) -> Entry {
    at(s, Observation::Requested { job: job.into(), request_kind })
}

/// An answer that came a second after its request was sent.
fn answer(
    s: u64,
    job: &str,
    request_kind: RequestKind,
    status: u16,
    stage: Option<JobStage>,
) -> Entry {
    sent_answer(s - 1, s, job, request_kind, status, stage)
}

fn sent_answer(
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

/// The job is answered as cancelled at second 10.
fn cancelled(job: &str) -> Vec<Entry> {
    let mut entries = submitted(job);
    entries.push(requested(9, job, RequestKind::Cancel));
    entries.push(answer(10, job, RequestKind::Cancel, 200, Some(JobStage::Cancelled)));
    entries
}

/// All three tasks of the job complete, one after the other.
fn completed(job: &str) -> Vec<Entry> {
    let mut entries = submitted(job);
    for index in 0..3 {
        let s = 3 + 2 * u64::from(index);
        entries.push(on(s, job, index, 1, "vm-0"));
        entries.push(off(s + 1, job, index, 1, "vm-0", TaskEnd::Done));
    }
    entries
}

fn with(mut entries: Vec<Entry>, more: Vec<Entry>) -> Vec<Entry> {
    entries.extend(more);
    entries
}

struct Case {
    name: &'static str,
    rule: Rule,
    facts: Facts,
    /// What breaks nothing yet.
    before: Vec<Entry>,
    /// What then breaks the rule.
    then: Entry,
}

fn cases() -> Vec<Case> {
    use JobStage::{Cancelled, Done, Queued, Running};
    let case = |name, rule, facts, before, then| Case { name, rule, facts, before, then };
    let poll = |s, job, stage| answer(s, job, RequestKind::Poll, 200, Some(stage));
    vec![
        case(
            "on a second machine",
            Rule::RanTwice,
            facts(),
            with(submitted(JOB), vec![on(5, JOB, 0, 1, "vm-0"), on(5, JOB, 1, 2, "vm-1")]),
            on(6, JOB, 0, 3, "vm-1"),
        ),
        case(
            "begun too late after its cancellation",
            Rule::RanCancelled,
            facts(),
            with(
                cancelled(JOB),
                vec![on(28, JOB, 0, 1, "vm-0"), off(28, JOB, 0, 1, "vm-0", TaskEnd::Stopped)],
            ),
            on(29, JOB, 1, 2, "vm-0"),
        ),
        case(
            "there for too long after its cancellation",
            Rule::RanCancelled,
            facts(),
            with(submitted(JOB), with(vec![on(5, JOB, 0, 1, "vm-0")], cancelled(JOB))),
            off(29, JOB, 0, 1, "vm-0", TaskEnd::LeaseExpired),
        ),
        case(
            "above the team's limit",
            Rule::Quota,
            facts_with(|job| job.cpus = 4.0),
            with(submitted(JOB), vec![on(5, JOB, 0, 1, "vm-0"), on(5, JOB, 1, 2, "vm-1")]),
            on(6, JOB, 2, 3, "vm-0"),
        ),
        case(
            "in another zone",
            Rule::WrongPlace,
            facts_with(|job| job.zone = Some("a".into())),
            with(submitted(JOB), vec![on(5, JOB, 0, 1, "vm-0")]),
            on(6, JOB, 1, 2, "vm-1"),
        ),
        case(
            "on a spot machine",
            Rule::WrongPlace,
            facts(),
            with(submitted(JOB), vec![on(5, JOB, 0, 1, "vm-0")]),
            on(6, JOB, 1, 2, "vm-2"),
        ),
        case(
            "not together",
            Rule::WrongPlace,
            facts_with(|job| job.together = true),
            with(submitted(JOB), vec![on(5, JOB, 0, 1, "vm-0")]),
            on(6, JOB, 1, 2, "vm-1"),
        ),
        case(
            "not apart",
            Rule::WrongPlace,
            facts_with(|job| job.apart = true),
            with(submitted(JOB), vec![on(5, JOB, 0, 1, "vm-0"), on(5, JOB, 1, 2, "vm-0")]),
            on(6, JOB, 2, 3, "vm-0"),
        ),
        case(
            "not known any more",
            Rule::Forgotten,
            facts(),
            submitted(JOB),
            answer(5, JOB, RequestKind::Poll, 404, None),
        ),
        case(
            "a repeat is refused",
            Rule::Forgotten,
            facts(),
            submitted(JOB),
            answer(5, JOB, RequestKind::Submit, 422, None),
        ),
        case(
            "no answer for long, all faults being over",
            Rule::Forgotten,
            facts(),
            with(
                submitted(JOB),
                vec![at(
                    125,
                    Observation::NoAnswer { job: JOB.into(), request_kind: RequestKind::Poll },
                )],
            ),
            at(126, Observation::NoAnswer { job: JOB.into(), request_kind: RequestKind::Poll }),
        ),
        case(
            "nobody's job",
            Rule::Invented,
            facts(),
            vec![answer(5, NOBODYS, RequestKind::Poll, 404, None)],
            poll(6, NOBODYS, Queued),
        ),
        case(
            "nobody's task",
            Rule::Invented,
            facts(),
            submitted(JOB),
            on(6, NOBODYS, 0, 1, "vm-0"),
        ),
        case(
            "done too early",
            Rule::NotDone,
            facts(),
            completed(JOB)[..7].to_vec(),
            poll(20, JOB, Done),
        ),
        case(
            "queued after cancelled",
            Rule::WentBack,
            facts(),
            with(
                cancelled(JOB),
                vec![sent_answer(9, 11, JOB, RequestKind::Poll, 200, Some(Queued))],
            ),
            sent_answer(11, 12, JOB, RequestKind::Poll, 200, Some(Queued)),
        ),
        case(
            "running after done",
            Rule::WentBack,
            facts(),
            with(completed(JOB), vec![poll(20, JOB, Done)]),
            sent_answer(21, 22, JOB, RequestKind::Poll, 200, Some(Running)),
        ),
        case(
            "done after cancelled, whenever it was asked",
            Rule::WentBack,
            facts(),
            with(completed(JOB), cancelled(JOB)[2..].to_vec()),
            sent_answer(8, 11, JOB, RequestKind::Poll, 200, Some(Done)),
        ),
        case(
            "cancelled by nobody",
            Rule::WentBack,
            facts(),
            submitted(JOB),
            poll(5, JOB, Cancelled),
        ),
        case(
            "before what it needs",
            Rule::TooEarly,
            facts(),
            with(completed(JOB)[..7].to_vec(), submitted(AFTER)),
            on(20, AFTER, 0, 1, "vm-0"),
        ),
        case(
            "queued long after one before it was cancelled",
            Rule::Orphaned,
            facts(),
            with(
                with(submitted(AFTER), cancelled(JOB)),
                vec![sent_answer(28, 30, AFTER, RequestKind::Poll, 200, Some(Queued))],
            ),
            sent_answer(29, 31, AFTER, RequestKind::Poll, 200, Some(Queued)),
        ),
    ]
}

#[test]
fn every_check_can_fail() {
    let mut shown = BTreeSet::new();
    for Case { name, rule, facts, before, then } in cases() {
        let mut history = History { entries: before };
        let last = history.entries.last().map_or(then.at, |entry| entry.at);
        let facts = Facts { end: last, ..facts };
        assert_eq!(check(&facts, &history), Vec::new(), "{name}: before");
        let facts = Facts { end: then.at, ..facts };
        history.entries.push(then);
        let violations = check(&facts, &history);
        let rules: BTreeSet<Rule> = violations.iter().map(|violation| violation.rule).collect();
        assert_eq!(rules, BTreeSet::from([rule]), "{name}: {violations:?}");
        assert!(!history.about(&violations[0].job, 10).is_empty(), "{name}: no evidence");
        shown.insert(rule);
    }
    assert_eq!(shown, BTreeSet::from(RULES), "a rule that no history breaks");
}

/// What is still on its machine when the run ends is judged, too.
#[test]
fn overstay_at_the_end() {
    let entries = with(with(submitted(JOB), vec![on(5, JOB, 0, 1, "vm-0")]), cancelled(JOB));
    let history = History { entries };
    for (end, want) in [(28, 0), (29, 1)] {
        let facts = Facts { end: Micros::secs(end), ..facts() };
        assert_eq!(check(&facts, &history).len(), want, "ended at {end}");
    }
}
