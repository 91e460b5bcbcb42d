//! Views of the machines of own shards: how each stands, told to the managers of
//! the jobs that have tasks there; and the end of sessions that went silent.

use crate::controller::Controller;
use crate::controller::machines::heartbeats::FAILING_FOR;
use crate::peer::{AppliedUpdate, Frame, MachineView};
use crate::time::Micros;
use log::{info, warn};

impl Controller {
    /// Looks for machines that have been silent for longer than a lease.
    pub(crate) fn expire_machine_incarnations(&mut self) {
        if !self.holds_lease() {
            return;
        }
        let (now, lease) = (self.context.now, self.worker_lease());
        let taken: Vec<Option<Micros>> = self
            .leadership
            .shards
            .iter()
            .map(|s| s.leadership.as_ref().map(|m| m.acquired_at))
            .collect();
        let (mut changed, mut unresponsive) = (Vec::new(), Vec::new());
        let silent = self.silent();
        let shards = self.leadership.shards.len();
        for (name, managed) in &mut self.machines.managed {
            let Some(Some(taken)) =
                taken.get(crate::controller::leadership::shard::shard_of_machine(name, shards))
            else {
                continue;
            };
            let base = managed.answered.unwrap_or(*taken).max(*taken);
            if managed.expire_incarnation(now, base, lease) {
                info!("machine {name} has been silent for a whole lease");
                changed.push(name.clone());
            } else {
                // Health depends on time, and starts may wait for their next try.
                let fresh = managed.in_time(now, base, silent);
                let unsent =
                    managed.sent.values().any(|s| !s.open()) && now >= managed.direct_after;
                if fresh != managed.fresh || unsent {
                    changed.push(name.clone());
                }
                if managed.unresponsive
                    && fresh
                    && now >= managed.direct_after
                    && let Some(address) = managed.address
                {
                    unresponsive.push((name.clone(), managed.incarnation, address));
                }
            }
        }
        self.changes.machines.extend(changed);
        for (machine, incarnation, address) in unresponsive {
            self.send_probe(&machine, incarnation, address);
        }
    }

    /// Sends the views that have changed, to the own job manager first.
    pub(crate) fn send_views(&mut self, frame: &mut Frame) {
        for machine in std::mem::take(&mut self.changes.machines) {
            let s = self.shard_of_machine(&machine);
            let Some(term) = self.leading_term(s) else {
                continue;
            };
            if self.machines.managed.get(&machine).is_some_and(|p| p.known && !p.direct_busy) {
                self.send_direct_commands(&machine);
            }
            let mut view = self.view_of(&machine, term);
            let Some(managed) = self.machines.managed.get_mut(&machine) else {
                continue;
            };
            if let Some(old) = self.machines.views.get(&machine) {
                let old_notice = old.notice_ms;
                view.seq = old.seq;
                // A notice runs down by itself; only its coming is news.
                let notice = view.notice_ms;
                if notice.is_some() && old_notice.is_some() {
                    view.notice_ms = old_notice;
                }
                if view == *old {
                    continue;
                }
                view.notice_ms = notice;
            }
            managed.view_seq += 1;
            view.seq = managed.view_seq;
            frame.views.push(view.clone());
            self.apply_view(view);
        }
    }

    /// A machine silent for longer is not counted on.
    pub(crate) fn silent(&self) -> Micros {
        Micros::from_secs_f64(self.context.settings.workers.heartbeat_interval_s * 2.0 + 1.0)
    }

    fn view_of(&mut self, machine: &str, term: u64) -> MachineView {
        let silent = self.silent();
        let now = self.context.now;
        let failing_tasks = self.machines.managed.get(machine).is_some_and(|p| self.is_faulty(p));
        let at = self.shard_of_machine(machine);
        let taken =
            self.leadership.shards[at].leadership.as_ref().map_or(Micros::ZERO, |m| m.acquired_at);
        let Some(managed) = self.machines.managed.get_mut(machine) else {
            return MachineView::default();
        };
        let base = managed.answered.unwrap_or(taken).max(taken);
        let fresh = managed.in_time(now, base, silent);
        managed.fresh = fresh;
        if !failing_tasks {
            managed.failing_since = None;
        } else if managed.failing_since.is_none() {
            managed.failing_since = Some(now);
            warn!("machine {machine} fails what it starts; set aside");
        }
        let faulty = managed.failing_since.is_some_and(|at| now.since(at) > FAILING_FOR);
        let applied = self
            .machines
            .desired
            .iter()
            .enumerate()
            .filter(|(_, w)| w.complete > 0)
            .map(|(n, w)| AppliedUpdate {
                shard: n as u32,
                term: w.term,
                seq: w.machines.get(machine).map_or(0, |m| m.seq).max(w.complete),
            })
            .collect();
        MachineView {
            machine: machine.to_string(),
            term,
            seq: 0,
            known: managed.known,
            incarnation: managed.incarnation,
            over_through: managed.over_through,
            vanished: managed.vanished,
            machine_type: managed.machine_type.clone(),
            zone: managed.zone.clone(),
            spot: managed.spot,
            address: managed.address.map(|a| a.to_string()).unwrap_or_default(),
            notice_ms: managed.reclaimed_at.map(|at| at.since(self.context.now).as_millis()),
            healthy: fresh && !failing_tasks && !managed.unresponsive,
            tasks: managed.observed_tasks(),
            applied,
            faulty,
        }
    }
}
