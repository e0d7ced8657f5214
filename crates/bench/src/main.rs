//! `bench`: demonstrations and measurements of the router.

use std::process::ExitCode;

use bench::{demo, latency, process::Program, slopes};
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
    /// Measure what a daemon adds to a direct call, at 1, 32 and 256 streams
    #[bpaf(command)]
    Latency {
        /// Print the measurements as one JSON array on the last line
        json: bool,
    },
    /// Measure how messages, processor time and memory grow with the size of a fleet
    #[bpaf(command)]
    Slopes {
        /// Print the slopes as one JSON array on the last line
        json: bool,
    },
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|arg| arg == "daemon") {
        return run_daemon(&args[1..]);
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
        Options::Latency { json } => {
            let rows = latency::run(&program)?;
            println!("{}", latency::table(&rows));
            if json {
                println!("{}", serde_json::to_string(&rows)?);
            }
        }
        Options::Slopes { json } => {
            let slopes = slopes::run(&program)?;
            println!("{}", slopes::table(&slopes));
            if json {
                println!("{}", serde_json::to_string(&slopes)?);
            }
        }
    }
    Ok(())
}
