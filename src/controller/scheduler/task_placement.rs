//! Where the tasks of one job go in a pass over the queue.
//!
//! The ordinary path is the design's: of the machines that pass every filter the freest,
//! or a holder of the image that is not much busier. Where none has room, less urgent
//! tasks are stopped to make some.

use crate::controller::Controller;
use crate::controller::autoscaler::planning::fits;
use crate::controller::jobs::job::Job;
use crate::controller::machines::desired_state::own_shards::expected_s;
use crate::controller::quota::team_quota::{Amount, EPS};
use crate::controller::scheduler::capacity::{MachineCapacity, ReservedTask};
use crate::controller::scheduler::image_locality;
use crate::controller::scheduler::scheduling_pass::{
    Failed, LOWEST_URGENT_RANK, NO_CAPACITY, Pass, PreemptionSearch,
};
use crate::wire::JobSpec;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A job whose tasks are being placed.
struct JobPlacement {
    id: String,
    shard: usize,
    spec: Rc<JobSpec>,
    /// CPUs, GPUs and memory of a task.
    need: [f64; 3],
    rank: u32,
    /// What the shard may use of the team's limit, and what it uses.
    grant: Amount,
    used: Amount,
    /// How many tasks a holder of the image may be ahead of the freest machine.
    slack: u32,
    /// Fetching its image would take most of the time within which it is to start.
    latency_critical: bool,
    /// A larger task waits: the fullest machine is taken instead of the freest.
    pack: bool,
    /// It must leave reserved machines alone.
    excluded_from_held_machines: bool,
    /// Others of its shape fail for the same reason.
    plain: bool,
    /// Tasks that make room have the time to save.
    save: bool,
    expected_s: f64,
    /// Pools of machines that pass its filters.
    pools: Vec<usize>,
    /// Its tasks by zone, where these are restricted.
    zones: BTreeMap<Rc<str>, u32>,
    /// Machines that hold its image, looked up once there is room at all: most jobs of
    /// a long queue find none.
    cached_machines: Option<Vec<usize>>,
}

impl JobPlacement {
    /// Whether its tasks are bound to zones by each other.
    fn zones_restricted(&self) -> bool {
        self.spec.one_zone || self.spec.spread
    }

    /// Whether one more task passes the shard's grant.
    fn beyond_grant(&self) -> bool {
        (0..2).any(|r| self.need[r] > 0.0 && self.used[r] + self.need[r] > self.grant[r] + EPS)
    }

    fn cached_machines(&self) -> &[usize] {
        self.cached_machines.as_deref().unwrap_or_default()
    }
}

/// The machine that was chosen for a task.
struct Choice {
    at: usize,
    /// Its tasks that make room.
    victims: Vec<usize>,
    /// They do so for the team's guarantee.
    claims: bool,
}

impl Controller {
    /// Places tasks of a job until none is left, or none can be placed now.
    pub(crate) fn place_job(&mut self, id: &str, pass: &mut Pass) {
        let Some(job) = self.jobs.by_id.get(id) else {
            return;
        };
        if !self.serves_shard(job.shard) || job.waiting {
            return;
        }
        let reason = match self.placement_barrier(job) {
            Some(reason) => reason,
            None => {
                let mut placement = self.begin_placement(id, job, pass);
                let reason = loop {
                    if let Err(reason) = self.place_next_task(&mut placement, pass) {
                        break reason;
                    }
                };
                let key = (placement.shard, placement.spec.team.clone());
                pass.shards.insert(key, placement.used);
                reason
            }
        };
        if let Some(job) = self.jobs.by_id.get_mut(id) {
            job.pending_reason = reason;
        }
    }

    /// Why nothing of a job may be placed now, wherever there is room.
    fn placement_barrier(&self, job: &Job) -> Option<&'static str> {
        if self.context.now < job.not_before {
            return Some("backed off after failures");
        }
        // Placed now, it would be stopped again for those that lack the grant, and so
        // without end, before the grant can change hands.
        let others_first = |urgent: u32| urgent < job.rank();
        self.quota_rank(&job.spec.team)
            .is_some_and(others_first)
            .then_some("more urgent tasks of the team lack its limit")
    }

    fn begin_placement(&self, id: &str, job: &Job, pass: &Pass) -> JobPlacement {
        let spec = Rc::clone(&job.spec);
        let shard = job.shard;
        let rank = job.rank();
        let counted = pass.shards.get(&(shard, spec.team.clone())).copied();
        let latency_critical = self.fetch_too_slow(job);
        let larger_waits =
            pass.blocked.iter().any(|d| d.cpus > spec.cpus || d.memory_gb > spec.memory_gb);
        let pack = !latency_critical && larger_waits;
        let excluded_from_held_machines =
            pack && rank > LOWEST_URGENT_RANK && !self.scheduler.held_for_large_tasks.is_empty();
        let pools = self.scheduler.capacity.pools(|k| {
            spec.types.as_ref().is_none_or(|l| l.iter().any(|t| **t == *k.machine_type))
                && (spec.spot || !k.spot)
                && spec.zone.as_deref().is_none_or(|z| z == &*k.zone)
        });
        JobPlacement {
            id: id.to_string(),
            shard,
            need: [spec.cpus, spec.gpus, spec.memory_gb],
            rank,
            grant: self.quota.teams.get(&spec.team).map_or([0.0, 0.0], |q| q.grant(shard)),
            used: counted.unwrap_or_else(|| self.shard_usage(shard, &spec.team)),
            slack: if latency_critical {
                u32::MAX
            } else {
                image_locality::slack(&self.context.options, spec.image_gb)
            },
            latency_critical,
            pack,
            excluded_from_held_machines,
            plain: job.avoid.is_empty()
                && !spec.one_zone
                && !spec.spread
                && !excluded_from_held_machines,
            save: self.time_to_save(job),
            expected_s: expected_s(job, &self.scheduler.estimates),
            pools,
            zones: job.zones(),
            cached_machines: None,
            spec,
        }
    }

    /// Places the next task of a job, or says why none is placed.
    fn place_next_task(
        &mut self,
        placement: &mut JobPlacement,
        pass: &mut Pass,
    ) -> Result<(), &'static str> {
        let job = self.jobs.by_id.get(&placement.id).ok_or(NO_CAPACITY)?;
        let index = self.next_task(job, placement, pass)?;
        let choice = self.choose_machine(job, index, placement, pass).ok_or(NO_CAPACITY)?;
        self.stop_victims(&choice, placement, pass);
        self.book_task(index, choice.at, placement, pass).ok_or(NO_CAPACITY)
    }

    /// The number of the next task to be placed.
    fn next_task(
        &self,
        job: &Job,
        placement: &JobPlacement,
        pass: &Pass,
    ) -> Result<u32, &'static str> {
        let Some(index) = job.first_pending() else {
            return Err(if job.pending() > 0 { "earlier tasks of it first" } else { "starting" });
        };
        if job.open() == 0 {
            return Err("a trial after failures is under way");
        }
        if placement.beyond_grant() {
            return Err("the team's limit");
        }
        if pass.left == 0 || self.scheduler.unobserved >= self.unobserved_limit(placement.rank) {
            return Err("the next pass");
        }
        Ok(index)
    }

    /// Whether a machine passes the filters that depend on the task and on the moment.
    fn suits(
        &self,
        job: &Job,
        index: u32,
        placement: &JobPlacement,
        at: usize,
        machine_capacity: &MachineCapacity,
    ) -> bool {
        let zone = || self.scheduler.capacity.pool_of(at).map_or("", |k| &k.zone);
        (!placement.zones_restricted() || job.zone_allows(&placement.zones, zone()))
            && machine_capacity.yielded_until <= self.context.now
            && (!placement.excluded_from_held_machines
                || !self.scheduler.held_for_large_tasks.contains(&machine_capacity.machine))
            && !job.avoid.contains(&machine_capacity.machine)
            && !self.lists(&machine_capacity.machine, &placement.id, index)
    }

    /// Chooses a machine for a task: one with room, or else one on which less urgent
    /// tasks make some.
    fn choose_machine(
        &self,
        job: &Job,
        index: u32,
        placement: &mut JobPlacement,
        pass: &mut Pass,
    ) -> Option<Choice> {
        let known_full = pass.known_full(&placement.spec);
        let free = match known_full {
            true => None,
            false => self.free_machine(job, index, placement),
        };
        if placement.cached_machines.is_none() && (free.is_some() || placement.latency_critical) {
            let cached_machines =
                self.find_cached_machines(&placement.spec.image, &placement.pools);
            placement.cached_machines = Some(cached_machines);
        }
        let cached = free.and_then(|_| self.free_cached_machine(job, index, placement));
        let chosen = free.map(|free| self.prefer_cached_machine(placement, free, cached));
        if free.is_none() && placement.plain && !known_full {
            pass.failed.push(Failed::new(&placement.spec, None));
        }
        // Nobody with room has the image: a holder on which less urgent tasks make
        // room starts the task sooner.
        let for_image = placement.latency_critical && cached.is_none() && chosen.is_some();
        if (chosen.is_none() || for_image)
            && let Some(choice) = self.search_preemption(job, index, placement, for_image, pass)
        {
            return Some(choice);
        }
        chosen.map(|at| Choice { at, victims: Vec::new(), claims: false })
    }

    /// The freest machine that has room, or the fullest where a larger task waits.
    fn free_machine(&self, job: &Job, index: u32, placement: &JobPlacement) -> Option<usize> {
        let (pools, need) = (&placement.pools, &placement.need);
        let passes = |at: usize, machine_capacity: &MachineCapacity| {
            self.suits(job, index, placement, at, machine_capacity)
        };
        match placement.pack {
            true => self.scheduler.capacity.best_fit(pools, need, passes),
            false => self.scheduler.capacity.least_loaded(pools, need, passes),
        }
    }

    /// The same among the cached_machines of the image.
    fn free_cached_machine(
        &self,
        job: &Job,
        index: u32,
        placement: &JobPlacement,
    ) -> Option<usize> {
        let (pools, need) = (&placement.pools, &placement.need);
        let passes = |at: usize, machine_capacity: &MachineCapacity| {
            self.suits(job, index, placement, at, machine_capacity)
        };
        let cached_machines = placement.cached_machines().iter();
        match placement.pack {
            true => self.scheduler.capacity.best_fit_among(cached_machines, pools, need, passes),
            false => {
                self.scheduler.capacity.least_loaded_among(cached_machines, pools, need, passes)
            }
        }
    }

    /// The holder of the image, if it wins over the machine chosen without regard to it.
    fn prefer_cached_machine(
        &self,
        placement: &JobPlacement,
        free: usize,
        cached: Option<usize>,
    ) -> usize {
        let Some(cached) = cached else {
            return free;
        };
        // Packing, room counts instead of tasks, in tasks of this job.
        let count = |at: usize| match self.scheduler.capacity.get(at) {
            Some(machine_capacity) if placement.pack => {
                fits(&machine_capacity.free, &placement.need)
            }
            Some(machine_capacity) => machine_capacity.tasks.len() as u32,
            None => 0,
        };
        match image_locality::cached_machine_wins(count(free), count(cached), placement.slack) {
            true => cached,
            false => free,
        }
    }

    /// Looks for a machine on which less urgent tasks make room; for the sake of the
    /// image only among its cached_machines.
    fn search_preemption(
        &self,
        job: &Job,
        index: u32,
        placement: &JobPlacement,
        for_image: bool,
        pass: &mut Pass,
    ) -> Option<Choice> {
        let spec = &placement.spec;
        let entitled = self.within_guarantee(&pass.usage, &spec.team, [spec.cpus, spec.gpus]);
        let search = PreemptionSearch {
            rank: placement.rank,
            guaranteed: entitled.then(|| spec.team.clone()),
            for_image,
        };
        let claimed =
            entitled && self.scheduler.claimable_cpus.get(&spec.team).is_none_or(|c| *c <= 0.0);
        let hopeless = pass.searches == 0
            || claimed
            || (!entitled && self.scheduler.capacity.below(placement.rank) == 0)
            || pass.search_failed(&search, spec);
        if hopeless {
            return None;
        }
        pass.searches -= 1;
        let passes = |at: usize, machine_capacity: &MachineCapacity| {
            self.suits(job, index, placement, at, machine_capacity)
        };
        let only = for_image.then_some(placement.cached_machines());
        let found = self.find_victims(job, &placement.pools, entitled, only, passes);
        if found.is_none() && placement.plain {
            pass.failed.push(Failed::new(spec, Some(search)));
        }
        found.map(|(at, victims)| Choice { at, victims, claims: entitled })
    }

    /// Asks the tasks that make room to stop, and counts their room as free.
    fn stop_victims(&mut self, choice: &Choice, placement: &JobPlacement, pass: &mut Pass) {
        if choice.victims.is_empty() {
            return;
        }
        let mut stopped = Vec::new();
        self.scheduler.capacity.change(choice.at, |machine_capacity| {
            for i in &choice.victims {
                let victim = &mut machine_capacity.tasks[*i];
                victim.stopping = true;
                for (free, amount) in machine_capacity.free.iter_mut().zip(victim.amount) {
                    *free += amount;
                }
                stopped.push((Rc::clone(&machine_capacity.machine), victim.clone()));
            }
        });
        let team = &placement.spec.team;
        if choice.claims
            && let Some(claim) = self.scheduler.claimable_cpus.get_mut(team)
        {
            *claim -= placement.spec.cpus;
        }
        for (machine, victim) in stopped {
            if let Some(left) = self.scheduler.preemptible_cpus.get_mut(&victim.team) {
                *left -= victim.amount[0];
            }
            let usage = pass.usage.entry(victim.team.clone()).or_default();
            usage[0] -= victim.amount[0];
            usage[1] -= victim.amount[1];
            self.request_preemption(&victim, placement.save, &machine);
        }
        // Room of any shape may have come up beside it.
        pass.failed.retain(|f| f.search.is_some());
    }

    /// Puts a task on a machine: in memory, to be written down before it is started.
    fn book_task(
        &mut self,
        index: u32,
        at: usize,
        placement: &mut JobPlacement,
        pass: &mut Pass,
    ) -> Option<()> {
        let (now, wall) = (self.context.now, self.context.wall());
        let machine_capacity = self.scheduler.capacity.get(at)?;
        let (machine, incarnation) =
            (Rc::clone(&machine_capacity.machine), machine_capacity.incarnation);
        let zone =
            self.scheduler.capacity.pool_of(at).map(|k| Rc::clone(&k.zone)).unwrap_or_default();
        let spec = &placement.spec;
        let hit = self.scheduler.images.holds(now, &spec.image, &machine, incarnation);
        let job = self.jobs.by_id.get_mut(&placement.id)?;
        let attempt = job.put(wall, index, &machine, incarnation, &zone)?;
        let reserved_tasks = ReservedTask {
            rank: job.rank(),
            team: spec.team.clone(),
            amount: placement.need,
            job: placement.id.clone(),
            index,
            attempt,
            stopping: false,
            placed: wall,
            checkpoint_s: spec.checkpoint_s,
            expected_s: placement.expected_s,
        };
        log::debug!("task {}/{index} attempt {attempt} goes to {machine}", placement.id);
        self.scheduler
            .capacity
            .change(at, |machine_capacity| machine_capacity.reserve(reserved_tasks));
        self.scheduler.unobserved += 1;
        self.counts.placed += 1;
        self.counts.image_hits += u64::from(hit);
        self.scheduler.images.note(now, &spec.image, &machine, incarnation);
        pass.left -= 1;
        let team = pass.usage.entry(spec.team.clone()).or_default();
        for ((team, used), need) in team.iter_mut().zip(&mut placement.used).zip(placement.need) {
            *team += need;
            *used += need;
        }
        if placement.zones_restricted() {
            *placement.zones.entry(zone).or_insert(0) += 1;
        }
        if let Some(cached_machines) = placement.cached_machines.as_mut().filter(|_| !hit) {
            cached_machines.push(at);
        }
        self.changes.desired.insert((placement.shard, Rc::clone(&machine)));
        let tasks = self.jobs.tasks_by_machine.entry((placement.shard, machine)).or_default();
        tasks.insert((placement.id.clone(), index));
        self.changes.jobs.insert(placement.id.clone());
        Some(())
    }

    /// Machines of some pools that hold an image in their present session.
    fn find_cached_machines(&self, image: &str, pools: &[usize]) -> Vec<usize> {
        self.scheduler
            .images
            .machines_with(self.context.now, image)
            .filter_map(|(machine, incarnation)| {
                let id = self.scheduler.capacity.id(machine)?;
                let present = self.scheduler.capacity.get(id)?.incarnation == incarnation;
                (present && self.scheduler.capacity.among(id, pools)).then_some(id)
            })
            .collect()
    }

    /// Whether a machine still lists an earlier attempt of a task. One that
    /// ended and is kept, since a late command may start it anew, would be
    /// forgotten by a worker that takes another attempt in its place; and then
    /// the late command would start the task a second time.
    fn lists(&self, machine: &str, job: &str, index: u32) -> bool {
        self.machines
            .views
            .get(machine)
            .is_some_and(|v| v.tasks.iter().any(|t| t.index == index && t.job == job))
    }
}
