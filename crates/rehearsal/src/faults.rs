//! The faults of a run, drawn from its seed.

use millethold::time::Micros;
use rand::RngExt;
use rand::rngs::StdRng;
use serde::Serialize;
use std::fmt;

/// Time from the start of the workload to the first group of faults; no fault begins earlier.
const FIRST_FAULT_AT: Micros = Micros::secs(3);
/// Time between the starts of two groups of faults.
const FAULT_GROUP_INTERVAL_MS: (u64, u64) = (4_000, 8_000);
/// Duration of a fault.
const FAULT_DURATION_MS: (u64, u64) = (800, 9_000);
/// Time between two failovers of a series.
const FAILOVER_PERIOD_MS: (u64, u64) = (5_000, 7_000);
/// Delay of direct commands. It can exceed [`CANCEL_DEADLINE`](crate::settings::CANCEL_DEADLINE).
const COMMAND_DELAY_MS: (u64, u64) = (1_000, 40_000);
/// Delay after which a copy of a heartbeat arrives.
pub const HEARTBEAT_COPY_DELAY_MS: (u64, u64) = (500, 20_000);
/// Delay after which a transaction without an answer is applied.
pub const LATE_WRITE_DELAY_MS: (u64, u64) = (300, 9_000);

/// A subset of the workers: those whose number modulo `of` is `rest`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct SomeWorkers {
    /// The divisor.
    pub of: usize,
    /// The remainder.
    pub rest: usize,
}

impl SomeWorkers {
    /// Whether the worker of this number is in the subset.
    pub fn contains(self, worker: usize) -> bool {
        worker % self.of.max(1) == self.rest
    }
}

/// What happens to messages on a cut link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cut {
    /// They are held and delivered in order after the cut.
    Held,
    /// Their connections are reset.
    Reset,
}

/// A kind of fault and its parameters.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub enum Fault {
    /// Kills a controller's process and restarts it later.
    Kill {
        /// Number of the controller.
        controller: usize,
        /// Time until the restart.
        back: Micros,
    },
    /// Kills all controllers' processes and restarts them later.
    KillAll {
        /// Time until the restart.
        back: Micros,
    },
    /// Kills the controllers one after another in the order of their numbers, whichever shards they
    /// lead.
    KillInTurn {
        /// Time between two kills.
        pause: Micros,
        /// Time until each restart.
        back: Micros,
    },
    /// Pauses a controller's process.
    Pause {
        /// Number of the controller.
        controller: usize,
    },
    /// Cuts the links between a controller and all of its peers.
    CutPeers {
        /// Number of the controller.
        controller: usize,
        /// What happens to messages.
        cut: Cut,
    },
    /// Holds messages from one controller to another; the opposite direction works.
    CutOneWay {
        /// The controller that sends.
        from: usize,
        /// The controller that does not receive.
        to: usize,
    },
    /// Cuts the link between a controller and the key-value store.
    #[serde(rename = "cut_state")]
    CutKvStore {
        /// Number of the controller.
        controller: usize,
        /// What happens to messages.
        cut: Cut,
    },
    /// The key-value store refuses the requests of a controller.
    RefuseOne {
        /// Number of the controller.
        controller: usize,
    },
    /// The key-value store refuses all requests.
    RefuseAll,
    /// Delays messages to and from the key-value store.
    #[serde(rename = "slow_state")]
    SlowKvStore {
        /// Longest total delay of a request and its answer; each message takes up to half of it.
        by: Micros,
    },
    /// Some transactions are applied late and never answered.
    LateWrites {
        /// Percentage of the transactions.
        percent: u32,
    },
    /// Some transactions are applied, but their answers are lost.
    LostAnswers {
        /// Percentage of the transactions.
        percent: u32,
    },
    /// Cuts the links between a controller and all workers.
    CutWorkers {
        /// Number of the controller.
        controller: usize,
        /// What happens to messages.
        cut: Cut,
    },
    /// Cuts the links between some workers and all controllers.
    CutSome {
        /// The affected workers.
        workers: SomeWorkers,
        /// What happens to messages.
        cut: Cut,
    },
    /// Drops the messages to some workers: answers to heartbeats, and direct commands.
    Deaf {
        /// The affected workers.
        workers: SomeWorkers,
    },
    /// Resets the connections of heartbeats from some workers.
    Mute {
        /// The affected workers.
        workers: SomeWorkers,
    },
    /// Hangs some machines, which then resume.
    Hang {
        /// The affected workers.
        workers: SomeWorkers,
    },
    /// Hangs a machine right after the response to a heartbeat has raised its worker's fencing token, as
    /// the first response of a new leader does.
    HangAfterFailover {
        /// Percentage of these responses.
        percent: u32,
        /// Shortest duration.
        least: Micros,
        /// Longest duration.
        most: Micros,
    },
    /// Delays some direct commands, while heartbeats arrive as usual.
    #[serde(rename = "held_commands")]
    DelayedCommands {
        /// Percentage of the command messages.
        percent: u32,
        /// Shortest delay.
        least: Micros,
        /// Longest delay.
        most: Micros,
    },
    /// Copies some heartbeats, and delivers the copies late to any controller.
    #[serde(rename = "late_reports")]
    LateHeartbeats {
        /// Percentage of the heartbeats.
        percent: u32,
    },
    /// Delays all messages.
    SlowLinks {
        /// Longest delay of a message.
        by: Micros,
    },
    /// Cuts the link between users and a controller.
    CutUsers {
        /// Number of the controller.
        controller: usize,
    },
    /// The cloud refuses all calls.
    CloudAway,
    /// The cloud reclaims some machines.
    ReclaimMachines {
        /// The affected workers.
        workers: SomeWorkers,
    },
    /// Users cancel many running jobs at the same time.
    CancelMany {
        /// Number of jobs; fewer if fewer are running.
        count: usize,
    },
}

/// A fault and its time span.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct PlannedFault {
    /// When it begins, inclusive.
    pub at: Micros,
    /// When it ends, exclusive.
    pub until: Micros,
    /// The fault.
    #[serde(flatten)]
    pub fault: Fault,
}

impl PlannedFault {
    /// Whether the fault is active at this time.
    pub fn active(&self, now: Micros) -> bool {
        self.at <= now && now < self.until
    }

    /// When its effects count as ended: killed controllers have been restarted, and delayed direct
    /// commands, copies of heartbeats and late transactions have arrived. The shorter delays of
    /// [`Fault::SlowLinks`], [`Fault::SlowKvStore`] and held messages are not included.
    pub fn effects_end_at(&self, controllers: usize) -> Micros {
        match self.fault {
            Fault::Kill { back, .. } | Fault::KillAll { back } => self.until + back,
            Fault::KillInTurn { pause, back } => {
                self.at + Micros(pause.0 * controllers as u64) + back
            }
            Fault::DelayedCommands { most, .. } | Fault::HangAfterFailover { most, .. } => {
                self.until + most
            }
            Fault::LateHeartbeats { .. } => self.until + Micros::millis(HEARTBEAT_COPY_DELAY_MS.1),
            Fault::LateWrites { .. } => self.until + Micros::millis(LATE_WRITE_DELAY_MS.1),
            _ => self.until,
        }
    }
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, until) = (self.at.as_secs_f64(), self.until.as_secs_f64());
        write!(f, "{at:6.1} to {until:6.1}: {:?}", self.fault)
    }
}

/// Draws groups of two or three faults that may overlap, with each group starting within
/// `duration`.
pub fn draw_faults(rng: &mut StdRng, duration: Micros, controllers: usize) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut group_start = FIRST_FAULT_AT;
    while group_start < duration {
        for _ in 0..rng.random_range(2..=3) {
            let at = group_start + Micros::millis(rng.random_range(0..2_500));
            let length = Micros::millis(rng.random_range(FAULT_DURATION_MS.0..FAULT_DURATION_MS.1));
            let fault = draw_fault(rng, controllers);
            faults.push(PlannedFault { at, until: at + length, fault });
        }
        group_start +=
            Micros::millis(rng.random_range(FAULT_GROUP_INTERVAL_MS.0..FAULT_GROUP_INTERVAL_MS.1));
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Draws a series of failovers with which faults begin within `duration`: all controllers are killed
/// several times in a row, machines hang after the first response of each new leader until about the next
/// failover, and users cancel jobs in between.
pub fn draw_failover_series(rng: &mut StdRng, duration: Micros) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let period = Micros::millis(rng.random_range(FAILOVER_PERIOD_MS.0..FAILOVER_PERIOD_MS.1));
    let mut at = FIRST_FAULT_AT;
    while at < duration {
        let back = Micros::millis(rng.random_range(20..600));
        faults.push(PlannedFault { at, until: at, fault: Fault::KillAll { back } });
        if rng.random() {
            let at = at + Micros::millis(rng.random_range(1_500..4_000));
            let fault = Fault::CancelMany { count: rng.random_range(4..20) };
            faults.push(PlannedFault { at, until: at, fault });
        }
        at += period;
    }
    let fault = Fault::HangAfterFailover {
        percent: rng.random_range(50..90),
        least: period.since(Micros::secs(1)),
        most: period + Micros::millis(500),
    };
    faults.push(PlannedFault { at: FIRST_FAULT_AT, until: at, fault });
    let from = FIRST_FAULT_AT + Micros(period.0 * rng.random_range(1..3));
    let fault = Fault::CutSome { workers: draw_workers(rng), cut: draw_cut(rng) };
    faults.push(PlannedFault { at: from, until: from + Micros(period.0 / 2), fault });
    faults.retain(|fault| fault.at < duration);
    faults.sort_by_key(|fault| fault.at);
    faults
}

fn draw_cut(rng: &mut StdRng) -> Cut {
    if rng.random() { Cut::Held } else { Cut::Reset }
}

fn draw_workers(rng: &mut StdRng) -> SomeWorkers {
    let of = rng.random_range(2..6);
    SomeWorkers { of, rest: rng.random_range(0..of) }
}

/// Draws the time until a killed controller restarts, often a fraction of a second.
fn draw_restart_delay(rng: &mut StdRng) -> Micros {
    Micros::millis(match rng.random_range(0..3) {
        0 => rng.random_range(20..400),
        1 => rng.random_range(400..3_000),
        _ => rng.random_range(3_000..9_000),
    })
}

fn draw_fault(rng: &mut StdRng, controllers: usize) -> Fault {
    let controller = rng.random_range(0..controllers);
    let other = (controller + 1 + rng.random_range(0..controllers.max(2) - 1)) % controllers;
    match rng.random_range(0..27) {
        0 | 1 => Fault::Kill { controller, back: draw_restart_delay(rng) },
        2 => Fault::KillAll { back: draw_restart_delay(rng) },
        3 => {
            let pause = Micros::millis(rng.random_range(500..2_500));
            Fault::KillInTurn { pause, back: draw_restart_delay(rng) }
        }
        4 | 5 => Fault::Pause { controller },
        6 => Fault::CutPeers { controller, cut: draw_cut(rng) },
        7 => Fault::CutOneWay { from: controller, to: other },
        8 => Fault::CutKvStore { controller, cut: draw_cut(rng) },
        9 | 10 => Fault::RefuseOne { controller },
        11 => Fault::RefuseAll,
        12 => Fault::SlowKvStore { by: Micros::millis(rng.random_range(50..1_500)) },
        13 => Fault::LateWrites { percent: rng.random_range(5..40) },
        14 => Fault::LostAnswers { percent: rng.random_range(5..40) },
        15 => Fault::CutWorkers { controller, cut: draw_cut(rng) },
        16 => Fault::CutSome { workers: draw_workers(rng), cut: draw_cut(rng) },
        17 => Fault::Deaf { workers: draw_workers(rng) },
        18 => Fault::Mute { workers: draw_workers(rng) },
        19 => Fault::Hang { workers: draw_workers(rng) },
        20 | 21 => {
            let least = rng.random_range(COMMAND_DELAY_MS.0..COMMAND_DELAY_MS.1);
            let most = rng.random_range(least..=COMMAND_DELAY_MS.1);
            let percent = rng.random_range(20..90);
            Fault::DelayedCommands {
                percent,
                least: Micros::millis(least),
                most: Micros::millis(most),
            }
        }
        22 => Fault::LateHeartbeats { percent: rng.random_range(5..40) },
        23 => Fault::SlowLinks { by: Micros::millis(rng.random_range(20..400)) },
        24 => Fault::CutUsers { controller },
        25 => match rng.random() {
            true => Fault::CloudAway,
            false => Fault::ReclaimMachines { workers: SomeWorkers { of: 9, rest: 4 } },
        },
        _ => Fault::CancelMany { count: rng.random_range(4..20) },
    }
}
