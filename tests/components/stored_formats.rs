//! What the version in production before pipelines had stored and sent, as its code
//! wrote it: this one reads it, and writes the same where no job needs another.

use millethold::controller::jobs::job::{
    self, ChunkLayout, Job, JobRecord, StoredChunkValue, StoredStage, TaskEnd, decode_batch,
    encode_batch,
};
use millethold::peer::{self, InheritedUrgency, ObservedState, ReadFrame};
use millethold::time::Micros;
use millethold::wire::{self, JobSpec, WorkerIncarnation};
use prost::Message;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::rc::Rc;

const SUBMITTED: &str = r#"{"ref":"j-000412","grade":"train","crew":"red","cut":"batch","urgency":"high","planks":16,"cpus":8.0,"gpus":1.0,"ramGb":64.0,"pattern":"img-07","pullGb":6.2,"benches":["g8"],"yard":null,"together":true,"apart":false,"loaners":true,"expectedS":240.0,"notchS":30.0,"stackS":4.0,"dueS":900.0}"#;
const PART: &str = r#"{"a":3,"b":1000,"d":"02","h":[["vm-",6]],"p":[0,0,231,1,1,0,0,1,0,232,3,2,1,0],"s":{"apart":false,"benches":["g8"],"cpus":8.0,"crew":"red","dueS":900.0,"expectedS":240.0,"gpus":1.0,"grade":"train","loaners":true,"notchS":30.0,"pattern":"img-07","planks":16,"pullGb":6.2,"ramGb":64.0,"ref":"j-000412","stackS":4.0,"together":true,"urgency":"high"},"t":77000000,"v":4,"y":["a","b"],"z":232}"#;
const FRAME: &[&str] = &[
    "000000a20a076c617468652d3110071a040801100420012a4908011004180620012a190a09766d2d",
    "303030323331120c10031802200128053009380132030104023a1a0a086a2d303030343132110000",
    "000000002040380142037265644a0301040232130a09766d2d30303032333110041802200128013a",
    "0e0a086a2d303030343132100318025a086a2d3030303337376209766d2d303030303031a00109a8",
    "0101b001af03",
];

fn spec() -> JobSpec {
    wire::parse_job(SUBMITTED.as_bytes()).expect("a good submission")
}

fn chunk() -> Value {
    serde_json::from_str(PART).expect("JSON")
}

fn frame() -> Vec<u8> {
    let digits = FRAME.concat();
    let byte = |n: usize| u8::from_str_radix(&digits[n..n + 2], 16).expect("hexadecimal");
    (0..digits.len()).step_by(2).map(byte).collect()
}

#[test]
fn stored_jobs_of_production() {
    // Read, also by nodes that keep to smaller values, and written back unchanged.
    for value_kb in [8.0, 2.0] {
        let stored = BTreeMap::from([(0, StoredChunkValue { value: chunk(), revision: 5 })]);
        let job = Job::restore(2, 9, ChunkLayout::new(value_kb), &stored).expect("a stored job");
        assert_eq!((job.done(), job.reserved_tasks(), job.pending()), (1, 2, 13), "{value_kb} KiB");
        assert!(!job.awaits_dependencies && job.dependencies.is_empty());
        assert_eq!(job.encode_chunk(0), chunk(), "{value_kb} KiB");
    }
    let mut job = Job::new(Rc::new(spec()), 2, 9, Micros::secs(77), ChunkLayout::new(8.0));
    let wall = Micros::secs(1_000);
    for (task, machine, incarnation, zone) in
        [(0, "vm-000231", 1, "a"), (1, "vm-000232", 3, "b"), (5, "vm-000233", 3, "b")]
    {
        job.place(wall, task, machine, WorkerIncarnation(incarnation), zone);
    }
    job.end(5, TaskEnd::certain(ObservedState::Done));
    assert_eq!(job.encode_chunk(0), chunk());
    let bundle = json!({ "jobs": [chunk()] });
    assert_eq!(encode_batch(vec![job.encode_chunk(0)]), bundle);
    assert_eq!(decode_batch(&bundle)[0].0, "j-000412");

    let table = [
        (StoredStage::Accepted, r#"{"s":2,"g":"a","n":16}"#),
        (StoredStage::Done, r#"{"s":2,"g":"d","n":16}"#),
        (StoredStage::Cancelled, r#"{"s":2,"g":"c","n":16}"#),
    ];
    for (stage, stored) in table {
        let record =
            JobRecord { shard: 2, stage, tasks: 16, dependencies: Vec::new(), further_keys: 0 };
        assert_eq!(serde_json::to_string(&record).expect("JSON"), stored);
        assert_eq!(serde_json::from_str::<JobRecord>(stored).expect("a record"), record);
    }
}

#[test]
fn frames_of_production() {
    let bytes = frame();
    let ReadFrame { frame: mut read, used } =
        peer::read_frame(&bytes).expect("a frame").expect("all of it");
    assert_eq!((used, read.number, read.watched, read.full), (bytes.len(), 9, 431, true));
    assert_eq!((read.cancelled.len(), read.views.len(), read.inherited_urgency.len()), (1, 1, 0));
    let wants = read.desired[0].clone().decode().expect("wants");
    assert_eq!((wants.shard, wants.seq, wants.machines[0].tasks[0].attempt), (1, 6, 2));
    let mut written = Vec::new();
    peer::write_frame(&mut written, &read);
    assert_eq!(written, bytes, "without pipelines it is the same");
    // What an older version does not know it skips, as this one does with later words.
    read.inherited_urgency.push(InheritedUrgency { job: "j-000001".into(), rank: 1, due_us: 7 });
    let mut later = read.encode_to_vec();
    // Field 200, a text of two bytes.
    later.extend([0xc2, 0x0c, 2, b'h', b'i']);
    assert_eq!(peer::Frame::decode(&later[..]).expect("unknown fields are skipped"), read);
}

#[test]
fn smaller_values() {
    // What fits in two KiB, from the first task to the last, with the longest description.
    let size = ChunkLayout::new(2.0);
    let mut long = spec();
    long.image = "x".repeat(job::MAX_SPEC_BYTES - serde_json::to_vec(&spec()).expect("JSON").len());
    long.tasks = 3 * size.tasks;
    for spec in [spec(), long] {
        let spec = JobSpec { tasks: 3 * size.tasks, ..spec };
        let mut job = Job::new(Rc::new(spec), 2, 9, Micros::secs(77), size);
        assert_eq!(job.chunks.len(), 3);
        while let Some(task) = job.first_pending() {
            let machine = format!("vm-{:06}", 900_000 + task);
            job.place(
                Micros::secs(1_000 + u64::from(task)),
                task,
                &machine,
                WorkerIncarnation(1_234),
                "a",
            );
            let chunks = (0..3).map(|n| job.encode_chunk(n).to_string().len());
            assert!(chunks.max() <= Some(2_048), "task {task}");
        }
        assert!(
            job.reserved_tasks() >= 2 * size.tasks,
            "only {} of {}",
            job.reserved_tasks(),
            3 * size.tasks
        );
        // As some end, others have room.
        let first: Vec<u32> = job.chunks[0].placed.keys().copied().collect();
        first.iter().for_each(|i| drop(job.end(*i, TaskEnd::certain(ObservedState::Done))));
        assert!(job.pending() == 0 || job.first_pending().is_some());
    }
}

/// A job that was divided for larger values goes on in them as long as they are taken,
/// and then places nothing more in a part that has no room.
#[test]
fn chunks_of_larger_values() {
    let (small, previous_chunk_layout) = (ChunkLayout::new(2.0), ChunkLayout::new(8.0));
    let spec = Rc::new(JobSpec { tasks: 232, ..spec() });
    let mut job = Job::new(Rc::clone(&spec), 2, 9, Micros::secs(77), previous_chunk_layout);
    let table = [
        (Some(previous_chunk_layout), 150),
        (None, 150),
        (Some(previous_chunk_layout), 232),
        (None, 232),
    ];
    for (taken, reserved_tasks) in table {
        job.set_layout(small, taken);
        let free = (0..232).filter(|i| job.chunks[0].pending.contains(i)).collect::<Vec<u32>>();
        for task in free {
            if job.first_pending().is_some() && job.reserved_tasks() < reserved_tasks {
                let machine = format!("vm-{task:06}");
                job.place(Micros::secs(1_000), task, &machine, WorkerIncarnation(3), "a");
            }
        }
        assert_eq!(job.reserved_tasks(), reserved_tasks, "{taken:?}");
        assert_eq!(
            job.first_pending().is_some(),
            taken.is_some() && reserved_tasks < 232,
            "{taken:?}"
        );
    }
    assert!(job.encode_chunk(0).to_string().len() <= 8 * 1024);
    // One that was divided for small ones has always had their room.
    let mut job = Job::new(spec, 2, 9, Micros::secs(77), small);
    for taken in [Some(previous_chunk_layout), None] {
        job.set_layout(small, taken);
        assert_eq!(job.first_pending(), Some(0), "{taken:?}");
    }
}

#[test]
fn dependencies_of_submissions() {
    let with = |value: Value| {
        let mut body: Value = serde_json::from_str(SUBMITTED).expect("JSON");
        body["upstream"] = value;
        wire::parse_job(body.to_string().as_bytes())
    };
    let good = [
        (Value::Null, vec![]),
        (json!([]), vec![]),
        (json!(["j-000398"]), vec!["j-000398"]),
        (json!(["j-000405", "j-000398", "j-000405"]), vec!["j-000398", "j-000405"]),
    ];
    for (value, want) in good {
        assert_eq!(with(value.clone()).expect("well-formed").dependencies, want, "{value}");
    }
    let bad = [
        json!("j-000398"),
        json!(7),
        json!({}),
        json!(true),
        json!([7]),
        json!([null]),
        json!([["j-000398"]]),
        json!([""]),
        json!(["j-"]),
        json!(["x-1"]),
        json!(["j-000398", "j-12a"]),
    ];
    for value in bad {
        let refused = with(value.clone()).expect_err("malformed");
        assert_eq!(refused.field, "upstream", "{value}");
        assert_eq!(refused.id.as_deref(), Some("j-000412"));
    }
    // It is stored with the record, and read from there.
    let record = JobRecord {
        shard: 1,
        stage: StoredStage::Accepted,
        tasks: 2,
        dependencies: vec!["j-1".into()],
        further_keys: 0,
    };
    let stored = serde_json::to_value(&record).expect("JSON");
    assert_eq!(stored, json!({"s": 1, "g": "a", "n": 2, "u": ["j-1"]}));
    assert_eq!(serde_json::from_value::<JobRecord>(stored).expect("a record"), record);
    let kept = job::Job::new(
        Rc::new(with(json!(["j-1"])).expect("well-formed")),
        0,
        1,
        Micros::ZERO,
        ChunkLayout::new(8.0),
    );
    assert!(kept.awaits_dependencies && kept.placeable() == 0 && kept.pending() == 16);
    assert_eq!(kept.encode_chunk(0)["s"].get("upstream"), None, "not with the description");
}
