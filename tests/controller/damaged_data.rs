//! Stored values and frames with unknown, absent and damaged fields: they are skipped or
//! defaulted, or an error is logged once for each; nothing ends the process, no other job
//! waits for them, and what cannot be read is neither called lost nor begun.

use crate::harness::{Harness, settings, warnings};
use millethold::peer::{self, ReadFrame};
use millethold::time::Micros;
use serde_json::{Value, json};

/// A job's part 0 as stored, before anything of it was placed.
fn chunk(id: &str) -> Value {
    json!({"a": 0, "s": {
        "apart": false, "cpus": 1.0, "crew": "blue", "expectedS": 5.0, "gpus": 0.0, "grade": "c",
        "loaners": true, "notchS": 0.0, "pattern": "img", "planks": 2, "pullGb": 0.5,
        "ramGb": 1.0, "ref": id, "stackS": 0.0, "together": false, "urgency": "standard",
    }, "t": 1_000_000_000_000_u64, "v": 1, "z": 232})
}

fn record(dependencies: &[&str], more: u32) -> Value {
    let mut record = json!({"s": 0, "g": "a", "n": 2});
    if !dependencies.is_empty() {
        record["u"] = json!(dependencies);
    }
    if more > 0 {
        record["k"] = json!(more);
    }
    record
}

const JOBS: [&str; 6] = ["j-1", "j-2", "j-3", "j-4", "j-5", "j-6"];

/// Jobs with keys of their own and in a bundle, some after others.
fn sound() -> Vec<(String, Value)> {
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

/// The value with one field, by its path, set or (null) left out.
fn with(mut value: Value, path: &str, field: Value) -> Value {
    let (parent, name) = path.rsplit_once('/').expect("a path");
    let parent = value.pointer_mut(parent).expect("there").as_object_mut().expect("an object");
    match field {
        Value::Null => drop(parent.remove(name)),
        field => drop(parent.insert(name.into(), field)),
    }
    value
}

/// How a run ended: the jobs that are done, the others with their last answers, and what
/// was logged.
struct End {
    done: Vec<&'static str>,
    others: Vec<(&'static str, u16)>,
    warned: Vec<String>,
    harness: Harness,
}

/// Runs a controller over stored values, in which all users ask every five seconds; tells
/// how it ended.
fn play(stored: &[(String, Value)]) -> End {
    warnings();
    let mut harness = Harness::new(&settings(0, 1, ""), stored);
    (0..3).for_each(|_| harness.add_machine());
    harness.start();
    for _ in 0..10 {
        harness.run(Micros::secs(5));
        for id in JOBS {
            let answer = harness.poll(id);
            assert!(!matches!(answer.status, 400 | 404 | 422), "{id} is lost: {answer:?}");
        }
    }
    let (mut done, mut others) = (Vec::new(), Vec::new());
    for id in JOBS {
        match harness.poll(id) {
            answer if answer.said().1 == "done" => done.push(id),
            answer => others.push((id, answer.status)),
        }
    }
    for (id, _) in &others {
        let begun = harness.begun.iter().find(|task| task.starts_with(&format!("{id}/")));
        assert_eq!(begun, None, "begun though it cannot be read");
    }
    End { done, others, warned: warnings(), harness }
}

fn replaced(key: &str, value: &Value) -> Vec<(String, Value)> {
    let mut stored = sound();
    stored.retain(|(k, _)| k != key);
    stored.push((key.into(), value.clone()));
    stored
}

#[test]
fn unknown_and_absent_fields() {
    let later = json!({"of": ["a", "later", "version"]});
    let bundle = |first: Value| json!({"jobs": [first, chunk("j-3")], "x": 7});
    let table = [
        ("j/j-1", with(record(&[], 0), "/x", later.clone())),
        ("j/j-1", with(record(&[], 0), "/n", Value::Null)),
        ("j/j-1", with(record(&[], 0), "/u", json!([]))),
        ("j/j-1", with(record(&[], 0), "/k", json!(0))),
        ("j/j-1", with(record(&[], 0), "/s", json!(99))),
        ("j/j-4", with(record(&["j-3"], 0), "/x", later.clone())),
        ("u/j-5/1", json!({"u": ["j-4"], "x": later.clone()})),
        ("w/0/j-1/0", with(chunk("j-1"), "/x", later.clone())),
        ("w/0/j-1/0", with(chunk("j-1"), "/s/x", later.clone())),
        ("w/0/j-1/0", with(chunk("j-1"), "/t", Value::Null)),
        ("w/0/j-1/0", with(chunk("j-1"), "/z", Value::Null)),
        ("w/0/j-1/0", with(chunk("j-1"), "/z", json!(0))),
        ("w/0/j-1/0", with(chunk("j-1"), "/s/gpus", Value::Null)),
        ("w/0/j-1/0", with(chunk("j-1"), "/s/loaners", Value::Null)),
        ("w/0/j-1/0", with(chunk("j-1"), "/s/expectedS", Value::Null)),
        ("w/0/_1-1/0", bundle(with(chunk("j-2"), "/x", later.clone()))),
        ("w/0/_1-1/0", bundle(with(chunk("j-2"), "/s/x", later.clone()))),
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
        let end = play(&replaced(key, &value));
        assert_eq!(end.done, JOBS, "{key} = {value}: {:?}", end.others);
        assert_eq!(end.warned, Vec::<String>::new(), "{key} = {value}");
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
    let sound_part = chunk("j-1");
    let placed = |h: Value, p: Value| {
        let value = with(with(sound_part.clone(), "/h", h), "/p", p);
        with(with(value, "/y", json!(["a"])), "/a", json!(9))
    };
    let most = u64::MAX;
    let chunks = [
        json!(null),
        json!(7),
        json!([]),
        json!({}),
        with(sound_part.clone(), "/s", Value::Null),
        with(sound_part.clone(), "/s", json!(7)),
        with(sound_part.clone(), "/v", Value::Null),
        with(sound_part.clone(), "/v", json!(-1)),
        with(sound_part.clone(), "/a", json!("1")),
        with(sound_part.clone(), "/z", json!("232")),
        with(sound_part.clone(), "/d", json!("xyz")),
        with(sound_part.clone(), "/s/ref", Value::Null),
        with(sound_part.clone(), "/s/urgency", json!("soon")),
        with(sound_part.clone(), "/s/planks", json!(-2)),
        with(sound_part.clone(), "/s/planks", json!(u32::MAX)),
        with(sound_part.clone(), "/s/cpus", json!("1")),
        placed(json!([["vm-", 6]]), json!([0, 0, 1])),
        placed(json!([["vm-", 6]]), json!([0, 7, 1, 1, 1, 0, 0])),
        placed(json!([["vm-", 6]]), json!([0, 0, 1, 1, 1, 7, 0])),
        placed(json!([["vm-", 6]]), json!([0, 0, 1, 1, 1, 0, 0, most, 0, 1, 1, 1, 0, 0])),
        placed(json!([["vm-", 6]]), json!([1, 0, 1, 1, 1, 0, 0, most, 0, 1, 1, 1, 0, 0])),
        placed(json!([["vm-", 6]]), json!([0, 0, 1, 1, 1, 0, most])),
        with(placed(json!([["vm-", 6]]), json!([0, 0, 1, 1, 1, 0, most])), "/b", json!(most)),
    ];
    let lists = [
        json!(null),
        json!(7),
        json!({}),
        json!({"u": 7}),
        json!({"u": [7]}),
        json!({"u": ["j-4", 7]}),
    ];
    let bundles = [
        (json!(null), vec!["j-2", "j-3"]),
        (json!({}), vec!["j-2", "j-3"]),
        (json!({"jobs": 7}), vec!["j-2", "j-3"]),
        (json!({"jobs": [7, chunk("j-3")]}), vec!["j-2"]),
        (json!({"jobs": [with(chunk("j-2"), "/s", Value::Null), chunk("j-3")]}), vec!["j-2"]),
        (json!({"jobs": [with(chunk("j-2"), "/d", json!("x")), chunk("j-3")]}), vec!["j-2"]),
    ];
    // Key, its value, the jobs that cannot be read with it.
    let mut table: Vec<(&str, Value, Vec<&str>)> = Vec::new();
    table.extend(records.map(|value| ("j/j-1", value, vec!["j-1"])));
    table.extend(chunks.map(|value| ("w/0/j-1/0", value, vec!["j-1"])));
    table.push(("w/0/j-1/7", json!({"a": 1, "v": 1}), vec!["j-1"]));
    table.extend(lists.map(|value| ("u/j-5/1", value, vec!["j-5"])));
    table.extend(bundles.map(|(value, jobs)| ("w/0/_1-1/0", value, jobs)));
    let mut wrong = Vec::new();
    for (key, value, unread) in table {
        let mut lost = unread.clone();
        if unread.contains(&"j-3") {
            // These wait for it.
            lost.extend(["j-4", "j-5", "j-6"]);
        }
        let mut end = play(&replaced(key, &value));
        // Whoever can read it, or mend it, finds it as it was.
        let kept = end.harness.get(key).is_some_and(|item| item.value == value);
        let sound: Vec<&str> = JOBS.into_iter().filter(|id| !lost.contains(id)).collect();
        if end.done != sound || end.warned.len() != 1 || !kept {
            let End { done, others, warned, .. } = end;
            let row = format!("{key} = {value}");
            wrong.push(format!("{row}: done {done:?}, others {others:?}, {warned:?}, kept {kept}"));
        }
    }
    assert!(wrong.is_empty(), "{} rows:\n{}", wrong.len(), wrong.join("\n"));
}

/// A list of needed jobs that is not there lets nothing go, and holds up no other list.
#[test]
fn absent_list() {
    let mut stored = sound();
    stored.retain(|(key, _)| key != "u/j-5/1");
    let end = play(&stored);
    assert_eq!((end.done.len(), end.others), (5, vec![("j-5", 503)]));
    assert_eq!(end.warned.len(), 1, "{:?}", end.warned);
}

/// A frame in which every field is set, as an earlier version sent it.
fn whole_frame() -> Vec<u8> {
    let fixture = include_str!("../fixtures/b1b1298.txt");
    let digits = fixture.lines().find_map(|line| line.strip_prefix("frame pressing "));
    let digits = digits.expect("the frame");
    let byte = |n: usize| u8::from_str_radix(&digits[n..n + 2], 16).expect("hexadecimal");
    (0..digits.len()).step_by(2).map(byte).collect()
}

/// Its length in front is that of what follows.
fn framed(body: &[u8]) -> Vec<u8> {
    [&(body.len() as u32).to_be_bytes(), body].concat()
}

#[test]
fn damaged_frames() {
    let sent = whole_frame();
    let body = &sent[4..];
    let whole = peer::read_frame(&sent).expect("a frame").expect("all of it").frame;
    // Unknown fields are skipped: number 200 as a text, 201 as a number.
    let unknown = [body, &[0xc2, 0x0c, 2, b'h', b'i', 0xc8, 0x0c, 7]].concat();
    assert_eq!(
        peer::read_frame(&framed(&unknown)),
        Ok(Some(ReadFrame { frame: whole, used: unknown.len() + 4 }))
    );
    let cut = (0..body.len()).map(|n| body[..n].to_vec());
    let bits = [0x01, 0x08, 0x80, 0xff];
    let flipped = (0..body.len()).flat_map(|n| {
        bits.map(|bit| {
            let mut body = body.to_vec();
            body[n] ^= bit;
            body
        })
    });
    let mut harness = Harness::new(&settings(0, 3, ""), &sound());
    harness.start();
    let (mut read, mut refused) = (0, 0);
    for body in cut.chain(flipped) {
        match peer::read_frame(&framed(&body)) {
            Ok(Some(ReadFrame { frame, .. })) => {
                read += 1;
                harness.hear(1, frame);
                if read % 20 == 0 {
                    harness.run(Micros::millis(50));
                }
            }
            Ok(None) => panic!("all of it is there"),
            Err(_) => refused += 1,
        }
    }
    assert!(read > 100 && refused > 100, "{read} were read, {refused} refused");
    // It goes on, whatever it has been told.
    harness.run(Micros::secs(20));
    harness.start();
    for id in JOBS {
        assert_eq!(harness.poll(id).status, 200, "{id}");
    }
}
