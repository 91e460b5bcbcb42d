//! How much of a team's limit a shard should be granted, and what its waiting tasks lack.

use crate::controller::quota::amount::{QuotaAmount, QuotaResource};
use crate::resources::TOLERANCE;

/// A share of what is ungranted that is smaller than this many CPUs or GPUs would hold no
/// task and help nobody.
const MIN_SHARE: f64 = 1.0;

/// What tasks of one rank need.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RankedDemand {
    /// Rank: lower is more urgent.
    pub rank: u32,
    /// CPUs and GPUs.
    pub amount: QuotaAmount,
}

/// What of some demand is left once `available` has gone to the most urgent of it.
pub fn unmet_demand(available: QuotaAmount, pending: &[RankedDemand]) -> Vec<RankedDemand> {
    let mut available = available;
    let mut pending = pending.to_vec();
    pending.sort_by_key(|demand| demand.rank);
    let mut unmet = Vec::new();
    for demand in pending {
        let met = QuotaAmount::each(|resource| {
            demand.amount.of(resource).min(available.of(resource).max(0.0))
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

/// What tasks of one rank need of one resource.
#[derive(Debug, Clone, Copy)]
pub(super) struct ResourceDemand {
    rank: u32,
    amount: f64,
}

/// One resource of a shard's grant, with what its target depends on.
#[derive(Debug, Clone, Copy)]
pub(super) struct ResourceGrant {
    /// The team's limit, finite.
    pub(super) limit: f64,
    /// The limit divided by the number of shards.
    pub(super) equal_share: f64,
    /// What the shard is granted, as stored.
    pub(super) stored: f64,
    /// What the shard's tasks use.
    pub(super) used: f64,
    /// What no shard is granted.
    pub(super) ungranted: f64,
}

impl ResourceGrant {
    /// The demand that is for this resource at all.
    pub(super) fn demand_of(list: &[RankedDemand], resource: QuotaResource) -> Vec<ResourceDemand> {
        list.iter()
            .map(|demand| ResourceDemand { rank: demand.rank, amount: demand.amount.of(resource) })
            .filter(|demand| demand.amount > TOLERANCE)
            .collect()
    }

    /// What the shard should be granted, given what waits on it and what others lack.
    pub(super) fn target(
        &self,
        pending: &[ResourceDemand],
        unmet_elsewhere: &[ResourceDemand],
    ) -> f64 {
        let lacking_elsewhere: f64 = unmet_elsewhere.iter().map(|demand| demand.amount).sum();
        // What is ungranted does for all: nothing need be kept or given back.
        let plenty = self.ungranted - lacking_elsewhere > TOLERANCE;
        let competing_rank =
            unmet_elsewhere.iter().map(|demand| demand.rank).min().filter(|_| !plenty);
        let counted = |demand: &&ResourceDemand| {
            competing_rank.is_none_or(|competing| demand.rank <= competing)
        };
        let own_rank = pending.iter().filter(counted).map(|demand| demand.rank).min();
        let needed =
            self.used + pending.iter().filter(counted).map(|demand| demand.amount).sum::<f64>();
        let equals = unmet_elsewhere.iter().filter(|demand| Some(demand.rank) == own_rank).count();
        if needed > self.stored + TOLERANCE {
            match plenty {
                true => self.raised_from_plenty(needed, lacking_elsewhere),
                false => self.raised_in_competition(needed, equals),
            }
        } else if competing_rank.is_some() {
            needed.max(self.used).min(self.stored)
        } else {
            self.stored
        }
    }

    /// More than is needed is taken where it is free: at least an equal share.
    fn raised_from_plenty(&self, needed: f64, lacking_elsewhere: f64) -> f64 {
        let requested = needed.max(self.equal_share) - self.stored;
        self.stored + requested.min(self.ungranted - lacking_elsewhere)
    }

    /// Shares what is ungranted with `equals` other demands that are as urgent. Where nothing
    /// is, and this shard has more than an equal share of the limit, it gives the excess back.
    fn raised_in_competition(&self, needed: f64, equals: usize) -> f64 {
        let share = 1.0 / (equals + 1) as f64;
        let equal = self.limit * share;
        if equals > 0
            && self.ungranted < TOLERANCE
            && self.stored > equal.max(self.used) + TOLERANCE
        {
            return equal.max(self.used);
        }
        let shared = self.ungranted * share;
        let available = if shared < MIN_SHARE { self.ungranted } else { shared };
        self.stored + (needed - self.stored).min(available).max(0.0)
    }
}
