//! Settings of the controllers under test, and submissions of jobs.

use serde_json::{Value, json};

/// Settings of one of `members` controllers; `state` is appended to the table `settings.state`.
pub fn settings(member: usize, members: usize, state: &str) -> String {
    let peer =
        |n: usize| format!("[[peers]]\nmember = \"n{n}\"\naddress = \"10.0.0.{}:81\"\n", n + 1);
    let peers: String = (0..members).filter(|n| *n != member).map(peer).collect();
    format!(
        r#"member = "n{member}"
bind = "10.0.0.{0}:80"
peer_bind = "10.0.0.{0}:81"
{peers}
[endpoints]
cloud = "10.2.0.2:1"
state = "10.2.0.1:1"
[settings]
zones = ["a", "b"]
[[settings.teams]]
name = "red"
cpus = 8.0
cpus_max = 14.0
[[settings.teams]]
name = "blue"
[settings.workers]
report_s = 2.0
lease_s = 12.0
cancel_s = 30.0
[settings.state]
rps = 1000.0
write_rps = 1000.0
value_kb = 8.0
txn_ops = 8
{state}
[settings.cloud]
rps = 50.0
list_lag_s = 3.0
[settings.machine_limits]
cores = 1.0
mem_mb = 100.0
fd_limit = 100
"#,
        member + 1
    )
}

/// A submission of a job of the blue team.
pub fn submission(id: &str) -> Value {
    json!({
        "ref": id, "grade": "c", "crew": "blue", "cut": "batch", "urgency": "standard",
        "planks": 2, "cpus": 1.0, "gpus": 0.0, "ramGb": 1.0, "pattern": "img", "pullGb": 0.5,
        "benches": null, "yard": null, "together": false, "apart": false, "loaners": true,
        "expectedS": 5.0, "notchS": 0.0, "stackS": 0.0, "dueS": null,
    })
}

/// A submission of the same job that depends on others.
pub fn submission_after(id: &str, dependencies: &[&str]) -> Value {
    let mut body = submission(id);
    body["upstream"] = json!(dependencies);
    body
}
