//! Submissions of jobs that need others, as users send them: what is malformed, what can
//! never run, what cannot be known at the moment, and what is accepted.

use crate::harness::{Harness, Outcome, body, body_after, settings};
use millethold::config::Config;
use millethold::http::{self, HttpError};
use millethold::kv_store::KvRequest;
use millethold::time::Micros;
use serde_json::{Value, json};

/// Between tries of a user, and how long it goes on with them.
const AGAIN: Micros = Micros::secs(1);
const TRIES: usize = 60;

fn done() -> Value {
    json!({"s": 0, "g": "d", "n": 1})
}

fn with_upstream(value: Value) -> Value {
    let mut body = body("j-7");
    body["upstream"] = value;
    body
}

#[test]
fn responses_to_dependency_lists() {
    let absent = {
        let mut body = body("j-7");
        body.as_object_mut().expect("an object").remove("upstream");
        body
    };
    let accepted = json!({"ref": "j-7", "stage": "queued", "done": 0, "running": 0});
    // The list, the status, the field that the answer names.
    let table = [
        (absent, 201),
        (with_upstream(Value::Null), 201),
        (with_upstream(json!([])), 201),
        (with_upstream(json!(["j-1"])), 201),
        (with_upstream(json!(["j-1", "j-1", "j-2", "j-1"])), 201),
        (with_upstream(json!("j-1")), 400),
        (with_upstream(json!("")), 400),
        (with_upstream(json!(7)), 400),
        (with_upstream(json!(true)), 400),
        (with_upstream(json!({})), 400),
        (with_upstream(json!({"0": "j-1"})), 400),
        (with_upstream(json!([7])), 400),
        (with_upstream(json!([null])), 400),
        (with_upstream(json!([["j-1"]])), 400),
        (with_upstream(json!(["j-1", {}])), 400),
        (with_upstream(json!([""])), 400),
        (with_upstream(json!(["j-"])), 400),
        (with_upstream(json!(["j-1 "])), 400),
        (with_upstream(json!(["j-1/0"])), 400),
        (with_upstream(json!(["J-1"])), 400),
        (with_upstream(json!(["j-1a"])), 400),
        (with_upstream(json!(["j--1"])), 400),
        (with_upstream(json!(["j-\u{0661}"])), 400),
        (with_upstream(json!([format!("j-{}", "1".repeat(39))])), 400),
        (with_upstream(json!([format!("j-{}", "1".repeat(38))])), 422),
        (with_upstream(json!(["j-404"])), 422),
        (with_upstream(json!(["j-1", "j-404"])), 422),
        (with_upstream(json!(["j-404", "j-405"])), 422),
        (with_upstream(json!(["j-7"])), 422),
        (with_upstream(json!(["j-1", "j-7"])), 422),
    ];
    for (body, status) in table {
        let mut harness = Harness::ready("", &[("j/j-1".into(), done())]);
        assert_eq!(harness.submit(&self::body("j-2")).status, 201);
        let answer = harness.submit(&body);
        assert_eq!((answer.status, answer.retry_after), (status, None), "{body}: {answer:?}");
        match status {
            201 => assert_eq!(answer.body, accepted, "{body}"),
            _ => assert_eq!(answer.body["field"], "upstream", "{body}: {answer:?}"),
        }
        assert!(answer.took < Micros::millis(200), "{body}: {answer:?}");
        // What was refused has left nothing behind, and what was accepted stays.
        let polled = harness.poll("j-7").status;
        assert_eq!(polled, if status == 201 { 200 } else { 404 }, "{body}");
        let stored = harness.list("").iter().filter(|i| i.key.contains("j-7")).count();
        assert_eq!(stored > 0, status == 201, "{body}");
    }
}

#[test]
fn undecidable_submissions() {
    let gets = |call: &KvRequest| matches!(call, KvRequest::Get(_));
    let all = |call: &KvRequest| !call.is_watch();
    // What becomes of which calls, how long the key-value store is away, the longest wait.
    type Calls = fn(&KvRequest) -> bool;
    let table: [(&str, Outcome, Calls, u64, u64); 5] = [
        ("its reads are refused", Outcome::Refused, gets, 0, 100),
        ("its reads get no answer", Outcome::Late, gets, 0, 3_000),
        ("all is refused", Outcome::Refused, all, 0, 100),
        ("all is refused, for longer than a lease", Outcome::Refused, all, 15, 100),
        ("nothing is answered, for longer than a lease", Outcome::Late, all, 15, 100),
    ];
    for (name, outcome, calls, away_s, most_ms) in table {
        for dependencies in [&["j-1"][..], &["j-404"], &["j-1", "j-404"]] {
            // It is stored, and this controller has not heard of it.
            let mut harness = Harness::ready("", &[("j/j-1".into(), done())]);
            harness.outcome =
                Box::new(move |call| if calls(call) { outcome } else { Outcome::Served });
            harness.run(Micros::secs(away_s));
            let answer = harness.submit(&body_after("j-7", dependencies));
            assert_eq!(answer.status, 503, "{name}, {dependencies:?}: {answer:?}");
            assert!(answer.retry_after.is_some(), "{name}, {dependencies:?}: {answer:?}");
            let took = answer.took.as_millis();
            assert!(took <= most_ms, "{name}, {dependencies:?}: {took} ms");
            // Afterwards it is known.
            harness.outcome = Box::new(|_| Outcome::Served);
            harness.run(Micros::secs(5));
            let want = if dependencies == ["j-1"] { 201 } else { 422 };
            assert_eq!(harness.submit(&body_after("j-7", dependencies)).status, want, "{name}");
        }
    }
}

/// A repeated submission is answered with the accepted job's state, whatever it names.
#[test]
fn repeats_with_another_list() {
    let lists = [
        json!(null),
        json!([]),
        json!(["j-2"]),
        json!(["j-1", "j-2"]),
        json!(["j-404"]),
        json!(["j-7"]),
        json!(["j-12a"]),
        json!("j-1"),
        json!(7),
    ];
    for forgets in [false, true] {
        let mut harness = Harness::ready("", &[]);
        for id in ["j-1", "j-2"] {
            assert_eq!(harness.submit(&body(id)).status, 201);
        }
        assert_eq!(harness.submit(&body_after("j-7", &["j-1"])).status, 201);
        for list in &lists {
            if forgets {
                // A controller that has just started, over what was stored.
                let stored: Vec<(String, Value)> =
                    harness.list("").into_iter().map(|i| (i.key, i.value)).collect();
                harness = Harness::ready("", &stored);
            }
            let answer = harness.submit(&with_upstream(list.clone()));
            assert_eq!(answer.said(), (200, "queued"), "{list}: {answer:?}");
        }
        // It still waits for what it named first.
        let record = harness.get("j/j-7").expect("a record").value;
        assert_eq!(record["u"], json!(["j-1"]));
        assert_eq!(harness.abort("j-2").said(), (200, "cancelled"));
        harness.run(Micros::secs(3));
        assert_eq!(harness.poll("j-7").said(), (200, "queued"));
        assert_eq!(harness.abort("j-1").said(), (200, "cancelled"));
        harness.run(Micros::secs(3));
        assert_eq!(harness.poll("j-7").said(), (200, "cancelled"));
        for list in &lists {
            let answer = harness.submit(&with_upstream(list.clone()));
            assert_eq!(answer.said(), (200, "cancelled"), "{list}: {answer:?}");
        }
    }
}

/// The largest list that a body has room for.
fn largest() -> Vec<String> {
    let one = r#""j-000001","#.len();
    let rest = body_after("j-7", &[]).to_string().len();
    (0..(http::MAX_BODY - rest) / one).map(|n| format!("j-{n:06}")).collect()
}

/// Lists of hundreds of jobs, up to the largest body, that this controller has not heard
/// of are accepted while their user goes on trying, and stand in as many keys as they need.
#[test]
fn many_dependencies() {
    let lowered = "next = { value_kb = 2.0, txn_ops = 4 }";
    let table = [(64, ""), (65, ""), (300, lowered), (800, ""), (largest().len(), lowered)];
    for (count, state) in table {
        let list = &largest()[..count];
        let stored: Vec<(String, Value)> =
            list.iter().map(|id| (format!("j/{id}"), done())).collect();
        // A node's share of requests is 45 a second.
        let config = settings(0, 1, state).replace("rps = 1000.0\nwrite", "rps = 50.0\nwrite");
        let mut harness = Harness::new(&config, &stored);
        harness.start();
        let body =
            json!(body_after("j-700000", &list.iter().map(String::as_str).collect::<Vec<_>>()));
        assert!(body.to_string().len() <= http::MAX_BODY);
        let calls = harness.calls.len();
        let mut tries = 0;
        loop {
            let answer = harness.submit(&body);
            tries += 1;
            if answer.status == 201 {
                break;
            }
            assert_eq!(answer.status, 503, "{count}: {answer:?}");
            assert!(tries < TRIES, "{count}: not accepted after {tries} tries");
            harness.run(AGAIN);
        }
        let reads =
            harness.calls[calls..].iter().filter(|c| !c.is_watch() && !c.is_urgent()).count();
        assert!(reads <= 200 + 50 * tries, "{count}: {reads} calls in {tries} tries");
        // All of it is stored, in values that are small enough.
        let most = if state.is_empty() { 8 * 1024 } else { 2 * 1024 };
        let record = harness.get("j/j-700000").expect("a record").value;
        let further = harness.list("u/j-700000/");
        assert_eq!(further.len(), record["k"].as_u64().unwrap_or(0) as usize, "{count}");
        let mut named: Vec<String> = Vec::new();
        for value in further.iter().map(|i| &i.value).chain([&record]) {
            assert!(value.to_string().len() <= most, "{count}");
            let list = value["u"].as_array().expect("a list");
            named.extend(list.iter().filter_map(|v| v.as_str().map(String::from)));
        }
        named.sort();
        assert_eq!(named, list, "{count}");
        assert_eq!(harness.poll("j-700000").said(), (200, "queued"), "{count}");
    }
}

/// A body above the limit is refused as soon as its head tells so.
#[test]
fn bodies_at_the_limit() {
    let list = largest();
    let names: Vec<&str> = list.iter().map(String::as_str).collect();
    let fits = body_after("j-7", &names).to_string();
    let over = body_after("j-7", &[&names[..], &["j-999999"]].concat()).to_string();
    assert!(fits.len() <= http::MAX_BODY && over.len() > http::MAX_BODY);
    let head =
        |body: &str| format!("POST /work HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body.len());
    let read = |text: &str| http::parse_request(text.as_bytes());
    let whole = head(&fits) + &fits;
    let request = read(&whole).expect("HTTP").expect("all of it").message;
    assert_eq!(request.body, fits.as_bytes());
    assert_eq!(read(&whole[..whole.len() - 1]), Ok(None));
    for sent in [0, 1, http::MAX_BODY, over.len()] {
        assert_eq!(read(&(head(&over) + &over[..sent])), Err(HttpError::TooLarge), "{sent}");
    }
}

/// Limits of later that make no sense: an error of one line that names the key.
#[test]
fn limits_announced_for_later() {
    let keys = ["rps", "write_rps", "value_kb", "txn_ops"];
    let nonsense =
        ["0", "0.0", "-1", "-2.5", "nan", "inf", "-inf", "\"8\"", "true", "[]", "{}", "1.5e999"];
    for key in keys {
        for value in nonsense {
            let text = settings(0, 3, &format!("next = {{ {key} = {value} }}"));
            let error = Config::parse(&text).expect_err(value).to_string();
            assert!(!error.contains('\n'), "{key} = {value}: {error}");
            assert!(error.contains(key), "{key} = {value}: {error}");
        }
    }
    for next in ["4", "\"x\"", "[]", "true"] {
        let error =
            Config::parse(&settings(0, 3, &format!("next = {next}"))).expect_err(next).to_string();
        assert!(!error.contains('\n') && error.contains("next"), "{next}: {error}");
    }
    let limits = |state: &str| {
        let state = Config::parse(&settings(0, 3, state)).expect(state).settings.kv_store;
        (state.rps, state.write_rps, state.value_kb, state.txn_ops, state.current_value_kb)
    };
    let now = (1_000.0, 1_000.0, 8.0, 8, 8.0);
    let table = [
        ("", now),
        ("next = {}", now),
        ("next = { surprise = 3 }", now),
        ("next = { value_kb = 64.0, txn_ops = 64, rps = 1e6, write_rps = 1e6 }", now),
        ("next = { value_kb = 2 }", (1_000.0, 1_000.0, 2.0, 8, 8.0)),
        ("next = { txn_ops = 2, rps = 10 }", (10.0, 1_000.0, 8.0, 2, 8.0)),
    ];
    for (state, want) in table {
        assert_eq!(limits(state), want, "{state}");
    }
}

/// Of hundreds some were never accepted: refused while their user goes on trying, and
/// accepted once they are.
#[test]
fn many_dependencies_some_never_accepted() {
    // Jobs named, which of them are stored.
    type Stored = fn(usize) -> bool;
    let table: [(usize, Stored); 4] =
        [(300, |n| n != 150), (300, |n| n < 100), (300, |_| false), (300, |n| n % 3 == 0)];
    for (row, (count, stored)) in table.into_iter().enumerate() {
        let list = &largest()[..count];
        let there = list.iter().enumerate().filter(|(n, _)| stored(*n));
        let stored: Vec<(String, Value)> =
            there.map(|(_, id)| (format!("j/{id}"), done())).collect();
        let mut harness = Harness::ready("", &stored);
        let names: Vec<&str> = list.iter().map(String::as_str).collect();
        let body = body_after("j-700000", &names);
        let mut statuses = Vec::new();
        while statuses.len() < 20 && statuses.last().is_none_or(|s| *s == 503) {
            statuses.push(harness.submit(&body).status);
            harness.run(AGAIN);
        }
        assert_eq!(statuses.last(), Some(&422), "row {row}: {statuses:?}");
        list.iter().for_each(|id| harness.put(&format!("j/{id}"), done()));
        let mut statuses = Vec::new();
        while statuses.len() < 20 && statuses.last().is_none_or(|s| *s == 503) {
            statuses.push(harness.submit(&body).status);
            harness.run(AGAIN);
        }
        assert_eq!(statuses.last(), Some(&201), "row {row}: {statuses:?}");
    }
}

/// A job that waits for hundreds which are done is let go soon after a new process has
/// taken its seat, and not before it knows of each.
#[test]
fn hundreds_of_dependencies_after_a_failover() {
    for missing in [None, Some(700)] {
        let list = &largest()[..800];
        let mut stored: Vec<(String, Value)> =
            list.iter().map(|id| (format!("j/{id}"), done())).collect();
        if let Some(n) = missing {
            stored[n].1 = json!({"s": 0, "g": "a", "n": 1});
        }
        let mut first = Harness::ready("", &stored);
        let names: Vec<&str> = list.iter().map(String::as_str).collect();
        let body = body_after("j-700000", &names);
        while first.submit(&body).status != 201 {
            first.run(AGAIN);
        }
        let left: Vec<(String, Value)> =
            first.list("").into_iter().map(|i| (i.key, i.value)).collect();
        let config = settings(0, 1, "").replace("rps = 1000.0\nwrite", "rps = 50.0\nwrite");
        let mut harness = Harness::new(&config, &left);
        (0..2).for_each(|_| harness.add_machine());
        harness.start();
        harness.run(Micros::secs(20));
        let begun = harness.begun.iter().filter(|task| task.starts_with("j-700000/")).count();
        assert_eq!(begun, if missing.is_some() { 0 } else { 2 }, "{missing:?}");
    }
}
