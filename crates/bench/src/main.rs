//! `bench`: demonstrates and benchmarks the router.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use bench::{
    compare, decision, demo, latency,
    process::Program,
    quorum_bench, restarts,
    run::{self, RunFault, RunSpec},
    sites::SiteKind,
    slopes,
};
use bpaf::Bpaf;
use fleet::setting::KvTransfer;
use route::PolicyKind;
use serde::Serialize;

/// Demonstrates and benchmarks the router with fake engines, services and callers
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Options {
    /// Run the whole system on this machine under a mixed load
    #[bpaf(command)]
    Demo {
        /// Print the results as one JSON object on the last line
        json: bool,
        /// Seed of all random choices
        #[bpaf(fallback(1))]
        seed: u64,
    },
    /// Measure commits, elections and restarts of the quorum
    #[bpaf(command)]
    Quorum {
        /// Print the results as one JSON object on the last line
        json: bool,
        /// Seed of all random choices
        #[bpaf(fallback(1))]
        seed: u64,
    },
    /// Measure one routing policy on one site
    #[bpaf(command)]
    Run {
        /// The site: printers or villagers
        #[bpaf(argument("SITE"))]
        site: SiteKind,
        /// Routing policy: round-robin, least-in-flight, hash, warm-v1 or warm
        #[bpaf(argument("NAME"), fallback(PolicyKind::Warm))]
        policy: PolicyKind,
        /// Seed of all random choices
        #[bpaf(fallback(1))]
        seed: u64,
        /// Completions per second, as a share of the engines' capacity
        #[bpaf(fallback(0.7))]
        load: f64,
        /// How long to measure after the warm-up, in seconds
        #[bpaf(fallback(20))]
        seconds: u64,
        /// Where engines may fetch cached blocks from: off, neighbour, store or both
        #[bpaf(argument("PLACE"), fallback(KvTransfer::Off))]
        kv_transfer: KvTransfer,
        /// Fault injected halfway through the measurement: engines or shift
        #[bpaf(argument("NAME"), optional)]
        fault: Option<RunFault>,
        /// Print the results as one JSON object on the last line
        json: bool,
    },
    /// Measure the time of one routing decision
    #[bpaf(command)]
    Decision {
        /// Endpoints in the warm index
        #[bpaf(fallback(1_800))]
        endpoints: usize,
        /// Seed of all random choices
        #[bpaf(fallback(1))]
        seed: u64,
        /// Print the results as one JSON object on the last line
        json: bool,
    },
    /// Measure every routing policy on one site
    #[bpaf(command)]
    Compare {
        /// The site: printers or villagers
        #[bpaf(argument("SITE"))]
        site: SiteKind,
        /// Seeds, separated by commas
        #[bpaf(argument("LIST"), fallback("1,2,3".to_owned()))]
        seeds: String,
        /// Completions per second, as a share of the engines' capacity
        #[bpaf(fallback(0.7))]
        load: f64,
        /// How long to measure after the warm-up, in seconds
        #[bpaf(fallback(12))]
        seconds: u64,
        /// Plot the results into this SVG file
        #[bpaf(argument("FILE"), optional)]
        plot: Option<PathBuf>,
        /// Print the results as one JSON object on the last line
        json: bool,
    },
    /// Measure how router restarts affect callers and the hit rate
    #[bpaf(command)]
    Restarts {
        /// Print the results as one JSON object on the last line
        json: bool,
        /// Seed of all random choices
        #[bpaf(fallback(1))]
        seed: u64,
    },
    /// Measure the latency that a daemon adds to a direct call, at 1, 32 and 256 streams
    #[bpaf(command)]
    Latency {
        /// Print the results as one JSON array on the last line
        json: bool,
    },
    /// Measure how messages, CPU time and memory grow with the size of a fleet
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
    if args.first().is_some_and(|arg| arg == "operator") {
        return run_operator(&args[1..]);
    }
    match execute(options().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a daemon in this process, so that a demonstration needs only this executable.
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

/// Runs the operator CLI in this process.
fn run_operator(args: &[String]) -> ExitCode {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    cli::run(&args).into()
}

fn execute(options: Options) -> eyre::Result<()> {
    let program = Program { path: std::env::current_exe()?, args: vec!["daemon".into()] };
    match options {
        Options::Demo { json, seed } => {
            let summary = demo::run(&program, seed)?;
            print_summary(&summary, json)?;
        }
        Options::Run { site, policy, seed, load, seconds, kv_transfer, fault, json } => {
            let duration = Duration::from_secs(seconds);
            let spec = RunSpec { site, policy, seed, load, duration, kv_transfer, fault };
            print_summary(&run::run(&program, &spec)?, json)?;
        }
        Options::Decision { endpoints, seed, json } => {
            print_summary(&decision::measure(endpoints, seed), json)?;
        }
        Options::Compare { site, seeds, load, seconds, plot, json } => {
            let seeds: Vec<u64> = seeds.split(',').map(str::parse).collect::<Result<_, _>>()?;
            let duration = Duration::from_secs(seconds);
            let policy = PolicyKind::default();
            let kv_transfer = KvTransfer::Off;
            let spec = RunSpec { site, policy, seed: 1, load, duration, kv_transfer, fault: None };
            let results = compare::run(&program, &spec, &seeds)?;
            println!("{}", compare::table(&results));
            if let Some(path) = plot {
                compare::plot(&results, &path)?;
            }
            if json {
                println!("{}", serde_json::json!({"site": site.as_str(), "policies": results}));
            }
        }
        Options::Quorum { json, seed } => {
            let report = quorum_bench::run(&program, seed)?;
            print!("{report}");
            if json {
                println!("{}", serde_json::to_string(&report)?);
            }
        }
        Options::Restarts { json, seed } => {
            let report = restarts::run(&program, seed)?;
            println!("{}", restarts::table(&report));
            if json {
                println!("{}", serde_json::to_string(&report)?);
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

fn print_summary(summary: &impl Serialize, json: bool) -> eyre::Result<()> {
    println!("{}", demo::table(summary));
    if json {
        println!("{}", serde_json::to_string(summary)?);
    }
    Ok(())
}
