//! Stand-in for a worker, which follows the protocol between workers and controllers.

use super::LEASE_S;
use millethold::time::Micros;
use millethold::wire::{
    Command, DirectCommands, EndCause, FencingToken, Heartbeat, HeartbeatResponse, ReportedTask,
    TaskState, WorkerIncarnation,
};
use serde_json::Value;
use std::collections::BTreeMap;

#[derive(Debug, Clone)]
struct Task {
    attempt: u64,
    state: TaskState,
    cause: Option<EndCause>,
    state_since: Micros,
}

pub struct Worker {
    pub name: String,
    pub zone: String,
    spot: bool,
    /// Whether all tasks fail on it.
    pub always_fails: bool,
    /// Whether its machine was terminated, at a controller's request or by the cloud.
    pub is_gone: bool,
    incarnation: WorkerIncarnation,
    seq: u64,
    fencing_token: FencingToken,
    tasks: BTreeMap<String, Task>,
    /// When the last answered heartbeat was sent, or when the incarnation began.
    lease_start: Micros,
    /// Number of the controller to which it sends heartbeats.
    pub controller: usize,
    pub next_heartbeat: Micros,
    /// Number of the heartbeat whose response it waits for.
    pub in_flight: Option<u64>,
    /// Whether something has changed since the last heartbeat, which makes the next one due early.
    has_unreported_changes: bool,
    /// Attempts forgotten on command that the simulation has not checked yet.
    pub forgotten: Vec<(String, u64)>,
    /// Attempts stopped on command that the simulation has not checked yet.
    pub stopped: Vec<(String, u64)>,
    last_sent: Micros,
    /// Number of heartbeats sent.
    heartbeats: u64,
    /// Number of incarnations that ended because the lease expired.
    pub expired_leases: u32,
}

/// CPUs of the only machine type. Memory is never the limit in these tests.
pub const CPUS: f64 = 4.0;
/// Maximum number of tasks on a worker, regardless of their size.
pub const MAX_TASKS: usize = 4;

impl Worker {
    pub fn new(name: String, zone: &str, spot: bool, always_fails: bool, now: Micros) -> Worker {
        let controller = name.len() % 3;
        Worker {
            name,
            zone: zone.into(),
            spot,
            always_fails,
            is_gone: false,
            incarnation: WorkerIncarnation(1),
            seq: 0,
            fencing_token: FencingToken(0),
            tasks: BTreeMap::new(),
            lease_start: now,
            controller,
            next_heartbeat: now,
            in_flight: None,
            has_unreported_changes: true,
            forgotten: Vec::new(),
            stopped: Vec::new(),
            last_sent: Micros::ZERO,
            heartbeats: 0,
            expired_leases: 0,
        }
    }

    /// Names of the tasks on the machine that have not exited.
    pub fn live_tasks(&self) -> impl Iterator<Item = &String> {
        self.tasks.iter().filter(|(_, t)| t.state != TaskState::Exited).map(|(k, _)| k)
    }

    /// When the last answered heartbeat was sent, or when the incarnation began.
    pub fn lease_start(&self) -> Micros {
        self.lease_start
    }

    /// Highest fencing token that it has received.
    pub fn fencing_token(&self) -> FencingToken {
        self.fencing_token
    }

    /// Whether the worker has sent a heartbeat by `now`.
    pub fn has_reported(&self, now: Micros) -> bool {
        self.heartbeats > 0 && now >= self.last_sent
    }

    /// Adds a task that no controller has started.
    pub fn inject_task(&mut self, now: Micros, task: &str) {
        let fetching =
            Task { attempt: 1, state: TaskState::Fetching, cause: None, state_since: now };
        self.tasks.insert(task.into(), fetching);
    }

    pub fn attempt(&self, task: &str) -> Option<u64> {
        self.tasks.get(task).map(|t| t.attempt)
    }

    pub fn has_live_task(&self, task: &str) -> bool {
        self.tasks.get(task).is_some_and(|t| t.state != TaskState::Exited)
    }

    /// Names of the tasks of a job on the machine that have not exited.
    pub fn tasks_of<'a>(&'a self, job: &'a str) -> impl Iterator<Item = &'a String> + 'a {
        self.live_tasks().filter(move |t| t.split('/').next() == Some(job))
    }

    /// Ends the incarnation if its lease has expired. Returns whether it has.
    pub fn expire_lease(&mut self, now: Micros) -> bool {
        let expired = now > self.lease_start + Micros::from_secs_f64(LEASE_S);
        if expired {
            self.tasks.clear();
            self.incarnation.0 += 1;
            self.expired_leases += 1;
            self.seq = 0;
            self.lease_start = now;
            self.in_flight = None;
            self.has_unreported_changes = true;
        }
        expired
    }

    /// Advances the tasks to `now` and returns those that completed, each as job id and task
    /// index. `durations` contains, by job id, the seconds that task 0 of the job runs and the
    /// seconds by which each further task runs longer. Tasks of a job whose entry is `None` fail
    /// on every machine; those of a job without an entry run for one second.
    pub fn advance(
        &mut self,
        now: Micros,
        durations: &BTreeMap<String, Option<(f64, f64)>>,
    ) -> Vec<(String, u32)> {
        if self.expire_lease(now) {
            return Vec::new();
        }
        let mut done = Vec::new();
        for (name, t) in &mut self.tasks {
            let (job, index) = name.split_once('/').expect("a task's name");
            let duration = durations.get(job).copied().unwrap_or(Some((1.0, 0.0)));
            let fails = self.always_fails || duration.is_none();
            let (first_s, increment_s) = duration.unwrap_or_default();
            let index: u32 = index.parse().expect("a number");
            let duration_s = first_s + increment_s * f64::from(index);
            match t.state {
                TaskState::Fetching if now > t.state_since + Micros::millis(500) => {
                    t.state = TaskState::Running;
                    t.state_since = now;
                    self.has_unreported_changes = true;
                }
                TaskState::Running if fails && now > t.state_since + Micros::millis(200) => {
                    t.state = TaskState::Exited;
                    t.cause = Some(EndCause::Error);
                    self.has_unreported_changes = true;
                }
                TaskState::Running if now > t.state_since + Micros::from_secs_f64(duration_s) => {
                    t.state = TaskState::Exited;
                    t.cause = Some(EndCause::Done);
                    self.has_unreported_changes = true;
                    done.push((job.to_string(), index));
                }
                _ => {}
            }
        }
        done
    }

    /// Builds the next heartbeat; `port` is the port of its address.
    fn next_heartbeat_body(&mut self, port: usize) -> Heartbeat {
        self.seq += 1;
        Heartbeat {
            machine: self.name.clone(),
            address: format!("10.1.0.1:{port}"),
            machine_type: "t4".into(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            seq: self.seq,
            fencing_token: self.fencing_token,
            notice_s: None,
            tasks: self
                .tasks
                .iter()
                .map(|(name, t)| ReportedTask {
                    task: name.clone(),
                    attempt: t.attempt,
                    state: t.state,
                    cause: t.cause,
                })
                .collect(),
        }
    }

    /// Returns the next heartbeat if it is due: when it is sent, its number, its body and the
    /// number of the controller to which it is sent. `port` is the port of the worker's address.
    pub fn heartbeat(&mut self, now: Micros, port: usize) -> Option<(Micros, u64, Vec<u8>, usize)> {
        let due = now >= self.next_heartbeat
            || (self.has_unreported_changes && now > self.last_sent + Micros::millis(500));
        if self.in_flight.is_some() || !due {
            return None;
        }
        let body = serde_json::to_vec(&self.next_heartbeat_body(port)).expect("JSON");
        self.heartbeats += 1;
        self.in_flight = Some(self.heartbeats);
        self.has_unreported_changes = false;
        self.last_sent = now;
        self.next_heartbeat = now + Micros::secs(2);
        Some((now, self.heartbeats, body, self.controller))
    }

    /// Handles the response to a heartbeat and returns the tasks that it starts.
    pub fn handle_heartbeat_response(
        &mut self,
        now: Micros,
        sent: Micros,
        heartbeat: u64,
        status: u16,
        body: &[u8],
    ) -> Vec<String> {
        if self.in_flight != Some(heartbeat) {
            return Vec::new();
        }
        self.in_flight = None;
        match status {
            200 => {
                let reply: HeartbeatResponse =
                    serde_json::from_slice(body).expect("a heartbeat response");
                if reply.fencing_token < self.fencing_token {
                    return Vec::new();
                }
                self.has_unreported_changes |= reply.fencing_token > self.fencing_token;
                self.fencing_token = reply.fencing_token;
                self.lease_start = self.lease_start.max(sent);
                self.execute(now, reply.commands)
            }
            421 => {
                let v: Value = serde_json::from_slice(body).unwrap_or_default();
                let leader = v.get("foreman").and_then(Value::as_str).unwrap_or("");
                let controller = leader.strip_prefix('n').and_then(|n| n.parse().ok());
                match controller.filter(|n| *n != self.controller && *n < 3) {
                    Some(n) => {
                        self.controller = n;
                        self.next_heartbeat = now;
                    }
                    None => {
                        self.controller = (self.controller + 1) % 3;
                        self.next_heartbeat = now + Micros::secs(1);
                    }
                }
                Vec::new()
            }
            _ => {
                self.controller = (self.controller + 1) % 3;
                self.next_heartbeat = now + Micros::secs(1);
                Vec::new()
            }
        }
    }

    /// Executes direct commands. Returns the response's status, the tasks that were started, and
    /// the heartbeat in the response's body.
    pub fn handle_direct_commands(
        &mut self,
        now: Micros,
        port: usize,
        body: &[u8],
    ) -> (u16, Vec<String>, Vec<u8>) {
        let d: DirectCommands = serde_json::from_slice(body).expect("direct commands");
        let accepted = d.fencing_token >= self.fencing_token && d.incarnation == self.incarnation;
        let started = if accepted {
            self.has_unreported_changes |= d.fencing_token > self.fencing_token;
            self.fencing_token = d.fencing_token;
            self.execute(now, d.commands)
        } else {
            Vec::new()
        };
        let heartbeat = serde_json::to_vec(&self.next_heartbeat_body(port)).expect("JSON");
        (if accepted { 200 } else { 409 }, started, heartbeat)
    }

    fn execute(&mut self, now: Micros, commands: Vec<Command>) -> Vec<String> {
        let mut started = Vec::new();
        for c in commands {
            match c {
                Command::Start { task, attempt } => {
                    if self.tasks.get(&task).is_some_and(|t| t.attempt == attempt) {
                        continue;
                    }
                    // A worker keeps one entry per task. It refuses another attempt while one
                    // runs, and replaces an attempt that has exited.
                    let full = self.live_tasks().count() >= MAX_TASKS;
                    let busy = self.has_live_task(&task);
                    if busy {
                        continue;
                    }
                    let (state, cause) = if full {
                        (TaskState::Exited, Some(EndCause::NoCapacity))
                    } else {
                        started.push(task.clone());
                        (TaskState::Fetching, None)
                    };
                    self.tasks.insert(task, Task { attempt, state, cause, state_since: now });
                    self.has_unreported_changes = true;
                }
                Command::Stop { task, attempt, .. } => {
                    if let Some(t) = self.tasks.get_mut(&task)
                        && t.attempt == attempt
                        && t.state != TaskState::Exited
                    {
                        t.state = TaskState::Exited;
                        t.cause = Some(EndCause::Stopped);
                        self.stopped.push((task, attempt));
                        self.has_unreported_changes = true;
                    }
                }
                Command::Forget { task, attempt } => {
                    if self
                        .tasks
                        .get(&task)
                        .is_some_and(|t| t.attempt == attempt && t.state == TaskState::Exited)
                    {
                        self.tasks.remove(&task);
                        self.forgotten.push((task, attempt));
                        self.has_unreported_changes = true;
                    }
                }
            }
        }
        started
    }
}
