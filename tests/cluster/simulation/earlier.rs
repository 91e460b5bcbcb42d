//! An upgrade: jobs that an earlier version had accepted, stored as it wrote them, and
//! members that are replaced.

use super::event::SimEvent;
use super::jobs::{job_id, submission};
use super::world::World;
use millethold::kv_store::{KvRequest, KvResponse};
use millethold::time::Micros;
use millethold::wire::{Txn, Write};
use serde_json::{Value, json};

/// Part 0 as version a3d5f9d wrote it: the first task is done, the next two are placed on
/// the first machine of each zone. The description is the user's.
const PART: &str = r#"{"a":3,"b":1000000,"d":"1","h":[["vm-",6]],"p":[1,0,0,1,2,0,0,1,0,1,1,3,1,0],"t":1000000500000,"v":4,"y":["a","b"],"z":232}"#;
/// The same of a job with one task, which nothing was placed of.
const FRESH: &str = r#"{"a":0,"t":1000000500000,"v":1,"z":232}"#;
/// Fields of a submission that are not stored, since they are null.
const NULLS: [&str; 4] = ["cut", "benches", "yard", "dueS"];

impl World {
    /// The users' jobs of these numbers were accepted before the first second: each with
    /// a key of its own, or together in a batch.
    pub fn store_earlier(&mut self, jobs: &[usize], together: bool) {
        let shard = jobs.first().copied().unwrap_or_default() % 3;
        let mut chunks = Vec::new();
        let mut writes = Vec::new();
        for job in jobs {
            let id = job_id(*job);
            let chunk = self.earlier_part(&id);
            let record = json!({"s": shard, "g": "a", "n": self.jobs[&id].plan.tasks});
            writes.push((format!("j/{id}"), record));
            match together {
                true => chunks.push(chunk),
                false => writes.push((format!("w/{shard}/{id}/0"), chunk)),
            }
            self.forge_job(*job, false);
            self.at(Micros::secs(4), SimEvent::Poll(id));
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

    /// A member ends at that second and comes back: as a new version, with the settings of
    /// that time.
    pub fn replace(&mut self, member: usize, at_s: u64) {
        self.at(Micros::secs(at_s), SimEvent::Crash { node: member });
    }

    fn earlier_part(&mut self, id: &str) -> Value {
        let plan = self.jobs[id].plan.clone();
        let text = if plan.tasks >= 3 { PART } else { FRESH };
        let mut chunk: Value = serde_json::from_str(text).expect("JSON");
        let mut spec = submission(id, &plan);
        let fields = spec.as_object_mut().expect("an object");
        NULLS.iter().for_each(|name| drop(fields.remove(*name)));
        chunk["s"] = spec;
        if plan.tasks >= 3 {
            self.jobs.get_mut(id).expect("a planned job").completed.insert(0);
        }
        chunk
    }
}
