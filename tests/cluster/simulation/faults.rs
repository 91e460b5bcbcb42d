//! What goes wrong in a run.

use millethold::time::Micros;
use std::collections::BTreeSet;

/// What goes wrong, as chances or times.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Crash this many controllers, at these times.
    pub crashes: Vec<(u64, usize)>,
    /// Time until a crashed controller is back, in milliseconds.
    pub back_ms: u64,
    /// Key-value store away: from, to, in seconds.
    pub outages: Vec<(u64, u64)>,
    /// A controller alone cannot reach the key-value store.
    pub kv_store_cuts: Vec<(usize, u64, u64)>,
    /// A controller stands still while its clocks run on; what reaches it waits.
    pub frozen: Vec<(usize, u64, u64)>,
    /// Two controllers cannot reach each other; frames are held.
    pub peer_cuts: Vec<(usize, usize, u64, u64)>,
    /// The same by reset: frames are lost, and connections made anew afterwards.
    pub peer_resets: Vec<(usize, usize, u64, u64)>,
    /// Chance that a frame is lost while its connection goes on.
    pub dropped: f64,
    /// Frames from one controller to another are held; the other way is open.
    pub one_way: Vec<(usize, usize, u64, u64)>,
    /// A worker is cut off (`true`: hangs); what is sent to it arrives late.
    pub worker_cuts: Vec<(usize, u64, u64, bool)>,
    /// Workers whose reports arrive, while answers and commands do not reach
    /// them: worker, from, to.
    pub deaf: Vec<(usize, u64, u64)>,
    /// A controller and all workers are out of each other's reach, by reset
    /// or (`true`) by packets that are held: controller, from, to.
    pub node_cuts: Vec<(usize, u64, u64, bool)>,
    /// Workers that only one controller reaches and hears: worker, controller, from, to.
    pub only: Vec<(usize, usize, u64, u64)>,
    /// Chance that a copy of a report arrives again, up to 40 s later, at any
    /// controller.
    pub copies: f64,
    /// Chance that a transaction's answer is lost.
    pub lost: f64,
    /// Chance that such a transaction is applied, later by up to ten seconds.
    pub late: f64,
    /// Chance that a direct command is held for up to twenty seconds.
    pub held: f64,
    /// Direct commands that are held for long, while the reports of the same machine and
    /// session are answered.
    pub held_commands: Option<HeldCommands>,
    /// The cloud takes these machines at that time.
    pub taken: Vec<(u64, usize)>,
    /// Machines at the start, if not the usual five.
    pub machines: Option<usize>,
    /// Changes a second that the key-value store takes, if that is little.
    pub writes: Option<f64>,
    /// Users ask so many times as often: from, to, factor.
    pub storm: Option<(u64, u64, u64)>,
    /// Watches tell of changes so much later, in milliseconds.
    pub slow_watches: u64,
    /// Requests a second that the key-value store takes, if that is little.
    pub reads: Option<f64>,
    /// The key-value store lowers its limits: controllers that start from the first second
    /// on know that they will be, as an upgraded version does; and when they are.
    pub lowered: Option<(u64, u64)>,
    /// Workers on which every task fails.
    pub sick: BTreeSet<usize>,
    /// Watches of a controller hang while its other calls are served: controller,
    /// from, to.
    pub hung_watches: Vec<(usize, u64, u64)>,
    /// Transactions that get no answer.
    pub late_writes: Vec<LateWrites>,
    /// Share of reports of which a copy is kept for the next leader: it arrives at
    /// the controller that has just taken its machine's shard. From, to, share.
    pub for_next: Option<(u64, u64, f64)>,
    /// Workers that reach no controller, while direct commands reach them: worker,
    /// from, to.
    pub mute: Vec<(usize, u64, u64)>,
    /// Controllers that users do not reach: controller, from, to.
    pub user_cuts: Vec<(usize, u64, u64)>,
    /// Users call off so many jobs that run and have long to go, within a fifth of
    /// a second.
    pub cancel_now: Vec<CancelNow>,
    /// Share of the jobs that end which are called off at that very moment: from,
    /// to, share.
    pub cancel_at_end: Option<(u64, u64, f64)>,
    /// Share of the jobs that end at which so many controllers crash at that very moment:
    /// from, to, share, controllers.
    pub crash_at_end: Option<(u64, u64, f64, usize)>,
    /// Share of the jobs that end of which the cloud takes the machine of the last task
    /// at that very moment, before it could report: from, to, share.
    pub take_at_end: Option<(u64, u64, f64)>,
    /// Users repeat submissions, also with other bodies, cancel what is done, ask
    /// about jobs that nobody submitted and hand in what cannot run: from, to.
    pub invalid_requests: Option<(u64, u64)>,
    /// Users ask at all controllers within milliseconds after a job was accepted,
    /// ended or cancelled, and some cancel at once: from, to.
    pub full_queries: Option<(u64, u64)>,
    /// Calls of the key-value store take longer by up to so many milliseconds: from,
    /// to, milliseconds.
    pub slow_kv_store: Option<(u64, u64, u64)>,
    /// All messages take longer by up to so many milliseconds: from, to, milliseconds.
    pub slow_links: Option<(u64, u64, u64)>,
    /// Machines that are rented are up within two seconds.
    pub quick_boots: bool,
}

/// Transactions without an answer: they are carried out 2 to 12 s later, after
/// newer ones, or (`at_once`) at once.
#[derive(Debug, Clone, Copy)]
pub struct LateWrites {
    pub from: u64,
    pub to: u64,
    pub share: f64,
    pub at_once: bool,
}

/// So many running jobs are called off at this moment; some of their machines
/// hang from then on, for so long.
#[derive(Debug, Clone, Copy)]
pub struct CancelNow {
    pub at_ms: u64,
    pub count: usize,
    pub hang_s: u64,
}

/// This share of the direct commands sent in this time is held for between so many
/// seconds; nobody hears of them meanwhile.
#[derive(Debug, Clone, Copy)]
pub struct HeldCommands {
    pub from: u64,
    pub to: u64,
    pub share: f64,
    pub least_s: u64,
    pub most_s: u64,
}

impl Faults {
    /// When the last of them is over and what they held back has arrived.
    pub(super) fn over(&self) -> Micros {
        let mut ends: Vec<u64> = Vec::new();
        ends.extend(self.crashes.iter().map(|c| c.0 + self.back_ms.div_ceil(500)));
        ends.extend(self.outages.iter().map(|c| c.1));
        ends.extend(self.crash_at_end.iter().map(|c| c.1 + self.back_ms.div_ceil(500)));
        ends.extend(self.take_at_end.iter().map(|c| c.1));
        let cuts = [&self.kv_store_cuts, &self.frozen, &self.deaf, &self.mute, &self.user_cuts];
        for cuts in cuts.into_iter().chain([&self.hung_watches]) {
            ends.extend(cuts.iter().map(|c| c.2));
        }
        for cuts in [&self.peer_cuts, &self.peer_resets, &self.one_way, &self.only] {
            ends.extend(cuts.iter().map(|c| c.3));
        }
        ends.extend(self.worker_cuts.iter().map(|c| c.2 + 20));
        ends.extend(self.node_cuts.iter().map(|c| c.2 + 20));
        ends.extend(self.taken.iter().map(|c| c.0));
        ends.extend(self.storm.iter().map(|c| c.1));
        ends.extend(self.held_commands.iter().map(|h| h.to + h.most_s));
        ends.extend(self.late_writes.iter().map(|l| l.to + 12));
        ends.extend(self.for_next.iter().map(|c| c.1));
        ends.extend(self.cancel_now.iter().map(|c| c.at_ms / 1_000 + 1 + c.hang_s));
        ends.extend(self.slow_kv_store.iter().chain(&self.slow_links).map(|c| c.1));
        Micros::secs(ends.into_iter().max().unwrap_or(0))
    }
}
