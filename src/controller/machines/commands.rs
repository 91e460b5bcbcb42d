//! Commands for the machines of own shards, sent in answers to reports or directly.

use crate::controller::Controller;
use crate::controller::decision_log::Violation;
use crate::controller::jobs::job::StoredStage;
use crate::controller::machines::reconciler::{ReconcileOutcome, Reconciler};
use crate::controller::machines::start_gate::{CommandAuthority, CommandRoute};
use crate::wire::Command;

impl Controller {
    /// What this process may act on towards a machine at present; `None` if it does not
    /// command it, or has no further token for it.
    pub(crate) fn command_authority(&self, machine: &str) -> Option<CommandAuthority> {
        let shard = self.shard_of_machine(machine);
        let term = self.leading_term(shard)?;
        let managed = self.machines.managed.get(machine)?;
        Some(CommandAuthority {
            now: self.context.now,
            shard,
            term,
            fencing_token: managed.fencing_token(term)?,
            incarnation: managed.incarnation,
            lease_until: self.leadership.controller_lease.valid_until,
            cancellations_known: self.cancellations_up_to_date(),
        })
    }

    /// Works out the commands for a machine, and books what they start.
    pub(crate) fn commands(&mut self, machine: &str, route: CommandRoute) -> Vec<Command> {
        let Some(authority) = self.command_authority(machine) else {
            return Vec::new();
        };
        let Some(kept) = self.machines.managed.get_mut(machine) else {
            return Vec::new();
        };
        let mut managed = std::mem::take(kept);
        let work = Reconciler::collect(self, machine, &managed, authority);
        let unknown = work.unknown_jobs(&managed);
        let ReconcileOutcome { commands, violations } = work.reconcile(&mut managed, route);
        if let Some(kept) = self.machines.managed.get_mut(machine) {
            *kept = managed;
        }
        for violation in violations {
            self.record_violation(machine, authority, Violation::Start(violation));
        }
        self.note_unknown(unknown);
        self.count_commands(&commands, route);
        commands
    }

    /// Looks for starts that may still arrive by direct commands and must not be executed.
    /// The worker is shown a higher token, with which it refuses them, however long they
    /// are on their way; if it does not hear of it, its lease ends and with it the session
    /// that they are meant for.
    pub(crate) fn revoke_starts(&mut self, machine: &str) {
        let Some(authority) = self.command_authority(machine) else {
            return;
        };
        let Some(managed) = self.machines.managed.get(machine) else {
            return;
        };
        if !managed.has_direct_starts() {
            return;
        }
        let work = Reconciler::collect(self, machine, managed, authority);
        let Some(revocation) =
            managed.to_be_revoked(authority.fencing_token, |key| work.refusal(key))
        else {
            return;
        };
        self.note_raised_fencing_token(machine, authority, &revocation);
        if let Some(managed) = self.machines.managed.get_mut(machine) {
            managed.raise_fencing_token();
        }
    }

    /// An answered report renews the machine's lease. A start of a job that is over must
    /// not be able to arrive in it any more.
    pub(crate) fn check_answer(&mut self, machine: &str, authority: CommandAuthority) {
        let Some(managed) = self.machines.managed.get(machine) else {
            return;
        };
        let over = |job: &str| {
            self.jobs
                .cached_stages
                .get(job)
                .is_some_and(|known| known.stage != StoredStage::Accepted)
        };
        if managed.direct_starts(authority.fencing_token).any(|start| over(&start.job)) {
            self.record_violation(machine, authority, Violation::OpenStartOfEndedJob);
        }
    }

    fn count_commands(&mut self, commands: &[Command], route: CommandRoute) {
        let counts = &mut self.counts.decisions;
        for command in commands {
            match (command, route) {
                (Command::Start { .. }, CommandRoute::Direct) => counts.direct_starts += 1,
                (Command::Start { .. }, CommandRoute::Answer) => counts.answered_starts += 1,
                (Command::Stop { .. }, _) => counts.stops += 1,
                (Command::Forget { .. }, _) => counts.forgets += 1,
            }
        }
    }
}
