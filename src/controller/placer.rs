//! The queue of this process's shards, and where its tasks go.

use super::Controller;
use super::desired_state::expected_s;
use super::fleet::fits;
use super::job::Job;
use super::place;
use super::quota::{Amount, EPS};
use super::slots::{Booked, Slot};
use crate::peer::Demand;
use crate::time::Micros;
use crate::wire::JobSpec;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Why a job waits for which no machine has room.
pub(super) const NO_ROOM: &str = "no machine with room";
/// Least time between two passes: what happens meanwhile is dealt with together.
const PASS: Micros = Micros::millis(40);
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

/// Up to this rank work goes before large tasks that wait.
pub(super) const URGENT: u32 = 1;

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
        self.unobserved = placed.filter(|p| p.observed.is_none() && p.stop.is_none()).count();
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

    /// Whether a machine still lists an earlier attempt of a task. One that
    /// ended and is kept, since a late command may start it anew, would be
    /// forgotten by a worker that takes another attempt in its place; and then
    /// the late command would start the task a second time.
    fn lists(&self, machine: &str, job: &str, index: u32) -> bool {
        self.views
            .get(machine)
            .is_some_and(|v| v.tasks.iter().any(|t| t.index == index && t.job == job))
    }
}

/// What a pass over the queue has found out so far.
pub(super) struct Pass {
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
pub(super) struct Failed {
    spec: Rc<JobSpec>,
    /// Rank, team if within its guarantee, and whether only holders of the
    /// image were looked at, where tasks were to make room; `None` for free room.
    stops: Option<(u32, Option<String>, bool)>,
}

impl Failed {
    pub(super) fn new(spec: &Rc<JobSpec>, stops: Option<(u32, Option<String>, bool)>) -> Failed {
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
