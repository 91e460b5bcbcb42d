//! How urgent a job is: by its own priority and deadline, and by those of the jobs that
//! depend on it.

use super::Job;
use crate::time::Micros;
use crate::wire::Priority;

/// A rank of service with a deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgency {
    /// Lower is more urgent.
    pub rank: u32,
    /// Time of day of the deadline.
    pub due: Micros,
}

impl Urgency {
    /// Less urgent than any job.
    pub(crate) const LEAST: Urgency = Urgency { rank: u32::MAX, due: Micros::FAR };

    /// Of both the more urgent rank and the earlier deadline.
    pub fn max(self, other: Urgency) -> Urgency {
        Urgency { rank: self.rank.min(other.rank), due: self.due.min(other.due) }
    }
}

impl Job {
    /// Its own urgency with that of the jobs that depend on it.
    pub fn urgency(&self) -> Urgency {
        Urgency { rank: self.rank(), due: self.due() }
    }

    /// Rank of service: lower is more urgent.
    pub fn rank(&self) -> u32 {
        self.inherited_urgency.unwrap_or(Urgency::LEAST).rank.min(self.own_rank())
    }

    fn own_rank(&self) -> u32 {
        match self.spec.priority {
            Priority::Low if self.raised_to_normal => 2,
            Priority::Production => 0,
            Priority::High => 1,
            Priority::Normal => 2,
            Priority::Low => 3,
        }
    }

    /// Time of day of the deadline, far away if there is none.
    pub fn due(&self) -> Micros {
        let own =
            self.spec.deadline_s.map(|seconds| self.accepted + Micros::from_secs_f64(seconds));
        let inherited = self.inherited_urgency.unwrap_or(Urgency::LEAST).due;
        own.map_or(inherited, |own| own.min(inherited))
    }
}
