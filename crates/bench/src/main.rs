//! `bench`: demonstrations and measurements of the router.

use std::process::ExitCode;

use bench::{demo, process::Program};
use bpaf::Bpaf;

/// Demonstrates and measures the router with fakes at its interfaces
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Options {
    /// Run the whole system on this machine under a mixed load
    #[bpaf(command)]
    Demo {
        /// Print the figures as one JSON object on the last line
        json: bool,
        /// Decides everything that is random
        #[bpaf(fallback(1))]
        seed: u64,
    },
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|arg| arg == "daemon") {
        return run_daemon(&args[1..]);
    }
    if args.first().is_some_and(|arg| arg == "operator") {
        return run_operator(&args[1..]);
    }
    match run(options().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a daemon in this process, so that one program holds all that a demonstration needs.
fn run_daemon(args: &[String]) -> ExitCode {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match daemon::Settings::from_args(&args) {
        Ok(cfg) => daemon::exit_code(cfg),
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(2)
        }
    }
}

/// Runs the operator's tool in this process.
fn run_operator(args: &[String]) -> ExitCode {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    cli::run(&args).into()
}

fn run(options: Options) -> eyre::Result<()> {
    let program = Program { path: std::env::current_exe()?, args: vec!["daemon".into()] };
    match options {
        Options::Demo { json, seed } => {
            let summary = demo::run(&program, seed)?;
            println!("{}", demo::table(&summary));
            if json {
                println!("{}", serde_json::to_string(&summary)?);
            }
        }
    }
    Ok(())
}
