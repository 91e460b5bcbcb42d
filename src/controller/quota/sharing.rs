//! Moving unused grants of teams' limits to the shards that need them.

use crate::controller::Controller;
use crate::controller::calls::QuotaCall;
use crate::controller::leadership::shard;
use crate::controller::quota::team_quota::{self, EPS, RankedDemand};
use crate::kv_store::{KvRequest, KvResponse};
use crate::peer::{DesiredTask, Phase, Preempt, QuotaDemand};
use crate::time::Micros;
use crate::wire::{Condition, Txn, Write};
use serde_json::Value;

impl Controller {
    /// What a shard's waiting tasks of a team would take, by rank.
    fn pending_demand(&self, s: usize, team: &str) -> Vec<RankedDemand> {
        let mut list: Vec<RankedDemand> = Vec::new();
        for j in self.jobs.by_id.values().filter(|j| j.shard == s && j.spec.team == team) {
            let n = f64::from(j.open());
            if j.cancelled || j.over || n == 0.0 || self.context.now < j.not_before {
                continue;
            }
            let amount = [n * j.spec.cpus, n * j.spec.gpus];
            match list.iter_mut().find(|x| x.rank == j.rank()) {
                Some(x) => x.amount = [x.amount[0] + amount[0], x.amount[1] + amount[1]],
                None => list.push(RankedDemand { rank: j.rank(), amount }),
            }
        }
        list
    }

    /// What own shards lack, told to the peers that may have it unused.
    pub(crate) fn quota_demand(&self) -> Vec<QuotaDemand> {
        let mut list = Vec::new();
        for (team, q) in self.quota.teams.iter().filter(|(_, q)| q.limited()) {
            for s in (0..self.leadership.shards.len()).filter(|s| self.serves_shard(*s)) {
                let (used, grant) = (self.shard_usage(s, team), q.grant(s));
                let room = [grant[0] - used[0], grant[1] - used[1]];
                for n in team_quota::unmet_demand(room, &self.pending_demand(s, team)) {
                    list.push(QuotaDemand {
                        shard: s as u32,
                        team: team.clone(),
                        cpus: n.amount[0],
                        gpus: n.amount[1],
                        rank: n.rank,
                    });
                }
            }
        }
        list
    }

    /// The most urgent rank that lacks some of a team's limit, on any shard.
    pub(crate) fn quota_rank(&self, team: &str) -> Option<u32> {
        if !self.quota.teams.get(team).is_some_and(|q| q.limited()) {
            return None;
        }
        self.peers
            .by_member
            .iter()
            .filter(|(n, _)| self.peer_alive(**n))
            .flat_map(|(_, p)| &p.quota_demand)
            .chain(&self.quota.own_demand)
            .filter(|n| n.team == team)
            .map(|n| n.rank)
            .min()
    }

    pub(crate) fn maintain_quotas(&mut self) {
        if !self.holds_lease() {
            return;
        }
        if !self.quota.is_read {
            self.quota.is_read = true;
            let call = KvRequest::List { prefix: "quota/".into(), after: None };
            return self.context.call_store(QuotaCall::List, call);
        }
        let own = self.quota_demand();
        self.quota.own_demand.clone_from(&own);
        let teams: Vec<String> =
            self.quota.teams.iter().filter(|(_, q)| q.limited()).map(|(t, _)| t.clone()).collect();
        for team in teams {
            for s in 0..self.leadership.shards.len() {
                self.maintain_quota(&team, s, &own);
            }
        }
    }

    fn maintain_quota(&mut self, team: &str, s: usize, own: &[QuotaDemand]) {
        if !self.serves_shard(s) {
            return;
        }
        let revision = self.leadership.shards[s].leadership.as_ref().map_or(0, |m| m.revision);
        let (waits, used) = (self.pending_demand(s, team), self.shard_usage(s, team));
        let (shards, reserve) =
            (self.leadership.shards.len(), self.api.admission.reserved_writes(&self.context));
        let all: Vec<&QuotaDemand> = self
            .peers
            .by_member
            .iter()
            .filter(|(n, _)| self.peer_alive(**n))
            .flat_map(|(_, p)| &p.quota_demand)
            .chain(own)
            .filter(|n| n.team == team)
            .collect();
        let need = |n: &&QuotaDemand| RankedDemand { rank: n.rank, amount: [n.cpus, n.gpus] };
        let others: Vec<RankedDemand> =
            all.iter().filter(|n| n.shard as usize != s).map(need).collect();
        let everyone: Vec<RankedDemand> = all.iter().map(need).collect();
        self.preempt_over_limit(team, s, &everyone);
        let Some(q) = self.quota.teams.get_mut(team) else {
            return;
        };
        if q.busy {
            return;
        }
        let now = q.grants.get(&s).copied().unwrap_or_default();
        let wanted = q.wanted(s, shards, used, &waits, &others);
        // What may still come late is made to fail by any change of the key.
        if !q.unsure && (0..2).all(|r| (wanted[r] - now[r]).abs() < EPS) {
            return;
        }
        let Some(value) = q.with_grant(s, wanted) else {
            return;
        };
        // Admissions go first: grants that move with every job that comes would
        // take their changes.
        if self.context.write_budget.level(self.context.now) < 1.0 + reserve {
            return;
        }
        // From here on the lowering may be applied at any time.
        q.sends(s, wanted);
        let key = team_quota::key(team);
        let txn = Txn {
            conditions: vec![
                Condition { key: key.clone(), revision: q.revision },
                Condition { key: shard::lease_key(s), revision },
            ],
            writes: vec![Write::Put { key, value: value.clone(), lease: None }],
        };
        let op = QuotaCall::Write { team: team.to_string(), value };
        self.context.call_store(op, KvRequest::Txn(txn));
    }

    /// The team's limit is used up and more urgent tasks of it wait: this
    /// shard stops its part of the less urgent ones.
    fn preempt_over_limit(&mut self, team: &str, s: usize, lacks: &[RankedDemand]) {
        let Some(rank) = lacks.iter().map(|n| n.rank).min() else {
            return;
        };
        let Some(q) = self.quota.teams.get(team) else {
            return;
        };
        let urgent: f64 = lacks.iter().filter(|n| n.rank == rank).map(|n| n.amount[0]).sum();
        // What is free, or will be once the tasks that are stopping are gone,
        // needs no further stops.
        let mut coming = q.free()[0];
        let (mut total, mut ours) = (0.0, 0.0);
        let mut victims: Vec<(f64, Preempt, f64)> = Vec::new();
        for (n, w) in self.machines.desired.iter().enumerate() {
            for m in w.machines.values() {
                let counts = |t: &&DesiredTask| t.team == team && t.phase() != Phase::Over;
                for t in m.tasks.iter().filter(counts) {
                    if t.stop_ms.is_some() {
                        coming += t.cpus;
                    } else if t.rank > rank {
                        total += t.cpus;
                        if n == s {
                            ours += t.cpus;
                            let loss = self.lost_work_s(Micros::secs(t.placed_s), t.checkpoint_s);
                            let task = Preempt {
                                job: t.job.clone(),
                                index: t.index,
                                attempt: t.attempt,
                                save: true,
                            };
                            victims.push((loss, task, t.cpus));
                        }
                    }
                }
            }
        }
        // What other shards hold unused comes back by itself.
        let used: f64 =
            self.machines.desired.iter().filter_map(|w| w.usage.get(team)).map(|u| u[0]).sum();
        let unused = (q.limit[0] - used - coming).max(0.0);
        let missing = urgent - coming - unused;
        if missing <= EPS || total <= EPS {
            return;
        }
        let mut part = missing * ours / total;
        victims.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, task, cpus) in victims {
            if part <= EPS {
                return;
            }
            part -= cpus;
            self.preempt_task(&task);
        }
    }

    /// Takes in a team's grants as stored at a revision.
    pub(crate) fn observe_quota(&mut self, team: &str, value: &Value, revision: u64) {
        if let Some(q) = self.quota.teams.get_mut(team)
            && revision > q.revision
        {
            q.observe(value, revision);
            self.scheduler.placement_due = true;
        }
    }

    pub(crate) fn quota_reply(&mut self, op: QuotaCall, reply: KvResponse) {
        match (op, reply) {
            (QuotaCall::List, KvResponse::Page { items, .. }) => {
                for item in items {
                    if let Some(team) = item.key.strip_prefix("quota/") {
                        self.observe_quota(team, &item.value, item.revision);
                    }
                }
            }
            (QuotaCall::List, _) => self.quota.is_read = false,
            (QuotaCall::Write { team, value }, KvResponse::Applied(revision)) => {
                self.observe_quota(&team, &value, revision);
                if let Some(q) = self.quota.teams.get_mut(&team) {
                    q.busy = false;
                }
            }
            (QuotaCall::Write { team, .. }, KvResponse::NotExecuted) => {
                if let Some(q) = self.quota.teams.get_mut(&team) {
                    q.refused();
                }
            }
            // Perhaps applied: until what is stored is read, the lower grant
            // holds, and a late one fails once the key has changed again.
            (QuotaCall::Write { team, .. }, reply) => {
                if let Some(q) = self.quota.teams.get_mut(&team) {
                    q.unsure |= !matches!(reply, KvResponse::Conflict(_));
                }
                self.read_quota(&team);
            }
            (QuotaCall::Read { team }, KvResponse::Value(item)) => {
                if let Some(item) = item {
                    self.observe_quota(&team, &item.value, item.revision);
                }
                if let Some(q) = self.quota.teams.get_mut(&team) {
                    q.busy = false;
                }
            }
            (QuotaCall::Read { team }, _) => self.read_quota(&team),
        }
    }

    fn read_quota(&mut self, team: &str) {
        let op = QuotaCall::Read { team: team.to_string() };
        self.context.call_store(op, KvRequest::Get(team_quota::key(team)));
    }
}
