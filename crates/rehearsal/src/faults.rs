//! What goes wrong in a run, drawn by its seed.

use millethold::time::Micros;
use rand::RngExt;
use rand::rngs::StdRng;
use serde::Serialize;
use std::fmt;

/// Nothing goes wrong before this.
const FIRST_FAULT_AT: Micros = Micros::secs(3);
/// Between the beginnings of two groups of faults.
const FAULT_GROUP_INTERVAL_MS: (u64, u64) = (4_000, 8_000);
/// How long a fault lasts.
const FAULT_DURATION_MS: (u64, u64) = (800, 9_000);
/// Direct commands are held for so long: also for longer than a cancellation has.
const DELAYED_COMMANDS_MS: (u64, u64) = (1_000, 40_000);
/// Copies of heartbeats come so much later.
pub const LATE_HEARTBEATS_MS: (u64, u64) = (500, 20_000);
/// Transactions without an answer are carried out so much later.
pub const LATE_WRITES_MS: (u64, u64) = (300, 9_000);

/// Some of the workers: those whose number leaves this rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct SomeWorkers {
    /// Divisor.
    pub of: usize,
    /// Rest.
    pub rest: usize,
}

impl SomeWorkers {
    /// Whether a worker is one of them.
    pub fn has(self, worker: usize) -> bool {
        worker % self.of.max(1) == self.rest
    }
}

/// What becomes of messages on a link that is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cut {
    /// They are held, and delivered in order afterwards.
    Held,
    /// Connections are reset.
    Reset,
}

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub enum Fault {
    /// A controller's process is killed, and back after so long.
    Kill {
        /// Its number.
        controller: usize,
        /// Until it is back.
        back: Micros,
    },
    /// All are.
    KillAll {
        /// Until it is back.
        back: Micros,
    },
    /// One after the other, whoever leads.
    KillInTurn {
        /// Between two of them.
        pause: Micros,
        /// Until it is back.
        back: Micros,
    },
    /// A controller's process stands still.
    Pause {
        /// Its number.
        controller: usize,
    },
    /// A controller and its peers are out of each other's reach.
    CutPeers {
        /// Its number.
        controller: usize,
        /// What becomes of messages.
        cut: Cut,
    },
    /// What one controller sends another does not arrive; the other way is open.
    CutOneWay {
        /// Who sends.
        from: usize,
        /// Who does not receive.
        to: usize,
    },
    /// A controller and the key-value store are.
    #[serde(rename = "cut_state")]
    CutKvStore {
        /// Its number.
        controller: usize,
        /// What becomes of messages.
        cut: Cut,
    },
    /// The key-value store refuses a controller.
    RefuseOne {
        /// Its number.
        controller: usize,
    },
    /// It refuses all.
    RefuseAll,
    /// It answers late, by up to so much.
    #[serde(rename = "slow_state")]
    SlowKvStore {
        /// How much at most.
        by: Micros,
    },
    /// Of some transactions nobody hears, and they are carried out late.
    LateWrites {
        /// How many of a hundred.
        percent: u32,
    },
    /// Of some transactions only the answer is lost.
    LostAnswers {
        /// How many of a hundred.
        percent: u32,
    },
    /// A controller and all workers are out of each other's reach.
    CutWorkers {
        /// Its number.
        controller: usize,
        /// What becomes of messages.
        cut: Cut,
    },
    /// These workers are out of every controller's reach.
    CutSome {
        /// Which.
        workers: SomeWorkers,
        /// What becomes of messages.
        cut: Cut,
    },
    /// Answers and commands do not reach these workers.
    Deaf {
        /// Which.
        workers: SomeWorkers,
    },
    /// Heartbeats of these workers do not arrive.
    Mute {
        /// Which.
        workers: SomeWorkers,
    },
    /// These machines hang, and go on afterwards.
    Hang {
        /// Which.
        workers: SomeWorkers,
    },
    /// Some direct commands are held, while heartbeats go on.
    #[serde(rename = "held_commands")]
    DelayedCommands {
        /// How many of a hundred.
        percent: u32,
        /// At least so long.
        least: Micros,
        /// At most so long.
        most: Micros,
    },
    /// Of some heartbeats a copy comes later, at any controller.
    #[serde(rename = "late_reports")]
    LateHeartbeats {
        /// How many of a hundred.
        percent: u32,
    },
    /// All messages take longer, by up to so much.
    SlowLinks {
        /// How much at most.
        by: Micros,
    },
    /// Users do not reach a controller.
    CutUsers {
        /// Its number.
        controller: usize,
    },
    /// The cloud refuses all calls.
    CloudAway,
    /// The cloud takes some machines.
    ReclaimMachines {
        /// Which.
        workers: SomeWorkers,
    },
    /// Users call off many running jobs at once.
    CancelMany {
        /// How many.
        count: usize,
    },
}

/// A fault, and when it is there.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct PlannedFault {
    /// When it begins.
    pub at: Micros,
    /// When it is over.
    pub until: Micros,
    /// What it is.
    #[serde(flatten)]
    pub fault: Fault,
}

impl PlannedFault {
    /// Whether it is there at this time.
    pub fn active(&self, now: Micros) -> bool {
        self.at <= now && now < self.until
    }

    /// When its last effect is over: what it delayed has arrived, and what it killed is back.
    pub fn effects_over_at(&self, controllers: usize) -> Micros {
        match self.fault {
            Fault::Kill { back, .. } | Fault::KillAll { back } => self.until + back,
            Fault::KillInTurn { pause, back } => {
                self.at + Micros(pause.0 * controllers as u64) + back
            }
            Fault::DelayedCommands { most, .. } => self.until + most,
            Fault::LateHeartbeats { .. } => self.until + Micros::millis(LATE_HEARTBEATS_MS.1),
            Fault::LateWrites { .. } => self.until + Micros::millis(LATE_WRITES_MS.1),
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

/// Draws groups of two or three faults that overlap, over so much time.
pub fn draw_faults(rng: &mut StdRng, over: Micros, controllers: usize) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut group = FIRST_FAULT_AT;
    while group < over {
        for _ in 0..rng.random_range(2..=3) {
            let at = group + Micros::millis(rng.random_range(0..2_500));
            let lasts = Micros::millis(rng.random_range(FAULT_DURATION_MS.0..FAULT_DURATION_MS.1));
            let fault = draw_fault(rng, controllers);
            faults.push(PlannedFault { at, until: at + lasts, fault });
        }
        group +=
            Micros::millis(rng.random_range(FAULT_GROUP_INTERVAL_MS.0..FAULT_GROUP_INTERVAL_MS.1));
    }
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

/// A time until a process is back: often a fraction of a second.
fn draw_back(rng: &mut StdRng) -> Micros {
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
        0 | 1 => Fault::Kill { controller, back: draw_back(rng) },
        2 => Fault::KillAll { back: draw_back(rng) },
        3 => {
            let pause = Micros::millis(rng.random_range(500..2_500));
            Fault::KillInTurn { pause, back: draw_back(rng) }
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
            let least = rng.random_range(DELAYED_COMMANDS_MS.0..DELAYED_COMMANDS_MS.1);
            let most = rng.random_range(least..=DELAYED_COMMANDS_MS.1);
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
