//! Starts that were sent to a machine or wait to be, and which of them may still arrive.

use crate::controller::machines::attempt::AttemptId;
use crate::controller::machines::start_gate::RevocationReason;
use crate::wire::FencingToken;
use std::collections::{BTreeMap, BTreeSet};

/// A start that was sent and is in no heartbeat yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StartInFlight {
    /// It was in the response to the newest heartbeat, which the worker may still receive.
    pub in_response: bool,
    /// Direct commands with it whose outcome is not known yet.
    pub direct_commands: u32,
    /// The outcome of a direct command with it will never be known: it may be executed as
    /// long as fencing token and incarnation match.
    pub may_arrive_late: bool,
    /// Fencing token of the last direct command with it.
    pub fencing_token: FencingToken,
}

impl StartInFlight {
    /// Whether the worker may still execute it.
    pub fn is_open(self) -> bool {
        self.in_response || self.is_open_direct()
    }

    /// Whether a direct command with it may still arrive.
    pub fn is_open_direct(self) -> bool {
        self.direct_commands > 0 || self.may_arrive_late
    }
}

/// A start that may still arrive and must not be executed: the worker is shown a higher
/// fencing token than that of the command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRevocation {
    /// The attempt that must not be started.
    pub attempt: AttemptId,
    /// Fencing token that the command with it carries.
    pub revoked_fencing_token: FencingToken,
    /// Why it must not be executed.
    pub reason: RevocationReason,
}

/// What became of a direct command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The worker has executed it.
    Executed,
    /// It surely was not executed and never will be.
    NotExecuted,
    /// It may have been executed, or may still be.
    Unknown,
}

/// The starts of one machine in its present incarnation.
#[derive(Debug, Clone, Default)]
pub struct Starts {
    /// Starts whose capacity is reserved and that are in no heartbeat yet.
    pub in_flight: BTreeMap<AttemptId, StartInFlight>,
    /// Attempts in heartbeats that a direct command of unknown outcome may still start,
    /// with its fencing token: if the worker forgot them, that command would run them again.
    pub may_start_again: BTreeMap<AttemptId, FencingToken>,
    /// Attempts for which there was no capacity. They are never sent.
    pub(crate) refused: BTreeSet<AttemptId>,
    /// Attempts that wait for the capacity of a task that is being stopped.
    pub(crate) waiting: BTreeSet<AttemptId>,
}

impl Starts {
    /// Forgets all of them: the incarnation that they were meant for is over.
    pub(super) fn clear(&mut self) {
        self.in_flight.clear();
        self.may_start_again.clear();
        self.refused.clear();
        self.waiting.clear();
    }

    /// Records that a heartbeat lists an attempt. Returns whether a start of it was in
    /// flight, so that the worker must have received a command.
    pub(super) fn reported(&mut self, attempt: &AttemptId) -> bool {
        let start = self.in_flight.remove(attempt);
        if let Some(start) = start
            && start.is_open_direct()
        {
            self.may_start_again.insert(attempt.clone(), start.fencing_token);
        }
        self.refused.remove(attempt);
        self.waiting.remove(attempt);
        start.is_some()
    }

    /// Records that a worker has made a list of its tasks after it had seen this fencing
    /// token: what the list lacks was not begun before, and commands with a lower token are
    /// not executed any more.
    pub(super) fn fenced(
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

    /// Records that the response to the heartbeat before was either executed or dropped.
    pub(super) fn response_settled(&mut self) {
        for start in self.in_flight.values_mut() {
            start.in_response = false;
        }
    }

    /// Records the outcome of a direct command with these starts. The worker has reported
    /// `highest_fencing_token`, below which it executes nothing.
    pub(super) fn direct_ended(
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
            } else if !unknown {
                self.may_start_again.remove(attempt);
            }
        }
    }

    /// A start that may still arrive by a direct command with the present fencing token,
    /// though `reason` says that it must not be executed.
    pub fn to_be_revoked(
        &self,
        fencing_token: FencingToken,
        reason: impl Fn(&AttemptId) -> Option<RevocationReason>,
    ) -> Option<StartRevocation> {
        self.open_direct(fencing_token).find_map(|(attempt, start)| {
            let reason = reason(attempt)?;
            // The outcome of most commands is known within milliseconds; only what belongs
            // to a job that is over cannot wait for that.
            (start.may_arrive_late || reason.is_urgent()).then(|| StartRevocation {
                attempt: attempt.clone(),
                revoked_fencing_token: start.fencing_token,
                reason,
            })
        })
    }

    /// Whether any start may still arrive by a direct command, whatever its fencing token.
    pub(crate) fn has_open_direct(&self) -> bool {
        self.in_flight.values().any(|start| start.is_open_direct())
    }

    /// Starts that may still arrive by direct commands which the fencing token does not
    /// outrank.
    pub(crate) fn open_direct(
        &self,
        fencing_token: FencingToken,
    ) -> impl Iterator<Item = (&AttemptId, &StartInFlight)> {
        self.in_flight.iter().filter(move |(_, start)| {
            start.is_open_direct() && start.fencing_token >= fencing_token
        })
    }

    /// Whether a start has its capacity reserved and can be sent now, but was not.
    pub(crate) fn any_unsent(&self) -> bool {
        self.in_flight.values().any(|start| !start.is_open())
    }
}
