//! Starts that were sent to a machine or wait to be sent, and whether they may still arrive.

use crate::controller::machines::attempt::AttemptId;
use crate::controller::machines::start_permit::RevocationReason;
use crate::wire::FencingToken;
use std::collections::{BTreeMap, BTreeSet};

/// A start with reserved capacity whose task no heartbeat lists yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StartInFlight {
    /// Whether the response to the newest heartbeat contained the start. The worker may still
    /// receive that response.
    pub in_response: bool,
    /// Number of direct commands that contain the start and whose outcome is not known yet.
    pub direct_commands: u32,
    /// Whether the outcome of a direct command with the start will never be known. The worker
    /// may execute it as long as fencing token and incarnation match.
    pub may_arrive_late: bool,
    /// Fencing token of the last direct command with the start that may have been sent; 0 if there
    /// was none.
    pub fencing_token: FencingToken,
}

impl StartInFlight {
    /// Whether the start may still arrive at the worker and be executed, by any route.
    pub fn may_still_arrive(self) -> bool {
        self.in_response || self.may_still_arrive_directly()
    }

    /// Whether a direct command with the start was sent, whatever its outcome. A copy of it may
    /// arrive at any later time.
    pub fn was_sent_directly(self) -> bool {
        self.fencing_token > FencingToken::default()
    }

    /// Whether a direct command with the start may still arrive.
    pub fn may_still_arrive_directly(self) -> bool {
        self.direct_commands > 0 || self.may_arrive_late
    }
}

/// A start that may still arrive and must not be executed. To revoke it, the worker is sent a
/// higher fencing token than that of the command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRevocation {
    /// The attempt that must not be started.
    pub attempt: AttemptId,
    /// Fencing token of the command that contains the start.
    pub revoked_fencing_token: FencingToken,
    /// Why it must not be executed.
    pub reason: RevocationReason,
}

/// Outcome of a direct command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The worker has executed it.
    Executed,
    /// It was definitely not executed and never will be.
    NotExecuted,
    /// It may have been executed, or may be executed later.
    Unknown,
}

/// Starts of one machine in its current incarnation.
#[derive(Debug, Clone, Default)]
pub struct Starts {
    /// Starts whose capacity is reserved and whose tasks no heartbeat lists yet.
    pub in_flight: BTreeMap<AttemptId, StartInFlight>,
    /// Reported attempts that were sent by direct command, with the command's fencing token. If
    /// the worker forgot such an attempt, a copy of the command, or the command itself if its
    /// outcome is unknown, would run it again.
    pub may_start_again: BTreeMap<AttemptId, FencingToken>,
    /// Attempts for which there was no capacity. Their starts are never sent.
    pub(crate) refused: BTreeSet<AttemptId>,
    /// Attempts that wait until the free capacity is known, or until a task that is being
    /// stopped frees enough.
    pub(crate) waiting: BTreeSet<AttemptId>,
}

impl Starts {
    /// Drops all starts, since the incarnation to which they are addressed has ended.
    pub(super) fn clear(&mut self) {
        self.in_flight.clear();
        self.may_start_again.clear();
        self.refused.clear();
        self.waiting.clear();
    }

    /// Records that a heartbeat lists an attempt. Returns whether a start of it was in flight:
    /// then the worker must have received a command.
    pub(super) fn record_reported(&mut self, attempt: &AttemptId) -> bool {
        let start = self.in_flight.remove(attempt);
        if let Some(start) = start
            && start.was_sent_directly()
        {
            self.may_start_again.insert(attempt.clone(), start.fencing_token);
        }
        self.refused.remove(attempt);
        self.waiting.remove(attempt);
        start.is_some()
    }

    /// Records that the worker listed its tasks after it had received this fencing token. An
    /// attempt that is not in the list was not started before, and commands with a lower token
    /// are no longer executed.
    pub(super) fn apply_fencing_token(
        &mut self,
        fencing_token: FencingToken,
        is_listed: impl Fn(&AttemptId) -> bool,
    ) {
        self.may_start_again
            .retain(|attempt, of_command| is_listed(attempt) && *of_command >= fencing_token);
        for start in self.in_flight.values_mut().filter(|s| s.fencing_token < fencing_token) {
            start.may_arrive_late = false;
        }
    }

    /// Records that the response to the previous heartbeat was either executed or dropped.
    pub(super) fn settle_response(&mut self) {
        for start in self.in_flight.values_mut() {
            start.in_response = false;
        }
    }

    /// Records the outcome of a direct command that contained these starts. The worker has
    /// reported `highest_fencing_token` and executes no command with a lower one.
    pub(super) fn record_direct_outcome(
        &mut self,
        attempts: &[AttemptId],
        outcome: CommandOutcome,
        highest_fencing_token: FencingToken,
    ) {
        let unknown = outcome == CommandOutcome::Unknown;
        for attempt in attempts {
            if let Some(start) = self.in_flight.get_mut(attempt) {
                start.direct_commands = start.direct_commands.saturating_sub(1);
                start.may_arrive_late |= unknown && start.fencing_token >= highest_fencing_token;
                if outcome == CommandOutcome::NotExecuted && !start.may_still_arrive_directly() {
                    start.fencing_token = FencingToken::default();
                }
            } else if outcome == CommandOutcome::NotExecuted {
                self.may_start_again.remove(attempt);
            }
        }
    }

    /// Whether a direct command may start a reported attempt again once a worker has forgotten it
    /// that has received only `fencing_token`.
    pub fn may_start_if_forgotten(&self, attempt: &AttemptId, fencing_token: FencingToken) -> bool {
        self.may_start_again.get(attempt).is_some_and(|of_command| *of_command >= fencing_token)
    }

    /// Finds a start that must be revoked now: it may still arrive by a direct command that
    /// `fencing_token`, the current one, does not outrank, and `reason` returns why it must not
    /// be executed.
    pub fn find_revocation(
        &self,
        fencing_token: FencingToken,
        reason: impl Fn(&AttemptId) -> Option<RevocationReason>,
    ) -> Option<StartRevocation> {
        self.pending_direct(fencing_token).find_map(|(attempt, start)| {
            let reason = reason(attempt)?;
            // The outcome of most commands is known within milliseconds. Only starts of jobs
            // that are done or cancelled cannot wait for it.
            (start.may_arrive_late || reason.is_urgent()).then(|| StartRevocation {
                attempt: attempt.clone(),
                revoked_fencing_token: start.fencing_token,
                reason,
            })
        })
    }

    /// Whether any start may still arrive by a direct command with any fencing token.
    pub(crate) fn has_pending_direct(&self) -> bool {
        self.in_flight.values().any(|start| start.may_still_arrive_directly())
    }

    /// Starts that may still arrive by direct commands, and that a worker which has received
    /// only `fencing_token` would execute: their own token is not lower.
    pub(crate) fn pending_direct(
        &self,
        fencing_token: FencingToken,
    ) -> impl Iterator<Item = (&AttemptId, &StartInFlight)> {
        self.in_flight.iter().filter(move |(_, start)| {
            start.may_still_arrive_directly() && start.fencing_token >= fencing_token
        })
    }

    /// Whether a start with reserved capacity is neither sent nor may still arrive, so that it
    /// can be sent now.
    pub(crate) fn any_unsent(&self) -> bool {
        self.in_flight.values().any(|start| !start.may_still_arrive())
    }
}
