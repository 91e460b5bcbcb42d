//! What earlier versions have stored and sent: this one reads all of it, writes the same
//! back where no job needs another, and takes the jobs over.
//!
//! The fixtures were written by those versions' own code, with one controller and the
//! stand-ins of `harness`: jobs with keys of their own and in a bundle, of which some wait,
//! run, are done or cancelled, and one frame of each kind that was sent meanwhile.

use crate::harness::{Harness, settings, warnings};
use millethold::controller::jobs::job::{
    ChunkLayout, Job, JobRecord, StoredChunkValue, decode_batch, encode_batch, is_batch,
    parse_chunk_key,
};
use millethold::controller::leadership::shard_lease::{ShardLease, TermRecord};
use millethold::controller::quota::team_quota::TeamQuota;
use millethold::peer::{self, Frame, ReadFrame};
use millethold::time::Micros;
use millethold::wire::MachineType;
use prost::Message;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// What a version left: keys with their values, and frames.
struct Left {
    version: &'static str,
    stored: Vec<(String, Value)>,
    frames: Vec<(String, Vec<u8>)>,
}

impl Left {
    fn read(version: &'static str, text: &str) -> Left {
        let mut left = Left { version, stored: Vec::new(), frames: Vec::new() };
        for line in text.lines().filter(|line| !line.starts_with('#')) {
            let (key, value) = line.split_once(' ').expect("a key and its value");
            match key {
                "frame" => {
                    let (name, digits) = value.split_once(' ').expect("a name and its bytes");
                    left.frames.push((name.into(), bytes(digits)));
                }
                _ => left.stored.push((key.into(), serde_json::from_str(value).expect("JSON"))),
            }
        }
        left
    }

    fn jobs(&self) -> impl Iterator<Item = (&str, JobRecord)> {
        let records = self.stored.iter().filter_map(|(k, v)| Some((k.strip_prefix("j/")?, v)));
        records.map(|(id, v)| (id, serde_json::from_value(v.clone()).expect("a record")))
    }
}

fn bytes(digits: &str) -> Vec<u8> {
    let byte = |n: usize| u8::from_str_radix(&digits[n..n + 2], 16).expect("hexadecimal");
    (0..digits.len()).step_by(2).map(byte).collect()
}

fn production() -> Left {
    Left::read("production", include_str!("../fixtures/a3d5f9d.txt"))
}

fn first_with_pipelines() -> Left {
    Left::read("the first with pipelines", include_str!("../fixtures/b1b1298.txt"))
}

/// Reads a value as a type and writes it again.
fn again<T: DeserializeOwned + Serialize>(value: &Value) -> Value {
    json!(serde_json::from_value::<T>(value.clone()).expect("readable"))
}

/// A job's part, read with all parts of the job and written again.
fn part_again(chunks: &BTreeMap<usize, StoredChunkValue>, n: usize, value_kb: f64) -> Value {
    let job = Job::restore(0, 9, ChunkLayout::new(value_kb), chunks).expect("a stored job");
    job.encode_chunk(n)
}

#[test]
fn stored_values_are_read_and_written_back_as_they_were() {
    for left in [production(), first_with_pipelines()] {
        let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
        for (key, value) in &left.stored {
            let kind = key.split('/').next().expect("a prefix");
            *kinds.entry(kind).or_default() += 1;
            // Also by nodes that keep to smaller values.
            for value_kb in [8.0, 2.0, 0.5] {
                let written = match kind {
                    "j" => again::<JobRecord>(value),
                    "hold" => again::<ShardLease>(value),
                    "seat" => again::<TermRecord>(value),
                    "types" => again::<Vec<MachineType>>(value),
                    "quota" => quota_again(value),
                    "u" => continue,
                    "w" => {
                        let (name, n) = parse_chunk_key(key).expect("a part's key");
                        if is_batch(name) {
                            let one = |(_, value)| {
                                let stored = StoredChunkValue { value, revision: 5 };
                                part_again(&[(0, stored)].into(), 0, value_kb)
                            };
                            encode_batch(decode_batch(value).into_iter().map(one).collect())
                        } else {
                            let prefix = key.trim_end_matches(|c| c != '/');
                            let chunks = left.stored.iter().filter_map(|(k, v)| {
                                let value = StoredChunkValue { value: v.clone(), revision: 5 };
                                Some((k.strip_prefix(prefix)?.parse().ok()?, value))
                            });
                            part_again(&chunks.collect(), n, value_kb)
                        }
                    }
                    other => panic!("{other}"),
                };
                assert_eq!(written.to_string(), value.to_string(), "{}: {key}", left.version);
            }
        }
        for kind in ["j", "w", "hold", "seat", "types"] {
            assert!(kinds.contains_key(kind), "{}: no {kind}/", left.version);
        }
    }
}

fn quota_again(value: &Value) -> Value {
    let team = toml::from_str("name = \"red\"\ncpus_max = 14.0").expect("a team");
    let mut quota = TeamQuota::new(&team);
    quota.observe(value, 5);
    let grant = quota.stored_grant(0);
    quota.with_grant(0, grant).expect("within the limit")
}

#[test]
fn frames_are_read_and_written_back_as_they_were() {
    for left in [production(), first_with_pipelines()] {
        for (name, sent) in &left.frames {
            let name = format!("{}: {name}", left.version);
            let ReadFrame { frame, used } =
                peer::read_frame(sent).expect(&name).expect("all of it");
            assert_eq!(used, sent.len(), "{name}");
            let mut written = Vec::new();
            peer::write_frame(&mut written, &frame);
            assert_eq!(&written, sent, "{name}");
            for desired in &frame.desired {
                let read = desired.clone().decode().expect(&name);
                assert_eq!(&read.to_message(), desired, "{name}");
            }
        }
        let full = left.frames.iter().filter(|(_, f)| frame_of(f).full).count();
        assert!(full > 0, "{}: no full frame", left.version);
    }
    // The field that came with pipelines is the last: without it all is as before.
    let all = |left: Left, name: &str| {
        let frame = left.frames.iter().find(|(n, _)| n == name).expect(name);
        frame_of(&frame.1)
    };
    let (before, since) = (all(production(), "all"), all(first_with_pipelines(), "pressing"));
    assert_eq!(Frame { inherited_urgency: Vec::new(), ..since.clone() }, before);
    assert!(since.encode_to_vec().starts_with(&before.encode_to_vec()));
}

fn frame_of(sent: &[u8]) -> Frame {
    peer::read_frame(sent).expect("a frame").expect("all of it").frame
}

/// The next version takes the seats, the jobs and their tasks over: what was accepted is
/// done in the end, after all that it needs; what was over stays so.
#[test]
fn jobs_of_earlier_versions_are_recovered() {
    let lowered = "next = { value_kb = 2.0, txn_ops = 4 }";
    let smallest = "next = { value_kb = 0.5, txn_ops = 4 }";
    let table = [
        (production(), ""),
        (production(), lowered),
        (first_with_pipelines(), ""),
        (first_with_pipelines(), lowered),
        (first_with_pipelines(), smallest),
    ];
    for (left, state) in table {
        let name = format!("{}, {state:?}", left.version);
        let mut harness = Harness::new(&settings(0, 3, state), &left.stored);
        harness.boots = true;
        (0..8).for_each(|_| harness.add_machine());
        harness.start();
        for (id, record) in left.jobs() {
            let said = harness.poll(id);
            let stage = said.said().1;
            let over = json!(record.stage) != json!("a");
            let want = if json!(record.stage) == json!("c") { "cancelled" } else { "done" };
            assert!(said.status == 200 && (!over || stage == want), "{name}: {id} {said:?}");
        }
        harness.run(Micros::secs(90));
        for (id, record) in left.jobs() {
            let want = if json!(record.stage) == json!("c") { "cancelled" } else { "done" };
            assert_eq!(harness.poll(id).said(), (200, want), "{name}: {id}");
            for up in &record.dependencies {
                let first = harness.begun.iter().position(|t| t.starts_with(&format!("{id}/")));
                let last = harness.begun.iter().rposition(|t| t.starts_with(&format!("{up}/")));
                assert!(first.is_some() && first > last, "{name}: {id} began before {up} ended");
            }
        }
        assert_eq!(warnings(), Vec::<String>::new(), "{name}");
    }
}

/// A controller hears all that the other versions say, in any order.
#[test]
fn frames_of_earlier_versions_are_handled() {
    for left in [production(), first_with_pipelines()] {
        let mut harness = Harness::new(&settings(0, 3, ""), &left.stored);
        harness.start();
        for (_, sent) in left.frames.iter().chain(left.frames.iter().rev()) {
            harness.hear(1, frame_of(sent));
            harness.run(Micros::millis(20));
        }
        assert_eq!(warnings(), Vec::<String>::new(), "{}", left.version);
        assert_eq!(harness.request("GET", "/healthz", b"").status, 200, "{}", left.version);
    }
}
