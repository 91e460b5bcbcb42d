//! Late changes of quota grants, and placements that count against a team's limit.

use super::{shard_status, writes};
use crate::harness::{Harness, Outcome, settings, submission};
use millethold::controller::jobs::job::stored_placements;
use millethold::controller::leadership::shard::shard_of_machine;
use millethold::kv_store::KvResponse;
use millethold::peer::{Frame, QuotaDemand};
use millethold::time::Micros;
use serde_json::{Value, json};

/// A controller that leads shard 1 only, and machines of that shard which send heartbeats.
struct QuotaShard {
    harness: Harness,
    machines: Vec<String>,
    heartbeats: u64,
}

/// Starts a controller that leads shard 1 and has been granted this number of CPUs of the red
/// team's limit of 14. Shards 0 and 2 are led by other controllers.
fn quota_shard(granted_cpus: f64) -> QuotaShard {
    let leased = |n: usize| {
        let lease = json!({"member": format!("n{n}"), "run": 5, "term": 1, "lease": 99});
        [(format!("hold/{n}"), lease), (format!("seat/{n}"), json!({"term": 1}))]
    };
    let mut stored: Vec<(String, Value)> = [leased(0), leased(2)].concat();
    stored.push(("quota/red".into(), json!({"1": [granted_cpus, 0.0]})));
    let mut harness = Harness::new(&settings(1, 3, ""), &stored);
    harness.wait_until_healthy();
    let names = (0..).map(|n| format!("vm-{n:06}"));
    let machines = names.filter(|name| shard_of_machine(name, 3) == 1).take(3).collect();
    let mut shard = QuotaShard { harness, machines, heartbeats: 0 };
    shard.run(6, 0.0);
    shard
}

impl QuotaShard {
    /// Runs for a number of seconds, during which shard 0 announces this unmet demand for CPUs of
    /// the red team.
    fn run(&mut self, seconds: u64, peer_demand_cpus: f64) {
        for _ in 0..seconds * 2 {
            let demand = QuotaDemand {
                shard: 0,
                team: "red".into(),
                cpus: peer_demand_cpus,
                gpus: 0.0,
                rank: 2,
            };
            let frame = Frame {
                incarnation: 5,
                lease_valid: true,
                is_full_sync: true,
                has_demand: true,
                quota_demand: Vec::from_iter((peer_demand_cpus > 0.0).then_some(demand)),
                ..Frame::default()
            };
            self.harness.receive_frame(0, frame);
            let (fencing_token, _) = shard_status(&self.harness, 1);
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

    /// Number of stored placements of shard 1.
    fn count_placements(&mut self) -> usize {
        let chunks = self.harness.list("w/1/");
        chunks.iter().filter_map(|chunk| Some(stored_placements(&chunk.value)?.len())).sum()
    }

    /// Number of changes of the team's grants that were sent.
    fn sent_grant_changes(&self) -> usize {
        self.harness.calls.iter().filter(|call| writes(call, "quota/red")).count()
    }

    fn submit(&mut self, tasks: u32) {
        let mut body = submission("j-1");
        body["crew"] = json!("red");
        body["planks"] = json!(tasks);
        assert_eq!(self.harness.submit(&body).status_and_stage(), (201, "queued"));
    }

    /// Sets the outcome of the next change of the team's grants, and of those after it.
    fn set_grant_change_outcomes(&mut self, first: Outcome, rest: Outcome) {
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

/// Guards against more placements than the team's limit allows. A change that lowers the grant
/// gets no reply and may still be executed, so until the key's revision changes, the lowest grant
/// of all changes that were sent on the current revision applies.
#[test]
fn lowest_of_all_changes_on_a_revision() {
    // Outcome of the first change, which lowers the grant, and of the later ones; whether the
    // grant that is stored meanwhile may be used.
    let table = [
        ("definitely not executed", Outcome::Refused, Outcome::Refused, true),
        ("perhaps executed later, the next are refused", Outcome::Late, Outcome::Refused, false),
        ("perhaps executed later, as are the next", Outcome::Late, Outcome::Late, false),
    ];
    for (name, first, rest, grant_usable) in table {
        let mut shard = quota_shard(12.0);
        assert_eq!((shard.count_placements(), shard.sent_grant_changes()), (0, 0), "{name}");
        // Another shard demands all CPUs that this one does not use.
        shard.set_grant_change_outcomes(first, rest);
        shard.run(4, 14.0);
        assert!(shard.sent_grant_changes() > 0, "{name}: no change was sent");
        shard.submit(4);
        shard.run(8, 14.0);
        assert_eq!(
            shard.count_placements() > 0,
            grant_usable,
            "{name}: {} are placed",
            shard.count_placements()
        );
        // Changes are executed again: late ones conflict, and the job gets its share.
        shard.set_grant_change_outcomes(Outcome::Served, Outcome::Served);
        shard.run(6, 14.0);
        for reply in shard.harness.execute_late_calls() {
            assert!(matches!(reply, KvResponse::Conflict(_)), "{name}: {reply:?}");
        }
        let grants = shard.harness.get("quota/red").expect("grants").value;
        let granted = grants["1"][0].as_f64().expect("a grant");
        let placed = shard.count_placements();
        assert!(placed == 4 && granted >= 4.0, "{name}: {placed} placed, {grants}");
    }
}

/// Guards against a grant that a late change lowers unnoticed. Even if no other change is due,
/// the controller writes the grants again, so that a change of unknown outcome conflicts.
#[test]
fn late_change_of_grants_conflicts() {
    let mut shard = quota_shard(12.0);
    shard.set_grant_change_outcomes(Outcome::Late, Outcome::Served);
    shard.run(2, 14.0);
    assert_eq!(shard.sent_grant_changes(), 1);
    // No shard has unmet demand any more.
    shard.run(6, 0.0);
    assert_eq!(shard.sent_grant_changes(), 2, "the same grants are written again");
    let late = shard.harness.execute_late_calls();
    assert!(matches!(&late[..], [KvResponse::Conflict(_)]), "{late:?}");
    assert_eq!(shard.harness.get("quota/red").expect("grants").value["1"][0], json!(12.0));
}

/// Guards against exceeding a team's limit after a restart. Tasks that are preempted before they
/// start stay stored as placed until their ends are written, and a process that reads them
/// meanwhile starts them. Until then they must count against the limit, so that no other task
/// takes their place.
#[test]
fn placements_given_up_before_start_count_against_the_limit() {
    const LIMIT: u32 = 14;
    let red = |id: &str, urgency: &str, tasks: u32| {
        let mut body = submission(id);
        body["crew"] = json!("red");
        body["urgency"] = json!(urgency);
        body["planks"] = json!(tasks);
        body
    };
    // Milliseconds from the submission of the urgent job to the restart.
    for restart_after in (0..12_000).step_by(250) {
        let mut harness = Harness::ready("", &[]);
        (0..6).for_each(|_| harness.add_machine());
        harness.task_duration_s.insert("j-1".into(), 60.0);
        harness.task_duration_s.insert("j-2".into(), 60.0);
        harness.run(Micros::secs(5));
        harness.hold_starts = true;
        assert_eq!(harness.submit(&red("j-1", "low", LIMIT)).status, 201);
        while harness.placed_count() < u64::from(LIMIT) {
            harness.run(Micros::millis(10));
        }
        assert_eq!(harness.submit(&red("j-2", "high", 5)).status, 201);
        // Responsive machines for the tasks that replace those given up.
        (0..2).for_each(|_| harness.add_machine());
        harness.run(Micros::millis(restart_after));
        harness.hold_starts = false;
        harness.restart();
        for _ in 0..200 {
            harness.run(Micros::millis(50));
            let tasks = harness.tasks_on_machines();
            assert!(tasks <= LIMIT as usize, "restart after {restart_after} ms: {tasks} tasks");
        }
    }
}
