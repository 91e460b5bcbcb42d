//! A team's quota: its limit and guarantee, and the shards' grants of the limit.
//!
//! The key `quota/TEAM` holds each shard's grant. It changes only by compare-and-swap, so the sum
//! of the grants never exceeds the limit. A shard uses only its own grant, so the shards
//! together cannot exceed the limit, even if their leaders cannot reach each other.

use crate::config::Team;
use crate::controller::quota::amount::{QuotaAmount, QuotaResource};
use crate::controller::quota::target_grant::{RankedDemand, ResourceGrant};
use crate::resources::TOLERANCE;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// Prefix of the keys of grants, followed by the name of the team.
pub const KEY_PREFIX: &str = "quota/";

/// Key of a team's grants.
pub fn key(team: &str) -> String {
    format!("{KEY_PREFIX}{team}")
}

/// A team's limit, guarantee and grants, and the compare-and-swap of the grants in flight.
#[derive(Debug, Clone)]
pub struct TeamQuota {
    /// Maximum that the team may use at any moment; infinite for a resource without a limit.
    limit: QuotaAmount,
    guarantee: QuotaAmount,
    /// Grants by shard, as stored.
    grants: BTreeMap<usize, QuotaAmount>,
    /// Revision of the key as last observed; 0 if the key is absent or was not read yet.
    revision: u64,
    /// A compare-and-swap, or the read that follows one, is in flight.
    change_in_flight: bool,
    /// By shard, the lowest grant that a compare-and-swap sent on the current revision may
    /// already have stored.
    lowest_possible_grants: BTreeMap<usize, QuotaAmount>,
    /// The outcome of a compare-and-swap is unknown: it may be applied at any time while the
    /// key keeps its revision.
    outcome_unknown: bool,
}

impl TeamQuota {
    /// The quota of a team, with no grants. A limit of 0 in the settings means no limit.
    pub fn new(team: &Team) -> TeamQuota {
        let limit = |amount: f64| if amount > 0.0 { amount } else { f64::INFINITY };
        TeamQuota {
            limit: QuotaAmount::new(limit(team.cpus_max), limit(team.gpus_max)),
            guarantee: QuotaAmount::new(team.cpus, team.gpus),
            grants: BTreeMap::new(),
            revision: 0,
            change_in_flight: false,
            lowest_possible_grants: BTreeMap::new(),
            outcome_unknown: false,
        }
    }

    /// Maximum that the team may use at any moment; infinite for a resource without a limit.
    pub fn limit(&self) -> QuotaAmount {
        self.limit
    }

    /// Amount up to which the team's tasks are scheduled before those of teams beyond their
    /// guarantees.
    pub fn guarantee(&self) -> QuotaAmount {
        self.guarantee
    }

    /// Whether the team has a limit for any resource, and so a key in the store.
    pub fn is_limited(&self) -> bool {
        self.limit.cpus.is_finite() || self.limit.gpus.is_finite()
    }

    /// Revision of the grants as last observed; 0 if there are none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether a compare-and-swap, or the read that follows one, is in flight.
    pub fn change_in_flight(&self) -> bool {
        self.change_in_flight
    }

    /// Whether the outcome of a compare-and-swap on the current revision is unknown.
    pub fn outcome_unknown(&self) -> bool {
        self.outcome_unknown
    }

    /// Caches the stored grants. Malformed entries count as no grant.
    pub fn observe(&mut self, value: &Value, revision: u64) {
        self.revision = revision;
        // A compare-and-swap in flight is conditional on the older revision and will fail.
        self.lowest_possible_grants.clear();
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

    /// Records that a compare-and-swap of a shard's grant is sent. An unanswered one that was
    /// sent earlier on the same revision may be applied instead, so the lowest grant counts.
    pub fn change_sent(&mut self, shard: usize, grant: QuotaAmount) {
        let lowest = self.lowest_possible_grants.entry(shard).or_insert(grant);
        *lowest = QuotaAmount::from_fn(|resource| lowest.get(resource).min(grant.get(resource)));
        self.change_in_flight = true;
    }

    /// Records that the last compare-and-swap was definitely not applied. Lower grants of an
    /// earlier one with an unknown outcome remain possible.
    pub fn change_not_executed(&mut self) {
        self.change_in_flight = false;
        if !self.outcome_unknown {
            self.lowest_possible_grants.clear();
        }
    }

    /// Records that the last compare-and-swap may have been applied or may still be. Until a
    /// newer revision is read, the lowest possible grant counts.
    pub fn change_outcome_unknown(&mut self) {
        self.outcome_unknown = true;
    }

    /// Records that the stored grants are cached again after the last compare-and-swap.
    pub fn change_finished(&mut self) {
        self.change_in_flight = false;
    }

    /// A shard's grant as last observed in the store; zero if it has none.
    pub fn stored_grant(&self, shard: usize) -> QuotaAmount {
        self.grants.get(&shard).copied().unwrap_or_default()
    }

    /// What a shard may use now; infinite for a resource without a limit. A change in flight that
    /// lowers the grant counts at once: it may already be applied, and the difference granted
    /// to another shard.
    pub fn grant(&self, shard: usize) -> QuotaAmount {
        let stored = self.stored_grant(shard);
        let possible = self.lowest_possible_grants.get(&shard).copied().unwrap_or(stored);
        QuotaAmount::from_fn(|resource| {
            if self.limit.get(resource).is_finite() {
                stored.get(resource).min(possible.get(resource))
            } else {
                f64::INFINITY
            }
        })
    }

    /// The part of the limit that no shard is granted.
    pub fn ungranted(&self) -> QuotaAmount {
        QuotaAmount::from_fn(|resource| {
            let sum: f64 = self.grants.values().map(|grant| grant.get(resource)).sum();
            (self.limit.get(resource) - sum).max(0.0)
        })
    }

    /// The value to store with one shard's grant replaced; `None` if the sum of the grants would
    /// exceed the limit.
    pub fn with_grant(&self, shard: usize, grant: QuotaAmount) -> Option<Value> {
        let mut grants = self.grants.clone();
        grants.insert(shard, grant);
        for resource in QuotaResource::ALL {
            let sum: f64 = grants.values().map(|grant| grant.get(resource)).sum();
            let limit = self.limit.get(resource);
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

    /// The target grant of a shard, given what it uses, its pending demand and the other shards'
    /// unmet demand.
    ///
    /// More urgent demand comes first, and demand of equal rank shares what is not granted. A
    /// shard gives back what it neither uses nor needs for tasks at least as urgent as the
    /// others'. A shard that needs more requests at least one of `shards` equal shares, as far
    /// as that is ungranted: a change for every new job would use up the writes that admissions
    /// need.
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
        QuotaAmount::from_fn(|resource| {
            let limit = self.limit.get(resource);
            if !limit.is_finite() {
                return stored.get(resource);
            }
            let demand_of = |list: &[RankedDemand]| ResourceGrant::demand_of(list, resource);
            ResourceGrant {
                limit,
                equal_share: limit / shards.max(1) as f64,
                stored: stored.get(resource),
                used: used.get(resource),
                ungranted: ungranted.get(resource),
            }
            .target(&demand_of(pending), &demand_of(unmet_elsewhere))
        })
    }
}
