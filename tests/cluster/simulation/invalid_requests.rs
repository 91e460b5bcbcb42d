//! Invalid requests: submissions and queries that must be refused, and repeats of requests that
//! were answered.

use super::event::{Origin, SimEvent};
use super::jobs::{Plan, UserJob, submission};
use super::world::World;
use millethold::time::Micros;
use rand::RngExt;
use serde_json::{Value, json};

/// Number of kinds of invalid requests in a run without dependencies.
const KINDS: u32 = 9;
/// Number of kinds of invalid requests in a run with dependencies.
const KINDS_WITH_DEPENDENCIES: u32 = 15;
/// Last kind that concerns an accepted job.
const LAST_REPEAT: u32 = 3;

/// Job id of an invalid submission, which is never accepted.
fn invalid_id(number: u32) -> String {
    format!("j-{:06}", 900_000 + number)
}

/// Id of a job that is never submitted.
fn unknown_id(number: u32) -> String {
    format!("j-{:06}", 960_000 + number)
}

/// A malformed list of dependencies; most variants contain a job id that is known.
fn malformed_dependencies(known: &str, variant: usize) -> Value {
    let variants = [
        json!(known),
        json!([398]),
        json!([[known]]),
        json!(["j-12a"]),
        json!([""]),
        json!([known, "398"]),
        json!([null]),
        json!({ "0": known }),
        json!(7),
        json!([format!("{known}/0")]),
    ];
    variants[variant % variants.len()].clone()
}

impl World {
    /// Sends an invalid request, and schedules the next one.
    pub(super) fn invalid_request(&mut self) {
        let Some((_, to)) = self.faults.invalid_requests else {
            return;
        };
        if self.now >= Micros::secs(to) {
            return;
        }
        let again = Micros::millis(self.rng.random_range(100..600));
        self.schedule(self.now + again, SimEvent::InvalidRequest);
        // Invalid dependencies are drawn only in runs whose jobs have dependencies.
        let has_dependencies = self.jobs.values().any(|j| !j.dependencies.is_empty());
        let kinds = if has_dependencies { KINDS_WITH_DEPENDENCIES } else { KINDS };
        let kind = self.rng.random_range(0..kinds);
        if kind <= LAST_REPEAT {
            self.invalid_repeat(kind);
            return;
        }
        self.invalid_request_count += 1;
        match kind {
            8 => self.invalid_query(),
            _ => self.invalid_submission(kind),
        }
    }

    /// Repeats a submission, also with another body, or cancels a job that is done.
    fn invalid_repeat(&mut self, kind: u32) {
        let has_ended = |j: &UserJob| j.done_answered || j.cancelled_at.is_some();
        let eligible = |j: &UserJob| match kind {
            0..=2 => j.accepted && !has_ended(j),
            _ => j.done_answered,
        };
        let ids: Vec<&String> =
            self.jobs.iter().filter(|(_, j)| eligible(j)).map(|(id, _)| id).collect();
        if ids.is_empty() {
            return;
        }
        let id = ids[self.rng.random_range(0..ids.len())].clone();
        if kind == LAST_REPEAT {
            // The job is done: the answer must be `done`.
            if let Some(j) = self.jobs.get_mut(&id) {
                j.cancel_requested = true;
            }
            let path = format!("/work/{id}/abort");
            return self.send_request("POST", &path, Vec::new(), Origin::Repeat(id));
        }
        let mut body = submission(&id, &self.jobs[&id].plan);
        match kind {
            1 => drop(body.as_object_mut().and_then(|b| b.remove("cpus"))),
            2 => body["planks"] = json!("many"),
            _ => {}
        }
        let body = serde_json::to_vec(&body).expect("JSON");
        self.send_request("POST", "/work", body, Origin::Repeat(id));
    }

    /// Queries a job that was never accepted.
    fn invalid_query(&mut self) {
        let number = self.rng.random_range(1..=self.invalid_request_count);
        let path = format!("/work/{}", invalid_id(number));
        let origin = Origin::InvalidRequest("a query about a job that was never accepted", 404);
        self.send_request("GET", &path, Vec::new(), origin);
    }

    /// Submits a job that cannot be accepted.
    fn invalid_submission(&mut self, kind: u32) {
        let id = invalid_id(self.invalid_request_count);
        let mut body = submission(&id, &Plan::new(0, 1, 1.0, 5.0));
        let (what, status) = match kind {
            4 => {
                body["cpus"] = json!(64.0);
                ("a job that fits no machine", 422)
            }
            5 => {
                let field =
                    ["planks", "cpus", "crew", "grade"][self.invalid_request_count as usize % 4];
                body.as_object_mut().expect("an object").remove(field);
                ("a job that lacks a field", 400)
            }
            6 => ("a body that is not JSON", 400),
            7 => {
                body["crew"] = json!("nobody");
                ("a job of an unknown team", 422)
            }
            _ => {
                let (dependencies, what, status) = self.invalid_dependencies(kind, &id);
                body["upstream"] = dependencies;
                (what, status)
            }
        };
        let mut body = serde_json::to_vec(&body).expect("JSON");
        if kind == 6 {
            body.truncate(body.len() / 2);
        }
        self.send_request("POST", "/work", body, Origin::InvalidRequest(what, status));
    }

    /// Dependencies that a job cannot have, a description of the submission, and the expected
    /// status.
    fn invalid_dependencies(&mut self, kind: u32, id: &str) -> (Value, &'static str, u16) {
        match kind {
            9 | 10 => {
                // Alone, or together with an accepted one.
                let accepted = self.jobs.iter().find(|(_, j)| j.accepted && kind == 10);
                let mut names: Vec<String> = accepted.map(|a| a.0.clone()).into_iter().collect();
                names.push(unknown_id(self.invalid_request_count));
                (json!(names), "a job that depends on one that was never submitted", 422)
            }
            11 => {
                // The id of an invalid submission, which was refused.
                let refused = self.rng.random_range(1..self.invalid_request_count.max(2));
                (json!([invalid_id(refused)]), "a job that depends on one that was refused", 422)
            }
            12 => (json!([id]), "a job that depends on itself", 422),
            _ => {
                let known = self.jobs.keys().next().cloned().unwrap_or_default();
                let dependencies =
                    malformed_dependencies(&known, self.invalid_request_count as usize);
                (dependencies, "a job with a malformed list of dependencies", 400)
            }
        }
    }
}
