//! What a machine's shard concludes from reports, and what it starts.

use millethold::controller::machine::{Key, ManagedMachine, Sent, may_start};
use millethold::peer::{Phase, Seen, WantedTask};
use millethold::time::Micros;
use millethold::wire::{Cause, Report, ReportedTask, TaskState};

fn key(attempt: u64) -> Key {
    Key { job: "j-1".into(), index: 0, attempt }
}

fn report(session: u64, seq: u64, token: u64, tasks: &[(u64, TaskState, Option<Cause>)]) -> Report {
    Report {
        machine: "vm-1".into(),
        address: "10.1.0.1:9000".into(),
        machine_type: "t4".into(),
        zone: "a".into(),
        spot: false,
        session,
        seq,
        token,
        notice_s: None,
        tasks: tasks
            .iter()
            .map(|(attempt, state, cause)| ReportedTask {
                task: "j-1/0".into(),
                attempt: *attempt,
                state: *state,
                cause: *cause,
            })
            .collect(),
    }
}

#[test]
fn reports_and_what_they_prove() {
    let now = Micros::secs(50);
    let mut post = ManagedMachine::default();
    // A report that has not seen the term proves nothing; the next one does.
    assert!(post.take_report(now, &report(1, 1, 3, &[]), 4, true).is_some());
    assert!(!post.known);
    assert!(post.take_report(now, &report(1, 2, 4, &[]), 4, true).is_some());
    assert!(post.known);
    // Older and repeated messages are dropped.
    assert!(post.take_report(now, &report(1, 2, 4, &[]), 4, true).is_none());
    assert!(post.take_report(now, &report(1, 1, 4, &[]), 4, true).is_none());

    // A start in an answer is open until the next report, which alone shows
    // that the answer was executed or dropped; a direct answer does not.
    post.sent.insert(key(1), Sent { answered: true, ..Sent::default() });
    post.take_report(now, &report(1, 3, 4, &[]), 4, false);
    assert!(post.sent[&key(1)].open());
    post.take_report(now, &report(1, 4, 4, &[]), 4, true);
    assert!(!post.sent[&key(1)].open());

    // A direct start without an answer stays open, and once it is reported
    // the attempt must not be cleared: the late command would start it anew.
    post.sent.insert(key(2), Sent { direct: 1, ..Sent::default() });
    post.direct_ended(&[key(2)], None);
    post.take_report(now, &report(1, 5, 4, &[]), 4, true);
    assert!(post.sent[&key(2)].open());
    let ended = [(2, TaskState::Exited, Some(Cause::Done))];
    post.take_report(now, &report(1, 6, 4, &ended), 4, true);
    assert!(post.late.contains(&key(2)));
    // An answered one closes it.
    post.sent.insert(key(3), Sent { direct: 1, ..Sent::default() });
    let running = [(3, TaskState::Running, None)];
    post.take_report(now, &report(1, 7, 4, &running), 4, true);
    post.direct_ended(&[key(3)], Some(true));
    assert!(!post.late.contains(&key(3)));

    // A new session ends everything before it and fences what is late.
    post.take_report(now, &report(2, 1, 4, &[]), 4, true);
    assert_eq!((post.over_through, post.tasks.len(), post.late.len()), (1, 0, 0));
    assert!(post.take_report(now, &report(1, 99, 4, &[]), 4, true).is_none());

    // Silence for a lease, and not less, ends the session; its reports, come
    // late, are not answered any more.
    let lease = Micros::secs(12);
    assert!(!post.expire_session(now + lease, now, lease));
    assert!(post.expire_session(now + lease + Micros(1), now, lease));
    assert_eq!((post.over_through, post.known), (2, false));
    assert!(post.take_report(now, &report(2, 2, 4, &[]), 4, true).is_none());
    // A session that only a direct command's answer told of has a lease of its own,
    // though no report was answered for long: what it was given still runs.
    let mut mute = ManagedMachine::default();
    mute.take_report(now, &report(1, 1, 4, &[]), 4, true);
    let heard = now + lease + Micros::secs(3);
    assert!(mute.take_report(heard, &report(2, 1, 4, &[]), 4, false).is_some());
    assert!(!mute.expire_session(heard + lease, now, lease), "its lease may still run");
    assert!(mute.expire_session(heard + lease + Micros(1), now, lease));
    // Nothing new is put where reports are not answered, however well it hears.
    let silent = Micros::secs(5);
    for (base, want) in [(heard, true), (now, false)] {
        assert_eq!(mute.in_time(heard + Micros::secs(1), base, silent), want, "{base:?}");
    }
    let mut never = ManagedMachine::default();
    assert!(!never.expire_session(now + lease, now, lease) && !never.vanished);
    assert!(never.expire_session(now + lease + Micros(1), now, lease) && never.vanished);

    // Sessions that end although reports are answered: it hears nothing. An
    // answered direct command, a start that it has, or a session that lasts
    // for twice its lease shows that it hears again.
    let mut post = ManagedMachine::default();
    post.take_report(now, &report(1, 1, 4, &[]), 4, true);
    post.judge_connectivity(now, 0, lease);
    assert!(!post.unresponsive, "the first session says nothing");
    post.answered = Some(now);
    post.take_report(now + lease, &report(2, 1, 4, &[]), 4, true);
    post.judge_connectivity(now + lease, 1, lease);
    assert!(!post.unresponsive, "nothing was answered for long: it was away");
    post.answered = Some(now + lease);
    post.take_report(now + lease + Micros(9), &report(3, 1, 4, &[]), 4, true);
    post.judge_connectivity(now + lease + Micros(9), 2, lease);
    assert!(post.unresponsive);
    let later = now + lease + lease;
    post.take_report(later, &report(3, 2, 4, &[]), 4, true);
    post.judge_connectivity(later, 3, lease);
    assert!(post.unresponsive, "a session that has not lasted yet");
    let lasted = later + lease + lease;
    post.take_report(lasted, &report(3, 3, 4, &[]), 4, true);
    post.judge_connectivity(lasted, 3, lease);
    assert!(!post.unresponsive);
    post.unresponsive = true;
    post.sent.insert(key(1), Sent { answered: true, ..Sent::default() });
    post.take_report(lasted, &report(3, 4, 4, &[(1, TaskState::Running, None)]), 4, true);
    assert!(!post.unresponsive, "it has what it was told to start");

    let table = [
        (TaskState::Fetching, None, Seen::Fetching),
        (TaskState::Saving, None, Seen::Saving),
        (TaskState::Exited, Some(Cause::Done), Seen::Done),
        (TaskState::Exited, Some(Cause::Stopped), Seen::Stopped),
        (TaskState::Exited, Some(Cause::NoRoom), Seen::Refused),
        (TaskState::Exited, Some(Cause::Busy), Seen::Refused),
        (TaskState::Exited, Some(Cause::Error), Seen::Failed),
        (TaskState::Exited, Some(Cause::Unknown), Seen::Failed),
        (TaskState::Exited, None, Seen::Failed),
    ];
    for (state, cause, want) in table {
        let mut post = ManagedMachine::default();
        post.take_report(now, &report(1, 1, 4, &[(1, state, cause)]), 4, true);
        assert_eq!(post.tasks[&key(1)], want, "{state:?} {cause:?}");
    }
}

#[test]
fn starts() {
    let task = |phase: Phase, stop_ms| WantedTask {
        phase: phase as i32,
        stop_ms,
        ..WantedTask::default()
    };
    // Task, the term that its owner knew, the holder's term, whether it starts.
    let table = [
        (task(Phase::Wanted, None), 4, 4, true),
        (task(Phase::Wanted, None), 5, 4, true),
        (task(Phase::Wanted, None), 3, 4, false),
        (task(Phase::Wanted, None), 0, 1, false),
        (task(Phase::Wanted, Some(0)), 4, 4, false),
        (task(Phase::Ahead, None), 4, 4, false),
        (task(Phase::Over, None), 4, 4, false),
    ];
    for (task, known, term, want) in table {
        assert_eq!(may_start(&task, known, term), want, "{task:?} {known} {term}");
    }
    // A phase of a later version must not read as one that starts.
    let strange = WantedTask { phase: 77, ..WantedTask::default() };
    assert!(!may_start(&strange, 4, 4));
}
