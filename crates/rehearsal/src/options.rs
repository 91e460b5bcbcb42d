//! Options of a soak and their checks.

use std::path::PathBuf;
use thiserror::Error;

/// Largest number of controllers in a run.
pub const MAX_CONTROLLERS: usize = 9;
/// Largest number of workers at the start of a run.
pub const MAX_WORKERS: usize = 600;
/// Most seconds of faults in a run.
const MAX_SECONDS: u64 = 3_600;
/// Most runs at the same time. With nine controllers each, they stay far below 300 processes.
pub const MAX_PARALLEL: usize = 16;

/// Options of a soak: a number of runs, each with its own seed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoakOptions {
    /// Number of runs.
    pub seeds: u64,
    /// Seed of the first run; each further run uses the next number.
    pub first_seed: u64,
    /// Seconds during which faults begin in each run.
    pub seconds: u64,
    /// Workers at the start of each run; drawn from the run's seed if `None`.
    pub workers: Option<usize>,
    /// Controllers in each run.
    pub controllers: usize,
    /// Number of runs executed at the same time.
    pub parallel: usize,
    /// Second byte of the loopback addresses; derived from the process id if `None`.
    pub block: Option<u8>,
    /// Path of the service's binary.
    pub binary: PathBuf,
    /// File that the JSON report is written to, if any.
    pub report: Option<PathBuf>,
    /// Folder that keeps the logs and histories of failed runs, if any.
    pub keep: Option<PathBuf>,
}

/// Why the options of a soak are rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidOption {
    /// A number is 0 or too large.
    #[error("--{option}: {value} is out of range, it must be from 1 to {max}")]
    OutOfRange {
        /// Name of the option, without dashes.
        option: &'static str,
        /// The rejected value.
        value: u64,
        /// The largest value allowed.
        max: u64,
    },
    /// The first seed plus the number of runs exceeds 64 bits.
    #[error("--first-seed: {first_seed} plus {seeds} runs exceeds 64 bits")]
    LastSeedTooLarge {
        /// Seed of the first run.
        first_seed: u64,
        /// Number of runs.
        seeds: u64,
    },
    /// The service's binary does not exist, or is not a file.
    #[error("--binary: {} is not a file; build the service first", .0.display())]
    NoBinary(PathBuf),
}

impl SoakOptions {
    /// Checks the options before anything is started.
    ///
    /// # Errors
    ///
    /// The first invalid option.
    pub fn check(&self) -> Result<(), InvalidOption> {
        let check_range = |option, value: u64, max: u64| match (1..=max).contains(&value) {
            true => Ok(()),
            false => Err(InvalidOption::OutOfRange { option, value, max }),
        };
        check_range("seeds", self.seeds, 100_000)?;
        check_range("seconds", self.seconds, MAX_SECONDS)?;
        check_range("controllers", self.controllers as u64, MAX_CONTROLLERS as u64)?;
        check_range("parallel", self.parallel as u64, MAX_PARALLEL as u64)?;
        if let Some(workers) = self.workers {
            check_range("workers", workers as u64, MAX_WORKERS as u64)?;
        }
        if self.first_seed.checked_add(self.seeds).is_none() {
            let (first_seed, seeds) = (self.first_seed, self.seeds);
            return Err(InvalidOption::LastSeedTooLarge { first_seed, seeds });
        }
        if !self.binary.is_file() {
            return Err(InvalidOption::NoBinary(self.binary.clone()));
        }
        Ok(())
    }
}
