//! Tests of the checks for dependencies: each check can fail, and accepts what is allowed.

use super::{add_job, pass_time};
use crate::simulation::World;
use crate::simulation::row::blue;
use millethold::time::Micros;

/// Injects a fact into a run without controllers, with a job, one that depends on it, and one that
/// depends on the second. Returns the violations found before the fact and with it.
fn violations_of(setup: fn(&mut World), fact: fn(&mut World)) -> (Vec<String>, Vec<String>) {
    let mut plans = vec![blue(1_000, 2, 5.0)];
    let second = add_job(&mut plans, &[0], blue(1_000, 1, 5.0));
    add_job(&mut plans, &[second], blue(1_000, 3, 5.0));
    World::without_controllers(&plans).check_fact(setup, fact)
}

/// All jobs are accepted, the first is cancelled, and its user receives `cancelled` at the fifth
/// second.
fn root_cancelled(w: &mut World) {
    w.inject_accepted_job(0, true);
    w.inject_accepted_job(1, false);
    w.inject_accepted_job(2, false);
    w.inject_answer(0, None, 200, "cancelled");
}

#[test]
fn dependency_checks_can_fail() {
    type Case = (&'static str, &'static str, fn(&mut World), fn(&mut World));
    let nothing: fn(&mut World) = |_| {};
    let table: Vec<Case> = vec![
        ("started before its dependency", "too_early", nothing, |w| w.inject_start(0, 1, 0)),
        (
            "started as one task of two is done",
            "too_early",
            |w| w.inject_completed_tasks(0, 1),
            |w| w.inject_start(0, 1, 0),
        ),
        (
            "started as only the first of all is done",
            "too_early",
            |w| w.inject_job_end(0),
            |w| w.inject_start(0, 2, 0),
        ),
        ("queued for too long", "orphaned", root_cancelled, |w| {
            w.now += Micros::secs(31);
            w.inject_answer(1, Some(36), 200, "queued");
        }),
        ("running for too long", "orphaned", root_cancelled, |w| {
            w.now += Micros::secs(31);
            w.inject_answer(1, Some(36), 200, "running");
        }),
        ("queued for too long, through another", "orphaned", root_cancelled, |w| {
            w.now += Micros::secs(31);
            w.inject_answer(2, Some(36), 200, "queued");
        }),
        ("queued for too long, by a repeated submission", "orphaned", root_cancelled, |w| {
            w.now += Micros::secs(31);
            w.inject_repeat_answer(2, 36, 200, "queued");
        }),
        ("started too late", "orphaned: j-015851/0 started", root_cancelled, |w| {
            w.inject_job_end(1);
            w.now += Micros::secs(31);
            w.inject_start(0, 2, 0);
        }),
        (
            "a task on its machine for too long",
            "orphaned: j-015851/0 still there",
            |w| {
                w.inject_job_end(1);
                root_cancelled(w);
                w.inject_start(0, 2, 0);
                w.violations.clear();
            },
            |w| w.now += Micros::secs(31),
        ),
        ("done though the first is cancelled", "orphaned", root_cancelled, |w| {
            w.inject_job_end(1);
            w.inject_answer(1, Some(6), 200, "done");
        }),
        (
            "the first cancelled though the next is done",
            "orphaned",
            |w| {
                w.inject_accepted_job(0, true);
                w.inject_accepted_job(1, false);
                w.inject_job_end(1);
                w.inject_answer(1, Some(6), 200, "done");
            },
            |w| w.inject_answer(0, None, 200, "cancelled"),
        ),
        (
            "cancelled though no user cancelled any job",
            "went_back",
            |w| {
                w.inject_accepted_job(0, false);
                w.inject_accepted_job(1, false);
            },
            |w| w.inject_answer(1, Some(6), 200, "cancelled"),
        ),
        (
            "cancelled though the cancellation was answered with done",
            "went_back",
            |w| {
                w.inject_accepted_job(0, true);
                w.inject_accepted_job(1, false);
                w.inject_job_end(0);
                w.inject_answer(0, None, 200, "done");
            },
            |w| w.inject_answer(1, Some(6), 200, "cancelled"),
        ),
        (
            "cancelled, and then the cancellation answered with done",
            "went_back",
            |w| {
                w.inject_accepted_job(0, true);
                w.inject_accepted_job(1, false);
                w.inject_job_end(0);
                w.inject_answer(1, Some(6), 200, "cancelled");
            },
            |w| w.inject_answer(0, None, 200, "done"),
        ),
        (
            "the first cancelled because the next was cancelled",
            "went_back",
            |w| {
                w.inject_accepted_job(0, false);
                w.inject_accepted_job(1, true);
            },
            |w| w.inject_answer(0, Some(6), 200, "cancelled"),
        ),
        (
            "queued after it was cancelled with the first",
            "went_back",
            |w| {
                root_cancelled(w);
                w.inject_answer(1, Some(5), 200, "cancelled");
            },
            |w| w.inject_answer(1, Some(6), 200, "queued"),
        ),
        (
            "refused",
            "refused",
            |w| w.inject_accepted_job(0, false),
            |w| w.inject_submission_answer(1, 422),
        ),
        (
            "left waiting after its dependency",
            "left waiting",
            |w| {
                w.inject_accepted_job(1, false);
                w.inject_job_end(0);
            },
            |w| pass_time(w, 92),
        ),
    ];
    for (name, rule, setup, fact) in table {
        let (early, found) = violations_of(setup, fact);
        assert!(early.is_empty(), "{name}: violations before the fact: {early:?}");
        assert!(found.iter().any(|b| b.contains(rule)), "{name}: {rule} is not among {found:?}");
    }
}

#[test]
fn dependency_checks_accept_what_is_allowed() {
    type Case = (&'static str, fn(&mut World), fn(&mut World));
    let table: Vec<Case> = vec![
        ("queued as long as that is allowed", root_cancelled, |w| {
            w.now += Micros::secs(30);
            w.inject_answer(1, Some(35), 200, "queued");
            w.inject_answer(2, Some(35), 200, "queued");
        }),
        ("sent in time, received later", root_cancelled, |w| {
            w.now += Micros::secs(31);
            w.inject_answer(1, Some(35), 200, "queued");
        }),
        ("cancelled with the first", root_cancelled, |w| {
            w.inject_answer(1, Some(6), 200, "cancelled");
            w.inject_answer(2, Some(6), 200, "cancelled");
        }),
        (
            "cancelled before the user of the first receives it",
            |w| {
                w.inject_accepted_job(0, true);
                w.inject_accepted_job(1, false);
                w.inject_answer(1, Some(6), 200, "cancelled");
            },
            |w| w.inject_answer(0, None, 200, "cancelled"),
        ),
        (
            "it waits for its dependency, however long",
            |w| w.inject_accepted_job(1, false),
            |w| pass_time(w, 200),
        ),
    ];
    for (name, setup, fact) in table {
        let (early, found) = violations_of(setup, fact);
        assert!(early.is_empty() && found.is_empty(), "{name}: {early:?}, {found:?}");
    }
    // The only fault of this start is that its placement is not stored.
    let (_, found) = violations_of(|w| w.inject_job_end(0), |w| w.inject_start(0, 1, 0));
    assert!(!found.iter().any(|b| b.contains("too_early")), "{found:?}");
}
