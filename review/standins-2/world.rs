//! A small deployment: three controllers as processes, workers, the cloud, the state service.
use crate::http::{self, Answer, Client, Request};
use crate::json::{J, n, obj, s};
use crate::store::{Cut, Store};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The settings of a case; the numbers come from a site's page.
#[derive(Clone)]
pub struct Site {
    pub zones: Vec<&'static str>,
    pub bench: &'static str,
    pub cpus: f64,
    pub ram: f64,
    pub startup: f64,
    pub team: &'static str,
    pub team_cpus: f64,
    pub team_max: f64,
    /// Further teams: name, guarantee, limit.
    pub more_teams: Vec<(&'static str, f64, f64)>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub rps: f64,
    pub write_rps: f64,
    pub txn_ops: usize,
    pub cloud_rps: f64,
    pub lag_s: f64,
    pub cores: f64,
    pub mem_mb: f64,
    pub fd_limit: usize,
}

/// The timber yard as BRIEF-millethold.md describes it. Its page sets neither a guarantee nor a limit
/// for its team.
pub fn timber() -> Site {
    Site {
        zones: vec!["klang-shed", "ipoh-office", "penang-depot", "rented-rack"],
        bench: "papan-box",
        cpus: 4.0,
        ram: 16.0,
        startup: 35.0,
        team: "yard-office",
        team_cpus: 0.0,
        team_max: 0.0,
        more_teams: Vec::new(),
        report_s: 3.0,
        lease_s: 45.0,
        cancel_s: 70.0,
        rps: 150.0,
        write_rps: 25.0,
        txn_ops: 8,
        cloud_rps: 5.0,
        lag_s: 3.0,
        cores: 0.16,
        mem_mb: 264.0,
        fd_limit: 5000,
    }
}

/// The shared grid, with one of its machine types.
pub fn grid() -> Site {
    Site {
        zones: vec!["danang-a", "hanoi-a", "hcm-a", "hcm-b"],
        bench: "quad-lane",
        cpus: 4.0,
        ram: 16.0,
        startup: 40.0,
        team: "rong-vang",
        team_cpus: 16.0,
        team_max: 72.0,
        more_teams: vec![
            ("sao-bang", 24.0, 56.0),
            ("ho-guom", 48.0, 160.0),
            ("tre-xanh", 40.0, 136.0),
            ("nen-tang", 24.0, 72.0),
        ],
        report_s: 3.0,
        lease_s: 22.0,
        cancel_s: 52.0,
        rps: 200.0,
        write_rps: 80.0,
        txn_ops: 16,
        cloud_rps: 5.0,
        lag_s: 10.0,
        cores: 0.096,
        mem_mb: 72.0,
        fd_limit: 2500,
    }
}

/// The record of a run: every line has the seconds since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.start.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// A job as its user describes it, and how long its tasks run here.
#[derive(Clone)]
pub struct Job {
    pub body: J,
    pub run: Duration,
    /// While false, tasks run on whatever `run` says.
    pub may_end: bool,
}

impl Job {
    fn cpus(&self) -> f64 {
        self.body.get("cpus").f64()
    }
    fn ram(&self) -> f64 {
        self.body.get("ramGb").f64()
    }
}

struct Plank {
    name: String,
    attempt: u64,
    stage: &'static str,
    cause: Option<&'static str>,
    since: Instant,
    flush: Duration,
}

struct Bench {
    shift: u64,
    tally: u64,
    baton: u64,
    planks: Vec<Plank>,
    lease_from: Instant,
    changed: bool,
    baton_told: Instant,
}

/// One start of a task on a machine, as it is written to the record.
#[allow(dead_code)]
#[derive(Clone, Debug)]
pub struct Start {
    pub at: f64,
    pub plank: String,
    pub machine: String,
    pub attempt: u64,
    /// When the worker sent the request whose answer held the command; `None` for a direct one.
    pub asked_at: Option<f64>,
}

/// The controllers that run, by node.
static CHILDREN: Mutex<[Option<Child>; 3]> = Mutex::new([None, None, None]);

/// Ends all controllers, also when a case hangs.
pub fn end_all() {
    let mut children = CHILDREN.lock().unwrap();
    for child in children.iter_mut().filter_map(Option::take) {
        let mut child = child;
        let _ = child.kill();
        let _ = child.wait();
    }
}

pub struct World {
    pub site: Site,
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub jobs: Arc<Mutex<BTreeMap<String, Job>>>,
    pub starts: Arc<Mutex<Vec<Start>>>,
    pub users: Vec<SocketAddr>,
    configs: Vec<PathBuf>,
    logs: PathBuf,
    program: PathBuf,
    machines: Arc<Mutex<Vec<(String, usize, SocketAddr)>>>,
    stop: Arc<AtomicBool>,
    /// The nodes that are cut off from the state service and from the other controllers.
    pub cut: Cut,
}

/// The next address of this run: loopback, with a port below those that the system gives to connections.
fn next_address() -> SocketAddr {
    static NEXT: std::sync::atomic::AtomicU16 = std::sync::atomic::AtomicU16::new(0);
    let id = std::process::id();
    let port = 20_000 + NEXT.fetch_add(1, Ordering::Relaxed);
    // Cases that run side by side have addresses of their own.
    let host = [127, 64 + (id >> 14 & 63) as u8, (id >> 7 & 127) as u8, ((id & 127) << 1 | 1) as u8];
    SocketAddr::from((host, port))
}

pub fn listener() -> TcpListener {
    (0..200).find_map(|_| TcpListener::bind(next_address()).ok()).expect("a free port on loopback")
}

fn free_address() -> SocketAddr {
    listener().local_addr().expect("an address")
}

impl World {
    /// Starts the stand-ins. `folder` is a temporary folder, `record` the file of the record.
    pub fn new(site: Site, folder: PathBuf, record: PathBuf) -> World {
        let record = Arc::new(Record {
            start: Instant::now(),
            file: Mutex::new(File::create(record).expect("record.txt can be written")),
        });
        let state: Vec<TcpListener> = (0..3).map(|_| listener()).collect();
        let state_at: Vec<SocketAddr> = state.iter().map(|l| l.local_addr().unwrap()).collect();
        let seen = Arc::clone(&record);
        let log_txn = move |node: usize, body: &J| {
            for write in body.get("writes").arr() {
                let key = write.get("set").str();
                if key.starts_with("j/") || key.starts_with("hold/") || key.starts_with("quota/") {
                    seen.line(&format!("state: node {node} stored {key} = {}", write.get("value")));
                }
            }
        };
        let cut: Cut = Arc::default();
        let store =
            Store::start(state, site.rps, site.write_rps, site.txn_ops, Arc::clone(&cut), Box::new(log_txn));
        let cloud = listener();
        let cloud_at = cloud.local_addr().unwrap();
        let machines: Arc<Mutex<Vec<(String, usize, SocketAddr)>>> = Arc::default();
        let stop = Arc::new(AtomicBool::new(false));
        serve_cloud(cloud, site.clone(), Arc::clone(&machines), Arc::clone(&record));
        let users: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
        let peers: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
        let mut world = World {
            site,
            record,
            store,
            jobs: Arc::default(),
            starts: Arc::default(),
            users,
            configs: Vec::new(),
            logs: folder.clone(),
            program: std::env::var("MILLETHOLD").expect("MILLETHOLD names the program").into(),
            machines,
            stop,
            cut,
        };
        let links: Vec<Vec<SocketAddr>> = (0..3)
            .map(|from| (0..3).map(|to| relay(peers[to], Arc::clone(&world.cut), from, to)).collect())
            .collect();
        world.write_configs(&folder, &peers, &links, &state_at, cloud_at);
        world
    }

    /// Writes the settings of the nodes; `links[a][b]` is the address at which `a` finds `b`.
    pub fn write_configs(
        &mut self,
        folder: &PathBuf,
        binds: &[SocketAddr],
        links: &[Vec<SocketAddr>],
        state: &[SocketAddr],
        cloud: SocketAddr,
    ) {
        let site = &self.site;
        self.configs.clear();
        for node in 0..3 {
            let zone = |node: usize| site.zones[node % site.zones.len()];
            let mut text = format!(
                "member = \"lathe-{node}\"\nlocation = \"{}\"\nbind = \"{}\"\npeer_bind = \"{}\"\n\n",
                zone(node), self.users[node], binds[node]
            );
            for other in (0..3).filter(|other| *other != node) {
                text += &format!(
                    "[[peers]]\nmember = \"lathe-{other}\"\nlocation = \"{}\"\naddress = \"{}\"\n\n",
                    zone(other), links[node][other]
                );
            }
            text += &format!(
                "[endpoints]\ncloud = \"{cloud}\"\nstate = \"{}\"\n\n[settings]\ninitial_size = 3\nzones = {:?}\nskew_ms = 1000.0\n\n",
                state[node], site.zones
            );
            for (name, cpus, most) in [(site.team, site.team_cpus, site.team_max)].iter().chain(&site.more_teams) {
                text += &format!(
                    "[[settings.teams]]\nname = \"{name}\"\ncpus = {cpus:?}\ncpus_max = {most:?}\ngpus = 0.0\ngpus_max = 0.0\n\n"
                );
            }
            text += &format!(
                "[settings.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = 35.0\ngang_peer_s = 6.0\ncancel_s = {:?}\n\n",
                site.report_s, site.lease_s, site.cancel_s
            );
            text += &format!(
                "[settings.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = 8.0\ntxn_ops = {}\n\n[settings.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n\n",
                site.rps, site.write_rps, site.txn_ops, site.cloud_rps, site.lag_s
            );
            text += &format!(
                "[settings.machine_limits]\ncores = {:?}\nmem_mb = {:?}\nfd_limit = {}\n",
                site.cores, site.mem_mb, site.fd_limit
            );
            let path = folder.join(format!("node-{node}.toml"));
            std::fs::write(&path, text).expect("settings can be written");
            self.configs.push(path);
        }
    }

    /// Starts a controller with the command of the deploy file.
    pub fn start(&mut self, node: usize) {
        let log = File::options().create(true).append(true).open(self.logs.join(format!("node-{node}.log"))).unwrap();
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(&self.configs[node])
            .env("LOG_LEVEL", std::env::var("LOG_LEVEL").unwrap_or("info".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the controller starts");
        self.record.line(&format!("platform: started node {node}, process {}", child.id()));
        CHILDREN.lock().unwrap()[node] = Some(child);
    }

    /// Kills a controller with no signal that it could handle.
    pub fn kill(&mut self, node: usize) {
        let child = CHILDREN.lock().unwrap()[node].take();
        if let Some(mut child) = child {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("platform: killed node {node}"));
        }
    }

    /// How a controller ended by itself; `None` while it runs.
    pub fn ended(&self, node: usize) -> Option<String> {
        let status = CHILDREN.lock().unwrap()[node].as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for node in 0..3 {
            self.kill(node);
        }
    }

    /// Waits until a node answers its health check with 200.
    pub fn wait_healthy(&self, node: usize, seconds: f64) -> bool {
        let until = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < until {
            let answer = Client::new(self.users[node]).call("GET", "/healthz", "", Duration::from_secs(1));
            if matches!(answer, Ok((200, _))) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// A user's request, written to the record.
    pub fn ask(&self, node: usize, method: &str, path: &str, body: &str, wait: f64) -> Option<(u16, J)> {
        let sent = self.record.now();
        let answer = Client::new(self.users[node]).call(method, path, body, Duration::from_secs_f64(wait));
        match answer {
            Ok((status, text)) => {
                self.record.line(&format!("user: {method} {path} to node {node}, sent {sent:.3}: {status} {text}"));
                Some((status, J::parse(&text).unwrap_or(J::Null)))
            }
            Err(error) => {
                self.record.line(&format!("user: {method} {path} to node {node}, sent {sent:.3}: {error}"));
                None
            }
        }
    }

    /// Describes a job and keeps it, as users upload descriptions for the workers.
    pub fn describe(&self, id: &str, tasks: u64, cpus: f64, run: f64, may_end: bool, more: Vec<(&str, J)>) -> String {
        let mut fields = vec![
            ("ref", s(id)), ("grade", s("review")), ("crew", s(self.site.team)), ("cut", s("batch")),
            ("urgency", s("standard")), ("planks", n(tasks)), ("cpus", J::Num(cpus)), ("gpus", J::Num(0.0)),
            ("ramGb", J::Num(2.0)), ("pattern", s("img-07")), ("pullGb", J::Num(0.6)), ("benches", J::Null),
            ("yard", J::Null), ("together", J::Bool(false)), ("apart", J::Bool(false)), ("loaners", J::Bool(true)),
            ("expectedS", J::Num(run.max(1.0))), ("notchS", J::Num(0.0)), ("stackS", J::Num(0.0)), ("dueS", J::Null),
        ];
        for (key, value) in more {
            fields.retain(|(k, _)| *k != key);
            fields.push((key, value));
        }
        let body = obj(fields);
        let text = body.to_string();
        let job = Job { body, run: Duration::from_secs_f64(run), may_end };
        self.jobs.lock().unwrap().insert(id.to_string(), job);
        text
    }

    /// Submits a job as the protocol's users do: repeated until it is accepted, for 60 s.
    pub fn submit(&self, node: usize, id: &str, body: &str) -> bool {
        let until = Instant::now() + Duration::from_secs(60);
        while Instant::now() < until {
            let answer = self.ask(node, "POST", "/work", body, 5.0);
            match answer {
                Some((200 | 201, _)) => return true,
                Some((400 | 422, _)) => return false,
                _ => thread::sleep(Duration::from_secs(1)),
            }
        }
        self.record.line(&format!("user: {id} was not accepted within 60 s"));
        false
    }

    /// The stage that a node answers for a job, if it answers 200.
    pub fn stage(&self, node: usize, id: &str) -> Option<String> {
        match self.ask(node, "GET", &format!("/work/{id}"), "", 2.0) {
            Some((200, answer)) => Some(answer.get("stage").str().to_string()),
            _ => None,
        }
    }

    pub fn release(&self, id: &str) {
        self.record.line(&format!("platform: the tasks of {id} end from now on"));
        if let Some(job) = self.jobs.lock().unwrap().get_mut(id) {
            job.may_end = true;
            job.run = Duration::ZERO;
        }
    }

    pub fn starts_of(&self, job: &str) -> Vec<Start> {
        let prefix = format!("{job}/");
        self.starts.lock().unwrap().iter().filter(|start| start.plank.starts_with(&prefix)).cloned().collect()
    }

    /// Starts a machine that is up, with its worker.
    pub fn add_machine(&self, number: usize, first_node: usize) {
        let name = format!("vm-{number:06}");
        let listener = listener();
        let address = listener.local_addr().unwrap();
        let zone = number % self.site.zones.len();
        self.machines.lock().unwrap().push((name.clone(), zone, address));
        let worker = Arc::new(Worker {
            name,
            zone: self.site.zones[zone],
            address,
            site: self.site.clone(),
            jobs: Arc::clone(&self.jobs),
            starts: Arc::clone(&self.starts),
            record: Arc::clone(&self.record),
            bench: Mutex::new(Bench {
                shift: 1,
                tally: 0,
                baton: 0,
                planks: Vec::new(),
                lease_from: Instant::now(),
                changed: true,
                baton_told: Instant::now(),
            }),
        });
        let serving = Arc::clone(&worker);
        http::serve(listener, move |request| serving.serve(request));
        let (ticking, stop) = (Arc::clone(&worker), Arc::clone(&self.stop));
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(10));
                ticking.tick();
            }
        });
        let (nodes, stop) = (self.users.clone(), Arc::clone(&self.stop));
        thread::spawn(move || worker.report(nodes, first_node, stop));
    }
}

struct Worker {
    name: String,
    zone: &'static str,
    address: SocketAddr,
    site: Site,
    jobs: Arc<Mutex<BTreeMap<String, Job>>>,
    starts: Arc<Mutex<Vec<Start>>>,
    record: Arc<Record>,
    bench: Mutex<Bench>,
}

impl Worker {
    fn job_of(&self, plank: &str) -> Option<Job> {
        let (id, index) = plank.split_once('/')?;
        let job = self.jobs.lock().unwrap().get(id)?.clone();
        (index.parse::<u64>().ok()? < job.body.get("planks").u64()?).then_some(job)
    }

    /// Lets time pass: leases end, images arrive, tasks end.
    fn tick(&self) {
        let mut bench = self.bench.lock().unwrap();
        let now = Instant::now();
        if now - bench.lease_from > Duration::from_secs_f64(self.site.lease_s) {
            for plank in &bench.planks {
                self.record.line(&format!("{}: lease over, {} try {} is gone", self.name, plank.name, plank.attempt));
            }
            bench.planks.clear();
            bench.shift += 1;
            bench.tally = 0;
            bench.lease_from = now;
            bench.changed = true;
        }
        let mut changed = false;
        for plank in bench.planks.iter_mut().filter(|plank| plank.stage != "ended") {
            let Some(job) = self.job_of(&plank.name) else { continue };
            let been = now - plank.since;
            match plank.stage {
                "fetching" if been > Duration::from_millis(100) => {
                    plank.stage = "running";
                    plank.since = now;
                    self.record.line(&format!("{}: {} try {} runs", self.name, plank.name, plank.attempt));
                }
                "running" if job.may_end && been >= job.run => {
                    plank.stage = "ended";
                    plank.cause = Some("done");
                    self.record.line(&format!("{}: {} try {} is done", self.name, plank.name, plank.attempt));
                }
                "flushing" if been >= plank.flush => {
                    plank.stage = "ended";
                    plank.cause = Some("stopped");
                    self.record.line(&format!("{}: {} try {} has saved and stopped", self.name, plank.name, plank.attempt));
                }
                _ => continue,
            }
            changed = true;
        }
        bench.changed |= changed;
    }

    fn report_text(&self, bench: &mut Bench) -> String {
        bench.tally += 1;
        let planks = bench.planks.iter().map(|plank| {
            let mut fields = vec![("plank", s(&plank.name)), ("try", n(plank.attempt)), ("stage", s(plank.stage))];
            if let Some(cause) = plank.cause {
                fields.push(("cause", s(cause)));
            }
            obj(fields)
        });
        obj(vec![
            ("planks", J::Arr(planks.collect())), ("lathe", s(&self.name)), ("address", s(&self.address.to_string())),
            ("bench", s(self.site.bench)), ("yard", s(self.zone)), ("loaners", J::Bool(false)),
            ("shift", n(bench.shift)), ("tally", n(bench.tally)), ("baton", n(bench.baton)), ("recallS", J::Null),
        ]).to_string()
    }

    fn execute(&self, bench: &mut Bench, orders: &[J], asked_at: Option<f64>) {
        for order in orders {
            let name = order.get("plank").str().to_string();
            let attempt = order.get("try").u64().unwrap_or(0);
            let how = if asked_at.is_some() { "in the answer to its report" } else { "directly" };
            self.record.line(&format!("{}: told {how}: {order}", self.name));
            let known = bench.planks.iter().position(|p| p.name == name && p.attempt == attempt);
            match order.get("verb").str() {
                "run" if known.is_none() => {
                    let job = self.job_of(&name);
                    let used = |of: fn(&Job) -> f64| -> f64 {
                        let active = bench.planks.iter().filter(|p| p.stage != "ended");
                        active.filter_map(|p| self.job_of(&p.name)).map(|job| of(&job)).sum()
                    };
                    let cause = match &job {
                        None => Some("no_such"),
                        Some(_) if bench.planks.iter().any(|p| p.name == name && p.stage != "ended") => Some("busy"),
                        Some(job)
                            if used(Job::cpus) + job.cpus() > self.site.cpus + 1e-6
                                || used(Job::ram) + job.ram() > self.site.ram + 1e-6 =>
                        {
                            Some("full")
                        }
                        Some(_) => None,
                    };
                    if cause.is_none() {
                        bench.planks.retain(|p| p.name != name);
                        self.record.line(&format!("{}: starts {name} try {attempt}", self.name));
                        self.starts.lock().unwrap().push(Start {
                            at: self.record.now(),
                            plank: name.clone(),
                            machine: self.name.clone(),
                            attempt,
                            asked_at,
                        });
                    }
                    bench.planks.push(Plank {
                        name,
                        attempt,
                        stage: if cause.is_some() { "ended" } else { "fetching" },
                        cause,
                        since: Instant::now(),
                        flush: Duration::ZERO,
                    });
                    bench.changed = true;
                }
                "halt" => {
                    let Some(known) = known else { continue };
                    let wind_down = order.get("windDownS").f64();
                    let job = self.job_of(&name);
                    let plank = &mut bench.planks[known];
                    let stack = job.as_ref().map_or(0.0, |job| job.body.get("stackS").f64());
                    let saves = job.is_some_and(|job| job.body.get("notchS").f64() > 0.0) && wind_down >= stack;
                    if plank.stage == "ended" || (plank.stage == "flushing" && wind_down > 0.0) {
                        continue;
                    }
                    if plank.stage == "running" && saves && wind_down > 0.0 {
                        plank.stage = "flushing";
                        plank.flush = Duration::from_secs_f64(stack);
                        plank.since = Instant::now();
                    } else {
                        plank.stage = "ended";
                        plank.cause = Some("stopped");
                    }
                    bench.changed = true;
                }
                "clear" => {
                    if known.is_some_and(|known| bench.planks[known].stage == "ended") {
                        bench.planks.remove(known.unwrap_or(0));
                        bench.changed = true;
                    }
                }
                _ => {}
            }
        }
    }

    /// Direct commands and questions.
    fn serve(&self, request: Request) -> Answer {
        let mut bench = self.bench.lock().unwrap();
        if request.path == "/inspect" {
            return Some((200, self.report_text(&mut bench)));
        }
        let body = J::parse(&request.body).unwrap_or(J::Null);
        let (Some(baton), Some(shift)) = (body.get("baton").u64(), body.get("shift").u64()) else {
            return Some((400, "{}".into()));
        };
        if baton < bench.baton || shift != bench.shift {
            return Some((409, self.report_text(&mut bench)));
        }
        self.see_baton(&mut bench, baton);
        self.execute(&mut bench, body.get("orders").arr(), None);
        Some((200, self.report_text(&mut bench)))
    }

    fn see_baton(&self, bench: &mut Bench, baton: u64) {
        if baton > bench.baton {
            bench.baton = baton;
            if bench.baton_told.elapsed().as_secs_f64() > self.site.lease_s / 2.0 || bench.tally < 3 {
                bench.baton_told = Instant::now();
                bench.changed = true;
            }
        }
    }

    /// Reports to one node at a time until the case ends.
    fn report(&self, nodes: Vec<SocketAddr>, first: usize, stop: Arc<AtomicBool>) {
        let mut node = first % nodes.len();
        let mut client = Client::new(nodes[node]);
        let mut last = Instant::now() - Duration::from_secs(100);
        while !stop.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(10));
            let due = last.elapsed().as_secs_f64() >= self.site.report_s;
            let (text, shift, sent) = {
                let mut bench = self.bench.lock().unwrap();
                if !due && !(bench.changed && last.elapsed() >= Duration::from_millis(500)) {
                    continue;
                }
                bench.changed = false;
                (self.report_text(&mut bench), bench.shift, Instant::now())
            };
            last = sent;
            let asked_at = self.record.now();
            let answer = client.call("POST", "/v1/report", &text, Duration::from_secs(4));
            let mut next = None;
            match answer {
                Ok((200, body)) => {
                    let body = J::parse(&body).unwrap_or(J::Null);
                    let mut bench = self.bench.lock().unwrap();
                    let baton = body.get("baton").u64();
                    if shift == bench.shift && baton.is_some_and(|baton| baton >= bench.baton) {
                        self.see_baton(&mut bench, baton.unwrap_or(0));
                        bench.lease_from = sent;
                        self.execute(&mut bench, body.get("orders").arr(), Some(asked_at));
                    }
                }
                Ok((421, body)) => {
                    let foreman = J::parse(&body).unwrap_or(J::Null).get("foreman").str().to_string();
                    let named = foreman.strip_prefix("lathe-").and_then(|t| t.parse::<usize>().ok());
                    match named.filter(|named| *named != node && *named < nodes.len()) {
                        Some(named) => next = Some((named, 0.2)),
                        None => next = Some(((node + 1) % nodes.len(), 1.0)),
                    }
                }
                _ => next = Some(((node + 1) % nodes.len(), 1.0)),
            }
            if let Some((to, pause)) = next {
                node = to;
                client = Client::new(nodes[node]);
                thread::sleep(Duration::from_secs_f64(pause));
                last = Instant::now() - Duration::from_secs(100);
            }
        }
    }
}

/// Starts a relay from node `from` to node `to`, which holds everything back while one of them is cut off.
fn relay(target: SocketAddr, cut: Cut, from: usize, to: usize) -> SocketAddr {
    let listener = listener();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for inbound in listener.incoming().flatten() {
            let cut = Arc::clone(&cut);
            thread::spawn(move || {
                let is_cut = || cut[from].load(Ordering::Relaxed) || cut[to].load(Ordering::Relaxed);
                while is_cut() {
                    thread::sleep(Duration::from_millis(5));
                }
                let Ok(mut outbound) = std::net::TcpStream::connect(target) else { return };
                let mut inbound = inbound;
                let _ = inbound.set_read_timeout(Some(Duration::from_millis(50)));
                let mut buffer = [0u8; 65536];
                loop {
                    if is_cut() {
                        thread::sleep(Duration::from_millis(5));
                        continue;
                    }
                    match std::io::Read::read(&mut inbound, &mut buffer) {
                        Ok(0) => return,
                        Ok(got) => {
                            while is_cut() {
                                thread::sleep(Duration::from_millis(5));
                            }
                            if outbound.write_all(&buffer[..got]).is_err() {
                                return;
                            }
                        }
                        Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
                        Err(_) => return,
                    }
                }
            });
        }
    });
    address
}

fn serve_cloud(
    listener: TcpListener,
    site: Site,
    machines: Arc<Mutex<Vec<(String, usize, SocketAddr)>>>,
    record: Arc<Record>,
) {
    let start = Instant::now();
    http::serve(listener, move |request| {
        let path = request.path.split('?').next().unwrap_or("");
        match (request.method.as_str(), path) {
            ("GET", "/flavors") => Some((200, obj(vec![("benches", J::Arr(vec![obj(vec![
                ("label", s(site.bench)), ("cpus", J::Num(site.cpus)), ("gpus", J::Num(0.0)),
                ("ramGb", J::Num(site.ram)), ("localGb", J::Num(60.0)), ("fetchGbPerS", J::Num(0.4)),
                ("price", J::Num(0.19)), ("lowPrice", J::Num(0.05)), ("startupS", J::Num(site.startup)),
                ("yards", J::Arr(site.zones.iter().map(|z| s(z)).collect())),
            ])]))]).to_string())),
            ("GET", "/machines") => {
                let list = machines.lock().unwrap();
                let after = request.path.split("after=").nth(1).and_then(|t| t.split('&').next()).unwrap_or("");
                let lathes = list.iter().filter(|(name, _, _)| name.as_str() > after).map(|(name, zone, address)| obj(vec![
                    ("ref", s(name)), ("address", s(&address.to_string())), ("bench", s(site.bench)),
                    ("yard", s(site.zones[*zone])), ("loaners", J::Bool(false)), ("stage", s("running")),
                    ("heldS", J::Num(600.0 + start.elapsed().as_secs_f64())),
                ]));
                Some((200, obj(vec![("lathes", J::Arr(lathes.collect())), ("hasNext", J::Bool(false))]).to_string()))
            }
            ("POST", "/machines") => Some((503, "{\"error\":\"no capacity\"}".into())),
            ("POST", "/machines/return") => {
                record.line(&format!("cloud: asked to take back {}", request.body));
                Some((503, "{\"error\":\"trouble\"}".into()))
            }
            _ => Some((400, "{}".into())),
        }
    });
}
