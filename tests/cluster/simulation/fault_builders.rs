//! Builders of faults: those that several tests use, and random combinations drawn from a seed.

use super::{CancelRunning, Faults, HangAfterFailover, UnansweredTxns};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Cuts between a controller and both others.
pub fn peers_of(controller: usize, from: u64, to: u64) -> Vec<(usize, usize, u64, u64)> {
    (0..3).filter(|n| *n != controller).map(|n| (controller, n, from, to)).collect()
}

/// Cancels `count` running jobs at one moment; no machine hangs.
pub fn cancel_running(at_ms: u64, count: usize) -> Vec<CancelRunning> {
    vec![CancelRunning { at_ms, count, hang_s: 0 }]
}

/// Leaves a share of the transactions without an answer; they are executed late or `at_once`.
pub fn unanswered(from: u64, to: u64, share: f64, at_once: bool) -> Vec<UnansweredTxns> {
    vec![UnansweredTxns { from, to, share, at_once }]
}

/// Draws from the seed: crashes with restarts within a fraction of a second or little more, while many
/// jobs end; delays of up to a few hundred milliseconds of the calls of a process that has just
/// started; and in some runs a compaction of the key-value store's changes. Users query all controllers while one starts.
pub fn quick_restarts(seed: u64) -> Faults {
    let mut rng = StdRng::seed_from_u64(seed);
    let crashes = (0..5).map(|n| (14 + 6 * n + rng.random_range(0..4), 1)).collect();
    let compactions = (0..rng.random_range(0..4) / 3).map(|_| rng.random_range(14..40)).collect();
    Faults {
        machines: Some(24),
        crashes,
        restart_ms: rng.random_range(300..1_000),
        jobs_end_at_crash: 0.3,
        compactions,
        slow_calls_at_start: Some(rng.random_range(200..500)),
        query_bursts: rng.random::<bool>().then_some((5, 45)),
        queries_at_start: true,
        queries_end_with_job: true,
        ..Faults::default()
    }
}

/// Draws from the seed: a series of crashes of one to three controllers, cancellations in between, and
/// machines that hang after the first response of each new leader until about the next crash. In some runs
/// machines are cut off as well.
pub fn failover_series(seed: u64) -> Faults {
    let mut rng = StdRng::seed_from_u64(seed);
    let period = rng.random_range(7..10);
    let count = if rng.random_range(0..4) > 0 { 3 } else { rng.random_range(1..3) };
    let crashes: Vec<(u64, usize)> = (0..5).map(|n| (14 + period * n, count)).collect();
    let to = 14 + period * 6;
    let cancel = |at_ms| CancelRunning { at_ms, count: 5, hang_s: 0 };
    let cut_workers = 0..rng.random_range(0..16u64) as usize / 2;
    Faults {
        machines: Some(24),
        crashes,
        restart_ms: rng.random_range(400..1_500),
        cancel_running: (0..3).map(|_| cancel(rng.random_range(16_000..32_000))).collect(),
        hang_after_failover: Some(HangAfterFailover {
            from: 14,
            to,
            share: 0.7,
            least_ms: 1_000 * period - 3_000,
            most_ms: 1_000 * period + 2_000,
        }),
        worker_cuts: cut_workers.map(|w| (w, 20, 20 + rng.random_range(4..11), false)).collect(),
        ..Faults::default()
    }
}

/// Draws two cancellations of running jobs and two to four other faults from the seed, for
/// combinations that no table lists.
pub fn random_faults(seed: u64) -> Faults {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut faults = Faults { machines: Some(24), restart_ms: 3_000, ..Faults::default() };
    for _ in 0..2 {
        let hang_s = [0, 0, 8][rng.random_range(0..3)];
        let at_ms = rng.random_range(17_000..40_000);
        faults.cancel_running.push(CancelRunning { at_ms, count: 6, hang_s });
    }
    for _ in 0..rng.random_range(2..5) {
        let controller = rng.random_range(0..3);
        let from = rng.random_range(14..40);
        let to = from + rng.random_range(2..40);
        let workers = rng.random_range(0..16)..rng.random_range(16..24);
        match rng.random_range(0..24) {
            0 => faults.kv_store_cuts.push((controller, from, to)),
            1 => faults.outages.push((from, to)),
            2 => faults.peer_cuts.extend(peers_of(controller, from, to)),
            3 => faults.crashes.extend([(from, 1 + controller), (to, 1)]),
            4 => faults.unanswered_txns.extend(unanswered(from, to, 0.3, false)),
            5 => faults.unanswered_txns.extend(unanswered(from, to, 0.3, true)),
            6 => faults.heartbeats_for_new_leader = Some((from, to, 0.3)),
            7 => faults.heartbeat_copies = 0.2,
            8 => faults.outbound_cuts.extend(workers.map(|w| (w, from, to))),
            9 => faults.inbound_cuts.extend(workers.map(|w| (w, from, to))),
            10 => faults.worker_cuts.extend(workers.map(|w| (w, from, to, w % 2 == 0))),
            11 => faults.query_bursts = Some((5, 90)),
            12 => faults.cancel_at_job_end = Some((5, 90, 0.5)),
            13 => faults.invalid_requests = Some((5, 90)),
            14 => faults.slow_kv_store = Some((from, to, 900)),
            15 => faults.slow_links = Some((from, to, 300)),
            16 => faults.command_delays = 0.3,
            17 => faults.controller_cuts.push((controller, from, to, workers.start % 2 == 0)),
            18 => faults.frozen.push((controller, from, from + 8)),
            19 => faults.hung_watches.push((controller, from, to)),
            20 => (faults.lost_answers, faults.late_applied) = (0.05, 0.6),
            21 => faults.slow_watches = 1_500,
            22 => faults.terminated.extend(workers.step_by(3).map(|w| (from, w))),
            _ => {
                faults.kv_store_cuts.push((controller, from, to));
                faults.peer_cuts.extend(peers_of(controller, from, to));
                faults.user_cuts.push((controller, from, to));
                faults
                    .only_reachable_by
                    .extend((0..24).step_by(2).map(|w| (w, controller, from, to)));
            }
        }
    }
    faults
}
