//! The entry point of the controller's process. [`valegap::cli`] implements it.

use std::process::ExitCode;

fn main() -> ExitCode {
    valegap::cli::main()
}
