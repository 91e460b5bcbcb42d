//! Files, sockets and processes of a run; how it begins, and what is kept of it.

use super::users::{UserJob, UserStep};
use super::{Action, RunError, World};
use crate::addresses::Addresses;
use crate::cloud::Cloud;
use crate::faults::draw_faults;
use crate::history::History;
use crate::jobs::{Jobs, draw_jobs};
use crate::kv_store::KvStore;
use crate::net::{ListenerRole, Net, Role};
use crate::options::SoakOptions;
use crate::process::{Controller, Program, write_file};
use crate::relay::Relays;
use crate::rules::{Facts, JobFacts, MachineFacts};
use crate::settings::{self, CANCEL_DEADLINE, TEAMS, ZONES};
use crate::worker::Worker;
use millethold::time::Micros;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Instant;

/// Workers of a run that does not say: most runs are small, some have hundreds.
const FEW_WORKERS: (usize, usize) = (12, 40);
const MANY_WORKERS: (usize, usize) = (150, 300);
/// One run in so many has many workers.
const MANY_WORKERS_ONE_IN: u32 = 8;
/// Machines that may be added beside those of the start, as a part of them.
const SPARE_MACHINES_DIVISOR: usize = 4;
/// Between the end of the faults and the end of what users ask on their own.
const UNKNOWN_JOB_POLL_INTERVAL: Micros = Micros::millis(1_700);

impl World {
    /// A run whose controllers have been started.
    pub(super) fn set_up(
        options: &SoakOptions,
        seed: u64,
        run_number: usize,
        net: Net<World>,
    ) -> Result<World, RunError> {
        let mut rng = StdRng::seed_from_u64(seed);
        let directory = tempfile::tempdir()?;
        let addresses = Addresses::new(options.block, run_number);
        let controllers = (0..options.controllers)
            .map(|number| controller(options, addresses, number, directory.path()))
            .collect::<io::Result<Vec<Controller>>>()?;
        let count = options.workers.unwrap_or_else(|| draw_worker_count(&mut rng));
        let mut world = World {
            started: Instant::now(),
            now: Micros::ZERO,
            rng,
            actions: BTreeMap::new(),
            next_action: 0,
            net,
            relays: Relays::default(),
            addresses,
            seed,
            healthy: vec![false; controllers.len()],
            controllers,
            _directory: directory,
            state: KvStore::default(),
            watches: Vec::new(),
            cloud: Cloud::new(count + count.div_ceil(SPARE_MACHINES_DIVISOR)),
            workers: Vec::new(),
            heartbeat_connections: BTreeMap::new(),
            jobs: Jobs::default(),
            user_jobs: BTreeMap::new(),
            requests: BTreeMap::new(),
            next_request: 0,
            faults: Vec::new(),
            faults_over_at: Micros::FAR,
            last_progress: Micros::ZERO,
            history: History::default(),
            failures: Vec::new(),
            stalled: Micros::ZERO,
        };
        world.listen()?;
        for number in 0..count {
            let zone = ZONES[number % ZONES.len()];
            let name = world.cloud.add(Micros::ZERO, zone, number % 3 == 2);
            world.add_worker(name)?;
        }
        for controller in &mut world.controllers {
            let binary = || options.binary.clone();
            controller.start().map_err(|source| RunError::Start { binary: binary(), source })?;
        }
        world.at(Micros::ZERO, Action::Tick);
        Ok(world)
    }

    fn listen(&mut self) -> io::Result<()> {
        let count = self.controllers.len();
        for controller in 0..count {
            let state = ListenerRole::Fixed(Role::KvStore { controller });
            self.net.listen(self.addresses.state(controller), state)?;
            let cloud = ListenerRole::Fixed(Role::Cloud { controller });
            self.net.listen(self.addresses.cloud(controller), cloud)?;
            for to in (0..count).filter(|to| *to != controller) {
                let role = ListenerRole::Peer { from: controller, to };
                self.net.listen(self.addresses.relay(controller, to), role)?;
            }
        }
        Ok(())
    }

    /// A worker comes up on a machine that the cloud has.
    pub(super) fn add_worker(&mut self, name: String) -> io::Result<()> {
        let worker = self.workers.len();
        for controller in 0..self.controllers.len() {
            let role = ListenerRole::Fixed(Role::Commands { controller, worker });
            self.net.listen(self.addresses.worker(controller, worker), role)?;
        }
        let (zone, spot) = self.cloud.placement(&name).unwrap_or((ZONES[0], false));
        let first = self.rng.random_range(0..self.controllers.len());
        self.workers.push(Worker::new(name, zone, spot, self.now, first));
        self.at(self.now, Action::Worker { worker });
        Ok(())
    }

    /// All controllers answer: from now on users ask and things go wrong.
    pub(super) fn begin(&mut self, options: &SoakOptions) {
        let begins = self.now;
        let over = Micros::secs(options.seconds);
        let controllers = self.controllers.len();
        let mut jobs = draw_jobs(&mut self.rng, over, self.workers.len());
        for plan in jobs.plans.values_mut() {
            plan.submit_at += begins;
            plan.cancel_at = plan.cancel_at.map(|at| at + begins);
        }
        let mut faults = draw_faults(&mut self.rng, over, controllers);
        for fault in &mut faults {
            fault.at += begins;
            fault.until += begins;
        }
        let last_effect = faults.iter().map(|fault| fault.effects_over_at(controllers)).max();
        self.faults_over_at = last_effect.unwrap_or(begins).max(begins + over);
        for (number, fault) in faults.iter().enumerate() {
            let (at, until) = (fault.at, fault.until);
            self.at(at, Action::FaultBegins(number));
            self.at(until, Action::FaultEnds(number));
        }
        self.faults = faults;
        for (id, plan) in &jobs.plans {
            self.at(plan.submit_at, Action::User(UserStep::Submit(id.clone())));
            if let Some(at) = plan.cancel_at {
                self.at(at, Action::User(UserStep::Cancel(id.clone())));
            }
            self.user_jobs.insert(id.clone(), UserJob::default());
        }
        self.jobs = jobs;
        let mut at = begins + UNKNOWN_JOB_POLL_INTERVAL;
        while at < self.faults_over_at {
            self.at(at, Action::User(UserStep::PollUnknownJob));
            at += UNKNOWN_JOB_POLL_INTERVAL;
        }
    }

    /// What the rules depend on.
    pub(super) fn facts(&self) -> Facts {
        let job = |plan: &crate::jobs::JobPlan| JobFacts {
            team: TEAMS[plan.team].name.to_string(),
            tasks: plan.tasks,
            cpus: plan.cpus,
            zone: plan.zone.map(str::to_string),
            together: plan.together,
            apart: plan.apart,
            spot: plan.spot,
            dependencies: plan.dependencies.clone(),
        };
        let machine = |worker: &Worker| {
            let (zone, spot) = self.cloud.placement(&worker.name).unwrap_or_default();
            (worker.name.clone(), MachineFacts { zone: zone.to_string(), spot })
        };
        let limited = TEAMS.iter().filter(|team| team.most > 0.0);
        Facts {
            jobs: self.jobs.plans.iter().map(|(id, plan)| (id.clone(), job(plan))).collect(),
            machines: self.workers.iter().map(machine).collect(),
            limits: limited.map(|team| (team.name.to_string(), team.most)).collect(),
            cancel: CANCEL_DEADLINE,
            faults_over_at: self.faults_over_at,
            end: self.now,
        }
    }

    /// Keeps the controllers' output and the history of a run.
    pub(super) fn keep_logs(&self, keep: &Path) {
        let target = keep.join(format!("seed-{}", self.seed));
        if std::fs::create_dir_all(&target).is_err() {
            return;
        }
        for (number, controller) in self.controllers.iter().enumerate() {
            // What cannot be kept is missing there; the run's verdict stands without it.
            let _ = std::fs::copy(controller.log(), target.join(format!("n{number}.log")));
        }
        let lines: Vec<String> = self.history.entries.iter().map(ToString::to_string).collect();
        let _ = std::fs::write(target.join("history.txt"), lines.join("\n"));
    }

    /// Where a controller is reached by users and workers.
    pub(super) fn controller_address(&self, controller: usize) -> SocketAddrV4 {
        self.addresses.users(controller)
    }
}

/// How many workers a run has that does not say.
fn draw_worker_count(rng: &mut StdRng) -> usize {
    match rng.random_range(0..MANY_WORKERS_ONE_IN) {
        0 => rng.random_range(MANY_WORKERS.0..MANY_WORKERS.1),
        _ => rng.random_range(FEW_WORKERS.0..FEW_WORKERS.1),
    }
}

/// A controller's files, and its process that is not started yet.
fn controller(
    options: &SoakOptions,
    addresses: Addresses,
    number: usize,
    directory: &Path,
) -> io::Result<Controller> {
    let file = |end: &str| directory.join(format!("{}.{end}", settings::member(number)));
    let program = Program {
        binary: options.binary.clone(),
        config: file("toml"),
        options: file("ini"),
        log: file("log"),
    };
    let platform = settings::platform(addresses, number, options.controllers);
    write_file(&program.config, &platform)?;
    write_file(&program.options, &settings::options())?;
    Ok(Controller::new(program))
}
