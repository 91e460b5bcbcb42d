//! The checks of the protocol's rules themselves: each can fail, and lets pass what is allowed.

use crate::simulation::row::blue;
use crate::simulation::{Plan, World};
use millethold::time::Micros;

/// Each check tells of the fact that it is there for: the fact is fed to a world as it
/// is, and the world must name the rule, and name none a moment before.
#[test]
fn rule_checks_can_fail() {
    type Case = (&'static str, &'static str, fn(&mut World), fn(&mut World));
    // What is asked before the word, at the same moment, or later.
    fn told(w: &mut World, stage: &str) {
        w.forge_job(0, true);
        w.forge_end(0);
        w.forge_answer(0, None, 200, stage);
    }
    fn runs(w: &mut World) {
        w.forge_job(0, true);
        w.forge_start(0, 0, 0);
        w.violations.clear();
        w.forge_answer(0, None, 200, "cancelled");
    }
    let nothing: fn(&mut World) = |_| {};
    let table: Vec<Case> = vec![
        (
            "queued after cancelled",
            "went_back",
            |w| told(w, "cancelled"),
            |w| {
                w.forge_answer(0, Some(6), 200, "queued");
            },
        ),
        (
            "running after done",
            "went_back",
            |w| told(w, "done"),
            |w| {
                w.forge_answer(0, Some(6), 200, "running");
            },
        ),
        (
            "running after done, by a repeated submission",
            "went_back",
            |w| told(w, "done"),
            |w| {
                w.forge_repeat(0, 6, 200, "running");
            },
        ),
        (
            "asked at the moment of the word",
            "went_back",
            |w| told(w, "done"),
            |w| {
                w.forge_answer(0, Some(5), 200, "running");
            },
        ),
        (
            "cancelled after done",
            "went_back",
            |w| told(w, "done"),
            |w| {
                w.forge_answer(0, Some(6), 200, "cancelled");
            },
        ),
        (
            "done after cancelled",
            "went_back",
            |w| told(w, "cancelled"),
            |w| {
                w.forge_answer(0, Some(6), 200, "done");
            },
        ),
        (
            "cancelled by nobody",
            "went_back",
            |w| w.forge_job(0, false),
            |w| {
                w.forge_answer(0, Some(6), 200, "cancelled");
            },
        ),
        (
            "done before it is",
            "not_done",
            |w| w.forge_job(0, false),
            |w| {
                w.forge_answer(0, Some(6), 200, "done");
            },
        ),
        (
            "404 after acceptance",
            "forgotten",
            |w| w.forge_job(0, false),
            |w| {
                w.forge_answer(0, Some(6), 404, "");
            },
        ),
        (
            "404 after cancellation",
            "forgotten",
            |w| told(w, "cancelled"),
            |w| {
                w.forge_answer(0, Some(6), 404, "");
            },
        ),
        (
            "400 to a repeat",
            "forgotten",
            |w| w.forge_job(0, false),
            |w| {
                w.forge_repeat(0, 6, 400, "");
            },
        ),
        (
            "422 to a repeat",
            "forgotten",
            |w| w.forge_job(0, false),
            |w| {
                w.forge_repeat(0, 6, 422, "");
            },
        ),
        (
            "201 to a repeat",
            "accepted twice",
            |w| w.forge_job(0, false),
            |w| {
                w.forge_repeat(0, 6, 201, "queued");
            },
        ),
        (
            "no question answered",
            "forgotten",
            |w| w.forge_job(0, false),
            |w| {
                w.now += Micros::secs(76);
            },
        ),
        ("200 to what cannot run", "accepted though", nothing, |w| w.forge_invalid_request(200)),
        ("201 to what cannot run", "accepted though", nothing, |w| w.forge_invalid_request(201)),
        ("400 to what fits nowhere", "a job that fits no machine got 400", nothing, |w| {
            w.forge_invalid_request(400);
        }),
        (
            "begun late",
            "ran_cancelled",
            |w| told(w, "cancelled"),
            |w| {
                w.now += Micros::secs(31);
                w.forge_start(0, 0, 0);
            },
        ),
        ("still there", "ran_cancelled", runs, |w| w.now += Micros::secs(31)),
        (
            "still there on a machine that hangs",
            "ran_cancelled",
            |w| {
                runs(w);
                w.forge_hang(0, 90);
            },
            |w| w.now += Micros::secs(31),
        ),
        (
            "started twice",
            "ran_twice",
            |w| {
                w.forge_job(0, false);
                w.forge_start(0, 0, 0);
                w.violations.clear();
            },
            |w| w.forge_start(1, 0, 0),
        ),
        (
            "in another zone",
            "wrong_place",
            |w| w.forge_job(2, false),
            |w| {
                w.forge_start(1, 2, 0);
            },
        ),
        (
            "left waiting",
            "left waiting",
            |w| w.forge_job(1, false),
            |w| {
                // Somebody answers its user, and still nothing begins.
                for _ in 0..92 {
                    w.now += Micros::secs(1);
                    w.forge_answer(1, None, 200, "queued");
                    w.check();
                }
            },
        ),
    ];
    let plans = [
        Plan::new(1_000, 2, 1.0, 5.0),
        blue(1_000, 3, 5.0),
        Plan { zone: Some("a"), ..blue(1_000, 3, 5.0) },
    ];
    for (name, rule, before, fact) in table {
        let (early, violations) = World::without_controllers(&plans).judge_fact(before, fact);
        assert!(early.is_empty(), "{name}: {early:?} too early");
        let named = violations.iter().any(|violation| violation.contains(rule));
        assert!(named, "{name}: {rule} is not among {violations:?}");
    }
}

/// What the checks let pass: an answer that overtook the word, which is counted, a
/// start within the time of a cancellation, which is counted too, and a wait at the
/// team's limit.
#[test]
fn rule_checks_accept_what_is_allowed() {
    let plans = [Plan::new(1_000, 2, 1.0, 5.0), Plan::new(1_000, 20, 1.0, 5.0)];
    let mut world = World::without_controllers(&plans);
    world.forge_job(0, true);
    world.forge_answer(0, None, 200, "cancelled");
    world.forge_answer(0, Some(4), 200, "running");
    assert_eq!((world.crossed, world.violations.len()), (1, 0), "{:?}", world.violations);
    world.now += Micros::secs(10);
    world.forge_start(0, 0, 0);
    assert_eq!((world.late_starts, world.violations.len()), (1, 0), "{:?}", world.violations);
    // Fourteen of red's CPUs are in use: the others wait, however long.
    world.forge_job(1, false);
    for n in 0..13 {
        world.forge_start(1 + n / 4, 1, n as u32);
    }
    world.violations.clear();
    for _ in 0..200 {
        world.now += Micros::secs(1);
        world.forge_answer(1, None, 200, "running");
        world.check();
        world.violations.retain(|violation| !violation.starts_with("ran_cancelled"));
    }
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}
