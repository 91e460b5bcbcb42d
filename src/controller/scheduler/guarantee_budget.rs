//! How much may be preempted for the sake of teams' guarantees.

use crate::controller::quota::Quotas;
use crate::controller::quota::amount::QuotaAmount;
use crate::resources::TOLERANCE;
use std::collections::BTreeMap;

/// What this controller may preempt for guarantees until the budget is computed anew. It is
/// this controller's share only: all controllers preempting the whole of it would preempt it
/// several times over, and then the other way round.
#[derive(Debug, Default)]
pub(super) struct GuaranteeBudget {
    /// CPUs that may still be preempted of a team's tasks beyond its guarantee.
    preemptible_cpus: BTreeMap<String, f64>,
    /// CPUs that a team may still claim by preemption within its guarantee.
    claimable_cpus: BTreeMap<String, f64>,
}

impl GuaranteeBudget {
    /// Computes the budget of one of so many controllers from what teams use.
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

    /// Teams of whose tasks beyond their guarantee some may still be preempted.
    pub(super) fn preemptible_teams(&self) -> Vec<&str> {
        let preemptible = self.preemptible_cpus.iter().filter(|(_, left)| **left > TOLERANCE);
        preemptible.map(|(team, _)| team.as_str()).collect()
    }

    /// Whether a team may claim nothing more within its guarantee.
    pub(super) fn claims_exhausted(&self, team: &str) -> bool {
        self.claimable_cpus.get(team).is_none_or(|left| *left <= 0.0)
    }

    /// A team claimed so many CPUs within its guarantee.
    pub(super) fn note_claim(&mut self, team: &str, cpus: f64) {
        if let Some(left) = self.claimable_cpus.get_mut(team) {
            *left -= cpus;
        }
    }

    /// A task of a team with so many CPUs is preempted.
    pub(super) fn note_preemption(&mut self, team: &str, cpus: f64) {
        if let Some(left) = self.preemptible_cpus.get_mut(team) {
            *left -= cpus;
        }
    }
}
