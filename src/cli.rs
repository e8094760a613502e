//! The command line.

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

/// Runs the program; returns only on an error or after a check.
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
        return print_effective(&settings);
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

/// Prints the values of both files as the process would use them, defaults included.
fn print_effective(settings: &Settings) -> ExitCode {
    let platform = serde_json::to_string_pretty(&settings.platform);
    let operator = serde_lexpr::to_string(&settings.operator);
    match (platform, operator) {
        (Ok(platform), Ok(operator)) => {
            println!("{platform}\n{operator}");
            ExitCode::SUCCESS
        }
        (Err(error), _) => fail_to_print(&error),
        (_, Err(error)) => fail_to_print(&error),
    }
}

fn fail_to_print(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("valegap: can't print the settings: {error}");
    ExitCode::FAILURE
}
