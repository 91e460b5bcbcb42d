//! Delays, and who reaches whom at present.

use super::world::World;
use millethold::time::Micros;
use rand::RngExt;

impl World {
    pub(super) fn delay(&mut self) -> Micros {
        let slow = self.faults.slow_links.filter(|s| self.during(s.0, s.1));
        let more = slow.map_or(0, |s| self.rng.random_range(0..s.2 * 1_000));
        Micros(self.rng.random_range(300..8_000) + more)
    }

    /// Further time that a call of the key-value store takes at present.
    pub(super) fn kv_store_slow(&mut self) -> Micros {
        let slow = self.faults.slow_kv_store.filter(|s| self.during(s.0, s.1));
        Micros(slow.map_or(0, |s| self.rng.random_range(0..s.2 * 1_000)))
    }

    /// Whether the key-value store refuses a controller, alone or with all others.
    pub(super) fn refused(&self, node: usize) -> bool {
        let cut = |(n, f, t): &(usize, u64, u64)| *n == node && self.during(*f, *t);
        self.out() || self.faults.kv_store_cuts.iter().any(cut)
    }

    /// Whether the key-value store is away.
    pub(super) fn out(&self) -> bool {
        self.faults.outages.iter().any(|(f, t)| self.during(*f, *t))
    }

    /// Draws whether something of this chance happens.
    pub(super) fn chance(&mut self, p: f64) -> bool {
        p > 0.0 && self.rng.random_range(0.0..1.0) < p
    }

    /// Whether it is between these seconds.
    pub(super) fn during(&self, from: u64, to: u64) -> bool {
        self.now >= Micros::secs(from) && self.now < Micros::secs(to)
    }

    /// Until when a worker is cut off, if it is.
    pub(super) fn worker_cut(&self, worker: usize) -> Option<Micros> {
        let hangs = self.hanging.get(&worker).copied().filter(|until| self.now < *until);
        let cut = self
            .faults
            .worker_cuts
            .iter()
            .find(|(w, from, to, _)| *w == worker && self.during(*from, *to));
        hangs.max(cut.map(|cut| Micros::secs(cut.2)))
    }

    /// Whether a worker reaches no controller.
    pub(super) fn mute(&self, worker: usize) -> bool {
        self.faults.mute.iter().any(|(w, from, to)| *w == worker && self.during(*from, *to))
    }

    /// Whether a controller and the workers are cut: until when, and if packets
    /// are held.
    pub(super) fn node_cut(&self, node: usize) -> Option<(Micros, bool)> {
        let mut cuts = self.faults.node_cuts.iter();
        let cut = cuts.find(|(n, from, to, _)| *n == node && self.during(*from, *to))?;
        Some((Micros::secs(cut.2), cut.3))
    }

    /// Whether a worker and a controller are apart because another alone reaches it.
    pub(super) fn apart(&self, worker: usize, node: usize) -> bool {
        let mut only = self.faults.only.iter();
        only.any(|(w, n, from, to)| *w == worker && *n != node && self.during(*from, *to))
    }

    /// Whether nothing reaches a worker.
    pub(super) fn deaf(&self, worker: usize) -> bool {
        self.faults.deaf.iter().any(|(w, from, to)| *w == worker && self.during(*from, *to))
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

    /// Whether frames between two controllers are held, both ways.
    pub(super) fn peers_cut(&self, x: usize, y: usize) -> bool {
        self.faults.peer_cuts.iter().any(|(a, b, from, to)| {
            ((*a, *b) == (x, y) || (*a, *b) == (y, x)) && self.during(*from, *to)
        })
    }

    /// Whether frames between two controllers are lost.
    pub(super) fn peers_reset(&self, x: usize, y: usize) -> bool {
        self.faults.peer_resets.iter().any(|(a, b, from, to)| {
            ((*a, *b) == (x, y) || (*a, *b) == (y, x)) && self.during(*from, *to)
        })
    }

    /// Whether frames from one controller to another are held, this way alone.
    pub(super) fn one_way_cut(&self, from: usize, to: usize) -> bool {
        let mut cuts = self.faults.one_way.iter();
        cuts.any(|(a, b, f, t)| (*a, *b) == (from, to) && self.during(*f, *t))
    }

    /// When the last of the cuts that hold frames at present is over.
    pub(super) fn held_frames_until(&self) -> Micros {
        let cuts = self.faults.peer_cuts.iter().chain(&self.faults.one_way);
        let ends = cuts.filter(|c| self.during(c.2, c.3)).map(|c| c.3);
        Micros::secs(ends.max().unwrap_or(0)) + Micros(1)
    }

    /// Whether users do not reach a controller.
    pub(super) fn users_cut(&self, node: usize) -> bool {
        let cut = |(n, f, t): &(usize, u64, u64)| *n == node && self.during(*f, *t);
        self.faults.user_cuts.iter().any(cut)
    }

    /// Whether watches of a controller hang.
    pub(super) fn watches_hang(&self, node: usize) -> bool {
        let mut hung = self.faults.hung_watches.iter();
        hung.any(|(n, f, t)| *n == node && self.during(*f, *t))
    }

    /// Until when a controller stands still, if it does.
    pub(super) fn still(&self, node: usize) -> Option<Micros> {
        let mut over = self.faults.frozen.iter().filter(|f| f.0 == node);
        over.find(|f| self.during(f.1, f.2)).map(|f| Micros::secs(f.2) + Micros(1))
    }
}
