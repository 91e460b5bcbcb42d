//! The controller: (now, event) in, effects out. No I/O, no clock, ordered
//! maps and a seeded generator, so that a run can be repeated exactly.
//!
//! A process has up to three roles, each in a module of its own: it answers
//! users ([`api`]), runs the jobs of its shards ([`job_manager`], [`scheduling_pass`]) and
//! commands the machines of its shards ([`machine_commands`]). What it wants on machines
//! goes out as whole-state messages that its own machine manager reads, too.

pub mod api;
pub mod autoscaler;
pub mod jobs;
pub mod leadership;
pub mod machines;
pub mod peers;
pub mod quota;
pub mod scheduler;

mod calls;
mod changes;
mod decision_log;
pub mod event;
mod timers;

use crate::cloud::CloudCall;
use crate::config::{Config, Options, Settings};
use crate::kv_store::{Bucket, KvRequest, WRITE_RATE_SHARE};
use crate::peer::{self, Frame, MachineView};
use crate::time::Micros;
use crate::wire::MachineType;
pub use event::{CallId, DirectReply, Effect, Event, Reply, Ticket};

use api::status::Counts;
use autoscaler::planning::Fleet;
use calls::{Op, Watch};
use changes::PendingChanges;
use jobs::job::Job;
use jobs::stage_cache::CachedStage;
use leadership::shard::{ControllerLease, Shard};
use machines::desired_tracking::DesiredState;
use machines::machine::{Key, ManagedMachine};
use peers::frames::PeerInfo;
use quota::team_quota::TeamQuota;
use rand::SeedableRng;
use rand::rngs::StdRng;
use scheduler::image::ImageIndex;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;
use std::rc::Rc;
use timers::Timers;

/// Tasks by job and number.
type TaskSet = BTreeSet<(String, u32)>;

/// All of a controller's state.
pub struct Controller {
    member: String,
    me: usize,
    members: Vec<String>,
    incarnation: u64,
    settings: Settings,
    options: Options,
    rng: StdRng,
    wall: Micros,
    now: Micros,
    effects: Vec<Effect>,
    next_call: u64,
    ops: BTreeMap<CallId, Op>,

    controller_lease: ControllerLease,
    shards: Vec<Shard>,
    shards_read: bool,
    shards_reading: bool,
    recoveries: BTreeMap<usize, leadership::recovery::ShardRecovery>,
    /// Jobs and keys that cannot be read, and are left as they are.
    unreadable: BTreeSet<String>,
    watches: BTreeMap<Watch, leadership::watches::WatchState>,

    types: BTreeMap<String, MachineType>,
    /// They are being read from the key-value store, since the cloud is away.
    types_reading: bool,
    /// Term of the renting shard under which they were written down.
    types_stored: u64,
    cached_stages: BTreeMap<String, CachedStage>,
    cached_order: VecDeque<String>,
    jobs: BTreeMap<String, Job>,
    progress: BTreeMap<String, (u32, u32)>,
    /// Own shards' tasks by shard and machine.
    by_machine: BTreeMap<(usize, Rc<str>), TaskSet>,
    chunk_size: jobs::job::ChunkLayout,
    /// How an earlier version divides jobs, as long as the key-value store takes values
    /// that are larger than it will later.
    previous_chunk_layout: Option<jobs::job::ChunkLayout>,
    submissions: usize,
    status_queries: api::status_queries::StatusQueries,
    admission: api::admission::Admission,
    /// Submissions came a moment ago: more may, and writes leave them a share.
    admitting_until: Micros,

    desired: Vec<DesiredState>,
    capacity: scheduler::capacity::ClusterCapacity,
    /// Machines to look at again before the next placement.
    stale_machines: BTreeSet<String>,
    /// Shards whose machines somebody commands, as last looked at.
    commanded: Vec<bool>,
    capacity_sources: BTreeMap<usize, (bool, Option<u64>, u64)>,
    /// This node's share of the key-value store's changes, as far as used.
    puts: Bucket,
    /// Writes of tasks under way.
    writes_in_flight: usize,
    views: BTreeMap<String, MachineView>,
    managed_machines: BTreeMap<String, ManagedMachine>,
    terminated: BTreeSet<String>,
    /// Machines of own shards on which a job failed, a few of each.
    failed_on_machines: BTreeMap<String, BTreeSet<String>>,
    /// Where machines were last known to be that have not reported here.
    address_hints: BTreeMap<String, (u64, SocketAddrV4)>,
    /// Machines of own shards to be asked how they stand.
    probes: BTreeSet<String>,
    /// Machines kept free of small tasks until a large one fits.
    held_for_large_tasks: BTreeSet<Rc<str>>,
    draining: BTreeSet<String>,
    estimates: scheduler::estimate::Estimates,
    images: ImageIndex,
    quotas: BTreeMap<String, TeamQuota>,
    quotas_read: bool,
    /// What own shards lacked of teams' limits when last looked at.
    own_quota_demand: Vec<peer::QuotaDemand>,
    peers: BTreeMap<usize, PeerInfo>,
    /// Whether the workers and this node can reach each other.
    connectivity: leadership::connectivity::Connectivity,
    autoscaler: Fleet,
    counts: Counts,
    /// Requests refused since the log last told of it, by status and reason.
    refusals: BTreeMap<(u16, String), u64>,
    /// What the last health check was told: why this node takes no requests.
    reported_health: Option<Option<&'static str>>,
    /// When this process last might act.
    lease_held_at: Micros,
    /// It might act when last looked at.
    held_lease: bool,

    seq: u64,
    /// Terms of the shards that own shards' desired state has taken into account.
    announced_terms: Vec<u64>,
    dependency_graph: jobs::dependencies::DependencyGraph,
    record_pages: jobs::record_pages::RecordPages,
    /// Final stages that peers may not know of yet, and who is to be told.
    terminal_states: api::terminal_states::TerminalStates,
    cancels: machines::cancellation::Cancels,
    /// Number of the last frame.
    frames: u64,
    /// Tasks of other shards that were asked to make room, and when.
    requested_preemptions: BTreeMap<Key, (Micros, Rc<str>)>,
    placement_due: bool,
    /// Placements that no machine has reported yet, as last counted.
    unobserved: usize,
    last_pass_at: Micros,
    /// CPUs that may still be stopped of a team's tasks beyond its guarantee.
    preemptible_cpus: BTreeMap<String, f64>,
    /// CPUs that may still be claimed by stopping others within a guarantee.
    claimable_cpus: BTreeMap<String, f64>,
    timers: Timers,
    changes: PendingChanges,
}

impl Controller {
    /// A controller that has just started.
    ///
    /// `wall` is the time of day at the zero of the steady clock: deadlines
    /// must outlive the process that accepted them.
    pub fn new(config: &Config, options: Options, seed: u64, wall: Micros) -> Controller {
        let workers = &config.settings.workers;
        let (controller_lease, fits) =
            machines::cancellation::fitting_lease(options.controller_lease, workers);
        if !fits {
            log::warn!(
                "lease_s and cancel_s are so close that cancelled tasks may outlast cancel_s \
                 when the state service is away"
            );
        } else if controller_lease < options.controller_lease {
            log::info!("the state lease is shortened to {} ms", controller_lease.as_millis());
        }
        let options = Options { controller_lease, ..options };
        let members = config.members();
        let me = members.iter().position(|m| *m == config.member).unwrap_or(0);
        let count = members.len();
        let quotas =
            config.settings.teams.iter().map(|t| (t.name.clone(), TeamQuota::new(t))).collect();
        let peers = (0..count).filter(|n| *n != me).map(|n| (n, PeerInfo::default())).collect();
        Controller {
            member: config.member.clone(),
            me,
            members,
            // Zero stands for no run.
            incarnation: seed.max(1),
            settings: config.settings.clone(),
            rng: StdRng::seed_from_u64(seed),
            wall,
            now: Micros::ZERO,
            effects: Vec::new(),
            next_call: 1,
            ops: BTreeMap::new(),
            controller_lease: ControllerLease::default(),
            shards: vec![Shard::default(); count],
            shards_read: false,
            shards_reading: false,
            recoveries: BTreeMap::new(),
            unreadable: BTreeSet::new(),
            watches: BTreeMap::new(),
            types: BTreeMap::new(),
            types_reading: false,
            types_stored: 0,
            cached_stages: BTreeMap::new(),
            cached_order: VecDeque::new(),
            jobs: BTreeMap::new(),
            progress: BTreeMap::new(),
            by_machine: BTreeMap::new(),
            chunk_size: jobs::job::ChunkLayout::new(config.settings.state.value_kb),
            previous_chunk_layout: (config.settings.state.value_kb_now
                > config.settings.state.value_kb)
                .then(|| jobs::job::ChunkLayout::new(config.settings.state.value_kb_now)),
            submissions: 0,
            status_queries: api::status_queries::StatusQueries::new(&config.settings.state, count),
            admission: api::admission::Admission::default(),
            admitting_until: Micros::ZERO,
            desired: vec![DesiredState::default(); count],
            capacity: scheduler::capacity::ClusterCapacity::default(),
            stale_machines: BTreeSet::new(),
            commanded: vec![false; count],
            capacity_sources: BTreeMap::new(),
            puts: {
                let share = config.settings.state.write_rps * WRITE_RATE_SHARE / count as f64;
                Bucket::new(share, share)
            },
            writes_in_flight: 0,
            views: BTreeMap::new(),
            managed_machines: BTreeMap::new(),
            terminated: BTreeSet::new(),
            failed_on_machines: BTreeMap::new(),
            address_hints: BTreeMap::new(),
            probes: BTreeSet::new(),
            held_for_large_tasks: BTreeSet::new(),
            draining: BTreeSet::new(),
            estimates: scheduler::estimate::Estimates::default(),
            images: ImageIndex::new(options.index_entries, options.index_age),
            quotas,
            quotas_read: false,
            own_quota_demand: Vec::new(),
            peers,
            connectivity: leadership::connectivity::Connectivity::default(),
            autoscaler: Fleet::default(),
            counts: Counts::default(),
            refusals: BTreeMap::new(),
            reported_health: None,
            lease_held_at: Micros::ZERO,
            held_lease: false,
            seq: 0,
            announced_terms: vec![0; count],
            dependency_graph: jobs::dependencies::DependencyGraph::default(),
            record_pages: jobs::record_pages::RecordPages::default(),
            terminal_states: api::terminal_states::TerminalStates::default(),
            cancels: machines::cancellation::Cancels::default(),
            frames: 0,
            requested_preemptions: BTreeMap::new(),
            placement_due: false,
            unobserved: 0,
            last_pass_at: Micros::ZERO,
            preemptible_cpus: BTreeMap::new(),
            claimable_cpus: BTreeMap::new(),
            timers: Timers::default(),
            changes: PendingChanges::default(),
            options,
        }
    }

    /// Number of a member.
    pub fn member_number(&self, name: &str) -> Option<usize> {
        self.members.binary_search_by(|m| m.as_str().cmp(name)).ok()
    }

    /// Takes in an event.
    pub fn handle(&mut self, now: Micros, event: Event, effects: &mut Vec<Effect>) {
        self.now = now;
        match event {
            Event::Http { ticket, method, path, body } => self.http(ticket, &method, &path, &body),
            Event::Reply { id, reply } => {
                if let Some(op) = self.ops.remove(&id) {
                    self.reply(op, reply);
                }
            }
            Event::Peer { from, frame } => self.peer_frame(from, *frame),
            Event::PeerUp(peer) => {
                self.changes.peers_to_sync.insert(peer);
            }
            Event::PeerDown(peer) => {
                self.changes.peers_to_sync.remove(&peer);
            }
            Event::Tick => self.tick(),
        }
        effects.append(&mut self.effects);
    }

    fn reply(&mut self, op: Op, reply: Reply) {
        match reply {
            Reply::KvStore(r) => match op {
                Op::Admit { .. }
                | Op::SubmitRead { .. }
                | Op::Poll { .. }
                | Op::CompareStages { .. }
                | Op::CancelRead { .. }
                | Op::CancelWrite { .. } => self.api_reply(op, r),
                Op::Store { .. } | Op::ReadBack { .. } | Op::ReadBackChunks { .. } => {
                    self.store_reply(op, r)
                }
                Op::ReadUnknown { job } => self.unknown_read(&job, &r),
                Op::LookUpDependency { number, job } => self.dependency_looked_up(number, &job, &r),
                Op::StoreDependencies { ticket, spec, size, to } => {
                    self.dependencies_stored(ticket, spec, size, to, &r);
                }
                Op::ReadRecordPage { first } => self.record_page_reply(&first, r),
                Op::ReadDependencies { job, number } => self.dependencies_read(&job, number, &r),
                Op::CompareDependencies { ticket, status, job, sent } => {
                    self.dependencies_compared(ticket, status, &job, sent, &r);
                }
                Op::CancelDependent { job, shard, tasks } => {
                    self.dependent_cancelled(&job, shard, tasks, &r)
                }
                Op::StoreTypes | Op::StoredTypes => self.types_reply(op, r),
                Op::StoreBatch { key, term, jobs } => self.batch_stored(&key, term, jobs, r),
                Op::ReadBatch { key, term } => self.batch_read(&key, term, r),
                Op::DropBatch { key, term } => self.batch_reply(&key, term, r),
                Op::QuotaList | Op::QuotaRead { .. } | Op::QuotaWrite { .. } => {
                    self.quota_reply(op, r)
                }
                _ => self.shard_reply(op, r),
            },
            Reply::Cloud(r) => self.cloud_reply(op, r),
            Reply::Direct(r) => match op {
                Op::Direct { machine, starts, term } => {
                    self.direct_reply(&machine, &starts, term, r);
                }
                Op::Inspect => self.inspected(&r),
                _ => {}
            },
        }
    }

    fn tick(&mut self) {
        if self.holds_lease() {
            if !std::mem::replace(&mut self.held_lease, true) {
                self.evaluate_all();
            }
            self.lease_held_at = self.now;
        } else {
            self.held_lease = false;
        }
        self.check_connectivity();
        self.maintain_shards();
        self.expire_submissions();
        self.maintain_status_queries();
        self.read_unknown_jobs();
        self.maintain_dependencies();
        self.send_probes();
        if self.now >= self.timers.upkeep {
            self.timers.upkeep = self.now + timers::UPKEEP_EVERY;
            self.expire_machine_incarnations();
            self.check_spot_notices();
            self.repeat_unobserved();
            self.expire_preemption_requests();
            if self.now >= self.timers.guarantees {
                self.timers.guarantees = self.now + timers::GUARANTEES_EVERY;
                self.refresh_guarantees();
                self.raise_starved();
                self.reserve_for_large();
            }
            self.count_unobserved();
            self.placement_due = true;
        }
        if self.now >= self.timers.quotas {
            self.timers.quotas = self.now + timers::QUOTAS_EVERY;
            self.maintain_quotas();
        }
        if self.now >= self.timers.refusals {
            self.timers.refusals = self.now + timers::REFUSALS_EVERY;
            self.log_refusals();
            self.log_waiting();
        }
        self.maintain_autoscaler();
    }

    /// Works off what has changed since the last call: placements, writes,
    /// desired state, views, and one frame for each peer.
    pub fn flush(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        self.now = now;
        self.send_status_comparisons();
        if self.holds_lease() {
            self.admit_waiting();
            self.announce_terms();
            self.run_scheduling_pass();
            self.store_dirty();
            let mut frame = Frame::default();
            // Desired state may change views, and views may end tasks; what is left
            // after a few rounds waits for the next turn.
            for _ in 0..3 {
                if self.changes.desired.is_empty()
                    && self.changes.complete_desired.is_empty()
                    && self.changes.machines.is_empty()
                    && !self.changes.announce_terms
                {
                    break;
                }
                self.send_desired_state(&mut frame);
                self.send_views(&mut frame);
            }
            self.store_dirty();
            self.send_frames(frame);
        } else if self.now >= self.timers.peer_heartbeat || !self.changes.cancelled.is_empty() {
            self.send_frames(Frame::default());
        }
        self.answer_acknowledged();
        effects.append(&mut self.effects);
    }

    fn call_id(&mut self, op: Op) -> CallId {
        let id = CallId(self.next_call);
        self.next_call += 1;
        self.ops.insert(id, op);
        id
    }

    fn state(&mut self, op: Op, call: KvRequest) {
        self.puts.level(self.now);
        self.puts.take(call.puts() as f64);
        self.status_queries.note_call(self.now, &call);
        let id = self.call_id(op);
        self.effects.push(Effect::KvStore { id, call });
    }

    fn cloud(&mut self, op: Op, call: CloudCall) {
        let id = self.call_id(op);
        self.effects.push(Effect::Cloud { id, call });
    }

    /// The time of day.
    fn wall(&self) -> Micros {
        self.wall + self.now
    }

    /// True while this process may act for the shards it owns. Past the end of
    /// its lease another may have taken them.
    fn holds_lease(&self) -> bool {
        self.controller_lease.valid(self.now)
    }

    /// The term under which this process acts for a shard, if it does.
    fn leading_term(&self, shard: usize) -> Option<u64> {
        let leadership = self.shards.get(shard)?.leadership.as_ref()?;
        self.holds_lease().then_some(leadership.term)
    }

    /// True if this process runs the shard's jobs.
    fn serves_shard(&self, shard: usize) -> bool {
        self.holds_lease()
            && self.shards[shard]
                .leadership
                .as_ref()
                .is_some_and(|m| m.recovered && !m.handing_over)
    }

    fn shard_of_machine(&self, machine: &str) -> usize {
        leadership::shard::shard_of_machine(machine, self.shards.len())
    }

    /// The member that has a shard's lease, as far as known.
    fn shard_leader(&self, shard: usize) -> Option<usize> {
        let (lease, _) = self.shards[shard].lease.as_ref()?;
        self.member_number(&lease.member)
    }
}
