//! A load generator whose prompts share prefixes nested in three levels, as those of the measured
//! sites do.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use base::{ModelId, OrganisationId, ServiceId, Verdict};
use hyper::Method;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::{
    caller::{self, CallOutcome, CompletionSpec, Outcome},
    fake::{ServiceCounts, SharedTally},
    report::{Counts, record},
    site::{Site, organisation_key},
};

/// Texts at the second level of an organisation's prompts.
const BOOKS_PER_ORGANISATION: u64 = 3;

/// Texts at the third level below each book.
const PAGES_PER_BOOK: u64 = 12;

/// Words at each of the three levels of a prompt.
const LEVEL_WORDS: [usize; 3] = [320, 160, 80];

/// Share of requests that look up an order's status.
const LOOKUP_SHARE: f64 = 0.15;

/// Share of requests that are orders.
const ORDER_SHARE: f64 = 0.10;

/// A load to send to routers.
#[derive(Clone, Debug)]
pub struct Load {
    /// Addresses at which callers connect.
    pub routers: Vec<SocketAddr>,
    /// The calling organisations; the first ones call most.
    pub organisations: Vec<OrganisationId>,
    /// The requested model.
    pub model: ModelId,
    /// The called plain service.
    pub service: ServiceId,
    /// Requests per second.
    pub rate: f64,
    /// Duration of the load.
    pub duration: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Counts that the load generator reads from the fakes.
#[derive(Clone, Debug)]
pub struct FakeCounts {
    /// Counts of all engines.
    pub tally: SharedTally,
    /// Number of runs of each order.
    pub orders: ServiceCounts,
}

/// A request's kind.
#[derive(Clone, Debug)]
pub enum RequestKind {
    /// A completion.
    CompletionRequest(CompletionSpec),
    /// A lookup of an order's status.
    Lookup {
        /// Path of the status.
        path: String,
    },
    /// An order, which may run at most once.
    Order {
        /// Path to which it is sent.
        path: String,
        /// Its idempotency key.
        key: String,
    },
}

/// A request of the load, planned before it is sent.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// When it is sent, from the start of the load.
    pub due: Duration,
    /// Address at which the caller connects.
    pub router: SocketAddr,
    /// The calling organisation.
    pub organisation: OrganisationId,
    /// What is requested.
    pub kind: RequestKind,
    /// Whether its times are recorded; those of the warm-up are not.
    pub measured: bool,
}

/// Sends the load and returns the counts; calls `progress` after each request.
pub fn run(load: &Load, fakes: &FakeCounts, progress: impl Fn(&Counts) + 'static) -> Counts {
    send(plan_all(load), fakes, progress)
}

/// Sends planned requests, each when it is due, and returns the counts.
pub fn send(
    planned: Vec<PlannedRequest>,
    fakes: &FakeCounts,
    progress: impl Fn(&Counts) + 'static,
) -> Counts {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be made");
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, send_all(planned, fakes, Rc::new(progress)))
}

async fn send_all(
    planned: Vec<PlannedRequest>,
    fakes: &FakeCounts,
    progress: Rc<impl Fn(&Counts) + 'static>,
) -> Counts {
    let counts = Rc::new(RefCell::new(Counts::default()));
    let started = tokio::time::Instant::now();
    let mut tasks = Vec::new();
    for request in planned {
        tokio::time::sleep_until(started + request.due).await;
        let counts = Rc::clone(&counts);
        let fakes = fakes.clone();
        let progress = Rc::clone(&progress);
        tasks.push(tokio::task::spawn_local(async move {
            send_one(request, &fakes, &counts).await;
            progress(&counts.borrow());
        }));
    }
    for task in tasks {
        task.await.expect("a caller doesn't panic");
    }
    counts.take()
}

fn plan_all(load: &Load) -> Vec<PlannedRequest> {
    let mut rng = Pcg64Mcg::seed_from_u64(load.seed);
    let mut due = Duration::ZERO;
    let mut planned = Vec::new();
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-uniform.ln() / load.rate);
        if load.duration <= due {
            return planned;
        }
        let number = planned.len() as u64 + 1;
        planned.push(plan_request(load, due, number, &mut rng));
    }
}

fn plan_request(load: &Load, due: Duration, number: u64, rng: &mut Pcg64Mcg) -> PlannedRequest {
    let router = load.routers[rng.random_range(0..load.routers.len())];
    let organisation = pick_organisation(&load.organisations, rng).clone();
    let service = &load.service;
    let draw: f64 = rng.random();
    let kind = if draw < LOOKUP_SHARE {
        RequestKind::Lookup {
            path: format!("/services/{service}/orders/{}", rng.random_range(0..50)),
        }
    } else if draw < LOOKUP_SHARE + ORDER_SHARE {
        let path = format!("/services/{service}/orders");
        RequestKind::Order { path, key: format!("order-{}-{number}", load.seed) }
    } else {
        RequestKind::CompletionRequest(plan_completion(load, &organisation, number, rng))
    };
    PlannedRequest { due, router, organisation, kind, measured: true }
}

/// Picks an organisation: in 60% of the cases one of the first three, otherwise any.
pub fn pick_organisation<'a>(
    organisations: &'a [OrganisationId],
    rng: &mut Pcg64Mcg,
) -> &'a OrganisationId {
    let large = organisations.len().min(3);
    let among = if rng.random_bool(0.6) { large } else { organisations.len() };
    &organisations[rng.random_range(0..among)]
}

fn plan_completion(
    load: &Load,
    organisation: &OrganisationId,
    number: u64,
    rng: &mut Pcg64Mcg,
) -> CompletionSpec {
    let skewed_draw: f64 = rng.random::<f64>() * rng.random::<f64>();
    let page = (skewed_draw * PAGES_PER_BOOK as f64) as u64;
    let book = rng.random_range(0..BOOKS_PER_ORGANISATION);
    let prompt = prompt(organisation, book, page, number);
    CompletionSpec {
        key: organisation_key(organisation),
        model: load.model.to_string(),
        prompt,
        tokens: rng.random_range(4..24),
        chat: rng.random_bool(0.25),
    }
}

/// Returns a completion request of a site's first organisation.
pub fn sample_completion(site: &Site, question: u64, tokens: u64) -> CompletionSpec {
    let organisation = &site.spec.organisations[0];
    CompletionSpec {
        key: organisation_key(organisation),
        model: site.spec.model.to_string(),
        prompt: prompt(organisation, 0, 0, question),
        tokens,
        chat: false,
    }
}

/// Returns a prompt made of the house style, a book, a page and a question.
pub fn prompt(organisation: &OrganisationId, book: u64, page: u64, question: u64) -> String {
    let mut text = format!("organisation {organisation}\n");
    let seeds = ["style".to_owned(), format!("book {book}"), format!("book {book} page {page}")];
    for (seed, words) in seeds.iter().zip(LEVEL_WORDS) {
        let tokens = crate::model::Generation::after(seed.as_bytes()).take(words);
        text.extend(tokens);
        text.push('\n');
    }
    text.push_str(&format!("question {question}"));
    text
}

async fn send_one(planned: PlannedRequest, fakes: &FakeCounts, counts: &RefCell<Counts>) {
    counts.borrow_mut().totals.requests += 1;
    let key = organisation_key(&planned.organisation);
    match planned.kind {
        RequestKind::CompletionRequest(spec) => {
            let outcome = caller::complete(planned.router, &spec).await;
            let mut counts = counts.borrow_mut();
            let completions = counts.organisations.entry(planned.organisation).or_default();
            completions.asked += 1;
            completions.answered += u64::from(matches!(outcome, Outcome::Answered(_)));
            count_completion(outcome, planned.measured, fakes, &mut counts);
        }
        RequestKind::Lookup { path } => {
            let outcome = caller::call(planned.router, Method::GET, &path, &key, None, "").await;
            count_call(&outcome, &mut counts.borrow_mut());
        }
        RequestKind::Order { path, key: order } => {
            let outcome =
                caller::call(planned.router, Method::POST, &path, &key, Some(&order), "{}").await;
            let mut counts = counts.borrow_mut();
            count_call(&outcome, &mut counts);
            count_order(&outcome, fakes.orders.runs(&order), &mut counts);
        }
    }
}

fn count_completion(outcome: Outcome, measured: bool, fakes: &FakeCounts, counts: &mut Counts) {
    match outcome {
        Outcome::Answered(timing) => {
            counts.totals.answered += 1;
            if !measured {
                return;
            }
            record(&mut counts.first_token, timing.first_token);
            for gap in timing.gaps {
                record(&mut counts.gap, gap);
            }
            if let Some(engine_time) = fakes.tally.lock().first_tokens.remove(&timing.request_id) {
                record(&mut counts.added_ttft, timing.first_token.saturating_sub(engine_time));
            }
        }
        Outcome::Failed(problem) => counts.count_failure(problem.verdict),
        Outcome::Incomplete(reason) => {
            log::debug!("incomplete response: {reason}");
            counts.totals.incomplete += 1;
        }
        Outcome::Mismatched(reason) => {
            log::debug!("response to another request: {reason}");
            counts.totals.crossed += 1;
        }
    }
}

fn count_call(outcome: &CallOutcome, counts: &mut Counts) {
    match outcome {
        CallOutcome::Answered { .. } => counts.totals.answered += 1,
        CallOutcome::Failed(problem) => counts.count_failure(problem.verdict),
        CallOutcome::Unknown(_) => counts.totals.incomplete += 1,
    }
}

fn count_order(outcome: &CallOutcome, runs: u64, counts: &mut Counts) {
    let verdict = outcome.verdict();
    counts.totals.doubled += u64::from(1 < runs);
    counts.totals.lost += u64::from(verdict == Some(Verdict::Ran) && runs == 0);
    counts.totals.false_not_run += u64::from(verdict == Some(Verdict::NotRun) && 0 < runs);
}
