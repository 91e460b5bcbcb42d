//! Decodes the changes that watches of the key-value store deliver and passes them to the
//! components.

use crate::controller::Controller;
use crate::controller::calls::Watch;
use crate::controller::jobs::job::{JobRecord, StoredStage};
use crate::controller::leadership::{shard_lease, watches};
use crate::kv_store::KvResponse;
use crate::wire::{KeyValue, WatchEvent};
use log::{debug, warn};
use serde_json::Value;

/// A change of a watched key.
enum Change {
    /// Change of a shard's lease; `item` is the new content of its key, `None` if it was deleted.
    ShardLease { shard: usize, item: Option<KeyValue>, revision: u64 },
    /// Write of a job's record.
    Job { id: String, record: JobRecord, revision: u64 },
    /// Change of a team's quota; `value` is null if it was deleted.
    Quota { team: String, value: Value, revision: u64 },
}

impl Change {
    /// Decodes an event of a watch; `None` if it changes nothing that this process follows, or is
    /// malformed.
    fn decode(watch: Watch, event: WatchEvent, shards: usize) -> Option<Change> {
        let WatchEvent { put, delete, value, revision } = event;
        let is_put = put.is_some();
        let key = put.or(delete)?;
        match watch {
            Watch::ShardLeases => {
                let shard = shard_lease::shard_of_key(&key).filter(|shard| *shard < shards)?;
                let item = is_put.then_some(KeyValue { key, value, revision });
                Some(Change::ShardLease { shard, item, revision })
            }
            Watch::Jobs => {
                let id = key.strip_prefix(watches::key_prefix(watch)).filter(|_| is_put)?;
                match serde_json::from_value(value) {
                    Ok(record) => Some(Change::Job { id: id.to_string(), record, revision }),
                    Err(error) => {
                        warn!("record of job {id} at revision {revision} ignored: {error}");
                        None
                    }
                }
            }
            Watch::Quotas => {
                let team = key.strip_prefix(watches::key_prefix(watch))?.to_string();
                let value = if is_put { value } else { Value::Null };
                Some(Change::Quota { team, value, revision })
            }
        }
    }
}

impl Controller {
    /// Handles the reply to a call of a watch.
    pub(crate) fn watch_reply(&mut self, watch: Watch, reply: KvResponse) {
        match reply {
            KvResponse::WatchEvents { revision, events } => {
                self.apply_events(watch, events);
                self.leadership.watches.state_mut(watch).answered(revision);
            }
            KvResponse::Compacted => self.leadership.watches.compacted(watch),
            _ => self.leadership.watches.failed(watch, &mut self.context),
        }
    }

    /// Applies the events that a watch or a poll returned.
    pub(crate) fn apply_events(&mut self, watch: Watch, events: Vec<WatchEvent>) {
        for event in events {
            match Change::decode(watch, event, self.leadership.shard_count()) {
                None => {}
                Some(Change::ShardLease { shard, item, revision }) => {
                    // Events from before this process acquired the shard are ignored.
                    let led = self.leadership.led_shard(shard);
                    if led.is_none_or(|leadership| revision > leadership.revision) {
                        self.observe_lease(shard, item.as_ref(), revision);
                    }
                }
                Some(Change::Job { id, record, revision }) => {
                    self.job_record_changed(&id, &record, revision);
                }
                Some(Change::Quota { team, value, revision }) => {
                    self.observe_quota(&team, &value, revision);
                }
            }
        }
    }

    /// Handles a write of a job's record at `revision`, by this process or another.
    fn job_record_changed(&mut self, id: &str, record: &JobRecord, revision: u64) {
        self.jobs.forget_unreadable(id);
        self.apply_job_record(id, record, revision);
        match record.stage {
            StoredStage::Cancelled => self.job_cancelled(id),
            StoredStage::Accepted => self.observe_accepted_job(id, record.shard),
            StoredStage::Done => {}
        }
    }

    /// Handles the reply to the list that starts a watch. Changes before its revision may have been
    /// missed.
    pub(crate) fn watch_start_reply(&mut self, watch: Watch, reply: &KvResponse) {
        let KvResponse::Page { revision, items, .. } = reply else {
            return self.leadership.watches.failed(watch, &mut self.context);
        };
        self.leadership.watches.state_mut(watch).started(*revision);
        debug!("the watch of {} starts from revision {revision}", watches::key_prefix(watch));
        match watch {
            Watch::ShardLeases => self.observe_leases(items, *revision),
            Watch::Jobs => self.job_changes_missed(),
            Watch::Quotas => self.quota.resynchronize(),
        }
    }

    /// Reads all jobs again after acceptances and cancellations may have been missed: every
    /// conclusion drawn from their records may be outdated.
    fn job_changes_missed(&mut self) {
        self.jobs.stage_cache.forget_unfinished();
        self.preload_stages();
        self.leadership.acceptances_missed();
        for recovery in self.leadership.recoveries.values_mut() {
            recovery.read_records_again();
        }
        // A job with a call in flight cannot be read back now. Its record is read like that of an
        // unknown job.
        let with_call = self.jobs.by_id.iter().filter(|(_, job)| job.store_call_in_flight);
        self.machines.add_unknown_jobs(with_call.map(|(id, _)| id.clone()).collect());
        let ids: Vec<String> = self.jobs.by_id.keys().cloned().collect();
        for id in ids {
            self.read_back(&id);
        }
    }
}
