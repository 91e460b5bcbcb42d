//! The process's only thread: sockets and timers on `calloop`, around the pure
//! controller. Everything here is bounded and timed.

use crate::cloud::{CloudCall, CloudReply};
use crate::config::{Config, Options};
use crate::controller::{CallId, Controller, DirectReply, Effect, Event, Reply, Ticket};
use crate::http;
use crate::peer;
use crate::state::{Budget, StateCall, StateReply};
use crate::time::Micros;
use calloop::generic::Generic;
use calloop::timer::{TimeoutAction, Timer};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use hdrhistogram::Histogram;
use log::{debug, info, warn};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// A connection that has sent part of a request is cut after this long.
const SLOW_SENDER: Micros = Micros::secs(10);
/// An idle connection of a user or worker is closed after this long.
const IDLE_SENDER: Micros = Micros::secs(120);
/// A connection attempt is given up after this long.
const CONNECT: Micros = Micros::millis(1_500);
/// Between attempts to reach a peer.
const PEER_RETRY: Micros = Micros::millis(300);
/// A peer that has taken nothing for so long stands still or is cut off: what
/// waits for it is dropped, and it is told all anew once it is heard again.
const DEAF_PEER: Micros = Micros::secs(4);
/// Part of the memory that may wait to be written to one peer.
const PEER_BACKLOG: f64 = 1.0 / 16.0;
/// Connections to the state service for calls that do not wait.
const STATE_CONNECTIONS: usize = 8;
/// Calls that may wait for the state service's rate.
const STATE_QUEUE: usize = 512;
/// Connections that may wait to be accepted: after a restart the whole fleet
/// and all users come at once. The system may allow fewer.
const BACKLOG: i32 = 4_096;
/// Sockets kept for listening, the state service, the cloud and peers.
const RESERVED_SOCKETS: usize = 24;
/// Part of the sockets that commands to workers may take, and part that they
/// leave free for senders. A connection for reports and one for commands for
/// every machine would not fit on one node that runs the whole fleet.
const COMMAND_SOCKETS: usize = 3;
const SENDER_SPARE: usize = 16;
/// Buffers of quiet connections above this are given back: thousands of them
/// would hold what each once needed.
const QUIET_BUFFER: usize = 512;
/// The timer fires every few milliseconds. After a gap like this the process
/// stood still: answers may lie unread, and their calls are not timed out yet.
const STOOD_STILL: Micros = Micros::secs(1);
/// How long it then has to read them.
const PATIENCE: Micros = Micros::millis(500);

/// A page is made anew after this long.
const PAGE_AGE: Micros = Micros::secs(1);

type ConnId = u64;

/// Where a call goes; each place has its own connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Place {
    State,
    Watch,
    Lease,
    Cloud,
    Worker(SocketAddrV4),
}

#[derive(Debug)]
enum CallKind {
    State(StateCall),
    Cloud(CloudCall),
    Direct,
}

#[derive(Debug)]
struct Call {
    kind: CallKind,
    place: Place,
    bytes: Vec<u8>,
    deadline: Micros,
    conn: Option<ConnId>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// A user's, worker's or prober's; `busy` since a request is being decided.
    Sender {
        busy: bool,
        since: Micros,
        reports: bool,
    },
    PeerIn {
        member: Option<usize>,
    },
    PeerOut {
        member: usize,
    },
    Client {
        place: Place,
        call: Option<CallId>,
    },
}

struct Conn {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    role: Role,
    connected: bool,
    inbound: Vec<u8>,
    outbound: Vec<u8>,
    written: usize,
    close_after: bool,
    /// Last time that something arrived, or that a peer took something.
    active: Micros,
    /// Since when it has had nothing to do, for connections with commands.
    idle_since: Option<Micros>,
    /// When the message that is arriving began. A sender that drips its bytes
    /// is always active and would never be cut by that.
    begun: Micros,
}

#[derive(Default)]
struct Pool {
    idle: Vec<ConnId>,
    open: usize,
    queue: VecDeque<CallId>,
}

struct PeerLink {
    address: SocketAddrV4,
    conn: Option<ConnId>,
    retry: Micros,
    run: u64,
}

/// Pages for people.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Page {
    Status,
    Queue,
}

/// Latencies and counters for the status page.
struct Stats {
    answers: Histogram<u64>,
    reports: Histogram<u64>,
    state_calls: Histogram<u64>,
    refused_connections: u64,
    bad_requests: u64,
}

/// Everything that the loop's callbacks work on.
pub struct Runtime {
    handle: LoopHandle<'static, Runtime>,
    controller: Controller,
    config: Config,
    start: Instant,
    now: Micros,
    conns: HashMap<ConnId, Conn>,
    next_conn: ConnId,
    senders: usize,
    /// Connections for commands to workers.
    commanding: usize,
    /// Those of them that have nothing to do, the one idle for longest first.
    commands_idle: BTreeSet<(Micros, ConnId)>,
    /// Bytes that may wait for a peer.
    peer_backlog: usize,
    /// When the timer last fired.
    ticked: Micros,
    /// Calls are not timed out before this.
    patient: Micros,
    pools: HashMap<Place, Pool>,
    calls: HashMap<CallId, Call>,
    deadlines: BTreeSet<(Micros, CallId)>,
    budget: Budget,
    /// State calls waiting for their share of the rate: reads, and changes,
    /// which wait longer and must not hold up the reads.
    throttled: [VecDeque<CallId>; 2],
    peers: BTreeMap<usize, PeerLink>,
    sweep: Micros,
    effects: Vec<Effect>,
    stats: Stats,
    /// Pages as last made.
    pages: BTreeMap<Page, (Micros, Rc<Vec<u8>>)>,
    buffer: Vec<u8>,
}

fn histogram() -> Histogram<u64> {
    // Three digits up to a minute in microseconds: these bounds are valid.
    Histogram::new_with_bounds(1, 60_000_000, 2).unwrap_or_else(|_| {
        Histogram::new(1).unwrap_or_else(|_| unreachable!("one significant digit is valid"))
    })
}

/// Runs the controller until the process is killed.
pub fn run(config: Config, options: Options, seed: u64) -> io::Result<()> {
    let mut event_loop: EventLoop<'static, Runtime> =
        EventLoop::try_new().map_err(io::Error::other)?;
    let handle = event_loop.handle();
    let users = listen(config.bind)?;
    let peers_in = listen(config.peer_bind)?;
    for (listener, for_peers) in [(users, false), (peers_in, true)] {
        let source = Generic::new(listener, Interest::READ, Mode::Level);
        handle
            .insert_source(source, move |_, listener, rt: &mut Runtime| {
                rt.accept(listener, for_peers);
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.to_string()))?;
    }
    let timer = Timer::from_duration(std::time::Duration::from_millis(10));
    handle
        .insert_source(timer, |_, _, rt: &mut Runtime| {
            rt.tick();
            let hurry = rt.controller.accepting() || rt.throttled.iter().any(|q| !q.is_empty());
            let wait = if hurry { 10 } else { 50 };
            TimeoutAction::ToDuration(std::time::Duration::from_millis(wait))
        })
        .map_err(|e| io::Error::other(e.to_string()))?;
    let members = config.members();
    let peers = config
        .peers
        .iter()
        .filter_map(|p| {
            let number = members.iter().position(|m| *m == p.member)?;
            Some((number, PeerLink { address: p.address, conn: None, retry: Micros::ZERO, run: 0 }))
        })
        .collect();
    let s = &config.settings.state;
    let mut runtime = Runtime {
        handle,
        controller: Controller::new(&config, options, seed, time_of_day()),
        start: Instant::now(),
        // One second, so that no point in time is zero.
        now: Micros::secs(1),
        conns: HashMap::new(),
        next_conn: 1,
        senders: 0,
        commanding: 0,
        commands_idle: BTreeSet::new(),
        peer_backlog: peer_backlog(config.settings.machine_limits.mem_mb),
        ticked: Micros::secs(1),
        patient: Micros::ZERO,
        pools: HashMap::new(),
        calls: HashMap::new(),
        deadlines: BTreeSet::new(),
        budget: Budget::new(s.rps, s.write_rps, members.len()),
        throttled: [VecDeque::new(), VecDeque::new()],
        peers,
        sweep: Micros::ZERO,
        effects: Vec::new(),
        stats: Stats {
            answers: histogram(),
            reports: histogram(),
            state_calls: histogram(),
            refused_connections: 0,
            bad_requests: 0,
        },
        pages: BTreeMap::new(),
        buffer: vec![0; 32 * 1024],
        config,
    };
    info!("{} listens on {}", runtime.config.member, runtime.config.bind);
    event_loop.run(None, &mut runtime, |rt| rt.settle()).map_err(io::Error::other)
}

/// Whether one more user, worker or prober fits beside the connections that
/// there are, of `limit` sockets.
pub fn sender_fits(limit: usize, senders: usize, commanding: usize) -> bool {
    senders + commanding + RESERVED_SOCKETS < limit
}

/// Whether one more connection for commands fits: some room stays for senders.
pub fn command_fits(limit: usize, senders: usize, commanding: usize) -> bool {
    let spare = limit / SENDER_SPARE;
    commanding < limit / COMMAND_SOCKETS && sender_fits(limit, senders + spare, commanding)
}

/// What may wait to be written to a peer before its connection is given up: a
/// part of the memory, since a peer that stands still reads nothing. It holds a
/// frame of any size that peers take.
pub fn peer_backlog(mem_mb: f64) -> usize {
    ((mem_mb * 1024.0 * 1024.0 * PEER_BACKLOG) as usize).clamp(peer::MAX_FRAME, 2 * peer::MAX_FRAME)
}

/// The time of day, less the second at which the steady clock begins.
fn time_of_day() -> Micros {
    let since =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    Micros(u64::try_from(since.as_micros()).unwrap_or(0)).since(Micros::secs(1))
}

/// Listens with an address that a quick restart may use again at once.
fn listen(address: SocketAddrV4) -> io::Result<TcpListener> {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket
        .bind(&SocketAddr::V4(address).into())
        .and_then(|()| socket.listen(BACKLOG))
        .map_err(|e| io::Error::new(e.kind(), format!("cannot listen on {address}: {e}")))?;
    Ok(socket.into())
}

fn begin_connect(address: SocketAddrV4) -> io::Result<TcpStream> {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    let _ = socket.set_tcp_nodelay(true);
    match socket.connect(&SocketAddr::V4(address).into()) {
        Ok(()) => {}
        // Linux says EINPROGRESS (115) for a connection that is under way.
        Err(e) if e.raw_os_error() == Some(115) || e.kind() == ErrorKind::WouldBlock => {}
        Err(e) => return Err(e),
    }
    Ok(socket.into())
}

/// Removes what has been written from a buffer that is never quite empty: between
/// busy controllers it would grow with all that was ever sent.
pub fn drop_written(buffer: &mut Vec<u8>, written: &mut usize) {
    if *written > buffer.len() / 2 {
        buffer.drain(..*written);
        *written = 0;
        buffer.shrink_to(2 * buffer.len());
    }
}

/// Removes what has been read; a buffer that is empty then is given back.
fn take_front(buffer: &mut Vec<u8>, used: usize) {
    buffer.drain(..used);
    if buffer.is_empty() && buffer.capacity() > QUIET_BUFFER {
        *buffer = Vec::new();
    }
}

impl Runtime {
    fn clock(&mut self) -> Micros {
        let us = u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX / 8);
        self.now = Micros(us) + Micros::secs(1);
        self.now
    }

    fn add(&mut self, stream: TcpStream, role: Role, connected: bool) -> io::Result<ConnId> {
        let id = self.next_conn;
        self.next_conn += 1;
        let stream = Rc::new(stream);
        let source = Generic::new(Rc::clone(&stream), Interest::BOTH, Mode::Edge);
        let token = self
            .handle
            .insert_source(source, move |ready, _, rt: &mut Runtime| {
                rt.ready(id, ready.readable, ready.writable);
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.to_string()))?;
        match role {
            Role::Sender { .. } => self.senders += 1,
            Role::Client { place: Place::Worker(_), .. } => self.commanding += 1,
            _ => {}
        }
        self.conns.insert(
            id,
            Conn {
                stream,
                token,
                role,
                connected,
                inbound: Vec::new(),
                outbound: Vec::new(),
                written: 0,
                close_after: false,
                active: self.now,
                idle_since: None,
                begun: self.now,
            },
        );
        Ok(id)
    }

    fn accept(&mut self, listener: &TcpListener, for_peers: bool) {
        self.clock();
        // Bounded, so that a flood of connections leaves the other sockets their turn.
        for _ in 0..32 {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(_) => return,
            };
            let limit = self.config.settings.machine_limits.fd_limit;
            let full = !sender_fits(limit, self.senders, self.commanding);
            if !for_peers && full && !self.close_idle_command() {
                self.stats.refused_connections += 1;
                continue;
            }
            if stream.set_nonblocking(true).is_err() {
                continue;
            }
            let role = if for_peers {
                Role::PeerIn { member: None }
            } else {
                Role::Sender { busy: false, since: self.now, reports: false }
            };
            if let Err(e) = self.add(stream, role, true) {
                debug!("cannot watch a connection: {e}");
            }
        }
    }

    fn ready(&mut self, id: ConnId, readable: bool, writable: bool) {
        self.clock();
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        if !conn.connected {
            if !writable && !readable {
                return;
            }
            if !matches!(conn.stream.take_error(), Ok(None)) {
                self.close(id);
                return;
            }
            if writable {
                conn.connected = true;
                if let Role::PeerOut { member } = conn.role {
                    debug!("connected to peer {member}");
                    self.dispatch(Event::PeerUp(member));
                }
            }
        }
        if writable {
            self.write(id);
        }
        if readable {
            self.read(id);
        }
    }

    fn read(&mut self, id: ConnId) {
        loop {
            let Some(conn) = self.conns.get_mut(&id) else {
                return;
            };
            match (&*conn.stream).read(&mut self.buffer) {
                Ok(0) => {
                    self.close(id);
                    return;
                }
                Ok(n) => {
                    conn.active = self.now;
                    if conn.inbound.is_empty() {
                        conn.begun = self.now;
                    }
                    conn.inbound.extend_from_slice(&self.buffer[..n]);
                    // A short read with a whole message in it: more would
                    // raise a new edge, so a further call is saved.
                    if self.consume(id) && n < self.buffer.len() {
                        return;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    self.close(id);
                    return;
                }
            }
        }
    }

    /// Takes whole messages from a connection; true if there was one.
    fn consume(&mut self, id: ConnId) -> bool {
        let Some(conn) = self.conns.get_mut(&id) else {
            return true;
        };
        match conn.role {
            Role::Sender { busy: true, .. } => {
                // One request at a time; what a sender piles up meanwhile is bounded.
                if conn.inbound.len() > http::MAX_BODY + http::MAX_HEAD {
                    self.close(id);
                }
                false
            }
            Role::Sender { .. } => self.consume_request(id),
            Role::Client { .. } => self.consume_answer(id),
            Role::PeerIn { .. } => self.consume_frames(id),
            Role::PeerOut { .. } => {
                // Peers do not talk on this direction.
                conn.inbound.clear();
                false
            }
        }
    }

    fn consume_request(&mut self, id: ConnId) -> bool {
        let Some(conn) = self.conns.get_mut(&id) else {
            return true;
        };
        match http::parse_request(&conn.inbound) {
            Ok(None) => false,
            Ok(Some((request, used))) => {
                take_front(&mut conn.inbound, used);
                conn.close_after |= request.close;
                let reports = request.path == crate::wire::path::REPORT;
                conn.role = Role::Sender { busy: true, since: self.now, reports };
                match (request.method.as_str(), request.path.as_str()) {
                    ("GET", "/status") => {
                        let body = self.page(Page::Status);
                        self.answer(id, 200, None, "application/json", &body, false);
                    }
                    ("GET", "/queue") => {
                        let body = self.page(Page::Queue);
                        self.answer(id, 200, None, "text/plain", &body, false);
                    }
                    _ => self.dispatch(Event::Http {
                        ticket: Ticket(id),
                        method: request.method,
                        path: request.path,
                        body: request.body,
                    }),
                }
                true
            }
            Err(e) => {
                self.stats.bad_requests += 1;
                let status = if e == http::HttpError::TooLarge { 413 } else { 400 };
                let body = format!("{{\"error\":\"{e}\"}}");
                conn.role = Role::Sender { busy: true, since: self.now, reports: false };
                self.answer(id, status, None, "application/json", body.as_bytes(), true);
                true
            }
        }
    }

    fn consume_answer(&mut self, id: ConnId) -> bool {
        let Some(conn) = self.conns.get_mut(&id) else {
            return true;
        };
        let Role::Client { place, call } = conn.role else {
            return true;
        };
        match http::parse_answer(&conn.inbound) {
            Ok(None) => false,
            Ok(Some((answer, used))) => {
                take_front(&mut conn.inbound, used);
                let Some(call_id) = call else {
                    // An answer to nothing: the connection is out of step.
                    self.close(id);
                    return true;
                };
                conn.role = Role::Client { place, call: None };
                if answer.close || !conn.inbound.is_empty() {
                    self.close(id);
                } else {
                    if matches!(place, Place::Worker(_)) {
                        conn.idle_since = Some(self.now);
                        self.commands_idle.insert((self.now, id));
                    }
                    self.pools.entry(place).or_default().idle.push(id);
                }
                self.finish(call_id, Some(answer), false);
                self.pump(place);
                true
            }
            Err(e) => {
                warn!("unreadable answer from {place:?}: {e}");
                self.close(id);
                true
            }
        }
    }

    fn consume_frames(&mut self, id: ConnId) -> bool {
        loop {
            let Some(conn) = self.conns.get_mut(&id) else {
                return true;
            };
            let Role::PeerIn { member } = conn.role else {
                return true;
            };
            match peer::read_frame(&conn.inbound) {
                Ok(None) => return false,
                Ok(Some((frame, used))) => {
                    conn.inbound.drain(..used);
                    let number = self.controller.member_number(&frame.member);
                    let known = number.filter(|n| self.peers.contains_key(n));
                    let Some(from) = known.filter(|n| member.is_none_or(|m| m == *n)) else {
                        warn!("frame from unknown member {:?}", frame.member);
                        self.close(id);
                        return true;
                    };
                    if member.is_none() {
                        conn.role = Role::PeerIn { member: Some(from) };
                        // Only the newest connection of a peer counts: frames held
                        // back on an older one would arrive after newer ones.
                        let older: Vec<ConnId> = self
                            .conns
                            .iter()
                            .filter(|(i, c)| {
                                **i != id && c.role == Role::PeerIn { member: Some(from) }
                            })
                            .map(|(i, _)| *i)
                            .collect();
                        for o in older {
                            self.close(o);
                        }
                    }
                    if let Some(link) = self.peers.get_mut(&from)
                        && link.run != frame.run
                    {
                        // The peer started anew: what was sent to its earlier run is lost.
                        let stale = link.run != 0;
                        link.run = frame.run;
                        if let Some(c) = link.conn
                            && stale
                        {
                            self.close(c);
                        }
                    }
                    self.dispatch(Event::Peer { from, frame: Box::new(frame) });
                }
                Err(peer::BadFrame) => {
                    warn!("unreadable frame from a peer; connection closed");
                    self.close(id);
                    return true;
                }
            }
        }
    }

    fn write(&mut self, id: ConnId) {
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        if !conn.connected {
            return;
        }
        while conn.written < conn.outbound.len() {
            match (&*conn.stream).write(&conn.outbound[conn.written..]) {
                Ok(0) => {
                    self.close(id);
                    return;
                }
                Ok(n) => {
                    conn.written += n;
                    if matches!(conn.role, Role::PeerOut { .. }) {
                        conn.active = self.now;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    drop_written(&mut conn.outbound, &mut conn.written);
                    return;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    self.close(id);
                    return;
                }
            }
        }
        conn.outbound.clear();
        conn.written = 0;
        let kept = match conn.role {
            Role::PeerIn { .. } | Role::PeerOut { .. } => 64 * 1024,
            _ => QUIET_BUFFER,
        };
        if conn.outbound.capacity() > kept {
            conn.outbound = Vec::new();
        }
        if conn.close_after && !matches!(conn.role, Role::Sender { busy: true, .. }) {
            self.close(id);
        }
    }

    fn close(&mut self, id: ConnId) {
        let Some(conn) = self.conns.remove(&id) else {
            return;
        };
        self.handle.remove(conn.token);
        match conn.role {
            Role::Sender { .. } => self.senders -= 1,
            Role::PeerIn { .. } => {}
            Role::PeerOut { member } => {
                if let Some(link) = self.peers.get_mut(&member)
                    && link.conn == Some(id)
                {
                    link.conn = None;
                    link.retry = self.now + PEER_RETRY;
                    self.dispatch(Event::PeerDown(member));
                }
            }
            Role::Client { place, call } => {
                if matches!(place, Place::Worker(_)) {
                    self.commanding -= 1;
                }
                if let Some(since) = conn.idle_since {
                    self.commands_idle.remove(&(since, id));
                }
                let pool = self.pools.entry(place).or_default();
                pool.open = pool.open.saturating_sub(1);
                pool.idle.retain(|c| *c != id);
                if let Some(call) = call {
                    self.finish(call, None, !conn.connected);
                }
                self.pump(place);
            }
        }
    }

    fn answer(
        &mut self,
        id: ConnId,
        status: u16,
        retry_after: Option<u64>,
        kind: &str,
        body: &[u8],
        close: bool,
    ) {
        let now = self.now;
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        let Role::Sender { busy: true, since, reports } = conn.role else {
            return;
        };
        conn.close_after |= close;
        let close = conn.close_after;
        http::write_answer(&mut conn.outbound, status, retry_after, kind, body, close);
        conn.role = Role::Sender { busy: false, since: now, reports };
        let took = now.since(since).0.max(1);
        let h = if reports { &mut self.stats.reports } else { &mut self.stats.answers };
        h.saturating_record(took);
        self.write(id);
        // A further request may have arrived while this one was being decided.
        if self.conns.get(&id).is_some_and(|c| !c.inbound.is_empty()) {
            self.consume(id);
        }
    }

    fn dispatch(&mut self, event: Event) {
        let now = self.now;
        let mut effects = std::mem::take(&mut self.effects);
        self.controller.handle(now, event, &mut effects);
        self.perform(effects);
    }

    fn perform(&mut self, mut effects: Vec<Effect>) {
        let mut written: Option<(Rc<peer::Frame>, Vec<u8>)> = None;
        for effect in effects.drain(..) {
            match effect {
                Effect::Respond { ticket, status, retry_after, body } => {
                    self.answer(ticket.0, status, retry_after, "application/json", &body, false);
                }
                Effect::State { id, call } => self.start_state(id, call),
                Effect::Cloud { id, call } => self.start_cloud(id, call),
                Effect::Direct { id, address, body } => {
                    let bytes = http::write_request(
                        "POST",
                        &address.to_string(),
                        crate::wire::path::COMMANDS,
                        Some(&body),
                    );
                    self.start_call(
                        id,
                        CallKind::Direct,
                        Place::Worker(address),
                        bytes,
                        Micros::secs(3),
                    );
                }
                Effect::Inspect { id, address } => {
                    let host = address.to_string();
                    let bytes = http::write_request("GET", &host, crate::wire::path::INSPECT, None);
                    let place = Place::Worker(address);
                    self.start_call(id, CallKind::Direct, place, bytes, Micros::secs(2));
                }
                Effect::Peer { to, frame } => self.send_frame(to, &frame, &mut written),
            }
        }
        if self.effects.capacity() < effects.capacity() && self.effects.is_empty() {
            self.effects = effects;
        }
    }

    fn start_state(&mut self, id: CallId, call: StateCall) {
        let (method, path, body) = call.encode();
        let host = self.config.endpoints.state.to_string();
        let bytes = http::write_request(method, &host, &path, body.as_deref());
        let place = if call.waits() {
            Place::Watch
        } else if call.urgent() {
            Place::Lease
        } else {
            Place::State
        };
        let queue = usize::from(call.puts() > 0);
        let allowed = self.throttled[queue].is_empty() || call.urgent();
        if allowed && self.budget.admit(self.now, &call) {
            let timeout = call.timeout();
            self.start_call(id, CallKind::State(call), place, bytes, timeout);
        } else if self.throttled[queue].len() < STATE_QUEUE {
            let deadline = self.now + call.timeout();
            self.calls.insert(
                id,
                Call { kind: CallKind::State(call), place, bytes, deadline, conn: None },
            );
            self.deadlines.insert((deadline, id));
            self.throttled[queue].push_back(id);
        } else {
            self.dispatch(Event::Reply { id, reply: Reply::State(StateReply::Refused) });
        }
    }

    fn start_cloud(&mut self, id: CallId, call: CloudCall) {
        let (method, path, body) = call.encode();
        let host = self.config.endpoints.cloud.to_string();
        let bytes = http::write_request(method, &host, &path, body.as_deref());
        let timeout = call.timeout();
        self.start_call(id, CallKind::Cloud(call), Place::Cloud, bytes, timeout);
    }

    fn start_call(
        &mut self,
        id: CallId,
        kind: CallKind,
        place: Place,
        bytes: Vec<u8>,
        timeout: Micros,
    ) {
        let deadline = self.now + timeout;
        self.calls.insert(id, Call { kind, place, bytes, deadline, conn: None });
        self.deadlines.insert((deadline, id));
        self.pools.entry(place).or_default().queue.push_back(id);
        self.pump(place);
    }

    /// Whether a further connection with commands may be made; one that has been
    /// idle for long makes room for it. Senders always find some room.
    fn room_for_command(&mut self) -> bool {
        let limit = self.config.settings.machine_limits.fd_limit;
        command_fits(limit, self.senders, self.commanding) || self.close_idle_command()
    }

    /// Closes the connection with commands that has been idle for longest.
    fn close_idle_command(&mut self) -> bool {
        let oldest = self.commands_idle.first().copied();
        if let Some((_, id)) = oldest {
            self.close(id);
        }
        oldest.is_some()
    }

    /// Gives waiting calls of a place to its connections.
    fn pump(&mut self, place: Place) {
        loop {
            let pool = self.pools.entry(place).or_default();
            if pool.queue.is_empty() {
                return;
            }
            let most = match place {
                Place::State => STATE_CONNECTIONS,
                Place::Watch => 8,
                Place::Lease | Place::Cloud => 2,
                Place::Worker(_) => 1,
            };
            let conn = match pool.idle.pop() {
                Some(c) => c,
                None if pool.open < most => {
                    if matches!(place, Place::Worker(_)) && !self.room_for_command() {
                        // Surely not sent; the worker's next report takes it along.
                        let queue = self.pools.remove(&place).map(|p| p.queue);
                        for id in queue.unwrap_or_default() {
                            self.finish(id, None, true);
                        }
                        return;
                    }
                    let pool = self.pools.entry(place).or_default();
                    pool.open += 1;
                    let address = match place {
                        Place::State | Place::Watch | Place::Lease => self.config.endpoints.state,
                        Place::Cloud => self.config.endpoints.cloud,
                        Place::Worker(a) => a,
                    };
                    let role = Role::Client { place, call: None };
                    match begin_connect(address).and_then(|s| self.add(s, role, false)) {
                        Ok(c) => c,
                        Err(e) => {
                            debug!("cannot connect to {address}: {e}");
                            let pool = self.pools.entry(place).or_default();
                            pool.open -= 1;
                            if let Some(id) = pool.queue.pop_front() {
                                self.finish(id, None, true);
                            }
                            return;
                        }
                    }
                }
                None => return,
            };
            let pool = self.pools.entry(place).or_default();
            let Some(id) = pool.queue.pop_front() else {
                return;
            };
            let (Some(call), Some(c)) = (self.calls.get_mut(&id), self.conns.get_mut(&conn)) else {
                continue;
            };
            if let Some(since) = c.idle_since.take() {
                self.commands_idle.remove(&(since, conn));
            }
            call.conn = Some(conn);
            c.role = Role::Client { place, call: Some(id) };
            c.active = self.now;
            c.outbound = std::mem::take(&mut call.bytes);
            c.written = 0;
            self.write(conn);
        }
    }

    /// Ends a call: with its answer, or without one. `unsent` says that surely
    /// not a byte of it has left.
    fn finish(&mut self, id: CallId, answer: Option<http::Answer>, unsent: bool) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.deadlines.remove(&(call.deadline, id));
        let reply = match (call.kind, answer) {
            (CallKind::State(c), Some(a)) => {
                if !c.waits() {
                    let begun = Micros(call.deadline.0.saturating_sub(c.timeout().0));
                    self.stats.state_calls.saturating_record(self.now.since(begun).0.max(1));
                }
                Reply::State(c.decode(a.status, &a.body))
            }
            (CallKind::State(_), None) if unsent => Reply::State(StateReply::Refused),
            (CallKind::State(_), None) => Reply::State(StateReply::Unknown),
            (CallKind::Cloud(c), Some(a)) => Reply::Cloud(c.decode(a.status, &a.body)),
            (CallKind::Cloud(_), None) if unsent => Reply::Cloud(CloudReply::Refused),
            (CallKind::Cloud(_), None) => Reply::Cloud(CloudReply::Unknown),
            (CallKind::Direct, Some(a)) => {
                Reply::Direct(DirectReply::Answered { status: a.status, body: a.body })
            }
            (CallKind::Direct, None) if unsent => Reply::Direct(DirectReply::NotSent),
            (CallKind::Direct, None) => Reply::Direct(DirectReply::Unknown),
        };
        self.dispatch(Event::Reply { id, reply });
    }

    /// Sends a frame; `written` holds the bytes of the last one.
    fn send_frame(
        &mut self,
        to: usize,
        frame: &Rc<peer::Frame>,
        written: &mut Option<(Rc<peer::Frame>, Vec<u8>)>,
    ) {
        let Some(id) = self.peers.get(&to).and_then(|l| l.conn) else {
            return;
        };
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        if !conn.connected {
            return;
        }
        if conn.outbound.len() - conn.written > self.peer_backlog {
            debug!("peer {to} does not read; connection closed");
            self.close(id);
            return;
        }
        match written {
            Some((last, bytes)) if Rc::ptr_eq(last, frame) => {
                conn.outbound.extend_from_slice(bytes)
            }
            _ => {
                let mut bytes = Vec::new();
                peer::write_frame(&mut bytes, frame);
                conn.outbound.extend_from_slice(&bytes);
                *written = Some((Rc::clone(frame), bytes));
            }
        }
        self.write(id);
    }

    fn tick(&mut self) {
        self.clock();
        let stood = self.now.since(std::mem::replace(&mut self.ticked, self.now));
        if stood > STOOD_STILL {
            info!("this process stood still for {} ms", stood.as_millis());
            self.patient = self.now + PATIENCE;
        }
        if self.now >= self.patient {
            self.time_out();
        }
        let members: Vec<usize> = self.peers.keys().copied().collect();
        for m in members {
            self.tend_peer(m);
        }
        if self.now >= self.sweep && self.now >= self.patient {
            self.sweep = self.now + Micros::secs(1);
            self.sweep_connections();
        }
        self.dispatch(Event::Tick);
    }

    /// Ends the calls whose time is over.
    fn time_out(&mut self) {
        while let Some((at, id)) = self.deadlines.first().copied() {
            if at > self.now {
                break;
            }
            self.deadlines.remove(&(at, id));
            let Some(call) = self.calls.get(&id) else {
                continue;
            };
            match call.conn {
                // Closing the connection ends the call.
                Some(conn) => self.close(conn),
                None => {
                    let place = call.place;
                    for queue in &mut self.throttled {
                        queue.retain(|c| *c != id);
                    }
                    self.pools.entry(place).or_default().queue.retain(|c| *c != id);
                    self.finish(id, None, true);
                }
            }
        }
    }

    fn tend_peer(&mut self, member: usize) {
        let now = self.now;
        let Some(link) = self.peers.get(&member) else {
            return;
        };
        match link.conn {
            Some(id) => {
                let slow = |c: &Conn| !c.connected && now > c.active + CONNECT;
                if self.conns.get(&id).is_some_and(slow) {
                    self.close(id);
                }
            }
            None if now >= link.retry => {
                let address = link.address;
                let made = begin_connect(address)
                    .and_then(|s| self.add(s, Role::PeerOut { member }, false));
                if let Some(link) = self.peers.get_mut(&member) {
                    link.conn = made.ok();
                    link.retry = now + PEER_RETRY;
                }
            }
            None => {}
        }
    }

    fn sweep_connections(&mut self) {
        let now = self.now;
        let over: Vec<ConnId> = self
            .conns
            .iter()
            .filter(|(_, c)| match c.role {
                Role::Sender { busy: false, .. } => {
                    let slow = !c.inbound.is_empty() && now > c.begun + SLOW_SENDER;
                    let deaf = !c.outbound.is_empty() && now > c.active + SLOW_SENDER;
                    slow || deaf || now > c.active + IDLE_SENDER
                }
                Role::Client { call: None, place: Place::Worker(_) } => {
                    now > c.active + Micros::secs(30)
                }
                Role::Client { call: Some(_), .. } => !c.connected && now > c.active + CONNECT,
                Role::PeerOut { .. } => {
                    c.connected && !c.outbound.is_empty() && now > c.active + DEAF_PEER
                }
                _ => false,
            })
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.close(id);
        }
        self.pools.retain(|place, p| {
            !matches!(place, Place::Worker(_)) || p.open > 0 || !p.queue.is_empty()
        });
    }

    /// After every turn of the loop: calls whose share has come, and one frame
    /// for each peer with all that has changed.
    fn settle(&mut self) {
        // The turn may have been long, or the process may have stood still in
        // it: what follows acts by the clock as it is now.
        self.clock();
        for queue in 0..self.throttled.len() {
            while let Some(id) = self.throttled[queue].front().copied() {
                let call = match self.calls.get(&id) {
                    Some(Call { kind: CallKind::State(c), place, .. }) => Some((c, *place)),
                    _ => None,
                };
                if call.is_some_and(|(c, _)| !self.budget.admit(self.now, c)) {
                    break;
                }
                let place = call.map(|(_, place)| place);
                self.throttled[queue].pop_front();
                if let Some(place) = place {
                    self.pools.entry(place).or_default().queue.push_back(id);
                    self.pump(place);
                }
            }
        }
        let mut effects = std::mem::take(&mut self.effects);
        self.controller.flush(self.now, &mut effects);
        self.perform(effects);
    }

    /// A page, made at most once a second whoever asks for it: it tells of all
    /// jobs or machines, and boards that refresh it would take the processor.
    fn page(&mut self, page: Page) -> Rc<Vec<u8>> {
        if let Some((at, body)) = self.pages.get(&page)
            && self.now.since(*at) < PAGE_AGE
        {
            return Rc::clone(body);
        }
        let body = Rc::new(match page {
            Page::Status => self.status(),
            Page::Queue => self.controller.queue_page(self.now).into_bytes(),
        });
        self.pages.insert(page, (self.now, Rc::clone(&body)));
        body
    }

    fn status(&mut self) -> Vec<u8> {
        fn summary(h: &Histogram<u64>) -> serde_json::Value {
            serde_json::json!({
                "count": h.len(),
                "p50_us": h.value_at_quantile(0.5),
                "p95_us": h.value_at_quantile(0.95),
                "p99_us": h.value_at_quantile(0.99),
                "max_us": h.max(),
            })
        }
        let mut page = self.controller.status(self.now);
        page["latency"] = serde_json::json!({
            "answers": summary(&self.stats.answers),
            "reports": summary(&self.stats.reports),
            "state_calls": summary(&self.stats.state_calls),
        });
        page["connections"] = serde_json::json!({
            "open": self.conns.len(),
            "senders": self.senders,
            "commands": self.commanding,
            "refused": self.stats.refused_connections,
            "bad_requests": self.stats.bad_requests,
            "state_calls_waiting": self.throttled.iter().map(VecDeque::len).sum::<usize>(),
        });
        serde_json::to_vec(&page).unwrap_or_default()
    }
}
