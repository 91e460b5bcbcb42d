//! Reads of many jobs' records by pages.
//!
//! A process that has just started may be queried about hundreds of jobs whose records it has
//! not read. One read per job would take longer than users keep retrying; a page of `j/` also
//! returns the neighbouring records.

use super::Jobs;
use super::job::{self, MAX_SINGLE_READS};
use super::stage_cache::StageCache;
use crate::controller::Controller;
use crate::controller::call_origin::CallOrigin;
use crate::controller::calls::JobsCall;
use crate::controller::context::Context;
use crate::kv_store::{KvRequest, KvResponse, PAGE_KEYS};
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of jobs that wait for a page; further ones are dropped.
const MAX_REQUESTED_JOBS: usize = 20_000;
/// How long a job without a record is remembered as absent.
const ABSENCE_LIFETIME: Micros = Micros::secs(10);
/// Pause after a failed read of a page.
const FAILED_PAGE_PAUSE: Micros = Micros::secs(1);

/// Jobs whose records are to be read by pages.
#[derive(Debug, Default)]
pub(crate) struct RecordPages {
    requested: BTreeSet<String>,
    page_in_flight: bool,
    /// Earliest time to read the next page.
    not_before: Micros,
    /// Jobs without a record in the page that covers their key, with the time of that page.
    absent: BTreeMap<String, Micros>,
}

impl RecordPages {
    /// Whether a page read within the last [`ABSENCE_LIFETIME`] had no record of the job. The
    /// job may have been accepted since.
    pub(crate) fn was_absent(&self, id: &str) -> bool {
        self.absent.contains_key(id)
    }

    fn request(&mut self, jobs: Vec<String>) {
        let capacity = MAX_REQUESTED_JOBS.saturating_sub(self.requested.len());
        self.requested.extend(jobs.into_iter().take(capacity));
    }

    /// Drops absences that are too old. Also drops requests for jobs that are cached by now, from
    /// the front of the queue up to the first job that is not cached.
    fn clean_up(&mut self, now: Micros, stages: &StageCache) {
        self.absent.retain(|_, found_at| now.since(*found_at) < ABSENCE_LIFETIME);
        while self.requested.first().is_some_and(|id| stages.contains(id)) {
            self.requested.pop_first();
        }
    }

    /// Returns the first requested job if a page may be read now.
    fn next(&self, now: Micros) -> Option<&String> {
        let may_read = !self.page_in_flight && now >= self.not_before;
        self.requested.first().filter(|_| may_read)
    }

    /// Marks the requested jobs that a page did not contain as absent. The page covers the keys
    /// from the job `first` to the key `last`, or all following keys if `last` is `None`.
    fn mark_absent(&mut self, now: Micros, first: &str, last: Option<&str>) {
        let covered = |id: &String| {
            let key = job::job_key(id);
            id.as_str() >= first && last.is_none_or(|last| key.as_str() <= last)
        };
        let absent: Vec<String> = self.requested.iter().filter(|id| covered(id)).cloned().collect();
        for id in absent {
            self.requested.remove(&id);
            self.absent.insert(id, now);
        }
    }
}

impl Jobs {
    /// Reads the next page, from the first requested job on, if more than half of this member's
    /// request budget is left.
    fn read_record_page(&mut self, context: &mut Context, origin: CallOrigin, holds_lease: bool) {
        self.record_pages.clean_up(context.now, &self.stage_cache);
        let Some(first) = self.record_pages.next(context.now).cloned() else {
            return;
        };
        if !holds_lease || !context.has_spare_requests() {
            return;
        }
        self.record_pages.page_in_flight = true;
        let after = Some(job::key_before(&first));
        let call = KvRequest::List { prefix: job::job_key(""), after, limit: PAGE_KEYS };
        context.call_store(JobsCall::ReadRecordPage { first, origin }, call);
    }
}

impl Controller {
    /// Requests the records of jobs that are not cached: up to [`MAX_SINGLE_READS`] key by key,
    /// more by pages.
    pub(crate) fn read_records(&mut self, unknown: Vec<String>) {
        if unknown.len() <= MAX_SINGLE_READS {
            return self.machines.add_unknown_jobs(unknown);
        }
        self.jobs.record_pages.request(unknown);
    }

    /// Reads the next page of requested records while this process holds its lease.
    pub(super) fn read_record_page(&mut self) {
        let (origin, holds_lease) = (self.call_origin(), self.holds_lease());
        self.jobs.read_record_page(&mut self.context, origin, holds_lease);
    }

    /// Handles the reply with a page of records that begins at the job `first`.
    pub(super) fn record_page_reply(&mut self, first: &str, origin: CallOrigin, reply: KvResponse) {
        self.jobs.record_pages.page_in_flight = false;
        let KvResponse::Page { items, more, .. } = reply else {
            self.jobs.record_pages.not_before = self.context.now + FAILED_PAGE_PAUSE;
            return;
        };
        if self.leadership.is_outdated(origin) {
            return self.read_record_page();
        }
        let last = items.last().filter(|_| more).map(|item| item.key.clone());
        for item in items {
            let id = job::id_in_job_key(&item.key).to_string();
            if self.jobs.record_pages.requested.remove(&id) {
                self.apply_record_reply(&id, origin, &KvResponse::Value(Some(item)));
            }
        }
        self.jobs.record_pages.mark_absent(self.context.now, first, last.as_deref());
        self.read_record_page();
    }
}
