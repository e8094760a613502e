//! The command-line interface: parses the arguments, loads the settings and runs the server.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

use crate::server;
use crate::settings::Settings;
use crate::telemetry;

/// A cluster scheduler: each shard of machines is run by the one controller
/// that holds its lease.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// The platform's settings file (JSON).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings (an S-expression); defaults without it.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Check both files, print the effective values and stop.
    #[arg(long)]
    check: bool,
}

/// Runs the program. Returns only on an error, after `--check`, or when the server ends.
pub fn main() -> ExitCode {
    let arguments = Arguments::parse();
    telemetry::init();
    let settings = match Settings::load(&arguments.config, arguments.operator.as_deref()) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("valegap: {error}");
            return ExitCode::from(2);
        }
    };
    if arguments.check {
        return print_effective_settings(&settings);
    }
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("valegap: the runtime can't start: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(server::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("valegap: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints the effective values of both settings files, including defaults.
fn print_effective_settings(settings: &Settings) -> ExitCode {
    let platform = serde_json::to_string_pretty(&settings.platform);
    let operator = serde_lexpr::to_string(&settings.operator);
    match (platform, operator) {
        (Ok(platform), Ok(operator)) => {
            println!("{platform}\n{operator}");
            ExitCode::SUCCESS
        }
        (Err(error), _) => report_print_error(&error),
        (_, Err(error)) => report_print_error(&error),
    }
}

fn report_print_error(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("valegap: can't print the settings: {error}");
    ExitCode::FAILURE
}
