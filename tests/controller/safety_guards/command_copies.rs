//! Copies of direct commands that were executed and answered, which arrive again around a quick
//! return of the controller or of the machines.

use crate::harness::{Harness, LEASE_S, submission};
use millethold::time::Micros;
use serde_json::json;

/// Time in which a job's tasks are placed, started and reported.
const START_TIME: Micros = Micros::secs(5);
/// Time in which ended attempts are stored and forgotten.
const FORGET_TIME: Micros = Micros::secs(10);
/// A cut after which a machine is back in less than a second.
const SHORT_CUT: Micros = Micros::millis(800);

/// What has become of job j-1, whose two tasks were started by a direct command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Runs,
    Done,
    Moved,
    Cancelled,
}

/// Starts j-1 on the only machine, and lets it come to its fate.
fn started_job(fate: Fate) -> Harness {
    let mut harness = Harness::ready("", &[]);
    harness.add_machine();
    harness.run(START_TIME);
    let run_s = if fate == Fate::Done { 2.0 } else { 1_000.0 };
    harness.task_duration_s.insert("j-1".into(), run_s);
    let mut body = submission("j-1");
    body["urgency"] = json!("low");
    assert_eq!(harness.submit(&body).status, 201);
    harness.run(START_TIME);
    assert_eq!(harness.started_tasks, ["j-1/0", "j-1/1"]);
    match fate {
        Fate::Runs | Fate::Done => {}
        Fate::Moved => preempt(&mut harness),
        Fate::Cancelled => {
            assert_eq!(harness.cancel("j-1").status_and_stage(), (200, "cancelled"));
        }
    }
    harness.run(FORGET_TIME);
    harness
}

/// A job of higher priority takes the machine of j-1, which then runs on another one.
fn preempt(harness: &mut Harness) {
    harness.task_duration_s.insert("j-2".into(), 1_000.0);
    let mut body = submission("j-2");
    body["urgency"] = json!("production");
    body["planks"] = json!(1);
    body["cpus"] = json!(4.0);
    assert_eq!(harness.submit(&body).status, 201);
    harness.run(START_TIME);
    harness.add_machine();
    harness.run(FORGET_TIME);
    assert_eq!(harness.started_tasks[2..], ["j-2/0", "j-1/0", "j-1/1"], "j-1 has moved");
}

/// Guards against a task that runs on two machines, and against one that runs again after its job was
/// done or cancelled. The controller, or the machines, are back within a second, and a copy of the
/// start command, which was executed and answered before, arrives once more: at once, before the
/// worker has heard of the controller again, and later.
#[test]
fn copies_of_starts_around_a_quick_return() {
    type Return = fn(&mut Harness);
    let returns: [(&str, Return); 4] = [
        ("nobody was away", |_| {}),
        ("controller back at once", Harness::start_new_process),
        ("machines back within a second", |harness| {
            harness.cut_workers_off(SHORT_CUT);
            harness.run(SHORT_CUT);
        }),
        ("machines back within a second after the controller", |harness| {
            harness.start_new_process();
            harness.cut_workers_off(SHORT_CUT);
            harness.run(SHORT_CUT);
        }),
    ];
    let mut failed = Vec::new();
    for fate in [Fate::Runs, Fate::Done, Fate::Moved, Fate::Cancelled] {
        for (name, comes_back) in returns {
            let mut harness = started_job(fate);
            let started = harness.started_tasks.clone();
            let mut live: Vec<String> = harness.live_tasks().into_iter().cloned().collect();
            live.sort();
            comes_back(&mut harness);
            for wait in [Micros::ZERO, Micros::millis(20), Micros::millis(500), Micros::secs(5)] {
                harness.run(wait);
                harness.repeat_direct_starts();
                if harness.started_tasks != started {
                    failed.push(format!("{fate:?}, {name}: started again after {wait:?}"));
                    break;
                }
            }
            harness.run(START_TIME);
            let mut live_after: Vec<&String> = harness.live_tasks();
            live_after.sort();
            if !live_after.iter().copied().eq(&live) {
                failed.push(format!("{fate:?}, {name}: {live_after:?} run, before {live:?}"));
            }
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against a task that runs on two machines. Its machine was cut off for longer than its lease
/// and is back in its next session, the task runs elsewhere, and a copy of the start command of the
/// earlier session arrives.
#[test]
fn copies_of_starts_of_an_earlier_session() {
    let mut harness = started_job(Fate::Runs);
    harness.cut_workers_off(Micros::from_secs_f64(LEASE_S) + START_TIME);
    harness.add_machine();
    harness.run(Micros::from_secs_f64(LEASE_S) + START_TIME);
    for _ in 0..20 {
        let started = harness.started_tasks.len();
        harness.repeat_direct_starts();
        assert_eq!(harness.started_tasks.len(), started, "started by a copy");
        harness.run(Micros::millis(250));
    }
    harness.run(FORGET_TIME);
    let mut live: Vec<&String> = harness.live_tasks();
    live.sort();
    assert_eq!(live, ["j-1/0", "j-1/1"]);
}
