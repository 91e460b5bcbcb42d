//! Changes of grants that come late, and what counts against a limit.

use super::{shard, writes};
use crate::harness::{Harness, Outcome, body, settings};
use millethold::controller::jobs::job::stored_placements;
use millethold::controller::leadership::shard::shard_of_machine;
use millethold::kv_store::KvResponse;
use millethold::peer::{Frame, QuotaDemand};
use millethold::time::Micros;
use serde_json::{Value, json};

/// Machines of a shard that report, and what is written down for them.
struct Shop {
    harness: Harness,
    machines: Vec<String>,
    heartbeats: u64,
}

/// Shards 0 and 2 are others'; the second shard, which is this controller's, has so many
/// CPUs of the red team's limit of 14.
fn shop(granted: f64) -> Shop {
    let hold = |n: usize| {
        let hold = json!({"member": format!("n{n}"), "run": 5, "term": 1, "lease": 99});
        [(format!("hold/{n}"), hold), (format!("seat/{n}"), json!({"term": 1}))]
    };
    let mut stored: Vec<(String, Value)> = [hold(0), hold(2)].concat();
    stored.push(("quota/red".into(), json!({"1": [granted, 0.0]})));
    let mut harness = Harness::new(&settings(1, 3, ""), &stored);
    harness.start();
    let names = (0..).map(|n| format!("vm-{n:06}"));
    let machines = names.filter(|name| shard_of_machine(name, 3) == 1).take(3).collect();
    let mut shop = Shop { harness, machines, heartbeats: 0 };
    shop.run(6, 0.0);
    shop
}

impl Shop {
    /// So many seconds, in which shard 0 lacks so many CPUs of the team.
    fn run(&mut self, seconds: u64, lacks: f64) {
        for _ in 0..seconds * 2 {
            let need =
                QuotaDemand { shard: 0, team: "red".into(), cpus: lacks, gpus: 0.0, rank: 2 };
            let frame = Frame {
                incarnation: 5,
                state_ok: true,
                full: true,
                has_demand: true,
                quota_demand: Vec::from_iter((lacks > 0.0).then_some(need)),
                ..Frame::default()
            };
            self.harness.hear(0, frame);
            let (fencing_token, _) = shard(&self.harness, 1);
            self.heartbeats += 1;
            for machine in self.machines.clone() {
                let heartbeat = json!({
                    "lathe": machine, "address": "10.1.0.1:9000", "bench": "t4", "yard": "a",
                    "loaners": false, "shift": 1, "tally": self.heartbeats, "baton": fencing_token,
                    "recallS": null, "planks": [],
                });
                self.harness.send_request("POST", "/v1/report", heartbeat.to_string().as_bytes());
            }
            self.harness.run(Micros::millis(500));
        }
    }

    /// Tasks that are written down for machines.
    fn placed(&mut self) -> usize {
        let chunks = self.harness.list("w/1/");
        chunks.iter().filter_map(|chunk| Some(stored_placements(&chunk.value)?.len())).sum()
    }

    /// Changes of the team's grants that were sent.
    fn changes(&self) -> usize {
        self.harness.calls.iter().filter(|call| writes(call, "quota/red")).count()
    }

    fn submit(&mut self, tasks: u32) {
        let mut body = body("j-1");
        body["crew"] = json!("red");
        body["planks"] = json!(tasks);
        assert_eq!(self.harness.submit(&body).said(), (201, "queued"));
    }

    /// What becomes of changes of the team's grants from now on: the first, and the rest.
    fn changes_are(&mut self, first: Outcome, rest: Outcome) {
        let mut count = 0;
        self.harness.outcome = Box::new(move |call| {
            if !writes(call, "quota/red") {
                return Outcome::Served;
            }
            count += 1;
            if count == 1 { first } else { rest }
        });
    }
}

/// Of all changes that were sent on one version of a team's grants the lowest counts,
/// until the key has changed: any of them may still be carried out.
#[test]
fn lowest_of_all_changes_on_a_revision() {
    // The first change, which lowers the grant, the later ones; whether what the store
    // says meanwhile may be used.
    let table = [
        ("surely not carried out", Outcome::Refused, Outcome::Refused, true),
        ("perhaps later, the next are refused", Outcome::Late, Outcome::Refused, false),
        ("perhaps later, and so the next", Outcome::Late, Outcome::Late, false),
    ];
    for (name, first, rest, used) in table {
        let mut shop = shop(12.0);
        assert_eq!((shop.placed(), shop.changes()), (0, 0), "{name}");
        // Another shard lacks all that this one has unused.
        shop.changes_are(first, rest);
        shop.run(4, 14.0);
        assert!(shop.changes() > 0, "{name}: no change was sent");
        shop.submit(4);
        shop.run(8, 14.0);
        assert_eq!(shop.placed() > 0, used, "{name}: {} are placed", shop.placed());
        // Changes are carried out again: what comes late fails, and the job has its part.
        shop.changes_are(Outcome::Served, Outcome::Served);
        shop.run(6, 14.0);
        for reply in shop.harness.carry_out_late() {
            assert!(matches!(reply, KvResponse::Conflict(_)), "{name}: {reply:?}");
        }
        let grants = shop.harness.get("quota/red").expect("grants").value;
        let granted = grants["1"][0].as_f64().expect("a grant");
        let placed = shop.placed();
        assert!(placed == 4 && granted >= 4.0, "{name}: {placed} placed, {grants}");
    }
}

/// What may still be carried out is made to fail, also where nothing else is to change.
#[test]
fn late_change_of_grants_is_made_to_fail() {
    let mut shop = shop(12.0);
    shop.changes_are(Outcome::Late, Outcome::Served);
    shop.run(2, 14.0);
    assert_eq!(shop.changes(), 1);
    // Nobody lacks anything any more.
    shop.run(6, 0.0);
    assert_eq!(shop.changes(), 2, "the same grants are written once more");
    let late = shop.harness.carry_out_late();
    assert!(matches!(&late[..], [KvResponse::Conflict(_)]), "{late:?}");
    assert_eq!(shop.harness.get("quota/red").expect("grants").value["1"][0], json!(12.0));
}

/// Tasks that were given up before they began stay stored as placed until their end is
/// written. A process that reads them meanwhile begins them; until then they count against
/// the team's limit, and nothing takes their place.
#[test]
fn given_up_before_it_began() {
    const LIMIT: u32 = 14;
    let red = |id: &str, urgency: &str, tasks: u32| {
        let mut body = body(id);
        body["crew"] = json!("red");
        body["urgency"] = json!(urgency);
        body["planks"] = json!(tasks);
        body
    };
    // When the process ends, in milliseconds after the urgent job came.
    for ends_after in (0..12_000).step_by(250) {
        let mut harness = Harness::ready("", &[]);
        (0..6).for_each(|_| harness.add_machine());
        harness.lengths.insert("j-1".into(), 60.0);
        harness.lengths.insert("j-2".into(), 60.0);
        harness.run(Micros::secs(5));
        harness.holds_starts = true;
        assert_eq!(harness.submit(&red("j-1", "low", LIMIT)).status, 201);
        while harness.placed() < u64::from(LIMIT) {
            harness.run(Micros::millis(10));
        }
        assert_eq!(harness.submit(&red("j-2", "high", 5)).status, 201);
        // Machines that answer, for what takes the place of what was given up.
        (0..2).for_each(|_| harness.add_machine());
        harness.run(Micros::millis(ends_after));
        harness.holds_starts = false;
        harness.restart();
        for _ in 0..200 {
            harness.run(Micros::millis(50));
            let present = harness.present();
            assert!(present <= LIMIT as usize, "ended after {ends_after} ms: {present} tasks");
        }
    }
}
