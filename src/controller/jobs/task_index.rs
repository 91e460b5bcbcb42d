//! Which tasks of own shards are on which machine.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TaskId {
    /// The job's id.
    pub(crate) job: String,
    /// Number of the task in its job.
    pub(crate) index: u32,
}

/// Tasks by shard and machine, with those whose end is not stored yet.
#[derive(Debug, Default)]
pub(crate) struct TaskIndex {
    by_machine: BTreeMap<(usize, Rc<str>), BTreeSet<TaskId>>,
}

impl TaskIndex {
    /// A shard's tasks on a machine, if there are any.
    pub(crate) fn on(&self, shard: usize, machine: &Rc<str>) -> Option<&BTreeSet<TaskId>> {
        self.by_machine.get(&(shard, Rc::clone(machine)))
    }

    /// Shards and machines with tasks.
    pub(crate) fn shards_and_machines(&self) -> impl Iterator<Item = &(usize, Rc<str>)> {
        self.by_machine.keys()
    }

    /// Machines with tasks of a shard.
    pub(crate) fn machines_of_shard(&self, shard: usize) -> impl Iterator<Item = &Rc<str>> {
        self.by_machine.keys().filter(move |(of, _)| *of == shard).map(|(_, machine)| machine)
    }

    /// The shard with each machine that has tasks of one of its jobs.
    pub(crate) fn machines_of_job(
        &self,
        shard: usize,
        job: &str,
    ) -> impl Iterator<Item = &(usize, Rc<str>)> {
        self.by_machine
            .iter()
            .filter(move |((of, _), tasks)| {
                *of == shard && tasks.iter().any(|task| task.job == job)
            })
            .map(|(key, _)| key)
    }

    /// A task is on a machine.
    pub(crate) fn add(&mut self, shard: usize, machine: Rc<str>, job: &str, index: u32) {
        let tasks = self.by_machine.entry((shard, machine)).or_default();
        tasks.insert(TaskId { job: job.to_string(), index });
    }

    /// A task is not on a machine any more.
    pub(super) fn remove(&mut self, shard: usize, machine: &Rc<str>, job: &str, index: u32) {
        let key = (shard, Rc::clone(machine));
        if let Some(tasks) = self.by_machine.get_mut(&key) {
            tasks.remove(&TaskId { job: job.to_string(), index });
            if tasks.is_empty() {
                self.by_machine.remove(&key);
            }
        }
    }

    /// Removes all tasks of a job; returns the shard with each machine that had some.
    pub(super) fn remove_job(&mut self, shard: usize, job: &str) -> Vec<(usize, Rc<str>)> {
        let machines: Vec<(usize, Rc<str>)> = self.machines_of_job(shard, job).cloned().collect();
        for key in &machines {
            if let Some(tasks) = self.by_machine.get_mut(key) {
                tasks.retain(|task| task.job != job);
                if tasks.is_empty() {
                    self.by_machine.remove(key);
                }
            }
        }
        machines
    }

    /// Removes all tasks of a shard, which this process does not lead any more.
    pub(crate) fn remove_shard(&mut self, shard: usize) {
        self.by_machine.retain(|(of, _), _| *of != shard);
    }
}
