//! Tests of jobs, their chunks and batches.

use super::submission;
use millethold::controller::jobs::job::{
    self, ChunkLayout, Job, StoredChunkValue, TaskEnd, batch_key, decode_batch, encode_batch,
    is_batch,
};
use millethold::peer::ObservedState;
use millethold::time::Micros;
use millethold::wire;
use millethold::wire::WorkerIncarnation;
use serde_json::json;
use std::collections::BTreeMap;
use std::rc::Rc;

#[test]
fn stored_jobs_and_attempts() {
    let spec = wire::parse_job(submission().to_string().as_bytes()).expect("a valid submission");
    let layout = ChunkLayout { tasks: 5, bytes: 1_000, first_chunk_shares_with_spec: false };
    let mut j = Job::new(Rc::new(spec), 2, 9, Micros::secs(77), layout);
    assert_eq!((j.chunks.len(), j.pending()), (4, 16));
    let now = Micros::secs(3);
    assert_eq!(j.place(now, 6, "vm-1", WorkerIncarnation(3), "a"), Some(1));
    assert_eq!(j.place(now, 6, "vm-2", WorkerIncarnation(3), "a"), None, "placed already");
    assert_eq!(j.place(now, 7, "vm-1", WorkerIncarnation(3), "a"), Some(2));
    assert!(j.end(7, TaskEnd::certain(ObservedState::Stopped)).is_some());
    assert_eq!(
        j.place(now, 7, "vm-2", WorkerIncarnation(1), "b"),
        Some(3),
        "attempt numbers are never used twice"
    );
    assert!(j.end(6, TaskEnd::certain(ObservedState::Done)).is_some());
    assert!(j.end(6, TaskEnd::certain(ObservedState::Done)).is_none(), "it has ended already");
    for i in [0, 1, 2, 4] {
        j.place(now, i, "vm-3", WorkerIncarnation(1), "a");
        j.end(i, TaskEnd::certain(ObservedState::Done));
    }
    let stored: BTreeMap<usize, StoredChunkValue> = [0, 1]
        .into_iter()
        .map(|n| (n, StoredChunkValue { value: j.encode_chunk(n), revision: 20 + n as u64 }))
        .collect();
    // The stored chunk size applies even if the configured one differs.
    let other_layout =
        ChunkLayout { tasks: 100, bytes: 1_000, first_chunk_shares_with_spec: false };
    let restored = Job::restore(2, 9, other_layout, &stored).expect("stored chunks");
    assert_eq!((restored.done(), restored.reserved_tasks(), restored.pending()), (5, 1, 10));
    assert_eq!(restored.accepted, Micros::secs(77));
    assert_eq!(restored.chunks[1].placed[&7].attempt, 3);
    // A later leader reads when the task was placed.
    assert_eq!(
        (restored.chunks[1].placed[&7].placed_at, restored.chunks[1].placed[&7].restored),
        (now, true)
    );
    assert_eq!(restored.chunks[1].last_attempt, 3);
    assert!(Job::restore(2, 9, layout, &BTreeMap::new()).is_none());

    // Machine names are restored exactly, whether or not they end in a number.
    let names = ["vm-000231", "vm-231", "7", "", "vm", "a9b", "x99999999999999999999", "vm-0"];
    let layout = ChunkLayout::new(8.0);
    let mut body = submission();
    body["planks"] = json!(2_000);
    let spec = Rc::new(wire::parse_job(body.to_string().as_bytes()).expect("a valid submission"));
    let mut j = Job::new(Rc::clone(&spec), 0, 1, now, layout);
    for (i, name) in names.into_iter().enumerate() {
        j.place(now, i as u32, name, WorkerIncarnation(1), "a");
    }
    let placed = job::stored_placements(&j.encode_chunk(0)).expect("a stored chunk");
    assert_eq!(placed.iter().map(|p| p.machine.as_str()).collect::<Vec<_>>(), names);

    // Every state of a chunk fits in a value: no more tasks are placed than fit.
    let long_prefix = "a-machine-whose-name-is-rather-long-";
    // Machine name prefix, worker incarnation, zone, minimum number of tasks that fit.
    let table = [
        ("usual", "vm-", 3, "a-zone", 220),
        ("large incarnation", "vm-", 99_999, "a-zone", 180),
        ("long names", long_prefix, 1_000, "a-zone-with-name", 90),
    ];
    for (name, prefix, incarnation, zone, min_placed) in table {
        let mut j = Job::new(Rc::clone(&spec), 0, 1, now, layout);
        // Every other task is done, which makes the stored list of done tasks longest.
        for i in (0..layout.tasks).step_by(2) {
            j.place(now, i, "vm-1", WorkerIncarnation(1), "a");
            j.end(i, TaskEnd::certain(ObservedState::Done));
        }
        let mut placed = 0;
        while let Some(i) = j.first_pending().filter(|i| *i < layout.tasks * 2) {
            let at = Micros::secs(1_800_000_000 + u64::from(i) * 40);
            j.place(
                at,
                i,
                &format!("{prefix}{:06}", 999_999 - i),
                WorkerIncarnation(incarnation),
                zone,
            );
            placed += 1;
        }
        for n in [0, 1] {
            let bytes = j.encode_chunk(n).to_string().len();
            assert!(bytes + 1_400 * n < 8 * 1024, "{name}: {bytes} bytes in chunk {n}");
        }
        assert!(j.chunks[1].placed.len() >= min_placed, "{name}: only {placed} placed");
    }
}

#[test]
fn zones_of_a_job() {
    // `together`, `apart`, number of tasks, tasks per zone, requested zone, whether it is allowed.
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
    for (together, apart, tasks, occupied, zone, want) in table {
        let mut body = submission();
        body["together"] = json!(together);
        body["apart"] = json!(apart);
        body["planks"] = json!(tasks);
        let spec = wire::parse_job(body.to_string().as_bytes()).expect("a valid submission");
        let j = Job::new(
            Rc::new(spec),
            0,
            1,
            Micros::ZERO,
            ChunkLayout { tasks: 10, bytes: 1_000, first_chunk_shares_with_spec: false },
        );
        let zones: BTreeMap<Rc<str>, u32> =
            occupied.iter().map(|(z, n)| (Rc::from(*z), *n)).collect();
        assert_eq!(j.zone_allows(&zones, zone), want, "{together} {apart} {occupied:?} {zone}");
    }
}

#[test]
fn batches_round_trip() {
    let layout = ChunkLayout { tasks: 5, bytes: 1_000, first_chunk_shares_with_spec: false };
    let job = |id: &str| {
        let mut body = submission();
        body["ref"] = json!(id);
        let spec = wire::parse_job(body.to_string().as_bytes()).expect("a valid submission");
        let mut j = Job::new(Rc::new(spec), 1, 0, Micros::secs(77), layout);
        j.chunks[0].version = 1;
        j
    };
    let jobs = [job("j-000001"), job("j-000002")];
    let value = encode_batch(jobs.iter().map(|j| j.encode_chunk(0)).collect());
    let key = batch_key(1, 9, 4);
    let (name, chunk) = job::parse_chunk_key(&key).expect("a key under w/");
    assert!(is_batch(name) && chunk == 0, "{key}");
    assert!(!is_batch("j-000001"), "a job id");
    let decoded = decode_batch(&value);
    assert_eq!(
        decoded.iter().map(|(id, _)| id.as_str()).collect::<Vec<_>>(),
        ["j-000001", "j-000002"]
    );
    for (j, (_, chunk)) in jobs.iter().zip(&decoded) {
        let stored = [(0, StoredChunkValue { value: chunk.clone(), revision: 0 })].into();
        let restored = Job::restore(1, 9, layout, &stored).expect("a job from a batch");
        assert_eq!(restored.spec, j.spec);
        let first = &restored.chunks[0];
        // Revision 0: the chunk's first write must create a key of its own.
        assert_eq!((first.version, first.stored_version, first.revision), (1, 1, 0));
        assert_eq!(restored.accepted, j.accepted);
    }
    let malformed = [json!(null), json!({}), json!({"jobs": 3}), json!({"jobs": [1, {"v": 1}]})];
    for value in malformed {
        assert!(decode_batch(&value).is_empty(), "{value}");
    }
}

#[test]
fn ranks_of_jobs_raised_to_normal() {
    for (urgency, raised, rank) in
        [("low", false, 3), ("low", true, 2), ("standard", true, 2), ("high", true, 1)]
    {
        let mut body = submission();
        body["urgency"] = json!(urgency);
        let spec = wire::parse_job(body.to_string().as_bytes()).expect("a valid submission");
        let mut j = Job::new(
            Rc::new(spec),
            1,
            0,
            Micros::ZERO,
            ChunkLayout { tasks: 5, bytes: 1_000, first_chunk_shares_with_spec: false },
        );
        j.raised_to_normal = raised;
        assert_eq!(j.rank(), rank, "{urgency}, {raised}");
    }
}

/// Guards against exceeding the team's limit, or violating `together` and `apart`, after a
/// failover. An ended attempt that a later leader would start counts until its end is stored.
#[test]
fn ended_attempts_that_count_until_stored() {
    use ObservedState::{Done, Failed, Refused, Stopped};
    // How the attempt ended, whether it still counts.
    let table = [
        ("completed", TaskEnd::listed(Done), false),
        ("failed", TaskEnd::listed(Failed), false),
        ("listed as stopped", TaskEnd::listed(Stopped), false),
        ("its incarnation has ended", TaskEnd::certain(Stopped), false),
        ("refused, perhaps by the leader of the machine's shard", TaskEnd::listed(Refused), true),
        ("given up before it started", TaskEnd::never_started(), true),
    ];
    for (name, end, counts) in table {
        let mut body = submission();
        body["together"] = json!(true);
        let spec = wire::parse_job(body.to_string().as_bytes()).expect("a valid submission");
        let layout = ChunkLayout { tasks: 5, bytes: 1_000, first_chunk_shares_with_spec: false };
        let mut j = Job::new(Rc::new(spec), 2, 9, Micros::secs(77), layout);
        j.place(Micros::secs(3), 6, "vm-1", WorkerIncarnation(3), "a");
        assert_eq!((j.quota_tasks(), j.zones().len()), (1, 1), "{name}: placed");
        assert!(j.end(6, end).is_some());
        let counted = u32::from(counts);
        assert_eq!(j.reserved_tasks(), 0, "{name}");
        assert_eq!((j.quota_tasks(), j.zones().len() as u32), (counted, counted), "{name}: ended");
        j.chunks[1].unstored_ends.clear();
        assert_eq!((j.quota_tasks(), j.zones().len()), (0, 0), "{name}: stored");
    }
}
