//! Tests of what a controller concludes from machine views that a peer recorded before the
//! controller acquired a shard.

use crate::harness::{Harness, settings, submission};
use millethold::controller::jobs::job::stored_placements;
use millethold::controller::leadership::shard::shard_of_machine;
use millethold::peer::{AppliedUpdate, Frame, MachineView, ShardClaim};
use millethold::time::Micros;
use serde_json::{Value, json};

const JOB: &str = "j-1";
/// The shard of the machine, which the peer leads.
const PEER_SHARD: usize = 0;
/// The shard of the job, which the tested controller leads.
const OWN_SHARD: usize = 1;
const PEER_INCARNATION: u64 = 3;
/// Worker incarnation in which the task was placed.
const WORKER_INCARNATION: u64 = 2;

/// The number in the name of a machine of the peer's shard.
fn machine_number() -> u64 {
    let in_peer_shard = |n: &u64| shard_of_machine(&format!("vm-{n:06}"), 2) == PEER_SHARD;
    (1..).find(in_peer_shard).expect("a machine of the peer's shard")
}

/// The job as an earlier leader of its shard stored it: one task, placed on the peer's machine.
fn stored(number: u64) -> Vec<(String, Value)> {
    let mut spec = submission(JOB);
    let fields = spec.as_object_mut().expect("an object");
    fields.retain(|name, value| !value.is_null() && name != "cut");
    fields.insert("planks".into(), json!(1));
    let chunk = json!({
        "a": 1, "b": 1_000_000, "h": [["vm-", 6]], "p": [0, 0, number, WORKER_INCARNATION, 1, 0, 0],
        "s": spec, "t": 1_000_000_500_000_u64, "v": 1, "y": ["a"], "z": 232,
    });
    let record = json!({ "s": OWN_SHARD, "g": "a", "n": 1 });
    let lease = json!({ "lease": 1, "member": "n0", "run": PEER_INCARNATION, "term": 1 });
    vec![
        (format!("hold/{PEER_SHARD}"), lease),
        (format!("seat/{PEER_SHARD}"), json!({ "term": 1 })),
        (format!("j/{JOB}"), record),
        (format!("w/{OWN_SHARD}/{JOB}/0"), chunk),
    ]
}

/// Number of stored placements of the job.
fn placements(harness: &mut Harness) -> usize {
    let chunk = harness.get(&format!("w/{OWN_SHARD}/{JOB}/0")).expect("a chunk");
    stored_placements(&chunk.value).expect("readable").len()
}

/// Guards against dropping the placement of a task that still runs. A peer's view that a machine
/// has no worker, recorded before the peer received this leader's desired state, says nothing
/// about incarnations that started since. Only a view that includes the desired state, or shows
/// that the task's own incarnation has ended, ends the placement.
#[test]
fn machine_views_from_before_a_failover() {
    let no_worker = MachineView { worker_gone: true, ..MachineView::default() };
    let ended =
        MachineView { last_ended_incarnation: WORKER_INCARNATION, ..MachineView::default() };
    let earlier_ended =
        MachineView { last_ended_incarnation: WORKER_INCARNATION - 1, ..no_worker.clone() };
    let table = [
        ("no heartbeat, desired state not received", no_worker.clone(), false, true),
        ("earlier incarnation ended, desired state not received", earlier_ended, false, true),
        ("no heartbeat since desired state was received", no_worker, true, false),
        ("the task's incarnation ended at any time", ended, false, false),
    ];
    for (name, view, desired_state_received, stays) in table {
        let number = machine_number();
        let mut harness = Harness::new(&settings(1, 2, ""), &stored(number));
        harness.wait_until_healthy();
        harness.run(Micros::secs(2));
        assert_eq!(placements(&mut harness), 1, "{name}: placements after recovery");
        let term = harness.controller.status(harness.now)["shards"][OWN_SHARD]["term"].as_u64();
        let own = AppliedUpdate { shard: OWN_SHARD as u32, term: term.expect("a term"), seq: 1 };
        let view = MachineView {
            machine: format!("vm-{number:06}"),
            term: 1,
            seq: 1,
            applied: desired_state_received.then_some(own).into_iter().collect(),
            ..view
        };
        let claim = ShardClaim { shard: PEER_SHARD as u32, term: 1 };
        let frame = Frame {
            incarnation: PEER_INCARNATION,
            lease_valid: true,
            is_full_sync: true,
            shard_claims: vec![claim],
            views: vec![view],
            ..Frame::default()
        };
        // The end of a task is written with some delay, together with other ends.
        harness.receive_frame(0, frame);
        harness.run(Micros::secs(8));
        assert_eq!(placements(&mut harness) == 1, stays, "{name}");
    }
}
