//! Crashes, pauses, outages of the store and lost machines.

use super::{crowded, play};
use crate::simulation::{Faults, Plan, until_done};

/// A controller stands still past its lease, or shorter, while its clocks run on,
/// and then finds all that has come meanwhile.
#[test]
fn paused_processes() {
    let table = [
        ("past the lease", vec![(0, 12, 45)], vec![], None),
        ("within the lease", vec![(1, 12, 19), (2, 30, 38), (0, 48, 55)], vec![], None),
        ("two, and the third crashes", vec![(0, 14, 50), (1, 20, 52)], vec![(30, 1)], None),
        // Nothing but its own clock tells it that its shard is another's by now.
        ("and then hears its workers alone", vec![(0, 12, 24)], vec![], Some((12, 90))),
    ];
    for (name, frozen, crashes, apart) in table {
        let faults = Faults {
            frozen,
            crashes,
            back_ms: 300,
            copies: 0.05,
            kv_store_cuts: apart.iter().map(|(f, t)| (0, *f, *t)).collect(),
            peer_cuts: apart.iter().flat_map(|(f, t)| [(0, 1, *f, *t), (0, 2, *f, *t)]).collect(),
            ..Faults::default()
        };
        play(name, 310..314, 400, &faults);
        until_done(name, 315, &crowded(), 600, &faults);
    }
}

/// A third of the machines is lost at once while one controller is down, and all
/// controllers are back within a fraction of a second in the middle of it.
#[test]
fn many_machines_lost() {
    let blue = |at_s, tasks, cpus, run_s| {
        let plan = Plan::new(at_s, tasks, cpus, run_s);
        Plan { team: "blue", ..plan }
    };
    let plans = [blue(3, 500, 1.0, 8.0), blue(6, 400, 1.0, 12.0), blue(20, 60, 4.0, 9.0)];
    let faults = Faults {
        machines: Some(150),
        writes: Some(60.0),
        taken: (0..50).map(|w| (16, w)).collect(),
        worker_cuts: (50..90).map(|w| (w, 17, 60, w % 3 == 0)).collect(),
        crashes: vec![(15, 1), (18, 3), (19, 2)],
        back_ms: 300,
        copies: 0.05,
        ..Faults::default()
    };
    for seed in [320, 321] {
        let world = until_done("a third lost", seed, &plans, 300, &faults);
        assert!(world.starts >= 960, "seed {seed}: only {} starts", world.starts);
    }
}

#[test]
fn controller_crashes() {
    let table = [
        ("one, back late", vec![(12, 1), (45, 1)], 6_000),
        ("one, back at once", vec![(12, 1), (22, 1), (45, 1)], 200),
        ("two", vec![(15, 2), (50, 2)], 3_000),
        ("all", vec![(14, 3), (48, 3), (75, 3)], 2_000),
        ("all, back at once", vec![(14, 3), (28, 3)], 150),
    ];
    for (name, crashes, back_ms) in table {
        let faults = Faults { crashes, back_ms, ..Faults::default() };
        play(name, 10..14, 400, &faults);
    }
}

#[test]
fn store_outages() {
    let table = [
        ("outage", Faults { outages: vec![(12, 22), (50, 70)], ..Faults::default() }),
        ("one node refused", Faults { kv_store_cuts: vec![(0, 12, 52)], ..Faults::default() }),
        ("lost answers, late transactions", Faults { lost: 0.05, late: 0.7, ..Faults::default() }),
        (
            "lost answers and crashes",
            Faults {
                lost: 0.05,
                late: 0.9,
                crashes: vec![(15, 2), (30, 3), (60, 1)],
                back_ms: 300,
                ..Faults::default()
            },
        ),
        (
            "outage, then all crash",
            Faults {
                outages: vec![(20, 32)],
                crashes: vec![(25, 3)],
                back_ms: 2_000,
                ..Faults::default()
            },
        ),
    ];
    for (name, faults) in table {
        play(name, 20..24, 400, &faults);
    }
}

#[test]
fn network_and_machine_faults() {
    let table = [
        (
            "peers cut",
            Faults { peer_cuts: vec![(0, 1, 10, 50), (1, 2, 30, 60)], ..Faults::default() },
        ),
        (
            "a worker cut, a worker hanging",
            Faults {
                worker_cuts: vec![(0, 10, 30, false), (1, 15, 22, true), (2, 40, 80, true)],
                ..Faults::default()
            },
        ),
        ("direct commands held", Faults { held: 0.2, ..Faults::default() }),
        (
            "held commands, cuts and crashes",
            Faults {
                held: 0.2,
                worker_cuts: vec![(0, 10, 30, false), (1, 15, 30, true)],
                crashes: vec![(20, 1), (40, 2)],
                back_ms: 1_000,
                lost: 0.02,
                late: 0.5,
                ..Faults::default()
            },
        ),
        (
            "machines taken, one sick",
            Faults { taken: vec![(16, 4), (24, 1)], sick: [3].into(), ..Faults::default() },
        ),
        (
            "a node cut from state while peers are cut",
            Faults {
                kv_store_cuts: vec![(1, 15, 45)],
                peer_cuts: vec![(1, 0, 15, 45), (1, 2, 15, 45)],
                held: 0.1,
                ..Faults::default()
            },
        ),
    ];
    for (name, faults) in table {
        play(name, 40..44, 500, &faults);
    }
    let copies = Faults {
        copies: 0.3,
        crashes: vec![(25, 1), (33, 3), (60, 2)],
        back_ms: 300,
        worker_cuts: vec![(0, 18, 40, false), (2, 50, 66, true)],
        taken: vec![(28, 4)],
        ..Faults::default()
    };
    play("late copies of reports", 50..58, 500, &copies);
    for seed in 50..54 {
        let deaf = Faults { deaf: vec![(1, 10, 300)], ..Faults::default() };
        let world = until_done("a worker that hears nothing", seed, &crowded(), 300, &deaf);
        let (deaf, other) = (world.attempts(1), world.attempts(0));
        assert!(deaf * 3 < other, "seed {seed}: {deaf} attempts, {other} on another");
    }
}
