//! Runs one case of the review: `stand CASE RECORD FOLDER`.
//!
//! It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. The variable
//! `TROUBLE=0` leaves the disruption out.

mod first_configuration;
mod fleet;
mod http;
mod leaving_lost;
mod odd_reports;
mod record;
mod rolling_disks;
mod server;
mod site;
mod wall;

use std::{path::PathBuf, process::ExitCode, sync::Arc};

use record::Record;
use site::RunFolder;

/// What a case has found.
pub enum Outcome {
    Held,
    Broken(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record, folder] = &args[..] else {
        eprintln!("usage: stand CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let record = Arc::new(Record::create(&PathBuf::from(record)));
    let folder = RunFolder(PathBuf::from(folder));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.say(format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let result = match case.as_str() {
        "leaving-lost" => leaving_lost::run(&folder.0, &record, trouble),
        "odd-reports" => odd_reports::run(&folder.0, &record, trouble),
        "first-configuration" => first_configuration::run(&folder.0, &record, trouble),
        "rolling-disks" => rolling_disks::run(&folder.0, &record, trouble),
        "wall" => wall::run(&folder.0, &record, trouble),
        _ => Err(format!("there is no case {case}")),
    };
    match result {
        Ok(Outcome::Held) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Outcome::Broken(why)) => {
            record.say(format!("RULE BROKEN: {why}"));
            ExitCode::from(1)
        }
        Err(why) => {
            record.say(format!("the case couldn't run: {why}"));
            ExitCode::from(2)
        }
    }
}
