//! The queue of this process's seats, and where its tasks go.

use super::Controller;
use super::fleet::fits;
use super::job::Job;
use super::machine::Key;
use super::place::{self, Candidate};
use super::quota::{Amount, EPS};
use crate::peer::{Demand, Preempt, Seen, SeenTask};
use crate::time::Micros;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Least time between two passes: what happens meanwhile is dealt with together.
const PASS: Micros = Micros::millis(20);

/// How long a request to make room stands.
const ASKED: Micros = Micros::secs(1);
/// Objectives below this leave no time for saves.
const SHORT_S: f64 = 10.0;

/// A task booked on a machine.
#[derive(Debug, Clone)]
struct Booked {
    rank: u32,
    team: String,
    amount: [f64; 3],
    task: SeenTask,
    stopping: bool,
    /// CPU seconds of work that stopping it at once would lose.
    loss: f64,
}

/// A machine as a pass sees it.
#[derive(Debug, Clone)]
struct Slot {
    machine: String,
    machine_type: String,
    zone: String,
    spot: bool,
    session: u64,
    free: [f64; 3],
    tasks: Vec<Booked>,
    /// Tasks that are to make room for the one being placed.
    victims: Vec<Booked>,
}

impl Controller {
    /// Own jobs in order of service: teams within their guarantee first, then
    /// priority, deadline and age.
    pub(super) fn queue_order(&self) -> Vec<String> {
        let used = self.team_usage();
        let mut order: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, j)| !j.cancelled && !j.over && j.pending() > 0)
            .map(|(id, j)| {
                let beyond =
                    !self.within_guarantee(&used, &j.spec.team, [j.spec.cpus, j.spec.gpus]);
                (beyond, j.rank(), j.due(), j.accepted, id.clone())
            })
            .collect();
        order.sort();
        order.into_iter().map(|(.., id)| id).collect()
    }

    fn within_guarantee(&self, used: &BTreeMap<String, Amount>, team: &str, more: Amount) -> bool {
        let Some(quota) = self.quotas.get(team) else {
            return false;
        };
        let used = used.get(team).copied().unwrap_or_default();
        [0, 1].iter().all(|r| more[*r] < EPS || used[*r] + more[*r] <= quota.guarantee[*r] + EPS)
    }

    /// What each team's tasks of all seats use, as far as heard.
    fn team_usage(&self) -> BTreeMap<String, Amount> {
        let mut used: BTreeMap<String, Amount> = BTreeMap::new();
        for (s, w) in self.wants.iter().enumerate() {
            if self.seats[s].mine.is_some() {
                continue;
            }
            for t in w.machines.values().flat_map(|(_, tasks)| tasks) {
                let u = used.entry(t.team.clone()).or_default();
                u[0] += t.cpus;
                u[1] += t.gpus;
            }
        }
        for j in self.jobs.values() {
            let n = f64::from(j.booked());
            let u = used.entry(j.spec.team.clone()).or_default();
            u[0] += n * j.spec.cpus;
            u[1] += n * j.spec.gpus;
        }
        used
    }

    /// What a seat's tasks of a team use: from write-ahead until known gone.
    pub(super) fn seat_usage(&self, s: usize, team: &str) -> Amount {
        let mut used = [0.0, 0.0];
        for j in self.jobs.values().filter(|j| j.seat == s && j.spec.team == team) {
            let n = f64::from(j.booked());
            used[0] += n * j.spec.cpus;
            used[1] += n * j.spec.gpus;
        }
        used
    }

    fn slots(&self) -> Vec<Slot> {
        let mut slots = Vec::new();
        for (name, v) in &self.views {
            let h = self.seat_of_machine(name);
            let commanded = self.my_term(h).is_some()
                || self.holder(h).is_some_and(|m| m != self.me && self.peer_alive(m));
            if !v.known
                || !v.healthy
                || !commanded
                || v.notice_ms.is_some()
                || v.term != self.seats[h].term
                || self.draining.contains(name)
                || self.gone.contains(name)
            {
                continue;
            }
            let Some(t) = self.types.get(&v.machine_type) else {
                continue;
            };
            let mut slot = Slot {
                machine: name.clone(),
                machine_type: v.machine_type.clone(),
                zone: v.zone.clone(),
                spot: v.spot,
                session: v.session,
                free: [t.cpus, t.gpus, t.memory_gb],
                tasks: Vec::new(),
                victims: Vec::new(),
            };
            let over = |job: &str, index: u32, attempt: u64| {
                v.tasks.iter().any(|t| {
                    t.attempt == attempt && t.index == index && t.job == job && t.seen().over()
                })
            };
            for (s, w) in self.wants.iter().enumerate() {
                if self.seats[s].mine.is_some() {
                    continue;
                }
                let tasks = w.machines.get(name).map_or(&[][..], |(_, tasks)| tasks);
                for t in tasks {
                    // Of another session: gone, and its seat will hear of it.
                    if t.session != v.session || over(&t.job, t.index, t.attempt) {
                        continue;
                    }
                    slot.book(Booked {
                        rank: t.rank,
                        team: t.team.clone(),
                        amount: [t.cpus, t.gpus, t.memory_gb],
                        task: SeenTask {
                            job: t.job.clone(),
                            index: t.index,
                            attempt: t.attempt,
                            seen: Seen::Running as i32,
                        },
                        stopping: t.stop_ms.is_some() || self.was_asked(&t.job, t.index, t.attempt),
                        loss: t.cpus * self.loss(Micros::secs(t.placed_s), t.checkpoint_s),
                    });
                }
            }
            for s in 0..self.seats.len() {
                let Some(tasks) = self.by_machine.get(&(s, Rc::from(name.as_str()))) else {
                    continue;
                };
                for (id, index) in tasks {
                    let Some(j) = self.jobs.get(id) else {
                        continue;
                    };
                    let part = &j.parts[(*index / j.part_size) as usize];
                    let Some(p) = part.placed.get(index).filter(|p| *p.machine == **name) else {
                        continue;
                    };
                    slot.book(Booked {
                        rank: j.rank(),
                        team: j.spec.team.clone(),
                        amount: [j.spec.cpus, j.spec.gpus, j.spec.memory_gb],
                        task: SeenTask {
                            job: id.clone(),
                            index: *index,
                            attempt: p.attempt,
                            seen: Seen::Running as i32,
                        },
                        stopping: p.stop.is_some(),
                        loss: j.spec.cpus * self.loss(p.at, j.spec.checkpoint_s),
                    });
                }
            }
            // Tasks that nobody is known to want take room of unknown size.
            let strange = v.tasks.iter().any(|t| {
                !t.seen().over()
                    && !slot.tasks.iter().any(|b| {
                        b.task.attempt == t.attempt
                            && b.task.index == t.index
                            && b.task.job == t.job
                    })
            });
            if !strange {
                slots.push(slot);
            }
        }
        slots
    }

    /// One pass over the queue.
    pub(super) fn place(&mut self) {
        if !self.place_wanted || self.now < self.placed_at + PASS || self.types.is_empty() {
            return;
        }
        self.place_wanted = false;
        self.placed_at = self.now;
        let order = self.queue_order();
        if order.is_empty() {
            return;
        }
        let mut slots = self.slots();
        let mut usage = self.team_usage();
        let mut theirs: Vec<Demand> = self
            .peers
            .iter()
            .filter(|(n, _)| self.peer_alive(**n))
            .flat_map(|(_, p)| p.demand.iter().cloned())
            .collect();
        // Tasks that no machine has room for, though smaller ones might.
        let ours = self.demand();
        let blocked: Vec<Demand> = theirs
            .iter()
            .chain(&ours)
            .filter(|d| !slots.iter().any(|m| m.takes(d) > 0))
            .cloned()
            .collect();
        for id in order {
            let Some(rank) = self.jobs.get(&id).map(Job::rank) else {
                continue;
            };
            // What waits at the peers and is more urgent gets its room first:
            // taken by this job, it would only be taken back by preemption.
            theirs.retain(|d| {
                let first = d.rank < rank;
                if first {
                    hold_room(&mut slots, d);
                }
                !first
            });
            self.place_job(&id, &mut slots, &mut usage, &blocked);
        }
    }

    fn place_job(
        &mut self,
        id: &str,
        slots: &mut [Slot],
        usage: &mut BTreeMap<String, Amount>,
        blocked: &[Demand],
    ) {
        let (now, wall) = (self.now, self.wall());
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let (s, spec) = (job.seat, Rc::clone(&job.spec));
        if !self.runs(s) {
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
        let mut used = self.seat_usage(s, &spec.team);
        let hurried = self.fetch_too_slow(job);
        let slack = if hurried { u32::MAX } else { place::slack(&self.options, spec.image_gb) };
        let pack =
            !hurried && blocked.iter().any(|d| d.cpus > spec.cpus || d.memory_gb > spec.memory_gb);
        let mut zones = job.zones();
        let save = self.time_to_save(job);
        let reason = loop {
            let Some(job) = self.jobs.get(id) else {
                return;
            };
            let Some(index) = job.first_pending() else {
                break "starting";
            };
            if (0..2).any(|r| need[r] > 0.0 && used[r] + need[r] > grant[r] + EPS) {
                break "the team's limit";
            }
            let candidates: Vec<Candidate<'_>> = slots
                .iter()
                .filter(|m| {
                    self.suits(job, &zones, m)
                        && fits(&m.free, &need) > 0
                        && !self.lists(&m.machine, id, index)
                })
                .map(|m| Candidate {
                    machine: &m.machine,
                    booked: m.tasks.len() as u32,
                    free_cpus: m.free[0],
                    holds_image: self.images.holds(now, &spec.image, &m.machine, m.session),
                })
                .collect();
            let holder = candidates.iter().any(|c| c.holds_image);
            let mut chosen = place::choose(&candidates, slack, pack).map(String::from);
            if hurried && !holder && chosen.is_some() {
                // Nobody with room has the image: a holder on which less urgent
                // tasks make room starts the task sooner.
                let found = self.make_room(job, index, &zones, slots, usage, true);
                chosen = found.map(|at| slots[at].machine.clone()).or(chosen);
            }
            let at = match chosen.as_deref() {
                Some(chosen) => slots.iter().position(|m| m.machine == chosen),
                None => self.make_room(job, index, &zones, slots, usage, false),
            };
            let Some(at) = at else {
                break "no machine with room";
            };
            let slot = &slots[at];
            let hit = self.images.holds(now, &spec.image, &slot.machine, slot.session);
            for b in std::mem::take(&mut slots[at].victims) {
                self.ask_to_stop(&b, save);
            }
            let slot = &mut slots[at];
            let Some(job) = self.jobs.get_mut(id) else {
                return;
            };
            let Some(attempt) = job.put(wall, index, &slot.machine, slot.session, &slot.zone)
            else {
                break "no machine with room";
            };
            self.counts.placed += 1;
            self.counts.image_hits += u64::from(hit);
            log::debug!("task {id}/{index} attempt {attempt} goes to {}", slot.machine);
            *zones.entry(Rc::from(slot.zone.as_str())).or_insert(0) += 1;
            used[0] += need[0];
            used[1] += need[1];
            let team = usage.entry(spec.team.clone()).or_default();
            team[0] += need[0];
            team[1] += need[1];
            slot.book(Booked {
                rank: job.rank(),
                team: spec.team.clone(),
                amount: need,
                task: SeenTask { job: id.to_string(), index, attempt, seen: Seen::Sent as i32 },
                stopping: false,
                loss: 0.0,
            });
            self.images.note(now, &spec.image, &slot.machine, slot.session);
            self.by_machine
                .entry((s, Rc::from(slot.machine.as_str())))
                .or_default()
                .insert((id.to_string(), index));
            self.dirty_jobs.insert(id.to_string());
        };
        if let Some(j) = self.jobs.get_mut(id) {
            j.waits = reason;
        }
    }

    /// Seconds of work that stopping a task at once would lose, by the time
    /// since it was placed. That is stored and told to all: counted from when
    /// this process first saw it run, a task would look new after every restart.
    pub(super) fn loss(&self, placed: Micros, checkpoint_s: f64) -> f64 {
        let ran = self.wall().since(placed).as_secs_f64();
        if checkpoint_s > 0.0 { ran % checkpoint_s } else { ran }
    }

    /// Finds a machine on which stopping other tasks makes room for a task of
    /// the job, choosing what loses least work. Only lower priorities give
    /// way, or work that another team runs beyond its guarantee to a team
    /// that is within its own.
    fn make_room(
        &self,
        job: &Job,
        index: u32,
        zones: &BTreeMap<Rc<str>, u32>,
        slots: &mut [Slot],
        usage: &mut BTreeMap<String, Amount>,
        holders: bool,
    ) -> Option<usize> {
        let spec = &job.spec;
        let need = [spec.cpus, spec.gpus, spec.memory_gb];
        let entitled = self.within_guarantee(usage, &spec.team, [spec.cpus, spec.gpus]);
        let mut best: Option<(f64, usize, Vec<usize>)> = None;
        for (at, slot) in slots.iter().enumerate() {
            if !self.suits(job, zones, slot) || self.lists(&slot.machine, &spec.id, index) {
                continue;
            }
            if holders && !self.images.holds(self.now, &spec.image, &slot.machine, slot.session) {
                continue;
            }
            let mut order: Vec<usize> = (0..slot.tasks.len())
                .filter(|i| {
                    let b = &slot.tasks[*i];
                    let borrowed = entitled
                        && b.team != spec.team
                        && !self.within_guarantee(usage, &b.team, [0.0, 0.0]);
                    !b.stopping && (b.rank > job.rank() || borrowed)
                })
                .collect();
            order.sort_by(|x, y| {
                let (x, y) = (&slot.tasks[*x], &slot.tasks[*y]);
                x.loss.total_cmp(&y.loss).then(y.rank.cmp(&x.rank))
            });
            let mut free = slot.free;
            let mut cost = if self.images.holds(self.now, &spec.image, &slot.machine, slot.session)
            {
                0.0
            } else {
                let rate = self.types.get(&slot.machine_type).map_or(1.0, |t| t.fetch_gb_per_s);
                let fetch = spec.image_gb / rate.max(0.01);
                // Stopping others for a start that then waits for its image
                // would gain nothing.
                spec.cpus * if self.fetch_too_slow(job) { fetch * 100.0 } else { fetch }
            };
            let mut victims = Vec::new();
            for i in order {
                if fits(&free, &need) > 0 {
                    break;
                }
                let b = &slot.tasks[i];
                for (f, a) in free.iter_mut().zip(b.amount) {
                    *f += a;
                }
                cost += b.loss + 1.0;
                victims.push(i);
            }
            // For the sake of a fetch no more is thrown away than the fetch takes.
            let worth = !holders || cost <= spec.cpus * spec.image_gb / self.least_fetch_rate();
            if worth && fits(&free, &need) > 0 && best.as_ref().is_none_or(|(c, _, _)| cost < *c) {
                best = Some((cost, at, victims));
            }
        }
        let (_, at, victims) = best?;
        let slot = &mut slots[at];
        for i in &victims {
            let b = &mut slot.tasks[*i];
            b.stopping = true;
            for (f, a) in slot.free.iter_mut().zip(b.amount) {
                *f += a;
            }
            let u = usage.entry(b.team.clone()).or_default();
            u[0] -= b.amount[0];
            u[1] -= b.amount[1];
        }
        slot.victims = victims.iter().map(|i| slot.tasks[*i].clone()).collect();
        Some(at)
    }

    fn ask_to_stop(&mut self, b: &Booked, save: bool) {
        log::debug!("task {}/{} makes room", b.task.job, b.task.index);
        let p =
            Preempt { job: b.task.job.clone(), index: b.task.index, attempt: b.task.attempt, save };
        if self.jobs.contains_key(&p.job) {
            self.give_way(&p);
        } else {
            let key = Key { job: p.job.clone(), index: p.index, attempt: p.attempt };
            let now = self.now;
            self.asked.retain(|_, at| now.since(*at) < ASKED);
            self.asked.insert(key, now);
            self.note_preempt.push(p);
        }
    }

    /// Whether another seat's task was asked to make room a moment ago. Asked
    /// again, it would be counted on twice; and its seat may be out of reach.
    fn was_asked(&self, job: &str, index: u32, attempt: u64) -> bool {
        let key = Key { job: job.to_string(), index, attempt };
        self.asked.get(&key).is_some_and(|at| self.now.since(*at) < ASKED)
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

    /// Whether a job's tasks may go to a machine at all, room aside.
    fn suits(&self, job: &Job, zones: &BTreeMap<Rc<str>, u32>, m: &Slot) -> bool {
        let spec = &job.spec;
        spec.types.as_ref().is_none_or(|l| l.contains(&m.machine_type))
            && (spec.spot || !m.spot)
            && job.zone_allows(zones, &m.zone)
            && !job.avoid.contains(m.machine.as_str())
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
        let usage = self.team_usage();
        let mut room: BTreeMap<&str, Amount> = BTreeMap::new();
        let mut list: Vec<Demand> = Vec::new();
        for id in self.queue_order() {
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
            let tasks = j.pending().min(can);
            if tasks == 0 {
                continue;
            }
            left[0] -= f64::from(tasks) * spec.cpus;
            left[1] -= f64::from(tasks) * spec.gpus;
            list.push(Demand {
                tasks,
                cpus: spec.cpus,
                gpus: spec.gpus,
                memory_gb: spec.memory_gb,
                types: spec.types.clone().unwrap_or_default(),
                zone: spec.zone.clone(),
                spot: spec.spot,
                rank: j.rank(),
            });
            if list.len() >= 200 {
                break;
            }
        }
        list
    }

    /// Room that is free on known machines, for the renting seat.
    pub(super) fn free_rooms(&self) -> BTreeMap<String, (super::fleet::Room, usize)> {
        self.slots()
            .into_iter()
            .map(|s| {
                let room = super::fleet::Room {
                    machine_type: s.machine_type,
                    zone: s.zone,
                    spot: s.spot,
                    free: s.free,
                };
                (s.machine, (room, s.tasks.len()))
            })
            .collect()
    }
}

/// Keeps room for waiting tasks of other seats, where there is any.
fn hold_room(slots: &mut [Slot], d: &Demand) {
    let mut left = d.tasks;
    for m in slots {
        let n = m.takes(d).min(left);
        left -= n;
        for (f, a) in m.free.iter_mut().zip([d.cpus, d.gpus, d.memory_gb]) {
            *f -= a * f64::from(n);
        }
        if left == 0 {
            return;
        }
    }
}

impl Slot {
    /// How many of some waiting tasks have room here.
    fn takes(&self, d: &Demand) -> u32 {
        if super::fleet::allows(d, &self.machine_type, &self.zone, self.spot) {
            fits(&self.free, &[d.cpus, d.gpus, d.memory_gb])
        } else {
            0
        }
    }

    fn book(&mut self, b: Booked) {
        for (f, a) in self.free.iter_mut().zip(b.amount) {
            *f -= a;
        }
        self.tasks.push(b);
    }
}
