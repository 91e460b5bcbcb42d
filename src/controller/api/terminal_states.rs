//! When a user is told that a job is done or cancelled.
//!
//! Users may ask all nodes at the same moment. A node that has read a job's key just
//! before its last change would answer with an older stage after another node has
//! told the final one. So a terminal state is told once every peer knows of it, by
//! the revision up to which it has followed the jobs; or, where a peer does not say
//! so, once whatever it may have read before is too old for it to be told.

use crate::controller::api::status_queries::FRESH;
use crate::controller::decision_log;
use crate::controller::jobs::dependencies::DependencyOutcome;
use crate::controller::jobs::job::StoredStage;
use crate::controller::{CachedStage, Controller, Ticket, Watch};
use crate::time::Micros;
use std::collections::BTreeMap;

/// After this no node tells what it has read before the last change: they read anew
/// what is older than [`FRESH`]. The rest is for clocks and the way to the user.
const SETTLED: Micros = Micros(FRESH.0 + 150_000);
/// Stands for a revision that is not known yet.
const UNKNOWN: u64 = u64::MAX;

/// Final stages that were learnt a moment ago.
#[derive(Debug, Default)]
pub(crate) struct TerminalStates {
    /// When each was learnt here, and the revision that made it so.
    unacknowledged: BTreeMap<String, (Micros, u64)>,
    /// Who is to be told of them.
    waiting: Vec<(Ticket, String)>,
    /// Peers are to be told that this process has followed the jobs further.
    pub acknowledge: bool,
}

impl TerminalStates {
    /// A job was found to be over.
    pub fn add(&mut self, now: Micros, job: &str, revision: u64) {
        self.acknowledge = true;
        let revision = if revision == 0 { UNKNOWN } else { revision };
        self.unacknowledged.insert(job.to_string(), (now, revision));
    }

    /// Whether every peer knows that a job is over, or has had the time to.
    pub fn acknowledged(&self, job: &str) -> bool {
        !self.unacknowledged.contains_key(job)
    }

    /// The revision of a terminal state that a peer had told without it.
    pub fn correct(&mut self, job: &str, revision: u64) {
        if let Some((_, known)) = self.unacknowledged.get_mut(job)
            && *known == UNKNOWN
            && revision > 0
        {
            *known = revision;
            self.acknowledge = true;
        }
    }
}

impl Controller {
    /// Tells a user how a job stands: at once, unless the stage is final and a peer
    /// might still tell an older one.
    pub(crate) fn answer_with_stage(
        &mut self,
        ticket: Ticket,
        status: u16,
        id: &str,
        known: CachedStage,
    ) {
        if known.stage != StoredStage::Accepted && !self.api.terminal_states.acknowledged(id) {
            self.api.terminal_states.waiting.push((ticket, id.to_string()));
            return;
        }
        if known.stage == StoredStage::Accepted {
            match self.dependency_outcome_of(id) {
                DependencyOutcome::Satisfied => {}
                DependencyOutcome::Pending => {
                    return self.answer_blocked(ticket, status, id, known);
                }
                DependencyOutcome::Unknown(list) => {
                    self.read_records(list);
                    return self.respond_retry_later(
                        ticket,
                        503,
                        "the jobs that it needs are being read",
                    );
                }
                DependencyOutcome::Cancelled { acknowledged: false } => {
                    self.api.terminal_states.waiting.push((ticket, id.to_string()));
                    return;
                }
                DependencyOutcome::Cancelled { acknowledged: true } => {
                    let known = CachedStage { stage: StoredStage::Cancelled, ..known };
                    self.note_final_answer(id, known);
                    let answer = self.job_answer(id, known);
                    return self.context.respond(ticket, status, None, &answer);
                }
            }
        }
        self.note_final_answer(id, known);
        let answer = self.job_answer(id, known);
        self.context.respond(ticket, status, None, &answer);
    }

    /// A user is told that a job is done or cancelled.
    fn note_final_answer(&mut self, job: &str, known: CachedStage) {
        if known.stage == StoredStage::Accepted {
            return;
        }
        self.counts.decisions.final_answers += 1;
        let followed = self.leadership.watches.get(&Watch::Jobs).map_or(0, |f| f.revision());
        decision_log::final_answer(job, known.stage, known.revision, followed);
    }

    /// Answers those who wait for terminal states that every peer knows of by now.
    pub(crate) fn answer_acknowledged(&mut self) {
        if self.api.terminal_states.unacknowledged.is_empty() {
            return;
        }
        let now = self.context.now;
        let watched = self.peers.by_member.values().map(|p| p.watched).min().unwrap_or(UNKNOWN);
        let acknowledged =
            |at: Micros, revision: u64| revision <= watched || now.since(at) >= SETTLED;
        self.api
            .terminal_states
            .unacknowledged
            .retain(|_, (at, revision)| !acknowledged(*at, *revision));
        let unacknowledged = &self.api.terminal_states.unacknowledged;
        let ready = self
            .api
            .terminal_states
            .waiting
            .extract_if(.., |(_, id)| !unacknowledged.contains_key(id));
        for (ticket, id) in ready.collect::<Vec<_>>() {
            match self.jobs.cached_stages.get(&id).copied() {
                Some(known) => self.answer_with_stage(ticket, 200, &id, known),
                None => self.respond_retry_later(ticket, 503, "undecided"),
            }
        }
    }
}
