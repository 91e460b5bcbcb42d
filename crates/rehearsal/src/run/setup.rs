//! Setup of a run's files, sockets and processes, its workload, and the logs kept of it.

use super::users::{UserJob, UserStep};
use super::{Action, Run, RunError};
use crate::addresses::Addresses;
use crate::cloud::Cloud;
use crate::faults::{draw_failover_series, draw_faults};
use crate::history::History;
use crate::jobs::{Jobs, draw_jobs};
use crate::kv_store::KvStore;
use crate::net::{ListenerRole, Net, Role};
use crate::options::SoakOptions;
use crate::process::{Controller, LaunchConfig, write_file};
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

/// Ranges for the number of workers at the start of a run, if the options leave it out. Most runs
/// are small, some have hundreds.
const SMALL_RUN_WORKERS: (usize, usize) = (12, 40);
const LARGE_RUN_WORKERS: (usize, usize) = (150, 300);
/// One run in this many has a large number of workers.
const LARGE_RUN_ONE_IN: u32 = 8;
/// The seeds that are multiples of this number have a series of failovers instead of groups of faults.
const FAILOVER_SERIES_ONE_IN: u64 = 5;
/// The cloud's spare capacity is the number of initial machines divided by this.
const SPARE_MACHINES_DIVISOR: usize = 4;
/// Interval between status queries about jobs that no user submitted, from the start of the
/// workload until the last effect of a fault.
const UNKNOWN_JOB_POLL_INTERVAL: Micros = Micros::millis(1_700);

impl Run {
    /// Sets up a run and starts its controllers.
    pub(super) fn set_up(
        options: &SoakOptions,
        seed: u64,
        address_slot: usize,
        net: Net<Run>,
    ) -> Result<Run, RunError> {
        let mut rng = StdRng::seed_from_u64(seed);
        let directory = tempfile::tempdir()?;
        let addresses = Addresses::new(options.block, address_slot);
        let controllers = (0..options.controllers)
            .map(|number| prepare_controller(options, addresses, number, directory.path()))
            .collect::<io::Result<Vec<Controller>>>()?;
        let count = options.workers.unwrap_or_else(|| draw_worker_count(&mut rng));
        let mut run = Run {
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
            kv_store: KvStore::default(),
            watches: Vec::new(),
            cloud: Cloud::new(count + count.div_ceil(SPARE_MACHINES_DIVISOR)),
            workers: Vec::new(),
            heartbeat_connections: BTreeMap::new(),
            jobs: Jobs::default(),
            user_jobs: BTreeMap::new(),
            user_requests: BTreeMap::new(),
            next_request_id: 0,
            faults: Vec::new(),
            faults_end_at: Micros::FAR_FUTURE,
            last_progress: Micros::ZERO,
            history: History::default(),
            failures: Vec::new(),
            longest_stall: Micros::ZERO,
        };
        run.listen()?;
        for number in 0..count {
            let zone = ZONES[number % ZONES.len()];
            let name = run.cloud.add(Micros::ZERO, zone, number % 3 == 2);
            run.add_worker(name)?;
        }
        for controller in &mut run.controllers {
            let binary = || options.binary.clone();
            controller.start().map_err(|source| RunError::Start { binary: binary(), source })?;
        }
        run.schedule(Micros::ZERO, Action::Tick);
        Ok(run)
    }

    fn listen(&mut self) -> io::Result<()> {
        let count = self.controllers.len();
        for controller in 0..count {
            let kv_store = ListenerRole::Fixed(Role::KvStore { controller });
            self.net.listen(self.addresses.kv_store(controller), kv_store)?;
            let cloud = ListenerRole::Fixed(Role::Cloud { controller });
            self.net.listen(self.addresses.cloud(controller), cloud)?;
            for to in (0..count).filter(|to| *to != controller) {
                let role = ListenerRole::Peer { from: controller, to };
                self.net.listen(self.addresses.relay(controller, to), role)?;
            }
        }
        Ok(())
    }

    /// Starts a worker on one of the cloud's machines.
    pub(super) fn add_worker(&mut self, name: String) -> io::Result<()> {
        let worker = self.workers.len();
        for controller in 0..self.controllers.len() {
            let role = ListenerRole::Fixed(Role::Commands { controller, worker });
            self.net.listen(self.addresses.worker(controller, worker), role)?;
        }
        let (zone, spot) = self.cloud.zone_and_spot(&name).unwrap_or((ZONES[0], false));
        let first_controller = self.rng.random_range(0..self.controllers.len());
        self.workers.push(Worker::new(name, zone, spot, self.now, first_controller));
        self.schedule(self.now, Action::AdvanceWorker { worker });
        Ok(())
    }

    /// Schedules the users' actions and the faults, after all controllers have become healthy.
    pub(super) fn start_workload(&mut self, options: &SoakOptions) {
        let start = self.now;
        let duration = Micros::secs(options.seconds);
        let controllers = self.controllers.len();
        let mut jobs = draw_jobs(&mut self.rng, duration, self.workers.len());
        for plan in jobs.plans.values_mut() {
            plan.submit_at += start;
            plan.cancel_at = plan.cancel_at.map(|at| at + start);
        }
        let mut faults = draw_faults(&mut self.rng, duration, controllers);
        if self.seed.is_multiple_of(FAILOVER_SERIES_ONE_IN) {
            faults = draw_failover_series(&mut self.rng, duration);
        }
        for fault in &mut faults {
            fault.at += start;
            fault.until += start;
        }
        let last_effect = faults.iter().map(|fault| fault.effects_end_at(controllers)).max();
        self.faults_end_at = last_effect.unwrap_or(start).max(start + duration);
        for (number, fault) in faults.iter().enumerate() {
            let (at, until) = (fault.at, fault.until);
            self.schedule(at, Action::FaultBegins(number));
            self.schedule(until, Action::FaultEnds(number));
        }
        self.faults = faults;
        for (id, plan) in &jobs.plans {
            self.schedule(plan.submit_at, Action::User(UserStep::Submit(id.clone())));
            if let Some(at) = plan.cancel_at {
                self.schedule(at, Action::User(UserStep::Cancel(id.clone())));
            }
            self.user_jobs.insert(id.clone(), UserJob::default());
        }
        self.jobs = jobs;
        let mut at = start + UNKNOWN_JOB_POLL_INTERVAL;
        while at < self.faults_end_at {
            self.schedule(at, Action::User(UserStep::PollUnknownJob));
            at += UNKNOWN_JOB_POLL_INTERVAL;
        }
    }

    /// The facts that the rules depend on.
    pub(super) fn facts(&self) -> Facts {
        let job = |plan: &crate::jobs::JobPlan| JobFacts {
            team: TEAMS[plan.team].name.to_string(),
            tasks: plan.tasks,
            cpus: plan.cpus,
            zone: plan.zone.map(str::to_string),
            one_zone: plan.one_zone,
            spread: plan.spread,
            spot: plan.spot,
            dependencies: plan.dependencies.clone(),
        };
        let machine = |worker: &Worker| {
            let (zone, spot) = self.cloud.zone_and_spot(&worker.name).unwrap_or_default();
            (worker.name.clone(), MachineFacts { zone: zone.to_string(), spot })
        };
        let limited = TEAMS.iter().filter(|team| team.limit > 0.0);
        Facts {
            jobs: self.jobs.plans.iter().map(|(id, plan)| (id.clone(), job(plan))).collect(),
            machines: self.workers.iter().map(machine).collect(),
            limits: limited.map(|team| (team.name.to_string(), team.limit)).collect(),
            cancel_deadline: CANCEL_DEADLINE,
            faults_end_at: self.faults_end_at,
            end: self.now,
        }
    }

    /// Copies the controllers' logs and the history to a folder.
    pub(super) fn keep_logs(&self, keep: &Path) {
        let target = keep.join(format!("seed-{}", self.seed));
        if std::fs::create_dir_all(&target).is_err() {
            return;
        }
        for (number, controller) in self.controllers.iter().enumerate() {
            // A file that cannot be copied is missing there; the run's result does not depend on
            // it.
            let _ = std::fs::copy(controller.log_path(), target.join(format!("n{number}.log")));
        }
        let lines: Vec<String> = self.history.entries.iter().map(ToString::to_string).collect();
        let _ = std::fs::write(target.join("history.txt"), lines.join("\n"));
    }

    /// The address where users and workers reach a controller.
    pub(super) fn controller_address(&self, controller: usize) -> SocketAddrV4 {
        self.addresses.api(controller)
    }
}

/// Draws the number of workers of a run whose options leave it out.
fn draw_worker_count(rng: &mut StdRng) -> usize {
    match rng.random_range(0..LARGE_RUN_ONE_IN) {
        0 => rng.random_range(LARGE_RUN_WORKERS.0..LARGE_RUN_WORKERS.1),
        _ => rng.random_range(SMALL_RUN_WORKERS.0..SMALL_RUN_WORKERS.1),
    }
}

/// Writes a controller's files; its process is not started.
fn prepare_controller(
    options: &SoakOptions,
    addresses: Addresses,
    number: usize,
    directory: &Path,
) -> io::Result<Controller> {
    let file = |end: &str| directory.join(format!("{}.{end}", settings::member_name(number)));
    let launch = LaunchConfig {
        binary: options.binary.clone(),
        config: file("toml"),
        options: file("ini"),
        log: file("log"),
    };
    let settings_toml = settings::settings_toml(addresses, number, options.controllers);
    write_file(&launch.config, &settings_toml)?;
    write_file(&launch.options, &settings::options_ini())?;
    Ok(Controller::new(launch))
}
