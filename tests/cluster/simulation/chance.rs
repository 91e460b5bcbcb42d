//! Faults drawn by a seed, and those that several tests play.

use super::{CancelNow, Faults, LateWrites};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Cuts of a controller from both others.
pub fn peers_of(node: usize, from: u64, to: u64) -> Vec<(usize, usize, u64, u64)> {
    (0..3).filter(|n| *n != node).map(|n| (node, n, from, to)).collect()
}

/// So many running jobs are called off at a moment.
pub fn cancel(at_ms: u64, count: usize) -> Vec<CancelNow> {
    vec![CancelNow { at_ms, count, hang_s: 0 }]
}

/// Transactions without an answer, carried out late or at once.
pub fn late(from: u64, to: u64, share: f64, at_once: bool) -> Vec<LateWrites> {
    vec![LateWrites { from, to, share, at_once }]
}

/// A few faults at random, by the seed: meetings that nobody thought of.
pub fn random_faults(seed: u64) -> Faults {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut t = Faults { machines: Some(24), back_ms: 3_000, ..Faults::default() };
    for _ in 0..2 {
        let hang_s = [0, 0, 8][rng.random_range(0..3)];
        let at_ms = rng.random_range(17_000..40_000);
        t.cancel_now.push(CancelNow { at_ms, count: 6, hang_s });
    }
    for _ in 0..rng.random_range(2..5) {
        let node = rng.random_range(0..3);
        let from = rng.random_range(14..40);
        let to = from + rng.random_range(2..40);
        let some = rng.random_range(0..16)..rng.random_range(16..24);
        match rng.random_range(0..24) {
            0 => t.kv_store_cuts.push((node, from, to)),
            1 => t.outages.push((from, to)),
            2 => t.peer_cuts.extend(peers_of(node, from, to)),
            3 => t.crashes.extend([(from, 1 + node), (to, 1)]),
            4 => t.late_writes.extend(late(from, to, 0.3, false)),
            5 => t.late_writes.extend(late(from, to, 0.3, true)),
            6 => t.for_next = Some((from, to, 0.3)),
            7 => t.copies = 0.2,
            8 => t.mute.extend(some.map(|w| (w, from, to))),
            9 => t.deaf.extend(some.map(|w| (w, from, to))),
            10 => t.worker_cuts.extend(some.map(|w| (w, from, to, w % 2 == 0))),
            11 => t.full_queries = Some((5, 90)),
            12 => t.cancel_at_end = Some((5, 90, 0.5)),
            13 => t.invalid_requests = Some((5, 90)),
            14 => t.slow_kv_store = Some((from, to, 900)),
            15 => t.slow_links = Some((from, to, 300)),
            16 => t.held = 0.3,
            17 => t.node_cuts.push((node, from, to, some.start % 2 == 0)),
            18 => t.frozen.push((node, from, from + 8)),
            19 => t.hung_watches.push((node, from, to)),
            20 => (t.lost, t.late) = (0.05, 0.6),
            21 => t.slow_watches = 1_500,
            22 => t.taken.extend(some.step_by(3).map(|w| (from, w))),
            _ => {
                t.kv_store_cuts.push((node, from, to));
                t.peer_cuts.extend(peers_of(node, from, to));
                t.user_cuts.push((node, from, to));
                t.only.extend((0..24).step_by(2).map(|w| (w, node, from, to)));
            }
        }
    }
    t
}
