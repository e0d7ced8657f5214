//! Stand-ins for the scripts of the second review: the platform, an operator, clients and servers.
//!
//! `stand CASE FOLDER` starts the project's own processes on loopback addresses, plays the case and
//! writes what was sent, answered and run to `FOLDER/record.txt`. Exit code: 0 if the rule held,
//! 1 if it was broken, 2 if the case couldn't run. With `TROUBLE=0` in the environment the
//! disruption is left out.

mod case_first_start;
mod case_memory;
mod http;
mod record;
mod server;
mod site;

use std::{env, path::PathBuf, process};

use record::Record;

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
    NotRun,
}

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: stand CASE FOLDER");
        process::exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("no record: {e}");
            process::exit(2);
        }
    };
    record.note(&format!("case {case}, disruption: {}", if trouble { "yes" } else { "no" }));
    let outcome = match case.as_str() {
        "first-start" => {
            let seed = env::var("SEED").is_ok_and(|value| value == "1");
            case_first_start::run(&record, trouble, if seed { 1 } else { 4 })
        }
        "memory" => case_memory::run(&record, trouble),
        _ => {
            eprintln!("no case {case}");
            Outcome::NotRun
        }
    };
    let (text, code) = match outcome {
        Outcome::Held => ("the rule held", 0),
        Outcome::Broken => ("THE RULE WAS BROKEN", 1),
        Outcome::NotRun => ("the case could not run", 2),
    };
    record.note(text);
    println!("{case}: {text}");
    process::exit(code);
}
