//! `dotterelreachd`: the router's daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    daemon::main()
}
