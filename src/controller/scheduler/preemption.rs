//! Preemption: which tasks make room for more urgent ones, and within which bounds.

use crate::controller::Controller;
use crate::controller::autoscaler::planning::fits;
use crate::controller::jobs::job::Job;
use crate::controller::machines::attempt::AttemptId;
use crate::controller::quota::team_quota::EPS;
use crate::controller::scheduler::capacity::{MachineCapacity, ReservedTask};
use crate::controller::scheduler::scheduling_pass::LOWEST_URGENT_RANK;
use crate::peer::Preempt;
use crate::time::Micros;
use std::rc::Rc;

/// How long a request to make room stands.
const PREEMPTION_REQUEST_TTL: Micros = Micros::secs(1);
/// What a second of fetching counts, in seconds of work lost, for a start that
/// it would make late.
const LATE_FETCH_COST: f64 = 8.0;
/// Objectives below this leave no time for saves.
const MIN_OBJECTIVE_WITH_SAVE_S: f64 = 10.0;

impl Controller {
    /// Seconds of work that stopping a task at once would lose, by the time
    /// since it was placed. That is stored and told to all: counted from when
    /// this process first saw it run, a task would look new after every restart.
    pub(crate) fn lost_work_s(&self, placed: Micros, checkpoint_s: f64) -> f64 {
        let ran = self.context.wall().since(placed).as_secs_f64();
        if checkpoint_s > 0.0 { ran % checkpoint_s } else { ran }
    }

    /// Finds a machine on which stopping other tasks makes room for a task of
    /// the job, choosing what loses least work; the machine and which of its
    /// tasks. Only lower priorities give way, or work that another team runs
    /// beyond its guarantee to a team that is within its own (`entitled`).
    pub(crate) fn find_victims(
        &self,
        job: &Job,
        pools: &[usize],
        entitled: bool,
        only: Option<&[usize]>,
        passes: impl Fn(usize, &MachineCapacity) -> bool,
    ) -> Option<(usize, Vec<usize>)> {
        let spec = &job.spec;
        let rank = job.rank();
        let need = [spec.cpus, spec.gpus, spec.memory_gb];
        let beyond: Vec<&str> = self
            .quota
            .teams
            .keys()
            .map(String::as_str)
            .filter(|t| self.scheduler.preemptible_cpus.get(*t).is_some_and(|left| *left > EPS))
            .collect();
        // More urgent work never gives way, or it would take the room back. What a
        // team runs within its guarantee goes before borrowed work in the queue,
        // and yields to it only where that is urgent: else it would be placed
        // first and stopped next, over and over.
        let presses = entitled || rank <= LOWEST_URGENT_RANK;
        let gives = |b: &ReservedTask| {
            let borrows = || beyond.iter().any(|t| *t == b.team);
            let others = entitled && b.rank == rank && b.team != spec.team;
            !b.stopping
                && ((b.rank > rank && (presses || b.team == spec.team || borrows()))
                    || (others && borrows()))
        };
        let too_slow = self.fetch_too_slow(job);
        let mut best: Option<(f64, usize, Vec<usize>)> = None;
        let all =
            self.scheduler.capacity.iter().map(|(id, _, machine_capacity)| (id, machine_capacity));
        let some = only
            .unwrap_or_default()
            .iter()
            .filter_map(|id| Some((*id, self.scheduler.capacity.get(*id)?)));
        let capacity: Box<dyn Iterator<Item = (usize, &MachineCapacity)>> =
            if only.is_some() { Box::new(some) } else { Box::new(all) };
        for (at, machine_capacity) in capacity {
            if !machine_capacity.tasks.iter().any(&gives)
                || !self.scheduler.capacity.among(at, pools)
            {
                continue;
            }
            let mut free = machine_capacity.room();
            let mut cost = if self.scheduler.images.holds(
                self.context.now,
                &spec.image,
                &machine_capacity.machine,
                machine_capacity.incarnation,
            ) {
                0.0
            } else {
                let machine_type =
                    self.scheduler.capacity.pool_of(at).map_or("", |k| &k.machine_type);
                let rate = self
                    .autoscaler
                    .machine_types
                    .get(machine_type)
                    .map_or(1.0, |t| t.fetch_gb_per_s);
                let fetch = spec.image_gb / rate.max(0.01);
                // A start that then waits for its image comes late, but much
                // work thrown away for it costs more.
                spec.cpus * if too_slow { fetch * LATE_FETCH_COST } else { fetch }
            };
            let loss = |b: &ReservedTask| b.amount[0] * self.lost_work_s(b.placed, b.checkpoint_s);
            let mut order: Vec<(f64, u32, usize)> = machine_capacity
                .tasks
                .iter()
                .enumerate()
                .filter(|(_, b)| gives(b))
                .map(|(i, b)| (loss(b), b.rank, i))
                .collect();
            order.sort_by(|x, y| x.0.total_cmp(&y.0).then(y.1.cmp(&x.1)).then(x.2.cmp(&y.2)));
            let mut victims = Vec::new();

            for (loss, _, i) in order {
                if fits(&free, &need) > 0 {
                    break;
                }
                for (f, a) in free.iter_mut().zip(machine_capacity.tasks[i].amount) {
                    *f += a;
                }
                cost += loss + 1.0;
                victims.push(i);
            }
            // For the sake of a fetch no more is thrown away than the fetch takes.
            let worth =
                only.is_none() || cost <= spec.cpus * spec.image_gb / self.least_fetch_rate();
            if worth
                && fits(&free, &need) > 0
                && best.as_ref().is_none_or(|(c, _, _)| cost < *c)
                && passes(at, machine_capacity)
            {
                best = Some((cost, at, victims));
            }
        }
        best.map(|(_, at, victims)| (at, victims))
    }

    pub(crate) fn request_preemption(&mut self, b: &ReservedTask, save: bool, machine: &Rc<str>) {
        log::debug!("task {}/{} makes room", b.job, b.index);
        let p = Preempt { job: b.job.clone(), index: b.index, attempt: b.attempt, save };
        if self.jobs.by_id.contains_key(&p.job) {
            self.preempt_task(&p);
        } else {
            let key = AttemptId { job: p.job.clone(), index: p.index, attempt: p.attempt };
            self.scheduler
                .requested_preemptions
                .insert(key, (self.context.now, Rc::clone(machine)));
            self.changes.preemptions.push(p);
        }
    }

    /// Works out what may be stopped in the coming second for the sake of
    /// guarantees: this node's part of what teams use beyond theirs, and of what
    /// others lack. All nodes stopping the whole of it would stop it several
    /// times over, and then the other way round.
    pub(crate) fn refresh_guarantees(&mut self) {
        if !self.holds_lease() {
            return;
        }
        self.refresh_capacity();
        let nodes = self.leadership.shards.len().max(1) as f64;
        for (team, q) in &self.quota.teams {
            let used = self.scheduler.capacity.usage().get(team).map_or(0.0, |u| u[0]);
            let beyond = (used - q.guarantee[0]).max(0.0);
            let lacks = (q.guarantee[0] - used).max(0.0);
            self.scheduler.preemptible_cpus.insert(team.clone(), beyond / nodes);
            self.scheduler.claimable_cpus.insert(team.clone(), lacks / nodes);
        }
    }

    /// Lets go of requests to make room that nobody has heeded.
    pub(crate) fn expire_preemption_requests(&mut self) {
        let now = self.context.now;
        let mut stale = Vec::new();
        self.scheduler.requested_preemptions.retain(|_, (at, machine)| {
            let stands = now.since(*at) < PREEMPTION_REQUEST_TTL;
            if !stands {
                stale.push(Rc::clone(machine));
            }
            stands
        });
        for machine in stale {
            self.mark_capacity_stale(&machine);
        }
    }

    /// Whether another shard's task was asked to make room a moment ago. Asked
    /// again, it would be counted on twice; and its shard may be out of reach.
    pub(crate) fn preemption_requested(&self, job: &str, index: u32, attempt: u64) -> bool {
        let key = AttemptId { job: job.to_string(), index, attempt };
        self.scheduler
            .requested_preemptions
            .get(&key)
            .is_some_and(|(at, _)| self.context.now.since(*at) < PREEMPTION_REQUEST_TTL)
    }

    fn least_fetch_rate(&self) -> f64 {
        self.autoscaler
            .machine_types
            .values()
            .map(|t| t.fetch_gb_per_s)
            .fold(f64::INFINITY, f64::min)
            .max(0.01)
    }

    /// Whether fetching a job's image takes most of the time within which its
    /// tasks are to start. A holder with room then wins whatever its count: an
    /// exception to the design's slack, which weighs a fetch against a queue.
    pub(crate) fn fetch_too_slow(&self, job: &Job) -> bool {
        let rate = self.least_fetch_rate();
        self.context
            .settings
            .objectives
            .iter()
            .filter(|o| o.kind == "wait" && o.class == job.spec.class)
            .filter_map(|o| o.within_s)
            .any(|within| job.spec.image_gb / rate > within / 2.0)
    }

    /// Whether the objectives of a job's class leave time for the tasks that
    /// make room to save first.
    pub(crate) fn time_to_save(&self, job: &Job) -> bool {
        self.context
            .settings
            .objectives
            .iter()
            .filter(|o| o.class == job.spec.class)
            .filter_map(|o| o.within_s)
            .all(|within| within >= MIN_OBJECTIVE_WITH_SAVE_S)
    }
}
