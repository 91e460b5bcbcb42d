//! Watches of the key-value store: how this process learns of changes.

use crate::controller::calls::LeadershipCall;
use crate::controller::jobs::job::{JobRecord, StoredStage};
use crate::controller::leadership::shard;
use crate::controller::{CachedStage, Controller, Watch};
use crate::kv_store::KvRequest;
use crate::time::Micros;
use crate::wire::{KeyValue, WatchEvent};
use log::warn;

/// Between looks at changes beside a watch that has said nothing for long.
const LOOK_EVERY: Micros = Micros::millis(400);

/// A watch.
#[derive(Debug, Clone, Default)]
pub(crate) struct WatchState {
    pub(crate) after: Option<u64>,
    pub(crate) busy: bool,
    pub(crate) retry: Micros,
    /// When the call that is under way was sent.
    pub(crate) sent: Micros,
    /// When the last call that was answered had been sent.
    pub(crate) caught_up_at: Micros,
    /// When changes were last looked at beside the watch.
    pub(crate) next_check: Micros,
}

pub(crate) fn prefix(watch: Watch) -> &'static str {
    match watch {
        Watch::Jobs => "j/",
        Watch::ShardLeases => shard::LEASE_KEYS,
        Watch::Quotas => "quota/",
    }
}

impl WatchState {
    /// Changes up to a revision, asked for at a time, are taken in. A watch and a
    /// look may cross.
    pub(crate) fn advance_to(&mut self, revision: u64, sent: Micros) {
        self.after = Some(self.after.unwrap_or(0).max(revision));
        self.caught_up_at = self.caught_up_at.max(sent);
    }

    /// All that had changed by then is known.
    pub(crate) fn caught_up_at(&self) -> Micros {
        self.caught_up_at
    }

    /// Revision up to which changes are known, 0 for none.
    pub(crate) fn revision(&self) -> u64 {
        self.after.unwrap_or(0)
    }
}

impl Controller {
    /// After an outage the lease is good at once, while the watch that was open waits
    /// on: reports are answered only once it is known what was cancelled meanwhile.
    pub(crate) fn poll_beside_watch(&mut self) {
        let now = self.context.now;
        if !self.holds_lease() || self.cancellations_up_to_date() {
            return;
        }
        let Some(f) = self.leadership.watches.get_mut(&Watch::Jobs).filter(|f| now >= f.next_check)
        else {
            return;
        };
        let Some(after) = f.after else {
            return;
        };
        f.next_check = now + LOOK_EVERY;
        let prefix = prefix(Watch::Jobs).to_string();
        let call = KvRequest::Watch { prefix, after, block: Micros::ZERO };
        self.context.call_store(LeadershipCall::PollChanges { sent: now }, call);
    }

    pub(crate) fn change(&mut self, watch: Watch, change: WatchEvent) {
        let Some(key) = change.put.as_ref().or(change.delete.as_ref()).cloned() else {
            return;
        };
        let item = change.put.is_some().then(|| KeyValue {
            key: key.clone(),
            value: change.value,
            revision: change.revision,
        });
        match watch {
            Watch::ShardLeases => {
                let Some(s) =
                    shard::shard_of_key(&key).filter(|s| *s < self.leadership.shards.len())
                else {
                    return;
                };
                // News older than the own take: the shard has been taken since.
                if self.leadership.shards[s]
                    .leadership
                    .as_ref()
                    .is_some_and(|m| change.revision <= m.revision)
                {
                    return;
                }
                self.observe_lease(s, item.as_ref());
            }
            Watch::Jobs => {
                let (Some(item), Some(id)) = (item, key.strip_prefix("j/")) else {
                    return;
                };
                let Ok(record) = serde_json::from_value::<JobRecord>(item.value) else {
                    warn!("unreadable record of job {id}");
                    return;
                };
                self.jobs.dependency_graph.note(id, &record);
                self.jobs.unreadable.remove(id);
                self.cache_stage(
                    id,
                    CachedStage {
                        stage: record.stage,
                        shard: record.shard,
                        tasks: record.tasks,
                        revision: item.revision,
                    },
                );
                match record.stage {
                    StoredStage::Cancelled => self.job_cancelled(id),
                    StoredStage::Accepted => self.adopt(id, record.shard),
                    StoredStage::Done => {}
                }
            }
            Watch::Quotas => {
                if let Some(team) = key.strip_prefix("quota/") {
                    let value = item.map(|i| i.value).unwrap_or_default();
                    self.observe_quota(team, &value, change.revision);
                }
            }
        }
    }
}
