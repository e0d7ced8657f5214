//! Declarations, declaration changes and admission, by the number of organisations.

use std::{
    fmt::Write as _,
    hint::black_box,
    time::{Duration, Instant},
};

use base::{Digest, LogIndex, MonotonicTime, OrganisationId, Revision, TokenCount, UnixMillis};
use fleet::{ChangeReply, Command, ConfigChange, Declaration, Fleet, Reply, Scope};
use route::{Action, Admission, AdmissionSettings, Arrival, Decision, Priority};

use super::Slope;

const ORGANISATIONS: [usize; 5] = [8, 100, 800, 1_600, 3_100];

/// Number of organisations per exception.
const ORGANISATIONS_PER_EXCEPTION: usize = 10;

const RUNS_PER_MEASUREMENT: usize = 5;
const LOOKUPS: usize = 200;
const REQUESTS: usize = 20_000;

/// Maximum number of requests in flight in the admission measurement.
const ADMISSION_CAPACITY: u32 = 1_000;

/// Requests in flight or queued in the admission measurement.
const PRESENT_REQUESTS: usize = 2_000;

const KIB: f64 = 1_024.0;

/// Measures each quantity at each size.
pub(super) fn slopes() -> eyre::Result<Vec<Slope>> {
    let fit = |name, unit_y, y: fn(usize) -> f64| {
        let points = ORGANISATIONS.iter().map(|&n| [n as f64, y(n)]).collect();
        Slope::fit(name, "organisations", unit_y, points)
    };
    let by_size = |name, unit_y, y: fn(usize) -> f64| {
        let points = ORGANISATIONS.iter().map(|&n| [size_kib(n), y(n)]).collect();
        Slope::fit(name, "KiB of declaration", unit_y, points)
    };
    Ok(vec![
        fit("organisations/declaration", "KiB", size_kib),
        fit("organisations/reading the declaration", "ms", read_millis),
        fit("organisations/effective settings of one request", "µs", effective_micros),
        fit("organisations/admission of one request", "µs", admission_micros),
        by_size("changes/command in the log", "KiB", change_kib),
        by_size("changes/time to apply", "ms", change_millis),
    ])
}

/// Returns a declaration with an exception for every tenth organisation.
pub(super) fn declaration(organisations: usize) -> String {
    let mut text = "[defaults]\nrequest-timeout = '20s'\n\n".to_owned();
    for n in 0..organisations {
        let key = Digest::of(format!("key-{n}").as_bytes());
        let entry = format!("[[organisations]]\nid = 'organisation-{n:04}'\nkeys = ['{key}']\n\n");
        text.push_str(&entry);
    }
    for n in (0..organisations).step_by(ORGANISATIONS_PER_EXCEPTION) {
        let _ = write!(
            text,
            "[[exceptions]]\nid = 'exception-{n:04}'\nreason = 'long proofs before the press run'\n\
             scope = {{ organisation = 'organisation-{n:04}' }}\nset = {{ request-timeout = '30s' }}\n\n",
        );
    }
    text
}

fn size_kib(organisations: usize) -> f64 {
    declaration(organisations).len() as f64 / KIB
}

fn read_millis(organisations: usize) -> f64 {
    let text = declaration(organisations);
    millis(fastest(|| {
        black_box(Declaration::from_toml(&text).expect("the declaration is valid"));
    }))
}

fn effective_micros(organisations: usize) -> f64 {
    let declaration =
        Declaration::from_toml(&declaration(organisations)).expect("the declaration is valid");
    let scope = Scope::organisation(organisation(organisations / 2));
    let time = fastest(|| {
        for _ in 0..LOOKUPS {
            black_box(declaration.effective(black_box(&scope), UnixMillis::new(1_000)));
        }
    });
    micros(time) / LOOKUPS as f64
}

/// Returns the time to admit and release one request while 1,000 run and 1,000 are queued.
fn admission_micros(organisations: usize) -> f64 {
    let ids: Vec<_> = (0..organisations).map(organisation).collect();
    let cfg = AdmissionSettings { capacity: ADMISSION_CAPACITY, ..AdmissionSettings::default() };
    let mut admission = Admission::new(cfg);
    let mut running = std::collections::VecDeque::new();
    let now = MonotonicTime::from_millis(1_000);
    let arrival = |n: usize| Arrival {
        organisation: ids[n % organisations].clone(),
        priority: Priority::default(),
        deadline: now + Duration::from_secs(600),
        cost: TokenCount::new(1_000),
    };
    for n in 0..PRESENT_REQUESTS {
        if let Decision::Run(ticket) = admission.admit(now, arrival(n)) {
            running.push_back(ticket);
        }
    }
    let begun = Instant::now();
    for n in 0..REQUESTS {
        if let Decision::Run(ticket) = admission.admit(now, arrival(n)) {
            running.push_back(ticket);
        }
        let Some(ended) = running.pop_front() else { continue };
        for action in admission.release(now, ended) {
            if let Action::Run(ticket) = action {
                running.push_back(ticket);
            }
        }
    }
    micros(begun.elapsed()) / REQUESTS as f64
}

fn change_kib(organisations: usize) -> f64 {
    change(organisations, 0).to_bytes().len() as f64 / KIB
}

fn change_millis(organisations: usize) -> f64 {
    let mut fleet = Fleet::default();
    let mut revision = 0;
    millis(fastest(|| {
        let command = change(organisations, revision).to_bytes();
        let command = Command::from_bytes(&command).expect("decodes what was encoded");
        let reply = fleet.apply(LogIndex::new(revision + 1), &command);
        assert!(matches!(reply, Reply::Change(ChangeReply::Changed(_))), "{reply:?}");
        revision += 1;
    }))
}

fn change(organisations: usize, revision: u64) -> Command {
    Command::Change(ConfigChange {
        id: format!("change-{revision}").parse().expect("a valid id"),
        expected: Revision::new(revision),
        author: "ilona".parse().expect("a valid id"),
        reason: "longer prompts for the archive".into(),
        at: UnixMillis::new(1_000),
        declaration: declaration(organisations).into(),
    })
}

fn organisation(n: usize) -> OrganisationId {
    format!("organisation-{n:04}").parse().expect("a valid id")
}

/// Returns the shortest time of several runs, the one least disturbed by other load.
fn fastest(mut run: impl FnMut()) -> Duration {
    let times = (0..RUNS_PER_MEASUREMENT).map(|_| {
        let begun = Instant::now();
        run();
        begun.elapsed()
    });
    times.min().unwrap_or_default()
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}

fn micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}
