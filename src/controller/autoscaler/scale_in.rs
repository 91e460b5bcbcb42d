//! Selection of the machines to drain and to remove.

use super::fleet::{Fleet, FleetMachine};
use super::machine_types::MachineTypeCatalogue;
use crate::time::Micros;
use crate::wire::MachineStage;

/// Time for which a machine must have been draining before it is removed: a placement that was
/// decided before its member was notified of the drain may still arrive.
const DRAIN_DURATION: Micros = Micros::secs(4);
/// Maximum number of machines in one removal request.
const MAX_MACHINES_PER_REQUEST: usize = 20;

/// State of a machine that scale-in depends on, from its view and the tasks placed on it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MachineActivity {
    /// The machine has a view: some member has observed it.
    pub(super) has_view: bool,
    /// Its heartbeats arrive in time, and it completes the tasks that it starts.
    pub(super) is_healthy: bool,
    /// It has been in quarantine for long enough to be replaced.
    pub(super) is_faulty: bool,
    /// It has tasks that have not ended, or tasks are placed on it.
    pub(super) has_tasks: bool,
}

/// What scale-in depends on besides the machines.
#[derive(Clone, Copy)]
pub(super) struct ScaleInConditions<'a> {
    pub(super) now: Micros,
    /// How long a machine must be idle before it is drained.
    pub(super) min_idle: Micros,
    /// Whether any task waits for capacity; no machine counts as idle then.
    pub(super) tasks_wait: bool,
    pub(super) catalogue: &'a MachineTypeCatalogue,
}

/// Machines to be drained, and those to be removed.
#[derive(Debug, Default)]
pub(super) struct ScaleInPlan {
    pub(super) to_drain: Vec<String>,
    pub(super) to_remove: Vec<String>,
}

impl FleetMachine {
    /// Records whether the machine is idle. Returns whether it has been idle for long enough.
    fn update_idle(
        &mut self,
        activity: MachineActivity,
        conditions: ScaleInConditions<'_>,
    ) -> bool {
        let now = conditions.now;
        if activity.has_tasks || conditions.tasks_wait || !activity.is_healthy {
            self.idle_since = None;
            return false;
        }
        now.since(*self.idle_since.get_or_insert(now)) > conditions.min_idle
    }
}

impl Fleet {
    /// Selects the machines to drain and to remove, and records which ones are idle.
    pub(super) fn plan_scale_in(
        &mut self,
        conditions: ScaleInConditions<'_>,
        activity: impl Fn(&str) -> MachineActivity,
    ) -> ScaleInPlan {
        let now = conditions.now;
        let mut plan = ScaleInPlan::default();
        for (name, machine) in &mut self.machines {
            let activity = activity(name);
            let boot_failed =
                !activity.has_view && machine.boot_has_failed(now, conditions.catalogue);
            if machine.stage == MachineStage::Failed || boot_failed {
                plan.to_remove.push(name.clone());
                continue;
            }
            let is_idle = machine.update_idle(activity, conditions);
            if activity.is_faulty || is_idle {
                plan.to_drain.push(name.clone());
            }
            let draining_since = self.draining_since.get(name);
            if !activity.has_tasks
                && draining_since.is_some_and(|at| now.since(*at) > DRAIN_DURATION)
            {
                plan.to_remove.push(name.clone());
            }
        }
        plan.to_drain.retain(|name| !self.draining_since.contains_key(name));
        plan.to_remove.retain(|name| !self.is_being_removed(name));
        plan.to_remove.truncate(MAX_MACHINES_PER_REQUEST);
        plan
    }
}
