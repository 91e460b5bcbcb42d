//! Tables of cases for the pure parts.

use millethold::config::{Config, Options, Team, Workers};
use millethold::controller::cancel;
use millethold::controller::estimate::Estimates;
use millethold::controller::fleet::{self, Fleet, Room};
use millethold::controller::image::ImageIndex;
use millethold::controller::job::{self, Job, PartSize};
use millethold::controller::machine::{Key, Post, Sent, may_start};
use millethold::controller::place;
use millethold::controller::quota::{self, Need, TeamQuota};
use millethold::controller::seat::{self, Hold, Lease, Seat};
use millethold::controller::slots::{Booked, PoolKey, Slot, Slots};
use millethold::http::{self, HttpError};
use millethold::peer::{self, Demand, Frame, Phase, Seen, WantedTask};
use millethold::state::{Bucket, Budget, StateCall, StateReply};
use millethold::time::Micros;
use millethold::wire::{
    self, Cause, Item, ListedMachine, MachineStage, MachineType, Report, ReportedTask, TaskState,
    Txn, Write,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::rc::Rc;

fn body() -> Value {
    json!({
        "ref": "j-000412", "grade": "train", "crew": "red", "cut": "batch", "urgency": "high",
        "planks": 16, "cpus": 8.0, "gpus": 1.0, "ramGb": 64.0, "pattern": "img-07",
        "pullGb": 6.2, "benches": ["g8"], "yard": null, "together": true, "apart": false,
        "loaners": true, "expectedS": 240.0, "notchS": 30.0, "stackS": 4.0, "dueS": 900.0,
    })
}

#[test]
fn submissions() {
    let good = wire::parse_job(body().to_string().as_bytes()).expect("a good submission");
    assert_eq!(
        (good.tasks, good.gpus, good.one_zone, good.deadline_s),
        (16, 1.0, true, Some(900.0))
    );
    // Field, value (null: left out), field named in the answer.
    let table = [
        ("ref", json!("x-1"), "ref"),
        ("ref", json!("j-"), "ref"),
        ("ref", json!("j-12a"), "ref"),
        ("ref", json!(7), "ref"),
        ("ref", Value::Null, "ref"),
        ("grade", Value::Null, "grade"),
        ("crew", json!(""), "crew"),
        ("cut", json!("heap"), "cut"),
        ("cut", Value::Null, "cut"),
        ("urgency", json!("soon"), "urgency"),
        ("planks", json!(0), "planks"),
        ("planks", json!(100_001), "planks"),
        ("planks", json!(1.5), "planks"),
        ("planks", json!("3"), "planks"),
        ("cpus", json!(-1.0), "cpus"),
        ("cpus", json!("4"), "cpus"),
        ("cpus", json!(1e300), "cpus"),
        ("ramGb", Value::Null, "ramGb"),
        ("pattern", json!(3), "pattern"),
        ("pullGb", json!(-0.1), "pullGb"),
        ("benches", json!("g8"), "benches"),
        ("benches", json!([1]), "benches"),
        ("yard", json!(1), "yard"),
        ("together", json!("yes"), "together"),
        ("expectedS", Value::Null, "expectedS"),
        ("dueS", json!(-5), "dueS"),
        ("gpus", Value::Null, "gpus"),
        ("together", Value::Null, "together"),
        ("apart", Value::Null, "apart"),
        ("loaners", Value::Null, "loaners"),
        ("notchS", Value::Null, "notchS"),
        ("stackS", Value::Null, "stackS"),
    ];
    for (field, value, named) in table {
        let mut b = body();
        b[field] = value.clone();
        let bad = wire::parse_job(b.to_string().as_bytes()).expect_err(field);
        assert_eq!(bad.field, named, "{field} = {value}");
        // The id is kept, so that a known job's repeat can be told from it.
        assert_eq!(bad.id.is_some(), named != "ref", "{field} = {value}");
    }
    for field in ["benches", "yard", "dueS"] {
        let mut b = body();
        b[field] = Value::Null;
        assert!(wire::parse_job(b.to_string().as_bytes()).is_ok(), "{field} may be null");
        b.as_object_mut().expect("an object").remove(field);
        assert!(wire::parse_job(b.to_string().as_bytes()).is_ok(), "{field} may be left out");
    }
    for text in ["", "{", "[]", "3", "\"x\"", "nul", "\u{0}"] {
        assert_eq!(wire::parse_job(text.as_bytes()).expect_err(text).field, "");
    }
    let mut b = body();
    b["surprise"] = json!({"of": "a later version"});
    assert!(wire::parse_job(b.to_string().as_bytes()).is_ok());
}

#[test]
fn http_requests() {
    let long = format!("POST /work HTTP/1.1\r\nContent-Length: {}\r\n\r\n", http::MAX_BODY + 1);
    let endless = format!("GET /{} HTTP/1.1\r\n", "x".repeat(http::MAX_HEAD));
    let table: [(&str, Result<Option<usize>, HttpError>); 11] = [
        ("GET /healthz HTTP/1.1\r\n\r\n", Ok(Some(0))),
        ("GET /healthz HTTP/1.1\r\nHost: a\r\n", Ok(None)),
        ("POST /work HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", Ok(Some(2))),
        ("POST /work HTTP/1.1\r\nContent-Length: 3\r\n\r\n{}", Ok(None)),
        ("POST /work HTTP/1.1\r\nContent-Length: x\r\n\r\n", Err(HttpError::Malformed)),
        ("POST /work HTTP/1.1\r\nContent-Length: -1\r\n\r\n", Err(HttpError::Malformed)),
        (
            "POST /work HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            Err(HttpError::Malformed),
        ),
        (
            "POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            Err(HttpError::Malformed),
        ),
        (&long, Err(HttpError::TooLarge)),
        (&endless, Err(HttpError::Malformed)),
        ("\u{1}\u{2}\r\n\r\n", Err(HttpError::Malformed)),
    ];
    for (text, want) in table {
        let got = http::parse_request(text.as_bytes()).map(|r| r.map(|(r, _)| r.body.len()));
        assert_eq!(got, want, "{:.60}", text);
    }
    let mut out = Vec::new();
    http::write_answer(&mut out, 503, Some(2), "application/json", b"{}", true);
    let text = String::from_utf8(out.clone()).expect("text");
    assert!(text.contains("Retry-After: 2\r\n") && text.contains("Connection: close\r\n"));
    let (answer, used) = http::parse_answer(&out).expect("HTTP").expect("whole");
    assert_eq!((answer.status, answer.close, used), (503, true, out.len()));
}

#[test]
fn frames() {
    let frame = Frame { member: "n1".into(), run: 9, state_ok: true, ..Frame::default() };
    let mut bytes = Vec::new();
    peer::write_frame(&mut bytes, &frame);
    assert_eq!(peer::read_frame(&bytes), Ok(Some((frame, bytes.len()))));
    for cut in 0..bytes.len() {
        assert_eq!(peer::read_frame(&bytes[..cut]), Ok(None), "cut at {cut}");
    }
    let large = (peer::MAX_FRAME as u32 + 1).to_be_bytes();
    assert!(peer::read_frame(&large).is_err());
    assert!(peer::read_frame(&[0, 0, 0, 2, 0xff, 0xff]).is_err());
}

#[test]
fn placement() {
    let o = Options::default();
    for (gb, want) in [(0.0, 0), (0.99, 0), (1.0, 1), (3.9, 1), (4.0, 2), (12.0, 4), (500.0, 4)] {
        assert_eq!(place::slack(&o, gb), want, "{gb} GB");
    }
    // Freest, holder, slack, whether the holder wins.
    let table =
        [(1, 1, 0, true), (1, 2, 0, false), (1, 2, 1, true), (1, 5, 4, true), (1, 6, 4, false)];
    for (freest, holder, slack, want) in table {
        assert_eq!(place::holder_wins(freest, holder, slack), want, "{freest} {holder} {slack}");
    }
    assert!(place::holder_wins(u32::MAX, u32::MAX, u32::MAX));
}

/// The indexes answer as a walk over all machines would, whatever has changed.
#[test]
fn slots() {
    let mut rng = StdRng::seed_from_u64(5);
    let mut slots = Slots::default();
    let mut plain: BTreeMap<String, (PoolKey, Slot)> = BTreeMap::new();
    let booked = |rank, cpus: f64, stopping| Booked {
        rank,
        team: "t".into(),
        amount: [cpus, 0.0, cpus * 2.0],
        job: "j-1".into(),
        index: 0,
        attempt: 1,
        stopping,
        placed: Micros::ZERO,
        checkpoint_s: 0.0,
        expected_s: 10.0,
    };
    for step in 0..3_000 {
        let name = format!("vm-{:02}", rng.random_range(0..40));
        let key = PoolKey {
            machine_type: "m".into(),
            zone: if name.ends_with('3') { "a" } else { "b" }.into(),
            spot: name.ends_with('4'),
        };
        if rng.random_range(0..10) == 0 {
            slots.set(&name, None);
            plain.remove(&name);
        } else if rng.random_range(0..3) == 0 || !plain.contains_key(&name) {
            let mut slot =
                Slot::new(name.as_str().into(), 1, name.ends_with('5'), [4.0, 0.0, 16.0]);
            for _ in 0..rng.random_range(0..4) {
                slot.book(booked(rng.random_range(0..4), 1.0, rng.random_range(0..3) == 0));
            }
            slots.set(&name, Some((key.clone(), slot.clone())));
            plain.insert(name, (key, slot));
        } else if let (Some(id), Some((_, slot))) = (slots.id(&name), plain.get_mut(&name))
            && slot.free[0] >= 1.0
        {
            slots.change(id, |s| s.book(booked(1, 1.0, false)));
            slot.book(booked(1, 1.0, false));
        }
        let spot = step % 2 == 0;
        let pools = slots.pools(|k| spot || !k.spot);
        let need = [[1.0, 0.0, 1.0], [4.0, 0.0, 12.0]][step % 2];
        let open: Vec<&Slot> = plain
            .values()
            .filter(|(k, s)| (spot || !k.spot) && fleet::fits(&s.free, &need) > 0)
            .map(|(_, s)| s)
            .collect();
        let load = |s: &Slot| (s.tasks.len(), s.foreign, -(s.free[0] as i64));
        let best = |id: Option<usize>| id.and_then(|id| slots.get(id));
        let freest = best(slots.freest(&pools, &need, |_, _| true)).map(load);
        assert_eq!(freest, open.iter().map(|s| load(s)).min(), "step {step}");
        let ids: Vec<usize> = plain.keys().filter_map(|n| slots.id(n)).collect();
        let least = best(slots.least(ids.iter(), &pools, &need, |_, _| true)).map(load);
        assert_eq!(least, freest, "step {step}");
        let fullest = best(slots.fullest(&pools, &need, |_, _| true)).map(|s| s.free[0]);
        assert_eq!(fullest, open.iter().map(|s| s.free[0]).reduce(f64::min), "step {step}");
        let tightest = best(slots.tightest(ids.iter(), &pools, &need, |_, _| true));
        assert_eq!(tightest.map(|s| s.free[0]), fullest, "step {step}");
        let tasks = || plain.values().flat_map(|(_, s)| &s.tasks).filter(|b| !b.stopping);
        assert_eq!(slots.below(1) as usize, tasks().filter(|b| b.rank > 1).count());
        assert_eq!((slots.len(), slots.is_empty()), (plain.len(), plain.is_empty()));
    }
    // A machine has room for a large task once enough of its tasks have ended.
    let mut slot = Slot::new("vm-x".into(), 1, false, [4.0, 0.0, 16.0]);
    for (cpus, expected_s) in [(1.0, 50.0), (1.0, 20.0), (1.0, 90.0)] {
        slot.book(Booked { expected_s, ..booked(2, cpus, false) });
    }
    let at = Micros::secs(10);
    for (cpus, want) in [(1.0, 0.0), (2.0, 10.0), (3.0, 40.0), (4.0, 80.0)] {
        assert_eq!(slot.room_in(at, &[cpus, 0.0, 1.0]), Some(want), "{cpus} CPUs");
    }
    assert_eq!(slot.room_in(at, &[5.0, 0.0, 1.0]), None);
    // Overdue by five seconds: for half as long again as was expected.
    assert_eq!(slot.room_in(Micros::secs(25), &[2.0, 0.0, 1.0]), Some(10.0));

    // Room held for others is nobody else's, until it is given up.
    let d = Demand { tasks: 500, cpus: 1.0, spot: true, ..Demand::default() };
    assert!(slots.takes(&d));
    slots.hold(&d);
    assert!(!slots.takes(&d));
    slots.release_holds();
    assert!(slots.takes(&d));
}

#[test]
fn image_index() {
    let age = Micros::secs(5_400);
    let mut index = ImageIndex::new(3, age);
    let t = Micros::secs(10);
    index.note(t, "img", "m1", 1);
    assert!(index.holds(t, "img", "m1", 1));
    assert!(index.holds(t + age, "img", "m1", 1));
    assert!(!index.holds(t + age + Micros(1), "img", "m1", 1), "too old");
    assert!(!index.holds(t, "img", "m1", 2), "a machine that began anew");
    assert!(!index.holds(t, "img", "m2", 1) && !index.holds(t, "other", "m1", 1));
    // Noted again, an entry is young again, and the oldest goes first.
    index.note(t + Micros::secs(1), "img", "m2", 1);
    index.note(t + Micros::secs(2), "img", "m3", 1);
    index.note(t + Micros::secs(3), "img", "m1", 1);
    index.note(t + Micros::secs(4), "img", "m4", 1);
    assert_eq!(index.len(), 3);
    let now = t + Micros::secs(4);
    let held: Vec<&str> =
        ["m1", "m2", "m3", "m4"].into_iter().filter(|m| index.holds(now, "img", m, 1)).collect();
    assert_eq!(held, ["m1", "m3", "m4"]);
    let mut listed: Vec<_> = index.holders(now, "img").collect();
    listed.sort();
    assert_eq!(listed, [("m1", 1), ("m3", 1), ("m4", 1)]);
    assert_eq!(index.holders(now + age, "img").count(), 1, "too old");
}

#[test]
fn seats_and_terms() {
    let item = |member: &str, run, term, version| Item {
        key: "hold/0".into(),
        value: json!(Hold { member: member.into(), run, term, lease: 5 }),
        version,
    };
    // What is stored, whether member `a` in run 7 may take it, and on which mark.
    let table = [
        (None, Some(0)),
        (Some(item("b", 3, 4, 40)), None),
        (Some(item("a", 7, 4, 40)), None),
        (Some(item("a", 6, 4, 40)), Some(40)),
    ];
    for (stored, want) in table {
        let mut s = Seat::default();
        s.see_hold(Micros::secs(1), stored.as_ref());
        assert_eq!(s.takeable("a", 7), want, "{stored:?}");
    }
    // What this run gave up stands until the release is carried out, perhaps late: it
    // is taken anew, on its mark, instead of being acted on under the old term.
    for (acted, want) in [(3, None), (4, Some(40)), (5, Some(40))] {
        let mut s = Seat { acted, ..Seat::default() };
        s.see_hold(Micros::secs(1), Some(&item("a", 7, 4, 40)));
        assert_eq!(s.takeable("a", 7), want, "acted under term {acted}");
        assert_eq!(s.takeable("b", 7), None, "nobody else may");
    }
    let mut s = Seat::default();
    s.see_hold(Micros::secs(1), Some(&item("b", 3, 4, 40)));
    s.see_hold(Micros::secs(9), None);
    assert_eq!(s.free_since, Micros::secs(9));
    let (txn, term) = s.take(0, 0, "a", 7, 12);
    assert_eq!(term, 5, "a term only rises");
    let versions: Vec<u64> = txn.conditions.iter().map(|c| c.version).collect();
    assert_eq!(versions, [0, 40], "both keys are conditions");
    assert!(matches!(&txn.writes[0], Write::Put { lease: Some(12), .. }));
    assert!(matches!(&txn.writes[1], Write::Put { lease: None, .. }), "the term stays");

    let ttl = Micros::secs(8);
    let mut lease = Lease { id: Some(1), ..Lease::default() };
    lease.extended(Micros::secs(100), ttl);
    assert!(lease.valid(Micros::secs(107)));
    assert!(!lease.valid(Micros::millis(107_950)), "drift and margin are taken off");
    lease.extended(Micros::secs(90), ttl);
    assert!(lease.valid(Micros::secs(107)), "an older answer does not shorten it");
    lease.lost();
    assert!(!lease.valid(Micros::secs(101)));

    for seats in 1..6 {
        let mut count = vec![0; seats];
        for n in 0..600 {
            count[seat::seat_of_machine(&format!("vm-{n:06}"), seats)] += 1;
        }
        let even = 600 / seats;
        assert!(count.iter().all(|c| *c > even / 2 && *c < even * 2), "{count:?}");
    }
}

/// How long cancellations may be unheard, and the state lease, by the workers' lease
/// and the time that a cancellation has.
#[test]
fn leases_and_cancellations() {
    // lease_s, cancel_s, wished, whole seconds unheard, lease used, whether it is safe.
    let table = [
        (22.0, 52.0, 10_000, 26, 10_000, true),
        (26.5, 56.5, 10_000, 26, 10_000, true),
        (45.0, 70.0, 10_000, 21, 10_000, true),
        (45.0, 70.0, 30_000, 21, 21_954, true),
        (45.0, 54.0, 10_000, 5, 5_954, true),
        // Nothing short enough: the shortest that works, and a warning.
        (45.0, 50.0, 10_000, 1, 2_000, false),
        (45.0, 40.0, 10_000, 0, 2_000, false),
        (22.0, 52.0, 1_500, 26, 1_500, true),
    ];
    for (lease_s, cancel_s, wished, unheard_s, used, safe) in table {
        let workers = Workers { report_s: 3.0, lease_s, cancel_s };
        assert_eq!(
            cancel::unanswered_limit(&workers).as_millis() / 1_000,
            unheard_s,
            "{workers:?}"
        );
        let (lease, fits) = cancel::fitting_lease(Micros::millis(wished), &workers);
        assert_eq!((lease.as_millis(), fits), (used, safe), "{workers:?}, {wished} ms wished");
    }
}

fn key(attempt: u64) -> Key {
    Key { job: "j-1".into(), index: 0, attempt }
}

fn report(session: u64, seq: u64, token: u64, tasks: &[(u64, TaskState, Option<Cause>)]) -> Report {
    Report {
        machine: "vm-1".into(),
        address: "10.1.0.1:9000".into(),
        machine_type: "t4".into(),
        zone: "a".into(),
        spot: false,
        session,
        seq,
        token,
        notice_s: None,
        tasks: tasks
            .iter()
            .map(|(attempt, state, cause)| ReportedTask {
                task: "j-1/0".into(),
                attempt: *attempt,
                state: *state,
                cause: *cause,
            })
            .collect(),
    }
}

#[test]
fn reports_and_what_they_prove() {
    let now = Micros::secs(50);
    let mut post = Post::default();
    // A report that has not seen the term proves nothing; the next one does.
    assert!(post.take_report(now, &report(1, 1, 3, &[]), 4, true).is_some());
    assert!(!post.known);
    assert!(post.take_report(now, &report(1, 2, 4, &[]), 4, true).is_some());
    assert!(post.known);
    // Older and repeated messages are dropped.
    assert!(post.take_report(now, &report(1, 2, 4, &[]), 4, true).is_none());
    assert!(post.take_report(now, &report(1, 1, 4, &[]), 4, true).is_none());

    // A start in an answer is open until the next report, which alone shows
    // that the answer was executed or dropped; a direct answer does not.
    post.sent.insert(key(1), Sent { answered: true, ..Sent::default() });
    post.take_report(now, &report(1, 3, 4, &[]), 4, false);
    assert!(post.sent[&key(1)].open());
    post.take_report(now, &report(1, 4, 4, &[]), 4, true);
    assert!(!post.sent[&key(1)].open());

    // A direct start without an answer stays open, and once it is reported
    // the attempt must not be cleared: the late command would start it anew.
    post.sent.insert(key(2), Sent { direct: 1, ..Sent::default() });
    post.direct_ended(&[key(2)], None);
    post.take_report(now, &report(1, 5, 4, &[]), 4, true);
    assert!(post.sent[&key(2)].open());
    let ended = [(2, TaskState::Exited, Some(Cause::Done))];
    post.take_report(now, &report(1, 6, 4, &ended), 4, true);
    assert!(post.late.contains(&key(2)));
    // An answered one closes it.
    post.sent.insert(key(3), Sent { direct: 1, ..Sent::default() });
    let running = [(3, TaskState::Running, None)];
    post.take_report(now, &report(1, 7, 4, &running), 4, true);
    post.direct_ended(&[key(3)], Some(true));
    assert!(!post.late.contains(&key(3)));

    // A new session ends everything before it and fences what is late.
    post.take_report(now, &report(2, 1, 4, &[]), 4, true);
    assert_eq!((post.over_through, post.tasks.len(), post.late.len()), (1, 0, 0));
    assert!(post.take_report(now, &report(1, 99, 4, &[]), 4, true).is_none());

    // Silence for a lease, and not less, ends the session; its reports, come
    // late, are not answered any more.
    let lease = Micros::secs(12);
    assert!(!post.tend(now + lease, now, lease));
    assert!(post.tend(now + lease + Micros(1), now, lease));
    assert_eq!((post.over_through, post.known), (2, false));
    assert!(post.take_report(now, &report(2, 2, 4, &[]), 4, true).is_none());
    // A session that only a direct command's answer told of has a lease of its own,
    // though no report was answered for long: what it was given still runs.
    let mut mute = Post::default();
    mute.take_report(now, &report(1, 1, 4, &[]), 4, true);
    let heard = now + lease + Micros::secs(3);
    assert!(mute.take_report(heard, &report(2, 1, 4, &[]), 4, false).is_some());
    assert!(!mute.tend(heard + lease, now, lease), "its lease may still run");
    assert!(mute.tend(heard + lease + Micros(1), now, lease));
    // Nothing new is put where reports are not answered, however well it hears.
    let silent = Micros::secs(5);
    for (base, want) in [(heard, true), (now, false)] {
        assert_eq!(mute.in_time(heard + Micros::secs(1), base, silent), want, "{base:?}");
    }
    let mut never = Post::default();
    assert!(!never.tend(now + lease, now, lease) && !never.vanished);
    assert!(never.tend(now + lease + Micros(1), now, lease) && never.vanished);

    // Sessions that end although reports are answered: it hears nothing. An
    // answered direct command, a start that it has, or a session that lasts
    // for twice its lease shows that it hears again.
    let mut post = Post::default();
    post.take_report(now, &report(1, 1, 4, &[]), 4, true);
    post.judge_connectivity(now, 0, lease);
    assert!(!post.deaf, "the first session says nothing");
    post.answered = Some(now);
    post.take_report(now + lease, &report(2, 1, 4, &[]), 4, true);
    post.judge_connectivity(now + lease, 1, lease);
    assert!(!post.deaf, "nothing was answered for long: it was away");
    post.answered = Some(now + lease);
    post.take_report(now + lease + Micros(9), &report(3, 1, 4, &[]), 4, true);
    post.judge_connectivity(now + lease + Micros(9), 2, lease);
    assert!(post.deaf);
    let later = now + lease + lease;
    post.take_report(later, &report(3, 2, 4, &[]), 4, true);
    post.judge_connectivity(later, 3, lease);
    assert!(post.deaf, "a session that has not lasted yet");
    let lasted = later + lease + lease;
    post.take_report(lasted, &report(3, 3, 4, &[]), 4, true);
    post.judge_connectivity(lasted, 3, lease);
    assert!(!post.deaf);
    post.deaf = true;
    post.sent.insert(key(1), Sent { answered: true, ..Sent::default() });
    post.take_report(lasted, &report(3, 4, 4, &[(1, TaskState::Running, None)]), 4, true);
    assert!(!post.deaf, "it has what it was told to start");

    let table = [
        (TaskState::Fetching, None, Seen::Fetching),
        (TaskState::Saving, None, Seen::Saving),
        (TaskState::Exited, Some(Cause::Done), Seen::Done),
        (TaskState::Exited, Some(Cause::Stopped), Seen::Stopped),
        (TaskState::Exited, Some(Cause::NoRoom), Seen::Refused),
        (TaskState::Exited, Some(Cause::Busy), Seen::Refused),
        (TaskState::Exited, Some(Cause::Error), Seen::Failed),
        (TaskState::Exited, Some(Cause::Unknown), Seen::Failed),
        (TaskState::Exited, None, Seen::Failed),
    ];
    for (state, cause, want) in table {
        let mut post = Post::default();
        post.take_report(now, &report(1, 1, 4, &[(1, state, cause)]), 4, true);
        assert_eq!(post.tasks[&key(1)], want, "{state:?} {cause:?}");
    }
}

#[test]
fn starts() {
    let task = |phase: Phase, stop_ms| WantedTask {
        phase: phase as i32,
        stop_ms,
        ..WantedTask::default()
    };
    // Task, the term that its owner knew, the holder's term, whether it starts.
    let table = [
        (task(Phase::Wanted, None), 4, 4, true),
        (task(Phase::Wanted, None), 5, 4, true),
        (task(Phase::Wanted, None), 3, 4, false),
        (task(Phase::Wanted, None), 0, 1, false),
        (task(Phase::Wanted, Some(0)), 4, 4, false),
        (task(Phase::Ahead, None), 4, 4, false),
        (task(Phase::Over, None), 4, 4, false),
    ];
    for (task, known, term, want) in table {
        assert_eq!(may_start(&task, known, term), want, "{task:?} {known} {term}");
    }
    // A phase of a later version must not read as one that starts.
    let strange = WantedTask { phase: 77, ..WantedTask::default() };
    assert!(!may_start(&strange, 4, 4));
}

fn quota(limit: f64, grants: &[(usize, f64)]) -> TeamQuota {
    let team = Team { name: "t".into(), cpus: 4.0, cpus_max: limit, gpus: 0.0, gpus_max: 0.0 };
    let mut q = TeamQuota::new(&team);
    let map: serde_json::Map<String, Value> =
        grants.iter().map(|(s, g)| (s.to_string(), json!([g, 0.0]))).collect();
    q.see(&Value::Object(map), 1);
    q
}

#[test]
fn grants() {
    let need = |rank, cpus| Need { rank, amount: [cpus, 0.0] };
    // Limit, grants, used, own waits, others' lacks, wanted grant of seat 0.
    let table = [
        (30.0, vec![], 0.0, vec![need(2, 50.0)], vec![], 30.0),
        (30.0, vec![(1, 20.0)], 0.0, vec![need(2, 50.0)], vec![], 10.0),
        (30.0, vec![(1, 10.0)], 0.0, vec![need(2, 50.0)], vec![need(2, 25.0)], 10.0),
        (30.0, vec![(0, 12.0), (1, 18.0)], 4.0, vec![], vec![need(2, 5.0)], 4.0),
        (30.0, vec![(0, 12.0)], 4.0, vec![], vec![need(2, 19.0)], 4.0),
        (30.0, vec![(0, 12.0)], 4.0, vec![], vec![], 12.0),
        (30.0, vec![(0, 12.0), (1, 18.0)], 4.0, vec![need(3, 20.0)], vec![need(1, 5.0)], 4.0),
        (30.0, vec![(0, 12.0)], 4.0, vec![need(1, 6.0)], vec![need(3, 19.0)], 10.0),
        // With plenty free, an equal part at once and nothing back.
        (30.0, vec![], 0.0, vec![need(2, 1.0)], vec![], 10.0),
        (30.0, vec![], 0.0, vec![need(2, 1.0)], vec![need(1, 22.0)], 8.0),
        (30.0, vec![(1, 10.0)], 0.0, vec![need(2, 50.0)], vec![need(2, 5.0)], 15.0),
        (30.0, vec![(0, 12.0)], 4.0, vec![], vec![need(2, 5.0)], 12.0),
        (30.0, vec![(0, 30.0)], 10.0, vec![need(2, 40.0)], vec![need(2, 9.0)], 15.0),
        (30.0, vec![(0, 30.0)], 25.0, vec![need(2, 40.0)], vec![need(2, 9.0)], 25.0),
    ];
    for (limit, grants, used, waits, others, want) in table {
        let q = quota(limit, &grants);
        let got = q.wanted(0, 3, [used, 0.0], &waits, &others)[0];
        assert!((got - want).abs() < 1e-9, "{grants:?} {used} {waits:?} {others:?}: {got}");
        let granted = q.with_grant(0, [got, 0.0]).expect("within the limit");
        let sum: f64 =
            granted.as_object().expect("a map").values().filter_map(|v| v[0].as_f64()).sum();
        assert!(sum <= limit + 1e-6, "{sum} of {limit}");
    }
    let mut q = quota(30.0, &[(0, 12.0), (1, 18.0)]);
    assert!(q.with_grant(0, [12.1, 0.0]).is_none(), "past the limit");
    // A lowering under way counts at once, and until the key has changed.
    q.lowered.insert(0, [5.0, 0.0]);
    assert_eq!(q.grant(0)[0], 5.0);
    q.see(&json!({"0": [12.0, 0.0], "1": [17.0, 0.0]}), 2);
    assert_eq!(q.grant(0)[0], 12.0);
    // Two changes on one version, the first without an answer: either may be the one
    // that is carried out. A third that is refused changes nothing of that.
    q.sends(0, [4.0, 0.0]);
    q.unsure = true;
    q.sends(0, [8.0, 0.0]);
    assert_eq!(q.grant(0)[0], 4.0);
    q.refused();
    assert_eq!((q.grant(0)[0], q.busy), (4.0, false));
    q.see(&json!({"0": [12.0, 0.0], "1": [17.0, 0.0]}), 3);
    q.sends(0, [8.0, 0.0]);
    q.refused();
    assert_eq!(q.grant(0)[0], 12.0, "surely not carried out");
    assert!(quota(0.0, &[]).grant(0)[0].is_infinite(), "0 means no limit");
    let rest = quota::lacking([6.0, 0.0], &[need(3, 9.0), need(1, 4.0)]);
    assert_eq!(rest, [need(3, 7.0)], "the more urgent is served first");
}

#[test]
fn stored_jobs() {
    let spec = wire::parse_job(body().to_string().as_bytes()).expect("a good submission");
    let size = PartSize { tasks: 5, bytes: 1_000, described: false };
    let mut j = Job::new(Rc::new(spec), 2, 9, Micros::secs(77), size);
    assert_eq!((j.parts.len(), j.pending()), (4, 16));
    let now = Micros::secs(3);
    assert_eq!(j.put(now, 6, "vm-1", 3, "a"), Some(1));
    assert_eq!(j.put(now, 6, "vm-2", 3, "a"), None, "placed already");
    assert_eq!(j.put(now, 7, "vm-1", 3, "a"), Some(2));
    assert!(j.end(7, false).is_some());
    assert_eq!(j.put(now, 7, "vm-2", 1, "b"), Some(3), "attempts are never given out twice");
    assert!(j.end(6, true).is_some());
    assert!(j.end(6, true).is_none(), "it has ended already");
    for i in [0, 1, 2, 4] {
        j.put(now, i, "vm-3", 1, "a");
        j.end(i, true);
    }
    let stored: BTreeMap<usize, (Value, u64)> =
        [0, 1].into_iter().map(|n| (n, (j.encode_part(n), 20 + n as u64))).collect();
    // Read with other settings: the stored size of the parts holds.
    let other = PartSize { tasks: 100, bytes: 1_000, described: false };
    let back = Job::restore(2, 9, other, &stored).expect("stored parts");
    assert_eq!((back.done(), back.booked(), back.pending()), (5, 1, 10));
    assert_eq!(back.accepted, Micros::secs(77));
    assert_eq!(back.parts[1].placed[&7].attempt, 3);
    // A later holder knows since when it has been there.
    assert_eq!((back.parts[1].placed[&7].at, back.parts[1].placed[&7].restored), (now, true));
    assert_eq!(back.parts[1].attempt, 3);
    assert!(Job::restore(2, 9, size, &BTreeMap::new()).is_none());

    // Names read back as they were, whatever they look like.
    let names = ["vm-000231", "vm-231", "7", "", "vm", "a9b", "x99999999999999999999", "vm-0"];
    let size = PartSize::new(8.0);
    let mut b = body();
    b["planks"] = json!(2_000);
    let spec = Rc::new(wire::parse_job(b.to_string().as_bytes()).expect("a good submission"));
    let mut j = Job::new(Rc::clone(&spec), 0, 1, now, size);
    for (i, name) in names.into_iter().enumerate() {
        j.put(now, i as u32, name, 1, "a");
    }
    let placed = job::stored_placements(&j.encode_part(0)).expect("a stored part");
    assert_eq!(placed.iter().map(|p| p.1.as_str()).collect::<Vec<_>>(), names);

    // Every state of a part fits in a value: no more is placed than it holds.
    let long = "a-machine-whose-name-is-rather-long-";
    let table = [
        ("usual", "vm-", 3, "a-zone", 220),
        ("late in the day", "vm-", 99_999, "a-zone", 180),
        ("long names", long, 1_000, "a-zone-with-name", 90),
    ];
    for (name, head, session, zone, least) in table {
        let mut j = Job::new(Rc::clone(&spec), 0, 1, now, size);
        // Every other task has completed, which is the longest list.
        for i in (0..size.tasks).step_by(2) {
            j.put(now, i, "vm-1", 1, "a");
            j.end(i, true);
        }
        let mut placed = 0;
        while let Some(i) = j.first_pending().filter(|i| *i < size.tasks * 2) {
            let at = Micros::secs(1_800_000_000 + u64::from(i) * 40);
            j.put(at, i, &format!("{head}{:06}", 999_999 - i), session, zone);
            placed += 1;
        }
        for n in [0, 1] {
            let bytes = j.encode_part(n).to_string().len();
            assert!(bytes + 1_400 * n < 8 * 1024, "{name}: {bytes} bytes in part {n}");
        }
        assert!(j.parts[1].placed.len() >= least, "{name}: only {placed} placed");
    }
}

#[test]
fn zones_of_a_job() {
    // together, apart, tasks, zones taken, zone asked for, allowed.
    let table = [
        (false, false, 4, vec![("a", 2)], "b", true),
        (true, false, 4, vec![("a", 2)], "a", true),
        (true, false, 4, vec![("a", 2)], "b", false),
        (true, false, 4, vec![], "b", true),
        (false, true, 5, vec![("a", 2)], "a", true),
        (false, true, 5, vec![("a", 3)], "a", false),
        (false, true, 5, vec![("a", 3)], "b", true),
        (false, true, 1, vec![], "a", true),
    ];
    for (together, apart, tasks, taken, zone, want) in table {
        let mut b = body();
        b["together"] = json!(together);
        b["apart"] = json!(apart);
        b["planks"] = json!(tasks);
        let spec = wire::parse_job(b.to_string().as_bytes()).expect("a good submission");
        let j = Job::new(
            Rc::new(spec),
            0,
            1,
            Micros::ZERO,
            PartSize { tasks: 10, bytes: 1_000, described: false },
        );
        let zones: BTreeMap<Rc<str>, u32> = taken.iter().map(|(z, n)| (Rc::from(*z), *n)).collect();
        assert_eq!(j.zone_allows(&zones, zone), want, "{together} {apart} {taken:?} {zone}");
    }
}

fn listed(name: &str, age_s: f64) -> ListedMachine {
    ListedMachine {
        name: name.into(),
        address: String::new(),
        machine_type: "t4".into(),
        zone: "a".into(),
        spot: false,
        stage: MachineStage::Running,
        age_s,
    }
}

#[test]
fn machines_that_leave_the_list() {
    let lag = Micros::secs(10);
    let s = Micros::secs;
    // First listed at 100 s. Asked at, listed again, counted as gone.
    let table = [
        (s(110), false, false),
        (s(120), false, false),
        (s(121), false, true),
        (s(121), true, false),
        (s(500), false, true),
    ];
    for (asked, again, want) in table {
        let mut fleet = Fleet::default();
        fleet.take_list(s(100), s(99), &[listed("vm-1", 50.0)], lag);
        let list = if again { vec![listed("vm-1", 70.0)] } else { Vec::new() };
        let gone = fleet.take_list(asked, asked, &list, lag);
        assert_eq!(!gone.is_empty(), want, "asked at {asked:?}, listed {again}");
    }
    // Rented and never listed: a lagging list says nothing of it.
    let mut fleet = Fleet::default();
    fleet.take_list(s(100), s(99), &[listed("vm-1", 5.0)], lag);
    fleet.machines.get_mut("vm-1").expect("just listed").listed = None;
    assert!(fleet.take_list(s(400), s(400), &[], lag).is_empty());
}

#[test]
fn renting() {
    let kind = |name: &str, cpus, price, spot_price| MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        memory_gb: cpus * 4.0,
        cache_gb: 10.0,
        fetch_gb_per_s: 1.0,
        price,
        spot_price,
        boot_s: 30.0,
        zones: vec!["a".into(), "b".into()],
    };
    let types: BTreeMap<String, MachineType> =
        [kind("small", 4.0, 1.0, 0.5), kind("big", 8.0, 2.2, 1.1)]
            .into_iter()
            .map(|t| (t.name.clone(), t))
            .collect();
    let wait = |tasks, cpus, spot, zone: Option<&str>| Demand {
        tasks,
        cpus,
        gpus: 0.0,
        memory_gb: 1.0,
        types: Vec::new(),
        zone: zone.map(String::from),
        spot,
        rank: 2,
        beyond: false,
    };
    let room = |cpus: f64, spot| Room {
        machine_type: "small".into(),
        zone: "a".into(),
        spot,
        free: [cpus, 0.0, 16.0],
    };
    // What waits, what is free, tasks left without room.
    let table = [
        (vec![wait(4, 1.0, true, None)], vec![room(4.0, true)], 0),
        (vec![wait(5, 1.0, true, None)], vec![room(4.0, true)], 1),
        (vec![wait(4, 1.0, false, None)], vec![room(4.0, true)], 4),
        (vec![wait(4, 1.0, true, Some("b"))], vec![room(4.0, true)], 4),
        (vec![wait(2, 1.0, true, None), wait(1, 4.0, true, None)], vec![room(4.0, true)], 2),
    ];
    for (demand, mut rooms, want) in table {
        let left: u32 = fleet::unmet(&demand, &mut rooms).iter().map(|d| d.tasks).sum();
        assert_eq!(left, want, "{demand:?}");
    }
    let mut refused = BTreeMap::new();
    let now = Micros::secs(9);
    let ask = |d: Demand, refused: &BTreeMap<fleet::Offer, Micros>| {
        fleet::next_request(&[d], &types, &BTreeMap::new(), refused, now)
    };
    let offer = |t: &str, z: &str, spot| (t.to_string(), z.to_string(), spot);
    assert_eq!(ask(wait(9, 1.0, true, None), &refused), Some((offer("small", "a", true), 3)));
    assert_eq!(ask(wait(1, 8.0, false, Some("b")), &refused), Some((offer("big", "b", false), 1)));
    assert_eq!(ask(wait(1, 9.0, true, None), &refused), None);
    // Shapes that the same kind serves best are rented for together: 15 and 20.
    let both = [wait(60, 1.0, true, None), wait(20, 4.0, true, None)];
    let got = fleet::next_request(&both, &types, &BTreeMap::new(), &refused, now);
    assert_eq!(got, Some((offer("small", "a", true), 12)), "a third of 35");
    refused.insert(offer("small", "a", true), now + Micros(1));
    assert_eq!(ask(wait(1, 1.0, true, None), &refused), Some((offer("small", "b", true), 1)));
    refused.insert(offer("small", "a", true), now);
    assert_eq!(ask(wait(1, 1.0, true, None), &refused), Some((offer("small", "a", true), 1)));
}

#[test]
fn estimates() {
    // Ratios learnt, correction.
    let table = [
        (vec![], 1.0),
        (vec![2.0; 4], 1.0),
        (vec![2.0; 5], 2.0),
        (vec![1.0, 1.0, 1.0, 9.0, 9.0], 1.0),
        (vec![0.001; 9], 0.1),
    ];
    for (ratios, want) in table {
        let mut e = Estimates::default();
        for r in &ratios {
            e.learn("c", *r);
        }
        assert_eq!(e.correction("c"), want, "{ratios:?}");
        assert_eq!(e.correction("another"), 1.0);
    }
    let mut e = Estimates::default();
    for r in [vec![1.0; 50], vec![3.0; 50]].concat() {
        e.learn("c", r);
    }
    assert_eq!(e.correction("c"), 3.0, "what is long past does not count");
}

#[test]
fn state_answers() {
    let txn = StateCall::Txn(Txn { conditions: vec![], writes: vec![] });
    let get = StateCall::Get("a".into());
    let follow = StateCall::Follow { prefix: "j/".into(), after: 3, block: Micros::secs(1) };
    let table: [(&StateCall, u16, &str, StateReply); 13] = [
        (&txn, 200, r#"{"ledger":432}"#, StateReply::Applied(432)),
        (&txn, 409, r#"{"failed":["a/b"],"ledger":4}"#, StateReply::Conflict(vec!["a/b".into()])),
        (&txn, 400, r#"{"error":"no such lease"}"#, StateReply::NoLease),
        (&txn, 400, r#"{"error":"too large"}"#, StateReply::Invalid),
        (&txn, 200, "<html>", StateReply::Unknown),
        (&txn, 503, "", StateReply::Refused),
        (&txn, 429, "", StateReply::Refused),
        (&txn, 500, "", StateReply::Unknown),
        (&get, 404, r#"{"ledger":1}"#, StateReply::Value(None)),
        (&get, 200, "[", StateReply::Unknown),
        (&follow, 410, "", StateReply::TooOld),
        (&StateCall::Extend(3), 404, "", StateReply::NoLease),
        (&StateCall::Grant(Micros::secs(1)), 200, r#"{"permit":7}"#, StateReply::Granted(7)),
    ];
    for (call, status, body, want) in table {
        assert_eq!(call.decode(status, body.as_bytes()), want, "{call:?} {status} {body}");
    }
    let changes = br#"{"ledger":433,"events":[{"set":"j/9","value":{},"mark":433},{"drop":"j/1","mark":432}]}"#;
    match follow.decode(200, changes) {
        StateReply::Changes(433, list) => {
            assert_eq!(
                (list[0].put.as_deref(), list[1].delete.as_deref()),
                (Some("j/9"), Some("j/1"))
            );
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn rates() {
    let now = Micros::secs(10);
    let put = |n: usize| {
        let write = |i| Write::Delete { key: format!("k{i}") };
        StateCall::Txn(Txn { conditions: vec![], writes: (0..n).map(write).collect() })
    };
    // 30 changes a second over three nodes, a tenth left for others: nine each.
    let mut budget = Budget::new(300.0, 30.0, 3);
    assert!(budget.admit(now, &put(8)));
    assert!(!budget.admit(now, &put(2)), "the burst is used up");
    assert!(budget.admit(now, &StateCall::Extend(1)), "renewals are never held back");
    assert!(budget.admit(now + Micros::millis(200), &put(2)));
    // More than a whole burst goes out once the bucket is full, not never.
    let mut bucket = Bucket::new(2.0, 2.0);
    assert!(bucket.allows(now, 5.0));
    bucket.take(5.0);
    assert!(!bucket.allows(now + Micros::secs(1), 1.0));
    assert!(bucket.allows(now + Micros::secs(2), 1.0));
}

const SETTINGS: &str = r#"
member = "n0"
bind = "10.0.0.1:80"
peer_bind = "10.0.0.1:81"
surprise = 1
[[peers]]
member = "n1"
address = "10.0.0.2:81"
[endpoints]
cloud = "10.2.0.2:1"
state = "10.2.0.1:1"
[settings]
[[settings.teams]]
name = "red"
[settings.workers]
report_s = 2.0
lease_s = 12.0
cancel_s = 30.0
[settings.state]
rps = 100.0
write_rps = 10.0
value_kb = 8.0
txn_ops = 8
[settings.cloud]
rps = 5.0
list_lag_s = 3.0
[settings.machine_limits]
cores = 1.0
mem_mb = 100.0
fd_limit = 100
"#;

#[test]
fn settings() {
    let config = Config::parse(SETTINGS).expect("good settings");
    assert_eq!(config.members(), ["n0", "n1"]);
    // Replaced text, by what, and what the error must name.
    let table = [
        ("member = \"n0\"", "", "member"),
        ("member = \"n1\"", "member = \"n0\"", "peers"),
        ("bind = \"10.0.0.1:80\"", "bind = \"here\"", "line"),
        ("lease_s = 12.0", "lease_s = 0.0", "lease_s"),
        ("lease_s = 12.0", "lease_s = nan", "lease_s"),
        ("txn_ops = 8", "txn_ops = 1", "txn_ops"),
        ("txn_ops = 8", "txn_ops = 8\nnext = { txn_ops = 1 }", "state.next.txn_ops"),
        ("txn_ops = 8", "txn_ops = 8\nnext = { value_kb = 0.0 }", "state.next.value_kb"),
        ("txn_ops = 8", "txn_ops = 8\nnext = { rps = nan }", "state.next.rps"),
        ("txn_ops = 8", "txn_ops = 8\nnext = { write_rps = -3.0 }", "state.next.write_rps"),
        ("txn_ops = 8", "txn_ops = 8\nnext = 4", "line"),
        ("write_rps = 10.0", "write_rps = -1.0", "write_rps"),
        ("fd_limit = 100", "fd_limit = 3", "fd_limit"),
        ("[settings.cloud]", "[settings.clouds]", "cloud"),
        ("name = \"red\"", "name = \"red\"\ncpus = -1.0", "teams"),
    ];
    // The smaller of the limits of now and later are kept; what is absent stays.
    let state = &config.settings.state;
    let later = |next: &str| {
        let text = SETTINGS.replace("txn_ops = 8", &format!("txn_ops = 8\nnext = {next}"));
        Config::parse(&text).expect("good settings").settings.state
    };
    let table_of_limits = [
        ("{}", state.value_kb, state.txn_ops, state.write_rps),
        ("{ value_kb = 2.0, txn_ops = 4, write_rps = 3.0 }", 2.0, 4, 3.0),
        ("{ value_kb = 900.0, txn_ops = 99, write_rps = 1e6 }", state.value_kb, 8, state.write_rps),
    ];
    for (next, value_kb, txn_ops, write_rps) in table_of_limits {
        let kept = later(next);
        assert_eq!((kept.value_kb, kept.txn_ops, kept.write_rps), (value_kb, txn_ops, write_rps));
        assert_eq!(kept.value_kb_now, state.value_kb, "{next}");
    }
    for (from, to, named) in table {
        assert!(SETTINGS.contains(from), "{from}");
        let error = Config::parse(&SETTINGS.replace(from, to)).expect_err(to).0;
        assert!(error.contains(named) && !error.contains('\n'), "{from} -> {to}: {error}");
    }
}

#[test]
fn options() {
    let o =
        Options::parse("[placement]\nslack_gb = 2, 3, 5\nindex_entries = 7\n[fleet]\nidle_s = 9\n")
            .expect("good options");
    assert_eq!((o.slack_gb, o.index_entries, o.idle), ([2.0, 3.0, 5.0], 7, Micros::secs(9)));
    let table = [
        ("[placement]\nslack = 1\n", "[placement] slack = 1"),
        ("[nowhere]\nx = 1\n", "[nowhere] x = 1"),
        ("top = 1\n", "top = 1"),
        ("[placement]\nslack_gb = 5, 3, 2\n", "slack_gb"),
        ("[placement]\nslack_gb = 5, 3\n", "slack_gb"),
        ("[seats]\nlease_ms = 5\n", "lease_ms = 5"),
        ("[jobs]\nqueued_tasks = many\n", "queued_tasks = many"),
        ("[fleet]\nspare_share = -1\n", "spare_share"),
        ("[fleet]\nidle_s = NaN\n", "idle_s"),
    ];
    for (text, named) in table {
        let error = Options::parse(text).expect_err(text).0;
        assert!(error.contains(named), "{text}: {error}");
    }
    // The example in the repository shows the defaults.
    let example = Options::parse(include_str!("../deploy/options.ini")).expect("the example");
    assert_eq!(format!("{example:?}"), format!("{:?}", Options::default()));
}

#[test]
fn sockets_and_buffers() {
    use millethold::runtime::{command_fits, drop_written, peer_backlog, sender_fits};
    // Limit, senders, connections with commands; whether a sender and whether a
    // command still fits.
    let table = [
        (3_092, 1_900, 0, true, true),
        (3_092, 1_900, 974, true, true),
        // Commands leave a sixteenth to senders, which take it.
        (3_092, 1_900, 975, true, false),
        (3_092, 1_900, 1_167, true, false),
        (3_092, 1_900, 1_168, false, false),
        // Never more than a third, however few senders there are.
        (3_092, 10, 1_029, true, true),
        (3_092, 10, 1_030, true, false),
        (3_092, 3_068, 0, false, false),
        (32, 7, 0, true, false),
    ];
    for (limit, senders, commanding, sender, command) in table {
        let got =
            (sender_fits(limit, senders, commanding), command_fits(limit, senders, commanding));
        assert_eq!(got, (sender, command), "{limit} {senders} {commanding}");
    }
    const MB: usize = 1024 * 1024;
    for (mem_mb, want) in [(16.0, 4 * MB), (88.0, 11 * MB / 2), (258.0, 8 * MB)] {
        assert_eq!(peer_backlog(mem_mb), want, "{mem_mb}");
        assert!(want >= millethold::peer::MAX_FRAME, "a frame of any size must fit");
    }
    // A buffer that always has something left holds no more than a few times that.
    let (mut buffer, mut written) = (Vec::new(), 0);
    for n in 0..1_000_u32 {
        buffer.extend_from_slice(&[n as u8; 1_000]);
        written += if n == 0 { 900 } else { 1_000 };
        drop_written(&mut buffer, &mut written);
        assert_eq!(buffer.len() - written, 100, "what is not written stays");
        assert_eq!(buffer[written..], [n as u8; 100]);
        assert!(buffer.capacity() < 4_000, "{} bytes for 100", buffer.capacity());
    }
}

#[test]
fn bundles() {
    use millethold::controller::job::{batch_key, decode_batch, encode_batch, is_batch};
    let size = PartSize { tasks: 5, bytes: 1_000, described: false };
    let job = |id: &str| {
        let mut body = body();
        body["ref"] = json!(id);
        let spec = wire::parse_job(body.to_string().as_bytes()).expect("a good submission");
        let mut j = Job::new(Rc::new(spec), 1, 0, Micros::secs(77), size);
        j.parts[0].version = 1;
        j
    };
    let jobs = [job("j-000001"), job("j-000002")];
    let value = encode_batch(jobs.iter().map(|j| j.encode_part(0)).collect());
    let key = batch_key(1, 9, 4);
    let (name, part) = job::parse_part_key(&key).expect("a key under w/");
    assert!(is_batch(name) && part == 0, "{key}");
    assert!(!is_batch("j-000001"), "a job's id");
    let back = decode_batch(&value);
    assert_eq!(
        back.iter().map(|(id, _)| id.as_str()).collect::<Vec<_>>(),
        ["j-000001", "j-000002"]
    );
    for (j, (_, part)) in jobs.iter().zip(&back) {
        let stored = [(0, (part.clone(), 0))].into();
        let restored = Job::restore(1, 9, size, &stored).expect("a job from a bundle");
        assert_eq!(restored.spec, j.spec);
        let first = &restored.parts[0];
        // Its first change must create its own key, not change one.
        assert_eq!((first.version, first.stored, first.mark), (1, 1, 0));
        assert_eq!(restored.accepted, j.accepted);
    }
    let strange = [json!(null), json!({}), json!({"jobs": 3}), json!({"jobs": [1, {"v": 1}]})];
    for value in strange {
        assert!(decode_batch(&value).is_empty(), "{value}");
    }
}

#[test]
fn low_work_that_was_raised() {
    for (urgency, raised, rank) in
        [("low", false, 3), ("low", true, 2), ("standard", true, 2), ("high", true, 1)]
    {
        let mut body = body();
        body["urgency"] = json!(urgency);
        let spec = wire::parse_job(body.to_string().as_bytes()).expect("a good submission");
        let mut j = Job::new(
            Rc::new(spec),
            1,
            0,
            Micros::ZERO,
            PartSize { tasks: 5, bytes: 1_000, described: false },
        );
        j.raised = raised;
        assert_eq!(j.rank(), rank, "{urgency}, {raised}");
    }
}
