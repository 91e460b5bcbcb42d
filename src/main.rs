//! The `millethold` program: reads the command line and the settings, then runs a controller.
//!
//! It exits with status 2 and one line on standard error if the settings or options are invalid,
//! and with status 1 if the controller cannot run. [`millethold::config`] reads the settings,
//! [`millethold::runtime`] runs the controller, [`millethold::logging`] writes its log.

use clap::Parser;
use millethold::config::{Config, Options};
use std::path::PathBuf;
use std::process::ExitCode;

/// A cluster scheduler whose controllers share the work.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// The platform's settings file (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own options (INI); every option has a default.
    #[arg(long, value_name = "FILE")]
    options: Option<PathBuf>,
    /// Check the settings and exit.
    #[arg(long)]
    check_config: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    env_logger::Builder::new()
        .parse_env(env_logger::Env::new().filter_or("LOG_LEVEL", "info"))
        .format(millethold::logging::write_line)
        .init();
    let loaded = Config::load(&args.config).and_then(|config| {
        let options = args.options.as_deref().map_or(Ok(Options::default()), Options::load)?;
        Ok((config, options))
    });
    let (config, options) = match loaded {
        Ok(loaded) => loaded,
        Err(error) => {
            eprintln!("millethold: {error}");
            return ExitCode::from(2);
        }
    };
    if args.check_config {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    match millethold::runtime::run(config, options, rand::random()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("millethold: {error}");
            ExitCode::FAILURE
        }
    }
}
