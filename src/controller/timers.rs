//! When the controller's periodic work is due, and how often.

use crate::time::Micros;

/// Between frames to peers while nothing changes.
const PEER_HEARTBEAT_INTERVAL: Micros = Micros::millis(800);
/// Between frames that carry this process's waiting tasks.
const DEMAND_INTERVAL: Micros = Micros::millis(400);
/// Between frames that carry jobs' progress.
const PROGRESS_INTERVAL: Micros = Micros::millis(400);
/// Between frames that name peers of whom a frame was missed.
const MISSED_FRAMES_INTERVAL: Micros = Micros::secs(1);
/// Between rounds of upkeep over machines and jobs.
const UPKEEP_INTERVAL: Micros = Micros::millis(250);
/// Between recomputations of what teams may claim within their guarantees.
const GUARANTEES_INTERVAL: Micros = Micros::secs(1);
/// Between reconciliations of the teams' grants.
const QUOTAS_INTERVAL: Micros = Micros::millis(300);
/// How often the desired state is repeated for tasks that no machine has observed for as long.
pub(crate) const UNOBSERVED_REPEAT_INTERVAL: Micros = Micros::secs(8);
/// Between log lines about refused requests.
const REFUSALS_INTERVAL: Micros = Micros::secs(10);

/// Work that is due every so often, at once after the start.
#[derive(Debug, Clone)]
pub(crate) struct Timer {
    due_at: Micros,
    interval: Micros,
}

impl Timer {
    fn new(interval: Micros) -> Timer {
        Timer { due_at: Micros::ZERO, interval }
    }

    /// Whether the work is due.
    pub(crate) fn is_due(&self, now: Micros) -> bool {
        now >= self.due_at
    }

    /// The work is done now: it is due again after the interval.
    pub(crate) fn restart(&mut self, now: Micros) {
        self.due_at = now + self.interval;
    }

    /// Whether the work is due; if so, it is due again after the interval.
    pub(crate) fn restart_if_due(&mut self, now: Micros) -> bool {
        let due = self.is_due(now);
        if due {
            self.restart(now);
        }
        due
    }
}

/// When each kind of periodic work is due next.
#[derive(Debug, Clone)]
pub(crate) struct Timers {
    /// A frame to every peer, even if nothing has changed.
    pub(crate) peer_heartbeat: Timer,
    /// Waiting tasks and quota demand, sent to peers.
    pub(crate) demand: Timer,
    /// Jobs' progress, sent to peers.
    pub(crate) progress: Timer,
    /// Names of peers of whom a frame was missed, sent to them.
    pub(crate) missed_frames: Timer,
    /// Upkeep of machines, jobs and preemption requests.
    pub(crate) upkeep: Timer,
    /// Claims within the teams' guarantees.
    pub(crate) guarantees: Timer,
    /// Reconciliation of the teams' grants.
    pub(crate) quotas: Timer,
    /// Log lines about refused requests.
    pub(crate) refusals: Timer,
    /// Repetition of the desired state of tasks that no machine has observed.
    pub(crate) unobserved_repeat: Timer,
}

impl Default for Timers {
    fn default() -> Timers {
        Timers {
            peer_heartbeat: Timer::new(PEER_HEARTBEAT_INTERVAL),
            demand: Timer::new(DEMAND_INTERVAL),
            progress: Timer::new(PROGRESS_INTERVAL),
            missed_frames: Timer::new(MISSED_FRAMES_INTERVAL),
            upkeep: Timer::new(UPKEEP_INTERVAL),
            guarantees: Timer::new(GUARANTEES_INTERVAL),
            quotas: Timer::new(QUOTAS_INTERVAL),
            refusals: Timer::new(REFUSALS_INTERVAL),
            unobserved_repeat: Timer::new(UNOBSERVED_REPEAT_INTERVAL),
        }
    }
}
