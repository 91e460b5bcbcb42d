//! Tests of the checks of the protocol's rules: each check can fail, and accepts what is allowed.

use crate::simulation::row::blue;
use crate::simulation::{Plan, World};
use millethold::time::Micros;

/// Each check must report the violation that it is for. A fact that violates the rule is injected
/// into a run: the checks must name the rule then, and report nothing before.
#[test]
fn rule_checks_can_fail() {
    type Case = (&'static str, &'static str, fn(&mut World), fn(&mut World));
    // Gives the user of the first job a final answer at the fifth second; the cases add an answer
    // that was sent at that moment or later.
    fn final_answer(w: &mut World, stage: &str) {
        w.inject_accepted_job(0, true);
        w.inject_job_end(0);
        w.inject_answer(0, None, 200, stage);
    }
    fn cancelled_while_running(w: &mut World) {
        w.inject_accepted_job(0, true);
        w.inject_start(0, 0, 0);
        w.violations.clear();
        w.inject_answer(0, None, 200, "cancelled");
    }
    let nothing: fn(&mut World) = |_| {};
    let table: Vec<Case> = vec![
        (
            "queued after cancelled",
            "went_back",
            |w| final_answer(w, "cancelled"),
            |w| {
                w.inject_answer(0, Some(6), 200, "queued");
            },
        ),
        (
            "running after done",
            "went_back",
            |w| final_answer(w, "done"),
            |w| {
                w.inject_answer(0, Some(6), 200, "running");
            },
        ),
        (
            "running after done, by a repeated submission",
            "went_back",
            |w| final_answer(w, "done"),
            |w| {
                w.inject_repeat_answer(0, 6, 200, "running");
            },
        ),
        (
            "sent at the moment of the final answer",
            "went_back",
            |w| final_answer(w, "done"),
            |w| {
                w.inject_answer(0, Some(5), 200, "running");
            },
        ),
        (
            "cancelled after done",
            "went_back",
            |w| final_answer(w, "done"),
            |w| {
                w.inject_answer(0, Some(6), 200, "cancelled");
            },
        ),
        (
            "done after cancelled",
            "went_back",
            |w| final_answer(w, "cancelled"),
            |w| {
                w.inject_answer(0, Some(6), 200, "done");
            },
        ),
        (
            "cancelled without a request",
            "went_back",
            |w| w.inject_accepted_job(0, false),
            |w| {
                w.inject_answer(0, Some(6), 200, "cancelled");
            },
        ),
        (
            "done before it is",
            "not_done",
            |w| w.inject_accepted_job(0, false),
            |w| {
                w.inject_answer(0, Some(6), 200, "done");
            },
        ),
        (
            "404 after acceptance",
            "forgotten",
            |w| w.inject_accepted_job(0, false),
            |w| {
                w.inject_answer(0, Some(6), 404, "");
            },
        ),
        (
            "404 after cancellation",
            "forgotten",
            |w| final_answer(w, "cancelled"),
            |w| {
                w.inject_answer(0, Some(6), 404, "");
            },
        ),
        (
            "400 to a repeat",
            "forgotten",
            |w| w.inject_accepted_job(0, false),
            |w| {
                w.inject_repeat_answer(0, 6, 400, "");
            },
        ),
        (
            "422 to a repeat",
            "forgotten",
            |w| w.inject_accepted_job(0, false),
            |w| {
                w.inject_repeat_answer(0, 6, 422, "");
            },
        ),
        (
            "201 to a repeat",
            "accepted twice",
            |w| w.inject_accepted_job(0, false),
            |w| {
                w.inject_repeat_answer(0, 6, 201, "queued");
            },
        ),
        (
            "no status query answered",
            "forgotten",
            |w| w.inject_accepted_job(0, false),
            |w| {
                w.now += Micros::secs(76);
            },
        ),
        ("200 to a job that cannot run", "accepted though invalid", nothing, |w| {
            w.inject_invalid_request_answer(200)
        }),
        ("201 to a job that cannot run", "accepted though invalid", nothing, |w| {
            w.inject_invalid_request_answer(201)
        }),
        ("400 to a job that fits no machine", "a job that fits no machine got 400", nothing, |w| {
            w.inject_invalid_request_answer(400);
        }),
        (
            "started late",
            "ran_cancelled",
            |w| final_answer(w, "cancelled"),
            |w| {
                w.now += Micros::secs(31);
                w.inject_start(0, 0, 0);
            },
        ),
        ("still there", "ran_cancelled", cancelled_while_running, |w| w.now += Micros::secs(31)),
        (
            "still there on a machine that hangs",
            "ran_cancelled",
            |w| {
                cancelled_while_running(w);
                w.inject_hang(0, 90);
            },
            |w| w.now += Micros::secs(31),
        ),
        (
            "started twice",
            "ran_twice",
            |w| {
                w.inject_accepted_job(0, false);
                w.inject_start(0, 0, 0);
                w.violations.clear();
            },
            |w| w.inject_start(1, 0, 0),
        ),
        (
            "in another zone",
            "wrong_place",
            |w| w.inject_accepted_job(2, false),
            |w| {
                w.inject_start(1, 2, 0);
            },
        ),
        (
            "left waiting",
            "left waiting",
            |w| w.inject_accepted_job(1, false),
            |w| {
                // Its user gets answers, and still no task starts.
                for _ in 0..92 {
                    w.now += Micros::secs(1);
                    w.inject_answer(1, None, 200, "queued");
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
    for (name, rule, setup, fact) in table {
        let (early, violations) = World::without_controllers(&plans).check_fact(setup, fact);
        assert!(early.is_empty(), "{name}: violations before the fact: {early:?}");
        let named = violations.iter().any(|violation| violation.contains(rule));
        assert!(named, "{name}: {rule} is not among {violations:?}");
    }
}

/// The checks accept an answer that the final answer overtook and a start within the time of a
/// cancellation, which are both counted, and a wait at the limit of the team.
#[test]
fn rule_checks_accept_what_is_allowed() {
    let plans = [Plan::new(1_000, 2, 1.0, 5.0), Plan::new(1_000, 20, 1.0, 5.0)];
    let mut world = World::without_controllers(&plans);
    world.inject_accepted_job(0, true);
    world.inject_answer(0, None, 200, "cancelled");
    world.inject_answer(0, Some(4), 200, "running");
    assert_eq!((world.crossed_answers, world.violations.len()), (1, 0), "{:?}", world.violations);
    world.now += Micros::secs(10);
    world.inject_start(0, 0, 0);
    assert_eq!(
        (world.starts_after_cancellation, world.violations.len()),
        (1, 0),
        "{:?}",
        world.violations
    );
    // The red team uses its limit of 14 CPUs: its other tasks may wait for any time.
    world.inject_accepted_job(1, false);
    for n in 0..13 {
        world.inject_start(1 + n / 4, 1, n as u32);
    }
    world.violations.clear();
    for _ in 0..200 {
        world.now += Micros::secs(1);
        world.inject_answer(1, None, 200, "running");
        world.check();
        world.violations.retain(|violation| !violation.starts_with("ran_cancelled"));
    }
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}
