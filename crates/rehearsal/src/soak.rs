//! A soak: runs with one seed after the other, some beside each other.

use crate::options::SoakOptions;
use crate::report::SoakReport;
use crate::world::{RunError, World};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::thread;
use thiserror::Error;

/// Tries of a run whose addresses are somebody else's.
const SETUP_TRIES: usize = 2;

/// Why a soak ended early.
#[derive(Debug, Error)]
pub enum SoakError {
    /// It was requested to stop.
    #[error("interrupted")]
    Interrupted,
    /// A run could not be played.
    #[error("seed {seed}: {source}")]
    Run {
        /// Seed of the run.
        seed: u64,
        /// Why.
        source: RunError,
    },
}

/// Plays all runs; `on_run` is called with each as it is over. All processes that were
/// started have ended when this returns.
///
/// # Errors
///
/// If `stop` is set, or a run cannot be set up.
pub fn soak(
    options: &SoakOptions,
    stop: &AtomicBool,
    on_run: impl Fn(&crate::report::RunReport) + Sync,
) -> Result<SoakReport, SoakError> {
    let next = AtomicU64::new(0);
    let run_numbers = AtomicUsize::new(0);
    let runs = Mutex::new(BTreeMap::new());
    let error: Mutex<Option<SoakError>> = Mutex::new(None);
    let halted = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..options.parallel {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= options.seeds || halted.load(Ordering::Relaxed) {
                        return;
                    }
                    let seed = options.first_seed + number;
                    match play(options, seed, &run_numbers, stop) {
                        Ok(run) => {
                            on_run(&run);
                            if let Ok(mut runs) = runs.lock() {
                                runs.insert(seed, run);
                            }
                        }
                        Err(failure) => {
                            halted.store(true, Ordering::Relaxed);
                            if let Ok(mut error) = error.lock() {
                                error.get_or_insert(failure);
                            }
                        }
                    }
                }
            });
        }
    });
    if let Some(error) = error.into_inner().ok().flatten() {
        return Err(error);
    }
    let runs = runs.into_inner().unwrap_or_default();
    Ok(SoakReport { runs: runs.into_values().collect() })
}

fn play(
    options: &SoakOptions,
    seed: u64,
    run_numbers: &AtomicUsize,
    stop: &AtomicBool,
) -> Result<crate::report::RunReport, SoakError> {
    // Addresses that were given as options are not exchanged for others.
    let tries = if options.block.is_some() { 1 } else { SETUP_TRIES };
    for try_number in 1.. {
        let run_number = run_numbers.fetch_add(1, Ordering::Relaxed);
        match World::play(options, seed, run_number, stop) {
            Ok(run) => return Ok(run),
            Err(RunError::Interrupted) => break,
            Err(source) if try_number >= tries => return Err(SoakError::Run { seed, source }),
            Err(_) => {}
        }
    }
    Err(SoakError::Interrupted)
}
