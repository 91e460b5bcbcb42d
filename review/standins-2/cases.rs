//! The cases, one function each.
use crate::http::Client;
use crate::json::{J, s};
use crate::store::{End, Rule};
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
        "storm" => world::grid(),
        _ => world::timber(),
    };
    let mut guard = Guard(World::new(site, folder, record));
    let world = &mut guard.0;
    world.record.line(&format!("case {name}, trouble {trouble}"));
    let status = match name {
        "storm" => storm(world, trouble),
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

/// Users ask about their jobs many times as often as before, and about jobs that nobody submitted.
fn storm(world: &mut World, trouble: bool) -> i32 {
    if !boot(world, 20) {
        return COULD_NOT_RUN;
    }
    // Jobs of all teams at every node, so that the teams' limits are used and move between the shards.
    let stop = Arc::new(AtomicBool::new(false));
    let asked = Arc::new(AtomicU64::new(0));
    let teams = ["rong-vang", "sao-bang", "ho-guom", "tre-xanh", "nen-tang"];
    let submit = |world: &World, node: usize, turn: usize| {
        let id = format!("j-{}{turn:05}", node + 1);
        let team = teams[(turn + node) % teams.len()];
        let body = world.describe(&id, 8, 1.0, 1.5, true, vec![("crew", s(team))]);
        world.ask(node, "POST", "/work", &body, 5.0);
    };
    // The jobs whose submission is repeated: accepted ones that run for long.
    let mut known = Vec::new();
    for i in 0..6 {
        let id = format!("j-9{i:05}");
        let body = world.describe(&id, 1, 1.0, 600.0, false, vec![]);
        if !world.submit(i % 3, &id, &body) {
            return COULD_NOT_RUN;
        }
        known.push(body);
    }
    let users_per_node = if trouble { 650 } else { 20 };
    let begun = Instant::now();
    if trouble {
        // Carried out at once, and only the answer is lost.
        let mut lost = Rule::new("POST", "/txn");
        lost.body = "writes\":[{";
        lost.one_of = 5;
        lost.end = End::Lost;
        lost.after = Duration::from_secs(4);
        world.store.set_rules(vec![lost]);
    }
    for node in 0..3 {
        let address = world.users[node];
        for user in 0..users_per_node {
            let (stop, asked, body) = (Arc::clone(&stop), Arc::clone(&asked), known[user % known.len()].clone());
            let asking = move || {
                let mut client = Client::new(address);
                let mut turn = 0;
                while !stop.load(Ordering::Relaxed) {
                    if begun.elapsed().as_millis() % 10_000 < 6000 {
                        thread::sleep(Duration::from_millis(20));
                        continue;
                    }
                    asked.fetch_add(1, Ordering::Relaxed);
                    turn += 1;
                    // Each user waits 2 s for an answer, and asks again 100 ms after it.
                    let wait = Duration::from_secs(2);
                    let _ = match user % 2 {
                        0 => client.call("GET", &format!("/work/j-7{node}{user:04}{turn:04}"), "", wait),
                        _ => client.call("POST", "/work", &body, wait),
                    };
                    thread::sleep(Duration::from_millis(100));
                }
            };
            let _ = thread::Builder::new().stack_size(128 * 1024).spawn(asking);
        }
    }
    let until = Instant::now() + Duration::from_secs(90);
    let mut broken = false;
    thread::scope(|scope| {
        let (world, stop) = (&*world, &stop);
        for node in 0..3 {
            scope.spawn(move || {
                let mut turn = 0;
                while !stop.load(Ordering::Relaxed) {
                    submit(world, node, turn);
                    turn += 1;
                    thread::sleep(Duration::from_millis(200));
                }
            });
        }
        while Instant::now() < until && !broken {
            thread::sleep(Duration::from_millis(50));
            for node in 0..3 {
                if let Some(how) = world.ended(node) {
                    world.record.line(&format!("platform: node {node} ended by itself: {how}"));
                    world.record.line(&format!("its last lines:\n{}", world.log_tail(node, 6)));
                    broken = true;
                }
            }
        }
        stop.store(true, Ordering::Relaxed);
    });
    stop.store(true, Ordering::Relaxed);
    world.record.line(&format!("users asked {} times", asked.load(Ordering::Relaxed)));
    world.record.line(&format!("state: {} requests were answered 429", world.store.count_429()));
    if broken { BROKEN } else { HELD }
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
