//! Faults of a run.

use millethold::time::Micros;
use std::collections::BTreeSet;

/// Faults of a run, as probabilities or times. Times are in seconds unless the name says otherwise.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Times at which controllers crash, and how many.
    pub crashes: Vec<(u64, usize)>,
    /// Time until a crashed controller restarts, in milliseconds; drawn from half to twice this.
    pub restart_ms: u64,
    /// Outages of the key-value store: from, to.
    pub outages: Vec<(u64, u64)>,
    /// A controller cannot reach the key-value store while others can: controller, from, to.
    pub kv_store_cuts: Vec<(usize, u64, u64)>,
    /// A controller is frozen while its clocks run on; what reaches it waits: controller, from, to.
    pub frozen: Vec<(usize, u64, u64)>,
    /// Two controllers cannot reach each other and their frames are held: controllers, from, to.
    pub peer_cuts: Vec<(usize, usize, u64, u64)>,
    /// Two controllers cannot reach each other and their frames are lost; connections open again
    /// afterwards: controllers, from, to.
    pub peer_resets: Vec<(usize, usize, u64, u64)>,
    /// Probability that a frame is lost while its connection stays open.
    pub dropped_frames: f64,
    /// Frames from one controller to another are held while the other direction works: sender,
    /// receiver, from, to.
    pub one_way_cuts: Vec<(usize, usize, u64, u64)>,
    /// A worker is cut off or (`true`) hangs; what is sent to it arrives late: worker, from, to.
    pub worker_cuts: Vec<(usize, u64, u64, bool)>,
    /// Workers whose heartbeats arrive while no answer or command reaches them: worker, from, to.
    pub inbound_cuts: Vec<(usize, u64, u64)>,
    /// A controller and all workers cannot reach each other, by connection reset or (`true`) by
    /// packets that are held: controller, from, to.
    pub controller_cuts: Vec<(usize, u64, u64, bool)>,
    /// Workers that exchange messages with only one controller: worker, controller, from, to.
    pub only_reachable_by: Vec<(usize, usize, u64, u64)>,
    /// Probability that a copy of a heartbeat arrives again, 0.5 to 40 s later, at a random
    /// controller.
    pub heartbeat_copies: f64,
    /// Probability that a transaction gets no answer. It is executed only if `late_applied` draws
    /// it.
    pub lost_answers: f64,
    /// Probability that such a transaction is executed, up to ten seconds later.
    pub late_applied: f64,
    /// Probability that a direct command is delayed by up to 20 s and its answer lost.
    pub command_delays: f64,
    /// Probability that a copy of a direct command that was answered arrives again, 0.5 to 40 s
    /// later.
    pub command_copies: f64,
    /// Direct commands that are held for long, while heartbeats of the same machine and incarnation
    /// are answered.
    pub held_commands: Option<HeldCommands>,
    /// Machines that the cloud terminates: time, worker.
    pub terminated: Vec<(u64, usize)>,
    /// Number of machines at the start, if not the default of five.
    pub machines: Option<usize>,
    /// Writes per second that the key-value store takes, if not the default.
    pub write_rps: Option<f64>,
    /// Users send status queries `factor` times as often: from, to, factor.
    pub query_storm: Option<(u64, u64, u64)>,
    /// Additional delay of the answers to watches, in milliseconds.
    pub slow_watches: u64,
    /// Requests per second that the key-value store takes, if not the default.
    pub rps: Option<f64>,
    /// The key-value store lowers its limits: the second from which starting controllers know the
    /// coming limits, as an upgraded version does, and the second at which the limits are lowered.
    pub lowered_limits: Option<(u64, u64)>,
    /// Workers on which every task fails.
    pub failing_workers: BTreeSet<usize>,
    /// Watches of a controller hang while its other calls are served: controller, from, to.
    pub hung_watches: Vec<(usize, u64, u64)>,
    /// Transactions that get no answer.
    pub unanswered_txns: Vec<UnansweredTxns>,
    /// Share of heartbeats of which a copy is kept for the next leader: it arrives at the
    /// controller that has just acquired the shard of the machine. From, to, share.
    pub heartbeats_for_new_leader: Option<(u64, u64, f64)>,
    /// Workers whose heartbeats reach no controller while direct commands reach them: worker, from,
    /// to.
    pub outbound_cuts: Vec<(usize, u64, u64)>,
    /// Controllers that users cannot reach: controller, from, to.
    pub user_cuts: Vec<(usize, u64, u64)>,
    /// Users cancel a number of running jobs with long tasks, within 200 ms.
    pub cancel_running: Vec<CancelRunning>,
    /// Machines that hang right after the first response of a new leader.
    pub hang_after_failover: Option<HangAfterFailover>,
    /// Users cancel a share of the jobs at the moment at which their last task completes: from, to,
    /// share.
    pub cancel_at_job_end: Option<(u64, u64, f64)>,
    /// Controllers crash at the moment at which the last task of a share of the jobs completes:
    /// from, to, share, number of controllers.
    pub crash_at_job_end: Option<(u64, u64, f64, usize)>,
    /// The cloud terminates the machine on which the last task of a share of the jobs completes, at
    /// that moment and before a heartbeat reports it: from, to, share.
    pub terminate_at_job_end: Option<(u64, u64, f64)>,
    /// Users repeat submissions, also with other bodies, cancel jobs that are done, query jobs that
    /// were never submitted and submit jobs that cannot run: from, to.
    pub invalid_requests: Option<(u64, u64)>,
    /// Users query all controllers within milliseconds after a job was accepted, done or cancelled,
    /// and cancel some jobs right after acceptance: from, to.
    pub query_bursts: Option<(u64, u64)>,
    /// Maximum additional delay, there or back, of half of the key-value store calls in the first
    /// second of a controller's process, in milliseconds.
    pub slow_calls_at_start: Option<u64>,
    /// Share of the running jobs whose tasks complete while a controller that has crashed restarts.
    pub jobs_end_at_crash: f64,
    /// Whether users stop querying a job once they have its final answer, as real ones do: such
    /// queries would make a controller read a record again that it has missed.
    pub queries_end_with_job: bool,
    /// Whether users query each controller that has just started about the jobs that have not ended.
    pub queries_at_start: bool,
    /// Times at which the key-value store no longer keeps the changes that the open watches wait
    /// for.
    pub compactions: Vec<u64>,
    /// Maximum additional delay of key-value store calls: from, to, milliseconds.
    pub slow_kv_store: Option<(u64, u64, u64)>,
    /// Maximum additional delay of all messages: from, to, milliseconds.
    pub slow_links: Option<(u64, u64, u64)>,
    /// Rented machines boot within two seconds instead of five.
    pub quick_boots: bool,
}

/// A `share` of the transactions from `from` to `to` gets no answer. They are executed later by 2
/// to 12 s, after newer ones, or (`at_once`) immediately.
#[derive(Debug, Clone, Copy)]
pub struct UnansweredTxns {
    pub from: u64,
    pub to: u64,
    pub share: f64,
    pub at_once: bool,
}

/// Cancellation of `count` running jobs at one moment. If `hang_s` is not 0, some of their machines
/// hang for that many seconds.
#[derive(Debug, Clone, Copy)]
pub struct CancelRunning {
    pub at_ms: u64,
    pub count: usize,
    pub hang_s: u64,
}

/// From `from` to `to`, a `share` of the machines hangs for `least_ms` to `most_ms` right after a response
/// has renewed the worker's lease and raised its fencing token.
#[derive(Debug, Clone, Copy)]
pub struct HangAfterFailover {
    pub from: u64,
    pub to: u64,
    pub share: f64,
    pub least_ms: u64,
    pub most_ms: u64,
}

/// A `share` of the direct commands that are sent from `from` to `to` is held for `least_s` to
/// `most_s` seconds. The sender gets no answer.
#[derive(Debug, Clone, Copy)]
pub struct HeldCommands {
    pub from: u64,
    pub to: u64,
    pub share: f64,
    pub least_s: u64,
    pub most_s: u64,
}

impl Faults {
    /// When the last fault has ended and what it delayed has arrived.
    pub(super) fn end(&self) -> Micros {
        let mut ends: Vec<u64> = Vec::new();
        ends.extend(self.crashes.iter().map(|c| c.0 + self.restart_ms.div_ceil(500)));
        ends.extend(self.outages.iter().map(|c| c.1));
        ends.extend(&self.compactions);
        ends.extend(self.crash_at_job_end.iter().map(|c| c.1 + self.restart_ms.div_ceil(500)));
        ends.extend(self.terminate_at_job_end.iter().map(|c| c.1));
        let cuts = [
            &self.kv_store_cuts,
            &self.frozen,
            &self.inbound_cuts,
            &self.outbound_cuts,
            &self.user_cuts,
        ];
        for cuts in cuts.into_iter().chain([&self.hung_watches]) {
            ends.extend(cuts.iter().map(|c| c.2));
        }
        for cuts in
            [&self.peer_cuts, &self.peer_resets, &self.one_way_cuts, &self.only_reachable_by]
        {
            ends.extend(cuts.iter().map(|c| c.3));
        }
        ends.extend(self.worker_cuts.iter().map(|c| c.2 + 20));
        ends.extend(self.controller_cuts.iter().map(|c| c.2 + 20));
        ends.extend(self.terminated.iter().map(|c| c.0));
        ends.extend(self.query_storm.iter().map(|c| c.1));
        ends.extend(self.held_commands.iter().map(|h| h.to + h.most_s));
        ends.extend(self.unanswered_txns.iter().map(|l| l.to + 12));
        ends.extend(self.heartbeats_for_new_leader.iter().map(|c| c.1));
        ends.extend(self.cancel_running.iter().map(|c| c.at_ms / 1_000 + 1 + c.hang_s));
        ends.extend(self.hang_after_failover.iter().map(|h| h.to + h.most_ms.div_ceil(1_000)));
        ends.extend(self.slow_kv_store.iter().chain(&self.slow_links).map(|c| c.1));
        Micros::secs(ends.into_iter().max().unwrap_or(0))
    }
}
