//! The controller: (now, event) in, effects out. No I/O, no clock, ordered
//! maps and a seeded generator, so that a run can be repeated exactly.
//!
//! A process wears up to three hats, each in a module of its own: it answers
//! users ([`api`]), runs the jobs of its seats ([`owner`], [`placer`]) and
//! commands the machines of its seats ([`holder`]). What it wants on machines
//! goes out as whole-state messages that its own holder hat reads too.

pub mod estimate;
pub mod fleet;
pub mod image;
pub mod job;
pub mod machine;
pub mod place;
pub mod quota;
pub mod seat;
pub mod slots;

mod accept;
mod api;
mod bundle;
pub mod cancel;
mod finals;
mod holder;
mod owner;
mod pipeline;
mod placer;
mod questions;
mod quotas;
mod reach;
mod renter;
mod seats;

use crate::cloud::{CloudCall, CloudReply};
use crate::config::{Config, Options, Settings};
use crate::peer::{self, Frame, MachineView, WantedTask, Wants};
use crate::state::{Bucket, StateCall, StateReply, WRITE_SHARE};
use crate::time::Micros;
use crate::wire::{JobStage, MachineType};
use fleet::Fleet;
use image::ImageIndex;
use job::{Job, StoredStage};
use machine::{Key, Post};
use quota::TeamQuota;
use rand::SeedableRng;
use rand::rngs::StdRng;
use seat::{Lease, Seat};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;
use std::rc::Rc;

/// A request that awaits its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A call to an outside system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What became of direct commands.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectReply {
    /// The worker answered.
    Answered {
        /// Status.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
    /// Surely not executed.
    NotSent,
    /// May have been executed, or may still be.
    Unknown,
}

/// The end of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The state service's.
    State(StateReply),
    /// The cloud's.
    Cloud(CloudReply),
    /// A worker's.
    Direct(DirectReply),
}

/// Something that happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A user, worker or prober asks.
    Http {
        /// Goes with the answer.
        ticket: Ticket,
        /// Method.
        method: String,
        /// Path with its query.
        path: String,
        /// Body.
        body: Vec<u8>,
    },
    /// A call ended.
    Reply {
        /// The call.
        id: CallId,
        /// How.
        reply: Reply,
    },
    /// A peer sent a frame.
    Peer {
        /// Number of the member.
        from: usize,
        /// The frame.
        frame: Box<Frame>,
    },
    /// A new connection to a peer stands: it has heard nothing on it yet.
    PeerUp(usize),
    /// The connection to a peer is gone.
    PeerDown(usize),
    /// Time has passed.
    Tick,
}

/// Something to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Answer a request.
    Respond {
        /// The request.
        ticket: Ticket,
        /// Status.
        status: u16,
        /// Seconds after which to ask again.
        retry_after: Option<u64>,
        /// JSON.
        body: Vec<u8>,
    },
    /// Call the state service.
    State {
        /// Goes with the reply.
        id: CallId,
        /// The call.
        call: StateCall,
    },
    /// Call the cloud.
    Cloud {
        /// Goes with the reply.
        id: CallId,
        /// The call.
        call: CloudCall,
    },
    /// Send direct commands to a worker.
    Direct {
        /// Goes with the reply.
        id: CallId,
        /// The worker.
        address: SocketAddrV4,
        /// JSON.
        body: Vec<u8>,
    },
    /// Ask a worker for its report, ordering nothing and showing no token.
    Inspect {
        /// Goes with the reply, which is a worker's.
        id: CallId,
        /// The worker.
        address: SocketAddrV4,
    },
    /// Send a frame to a peer.
    Peer {
        /// Number of the member.
        to: usize,
        /// The frame; one for several peers is written only once.
        frame: Rc<Frame>,
    },
}

/// Tasks by job and number.
type TaskSet = BTreeSet<(String, u32)>;

/// Which changes a watch follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Watch {
    Jobs,
    Holds,
    Quotas,
}

/// What a call was for.
#[derive(Debug, Clone)]
enum Op {
    Grant { sent: Micros },
    Extend { sent: Micros, epoch: u64 },
    ListHolds,
    ListTerms,
    Follow(Watch),
    FollowStart(Watch),
    Look { sent: Micros },
    Take { seat: usize, term: u64, epoch: u64 },
    Release { seat: usize },
    Load { seat: usize, term: u64 },
    LoadJob { seat: usize, term: u64, job: String },
    Accept { list: Vec<accept::Arrival>, seat: usize, term: u64, bundle: Option<String> },
    Gather { number: u64, job: String },
    Sweep { first: String },
    StoreUpstream { ticket: Ticket, spec: Rc<crate::wire::JobSpec>, size: usize, to: usize },
    ReadUpstream { job: String, number: u32 },
    Chain { ticket: Ticket, status: u16, job: String, sent: Micros },
    Cascade { job: String, seat: usize, tasks: u32 },
    DropBundle { key: String, term: u64 },
    StoreBundle { key: String, term: u64, jobs: Vec<(String, u64)> },
    ReadBundle { key: String, term: u64 },
    SubmitRead { ticket: Ticket, job: String, sent: Micros, otherwise: (u16, Option<u64>, Vec<u8>) },
    Poll { tickets: Vec<Ticket>, job: String, sent: Micros },
    Check { jobs: questions::Asked, sent: Micros },
    ReadUnknown { job: String },
    CancelRead { ticket: Ticket, job: String, tries: u32 },
    CancelWrite { ticket: Ticket, job: String, seat: usize, tasks: u32, tries: u32 },
    Store { job: String, term: u64, parts: Vec<(usize, u64)>, done: bool, drops: Vec<usize> },
    Recheck { job: String, term: u64 },
    RecheckParts { job: String, term: u64, read: BTreeMap<usize, (u64, u64)> },
    QuotaList,
    QuotaRead { team: String },
    QuotaWrite { team: String, value: Value },
    Direct { machine: String, starts: Vec<Key>, term: u64 },
    Inspect,
    Types,
    StoreTypes,
    StoredTypes,
    Rent { term: u64 },
    Return { names: Vec<String> },
    ListMachines { asked: Micros, term: u64 },
}

/// Wants of a seat, as heard.
#[derive(Debug, Clone, Default)]
struct HeardWants {
    term: u64,
    /// Newest message of the term.
    seq: u64,
    /// Newest message that named all machines; 0: none yet in this term.
    complete: u64,
    /// Terms of all seats that its sender knew with the newest message.
    knows: Vec<u64>,
    machines: BTreeMap<String, MachineHeard>,
    /// What the tasks use, by team.
    usage: BTreeMap<String, quota::Amount>,
}

/// What a seat wants on one machine, as heard.
#[derive(Debug, Clone, Default)]
struct MachineHeard {
    /// Number of the message.
    seq: u64,
    /// Term of the machine's seat that the sender knew.
    known: u64,
    tasks: Vec<WantedTask>,
}

/// Another controller, as heard.
#[derive(Debug, Clone, Default)]
struct PeerInfo {
    heard: Option<Micros>,
    well_since: Option<Micros>,
    state_ok: bool,
    run: u64,
    demand: Vec<peer::Demand>,
    needs: Vec<peer::QuotaNeed>,
    /// It gives its seats up, since it and its workers do not hear each other.
    cut_off: bool,
    /// Machines of others' seats that report to it, by seat.
    strays: BTreeMap<usize, u32>,
    /// Number of its last frame.
    number: u64,
    /// A frame of it was lost, and it has not told all since.
    behind: bool,
    /// Revision of the state service up to which it has heard of jobs.
    watched: u64,
}

/// What is known of a job's stage from the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Known {
    stage: StoredStage,
    seat: usize,
    tasks: u32,
    /// Version of its key that says so; it changes once, with the final stage.
    mark: u64,
}

/// Counters for the status page.
#[derive(Debug, Clone, Default)]
struct Counts {
    accepted: u64,
    refused: u64,
    done: u64,
    cancelled: u64,
    placed: u64,
    image_hits: u64,
    failed: u64,
    lost: u64,
    preempted: u64,
    reports: u64,
    bad_reports: u64,
}

/// Jobs whose final stage is remembered in memory; older ones are read again.
const KNOWN_JOBS: usize = 40_000;
/// Between news of jobs' progress.
const PROGRESS_EVERY: Micros = Micros::millis(400);
/// How often a peer is told that something of it was missed.
const MISSED_EVERY: Micros = Micros::secs(1);
/// How often the log tells of refused requests.
const REFUSALS_EVERY: Micros = Micros::secs(10);
/// A peer that has been silent for longer does not count as alive.
const PEER_SILENT: Micros = Micros::secs(3);

/// All of a controller's state.
pub struct Controller {
    member: String,
    me: usize,
    members: Vec<String>,
    run: u64,
    settings: Settings,
    options: Options,
    rng: StdRng,
    wall: Micros,
    now: Micros,
    out: Vec<Effect>,
    next_call: u64,
    ops: BTreeMap<CallId, Op>,

    lease: Lease,
    seats: Vec<Seat>,
    seats_read: bool,
    seats_reading: bool,
    loads: BTreeMap<usize, seats::Loading>,
    /// Jobs and keys that cannot be read, and are left as they are.
    unreadable: BTreeSet<String>,
    follow: BTreeMap<Watch, seats::Following>,

    types: BTreeMap<String, MachineType>,
    /// They are being read from the state service, since the cloud is away.
    types_reading: bool,
    /// Term of the renting seat under which they were written down.
    types_stored: u64,
    known: BTreeMap<String, Known>,
    known_order: VecDeque<String>,
    jobs: BTreeMap<String, Job>,
    progress: BTreeMap<String, (u32, u32)>,
    /// Own seats' tasks by seat and machine.
    by_machine: BTreeMap<(usize, Rc<str>), TaskSet>,
    part_size: job::PartSize,
    /// How an earlier version divides jobs, as long as the state service takes values
    /// that are larger than it will later.
    larger: Option<job::PartSize>,
    submissions: usize,
    questions: questions::Questions,
    acceptance: accept::Acceptance,
    /// Submissions came a moment ago: more may, and writes leave them a share.
    accepting_until: Micros,

    wants: Vec<HeardWants>,
    slots: slots::Slots,
    /// Machines to look at again before the next placement.
    dirty_slots: BTreeSet<String>,
    /// Seats whose machines somebody commands, as last looked at.
    commanded: Vec<bool>,
    slots_state: BTreeMap<usize, (bool, Option<u64>, u64)>,
    /// This node's share of the state service's changes, as far as used.
    puts: Bucket,
    /// Writes of tasks under way.
    stores: usize,
    views: BTreeMap<String, MachineView>,
    posts: BTreeMap<String, Post>,
    gone: BTreeSet<String>,
    /// Machines of own seats on which a job failed, a few of each.
    failing: BTreeMap<String, BTreeSet<String>>,
    /// Where machines were last known to be that have not been heard here.
    hints: BTreeMap<String, (u64, SocketAddrV4)>,
    /// Machines of own seats to be asked how they stand.
    hellos: BTreeSet<String>,
    /// Machines kept free of small tasks until a large one fits.
    reserved: BTreeSet<Rc<str>>,
    draining: BTreeSet<String>,
    estimates: estimate::Estimates,
    images: ImageIndex,
    quotas: BTreeMap<String, TeamQuota>,
    quotas_read: bool,
    /// What own seats lacked of teams' limits when last looked at.
    own_needs: Vec<peer::QuotaNeed>,
    peers: BTreeMap<usize, PeerInfo>,
    /// Whether the workers and this node hear each other.
    reach: reach::Reach,
    fleet: Fleet,
    counts: Counts,
    /// Requests refused since the log last told of it, by status and reason.
    refusals: BTreeMap<(u16, String), u64>,
    refusals_at: Micros,
    /// What the last health check was told: why this node takes no requests.
    told_health: Option<Option<&'static str>>,
    /// When this process last might act.
    acted_at: Micros,
    /// It might act when last looked at.
    was_acting: bool,

    seq: u64,
    /// Terms of the seats that own seats' wants have taken into account.
    told_terms: Vec<u64>,
    dirty_jobs: BTreeSet<String>,
    dirty_wants: BTreeSet<(usize, Rc<str>)>,
    /// Own seats that must say which terms they know, if nothing else.
    untold: bool,
    complete_wants: BTreeSet<usize>,
    dirty_posts: BTreeSet<String>,
    dirty_progress: BTreeSet<String>,
    note_cancelled: Vec<String>,
    pipelines: pipeline::Pipelines,
    /// Final stages that peers may not have heard of yet, and who is to be told.
    finals: finals::Finals,
    cancels: cancel::Cancels,
    note_gone: Vec<String>,
    /// When peers of whom something was missed were last told so.
    missed_at: Micros,
    /// Number of the last frame.
    frames: u64,
    note_preempt: Vec<peer::Preempt>,
    /// Tasks of other seats that were asked to make room, and when.
    asked: BTreeMap<Key, (Micros, Rc<str>)>,
    sync_peers: BTreeSet<usize>,
    place_wanted: bool,
    /// Placements that nothing has been seen of, as last counted.
    unseen: usize,
    placed_at: Micros,
    /// CPUs that may still be stopped of a team's tasks beyond its guarantee.
    may_give: BTreeMap<String, f64>,
    /// CPUs that may still be claimed by stopping others within a guarantee.
    may_claim: BTreeMap<String, f64>,
    guarantees_at: Micros,
    beat_at: Micros,
    tend_at: Micros,
    demand_at: Micros,
    progress_at: Micros,
    remind_at: Micros,
    quota_at: Micros,
}

impl Controller {
    /// A controller that has just started.
    ///
    /// `wall` is the time of day at the zero of the steady clock: deadlines
    /// must outlive the process that accepted them.
    pub fn new(config: &Config, options: Options, seed: u64, wall: Micros) -> Controller {
        let workers = &config.settings.workers;
        let (seat_lease, fits) = cancel::fitting_lease(options.seat_lease, workers);
        if !fits {
            log::warn!(
                "lease_s and cancel_s are so close that cancelled tasks may outlast cancel_s \
                 when the state service is away"
            );
        } else if seat_lease < options.seat_lease {
            log::info!("the state lease is shortened to {} ms", seat_lease.as_millis());
        }
        let options = Options { seat_lease, ..options };
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
            run: seed.max(1),
            settings: config.settings.clone(),
            rng: StdRng::seed_from_u64(seed),
            wall,
            now: Micros::ZERO,
            out: Vec::new(),
            next_call: 1,
            ops: BTreeMap::new(),
            lease: Lease::default(),
            seats: vec![Seat::default(); count],
            seats_read: false,
            seats_reading: false,
            loads: BTreeMap::new(),
            unreadable: BTreeSet::new(),
            follow: BTreeMap::new(),
            types: BTreeMap::new(),
            types_reading: false,
            types_stored: 0,
            known: BTreeMap::new(),
            known_order: VecDeque::new(),
            jobs: BTreeMap::new(),
            progress: BTreeMap::new(),
            by_machine: BTreeMap::new(),
            part_size: job::PartSize::new(config.settings.state.value_kb),
            larger: (config.settings.state.value_kb_now > config.settings.state.value_kb)
                .then(|| job::PartSize::new(config.settings.state.value_kb_now)),
            submissions: 0,
            questions: questions::Questions::new(&config.settings.state, count),
            acceptance: accept::Acceptance::default(),
            accepting_until: Micros::ZERO,
            wants: vec![HeardWants::default(); count],
            slots: slots::Slots::default(),
            dirty_slots: BTreeSet::new(),
            commanded: vec![false; count],
            slots_state: BTreeMap::new(),
            puts: {
                let share = config.settings.state.write_rps * WRITE_SHARE / count as f64;
                Bucket::new(share, share)
            },
            stores: 0,
            views: BTreeMap::new(),
            posts: BTreeMap::new(),
            gone: BTreeSet::new(),
            failing: BTreeMap::new(),
            hints: BTreeMap::new(),
            hellos: BTreeSet::new(),
            reserved: BTreeSet::new(),
            draining: BTreeSet::new(),
            estimates: estimate::Estimates::default(),
            images: ImageIndex::new(options.index_entries, options.index_age),
            quotas,
            quotas_read: false,
            own_needs: Vec::new(),
            peers,
            reach: reach::Reach::default(),
            fleet: Fleet::default(),
            counts: Counts::default(),
            refusals: BTreeMap::new(),
            refusals_at: Micros::ZERO,
            told_health: None,
            acted_at: Micros::ZERO,
            was_acting: false,
            seq: 0,
            told_terms: vec![0; count],
            dirty_jobs: BTreeSet::new(),
            dirty_wants: BTreeSet::new(),
            untold: false,
            complete_wants: BTreeSet::new(),
            dirty_posts: BTreeSet::new(),
            dirty_progress: BTreeSet::new(),
            note_cancelled: Vec::new(),
            pipelines: pipeline::Pipelines::default(),
            finals: finals::Finals::default(),
            cancels: cancel::Cancels::default(),
            note_gone: Vec::new(),
            missed_at: Micros::ZERO,
            frames: 0,
            note_preempt: Vec::new(),
            asked: BTreeMap::new(),
            sync_peers: BTreeSet::new(),
            place_wanted: false,
            unseen: 0,
            placed_at: Micros::ZERO,
            may_give: BTreeMap::new(),
            may_claim: BTreeMap::new(),
            guarantees_at: Micros::ZERO,
            beat_at: Micros::ZERO,
            tend_at: Micros::ZERO,
            demand_at: Micros::ZERO,
            progress_at: Micros::ZERO,
            remind_at: Micros::ZERO,
            quota_at: Micros::ZERO,
            options,
        }
    }

    /// Number of a member.
    pub fn member_number(&self, name: &str) -> Option<usize> {
        self.members.binary_search_by(|m| m.as_str().cmp(name)).ok()
    }

    /// Takes in an event.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Effect>) {
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
                self.sync_peers.insert(peer);
            }
            Event::PeerDown(peer) => {
                self.sync_peers.remove(&peer);
            }
            Event::Tick => self.tick(),
        }
        out.append(&mut self.out);
    }

    fn reply(&mut self, op: Op, reply: Reply) {
        match reply {
            Reply::State(r) => match op {
                Op::Accept { .. }
                | Op::SubmitRead { .. }
                | Op::Poll { .. }
                | Op::Check { .. }
                | Op::CancelRead { .. }
                | Op::CancelWrite { .. } => self.api_reply(op, r),
                Op::Store { .. } | Op::Recheck { .. } | Op::RecheckParts { .. } => {
                    self.store_reply(op, r)
                }
                Op::ReadUnknown { job } => self.unknown_read(&job, &r),
                Op::Gather { number, job } => self.gathered(number, &job, &r),
                Op::Sweep { first } => self.swept(&first, r),
                Op::StoreUpstream { ticket, spec, size, to } => {
                    self.upstream_stored(ticket, spec, size, to, &r);
                }
                Op::ReadUpstream { job, number } => self.upstream_read(&job, number, &r),
                Op::Chain { ticket, status, job, sent } => {
                    self.chain_reply(ticket, status, &job, sent, &r);
                }
                Op::Cascade { job, seat, tasks } => self.cascaded(&job, seat, tasks, &r),
                Op::StoreTypes | Op::StoredTypes => self.types_reply(op, r),
                Op::StoreBundle { key, term, jobs } => self.bundle_stored(&key, term, jobs, r),
                Op::ReadBundle { key, term } => self.bundle_read(&key, term, r),
                Op::DropBundle { key, term } => self.bundle_reply(&key, term, r),
                Op::QuotaList | Op::QuotaRead { .. } | Op::QuotaWrite { .. } => {
                    self.quota_reply(op, r)
                }
                _ => self.seat_reply(op, r),
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
        if self.acting() {
            if !std::mem::replace(&mut self.was_acting, true) {
                self.judge_all();
            }
            self.acted_at = self.now;
        } else {
            self.was_acting = false;
        }
        self.tend_reach();
        self.tend_seats();
        self.tend_waiting();
        self.tend_questions();
        self.tend_unknown();
        self.tend_pipelines();
        self.send_hellos();
        if self.now >= self.tend_at {
            self.tend_at = self.now + Micros::millis(250);
            self.tend_posts();
            self.tend_jobs();
            self.remind_of_unseen();
            self.tend_asked();
            if self.now >= self.guarantees_at {
                self.guarantees_at = self.now + Micros::secs(1);
                self.tend_guarantees();
                self.raise_starved();
                self.reserve_for_large();
            }
            self.count_unseen();
            self.place_wanted = true;
        }
        if self.now >= self.quota_at {
            self.quota_at = self.now + Micros::millis(300);
            self.tend_quotas();
        }
        if self.now >= self.refusals_at {
            self.refusals_at = self.now + REFUSALS_EVERY;
            self.log_refusals();
            self.log_waiting();
        }
        self.tend_fleet();
    }

    /// Works off what has changed since the last call: placements, writes,
    /// wants, views, and one frame for each peer.
    pub fn flush(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.now = now;
        self.ask_together();
        if self.acting() {
            self.accept_waiting();
            self.tell_terms();
            self.place();
            self.store_dirty();
            let mut frame = Frame::default();
            // Wants may change views, and views may end tasks; what is left
            // after a few rounds waits for the next turn.
            for _ in 0..3 {
                if self.dirty_wants.is_empty()
                    && self.complete_wants.is_empty()
                    && self.dirty_posts.is_empty()
                    && !self.untold
                {
                    break;
                }
                self.send_wants(&mut frame);
                self.send_views(&mut frame);
            }
            self.store_dirty();
            self.send_frames(frame);
        } else if self.now >= self.beat_at || !self.note_cancelled.is_empty() {
            self.send_frames(Frame::default());
        }
        self.tell_settled();
        out.append(&mut self.out);
    }

    fn call_id(&mut self, op: Op) -> CallId {
        let id = CallId(self.next_call);
        self.next_call += 1;
        self.ops.insert(id, op);
        id
    }

    fn state(&mut self, op: Op, call: StateCall) {
        self.puts.level(self.now);
        self.puts.take(call.puts() as f64);
        self.questions.note_call(self.now, &call);
        let id = self.call_id(op);
        self.out.push(Effect::State { id, call });
    }

    fn cloud(&mut self, op: Op, call: CloudCall) {
        let id = self.call_id(op);
        self.out.push(Effect::Cloud { id, call });
    }

    /// The time of day.
    fn wall(&self) -> Micros {
        self.wall + self.now
    }

    /// True while this process may act for the seats it holds. Past the end of
    /// its lease another may have taken them.
    fn acting(&self) -> bool {
        self.lease.valid(self.now)
    }

    /// The term under which this process acts for a seat, if it does.
    fn my_term(&self, seat: usize) -> Option<u64> {
        let mine = self.seats.get(seat)?.mine.as_ref()?;
        self.acting().then_some(mine.term)
    }

    /// True if this process runs the seat's jobs.
    fn runs(&self, seat: usize) -> bool {
        self.acting() && self.seats[seat].mine.as_ref().is_some_and(|m| m.loaded && !m.releasing)
    }

    fn seat_of_machine(&self, machine: &str) -> usize {
        seat::seat_of_machine(machine, self.seats.len())
    }

    /// The member that holds a seat, as far as known.
    fn holder(&self, seat: usize) -> Option<usize> {
        let (hold, _) = self.seats[seat].hold.as_ref()?;
        self.member_number(&hold.member)
    }

    fn peer_alive(&self, member: usize) -> bool {
        self.peers
            .get(&member)
            .and_then(|p| p.heard)
            .is_some_and(|at| self.now.since(at) < PEER_SILENT)
    }

    fn peer_frame(&mut self, from: usize, frame: Frame) {
        let now = self.now;
        let Some(info) = self.peers.get_mut(&from) else {
            return;
        };
        let next = info.run == frame.run && info.number + 1 == frame.number;
        info.number = frame.number;
        info.behind = !frame.full && (info.behind || !next);
        if !frame.full && !next {
            // What was lost is not known, so nothing follows from what the rest
            // does not name.
            for s in 0..self.seats.len() {
                if self.holder(s) == Some(from) {
                    self.wants[s].complete = 0;
                }
            }
        }
        let Some(info) = self.peers.get_mut(&from) else {
            return;
        };
        if info.run != frame.run {
            info.run = frame.run;
            info.well_since = None;
        }
        info.cut_off = frame.cut_off;
        info.watched = frame.watched;
        if info.heard.is_none_or(|at| now.since(at) > PEER_SILENT)
            || !frame.state_ok
            || frame.cut_off
        {
            info.well_since = None;
        }
        info.heard = Some(now);
        info.state_ok = frame.state_ok;
        if !frame.state_ok {
            // It cannot act: what it said that it needs must hold up nobody.
            info.demand.clear();
            info.needs.clear();
            info.strays.clear();
        }
        if frame.state_ok && !frame.cut_off {
            info.well_since.get_or_insert(now);
        }
        if frame.has_demand {
            let strays = frame.strays.iter().map(|s| (s.seat as usize, s.machines));
            info.strays = strays.collect();
            info.demand = frame.demand;
            info.needs = frame.needs;
        }
        for h in &frame.held {
            let Some(seat) = self.seats.get_mut(h.seat as usize) else {
                continue;
            };
            if h.term > seat.term {
                // Not yet heard from the watch: only the term is taken over,
                // the holder's mark comes with the watch.
                seat.term = h.term;
                if seat.mine.as_ref().is_some_and(|m| m.term < h.term) {
                    self.lose_seat(h.seat as usize, "a peer holds it under a higher term");
                }
            }
        }
        for w in frame.wants {
            match w.read() {
                Some(w) => self.hear_wants(w),
                None => log::warn!("wants of tasks without a job from peer {from}"),
            }
        }
        for v in frame.views {
            self.see_view(v);
        }
        for p in frame.progress {
            self.progress.insert(p.job, (p.done, p.running));
        }
        for job in frame.cancelled {
            // Answers that were read before the cancellation must not go out now.
            self.hear_cancelled(&job);
        }
        for machine in frame.gone {
            self.machine_gone(&machine);
        }
        for p in frame.pressing {
            self.hear_pressing(&p.job, p.rank, Micros(p.due_us));
        }
        if frame.rents {
            self.set_draining(frame.draining.into_iter().collect());
        }
        for t in frame.preempt {
            self.give_way(&t);
        }
        for h in frame.hints {
            self.hear_hint(h);
        }
        if frame.missed.contains(&(self.me as u32)) {
            self.sync_peers.insert(from);
        }
    }

    fn send_frames(&mut self, mut frame: Frame) {
        let acting = self.acting();
        // For display alone, and counted anew for every job: now and then will do.
        if self.now >= self.progress_at {
            self.progress_at = self.now + PROGRESS_EVERY;
            for job in std::mem::take(&mut self.dirty_progress) {
                if let Some(j) = self.jobs.get(&job) {
                    let (done, running) = (j.done(), j.running());
                    if self.progress.get(&job) != Some(&(done, running)) {
                        self.progress.insert(job.clone(), (done, running));
                        frame.progress.push(peer::Progress { job, done, running });
                    }
                }
            }
        }
        frame.cancelled = std::mem::take(&mut self.note_cancelled);
        frame.gone = std::mem::take(&mut self.note_gone);
        frame.preempt = std::mem::take(&mut self.note_preempt);
        frame.pressing = std::mem::take(&mut self.pipelines.news);
        if self.now >= self.missed_at {
            let behind = self.peers.iter().filter(|(_, p)| p.behind);
            frame.missed = behind.map(|(n, _)| *n as u32).collect();
            if !frame.missed.is_empty() {
                self.missed_at = self.now + MISSED_EVERY;
            }
        }
        let beat = self.now >= self.beat_at;
        let idle = frame == Frame::default() && !std::mem::take(&mut self.finals.acknowledge);
        if beat || self.now >= self.demand_at {
            self.demand_at = self.now + Micros::millis(400);
            if acting {
                frame.has_demand = true;
                frame.demand = self.demand();
                frame.needs = self.quota_needs();
                frame.strays = self.strays();
            }
        }
        if idle && !beat && self.sync_peers.is_empty() {
            return;
        }
        if beat {
            self.beat_at = self.now + Micros::millis(800);
            let again = self.retell_cancelled();
            frame.cancelled.extend(again);
        }
        frame.watched = self.follow.get(&Watch::Jobs).map_or(0, |f| f.revision());
        self.frames += 1;
        frame.number = self.frames;
        frame.member.clone_from(&self.member);
        frame.run = self.run;
        frame.state_ok = acting;
        frame.cut_off = self.reach.cut_off();
        if acting {
            for (n, seat) in self.seats.iter().enumerate() {
                if let Some(m) = &seat.mine {
                    frame.held.push(peer::HeldSeat { seat: n as u32, term: m.term });
                }
            }
            if self.my_term(fleet::RENTING_SEAT).is_some() {
                frame.rents = true;
                frame.draining = self.fleet.draining.keys().cloned().collect();
                self.set_draining(frame.draining.iter().cloned().collect());
            }
        }
        let frame = Rc::new(frame);
        let sync = std::mem::take(&mut self.sync_peers);
        let peers: Vec<usize> = self.peers.keys().copied().collect();
        for to in peers {
            let frame = if sync.contains(&to) && acting {
                Rc::new(self.full_frame((*frame).clone()))
            } else {
                Rc::clone(&frame)
            };
            self.out.push(Effect::Peer { to, frame });
        }
        if !acting {
            // Nothing could be said yet; the new connections still need all of it.
            self.sync_peers = sync;
        }
    }

    fn set_draining(&mut self, draining: BTreeSet<String>) {
        let old = std::mem::replace(&mut self.draining, draining);
        let changed: Vec<String> = old.symmetric_difference(&self.draining).cloned().collect();
        self.dirty_slots.extend(changed);
    }

    /// Everything that a peer must know which has heard nothing so far.
    fn full_frame(&self, mut frame: Frame) -> Frame {
        frame.full = true;
        frame.wants.clear();
        for seat in 0..self.seats.len() {
            let heard = &self.wants[seat];
            if !self.runs(seat) || self.my_term(seat) != Some(heard.term) || heard.complete == 0 {
                continue;
            }
            let wanted = heard.machines.iter().filter(|(_, m)| !m.tasks.is_empty());
            let wants = Wants {
                seat,
                term: heard.term,
                seq: heard.seq,
                complete: true,
                // Terms machine by machine: one that nothing has been wanted on
                // since its seat moved would hold up all others of the seat.
                machines: wanted
                    .map(|(name, m)| (name.clone(), m.known, m.tasks.clone()))
                    .collect(),
                terms: Vec::new(),
                knows: heard.knows.clone(),
            };
            frame.wants.push(wants.to_message());
        }
        frame.views = self.posts.keys().filter_map(|m| self.views.get(m)).cloned().collect();
        frame.progress = self
            .jobs
            .iter()
            .map(|(id, j)| peer::Progress { job: id.clone(), done: j.done(), running: j.running() })
            .collect();
        frame.hints = self
            .views
            .values()
            .filter(|v| !self.posts.contains_key(&v.machine) && !v.address.is_empty())
            .map(|v| peer::Hint {
                machine: v.machine.clone(),
                session: v.session,
                address: v.address.clone(),
            })
            .collect();
        frame.gone = self.gone.iter().rev().take(500).cloned().collect();
        frame
    }

    /// A seat has a new term: what is wanted on its machines is said anew, with
    /// all that was concluded under the earlier one.
    fn tell_terms(&mut self) {
        for h in 0..self.seats.len() {
            if self.seats[h].term > self.told_terms[h] {
                self.told_terms[h] = self.seats[h].term;
                self.untold = true;
                let there: Vec<(usize, Rc<str>)> = self
                    .by_machine
                    .keys()
                    .filter(|(_, m)| self.seat_of_machine(m) == h)
                    .cloned()
                    .collect();
                self.dirty_wants.extend(there);
            }
        }
    }

    fn note_known(&mut self, job: &str, known: Known) {
        match self.known.insert(job.to_string(), known) {
            // A stage that is final stays: an answer read earlier may come later.
            Some(old) if old.stage != StoredStage::Accepted => {
                self.known.insert(job.to_string(), old);
                self.finals.correct(job, known.mark);
                return;
            }
            Some(_) => {}
            None => self.known_order.push_back(job.to_string()),
        }
        if known.stage != StoredStage::Accepted {
            self.finals.add(self.now, job, known.mark);
            self.pipelines.over(job);
        }
        if known.stage == StoredStage::Cancelled {
            self.stop_on_machines(job);
        }
        while self.known_order.len() > KNOWN_JOBS {
            if let Some(old) = self.known_order.pop_front() {
                self.known.remove(&old);
                self.progress.remove(&old);
            }
        }
    }

    /// For the status page.
    pub fn status(&self, now: Micros) -> Value {
        let seats: Vec<Value> = self
            .seats
            .iter()
            .enumerate()
            .map(|(n, s)| {
                serde_json::json!({
                    "seat": n,
                    "holder": s.hold.as_ref().map(|(h, _)| &h.member),
                    "term": s.term,
                    "mine": s.mine.is_some(),
                    "loaded": s.mine.as_ref().is_some_and(|m| m.loaded),
                })
            })
            .collect();
        let machines: Vec<Value> = self
            .views
            .values()
            .map(|v| {
                serde_json::json!({
                    "machine": v.machine, "type": v.machine_type, "zone": v.zone,
                    "spot": v.spot, "known": v.known, "healthy": v.healthy,
                    "tasks": v.tasks.len(),
                })
            })
            .collect();
        let c = &self.counts;
        serde_json::json!({
            "member": self.member,
            "lease_valid": self.lease.valid(now),
            "seats": seats,
            "jobs": self.jobs.len(),
            "jobs_that_need_others": self.jobs.values().filter(|j| j.waiting).count(),
            "tasks_waiting": self.jobs.values().map(|j| u64::from(j.pending())).sum::<u64>(),
            "machines": machines,
            "rented": self.fleet.stages(),
            "image_entries": self.images.len(),
            "counts": {
                "accepted": c.accepted, "refused": c.refused, "done": c.done,
                "cancelled": c.cancelled, "placed": c.placed, "image_hits": c.image_hits,
                "failed": c.failed, "lost": c.lost, "preempted": c.preempted,
                "reports": c.reports, "bad_reports": c.bad_reports,
            },
        })
    }

    /// Tells the log how many tasks wait for what.
    fn log_waiting(&self) {
        if !log::log_enabled!(log::Level::Debug) {
            return;
        }
        let mut counts: BTreeMap<(&str, &str, &str), u32> = BTreeMap::new();
        for j in self.jobs.values().filter(|j| !j.cancelled && !j.over && j.pending() > 0) {
            *counts.entry((&j.spec.class, &j.spec.team, j.waits)).or_default() += j.pending();
        }
        for ((class, team, reason), tasks) in counts {
            log::debug!("{tasks} tasks of {class}, team {team}, wait: {reason}");
        }
    }

    /// The queue as plain text: in order of service, each with why it waits.
    pub fn queue_page(&self, _now: Micros) -> String {
        use std::fmt::Write;
        let mut page = String::from("job class team priority waiting running done reason\n");
        for (_, id) in self.queue_order() {
            if let Some(j) = self.jobs.get(&id) {
                // Writing into a String cannot fail.
                let _ = writeln!(
                    page,
                    "{id} {} {} {:?} {} {} {} {}",
                    j.spec.class,
                    j.spec.team,
                    j.spec.priority,
                    j.pending(),
                    j.running(),
                    j.done(),
                    j.waits
                );
            }
        }
        for (id, j) in self.jobs.iter().filter(|(_, j)| j.waiting && !j.cancelled && !j.over) {
            let needs: Vec<&str> = j.upstream.iter().map(String::as_str).collect();
            let _ = writeln!(
                page,
                "{id} {} {} {:?} {} 0 0 needs {}",
                j.spec.class,
                j.spec.team,
                j.spec.priority,
                j.pending(),
                needs.join(" ")
            );
        }
        page
    }

    /// Number of seats held, for tests and the log.
    pub fn seats_held(&self) -> usize {
        self.seats.iter().filter(|s| s.mine.is_some()).count()
    }

    fn stage_word(stage: StoredStage) -> JobStage {
        match stage {
            StoredStage::Accepted => JobStage::Queued,
            StoredStage::Done => JobStage::Done,
            StoredStage::Cancelled => JobStage::Cancelled,
        }
    }
}
