//! The checks of the rules about dependencies: each can fail, and lets pass what is allowed.

use super::{after, wait};
use crate::simulation::World;
use crate::simulation::row::blue;
use millethold::time::Micros;

/// Feeds a fact to a world without controllers, in which users handed in a root, one after
/// it, and one after that; returns what was found wrong before it and with it.
fn judged(before: fn(&mut World), fact: fn(&mut World)) -> (Vec<String>, Vec<String>) {
    let mut plans = vec![blue(1_000, 2, 5.0)];
    let second = after(&mut plans, &[0], blue(1_000, 1, 5.0));
    after(&mut plans, &[second], blue(1_000, 3, 5.0));
    World::without_controllers(&plans).judge_fact(before, fact)
}

/// All are accepted, the first is called off, and its user is told so at the fifth second.
fn root_cancelled(w: &mut World) {
    w.forge_job(0, true);
    w.forge_job(1, false);
    w.forge_job(2, false);
    w.forge_answer(0, None, 200, "cancelled");
}

#[test]
fn dependency_checks_can_fail() {
    type Case = (&'static str, &'static str, fn(&mut World), fn(&mut World));
    let nothing: fn(&mut World) = |_| {};
    let table: Vec<Case> = vec![
        ("begun before its upstream job", "too_early", nothing, |w| w.forge_start(0, 1, 0)),
        (
            "begun as one task of two is done",
            "too_early",
            |w| w.forge_progress(0, 1),
            |w| w.forge_start(0, 1, 0),
        ),
        (
            "begun as only the first of all is done",
            "too_early",
            |w| w.forge_end(0),
            |w| w.forge_start(0, 2, 0),
        ),
        ("queued for too long", "orphaned", root_cancelled, |w| {
            w.now += Micros::secs(31);
            w.forge_answer(1, Some(36), 200, "queued");
        }),
        ("running for too long", "orphaned", root_cancelled, |w| {
            w.now += Micros::secs(31);
            w.forge_answer(1, Some(36), 200, "running");
        }),
        ("queued for too long, through another", "orphaned", root_cancelled, |w| {
            w.now += Micros::secs(31);
            w.forge_answer(2, Some(36), 200, "queued");
        }),
        ("queued for too long, by a repeated submission", "orphaned", root_cancelled, |w| {
            w.now += Micros::secs(31);
            w.forge_repeat(2, 36, 200, "queued");
        }),
        ("begun for too long", "orphaned: j-015851/0 begun", root_cancelled, |w| {
            w.forge_end(1);
            w.now += Micros::secs(31);
            w.forge_start(0, 2, 0);
        }),
        (
            "a task there for too long",
            "orphaned: j-015851/0 still there",
            |w| {
                w.forge_end(1);
                root_cancelled(w);
                w.forge_start(0, 2, 0);
                w.violations.clear();
            },
            |w| w.now += Micros::secs(31),
        ),
        ("done though the first is cancelled", "orphaned", root_cancelled, |w| {
            w.forge_end(1);
            w.forge_answer(1, Some(6), 200, "done");
        }),
        (
            "the first cancelled though the next is done",
            "orphaned",
            |w| {
                w.forge_job(0, true);
                w.forge_job(1, false);
                w.forge_end(1);
                w.forge_answer(1, Some(6), 200, "done");
            },
            |w| w.forge_answer(0, None, 200, "cancelled"),
        ),
        (
            "cancelled though nobody called anything off",
            "went_back",
            |w| {
                w.forge_job(0, false);
                w.forge_job(1, false);
            },
            |w| w.forge_answer(1, Some(6), 200, "cancelled"),
        ),
        (
            "cancelled though the cancellation was answered with done",
            "went_back",
            |w| {
                w.forge_job(0, true);
                w.forge_job(1, false);
                w.forge_end(0);
                w.forge_answer(0, None, 200, "done");
            },
            |w| w.forge_answer(1, Some(6), 200, "cancelled"),
        ),
        (
            "cancelled, and then the cancellation answered with done",
            "went_back",
            |w| {
                w.forge_job(0, true);
                w.forge_job(1, false);
                w.forge_end(0);
                w.forge_answer(1, Some(6), 200, "cancelled");
            },
            |w| w.forge_answer(0, None, 200, "done"),
        ),
        (
            "the first cancelled because the next was called off",
            "went_back",
            |w| {
                w.forge_job(0, false);
                w.forge_job(1, true);
            },
            |w| w.forge_answer(0, Some(6), 200, "cancelled"),
        ),
        (
            "queued after it was cancelled with the first",
            "went_back",
            |w| {
                root_cancelled(w);
                w.forge_answer(1, Some(5), 200, "cancelled");
            },
            |w| w.forge_answer(1, Some(6), 200, "queued"),
        ),
        ("refused", "refused", |w| w.forge_job(0, false), |w| w.forge_submission(1, 422)),
        (
            "left waiting after its upstream job",
            "left waiting",
            |w| {
                w.forge_job(1, false);
                w.forge_end(0);
            },
            |w| wait(w, 92),
        ),
    ];
    for (name, rule, before, fact) in table {
        let (early, found) = judged(before, fact);
        assert!(early.is_empty(), "{name}: {early:?} too early");
        assert!(found.iter().any(|b| b.contains(rule)), "{name}: {rule} is not among {found:?}");
    }
}

#[test]
fn dependency_checks_accept_what_is_allowed() {
    type Case = (&'static str, fn(&mut World), fn(&mut World));
    let table: Vec<Case> = vec![
        ("queued as long as that is allowed", root_cancelled, |w| {
            w.now += Micros::secs(30);
            w.forge_answer(1, Some(35), 200, "queued");
            w.forge_answer(2, Some(35), 200, "queued");
        }),
        ("said in time, heard later", root_cancelled, |w| {
            w.now += Micros::secs(31);
            w.forge_answer(1, Some(35), 200, "queued");
        }),
        ("cancelled with the first", root_cancelled, |w| {
            w.forge_answer(1, Some(6), 200, "cancelled");
            w.forge_answer(2, Some(6), 200, "cancelled");
        }),
        (
            "cancelled before the user of the first is told",
            |w| {
                w.forge_job(0, true);
                w.forge_job(1, false);
                w.forge_answer(1, Some(6), 200, "cancelled");
            },
            |w| w.forge_answer(0, None, 200, "cancelled"),
        ),
        (
            "it waits for its upstream job, however long",
            |w| w.forge_job(1, false),
            |w| wait(w, 200),
        ),
    ];
    for (name, before, fact) in table {
        let (early, found) = judged(before, fact);
        assert!(early.is_empty() && found.is_empty(), "{name}: {early:?}, {found:?}");
    }
    // Nobody wrote this start down, which is all that is wrong with it.
    let (_, found) = judged(|w| w.forge_end(0), |w| w.forge_start(0, 1, 0));
    assert!(!found.iter().any(|b| b.contains("too_early")), "{found:?}");
}
