//! Starts and ends of the faults that affect more than messages.

use super::users::UserStep;
use super::{Action, Run};
use crate::faults::{Cut, Fault, SomeWorkers};
use crate::report::Failure;
use millethold::time::Micros;
use rand::seq::IndexedRandom;
use std::collections::BTreeSet;

impl Run {
    pub(super) fn begin_fault(&mut self, number: usize) {
        let planned = self.faults[number];
        match planned.fault {
            Fault::Kill { controller, back } => self.kill_controller(controller, back),
            Fault::KillAll { back } => {
                for controller in 0..self.controllers.len() {
                    self.kill_controller(controller, back);
                }
            }
            Fault::KillInTurn { pause, back } => {
                for controller in 0..self.controllers.len() {
                    let at = self.now + Micros(pause.0 * controller as u64);
                    self.schedule(at, Action::KillController { controller, restart_delay: back });
                }
            }
            Fault::Pause { controller } => self.controllers[controller].pause(),
            Fault::CutPeers { controller, cut: Cut::Reset } => self.reset_relays_of(controller),
            Fault::Hang { workers } => self.hang_workers(workers, planned.until),
            Fault::ReclaimMachines { workers } => self.reclaim_machines(workers),
            Fault::CancelMany { count } => self.cancel_many(count),
            _ => {}
        }
    }

    pub(super) fn end_fault(&mut self, number: usize) {
        match self.faults[number].fault {
            Fault::Pause { controller } => self.controllers[controller].resume(),
            Fault::RefuseAll => {
                self.kv_store.renew_all_leases(self.now);
                self.answer_watches();
            }
            Fault::RefuseOne { .. } => self.answer_watches(),
            _ => {}
        }
    }

    pub(super) fn kill_controller(&mut self, controller: usize, restart_delay: Micros) {
        self.controllers[controller].kill();
        self.schedule(self.now + restart_delay, Action::StartController { controller });
    }

    pub(super) fn start_controller(&mut self, controller: usize) {
        if let Err(error) = self.controllers[controller].start() {
            let what = format!("cannot start controller n{controller}: {error}");
            self.failures.push(Failure::Setup { what });
        }
    }

    fn hang_workers(&mut self, workers: SomeWorkers, until: Micros) {
        let now = self.now;
        let machines = self.workers.iter_mut().enumerate();
        for (_, machine) in
            machines.filter(|(number, m)| workers.contains(*number) && !m.terminated)
        {
            machine.hang(now, until);
        }
    }

    fn reclaim_machines(&mut self, workers: SomeWorkers) {
        let machines = self.workers.iter().enumerate();
        let reclaimed = machines.filter(|(number, m)| workers.contains(*number) && !m.terminated);
        let names: Vec<String> = reclaimed.map(|(_, machine)| machine.name.clone()).collect();
        for name in names {
            self.remove_machine(&name);
        }
    }

    fn cancel_many(&mut self, count: usize) {
        let running: BTreeSet<String> = self
            .workers
            .iter()
            .flat_map(|machine| machine.running_jobs().map(str::to_string))
            .collect();
        let running: Vec<String> = running.into_iter().collect();
        let chosen: Vec<String> = running.sample(&mut self.rng, count).cloned().collect();
        for job in chosen {
            self.schedule(self.now, Action::User(UserStep::Cancel(job)));
        }
    }
}
