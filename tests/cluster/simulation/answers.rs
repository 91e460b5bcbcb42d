//! Answers to users, and whether they may be given: what was said must stay true.

use super::event::{Origin, SimEvent};
use super::jobs::UserJob;
use super::settings::CANCEL_S;
use super::world::World;
use millethold::time::Micros;
use rand::RngExt;
use serde_json::Value;

/// Share of the jobs that are cancelled right after they were accepted, where users
/// look closely.
const CANCEL_AT_ONCE: f64 = 0.15;

/// What users are told of a job whose request was taken.
fn stage_of(body: &[u8]) -> Option<String> {
    let value: Value = serde_json::from_slice(body).ok()?;
    value.get("stage").and_then(Value::as_str).map(String::from)
}

impl World {
    /// An answer that had left its node at `left` has reached its user.
    pub(super) fn user_answer(&mut self, origin: Origin, left: Micros, status: u16, body: &[u8]) {
        let id = match &origin {
            Origin::InvalidRequest(what, wanted) => {
                return self.invalid_request_answer(what, *wanted, status, body);
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
        let storm = self.faults.storm.filter(|s| self.during(s.0, s.1));
        if storm.is_some() && matches!(origin, Origin::Poll(..)) {
            self.answered += 1;
        }
        let job = self.jobs.get_mut(&id).expect("just seen");
        job.answered = now;
        let (was_accepted, was_over) = (job.accepted, job.final_answered.is_some());
        let is_submission = matches!(origin, Origin::Submit(..));
        job.accepted |= is_submission;
        let first = is_submission && !was_accepted;
        self.check_stage(&id, &origin, left, stage_of(body).as_deref());
        let job = self.jobs.get_mut(&id).expect("just seen");
        if job.done_answered || job.cancelled_at.is_some() {
            job.final_answered.get_or_insert(now);
        }
        let news = job.accepted && !was_accepted || job.final_answered.is_some() && !was_over;
        if news {
            self.mark_descendants(&id);
            self.submit_delayed();
        }
        if first {
            self.at(now + Micros::secs(5), SimEvent::Poll(id.clone()));
        }
        if news {
            self.query_all_controllers(&id);
            let close = self.faults.full_queries.is_some_and(|l| self.during(l.0, l.1));
            if first && close && self.chance(CANCEL_AT_ONCE) {
                let at = now + Micros(self.rng.random_range(0..5_000));
                self.at(at, SimEvent::Cancel(id));
            }
        }
    }

    /// An answer to a request that must be refused with a certain status.
    fn invalid_request_answer(&mut self, what: &str, wanted: u16, status: u16, body: &[u8]) {
        self.invalid_request_answers += u64::from(status == wanted);
        // Who cannot decide yet says so.
        if status != wanted && !matches!(status, 429 | 503 | 504) {
            let text = String::from_utf8_lossy(body);
            let rule = if matches!(status, 200 | 201) { "accepted though: " } else { "" };
            self.violations.push(format!("{rule}{what} got {status}: {text}"));
        }
    }

    /// Checks the status of an answer about a job. True if it tells how the job is.
    fn check_status(&mut self, id: &str, origin: &Origin, status: u16) -> bool {
        let job = &self.jobs[id];
        let refused = matches!(status, 400 | 404 | 422);
        if matches!(origin, Origin::Submit(..)) && !job.dependencies.is_empty() && refused {
            let text = format!("refused: {id} got {status} though all that it names are accepted");
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

    /// Checks what a user is told of a job, and notes it.
    fn check_stage(&mut self, id: &str, origin: &Origin, left: Micros, stage: Option<&str>) {
        let now = self.now;
        let called_off = self.called_off(&self.jobs[id]);
        let job = self.jobs.get_mut(id).expect("just seen");
        // What was said in time may arrive later.
        let late = job.orphan_from.is_some_and(|at| left > at + Micros::from_secs_f64(CANCEL_S));
        if late && matches!(stage, Some("queued" | "running")) {
            let from = job.orphan_from;
            self.violations.push(format!("orphaned: {id} called {stage:?}, {origin:?}, {from:?}"));
        }
        match stage {
            Some("done") => {
                if job.completed.len() < job.plan.tasks as usize {
                    self.violations.push(format!("not_done: {id}"));
                } else if job.cancelled_at.is_some() {
                    self.violations.push(format!("went_back: {id} cancelled, then done"));
                }
                if job.orphan_from.is_some() {
                    let text = format!("orphaned: {id} called done, one before it is cancelled");
                    self.violations.push(text);
                }
                job.done_answered = true;
            }
            Some("cancelled") => {
                if !called_off || job.done_answered {
                    self.violations.push(format!("went_back: {id} called cancelled"));
                }
                job.cancelled_at.get_or_insert(now);
            }
            Some(other) if job.final_answered.is_some() => {
                // Two answers may overtake each other on their ways to the user: one that
                // had left its node before the last word arrived is no older answer.
                let over = job.final_answered;
                if Some(left) < over {
                    self.crossed += 1;
                } else {
                    let text = format!("went_back: {id} called {other}, {origin:?}, over {over:?}");
                    self.violations.push(text);
                }
            }
            _ => {}
        }
    }

    /// A job was accepted, or is over: what this says of those after it.
    fn mark_descendants(&mut self, id: &str) {
        let (now, job) = (self.now, &self.jobs[id]);
        let (done, cancelled) = (job.done_answered, job.cancelled_at.is_some());
        let after = |j: &UserJob| j.ancestors.contains(id);
        let after: Vec<String> =
            self.jobs.iter().filter(|(_, j)| after(j)).map(|(id, _)| id.clone()).collect();
        for d in after {
            let off = self.called_off(&self.jobs[&d]);
            let j = self.jobs.get_mut(&d).expect("just seen");
            if done && j.cancelled_at.is_some() && !off {
                self.violations.push(format!("went_back: {d} cancelled, though {id} is done"));
            }
            if cancelled {
                j.orphan_from.get_or_insert(now);
                if j.done_answered {
                    self.violations.push(format!("orphaned: {d} was done, {id} is cancelled"));
                }
            }
        }
    }
}
