//! Controllers and workers that cannot reach each other, and messages that are lost meanwhile.

use super::plans;
use crate::simulation::{Faults, Plan, run_until_done};

/// A controller keeps its lease and cannot reach its workers. Its machines, with their running
/// tasks, must go to a controller that receives their heartbeats.
#[test]
fn partitioned_from_workers() {
    let cut = |held| Faults { controller_cuts: vec![(0, 14, 60, held)], ..Faults::default() };
    let table = [
        ("connections reset", cut(false), true),
        ("packets held", cut(true), false),
        (
            "connections reset, and another controller crashes",
            Faults { crashes: vec![(18, 1), (40, 1)], restart_ms: 300, ..cut(false) },
            false,
        ),
        (
            "one controller after the other",
            Faults {
                controller_cuts: vec![(0, 14, 50, false), (1, 30, 64, true), (2, 70, 90, false)],
                heartbeat_copies: 0.05,
                ..Faults::default()
            },
            false,
        ),
        (
            "cut from the workers and the other controllers",
            Faults { peer_cuts: vec![(0, 1, 14, 50), (0, 2, 14, 50)], ..cut(false) },
            false,
        ),
    ];
    for (name, faults, no_lease_expires) in table {
        for seed in 400..404 {
            let faults = Faults { machines: Some(24), ..faults.clone() };
            let world = run_until_done(name, seed, &plans(), 400, &faults);
            let expired_leases: u32 = world.workers.iter().map(|w| w.expired_leases).sum();
            assert!(
                !no_lease_expires || expired_leases == 0,
                "{name}, seed {seed}: {expired_leases} incarnations ended"
            );
        }
    }
}

/// Guards against a leader that keeps answering its workers after its lease has expired. It loses
/// the key-value store and its peers, and half of the machines reach only it, so its own clock
/// alone tells it to stop. The new leader starts their tasks elsewhere as soon as no controller can
/// have kept them alive.
#[test]
fn isolated_with_its_workers() {
    let blue = |at_s, run_s| Plan { team: "blue", ..Plan::new(at_s, 6, 1.0, run_s) };
    let plans: Vec<Plan> = (0..10).map(|n| blue(3 + n, 50.0 + n as f64)).collect();
    let table = [("isolated", vec![]), ("isolated while frozen", vec![(0, 12, 20)])];
    for (name, frozen) in table {
        let faults = Faults {
            machines: Some(24),
            kv_store_cuts: vec![(0, 14, 80)],
            peer_cuts: vec![(0, 1, 14, 80), (0, 2, 14, 80)],
            only_reachable_by: (0..24).step_by(2).map(|w| (w, 0, 14, 80)).collect(),
            frozen,
            ..Faults::default()
        };
        for seed in 460..464 {
            run_until_done(name, seed, &plans, 400, &faults);
        }
    }
}

/// After shards have changed their leader, the controllers cannot reach each other while tasks are
/// placed. Tasks desired meanwhile must start once the controllers are connected again.
#[test]
fn partitioned_after_failover() {
    let blue = |at_s, tasks| Plan { team: "blue", ..Plan::new(at_s, tasks, 1.0, 5.0) };
    // Every machine has run tasks of every shard before the shards change their leader.
    let mut plans: Vec<Plan> = (0..6).map(|n| blue(3 + n / 3, 60)).collect();
    plans.extend((0..12).map(|n| blue(68 + n / 3, 3)));
    let faults = Faults {
        machines: Some(30),
        kv_store_cuts: vec![(1, 14, 30), (0, 34, 50)],
        peer_cuts: vec![(0, 1, 70, 84), (0, 2, 70, 84), (1, 2, 70, 84)],
        ..Faults::default()
    };
    for seed in 340..346 {
        run_until_done("failovers, then peers cut", seed, &plans, 300, &faults);
    }
}

/// Guards against a new leader that stops tasks of which it has received no desired state. Two
/// controllers lose each other's frames while a third leads a shard for both. Then one of them
/// takes over this shard, on whose machines the other has started tasks meanwhile.
#[test]
fn missed_desired_state() {
    let blue = |at_s, tasks| Plan { team: "blue", ..Plan::new(at_s, tasks, 1.0, 14.0) };
    let plans: Vec<Plan> = (0..30).map(|n| blue(3 + n * 2, 5)).collect();
    let failover =
        Faults { machines: Some(20), kv_store_cuts: vec![(2, 18, 44)], ..Faults::default() };
    let table = [
        ("frames lost by resets", Faults { peer_resets: vec![(0, 1, 12, 50)], ..failover.clone() }),
        // A frame that is lost while later ones arrive is a gap, which the receiver notices and
        // asks about.
        ("single frames lost", Faults { dropped_frames: 0.1, ..failover }),
    ];
    for (name, faults) in table {
        for seed in 440..446 {
            let world = run_until_done(name, seed, &plans, 300, &faults);
            assert!(
                world.stopped_while_placed.is_empty(),
                "{name}, seed {seed}: stopped {:?}",
                world.stopped_while_placed
            );
        }
    }
}
