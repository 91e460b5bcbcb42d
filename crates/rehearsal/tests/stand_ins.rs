//! Tests that the stand-ins follow the protocol, and that each fault has its effect on messages.

#![allow(clippy::too_many_lines, reason = "a table of cases is one function")]

use millethold::time::Micros;
use millethold::wire::{
    Command, Condition, DirectCommands, EndCause, FencingToken, TaskState, Txn, WorkerIncarnation,
    Write,
};
use millethold_rehearsal::faults::{
    Cut, Fault, PlannedFault, SomeWorkers, draw_failover_series, draw_faults,
};
use millethold_rehearsal::history::{Observation, TaskEnd};
use millethold_rehearsal::jobs::{JobPlan, Jobs, draw_jobs};
use millethold_rehearsal::kv_store::{KvStore, TxnOutcome};
use millethold_rehearsal::links::{
    Delivery, Direction, Link, StoreBehavior, store_behavior, transmit,
};
use millethold_rehearsal::settings::WORKER_LEASE;
use millethold_rehearsal::worker::{TimedObservation, Worker};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;
use std::collections::BTreeSet;

const NOW: Micros = Micros::secs(100);

fn plan(id: &str, cpus: f64, save_time: Micros) -> JobPlan {
    JobPlan {
        id: id.into(),
        team: 2,
        tasks: 4,
        cpus,
        run_time: Micros::secs(5),
        priority: "standard",
        image: "img".into(),
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        save_time,
        always_fails: false,
        dependencies: Vec::new(),
        submit_at: Micros::ZERO,
        cancel_at: None,
    }
}

fn jobs() -> Jobs {
    let plans = [
        plan("j-1", 1.0, Micros::ZERO),
        plan("j-2", 4.0, Micros::ZERO),
        plan("j-3", 1.0, Micros::secs(1)),
    ];
    Jobs { plans: plans.into_iter().map(|plan| (plan.id.clone(), plan)).collect() }
}

fn worker() -> Worker {
    Worker::new("vm-1".into(), "a", false, NOW, 0)
}

fn start(task: &str, attempt: u64) -> Command {
    Command::Start { task: task.into(), attempt }
}

fn stop(task: &str, attempt: u64, grace_s: f64) -> Command {
    Command::Stop { task: task.into(), attempt, grace_s }
}

fn forget(task: &str, attempt: u64) -> Command {
    Command::Forget { task: task.into(), attempt }
}

fn direct(fencing_token: u64, incarnation: u64, commands: Vec<Command>) -> DirectCommands {
    DirectCommands {
        fencing_token: FencingToken(fencing_token),
        incarnation: WorkerIncarnation(incarnation),
        commands,
    }
}

/// The tasks that the worker reports: task, attempt, state, cause.
fn reported(worker: &mut Worker) -> Vec<(String, u64, TaskState, Option<EndCause>)> {
    let heartbeat = worker.report("10.1.0.1:1".into());
    heartbeat.tasks.into_iter().map(|t| (t.task, t.attempt, t.state, t.cause)).collect()
}

fn started_tasks(observations: &[TimedObservation]) -> usize {
    observations
        .iter()
        .filter(|(_, observation)| matches!(observation, Observation::TaskStarted { .. }))
        .count()
}

/// A worker executes commands in order, and each once, as the protocol requires.
#[test]
fn commands_execute_once_in_order() {
    use TaskState::{Exited, Fetching, Running};
    let exited = |attempt, cause| ("j-1/0".to_string(), attempt, Exited, Some(cause));
    let fetching = |attempt| ("j-1/0".to_string(), attempt, Fetching, None);
    // Commands, and the tasks reported after them.
    let table = [
        ("a start", vec![start("j-1/0", 1)], vec![fetching(1)]),
        ("the same again", vec![start("j-1/0", 1), start("j-1/0", 1)], vec![fetching(1)]),
        (
            "another attempt of a task that is already there",
            vec![start("j-1/0", 1), start("j-1/0", 2)],
            vec![fetching(1), exited(2, EndCause::Busy)],
        ),
        (
            "a job that no user submitted",
            vec![start("j-7/0", 1)],
            vec![("j-7/0".to_string(), 1, Exited, Some(EndCause::NoSuchTask))],
        ),
        (
            "a task that the job does not have",
            vec![start("j-1/4", 1)],
            vec![("j-1/4".to_string(), 1, Exited, Some(EndCause::NoSuchTask))],
        ),
        (
            "stopped, and started again",
            vec![start("j-1/0", 1), stop("j-1/0", 1, 0.0), start("j-1/0", 1)],
            vec![exited(1, EndCause::Stopped)],
        ),
        (
            "stopped, forgotten and started again",
            vec![start("j-1/0", 1), stop("j-1/0", 1, 0.0), forget("j-1/0", 1), start("j-1/0", 1)],
            vec![fetching(1)],
        ),
        (
            "a task that has not exited is not forgotten",
            vec![start("j-1/0", 1), forget("j-1/0", 1)],
            vec![fetching(1)],
        ),
    ];
    for (name, commands, want) in table {
        let mut worker = worker();
        let (executed, _) = worker.execute_direct(NOW, direct(1, 1, commands), &jobs());
        assert!(executed, "{name}");
        assert_eq!(reported(&mut worker), want, "{name}");
    }
    let mut full_worker = worker();
    full_worker.execute_direct(
        NOW,
        direct(1, 1, vec![start("j-2/0", 1), start("j-1/0", 1)]),
        &jobs(),
    );
    assert!(
        reported(&mut full_worker).contains(&exited(1, EndCause::NoCapacity)),
        "fetching tasks count"
    );

    // A stopped task that saves a checkpoint ends after saving, or at once on a second stop.
    for (second_grace, delay) in [(None, Micros::secs(1)), (Some(0.0), Micros::ZERO)] {
        let mut saving = worker();
        saving.execute_direct(NOW, direct(1, 1, vec![start("j-3/0", 1)]), &jobs());
        let started_at = NOW + Micros::millis(300);
        assert_eq!(
            started_tasks(&saving.advance(started_at)),
            1,
            "the task starts once its image is fetched"
        );
        assert_eq!(reported(&mut saving)[0].2, Running);
        saving.execute_direct(started_at, direct(1, 1, vec![stop("j-3/0", 1, 2.0)]), &jobs());
        let mut observations = Vec::new();
        if let Some(grace) = second_grace {
            observations = saving
                .execute_direct(started_at, direct(1, 1, vec![stop("j-3/0", 1, grace)]), &jobs())
                .1;
        }
        observations.extend(saving.advance(started_at + Micros::secs(2)));
        let end_times: Vec<Micros> = observations.iter().map(|(at, _)| *at).collect();
        assert_eq!(end_times, [started_at + delay], "{second_grace:?}");
    }
}

/// Fencing tokens and incarnations decide whether commands are executed; answers renew the lease.
#[test]
fn fencing_tokens_incarnations_and_leases() {
    // Token and incarnation of the commands, and whether they are executed by a worker in its first
    // incarnation that has received fencing token 5.
    for (fencing_token, incarnation, want) in
        [(5, 1, true), (6, 1, true), (4, 1, false), (5, 2, false)]
    {
        let mut worker = worker();
        worker.execute_direct(NOW, direct(5, 1, Vec::new()), &jobs());
        let commands = direct(fencing_token, incarnation, vec![start("j-1/0", 1)]);
        let (executed, _) = worker.execute_direct(NOW, commands, &jobs());
        assert_eq!(executed, want, "token {fencing_token}, incarnation {incarnation}");
        assert_eq!(reported(&mut worker).len(), usize::from(want));
    }
    // An answer renews the lease from when its heartbeat was sent. An answer with a lower fencing
    // token, or to a heartbeat of an earlier incarnation, does not.
    let mut worker = worker();
    worker.make_heartbeat(NOW + Micros::secs(4), Micros::ZERO, String::new());
    let heartbeat = worker.heartbeat_in_flight.expect("a heartbeat");
    worker.heartbeat_answered(
        NOW + Micros::secs(7),
        heartbeat,
        FencingToken(5),
        vec![start("j-1/0", 1)],
        &jobs(),
    );
    let low = worker.heartbeat_answered(
        NOW + Micros::secs(7),
        heartbeat,
        FencingToken(4),
        vec![start("j-1/1", 1)],
        &jobs(),
    );
    assert_eq!((low.len(), reported(&mut worker).len()), (0, 1));
    let lease_expires_at = NOW + Micros::secs(4) + WORKER_LEASE;
    let observations = worker.advance(lease_expires_at);
    assert_eq!(worker.report(String::new()).incarnation, WorkerIncarnation(1), "{observations:?}");
    worker.advance(lease_expires_at + Micros(1));
    assert_eq!(
        (worker.report(String::new()).incarnation, reported(&mut worker).len()),
        (WorkerIncarnation(2), 0)
    );
    let late = worker.heartbeat_answered(
        lease_expires_at + Micros(2),
        heartbeat,
        FencingToken(5),
        vec![start("j-1/2", 1)],
        &jobs(),
    );
    assert_eq!(
        (late.len(), reported(&mut worker).len()),
        (0, 0),
        "the heartbeat of an earlier incarnation"
    );
}

/// The tasks of a hung machine continue later; its lease runs on.
#[test]
fn lease_runs_on_while_the_machine_hangs() {
    // How long the machine hangs, and when and how its task of five seconds ends.
    let fetch_time = Micros::millis(300);
    let table = [
        (Micros::ZERO, fetch_time + Micros::secs(5), TaskEnd::Done),
        (Micros::secs(2), fetch_time + Micros::secs(7), TaskEnd::Done),
        (Micros::secs(20), WORKER_LEASE + Micros(1), TaskEnd::LeaseExpired),
    ];
    for (hang_time, after, want) in table {
        let mut worker = worker();
        worker.execute_direct(NOW, direct(1, 1, vec![start("j-1/0", 1)]), &jobs());
        worker.advance(NOW + fetch_time);
        worker.hang(NOW + fetch_time, NOW + fetch_time + hang_time);
        let observations = worker.advance(NOW + Micros::secs(30));
        let ended = observations.iter().find_map(|(at, observation)| match observation {
            Observation::TaskEnded { how, .. } => Some((*at, *how)),
            _ => None,
        });
        assert_eq!(ended, Some((NOW + after, want)), "{hang_time:?}");
    }
}

/// Transactions compare and swap atomically; keys are removed with their lease.
#[test]
fn kv_store_transactions_and_leases() {
    let put = |key: &str, lease| Write::Put { key: key.into(), value: json!(1), lease };
    let condition = |key: &str, revision| Condition { key: key.into(), revision };
    let mut kv_store = KvStore::default();
    let lease = kv_store.grant_lease(NOW, Micros::secs(5));
    // Conditions, writes, expected outcome.
    let table = [
        (vec![condition("a", 0)], vec![put("a", Some(lease))], TxnOutcome::Applied(1)),
        (vec![condition("a", 0)], vec![put("a", None)], TxnOutcome::Failed(vec!["a".into()])),
        (
            vec![condition("a", 1), condition("b", 0)],
            vec![put("b", None), put("c", None)],
            TxnOutcome::Applied(2),
        ),
        (vec![condition("b", 2)], vec![], TxnOutcome::Applied(2)),
        (vec![], vec![put("d", Some(lease + 1))], TxnOutcome::NoLease),
        (vec![], vec![Write::Delete { key: "c".into() }], TxnOutcome::Applied(3)),
    ];
    for (conditions, writes, want) in table {
        let txn = Txn { conditions, writes };
        assert_eq!(kv_store.transact(&txn), want, "{txn:?}");
    }
    let revisions = |kv_store: &KvStore| {
        kv_store
            .list("", None, 9)
            .items
            .iter()
            .map(|i| (i.key.clone(), i.revision))
            .collect::<Vec<_>>()
    };
    assert_eq!(revisions(&kv_store), [("a".to_string(), 1), ("b".to_string(), 2)]);
    assert!(kv_store.renew_lease(NOW + Micros::secs(4), lease));
    assert!(!kv_store.expire_leases(NOW + Micros::secs(9)));
    assert!(kv_store.expire_leases(NOW + Micros::secs(9) + Micros(1)));
    assert_eq!(revisions(&kv_store), [("b".to_string(), 2)]);
    assert!(!kv_store.renew_lease(NOW + Micros::secs(10), lease));
    let changes = kv_store.changes_since("", 2).expect("kept");
    let deleted: Vec<Option<&str>> = changes.iter().map(|c| c.delete.as_deref()).collect();
    assert_eq!(deleted, [Some("c"), Some("a")], "in order, the key of the expired lease included");
}

/// Each fault has its effect on messages only while it is active.
#[test]
fn faults_affect_messages() {
    let odd_workers = SomeWorkers { of: 2, rest: 1 };
    let heartbeat = Link::Heartbeat { worker: 1, controller: 0 };
    let command = Link::Command { worker: 1, controller: 0 };
    let peers = Link::Peer { from: 0, to: 1 };
    let kv_store = Link::KvStore { controller: 0 };
    let until = NOW + Micros::secs(3);
    let later = Delivery::At(until + Micros::millis(3));
    let held = Micros::secs(30);
    let all_held = Fault::DelayedCommands { percent: 100, least: held, most: held };
    let (request, answer) = (Direction::Request, Direction::Response);
    // Fault, link, direction, expected delivery of the message.
    let table = [
        (Fault::CutPeers { controller: 1, cut: Cut::Held }, peers, request, later),
        (Fault::CutPeers { controller: 2, cut: Cut::Held }, peers, request, Delivery::At(NOW)),
        (Fault::CutPeers { controller: 0, cut: Cut::Reset }, peers, request, Delivery::Reset),
        (Fault::CutOneWay { from: 0, to: 1 }, peers, request, later),
        (Fault::CutOneWay { from: 1, to: 0 }, peers, request, Delivery::At(NOW)),
        (Fault::CutKvStore { controller: 0, cut: Cut::Held }, kv_store, request, later),
        (Fault::CutKvStore { controller: 1, cut: Cut::Held }, kv_store, request, Delivery::At(NOW)),
        (Fault::CutWorkers { controller: 0, cut: Cut::Reset }, heartbeat, request, Delivery::Reset),
        (
            Fault::CutWorkers { controller: 1, cut: Cut::Reset },
            heartbeat,
            request,
            Delivery::At(NOW),
        ),
        (Fault::CutSome { workers: odd_workers, cut: Cut::Held }, command, request, later),
        (Fault::Deaf { workers: odd_workers }, heartbeat, request, Delivery::At(NOW)),
        (Fault::Deaf { workers: odd_workers }, heartbeat, answer, Delivery::Lost),
        (Fault::Deaf { workers: odd_workers }, command, request, Delivery::Lost),
        (Fault::Mute { workers: odd_workers }, heartbeat, request, Delivery::Reset),
        (Fault::Mute { workers: odd_workers }, command, request, Delivery::At(NOW)),
        // Heartbeats arrive as usual while commands are held.
        (all_held, command, request, Delivery::At(NOW + held)),
        (all_held, command, answer, Delivery::At(NOW)),
        (all_held, heartbeat, request, Delivery::At(NOW)),
        (Fault::CutUsers { controller: 0 }, Link::User { controller: 0 }, request, Delivery::Reset),
        (Fault::RefuseAll, kv_store, request, Delivery::At(NOW)),
    ];
    let mut rng = StdRng::seed_from_u64(1);
    for (fault, link, direction, want) in table {
        let planned = [PlannedFault { at: NOW, until, fault }];
        let got = transmit(&planned, &mut rng, NOW, link, direction);
        assert_eq!(got, want, "{fault:?} {link:?} {direction:?}");
        for outside in [NOW - Micros(1), until] {
            let got = transmit(&planned, &mut rng, outside, link, direction);
            assert_eq!(got, Delivery::At(outside), "{fault:?} at {outside:?}");
        }
    }
    // Fault, whether the call is a write, expected behavior of the key-value store.
    let table = [
        (Fault::RefuseAll, false, StoreBehavior::Refused),
        (Fault::RefuseOne { controller: 0 }, false, StoreBehavior::Refused),
        (Fault::RefuseOne { controller: 1 }, false, StoreBehavior::Served),
        (Fault::LostAnswers { percent: 100 }, true, StoreBehavior::AnswerLost),
        (Fault::LostAnswers { percent: 100 }, false, StoreBehavior::Served),
        (Fault::LateWrites { percent: 100 }, false, StoreBehavior::Served),
    ];
    for (fault, is_write, want) in table {
        let planned = [PlannedFault { at: NOW, until, fault }];
        assert_eq!(
            store_behavior(&planned, &mut rng, NOW, 0, is_write),
            want,
            "{fault:?} {is_write}"
        );
    }
    let late = [PlannedFault { at: NOW, until, fault: Fault::LateWrites { percent: 100 } }];
    let served = store_behavior(&late, &mut rng, NOW, 0, true);
    assert!(matches!(served, StoreBehavior::Late(at) if at > NOW), "{served:?}");
}

/// The same seed draws the same faults and jobs, and another seed draws others. Faults overlap, and
/// every kind of fault is drawn by some seed.
#[test]
fn seed_determines_faults_and_jobs() {
    let duration = Micros::secs(25);
    let draw = |seed: u64| {
        let mut rng = StdRng::seed_from_u64(seed);
        (draw_faults(&mut rng, duration, 3), draw_jobs(&mut rng, duration, 24).plans)
    };
    assert!(draw(5) == draw(5));
    assert!(draw(5) != draw(6));
    let mut kinds = BTreeSet::new();
    for seed in 0..200 {
        let (faults, jobs) = draw(seed);
        let overlap = |f: &PlannedFault| faults.iter().filter(|g| g.active(f.at)).count() > 1;
        assert!(faults.iter().any(overlap), "seed {seed}");
        let ends_after_start = |f: &PlannedFault| f.effects_end_at(3) >= f.until || f.at < f.until;
        assert!(faults.iter().all(ends_after_start), "seed {seed}");
        for fault in &faults {
            let json = serde_json::to_value(fault).expect("JSON");
            kinds.insert(json["fault"].as_str().expect("a kind").to_string());
        }
        assert!(jobs.values().any(|job| job.cancel_at.is_some()), "seed {seed}");
        let known_dependencies =
            |job: &JobPlan| job.dependencies.iter().all(|dependency| jobs.contains_key(dependency));
        assert!(jobs.values().all(known_dependencies), "seed {seed}");
    }
    assert_eq!(kinds.len(), 24, "{kinds:?}");
}

/// A series of failovers begins within the duration, cancels jobs between two failovers, and lets
/// machines hang for less than their lease.
#[test]
fn failover_series_of_a_seed() {
    let duration = Micros::secs(25);
    let draw = |seed| draw_failover_series(&mut StdRng::seed_from_u64(seed), duration);
    assert!(draw(5) == draw(5));
    for faults in (0..200).map(draw) {
        let kills = faults.iter().filter(|f| matches!(f.fault, Fault::KillAll { .. })).count();
        assert!(kills >= 4, "{faults:?}");
        assert!(faults.iter().all(|f| f.at < duration), "{faults:?}");
        let hangs_within_lease = |f: &PlannedFault| {
            matches!(f.fault, Fault::HangAfterFailover { least, most, .. }
                if least < most && most < WORKER_LEASE)
        };
        assert!(faults.iter().any(hangs_within_lease), "{faults:?}");
    }
    let cancels = |f: &PlannedFault| matches!(f.fault, Fault::CancelMany { .. });
    assert!((0..200).map(draw).filter(|faults| faults.iter().any(cancels)).count() > 150);
}
