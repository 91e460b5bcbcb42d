//! The queue of this process's shards, and where its tasks go.

use super::Controller;
use super::desired_state::expected_s;
use super::fleet::fits;
use super::job::Job;
use super::machine::Key;
use super::place;
use super::quota::{Amount, EPS};
use super::slots::{Booked, PoolKey, Slot};
use crate::peer::{Demand, Phase, Preempt};
use crate::time::Micros;
use crate::wire::JobSpec;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Why a job waits for which no machine has room.
const NO_ROOM: &str = "no machine with room";
/// Least time between two passes: what happens meanwhile is dealt with together.
const PASS: Micros = Micros::millis(40);
/// How long room that comes up on a machine is left to its own shard.
const SETTLE: Micros = Micros::millis(250);
/// Placements in one pass.
const PASS_TASKS: usize = 64;
/// Placements that their machines have not reported, at most: so many, or
/// two for each machine, since whole waves of machines come up at once.
const UNOBSERVED_LIMIT: usize = 1_500;
/// The same for low tasks, or one for every two machines: an array of thousands of
/// tiny ones would take the processor from submissions and reports.
const UNOBSERVED_LIMIT_LOW: usize = 750;
/// Searches in one pass for tasks that make room; each walks the fleet.
const PASS_SEARCHES: usize = 8;

/// How long a request to make room stands.
const ASKED: Micros = Micros::secs(1);
/// What a second of fetching counts, in seconds of work lost, for a start that
/// it would make late.
const SLOW_FETCH: f64 = 8.0;
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
/// Up to this rank work goes before large tasks that wait.
const URGENT: u32 = 1;
/// Objectives below this leave no time for saves.
const SHORT_S: f64 = 10.0;

impl Controller {
    /// Own jobs in order of service: teams within their guarantee first, then
    /// priority, deadline and age.
    pub(super) fn queue_order(&self) -> Vec<((bool, u32), String)> {
        let used = self.slots.usage();
        let mut order: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, j)| !j.cancelled && !j.over && !j.waiting && j.pending() > 0)
            .map(|(id, j)| {
                let beyond = !self.within_guarantee(used, &j.spec.team, [j.spec.cpus, j.spec.gpus]);
                (beyond, j.rank(), j.due(), j.ready, id.clone())
            })
            .collect();
        order.sort();
        order.into_iter().map(|(beyond, rank, .., id)| ((beyond, rank), id)).collect()
    }

    fn within_guarantee(&self, used: &BTreeMap<String, Amount>, team: &str, more: Amount) -> bool {
        let Some(quota) = self.quotas.get(team) else {
            return false;
        };
        let used = used.get(team).copied().unwrap_or_default();
        [0, 1].iter().all(|r| more[*r] < EPS || used[*r] + more[*r] <= quota.guarantee[*r] + EPS)
    }

    /// What a shard's tasks of a team use: from write-ahead until known gone.
    pub(super) fn shard_usage(&self, s: usize, team: &str) -> Amount {
        let mut used = [0.0, 0.0];
        for j in self.jobs.values().filter(|j| j.shard == s && j.spec.team == team) {
            let n = f64::from(j.booked());
            used[0] += n * j.spec.cpus;
            used[1] += n * j.spec.gpus;
        }
        used
    }

    /// A machine as placements see it; `None` if nothing may be placed on it.
    fn slot_of(&self, name: &str) -> Option<(PoolKey, Slot)> {
        let v = self.views.get(name)?;
        let h = self.shard_of_machine(name);
        if !v.known
            || !v.healthy
            || !self.commanded[h]
            || v.notice_ms.is_some()
            || v.term != self.shards[h].term
            || self.draining.contains(name)
            || self.terminated.contains(name)
        {
            return None;
        }
        let t = self.types.get(&v.machine_type)?;
        let size = [t.cpus, t.gpus, t.memory_gb];
        let foreign = self.owned_term(h).is_none();
        let mut slot = Slot::new(Rc::from(name), v.session, foreign, size);
        let over = |job: &str, index: u32, attempt: u64| {
            v.tasks.iter().any(|t| {
                t.attempt == attempt && t.index == index && t.job == job && t.seen().over()
            })
        };
        for (s, w) in self.desired.iter().enumerate() {
            if self.has_jobs_of(s) {
                continue;
            }
            let tasks = w.machines.get(name).map_or(&[][..], |m| &m.tasks[..]);
            for t in tasks {
                // Of another session: gone, and its shard will learn of it.
                if t.session != v.session
                    || t.phase() == Phase::Over
                    || over(&t.job, t.index, t.attempt)
                {
                    continue;
                }
                slot.book(Booked {
                    rank: t.rank,
                    team: t.team.clone(),
                    amount: [t.cpus, t.gpus, t.memory_gb],
                    job: t.job.clone(),
                    index: t.index,
                    attempt: t.attempt,
                    stopping: t.stop_ms.is_some()
                        || self.asked_to_make_room(&t.job, t.index, t.attempt),
                    placed: Micros::secs(t.placed_s),
                    checkpoint_s: t.checkpoint_s,
                    expected_s: t.expected_s,
                });
            }
        }
        for s in (0..self.shards.len()).filter(|s| self.has_jobs_of(*s)) {
            let Some(tasks) = self.by_machine.get(&(s, Rc::clone(&slot.machine))) else {
                continue;
            };
            for (id, index) in tasks {
                let Some(j) = self.jobs.get(id) else {
                    continue;
                };
                let part = &j.parts[(*index / j.part_size) as usize];
                let Some(p) = part.placed.get(index).filter(|p| *p.machine == *name) else {
                    continue;
                };
                slot.book(Booked {
                    rank: j.rank(),
                    team: j.spec.team.clone(),
                    amount: [j.spec.cpus, j.spec.gpus, j.spec.memory_gb],
                    job: id.clone(),
                    index: *index,
                    attempt: p.attempt,
                    stopping: p.stop.is_some(),
                    placed: p.at,
                    checkpoint_s: j.spec.checkpoint_s,
                    expected_s: expected_s(j, &self.estimates),
                });
            }
        }
        // Tasks that nobody is known to want take room of unknown size.
        let strange = v.tasks.iter().any(|t| {
            !t.seen().over()
                && !slot
                    .tasks
                    .iter()
                    .any(|b| b.attempt == t.attempt && b.index == t.index && b.job == t.job)
        });
        let key = PoolKey {
            machine_type: Rc::from(v.machine_type.as_str()),
            zone: Rc::from(v.zone.as_str()),
            spot: v.spot,
        };
        (!strange).then_some((key, slot))
    }

    /// Whether a shard's jobs are known here; else the desired state received from it counts.
    fn has_jobs_of(&self, s: usize) -> bool {
        self.shards[s].owned.as_ref().is_some_and(|m| m.loaded)
    }

    /// Notes that a machine has to be looked at before the next placement.
    pub(super) fn touch_slot(&mut self, machine: &str) {
        if !self.dirty_slots.contains(machine) {
            self.dirty_slots.insert(machine.to_string());
        }
    }

    /// Brings the slots up to date: only what has changed is looked at.
    pub(super) fn refresh_slots(&mut self) {
        for h in 0..self.shards.len() {
            let commanded = self.owned_term(h).is_some()
                || self.lease_holder(h).is_some_and(|m| m != self.me && self.peer_alive(m));
            let was = std::mem::replace(&mut self.commanded[h], commanded);
            let state = (self.has_jobs_of(h), self.owned_term(h), self.shards[h].term);
            if was != commanded || self.slots_state.get(&h) != Some(&state) {
                // The shard has changed hands or its holder has fallen silent.
                self.slots_state.insert(h, state);
                let theirs: Vec<String> =
                    self.views.keys().filter(|m| self.shard_of_machine(m) == h).cloned().collect();
                self.dirty_slots.extend(theirs);
                // What it wants is read from another place from now on.
                let wanted: Vec<String> = self.desired[h].machines.keys().cloned().collect();
                self.dirty_slots.extend(wanted);
            }
        }
        for machine in std::mem::take(&mut self.dirty_slots) {
            let mut slot = self.slot_of(&machine);
            if let Some((_, new)) = slot.as_mut().filter(|(_, s)| s.foreign) {
                let old = self.slots.id(&machine).and_then(|id| self.slots.get(id));
                let more = old.is_none_or(|old| new.free[0] > old.free[0] + EPS);
                new.settled = match old {
                    Some(old) if !more => old.settled,
                    _ => self.now + SETTLE,
                };
            }
            self.slots.set(&machine, slot);
        }
    }

    /// One pass over the queue. What is left when its bounds are reached goes
    /// on in the next turn, so that reports and renewals are never starved.
    pub(super) fn place(&mut self) {
        if !self.place_wanted || self.now < self.placed_at + PASS || self.types.is_empty() {
            return;
        }
        self.place_wanted = false;
        self.placed_at = self.now;
        self.refresh_slots();
        let order = self.queue_order();
        if order.is_empty() {
            return;
        }
        let mut theirs: Vec<Demand> = self
            .peers
            .iter()
            .filter(|(n, _)| self.peer_alive(**n))
            .flat_map(|(_, p)| p.demand.iter().cloned())
            .collect();
        // Tasks that no machine has room for, though smaller ones might.
        let ours = self.demand();
        let blocked: Vec<Demand> =
            theirs.iter().chain(&ours).filter(|d| !self.slots.takes(d)).cloned().collect();
        let mut pass = Pass {
            usage: self.slots.usage().clone(),
            shards: BTreeMap::new(),
            blocked,
            failed: Vec::new(),
            left: PASS_TASKS,
            searches: PASS_SEARCHES,
        };
        theirs.sort_by_key(Demand::turn);
        for (turn, id) in order {
            let (_, rank) = turn;
            let full = self.unobserved >= self.unobserved_limit(rank)
                || self.waiting_parts(rank) >= self.part_backlog();
            if full {
                // Those behind it may be more urgent, if beyond their guarantee.
                self.place_wanted = true;
                continue;
            }
            if pass.left == 0 {
                self.place_wanted = true;
                break;
            }
            // What waits at the peers and is more urgent gets its room first:
            // taken by this job, it would only be taken back by preemption.
            // Equals hold nothing for each other, or nobody would move.
            let first = theirs.partition_point(|d| d.turn() < turn);
            for d in theirs.drain(..first) {
                self.slots.hold(&d);
            }
            self.place_job(&id, &mut pass);
        }
        self.slots.release_holds();
    }

    /// Parts with placements that are not stored yet, of jobs that are as urgent: the
    /// others are written after them and hold nothing up.
    fn waiting_parts(&self, rank: u32) -> usize {
        let dirty = self.changes.jobs.iter().filter_map(|id| self.jobs.get(id));
        dirty.filter(|j| j.rank() <= rank).map(Job::fresh_parts).sum()
    }

    /// Counts the placements that their machines have not reported yet.
    /// They wait in a small buffer, too: 25,000 tiny tasks of one user, all placed at
    /// once, took nearly all of the memory at every node.
    pub(super) fn count_unobserved(&mut self) {
        let placed = self.jobs.values().flat_map(|j| &j.parts).flat_map(|p| p.placed.values());
        self.unobserved = placed.filter(|p| p.seen.is_none() && p.stop.is_none()).count();
    }

    /// The more urgent, the more: an array of low tasks that fills its part of the
    /// buffer must not keep urgent ones out.
    fn unobserved_limit(&self, rank: u32) -> usize {
        let machines = self.views.len();
        match rank {
            0..=2 => UNOBSERVED_LIMIT.max(2 * machines) * (4 - rank as usize),
            _ => UNOBSERVED_LIMIT_LOW.max(machines / 2),
        }
    }

    /// Placements wait for writes in a small buffer, about a second's worth: a
    /// later decision knows more.
    fn part_backlog(&self) -> usize {
        let share = self.settings.state.write_rps / self.shards.len().max(1) as f64;
        (share as usize).max(4)
    }

    fn place_job(&mut self, id: &str, pass: &mut Pass) {
        let (now, wall) = (self.now, self.wall());
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let (s, spec) = (job.shard, Rc::clone(&job.spec));
        if !self.runs(s) || job.waiting {
            return;
        }
        if now < job.not_before {
            if let Some(j) = self.jobs.get_mut(id) {
                j.waits = "backed off after failures";
            }
            return;
        }
        let need = [spec.cpus, spec.gpus, spec.memory_gb];
        let grant = self.quotas.get(&spec.team).map_or([0.0, 0.0], |q| q.grant(s));
        let rank = job.rank();
        if self.quota_rank(&spec.team).is_some_and(|urgent| urgent < rank) {
            // Placed now, it would be stopped again for those that lack the
            // grant, and so without end, before the grant can change hands.
            if let Some(j) = self.jobs.get_mut(id) {
                j.waits = "more urgent tasks of the team lack its limit";
            }
            return;
        }
        let key = (s, spec.team.clone());
        let counted = pass.shards.get(&key).copied();
        let mut used = counted.unwrap_or_else(|| self.shard_usage(s, &spec.team));
        let hurried = self.fetch_too_slow(job);
        let slack = if hurried { u32::MAX } else { place::slack(&self.options, spec.image_gb) };
        let pack = !hurried
            && pass.blocked.iter().any(|d| d.cpus > spec.cpus || d.memory_gb > spec.memory_gb);
        let expected = expected_s(job, &self.estimates);
        let barred = pack && rank > URGENT && !self.reserved.is_empty();
        let mut zones = job.zones();
        let save = self.time_to_save(job);
        let pools = self.slots.pools(|k| {
            spec.types.as_ref().is_none_or(|l| l.iter().any(|t| **t == *k.machine_type))
                && (spec.spot || !k.spot)
                && spec.zone.as_deref().is_none_or(|z| z == &*k.zone)
        });
        // Others of the same shape fail for the same reason, unless this job
        // is barred from machines that are open to them.
        let plain = job.avoid.is_empty() && !spec.one_zone && !spec.spread && !barred;
        // Looked up once there is room at all: most jobs of a long queue find none.
        let mut holders: Option<Vec<usize>> = None;
        let reason = loop {
            let Some(job) = self.jobs.get(id) else {
                return;
            };
            let Some(index) = job.first_pending() else {
                break if job.pending() > 0 { "earlier tasks of it first" } else { "starting" };
            };
            if job.open() == 0 {
                break "a trial after failures is under way";
            }
            if (0..2).any(|r| need[r] > 0.0 && used[r] + need[r] > grant[r] + EPS) {
                break "the team's limit";
            }
            if pass.left == 0 || self.unobserved >= self.unobserved_limit(rank) {
                break "the next pass";
            }
            let suits = |m: &Slot| {
                m.settled <= now
                    && (!barred || !self.reserved.contains(&m.machine))
                    && !job.avoid.contains(&m.machine)
                    && !self.lists(&m.machine, id, index)
            };
            let narrow = spec.one_zone || spec.spread;
            let passes = |at: usize, m: &Slot| {
                let zone = || self.slots.pool_of(at).map_or("", |k| &k.zone);
                (!narrow || job.zone_allows(&zones, zone())) && suits(m)
            };
            let known_full = pass.failed.iter().any(|f| f.stops.is_none() && f.covers(&spec));
            let free = if known_full {
                None
            } else if pack {
                self.slots.fullest(&pools, &need, passes)
            } else {
                self.slots.freest(&pools, &need, passes)
            };
            if holders.is_none() && (free.is_some() || hurried) {
                holders = Some(self.holders_of(&spec.image, &pools));
            }
            let holding = holders.as_deref().unwrap_or_default();
            let holder = match free {
                Some(_) if pack => self.slots.tightest(holding.iter(), &pools, &need, passes),
                Some(_) => self.slots.least(holding.iter(), &pools, &need, passes),
                None => None,
            };
            let mut chosen = match (free, holder) {
                (Some(f), Some(h)) => {
                    // Packing, room counts instead of tasks, in tasks of this job.
                    let count = |at: usize| {
                        self.slots.get(at).map_or(0, |s| {
                            if pack { fits(&s.free, &need) } else { s.tasks.len() as u32 }
                        })
                    };
                    Some(if place::holder_wins(count(f), count(h), slack) { h } else { f })
                }
                (free, _) => free,
            };
            if free.is_none() && plain && !known_full {
                pass.failed.push(Failed::new(&spec, None));
            }
            let mut victims = Vec::new();
            let mut claims = false;
            // Nobody with room has the image: a holder on which less urgent
            // tasks make room starts the task sooner.
            let for_image = hurried && holder.is_none() && chosen.is_some();
            if chosen.is_none() || for_image {
                let entitled =
                    self.within_guarantee(&pass.usage, &spec.team, [spec.cpus, spec.gpus]);
                let stops = Some((rank, entitled.then(|| spec.team.clone()), for_image));
                let claimed = entitled && self.may_claim.get(&spec.team).is_none_or(|c| *c <= 0.0);
                let hopeless = pass.searches == 0
                    || claimed
                    || (!entitled && self.slots.below(rank) == 0)
                    || pass.failed.iter().any(|f| f.stops == stops && f.covers(&spec));
                let found = if hopeless {
                    None
                } else {
                    pass.searches -= 1;
                    let only = for_image.then_some(holding);
                    let found = self.make_room(job, &pools, entitled, only, passes);
                    if found.is_none() && plain {
                        pass.failed.push(Failed::new(&spec, stops));
                    }
                    found
                };
                if let Some((at, list)) = found {
                    chosen = Some(at);
                    victims = list;
                    claims = entitled;
                }
            }
            let Some(at) = chosen else {
                break NO_ROOM;
            };
            let Some(slot) = self.slots.get(at) else {
                break NO_ROOM;
            };
            let (machine, session) = (Rc::clone(&slot.machine), slot.session);
            let zone = self.slots.pool_of(at).map(|k| Rc::clone(&k.zone)).unwrap_or_default();
            let hit = self.images.holds(now, &spec.image, &machine, session);
            if !victims.is_empty() {
                let mut stopped = Vec::new();
                self.slots.change(at, |slot| {
                    for i in &victims {
                        let b = &mut slot.tasks[*i];
                        b.stopping = true;
                        for (f, a) in slot.free.iter_mut().zip(b.amount) {
                            *f += a;
                        }
                        stopped.push(b.clone());
                    }
                });
                if claims && let Some(claim) = self.may_claim.get_mut(&spec.team) {
                    *claim -= spec.cpus;
                }
                for b in stopped {
                    if let Some(left) = self.may_give.get_mut(&b.team) {
                        *left -= b.amount[0];
                    }
                    let u = pass.usage.entry(b.team.clone()).or_default();
                    u[0] -= b.amount[0];
                    u[1] -= b.amount[1];
                    self.ask_to_stop(&b, save, &machine);
                }
                // Room of any shape may have come up beside it.
                pass.failed.retain(|f| f.stops.is_some());
            }
            let Some(job) = self.jobs.get_mut(id) else {
                return;
            };
            let Some(attempt) = job.put(wall, index, &machine, session, &zone) else {
                break NO_ROOM;
            };
            let rank = job.rank();
            pass.left -= 1;
            self.unobserved += 1;
            self.counts.placed += 1;
            self.counts.image_hits += u64::from(hit);
            log::debug!("task {id}/{index} attempt {attempt} goes to {machine}");
            if narrow {
                *zones.entry(zone).or_insert(0) += 1;
            }
            used[0] += need[0];
            used[1] += need[1];
            let team = pass.usage.entry(spec.team.clone()).or_default();
            team[0] += need[0];
            team[1] += need[1];
            self.slots.change(at, |slot| {
                slot.book(Booked {
                    rank,
                    team: spec.team.clone(),
                    amount: need,
                    job: id.to_string(),
                    index,
                    attempt,
                    stopping: false,
                    placed: wall,
                    checkpoint_s: spec.checkpoint_s,
                    expected_s: expected,
                });
            });
            if let Some(list) = holders.as_mut().filter(|_| !hit) {
                list.push(at);
            }
            self.images.note(now, &spec.image, &machine, session);
            self.changes.desired.insert((s, Rc::clone(&machine)));
            self.by_machine.entry((s, machine)).or_default().insert((id.to_string(), index));
            self.changes.jobs.insert(id.to_string());
        };
        pass.shards.insert(key, used);
        if let Some(j) = self.jobs.get_mut(id) {
            j.waits = reason;
        }
    }

    /// Machines of some pools that hold an image in their present session.
    fn holders_of(&self, image: &str, pools: &[usize]) -> Vec<usize> {
        self.images
            .holders(self.now, image)
            .filter_map(|(machine, session)| {
                let id = self.slots.id(machine)?;
                let present = self.slots.get(id)?.session == session;
                (present && self.slots.among(id, pools)).then_some(id)
            })
            .collect()
    }

    /// Seconds of work that stopping a task at once would lose, by the time
    /// since it was placed. That is stored and told to all: counted from when
    /// this process first saw it run, a task would look new after every restart.
    pub(super) fn loss(&self, placed: Micros, checkpoint_s: f64) -> f64 {
        let ran = self.wall().since(placed).as_secs_f64();
        if checkpoint_s > 0.0 { ran % checkpoint_s } else { ran }
    }

    /// Finds a machine on which stopping other tasks makes room for a task of
    /// the job, choosing what loses least work; the machine and which of its
    /// tasks. Only lower priorities give way, or work that another team runs
    /// beyond its guarantee to a team that is within its own (`entitled`).
    fn make_room(
        &self,
        job: &Job,
        pools: &[usize],
        entitled: bool,
        only: Option<&[usize]>,
        passes: impl Fn(usize, &Slot) -> bool,
    ) -> Option<(usize, Vec<usize>)> {
        let spec = &job.spec;
        let rank = job.rank();
        let need = [spec.cpus, spec.gpus, spec.memory_gb];
        let beyond: Vec<&str> = self
            .quotas
            .keys()
            .map(String::as_str)
            .filter(|t| self.may_give.get(*t).is_some_and(|left| *left > EPS))
            .collect();
        // More urgent work never gives way, or it would take the room back. What a
        // team runs within its guarantee goes before borrowed work in the queue,
        // and yields to it only where that is urgent: else it would be placed
        // first and stopped next, over and over.
        let presses = entitled || rank <= URGENT;
        let gives = |b: &Booked| {
            let borrows = || beyond.iter().any(|t| *t == b.team);
            let others = entitled && b.rank == rank && b.team != spec.team;
            !b.stopping
                && ((b.rank > rank && (presses || b.team == spec.team || borrows()))
                    || (others && borrows()))
        };
        let too_slow = self.fetch_too_slow(job);
        let mut best: Option<(f64, usize, Vec<usize>)> = None;
        let all = self.slots.iter().map(|(id, _, slot)| (id, slot));
        let some =
            only.unwrap_or_default().iter().filter_map(|id| Some((*id, self.slots.get(*id)?)));
        let slots: Box<dyn Iterator<Item = (usize, &Slot)>> =
            if only.is_some() { Box::new(some) } else { Box::new(all) };
        for (at, slot) in slots {
            if !slot.tasks.iter().any(&gives) || !self.slots.among(at, pools) {
                continue;
            }
            let mut free = slot.room();
            let mut cost = if self.images.holds(self.now, &spec.image, &slot.machine, slot.session)
            {
                0.0
            } else {
                let machine_type = self.slots.pool_of(at).map_or("", |k| &k.machine_type);
                let rate = self.types.get(machine_type).map_or(1.0, |t| t.fetch_gb_per_s);
                let fetch = spec.image_gb / rate.max(0.01);
                // A start that then waits for its image comes late, but much
                // work thrown away for it costs more.
                spec.cpus * if too_slow { fetch * SLOW_FETCH } else { fetch }
            };
            let loss = |b: &Booked| b.amount[0] * self.loss(b.placed, b.checkpoint_s);
            let mut order: Vec<(f64, u32, usize)> = slot
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
                for (f, a) in free.iter_mut().zip(slot.tasks[i].amount) {
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
                && passes(at, slot)
            {
                best = Some((cost, at, victims));
            }
        }
        best.map(|(_, at, victims)| (at, victims))
    }

    fn ask_to_stop(&mut self, b: &Booked, save: bool, machine: &Rc<str>) {
        log::debug!("task {}/{} makes room", b.job, b.index);
        let p = Preempt { job: b.job.clone(), index: b.index, attempt: b.attempt, save };
        if self.jobs.contains_key(&p.job) {
            self.preempt_task(&p);
        } else {
            let key = Key { job: p.job.clone(), index: p.index, attempt: p.attempt };
            self.asked.insert(key, (self.now, Rc::clone(machine)));
            self.changes.preemptions.push(p);
        }
    }

    /// Works out what may be stopped in the coming second for the sake of
    /// guarantees: this node's part of what teams use beyond theirs, and of what
    /// others lack. All nodes stopping the whole of it would stop it several
    /// times over, and then the other way round.
    pub(super) fn refresh_guarantees(&mut self) {
        if !self.acting() {
            return;
        }
        self.refresh_slots();
        let nodes = self.shards.len().max(1) as f64;
        for (team, q) in &self.quotas {
            let used = self.slots.usage().get(team).map_or(0.0, |u| u[0]);
            let beyond = (used - q.guarantee[0]).max(0.0);
            let lacks = (q.guarantee[0] - used).max(0.0);
            self.may_give.insert(team.clone(), beyond / nodes);
            self.may_claim.insert(team.clone(), lacks / nodes);
        }
    }

    /// Seconds within which jobs of a class are to be done.
    fn within_s(&self, class: &str) -> f64 {
        self.settings
            .objectives
            .iter()
            .filter(|o| o.class == class && o.kind == "finished")
            .filter_map(|o| o.within_s)
            .fold(USUAL_S, f64::min)
    }

    /// Raises low work of which nothing has begun for long: behind a queue of
    /// standard work that never empties, a job began after four minutes.
    pub(super) fn raise_starved(&mut self) {
        let wall = self.wall();
        let starved = |j: &&Job| {
            !j.raised
                && !j.cancelled
                && !j.over
                && j.booked() == 0
                && j.done() == 0
                && !j.suspect()
                && !j.waiting
                && wall.since(j.ready).as_secs_f64() > self.within_s(&j.spec.class) * STARVED
        };
        let list: Vec<String> =
            self.jobs.iter().filter(|(_, j)| starved(j)).map(|(id, _)| id.clone()).collect();
        for id in list {
            if let Some(j) = self.jobs.get_mut(&id) {
                j.raised = true;
            }
        }
    }

    /// Keeps machines free of further small tasks where large ones have waited
    /// for long: filled up again task by task, no machine would ever have
    /// room for one that needs it whole. Those are taken that have it soonest.
    pub(super) fn reserve_for_large(&mut self) {
        self.reserved.clear();
        if !self.acting() {
            return;
        }
        let wall = self.wall();
        let mut waiting: Vec<(bool, u32, Rc<JobSpec>)> = Vec::new();
        for j in self.jobs.values().filter(|j| !j.cancelled && !j.over && j.open() > 0) {
            let within = self.within_s(&j.spec.class);
            let waited = wall.since(j.ready).as_secs_f64();
            if waited > SOON_S && j.waits == NO_ROOM {
                waiting.push((waited > within * LATE, j.pending(), Rc::clone(&j.spec)));
            }
        }
        waiting.sort_by(|a, b| b.2.cpus.total_cmp(&a.2.cpus).then(b.0.cmp(&a.0)));
        let ours = self.slots.iter().filter(|(_, _, s)| !s.foreign).count() as f64;
        for (late, tasks, spec) in waiting {
            let large = |s: &Slot| s.tasks.iter().any(|b| b.amount[0] >= spec.cpus);
            let most = if late {
                ours * RESERVED
            } else {
                // Those that large tasks run on already are their share, too.
                let run = self.slots.iter().filter(|(_, _, s)| !s.foreign && large(s)).count();
                ours * SHARE - run as f64
            };
            let left = (most.max(0.0) as usize).saturating_sub(self.reserved.len());
            if left == 0 {
                continue;
            }
            let need = [spec.cpus, spec.gpus, spec.memory_gb];
            let mut soonest: Vec<(f64, Rc<str>)> = self
                .slots
                .iter()
                .filter(|(_, k, s)| {
                    !s.foreign
                        && (spec.spot || !k.spot)
                        && spec
                            .types
                            .as_ref()
                            .is_none_or(|l| l.iter().any(|t| **t == *k.machine_type))
                        && spec.zone.as_deref().is_none_or(|z| z == &*k.zone)
                        && !self.reserved.contains(&s.machine)
                })
                .filter_map(|(_, _, s)| Some((s.room_in(wall, &need)?, Rc::clone(&s.machine))))
                .collect();
            soonest.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            let count = (tasks as usize).min(left);
            self.reserved.extend(soonest.into_iter().take(count).map(|(_, m)| m));
        }
    }

    /// Lets go of requests to make room that nobody has heeded.
    pub(super) fn expire_preemption_requests(&mut self) {
        let now = self.now;
        let mut stale = Vec::new();
        self.asked.retain(|_, (at, machine)| {
            let stands = now.since(*at) < ASKED;
            if !stands {
                stale.push(Rc::clone(machine));
            }
            stands
        });
        for machine in stale {
            self.touch_slot(&machine);
        }
    }

    /// Whether another shard's task was asked to make room a moment ago. Asked
    /// again, it would be counted on twice; and its shard may be out of reach.
    fn asked_to_make_room(&self, job: &str, index: u32, attempt: u64) -> bool {
        let key = Key { job: job.to_string(), index, attempt };
        self.asked.get(&key).is_some_and(|(at, _)| self.now.since(*at) < ASKED)
    }

    fn least_fetch_rate(&self) -> f64 {
        self.types.values().map(|t| t.fetch_gb_per_s).fold(f64::INFINITY, f64::min).max(0.01)
    }

    /// Whether fetching a job's image takes most of the time within which its
    /// tasks are to start. A holder with room then wins whatever its count: an
    /// exception to the design's slack, which weighs a fetch against a queue.
    fn fetch_too_slow(&self, job: &Job) -> bool {
        let rate = self.least_fetch_rate();
        self.settings
            .objectives
            .iter()
            .filter(|o| o.kind == "wait" && o.class == job.spec.class)
            .filter_map(|o| o.within_s)
            .any(|within| job.spec.image_gb / rate > within / 2.0)
    }

    /// Whether the objectives of a job's class leave time for the tasks that
    /// make room to save first.
    fn time_to_save(&self, job: &Job) -> bool {
        self.settings
            .objectives
            .iter()
            .filter(|o| o.class == job.spec.class)
            .filter_map(|o| o.within_s)
            .all(|within| within >= SHORT_S)
    }

    /// Whether a machine still lists an earlier attempt of a task. One that
    /// ended and is kept, since a late command may start it anew, would be
    /// forgotten by a worker that takes another attempt in its place; and then
    /// the late command would start the task a second time.
    fn lists(&self, machine: &str, job: &str, index: u32) -> bool {
        self.views
            .get(machine)
            .is_some_and(|v| v.tasks.iter().any(|t| t.index == index && t.job == job))
    }

    /// Waiting tasks by shape, as far as their teams' limits let them run.
    pub(super) fn demand(&self) -> Vec<Demand> {
        let usage = self.slots.usage();
        let mut room: BTreeMap<&str, Amount> = BTreeMap::new();
        let mut list: Vec<Demand> = Vec::new();
        for ((beyond, rank), id) in self.queue_order() {
            let Some(j) = self.jobs.get(&id).filter(|j| self.now >= j.not_before) else {
                continue;
            };
            let spec = &j.spec;
            let Some(quota) = self.quotas.get(&spec.team) else {
                continue;
            };
            let left = room.entry(&spec.team).or_insert_with(|| {
                let used = usage.get(&spec.team).copied().unwrap_or_default();
                [0, 1].map(|r| (quota.limit[r] - used[r]).max(0.0))
            });
            let can = fits(&[left[0], left[1], f64::INFINITY], &[spec.cpus, spec.gpus, 0.0]);
            let tasks = j.open().min(can);
            if tasks == 0 {
                continue;
            }
            left[0] -= f64::from(tasks) * spec.cpus;
            left[1] -= f64::from(tasks) * spec.gpus;
            let one = Demand {
                tasks,
                cpus: spec.cpus,
                gpus: spec.gpus,
                memory_gb: spec.memory_gb,
                types: spec.types.clone().unwrap_or_default(),
                zone: spec.zone.clone(),
                spot: spec.spot,
                rank,
                beyond,
            };
            match list.iter_mut().find(|d| Demand { tasks, ..(*d).clone() } == one) {
                Some(same) => same.tasks += tasks,
                None => list.push(one),
            }
            if list.len() >= 200 {
                break;
            }
        }
        list
    }

    /// Room that is free on known machines, for the renting shard.
    pub(super) fn free_rooms(&self) -> Vec<super::fleet::Room> {
        self.slots
            .iter()
            .filter(|(_, _, s)| s.free[0] > EPS)
            .map(|(_, key, s)| super::fleet::Room {
                machine_type: Rc::clone(&key.machine_type),
                zone: Rc::clone(&key.zone),
                spot: key.spot,
                free: s.free,
            })
            .collect()
    }
}

/// What a pass over the queue has found out so far.
struct Pass {
    /// What teams use, with what this pass has placed.
    usage: BTreeMap<String, Amount>,
    /// What own shards use of teams' limits, likewise.
    shards: BTreeMap<(usize, String), Amount>,
    /// Waiting tasks that no machine has room for.
    blocked: Vec<Demand>,
    /// Shapes that found no room.
    failed: Vec<Failed>,
    /// Placements that may still be made.
    left: usize,
    /// Searches for tasks that make room that may still be made.
    searches: usize,
}

/// A shape that found no room, so that others like it need not look again.
struct Failed {
    spec: Rc<JobSpec>,
    /// Rank, team if within its guarantee, and whether only holders of the
    /// image were looked at, where tasks were to make room; `None` for free room.
    stops: Option<(u32, Option<String>, bool)>,
}

impl Failed {
    fn new(spec: &Rc<JobSpec>, stops: Option<(u32, Option<String>, bool)>) -> Failed {
        Failed { spec: Rc::clone(spec), stops }
    }

    /// Whether a job that needs at least as much, of the same machines, must
    /// fail too.
    fn covers(&self, spec: &JobSpec) -> bool {
        let f = &self.spec;
        f.cpus <= spec.cpus
            && f.gpus <= spec.gpus
            && f.memory_gb <= spec.memory_gb
            && f.types == spec.types
            && f.zone == spec.zone
            && f.spot == spec.spot
            && (self.stops.as_ref().is_none_or(|(_, _, image)| !image) || f.image == spec.image)
    }
}
