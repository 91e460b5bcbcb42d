//! Moving unused grants of teams' limits to the seats that need them.

use super::quota::{self, Amount, EPS};
use super::{Controller, Op, seat};
use crate::peer::QuotaNeed;
use crate::state::{StateCall, StateReply};
use crate::wire::{Condition, Txn, Write};
use serde_json::Value;

impl Controller {
    /// CPUs and GPUs that a seat's waiting tasks of a team would take.
    fn seat_need(&self, s: usize, team: &str) -> Amount {
        let mut need = [0.0, 0.0];
        for j in self.jobs.values().filter(|j| j.seat == s && j.spec.team == team) {
            if j.cancelled || j.over {
                continue;
            }
            let n = f64::from(j.pending());
            need[0] += n * j.spec.cpus;
            need[1] += n * j.spec.gpus;
        }
        need
    }

    /// What own seats lack, told to the peers that may have it unused.
    pub(super) fn quota_needs(&self) -> Vec<QuotaNeed> {
        let mut list = Vec::new();
        for (team, q) in self.quotas.iter().filter(|(_, q)| q.limited()) {
            for s in (0..self.seats.len()).filter(|s| self.runs(*s)) {
                let (need, used) = (self.seat_need(s, team), self.seat_usage(s, team));
                let lacks = (used[0] + need[0] - q.grant(s)[0]).max(0.0);
                if need[0] > EPS && lacks > EPS {
                    list.push(QuotaNeed {
                        seat: s as u32,
                        team: team.clone(),
                        cpus: lacks,
                        used: used[0],
                    });
                }
            }
        }
        list
    }

    pub(super) fn tend_quotas(&mut self) {
        if !self.acting() {
            return;
        }
        if !self.quotas_read {
            self.quotas_read = true;
            let call = StateCall::List { prefix: "quota/".into(), after: None };
            return self.state(Op::QuotaList, call);
        }
        let own = self.quota_needs();
        let teams: Vec<String> =
            self.quotas.iter().filter(|(_, q)| q.limited()).map(|(t, _)| t.clone()).collect();
        for team in teams {
            for s in 0..self.seats.len() {
                self.tend_quota(&team, s, &own);
            }
        }
    }

    fn tend_quota(&mut self, team: &str, s: usize, own: &[QuotaNeed]) {
        if !self.runs(s) {
            return;
        }
        let mark = self.seats[s].mine.as_ref().map_or(0, |m| m.mark);
        let (need, used) = (self.seat_need(s, team), self.seat_usage(s, team));
        let others: Vec<Amount> = self
            .peers
            .iter()
            .filter(|(n, _)| self.peer_alive(**n))
            .flat_map(|(_, p)| &p.needs)
            .chain(own)
            .filter(|n| n.team == team && n.seat as usize != s)
            .map(|n| [n.cpus, 0.0])
            .collect();
        let Some(q) = self.quotas.get_mut(team) else {
            return;
        };
        if q.busy {
            return;
        }
        let now = q.grants.get(&s).copied().unwrap_or_default();
        let wanted = q.wanted(s, used, need, &others);
        if (0..2).all(|r| (wanted[r] - now[r]).abs() < EPS) {
            return;
        }
        let Some(value) = q.with_grant(s, wanted) else {
            return;
        };
        q.busy = true;
        // From here on the lowering may be applied at any time.
        q.lowered.insert(s, wanted);
        let key = quota::key(team);
        let txn = Txn {
            conditions: vec![
                Condition { key: key.clone(), version: q.mark },
                Condition { key: seat::hold_key(s), version: mark },
            ],
            writes: vec![Write::Put { key, value: value.clone(), lease: None }],
        };
        let op = Op::QuotaWrite { team: team.to_string(), value };
        self.state(op, StateCall::Txn(txn));
    }

    /// Takes in a team's grants as stored at a revision.
    pub(super) fn see_quota(&mut self, team: &str, value: &Value, mark: u64) {
        if let Some(q) = self.quotas.get_mut(team)
            && mark > q.mark
        {
            q.see(value, mark);
            self.place_wanted = true;
        }
    }

    pub(super) fn quota_reply(&mut self, op: Op, reply: StateReply) {
        match (op, reply) {
            (Op::QuotaList, StateReply::Page { items, .. }) => {
                for item in items {
                    if let Some(team) = item.key.strip_prefix("quota/") {
                        self.see_quota(team, &item.value, item.version);
                    }
                }
            }
            (Op::QuotaList, _) => self.quotas_read = false,
            (Op::QuotaWrite { team, value }, StateReply::Applied(mark)) => {
                self.see_quota(&team, &value, mark);
                if let Some(q) = self.quotas.get_mut(&team) {
                    q.busy = false;
                }
            }
            (Op::QuotaWrite { team, .. }, StateReply::Refused) => {
                if let Some(q) = self.quotas.get_mut(&team) {
                    q.busy = false;
                }
            }
            // Perhaps applied: until what is stored is read, the lower grant
            // holds, and a late one fails once the key has changed again.
            (Op::QuotaWrite { team, .. }, _) => self.read_quota(&team),
            (Op::QuotaRead { team }, StateReply::Value(item)) => {
                if let Some(item) = item {
                    self.see_quota(&team, &item.value, item.version);
                }
                if let Some(q) = self.quotas.get_mut(&team) {
                    q.busy = false;
                }
            }
            (Op::QuotaRead { team }, _) => self.read_quota(&team),
            _ => {}
        }
    }

    fn read_quota(&mut self, team: &str) {
        let op = Op::QuotaRead { team: team.to_string() };
        self.state(op, StateCall::Get(quota::key(team)));
    }
}
