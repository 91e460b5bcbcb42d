//! Corrected run time estimates.
//!
//! Users' estimates are often wrong, and within a class mostly in the same direction. They are
//! corrected by the run times of the class's completed tasks.

use crate::controller::jobs::job::Job;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

/// Number of completed tasks kept per class; odd, so that a full list has a median element.
const MAX_RATIOS: usize = 41;
/// Minimum number of completed tasks before estimates of a class are corrected.
const MIN_RATIOS: usize = 5;
/// Range of the factor by which estimates are corrected.
const CORRECTION_RANGE: RangeInclusive<f64> = 0.1..=10.0;

/// Ratios of actual to estimated run times of completed tasks, by class.
#[derive(Debug, Clone, Default)]
pub struct RunTimeEstimates {
    classes: BTreeMap<String, ClassRatios>,
}

#[derive(Debug, Clone, Default)]
struct ClassRatios {
    /// Ratios of the latest completed tasks, newest last.
    latest: Vec<f64>,
    /// Median of the ratios, clamped to [`CORRECTION_RANGE`]; `None` below [`MIN_RATIOS`]
    /// ratios. Cached, because it is read far more often than it changes.
    correction: Option<f64>,
}

impl RunTimeEstimates {
    /// Records that a task of a class ran `ratio` times as long as its user's estimate.
    pub fn record_ratio(&mut self, class: &str, ratio: f64) {
        let ratios = self.classes.entry(class.to_string()).or_default();
        if ratios.latest.len() >= MAX_RATIOS {
            ratios.latest.remove(0);
        }
        ratios.latest.push(ratio);
        if ratios.latest.len() >= MIN_RATIOS {
            let mut sorted = ratios.latest.clone();
            sorted.sort_by(f64::total_cmp);
            let median = sorted[sorted.len() / 2];
            ratios.correction =
                Some(median.clamp(*CORRECTION_RANGE.start(), *CORRECTION_RANGE.end()));
        }
    }

    /// Seconds that a job's tasks are expected to run: the median run time of its own completed
    /// tasks if there are enough of them, or else the user's estimate, corrected.
    pub fn expected_s(&self, job: &Job) -> f64 {
        match job.median_run_time() {
            Some(run_time) => run_time.as_secs_f64(),
            None => job.spec.estimate_s * self.correction(&job.spec.class),
        }
    }

    /// Factor by which users' estimates of a class are multiplied; 1 until enough tasks have
    /// completed. It is the median ratio, which a few slow machines do not move.
    pub fn correction(&self, class: &str) -> f64 {
        self.classes.get(class).and_then(|ratios| ratios.correction).unwrap_or(1.0)
    }
}
