//! The controller's process; see [`valegap::cli`].

use std::process::ExitCode;

fn main() -> ExitCode {
    valegap::cli::main()
}
