//! How far owners' estimates are off.
//!
//! Estimates are often wrong, for a class mostly in one direction, so they are
//! corrected by what the class's completed tasks took.

use std::collections::BTreeMap;

/// Completed tasks of a class that are remembered.
const KEPT: usize = 41;
/// Completed tasks before an estimate is corrected.
const ENOUGH: usize = 5;

/// What completed tasks took, as a multiple of their owners' estimates.
#[derive(Debug, Clone, Default)]
pub struct Estimates {
    classes: BTreeMap<String, Ratios>,
}

#[derive(Debug, Clone, Default)]
struct Ratios {
    /// Newest last.
    list: Vec<f64>,
    /// What follows from them: asked for far more often than it changes.
    median: Option<f64>,
}

impl Estimates {
    /// A task of a class took `ratio` times its owner's estimate.
    pub fn learn(&mut self, class: &str, ratio: f64) {
        let ratios = self.classes.entry(class.to_string()).or_default();
        if ratios.list.len() >= KEPT {
            ratios.list.remove(0);
        }
        ratios.list.push(ratio);
        if ratios.list.len() >= ENOUGH {
            let mut sorted = ratios.list.clone();
            sorted.sort_by(f64::total_cmp);
            ratios.median = Some(sorted[sorted.len() / 2].clamp(0.1, 10.0));
        }
    }

    /// What an owner's estimate of a class is to be multiplied by: the median,
    /// which a few slow machines do not move.
    pub fn correction(&self, class: &str) -> f64 {
        self.classes.get(class).and_then(|r| r.median).unwrap_or(1.0)
    }
}
