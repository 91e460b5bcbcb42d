//! Options of a soak, checked.

use std::path::PathBuf;
use thiserror::Error;

/// Most members of a run.
pub const MAX_CONTROLLERS: usize = 9;
/// Most workers of a run.
pub const MAX_WORKERS: usize = 600;
/// Most seconds of faults in a run.
const MAX_SECONDS: u64 = 3_600;
/// Most runs beside each other: nine members each stay far below 300 processes.
pub const MAX_PARALLEL: usize = 16;

/// A soak: a number of runs, each with its seed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoakOptions {
    /// Runs.
    pub seeds: u64,
    /// Seed of the first one; the others follow it.
    pub first_seed: u64,
    /// Seconds of faults in each run.
    pub seconds: u64,
    /// Workers at the start of each run; drawn by the seed if not given.
    pub workers: Option<usize>,
    /// Controllers of each run.
    pub controllers: usize,
    /// Runs beside each other.
    pub parallel: usize,
    /// Second byte of the loopback addresses that are used; by the process if not given.
    pub block: Option<u8>,
    /// The service's program.
    pub binary: PathBuf,
    /// Where the report is written as JSON.
    pub report: Option<PathBuf>,
    /// Where the logs of runs that break a rule are kept.
    pub keep: Option<PathBuf>,
}

/// Why the options of a soak have no meaning.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BadOption {
    /// A number is 0 or too large.
    #[error("--{option}: must be from 1 to {max}")]
    OutOfRange {
        /// Name of the option.
        option: &'static str,
        /// The largest value that is allowed.
        max: u64,
    },
    /// The seed of the last run does not fit.
    #[error("--first-seed: the last seed is too large")]
    LastSeedTooLarge,
    /// The service's program does not exist.
    #[error("--binary: {} is not there; build it first", .0.display())]
    NoBinary(PathBuf),
}

impl SoakOptions {
    /// Checks what can be checked before anything is started.
    ///
    /// # Errors
    ///
    /// The first option that is wrong.
    pub fn check(&self) -> Result<(), BadOption> {
        let within = |option, value: u64, max: u64| match (1..=max).contains(&value) {
            true => Ok(()),
            false => Err(BadOption::OutOfRange { option, max }),
        };
        within("seeds", self.seeds, 100_000)?;
        within("seconds", self.seconds, MAX_SECONDS)?;
        within("controllers", self.controllers as u64, MAX_CONTROLLERS as u64)?;
        within("parallel", self.parallel as u64, MAX_PARALLEL as u64)?;
        if let Some(workers) = self.workers {
            within("workers", workers as u64, MAX_WORKERS as u64)?;
        }
        if self.first_seed.checked_add(self.seeds).is_none() {
            return Err(BadOption::LastSeedTooLarge);
        }
        if !self.binary.is_file() {
            return Err(BadOption::NoBinary(self.binary.clone()));
        }
        Ok(())
    }
}
