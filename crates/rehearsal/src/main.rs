//! The program: `millethold-rehearsal soak`.

use clap::{Args, Parser, Subcommand};
use millethold_rehearsal::options::{BadOption, SoakOptions};
use millethold_rehearsal::report::SoakReport;
use millethold_rehearsal::soak::{self, SoakError};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use thiserror::Error;

/// Name of the service's program, beside this one.
const SERVICE: &str = "millethold";

/// Rehearses failures with real processes of the service on this machine.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    /// What is to be done.
    #[command(subcommand)]
    verb: Verb,
}

/// What is to be done.
#[derive(Subcommand)]
enum Verb {
    /// Plays runs with faults drawn by their seeds, and checks the protocol's rules by what
    /// workers and users see.
    Soak(SoakArguments),
}

/// Options of a soak.
#[derive(Args)]
struct SoakArguments {
    /// Number of runs.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Seed of the first run; the others follow it.
    #[arg(long, default_value_t = 1)]
    first_seed: u64,
    /// Seconds of faults in each run; what they hold back is waited for.
    #[arg(long, default_value_t = 25)]
    seconds: u64,
    /// Workers at the start of each run; drawn by its seed if left out.
    #[arg(long)]
    workers: Option<usize>,
    /// Controllers.
    #[arg(long, default_value_t = 3)]
    controllers: usize,
    /// Runs beside each other.
    #[arg(long, default_value_t = 1)]
    parallel: usize,
    /// Second byte of the loopback addresses (127.BLOCK.x.y) that are used; chosen by the
    /// process if left out.
    #[arg(long)]
    block: Option<u8>,
    /// The service's program; the one beside this program if left out.
    #[arg(long, value_name = "FILE")]
    binary: Option<PathBuf>,
    /// Where the report is written as JSON.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Folder in which logs and histories of failed runs are kept.
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
}

impl SoakArguments {
    /// The options, with the program beside this one where none is named.
    fn options(self) -> SoakOptions {
        let beside = || {
            let here = std::env::current_exe().ok();
            let folder = here.as_deref().and_then(Path::parent).map(Path::to_path_buf);
            folder.unwrap_or_default().join(SERVICE)
        };
        SoakOptions {
            seeds: self.seeds,
            first_seed: self.first_seed,
            seconds: self.seconds,
            workers: self.workers,
            controllers: self.controllers,
            parallel: self.parallel,
            block: self.block,
            binary: self.binary.unwrap_or_else(beside),
            report: self.report,
            keep: self.keep,
        }
    }
}

fn main() -> ExitCode {
    let Arguments { verb: Verb::Soak(arguments) } = Arguments::parse();
    match run_soak(&arguments.options()) {
        Ok(report) => verdict(&report),
        Err(reason) => {
            eprintln!("millethold-rehearsal: {reason}");
            ExitCode::from(2)
        }
    }
}

/// The last line, and the status.
fn verdict(report: &SoakReport) -> ExitCode {
    let (passed, failed) = report.counts();
    println!("{passed} passed, {failed} failed");
    match failed == 0 && passed > 0 {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Why a soak has no verdict.
#[derive(Debug, Error)]
enum Failure {
    /// An option has no meaning.
    #[error(transparent)]
    Option(#[from] BadOption),
    /// The handler of signals was not set.
    #[error(transparent)]
    Signal(#[from] ctrlc::Error),
    /// The soak did not run.
    #[error(transparent)]
    Soak(#[from] SoakError),
    /// The report has no JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("{}: {source}", file.display())]
    /// The report was not written.
    Report {
        /// Where it was to go.
        file: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
}

/// Checks the options, plays the soak and writes its report.
fn run_soak(options: &SoakOptions) -> Result<SoakReport, Failure> {
    options.check()?;
    let stop = Arc::new(AtomicBool::new(false));
    let interrupted = Arc::clone(&stop);
    ctrlc::set_handler(move || interrupted.store(true, Ordering::Relaxed))?;
    let report = soak::soak(options, &stop, |run| print!("{run}"))?;
    if let Some(file) = &options.report {
        let text = serde_json::to_string_pretty(&report)? + "\n";
        std::fs::write(file, text)
            .map_err(|source| Failure::Report { file: file.clone(), source })?;
    }
    Ok(report)
}
