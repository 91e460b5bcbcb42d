//! Records of many jobs, read by pages.
//!
//! A process that has just started may be asked about hundreds of jobs that it has no
//! record of. Read one by one they would take longer than a user tries; a page of `j/`
//! brings those beside them too.

use crate::controller::Controller;
use crate::controller::calls::JobsCall;
use crate::controller::jobs::job::{self, MAX_SINGLE_READS};
use crate::kv_store::{KvRequest, KvResponse};
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Jobs that wait for a page at most.
const MAX_WANTED: usize = 20_000;
/// How long it is remembered that a job was not there.
const ABSENT_FOR: Micros = Micros::secs(10);
/// Pause after a page that could not be read.
const RETRY: Micros = Micros::secs(1);

/// Jobs whose records are to be read by pages.
#[derive(Debug, Default)]
pub(crate) struct RecordPages {
    wanted: BTreeSet<String>,
    reading: bool,
    not_before: Micros,
    /// Jobs that were in no page, and when that was seen.
    absent: BTreeMap<String, Micros>,
}

impl RecordPages {
    /// Whether a job was in no page a moment ago. It may have been accepted since.
    pub fn was_absent(&self, id: &str) -> bool {
        self.absent.contains_key(id)
    }

    fn want(&mut self, jobs: Vec<String>) {
        let room = MAX_WANTED.saturating_sub(self.wanted.len());
        self.wanted.extend(jobs.into_iter().take(room));
    }

    /// A page from `first` to the key `last`, or to the end, did not have these.
    fn note_absent(&mut self, now: Micros, first: &str, last: Option<&str>) {
        let covered = |id: &String| {
            let key = job::job_key(id);
            id.as_str() >= first && last.is_none_or(|last| key.as_str() <= last)
        };
        let absent: Vec<String> = self.wanted.iter().filter(|id| covered(id)).cloned().collect();
        for id in absent {
            self.wanted.remove(&id);
            self.absent.insert(id, now);
        }
    }
}

impl Controller {
    /// Jobs of which nothing is known here are to be read: each by itself, or if they
    /// are many by pages.
    pub(crate) fn read_records(&mut self, unknown: Vec<String>) {
        if unknown.len() <= MAX_SINGLE_READS {
            return self.machines.cancellations.add_unknown(unknown);
        }
        self.jobs.record_pages.want(unknown);
    }

    /// Reads the next page, from the first job that is wanted, while more than half of
    /// this node's share of requests is there.
    pub(crate) fn maintain_record_pages(&mut self) {
        let now = self.context.now;
        let cached = &self.jobs.cached_stages;
        let pages = &mut self.jobs.record_pages;
        pages.absent.retain(|_, at| now.since(*at) < ABSENT_FOR);
        while pages.wanted.first().is_some_and(|id| cached.contains_key(id)) {
            pages.wanted.pop_first();
        }
        let may_read = !pages.reading && now >= pages.not_before;
        let Some(first) = pages.wanted.first().cloned() else {
            return;
        };
        if !may_read || !self.holds_lease() || !self.context.has_spare_requests() {
            return;
        }
        self.jobs.record_pages.reading = true;
        let after = Some(job::key_before(&first));
        let call = KvRequest::List { prefix: job::job_key(""), after };
        self.context.call_store(JobsCall::ReadRecordPage { first }, call);
    }

    /// Takes in a page of records.
    pub(crate) fn record_page_reply(&mut self, first: &str, reply: KvResponse) {
        self.jobs.record_pages.reading = false;
        let KvResponse::Page { items, more, .. } = reply else {
            self.jobs.record_pages.not_before = self.context.now + RETRY;
            return;
        };
        let last = items.last().filter(|_| more).map(|item| item.key.clone());
        for item in items {
            let id = item.key.strip_prefix(&job::job_key("")).unwrap_or_default().to_string();
            if self.jobs.record_pages.wanted.remove(&id) {
                self.take_record_reply(&id, &KvResponse::Value(Some(item)));
            }
        }
        self.jobs.record_pages.note_absent(self.context.now, first, last.as_deref());
        self.maintain_record_pages();
    }
}
