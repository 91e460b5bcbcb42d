//! Handles replies of the key-value store to quota calls.

use crate::controller::Controller;
use crate::controller::calls::QuotaCall;
use crate::controller::quota::team_quota::{self, TeamQuota};
use crate::kv_store::{KvRequest, KvResponse};
use serde_json::Value;

impl Controller {
    /// Caches a team's grants as stored at a revision, and requests a scheduling pass if they are
    /// newer than the cached ones.
    pub(crate) fn observe_quota(&mut self, team: &str, value: &Value, revision: u64) {
        if self.quota.observe(team, value, revision) {
            self.scheduler.request_pass();
        }
    }

    /// Handles the reply to a quota call.
    pub(crate) fn quota_reply(&mut self, call: QuotaCall, reply: KvResponse) {
        match (call, reply) {
            (QuotaCall::List, KvResponse::Page { items, .. }) => {
                for item in items {
                    if let Some(team) = item.key.strip_prefix(team_quota::KEY_PREFIX) {
                        self.observe_quota(team, &item.value, item.revision);
                    }
                }
            }
            (QuotaCall::List, _) => self.quota.resynchronize(),
            (QuotaCall::CompareAndSwap { team, value }, KvResponse::Applied(revision)) => {
                self.observe_quota(&team, &value, revision);
                self.quota.update_team(&team, TeamQuota::change_finished);
            }
            (QuotaCall::CompareAndSwap { team, .. }, KvResponse::NotExecuted) => {
                self.quota.update_team(&team, TeamQuota::change_not_executed);
            }
            (QuotaCall::CompareAndSwap { team, .. }, KvResponse::Conflict(_)) => {
                self.read_quota(&team);
            }
            // The change may have been applied. Until the stored grants are read, the lower
            // grant counts. If it is executed late, it fails once the key has changed again.
            (QuotaCall::CompareAndSwap { team, .. }, _) => {
                self.quota.update_team(&team, TeamQuota::change_outcome_unknown);
                self.read_quota(&team);
            }
            (QuotaCall::Read { team }, KvResponse::Value(item)) => {
                if let Some(item) = item {
                    self.observe_quota(&team, &item.value, item.revision);
                }
                self.quota.update_team(&team, TeamQuota::change_finished);
            }
            (QuotaCall::Read { team }, _) => self.read_quota(&team),
        }
    }

    fn read_quota(&mut self, team: &str) {
        let call = QuotaCall::Read { team: team.to_string() };
        self.context.call_store(call, KvRequest::Get(team_quota::key(team)));
    }
}
