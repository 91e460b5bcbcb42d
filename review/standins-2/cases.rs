//! The cases, one function each.
use crate::http::Client;
use crate::json::{J, s};
use crate::store::Rule;
use crate::world::{self, World};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const HELD: i32 = 0;
const BROKEN: i32 = 1;
const COULD_NOT_RUN: i32 = 2;

/// Ends all processes of a world, whatever happens.
struct Guard(World);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.stop();
    }
}

pub fn play(name: &str, folder: PathBuf, record: PathBuf, trouble: bool) -> i32 {
    let site = match name {
        "forgotten" => world::grid(),
        _ => world::timber(),
    };
    let mut guard = Guard(World::new(site, folder, record));
    let world = &mut guard.0;
    world.record.line(&format!("case {name}, trouble {trouble}"));
    let status = match name {
        "forgotten" => forgotten(world, trouble),
        "released" => released(world, trouble),
        "went-back" => went_back(world, trouble),
        "cut-leader" => cut_leader(world, trouble),
        _ => COULD_NOT_RUN,
    };
    let word = match status {
        HELD => "the rule held",
        BROKEN => "THE RULE WAS BROKEN",
        _ => "the case couldn't run",
    };
    world.record.line(word);
    println!("{word}");
    status
}

/// Starts all controllers and `machines` machines; false if they don't come up.
fn boot(world: &mut World, machines: usize) -> bool {
    for node in 0..3 {
        world.start(node);
    }
    for number in 1..=machines {
        world.add_machine(number, number);
    }
    let up = (0..3).all(|node| world.wait_healthy(node, 20.0));
    thread::sleep(Duration::from_secs(3));
    up && (0..3).all(|node| world.ended(node).is_none())
}

/// Waits until a node answers this stage for a job.
fn wait_stage(world: &World, node: usize, id: &str, stage: &str, seconds: f64) -> bool {
    let until = Instant::now() + Duration::from_secs_f64(seconds);
    while Instant::now() < until {
        if world.stage(node, id).as_deref() == Some(stage) {
            return true;
        }
        thread::sleep(Duration::from_millis(250));
    }
    false
}

/// The node that leads the shard of a job, from its stored record.
fn shard_of(world: &World, id: &str) -> Option<usize> {
    world.store.value(&format!("j/{id}"))?.get("s").u64().map(|shard| shard as usize)
}

/// Node 1 is killed and back at once while the state service answers some of its requests late. A user
/// asks it about job A, whose last task ends meanwhile. Job B, which needs A and belongs to node 1's
/// shard, has to run.
fn released(world: &mut World, trouble: bool) -> i32 {
    if !boot(world, 4) {
        return COULD_NOT_RUN;
    }
    let first = world.describe("j-000001", 1, 1.0, 600.0, false, vec![]);
    let second =
        world.describe("j-000002", 1, 1.0, 2.0, true, vec![("upstream", J::Arr(vec![s("j-000001")]))]);
    if !world.submit(0, "j-000001", &first) || !wait_stage(world, 0, "j-000001", "running", 20.0) {
        return COULD_NOT_RUN;
    }
    if !world.submit(1, "j-000002", &second)
        || shard_of(world, "j-000001") != Some(0)
        || shard_of(world, "j-000002") != Some(1)
    {
        return COULD_NOT_RUN;
    }
    thread::sleep(Duration::from_secs(1));
    cross(world, trouble);
    if !wait_stage(world, 0, "j-000001", "done", 10.0) {
        return COULD_NOT_RUN;
    }
    world.store.set_rules(Vec::new());
    world.record.line("all requests are answered at once from here on");
    let until = Instant::now() + Duration::from_secs(92);
    while Instant::now() < until {
        if !world.starts_of("j-000002").is_empty() {
            return HELD;
        }
        world.stage(1, "j-000002");
        world.stage(2, "j-000002");
        thread::sleep(Duration::from_secs(5));
    }
    world.record.line("j-000002 has not started 92 s after the job that it needs was done");
    BROKEN
}

/// Kills node 1 and has it back at once. The first lists that it asks for wait 300 ms on their way to the
/// state service; the answer to a user's question about j-000001 takes 450 ms. In between, the job's last
/// task ends. Returns the answer to that question and when it came.
fn cross(world: &mut World, trouble: bool) -> (f64, Option<(u16, J)>) {
    let mut lists = Rule::new("GET", "/kv?prefix=hold/");
    lists.node = Some(1);
    lists.before = Duration::from_millis(300);
    let mut read = Rule::new("GET", "/kv/j/j-000001");
    read.node = Some(1);
    read.after = Duration::from_millis(450);
    world.store.set_rules(vec![lists, read]);
    if trouble {
        world.kill(1);
        thread::sleep(Duration::from_millis(200));
        world.start(1);
    }
    // The user connects as soon as the node listens.
    let until = Instant::now() + Duration::from_secs(5);
    while std::net::TcpStream::connect(world.users[1]).is_err() && Instant::now() < until {
        thread::sleep(Duration::from_millis(1));
    }
    let (address, record) = (world.users[1], Arc::clone(&world.record));
    let question = thread::spawn(move || {
        let sent = record.now();
        let answer = Client::new(address).call("GET", "/work/j-000001", "", Duration::from_secs(2));
        let came = record.now();
        record.line(&format!("user: GET /work/j-000001 to node 1, sent {sent:.3}: {answer:?}"));
        let answer = answer.ok().map(|(status, text)| (status, J::parse(&text).unwrap_or(J::Null)));
        (came, answer)
    });
    thread::sleep(Duration::from_millis(30));
    world.release("j-000001");
    question.join().unwrap_or((0.0, None))
}

/// As `released`, but judged by the answers: once a user was told that the job is done, no node may call
/// it something else.
fn went_back(world: &mut World, trouble: bool) -> i32 {
    if !boot(world, 4) {
        return COULD_NOT_RUN;
    }
    let mut broken = false;
    let first = world.describe("j-000001", 1, 1.0, 600.0, false, vec![]);
    if !world.submit(0, "j-000001", &first) || !wait_stage(world, 0, "j-000001", "running", 20.0) {
        return COULD_NOT_RUN;
    }
    thread::sleep(Duration::from_secs(1));
    // The same user's other window asks node 0 again and again.
    let (address, record) = (world.users[0], Arc::clone(&world.record));
    let told = Arc::new(AtomicU64::new(0));
    let (telling, stop) = (Arc::clone(&told), Arc::new(AtomicBool::new(false)));
    let stopping = Arc::clone(&stop);
    let asking = thread::spawn(move || {
        let mut client = Client::new(address);
        while !stopping.load(Ordering::Relaxed) {
            if let Ok((200, text)) = client.call("GET", "/work/j-000001", "", Duration::from_secs(2))
                && text.contains("\"done\"")
                && J::parse(&text).is_some_and(|answer| answer.get("stage").str() == "done")
            {
                let at = record.now();
                record.line(&format!("user: node 0 answered {text}"));
                telling.store((at * 1e6) as u64, Ordering::Relaxed);
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
    });
    let (came, answer) = cross(world, trouble);
    let done_at = told.load(Ordering::Relaxed) as f64 / 1e6;
    if let Some((200, answer)) = answer
        && done_at > 0.0
        && came > done_at
        && answer.get("stage").str() != "done"
    {
        world.record.line(&format!(
            "told done at {done_at:.3} by node 0, and {} at {came:.3} by node 1",
            answer.get("stage").str()
        ));
        broken = true;
    }
    if !broken && !wait_stage(world, 0, "j-000001", "done", 10.0) {
        stop.store(true, Ordering::Relaxed);
        return COULD_NOT_RUN;
    }
    stop.store(true, Ordering::Relaxed);
    let _ = asking.join();
    if broken { BROKEN } else { HELD }
}

/// Low jobs fill all machines and take 5 s to save when they are stopped. An urgent job is placed on a
/// machine of node 2 and has to wait for that. Meanwhile node 2 loses the state service and the other
/// controllers, not its workers, and the urgent job is cancelled through node 0.
fn cut_leader(world: &mut World, trouble: bool) -> i32 {
    if !boot(world, 6) {
        return COULD_NOT_RUN;
    }
    let saving = || vec![("urgency", s("low")), ("notchS", J::Num(20.0)), ("stackS", J::Num(5.0))];
    for number in 1..=6 {
        let id = format!("j-{number:06}");
        let body = world.describe(&id, 1, 4.0, 600.0, false, saving());
        if !world.submit(0, &id, &body) || !wait_stage(world, 0, &id, "running", 20.0) {
            return COULD_NOT_RUN;
        }
    }
    // Six urgent tasks, one for each machine, so that one of them falls to each machine of node 2.
    let urgent = world.describe("j-000100", 6, 4.0, 600.0, false, vec![("urgency", s("high"))]);
    if !world.submit(0, "j-000100", &urgent) {
        return COULD_NOT_RUN;
    }
    thread::sleep(Duration::from_millis(1500));
    if trouble {
        world.record.line("network: node 2 is cut off from the state service and from the other controllers");
        world.cut[2].store(true, Ordering::Relaxed);
    }
    let cancelled = loop {
        let answer = world.ask(0, "POST", "/work/j-000100/abort", "", 5.0);
        if let Some((200, answer)) = answer
            && answer.get("stage").str() == "cancelled"
        {
            break world.record.now();
        }
        if world.record.now() > 60.0 {
            return COULD_NOT_RUN;
        }
        thread::sleep(Duration::from_secs(1));
    };
    world.record.line(&format!("told cancelled at {cancelled:.3}"));
    thread::sleep(Duration::from_secs(15));
    // Only commands in the answer to a report that was sent after the user was told count: no start command
    // was in flight then.
    let late: Vec<_> = world
        .starts_of("j-000100")
        .into_iter()
        .filter(|start| start.asked_at.is_some_and(|asked_at| asked_at > cancelled))
        .collect();
    for start in &late {
        world.record.line(&format!("started after the user was told: {start:?}"));
    }
    world.cut[2].store(false, Ordering::Relaxed);
    if late.is_empty() { HELD } else { BROKEN }
}

/// Asks about a job, on a connection of its own for each question; an answer counts if it comes within 2 s.
struct Asker {
    path: String,
    nodes: Vec<std::net::SocketAddr>,
    turn: usize,
    open: Vec<(f64, usize, std::net::TcpStream)>,
}

impl Asker {
    fn ask(&mut self, now: f64) {
        let node = self.turn % self.nodes.len();
        self.turn += 1;
        let address = self.nodes[node];
        let Ok(mut stream) = std::net::TcpStream::connect_timeout(&address, Duration::from_millis(500)) else {
            return;
        };
        let text = format!("GET {} HTTP/1.1\r\nHost: {address}\r\nContent-Length: 0\r\n\r\n", self.path);
        let _ = stream.set_nonblocking(true);
        if std::io::Write::write_all(&mut stream, text.as_bytes()).is_ok() {
            self.open.push((now, node, stream));
        }
    }

    /// The answers that have come: when the question was sent, to which node, and the text; an empty one
    /// after 2 s without an answer.
    fn answers(&mut self, now: f64) -> Vec<(f64, usize, String)> {
        let mut over = Vec::new();
        self.open.retain_mut(|(sent, node, stream)| {
            let mut buffer = [0u8; 2048];
            match std::io::Read::read(stream, &mut buffer) {
                Ok(got) if got > 0 => {
                    over.push((*sent, *node, String::from_utf8_lossy(&buffer[..got]).to_string()));
                    false
                }
                Ok(_) => {
                    over.push((*sent, *node, String::new()));
                    false
                }
                Err(_) if now - *sent < 2.0 => true,
                Err(_) => {
                    over.push((*sent, *node, String::new()));
                    false
                }
            }
        });
        over
    }
}

/// Three jobs run; many wait for one of them. For some seconds eight users ask about each job instead of one.
/// After that every job has one user again, who asks every 5 s.
fn forgotten(world: &mut World, trouble: bool) -> i32 {
    const WAITING: usize = 500;
    const STORM_S: f64 = 20.0;
    const AFTER_S: f64 = 76.0;
    if !boot(world, 4) {
        return COULD_NOT_RUN;
    }
    let running: Vec<String> = (1..=3).map(|number| format!("j-{number:06}")).collect();
    for (node, id) in running.iter().enumerate() {
        let body = world.describe(id, 1, 1.0, 600.0, false, vec![]);
        if !world.submit(node, id, &body) || !wait_stage(world, node, id, "running", 10.0) {
            return COULD_NOT_RUN;
        }
    }
    let waiting: Vec<String> = (1..=WAITING).map(|number| format!("j-1{number:05}")).collect();
    let accepted = AtomicU64::new(0);
    let until = Instant::now() + Duration::from_secs(12);
    thread::scope(|scope| {
        for part in 0..48 {
            let (world, waiting, running, accepted) = (&*world, &waiting, &running, &accepted);
            scope.spawn(move || {
                for (number, id) in waiting.iter().enumerate().filter(|(number, _)| number % 48 == part) {
                    let needs = J::Arr(vec![s(&running[number % 3])]);
                    let body = world.describe(id, 1, 1.0, 5.0, true, vec![("upstream", needs)]);
                    while Instant::now() < until {
                        if let Some((200 | 201, _)) = world.ask(number % 3, "POST", "/work", &body, 5.0) {
                            accepted.fetch_add(1, Ordering::Relaxed);
                            break;
                        }
                        thread::sleep(Duration::from_millis(1000));
                    }
                }
            });
        }
    });
    let accepted = accepted.load(Ordering::Relaxed) as usize;
    world.record.line(&format!("{accepted} jobs that wait were accepted"));
    if accepted < WAITING * 9 / 10 {
        return COULD_NOT_RUN;
    }
    let begun = world.record.now();
    let (storm_end, end) = (begun + STORM_S, begun + STORM_S + AFTER_S);
    world.record.line(&format!("{} users ask about each job for {STORM_S} s", if trouble { 8 } else { 1 }));
    // For the running jobs: questions after the storm, and how many were answered. For the others: all together.
    let counts: Vec<(AtomicU64, AtomicU64)> = (0..4).map(|_| Default::default()).collect();
    thread::scope(|scope| {
        for (number, id) in running.iter().chain(&waiting).enumerate() {
            let (world, counts) = (&*world, &counts[number.min(3)]);
            scope.spawn(move || {
                let path = format!("/work/{id}");
                let mut asker = Asker { path, nodes: world.users.clone(), turn: number, open: Vec::new() };
                // The users' times are spread evenly.
                let mut next = begun + 5.0 * (number % 97) as f64 / 97.0 / if trouble { 8.0 } else { 1.0 };
                loop {
                    let now = world.record.now();
                    if now >= end {
                        return;
                    }
                    if now >= next {
                        asker.ask(now);
                        next += if trouble && now < storm_end { 5.0 / 8.0 } else { 5.0 };
                    }
                    for (sent, node, text) in asker.answers(now) {
                        let answered = text.starts_with("HTTP/1.1 200");
                        if number < 3 {
                            let first = text.lines().next().unwrap_or("no answer");
                            let last = text.lines().last().unwrap_or("");
                            world.record.line(&format!("user: {id} at node {node}, sent {sent:.3}: {first} {last}"));
                        }
                        if sent >= storm_end {
                            counts.0.fetch_add(1, Ordering::Relaxed);
                            counts.1.fetch_add(u64::from(answered), Ordering::Relaxed);
                        }
                    }
                    thread::sleep(Duration::from_millis(20));
                }
            });
        }
    });
    let read = |i: usize| (counts[i].0.load(Ordering::Relaxed), counts[i].1.load(Ordering::Relaxed));
    for (number, id) in running.iter().enumerate() {
        world.record.line(&format!("{id}, in the {AFTER_S} s after the storm (asked, answered 200): {:?}", read(number)));
    }
    world.record.line(&format!("the jobs that wait, in the same time: {:?}", read(3)));
    if (0..3).any(|node| world.ended(node).is_some()) || (0..3).any(|i| read(i).0 < 12) {
        return COULD_NOT_RUN;
    }
    // "while most others get answers"
    let (asked, answered) = read(3);
    let most_answered = answered * 2 > asked;
    if most_answered && (0..3).any(|i| read(i).1 == 0) { BROKEN } else { HELD }
}
