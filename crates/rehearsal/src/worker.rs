//! A stand-in of a worker, by the protocol's text. It knows no sockets: time, commands and
//! answers go in; what was seen on the machine, and heartbeats, come out.

use crate::cloud::{CPUS, MACHINE_TYPE, MEMORY_GB};
use crate::history::{Observation, TaskEnd, TaskId};
use crate::jobs::{JobPlan, Jobs};
use crate::settings::{HEARTBEAT_INTERVAL, WORKER_LEASE};
use millethold::time::Micros;
use millethold::wire::{
    Cause, Command, DirectCommands, FencingToken, Heartbeat, ReportedTask, TaskState,
    WorkerIncarnation,
};
use std::collections::{BTreeMap, BTreeSet};

/// Heartbeats about changes come at most this often.
const MIN_HEARTBEAT_INTERVAL: Micros = Micros::millis(500);
/// How long an image takes to fetch.
const IMAGE_FETCH_TIME: Micros = Micros::millis(300);
/// Rounding of sums of resources.
const ROUNDING: f64 = 1e-6;

/// An attempt, as the worker keeps it.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    state: TaskState,
    cause: Option<Cause>,
    /// When its present state is over; `None` if it stays.
    due: Option<Micros>,
    cpus: f64,
    memory_gb: f64,
    runs: Micros,
    saves: Micros,
    mistake: bool,
}

impl Attempt {
    fn exited(cause: Cause) -> Attempt {
        Attempt {
            state: TaskState::Exited,
            cause: Some(cause),
            due: None,
            cpus: 0.0,
            memory_gb: 0.0,
            runs: Micros::ZERO,
            saves: Micros::ZERO,
            mistake: false,
        }
    }

    /// Whether it counts as on the machine.
    fn on(&self) -> bool {
        matches!(self.state, TaskState::Running | TaskState::Saving)
    }
}

/// A heartbeat that is under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatInFlight {
    /// Its number.
    pub number: u64,
    /// When it was sent.
    pub sent: Micros,
    /// The incarnation that it reports.
    pub incarnation: WorkerIncarnation,
}

/// Something seen on the machine, and when.
pub type TimedObservation = (Micros, Observation);

/// A machine's worker.
#[derive(Debug)]
pub struct Worker {
    /// Machine.
    pub name: String,
    zone: String,
    spot: bool,
    /// The cloud has taken it.
    pub gone: bool,
    incarnation: WorkerIncarnation,
    sequence: u64,
    fencing_token: FencingToken,
    attempts: BTreeMap<(TaskId, u64), Attempt>,
    images: BTreeSet<String>,
    fetching: BTreeMap<TaskId, String>,
    lease_from: Micros,
    hangs_until: Micros,
    /// The controller that it heartbeats to.
    pub controller: usize,
    /// When it heartbeats next, if nothing changes.
    pub next_heartbeat: Micros,
    last_heartbeat: Micros,
    changed: bool,
    /// The report that awaits its answer.
    pub heartbeat_in_flight: Option<HeartbeatInFlight>,
    heartbeats: u64,
}

impl Worker {
    /// A worker that has just come up.
    pub fn new(name: String, zone: &str, spot: bool, now: Micros, controller: usize) -> Worker {
        Worker {
            name,
            zone: zone.to_string(),
            spot,
            gone: false,
            incarnation: WorkerIncarnation(1),
            sequence: 0,
            fencing_token: FencingToken(0),
            attempts: BTreeMap::new(),
            images: BTreeSet::new(),
            fetching: BTreeMap::new(),
            lease_from: now,
            hangs_until: Micros::ZERO,
            controller,
            next_heartbeat: now,
            last_heartbeat: Micros::ZERO,
            changed: true,
            heartbeat_in_flight: None,
            heartbeats: 0,
        }
    }

    /// Whether the machine hangs.
    pub fn is_hanging(&self, now: Micros) -> bool {
        now < self.hangs_until
    }

    /// Whether any task is on it.
    pub fn busy(&self) -> bool {
        self.attempts.values().any(|attempt| attempt.state != TaskState::Exited)
    }

    /// The jobs whose tasks are on it.
    pub fn running_jobs(&self) -> impl Iterator<Item = &str> {
        let on = self.attempts.iter().filter(|(_, attempt)| attempt.on());
        on.map(|((task, _), _)| task.job.as_str())
    }

    /// It hangs until a time: what it runs goes on that much later, its lease does not.
    pub fn hang(&mut self, now: Micros, until: Micros) {
        let longer = until.since(now.max(self.hangs_until));
        self.hangs_until = self.hangs_until.max(until);
        for due in self.attempts.values_mut().filter_map(|attempt| attempt.due.as_mut()) {
            *due += longer;
        }
    }

    /// The machine is gone, with all that ran there.
    pub fn take(&mut self, now: Micros) -> Vec<TimedObservation> {
        self.gone = true;
        self.end_all(now, TaskEnd::MachineGone)
    }

    fn end_all(&mut self, now: Micros, how: TaskEnd) -> Vec<TimedObservation> {
        let attempts = std::mem::take(&mut self.attempts);
        self.fetching.clear();
        let on = attempts.into_iter().filter(|(_, attempt)| attempt.on());
        on.map(|((task, number), _)| (now, self.off(task, number, how))).collect()
    }

    fn off(&self, task: TaskId, attempt: u64, how: TaskEnd) -> Observation {
        Observation::TaskEnded { task, attempt, machine: self.name.clone(), how }
    }

    /// When something changes by itself.
    pub fn next_change(&self) -> Micros {
        let lease_over = self.lease_from + WORKER_LEASE + Micros(1);
        let due = self.attempts.values().filter_map(|attempt| attempt.due).min();
        due.map_or(lease_over, |due| due.min(lease_over))
    }

    /// Lets time pass, each change at its own time.
    pub fn advance(&mut self, now: Micros) -> Vec<TimedObservation> {
        let mut observations = Vec::new();
        while !self.gone && self.next_change() <= now {
            let lease_over = self.lease_from + WORKER_LEASE + Micros(1);
            let first = self
                .attempts
                .iter()
                .filter_map(|(key, attempt)| attempt.due.map(|due| (due, key.clone())))
                .min();
            match first {
                Some((due, key)) if due < lease_over => observations.extend(self.change(due, &key)),
                _ => observations.extend(self.end_incarnation(lease_over)),
            }
        }
        observations
    }

    /// The lease ran out: all tasks are killed and forgotten, and a incarnation begins.
    fn end_incarnation(&mut self, at: Micros) -> Vec<TimedObservation> {
        let observations = self.end_all(at, TaskEnd::LeaseExpired);
        self.incarnation.0 += 1;
        self.sequence = 0;
        self.lease_from = at;
        self.heartbeat_in_flight = None;
        self.changed = true;
        observations
    }

    fn change(&mut self, at: Micros, key: &(TaskId, u64)) -> Option<TimedObservation> {
        let (task, number) = key.clone();
        let attempt = self.attempts.get_mut(key)?;
        self.changed = true;
        match attempt.state {
            TaskState::Fetching => {
                attempt.state = TaskState::Running;
                attempt.due = Some(at + attempt.runs);
                if let Some(image) = self.fetching.remove(&task) {
                    self.images.insert(image);
                }
                let machine = self.name.clone();
                Some((at, Observation::TaskStarted { task, attempt: number, machine }))
            }
            TaskState::Running => {
                let (cause, how) = match attempt.mistake {
                    true => (Cause::Error, TaskEnd::Stopped),
                    false => (Cause::Done, TaskEnd::Done),
                };
                *attempt = Attempt::exited(cause);
                Some((at, self.off(task, number, how)))
            }
            TaskState::Saving => {
                *attempt = Attempt::exited(Cause::Stopped);
                Some((at, self.off(task, number, TaskEnd::Stopped)))
            }
            TaskState::Exited => {
                attempt.due = None;
                None
            }
        }
    }

    /// When it wants to report.
    pub fn heartbeat_due(&self) -> Micros {
        match self.changed {
            true => self.next_heartbeat.min(self.last_heartbeat + MIN_HEARTBEAT_INTERVAL),
            false => self.next_heartbeat,
        }
    }

    /// Makes a heartbeat to be sent now, `spread` after which the next one is due.
    pub fn make_heartbeat(&mut self, now: Micros, spread: Micros, address: String) -> Heartbeat {
        self.heartbeats += 1;
        self.changed = false;
        self.last_heartbeat = now;
        self.next_heartbeat = now + Micros(HEARTBEAT_INTERVAL.0 * 3 / 4) + spread;
        let heartbeat_in_flight =
            HeartbeatInFlight { number: self.heartbeats, sent: now, incarnation: self.incarnation };
        self.heartbeat_in_flight = Some(heartbeat_in_flight);
        self.body(address)
    }

    /// How the machine stands.
    pub fn body(&mut self, address: String) -> Heartbeat {
        self.sequence += 1;
        let task = |((task, number), attempt): (&(TaskId, u64), &Attempt)| ReportedTask {
            task: format!("{}/{}", task.job, task.index),
            attempt: *number,
            state: attempt.state,
            cause: attempt.cause,
        };
        Heartbeat {
            machine: self.name.clone(),
            address,
            machine_type: MACHINE_TYPE.to_string(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            seq: self.sequence,
            fencing_token: self.fencing_token,
            notice_s: None,
            tasks: self.attempts.iter().map(task).collect(),
        }
    }

    /// Its report was answered with 200.
    pub fn answered(
        &mut self,
        now: Micros,
        heartbeat: HeartbeatInFlight,
        fencing_token: FencingToken,
        commands: Vec<Command>,
        jobs: &Jobs,
    ) -> Vec<TimedObservation> {
        // Of an earlier incarnation, or by one whose time is over.
        if heartbeat.incarnation != self.incarnation || fencing_token < self.fencing_token {
            return Vec::new();
        }
        self.changed |= fencing_token > self.fencing_token;
        self.fencing_token = fencing_token;
        self.lease_from = self.lease_from.max(heartbeat.sent);
        self.execute(now, commands, jobs)
    }

    /// Direct commands arrive: whether they are executed, and what was seen.
    pub fn direct(
        &mut self,
        now: Micros,
        direct: DirectCommands,
        jobs: &Jobs,
    ) -> (bool, Vec<TimedObservation>) {
        if direct.fencing_token < self.fencing_token || direct.incarnation != self.incarnation {
            return (false, Vec::new());
        }
        self.changed |= direct.fencing_token > self.fencing_token;
        self.fencing_token = direct.fencing_token;
        (true, self.execute(now, direct.commands, jobs))
    }

    fn execute(
        &mut self,
        now: Micros,
        commands: Vec<Command>,
        jobs: &Jobs,
    ) -> Vec<TimedObservation> {
        let mut observations = Vec::new();
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    if let Some(task) = task_id(&task) {
                        observations.extend(self.start(now, task, attempt, jobs));
                    }
                }
                Command::Stop { task, attempt, grace_s } => {
                    if let Some(task) = task_id(&task) {
                        let grace = Micros::from_secs_f64(grace_s);
                        observations.extend(self.stop(now, task, attempt, grace));
                    }
                }
                Command::Forget { task, attempt } => {
                    if let Some(task) = task_id(&task) {
                        self.forget(task, attempt);
                    }
                }
            }
        }
        observations
    }

    fn start(
        &mut self,
        now: Micros,
        task: TaskId,
        number: u64,
        jobs: &Jobs,
    ) -> Option<TimedObservation> {
        let key = (task.clone(), number);
        if self.attempts.contains_key(&key) {
            return None;
        }
        self.changed = true;
        let job = jobs.plans.get(&task.job).filter(|job| task.index < job.tasks);
        let refusal = match job {
            None => Some(Cause::Unknown),
            Some(_) if self.has_other_attempt(&task) => Some(Cause::Busy),
            Some(job) if !self.fits(job) => Some(Cause::NoRoom),
            Some(_) => None,
        };
        let (Some(job), None) = (job, refusal) else {
            self.attempts.insert(key, Attempt::exited(refusal.unwrap_or(Cause::Unknown)));
            return None;
        };
        let cached = self.images.contains(&job.image);
        if !cached {
            self.fetching.insert(task.clone(), job.image.clone());
        }
        let wait = if cached { job.runs } else { IMAGE_FETCH_TIME };
        self.attempts.insert(
            key,
            Attempt {
                state: if cached { TaskState::Running } else { TaskState::Fetching },
                cause: None,
                due: Some(now + wait),
                cpus: job.cpus,
                memory_gb: 2.0 * job.cpus,
                runs: job.runs,
                saves: job.saves,
                mistake: job.mistake,
            },
        );
        let machine = self.name.clone();
        cached.then_some((now, Observation::TaskStarted { task, attempt: number, machine }))
    }

    fn has_other_attempt(&self, task: &TaskId) -> bool {
        let of_task = self.attempts.range((task.clone(), 0)..=(task.clone(), u64::MAX));
        of_task.into_iter().any(|(_, attempt)| attempt.state != TaskState::Exited)
    }

    fn fits(&self, job: &JobPlan) -> bool {
        let cpus: f64 = self.attempts.values().map(|attempt| attempt.cpus).sum();
        let memory: f64 = self.attempts.values().map(|attempt| attempt.memory_gb).sum();
        cpus + job.cpus <= CPUS + ROUNDING && memory + 2.0 * job.cpus <= MEMORY_GB + ROUNDING
    }

    fn stop(
        &mut self,
        now: Micros,
        task: TaskId,
        number: u64,
        grace: Micros,
    ) -> Option<TimedObservation> {
        let attempt = self.attempts.get_mut(&(task.clone(), number))?;
        let saves = attempt.state == TaskState::Running
            && attempt.saves > Micros::ZERO
            && grace >= attempt.saves;
        let on = attempt.on();
        if attempt.state == TaskState::Exited
            || (attempt.state == TaskState::Saving && grace > Micros::ZERO)
        {
            return None;
        }
        self.changed = true;
        if saves {
            attempt.state = TaskState::Saving;
            attempt.due = Some(now + attempt.saves);
            return None;
        }
        *attempt = Attempt::exited(Cause::Stopped);
        self.fetching.remove(&task);
        on.then(|| (now, self.off(task, number, TaskEnd::Stopped)))
    }

    fn forget(&mut self, task: TaskId, number: u64) {
        let key = (task, number);
        if self.attempts.get(&key).is_some_and(|attempt| attempt.state == TaskState::Exited) {
            self.attempts.remove(&key);
            self.changed = true;
        }
    }
}

/// Reads the protocol's name of a task.
fn task_id(name: &str) -> Option<TaskId> {
    let (job, index) = name.split_once('/')?;
    Some(TaskId { job: job.to_string(), index: index.parse().ok()? })
}
