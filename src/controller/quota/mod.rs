//! Teams' limits and guarantees, and how the shards share them.
//!
//! Owns each team's quota with the grants of all shards, as stored. A shard spends its own
//! grant only, and grants change by compare-and-swap: the sum of a team's grants must never
//! pass its limit, whatever the controllers know of each other.

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
    /// The stored grants have been listed, or are being listed.
    listed: bool,
    /// Unmet quota demand of the shards that this process serves, as last computed.
    own_demand: Vec<QuotaDemand>,
}

impl Quotas {
    /// The teams' limits, with nothing granted.
    pub(crate) fn new(teams: &[Team]) -> Quotas {
        let teams = teams.iter().map(|team| (team.name.clone(), TeamQuota::new(team))).collect();
        Quotas { teams, listed: false, own_demand: Vec::new() }
    }

    /// A team's quota; `None` if the settings do not name the team.
    pub(crate) fn team(&self, team: &str) -> Option<&TeamQuota> {
        self.teams.get(team)
    }

    /// All teams by name.
    pub(crate) fn teams(&self) -> impl Iterator<Item = (&String, &TeamQuota)> {
        self.teams.iter()
    }

    /// The teams that have any limit, and so stored grants.
    fn limited_teams(&self) -> impl Iterator<Item = (&String, &TeamQuota)> {
        self.teams.iter().filter(|(_, quota)| quota.is_limited())
    }

    fn change_team(&mut self, team: &str, change: impl FnOnce(&mut TeamQuota)) {
        if let Some(quota) = self.teams.get_mut(team) {
            change(quota);
        }
    }

    /// Whether the stored grants are to be listed; if so, that counts as begun.
    fn start_listing(&mut self) -> bool {
        !std::mem::replace(&mut self.listed, true)
    }

    /// Whether a team that uses `usage` stays within its guarantee with so much more.
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
            let (used, more) = (used.of(resource), more.of(resource));
            more < TOLERANCE || used + more <= quota.guarantee().of(resource) + TOLERANCE
        })
    }

    /// Lists the stored grants anew at the next maintenance: changes may have been missed.
    pub(crate) fn resynchronize(&mut self) {
        self.listed = false;
    }

    /// Takes in a team's grants as stored at a revision; false if the revision is not newer
    /// than what is known.
    fn observe(&mut self, team: &str, value: &Value, revision: u64) -> bool {
        match self.teams.get_mut(team) {
            Some(quota) if revision > quota.revision() => {
                quota.observe(value, revision);
                true
            }
            _ => false,
        }
    }

    /// The most urgent rank whose tasks lack some of a team's limit on any shard;
    /// `peers_demand` is what the live peers' shards lack.
    pub(crate) fn most_urgent_unmet_rank<'a>(
        &'a self,
        team: &str,
        peers_demand: impl Iterator<Item = &'a QuotaDemand>,
    ) -> Option<u32> {
        if !self.teams.get(team).is_some_and(TeamQuota::is_limited) {
            return None;
        }
        peers_demand
            .chain(&self.own_demand)
            .filter(|demand| demand.team == team)
            .map(|demand| demand.rank)
            .min()
    }
}
