//! Teams' limits and guarantees, and the shards' grants of the limits.
//!
//! Owns each team's quota with the stored grants of all shards. A shard uses only its own grant,
//! and grants change by compare-and-swap, so that the sum of a team's grants never exceeds its
//! limit, even if controllers cannot reach each other.

pub mod amount;
pub mod target_grant;
pub mod team_quota;

pub(crate) mod job_demand;
pub(crate) mod limit_preemption;
pub(crate) mod replies;
pub(crate) mod sharing;

use crate::config::Team;
use crate::peer::QuotaDemand;
use crate::resources::TOLERANCE;
use amount::{QuotaAmount, QuotaResource};
use serde_json::Value;
use std::collections::BTreeMap;
use team_quota::TeamQuota;

/// The quotas of all teams.
#[derive(Debug)]
pub(crate) struct Quotas {
    teams: BTreeMap<String, TeamQuota>,
    /// A list of the stored grants was requested or received.
    listed: bool,
    /// Unmet quota demand of the shards that this process serves, as last computed.
    local_demand: Vec<QuotaDemand>,
}

impl Quotas {
    /// Quotas with the teams' limits and guarantees, and no grants.
    pub(crate) fn new(teams: &[Team]) -> Quotas {
        let teams = teams.iter().map(|team| (team.name.clone(), TeamQuota::new(team))).collect();
        Quotas { teams, listed: false, local_demand: Vec::new() }
    }

    /// A team's quota; `None` if the settings do not name the team.
    pub(crate) fn team(&self, team: &str) -> Option<&TeamQuota> {
        self.teams.get(team)
    }

    /// All teams with their quotas, in order of their names.
    pub(crate) fn teams(&self) -> impl Iterator<Item = (&String, &TeamQuota)> {
        self.teams.iter()
    }

    /// The teams that have a limit. Only these have stored grants.
    fn limited_teams(&self) -> impl Iterator<Item = (&String, &TeamQuota)> {
        self.teams.iter().filter(|(_, quota)| quota.is_limited())
    }

    fn update_team(&mut self, team: &str, update: impl FnOnce(&mut TeamQuota)) {
        if let Some(quota) = self.teams.get_mut(team) {
            update(quota);
        }
    }

    /// Returns whether the stored grants must be listed; if so, marks the list as requested.
    fn start_listing(&mut self) -> bool {
        !std::mem::replace(&mut self.listed, true)
    }

    /// Whether a team stays within its guarantee with `more` on top of what it uses. `usage` is
    /// the usage of all teams.
    pub(crate) fn within_guarantee(
        &self,
        usage: &BTreeMap<String, QuotaAmount>,
        team: &str,
        more: QuotaAmount,
    ) -> bool {
        let Some(quota) = self.teams.get(team) else {
            return false;
        };
        let used = usage.get(team).copied().unwrap_or_default();
        QuotaResource::ALL.into_iter().all(|resource| {
            let (used, more) = (used.get(resource), more.get(resource));
            more < TOLERANCE || used + more <= quota.guarantee().get(resource) + TOLERANCE
        })
    }

    /// Has the stored grants listed again at the next maintenance, because changes may have been
    /// missed.
    pub(crate) fn resynchronize(&mut self) {
        self.listed = false;
    }

    /// Caches a team's grants as stored at a revision. Returns false, and changes nothing, if the
    /// revision is not newer than the cached one or the team is unknown.
    fn observe(&mut self, team: &str, value: &Value, revision: u64) -> bool {
        match self.teams.get_mut(team) {
            Some(quota) if revision > quota.revision() => {
                quota.observe(value, revision);
                true
            }
            _ => false,
        }
    }

    /// The most urgent rank with unmet demand for a team's limit on any shard; `None` if all
    /// demand is met. `peers_demand` is the unmet demand of the live peers' shards.
    pub(crate) fn most_urgent_unmet_rank<'a>(
        &'a self,
        team: &str,
        peers_demand: impl Iterator<Item = &'a QuotaDemand>,
    ) -> Option<u32> {
        if !self.teams.get(team).is_some_and(TeamQuota::is_limited) {
            return None;
        }
        peers_demand
            .chain(&self.local_demand)
            .filter(|demand| demand.team == team)
            .map(|demand| demand.rank)
            .min()
    }
}
