//! Keeping the slots up to date: machines as placements see them.

use crate::controller::Controller;
use crate::controller::machines::desired_state::own_shards::expected_s;
use crate::controller::quota::team_quota::EPS;
use crate::controller::scheduler::capacity::{MachineCapacity, PoolKey, ReservedTask};
use crate::peer::Phase;
use crate::time::Micros;
use std::rc::Rc;

/// How long room that comes up on a machine is left to its own shard.
const PEER_CAPACITY_YIELD: Micros = Micros::millis(250);

impl Controller {
    /// A machine as placements see it; `None` if nothing may be placed on it.
    fn capacity_of(&self, name: &str) -> Option<(PoolKey, MachineCapacity)> {
        let v = self.machines.views.get(name)?;
        let h = self.shard_of_machine(name);
        if !v.known
            || !v.healthy
            || !self.scheduler.commanded[h]
            || v.notice_ms.is_some()
            || v.term != self.leadership.shards[h].term
            || self.autoscaler.draining.contains(name)
            || self.machines.terminated.contains(name)
        {
            return None;
        }
        let t = self.autoscaler.machine_types.get(&v.machine_type)?;
        let size = [t.cpus, t.gpus, t.memory_gb];
        let led_by_peer = self.leading_term(h).is_none();
        let mut machine_capacity =
            MachineCapacity::new(Rc::from(name), v.incarnation, led_by_peer, size);
        let over = |job: &str, index: u32, attempt: u64| {
            v.tasks.iter().any(|t| {
                t.attempt == attempt && t.index == index && t.job == job && t.observed().over()
            })
        };
        for (s, w) in self.machines.desired.iter().enumerate() {
            if self.has_jobs_of(s) {
                continue;
            }
            let tasks = w.machines.get(name).map_or(&[][..], |m| &m.tasks[..]);
            for t in tasks {
                // Of another session: gone, and its shard will learn of it.
                if t.incarnation != v.incarnation
                    || t.phase() == Phase::Over
                    || over(&t.job, t.index, t.attempt)
                {
                    continue;
                }
                machine_capacity.reserve(ReservedTask {
                    rank: t.rank,
                    team: t.team.clone(),
                    amount: [t.cpus, t.gpus, t.memory_gb],
                    job: t.job.clone(),
                    index: t.index,
                    attempt: t.attempt,
                    stopping: t.stop_ms.is_some()
                        || self.preemption_requested(&t.job, t.index, t.attempt),
                    placed: Micros::secs(t.placed_s),
                    checkpoint_s: t.checkpoint_s,
                    expected_s: t.expected_s,
                });
            }
        }
        for s in (0..self.leadership.shards.len()).filter(|s| self.has_jobs_of(*s)) {
            let Some(tasks) =
                self.jobs.tasks_by_machine.get(&(s, Rc::clone(&machine_capacity.machine)))
            else {
                continue;
            };
            for (id, index) in tasks {
                let Some(j) = self.jobs.by_id.get(id) else {
                    continue;
                };
                let chunk = &j.chunks[(*index / j.chunk_size) as usize];
                let Some(p) = chunk.placed.get(index).filter(|p| *p.machine == *name) else {
                    continue;
                };
                machine_capacity.reserve(ReservedTask {
                    rank: j.rank(),
                    team: j.spec.team.clone(),
                    amount: [j.spec.cpus, j.spec.gpus, j.spec.memory_gb],
                    job: id.clone(),
                    index: *index,
                    attempt: p.attempt,
                    stopping: p.stop.is_some(),
                    placed: p.at,
                    checkpoint_s: j.spec.checkpoint_s,
                    expected_s: expected_s(j, &self.scheduler.estimates),
                });
            }
        }
        // Tasks that nobody is known to want take room of unknown size.
        let strange = v.tasks.iter().any(|t| {
            !t.observed().over()
                && !machine_capacity
                    .tasks
                    .iter()
                    .any(|b| b.attempt == t.attempt && b.index == t.index && b.job == t.job)
        });
        let key = PoolKey {
            machine_type: Rc::from(v.machine_type.as_str()),
            zone: Rc::from(v.zone.as_str()),
            spot: v.spot,
        };
        (!strange).then_some((key, machine_capacity))
    }

    /// Whether a shard's jobs are known here; else the desired state received from it counts.
    fn has_jobs_of(&self, s: usize) -> bool {
        self.leadership.shards[s].leadership.as_ref().is_some_and(|m| m.recovered)
    }

    /// Notes that a machine has to be looked at before the next placement.
    pub(crate) fn mark_capacity_stale(&mut self, machine: &str) {
        if !self.scheduler.stale_machines.contains(machine) {
            self.scheduler.stale_machines.insert(machine.to_string());
        }
    }

    /// Brings the slots up to date: only what has changed is looked at.
    pub(crate) fn refresh_capacity(&mut self) {
        for h in 0..self.leadership.shards.len() {
            let commanded = self.leading_term(h).is_some()
                || self.shard_leader(h).is_some_and(|m| m != self.context.me && self.peer_alive(m));
            let was = std::mem::replace(&mut self.scheduler.commanded[h], commanded);
            let state = (self.has_jobs_of(h), self.leading_term(h), self.leadership.shards[h].term);
            if was != commanded || self.scheduler.capacity_sources.get(&h) != Some(&state) {
                // The shard has changed hands or its holder has fallen silent.
                self.scheduler.capacity_sources.insert(h, state);
                let theirs: Vec<String> = self
                    .machines
                    .views
                    .keys()
                    .filter(|m| self.shard_of_machine(m) == h)
                    .cloned()
                    .collect();
                self.scheduler.stale_machines.extend(theirs);
                // What it wants is read from another place from now on.
                let wanted: Vec<String> =
                    self.machines.desired[h].machines.keys().cloned().collect();
                self.scheduler.stale_machines.extend(wanted);
            }
        }
        for machine in std::mem::take(&mut self.scheduler.stale_machines) {
            let mut machine_capacity = self.capacity_of(&machine);
            if let Some((_, new)) = machine_capacity.as_mut().filter(|(_, s)| s.led_by_peer) {
                let old = self
                    .scheduler
                    .capacity
                    .id(&machine)
                    .and_then(|id| self.scheduler.capacity.get(id));
                let more = old.is_none_or(|old| new.free[0] > old.free[0] + EPS);
                new.yielded_until = match old {
                    Some(old) if !more => old.yielded_until,
                    _ => self.context.now + PEER_CAPACITY_YIELD,
                };
            }
            self.scheduler.capacity.set(&machine, machine_capacity);
        }
    }
}
