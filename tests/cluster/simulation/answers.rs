//! Answers to users, checked against the rules: an answer must not contradict an earlier one.

use super::event::{Origin, SimEvent};
use super::jobs::UserJob;
use super::settings::CANCEL_S;
use super::world::World;
use millethold::time::Micros;
use rand::RngExt;
use serde_json::Value;

/// Share of the jobs that are cancelled right after they were accepted, during query bursts.
const CANCEL_AT_ONCE: f64 = 0.15;

/// Stage of the job that an answer reports.
fn stage_of(body: &[u8]) -> Option<String> {
    let value: Value = serde_json::from_slice(body).ok()?;
    value.get("stage").and_then(Value::as_str).map(String::from)
}

impl World {
    /// Handles an answer that has reached its user; a controller sent it at `sent_at`.
    pub(super) fn user_answer(
        &mut self,
        origin: Origin,
        sent_at: Micros,
        status: u16,
        body: &[u8],
    ) {
        let id = match &origin {
            Origin::InvalidRequest(what, expected) => {
                return self.invalid_request_answer(what, *expected, status, body);
            }
            Origin::Worker { .. } => return,
            Origin::Submit(id) | Origin::Poll(id) | Origin::Cancel(id) | Origin::Repeat(id) => {
                id.clone()
            }
        };
        if !self.jobs.contains_key(&id) || !self.check_status(&id, &origin, status) {
            return;
        }
        let now = self.now;
        let query_storm = self.faults.query_storm.filter(|s| self.during(s.0, s.1));
        if query_storm.is_some() && matches!(origin, Origin::Poll(..)) {
            self.storm_answers += 1;
        }
        let job = self.jobs.get_mut(&id).expect("just seen");
        job.last_answered = now;
        let (was_accepted, was_final) = (job.accepted, job.final_answer_at.is_some());
        let is_submission = matches!(origin, Origin::Submit(..));
        job.accepted |= is_submission;
        let first = is_submission && !was_accepted;
        self.check_stage(&id, &origin, sent_at, stage_of(body).as_deref());
        let job = self.jobs.get_mut(&id).expect("just seen");
        if job.done_answered || job.cancelled_at.is_some() {
            job.final_answer_at.get_or_insert(now);
        }
        let changed = job.accepted && !was_accepted || job.final_answer_at.is_some() && !was_final;
        if changed {
            self.mark_descendants(&id);
            self.submit_delayed_jobs();
        }
        if first {
            self.schedule(now + Micros::secs(5), SimEvent::Poll(id.clone()));
        }
        if changed {
            self.query_all_controllers(&id);
            let bursts = self.faults.query_bursts.is_some_and(|l| self.during(l.0, l.1));
            if first && bursts && self.chance(CANCEL_AT_ONCE) {
                let at = now + Micros(self.rng.random_range(0..5_000));
                self.schedule(at, SimEvent::Cancel(id));
            }
        }
    }

    /// Checks the answer to a request that must be refused with the status `expected`.
    fn invalid_request_answer(&mut self, what: &str, expected: u16, status: u16, body: &[u8]) {
        self.invalid_request_answers += u64::from(status == expected);
        // With 429, 503 and 504 a controller says that it cannot decide yet.
        if status != expected && !matches!(status, 429 | 503 | 504) {
            let text = String::from_utf8_lossy(body);
            let rule = if matches!(status, 200 | 201) { "accepted though invalid: " } else { "" };
            self.violations.push(format!("{rule}{what} got {status}: {text}"));
        }
    }

    /// Checks the status of an answer about a job. True if the answer reports the stage of the job.
    fn check_status(&mut self, id: &str, origin: &Origin, status: u16) -> bool {
        let job = &self.jobs[id];
        let refused = matches!(status, 400 | 404 | 422);
        if matches!(origin, Origin::Submit(..)) && !job.dependencies.is_empty() && refused {
            let text =
                format!("refused: {id} got {status} though all its dependencies are accepted");
            self.violations.push(text);
            return false;
        }
        if job.accepted && refused {
            self.violations.push(format!("forgotten: {id} got {status}"));
            return false;
        }
        if status == 201 && matches!(origin, Origin::Repeat(..)) {
            self.violations.push(format!("accepted twice: {id} got 201 again"));
        }
        matches!(status, 200 | 201)
    }

    /// Checks the stage that a user receives, and records it.
    fn check_stage(&mut self, id: &str, origin: &Origin, sent_at: Micros, stage: Option<&str>) {
        let now = self.now;
        let may_be_cancelled = self.may_be_cancelled(&self.jobs[id]);
        let job = self.jobs.get_mut(id).expect("just seen");
        // An answer that was sent in time may arrive later.
        let late = job
            .ancestor_cancelled_at
            .is_some_and(|at| sent_at > at + Micros::from_secs_f64(CANCEL_S));
        if late && matches!(stage, Some("queued" | "running")) {
            let from = job.ancestor_cancelled_at;
            self.violations.push(format!(
                "orphaned: {id} reported {stage:?}, {origin:?}, ancestor cancelled at {from:?}"
            ));
        }
        match stage {
            Some("done") => {
                if job.completed.len() < job.plan.tasks as usize {
                    self.violations.push(format!(
                        "not_done: {id} reported done, {} of {} tasks have completed",
                        job.completed.len(),
                        job.plan.tasks
                    ));
                } else if job.cancelled_at.is_some() {
                    self.violations.push(format!("went_back: {id} cancelled, then done"));
                }
                if job.ancestor_cancelled_at.is_some() {
                    let text = format!("orphaned: {id} reported done, an ancestor is cancelled");
                    self.violations.push(text);
                }
                job.done_answered = true;
            }
            Some("cancelled") => {
                if !may_be_cancelled || job.done_answered {
                    self.violations.push(format!(
                        "went_back: {id} reported cancelled without a request or after done"
                    ));
                }
                job.cancelled_at.get_or_insert(now);
            }
            Some(other) if job.final_answer_at.is_some() => {
                // Answers may overtake each other on their way to the user: one that was sent
                // before the final answer arrived does not contradict it.
                let final_at = job.final_answer_at;
                if Some(sent_at) < final_at {
                    self.crossed_answers += 1;
                } else {
                    let text = format!(
                        "went_back: {id} reported {other}, {origin:?}, final answer at {final_at:?}"
                    );
                    self.violations.push(text);
                }
            }
            _ => {}
        }
    }

    /// Updates and checks the descendants of a job that was accepted or got its final answer.
    fn mark_descendants(&mut self, id: &str) {
        let (now, job) = (self.now, &self.jobs[id]);
        let (done, cancelled) = (job.done_answered, job.cancelled_at.is_some());
        let depends = |j: &UserJob| j.ancestors.contains(id);
        let descendants: Vec<String> =
            self.jobs.iter().filter(|(_, j)| depends(j)).map(|(id, _)| id.clone()).collect();
        for d in descendants {
            let may_be_cancelled = self.may_be_cancelled(&self.jobs[&d]);
            let j = self.jobs.get_mut(&d).expect("just seen");
            if done && j.cancelled_at.is_some() && !may_be_cancelled {
                self.violations.push(format!("went_back: {d} cancelled, though {id} is done"));
            }
            if cancelled {
                j.ancestor_cancelled_at.get_or_insert(now);
                if j.done_answered {
                    self.violations.push(format!("orphaned: {d} was done, {id} is cancelled"));
                }
            }
        }
    }
}
