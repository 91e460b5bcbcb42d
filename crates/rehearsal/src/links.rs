//! What becomes of a message on its way, by the faults that are there.

use crate::faults::{Cut, Fault, LATE_WRITES_MS, PlannedFault};
use millethold::time::Micros;
use rand::RngExt;
use rand::rngs::StdRng;

/// After the end of a cut what it held arrives this much later.
const AFTER_CUT: Micros = Micros::millis(3);

/// A way between two parties.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Users to a controller.
    User {
        /// The controller.
        controller: usize,
    },
    /// A controller to the key-value store.
    KvStore {
        /// The controller.
        controller: usize,
    },
    /// A controller to the cloud.
    Cloud {
        /// The controller.
        controller: usize,
    },
    /// A worker's heartbeats.
    Heartbeat {
        /// The worker.
        worker: usize,
        /// The controller.
        controller: usize,
    },
    /// Direct commands.
    Command {
        /// The worker.
        worker: usize,
        /// The controller.
        controller: usize,
    },
    /// One controller to another.
    Peer {
        /// Who sends.
        from: usize,
        /// Who receives.
        to: usize,
    },
}

/// Whether a message is a request, or an answer to one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From who connected.
    Request,
    /// To who connected.
    Answer,
}

/// What becomes of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// It arrives at this time.
    At(Micros),
    /// It does not arrive, and nobody is answered.
    Lost,
    /// Its connection is reset.
    Reset,
}

/// What becomes of a call to the key-value store beside its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreBehavior {
    /// It is carried out and answered.
    Served,
    /// It is refused.
    Refused,
    /// It is carried out; its answer is lost.
    AnswerLost,
    /// It is carried out at this time, and never answered.
    Late(Micros),
}

/// What becomes of a message that is sent now.
pub fn transmit(
    faults: &[PlannedFault],
    rng: &mut StdRng,
    now: Micros,
    link: Link,
    direction: Direction,
) -> Delivery {
    let mut at = now;
    for planned in faults.iter().filter(|planned| planned.active(now)) {
        match effect(rng, &planned.fault, link, direction) {
            Effect::None => {}
            Effect::Later(by) => at = at.max(now + by),
            Effect::Cut(Cut::Held) => at = at.max(planned.until + AFTER_CUT),
            Effect::Cut(Cut::Reset) => return Delivery::Reset,
            Effect::Lost => return Delivery::Lost,
        }
    }
    Delivery::At(at)
}

/// What one fault does to a message.
enum Effect {
    None,
    Later(Micros),
    Cut(Cut),
    Lost,
}

fn up_to(rng: &mut StdRng, most: Micros) -> Micros {
    Micros(rng.random_range(0..=most.0))
}

/// What one fault does to a message on a link.
fn effect(rng: &mut StdRng, fault: &Fault, link: Link, direction: Direction) -> Effect {
    match *fault {
        Fault::SlowLinks { by } => Effect::Later(up_to(rng, by)),
        Fault::SlowKvStore { by } if matches!(link, Link::KvStore { .. }) => {
            Effect::Later(up_to(rng, Micros(by.0 / 2)))
        }
        Fault::CutPeers { controller, cut } => match link {
            Link::Peer { from, to } if from == controller || to == controller => Effect::Cut(cut),
            _ => Effect::None,
        },
        Fault::CutOneWay { from, to } if link == (Link::Peer { from, to }) => {
            Effect::Cut(Cut::Held)
        }
        Fault::CutKvStore { controller, cut } if link == (Link::KvStore { controller }) => {
            Effect::Cut(cut)
        }
        Fault::CutUsers { controller } if link == (Link::User { controller }) => {
            Effect::Cut(Cut::Reset)
        }
        _ => match link {
            Link::Heartbeat { .. } | Link::Command { .. } => {
                worker_link_effect(rng, fault, link, direction)
            }
            _ => Effect::None,
        },
    }
}

/// What a fault of workers does to a message between a worker and a controller.
fn worker_link_effect(rng: &mut StdRng, fault: &Fault, link: Link, direction: Direction) -> Effect {
    let (Link::Heartbeat { worker, controller } | Link::Command { worker, controller }) = link
    else {
        return Effect::None;
    };
    let is_heartbeat = matches!(link, Link::Heartbeat { .. });
    let is_command = !is_heartbeat && direction == Direction::Request;
    match *fault {
        Fault::CutWorkers { controller: cut_off, cut } if cut_off == controller => Effect::Cut(cut),
        Fault::CutSome { workers, cut } if workers.has(worker) => Effect::Cut(cut),
        // Neither the answers to its heartbeats nor commands arrive.
        Fault::Deaf { workers }
            if workers.has(worker) && is_heartbeat == (direction == Direction::Answer) =>
        {
            Effect::Lost
        }
        Fault::Mute { workers } if is_heartbeat && workers.has(worker) => Effect::Cut(Cut::Reset),
        Fault::DelayedCommands { percent, least, most }
            if is_command && rng.random_range(0..100) < percent =>
        {
            Effect::Later(Micros(rng.random_range(least.0..=most.0)))
        }
        _ => Effect::None,
    }
}

/// What the key-value store does with a call of a controller; `changes` says that it
/// changes what is stored.
pub fn store_behavior(
    faults: &[PlannedFault],
    rng: &mut StdRng,
    now: Micros,
    controller: usize,
    changes: bool,
) -> StoreBehavior {
    for planned in faults.iter().filter(|planned| planned.active(now)) {
        match planned.fault {
            Fault::RefuseAll => return StoreBehavior::Refused,
            Fault::RefuseOne { controller: refused } if refused == controller => {
                return StoreBehavior::Refused;
            }
            Fault::LateWrites { percent } if changes && rng.random_range(0..100) < percent => {
                let by = rng.random_range(LATE_WRITES_MS.0..LATE_WRITES_MS.1);
                return StoreBehavior::Late(now + Micros::millis(by));
            }
            Fault::LostAnswers { percent } if changes && rng.random_range(0..100) < percent => {
                return StoreBehavior::AnswerLost;
            }
            _ => {}
        }
    }
    StoreBehavior::Served
}

/// Whether the key-value store refuses a controller at present.
pub fn refused(faults: &[PlannedFault], now: Micros, controller: usize) -> bool {
    let refuses = |fault: &Fault| match fault {
        Fault::RefuseAll => true,
        Fault::RefuseOne { controller: refused } => *refused == controller,
        _ => false,
    };
    faults.iter().any(|planned| planned.active(now) && refuses(&planned.fault))
}
