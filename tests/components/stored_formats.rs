//! Tests of compatibility with the version that was in production before jobs could have
//! dependencies. This version reads what that one stored and sent, and writes the same bytes
//! where jobs have no dependencies. The constants below were written by that version's code.

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

const SUBMISSION: &str = r#"{"ref":"j-000412","grade":"train","crew":"red","cut":"batch","urgency":"high","planks":16,"cpus":8.0,"gpus":1.0,"ramGb":64.0,"pattern":"img-07","pullGb":6.2,"benches":["g8"],"yard":null,"together":true,"apart":false,"loaners":true,"expectedS":240.0,"notchS":30.0,"stackS":4.0,"dueS":900.0}"#;
const CHUNK: &str = r#"{"a":3,"b":1000,"d":"02","h":[["vm-",6]],"p":[0,0,231,1,1,0,0,1,0,232,3,2,1,0],"s":{"apart":false,"benches":["g8"],"cpus":8.0,"crew":"red","dueS":900.0,"expectedS":240.0,"gpus":1.0,"grade":"train","loaners":true,"notchS":30.0,"pattern":"img-07","planks":16,"pullGb":6.2,"ramGb":64.0,"ref":"j-000412","stackS":4.0,"together":true,"urgency":"high"},"t":77000000,"v":4,"y":["a","b"],"z":232}"#;
const FRAME: &[&str] = &[
    "000000a20a076c617468652d3110071a040801100420012a4908011004180620012a190a09766d2d",
    "303030323331120c10031802200128053009380132030104023a1a0a086a2d303030343132110000",
    "000000002040380142037265644a0301040232130a09766d2d30303032333110041802200128013a",
    "0e0a086a2d303030343132100318025a086a2d3030303337376209766d2d303030303031a00109a8",
    "0101b001af03",
];

fn spec() -> JobSpec {
    wire::parse_job(SUBMISSION.as_bytes()).expect("a valid submission")
}

fn chunk() -> Value {
    serde_json::from_str(CHUNK).expect("JSON")
}

fn frame() -> Vec<u8> {
    let digits = FRAME.concat();
    let byte = |n: usize| u8::from_str_radix(&digits[n..n + 2], 16).expect("hexadecimal");
    (0..digits.len()).step_by(2).map(byte).collect()
}

#[test]
fn stored_jobs_of_production() {
    // Read, also by controllers with a lower limit on the size of values, and written back
    // unchanged.
    for value_kb in [8.0, 2.0] {
        let stored = BTreeMap::from([(0, StoredChunkValue { value: chunk(), revision: 5 })]);
        let job = Job::restore(2, 9, ChunkLayout::new(value_kb), &stored).expect("a stored job");
        assert_eq!((job.done(), job.reserved_tasks(), job.pending()), (1, 2, 13), "{value_kb} KiB");
        assert!(!job.awaits_dependencies && job.dependencies.is_empty());
        assert_eq!(job.encode_chunk(0), chunk(), "{value_kb} KiB");
    }
    let mut job = Job::new(Rc::new(spec()), 2, 9, Micros::secs(77), ChunkLayout::new(8.0));
    let wall_clock = Micros::secs(1_000);
    for (task, machine, incarnation, zone) in
        [(0, "vm-000231", 1, "a"), (1, "vm-000232", 3, "b"), (5, "vm-000233", 3, "b")]
    {
        job.place(wall_clock, task, machine, WorkerIncarnation(incarnation), zone);
    }
    job.end(5, TaskEnd::certain(ObservedState::Done));
    assert_eq!(job.encode_chunk(0), chunk());
    let batch = json!({ "jobs": [chunk()] });
    assert_eq!(encode_batch(vec![job.encode_chunk(0)]), batch);
    assert_eq!(decode_batch(&batch)[0].0, "j-000412");

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
        peer::read_frame(&bytes).expect("a frame").expect("a complete frame");
    assert_eq!(
        (used, read.frame_number, read.followed_revision, read.is_full_sync),
        (bytes.len(), 9, 431, true)
    );
    assert_eq!((read.cancelled.len(), read.views.len(), read.inherited_urgency.len()), (1, 1, 0));
    let desired = read.desired[0].clone().decode().expect("desired state");
    assert_eq!((desired.shard, desired.seq, desired.machines[0].tasks[0].attempt), (1, 6, 2));
    let mut written = Vec::new();
    peer::write_frame(&mut written, &read);
    assert_eq!(written, bytes, "a frame without inherited urgency is unchanged");
    // Unknown fields are skipped: by an older version the new field, by this one later fields.
    read.inherited_urgency.push(InheritedUrgency { job: "j-000001".into(), rank: 1, due_us: 7 });
    let mut later = read.encode_to_vec();
    // Field 200, a string of two bytes.
    later.extend([0xc2, 0x0c, 2, b'h', b'i']);
    assert_eq!(peer::Frame::decode(&later[..]).expect("unknown fields are skipped"), read);
}

#[test]
fn chunks_fit_in_smaller_values() {
    // Every chunk fits in 2 KiB from the first placed task to the last, even with the longest spec.
    let layout = ChunkLayout::new(2.0);
    let mut longest = spec();
    longest.image =
        "x".repeat(job::MAX_SPEC_BYTES - serde_json::to_vec(&spec()).expect("JSON").len());
    longest.tasks = 3 * layout.tasks;
    for spec in [spec(), longest] {
        let spec = JobSpec { tasks: 3 * layout.tasks, ..spec };
        let mut job = Job::new(Rc::new(spec), 2, 9, Micros::secs(77), layout);
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
            job.reserved_tasks() >= 2 * layout.tasks,
            "only {} of {}",
            job.reserved_tasks(),
            3 * layout.tasks
        );
        // Once some tasks have ended, others fit.
        let first: Vec<u32> = job.chunks[0].placed.keys().copied().collect();
        first.iter().for_each(|i| drop(job.end(*i, TaskEnd::certain(ObservedState::Done))));
        assert!(job.pending() == 0 || job.first_pending().is_some());
    }
}

/// A job that was divided for larger values continues to use them while the store accepts them.
/// Afterwards no more tasks are placed in a chunk whose value is full.
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
    for (previous, reserved_tasks) in table {
        job.set_layout(small, previous);
        let free = (0..232).filter(|i| job.chunks[0].pending.contains(i)).collect::<Vec<u32>>();
        for task in free {
            if job.first_pending().is_some() && job.reserved_tasks() < reserved_tasks {
                let machine = format!("vm-{task:06}");
                job.place(Micros::secs(1_000), task, &machine, WorkerIncarnation(3), "a");
            }
        }
        assert_eq!(job.reserved_tasks(), reserved_tasks, "{previous:?}");
        assert_eq!(
            job.first_pending().is_some(),
            previous.is_some() && reserved_tasks < 232,
            "{previous:?}"
        );
    }
    assert!(job.encode_chunk(0).to_string().len() <= 8 * 1024);
    // A job that was divided for smaller values is not affected by the larger ones.
    let mut job = Job::new(spec, 2, 9, Micros::secs(77), small);
    for previous in [Some(previous_chunk_layout), None] {
        job.set_layout(small, previous);
        assert_eq!(job.first_pending(), Some(0), "{previous:?}");
    }
}

#[test]
fn dependencies_of_submissions() {
    let parse_with = |value: Value| {
        let mut body: Value = serde_json::from_str(SUBMISSION).expect("JSON");
        body["upstream"] = value;
        wire::parse_job(body.to_string().as_bytes())
    };
    let valid = [
        (Value::Null, vec![]),
        (json!([]), vec![]),
        (json!(["j-000398"]), vec!["j-000398"]),
        (json!(["j-000405", "j-000398", "j-000405"]), vec!["j-000398", "j-000405"]),
    ];
    for (value, want) in valid {
        assert_eq!(parse_with(value.clone()).expect("well-formed").dependencies, want, "{value}");
    }
    let malformed = [
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
    for value in malformed {
        let refused = parse_with(value.clone()).expect_err("malformed");
        assert_eq!(refused.field, "upstream", "{value}");
        assert_eq!(refused.id.as_deref(), Some("j-000412"));
    }
    // Dependencies are stored in the job's record and read from it.
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
    let job = job::Job::new(
        Rc::new(parse_with(json!(["j-1"])).expect("well-formed")),
        0,
        1,
        Micros::ZERO,
        ChunkLayout::new(8.0),
    );
    assert!(job.awaits_dependencies && job.placeable() == 0 && job.pending() == 16);
    assert_eq!(job.encode_chunk(0)["s"].get("upstream"), None, "not in the chunk's spec");
}
