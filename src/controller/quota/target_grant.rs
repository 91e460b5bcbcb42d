//! The target of a shard's grant of a team's limit, and the shard's unmet demand.

use crate::controller::quota::amount::{QuotaAmount, QuotaResource};
use crate::resources::TOLERANCE;

/// An equal share of the ungranted amount that is smaller than this many CPUs or GPUs would fit
/// no task and help no shard.
const MIN_SHARE: f64 = 1.0;

/// Demand of the tasks of one rank.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RankedDemand {
    /// Rank of the tasks: lower is more urgent.
    pub rank: u32,
    /// CPUs and GPUs that the tasks need in total.
    pub amount: QuotaAmount,
}

/// The demand that remains after `available` is assigned to pending tasks, the most urgent first.
pub fn unmet_demand(available: QuotaAmount, pending: &[RankedDemand]) -> Vec<RankedDemand> {
    let mut available = available;
    let mut pending = pending.to_vec();
    pending.sort_by_key(|demand| demand.rank);
    let mut unmet = Vec::new();
    for demand in pending {
        let met = QuotaAmount::from_fn(|resource| {
            demand.amount.get(resource).min(available.get(resource).max(0.0))
        });
        available -= met;
        let mut amount = demand.amount;
        amount -= met;
        if amount.cpus > TOLERANCE || amount.gpus > TOLERANCE {
            unmet.push(RankedDemand { rank: demand.rank, amount });
        }
    }
    unmet
}

/// Demand of the tasks of one rank for one resource.
#[derive(Debug, Clone, Copy)]
pub(super) struct ResourceDemand {
    rank: u32,
    amount: f64,
}

/// A shard's grant of one resource, with the amounts that its target depends on.
#[derive(Debug, Clone, Copy)]
pub(super) struct ResourceGrant {
    /// The team's limit. It is finite.
    pub(super) limit: f64,
    /// The limit divided by the number of shards.
    pub(super) equal_share: f64,
    /// The shard's stored grant.
    pub(super) stored: f64,
    /// What the shard's tasks use.
    pub(super) used: f64,
    /// The part of the limit that no shard is granted.
    pub(super) ungranted: f64,
}

impl ResourceGrant {
    /// The entries of a demand list that need a resource.
    pub(super) fn demand_of(list: &[RankedDemand], resource: QuotaResource) -> Vec<ResourceDemand> {
        list.iter()
            .map(|demand| ResourceDemand { rank: demand.rank, amount: demand.amount.get(resource) })
            .filter(|demand| demand.amount > TOLERANCE)
            .collect()
    }

    /// The shard's target grant, given its pending demand and the other shards' unmet demand.
    pub(super) fn target(
        &self,
        pending: &[ResourceDemand],
        unmet_elsewhere: &[ResourceDemand],
    ) -> f64 {
        let lacking_elsewhere: f64 = unmet_elsewhere.iter().map(|demand| demand.amount).sum();
        // If more is ungranted than the other shards lack, no rank competes with this shard's
        // demand, and nothing has to be left or given back.
        let has_surplus = self.ungranted - lacking_elsewhere > TOLERANCE;
        let competing_rank =
            unmet_elsewhere.iter().map(|demand| demand.rank).min().filter(|_| !has_surplus);
        let counted = |demand: &&ResourceDemand| {
            competing_rank.is_none_or(|competing| demand.rank <= competing)
        };
        let pending_rank = pending.iter().filter(counted).map(|demand| demand.rank).min();
        let needed =
            self.used + pending.iter().filter(counted).map(|demand| demand.amount).sum::<f64>();
        let equal_rank_demands =
            unmet_elsewhere.iter().filter(|demand| Some(demand.rank) == pending_rank).count();
        if needed > self.stored + TOLERANCE {
            match has_surplus {
                true => self.raised_from_surplus(needed, lacking_elsewhere),
                false => self.raised_without_surplus(needed, equal_rank_demands),
            }
        } else if competing_rank.is_some() {
            needed.max(self.used).min(self.stored)
        } else {
            self.stored
        }
    }

    /// Raises the grant to what is needed, but at least to an equal share of the limit, as far as
    /// the other shards do not lack it.
    fn raised_from_surplus(&self, needed: f64, lacking_elsewhere: f64) -> f64 {
        let requested = needed.max(self.equal_share) - self.stored;
        self.stored + requested.min(self.ungranted - lacking_elsewhere)
    }

    /// Raises the grant by at most an equal share of the ungranted amount, which is divided
    /// between this shard and `equal_rank_demands` demands of the same rank elsewhere. If that
    /// share is below [`MIN_SHARE`], the whole ungranted amount is available. If nothing is
    /// ungranted and this shard has more than an equal share of the limit, it gives back the
    /// excess that it does not use.
    fn raised_without_surplus(&self, needed: f64, equal_rank_demands: usize) -> f64 {
        let share = 1.0 / (equal_rank_demands + 1) as f64;
        let limit_share = self.limit * share;
        if equal_rank_demands > 0
            && self.ungranted < TOLERANCE
            && self.stored > limit_share.max(self.used) + TOLERANCE
        {
            return limit_share.max(self.used);
        }
        let shared = self.ungranted * share;
        let available = if shared < MIN_SHARE { self.ungranted } else { shared };
        self.stored + (needed - self.stored).min(available).max(0.0)
    }
}
