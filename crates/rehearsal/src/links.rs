//! Effects of the active faults on messages and on calls to the key-value store.

use crate::faults::{Cut, Fault, LATE_WRITE_DELAY_MS, PlannedFault};
use millethold::time::Micros;
use rand::RngExt;
use rand::rngs::StdRng;

/// Messages that a cut held are delivered this long after its end.
const HELD_DELIVERY_DELAY: Micros = Micros::millis(3);

/// A link between two parties.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// From users to a controller.
    User {
        /// Number of the controller.
        controller: usize,
    },
    /// From a controller to the key-value store.
    KvStore {
        /// Number of the controller.
        controller: usize,
    },
    /// From a controller to the cloud.
    Cloud {
        /// Number of the controller.
        controller: usize,
    },
    /// From a worker to a controller, for heartbeats.
    Heartbeat {
        /// Number of the worker.
        worker: usize,
        /// Number of the controller.
        controller: usize,
    },
    /// From a controller to a worker, for direct commands.
    Command {
        /// Number of the worker.
        worker: usize,
        /// Number of the controller.
        controller: usize,
    },
    /// From one controller to another.
    Peer {
        /// Number of the controller that sends.
        from: usize,
        /// Number of the controller that receives.
        to: usize,
    },
}

/// Whether a message is a request or a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the party that connected.
    Request,
    /// To the party that connected.
    Response,
}

/// Whether and when a message arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// It arrives at this time.
    At(Micros),
    /// It never arrives, and its sender gets no answer or error.
    Lost,
    /// Its connection is reset.
    Reset,
}

/// How the key-value store treats a call that has reached it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreBehavior {
    /// The call is executed and answered.
    Served,
    /// The call is refused.
    Refused,
    /// The call is executed, but its answer is lost.
    AnswerLost,
    /// The call is executed at this time and never answered.
    Late(Micros),
}

/// Determines whether and when a message that is sent now arrives.
pub fn transmit(
    faults: &[PlannedFault],
    rng: &mut StdRng,
    now: Micros,
    link: Link,
    direction: Direction,
) -> Delivery {
    let mut at = now;
    for planned in faults.iter().filter(|planned| planned.active(now)) {
        match fault_effect(rng, &planned.fault, link, direction) {
            Effect::None => {}
            Effect::Delay(by) => at = at.max(now + by),
            Effect::Cut(Cut::Held) => at = at.max(planned.until + HELD_DELIVERY_DELAY),
            Effect::Cut(Cut::Reset) => return Delivery::Reset,
            Effect::Lost => return Delivery::Lost,
        }
    }
    Delivery::At(at)
}

/// The effect of one fault on a message.
enum Effect {
    None,
    Delay(Micros),
    Cut(Cut),
    Lost,
}

fn draw_up_to(rng: &mut StdRng, max: Micros) -> Micros {
    Micros(rng.random_range(0..=max.0))
}

/// The effect of one fault on a message on a link.
fn fault_effect(rng: &mut StdRng, fault: &Fault, link: Link, direction: Direction) -> Effect {
    match *fault {
        Fault::SlowLinks { by } => Effect::Delay(draw_up_to(rng, by)),
        Fault::SlowKvStore { by } if matches!(link, Link::KvStore { .. }) => {
            Effect::Delay(draw_up_to(rng, Micros(by.0 / 2)))
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

/// The effect of one fault on a message between a worker and a controller.
fn worker_link_effect(rng: &mut StdRng, fault: &Fault, link: Link, direction: Direction) -> Effect {
    let (Link::Heartbeat { worker, controller } | Link::Command { worker, controller }) = link
    else {
        return Effect::None;
    };
    let is_heartbeat = matches!(link, Link::Heartbeat { .. });
    let is_command = !is_heartbeat && direction == Direction::Request;
    match *fault {
        Fault::CutWorkers { controller: cut_off, cut } if cut_off == controller => Effect::Cut(cut),
        Fault::CutSome { workers, cut } if workers.contains(worker) => Effect::Cut(cut),
        // Drops the answers to heartbeats and the direct commands.
        Fault::Deaf { workers }
            if workers.contains(worker) && is_heartbeat == (direction == Direction::Response) =>
        {
            Effect::Lost
        }
        Fault::Mute { workers } if is_heartbeat && workers.contains(worker) => {
            Effect::Cut(Cut::Reset)
        }
        Fault::DelayedCommands { percent, least, most }
            if is_command && rng.random_range(0..100) < percent =>
        {
            Effect::Delay(Micros(rng.random_range(least.0..=most.0)))
        }
        _ => Effect::None,
    }
}

/// Determines how the key-value store treats a controller's call. `is_write` says that the call
/// changes stored data; only such calls are delayed or lose their answers.
pub fn store_behavior(
    faults: &[PlannedFault],
    rng: &mut StdRng,
    now: Micros,
    controller: usize,
    is_write: bool,
) -> StoreBehavior {
    for planned in faults.iter().filter(|planned| planned.active(now)) {
        match planned.fault {
            Fault::RefuseAll => return StoreBehavior::Refused,
            Fault::RefuseOne { controller: refused } if refused == controller => {
                return StoreBehavior::Refused;
            }
            Fault::LateWrites { percent } if is_write && rng.random_range(0..100) < percent => {
                let by = rng.random_range(LATE_WRITE_DELAY_MS.0..LATE_WRITE_DELAY_MS.1);
                return StoreBehavior::Late(now + Micros::millis(by));
            }
            Fault::LostAnswers { percent } if is_write && rng.random_range(0..100) < percent => {
                return StoreBehavior::AnswerLost;
            }
            _ => {}
        }
    }
    StoreBehavior::Served
}

/// Whether the key-value store currently refuses the requests of a controller.
pub fn refuses_controller(faults: &[PlannedFault], now: Micros, controller: usize) -> bool {
    let refuses = |fault: &Fault| match fault {
        Fault::RefuseAll => true,
        Fault::RefuseOne { controller: refused } => *refused == controller,
        _ => false,
    };
    faults.iter().any(|planned| planned.active(now) && refuses(&planned.fault))
}
