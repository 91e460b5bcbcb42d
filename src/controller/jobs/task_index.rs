//! Index of the tasks of led shards by machine.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Identifies a task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TaskId {
    /// Job id.
    pub(crate) job: String,
    /// Number of the task in its job.
    pub(crate) index: u32,
}

/// Tasks by shard and machine, including those whose end is not stored yet.
#[derive(Debug, Default)]
pub(crate) struct TaskIndex {
    by_machine: BTreeMap<(usize, Rc<str>), BTreeSet<TaskId>>,
}

impl TaskIndex {
    /// Returns a shard's tasks on a machine, or `None` if it has none there.
    pub(crate) fn tasks_on(&self, shard: usize, machine: &Rc<str>) -> Option<&BTreeSet<TaskId>> {
        self.by_machine.get(&(shard, Rc::clone(machine)))
    }

    /// All pairs of a shard and a machine with tasks of that shard.
    pub(crate) fn shards_and_machines(&self) -> impl Iterator<Item = &(usize, Rc<str>)> {
        self.by_machine.keys()
    }

    /// All machines with tasks of a shard.
    pub(crate) fn machines_of_shard(&self, shard: usize) -> impl Iterator<Item = &Rc<str>> {
        self.by_machine
            .keys()
            .filter(move |(task_shard, _)| *task_shard == shard)
            .map(|(_, machine)| machine)
    }

    /// All machines with tasks of a job, each paired with the job's shard.
    pub(crate) fn machines_of_job(
        &self,
        shard: usize,
        job: &str,
    ) -> impl Iterator<Item = &(usize, Rc<str>)> {
        self.by_machine
            .iter()
            .filter(move |((task_shard, _), tasks)| {
                *task_shard == shard && tasks.iter().any(|task| task.job == job)
            })
            .map(|(key, _)| key)
    }

    /// Adds a task to a machine.
    pub(crate) fn add(&mut self, shard: usize, machine: Rc<str>, job: &str, index: u32) {
        let tasks = self.by_machine.entry((shard, machine)).or_default();
        tasks.insert(TaskId { job: job.to_string(), index });
    }

    /// Removes a task from a machine.
    pub(super) fn remove(&mut self, shard: usize, machine: &Rc<str>, job: &str, index: u32) {
        let key = (shard, Rc::clone(machine));
        if let Some(tasks) = self.by_machine.get_mut(&key) {
            tasks.remove(&TaskId { job: job.to_string(), index });
            if tasks.is_empty() {
                self.by_machine.remove(&key);
            }
        }
    }

    /// Removes all tasks of a job. Returns the machines that had some, each paired with the
    /// job's shard.
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

    /// Removes all tasks of a shard that this process no longer leads.
    pub(crate) fn remove_shard(&mut self, shard: usize) {
        self.by_machine.retain(|(task_shard, _), _| *task_shard != shard);
    }
}
