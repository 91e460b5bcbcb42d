//! Reads of the records of jobs whose stage this process does not know: jobs with tasks on managed
//! machines, which may have been cancelled before it began to follow the store's changes, and
//! dependencies.

use crate::controller::Controller;
use crate::controller::api::record_reads::RecordRead;
use crate::controller::call_origin::CallOrigin;
use crate::controller::calls::MachinesCall;
use crate::controller::jobs::job;
use crate::controller::jobs::stage_cache::StageCache;
use crate::controller::machines::Machines;
use crate::kv_store::{KvRequest, KvResponse, LARGE_PAGE_KEYS};
use crate::time::Micros;
use crate::wire::KeyValue;
use std::collections::BTreeSet;

/// Maximum number of reads of single records in flight.
pub const MAX_READS: usize = 12;
/// Number of queued jobs from which a page of records is read instead of single ones.
pub const MIN_JOBS_FOR_PAGE: usize = 16;
/// Number of queued jobs that a page must cover; otherwise the jobs lie too far apart among all stored
/// ones, and are read one by one.
const MIN_JOBS_COVERED: usize = 3;
/// Time for which no page is read after one that covered too few jobs.
const SPARSE_PAGE_PAUSE: Micros = Micros::secs(5);
/// Maximum number of jobs queued. Jobs beyond that are found again with the next heartbeat of their
/// machine.
const MAX_QUEUED_JOBS: usize = 1_000;
/// Maximum number of pages that are read when the watch of jobs starts.
const PRELOADED_PAGES: u32 = 3;
/// Maximum number of jobs kept as without a stage.
const MAX_JOBS_WITHOUT_STAGE: usize = 1_000;
/// Pause after a read without an answer, which also ends a series of refused calls.
pub const RETRY_DELAY: Micros = Micros::millis(200);

/// Jobs whose records are to be read.
#[derive(Debug, Default)]
pub(crate) struct UnknownJobs {
    queued: BTreeSet<String>,
    in_flight: BTreeSet<String>,
    page_in_flight: bool,
    /// Earliest time of the next page.
    no_page_before: Micros,
    /// Jobs that had no readable record under the current watch of jobs. No controller can have
    /// confirmed their cancellation, and the watch delivers any later record.
    without_stage: BTreeSet<String>,
    /// Earliest time of the next read.
    not_before: Micros,
    /// Pages that are still to be read since the watch of jobs has started.
    pages_to_preload: u32,
}

/// The next read of unknown jobs.
#[derive(Debug, PartialEq, Eq)]
enum NextRead {
    /// The record of one job.
    Record(String),
    /// A page of records that begins at this job.
    Page(String),
}

impl UnknownJobs {
    /// Queues jobs to be read, unless they are being read already.
    pub(crate) fn add(&mut self, jobs: impl IntoIterator<Item = String>) {
        for id in jobs {
            if self.queued.len() < MAX_QUEUED_JOBS && !self.in_flight.contains(&id) {
                self.queued.insert(id);
            }
        }
    }

    /// Whether a job is neither cached nor known to have no stage.
    pub(crate) fn is_unknown(&self, job: &str, stages: &StageCache) -> bool {
        !stages.contains(job) && !self.without_stage.contains(job)
    }

    /// Begins the next read; `None` if none may begin now. Jobs that have become known are dropped from
    /// the front of the queue.
    fn begin_read(&mut self, now: Micros, stages: &StageCache) -> Option<NextRead> {
        if self.page_in_flight || now < self.not_before {
            return None;
        }
        while self.queued.first().is_some_and(|id| !self.is_unknown(id, stages)) {
            self.queued.pop_first();
        }
        if self.queued.len() >= MIN_JOBS_FOR_PAGE && now >= self.no_page_before {
            self.page_in_flight = true;
            return self.queued.first().cloned().map(NextRead::Page);
        }
        if self.in_flight.len() >= MAX_READS {
            return None;
        }
        let id = self.queued.pop_first()?;
        self.in_flight.insert(id.clone());
        Some(NextRead::Record(id))
    }

    /// Removes and returns the queued jobs that a page covers, which begins at the job `first` and ends
    /// with the key `last`, or with the last key of all if that is `None`.
    fn take_covered(&mut self, now: Micros, first: &str, last: Option<&str>) -> BTreeSet<String> {
        let is_covered = |id: &String| last.is_none_or(|last| job::job_key(id).as_str() <= last);
        let from = self.queued.range(first.to_string()..);
        let covered: BTreeSet<String> = from.take_while(|id| is_covered(id)).cloned().collect();
        self.queued.retain(|id| !covered.contains(id));
        if last.is_some() && covered.len() < MIN_JOBS_COVERED {
            self.no_page_before = now + SPARSE_PAGE_PAUSE;
        }
        covered
    }

    /// Records that a job was read and has no readable record.
    fn add_without_stage(&mut self, job: &str) {
        if self.without_stage.len() >= MAX_JOBS_WITHOUT_STAGE {
            self.without_stage.clear();
        }
        self.without_stage.insert(job.to_string());
    }
}

impl Machines {
    /// Queues jobs whose stage is unknown, so that their records are read from the key-value store.
    pub(crate) fn add_unknown_jobs(&mut self, jobs: Vec<String>) {
        self.unknown_jobs.add(jobs);
    }

    /// Queues the unknown jobs whose tasks a shard desires on a machine.
    fn add_unknown_jobs_desired_by(&mut self, shard: usize, machine: &str, stages: &StageCache) {
        for task in self.desired[shard].tasks_on(machine) {
            if self.unknown_jobs.is_unknown(&task.job, stages) {
                self.unknown_jobs.add([task.job.clone()]);
            }
        }
    }
}

impl Controller {
    /// Reads the first records when the watch of jobs has started, since most jobs are unknown then and
    /// their machines send heartbeats within seconds. Jobs without a stage are unknown again, too.
    pub(crate) fn preload_stages(&mut self) {
        self.machines.unknown_jobs.without_stage.clear();
        self.machines.unknown_jobs.pages_to_preload = PRELOADED_PAGES;
        self.read_page_of_stages(None);
    }

    fn read_page_of_stages(&mut self, after: Option<String>) {
        let unknown_jobs = &mut self.machines.unknown_jobs;
        unknown_jobs.pages_to_preload = unknown_jobs.pages_to_preload.saturating_sub(1);
        let (prefix, limit) = (job::job_key(""), LARGE_PAGE_KEYS);
        let call = MachinesCall::PreloadStages { origin: self.call_origin() };
        self.context.call_store(call, KvRequest::List { prefix, after, limit });
    }

    /// Handles the reply with a page of records that was read since the watch of jobs has started.
    pub(crate) fn preloaded_stages_reply(&mut self, origin: CallOrigin, reply: KvResponse) {
        let KvResponse::Page { items, more, .. } = reply else {
            return;
        };
        for item in &items {
            let id = job::id_in_job_key(&item.key);
            self.cache_neighbour(id, origin, item);
        }
        let last = items.last().filter(|_| more).map(|item| item.key.clone());
        if last.is_some() && self.machines.unknown_jobs.pages_to_preload > 0 {
            self.read_page_of_stages(last);
        }
    }

    /// Reads the records of unknown jobs whose tasks these shards desire on these machines, before the
    /// machines' heartbeats list the tasks. Machines of shards that other processes lead are left out.
    pub(crate) fn read_jobs_desired_by(&mut self, shards: &[usize], machines: &BTreeSet<String>) {
        for machine in machines {
            if self.leading_term(self.shard_of_machine(machine)).is_none() {
                continue;
            }
            for shard in shards {
                let stages = &self.jobs.stage_cache;
                self.machines.add_unknown_jobs_desired_by(*shard, machine, stages);
            }
        }
        self.read_unknown_jobs();
    }

    /// Reads the records of unknown jobs from the key-value store, a limited number at once.
    pub(crate) fn read_unknown_jobs(&mut self) {
        if !self.holds_lease() || !self.leadership.follows_jobs() {
            return;
        }
        let (now, origin) = (self.context.now, self.call_origin());
        let stages = &self.jobs.stage_cache;
        while let Some(read) = self.machines.unknown_jobs.begin_read(now, stages) {
            match read {
                NextRead::Record(job) => {
                    let request = KvRequest::Get(job::job_key(&job));
                    self.context.call_store(MachinesCall::ReadUnknownJob { job, origin }, request);
                }
                NextRead::Page(first) => {
                    let after = Some(job::key_before(&first));
                    let (prefix, limit) = (job::job_key(""), LARGE_PAGE_KEYS);
                    let request = KvRequest::List { prefix, after, limit };
                    let call = MachinesCall::ReadUnknownJobs { first, origin };
                    self.context.call_store(call, request);
                }
            }
        }
    }

    /// Handles the reply to the read of an unknown job's record.
    pub(crate) fn unknown_job_reply(&mut self, id: &str, origin: CallOrigin, reply: &KvResponse) {
        self.machines.unknown_jobs.in_flight.remove(id);
        self.apply_unknown_job(id, origin, reply);
        self.read_unknown_jobs();
    }

    /// Handles the reply with a page of records that begins at the unknown job `first`.
    pub(crate) fn unknown_jobs_reply(
        &mut self,
        first: &str,
        origin: CallOrigin,
        reply: KvResponse,
    ) {
        let now = self.context.now;
        self.machines.unknown_jobs.page_in_flight = false;
        match reply {
            KvResponse::Page { items, more, .. } => {
                let last = items.last().filter(|_| more).map(|item| item.key.clone());
                let unknown_jobs = &mut self.machines.unknown_jobs;
                let mut covered = unknown_jobs.take_covered(now, first, last.as_deref());
                for item in items {
                    let id = job::id_in_job_key(&item.key);
                    match covered.take(id) {
                        Some(id) => {
                            self.apply_unknown_job(&id, origin, &KvResponse::Value(Some(item)));
                        }
                        None => self.cache_neighbour(id, origin, &item),
                    }
                }
                for id in covered {
                    self.apply_unknown_job(&id, origin, &KvResponse::Value(None));
                }
            }
            _ => self.machines.unknown_jobs.not_before = now + RETRY_DELAY,
        }
        self.read_unknown_jobs();
    }

    /// Caches a record that was read beside others: machines that have sent no heartbeat yet may list
    /// tasks of its job.
    fn cache_neighbour(&mut self, id: &str, origin: CallOrigin, item: &KeyValue) {
        if !self.leadership.is_outdated(origin) {
            self.cache_record(id, item);
        }
    }

    /// Applies what was read of an unknown job.
    fn apply_unknown_job(&mut self, id: &str, origin: CallOrigin, reply: &KvResponse) {
        match self.apply_record_reply(id, origin, reply) {
            RecordRead::Found { .. } => {}
            RecordRead::Outdated => self.machines.add_unknown_jobs(vec![id.to_string()]),
            RecordRead::Unknown if !matches!(reply, KvResponse::Value(_)) => {
                self.machines.unknown_jobs.not_before = self.context.now + RETRY_DELAY;
            }
            RecordRead::NoSuchJob | RecordRead::Unknown => {
                self.machines.unknown_jobs.add_without_stage(id);
            }
        }
    }
}
