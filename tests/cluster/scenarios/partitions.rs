//! Controllers and workers that cannot reach each other, and what is missed meanwhile.

use super::plans;
use crate::simulation::{Faults, Plan, until_done};

/// A controller keeps its state lease and cannot reach its workers: its machines
/// go to one who can hear them, with what runs on them.
#[test]
fn partitioned_from_workers() {
    let cut = |held| Faults { node_cuts: vec![(0, 14, 60, held)], ..Faults::default() };
    let table = [
        ("reset", cut(false), true),
        ("held", cut(true), false),
        (
            "reset, and another crashes",
            Faults { crashes: vec![(18, 1), (40, 1)], back_ms: 300, ..cut(false) },
            false,
        ),
        (
            "one after the other",
            Faults {
                node_cuts: vec![(0, 14, 50, false), (1, 30, 64, true), (2, 70, 90, false)],
                copies: 0.05,
                ..Faults::default()
            },
            false,
        ),
        (
            "from the workers and the other controllers",
            Faults { peer_cuts: vec![(0, 1, 14, 50), (0, 2, 14, 50)], ..cut(false) },
            false,
        ),
    ];
    for (name, faults, all_live) in table {
        for seed in 400..404 {
            let faults = Faults { machines: Some(24), ..faults.clone() };
            let world = until_done(name, seed, &plans(), 400, &faults);
            let expired_leases: u32 = world.workers.iter().map(|w| w.expired_leases).sum();
            assert!(
                !all_live || expired_leases == 0,
                "{name}, seed {seed}: {expired_leases} incarnations ended"
            );
        }
    }
}

/// A controller loses the key-value store and the others, and half of the machines hear
/// it alone. Its own clock is all that tells it to stop answering them: their new
/// holder begins their tasks elsewhere as soon as nobody can have kept them alive.
#[test]
fn alone_with_its_workers() {
    let blue = |at_s, run_s| Plan { team: "blue", ..Plan::new(at_s, 6, 1.0, run_s) };
    let plans: Vec<Plan> = (0..10).map(|n| blue(3 + n, 50.0 + n as f64)).collect();
    let table = [("cut", vec![]), ("cut, and it stood still", vec![(0, 12, 20)])];
    for (name, frozen) in table {
        let faults = Faults {
            machines: Some(24),
            kv_store_cuts: vec![(0, 14, 80)],
            peer_cuts: vec![(0, 1, 14, 80), (0, 2, 14, 80)],
            only: (0..24).step_by(2).map(|w| (w, 0, 14, 80)).collect(),
            frozen,
            ..Faults::default()
        };
        for seed in 460..464 {
            until_done(name, seed, &plans, 400, &faults);
        }
    }
}

/// Shards have moved, then the controllers are out of each other's reach while tasks
/// are placed: what was wanted meanwhile is begun once they hear each other again.
#[test]
fn partitioned_after_failover() {
    let blue = |at_s, tasks| Plan { team: "blue", ..Plan::new(at_s, tasks, 1.0, 5.0) };
    // Every machine has had something of every shard before the shards move.
    let mut plans: Vec<Plan> = (0..6).map(|n| blue(3 + n / 3, 60)).collect();
    plans.extend((0..12).map(|n| blue(68 + n / 3, 3)));
    let faults = Faults {
        machines: Some(30),
        kv_store_cuts: vec![(1, 14, 30), (0, 34, 50)],
        peer_cuts: vec![(0, 1, 70, 84), (0, 2, 70, 84), (1, 2, 70, 84)],
        ..Faults::default()
    };
    for seed in 340..346 {
        until_done("moves, then apart", seed, &plans, 300, &faults);
    }
}

/// Two controllers lose what they tell each other while a third serves both, and then
/// one of them takes the third's shard: it must not stop what the other had begun on
/// those machines meanwhile and it has never heard of.
#[test]
fn missed_desired_state() {
    let blue = |at_s, tasks| Plan { team: "blue", ..Plan::new(at_s, tasks, 1.0, 14.0) };
    let plans: Vec<Plan> = (0..30).map(|n| blue(3 + n * 2, 5)).collect();
    let moves =
        Faults { machines: Some(20), kv_store_cuts: vec![(2, 18, 44)], ..Faults::default() };
    let table = [
        ("resets", Faults { peer_resets: vec![(0, 1, 12, 50)], ..moves.clone() }),
        // A frame that is lost while others arrive is a gap, which is asked about.
        ("frames lost", Faults { dropped: 0.1, ..moves }),
    ];
    for (name, faults) in table {
        for seed in 440..446 {
            let world = until_done(name, seed, &plans, 300, &faults);
            assert!(world.stopped.is_empty(), "{name}, seed {seed}: stopped {:?}", world.stopped);
        }
    }
}
