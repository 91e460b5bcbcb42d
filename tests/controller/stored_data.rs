//! Tests of compatibility with the stored values and frames of earlier versions: this version
//! reads all of them, writes the same values where jobs have no dependencies, and recovers the
//! jobs.
//!
//! The code of those versions wrote the fixtures, with one controller and the stand-ins of
//! `harness`. They contain jobs with keys of their own and in a batch, some of which are queued,
//! running, done or cancelled, and one of each kind of frame sent meanwhile.

use crate::harness::{Harness, settings, take_warnings};
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

/// The fixture of an earlier version: its stored keys with their values, and its frames.
struct Fixture {
    version: &'static str,
    stored: Vec<(String, Value)>,
    frames: Vec<(String, Vec<u8>)>,
}

impl Fixture {
    fn parse(version: &'static str, text: &str) -> Fixture {
        let mut fixture = Fixture { version, stored: Vec::new(), frames: Vec::new() };
        for line in text.lines().filter(|line| !line.starts_with('#')) {
            let (key, value) = line.split_once(' ').expect("a key and its value");
            match key {
                "frame" => {
                    let (name, digits) = value.split_once(' ').expect("a name and its bytes");
                    fixture.frames.push((name.into(), decode_hex(digits)));
                }
                _ => fixture.stored.push((key.into(), serde_json::from_str(value).expect("JSON"))),
            }
        }
        fixture
    }

    /// The jobs' ids and records.
    fn jobs(&self) -> impl Iterator<Item = (&str, JobRecord)> {
        let records = self.stored.iter().filter_map(|(k, v)| Some((k.strip_prefix("j/")?, v)));
        records.map(|(id, v)| (id, serde_json::from_value(v.clone()).expect("a record")))
    }
}

fn decode_hex(digits: &str) -> Vec<u8> {
    let byte = |n: usize| u8::from_str_radix(&digits[n..n + 2], 16).expect("hexadecimal");
    (0..digits.len()).step_by(2).map(byte).collect()
}

/// The version that was in production before jobs could have dependencies.
fn production() -> Fixture {
    Fixture::parse("production", include_str!("../fixtures/a3d5f9d.txt"))
}

/// The first version with dependencies between jobs.
fn first_with_dependencies() -> Fixture {
    Fixture::parse("first with dependencies", include_str!("../fixtures/b1b1298.txt"))
}

/// Decodes a stored value as a type and encodes it again.
fn reencode<T: DeserializeOwned + Serialize>(value: &Value) -> Value {
    json!(serde_json::from_value::<T>(value.clone()).expect("a readable value"))
}

/// Restores a job from its chunks and encodes chunk `n` again.
fn reencode_chunk(chunks: &BTreeMap<usize, StoredChunkValue>, n: usize, value_kb: f64) -> Value {
    let job = Job::restore(0, 9, ChunkLayout::new(value_kb), chunks).expect("a stored job");
    job.encode_chunk(n)
}

#[test]
fn stored_values_round_trip() {
    for fixture in [production(), first_with_dependencies()] {
        let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
        for (key, value) in &fixture.stored {
            let kind = key.split('/').next().expect("a prefix");
            *kinds.entry(kind).or_default() += 1;
            // Also by controllers with a lower limit on the size of values.
            for value_kb in [8.0, 2.0, 0.5] {
                let written = match kind {
                    "j" => reencode::<JobRecord>(value),
                    "hold" => reencode::<ShardLease>(value),
                    "seat" => reencode::<TermRecord>(value),
                    "types" => reencode::<Vec<MachineType>>(value),
                    "quota" => reencode_quota(value),
                    "u" => continue,
                    "w" => {
                        let (name, n) = parse_chunk_key(key).expect("a chunk key");
                        if is_batch(name) {
                            let one = |(_, value)| {
                                let stored = StoredChunkValue { value, revision: 5 };
                                reencode_chunk(&[(0, stored)].into(), 0, value_kb)
                            };
                            encode_batch(decode_batch(value).into_iter().map(one).collect())
                        } else {
                            let prefix = key.trim_end_matches(|c| c != '/');
                            let chunks = fixture.stored.iter().filter_map(|(k, v)| {
                                let value = StoredChunkValue { value: v.clone(), revision: 5 };
                                Some((k.strip_prefix(prefix)?.parse().ok()?, value))
                            });
                            reencode_chunk(&chunks.collect(), n, value_kb)
                        }
                    }
                    other => panic!("unknown kind of key: {other}"),
                };
                assert_eq!(written.to_string(), value.to_string(), "{}: {key}", fixture.version);
            }
        }
        for kind in ["j", "w", "hold", "seat", "types"] {
            assert!(kinds.contains_key(kind), "{}: no {kind}/", fixture.version);
        }
    }
}

fn reencode_quota(value: &Value) -> Value {
    let team = toml::from_str("name = \"red\"\ncpus_max = 14.0").expect("a team");
    let mut quota = TeamQuota::new(&team);
    quota.observe(value, 5);
    let grant = quota.stored_grant(0);
    quota.with_grant(0, grant).expect("within the limit")
}

#[test]
fn frames_round_trip() {
    for fixture in [production(), first_with_dependencies()] {
        for (name, sent) in &fixture.frames {
            let name = format!("{}: {name}", fixture.version);
            let ReadFrame { frame, used } =
                peer::read_frame(sent).expect(&name).expect("a complete frame");
            assert_eq!(used, sent.len(), "{name}");
            let mut written = Vec::new();
            peer::write_frame(&mut written, &frame);
            assert_eq!(&written, sent, "{name}");
            for desired in &frame.desired {
                let read = desired.clone().decode().expect(&name);
                assert_eq!(&read.to_message(), desired, "{name}");
            }
        }
        let full = fixture.frames.iter().filter(|(_, f)| decode_frame(f).is_full_sync).count();
        assert!(full > 0, "{}: no full frame", fixture.version);
    }
    // The only new field is the last one: a frame without it is the same as before.
    let find_frame = |fixture: Fixture, name: &str| {
        let frame = fixture.frames.iter().find(|(n, _)| n == name).expect(name);
        decode_frame(&frame.1)
    };
    let (before, since) =
        (find_frame(production(), "all"), find_frame(first_with_dependencies(), "pressing"));
    assert_eq!(Frame { inherited_urgency: Vec::new(), ..since.clone() }, before);
    assert!(since.encode_to_vec().starts_with(&before.encode_to_vec()));
}

fn decode_frame(sent: &[u8]) -> Frame {
    peer::read_frame(sent).expect("a frame").expect("a complete frame").frame
}

/// This version acquires the shards of an earlier one and recovers their jobs and tasks. Accepted
/// jobs are done in the end, each after all its dependencies; done and cancelled jobs stay so.
#[test]
fn jobs_of_earlier_versions_are_recovered() {
    let lowered = "next = { value_kb = 2.0, txn_ops = 4 }";
    let smallest = "next = { value_kb = 0.5, txn_ops = 4 }";
    let table = [
        (production(), ""),
        (production(), lowered),
        (first_with_dependencies(), ""),
        (first_with_dependencies(), lowered),
        (first_with_dependencies(), smallest),
    ];
    for (fixture, state) in table {
        let name = format!("{}, {state:?}", fixture.version);
        let mut harness = Harness::new(&settings(0, 3, state), &fixture.stored);
        harness.boot_rented_machines = true;
        (0..8).for_each(|_| harness.add_machine());
        harness.wait_until_healthy();
        for (id, record) in fixture.jobs() {
            let answer = harness.poll(id);
            let stage = answer.status_and_stage().1;
            let terminal = json!(record.stage) != json!("a");
            let want = if json!(record.stage) == json!("c") { "cancelled" } else { "done" };
            assert!(
                answer.status == 200 && (!terminal || stage == want),
                "{name}: {id} {answer:?}"
            );
        }
        harness.run(Micros::secs(90));
        for (id, record) in fixture.jobs() {
            let want = if json!(record.stage) == json!("c") { "cancelled" } else { "done" };
            assert_eq!(harness.poll(id).status_and_stage(), (200, want), "{name}: {id}");
            for dependency in &record.dependencies {
                let first =
                    harness.started_tasks.iter().position(|t| t.starts_with(&format!("{id}/")));
                let last = harness
                    .started_tasks
                    .iter()
                    .rposition(|t| t.starts_with(&format!("{dependency}/")));
                assert!(
                    first.is_some() && first > last,
                    "{name}: {id} started before the last task of {dependency}"
                );
            }
        }
        assert_eq!(take_warnings(), Vec::<String>::new(), "{name}");
    }
}

/// A controller handles the frames of earlier versions in any order, without warnings.
#[test]
fn frames_of_earlier_versions_are_handled() {
    for fixture in [production(), first_with_dependencies()] {
        let mut harness = Harness::new(&settings(0, 3, ""), &fixture.stored);
        harness.wait_until_healthy();
        for (_, sent) in fixture.frames.iter().chain(fixture.frames.iter().rev()) {
            harness.receive_frame(1, decode_frame(sent));
            harness.run(Micros::millis(20));
        }
        assert_eq!(take_warnings(), Vec::<String>::new(), "{}", fixture.version);
        assert_eq!(harness.request("GET", "/healthz", b"").status, 200, "{}", fixture.version);
    }
}
