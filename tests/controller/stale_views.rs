//! What a controller may conclude from views that were made before it took a shard.

use crate::harness::{Harness, body, settings};
use millethold::controller::jobs::job::stored_placements;
use millethold::controller::leadership::shard::shard_of_machine;
use millethold::peer::{AppliedUpdate, Frame, MachineView, ShardClaim};
use millethold::time::Micros;
use serde_json::{Value, json};

const JOB: &str = "j-1";
/// The peer's shard, which has the machine, and the one whose owner is looked at.
const PEER_SHARD: usize = 0;
const OWN_SHARD: usize = 1;
/// The peer's run.
const PEER_RUN: u64 = 3;
/// Session in which the task was placed.
const SESSION: u64 = 2;

/// The number of a machine of the peer's shard.
fn machine_number() -> u64 {
    let of_peer = |n: &u64| shard_of_machine(&format!("vm-{n:06}"), 2) == PEER_SHARD;
    (1..).find(of_peer).expect("some machine")
}

/// The job as an earlier owner stored it: one task, placed on the peer's machine.
fn stored(number: u64) -> Vec<(String, Value)> {
    let mut spec = body(JOB);
    let fields = spec.as_object_mut().expect("an object");
    fields.retain(|name, value| !value.is_null() && name != "cut");
    fields.insert("planks".into(), json!(1));
    let chunk = json!({
        "a": 1, "b": 1_000_000, "h": [["vm-", 6]], "p": [0, 0, number, SESSION, 1, 0, 0],
        "s": spec, "t": 1_000_000_500_000_u64, "v": 1, "y": ["a"], "z": 232,
    });
    let record = json!({ "s": OWN_SHARD, "g": "a", "n": 1 });
    let lease = json!({ "lease": 1, "member": "n0", "run": PEER_RUN, "term": 1 });
    vec![
        (format!("hold/{PEER_SHARD}"), lease),
        (format!("seat/{PEER_SHARD}"), json!({ "term": 1 })),
        (format!("j/{JOB}"), record),
        (format!("w/{OWN_SHARD}/{JOB}/0"), chunk),
    ]
}

/// The placements of the job that are stored.
fn placements(harness: &mut Harness) -> usize {
    let chunk = harness.get(&format!("w/{OWN_SHARD}/{JOB}/0")).expect("a part");
    stored_placements(&chunk.value).expect("readable").len()
}

/// Whether the placement outlives a view of the peer's machine.
#[test]
fn silence_before_the_failover() {
    let silent = MachineView { vanished: true, ..MachineView::default() };
    let ended = MachineView { over_through: SESSION, ..MachineView::default() };
    let earlier = MachineView { over_through: SESSION - 1, ..silent.clone() };
    let table = [
        ("never reported, and the owner was not heard", silent.clone(), false, true),
        ("an earlier session ended, and the owner was not heard", earlier, false, true),
        ("never reported since the owner was heard", silent, true, false),
        ("the session ended, whenever that was", ended, false, false),
    ];
    for (name, view, heard, stays) in table {
        let number = machine_number();
        let mut harness = Harness::new(&settings(1, 2, ""), &stored(number));
        harness.start();
        harness.run(Micros::secs(2));
        assert_eq!(placements(&mut harness), 1, "{name}: read as it was stored");
        let term = harness.controller.status(harness.now)["shards"][OWN_SHARD]["term"].as_u64();
        let own = AppliedUpdate { shard: OWN_SHARD as u32, term: term.expect("a term"), seq: 1 };
        let view = MachineView {
            machine: format!("vm-{number:06}"),
            term: 1,
            seq: 1,
            applied: heard.then_some(own).into_iter().collect(),
            ..view
        };
        let claim = ShardClaim { shard: PEER_SHARD as u32, term: 1 };
        let frame = Frame {
            incarnation: PEER_RUN,
            state_ok: true,
            full: true,
            shard_claims: vec![claim],
            views: vec![view],
            ..Frame::default()
        };
        // Its ends wait a while for others to be written with.
        harness.hear(0, frame);
        harness.run(Micros::secs(8));
        assert_eq!(placements(&mut harness) == 1, stays, "{name}");
    }
}
