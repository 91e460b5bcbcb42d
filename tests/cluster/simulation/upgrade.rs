//! Rolling upgrades: jobs stored as an earlier version wrote them, and members that are replaced.

use super::event::SimEvent;
use super::jobs::{job_id, submission};
use super::world::World;
use millethold::kv_store::{KvRequest, KvResponse};
use millethold::time::Micros;
use millethold::wire::{Txn, Write};
use serde_json::{Value, json};

/// Chunk 0 as version a3d5f9d wrote it: the first task is done, the next two are placed on the
/// first machine of each zone. The submission is added from the plan.
const STORED_CHUNK: &str = r#"{"a":3,"b":1000000,"d":"1","h":[["vm-",6]],"p":[1,0,0,1,2,0,0,1,0,1,1,3,1,0],"t":1000000500000,"v":4,"y":["a","b"],"z":232}"#;
/// The same for a job without placed tasks; stored for jobs of fewer than three tasks.
const STORED_CHUNK_WITHOUT_PLACEMENTS: &str = r#"{"a":0,"t":1000000500000,"v":1,"z":232}"#;
/// Fields of a submission that are not stored here: `cut` never is, and the others are null.
const UNSTORED_FIELDS: [&str; 4] = ["cut", "benches", "yard", "dueS"];

impl World {
    /// Stores the jobs with these numbers as accepted before the first second: each under its own
    /// key, or (`together`) in one batch.
    pub fn store_earlier_version_jobs(&mut self, jobs: &[usize], together: bool) {
        let shard = jobs.first().copied().unwrap_or_default() % 3;
        let mut chunks = Vec::new();
        let mut writes = Vec::new();
        for job in jobs {
            let id = job_id(*job);
            let chunk = self.earlier_version_chunk(&id);
            let record = json!({"s": shard, "g": "a", "n": self.jobs[&id].plan.tasks});
            writes.push((format!("j/{id}"), record));
            match together {
                true => chunks.push(chunk),
                false => writes.push((format!("w/{shard}/{id}/0"), chunk)),
            }
            self.inject_accepted_job(*job, false);
            self.schedule(Micros::secs(4), SimEvent::Poll(id));
        }
        if together {
            writes.push((format!("w/{shard}/_1-{}/0", jobs[0] + 1), json!({ "jobs": chunks })));
        }
        let put = |(key, value)| Write::Put { key, value, lease: None };
        let writes = writes.into_iter().map(put).collect();
        let reply =
            self.store.apply(self.now, &KvRequest::Txn(Txn { conditions: Vec::new(), writes }));
        assert!(matches!(reply, KvResponse::Applied(_)), "{reply:?}");
    }

    /// Ends a member's process at the given second. It restarts with the settings that apply then,
    /// as a member of the new version does.
    pub fn replace_member(&mut self, member: usize, at_s: u64) {
        self.schedule(Micros::secs(at_s), SimEvent::Crash { controller: member });
    }

    fn earlier_version_chunk(&mut self, id: &str) -> Value {
        let plan = self.jobs[id].plan.clone();
        let text = if plan.tasks >= 3 { STORED_CHUNK } else { STORED_CHUNK_WITHOUT_PLACEMENTS };
        let mut chunk: Value = serde_json::from_str(text).expect("JSON");
        let mut spec = submission(id, &plan);
        let fields = spec.as_object_mut().expect("an object");
        UNSTORED_FIELDS.iter().for_each(|name| drop(fields.remove(*name)));
        chunk["s"] = spec;
        if plan.tasks >= 3 {
            self.jobs.get_mut(id).expect("a planned job").completed.insert(0);
        }
        chunk
    }
}
