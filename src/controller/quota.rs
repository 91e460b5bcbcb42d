//! Teams' limits, shared out among the seats.
//!
//! `quota/TEAM` holds each seat's grant; the sum never passes the limit, since
//! it changes only by compare-and-set. A seat spends only its own grant, so no
//! two seats together can pass the limit, whatever they know of each other.

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
    /// Grants by seat, as stored.
    pub grants: BTreeMap<usize, Amount>,
    /// Version of the key, 0 for none.
    pub mark: u64,
    /// A change is under way.
    pub busy: bool,
    /// Grants of own seats that a change under way may already have lowered.
    pub lowered: BTreeMap<usize, Amount>,
}

impl TeamQuota {
    /// A team with nothing granted.
    pub fn new(team: &Team) -> TeamQuota {
        let limit = |x: f64| if x > 0.0 { x } else { f64::INFINITY };
        TeamQuota {
            limit: [limit(team.cpus_max), limit(team.gpus_max)],
            guarantee: [team.cpus, team.gpus],
            grants: BTreeMap::new(),
            mark: 0,
            busy: false,
            lowered: BTreeMap::new(),
        }
    }

    /// True if the team has any limit, and so a key.
    pub fn limited(&self) -> bool {
        self.limit.iter().any(|l| l.is_finite())
    }

    /// Takes in the stored grants.
    pub fn see(&mut self, value: &Value, mark: u64) {
        self.mark = mark;
        // Whatever was under way is conditional on the older version and dead.
        self.lowered.clear();
        self.grants.clear();
        let Value::Object(map) = value else {
            return;
        };
        for (seat, amounts) in map {
            let (Ok(seat), Some(list)) = (seat.parse::<usize>(), amounts.as_array()) else {
                continue;
            };
            let at = |i: usize| list.get(i).and_then(Value::as_f64).unwrap_or(0.0).max(0.0);
            self.grants.insert(seat, [at(0), at(1)]);
        }
    }

    /// What a seat may use now. While a lowering is under way it may already
    /// have been applied and the rest given to another seat.
    pub fn grant(&self, seat: usize) -> Amount {
        let stored = self.grants.get(&seat).copied().unwrap_or_default();
        let lowered = self.lowered.get(&seat).copied().unwrap_or(stored);
        [0, 1].map(|r| {
            if self.limit[r].is_finite() { stored[r].min(lowered[r]) } else { f64::INFINITY }
        })
    }

    /// What no seat has been granted.
    pub fn free(&self) -> Amount {
        [0, 1].map(|r| {
            let sum: f64 = self.grants.values().map(|g| g[r]).sum();
            (self.limit[r] - sum).max(0.0)
        })
    }

    /// The stored form with one seat's grant replaced, or `None` if the sum
    /// would pass the limit.
    pub fn with_grant(&self, seat: usize, grant: Amount) -> Option<Value> {
        let mut grants = self.grants.clone();
        grants.insert(seat, grant);
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

    /// The grant that a seat should have: what it uses and needs, as far as
    /// nobody else has it; what it neither uses nor needs goes back when
    /// others are in need, and in need all get equal parts.
    pub fn wanted(&self, seat: usize, used: Amount, need: Amount, others: &[Amount]) -> Amount {
        let now = self.grants.get(&seat).copied().unwrap_or_default();
        let free = self.free();
        [0, 1].map(|r| {
            if !self.limit[r].is_finite() {
                return now[r];
            }
            let wish = used[r] + need[r];
            let needy = others.iter().filter(|o| o[r] > EPS).count();
            if wish > now[r] + EPS {
                let part = if needy > 0 { free[r] / (needy + 1) as f64 } else { free[r] };
                // A part too small for one task would help nobody.
                let part = if part < 1.0 { free[r] } else { part };
                let raised = now[r] + (wish - now[r]).min(part);
                let equal = self.limit[r] / (needy + 1) as f64;
                if needy > 0 && free[r] < EPS && now[r] > equal.max(used[r]) + EPS {
                    return equal.max(used[r]);
                }
                raised.max(now[r])
            } else if needy > 0 && now[r] > wish + EPS {
                wish.max(used[r])
            } else {
                now[r]
            }
        })
    }
}
