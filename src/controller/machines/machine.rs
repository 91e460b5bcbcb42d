//! What a machine's shard knows of it: its reports, what was sent, what may
//! still be under way.

use crate::controller::leadership::shard;
use crate::controller::machines::start_gate::StartRefusal;
use crate::peer::{DesiredTask, ObservedState, ObservedTask};
use crate::time::Micros;
use crate::wire::{Cause, Command, Heartbeat, TaskState};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// Longest names of machines and zones that fit a stored placement.
pub const MAX_NAME: usize = 40;

/// A task's attempt.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Job.
    pub job: String,
    /// Task.
    pub index: u32,
    /// Attempt.
    pub attempt: u64,
}

impl Key {
    /// The attempt that a shard wants.
    pub fn of(w: &DesiredTask) -> Key {
        Key { job: w.job.clone(), index: w.index, attempt: w.attempt }
    }

    /// Whether a shard wants this very attempt.
    pub fn names(&self, w: &DesiredTask) -> bool {
        self.attempt == w.attempt && self.index == w.index && self.job == w.job
    }

    /// The protocol's name of the task.
    pub fn task(&self) -> String {
        format!("{}/{}", self.job, self.index)
    }

    /// Reads the protocol's name of a task.
    pub fn parse(task: &str, attempt: u64) -> Option<Key> {
        let (job, index) = task.split_once('/')?;
        Some(Key { job: job.to_string(), index: index.parse().ok()?, attempt })
    }
}

/// A start that was sent and is not in a report yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Sent {
    /// It was in the answer to the newest report, which the worker may still take.
    pub answered: bool,
    /// Direct commands with it that have not been answered.
    pub direct: u32,
    /// A direct command with it got no answer: it may be executed as long as
    /// token and session match.
    pub late: bool,
    /// Token of the last direct command with it.
    pub fencing_token: u64,
}

/// A start that may still arrive and must not be executed: the worker is shown a higher
/// token than that of the command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Revocation {
    /// The start.
    pub start: Key,
    /// Token that its command carries.
    pub revoked_fencing_token: u64,
    /// Why it must not be executed; `None` if nobody wants it any more.
    pub reason: Option<StartRefusal>,
}

impl Sent {
    /// True if the worker may still begin it.
    pub fn open(self) -> bool {
        self.answered || self.sent_directly()
    }

    /// True if a direct command with it may still arrive.
    pub fn sent_directly(self) -> bool {
        self.direct > 0 || self.late
    }
}

/// What a report has shown to be so, for the statistics of a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A task completed.
    Done(Key),
    /// A task failed.
    Failed(Key),
}

/// A machine, as its shard knows it under the present term.
#[derive(Debug, Clone, Default)]
pub struct ManagedMachine {
    /// Session of the newest report, 0 before the first.
    pub incarnation: u64,
    /// Number of the newest message of that session.
    pub seq: u64,
    /// It has reported under this term: nothing older can reach it any more.
    pub known: bool,
    /// Sessions up to this one are surely over.
    pub over_through: u64,
    /// It never reported under this term, and by now every earlier session is over.
    pub vanished: bool,
    /// When a report was last answered with 200.
    pub answered: Option<Micros>,
    /// When a report last arrived.
    pub last_heartbeat: Option<Micros>,
    /// Tasks in the newest report.
    pub tasks: BTreeMap<Key, ObservedState>,
    /// Starts that were sent and not reported yet.
    pub sent: BTreeMap<Key, Sent>,
    /// Attempts in reports that a direct command without an answer may still
    /// start, with its token: clearing them would let that command start them again.
    pub late: BTreeMap<Key, u64>,
    /// How often the token of its commands was raised above the term.
    fencing_token_raises: u64,
    /// Highest token that it has reported: no command with a lower one is executed.
    highest_fencing_token: u64,
    /// Starts that found no room. They are never sent.
    pub refused: BTreeSet<Key>,
    /// Starts that wait for a stopping task's room.
    pub waiting: BTreeSet<Key>,
    /// Type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot machine.
    pub spot: bool,
    /// Address for direct commands.
    pub address: Option<SocketAddrV4>,
    /// When the cloud takes it.
    pub reclaimed_at: Option<Micros>,
    /// Jobs whose tasks failed here since the last success, and how many.
    pub failed_jobs: BTreeMap<String, u32>,
    /// Since when its failures make it seem faulty.
    pub failing_since: Option<Micros>,
    /// Order of views.
    pub view_seq: u64,
    /// After a direct command that failed, none before this.
    pub direct_after: Micros,
    /// Tasks whose stop was sent directly; reports repeat it if need be.
    pub stops_sent: BTreeSet<Key>,
    /// Its reports arrive, but nothing shows that it receives its answers.
    pub unresponsive: bool,
    /// When its present session was first reported.
    pub incarnation_since: Micros,
    /// Direct commands under way.
    pub direct_busy: bool,
    /// It counted as reporting in time when its view was last made.
    pub fresh: bool,
}

impl ManagedMachine {
    /// Forgets what belonged to a session that is over.
    fn end_incarnation(&mut self) {
        self.tasks.clear();
        self.sent.clear();
        self.late.clear();
        self.refused.clear();
        self.waiting.clear();
        self.stops_sent.clear();
        self.seq = 0;
    }

    /// Takes in a report that came as such (`answerable`) or in the answer to
    /// a direct command; `None` if it is older than what is known, or of a
    /// session that is over.
    ///
    /// Only what came as a report shows that the answer to the one before was
    /// either executed or dropped: the worker has one report under way at a time.
    pub fn apply_heartbeat(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        term: u64,
        answerable: bool,
    ) -> Option<Vec<Outcome>> {
        if heartbeat.incarnation <= self.over_through
            || heartbeat.incarnation < self.incarnation
            || (heartbeat.incarnation == self.incarnation && heartbeat.seq <= self.seq)
        {
            return None;
        }
        if heartbeat.incarnation > self.incarnation {
            self.end_incarnation();
            self.incarnation = heartbeat.incarnation;
            self.incarnation_since = now;
            // The worker has begun a new session, so the earlier ones are over.
            self.over_through = self.over_through.max(heartbeat.incarnation - 1);
            self.known = false;
        }
        self.seq = heartbeat.seq;
        self.highest_fencing_token = self.highest_fencing_token.max(heartbeat.fencing_token);
        self.last_heartbeat = Some(now);
        self.vanished = false;
        self.machine_type.clone_from(&heartbeat.machine_type);
        self.zone.clone_from(&heartbeat.zone);
        self.spot = heartbeat.spot;
        self.address = heartbeat.address.parse().ok();
        self.reclaimed_at = heartbeat.notice_s.map(|s| now + Micros::from_secs_f64(s));
        // A report that does not carry this term's token may be followed by
        // commands of an earlier holder: its list proves no absence.
        if heartbeat.fencing_token < term {
            return Some(Vec::new());
        }
        self.known = true;
        let mut outcomes = Vec::new();
        let mut tasks = BTreeMap::new();
        for t in &heartbeat.tasks {
            let Some(key) = Key::parse(&t.task, t.attempt) else {
                log::warn!("{} reports a task of unknown form", heartbeat.machine);
                continue;
            };
            let observed = observed(t.state, t.cause);
            if self.tasks.get(&key).is_none_or(|old| !old.over()) {
                match observed {
                    ObservedState::Done => outcomes.push(Outcome::Done(key.clone())),
                    ObservedState::Failed if t.cause != Some(Cause::Unknown) => {
                        outcomes.push(Outcome::Failed(key.clone()))
                    }
                    _ => {}
                }
            }
            if let Some(s) = self.sent.remove(&key) {
                // It has what it was told to start.
                self.unresponsive = false;
                if s.sent_directly() {
                    self.late.insert(key.clone(), s.fencing_token);
                }
            }
            self.refused.remove(&key);
            self.waiting.remove(&key);
            tasks.insert(key, observed);
        }
        self.tasks = tasks;
        // This list was made after the worker had seen the token: what it lacks was not
        // begun before, and commands with a lower one are not executed any more.
        let seen = self.highest_fencing_token;
        self.late.retain(|k, fencing_token| self.tasks.contains_key(k) && *fencing_token >= seen);
        for s in self.sent.values_mut().filter(|s| s.fencing_token < seen) {
            s.late = false;
        }
        self.stops_sent.retain(|k| self.tasks.contains_key(k));
        if answerable {
            for s in self.sent.values_mut() {
                s.answered = false;
            }
        }
        Some(outcomes)
    }

    /// The token of its commands under a term; `None` if the term has no further ones.
    pub fn fencing_token(&self, term: u64) -> Option<u64> {
        shard::raised_fencing_token(term, self.fencing_token_raises)
    }

    /// A start that may still arrive by a direct command with the present token, though
    /// `refusal` says that it must not be executed.
    pub fn to_be_revoked(
        &self,
        fencing_token: u64,
        refusal: impl Fn(&Key) -> Option<Option<StartRefusal>>,
    ) -> Option<Revocation> {
        let open =
            self.sent.iter().filter(|(_, s)| s.sent_directly() && s.fencing_token >= fencing_token);
        for (key, sent) in open {
            let Some(reason) = refusal(key) else {
                continue;
            };
            // Commands under way mostly are answered within milliseconds; only what
            // belongs to a job that is over cannot wait for that.
            if sent.late || reason == Some(StartRefusal::JobOver) {
                let start = key.clone();
                return Some(Revocation {
                    start,
                    revoked_fencing_token: sent.fencing_token,
                    reason,
                });
            }
        }
        None
    }

    /// Shows the worker a higher token from now on.
    pub fn raise_fencing_token(&mut self) {
        self.fencing_token_raises += 1;
    }

    /// All attempts of which something is known here.
    pub fn attempts(&self) -> impl Iterator<Item = &Key> {
        self.tasks.keys().chain(self.sent.keys()).chain(&self.refused).chain(&self.waiting)
    }

    /// Whether starts may still arrive by direct commands.
    pub fn has_direct_starts(&self) -> bool {
        self.sent.values().any(|sent| sent.sent_directly())
    }

    /// Starts that may still arrive by direct commands which the token does not outrank.
    pub fn direct_starts(&self, fencing_token: u64) -> impl Iterator<Item = &Key> {
        let open = move |sent: &Sent| sent.sent_directly() && sent.fencing_token >= fencing_token;
        self.sent.iter().filter(move |(_, sent)| open(sent)).map(|(key, _)| key)
    }

    /// Tasks that it is known to have and that are not over.
    pub fn present_count(&self) -> usize {
        self.tasks.values().filter(|observed| !observed.over()).count()
    }

    /// Judges, after a report was taken in, whether the machine receives answers;
    /// `before` is the session known until then.
    ///
    /// An answered report is no proof that the answer was received. A session that
    /// ended although reports were answered a moment ago proves the contrary;
    /// such a machine begins one session after the other, and always looks free.
    pub fn update_responsiveness(&mut self, now: Micros, before: u64, lease: Micros) {
        if self.incarnation > before {
            let lately = self.answered.is_some_and(|at| now.since(at) < Micros(lease.0 / 2));
            self.unresponsive |= before > 0 && lately;
        } else if now.since(self.incarnation_since) > Micros(lease.0 * 2) {
            // A session that lasts has received answers. Twice the lease, since
            // what arrives may have been sent long ago.
            self.unresponsive = false;
        }
    }

    /// Silence for longer than any lease: what ran there is gone. `base` is the
    /// last moment at which anybody may have answered a report. A session that was
    /// reported later, in the answer to a direct command, began at most a moment
    /// before and has its own full lease.
    pub fn expire_incarnation(&mut self, now: Micros, base: Micros, lease: Micros) -> bool {
        if now <= base.max(self.incarnation_since) + lease {
            return false;
        }
        if self.incarnation > self.over_through {
            self.over_through = self.incarnation;
            self.known = false;
            self.end_incarnation();
            return true;
        }
        if self.incarnation == 0 && !self.vanished {
            self.vanished = true;
            return true;
        }
        false
    }

    /// Whether it reports, and its reports are answered: a machine that only direct
    /// commands reach loses all it is given when its lease ends. `base` as for
    /// [`ManagedMachine::expire_incarnation`].
    pub fn in_time(&self, now: Micros, base: Micros, silent: Micros) -> bool {
        let last_heartbeat = self.last_heartbeat.is_some_and(|at| now.since(at) < silent);
        last_heartbeat && now.since(base) < silent
    }

    /// Tasks for the view.
    pub fn observed_tasks(&self) -> Vec<ObservedTask> {
        let observed = |k: &Key, s: ObservedState| ObservedTask {
            job: k.job.clone(),
            index: k.index,
            attempt: k.attempt,
            observed: s as i32,
        };
        let mut list: Vec<ObservedTask> = self.tasks.iter().map(|(k, s)| observed(k, *s)).collect();
        list.extend(self.sent.keys().map(|k| observed(k, ObservedState::Sent)));
        list.extend(self.waiting.iter().map(|k| observed(k, ObservedState::Waiting)));
        list.extend(self.refused.iter().map(|k| observed(k, ObservedState::Refused)));
        list
    }

    /// Takes in the end of a direct command: `executed` is `None` if unknown.
    pub fn direct_ended(&mut self, starts: &[Key], executed: Option<bool>) {
        self.direct_busy = false;
        for key in starts {
            if let Some(s) = self.sent.get_mut(key) {
                s.direct = s.direct.saturating_sub(1);
                s.late |= executed.is_none() && s.fencing_token >= self.highest_fencing_token;
            } else if executed.is_some() {
                self.late.remove(key);
            }
        }
    }
}

fn observed(state: TaskState, cause: Option<Cause>) -> ObservedState {
    match (state, cause) {
        (TaskState::Fetching, _) => ObservedState::Fetching,
        (TaskState::Running, _) => ObservedState::Running,
        (TaskState::Saving, _) => ObservedState::Saving,
        (TaskState::Exited, Some(Cause::Done)) => ObservedState::Done,
        (TaskState::Exited, Some(Cause::Stopped)) => ObservedState::Stopped,
        (TaskState::Exited, Some(Cause::NoRoom | Cause::Busy)) => ObservedState::Refused,
        (TaskState::Exited, _) => ObservedState::Failed,
    }
}

/// A stop.
pub fn stop(key: &Key, grace: Micros) -> Command {
    Command::Stop { task: key.task(), attempt: key.attempt, grace_s: grace.as_secs_f64() }
}

/// Removal of an exited task.
pub fn forget(key: &Key) -> Command {
    Command::Forget { task: key.task(), attempt: key.attempt }
}
