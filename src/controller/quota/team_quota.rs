//! A team's limit, shared out among the shards.
//!
//! `quota/TEAM` holds each shard's grant; the sum never passes the limit, since
//! it changes only by compare-and-swap. A shard spends only its own grant, so no
//! two shards together can pass the limit, whatever they know of each other.

use crate::config::Team;
use crate::controller::quota::amount::{QuotaAmount, QuotaResource};
use crate::controller::quota::target_grant::{RankedDemand, ResourceGrant};
use crate::resources::TOLERANCE;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// What precedes the team in the keys of grants.
pub const KEY_PREFIX: &str = "quota/";

/// Key of a team's grants.
pub fn key(team: &str) -> String {
    format!("{KEY_PREFIX}{team}")
}

/// A team's limit, guarantee and grants, and the compare-and-swap of the grants in flight.
#[derive(Debug, Clone)]
pub struct TeamQuota {
    /// Most that the team may use at any moment; infinite where there is no limit.
    limit: QuotaAmount,
    guarantee: QuotaAmount,
    /// Grants by shard, as stored.
    grants: BTreeMap<usize, QuotaAmount>,
    /// Revision of the key, 0 if it is absent.
    revision: u64,
    /// A compare-and-swap, or the read that follows one, is in flight.
    change_in_flight: bool,
    /// The lowest grants of own shards that changes in flight may already have stored.
    possible_grants: BTreeMap<usize, QuotaAmount>,
    /// The outcome of a compare-and-swap is not known: it may be applied at any time, as
    /// long as the key keeps its revision.
    outcome_unknown: bool,
}

impl TeamQuota {
    /// A team with nothing granted.
    pub fn new(team: &Team) -> TeamQuota {
        let limit = |amount: f64| if amount > 0.0 { amount } else { f64::INFINITY };
        TeamQuota {
            limit: QuotaAmount::new(limit(team.cpus_max), limit(team.gpus_max)),
            guarantee: QuotaAmount::new(team.cpus, team.gpus),
            grants: BTreeMap::new(),
            revision: 0,
            change_in_flight: false,
            possible_grants: BTreeMap::new(),
            outcome_unknown: false,
        }
    }

    /// Most that the team may use at any moment; infinite where there is no limit.
    pub fn limit(&self) -> QuotaAmount {
        self.limit
    }

    /// What the team is guaranteed.
    pub fn guarantee(&self) -> QuotaAmount {
        self.guarantee
    }

    /// True if the team has any limit, and so a key.
    pub fn is_limited(&self) -> bool {
        self.limit.cpus.is_finite() || self.limit.gpus.is_finite()
    }

    /// Revision of the stored grants, 0 if there are none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether a compare-and-swap, or the read that follows one, is in flight.
    pub fn change_in_flight(&self) -> bool {
        self.change_in_flight
    }

    /// Whether the outcome of a compare-and-swap is not known.
    pub fn outcome_unknown(&self) -> bool {
        self.outcome_unknown
    }

    /// Takes in the stored grants.
    pub fn observe(&mut self, value: &Value, revision: u64) {
        self.revision = revision;
        // Whatever was in flight is conditional on the older revision and dead.
        self.possible_grants.clear();
        self.outcome_unknown = false;
        self.grants.clear();
        let Value::Object(map) = value else {
            return;
        };
        for (shard, amounts) in map {
            let (Ok(shard), Some(list)) = (shard.parse::<usize>(), amounts.as_array()) else {
                continue;
            };
            let at = |i: usize| list.get(i).and_then(Value::as_f64).unwrap_or(0.0).max(0.0);
            self.grants.insert(shard, QuotaAmount::new(at(0), at(1)));
        }
    }

    /// A compare-and-swap that changes a shard's grant is sent. One without an answer that was
    /// sent on the same revision may be applied instead, so the lowest grant counts.
    pub fn change_sent(&mut self, shard: usize, grant: QuotaAmount) {
        let lowest = self.possible_grants.entry(shard).or_insert(grant);
        *lowest = QuotaAmount::each(|resource| lowest.of(resource).min(grant.of(resource)));
        self.change_in_flight = true;
    }

    /// The last compare-and-swap was surely not applied.
    pub fn change_not_executed(&mut self) {
        self.change_in_flight = false;
        if !self.outcome_unknown {
            self.possible_grants.clear();
        }
    }

    /// The last compare-and-swap may have been applied, or may still be: until a newer
    /// revision is read, the lowest possible grant holds.
    pub fn change_outcome_unknown(&mut self) {
        self.outcome_unknown = true;
    }

    /// The stored grants have been read after the last compare-and-swap.
    pub fn change_finished(&mut self) {
        self.change_in_flight = false;
    }

    /// A shard's grant as stored.
    pub fn stored_grant(&self, shard: usize) -> QuotaAmount {
        self.grants.get(&shard).copied().unwrap_or_default()
    }

    /// What a shard may use now. While a lowering is in flight it may already
    /// have been applied and the rest given to another shard.
    pub fn grant(&self, shard: usize) -> QuotaAmount {
        let stored = self.stored_grant(shard);
        let possible = self.possible_grants.get(&shard).copied().unwrap_or(stored);
        QuotaAmount::each(|resource| {
            if self.limit.of(resource).is_finite() {
                stored.of(resource).min(possible.of(resource))
            } else {
                f64::INFINITY
            }
        })
    }

    /// What no shard has been granted.
    pub fn ungranted(&self) -> QuotaAmount {
        QuotaAmount::each(|resource| {
            let sum: f64 = self.grants.values().map(|grant| grant.of(resource)).sum();
            (self.limit.of(resource) - sum).max(0.0)
        })
    }

    /// The stored form with one shard's grant replaced, or `None` if the sum
    /// would pass the limit.
    pub fn with_grant(&self, shard: usize, grant: QuotaAmount) -> Option<Value> {
        let mut grants = self.grants.clone();
        grants.insert(shard, grant);
        for resource in QuotaResource::ALL {
            let sum: f64 = grants.values().map(|grant| grant.of(resource)).sum();
            let limit = self.limit.of(resource);
            if limit.is_finite() && sum > limit + TOLERANCE {
                return None;
            }
        }
        let mut map = Map::new();
        for (shard, grant) in &grants {
            map.insert(shard.to_string(), json!([grant.cpus, grant.gpus]));
        }
        Some(Value::Object(map))
    }

    /// The grant that a shard should have, given what it uses, what waits there
    /// and what other shards lack, both by rank.
    ///
    /// The more urgent goes first, equals share what is not granted. What is neither
    /// used nor needed for work as urgent as the others' goes back. A shard that
    /// asks at all asks for one of `shards` equal shares, as far as that is free: a
    /// change for every job that comes would use up writes of their admissions.
    pub fn target_grant(
        &self,
        shard: usize,
        shards: usize,
        used: QuotaAmount,
        pending: &[RankedDemand],
        unmet_elsewhere: &[RankedDemand],
    ) -> QuotaAmount {
        let stored = self.stored_grant(shard);
        let ungranted = self.ungranted();
        QuotaAmount::each(|resource| {
            let limit = self.limit.of(resource);
            if !limit.is_finite() {
                return stored.of(resource);
            }
            let demand_of = |list: &[RankedDemand]| ResourceGrant::demand_of(list, resource);
            ResourceGrant {
                limit,
                equal_share: limit / shards.max(1) as f64,
                stored: stored.of(resource),
                used: used.of(resource),
                ungranted: ungranted.of(resource),
            }
            .target(&demand_of(pending), &demand_of(unmet_elsewhere))
        })
    }
}
