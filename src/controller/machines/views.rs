//! Views of the machines of led shards, which report the observed state to the leaders of the
//! shards whose jobs have tasks there, and the expiry of silent incarnations.

use crate::config::Workers;
use crate::controller::Controller;
use crate::controller::leadership::shard;
use crate::controller::machines::probes::ProbeTarget;
use crate::controller::machines::{Machines, timeouts};
use crate::peer::{Frame, MachineView};
use crate::time::Micros;
use log::{info, warn};

/// How long a machine must be in quarantine before it is scaled in. Meanwhile, a faulty job
/// that caused the quarantine can fail on other machines, too, and be recognised as faulty.
const MIN_QUARANTINE_BEFORE_SCALE_IN: Micros = Micros::secs(5);

/// Machines that need action because time has passed.
#[derive(Default)]
struct ExpiryOutcome {
    /// Machines whose view or commands may have changed.
    changed: Vec<String>,
    /// Unresponsive machines to be probed, to find whether they receive commands again.
    to_probe: Vec<ProbeTarget>,
}

impl Controller {
    /// Ends the incarnations of machines that have been silent for longer than a lease, and
    /// probes unresponsive machines.
    pub(crate) fn expire_machine_incarnations(&mut self) {
        if !self.holds_lease() {
            return;
        }
        let acquired_at: Vec<Option<Micros>> = self
            .leadership
            .shards()
            .iter()
            .map(|shard| shard.leadership.as_ref().map(|leadership| leadership.acquired_at))
            .collect();
        let workers = &self.context.settings.workers;
        let outcome = self.machines.expire_incarnations(self.context.now, workers, &acquired_at);
        self.changes.machines.extend(outcome.changed);
        for target in outcome.to_probe {
            self.send_probe(&target.machine, target.last_known);
        }
    }

    /// Adds the changed views of managed machines to the frame for the peers, and applies them
    /// to this process. Sends direct commands to these machines first.
    pub(crate) fn send_views(&mut self, frame: &mut Frame) {
        for machine in std::mem::take(&mut self.changes.machines) {
            let shard = self.shard_of_machine(&machine);
            let Some(term) = self.leading_term(shard) else {
                continue;
            };
            let managed = self.machines.managed.get(&machine);
            if managed.is_some_and(|m| m.heartbeat_under_term && !m.direct_in_flight) {
                self.send_direct_commands(&machine);
            }
            let leadership = self.leadership.led_shard(shard);
            let inputs = ViewInputs {
                now: self.context.now,
                term,
                shard_acquired_at: leadership.map_or(Micros::ZERO, |l| l.acquired_at),
                heartbeat_timeout: timeouts::heartbeat_timeout(&self.context.settings.workers),
            };
            let progress = &self.jobs.progress;
            let completes = |job: &str| progress.get(job).is_some_and(|progress| progress.done > 0);
            if let Some(view) = self.machines.changed_view(&machine, inputs, completes) {
                frame.views.push(view.clone());
                self.apply_view(view);
            }
        }
    }
}

/// Inputs of a view other than the machine itself.
#[derive(Clone, Copy)]
struct ViewInputs {
    now: Micros,
    /// Term of the machine's shard.
    term: u64,
    /// When this process acquired the shard.
    shard_acquired_at: Micros,
    heartbeat_timeout: Micros,
}

impl Machines {
    /// Ends silent incarnations, and finds machines whose health or pending commands may have
    /// changed because time has passed. `acquired_at`, indexed by shard, is when this process
    /// acquired the shard; `None` if it does not lead it.
    fn expire_incarnations(
        &mut self,
        now: Micros,
        workers: &Workers,
        acquired_at: &[Option<Micros>],
    ) -> ExpiryOutcome {
        let worker_lease = timeouts::max_worker_lease(workers);
        let heartbeat_timeout = timeouts::heartbeat_timeout(workers);
        let mut outcome = ExpiryOutcome::default();
        for (name, managed) in &mut self.managed {
            let shard = shard::shard_of_machine(name, acquired_at.len());
            let Some(Some(shard_acquired_at)) = acquired_at.get(shard) else {
                continue;
            };
            let last_answered_at = managed.last_answered_at(*shard_acquired_at);
            if managed.expire_incarnation(now, last_answered_at, worker_lease) {
                info!("machine {name} has been silent for a whole lease");
                outcome.changed.push(name.clone());
                continue;
            }
            // Health depends on time, and unsent starts may now be sent directly.
            let in_time = managed.reports_in_time(now, last_answered_at, heartbeat_timeout);
            let may_send = now >= managed.direct_not_before;
            if in_time != managed.in_time_at_last_view || (managed.starts.any_unsent() && may_send)
            {
                outcome.changed.push(name.clone());
            }
            if managed.unresponsive
                && in_time
                && may_send
                && let Some(target) = managed.probe_target(name)
            {
                outcome.to_probe.push(target);
            }
        }
        outcome
    }

    /// The new view of a machine with its sequence number; `None` if it equals the previous one
    /// or the machine is not managed. `completes` returns whether any task of a job has
    /// completed.
    fn changed_view(
        &mut self,
        machine: &str,
        inputs: ViewInputs,
        completes: impl Fn(&str) -> bool,
    ) -> Option<MachineView> {
        let mut view = self.view_of(machine, inputs, completes)?;
        if let Some(old) = self.views.get(machine) {
            view.seq = old.seq;
            // The remaining time of a spot notice always decreases. Only the arrival of the
            // notice counts as a change.
            let notice_ms = view.notice_ms;
            if notice_ms.is_some() && old.notice_ms.is_some() {
                view.notice_ms = old.notice_ms;
            }
            if view == *old {
                return None;
            }
            view.notice_ms = notice_ms;
        }
        let managed = self.managed.get_mut(machine)?;
        managed.view_seq += 1;
        view.seq = managed.view_seq;
        Some(view)
    }

    /// Computes the view of a machine without its sequence number, and updates the machine's
    /// quarantine.
    fn view_of(
        &mut self,
        machine: &str,
        inputs: ViewInputs,
        completes: impl Fn(&str) -> bool,
    ) -> Option<MachineView> {
        let managed = self.managed.get_mut(machine)?;
        let last_answered_at = managed.last_answered_at(inputs.shard_acquired_at);
        let in_time =
            managed.reports_in_time(inputs.now, last_answered_at, inputs.heartbeat_timeout);
        managed.in_time_at_last_view = in_time;
        let in_quarantine = self.failing_jobs.requires_quarantine(&managed.failures, completes);
        if managed.failures.set_quarantine(inputs.now, in_quarantine) {
            warn!("machine {machine} fails what it starts: in quarantine");
        }
        let shards = self.desired.iter().enumerate();
        let description = &managed.description;
        Some(MachineView {
            machine: machine.to_string(),
            term: inputs.term,
            seq: 0,
            observed_in_term: managed.heartbeat_under_term,
            incarnation: managed.incarnation.0,
            last_ended_incarnation: managed.last_ended_incarnation.0,
            worker_gone: managed.expired_without_heartbeat,
            machine_type: description.machine_type.clone(),
            zone: description.zone.clone(),
            spot: description.spot,
            address: description.address.map(|address| address.to_string()).unwrap_or_default(),
            notice_ms: description.reclaimed_at.map(|moment| moment.since(inputs.now).as_millis()),
            healthy: in_time && !in_quarantine && !managed.unresponsive,
            tasks: managed.observed_tasks(),
            applied: shards.filter_map(|(shard, state)| state.applied(shard, machine)).collect(),
            faulty: managed
                .failures
                .quarantined_longer_than(inputs.now, MIN_QUARANTINE_BEFORE_SCALE_IN),
        })
    }
}
