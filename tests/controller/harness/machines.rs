//! Machines and their workers: what they run, and whether they can be reached.

use super::{Harness, Micros, Worker};

impl Harness {
    /// Number of tasks on machines that have not exited.
    pub fn tasks_on_machines(&self) -> usize {
        self.workers.iter().filter(|w| !w.is_gone).map(|w| w.live_tasks().count()).sum()
    }

    /// Adds a machine with a running worker.
    pub fn add_machine(&mut self) {
        let name = self.cloud.add(self.now, "a", false);
        self.workers.push(Worker::new(name, "a", false, false, self.now));
    }

    /// Adds a machine on which these tasks run, as an earlier leader has started them.
    pub fn add_machine_with_tasks(&mut self, tasks: impl IntoIterator<Item = String>) {
        self.add_machine();
        let now = self.now;
        let worker = self.workers.last_mut().expect("just added");
        tasks.into_iter().for_each(|task| worker.inject_task(now, &task));
    }

    /// Delivers the response to a heartbeat of a worker.
    pub(super) fn answer_heartbeat(
        &mut self,
        worker: usize,
        sent: Micros,
        heartbeat: u64,
        status: u16,
        body: &[u8],
    ) {
        let w = &mut self.workers[worker];
        let lease_start = w.lease_start();
        let started = w.handle_heartbeat_response(self.now, sent, heartbeat, status, body);
        self.started_tasks.extend(started);
        if w.lease_start() > lease_start {
            self.renewals.push(w.live_tasks().cloned().collect());
        }
    }

    /// Removes a machine with everything on it, as the cloud does.
    pub fn lose_machine(&mut self, name: &str) {
        self.cloud.terminate(self.now, name);
        self.workers.iter_mut().filter(|w| w.name == name).for_each(|w| w.is_gone = true);
    }

    /// Cuts all workers off for `span`: they send no heartbeat, and no command reaches them.
    pub fn cut_workers_off(&mut self, span: Micros) {
        let until = self.now + span;
        self.cut_workers = (0..self.workers.len()).map(|worker| (worker, until)).collect();
    }

    /// Whether a worker is cut off.
    pub(super) fn is_cut_off(&self, worker: usize) -> bool {
        self.cut_workers.get(&worker).is_some_and(|until| self.now < *until)
    }

    /// Tasks that have not exited on any machine; a task that is on two machines is there twice.
    pub fn live_tasks(&self) -> Vec<&String> {
        self.workers.iter().filter(|w| !w.is_gone).flat_map(|w| w.live_tasks()).collect()
    }

    /// Advances a worker's tasks and sends its heartbeat if it is due.
    pub(super) fn step_worker(&mut self, worker: usize) {
        let durations =
            self.task_duration_s.iter().map(|(id, s)| (id.clone(), Some((*s, 0.0)))).collect();
        let now = self.now;
        let w = &mut self.workers[worker];
        if w.is_gone {
            return;
        }
        w.advance(now, &durations);
        if self.is_cut_off(worker) {
            return;
        }
        let w = &mut self.workers[worker];
        if let Some((sent, heartbeat, body, _)) = w.heartbeat(now, worker) {
            let ticket = self.requested_at.len() as u64 + 1;
            self.heartbeats.insert(ticket, (worker, sent, heartbeat));
            self.send_request("POST", "/v1/report", &body);
        }
    }
}
