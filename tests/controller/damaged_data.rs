//! Tests of stored values and frames with unknown, absent or damaged fields.
//!
//! Unknown fields are skipped and absent ones get defaults. A damaged value is logged once; it
//! must neither end the process nor delay other jobs, and a job that cannot be read must be
//! neither answered as unknown nor started.

use crate::harness::{Harness, settings, take_warnings};
use millethold::peer::{self, ReadFrame};
use millethold::time::Micros;
use serde_json::{Value, json};

/// The stored chunk 0 of a job without placements.
fn chunk(id: &str) -> Value {
    json!({"a": 0, "s": {
        "apart": false, "cpus": 1.0, "crew": "blue", "expectedS": 5.0, "gpus": 0.0, "grade": "c",
        "loaners": true, "notchS": 0.0, "pattern": "img", "planks": 2, "pullGb": 0.5,
        "ramGb": 1.0, "ref": id, "stackS": 0.0, "together": false, "urgency": "standard",
    }, "t": 1_000_000_000_000_u64, "v": 1, "z": 232})
}

/// The record of an accepted job whose further dependencies are in this number of keys.
fn record(dependencies: &[&str], further_keys: u32) -> Value {
    let mut record = json!({"s": 0, "g": "a", "n": 2});
    if !dependencies.is_empty() {
        record["u"] = json!(dependencies);
    }
    if further_keys > 0 {
        record["k"] = json!(further_keys);
    }
    record
}

const JOBS: [&str; 6] = ["j-1", "j-2", "j-3", "j-4", "j-5", "j-6"];

/// Undamaged values of [`JOBS`]: jobs with keys of their own and in a batch, some of them with
/// dependencies.
fn intact_values() -> Vec<(String, Value)> {
    let jobs = [
        ("j/j-1", record(&[], 0)),
        ("j/j-2", record(&[], 0)),
        ("j/j-3", record(&[], 0)),
        ("j/j-4", record(&["j-3"], 0)),
        ("j/j-5", record(&["j-3"], 1)),
        ("j/j-6", record(&["j-3"], 1)),
        ("u/j-5/1", json!({"u": ["j-4"]})),
        ("u/j-6/1", json!({"u": ["j-4"]})),
        ("w/0/j-1/0", chunk("j-1")),
        ("w/0/_1-1/0", json!({"jobs": [chunk("j-2"), chunk("j-3")]})),
        ("w/0/j-4/0", chunk("j-4")),
        ("w/0/j-5/0", chunk("j-5")),
        ("w/0/j-6/0", chunk("j-6")),
    ];
    jobs.map(|(key, value)| (key.to_string(), value)).into()
}

/// The value with the field at a JSON pointer replaced, or removed if `field` is null.
fn with_field(mut value: Value, path: &str, field: Value) -> Value {
    let (parent, name) = path.rsplit_once('/').expect("a JSON pointer");
    let parent =
        value.pointer_mut(parent).expect("an existing parent").as_object_mut().expect("an object");
    match field {
        Value::Null => drop(parent.remove(name)),
        field => drop(parent.insert(name.into(), field)),
    }
    value
}

/// Result of a run.
struct RunResult {
    /// Jobs that are done.
    done: Vec<&'static str>,
    /// All other jobs, with the status of the last answer.
    others: Vec<(&'static str, u16)>,
    /// Warnings and errors that were logged.
    warnings: Vec<String>,
    harness: Harness,
}

/// Runs a controller with these stored values for 50 seconds and queries all jobs every five
/// seconds.
fn run_with(stored: &[(String, Value)]) -> RunResult {
    take_warnings();
    let mut harness = Harness::new(&settings(0, 1, ""), stored);
    (0..3).for_each(|_| harness.add_machine());
    harness.wait_until_healthy();
    for _ in 0..10 {
        harness.run(Micros::secs(5));
        for id in JOBS {
            let answer = harness.poll(id);
            assert!(
                !matches!(answer.status, 400 | 404 | 422),
                "{id} is answered as unknown: {answer:?}"
            );
        }
    }
    let (mut done, mut others) = (Vec::new(), Vec::new());
    for id in JOBS {
        match harness.poll(id) {
            answer if answer.status_and_stage().1 == "done" => done.push(id),
            answer => others.push((id, answer.status)),
        }
    }
    for (id, _) in &others {
        let started = harness.started_tasks.iter().find(|task| task.starts_with(&format!("{id}/")));
        assert_eq!(started, None, "started although it cannot be read");
    }
    RunResult { done, others, warnings: take_warnings(), harness }
}

/// The intact values with one key replaced or added.
fn intact_values_except(key: &str, value: &Value) -> Vec<(String, Value)> {
    let mut stored = intact_values();
    stored.retain(|(k, _)| k != key);
    stored.push((key.into(), value.clone()));
    stored
}

#[test]
fn unknown_and_absent_fields() {
    let later = json!({"of": ["a", "later", "version"]});
    let batch = |first: Value| json!({"jobs": [first, chunk("j-3")], "x": 7});
    let table = [
        ("j/j-1", with_field(record(&[], 0), "/x", later.clone())),
        ("j/j-1", with_field(record(&[], 0), "/n", Value::Null)),
        ("j/j-1", with_field(record(&[], 0), "/u", json!([]))),
        ("j/j-1", with_field(record(&[], 0), "/k", json!(0))),
        ("j/j-1", with_field(record(&[], 0), "/s", json!(99))),
        ("j/j-4", with_field(record(&["j-3"], 0), "/x", later.clone())),
        ("u/j-5/1", json!({"u": ["j-4"], "x": later.clone()})),
        ("w/0/j-1/0", with_field(chunk("j-1"), "/x", later.clone())),
        ("w/0/j-1/0", with_field(chunk("j-1"), "/s/x", later.clone())),
        ("w/0/j-1/0", with_field(chunk("j-1"), "/t", Value::Null)),
        ("w/0/j-1/0", with_field(chunk("j-1"), "/z", Value::Null)),
        ("w/0/j-1/0", with_field(chunk("j-1"), "/z", json!(0))),
        ("w/0/j-1/0", with_field(chunk("j-1"), "/s/gpus", Value::Null)),
        ("w/0/j-1/0", with_field(chunk("j-1"), "/s/loaners", Value::Null)),
        ("w/0/j-1/0", with_field(chunk("j-1"), "/s/expectedS", Value::Null)),
        ("w/0/_1-1/0", batch(with_field(chunk("j-2"), "/x", later.clone()))),
        ("w/0/_1-1/0", batch(with_field(chunk("j-2"), "/s/x", later.clone()))),
        ("w/0/j-1/x", json!(7)),
        ("w/0/j-1", json!(7)),
        ("w/0", json!(7)),
        ("j/", record(&[], 0)),
        ("j/strange", record(&[], 0)),
        ("u/j-5/2", json!(7)),
        ("u/j-1/1", json!(7)),
        ("x/y", json!(7)),
        ("quota/red", json!(7)),
        ("quota/red", json!({"x": [1.0, 2.0], "0": 7, "1": [], "2": ["a"]})),
        ("quota/unknown", json!({"0": [1.0, 1.0]})),
        ("types", json!(7)),
    ];
    for (key, value) in table {
        let result = run_with(&intact_values_except(key, &value));
        assert_eq!(result.done, JOBS, "{key} = {value}: {:?}", result.others);
        assert_eq!(result.warnings, Vec::<String>::new(), "{key} = {value}");
    }
}

#[test]
fn damaged_values() {
    let records = [
        json!(null),
        json!(7),
        json!("a"),
        json!([]),
        json!({}),
        json!({"s": 0}),
        json!({"g": "a"}),
        json!({"s": 0, "g": "x"}),
        json!({"s": "0", "g": "a", "n": 2}),
        json!({"s": -1, "g": "a", "n": 2}),
        json!({"s": 0, "g": "a", "n": "2"}),
        json!({"s": 0, "g": "a", "n": 2, "u": 7}),
        json!({"s": 0, "g": "a", "n": 2, "u": [7]}),
        json!({"s": 0, "g": "a", "n": 2, "u": ["j-3", null]}),
        json!({"s": 0, "g": "a", "n": 2, "k": -1}),
        json!({"s": 0, "g": "a", "n": 2, "k": "1"}),
    ];
    let intact_chunk = chunk("j-1");
    let placed = |h: Value, p: Value| {
        let value = with_field(with_field(intact_chunk.clone(), "/h", h), "/p", p);
        with_field(with_field(value, "/y", json!(["a"])), "/a", json!(9))
    };
    let max = u64::MAX;
    let chunks = [
        json!(null),
        json!(7),
        json!([]),
        json!({}),
        with_field(intact_chunk.clone(), "/s", Value::Null),
        with_field(intact_chunk.clone(), "/s", json!(7)),
        with_field(intact_chunk.clone(), "/v", Value::Null),
        with_field(intact_chunk.clone(), "/v", json!(-1)),
        with_field(intact_chunk.clone(), "/a", json!("1")),
        with_field(intact_chunk.clone(), "/z", json!("232")),
        with_field(intact_chunk.clone(), "/d", json!("xyz")),
        with_field(intact_chunk.clone(), "/s/ref", Value::Null),
        with_field(intact_chunk.clone(), "/s/urgency", json!("soon")),
        with_field(intact_chunk.clone(), "/s/planks", json!(-2)),
        with_field(intact_chunk.clone(), "/s/planks", json!(u32::MAX)),
        with_field(intact_chunk.clone(), "/s/cpus", json!("1")),
        placed(json!([["vm-", 6]]), json!([0, 0, 1])),
        placed(json!([["vm-", 6]]), json!([0, 7, 1, 1, 1, 0, 0])),
        placed(json!([["vm-", 6]]), json!([0, 0, 1, 1, 1, 7, 0])),
        placed(json!([["vm-", 6]]), json!([0, 0, 1, 1, 1, 0, 0, max, 0, 1, 1, 1, 0, 0])),
        placed(json!([["vm-", 6]]), json!([1, 0, 1, 1, 1, 0, 0, max, 0, 1, 1, 1, 0, 0])),
        placed(json!([["vm-", 6]]), json!([0, 0, 1, 1, 1, 0, max])),
        with_field(placed(json!([["vm-", 6]]), json!([0, 0, 1, 1, 1, 0, max])), "/b", json!(max)),
    ];
    let lists = [
        json!(null),
        json!(7),
        json!({}),
        json!({"u": 7}),
        json!({"u": [7]}),
        json!({"u": ["j-4", 7]}),
    ];
    let batches = [
        (json!(null), vec!["j-2", "j-3"]),
        (json!({}), vec!["j-2", "j-3"]),
        (json!({"jobs": 7}), vec!["j-2", "j-3"]),
        (json!({"jobs": [7, chunk("j-3")]}), vec!["j-2"]),
        (json!({"jobs": [with_field(chunk("j-2"), "/s", Value::Null), chunk("j-3")]}), vec!["j-2"]),
        (json!({"jobs": [with_field(chunk("j-2"), "/d", json!("x")), chunk("j-3")]}), vec!["j-2"]),
    ];
    // Key, its damaged value, the jobs that cannot be read because of it.
    let mut table: Vec<(&str, Value, Vec<&str>)> = Vec::new();
    table.extend(records.map(|value| ("j/j-1", value, vec!["j-1"])));
    table.extend(chunks.map(|value| ("w/0/j-1/0", value, vec!["j-1"])));
    table.push(("w/0/j-1/7", json!({"a": 1, "v": 1}), vec!["j-1"]));
    table.extend(lists.map(|value| ("u/j-5/1", value, vec!["j-5"])));
    table.extend(batches.map(|(value, jobs)| ("w/0/_1-1/0", value, jobs)));
    let mut failures = Vec::new();
    for (key, value, unreadable) in table {
        let mut not_done = unreadable.clone();
        if unreadable.contains(&"j-3") {
            // These depend on it.
            not_done.extend(["j-4", "j-5", "j-6"]);
        }
        let mut result = run_with(&intact_values_except(key, &value));
        // The value stays unchanged for a version that can read it, or an operator who repairs it.
        let kept = result.harness.get(key).is_some_and(|item| item.value == value);
        let intact: Vec<&str> = JOBS.into_iter().filter(|id| !not_done.contains(id)).collect();
        if result.done != intact || result.warnings.len() != 1 || !kept {
            let RunResult { done, others, warnings, .. } = result;
            let row = format!("{key} = {value}");
            failures.push(format!(
                "{row}: done {done:?}, others {others:?}, {warnings:?}, kept {kept}"
            ));
        }
    }
    assert!(failures.is_empty(), "{} rows:\n{}", failures.len(), failures.join("\n"));
}

/// Guards against starting a job before its dependencies are known. If a key with further
/// dependencies of a job is absent, the job must not start, and no other job is delayed.
#[test]
fn absent_dependency_list() {
    let mut stored = intact_values();
    stored.retain(|(key, _)| key != "u/j-5/1");
    let result = run_with(&stored);
    assert_eq!((result.done.len(), result.others), (5, vec![("j-5", 503)]));
    assert_eq!(result.warnings.len(), 1, "{:?}", result.warnings);
}

/// A frame of an earlier version in which every field is set, with its length prefix.
fn complete_frame() -> Vec<u8> {
    let fixture = include_str!("../fixtures/b1b1298.txt");
    let digits = fixture.lines().find_map(|line| line.strip_prefix("frame pressing "));
    let digits = digits.expect("the frame");
    let byte = |n: usize| u8::from_str_radix(&digits[n..n + 2], 16).expect("hexadecimal");
    (0..digits.len()).step_by(2).map(byte).collect()
}

/// Prefixes the body of a frame with its length.
fn framed(body: &[u8]) -> Vec<u8> {
    [&(body.len() as u32).to_be_bytes(), body].concat()
}

#[test]
fn damaged_frames() {
    let sent = complete_frame();
    let body = &sent[4..];
    let frame = peer::read_frame(&sent).expect("a frame").expect("a complete frame").frame;
    // Unknown fields are skipped: field 200 is a string, field 201 a number.
    let unknown = [body, &[0xc2, 0x0c, 2, b'h', b'i', 0xc8, 0x0c, 7]].concat();
    assert_eq!(
        peer::read_frame(&framed(&unknown)),
        Ok(Some(ReadFrame { frame, used: unknown.len() + 4 }))
    );
    let truncated = (0..body.len()).map(|n| body[..n].to_vec());
    let bits = [0x01, 0x08, 0x80, 0xff];
    let flipped = (0..body.len()).flat_map(|n| {
        bits.map(|bit| {
            let mut body = body.to_vec();
            body[n] ^= bit;
            body
        })
    });
    let mut harness = Harness::new(&settings(0, 3, ""), &intact_values());
    harness.wait_until_healthy();
    let (mut read, mut refused) = (0, 0);
    for body in truncated.chain(flipped) {
        match peer::read_frame(&framed(&body)) {
            Ok(Some(ReadFrame { frame, .. })) => {
                read += 1;
                harness.receive_frame(1, frame);
                if read % 20 == 0 {
                    harness.run(Micros::millis(50));
                }
            }
            Ok(None) => panic!("a frame with a correct length prefix is read as incomplete"),
            Err(_) => refused += 1,
        }
    }
    assert!(read > 100 && refused > 100, "{read} were read, {refused} refused");
    // The controller still works, whatever the damaged frames contained.
    harness.run(Micros::secs(20));
    harness.wait_until_healthy();
    for id in JOBS {
        assert_eq!(harness.poll(id).status, 200, "{id}");
    }
}
