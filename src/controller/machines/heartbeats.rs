//! Reports of the machines of own shards: what they say is taken in and answered.

use crate::controller::jobs::job::StoredStage;
use crate::controller::leadership::shard::DRIFT;
use crate::controller::machines::machine::{self, MAX_NAME, Outcome};
use crate::controller::machines::start_gate::CommandRoute;
use crate::controller::{Controller, Effect, Ticket};
use crate::time::Micros;
use crate::wire::{Heartbeat, HeartbeatRedirect, HeartbeatResponse, Refusal};
use log::{debug, info};

/// Added to a worker's lease before its tasks count as gone.
const LEASE_MARGIN: Micros = Micros::millis(1_000);
/// Failures in a row, of jobs that complete elsewhere, or of so many jobs that fail
/// nowhere else, after which a machine is set aside.
const MACHINE_FAULTY: u32 = 3;
/// How long its tasks must keep failing before it is returned: a job with a mistake shows as
/// such once it has failed elsewhere, too.
pub(crate) const FAILING_FOR: Micros = Micros::secs(5);
/// Machines remembered of each failing job, and failing jobs, at most.
const JOB_ELSEWHERE: usize = 2;
const MAX_FAILING: usize = 2_000;

impl Controller {
    /// Until when a worker may go on after its last answered report.
    pub(crate) fn worker_lease(&self) -> Micros {
        Micros::from_secs_f64(self.context.settings.workers.lease_s).stretched(DRIFT) + LEASE_MARGIN
    }

    pub(crate) fn heartbeat(&mut self, ticket: Ticket, body: &[u8]) {
        let heartbeat: Heartbeat = match serde_json::from_slice(body) {
            Ok(r) => r,
            Err(e) => {
                self.counts.bad_heartbeats += 1;
                debug!("malformed report: {e}");
                return self.context.respond(ticket, 400, None, &Refusal::new("malformed report"));
            }
        };
        if heartbeat.machine.is_empty()
            || heartbeat.machine.len() > MAX_NAME
            || heartbeat.zone.len() > MAX_NAME
            || heartbeat.incarnation == 0
        {
            self.counts.bad_heartbeats += 1;
            return self.context.respond(ticket, 400, None, &Refusal::new("malformed report"));
        }
        self.counts.heartbeats += 1;
        let s = self.shard_of_machine(&heartbeat.machine);
        let Some(term) = self.leading_term(s) else {
            let away = Refusal::new("seat not held here");
            return match self.shard_leader(s) {
                Some(h) if h != self.context.me => {
                    self.leadership
                        .connectivity
                        .note_misdirected(self.context.now, &heartbeat.machine);
                    let member = self.context.members[h].clone();
                    self.context.respond(ticket, 421, None, &HeartbeatRedirect { member: &member })
                }
                _ => self.context.respond(ticket, 503, Some(1), &away),
            };
        };
        if !self.cancellations_up_to_date() {
            // Its answer would keep tasks alive whose users were told that they
            // are cancelled.
            let lags = Refusal::new("cancellations are not heard");
            return self.context.respond(ticket, 503, Some(1), &lags);
        }
        let shown = self
            .machines
            .managed
            .get(&heartbeat.machine)
            .map_or(Some(term), |m| m.fencing_token(term));
        if shown.is_none_or(|shown| heartbeat.fencing_token > shown)
            || self.machines.terminated.contains(&heartbeat.machine)
        {
            return self.context.respond(ticket, 503, Some(1), &Refusal::new("superseded"));
        }
        let now = self.context.now;
        self.leadership.connectivity.record_contact(now);
        let lease = Micros::from_secs_f64(self.context.settings.workers.lease_s);
        let machine = heartbeat.machine.clone();
        let managed = self.machines.managed.entry(machine.clone()).or_default();
        if managed.incarnation == 0 {
            info!("machine {machine} reports: {} in {}", heartbeat.machine_type, heartbeat.zone);
        }
        let before = managed.incarnation;
        let Some(outcomes) = managed.apply_heartbeat(now, &heartbeat, term, true) else {
            // Overtaken on its way: the worker has long given it up, and an
            // answer would claim a lease that has been declared over.
            return self.context.respond(ticket, 503, Some(1), &Refusal::new("overtaken"));
        };
        managed.update_responsiveness(now, before, lease);
        managed.answered = Some(now);
        let known = managed.known;
        self.note_outcomes(&machine, outcomes);
        self.revoke_starts(&machine);
        let commands =
            if known { self.commands(&machine, CommandRoute::Answer) } else { Vec::new() };
        let Some(authority) = self.command_authority(&machine) else {
            // Its session ends, and with it what may still arrive.
            return self.context.respond(ticket, 503, Some(1), &Refusal::new("no token is left"));
        };
        self.check_answer(&machine, authority);
        self.changes.machines.insert(machine);
        let reply = HeartbeatResponse { fencing_token: authority.fencing_token, commands };
        let body = serde_json::to_vec(&reply).unwrap_or_default();
        self.context.effects.push(Effect::Respond { ticket, status: 200, retry_after: None, body });
    }

    pub(crate) fn note_outcomes(&mut self, machine: &str, outcomes: Vec<Outcome>) {
        for o in outcomes {
            match o {
                Outcome::Done(_) => {
                    if let Some(managed) = self.machines.managed.get_mut(machine) {
                        managed.failed_jobs.clear();
                    }
                }
                Outcome::Failed(key) => {
                    if let Some(managed) = self.machines.managed.get_mut(machine) {
                        *managed.failed_jobs.entry(key.job.clone()).or_insert(0) += 1;
                    }
                    self.note_failed_on(key.job, machine);
                }
            }
        }
    }

    /// Remembers on which machines of own shards a job failed; a few will do.
    fn note_failed_on(&mut self, job: String, machine: &str) {
        if self.machines.failed_on_machines.len() >= MAX_FAILING {
            let known = &self.jobs.cached_stages;
            let over = |id: &String| known.get(id).is_none_or(|k| k.stage != StoredStage::Accepted);
            self.machines.failed_on_machines.retain(|id, _| !over(id));
        }
        if self.machines.failed_on_machines.len() < MAX_FAILING {
            let machines = self.machines.failed_on_machines.entry(job).or_default();
            if machines.len() < JOB_ELSEWHERE {
                machines.insert(machine.to_string());
            }
        }
    }

    /// Whether a machine's failures since its last success are its own: of jobs
    /// that complete elsewhere, or of several that fail nowhere else. A job with a
    /// mistake fails everywhere and says nothing of its machines.
    pub(crate) fn is_faulty(&self, managed: &machine::ManagedMachine) -> bool {
        if managed.failed_jobs.is_empty() {
            return false;
        }
        let completes = |job: &str| self.jobs.progress.get(job).is_some_and(|(done, _)| *done > 0);
        let elsewhere =
            |job: &str| self.machines.failed_on_machines.get(job).is_some_and(|m| m.len() > 1);
        let jobs = &managed.failed_jobs;
        let good: u32 = jobs.iter().filter(|(j, _)| completes(j)).map(|(_, n)| n).sum();
        let only_here = jobs.keys().filter(|j| completes(j) || !elsewhere(j)).count();
        good >= MACHINE_FAULTY || only_here >= MACHINE_FAULTY as usize
    }
}
