//! What a machine's shard concludes from reports, and what it starts.

use millethold::controller::jobs::job::StoredStage;
use millethold::controller::leadership::fencing_token::{TERM_STRIDE, next_term};
use millethold::controller::machines::attempt::AttemptId;
use millethold::controller::machines::machine::ManagedMachine;
use millethold::controller::machines::machine::heartbeat::HeartbeatSource;
use millethold::controller::machines::machine::starts::{CommandOutcome, StartInFlight};
use millethold::controller::machines::start_permit::{
    CommandAuthority, CommandRoute, JobEvidence, RevocationReason, StartRefusal, StartViolation,
};
use millethold::peer::{DesiredTask, ObservedState, Phase, Shape};
use millethold::time::Micros;
use millethold::wire::{
    Cause, FencingToken, Heartbeat, ReportedTask, TaskState, WorkerIncarnation,
};
use std::rc::Rc;

fn key(attempt: u64) -> AttemptId {
    AttemptId { job: "j-1".into(), index: 0, attempt }
}

fn heartbeat(
    incarnation: u64,
    seq: u64,
    fencing_token: u64,
    tasks: &[(u64, TaskState, Option<Cause>)],
) -> Heartbeat {
    Heartbeat {
        machine: "vm-1".into(),
        address: "10.1.0.1:9000".into(),
        machine_type: "t4".into(),
        zone: "a".into(),
        spot: false,
        incarnation: WorkerIncarnation(incarnation),
        seq,
        fencing_token: FencingToken(fencing_token),
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
fn heartbeats_and_what_they_prove() {
    use HeartbeatSource::{DirectResponse, Request};
    let now = Micros::secs(50);
    let mut post = ManagedMachine::default();
    // A report that has not seen the term proves nothing; the next one does.
    assert!(post.apply_heartbeat(now, &heartbeat(1, 1, 3, &[]), 4, Request).is_some());
    assert!(!post.heartbeat_under_term);
    assert!(post.apply_heartbeat(now, &heartbeat(1, 2, 4, &[]), 4, Request).is_some());
    assert!(post.heartbeat_under_term);
    // Older and repeated messages are dropped.
    assert!(post.apply_heartbeat(now, &heartbeat(1, 2, 4, &[]), 4, Request).is_none());
    assert!(post.apply_heartbeat(now, &heartbeat(1, 1, 4, &[]), 4, Request).is_none());

    // A start in an answer is open until the next report, which alone shows
    // that the answer was executed or dropped; a direct answer does not.
    post.starts
        .in_flight
        .insert(key(1), StartInFlight { in_response: true, ..StartInFlight::default() });
    post.apply_heartbeat(now, &heartbeat(1, 3, 4, &[]), 4, DirectResponse);
    assert!(post.starts.in_flight[&key(1)].may_still_arrive());
    post.apply_heartbeat(now, &heartbeat(1, 4, 4, &[]), 4, Request);
    assert!(!post.starts.in_flight[&key(1)].may_still_arrive());

    // A direct start without an answer stays open, and once it is reported
    // the attempt must not be cleared: the late command would start it anew.
    post.starts.in_flight.insert(
        key(2),
        StartInFlight {
            direct_commands: 1,
            fencing_token: FencingToken(4),
            ..StartInFlight::default()
        },
    );
    post.record_direct_outcome(&[key(2)], CommandOutcome::Unknown);
    post.apply_heartbeat(now, &heartbeat(1, 5, 4, &[]), 4, Request);
    assert!(post.starts.in_flight[&key(2)].may_still_arrive());
    let ended = [(2, TaskState::Exited, Some(Cause::Done))];
    post.apply_heartbeat(now, &heartbeat(1, 6, 4, &ended), 4, Request);
    assert!(post.starts.may_start_again.contains_key(&key(2)));
    // An answered one closes it.
    post.starts.in_flight.insert(
        key(3),
        StartInFlight {
            direct_commands: 1,
            fencing_token: FencingToken(4),
            ..StartInFlight::default()
        },
    );
    let running = [(3, TaskState::Running, None)];
    post.apply_heartbeat(now, &heartbeat(1, 7, 4, &running), 4, Request);
    post.record_direct_outcome(&[key(3)], CommandOutcome::Executed);
    assert!(!post.starts.may_start_again.contains_key(&key(3)));

    // A new session ends everything before it and fences what is late.
    post.apply_heartbeat(now, &heartbeat(2, 1, 4, &[]), 4, Request);
    assert_eq!(
        (post.last_ended_incarnation, post.tasks.len(), post.starts.may_start_again.len()),
        (WorkerIncarnation(1), 0, 0)
    );
    assert!(post.apply_heartbeat(now, &heartbeat(1, 99, 4, &[]), 4, Request).is_none());

    // Silence for a lease, and not less, ends the session; its reports, come
    // late, are not answered any more.
    let lease = Micros::secs(12);
    assert!(!post.expire_incarnation(now + lease, now, lease));
    assert!(post.expire_incarnation(now + lease + Micros(1), now, lease));
    assert_eq!(
        (post.last_ended_incarnation, post.heartbeat_under_term),
        (WorkerIncarnation(2), false)
    );
    assert!(post.apply_heartbeat(now, &heartbeat(2, 2, 4, &[]), 4, Request).is_none());
    // A session that only a direct command's answer told of has a lease of its own,
    // though no report was answered for long: what it was given still runs.
    let mut mute = ManagedMachine::default();
    mute.apply_heartbeat(now, &heartbeat(1, 1, 4, &[]), 4, Request);
    let heard = now + lease + Micros::secs(3);
    assert!(mute.apply_heartbeat(heard, &heartbeat(2, 1, 4, &[]), 4, DirectResponse).is_some());
    assert!(!mute.expire_incarnation(heard + lease, now, lease), "its lease may still run");
    assert!(mute.expire_incarnation(heard + lease + Micros(1), now, lease));
    // Nothing new is put where reports are not answered, however well it hears.
    let silent = Micros::secs(5);
    for (base, want) in [(heard, true), (now, false)] {
        assert_eq!(mute.reports_in_time(heard + Micros::secs(1), base, silent), want, "{base:?}");
    }
    let mut never = ManagedMachine::default();
    assert!(!never.expire_incarnation(now + lease, now, lease) && !never.expired_without_heartbeat);
    assert!(
        never.expire_incarnation(now + lease + Micros(1), now, lease)
            && never.expired_without_heartbeat
    );

    // Sessions that end although reports are answered: it hears nothing. An
    // answered direct command, a start that it has, or a session that lasts
    // for twice its lease shows that it hears again.
    let mut post = ManagedMachine::default();
    post.apply_heartbeat(now, &heartbeat(1, 1, 4, &[]), 4, Request);
    post.update_responsiveness(now, WorkerIncarnation(0), lease);
    assert!(!post.unresponsive, "the first session says nothing");
    post.answered_at = Some(now);
    post.apply_heartbeat(now + lease, &heartbeat(2, 1, 4, &[]), 4, Request);
    post.update_responsiveness(now + lease, WorkerIncarnation(1), lease);
    assert!(!post.unresponsive, "nothing was answered for long: it was away");
    post.answered_at = Some(now + lease);
    post.apply_heartbeat(now + lease + Micros(9), &heartbeat(3, 1, 4, &[]), 4, Request);
    post.update_responsiveness(now + lease + Micros(9), WorkerIncarnation(2), lease);
    assert!(post.unresponsive);
    let later = now + lease + lease;
    post.apply_heartbeat(later, &heartbeat(3, 2, 4, &[]), 4, Request);
    post.update_responsiveness(later, WorkerIncarnation(3), lease);
    assert!(post.unresponsive, "a session that has not lasted yet");
    let lasted = later + lease + lease;
    post.apply_heartbeat(lasted, &heartbeat(3, 3, 4, &[]), 4, Request);
    post.update_responsiveness(lasted, WorkerIncarnation(3), lease);
    assert!(!post.unresponsive);
    post.unresponsive = true;
    post.starts
        .in_flight
        .insert(key(1), StartInFlight { in_response: true, ..StartInFlight::default() });
    post.apply_heartbeat(lasted, &heartbeat(3, 4, 4, &[(1, TaskState::Running, None)]), 4, Request);
    assert!(!post.unresponsive, "it has what it was told to start");

    let table = [
        (TaskState::Fetching, None, ObservedState::Fetching),
        (TaskState::Saving, None, ObservedState::Saving),
        (TaskState::Exited, Some(Cause::Done), ObservedState::Done),
        (TaskState::Exited, Some(Cause::Stopped), ObservedState::Stopped),
        (TaskState::Exited, Some(Cause::NoRoom), ObservedState::Refused),
        (TaskState::Exited, Some(Cause::Busy), ObservedState::Refused),
        (TaskState::Exited, Some(Cause::Error), ObservedState::Failed),
        (TaskState::Exited, Some(Cause::Unknown), ObservedState::Failed),
        (TaskState::Exited, None, ObservedState::Failed),
    ];
    for (state, cause, want) in table {
        let mut post = ManagedMachine::default();
        post.apply_heartbeat(now, &heartbeat(1, 1, 4, &[(1, state, cause)]), 4, Request);
        assert_eq!(post.tasks[&key(1)], want, "{state:?} {cause:?}");
    }
}

/// The rights of a manager under this term, towards a machine in its first session.
fn manager(term: u64) -> CommandAuthority {
    CommandAuthority {
        now: Micros::secs(50),
        shard: 0,
        term,
        fencing_token: FencingToken(term),
        incarnation: WorkerIncarnation(1),
        lease_until: Micros::secs(51),
        cancellations_known: true,
    }
}

fn wanted(phase: Phase, stop_ms: Option<u64>, incarnation: u64) -> DesiredTask {
    let key = key(2);
    let shape = Shape { job: key.job, ..Shape::default() };
    DesiredTask {
        shape: Rc::new(shape),
        attempt: key.attempt,
        incarnation: WorkerIncarnation(incarnation),
        stop_ms,
        phase: phase as i32,
        ..DesiredTask::default()
    }
}

#[test]
fn start_permits() {
    use StartRefusal::*;
    let stored = |stage| Some(JobEvidence { stage, revision: 7 });
    let waits = stored(StoredStage::Accepted);
    // Task, the term that its owner knew, its job, why it does not start.
    let table = [
        (wanted(Phase::DesiredHere, None, 1), 4, waits, None),
        (wanted(Phase::DesiredHere, None, 1), 5, None, None),
        (wanted(Phase::DesiredHere, None, 1), 3, waits, Some(OwnerUnawareOfTerm)),
        (wanted(Phase::DesiredHere, None, 1), 0, waits, Some(OwnerUnawareOfTerm)),
        (wanted(Phase::DesiredHere, Some(0), 1), 4, waits, Some(StopRequested)),
        (wanted(Phase::Ahead, None, 1), 4, waits, Some(NotDesired)),
        (wanted(Phase::Over, None, 1), 4, waits, Some(NotDesired)),
        (wanted(Phase::DesiredHere, None, 2), 4, waits, Some(OtherIncarnation)),
        (wanted(Phase::DesiredHere, None, 1), 4, stored(StoredStage::Cancelled), Some(JobOver)),
        (wanted(Phase::DesiredHere, None, 1), 4, stored(StoredStage::Done), Some(JobOver)),
        // A phase of a later version must not read as one that starts.
        (
            DesiredTask { phase: 77, ..wanted(Phase::DesiredHere, None, 1) },
            4,
            waits,
            Some(NotDesired),
        ),
    ];
    for (task, known, job, want) in table {
        let got = manager(4).permit_start(&task, known, job);
        assert_eq!(got.err(), want, "{task:?} {known} {job:?}");
    }
    let blind = CommandAuthority { cancellations_known: false, ..manager(4) };
    let task = wanted(Phase::DesiredHere, None, 1);
    assert_eq!(blind.permit_start(&task, 4, waits).err(), Some(CancellationsUnknown));
}

/// What a right is used for must be what it was given for, by one who still may act.
#[test]
fn violations_of_a_permit() {
    use StartViolation::*;
    let over = CommandAuthority { now: Micros::secs(51), ..manager(4) };
    let low = CommandAuthority { fencing_token: FencingToken(3), ..manager(4) };
    let table = [
        ("as it should be", manager(4), key(2), None),
        ("past the lease", over, key(2), Some(LeaseExpired)),
        ("a token that fences nothing", low, key(2), Some(FencingTokenBelowTerm)),
        ("another attempt", manager(4), key(3), Some(OtherAttempt)),
    ];
    let task = wanted(Phase::DesiredHere, None, 1);
    for (name, manager, used_for, want) in table {
        let right = manager.permit_start(&task, 4, None).expect("nothing is known against it");
        assert_eq!(right.command("vm-1", &used_for, CommandRoute::Direct).err(), want, "{name}");
    }
}

/// Which starts are made harmless by a higher token, and that they then are.
#[test]
fn revoked_starts() {
    use HeartbeatSource::Request;
    use RevocationReason::*;
    use StartRefusal::*;
    let direct = StartInFlight {
        direct_commands: 1,
        fencing_token: FencingToken(4),
        ..StartInFlight::default()
    };
    let late = StartInFlight {
        may_arrive_late: true,
        fencing_token: FencingToken(4),
        ..StartInFlight::default()
    };
    let answered = StartInFlight { in_response: true, ..StartInFlight::default() };
    // How it was sent, why it must not be executed, whether the token is raised.
    let table = [
        (direct, Some(Refused(JobOver)), true),
        (late, Some(Refused(JobOver)), true),
        // It mostly is answered within milliseconds.
        (direct, Some(Refused(StopRequested)), false),
        (late, Some(Refused(StopRequested)), true),
        (late, Some(DesiredByNoShard), true),
        (late, None, false),
        // The worker drops late answers.
        (answered, Some(Refused(JobOver)), false),
        // Commands with this token are refused already.
        (StartInFlight { fencing_token: FencingToken(3), ..late }, Some(Refused(JobOver)), false),
    ];
    for (sent, refusal, want) in table {
        let mut post = ManagedMachine::default();
        post.starts.in_flight.insert(key(1), sent);
        let revoked = post.starts.find_revocation(FencingToken(4), |_| refusal);
        assert_eq!(revoked.is_some(), want, "{sent:?} {refusal:?}");
    }

    // Only what the worker itself says shows that it has the higher token.
    let now = Micros::secs(50);
    let term = next_term(4);
    let mut post = ManagedMachine::default();
    assert!(post.apply_heartbeat(now, &heartbeat(1, 1, term, &[]), term, Request).is_some());
    post.starts.in_flight.insert(
        key(1),
        StartInFlight {
            may_arrive_late: true,
            fencing_token: FencingToken(term),
            ..StartInFlight::default()
        },
    );
    post.raise_fencing_token();
    let raised = post.fencing_token(term).expect("the first of many");
    assert!(raised > FencingToken(term) && raised < FencingToken(next_term(term)));
    post.apply_heartbeat(now, &heartbeat(1, 2, term, &[]), term, Request);
    assert!(post.starts.in_flight[&key(1)].may_still_arrive(), "the answer may have been lost");
    post.apply_heartbeat(now, &heartbeat(1, 3, raised.0, &[]), term, Request);
    assert!(!post.starts.in_flight[&key(1)].may_still_arrive());
    // A command of before that is given up now cannot be late any more, another can.
    for (number, fencing_token, want) in [(2, FencingToken(term), false), (3, raised, true)] {
        post.starts.in_flight.insert(
            key(number),
            StartInFlight { direct_commands: 1, fencing_token, ..StartInFlight::default() },
        );
        post.record_direct_outcome(&[key(number)], CommandOutcome::Unknown);
        assert_eq!(
            post.starts.in_flight[&key(number)].may_still_arrive(),
            want,
            "{fencing_token:?}"
        );
    }
    // An attempt that is listed may be cleared once its late start is harmless.
    let ended = [(3, TaskState::Exited, Some(Cause::Done))];
    post.apply_heartbeat(now, &heartbeat(1, 4, raised.0, &ended), term, Request);
    assert!(post.starts.may_start_again.contains_key(&key(3)));
    post.raise_fencing_token();
    post.apply_heartbeat(now, &heartbeat(1, 5, raised.0 + 1, &ended), term, Request);
    assert!(!post.starts.may_start_again.contains_key(&key(3)));
    // A term has no tokens without end, and none is another term's.
    for _ in 0..TERM_STRIDE {
        post.raise_fencing_token();
    }
    assert_eq!(post.fencing_token(term), None);
}
