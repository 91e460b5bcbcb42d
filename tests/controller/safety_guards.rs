//! Guards against what comes late or is lost, each brought about by hand with one
//! controller: taken out of the source, a row here fails.

use crate::harness::{Harness, Outcome, body, body_after, settings};
use millethold::controller::jobs::job::stored_placements;
use millethold::controller::leadership::shard::shard_of_machine;
use millethold::kv_store::{KvRequest, KvResponse};
use millethold::peer::{Frame, QuotaDemand};
use millethold::time::Micros;
use millethold::wire::{Txn, Write};
use serde_json::{Value, json};

/// The key that a write changes.
fn key_of(write: &Write) -> &str {
    match write {
        Write::Put { key, .. } | Write::Delete { key } => key,
    }
}

/// Whether a call is a transaction that changes keys which begin like this.
fn writes(call: &KvRequest, prefix: &str) -> bool {
    let KvRequest::Txn(txn) = call else {
        return false;
    };
    txn.writes.iter().any(|w| key_of(w).starts_with(prefix))
}

/// Whether a call only compares versions.
fn compares(call: &KvRequest) -> bool {
    matches!(call, KvRequest::Txn(Txn { writes, .. }) if writes.is_empty())
}

/// Whether a call gives a shard up.
fn releases(call: &KvRequest, shard: usize) -> bool {
    let key = format!("hold/{shard}");
    let gone = |w: &Write| matches!(w, Write::Delete { key: k } if *k == key);
    matches!(call, KvRequest::Txn(txn) if txn.writes.iter().any(gone))
}

/// How a shard stands: its term and whether the controller acts for it.
fn shard(harness: &Harness, shard: usize) -> (u64, bool) {
    let status = harness.controller.status(harness.now);
    let shard = &status["shards"][shard];
    (shard["term"].as_u64().expect("a term"), shard["owned"].as_bool().expect("a flag"))
}

/// A shard that was given up is acted on again only under a new term, whatever becomes of
/// the transaction that gives it up.
#[test]
fn new_term_after_a_release() {
    let table = [
        ("carried out", Outcome::Served),
        ("refused", Outcome::Refused),
        ("carried out, its answer lost", Outcome::AnswerLost),
        ("carried out late, if at all", Outcome::Late),
    ];
    for (name, outcome) in table {
        let mut harness = Harness::new(&settings(1, 3, ""), &[]);
        harness.start();
        harness.run(Micros::secs(5));
        let (term, leadership) = shard(&harness, 0);
        assert!(leadership, "{name}: seat 0 is nobody else's");
        let revision = harness.get("hold/0").expect("a holder").revision;
        harness.outcome = Box::new(move |call| match releases(call, 0) {
            true => outcome,
            false => Outcome::Served,
        });
        // Its home is back and well for long enough.
        let well = || Frame { incarnation: 3, state_ok: true, full: true, ..Frame::default() };
        let mut released = None;
        for _ in 0..50 {
            harness.hear(0, well());
            harness.run(Micros::millis(500));
            released = harness.calls.iter().position(|call| releases(call, 0));
            if released.is_some() {
                break;
            }
        }
        let released = released.unwrap_or_else(|| panic!("{name}: never released"));
        // Its home is gone before it takes the shard.
        for _ in 0..1_000 {
            let (now, leadership) = shard(&harness, 0);
            assert!(!leadership || now > term, "{name}: acted on again under term {now}");
            harness.run(Micros::millis(10));
        }
        let (now, leadership) = shard(&harness, 0);
        assert!(leadership && now > term, "{name}: not taken anew, term {now}");
        for call in &harness.calls[released + 1..] {
            let KvRequest::Txn(txn) = call else {
                continue;
            };
            let old = txn.conditions.iter().any(|c| c.key == "hold/0" && c.revision == revision);
            let takes = writes(call, "hold/0");
            assert!(!old || takes, "{name}: written under the old mark: {txn:?}");
        }
        for reply in harness.carry_out_late() {
            let failed = matches!(&reply, KvResponse::Conflict(keys) if keys == &["hold/0"]);
            assert!(failed, "{name}: carried out late: {reply:?}");
        }
    }
}

/// For how long the watch says nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Hangs {
    Not,
    UntilGivenUp,
    AllAlong,
}

/// An acceptance whose answer is lost: its shard runs the job once the call is given up,
/// whether the watch told of it before or afterwards, and whoever the user asks next.
#[test]
fn accepted_though_the_answer_is_lost() {
    type After = fn(&mut Harness);
    let silent: After = |_| {};
    let asks: After = |harness| assert_eq!(harness.poll("j-1").said(), (200, "queued"));
    let repeats: After = |harness| assert_eq!(harness.submit(&body("j-1")).said(), (200, "queued"));
    // Outcome, for how long the watch hangs, what the user does then, submissions.
    let table = [
        ("told by the watch first", Outcome::AnswerLost, Hangs::Not, silent, 1),
        ("given up first", Outcome::AnswerLost, Hangs::UntilGivenUp, silent, 1),
        ("carried out late", Outcome::Late, Hangs::Not, silent, 1),
        ("its user asks, the watch hangs", Outcome::AnswerLost, Hangs::AllAlong, asks, 1),
        ("its user repeats it, the watch hangs", Outcome::AnswerLost, Hangs::AllAlong, repeats, 1),
        ("some together, told by the watch first", Outcome::AnswerLost, Hangs::Not, silent, 20),
        ("some together, given up first", Outcome::AnswerLost, Hangs::UntilGivenUp, silent, 20),
        ("some together, carried out late", Outcome::Late, Hangs::Not, silent, 20),
    ];
    for (name, outcome, hangs, then, count) in table {
        let config = settings(0, 1, "");
        let config = match count {
            1 => config,
            // So few changes a second that those which wait are accepted together.
            _ => config.replace("write_rps = 1000.0", "write_rps = 16.0"),
        };
        let mut harness = Harness::new(&config, &[]);
        harness.start();
        harness.run(Micros::secs(2));
        harness.watches_hang = hangs != Hangs::Not;
        harness.outcome = Box::new(move |call| match writes(call, "j/") {
            true => outcome,
            false => Outcome::Served,
        });
        let bodies: Vec<Value> = (1..=count).map(|n| body(&format!("j-{n}"))).collect();
        let tickets: Vec<u64> = bodies
            .iter()
            .map(|body| harness.ask("POST", "/work", body.to_string().as_bytes()))
            .collect();
        harness.run(Micros::millis(4_500));
        for ticket in tickets {
            let answer = harness.answer(ticket).expect("an answer in time");
            assert_eq!((answer.status, answer.retry_after.is_some()), (503, true), "{name}");
        }
        assert!(harness.calls.iter().any(|call| writes(call, "w/0/_")) == (count > 1), "{name}");
        harness.carry_out_late();
        harness.run(Micros::millis(1_000));
        harness.outcome = Box::new(|_| Outcome::Served);
        then(&mut harness);
        harness.watches_hang = hangs == Hangs::AllAlong;
        harness.run(Micros::millis(2_500));
        assert_eq!(harness.list("j/").len(), count, "{name}: stored");
        assert_eq!(harness.jobs(), count as u64, "{name}: nobody runs it");
    }
}

/// Another controller cancels a job, and the watch does not tell of it.
fn cancel(harness: &mut Harness, id: &str) {
    harness.watches_hang = true;
    cancel_heard(harness, id);
}

fn cancel_heard(harness: &mut Harness, id: &str) {
    harness.put(&format!("j/{id}"), json!({"s": 0, "g": "c", "n": 2}));
    harness.run(Micros::millis(200));
}

/// What becomes of comparisons from now on.
fn compared(harness: &mut Harness, outcome: Outcome) {
    harness.outcome = Box::new(move |call| match compares(call) {
        true => outcome,
        false => Outcome::Served,
    });
}

/// What a waiting job's user is told: never `queued` once the store has the cancellation
/// of it or of anything before it, whatever this node has heard.
#[test]
fn comparison_behind_a_waiting_jobs_answer() {
    type Before = fn(&mut Harness);
    // What happens before the question, what between it and the answer, what is told.
    let nothing: Before = |_| {};
    let answered: Before = |harness| assert_eq!(harness.serve_held(), 1);
    type Case = (&'static str, Before, Before, &'static [(u16, &'static str)]);
    let table: Vec<Case> = vec![
        ("nothing has changed", nothing, nothing, &[(200, "queued")]),
        // A repeated submission reads its own record first.
        ("it is cancelled", |s| cancel(s, "j-4"), nothing, &[(503, ""), (200, "cancelled")]),
        ("the one before it", |s| cancel(s, "j-3"), nothing, &[(503, "")]),
        ("two before it", |s| cancel(s, "j-2"), nothing, &[(503, "")]),
        ("the first of all", |s| cancel(s, "j-1"), nothing, &[(503, "")]),
        ("one on another way to it", |s| cancel(s, "j-9"), nothing, &[(503, "")]),
        ("the watch has told of it", |s| cancel_heard(s, "j-1"), nothing, &[(200, "cancelled")]),
        (
            "the watch tells of it while the comparison is on its way back",
            |s| {
                // And what follows from it is not written down yet.
                s.outcome = Box::new(|call| match call {
                    call if compares(call) => Outcome::AnswerHeld,
                    call if writes(call, "j/") => Outcome::Refused,
                    _ => Outcome::Served,
                });
            },
            |s| {
                cancel_heard(s, "j-1");
                assert_eq!(s.serve_held(), 1);
            },
            &[(200, "cancelled")],
        ),
        (
            "the comparison takes half a second",
            |s| compared(s, Outcome::AnswerHeld),
            |s| {
                s.run(Micros::millis(500));
                assert_eq!(s.serve_held(), 1);
            },
            &[(200, "queued")],
        ),
        (
            "the comparison takes too long: another node may have said more",
            |s| compared(s, Outcome::AnswerHeld),
            |s| {
                s.run(Micros::millis(800));
                assert_eq!(s.serve_held(), 1);
            },
            &[(503, "")],
        ),
        (
            "held, and nothing has changed",
            |s| compared(s, Outcome::Held),
            answered,
            &[(200, "queued")],
        ),
        (
            "cancelled before the comparison is carried out",
            |s| compared(s, Outcome::Held),
            |s| {
                cancel(s, "j-1");
                assert_eq!(s.serve_held(), 1);
            },
            &[(503, "")],
        ),
        ("the state service refuses", |s| compared(s, Outcome::Refused), nothing, &[(503, "")]),
        ("the answer is lost", |s| compared(s, Outcome::AnswerLost), nothing, &[(503, "")]),
        (
            "cancellations are not heard for too long",
            |s| {
                s.outcome = Box::new(|call| match call {
                    KvRequest::Watch { .. } => Outcome::Refused,
                    _ => Outcome::Served,
                });
                s.run(Micros::secs(40));
            },
            nothing,
            &[(503, "")],
        ),
    ];
    for (name, before, between, told) in table {
        for repeats in [false, true] {
            let mut harness = Harness::ready("", &[]);
            for (id, dependencies) in [
                ("j-1", &[][..]),
                ("j-9", &[]),
                ("j-2", &["j-1"]),
                ("j-3", &["j-2", "j-9"]),
                ("j-4", &["j-3"]),
            ] {
                let answer = harness.submit(&body_after(id, dependencies));
                assert_eq!(answer.said(), (201, "queued"), "{name}: {id}");
            }
            harness.run(Micros::millis(300));
            before(&mut harness);
            let ticket = match repeats {
                false => harness.ask("GET", "/work/j-4", b""),
                true => {
                    let body = body_after("j-4", &["j-3"]).to_string();
                    harness.ask("POST", "/work", body.as_bytes())
                }
            };
            harness.run(Micros::millis(50));
            between(&mut harness);
            harness.run(Micros::secs(3));
            let answer = harness.answer(ticket).unwrap_or_else(|| panic!("{name}: no answer"));
            assert!(told.contains(&answer.said()), "{name}, repeats {repeats}: {answer:?}");
            let later = answer.status == 503;
            assert_eq!(answer.retry_after.is_some(), later, "{name}, repeats {repeats}");
        }
    }
}

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
                self.harness.ask("POST", "/v1/report", heartbeat.to_string().as_bytes());
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
fn lowest_of_all_changes_on_a_version() {
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

/// A direct start that is on its way for longer than anybody waits: once its job is called
/// off its worker refuses it, and goes on with all else.
#[test]
fn late_start_of_a_cancelled_job() {
    // The job is called off, whether the start is refused when it comes.
    for (called_off, refused) in [(true, true), (false, false)] {
        let mut harness = Harness::ready("", &[]);
        harness.add_machine();
        harness.run(Micros::secs(5));
        harness.holds_starts = true;
        assert_eq!(harness.submit(&body("j-1")).status, 201);
        if called_off {
            assert_eq!(harness.abort("j-1").said(), (200, "cancelled"));
        }
        // Its sender gives it up, and the machine reports more than once.
        harness.run(Micros::secs(20));
        harness.holds_starts = false;
        let begun: Vec<String> = std::mem::take(&mut harness.begun);
        assert_eq!(begun.is_empty(), called_off, "{begun:?}");
        let late = harness.deliver_held_commands();
        assert_eq!(late, [if refused { 409 } else { 200 }], "called off: {called_off}");
        assert_eq!(harness.begun, Vec::<String>::new(), "begun late");
        let raised = harness.controller.status(harness.now)["counts"]["decisions"]["raised_tokens"]
            .as_u64()
            .expect("a count");
        assert_eq!(raised, u64::from(refused), "no token is raised for nothing");

        // What is sent directly from then on is executed.
        assert_eq!(harness.submit(&body("j-2")).status, 201);
        harness.run(Micros::millis(100));
        assert_eq!(harness.begun, ["j-2/0", "j-2/1"], "called off: {called_off}");
        assert_eq!(harness.refused_commands, 0, "called off: {called_off}");
    }
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
