//! Urgency of a job, from its own priority and deadline and from those of the jobs that depend
//! on it.

use super::Job;
use crate::time::Micros;
use crate::wire::Priority;

/// Rank and deadline that determine in which order jobs are scheduled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgency {
    /// Scheduling rank; lower is more urgent.
    pub rank: u32,
    /// Wall-clock time of the deadline; [`Micros::FAR_FUTURE`] if there is none.
    pub due: Micros,
}

impl Urgency {
    /// Lowest urgency, without a deadline. No job is less urgent.
    pub(crate) const LEAST: Urgency = Urgency { rank: u32::MAX, due: Micros::FAR_FUTURE };

    /// Combines the more urgent rank and the earlier deadline of the two.
    pub fn combine(self, other: Urgency) -> Urgency {
        Urgency { rank: self.rank.min(other.rank), due: self.due.min(other.due) }
    }
}

impl Job {
    /// The job's urgency, including that of the jobs that depend on it.
    pub fn urgency(&self) -> Urgency {
        Urgency { rank: self.rank(), due: self.due() }
    }

    /// Scheduling rank, including the inherited one; lower is more urgent.
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

    /// Wall-clock time of the deadline, including the inherited one; [`Micros::FAR_FUTURE`] if
    /// there is none.
    pub fn due(&self) -> Micros {
        let own =
            self.spec.deadline_s.map(|seconds| self.accepted + Micros::from_secs_f64(seconds));
        let inherited = self.inherited_urgency.unwrap_or(Urgency::LEAST).due;
        own.map_or(inherited, |own| own.min(inherited))
    }
}
