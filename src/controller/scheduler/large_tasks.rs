//! Machines kept free for large tasks, and jobs raised that would starve.

use crate::controller::Controller;
use crate::controller::jobs::job::Job;
use crate::controller::scheduler::capacity::MachineCapacity;
use crate::controller::scheduler::scheduling_pass::NO_CAPACITY;
use crate::wire::JobSpec;
use std::rc::Rc;

/// Part of a shard's machines that may be kept free of small tasks at once.
const RESERVED: f64 = 0.3;
/// Part of a shard's machines that large tasks have before they are late.
const SHARE: f64 = 0.2;
/// Seconds after which a waiting large task has its share.
const SOON_S: f64 = 5.0;
/// A large task that has waited for this part of its class's objective is late.
const LATE: f64 = 0.33;
/// A job of which nothing has begun after this part of it is starved.
const STARVED: f64 = 0.4;
/// Objective of classes that have none, in seconds.
const USUAL_S: f64 = 240.0;

impl Controller {
    /// Seconds within which jobs of a class are to be done.
    fn within_s(&self, class: &str) -> f64 {
        self.context
            .settings
            .objectives
            .iter()
            .filter(|o| o.class == class && o.kind == "finished")
            .filter_map(|o| o.within_s)
            .fold(USUAL_S, f64::min)
    }

    /// Raises low work of which nothing has begun for long: behind a queue of
    /// standard work that never empties, a job began after four minutes.
    pub(crate) fn raise_starved(&mut self) {
        let wall = self.context.wall();
        let starved = |j: &&Job| {
            !j.raised
                && !j.cancelled
                && !j.over
                && j.reserved_tasks() == 0
                && j.done() == 0
                && !j.suspect()
                && !j.waiting
                && wall.since(j.ready).as_secs_f64() > self.within_s(&j.spec.class) * STARVED
        };
        let list: Vec<String> =
            self.jobs.by_id.iter().filter(|(_, j)| starved(j)).map(|(id, _)| id.clone()).collect();
        for id in list {
            if let Some(j) = self.jobs.by_id.get_mut(&id) {
                j.raised = true;
            }
        }
    }

    /// Keeps machines free of further small tasks where large ones have waited
    /// for long: filled up again task by task, no machine would ever have
    /// room for one that needs it whole. Those are taken that have it soonest.
    pub(crate) fn reserve_for_large(&mut self) {
        self.scheduler.held_for_large_tasks.clear();
        if !self.holds_lease() {
            return;
        }
        let wall = self.context.wall();
        let mut waiting: Vec<(bool, u32, Rc<JobSpec>)> = Vec::new();
        for j in self.jobs.by_id.values().filter(|j| !j.cancelled && !j.over && j.open() > 0) {
            let within = self.within_s(&j.spec.class);
            let waited = wall.since(j.ready).as_secs_f64();
            if waited > SOON_S && j.pending_reason == NO_CAPACITY {
                waiting.push((waited > within * LATE, j.pending(), Rc::clone(&j.spec)));
            }
        }
        waiting.sort_by(|a, b| b.2.cpus.total_cmp(&a.2.cpus).then(b.0.cmp(&a.0)));
        let ours = self.scheduler.capacity.iter().filter(|(_, _, s)| !s.led_by_peer).count() as f64;
        for (late, tasks, spec) in waiting {
            let large = |s: &MachineCapacity| s.tasks.iter().any(|b| b.amount[0] >= spec.cpus);
            let most = if late {
                ours * RESERVED
            } else {
                // Those that large tasks run on already are their share, too.
                let run = self
                    .scheduler
                    .capacity
                    .iter()
                    .filter(|(_, _, s)| !s.led_by_peer && large(s))
                    .count();
                ours * SHARE - run as f64
            };
            let left =
                (most.max(0.0) as usize).saturating_sub(self.scheduler.held_for_large_tasks.len());
            if left == 0 {
                continue;
            }
            let need = [spec.cpus, spec.gpus, spec.memory_gb];
            let mut soonest: Vec<(f64, Rc<str>)> = self
                .scheduler
                .capacity
                .iter()
                .filter(|(_, k, s)| {
                    !s.led_by_peer
                        && (spec.spot || !k.spot)
                        && spec
                            .types
                            .as_ref()
                            .is_none_or(|l| l.iter().any(|t| **t == *k.machine_type))
                        && spec.zone.as_deref().is_none_or(|z| z == &*k.zone)
                        && !self.scheduler.held_for_large_tasks.contains(&s.machine)
                })
                .filter_map(|(_, _, s)| {
                    Some((s.time_until_available(wall, &need)?, Rc::clone(&s.machine)))
                })
                .collect();
            soonest.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            let count = (tasks as usize).min(left);
            self.scheduler
                .held_for_large_tasks
                .extend(soonest.into_iter().take(count).map(|(_, m)| m));
        }
    }
}
