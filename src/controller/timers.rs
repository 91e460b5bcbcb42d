//! Intervals and due times of the controller's periodic work.

use crate::time::Micros;

/// Interval between frames to peers while nothing changes.
const PEER_HEARTBEAT_INTERVAL: Micros = Micros::millis(800);
/// Interval between frames that carry this process's pending tasks.
const DEMAND_INTERVAL: Micros = Micros::millis(400);
/// Interval between frames that carry jobs' progress.
const PROGRESS_INTERVAL: Micros = Micros::millis(400);
/// Interval between frames that name peers from which a frame was missed.
const MISSED_FRAMES_INTERVAL: Micros = Micros::secs(1);
/// Interval between rounds of maintenance of machines and jobs.
const MAINTENANCE_INTERVAL: Micros = Micros::millis(250);
/// Interval between recomputations of what teams may claim within their guarantees.
const GUARANTEES_INTERVAL: Micros = Micros::secs(1);
/// Interval between reconciliations of the teams' grants.
const QUOTAS_INTERVAL: Micros = Micros::millis(300);
/// Interval between repetitions of the desired state of tasks that no machine has observed for at
/// least this long.
pub(crate) const UNOBSERVED_RESEND_INTERVAL: Micros = Micros::secs(8);
/// Interval between log lines about refused requests.
const REFUSALS_INTERVAL: Micros = Micros::secs(10);

/// Due time and interval of periodic work, which is first due immediately after the start.
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

    /// Makes the work due again one interval after `now`.
    pub(crate) fn restart(&mut self, now: Micros) {
        self.due_at = now + self.interval;
    }

    /// Returns whether the work is due; if so, makes it due again one interval after `now`.
    pub(crate) fn restart_if_due(&mut self, now: Micros) -> bool {
        let due = self.is_due(now);
        if due {
            self.restart(now);
        }
        due
    }
}

/// Timers of each kind of periodic work.
#[derive(Debug, Clone)]
pub(crate) struct Timers {
    /// Frames to every peer, even if nothing has changed.
    pub(crate) peer_heartbeat: Timer,
    /// Pending tasks and quota demand, sent to peers.
    pub(crate) demand: Timer,
    /// Jobs' progress, sent to peers.
    pub(crate) progress: Timer,
    /// Numbers of peers from which a frame was missed, sent so that they send a full frame.
    pub(crate) missed_frames: Timer,
    /// Maintenance of machines, jobs and preemption requests.
    pub(crate) maintenance: Timer,
    /// Claims within the teams' guarantees.
    pub(crate) guarantees: Timer,
    /// Reconciliation of the teams' grants.
    pub(crate) quotas: Timer,
    /// Log lines about refused requests.
    pub(crate) refusals: Timer,
    /// Repetition of the desired state of tasks that no machine has observed.
    pub(crate) unobserved_resend: Timer,
}

impl Default for Timers {
    fn default() -> Timers {
        Timers {
            peer_heartbeat: Timer::new(PEER_HEARTBEAT_INTERVAL),
            demand: Timer::new(DEMAND_INTERVAL),
            progress: Timer::new(PROGRESS_INTERVAL),
            missed_frames: Timer::new(MISSED_FRAMES_INTERVAL),
            maintenance: Timer::new(MAINTENANCE_INTERVAL),
            guarantees: Timer::new(GUARANTEES_INTERVAL),
            quotas: Timer::new(QUOTAS_INTERVAL),
            refusals: Timer::new(REFUSALS_INTERVAL),
            unobserved_resend: Timer::new(UNOBSERVED_RESEND_INTERVAL),
        }
    }
}
