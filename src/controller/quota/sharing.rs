//! Moves unused grants of teams' limits to the shards that need them.

use crate::controller::Controller;
use crate::controller::calls::QuotaCall;
use crate::controller::jobs::Jobs;
use crate::controller::leadership::{Leadership, shard_lease};
use crate::controller::quota::Quotas;
use crate::controller::quota::amount::QuotaAmount;
use crate::controller::quota::job_demand::{pending_demand, shard_usage};
use crate::controller::quota::target_grant::{RankedDemand, unmet_demand};
use crate::controller::quota::team_quota::{self, TeamQuota};
use crate::kv_store::{KvRequest, PAGE_KEYS};
use crate::peer::QuotaDemand;
use crate::resources::TOLERANCE;
use crate::time::Micros;
use crate::wire::{Condition, Txn, Write};
use serde_json::Value;

/// Usage and demand from which a shard's grant of a team's limit is decided.
struct ShardDemand {
    /// What the shard's tasks use.
    used: QuotaAmount,
    /// What the shard's pending tasks need, by rank.
    pending: Vec<RankedDemand>,
    /// Unmet demand of the other shards.
    unmet_elsewhere: Vec<RankedDemand>,
    /// Unmet demand of all shards.
    unmet: Vec<RankedDemand>,
}

/// A change of a shard's grant that is to be sent as a compare-and-swap.
struct GrantChange {
    grant: QuotaAmount,
    /// Value to store: all grants of the team, including the changed one.
    value: Value,
}

impl Quotas {
    /// Unmet demand for teams' limits of the shards that this process serves. It is sent to the
    /// peers, which may have unused grants.
    pub(crate) fn unmet_demand(
        &self,
        jobs: &Jobs,
        leadership: &Leadership,
        now: Micros,
    ) -> Vec<QuotaDemand> {
        let served = |shard: &usize| leadership.serves_shard(*shard, now);
        let mut list = Vec::new();
        for (team, quota) in self.limited_teams() {
            for shard in (0..leadership.shard_count()).filter(served) {
                let mut available = quota.grant(shard);
                available -= shard_usage(jobs, shard, team);
                for unmet in unmet_demand(available, &pending_demand(jobs, now, shard, team)) {
                    list.push(QuotaDemand {
                        shard: shard as u32,
                        team: team.clone(),
                        cpus: unmet.amount.cpus,
                        gpus: unmet.amount.gpus,
                        rank: unmet.rank,
                    });
                }
            }
        }
        list
    }

    /// The next change of a shard's grant; `None` if the grant needs no change, or a change of
    /// the team's grants is in flight.
    fn next_change(
        &self,
        team: &str,
        shard: usize,
        shards: usize,
        demand: &ShardDemand,
    ) -> Option<GrantChange> {
        let quota = self.teams.get(team).filter(|quota| !quota.change_in_flight())?;
        let (used, elsewhere) = (demand.used, &demand.unmet_elsewhere);
        let grant = quota.target_grant(shard, shards, used, &demand.pending, elsewhere);
        let stored = quota.stored_grant(shard);
        let unchanged = (grant.cpus - stored.cpus).abs() < TOLERANCE
            && (grant.gpus - stored.gpus).abs() < TOLERANCE;
        // After an unknown outcome the key is written even if the grant is unchanged: a new
        // revision makes the earlier compare-and-swap fail if it is executed late.
        if unchanged && !quota.outcome_unknown() {
            return None;
        }
        Some(GrantChange { grant, value: quota.with_grant(shard, grant)? })
    }
}

impl Controller {
    /// Updates the grants of led shards from their usage and demand, team by team, or lists the
    /// stored grants first.
    pub(crate) fn maintain_quotas(&mut self) {
        if !self.holds_lease() {
            return;
        }
        if self.quota.start_listing() {
            let call = KvRequest::List {
                prefix: team_quota::KEY_PREFIX.into(),
                after: None,
                limit: PAGE_KEYS,
            };
            return self.context.call_store(QuotaCall::List, call);
        }
        let local_demand = self.quota.unmet_demand(&self.jobs, &self.leadership, self.context.now);
        self.quota.local_demand.clone_from(&local_demand);
        let teams: Vec<String> = self.quota.limited_teams().map(|(team, _)| team.clone()).collect();
        for team in teams {
            for shard in 0..self.leadership.shard_count() {
                self.maintain_grant(&team, shard, &local_demand);
            }
        }
    }

    fn maintain_grant(&mut self, team: &str, shard: usize, local_demand: &[QuotaDemand]) {
        if !self.serves_shard(shard) {
            return;
        }
        let demand = self.shard_demand(team, shard, local_demand);
        if let Some(quota) = self.quota.team(team) {
            let (desired, wall) = (self.machines.desired(), self.context.wall_clock());
            let preemptions = quota.limit_preemptions(team, shard, &demand.unmet, desired, wall);
            for task in preemptions {
                self.preempt_task(&task);
            }
        }
        let shards = self.leadership.shard_count();
        let Some(change) = self.quota.next_change(team, shard, shards, &demand) else {
            return;
        };
        // Admissions have priority: grants that change with every new job would use up the
        // writes that admissions need.
        let reserve = self.api.admission.reserved_writes(&self.context);
        if self.context.write_budget.level(self.context.now) < 1.0 + reserve {
            return;
        }
        self.compare_and_swap_grants(team, shard, change);
    }

    fn shard_demand(&self, team: &str, shard: usize, local_demand: &[QuotaDemand]) -> ShardDemand {
        let now = self.context.now;
        let all = self.peers.live_quota_demand(now).chain(local_demand);
        let of_team: Vec<&QuotaDemand> = all.filter(|demand| demand.team == team).collect();
        let ranked = |demand: &&QuotaDemand| RankedDemand {
            rank: demand.rank,
            amount: QuotaAmount::new(demand.cpus, demand.gpus),
        };
        let elsewhere = of_team.iter().filter(|demand| demand.shard as usize != shard);
        ShardDemand {
            used: shard_usage(&self.jobs, shard, team),
            pending: pending_demand(&self.jobs, now, shard, team),
            unmet_elsewhere: elsewhere.map(ranked).collect(),
            unmet: of_team.iter().map(ranked).collect(),
        }
    }

    /// Sends a compare-and-swap of a team's grants, conditional on the shard lease.
    fn compare_and_swap_grants(&mut self, team: &str, shard: usize, change: GrantChange) {
        let revision = self.quota.team(team).map_or(0, TeamQuota::revision);
        // From now on a lower grant may be applied at any time.
        self.quota.update_team(team, |quota| quota.change_sent(shard, change.grant));
        let leadership = self.leadership.led_shard(shard);
        let lease_revision = leadership.map_or(0, |leadership| leadership.revision);
        let (key, value) = (team_quota::key(team), change.value);
        let txn = Txn {
            conditions: vec![
                Condition { key: key.clone(), revision },
                shard_lease::lease_condition(shard, lease_revision),
            ],
            writes: vec![Write::Put { key, value: value.clone(), lease: None }],
        };
        let call = QuotaCall::CompareAndSwap { team: team.to_string(), value };
        self.context.call_store(call, KvRequest::Txn(txn));
    }
}
