//! Teams' limits, shared out among the shards.
//!
//! `quota/TEAM` holds each shard's grant; the sum never passes the limit, since
//! it changes only by compare-and-set. A shard spends only its own grant, so no
//! two shards together can pass the limit, whatever they know of each other.

use crate::config::Team;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// CPUs and GPUs.
pub type Amount = [f64; 2];

/// Amounts are sums of decimal numbers; differences below this are none.
pub const EPS: f64 = 1e-6;

/// Key of a team's grants.
pub fn key(team: &str) -> String {
    format!("quota/{team}")
}

/// A team's limit and grants.
#[derive(Debug, Clone)]
pub struct TeamQuota {
    /// Most at any moment; infinite where there is no limit.
    pub limit: Amount,
    /// Guaranteed.
    pub guarantee: Amount,
    /// Grants by shard, as stored.
    pub grants: BTreeMap<usize, Amount>,
    /// Version of the key, 0 for none.
    pub revision: u64,
    /// A change is under way.
    pub busy: bool,
    /// Grants of own shards that changes under way may already have lowered.
    pub lowered: BTreeMap<usize, Amount>,
    /// What became of a change is not known: it may be carried out at any time, as
    /// long as the key stays as it is.
    pub unsure: bool,
}

impl TeamQuota {
    /// A team with nothing granted.
    pub fn new(team: &Team) -> TeamQuota {
        let limit = |x: f64| if x > 0.0 { x } else { f64::INFINITY };
        TeamQuota {
            limit: [limit(team.cpus_max), limit(team.gpus_max)],
            guarantee: [team.cpus, team.gpus],
            grants: BTreeMap::new(),
            revision: 0,
            busy: false,
            lowered: BTreeMap::new(),
            unsure: false,
        }
    }

    /// True if the team has any limit, and so a key.
    pub fn limited(&self) -> bool {
        self.limit.iter().any(|l| l.is_finite())
    }

    /// Takes in the stored grants.
    pub fn observe(&mut self, value: &Value, revision: u64) {
        self.revision = revision;
        // Whatever was under way is conditional on the older version and dead.
        self.lowered.clear();
        self.unsure = false;
        self.grants.clear();
        let Value::Object(map) = value else {
            return;
        };
        for (shard, amounts) in map {
            let (Ok(shard), Some(list)) = (shard.parse::<usize>(), amounts.as_array()) else {
                continue;
            };
            let at = |i: usize| list.get(i).and_then(Value::as_f64).unwrap_or(0.0).max(0.0);
            self.grants.insert(shard, [at(0), at(1)]);
        }
    }

    /// A change of a shard's grant is sent. One without an answer that was sent on
    /// the same version may be carried out instead, so the lowest counts.
    pub fn sends(&mut self, shard: usize, grant: Amount) {
        let lowest = self.lowered.entry(shard).or_insert(grant);
        *lowest = [0, 1].map(|r| lowest[r].min(grant[r]));
        self.busy = true;
    }

    /// The last change was surely not carried out.
    pub fn refused(&mut self) {
        self.busy = false;
        if !self.unsure {
            self.lowered.clear();
        }
    }

    /// What a shard may use now. While a lowering is under way it may already
    /// have been applied and the rest given to another shard.
    pub fn grant(&self, shard: usize) -> Amount {
        let stored = self.grants.get(&shard).copied().unwrap_or_default();
        let lowered = self.lowered.get(&shard).copied().unwrap_or(stored);
        [0, 1].map(|r| {
            if self.limit[r].is_finite() { stored[r].min(lowered[r]) } else { f64::INFINITY }
        })
    }

    /// What no shard has been granted.
    pub fn free(&self) -> Amount {
        [0, 1].map(|r| {
            let sum: f64 = self.grants.values().map(|g| g[r]).sum();
            (self.limit[r] - sum).max(0.0)
        })
    }

    /// The stored form with one shard's grant replaced, or `None` if the sum
    /// would pass the limit.
    pub fn with_grant(&self, shard: usize, grant: Amount) -> Option<Value> {
        let mut grants = self.grants.clone();
        grants.insert(shard, grant);
        for r in [0, 1] {
            let sum: f64 = grants.values().map(|g| g[r]).sum();
            if self.limit[r].is_finite() && sum > self.limit[r] + EPS {
                return None;
            }
        }
        let mut map = Map::new();
        for (s, g) in &grants {
            map.insert(s.to_string(), json!(g));
        }
        Some(Value::Object(map))
    }

    /// The grant that a shard should have, given what it uses, what waits there
    /// and what other shards lack, both by rank.
    ///
    /// The more urgent goes first, equals share what is free. What is neither
    /// used nor needed for work as urgent as the others' goes back. A shard that
    /// asks at all asks for one of `shards` equal parts, as far as that is free: a
    /// change for every job that comes would take writes from their admissions.
    pub fn wanted(
        &self,
        shard: usize,
        shards: usize,
        used: Amount,
        waits: &[RankedDemand],
        others: &[RankedDemand],
    ) -> Amount {
        let now = self.grants.get(&shard).copied().unwrap_or_default();
        let free = self.free();
        [0, 1].map(|r| {
            if !self.limit[r].is_finite() {
                return now[r];
            }
            let unmet_demand = |n: &&RankedDemand| n.amount[r] > EPS;
            let lack: f64 = others.iter().filter(unmet_demand).map(|n| n.amount[r]).sum();
            // What is free does for all: nothing need be kept or given back.
            let plenty = free[r] - lack > EPS;
            let theirs =
                others.iter().filter(unmet_demand).map(|n| n.rank).min().filter(|_| !plenty);
            let counts =
                |n: &&RankedDemand| n.amount[r] > EPS && theirs.is_none_or(|t| n.rank <= t);
            let ours = waits.iter().filter(counts).map(|n| n.rank).min();
            let wish = used[r] + waits.iter().filter(counts).map(|n| n.amount[r]).sum::<f64>();
            let equals =
                others.iter().filter(unmet_demand).filter(|n| Some(n.rank) == ours).count();
            let share = 1.0 / (equals + 1) as f64;
            if wish > now[r] + EPS && plenty {
                let ask = wish.max(self.limit[r] / shards.max(1) as f64) - now[r];
                now[r] + ask.min(free[r] - lack)
            } else if wish > now[r] + EPS {
                let equal = self.limit[r] * share;
                if equals > 0 && free[r] < EPS && now[r] > equal.max(used[r]) + EPS {
                    return equal.max(used[r]);
                }
                let part = free[r] * share;
                // A part too small for one task would help nobody.
                let part = if part < 1.0 { free[r] } else { part };
                now[r] + (wish - now[r]).min(part).max(0.0)
            } else if theirs.is_some() {
                wish.max(used[r]).min(now[r])
            } else {
                now[r]
            }
        })
    }
}

/// What tasks of one rank need.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RankedDemand {
    /// Rank: lower is more urgent.
    pub rank: u32,
    /// CPUs and GPUs.
    pub amount: Amount,
}

/// What of some needs is left once `room` has gone to the most urgent.
pub fn unmet_demand(room: Amount, waits: &[RankedDemand]) -> Vec<RankedDemand> {
    let mut room = room;
    let mut waits = waits.to_vec();
    waits.sort_by_key(|n| n.rank);
    let mut list = Vec::new();
    for n in waits {
        let amount = [0, 1].map(|r| {
            let got = n.amount[r].min(room[r].max(0.0));
            room[r] -= got;
            n.amount[r] - got
        });
        if amount.iter().any(|a| *a > EPS) {
            list.push(RankedDemand { rank: n.rank, amount });
        }
    }
    list
}
