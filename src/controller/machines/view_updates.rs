//! Applies machine views, from this process and from peers.

use super::Machines;
use crate::controller::Controller;
use crate::peer::{MachineView, ObservedState};

impl Machines {
    /// Whether a view is newer than the stored one. `term` is the current term of the machine's
    /// shard.
    fn is_newer_view(&self, view: &MachineView, term: u64) -> bool {
        if self.terminated.contains(&view.machine) || view.term < term {
            return false;
        }
        let old = self.views.get(&view.machine);
        old.is_none_or(|old| (view.term, view.seq) > (old.term, old.seq))
    }

    /// Images of the tasks that a view shows as started and the previous view did not.
    fn newly_used_images<'a>(&'a self, view: &'a MachineView) -> impl Iterator<Item = &'a str> {
        let old = self.views.get(&view.machine).filter(|old| old.incarnation == view.incarnation);
        let started = view.tasks.iter().filter(move |task| {
            let is_unchanged = old.is_some_and(|old| old.tasks.contains(task));
            !is_unchanged
                && matches!(
                    task.observed(),
                    ObservedState::Running | ObservedState::Saving | ObservedState::Done
                )
        });
        started.filter_map(|task| {
            self.desired
                .iter()
                .filter_map(|desired| desired.machines.get(&view.machine))
                .flat_map(|here| &here.tasks)
                .find(|desired| {
                    desired.index == task.index
                        && desired.attempt == task.attempt
                        && desired.job == task.job
                })
                .map(|desired| desired.image.as_str())
        })
    }
}

impl Controller {
    /// Applies a view of a machine, unless the stored one is at least as new.
    pub(crate) fn apply_view(&mut self, view: MachineView) {
        let shard = self.shard_of_machine(&view.machine);
        if !self.machines.is_newer_view(&view, self.leadership.term(shard)) {
            return;
        }
        for image in self.machines.newly_used_images(&view) {
            let now = self.context.now;
            self.scheduler.record_image(now, image, &view.machine, view.worker_incarnation());
        }
        let machine = view.machine.clone();
        self.machines.views.insert(machine.clone(), view);
        self.scheduler.mark_stale(&machine);
        self.evaluate_on_all_shards(&machine);
        self.scheduler.request_pass();
    }
}
