use std::process::ExitCode;

fn main() -> ExitCode {
    valegap::cli::main()
}
