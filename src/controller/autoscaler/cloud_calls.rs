//! Calls to the cloud: when they are due, and what they request.

use super::scale_in::{MachineActivity, ScaleInConditions};
use super::scale_out::{self, Offers};
use super::{AUTOSCALER_SHARD, Autoscaler};
use crate::cloud::CloudCall;
use crate::controller::calls::AutoscalerCall;
use crate::controller::{Controller, decision_log};
use crate::kv_store::KvRequest;
use crate::peer::Demand;
use crate::time::Micros;
use log::info;

/// Interval between lists of the machines while they fit on one page.
const LIST_INTERVAL: Micros = Micros::millis(2_000);
/// Number of machines on a page of the cloud's list.
const MACHINES_PER_PAGE: u64 = 500;
/// Interval between scaling plans.
const PLAN_INTERVAL: Micros = Micros::millis(1_000);

impl Autoscaler {
    /// Whether a list of the machines is due. If so, begins the listing and sets the next time.
    fn take_due_listing(&mut self, now: Micros) -> bool {
        if now < self.next_list_at || self.fleet.is_listing() {
            return false;
        }
        // Each further page uses some of the cloud's rate that scale-out needs, so longer lists
        // are requested less often.
        let further_pages = self.fleet.machines.len() as u64 / MACHINES_PER_PAGE;
        self.next_list_at = now + Micros(LIST_INTERVAL.0 * (further_pages + 2) / 2);
        self.fleet.begin_listing();
        true
    }

    /// Whether a plan is due and the fleet and machine types are known. If so, sets the next time.
    fn take_due_plan(&mut self, now: Micros) -> bool {
        let is_due =
            self.fleet.is_listed() && !self.machine_types.is_empty() && now >= self.next_plan_at;
        if is_due {
            self.next_plan_at = now + PLAN_INTERVAL;
        }
        is_due
    }
}

impl Controller {
    /// Makes the calls to the cloud that are due: machine types on every member; lists, scale-out
    /// and scale-in requests only on the leader of [`AUTOSCALER_SHARD`].
    pub(crate) fn maintain_autoscaler(&mut self) {
        let now = self.context.now;
        if self.autoscaler.machine_types.take_due_request(now) {
            self.context.call_cloud(AutoscalerCall::ListMachineTypes, CloudCall::ListMachineTypes);
        }
        let Some(term) = self.leading_term(AUTOSCALER_SHARD) else {
            return;
        };
        if self.autoscaler.take_due_listing(now) {
            let purpose = AutoscalerCall::ListMachines { requested_at: now, term };
            self.context.call_cloud(purpose, CloudCall::ListMachines { after: None });
        }
        let pending = self.autoscaler.scale_out.as_ref();
        if pending.is_some_and(|pending| !pending.in_flight && now >= pending.repeat_at) {
            self.send_scale_out(term);
        }
        if self.autoscaler.take_due_plan(now) {
            self.store_machine_types();
            self.scale_in();
            if self.autoscaler.scale_out.is_none() {
                self.scale_out(term);
            }
        }
    }

    /// Stores the machine types, unless they have been stored under the current term.
    fn store_machine_types(&mut self) {
        if !self.holds_lease() {
            return;
        }
        let Some(leadership) = self.leadership.led_shard(AUTOSCALER_SHARD) else {
            return;
        };
        let (term, revision) = (leadership.term, leadership.revision);
        let max_value_bytes = self.context.settings.kv_store.value_kb * 1024.0;
        let types = &mut self.autoscaler.machine_types;
        if let Some(txn) = types.storing_txn(AUTOSCALER_SHARD, term, revision, max_value_bytes) {
            self.context.call_store(AutoscalerCall::StoreMachineTypes, KvRequest::Txn(txn));
        }
    }

    /// Demand of all pending tasks, of this member and of the live peers.
    fn all_demand(&self) -> Vec<Demand> {
        let mut all = self.scheduler.demand(&self.scheduling_inputs());
        all.extend(self.peers.live_demand(self.context.now).cloned());
        all
    }

    /// Requests machines for pending tasks that the current and expected machines cannot take.
    fn scale_out(&mut self, term: u64) {
        let now = self.context.now;
        let mut demand = self.all_demand();
        for demand in &mut demand {
            // Spare capacity, so that the next tasks find a machine that is already up.
            let spare = (f64::from(demand.tasks) * self.context.options.spare_share).ceil();
            demand.tasks = demand.tasks.saturating_add(spare as u32);
        }
        self.refresh_capacity();
        let mut free = self.scheduler.free_capacity();
        let views = self.machines.views();
        let is_up = |machine: &str| views.get(machine).is_some_and(|view| view.observed_in_term);
        let fleet = &self.autoscaler.fleet;
        let machine_types = &self.autoscaler.machine_types;
        free.extend(fleet.expected_capacity(now, machine_types, is_up));
        let unmet = scale_out::unmet_demand(&demand, &mut free);
        let offers = Offers {
            machine_types: machine_types.by_name(),
            exhausted_until: fleet.exhausted_until(),
            now,
        };
        let Some(plan) = scale_out::plan_scale_out(&unmet, offers, &fleet.machines) else {
            return;
        };
        let request = self.autoscaler.begin_scale_out(term, plan);
        self.counts.decisions.scale_out_requests += 1;
        let lease_left = self.leadership.lease_valid_until().since(now);
        decision_log::scale_out(&request.request, AUTOSCALER_SHARD, term, lease_left);
        info!(
            "scaling out: {} {} in {}, spot {}",
            request.count, request.machine_type, request.zone, request.spot
        );
        self.send_scale_out(term);
    }

    /// Sends the pending scale-out request, if any.
    fn send_scale_out(&mut self, term: u64) {
        if let Some(pending) = &mut self.autoscaler.scale_out {
            pending.in_flight = true;
            let call = CloudCall::ScaleOut(pending.request.clone());
            self.context.call_cloud(AutoscalerCall::ScaleOut { term }, call);
        }
    }

    /// Drains machines that are idle or faulty. Removes machines that are drained, failed or whose
    /// boot has failed.
    fn scale_in(&mut self) {
        let now = self.context.now;
        self.refresh_capacity();
        let conditions = ScaleInConditions {
            now,
            min_idle: self.context.options.idle_timeout,
            tasks_wait: !self.all_demand().is_empty(),
            catalogue: &self.autoscaler.machine_types,
        };
        let (views, scheduler) = (self.machines.views(), &self.scheduler);
        let activity = |machine: &str| {
            let capacity = scheduler.machine_capacity(machine);
            let has_placed_tasks = capacity.is_some_and(|capacity| !capacity.tasks.is_empty());
            let Some(view) = views.get(machine) else {
                return MachineActivity { has_tasks: has_placed_tasks, ..Default::default() };
            };
            MachineActivity {
                has_view: true,
                is_healthy: view.observed_in_term && view.healthy,
                is_faulty: view.faulty,
                has_tasks: view.tasks.iter().any(|task| !task.observed().is_terminal())
                    || has_placed_tasks,
            }
        };
        let plan = self.autoscaler.fleet.plan_scale_in(conditions, activity);
        for machine in plan.to_drain {
            self.drain_machine(machine);
        }
        if !plan.to_remove.is_empty() {
            self.remove_machines(plan.to_remove);
        }
    }

    /// Starts to drain a machine: no task is placed on it from now on.
    fn drain_machine(&mut self, machine: String) {
        info!("machine {machine} is drained: it is to be removed");
        self.autoscaler.fleet.draining_since.insert(machine.clone(), self.context.now);
        self.scheduler.mark_stale(&machine);
        self.autoscaler.draining.insert(machine);
    }

    /// Requests the removal of machines from the cloud.
    fn remove_machines(&mut self, machines: Vec<String>) {
        self.autoscaler.fleet.begin_removal(&machines);
        self.counts.decisions.machines_scaled_in += machines.len() as u64;
        let term = self.leading_term(AUTOSCALER_SHARD);
        for machine in &machines {
            let tasks = self.machines.view(machine).map_or(0, |view| view.tasks.len());
            decision_log::scale_in(machine, AUTOSCALER_SHARD, term, tasks);
        }
        let purpose = AutoscalerCall::ScaleIn { machines: machines.clone() };
        self.context.call_cloud(purpose, CloudCall::ScaleIn(machines));
    }
}
