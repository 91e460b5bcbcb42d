//! The controller: takes the time and an event, and returns effects. It does no I/O and reads no
//! clock; its maps are ordered and its random generator is seeded, so that a run can be repeated
//! exactly.
//!
//! [`Controller`] is a router. It owns the components, passes each event and reply to the component
//! that it concerns, fixes the order in which the components work at a tick and at a flush, and
//! passes the results of one component to the others. Besides them it keeps only counters,
//! timers and the changes that wait for the next flush, and it decides nothing about jobs or
//! machines. An operation that changes several components is a method of [`Controller`] in the
//! folder of the component that it serves; a component by itself changes only its own state.
//!
//! A process has up to three roles: it answers users ([`api`]), runs the jobs of the shards that it
//! leads ([`jobs`], [`scheduler`], [`quota`]) and commands the machines of these shards
//! ([`machines`]). It leads shards under its controller lease ([`leadership`]), and exchanges
//! frames with the other controllers ([`peers`]). The leader of one fixed shard also scales the
//! fleet ([`autoscaler`]).
//!
//! The leader of a shard sends all members the complete list of the tasks that it desires on a
//! machine whenever that list changes, and applies the same messages itself.

pub mod api;
pub mod autoscaler;
pub mod jobs;
pub mod leadership;
pub mod machines;
pub mod peers;
pub mod quota;
pub mod scheduler;

mod call_origin;
mod calls;
mod context;
mod decision_log;
pub mod event;
mod pending_changes;
mod timers;

use crate::config::{Config, Options};
use crate::peer::Frame;
use crate::time::Micros;
pub use event::{CallId, DirectReply, Effect, Event, Reply, Ticket};

use api::Api;
use api::counters::Counters;
use autoscaler::Autoscaler;
use calls::{MachinesCall, PendingCall};
use context::Context;
use jobs::Jobs;
use jobs::stage_cache::CachedStage;
use leadership::Leadership;
use machines::{Machines, cancellation};
use peers::Peers;
use pending_changes::PendingChanges;
use quota::Quotas;
use scheduler::Scheduler;
use timers::Timers;

/// Maximum number of rounds in one flush that send desired state, then views: desired state may
/// change views, and views may end tasks. Remaining changes wait for the next flush.
const MAX_FLUSH_ROUNDS: usize = 3;

/// The whole state of a controller: one component for each concern.
pub struct Controller {
    context: Context,
    leadership: Leadership,
    peers: Peers,
    jobs: Jobs,
    api: Api,
    scheduler: Scheduler,
    machines: Machines,
    quota: Quotas,
    autoscaler: Autoscaler,
    counts: Counters,
    timers: Timers,
    changes: PendingChanges,
}

impl Controller {
    /// Creates a controller that has just started.
    ///
    /// `wall` is the wall-clock time at the zero of the monotonic clock: deadlines must outlive the
    /// process that accepted them.
    pub fn new(config: &Config, options: Options, seed: u64, wall: Micros) -> Controller {
        let settings = &config.settings;
        let controller_lease =
            cancellation::effective_controller_lease(options.controller_lease, settings);
        let options = Options { controller_lease, ..options };
        let context = Context::new(config, options, seed, wall);
        let members = context.members.len();
        Controller {
            leadership: Leadership::new(members),
            peers: Peers::new(members, context.local_member),
            jobs: Jobs::new(&settings.kv_store),
            api: Api::default(),
            scheduler: Scheduler::new(&context.options),
            machines: Machines::new(members),
            quota: Quotas::new(&settings.teams),
            autoscaler: Autoscaler::default(),
            counts: Counters::default(),
            timers: Timers::default(),
            changes: PendingChanges::default(),
            context,
        }
    }

    /// Number of a member; `None` if no member has this name.
    pub fn member_number(&self, name: &str) -> Option<usize> {
        self.context.member_number(name)
    }

    /// Passes an event to the components that it concerns and appends the resulting effects to
    /// `effects`.
    pub fn handle(&mut self, now: Micros, event: Event, effects: &mut Vec<Effect>) {
        self.context.now = now;
        match event {
            Event::Http { ticket, method, path, body } => self.http(ticket, &method, &path, &body),
            Event::Reply { id, reply } => {
                if let Some(call) = self.context.take_call(id) {
                    self.route_reply(call, reply);
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
        self.context.take_effects(effects);
    }

    /// Passes a reply to the component that made the call.
    fn route_reply(&mut self, call: PendingCall, reply: Reply) {
        match (call, reply) {
            (PendingCall::Leadership(call), Reply::KvStore(reply)) => {
                self.leadership_reply(call, reply);
            }
            (PendingCall::Api(call), Reply::KvStore(reply)) => self.api_reply(call, reply),
            (PendingCall::Jobs(call), Reply::KvStore(reply)) => self.jobs_reply(call, reply),
            (PendingCall::Quota(call), Reply::KvStore(reply)) => self.quota_reply(call, reply),
            (
                PendingCall::Machines(MachinesCall::ReadUnknownJob { job, origin }),
                Reply::KvStore(reply),
            ) => {
                self.unknown_job_reply(&job, origin, &reply);
            }
            (
                PendingCall::Machines(MachinesCall::ReadUnknownJobs { first, origin }),
                Reply::KvStore(reply),
            ) => {
                self.unknown_jobs_reply(&first, origin, reply);
            }
            (
                PendingCall::Machines(MachinesCall::PreloadStages { origin }),
                Reply::KvStore(reply),
            ) => {
                self.preloaded_stages_reply(origin, reply);
            }
            (PendingCall::Machines(call), Reply::Direct(reply)) => {
                self.machines_reply(call, reply);
            }
            (PendingCall::Autoscaler(call), Reply::KvStore(reply)) => {
                self.stored_machine_types_reply(call, reply);
            }
            (PendingCall::Autoscaler(call), Reply::Cloud(reply)) => self.cloud_reply(call, reply),
            (call, reply) => log::warn!("unexpected reply {reply:?} to {call:?}"),
        }
    }

    /// Runs all periodic work that is due, in this order.
    fn tick(&mut self) {
        let now = self.context.now;
        if self.leadership.check_lease_regained(now) {
            self.evaluate_all();
        }
        self.leadership.check_connectivity(&self.machines, &self.peers, &mut self.context);
        self.maintain_leadership();
        let holds_lease = self.holds_lease();
        self.api.expire_submissions(&mut self.context, &mut self.counts, holds_lease);
        self.api.expire_status_queries(&mut self.context, &mut self.counts);
        self.read_unknown_jobs();
        self.maintain_dependencies();
        self.send_probes();
        if self.timers.maintenance.restart_if_due(now) {
            self.run_maintenance();
        }
        if self.timers.quotas.restart_if_due(now) {
            self.maintain_quotas();
        }
        if self.timers.refusals.restart_if_due(now) {
            self.api.refusals.log();
            self.log_waiting();
        }
        self.maintain_autoscaler();
    }

    /// Makes the changes to machines and jobs that result from the passage of time alone.
    fn run_maintenance(&mut self) {
        let now = self.context.now;
        self.expire_machine_incarnations();
        self.check_spot_notices();
        self.resend_unobserved();
        self.scheduler.expire_preemption_requests(now);
        if self.timers.guarantees.restart_if_due(now) {
            self.refresh_guarantee_budget();
            self.raise_starved_jobs();
            self.hold_machines_for_large_tasks();
        }
        self.scheduler.count_unobserved_placements(&self.jobs);
        self.scheduler.request_pass();
    }

    /// Processes all changes since the last call, in this order: placements, writes, desired state,
    /// views, one frame for each peer, and the answers that waited for peers.
    pub fn flush(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        self.context.now = now;
        self.api.status_queries.send_comparisons(&mut self.context);
        if self.holds_lease() {
            self.admit_waiting();
            self.announce_terms();
            self.run_scheduling_pass();
            self.write_changed_jobs();
            let frame = self.reconcile_machines();
            self.write_changed_jobs();
            self.send_frames(frame);
        } else if self.timers.peer_heartbeat.is_due(now) || !self.changes.cancelled.is_empty() {
            self.send_frames(Frame::default());
        }
        self.answer_acknowledged();
        self.context.take_effects(effects);
    }

    /// Reconciles machines with the desired state. Returns the frame with the changes that peers
    /// need.
    fn reconcile_machines(&mut self) -> Frame {
        let mut frame = Frame::default();
        for _ in 0..MAX_FLUSH_ROUNDS {
            if !self.changes.affect_machines() {
                break;
            }
            self.send_desired_state(&mut frame);
            self.send_views(&mut frame);
        }
        frame
    }

    /// Refuses a request temporarily. The response contains the number of seconds after which to
    /// retry.
    fn respond_retry_later(&mut self, ticket: Ticket, status: u16, reason: &str) {
        self.api.respond_retry_later(&mut self.context, &mut self.counts, ticket, status, reason);
    }

    /// Whether this process may act for the shards that it leads.
    fn holds_lease(&self) -> bool {
        self.leadership.holds_lease(self.context.now)
    }

    /// The term under which this process leads a shard; `None` if it does not lead it or does not
    /// hold its controller lease.
    fn leading_term(&self, shard: usize) -> Option<u64> {
        self.leadership.leading_term(shard, self.context.now)
    }

    /// Whether this process runs the shard's jobs: it leads the shard, has read its jobs and is not
    /// handing it over.
    fn serves_shard(&self, shard: usize) -> bool {
        self.leadership.serves_shard(shard, self.context.now)
    }

    /// The shard to which a machine belongs.
    fn shard_of_machine(&self, machine: &str) -> usize {
        self.leadership.shard_of_machine(machine)
    }

    /// Number of the member that leads a shard, by the last observed lease; `None` if the shard is
    /// vacant.
    fn shard_leader(&self, shard: usize) -> Option<usize> {
        self.context.member_number(self.leadership.leader_name(shard)?)
    }
}
