//! Event loop around the pure controller: all sockets and timers, on one `calloop` thread.
//!
//! The runtime turns input into controller events and carries out the effects that the
//! controller returns. It makes no decision about jobs or machines. Every queue and buffer
//! is bounded, and every wait has a timeout.
//!
//! State:
//! - `connection`, `connections`: one open connection; all open connections and their counts;
//! - `call`, `calls`: one outgoing call; all pending calls with deadlines and connection pools;
//! - `destination`: targets of calls, and the connection limit of each;
//! - `throttle`: calls that wait for the key-value store's rate limit;
//! - `stats`: latencies and counters.
//!
//! Operations:
//! - `limits`: limits on connections, buffers and time;
//! - `socket`: creates listening and connecting sockets;
//! - `socket_events`: accepts, reads, writes and closes connections;
//! - `requests`: requests from users, workers and the load balancer;
//! - `outgoing`: sends calls and delivers their outcomes;
//! - `peers`: frames from and to the other controllers;
//! - `timers`: periodic work;
//! - `pages`: the `/status` and `/queue` pages;
//! - `error`: errors that prevent startup or stop the event loop.

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
mod socket_events;
mod stats;
mod throttle;
mod timers;

pub use connection::drop_written;
pub use error::RuntimeError;
pub use limits::{client_fits, command_fits, peer_backlog};

use crate::config::{Config, Options};
use crate::controller::{Controller, Effect, Event};
use crate::http::OutgoingResponse;
use crate::kv_store::RateBudget;
use crate::time::Micros;
use calloop::generic::Generic;
use calloop::timer::{TimeoutAction, Timer};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction};
use calls::Calls;
use connections::Connections;
use limits::{BUSY_TICK_INTERVAL, READ_BUFFER_BYTES};
use log::info;
use pages::PageCache;
use peers::{EncodedFrameCache, PeerLink, peer_links};
use requests::JSON;
use socket::ListenerKind;
use stats::Stats;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Initial value of the monotonic clock. It is not zero, so that no point in time is zero.
const CLOCK_START: Micros = Micros::secs(1);

/// State shared by all callbacks of the event loop.
pub struct Runtime {
    handle: LoopHandle<'static, Runtime>,
    controller: Controller,
    config: Config,
    /// The instant at which the monotonic clock was at [`CLOCK_START`].
    started: Instant,
    /// The monotonic clock when it was last read.
    now: Micros,
    connections: Connections,
    calls: Calls,
    /// The other controllers, by member number.
    peers: BTreeMap<usize, PeerLink>,
    /// Maximum number of unwritten bytes per peer connection.
    max_peer_backlog_bytes: usize,
    last_tick: Micros,
    /// No call times out before this time.
    timeouts_paused_until: Micros,
    /// Time of the next search for slow and idle connections.
    next_sweep: Micros,
    /// Empty between uses; kept to reuse its allocation.
    effects: Vec<Effect>,
    stats: Stats,
    pages: PageCache,
    /// Scratch buffer for reads from sockets.
    buffer: Vec<u8>,
}

/// Runs the controller until the process is killed.
///
/// # Errors
///
/// Returns an error if the process cannot listen or the event loop fails.
pub fn run(config: Config, options: Options, seed: u64) -> Result<(), RuntimeError> {
    let mut event_loop: EventLoop<'static, Runtime> = EventLoop::try_new()?;
    let handle = event_loop.handle();
    let client_listener = socket::listen(config.bind)?;
    let peer_listener = socket::listen(config.peer_bind)?;
    add_listener(&handle, client_listener, ListenerKind::Clients)?;
    add_listener(&handle, peer_listener, ListenerKind::Peers)?;
    add_timer(&handle)?;
    let mut runtime = Runtime::new(handle, config, options, seed);
    info!("member {} listening on {}", runtime.config.member, runtime.config.bind);
    event_loop.run(None, &mut runtime, |runtime| runtime.finish_iteration())?;
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

/// Wall-clock time at which the monotonic clock, which begins at [`CLOCK_START`], would be zero.
fn wall_time_at_clock_zero() -> Micros {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Micros(u64::try_from(since_epoch.as_micros()).unwrap_or(0)).since(CLOCK_START)
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
            controller: Controller::new(&config, options, seed, wall_time_at_clock_zero()),
            started: Instant::now(),
            now: CLOCK_START,
            connections: Connections::new(config.settings.machine_limits.fd_limit),
            calls: Calls::new(RateBudget::new(
                limits.rps,
                limits.write_rps,
                config.members().len(),
            )),
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

    /// Updates `now`, the time that everything acts by until the clock is read again.
    fn read_clock(&mut self) {
        let elapsed = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX / 8);
        self.now = Micros(elapsed) + CLOCK_START;
    }

    /// Passes an event to the controller and carries out the resulting effects.
    fn dispatch(&mut self, event: Event) {
        let mut effects = std::mem::take(&mut self.effects);
        self.controller.handle(self.now, event, &mut effects);
        self.perform(effects);
    }

    /// Carries out effects in order; keeps the emptied list to reuse its allocation.
    fn perform(&mut self, mut effects: Vec<Effect>) {
        let mut encoded = EncodedFrameCache::default();
        for effect in effects.drain(..) {
            match effect {
                Effect::Respond { ticket, status, retry_after, body } => {
                    let response = OutgoingResponse {
                        status,
                        retry_after,
                        content_type: JSON,
                        body: &body,
                        close: false,
                    };
                    self.respond(ticket.0, response);
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

    /// Runs after every iteration of the event loop: sends the throttled calls that the rate
    /// limit now allows, and flushes the controller, which sends one frame with all changes to
    /// each peer.
    fn finish_iteration(&mut self) {
        // The iteration may have taken long, or the process may have been suspended during it.
        self.read_clock();
        self.admit_throttled();
        let mut effects = std::mem::take(&mut self.effects);
        self.controller.flush(self.now, &mut effects);
        self.perform(effects);
    }
}
