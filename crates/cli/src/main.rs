//! The operator's command-line tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main().into()
}
