//! Command line of `millethold-rehearsal`.

use clap::{Args, Parser, Subcommand};
use millethold_rehearsal::options::{InvalidOption, SoakOptions};
use millethold_rehearsal::report::SoakReport;
use millethold_rehearsal::soak::{self, SoakError};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use thiserror::Error;

/// File name of the service's binary, looked up in the folder of this program by default.
const SERVICE_BINARY: &str = "millethold";

/// Tests the service under injected faults, with real controller processes on this machine.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    /// The subcommand.
    #[command(subcommand)]
    command: Command,
}

/// The subcommands.
#[derive(Subcommand)]
enum Command {
    /// Runs the service under faults drawn from each run's seed, and checks the protocol's rules
    /// against what workers and users observe.
    Soak(SoakArguments),
}

/// Options of a soak.
#[derive(Args)]
struct SoakArguments {
    /// Number of runs.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Seed of the first run; each further run uses the next number.
    #[arg(long, default_value_t = 1)]
    first_seed: u64,
    /// Seconds during which faults begin in each run; the run then waits until their effects end.
    #[arg(long, default_value_t = 25)]
    seconds: u64,
    /// Workers at the start of each run; drawn from the run's seed if omitted.
    #[arg(long)]
    workers: Option<usize>,
    /// Controllers in each run.
    #[arg(long, default_value_t = 3)]
    controllers: usize,
    /// Number of runs executed at the same time.
    #[arg(long, default_value_t = 1)]
    parallel: usize,
    /// Second byte of the loopback addresses (127.BLOCK.x.y) to use; derived from the process id if
    /// omitted.
    #[arg(long)]
    block: Option<u8>,
    /// The service's binary; the one next to this program if omitted.
    #[arg(long, value_name = "FILE")]
    binary: Option<PathBuf>,
    /// Writes the report as JSON to this file.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Keeps the logs and histories of failed runs in this folder.
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
}

impl SoakArguments {
    /// Converts the arguments; without `--binary`, the service's binary is the one next to this
    /// program.
    fn options(self) -> SoakOptions {
        let default_binary = || {
            let here = std::env::current_exe().ok();
            let folder = here.as_deref().and_then(Path::parent).map(Path::to_path_buf);
            folder.unwrap_or_default().join(SERVICE_BINARY)
        };
        SoakOptions {
            seeds: self.seeds,
            first_seed: self.first_seed,
            seconds: self.seconds,
            workers: self.workers,
            controllers: self.controllers,
            parallel: self.parallel,
            block: self.block,
            binary: self.binary.unwrap_or_else(default_binary),
            report: self.report,
            keep: self.keep,
        }
    }
}

fn main() -> ExitCode {
    let Arguments { command: Command::Soak(arguments) } = Arguments::parse();
    match run_soak(&arguments.options()) {
        Ok(report) => print_summary(&report),
        Err(reason) => {
            eprintln!("millethold-rehearsal: {reason}");
            ExitCode::from(2)
        }
    }
}

/// Prints the last line, and returns the exit status: success if at least one run passed and none
/// failed.
fn print_summary(report: &SoakReport) -> ExitCode {
    let (passed, failed) = report.counts();
    println!("{passed} passed, {failed} failed");
    match failed == 0 && passed > 0 {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Why a soak ended without a report, or its report was not written.
#[derive(Debug, Error)]
enum CommandError {
    /// An option is invalid.
    #[error(transparent)]
    Option(#[from] InvalidOption),
    /// The handler of interrupts could not be installed.
    #[error("cannot install the handler of interrupts: {0}")]
    Signal(#[from] ctrlc::Error),
    /// The soak was interrupted, or a run could not be executed.
    #[error(transparent)]
    Soak(#[from] SoakError),
    /// The report could not be encoded as JSON.
    #[error("cannot encode the report as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The report file could not be written.
    #[error("cannot write the report to {}: {source}", file.display())]
    Report {
        /// Path of the report file.
        file: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
}

/// Checks the options, runs the soak and writes its report.
fn run_soak(options: &SoakOptions) -> Result<SoakReport, CommandError> {
    options.check()?;
    let stop = Arc::new(AtomicBool::new(false));
    let interrupted = Arc::clone(&stop);
    ctrlc::set_handler(move || interrupted.store(true, Ordering::Relaxed))?;
    let report = soak::run_seeds(options, &stop, |run| print!("{run}"))?;
    if let Some(file) = &options.report {
        let text = serde_json::to_string_pretty(&report)? + "\n";
        std::fs::write(file, text)
            .map_err(|source| CommandError::Report { file: file.clone(), source })?;
    }
    Ok(report)
}
