//! Controller processes and the delivery of their effects.

use super::event::{ControllerProcess, SimEvent};
use super::settings::{CONTROLLERS, KV_STORE_RPS, LOWERED_LIMITS, settings};
use super::worker::Worker;
use super::world::World;
use millethold::cloud::{CloudCall, CloudReply};
use millethold::config::Options;
use millethold::controller::{CallId, Controller, DirectReply, Effect, Event, Reply};
use millethold::peer::Frame;
use millethold::time::Micros;
use rand::RngExt;
use std::net::SocketAddrV4;

/// Time that the cloud takes to answer, in addition to the network delay.
const CLOUD_DELAY: Micros = Micros::millis(100);
/// How long a controller waits for the answer to direct commands.
const DIRECT_TIMEOUT: Micros = Micros::secs(3);
/// Wall-clock time that a controller's own clock shows at its start.
const WALL_CLOCK_START: Micros = Micros::secs(1_000_000);

impl World {
    /// Whether this process of a controller is still running.
    pub(super) fn alive(&self, controller: usize, incarnation: u64) -> bool {
        self.processes[controller].as_ref().is_some_and(|p| p.incarnation == incarnation)
    }

    /// Starts a controller's process.
    pub(super) fn start(&mut self, controller: usize) {
        let seed = self.rng.random();
        let incarnation = self.rng.random();
        if self.faults.lowered_limits.is_some_and(|(known, _)| self.now >= Micros::secs(known)) {
            let [write_rps, rps] =
                [self.faults.write_rps, self.faults.rps].map(|r| r.unwrap_or(KV_STORE_RPS));
            let next = format!(
                "next = {{ value_kb = {:.1}, txn_ops = {} }}",
                LOWERED_LIMITS.value_kb, LOWERED_LIMITS.operations
            );
            self.config[controller] = settings(controller, write_rps, rps, &next);
        }
        let options = Options::default();
        let config = &self.config[controller];
        let process = ControllerProcess {
            controller: Controller::new(config, options, seed, WALL_CLOCK_START),
            incarnation,
            started_at: self.now,
        };
        self.processes[controller] = Some(process);
        self.schedule(self.now, SimEvent::Tick { controller, incarnation });
        for other in (0..CONTROLLERS).filter(|o| *o != controller) {
            for (from, to) in [(controller, other), (other, controller)] {
                let link = self.rng.random();
                let at = self.now + Micros::millis(5);
                self.schedule(at, SimEvent::PeerUp { from, to, link });
            }
        }
        self.query_started_controller(controller);
    }

    /// Ends a controller's process and schedules its restart.
    pub(super) fn crash(&mut self, controller: usize) {
        self.processes[controller] = None;
        self.watches.retain(|watch| watch.controller != controller);
        let wait = self.faults.restart_ms.max(100);
        let back = self.now + Micros::millis(self.rng.random_range(wait / 2..wait * 2));
        self.schedule(back, SimEvent::Start { controller });
        self.end_jobs_at_crash();
    }

    /// Passes an event to a controller, if it is running, and carries out its effects.
    pub(super) fn feed(&mut self, controller: usize, event: Event) {
        let now = self.now;
        let mut effects = Vec::new();
        let Some(process) = self.processes[controller].as_mut() else {
            return;
        };
        process.controller.handle(now, event, &mut effects);
        process.controller.flush(now, &mut effects);
        self.digest.record(now, controller, &process.controller, &effects);
        let incarnation = process.incarnation;
        for effect in effects {
            self.effect(controller, incarnation, effect);
        }
    }

    fn effect(&mut self, controller: usize, incarnation: u64, effect: Effect) {
        let at = self.now + self.delay();
        match effect {
            Effect::Respond { ticket, status, body, .. } => {
                let sent_at = self.now;
                self.schedule(at, SimEvent::Answer { ticket: ticket.0, sent_at, status, body });
            }
            Effect::KvStore { id, call } => {
                let lose_answer = self.chance(self.faults.lost_answers);
                let at = at + self.kv_store_extra_delay() + self.extra_delay_at_start(controller);
                let sent = self.now;
                self.schedule(
                    at,
                    SimEvent::KvStore { controller, incarnation, id, call, lose_answer, sent },
                );
            }
            Effect::Cloud { id, call } => {
                let reply = self.call_cloud(&call);
                let event = Event::Reply { id, reply: Reply::Cloud(reply) };
                self.schedule(
                    at + CLOUD_DELAY,
                    SimEvent::ToController { controller, incarnation, event },
                );
            }
            Effect::Direct { id, address, body } => {
                self.send_direct(controller, incarnation, id, address, body, at);
            }
            Effect::Inspect { id, address } => {
                let reply = self.inspect(controller, address);
                let event = Event::Reply { id, reply: Reply::Direct(reply) };
                self.schedule(at, SimEvent::ToController { controller, incarnation, event });
            }
            Effect::Peer { to, frame } => self.send_frame(controller, to, &frame, at),
        }
    }

    /// Carries out a call to the cloud, and adds or removes the workers of its machines.
    fn call_cloud(&mut self, call: &CloudCall) -> CloudReply {
        let reply = self.cloud.call(self.now, call);
        if let CloudReply::ScaledOut(names) = &reply {
            for name in names.clone() {
                let zone = self.cloud.zone(&name);
                let worker = self.workers.len();
                let boot = match self.faults.quick_boots {
                    true => Micros::millis(self.rng.random_range(200..2_000)),
                    false => Micros::secs(5),
                };
                let up = self.now + boot;
                self.workers.push(Worker::new(name, &zone, false, false, up));
                self.schedule(up, SimEvent::WorkerStep { worker });
            }
        }
        if let CloudReply::ScaledIn = reply
            && let CloudCall::ScaleIn(names) = call
        {
            for worker in self.workers.iter_mut().filter(|w| names.contains(&w.name)) {
                worker.is_gone = true;
            }
        }
        reply
    }

    /// Sends direct commands to a worker. They arrive at `at` unless a fault delays or drops them.
    fn send_direct(
        &mut self,
        controller: usize,
        incarnation: u64,
        id: CallId,
        address: SocketAddrV4,
        body: Vec<u8>,
        at: Micros,
    ) {
        let worker = usize::from(address.port());
        let delayed = self.chance(self.faults.command_delays);
        let controller_cut = self.controller_cut(controller);
        let cut = self.worker_cut(worker).or(controller_cut.map(|(end, _)| end));
        let no_answer = SimEvent::ToController {
            controller,
            incarnation,
            event: Event::Reply { id, reply: Reply::Direct(DirectReply::Unknown) },
        };
        let reset = controller_cut.is_some_and(|(_, held)| !held);
        if self.inbound_cut(worker) || self.unreachable_from(worker, controller) || reset {
            self.schedule(self.now + DIRECT_TIMEOUT, no_answer);
        } else if let Some(hold) = self.draw_command_hold() {
            let sent = self.now;
            self.schedule(at + hold, SimEvent::HeldCommands { worker, body, sent });
            self.schedule(self.now + DIRECT_TIMEOUT, no_answer);
        } else if delayed || cut.is_some() {
            let late = Micros::secs(self.rng.random_range(1..20));
            let at = cut.unwrap_or(self.now) + late;
            // Incarnation 0 matches no process: the commands arrive, and their answer is lost.
            self.schedule(at, SimEvent::Direct { controller, incarnation: 0, id, worker, body });
            self.schedule(self.now + DIRECT_TIMEOUT, no_answer);
        } else {
            if self.chance(self.faults.command_copies) {
                let late = Micros::millis(self.rng.random_range(500..40_000));
                let copy = SimEvent::CommandCopy { worker, body: body.clone() };
                self.schedule(at + late, copy);
            }
            self.schedule(at, SimEvent::Direct { controller, incarnation, id, worker, body });
        }
    }

    /// Draws how long direct commands that are sent now are held; `None` if they are not held.
    fn draw_command_hold(&mut self) -> Option<Micros> {
        let hold = self.faults.held_commands.filter(|h| self.during(h.from, h.to))?;
        let (least, most) = (hold.least_s * 1_000, hold.most_s * 1_000);
        self.chance(hold.share).then(|| Micros::millis(self.rng.random_range(least..=most)))
    }

    /// Returns the worker's answer to a controller's probe.
    fn inspect(&self, controller: usize, address: SocketAddrV4) -> DirectReply {
        let worker = usize::from(address.port());
        let unreachable =
            self.worker_cut(worker).is_some() || self.controller_cut(controller).is_some();
        if unreachable || self.workers[worker].is_gone {
            DirectReply::Unknown
        } else {
            DirectReply::Answered { status: 200, body: Vec::new() }
        }
    }

    /// Sends a frame to a peer, in order after the earlier frames of the connection.
    fn send_frame(&mut self, controller: usize, to: usize, frame: &Frame, at: Micros) {
        self.machine_entries_sent += frame.views.len() as u64;
        self.machine_entries_sent +=
            frame.desired.iter().map(|w| w.machines.len() as u64).sum::<u64>();
        let machines = frame.desired.iter().flat_map(|w| &w.machines);
        self.task_entries_sent += machines.map(|m| m.tasks.len() as u64).sum::<u64>();
        if self.chance(self.faults.dropped_frames) {
            return;
        }
        let Some((link, last)) = self.links.get(&(controller, to)).copied() else {
            return;
        };
        let at = at.max(last + Micros(1));
        self.links.insert((controller, to), (link, at));
        let frame = Box::new(frame.clone());
        self.schedule(at, SimEvent::Peer { from: controller, link, to, frame });
    }

    /// Opens a connection from one controller to another, unless a cut separates them or the other
    /// is not running.
    pub(super) fn peer_up(&mut self, from: usize, to: usize, link: u64) {
        if self.peers_cut(from, to) || self.processes[to].is_none() {
            return;
        }
        self.links.insert((from, to), (link, self.now));
        self.feed(from, Event::PeerUp(to));
    }

    /// Delivers a frame if its connection still exists. Frames that arrive during a cut are held
    /// and delivered in order when it ends.
    pub(super) fn deliver_frame(&mut self, from: usize, link: u64, to: usize, frame: Box<Frame>) {
        let lost = self.peers_reset(from, to);
        let current = !lost && self.links.get(&(from, to)).is_some_and(|l| l.0 == link);
        if !current || self.processes[to].is_none() {
            return;
        }
        if self.one_way_cut(from, to) || self.peers_cut(from, to) {
            let at = self.held_frames_until();
            self.schedule(at, SimEvent::Peer { from, link, to, frame });
        } else {
            self.feed(to, Event::Peer { from, frame });
        }
    }
}
