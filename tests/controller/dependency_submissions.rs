//! Tests of submissions with dependencies: malformed ones, ones that can never run, ones that
//! cannot be decided while the key-value store is unavailable, and accepted ones.

use crate::harness::{Harness, Outcome, settings, submission, submission_after};
use millethold::config::Config;
use millethold::http::{self, HttpError};
use millethold::kv_store::KvRequest;
use millethold::time::Micros;
use serde_json::{Value, json};

/// Interval between a user's attempts to submit a job.
const RETRY_INTERVAL: Micros = Micros::secs(1);
/// Maximum number of attempts of a user.
const MAX_ATTEMPTS: usize = 60;

/// The record of a job that is done.
fn done_record() -> Value {
    json!({"s": 0, "g": "d", "n": 1})
}

/// A submission of job j-7 with this value of the field `upstream`.
fn with_upstream(value: Value) -> Value {
    let mut body = submission("j-7");
    body["upstream"] = value;
    body
}

#[test]
fn responses_to_dependency_lists() {
    let absent = {
        let mut body = submission("j-7");
        body.as_object_mut().expect("an object").remove("upstream");
        body
    };
    let accepted = json!({"ref": "j-7", "stage": "queued", "done": 0, "running": 0});
    // Submission, status of the answer.
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
        let mut harness = Harness::ready("", &[("j/j-1".into(), done_record())]);
        assert_eq!(harness.submit(&submission("j-2")).status, 201);
        let answer = harness.submit(&body);
        assert_eq!((answer.status, answer.retry_after), (status, None), "{body}: {answer:?}");
        match status {
            201 => assert_eq!(answer.body, accepted, "{body}"),
            _ => assert_eq!(answer.body["field"], "upstream", "{body}: {answer:?}"),
        }
        assert!(answer.took < Micros::millis(200), "{body}: {answer:?}");
        // A refused submission leaves nothing in the store; an accepted one stays.
        let polled = harness.poll("j-7").status;
        assert_eq!(polled, if status == 201 { 200 } else { 404 }, "{body}");
        let stored = harness.list("").iter().filter(|i| i.key.contains("j-7")).count();
        assert_eq!(stored > 0, status == 201, "{body}");
    }
}

#[test]
fn submissions_while_the_store_is_unavailable() {
    let reads = |call: &KvRequest| matches!(call, KvRequest::Get(_));
    let all = |call: &KvRequest| !call.is_watch();
    // Outcome of the affected calls, which calls these are, seconds that the key-value store is
    // unavailable before the submission, maximum time until the answer in milliseconds.
    type Affected = fn(&KvRequest) -> bool;
    let table: [(&str, Outcome, Affected, u64, u64); 5] = [
        ("reads are refused", Outcome::Refused, reads, 0, 100),
        ("reads get no reply", Outcome::Late, reads, 0, 3_000),
        ("all calls are refused", Outcome::Refused, all, 0, 100),
        ("all calls are refused for longer than a lease", Outcome::Refused, all, 15, 100),
        ("no call gets a reply for longer than a lease", Outcome::Late, all, 15, 100),
    ];
    for (name, outcome, is_affected, unavailable_s, max_ms) in table {
        for dependencies in [&["j-1"][..], &["j-404"], &["j-1", "j-404"]] {
            // j-1 is stored, but this controller has not read its record yet.
            let mut harness = Harness::ready("", &[("j/j-1".into(), done_record())]);
            harness.outcome =
                Box::new(move |call| if is_affected(call) { outcome } else { Outcome::Served });
            harness.run(Micros::secs(unavailable_s));
            let answer = harness.submit(&submission_after("j-7", dependencies));
            assert_eq!(answer.status, 503, "{name}, {dependencies:?}: {answer:?}");
            assert!(answer.retry_after.is_some(), "{name}, {dependencies:?}: {answer:?}");
            let took = answer.took.as_millis();
            assert!(took <= max_ms, "{name}, {dependencies:?}: {took} ms");
            // Once the store is available again, the submission is decided.
            harness.outcome = Box::new(|_| Outcome::Served);
            harness.run(Micros::secs(5));
            let want = if dependencies == ["j-1"] { 201 } else { 422 };
            assert_eq!(
                harness.submit(&submission_after("j-7", dependencies)).status,
                want,
                "{name}"
            );
        }
    }
}

/// Guards against a repeated submission that changes an accepted job. A repeat is answered with
/// the accepted job's state, whatever dependencies it lists, and even if its list is malformed.
#[test]
fn repeats_with_other_dependencies() {
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
    for restarts in [false, true] {
        let mut harness = Harness::ready("", &[]);
        for id in ["j-1", "j-2"] {
            assert_eq!(harness.submit(&submission(id)).status, 201);
        }
        assert_eq!(harness.submit(&submission_after("j-7", &["j-1"])).status, 201);
        for list in &lists {
            if restarts {
                // A new process that has only the stored values.
                let stored: Vec<(String, Value)> =
                    harness.list("").into_iter().map(|i| (i.key, i.value)).collect();
                harness = Harness::ready("", &stored);
            }
            let answer = harness.submit(&with_upstream(list.clone()));
            assert_eq!(answer.status_and_stage(), (200, "queued"), "{list}: {answer:?}");
        }
        // The job still waits for the dependencies of the first submission.
        let record = harness.get("j/j-7").expect("a record").value;
        assert_eq!(record["u"], json!(["j-1"]));
        assert_eq!(harness.cancel("j-2").status_and_stage(), (200, "cancelled"));
        harness.run(Micros::secs(3));
        assert_eq!(harness.poll("j-7").status_and_stage(), (200, "queued"));
        assert_eq!(harness.cancel("j-1").status_and_stage(), (200, "cancelled"));
        harness.run(Micros::secs(3));
        assert_eq!(harness.poll("j-7").status_and_stage(), (200, "cancelled"));
        for list in &lists {
            let answer = harness.submit(&with_upstream(list.clone()));
            assert_eq!(answer.status_and_stage(), (200, "cancelled"), "{list}: {answer:?}");
        }
    }
}

/// The longest list of dependencies that fits in a request body.
fn longest_dependency_list() -> Vec<String> {
    let entry_bytes = r#""j-000001","#.len();
    let other_bytes = submission_after("j-7", &[]).to_string().len();
    (0..(http::MAX_REQUEST_BODY_BYTES - other_bytes) / entry_bytes)
        .map(|n| format!("j-{n:06}"))
        .collect()
}

/// Guards against long lists of dependencies that are never accepted. The controller has read
/// none of their records, and its request budget allows only some reads per attempt. While the
/// user retries, the submission must be accepted and stored in as many keys as it needs.
#[test]
fn many_dependencies() {
    let lowered = "next = { value_kb = 2.0, txn_ops = 4 }";
    let table =
        [(64, ""), (65, ""), (300, lowered), (800, ""), (longest_dependency_list().len(), lowered)];
    for (count, state) in table {
        let list = &longest_dependency_list()[..count];
        let stored: Vec<(String, Value)> =
            list.iter().map(|id| (format!("j/{id}"), done_record())).collect();
        // This leaves the controller 45 requests per second.
        let config = settings(0, 1, state).replace("rps = 1000.0\nwrite", "rps = 50.0\nwrite");
        let mut harness = Harness::new(&config, &stored);
        harness.wait_until_healthy();
        let body = json!(submission_after(
            "j-700000",
            &list.iter().map(String::as_str).collect::<Vec<_>>()
        ));
        assert!(body.to_string().len() <= http::MAX_REQUEST_BODY_BYTES);
        let calls = harness.calls.len();
        let mut attempts = 0;
        loop {
            let answer = harness.submit(&body);
            attempts += 1;
            if answer.status == 201 {
                break;
            }
            assert_eq!(answer.status, 503, "{count}: {answer:?}");
            assert!(attempts < MAX_ATTEMPTS, "{count}: not accepted after {attempts} attempts");
            harness.run(RETRY_INTERVAL);
        }
        let reads =
            harness.calls[calls..].iter().filter(|c| !c.is_watch() && !c.is_urgent()).count();
        assert!(reads <= 200 + 50 * attempts, "{count}: {reads} calls in {attempts} attempts");
        // The whole list is stored, in values within the size limit.
        let max_bytes = if state.is_empty() { 8 * 1024 } else { 2 * 1024 };
        let record = harness.get("j/j-700000").expect("a record").value;
        let further = harness.list("u/j-700000/");
        assert_eq!(further.len(), record["k"].as_u64().unwrap_or(0) as usize, "{count}");
        let mut stored_list: Vec<String> = Vec::new();
        for value in further.iter().map(|i| &i.value).chain([&record]) {
            assert!(value.to_string().len() <= max_bytes, "{count}");
            let list = value["u"].as_array().expect("a list");
            stored_list.extend(list.iter().filter_map(|v| v.as_str().map(String::from)));
        }
        stored_list.sort();
        assert_eq!(stored_list, list, "{count}");
        assert_eq!(harness.poll("j-700000").status_and_stage(), (200, "queued"), "{count}");
    }
}

/// A body above the limit is refused as soon as its `Content-Length` is received.
#[test]
fn bodies_at_the_limit() {
    let list = longest_dependency_list();
    let names: Vec<&str> = list.iter().map(String::as_str).collect();
    let fits = submission_after("j-7", &names).to_string();
    let too_large = submission_after("j-7", &[&names[..], &["j-999999"]].concat()).to_string();
    assert!(
        fits.len() <= http::MAX_REQUEST_BODY_BYTES
            && too_large.len() > http::MAX_REQUEST_BODY_BYTES
    );
    let head =
        |body: &str| format!("POST /work HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body.len());
    let parse = |text: &str| http::parse_request(text.as_bytes());
    let complete = head(&fits) + &fits;
    let request = parse(&complete).expect("HTTP").expect("a complete request").message;
    assert_eq!(request.body, fits.as_bytes());
    assert_eq!(parse(&complete[..complete.len() - 1]), Ok(None));
    for sent in [0, 1, http::MAX_REQUEST_BODY_BYTES, too_large.len()] {
        assert_eq!(
            parse(&(head(&too_large) + &too_large[..sent])),
            Err(HttpError::TooLarge),
            "{sent}"
        );
    }
}

/// Invalid announced limits cause a one-line error that names the key. Of valid ones, the lower
/// of the current and the announced limit applies.
#[test]
fn announced_limits() {
    let keys = ["rps", "write_rps", "value_kb", "txn_ops"];
    let invalid =
        ["0", "0.0", "-1", "-2.5", "nan", "inf", "-inf", "\"8\"", "true", "[]", "{}", "1.5e999"];
    for key in keys {
        for value in invalid {
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
    let current = (1_000.0, 1_000.0, 8.0, 8, 8.0);
    let table = [
        ("", current),
        ("next = {}", current),
        ("next = { surprise = 3 }", current),
        ("next = { value_kb = 64.0, txn_ops = 64, rps = 1e6, write_rps = 1e6 }", current),
        ("next = { value_kb = 2 }", (1_000.0, 1_000.0, 2.0, 8, 8.0)),
        ("next = { txn_ops = 2, rps = 10 }", (10.0, 1_000.0, 8.0, 2, 8.0)),
    ];
    for (state, want) in table {
        assert_eq!(limits(state), want, "{state}");
    }
}

/// A submission with hundreds of dependencies, some of which were never accepted, is refused
/// after a few attempts, and accepted once all dependencies are stored.
#[test]
fn many_dependencies_some_never_accepted() {
    // Number of dependencies, which of them are stored.
    type Stored = fn(usize) -> bool;
    let table: [(usize, Stored); 4] =
        [(300, |n| n != 150), (300, |n| n < 100), (300, |_| false), (300, |n| n % 3 == 0)];
    for (row, (count, stored)) in table.into_iter().enumerate() {
        let list = &longest_dependency_list()[..count];
        let accepted = list.iter().enumerate().filter(|(n, _)| stored(*n));
        let stored: Vec<(String, Value)> =
            accepted.map(|(_, id)| (format!("j/{id}"), done_record())).collect();
        let mut harness = Harness::ready("", &stored);
        let names: Vec<&str> = list.iter().map(String::as_str).collect();
        let body = submission_after("j-700000", &names);
        let mut statuses = Vec::new();
        while statuses.len() < 20 && statuses.last().is_none_or(|s| *s == 503) {
            statuses.push(harness.submit(&body).status);
            harness.run(RETRY_INTERVAL);
        }
        assert_eq!(statuses.last(), Some(&422), "row {row}: {statuses:?}");
        list.iter().for_each(|id| harness.put(&format!("j/{id}"), done_record()));
        let mut statuses = Vec::new();
        while statuses.len() < 20 && statuses.last().is_none_or(|s| *s == 503) {
            statuses.push(harness.submit(&body).status);
            harness.run(RETRY_INTERVAL);
        }
        assert_eq!(statuses.last(), Some(&201), "row {row}: {statuses:?}");
    }
}

/// Guards against a job with hundreds of dependencies that starts too early or never after a
/// failover. It must start soon after a new process has acquired its shard if all dependencies
/// are done, and must not start while one of them is not.
#[test]
fn hundreds_of_dependencies_after_a_failover() {
    for missing in [None, Some(700)] {
        let list = &longest_dependency_list()[..800];
        let mut stored: Vec<(String, Value)> =
            list.iter().map(|id| (format!("j/{id}"), done_record())).collect();
        if let Some(n) = missing {
            stored[n].1 = json!({"s": 0, "g": "a", "n": 1});
        }
        let mut first = Harness::ready("", &stored);
        let names: Vec<&str> = list.iter().map(String::as_str).collect();
        let body = submission_after("j-700000", &names);
        while first.submit(&body).status != 201 {
            first.run(RETRY_INTERVAL);
        }
        let stored: Vec<(String, Value)> =
            first.list("").into_iter().map(|i| (i.key, i.value)).collect();
        let config = settings(0, 1, "").replace("rps = 1000.0\nwrite", "rps = 50.0\nwrite");
        let mut harness = Harness::new(&config, &stored);
        (0..2).for_each(|_| harness.add_machine());
        harness.wait_until_healthy();
        harness.run(Micros::secs(20));
        let started =
            harness.started_tasks.iter().filter(|task| task.starts_with("j-700000/")).count();
        assert_eq!(started, if missing.is_some() { 0 } else { 2 }, "{missing:?}");
    }
}
