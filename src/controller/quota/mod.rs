//! Teams' limits and guarantees, and how the shards share them.
//!
//! Owns each team's quota with the grants of all shards, as stored. A shard spends its own
//! grant only, and grants change by compare-and-swap.

pub mod team_quota;

pub(crate) mod sharing;

use crate::config::Team;
use crate::peer::QuotaDemand;
use std::collections::BTreeMap;
use team_quota::TeamQuota;

/// The quotas of all teams.
#[derive(Debug)]
pub(crate) struct Quotas {
    pub(crate) teams: BTreeMap<String, TeamQuota>,
    /// They have been read, or are being read.
    pub(crate) is_read: bool,
    /// What the shards of this process lacked when last computed.
    pub(crate) own_demand: Vec<QuotaDemand>,
}

impl Quotas {
    /// The teams' limits, with nothing granted.
    pub(crate) fn new(teams: &[Team]) -> Quotas {
        let teams = teams.iter().map(|team| (team.name.clone(), TeamQuota::new(team))).collect();
        Quotas { teams, is_read: false, own_demand: Vec::new() }
    }
}
