//! Budget of preemptions for teams' guarantees.

use crate::controller::quota::Quotas;
use crate::controller::quota::amount::QuotaAmount;
use crate::resources::TOLERANCE;
use std::collections::BTreeMap;

/// CPUs that this controller may preempt for guarantees until the budget is recomputed. It is
/// only this controller's share: if every controller preempted the whole amount, it would be
/// preempted several times over, and the teams that lost too much would then preempt it back.
#[derive(Debug, Default)]
pub(super) struct GuaranteeBudget {
    /// CPUs by which a team exceeds its guarantee and that may still be preempted, by team.
    preemptible_cpus: BTreeMap<String, f64>,
    /// CPUs that a team may still claim by preemption within its guarantee, by team.
    claimable_cpus: BTreeMap<String, f64>,
}

impl GuaranteeBudget {
    /// Recomputes the budget from the teams' usage, as one of `controllers` equal shares.
    pub(super) fn refresh(
        &mut self,
        quotas: &Quotas,
        usage: &BTreeMap<String, QuotaAmount>,
        controllers: f64,
    ) {
        for (team, quota) in quotas.teams() {
            let used = usage.get(team).map_or(0.0, |used| used.cpus);
            let beyond = (used - quota.guarantee().cpus).max(0.0);
            let lacking = (quota.guarantee().cpus - used).max(0.0);
            self.preemptible_cpus.insert(team.clone(), beyond / controllers);
            self.claimable_cpus.insert(team.clone(), lacking / controllers);
        }
    }

    /// Teams with tasks beyond their guarantee that may still be preempted.
    pub(super) fn preemptible_teams(&self) -> Vec<&str> {
        let preemptible = self.preemptible_cpus.iter().filter(|(_, left)| **left > TOLERANCE);
        preemptible.map(|(team, _)| team.as_str()).collect()
    }

    /// Whether a team may claim no more CPUs within its guarantee.
    pub(super) fn claims_exhausted(&self, team: &str) -> bool {
        self.claimable_cpus.get(team).is_none_or(|left| *left <= 0.0)
    }

    /// Deducts CPUs that a team claimed within its guarantee.
    pub(super) fn deduct_claim(&mut self, team: &str, cpus: f64) {
        if let Some(left) = self.claimable_cpus.get_mut(team) {
            *left -= cpus;
        }
    }

    /// Deducts the CPUs of a preempted task from what may be preempted of its team.
    pub(super) fn deduct_preemption(&mut self, team: &str, cpus: f64) {
        if let Some(left) = self.preemptible_cpus.get_mut(team) {
            *left -= cpus;
        }
    }
}
