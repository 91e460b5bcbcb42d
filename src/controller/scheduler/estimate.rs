//! How far owners' estimates of run times are off.
//!
//! Estimates are often wrong, for a class mostly in one direction, so they are
//! corrected by what the class's completed tasks took.

use crate::controller::jobs::job::Job;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

/// Completed tasks of a class that are remembered; odd, so that there is a median.
const MAX_RATIOS: usize = 41;
/// Completed tasks before an estimate is corrected.
const MIN_RATIOS: usize = 5;
/// What an estimate may be multiplied by.
const CORRECTIONS: RangeInclusive<f64> = 0.1..=10.0;

/// What completed tasks took, as a multiple of their owners' estimates.
#[derive(Debug, Clone, Default)]
pub struct Estimates {
    classes: BTreeMap<String, Ratios>,
}

#[derive(Debug, Clone, Default)]
struct Ratios {
    /// Newest last.
    list: Vec<f64>,
    /// Their median within bounds, once there are a few: it is read far more often than
    /// it changes.
    correction: Option<f64>,
}

impl Estimates {
    /// A task of a class took `ratio` times its owner's estimate.
    pub fn learn(&mut self, class: &str, ratio: f64) {
        let ratios = self.classes.entry(class.to_string()).or_default();
        if ratios.list.len() >= MAX_RATIOS {
            ratios.list.remove(0);
        }
        ratios.list.push(ratio);
        if ratios.list.len() >= MIN_RATIOS {
            let mut sorted = ratios.list.clone();
            sorted.sort_by(f64::total_cmp);
            let median = sorted[sorted.len() / 2];
            ratios.correction = Some(median.clamp(*CORRECTIONS.start(), *CORRECTIONS.end()));
        }
    }

    /// Seconds that a job's tasks are expected to run: what its completed ones took, or its
    /// owner's estimate, corrected.
    pub fn expected_s(&self, job: &Job) -> f64 {
        match job.usual_run_time() {
            Some(run_time) => run_time.as_secs_f64(),
            None => job.spec.estimate_s * self.correction(&job.spec.class),
        }
    }

    /// What an owner's estimate of a class is to be multiplied by: the median,
    /// which a few slow machines do not move.
    pub fn correction(&self, class: &str) -> f64 {
        self.classes.get(class).and_then(|ratios| ratios.correction).unwrap_or(1.0)
    }
}
