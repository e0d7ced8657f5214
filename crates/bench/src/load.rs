//! A load with the shape of the sites': prompts share prefixes nested in three levels.

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

/// Texts at the second level of each organisation's prompts.
const BOOKS: u64 = 3;

/// Texts at the third level of each book.
const PAGES: u64 = 12;

/// Words at the three levels of a prompt.
const LEVEL_WORDS: [usize; 3] = [320, 160, 80];

/// Share of requests that look an order's status up.
const LOOKUP_SHARE: f64 = 0.15;

/// Share of requests that are orders.
const ORDER_SHARE: f64 = 0.10;

/// A load to be sent to routers.
#[derive(Clone, Debug)]
pub struct Load {
    /// Where callers connect.
    pub routers: Vec<SocketAddr>,
    /// The organisations that call; the first ones call most.
    pub organisations: Vec<OrganisationId>,
    /// The model asked.
    pub model: ModelId,
    /// The plain service called.
    pub service: ServiceId,
    /// Requests a second.
    pub rate: f64,
    /// How long to send.
    pub span: Duration,
    /// Decides everything that is random.
    pub seed: u64,
}

/// What the load generator shares with the fakes.
#[derive(Clone, Debug)]
pub struct FakeCounts {
    /// What the engines counted.
    pub tally: SharedTally,
    /// How often each order ran.
    pub orders: ServiceCounts,
}

/// What a request asks for.
#[derive(Clone, Debug)]
pub enum Kind {
    /// A completion.
    CompletionSpec(CompletionSpec),
    /// An order's status.
    Lookup {
        /// Where it is looked up.
        path: String,
    },
    /// An order, which may run at most once.
    Order {
        /// Where it is sent.
        path: String,
        /// Its idempotency key.
        key: String,
    },
}

/// A request of the load.
#[derive(Clone, Debug)]
pub struct Planned {
    /// When it is sent, from the begin of the load.
    pub due: Duration,
    /// Where the caller connects.
    pub router: SocketAddr,
    /// Who calls.
    pub organisation: OrganisationId,
    /// What is asked for.
    pub kind: Kind,
    /// Whether its times count, as those of a warm-up don't.
    pub measured: bool,
}

/// Sends the load and returns what was counted; `progress` is told of each answer.
pub fn run(load: &Load, observed: &FakeCounts, progress: impl Fn(&Counts) + 'static) -> Counts {
    send(plan_all(load), observed, progress)
}

/// Sends planned requests, each when it is due, and returns what was counted.
pub fn send(
    planned: Vec<Planned>,
    observed: &FakeCounts,
    progress: impl Fn(&Counts) + 'static,
) -> Counts {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be made");
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, send_all(planned, observed, Rc::new(progress)))
}

async fn send_all(
    planned: Vec<Planned>,
    observed: &FakeCounts,
    progress: Rc<impl Fn(&Counts) + 'static>,
) -> Counts {
    let counts = Rc::new(RefCell::new(Counts::default()));
    let begun = tokio::time::Instant::now();
    let mut tasks = Vec::new();
    for request in planned {
        tokio::time::sleep_until(begun + request.due).await;
        let counts = Rc::clone(&counts);
        let observed = observed.clone();
        let progress = Rc::clone(&progress);
        tasks.push(tokio::task::spawn_local(async move {
            send_one(request, &observed, &counts).await;
            progress(&counts.borrow());
        }));
    }
    for task in tasks {
        task.await.expect("a caller doesn't panic");
    }
    counts.take()
}

fn plan_all(load: &Load) -> Vec<Planned> {
    let mut rng = Pcg64Mcg::seed_from_u64(load.seed);
    let mut due = Duration::ZERO;
    let mut planned = Vec::new();
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-uniform.ln() / load.rate);
        if load.span <= due {
            return planned;
        }
        let number = planned.len() as u64 + 1;
        planned.push(plan(load, due, number, &mut rng));
    }
}

fn plan(load: &Load, due: Duration, number: u64, rng: &mut Pcg64Mcg) -> Planned {
    let router = load.routers[rng.random_range(0..load.routers.len())];
    let organisation = pick_organisation(&load.organisations, rng).clone();
    let service = &load.service;
    let draw: f64 = rng.random();
    let kind = if draw < LOOKUP_SHARE {
        Kind::Lookup { path: format!("/services/{service}/orders/{}", rng.random_range(0..50)) }
    } else if draw < LOOKUP_SHARE + ORDER_SHARE {
        let path = format!("/services/{service}/orders");
        Kind::Order { path, key: format!("order-{}-{number}", load.seed) }
    } else {
        Kind::CompletionSpec(plan_ask(load, &organisation, number, rng))
    };
    Planned { due, router, organisation, kind, measured: true }
}

/// Picks an organisation; each is picked half as often as the one before, down to a floor.
pub fn pick_organisation<'a>(
    organisations: &'a [OrganisationId],
    rng: &mut Pcg64Mcg,
) -> &'a OrganisationId {
    let large = organisations.len().min(3);
    let among = if rng.random_bool(0.6) { large } else { organisations.len() };
    &organisations[rng.random_range(0..among)]
}

fn plan_ask(
    load: &Load,
    organisation: &OrganisationId,
    number: u64,
    rng: &mut Pcg64Mcg,
) -> CompletionSpec {
    let skewed: f64 = rng.random::<f64>() * rng.random::<f64>();
    let page = (skewed * PAGES as f64) as u64;
    let book = rng.random_range(0..BOOKS);
    let prompt = prompt(organisation, book, page, number);
    CompletionSpec {
        key: organisation_key(organisation),
        model: load.model.to_string(),
        prompt,
        tokens: rng.random_range(4..24),
        chat: rng.random_bool(0.25),
    }
}

/// Returns a completion to ask for in the name of a site's first organisation.
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

/// Returns a prompt: house style, book, page, and a question of its own.
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

async fn send_one(planned: Planned, observed: &FakeCounts, counts: &RefCell<Counts>) {
    counts.borrow_mut().totals.requests += 1;
    let key = organisation_key(&planned.organisation);
    match planned.kind {
        Kind::CompletionSpec(ask) => {
            let outcome = caller::complete(planned.router, &ask).await;
            let mut counts = counts.borrow_mut();
            let of_organisation = counts.organisations.entry(planned.organisation).or_default();
            of_organisation.asked += 1;
            of_organisation.answered += u64::from(matches!(outcome, Outcome::Answered(_)));
            count_ask(outcome, planned.measured, observed, &mut counts);
        }
        Kind::Lookup { path } => {
            let outcome = caller::call(planned.router, Method::GET, &path, &key, None, "").await;
            count_call(&outcome, &mut counts.borrow_mut());
        }
        Kind::Order { path, key: order } => {
            let outcome =
                caller::call(planned.router, Method::POST, &path, &key, Some(&order), "{}").await;
            let mut counts = counts.borrow_mut();
            count_call(&outcome, &mut counts);
            count_order(&outcome, observed.orders.runs(&order), &mut counts);
        }
    }
}

fn count_ask(outcome: Outcome, measured: bool, observed: &FakeCounts, counts: &mut Counts) {
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
            if let Some(own) = observed.tally.lock().first_tokens.remove(&timing.request) {
                record(&mut counts.added, timing.first_token.saturating_sub(own));
            }
        }
        Outcome::Failed(problem) => counts.fail(problem.verdict),
        Outcome::Incomplete(why) => {
            log::debug!("incomplete: {why}");
            counts.totals.incomplete += 1;
        }
        Outcome::Crossed(why) => {
            log::debug!("crossed: {why}");
            counts.totals.crossed += 1;
        }
    }
}

fn count_call(outcome: &CallOutcome, counts: &mut Counts) {
    match outcome {
        CallOutcome::Answered { .. } => counts.totals.answered += 1,
        CallOutcome::Failed(problem) => counts.fail(problem.verdict),
        CallOutcome::Unknown(_) => counts.totals.incomplete += 1,
    }
}

fn count_order(outcome: &CallOutcome, runs: u64, counts: &mut Counts) {
    let verdict = outcome.verdict();
    counts.totals.doubled += u64::from(1 < runs);
    counts.totals.lost += u64::from(verdict == Some(Verdict::Ran) && runs == 0);
    counts.totals.false_not_run += u64::from(verdict == Some(Verdict::NotRun) && 0 < runs);
}
