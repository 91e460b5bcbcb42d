//! Pipelines of jobs: what a job needs is done before any task of it starts, and what
//! needs a cancelled job is cancelled with it. Each row is played with a few seeds.

use crate::simulation::chance::{cancel, chance_meeting, late, peers_of};
use crate::simulation::row::{Row, blue, none_wrong, play};
use crate::simulation::{Faults, Plan, World};
use millethold::time::Micros;

fn row(name: &'static str, faults: Faults, shown: fn(&World) -> bool) -> Row {
    Row { name, faults: Faults { machines: Some(24), ..faults }, plans: mixed(), shown }
}

fn red(at_s: u64, tasks: u32, run_s: f64) -> Plan {
    Plan::new(at_s, tasks, 1.0, run_s)
}

/// Adds a job after others; tells its index.
fn after(plans: &mut Vec<Plan>, dependencies: &[usize], plan: Plan) -> usize {
    plans.push(Plan { dependencies: dependencies.to_vec(), ..plan });
    plans.len() - 1
}

/// Four jobs, one after the other; tells their indices.
fn chain(plans: &mut Vec<Plan>, at_s: u64, root_s: f64) -> [usize; 4] {
    let root = after(plans, &[], Plan { urgency: "low", ..blue(at_s, 3, root_s) });
    let second = after(plans, &[root], Plan { urgency: "low", ..blue(at_s, 4, 5.0) });
    let third = after(plans, &[second], blue(at_s, 2, 4.0));
    let last = after(plans, &[third], Plan { urgency: "high", ..blue(at_s, 2, 2.0) });
    [root, second, third, last]
}

/// One, two after it, and one after both.
fn diamond(plans: &mut Vec<Plan>, at_s: u64, root_s: f64) -> [usize; 4] {
    let root = after(plans, &[], blue(at_s, 2, root_s));
    let left = after(plans, &[root], blue(at_s, 3, 3.0));
    let right = after(plans, &[root], blue(at_s, 2, 9.0));
    let last = after(plans, &[left, right], Plan { urgency: "high", ..blue(at_s, 2, 2.0) });
    [root, left, right, last]
}

/// Jobs of two teams after each other, one of which has a limit.
fn teams(plans: &mut Vec<Plan>, at_s: u64) -> [usize; 4] {
    let root = after(plans, &[], red(at_s, 6, 6.0));
    let second = after(plans, &[root], blue(at_s, 4, 4.0));
    let third = after(plans, &[second], red(at_s, 20, 3.0));
    let last = after(plans, &[root, third], blue(at_s, 2, 2.0));
    [root, second, third, last]
}

/// One after ten.
fn fan_in(plans: &mut Vec<Plan>, at_s: u64) -> usize {
    let ten: Vec<usize> =
        (0..10).map(|n| after(plans, &[], blue(at_s + n / 3, 2, 3.0 + n as f64))).collect();
    after(plans, &ten, blue(at_s, 4, 2.0))
}

/// The last is submitted when the others are over, or long after that.
fn late_last(plans: &mut Vec<Plan>, at_s: u64) {
    let [root, second, third, last] = chain(plans, at_s, 4.0);
    plans[last].after_upstream = true;
    after(plans, &[root, second, third], blue(at_s + 45, 2, 2.0));
}

/// All of these, and short jobs all along.
fn mixed() -> Vec<Plan> {
    let mut plans = Vec::new();
    for n in 0..4 {
        chain(&mut plans, 3 + 2 * n, 5.0 + n as f64);
    }
    for n in 0..3 {
        diamond(&mut plans, 4 + 3 * n, 7.0);
    }
    teams(&mut plans, 5);
    let ten = fan_in(&mut plans, 6);
    late_last(&mut plans, 8);
    // Long ones, of which the first can be called off while the others wait.
    for n in 0..4 {
        chain(&mut plans, 4 + n, 26.0 + n as f64);
    }
    after(&mut plans, &[ten, 0, 3], blue(30, 2, 3.0));
    plans.extend((12..60).step_by(4).map(|s| blue(s, 2, 4.0)));
    plans
}

/// Long chains of which one is called off at each depth, as nothing of it has begun or as
/// it runs, beside some that nobody calls off.
fn called_off(at_s: u64) -> Vec<Plan> {
    let mut plans = Vec::new();
    for depth in 0..4 {
        // Its first job runs until the middle of the twenties.
        let ids = chain(&mut plans, 4, 16.0);
        plans[ids[depth]].cancel_at_s = Some(at_s);
        let ids = diamond(&mut plans, 5, 18.0);
        plans[ids[depth]].cancel_at_s = Some(at_s);
        let ids = teams(&mut plans, 6);
        plans[ids[depth]].cancel_at_s = Some(at_s);
        chain(&mut plans, 5, 15.0);
    }
    let ten = fan_in(&mut plans, 7);
    plans[ten - 1].cancel_at_s = Some(at_s);
    // Nobody called these off: they name jobs that are cancelled by then.
    let late = after(&mut plans, &[0], blue(at_s + 8, 2, 2.0));
    after(&mut plans, &[late], blue(at_s + 12, 2, 2.0));
    after(&mut plans, &[0, 12], blue(at_s + 40, 2, 2.0));
    plans
}

/// Long first jobs of long chains, all called off at one time.
fn roots_called_off(cancel_s: u64) -> Vec<Plan> {
    let mut plans = Vec::new();
    for n in 0..8 {
        let ids = chain(&mut plans, 3 + n % 3, 60.0);
        plans[ids[0]].cancel_at_s = Some(cancel_s);
        let ids = diamond(&mut plans, 4, 60.0);
        plans[ids[0]].cancel_at_s = (n % 2 == 0).then_some(cancel_s);
    }
    for n in 0..4 {
        chain(&mut plans, 10 + n, 7.0);
    }
    plans
}

/// Short jobs after each other, so that much is released at any moment.
fn short() -> Vec<Plan> {
    let mut plans = Vec::new();
    for n in 0..12 {
        let root = after(&mut plans, &[], blue(4 + n, 1, 2.0));
        let mut last = root;
        for k in 0..3 {
            last = after(&mut plans, &[last], blue(4 + n, 1 + k % 2, 2.0));
        }
        after(&mut plans, &[root, last], red(4 + n, 2, 2.0));
    }
    plans
}

/// Tasks of the jobs that wait in `mixed`.
fn all_waited(w: &World) -> bool {
    w.waited_starts >= 120
}

fn one(name: &'static str, plans: fn(&mut Vec<Plan>), shown: fn(&World) -> bool) -> Row {
    let mut list = Vec::new();
    plans(&mut list);
    Row { plans: list, ..row(name, Faults::default(), shown) }
}

fn none_cancelled(w: &World, starts: u64) -> bool {
    w.waited_starts >= starts && w.cancelled() == 0
}

#[test]
fn quiet() {
    play(
        vec![
            one("a chain of four", |p| _ = chain(p, 3, 4.0), |w| none_cancelled(w, 8)),
            one("a diamond", |p| _ = diamond(p, 3, 4.0), |w| none_cancelled(w, 7)),
            one("several teams", |p| _ = teams(p, 3), |w| none_cancelled(w, 26)),
            one("one after ten", |p| _ = fan_in(p, 3), |w| none_cancelled(w, 4)),
            one("the last submitted late", |p| late_last(p, 3), |w| none_cancelled(w, 10)),
            row("all of them", Faults::default(), all_waited),
            Row {
                // Those that wait hold no part of the limit that others need, which would
                // else be left waiting for longer than is allowed.
                plans: {
                    let mut plans = vec![blue(3, 2, 110.0)];
                    for n in 0..4 {
                        after(&mut plans, &[0], red(4, 14, 3.0));
                        plans.push(red(6 + 10 * n, 14, 4.0));
                    }
                    plans
                },
                ..row("waiting jobs and a team's limit", Faults::default(), |w| {
                    none_cancelled(w, 56)
                })
            },
            row(
                "users look closely",
                Faults { close_looks: Some((3, 90)), ..Faults::default() },
                |w| w.looks > 500 && w.waited_starts >= 20,
            ),
            row(
                "upstream jobs that nobody submitted, and lists that are none",
                Faults { odd_requests: Some((5, 60)), ..Faults::default() },
                |w| w.odd_answers > 30 && all_waited(w),
            ),
        ],
        800..802,
    );
}

#[test]
fn crashes() {
    let crash = |crashes: &[(u64, usize)], back_ms| Faults {
        crashes: crashes.to_vec(),
        back_ms,
        ..Faults::default()
    };
    play(
        vec![
            row("one ends, and another", crash(&[(9, 1), (19, 1), (29, 1)], 4_000), all_waited),
            row("all end", crash(&[(14, 3)], 5_000), all_waited),
            row("all end and are back at once", crash(&[(10, 3), (18, 3)], 300), all_waited),
            row("all are away for longer than a lease", crash(&[(15, 3)], 20_000), |w| {
                w.waited_starts >= 120 && w.workers.iter().any(|w| w.lapses > 0)
            }),
            Row {
                plans: called_off(12),
                ..row("called off just before all end", crash(&[(13, 3)], 2_000), |w| {
                    w.cancelled_with_others() >= 8
                })
            },
        ],
        810..812,
    );
}

/// What ends, ends at the moment at which a controller or a machine does.
#[test]
fn around_the_release() {
    let short_row = |name, faults| Row {
        plans: short(),
        ..row(name, faults, |w: &World| w.waited_starts >= 70)
    };
    let crash = |share, count| Faults {
        crash_at_end: Some((5, 40, share, count)),
        back_ms: 1_000,
        ..Faults::default()
    };
    play(
        vec![
            short_row("a controller ends as upstream jobs end", crash(0.3, 1)),
            short_row("all end as upstream jobs end", crash(0.12, 3)),
            short_row(
                "the machine is taken as its upstream task ends",
                Faults { take_at_end: Some((5, 30, 0.25)), ..Faults::default() },
            ),
            short_row(
                "the machine is taken and a controller ends",
                Faults { take_at_end: Some((5, 30, 0.15)), ..crash(0.2, 1) },
            ),
            short_row(
                "machines hang and come back as upstream jobs end",
                Faults {
                    worker_cuts: (0..16).map(|w| (w, 6 + w as u64, 16 + w as u64, true)).collect(),
                    ..crash(0.1, 1)
                },
            ),
        ],
        820..823,
    );
}

#[test]
fn cancellations() {
    fn all_of_them(w: &World) -> bool {
        w.cancelled_with_others() >= 12 && w.waited_starts >= 20
    }
    let at =
        |name, at_s, faults, shown| Row { plans: called_off(at_s), ..row(name, faults, shown) };
    let at_end = |share| Faults { cancel_at_end: Some((3, 60, share)), ..Faults::default() };
    let crashes = Faults { crashes: vec![(21, 1), (24, 1)], back_ms: 3_000, ..at_end(0.3) };
    play(
        vec![
            // The first jobs run, the others wait.
            at("called off at each depth as the first runs", 14, Faults::default(), all_of_them),
            // Some are done by then: what comes after them goes on.
            at("called off at each depth as later ones run", 24, Faults::default(), |w| {
                w.cancelled_with_others() >= 2 && w.went_on() >= 1
            }),
            at("called off as they are submitted", 6, Faults::default(), all_of_them),
            at(
                "called off with slow watches and close looks",
                14,
                Faults { slow_watches: 1_500, close_looks: Some((3, 40)), ..Faults::default() },
                |w| w.cancelled_with_others() >= 12 && w.looks > 300,
            ),
            row("called off as the last task ends", at_end(0.5), |w| w.cancelled() >= 1),
            Row {
                plans: short(),
                ..row("short jobs called off as their last task ends", at_end(0.4), |w| {
                    w.cancelled_with_others() + w.went_on() >= 1
                })
            },
            Row {
                plans: short(),
                ..row(
                    "called off as the last task ends, asked about closely, and leaders end",
                    Faults { close_looks: Some((3, 60)), ..crashes },
                    |w| w.cancelled() + w.went_on() >= 1,
                )
            },
        ],
        830..832,
    );
}

/// Nobody can ask the key-value store, and what waits for a cancelled job still has to be
/// called cancelled in time.
#[test]
fn cancelled_and_apart() {
    fn with_others(w: &World) -> bool {
        w.cancelled_with_others() >= 24
    }
    let gap = |outages: &[(u64, u64)]| Faults { outages: outages.to_vec(), ..Faults::default() };
    let off = |name, faults| Row { plans: roots_called_off(20), ..row(name, faults, with_others) };
    play(
        vec![
            off("the first called off, 1 s later a long outage", gap(&[(21, 61)])),
            Row {
                // Some name what is cancelled only in the outage.
                plans: called_off(14),
                ..row("called off at each depth, then a long outage", gap(&[(15, 57)]), |w| {
                    w.cancelled_with_others() >= 12
                })
            },
            off(
                "called off, a long outage, and all end in it",
                Faults { crashes: vec![(30, 1)], back_ms: 3_000, ..gap(&[(21, 58)]) },
            ),
            off(
                "called off as one is refused, then all",
                Faults { state_cuts: vec![(0, 20, 22)], ..gap(&[(22, 62)]) },
            ),
            off(
                "called off as one is refused and apart, then all",
                Faults {
                    state_cuts: vec![(1, 19, 22)],
                    peer_cuts: peers_of(1, 18, 70),
                    ..gap(&[(22, 62)])
                },
            ),
            off(
                "one is refused for long",
                Faults { state_cuts: vec![(0, 10, 70)], ..Faults::default() },
            ),
            off(
                "peers apart, and watches hang",
                Faults {
                    hung_watches: vec![(2, 18, 62)],
                    peer_cuts: peers_of(2, 18, 62),
                    ..Faults::default()
                },
            ),
            off(
                "slow watches and a slow state service",
                Faults {
                    slow_watches: 1_500,
                    slow_state: Some((10, 60, 900)),
                    ..Faults::default()
                },
            ),
            off(
                "peers apart",
                Faults {
                    peer_cuts: vec![(0, 1, 15, 62), (0, 2, 15, 62), (1, 2, 15, 62)],
                    ..Faults::default()
                },
            ),
        ],
        840..842,
    );
}

/// Pipelines that nobody, or not all, calls off.
#[test]
fn messages() {
    let plain = Faults::default;
    play(
        vec![
            row(
                "one is refused by the state service",
                Faults { state_cuts: vec![(0, 6, 20), (1, 22, 36)], ..plain() },
                all_waited,
            ),
            row(
                "transactions carried out late, after newer ones",
                Faults { late_writes: late(3, 50, 0.2, false), ..plain() },
                |w| all_waited(w) && w.unanswered > 5,
            ),
            row(
                "only the answers of transactions lost, jobs called off",
                Faults {
                    late_writes: late(3, 50, 0.25, true),
                    cancel_now: cancel(16_000, 6),
                    ..plain()
                },
                |w| w.unanswered > 5 && w.cancelled_with_others() >= 6,
            ),
            row(
                "transactions lost, late, and commands held",
                Faults {
                    lost: 0.1,
                    late: 0.5,
                    held: 0.2,
                    crashes: vec![(15, 1)],
                    back_ms: 2_000,
                    ..plain()
                },
                all_waited,
            ),
            row(
                "watches hang and are slow",
                Faults {
                    hung_watches: vec![(0, 5, 25), (1, 15, 35), (2, 30, 45)],
                    slow_watches: 1_000,
                    ..plain()
                },
                all_waited,
            ),
            row(
                "peers apart, frames lost",
                Faults { peer_cuts: peers_of(0, 6, 40), dropped: 0.1, ..plain() },
                all_waited,
            ),
            row(
                "a short outage, then another, jobs called off between",
                Faults {
                    outages: vec![(10, 16), (22, 34)],
                    cancel_now: cancel(19_000, 6),
                    ..plain()
                },
                |w| w.cancelled_with_others() >= 6,
            ),
            row(
                "machines taken, and machines apart",
                Faults {
                    taken: [1, 3, 5, 8].map(|w| (14, w)).into(),
                    worker_cuts: (10..16).map(|w| (w, 10, 30, w % 2 == 0)).collect(),
                    ..plain()
                },
                all_waited,
            ),
        ],
        850..852,
    );
}

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
fn checks_can_fail() {
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
                w.broken.clear();
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

/// Somebody answers the second job's user for so long, and still nothing begins.
fn wait(w: &mut World, seconds: u64) {
    for _ in 0..seconds {
        w.now += Micros::secs(1);
        w.forge_answer(1, None, 200, "queued");
        w.check();
    }
}

#[test]
fn checks_let_pass() {
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

/// The key-value store takes smaller values and transactions from some moment on. Jobs that
/// were divided for larger ones, and those that wait, go on.
#[test]
fn lowered_limits() {
    let arrays = || {
        let mut plans = mixed();
        plans.extend(
            [(3, 300, 20.0), (5, 120, 30.0), (40, 200, 6.0)]
                .map(|(at_s, tasks, run_s)| Plan { urgency: "low", ..blue(at_s, tasks, run_s) }),
        );
        // More than the changes of a second, so that some are accepted together.
        plans.extend((0..30).map(|n| blue(4 + n / 15, 1 + n as u32 % 2, 12.0)));
        plans
    };
    let one_by_one = vec![(26, 1), (29, 1), (32, 1), (35, 1), (38, 1)];
    let table = [
        ("known from the start", Faults { lowered: Some((0, 30)), ..Faults::default() }),
        (
            "known from the start, and a crash beside",
            Faults {
                lowered: Some((0, 30)),
                crashes: vec![(31, 1), (44, 3)],
                back_ms: 500,
                late_writes: late(20, 50, 0.1, false),
                ..Faults::default()
            },
        ),
        (
            "learnt by those that come back, one by one",
            Faults {
                lowered: Some((25, 60)),
                crashes: one_by_one.clone(),
                back_ms: 500,
                ..Faults::default()
            },
        ),
        (
            "learnt a moment before",
            Faults {
                lowered: Some((25, 36)),
                crashes: [vec![(26, 3)], vec![(37, 1)]].concat(),
                back_ms: 500,
                writes: Some(40.0),
                ..Faults::default()
            },
        ),
        (
            "lowered, then an outage past the workers' leases in which all controllers end",
            Faults {
                lowered: Some((8, 14)),
                crashes: vec![(9, 3), (26, 3)],
                back_ms: 500,
                outages: vec![(18, 40)],
                writes: Some(8.0),
                ..Faults::default()
            },
        ),
    ];
    let rows = table.map(|(name, faults)| Row { plans: arrays(), ..row(name, faults, |_| true) });
    // Once for each controller, and what was under way meanwhile.
    let refused = |w: &World| w.refused_large < 8;
    // So many machines that what runs of one part is more than a small value holds.
    let large = |row: Row| Row {
        shown: refused,
        faults: Faults { machines: Some(60), ..row.faults },
        ..row
    };
    let rows: Vec<Row> = rows.into_iter().map(large).collect();
    play(rows, 850..853);
}

/// A job that needs more others than one value has room for, over changes of leader.
#[test]
fn hundreds_of_upstream_jobs() {
    let mut plans: Vec<Plan> = (0..230).map(|n| blue(3 + n / 20, 1, 8.0)).collect();
    let all: Vec<usize> = (0..230).collect();
    after(&mut plans, &all, blue(4, 2, 3.0));
    let last = after(&mut plans, &all[20..], blue(4, 2, 3.0));
    after(&mut plans, &[last], blue(4, 1, 2.0));
    let known = Faults { lowered: Some((0, 30)), ..Faults::default() };
    let rows = vec![
        Row { plans: plans.clone(), ..row("hundreds of them", known.clone(), |w| w.starts >= 235) },
        Row {
            plans: plans.clone(),
            ..row(
                "hundreds of them, and leaders end",
                Faults {
                    crashes: vec![(18, 1), (21, 3), (27, 1)],
                    back_ms: 500,
                    late_writes: late(10, 24, 0.1, false),
                    ..known.clone()
                },
                |w| w.starts >= 235,
            )
        },
        Row {
            plans: {
                plans[225] = Plan { run_s: 60.0, cancel_at_s: Some(24), ..plans[225].clone() };
                plans
            },
            ..row(
                "one of hundreds is called off",
                Faults { crashes: vec![(25, 2)], back_ms: 500, ..known },
                |w| w.cancelled_with_others() == 3,
            )
        },
    ];
    play(rows, 870..872);
}

/// Faults at random, by the seed, beside pipelines: meetings that nobody thought of.
#[test]
fn chance_meetings() {
    let play = |seed| row("by chance", chance_meeting(seed), |_| true).run(seed);
    none_wrong((900..912).filter_map(play).collect());
}
