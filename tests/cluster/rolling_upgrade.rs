//! Rolling upgrade: jobs that the earlier version had stored, members that are replaced one by one,
//! and jobs with dependencies as soon as all members are replaced. Until its replacement a member
//! has the earlier settings, without the lowered limits; all members run the current code
//! throughout.

use crate::simulation::{Faults, Plan, UnansweredTxns, World, check_outcome};
use std::ops::Range;

/// Second at which each member is replaced.
const REPLACED_AT_S: [u64; 3] = [10, 14, 18];
/// First second in which all members are replaced.
const UPGRADED_S: u64 = 20;

fn blue(at_s: u64, tasks: u32, run_s: f64) -> Plan {
    Plan { team: "blue", ..Plan::new(at_s, tasks, 1.0, run_s) }
}

fn add_job(plans: &mut Vec<Plan>, dependencies: &[usize], plan: Plan) -> usize {
    plans.push(Plan { dependencies: dependencies.to_vec(), ..plan });
    plans.len() - 1
}

/// Plans, and the ranges of those whose jobs the earlier version had accepted: stored under their
/// own keys, and in a batch.
struct UpgradePlans {
    plans: Vec<Plan>,
    own_keys: Range<usize>,
    batched: Range<usize>,
}

fn upgrade_plans() -> UpgradePlans {
    let mut plans: Vec<Plan> =
        (0..6).map(|n| blue(3, 3 + 8 * n, 6.0 + 3.0 * f64::from(n))).collect();
    // Partway through its chunks when the limits are lowered.
    plans.push(blue(3, 240, 4.0));
    let own_keys = 0..plans.len();
    plans.extend((0..6).map(|n| blue(3, 1 + n % 2, 5.0 + 4.0 * f64::from(n))));
    let batched = own_keys.end..plans.len();
    // Accepted by any member, replaced or not.
    plans.extend((4..UPGRADED_S).step_by(2).map(|at_s| blue(at_s, 4, 5.0)));
    // Users may name any of these as soon as all members are replaced.
    let earlier = [own_keys.start + 1, own_keys.end - 1, batched.start, batched.end + 2];
    for n in 0..4 {
        let root = earlier[n];
        let second = add_job(&mut plans, &[root], blue(UPGRADED_S, 3, 4.0));
        let third = add_job(&mut plans, &[second, earlier[(n + 1) % 4]], blue(UPGRADED_S, 2, 3.0));
        add_job(&mut plans, &[third], Plan { urgency: "high", ..blue(UPGRADED_S + 1, 2, 2.0) });
        let long = add_job(&mut plans, &[], blue(UPGRADED_S, 2, 40.0));
        let waits = add_job(&mut plans, &[long, root], blue(UPGRADED_S, 2, 2.0));
        add_job(&mut plans, &[waits], blue(UPGRADED_S + 1, 2, 2.0));
        plans[long].cancel_at_s = Some(UPGRADED_S + 4 + n as u64);
    }
    UpgradePlans { plans, own_keys, batched }
}

/// Runs an upgrade with a seed; returns a description of the failure, if any.
fn run(name: &str, seed: u64, faults: &Faults) -> Option<String> {
    let UpgradePlans { plans, own_keys, batched } = upgrade_plans();
    let faults = Faults {
        machines: Some(24),
        restart_ms: 1_000,
        lowered_limits: Some((REPLACED_AT_S[0], UPGRADED_S + 6)),
        ..faults.clone()
    };
    let mut world = World::new(seed, &plans, faults);
    for job in own_keys {
        world.store_earlier_version_jobs(&[job], false);
    }
    world.store_earlier_version_jobs(&batched.collect::<Vec<usize>>(), true);
    for (n, at_s) in REPLACED_AT_S.into_iter().enumerate() {
        world.replace_member((n + seed as usize) % REPLACED_AT_S.len(), at_s);
    }
    world.run_to_end(400);
    match check_outcome(name, seed, world) {
        Err(failure) => Some(failure),
        Ok(world) if world.dependent_starts < 20 || world.cancelled_with_dependencies() < 8 => {
            let (starts, cancelled) = (world.dependent_starts, world.cancelled_with_dependencies());
            Some(format!(
                "{name}, seed {seed}: only {starts} starts of jobs with dependencies, \
                 {cancelled} jobs cancelled with a dependency"
            ))
        }
        Ok(_) => None,
    }
}

#[test]
fn rolling_upgrades() {
    let crash = |at_s, count| Faults { crashes: vec![(at_s, count)], ..Faults::default() };
    let late = |from, to| UnansweredTxns { from, to, share: 0.2, at_once: false };
    let table = [
        ("no faults", Faults::default()),
        ("one controller crashes as jobs with dependencies are submitted", crash(UPGRADED_S, 1)),
        ("two controllers crash as jobs are cancelled", crash(UPGRADED_S + 4, 2)),
        ("all controllers crash as the limits are lowered", crash(UPGRADED_S + 6, 3)),
        (
            "late transactions throughout",
            Faults { unanswered_txns: vec![late(8, 40)], ..crash(UPGRADED_S + 2, 1) },
        ),
        (
            "store outage right after the last replacement",
            Faults { outages: vec![(UPGRADED_S, UPGRADED_S + 5)], ..Faults::default() },
        ),
        ("low write rate", Faults { write_rps: Some(40.0), ..crash(UPGRADED_S + 3, 1) }),
        (
            "one controller cut from its peers, frames lost",
            Faults {
                peer_cuts: vec![(0, 1, 12, 30), (0, 2, 12, 30)],
                dropped_frames: 0.1,
                ..Faults::default()
            },
        ),
    ];
    let runs = table
        .iter()
        .flat_map(|(name, faults)| (950..953).filter_map(move |seed| run(name, seed, faults)));
    let failures: Vec<String> = runs.collect();
    assert!(failures.is_empty(), "{} runs failed:\n{}", failures.len(), failures.join("\n"));
}
