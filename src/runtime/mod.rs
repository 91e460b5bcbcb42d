//! The process's only thread: sockets and timers on `calloop`, around the pure
//! controller. It turns input into events and carries out effects; it decides nothing
//! about jobs or machines. Everything here is bounded and timed.
//!
//! State:
//! - `connection`, `connections`: an open connection, and all of them with their counts;
//! - `call`, `calls`: an outgoing call, and all of them with deadlines and pools;
//! - `destination`: where calls go, and how many connections each may have;
//! - `throttle`: calls that wait for their share of the store's rate;
//! - `stats`: latencies and counters.
//!
//! What is done with it:
//! - `limits`: how many connections and bytes there may be, and all time limits;
//! - `socket`: listening and connecting;
//! - `sockets`: accepting, reading, writing and closing;
//! - `requests`: requests from users, workers and the load balancer;
//! - `outgoing`: calls from their start to their end;
//! - `peers`: frames from and to the other controllers;
//! - `timers`: what is done at every turn of the timer;
//! - `pages`: the pages for people;
//! - `error`: what ends the process at its start.

mod call;
mod calls;
mod connection;
mod connections;
mod destination;
mod error;
mod limits;
mod outgoing;
mod pages;
mod peers;
mod requests;
pub mod socket;
mod sockets;
mod stats;
mod throttle;
mod timers;

pub use connection::drop_written;
pub use error::RuntimeError;
pub use limits::{command_fits, peer_backlog, sender_fits};

use crate::config::{Config, Options};
use crate::controller::{Controller, Effect, Event};
use crate::http::OutgoingAnswer;
use crate::kv_store::Budget;
use crate::time::Micros;
use calloop::generic::Generic;
use calloop::timer::{TimeoutAction, Timer};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction};
use calls::Calls;
use connections::Connections;
use limits::{BUSY_TICK_INTERVAL, READ_BUFFER_BYTES};
use log::info;
use pages::PageCache;
use peers::{EncodedFrame, PeerLink, peer_links};
use requests::JSON;
use socket::ListenerKind;
use stats::Stats;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Where the steady clock begins: no point in time is zero.
const CLOCK_START: Micros = Micros::secs(1);

/// Everything that the loop's callbacks work on.
pub struct Runtime {
    handle: LoopHandle<'static, Runtime>,
    controller: Controller,
    config: Config,
    /// When the steady clock was at [`CLOCK_START`].
    started: Instant,
    /// Time by the steady clock, as last read.
    now: Micros,
    connections: Connections,
    calls: Calls,
    /// The other controllers by their number among the members.
    peers: BTreeMap<usize, PeerLink>,
    /// Bytes that may wait for a peer.
    max_peer_backlog_bytes: usize,
    last_tick: Micros,
    /// No call times out before this.
    timeouts_paused_until: Micros,
    /// When slow and idle connections are searched for again.
    next_sweep: Micros,
    /// An empty list, kept for its capacity.
    effects: Vec<Effect>,
    stats: Stats,
    pages: PageCache,
    /// What has just been read from a socket.
    buffer: Vec<u8>,
}

/// Runs the controller until the process is killed.
///
/// # Errors
///
/// If it cannot listen, or if the event loop fails.
pub fn run(config: Config, options: Options, seed: u64) -> Result<(), RuntimeError> {
    let mut event_loop: EventLoop<'static, Runtime> = EventLoop::try_new()?;
    let handle = event_loop.handle();
    let senders = socket::listen(config.bind)?;
    let peers = socket::listen(config.peer_bind)?;
    add_listener(&handle, senders, ListenerKind::Senders)?;
    add_listener(&handle, peers, ListenerKind::Peers)?;
    add_timer(&handle)?;
    let mut runtime = Runtime::new(handle, config, options, seed);
    info!("{} listens on {}", runtime.config.member, runtime.config.bind);
    event_loop.run(None, &mut runtime, |runtime| runtime.finish_turn())?;
    Ok(())
}

fn add_listener(
    handle: &LoopHandle<'static, Runtime>,
    listener: TcpListener,
    kind: ListenerKind,
) -> Result<(), RuntimeError> {
    let source = Generic::new(listener, Interest::READ, Mode::Level);
    handle
        .insert_source(source, move |_, listener, runtime: &mut Runtime| {
            runtime.accept(listener, kind);
            Ok(PostAction::Continue)
        })
        .map_err(|e| RuntimeError::Register(e.error))?;
    Ok(())
}

fn add_timer(handle: &LoopHandle<'static, Runtime>) -> Result<(), RuntimeError> {
    let timer = Timer::from_duration(BUSY_TICK_INTERVAL.duration());
    handle
        .insert_source(timer, |_, _, runtime: &mut Runtime| {
            let wait = runtime.tick();
            TimeoutAction::ToDuration(wait.duration())
        })
        .map_err(|e| RuntimeError::Register(e.error))?;
    Ok(())
}

/// The time of day, less the point at which the steady clock begins.
fn time_of_day() -> Micros {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Micros(u64::try_from(since.as_micros()).unwrap_or(0)).since(CLOCK_START)
}

impl Runtime {
    fn new(
        handle: LoopHandle<'static, Runtime>,
        config: Config,
        options: Options,
        seed: u64,
    ) -> Runtime {
        let limits = &config.settings.kv_store;
        Runtime {
            handle,
            controller: Controller::new(&config, options, seed, time_of_day()),
            started: Instant::now(),
            now: CLOCK_START,
            connections: Connections::new(config.settings.machine_limits.fd_limit),
            calls: Calls::new(Budget::new(limits.rps, limits.write_rps, config.members().len())),
            peers: peer_links(&config),
            max_peer_backlog_bytes: peer_backlog(config.settings.machine_limits.mem_mb),
            last_tick: CLOCK_START,
            timeouts_paused_until: Micros::ZERO,
            next_sweep: Micros::ZERO,
            effects: Vec::new(),
            stats: Stats::new(),
            pages: PageCache::default(),
            buffer: vec![0; READ_BUFFER_BYTES],
            config,
        }
    }

    /// Reads the steady clock; what follows acts by this time.
    fn read_clock(&mut self) {
        let elapsed = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX / 8);
        self.now = Micros(elapsed) + CLOCK_START;
    }

    /// Passes an event to the controller and carries out what it decides.
    fn dispatch(&mut self, event: Event) {
        let mut effects = std::mem::take(&mut self.effects);
        self.controller.handle(self.now, event, &mut effects);
        self.perform(effects);
    }

    /// Carries out effects in order; the list is kept for its capacity.
    fn perform(&mut self, mut effects: Vec<Effect>) {
        let mut encoded = EncodedFrame::default();
        for effect in effects.drain(..) {
            match effect {
                Effect::Respond { ticket, status, retry_after, body } => {
                    let answer = OutgoingAnswer {
                        status,
                        retry_after,
                        content_type: JSON,
                        body: &body,
                        close: false,
                    };
                    self.answer(ticket.0, answer);
                }
                Effect::KvStore { id, call } => self.start_kv_store(id, call),
                Effect::Cloud { id, call } => self.start_cloud(id, call),
                Effect::Direct { id, address, body } => self.start_commands(id, address, body),
                Effect::Inspect { id, address } => self.start_inspect(id, address),
                Effect::Peer { to, frame } => self.send_frame(to, &frame, &mut encoded),
            }
        }
        if self.effects.capacity() < effects.capacity() && self.effects.is_empty() {
            self.effects = effects;
        }
    }

    /// After every turn of the loop: calls whose share has come, and one frame
    /// for each peer with all that has changed.
    fn finish_turn(&mut self) {
        // The turn may have been long, or the process may have stood still in
        // it: what follows acts by the clock as it is now.
        self.read_clock();
        self.admit_throttled();
        let mut effects = std::mem::take(&mut self.effects);
        self.controller.flush(self.now, &mut effects);
        self.perform(effects);
    }
}
