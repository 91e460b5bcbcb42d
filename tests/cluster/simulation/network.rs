//! Message delays, and who currently reaches whom.

use super::world::World;
use millethold::time::Micros;
use rand::RngExt;

/// Time after the start of a controller's process in which its calls may be slow.
const START_PHASE: Micros = Micros::secs(1);

impl World {
    /// Draws the delay of a message.
    pub(super) fn delay(&mut self) -> Micros {
        let slow = self.faults.slow_links.filter(|s| self.during(s.0, s.1));
        let extra = slow.map_or(0, |s| self.rng.random_range(0..s.2 * 1_000));
        Micros(self.rng.random_range(300..8_000) + extra)
    }

    /// Additional delay of a key-value store call under `Faults::slow_kv_store`.
    pub(super) fn kv_store_extra_delay(&mut self) -> Micros {
        let slow = self.faults.slow_kv_store.filter(|s| self.during(s.0, s.1));
        Micros(slow.map_or(0, |s| self.rng.random_range(0..s.2 * 1_000)))
    }

    /// Additional delay of a key-value store call under `Faults::slow_calls_at_start`.
    pub(super) fn extra_delay_at_start(&mut self, controller: usize) -> Micros {
        let (Some(max_ms), Some(process)) =
            (self.faults.slow_calls_at_start, &self.processes[controller])
        else {
            return Micros::ZERO;
        };
        let is_slow = self.now.since(process.started_at) < START_PHASE && self.rng.random();
        Micros(if is_slow { self.rng.random_range(0..max_ms * 1_000) } else { 0 })
    }

    /// Whether the key-value store currently refuses a controller, alone or in an outage.
    pub(super) fn kv_store_refuses(&self, controller: usize) -> bool {
        let cut = |(n, f, t): &(usize, u64, u64)| *n == controller && self.during(*f, *t);
        self.in_outage() || self.faults.kv_store_cuts.iter().any(cut)
    }

    /// Whether the key-value store is in an outage.
    pub(super) fn in_outage(&self) -> bool {
        self.faults.outages.iter().any(|(f, t)| self.during(*f, *t))
    }

    /// Draws whether an event of probability `p` happens; draws no number if `p` is 0.
    pub(super) fn chance(&mut self, p: f64) -> bool {
        p > 0.0 && self.rng.random_range(0.0..1.0) < p
    }

    /// Whether the current time is from second `from` until before second `to`.
    pub(super) fn during(&self, from: u64, to: u64) -> bool {
        self.now >= Micros::secs(from) && self.now < Micros::secs(to)
    }

    /// Until when a worker is cut off or hangs; `None` if it is neither.
    pub(super) fn worker_cut(&self, worker: usize) -> Option<Micros> {
        let hangs = self.hanging.get(&worker).copied().filter(|until| self.now < *until);
        let cut = self
            .faults
            .worker_cuts
            .iter()
            .find(|(w, from, to, _)| *w == worker && self.during(*from, *to));
        hangs.max(cut.map(|cut| Micros::secs(cut.2)))
    }

    /// Whether the heartbeats of a worker reach no controller.
    pub(super) fn outbound_cut(&self, worker: usize) -> bool {
        self.faults
            .outbound_cuts
            .iter()
            .any(|(w, from, to)| *w == worker && self.during(*from, *to))
    }

    /// Until when a controller and all workers are cut from each other, and whether packets are
    /// held instead of lost; `None` if there is no cut.
    pub(super) fn controller_cut(&self, controller: usize) -> Option<(Micros, bool)> {
        let mut cuts = self.faults.controller_cuts.iter();
        let cut = cuts.find(|(n, from, to, _)| *n == controller && self.during(*from, *to))?;
        Some((Micros::secs(cut.2), cut.3))
    }

    /// Whether a worker and a controller are cut from each other because only another controller
    /// reaches the worker.
    pub(super) fn unreachable_from(&self, worker: usize, controller: usize) -> bool {
        let mut only = self.faults.only_reachable_by.iter();
        only.any(|(w, n, from, to)| *w == worker && *n != controller && self.during(*from, *to))
    }

    /// Whether no answer or direct command reaches a worker.
    pub(super) fn inbound_cut(&self, worker: usize) -> bool {
        self.faults.inbound_cuts.iter().any(|(w, from, to)| *w == worker && self.during(*from, *to))
    }

    /// Whether a worker hangs.
    pub(super) fn hangs(&self, worker: usize) -> bool {
        if self.hanging.get(&worker).is_some_and(|until| self.now < *until) {
            return true;
        }
        self.faults
            .worker_cuts
            .iter()
            .any(|(w, from, to, hang)| *w == worker && *hang && self.during(*from, *to))
    }

    /// Whether frames between two controllers are held, in both directions.
    pub(super) fn peers_cut(&self, x: usize, y: usize) -> bool {
        self.faults.peer_cuts.iter().any(|(a, b, from, to)| {
            ((*a, *b) == (x, y) || (*a, *b) == (y, x)) && self.during(*from, *to)
        })
    }

    /// Whether frames between two controllers are lost, in both directions.
    pub(super) fn peers_reset(&self, x: usize, y: usize) -> bool {
        self.faults.peer_resets.iter().any(|(a, b, from, to)| {
            ((*a, *b) == (x, y) || (*a, *b) == (y, x)) && self.during(*from, *to)
        })
    }

    /// Whether frames from one controller to another are held, in this direction only.
    pub(super) fn one_way_cut(&self, from: usize, to: usize) -> bool {
        let mut cuts = self.faults.one_way_cuts.iter();
        cuts.any(|(a, b, f, t)| (*a, *b) == (from, to) && self.during(*f, *t))
    }

    /// End of the last of the current cuts that hold frames.
    pub(super) fn held_frames_until(&self) -> Micros {
        let cuts = self.faults.peer_cuts.iter().chain(&self.faults.one_way_cuts);
        let ends = cuts.filter(|c| self.during(c.2, c.3)).map(|c| c.3);
        Micros::secs(ends.max().unwrap_or(0)) + Micros(1)
    }

    /// Whether users cannot reach a controller.
    pub(super) fn users_cut(&self, controller: usize) -> bool {
        let cut = |(n, f, t): &(usize, u64, u64)| *n == controller && self.during(*f, *t);
        self.faults.user_cuts.iter().any(cut)
    }

    /// Whether the watches of a controller hang.
    pub(super) fn watches_hang(&self, controller: usize) -> bool {
        let mut hung = self.faults.hung_watches.iter();
        hung.any(|(n, f, t)| *n == controller && self.during(*f, *t))
    }

    /// Until when a controller is frozen; `None` if it is not.
    pub(super) fn frozen_until(&self, controller: usize) -> Option<Micros> {
        let mut frozen = self.faults.frozen.iter().filter(|f| f.0 == controller);
        frozen.find(|f| self.during(f.1, f.2)).map(|f| Micros::secs(f.2) + Micros(1))
    }
}
