//! Tests of what the leader of a machine's shard concludes from heartbeats, and of start permits.

use millethold::controller::jobs::job::StoredStage;
use millethold::controller::leadership::fencing_token::{RAISES_PER_TERM, TERM_STRIDE, next_term};
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
    EndCause, FencingToken, Heartbeat, ReportedTask, TaskState, WorkerIncarnation,
};
use std::rc::Rc;

fn attempt_id(attempt: u64) -> AttemptId {
    AttemptId { job: "j-1".into(), index: 0, attempt }
}

fn heartbeat(
    incarnation: u64,
    seq: u64,
    fencing_token: u64,
    tasks: &[(u64, TaskState, Option<EndCause>)],
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
fn conclusions_from_heartbeats() {
    use HeartbeatSource::{DirectResponse, Request};
    let now = Micros::secs(50);
    let mut machine = ManagedMachine::default();
    // A heartbeat without this term's fencing token proves nothing; the next one has it.
    assert!(machine.apply_heartbeat(now, &heartbeat(1, 1, 3, &[]), 4, Request).is_some());
    assert!(!machine.heartbeat_under_term);
    assert!(machine.apply_heartbeat(now, &heartbeat(1, 2, 4, &[]), 4, Request).is_some());
    assert!(machine.heartbeat_under_term);
    // Older and repeated heartbeats are dropped.
    assert!(machine.apply_heartbeat(now, &heartbeat(1, 2, 4, &[]), 4, Request).is_none());
    assert!(machine.apply_heartbeat(now, &heartbeat(1, 1, 4, &[]), 4, Request).is_none());

    // A start in a heartbeat response is in flight until the next heartbeat request, which shows
    // that the response was executed or dropped. A direct response does not show that.
    machine
        .starts
        .in_flight
        .insert(attempt_id(1), StartInFlight { in_response: true, ..StartInFlight::default() });
    machine.apply_heartbeat(now, &heartbeat(1, 3, 4, &[]), 4, DirectResponse);
    assert!(machine.starts.in_flight[&attempt_id(1)].may_still_arrive());
    machine.apply_heartbeat(now, &heartbeat(1, 4, 4, &[]), 4, Request);
    assert!(!machine.starts.in_flight[&attempt_id(1)].may_still_arrive());

    // A direct start without a response stays in flight. Once the attempt is reported, the worker
    // must not forget it, or the late command would start it again.
    machine.starts.in_flight.insert(
        attempt_id(2),
        StartInFlight {
            direct_commands: 1,
            fencing_token: FencingToken(4),
            ..StartInFlight::default()
        },
    );
    machine.record_direct_outcome(&[attempt_id(2)], CommandOutcome::Unknown);
    machine.apply_heartbeat(now, &heartbeat(1, 5, 4, &[]), 4, Request);
    assert!(machine.starts.in_flight[&attempt_id(2)].may_still_arrive());
    let ended = [(2, TaskState::Exited, Some(EndCause::Done))];
    machine.apply_heartbeat(now, &heartbeat(1, 6, 4, &ended), 4, Request);
    assert!(machine.starts.may_start_again.contains_key(&attempt_id(2)));
    // Nor must it while a copy of a direct command that was executed would start it again, which
    // is no longer so once the worker has a higher fencing token.
    machine.starts.in_flight.insert(
        attempt_id(3),
        StartInFlight {
            direct_commands: 1,
            fencing_token: FencingToken(4),
            ..StartInFlight::default()
        },
    );
    let running = [(3, TaskState::Running, None)];
    machine.apply_heartbeat(now, &heartbeat(1, 7, 4, &running), 4, Request);
    machine.record_direct_outcome(&[attempt_id(3)], CommandOutcome::Executed);
    assert!(machine.starts.may_start_if_forgotten(&attempt_id(3), FencingToken(4)));
    assert!(!machine.starts.may_start_if_forgotten(&attempt_id(3), FencingToken(5)));
    // A start that was only in a heartbeat response, or in a direct command that was not sent,
    // cannot arrive again.
    machine
        .starts
        .in_flight
        .insert(attempt_id(4), StartInFlight { in_response: true, ..StartInFlight::default() });
    let not_sent = StartInFlight {
        direct_commands: 1,
        fencing_token: FencingToken(4),
        ..StartInFlight::default()
    };
    machine.starts.in_flight.insert(attempt_id(5), not_sent);
    machine.record_direct_outcome(&[attempt_id(5)], CommandOutcome::NotExecuted);
    let both = [(4, TaskState::Running, None), (5, TaskState::Running, None)];
    machine.apply_heartbeat(now, &heartbeat(1, 8, 4, &both), 4, Request);
    for number in [4, 5] {
        let attempt = attempt_id(number);
        assert!(!machine.starts.may_start_if_forgotten(&attempt, FencingToken(4)), "{attempt:?}");
    }

    // A new incarnation ends all attempts of the earlier one, whose late heartbeats are dropped.
    machine.apply_heartbeat(now, &heartbeat(2, 1, 4, &[]), 4, Request);
    assert_eq!(
        (machine.last_ended_incarnation, machine.tasks.len(), machine.starts.may_start_again.len()),
        (WorkerIncarnation(1), 0, 0)
    );
    assert!(machine.apply_heartbeat(now, &heartbeat(1, 99, 4, &[]), 4, Request).is_none());

    // An incarnation ends after more than a lease without an answered heartbeat. Its late
    // heartbeats are dropped.
    let lease = Micros::secs(12);
    assert!(!machine.expire_incarnation(now + lease, now, lease));
    assert!(machine.expire_incarnation(now + lease + Micros(1), now, lease));
    assert_eq!(
        (machine.last_ended_incarnation, machine.heartbeat_under_term),
        (WorkerIncarnation(2), false)
    );
    assert!(machine.apply_heartbeat(now, &heartbeat(2, 2, 4, &[]), 4, Request).is_none());
    // An incarnation that is observed only in the response to a direct command has a lease of its
    // own, even if no heartbeat was answered for long: its tasks still run.
    let mut direct_only = ManagedMachine::default();
    direct_only.apply_heartbeat(now, &heartbeat(1, 1, 4, &[]), 4, Request);
    let observed_at = now + lease + Micros::secs(3);
    assert!(
        direct_only
            .apply_heartbeat(observed_at, &heartbeat(2, 1, 4, &[]), 4, DirectResponse)
            .is_some()
    );
    assert!(
        !direct_only.expire_incarnation(observed_at + lease, now, lease),
        "its lease may not have expired"
    );
    assert!(direct_only.expire_incarnation(observed_at + lease + Micros(1), now, lease));
    // No task is placed where heartbeats are not answered, even if direct commands are.
    let timeout = Micros::secs(5);
    for (answered_at, want) in [(observed_at, true), (now, false)] {
        assert_eq!(
            direct_only.reports_in_time(observed_at + Micros::secs(1), answered_at, timeout),
            want,
            "{answered_at:?}"
        );
    }
    let mut never_reported = ManagedMachine::default();
    assert!(
        !never_reported.expire_incarnation(now + lease, now, lease)
            && !never_reported.expired_without_heartbeat
    );
    assert!(
        never_reported.expire_incarnation(now + lease + Micros(1), now, lease)
            && never_reported.expired_without_heartbeat
    );

    // If incarnations end although their heartbeats are answered, the worker does not receive
    // commands. An answered direct command, a start that it reports, or an incarnation that lasts
    // for twice its lease shows that it receives them again.
    let mut machine = ManagedMachine::default();
    machine.apply_heartbeat(now, &heartbeat(1, 1, 4, &[]), 4, Request);
    machine.update_responsiveness(now, WorkerIncarnation(0), lease);
    assert!(!machine.unresponsive, "the first incarnation proves nothing");
    machine.answered_at = Some(now);
    machine.apply_heartbeat(now + lease, &heartbeat(2, 1, 4, &[]), 4, Request);
    machine.update_responsiveness(now + lease, WorkerIncarnation(1), lease);
    assert!(!machine.unresponsive, "no heartbeat was answered for long: it was unreachable");
    machine.answered_at = Some(now + lease);
    machine.apply_heartbeat(now + lease + Micros(9), &heartbeat(3, 1, 4, &[]), 4, Request);
    machine.update_responsiveness(now + lease + Micros(9), WorkerIncarnation(2), lease);
    assert!(machine.unresponsive);
    let later = now + lease + lease;
    machine.apply_heartbeat(later, &heartbeat(3, 2, 4, &[]), 4, Request);
    machine.update_responsiveness(later, WorkerIncarnation(3), lease);
    assert!(machine.unresponsive, "the incarnation has not lasted long enough");
    let lasted = later + lease + lease;
    machine.apply_heartbeat(lasted, &heartbeat(3, 3, 4, &[]), 4, Request);
    machine.update_responsiveness(lasted, WorkerIncarnation(3), lease);
    assert!(!machine.unresponsive);
    machine.unresponsive = true;
    machine
        .starts
        .in_flight
        .insert(attempt_id(1), StartInFlight { in_response: true, ..StartInFlight::default() });
    machine.apply_heartbeat(
        lasted,
        &heartbeat(3, 4, 4, &[(1, TaskState::Running, None)]),
        4,
        Request,
    );
    assert!(!machine.unresponsive, "it reports a task that it was sent");

    let table = [
        (TaskState::Fetching, None, ObservedState::Fetching),
        (TaskState::Saving, None, ObservedState::Saving),
        (TaskState::Exited, Some(EndCause::Done), ObservedState::Done),
        (TaskState::Exited, Some(EndCause::Stopped), ObservedState::Stopped),
        (TaskState::Exited, Some(EndCause::NoCapacity), ObservedState::Refused),
        (TaskState::Exited, Some(EndCause::Busy), ObservedState::Refused),
        (TaskState::Exited, Some(EndCause::Error), ObservedState::Failed),
        (TaskState::Exited, Some(EndCause::NoSuchTask), ObservedState::Failed),
        (TaskState::Exited, None, ObservedState::Failed),
    ];
    for (state, cause, want) in table {
        let mut machine = ManagedMachine::default();
        machine.apply_heartbeat(now, &heartbeat(1, 1, 4, &[(1, state, cause)]), 4, Request);
        assert_eq!(machine.tasks[&attempt_id(1)], want, "{state:?} {cause:?}");
    }
}

/// The command authority of a leader in this term, for a machine in its first incarnation.
fn authority(term: u64) -> CommandAuthority {
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

fn desired(phase: Phase, stop_ms: Option<u64>, incarnation: u64) -> DesiredTask {
    let id = attempt_id(2);
    let shape = Shape { job: id.job, ..Shape::default() };
    DesiredTask {
        shape: Rc::new(shape),
        attempt: id.attempt,
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
    let accepted = stored(StoredStage::Accepted);
    // Task, the term that its owner knew, evidence about its job, why it must not start.
    let table = [
        (desired(Phase::Stored, None, 1), 4, accepted, None),
        (desired(Phase::Stored, None, 1), 5, None, None),
        (desired(Phase::Stored, None, 1), 3, accepted, Some(OwnerUnawareOfTerm)),
        (desired(Phase::Stored, None, 1), 0, accepted, Some(OwnerUnawareOfTerm)),
        (desired(Phase::Stored, Some(0), 1), 4, accepted, Some(StopRequested)),
        (desired(Phase::Reserved, None, 1), 4, accepted, Some(NotDesired)),
        (desired(Phase::Ended, None, 1), 4, accepted, Some(NotDesired)),
        (desired(Phase::Stored, None, 2), 4, accepted, Some(OtherIncarnation)),
        (desired(Phase::Stored, None, 1), 4, stored(StoredStage::Cancelled), Some(JobOver)),
        (desired(Phase::Stored, None, 1), 4, stored(StoredStage::Done), Some(JobOver)),
        // An unknown phase of a later version must not permit a start.
        (
            DesiredTask { phase: 77, ..desired(Phase::Stored, None, 1) },
            4,
            accepted,
            Some(NotDesired),
        ),
    ];
    for (task, known, job, want) in table {
        let got = authority(4).permit_start(&task, known, job);
        assert_eq!(got.err(), want, "{task:?} {known} {job:?}");
    }
    let unaware = CommandAuthority { cancellations_known: false, ..authority(4) };
    let task = desired(Phase::Stored, None, 1);
    assert_eq!(unaware.permit_start(&task, 4, accepted).err(), Some(CancellationsUnknown));
}

/// A permit may be used only for the attempt for which it was granted, before the lease expires,
/// and with a fencing token that belongs to the term.
#[test]
fn violations_of_a_permit() {
    use StartViolation::*;
    let expired = CommandAuthority { now: Micros::secs(51), ..authority(4) };
    let low_token = CommandAuthority { fencing_token: FencingToken(3), ..authority(4) };
    let table = [
        ("valid", authority(4), attempt_id(2), None),
        ("lease expired", expired, attempt_id(2), Some(LeaseExpired)),
        ("token below the term", low_token, attempt_id(2), Some(FencingTokenBelowTerm)),
        ("another attempt", authority(4), attempt_id(3), Some(OtherAttempt)),
    ];
    let task = desired(Phase::Stored, None, 1);
    for (name, authority, used_for, want) in table {
        let permit = authority.permit_start(&task, 4, None).expect("a permitted start");
        assert_eq!(permit.command("vm-1", &used_for, CommandRoute::Direct).err(), want, "{name}");
    }
}

/// Guards against a late start that must not be executed. Such a start is revoked with a higher
/// fencing token, and counts as unable to arrive once the worker has reported that token.
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
    let in_response = StartInFlight { in_response: true, ..StartInFlight::default() };
    // How it was sent, why it must not be executed, whether the token is raised.
    let table = [
        (direct, Some(Refused(JobOver)), true),
        (late, Some(Refused(JobOver)), true),
        // Most direct commands are answered within milliseconds.
        (direct, Some(Refused(StopRequested)), false),
        (late, Some(Refused(StopRequested)), true),
        (late, Some(DesiredByNoShard), true),
        (late, None, false),
        // The worker drops late heartbeat responses.
        (in_response, Some(Refused(JobOver)), false),
        // The worker already refuses commands with this token.
        (StartInFlight { fencing_token: FencingToken(3), ..late }, Some(Refused(JobOver)), false),
    ];
    for (sent, refusal, want) in table {
        let mut machine = ManagedMachine::default();
        machine.starts.in_flight.insert(attempt_id(1), sent);
        let revoked = machine.starts.find_revocation(FencingToken(4), |_| refusal);
        assert_eq!(revoked.is_some(), want, "{sent:?} {refusal:?}");
    }

    // Only the worker's own report shows that it has received the higher token.
    let now = Micros::secs(50);
    let term = next_term(4);
    let mut machine = ManagedMachine::default();
    assert!(machine.apply_heartbeat(now, &heartbeat(1, 1, term, &[]), term, Request).is_some());
    machine.starts.in_flight.insert(
        attempt_id(1),
        StartInFlight {
            may_arrive_late: true,
            fencing_token: FencingToken(term),
            ..StartInFlight::default()
        },
    );
    machine.raise_fencing_token();
    let raised = machine.fencing_token(term).expect("a raised fencing token");
    assert!(raised > FencingToken(term) && raised < FencingToken(next_term(term)));
    machine.apply_heartbeat(now, &heartbeat(1, 2, term, &[]), term, Request);
    assert!(
        machine.starts.in_flight[&attempt_id(1)].may_still_arrive(),
        "the response may have been lost"
    );
    machine.apply_heartbeat(now, &heartbeat(1, 3, raised.0, &[]), term, Request);
    assert!(!machine.starts.in_flight[&attempt_id(1)].may_still_arrive());
    // Of the commands whose outcome becomes unknown now, one with the old token can no longer be
    // executed; one with the raised token can.
    for (number, fencing_token, want) in [(2, FencingToken(term), false), (3, raised, true)] {
        machine.starts.in_flight.insert(
            attempt_id(number),
            StartInFlight { direct_commands: 1, fencing_token, ..StartInFlight::default() },
        );
        machine.record_direct_outcome(&[attempt_id(number)], CommandOutcome::Unknown);
        assert_eq!(
            machine.starts.in_flight[&attempt_id(number)].may_still_arrive(),
            want,
            "{fencing_token:?}"
        );
    }
    // The worker may forget a listed attempt once its late start can no longer be executed.
    let ended = [(3, TaskState::Exited, Some(EndCause::Done))];
    machine.apply_heartbeat(now, &heartbeat(1, 4, raised.0, &ended), term, Request);
    assert!(machine.starts.may_start_again.contains_key(&attempt_id(3)));
    machine.raise_fencing_token();
    machine.apply_heartbeat(now, &heartbeat(1, 5, raised.0 + 1, &ended), term, Request);
    assert!(!machine.starts.may_start_again.contains_key(&attempt_id(3)));
    // The tokens of a term are limited, and none belongs to another term. A new term is due while
    // there are some left.
    assert!(!machine.has_used_term());
    for _ in 0..RAISES_PER_TERM {
        machine.raise_fencing_token();
    }
    assert!(machine.has_used_term());
    assert!(machine.fencing_token(term).is_some_and(|token| token.0 < next_term(term)));
    for _ in 0..TERM_STRIDE {
        machine.raise_fencing_token();
    }
    assert_eq!(machine.fencing_token(term), None);
}
