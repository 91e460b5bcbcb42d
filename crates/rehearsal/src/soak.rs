//! Runs of a soak: one for each seed, in the order of the seeds, several at the same time if the
//! options allow it.

use crate::options::SoakOptions;
use crate::report::SoakReport;
use crate::run::{Run, RunError};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::thread;
use thiserror::Error;

/// Number of tries to execute a run. The second try uses other addresses, since those of the first
/// may be taken by another process.
const SETUP_TRIES: usize = 2;

/// Why a soak ended early.
#[derive(Debug, Error)]
pub enum SoakError {
    /// The user interrupted it.
    #[error("interrupted")]
    Interrupted,
    /// A run could not be executed.
    #[error("seed {seed}: {source}")]
    Run {
        /// Seed of the run.
        seed: u64,
        /// The cause.
        source: RunError,
    },
}

/// Executes all runs, and calls `on_run` after each. All started processes have ended when this
/// returns.
///
/// # Errors
///
/// If `stop` is set, or a run cannot be executed.
pub fn run_seeds(
    options: &SoakOptions,
    stop: &AtomicBool,
    on_run: impl Fn(&crate::report::RunReport) + Sync,
) -> Result<SoakReport, SoakError> {
    let next_run = AtomicU64::new(0);
    let next_address_slot = AtomicUsize::new(0);
    let runs = Mutex::new(BTreeMap::new());
    let error: Mutex<Option<SoakError>> = Mutex::new(None);
    let aborted = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..options.parallel {
            scope.spawn(|| {
                loop {
                    let number = next_run.fetch_add(1, Ordering::Relaxed);
                    if number >= options.seeds || aborted.load(Ordering::Relaxed) {
                        return;
                    }
                    let seed = options.first_seed + number;
                    match run_seed(options, seed, &next_address_slot, stop) {
                        Ok(run) => {
                            on_run(&run);
                            if let Ok(mut runs) = runs.lock() {
                                runs.insert(seed, run);
                            }
                        }
                        Err(failure) => {
                            aborted.store(true, Ordering::Relaxed);
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

fn run_seed(
    options: &SoakOptions,
    seed: u64,
    next_address_slot: &AtomicUsize,
    stop: &AtomicBool,
) -> Result<crate::report::RunReport, SoakError> {
    // Addresses from a block given as an option are not replaced by others.
    let tries = if options.block.is_some() { 1 } else { SETUP_TRIES };
    for try_number in 1.. {
        let address_slot = next_address_slot.fetch_add(1, Ordering::Relaxed);
        match Run::execute(options, seed, address_slot, stop) {
            Ok(run) => return Ok(run),
            Err(RunError::Interrupted) => break,
            Err(source) if try_number >= tries => return Err(SoakError::Run { seed, source }),
            Err(_) => {}
        }
    }
    Err(SoakError::Interrupted)
}
