//! Stand-in for a worker, as the protocol specifies it. It has no sockets: its inputs are time,
//! commands and answers; its outputs are heartbeats, and observations of tasks on the machine.

use crate::cloud::{CPUS, MACHINE_TYPE, MEMORY_GB};
use crate::history::{Observation, TaskEnd, TaskId};
use crate::jobs::{JobPlan, Jobs};
use crate::settings::{HEARTBEAT_INTERVAL, WORKER_LEASE};
use millethold::time::Micros;
use millethold::wire::{
    Command, DirectCommands, EndCause, FencingToken, Heartbeat, ReportedTask, TaskState,
    WorkerIncarnation,
};
use std::collections::{BTreeMap, BTreeSet};

/// Shortest interval between two heartbeats, also when the state changes more often.
const MIN_HEARTBEAT_INTERVAL: Micros = Micros::millis(500);
/// Time to fetch an image.
const IMAGE_FETCH_TIME: Micros = Micros::millis(300);
/// Tolerance for rounding errors in sums of resources.
const RESOURCE_TOLERANCE: f64 = 1e-6;

/// State of an attempt on the worker.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    state: TaskState,
    cause: Option<EndCause>,
    /// When the current state ends; `None` if it lasts.
    due: Option<Micros>,
    cpus: f64,
    memory_gb: f64,
    run_time: Micros,
    save_time: Micros,
    always_fails: bool,
}

impl Attempt {
    fn exited(cause: EndCause) -> Attempt {
        Attempt {
            state: TaskState::Exited,
            cause: Some(cause),
            due: None,
            cpus: 0.0,
            memory_gb: 0.0,
            run_time: Micros::ZERO,
            save_time: Micros::ZERO,
            always_fails: false,
        }
    }

    /// Whether the attempt counts as on the machine: running, or saving its checkpoint.
    fn is_running(&self) -> bool {
        matches!(self.state, TaskState::Running | TaskState::Saving)
    }
}

/// A heartbeat whose answer is pending.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatInFlight {
    /// Number of the heartbeat, counted by the worker from 1.
    pub number: u64,
    /// When it was sent. Its answer renews the lease from then.
    pub sent: Micros,
    /// The worker's incarnation when it was sent.
    pub incarnation: WorkerIncarnation,
}

/// An observation and its time.
pub type TimedObservation = (Micros, Observation);

/// State of a machine's worker.
#[derive(Debug)]
pub struct Worker {
    /// Name of the machine.
    pub name: String,
    zone: String,
    spot: bool,
    /// The machine was returned or reclaimed.
    pub terminated: bool,
    incarnation: WorkerIncarnation,
    sequence: u64,
    fencing_token: FencingToken,
    attempts: BTreeMap<(TaskId, u64), Attempt>,
    images: BTreeSet<String>,
    fetching: BTreeMap<TaskId, String>,
    lease_start: Micros,
    hung_until: Micros,
    /// Number of the controller that receives the heartbeats.
    pub controller: usize,
    /// When the next heartbeat is due if no task changes.
    pub next_heartbeat: Micros,
    last_heartbeat: Micros,
    changed_since_heartbeat: bool,
    /// The heartbeat whose answer is pending, if any.
    pub heartbeat_in_flight: Option<HeartbeatInFlight>,
    heartbeat_count: u64,
}

impl Worker {
    /// A worker that has just started, in its first incarnation.
    pub fn new(name: String, zone: &str, spot: bool, now: Micros, controller: usize) -> Worker {
        Worker {
            name,
            zone: zone.to_string(),
            spot,
            terminated: false,
            incarnation: WorkerIncarnation(1),
            sequence: 0,
            fencing_token: FencingToken(0),
            attempts: BTreeMap::new(),
            images: BTreeSet::new(),
            fetching: BTreeMap::new(),
            lease_start: now,
            hung_until: Micros::ZERO,
            controller,
            next_heartbeat: now,
            last_heartbeat: Micros::ZERO,
            changed_since_heartbeat: true,
            heartbeat_in_flight: None,
            heartbeat_count: 0,
        }
    }

    /// Whether the machine hangs at this time.
    pub fn is_hanging(&self, now: Micros) -> bool {
        now < self.hung_until
    }

    /// Whether any attempt on it has not exited.
    pub fn is_busy(&self) -> bool {
        self.attempts.values().any(|attempt| attempt.state != TaskState::Exited)
    }

    /// The jobs of the running attempts, once for each attempt.
    pub fn running_jobs(&self) -> impl Iterator<Item = &str> {
        let running = self.attempts.iter().filter(|(_, attempt)| attempt.is_running());
        running.map(|((task, _), _)| task.job.as_str())
    }

    /// Highest fencing token that it has received.
    pub fn fencing_token(&self) -> FencingToken {
        self.fencing_token
    }

    /// Hangs the machine until a time. Its tasks are delayed by as much; its lease is not.
    pub fn hang(&mut self, now: Micros, until: Micros) {
        let extension = until.since(now.max(self.hung_until));
        self.hung_until = self.hung_until.max(until);
        for due in self.attempts.values_mut().filter_map(|attempt| attempt.due.as_mut()) {
            *due += extension;
        }
    }

    /// Terminates the machine with everything on it.
    pub fn terminate(&mut self, now: Micros) -> Vec<TimedObservation> {
        self.terminated = true;
        self.end_all_attempts(now, TaskEnd::MachineGone)
    }

    fn end_all_attempts(&mut self, now: Micros, how: TaskEnd) -> Vec<TimedObservation> {
        let attempts = std::mem::take(&mut self.attempts);
        self.fetching.clear();
        let running = attempts.into_iter().filter(|(_, attempt)| attempt.is_running());
        running
            .map(|((task, number), _)| (now, self.ended_observation(task, number, how)))
            .collect()
    }

    fn ended_observation(&self, task: TaskId, attempt: u64, how: TaskEnd) -> Observation {
        Observation::TaskEnded { task, attempt, machine: self.name.clone(), how }
    }

    /// When the next change without a command happens: an attempt's state or the lease ends.
    pub fn next_change(&self) -> Micros {
        let lease_expires_at = self.lease_start + WORKER_LEASE + Micros(1);
        let due = self.attempts.values().filter_map(|attempt| attempt.due).min();
        due.map_or(lease_expires_at, |due| due.min(lease_expires_at))
    }

    /// Applies all changes up to `now`, each at its own time.
    pub fn advance(&mut self, now: Micros) -> Vec<TimedObservation> {
        let mut observations = Vec::new();
        while !self.terminated && self.next_change() <= now {
            let lease_expires_at = self.lease_start + WORKER_LEASE + Micros(1);
            let first = self
                .attempts
                .iter()
                .filter_map(|(key, attempt)| attempt.due.map(|due| (due, key.clone())))
                .min();
            match first {
                Some((due, key)) if due < lease_expires_at => {
                    observations.extend(self.advance_attempt(due, &key))
                }
                _ => observations.extend(self.end_incarnation(lease_expires_at)),
            }
        }
        observations
    }

    /// Starts a new incarnation because the lease has expired: all tasks are killed and forgotten.
    fn end_incarnation(&mut self, at: Micros) -> Vec<TimedObservation> {
        let observations = self.end_all_attempts(at, TaskEnd::LeaseExpired);
        self.incarnation.0 += 1;
        self.sequence = 0;
        self.lease_start = at;
        self.heartbeat_in_flight = None;
        self.changed_since_heartbeat = true;
        observations
    }

    fn advance_attempt(&mut self, at: Micros, key: &(TaskId, u64)) -> Option<TimedObservation> {
        let (task, number) = key.clone();
        let attempt = self.attempts.get_mut(key)?;
        self.changed_since_heartbeat = true;
        match attempt.state {
            TaskState::Fetching => {
                attempt.state = TaskState::Running;
                attempt.due = Some(at + attempt.run_time);
                if let Some(image) = self.fetching.remove(&task) {
                    self.images.insert(image);
                }
                let machine = self.name.clone();
                Some((at, Observation::TaskStarted { task, attempt: number, machine }))
            }
            TaskState::Running => {
                let (cause, how) = match attempt.always_fails {
                    true => (EndCause::Error, TaskEnd::Stopped),
                    false => (EndCause::Done, TaskEnd::Done),
                };
                *attempt = Attempt::exited(cause);
                Some((at, self.ended_observation(task, number, how)))
            }
            TaskState::Saving => {
                *attempt = Attempt::exited(EndCause::Stopped);
                Some((at, self.ended_observation(task, number, TaskEnd::Stopped)))
            }
            TaskState::Exited => {
                attempt.due = None;
                None
            }
        }
    }

    /// When the next heartbeat is due.
    pub fn heartbeat_due(&self) -> Micros {
        match self.changed_since_heartbeat {
            true => self.next_heartbeat.min(self.last_heartbeat + MIN_HEARTBEAT_INTERVAL),
            false => self.next_heartbeat,
        }
    }

    /// Creates a heartbeat that is sent now. The next one is due three quarters of the interval
    /// plus `jitter` later.
    pub fn make_heartbeat(&mut self, now: Micros, jitter: Micros, address: String) -> Heartbeat {
        self.heartbeat_count += 1;
        self.changed_since_heartbeat = false;
        self.last_heartbeat = now;
        self.next_heartbeat = now + Micros(HEARTBEAT_INTERVAL.0 * 3 / 4) + jitter;
        let heartbeat_in_flight = HeartbeatInFlight {
            number: self.heartbeat_count,
            sent: now,
            incarnation: self.incarnation,
        };
        self.heartbeat_in_flight = Some(heartbeat_in_flight);
        self.report(address)
    }

    /// Reports the machine's state, as the body of a heartbeat or of an answer to a controller.
    pub fn report(&mut self, address: String) -> Heartbeat {
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

    /// Processes an answer with status 200 to a heartbeat: renews the lease and executes the
    /// commands.
    pub fn heartbeat_answered(
        &mut self,
        now: Micros,
        heartbeat: HeartbeatInFlight,
        fencing_token: FencingToken,
        commands: Vec<Command>,
        jobs: &Jobs,
    ) -> Vec<TimedObservation> {
        // The heartbeat is of an earlier incarnation, or the answer is from a former leader.
        if heartbeat.incarnation != self.incarnation || fencing_token < self.fencing_token {
            return Vec::new();
        }
        self.changed_since_heartbeat |= fencing_token > self.fencing_token;
        self.fencing_token = fencing_token;
        self.lease_start = self.lease_start.max(heartbeat.sent);
        self.execute(now, commands, jobs)
    }

    /// Processes direct commands. Returns whether they were executed, and the observations.
    pub fn execute_direct(
        &mut self,
        now: Micros,
        direct: DirectCommands,
        jobs: &Jobs,
    ) -> (bool, Vec<TimedObservation>) {
        if direct.fencing_token < self.fencing_token || direct.incarnation != self.incarnation {
            return (false, Vec::new());
        }
        self.changed_since_heartbeat |= direct.fencing_token > self.fencing_token;
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
                    if let Some(task) = parse_task_id(&task) {
                        observations.extend(self.start(now, task, attempt, jobs));
                    }
                }
                Command::Stop { task, attempt, grace_s } => {
                    if let Some(task) = parse_task_id(&task) {
                        let grace = Micros::from_secs_f64(grace_s);
                        observations.extend(self.stop(now, task, attempt, grace));
                    }
                }
                Command::Forget { task, attempt } => {
                    if let Some(task) = parse_task_id(&task) {
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
        self.changed_since_heartbeat = true;
        let job = jobs.plans.get(&task.job).filter(|job| task.index < job.tasks);
        let refusal = match job {
            None => Some(EndCause::NoSuchTask),
            Some(_) if self.has_other_attempt(&task) => Some(EndCause::Busy),
            Some(job) if !self.fits(job) => Some(EndCause::NoCapacity),
            Some(_) => None,
        };
        let (Some(job), None) = (job, refusal) else {
            self.attempts.insert(key, Attempt::exited(refusal.unwrap_or(EndCause::NoSuchTask)));
            return None;
        };
        let cached = self.images.contains(&job.image);
        if !cached {
            self.fetching.insert(task.clone(), job.image.clone());
        }
        let state_duration = if cached { job.run_time } else { IMAGE_FETCH_TIME };
        self.attempts.insert(
            key,
            Attempt {
                state: if cached { TaskState::Running } else { TaskState::Fetching },
                cause: None,
                due: Some(now + state_duration),
                cpus: job.cpus,
                memory_gb: 2.0 * job.cpus,
                run_time: job.run_time,
                save_time: job.save_time,
                always_fails: job.always_fails,
            },
        );
        let machine = self.name.clone();
        cached.then_some((now, Observation::TaskStarted { task, attempt: number, machine }))
    }

    fn has_other_attempt(&self, task: &TaskId) -> bool {
        let attempts = self.attempts.range((task.clone(), 0)..=(task.clone(), u64::MAX));
        attempts.into_iter().any(|(_, attempt)| attempt.state != TaskState::Exited)
    }

    fn fits(&self, job: &JobPlan) -> bool {
        let cpus: f64 = self.attempts.values().map(|attempt| attempt.cpus).sum();
        let memory: f64 = self.attempts.values().map(|attempt| attempt.memory_gb).sum();
        cpus + job.cpus <= CPUS + RESOURCE_TOLERANCE
            && memory + 2.0 * job.cpus <= MEMORY_GB + RESOURCE_TOLERANCE
    }

    fn stop(
        &mut self,
        now: Micros,
        task: TaskId,
        number: u64,
        grace: Micros,
    ) -> Option<TimedObservation> {
        let attempt = self.attempts.get_mut(&(task.clone(), number))?;
        let saves_checkpoint = attempt.state == TaskState::Running
            && attempt.save_time > Micros::ZERO
            && grace >= attempt.save_time;
        let was_running = attempt.is_running();
        if attempt.state == TaskState::Exited
            || (attempt.state == TaskState::Saving && grace > Micros::ZERO)
        {
            return None;
        }
        self.changed_since_heartbeat = true;
        if saves_checkpoint {
            attempt.state = TaskState::Saving;
            attempt.due = Some(now + attempt.save_time);
            return None;
        }
        *attempt = Attempt::exited(EndCause::Stopped);
        self.fetching.remove(&task);
        was_running.then(|| (now, self.ended_observation(task, number, TaskEnd::Stopped)))
    }

    fn forget(&mut self, task: TaskId, number: u64) {
        let key = (task, number);
        if self.attempts.get(&key).is_some_and(|attempt| attempt.state == TaskState::Exited) {
            self.attempts.remove(&key);
            self.changed_since_heartbeat = true;
        }
    }
}

/// Parses a task's name in the protocol, `job/index`.
fn parse_task_id(name: &str) -> Option<TaskId> {
    let (job, index) = name.split_once('/')?;
    Some(TaskId { job: job.to_string(), index: index.parse().ok()? })
}
