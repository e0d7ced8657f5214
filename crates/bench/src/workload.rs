//! The workload of a measured site, planned before the run, and an upper bound of its hit rate.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    ops::Range,
    time::Duration,
};

use base::{ModelId, OrganisationId, ServiceId};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::{
    caller::CompletionSpec,
    fake::BlockCache,
    load::{PlannedRequest, RequestKind, pick_organisation},
    model::{Generation, TOKEN_BYTES},
    site::organisation_key,
};

/// Block size of the engines' caches.
const BLOCK_BYTES: usize = 64;

/// Share of requests that look up an order's status.
const LOOKUP_SHARE: f64 = 0.12;

/// Share of requests that are orders, which may run at most once.
const ORDER_SHARE: f64 = 0.03;

/// One in this many texts of the second level is requested through the chat API.
const CHAT_TEXT_INTERVAL: u64 = 4;

/// Levels of text in the prompts.
#[derive(Clone, Debug)]
pub struct PromptShape {
    /// Words in the text that all prompts of an organisation share.
    pub first: usize,
    /// Texts of the second level.
    pub second: PromptLevel,
    /// Texts of the third level, below each one of the second.
    pub third: PromptLevel,
    /// Tokens requested by a completion.
    pub tokens: Range<u64>,
}

/// Texts at one level, below one text of the level above.
#[derive(Clone, Copy, Debug)]
pub struct PromptLevel {
    /// Number of texts.
    pub texts: u64,
    /// Words in each text.
    pub words: usize,
    /// Skew of their popularity; 1 is uniform.
    pub skew: i32,
}

/// A workload to plan.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Addresses at which callers connect.
    pub routers: Vec<SocketAddr>,
    /// The calling organisations; the first ones call most.
    pub organisations: Vec<OrganisationId>,
    /// The requested model.
    pub model: ModelId,
    /// The called plain service.
    pub service: ServiceId,
    /// Levels of text in the prompts.
    pub shape: PromptShape,
    /// Completions per second.
    pub rate: f64,
    /// Time before the measurement starts.
    pub warm_up: Duration,
    /// Duration of the workload, including the warm-up.
    pub duration: Duration,
    /// When other prefixes become popular, if they do.
    pub shift: Option<Duration>,
    /// Seed of all random choices.
    pub seed: u64,
}

impl PromptShape {
    /// Returns the number of cache blocks in the first two levels.
    pub fn placement_blocks(&self) -> usize {
        (self.first + self.second.words) * TOKEN_BYTES / BLOCK_BYTES
    }
}

impl PromptLevel {
    /// Picks a text; the first ones are the most popular, or the last ones if `shifted`.
    fn pick(self, rng: &mut Pcg64Mcg, shifted: bool) -> u64 {
        let uniform: f64 = rng.random();
        let picked = (uniform.powi(self.skew) * self.texts as f64) as u64;
        if shifted { self.texts - 1 - picked } else { picked }
    }
}

impl Workload {
    /// Plans all requests, in the order in which they are sent.
    pub fn plan(&self) -> Vec<PlannedRequest> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let mut texts = TextCache::default();
        let rate = self.rate / (1.0 - LOOKUP_SHARE - ORDER_SHARE);
        let mut due = Duration::ZERO;
        let mut planned = Vec::new();
        loop {
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            due += Duration::from_secs_f64(-uniform.ln() / rate);
            if self.duration <= due {
                return planned;
            }
            let number = planned.len();
            planned.push(self.plan_request(due, number, &mut texts, &mut rng));
        }
    }

    fn plan_request(
        &self,
        due: Duration,
        number: usize,
        texts: &mut TextCache,
        rng: &mut Pcg64Mcg,
    ) -> PlannedRequest {
        let router = self.routers[rng.random_range(0..self.routers.len())];
        let organisation = pick_organisation(&self.organisations, rng).clone();
        let service = &self.service;
        let draw: f64 = rng.random();
        let kind = if draw < LOOKUP_SHARE {
            RequestKind::Lookup {
                path: format!("/services/{service}/orders/{}", rng.random_range(0..50)),
            }
        } else if draw < LOOKUP_SHARE + ORDER_SHARE {
            let path = format!("/services/{service}/orders");
            RequestKind::Order { path, key: format!("order-{}-{number}", self.seed) }
        } else {
            let shifted = self.shift.is_some_and(|shift| shift <= due);
            RequestKind::CompletionRequest(self.plan_completion(
                &organisation,
                number,
                shifted,
                texts,
                rng,
            ))
        };
        PlannedRequest { due, router, organisation, kind, measured: self.warm_up <= due }
    }

    fn plan_completion(
        &self,
        organisation: &OrganisationId,
        number: usize,
        shifted: bool,
        texts: &mut TextCache,
        rng: &mut Pcg64Mcg,
    ) -> CompletionSpec {
        let PromptShape { first, second, third, tokens } = &self.shape;
        let second_text = second.pick(rng, shifted);
        let third_text = third.pick(rng, shifted);
        let mut prompt = format!("organisation {organisation}\n");
        let levels = [
            (format!("{organisation}"), *first),
            (format!("{organisation} {second_text}"), second.words),
            (format!("{organisation} {second_text} {third_text}"), third.words),
        ];
        for (seed, words) in levels {
            prompt.push_str(texts.text(seed, words));
            prompt.push('\n');
        }
        prompt.push_str(&format!("question {number}"));
        CompletionSpec {
            key: organisation_key(organisation),
            model: self.model.to_string(),
            prompt,
            tokens: rng.random_range(tokens.clone()),
            chat: second_text % CHAT_TEXT_INTERVAL == CHAT_TEXT_INTERVAL - 1,
        }
    }
}

/// Returns the hit rate that `engines` engines with `cache_blocks` blocks each would reach with one
/// shared cache.
///
/// Each prompt, in sending order, looks up its longest cached prefix in one LRU cache of
/// `engines * cache_blocks` blocks and then stores its blocks there. No block is held twice and no
/// request waits, so engines with separate caches stay below this bound. Only measured requests
/// count, but those of the warm-up fill the cache.
pub fn max_hit_rate(planned: &[PlannedRequest], engines: usize, cache_blocks: usize) -> f64 {
    let mut cache = BlockCache::new(engines * cache_blocks);
    let mut computed = HashSet::new();
    let (mut prompt_tokens, mut cached_tokens) = (0, 0);
    for request in planned {
        let RequestKind::CompletionRequest(spec) = &request.kind else { continue };
        let text = spec.text();
        let lookup =
            cache.lookup_and_insert(request.organisation.as_str(), text.as_bytes(), &mut computed);
        if request.measured {
            prompt_tokens += lookup.prompt_tokens;
            cached_tokens += lookup.cached_tokens;
        }
    }
    cached_tokens as f64 / f64::max(prompt_tokens as f64, 1.0)
}

/// Cache of generated texts.
#[derive(Default)]
struct TextCache(HashMap<String, String>);

impl TextCache {
    fn text(&mut self, seed: String, words: usize) -> &str {
        self.0
            .entry(seed)
            .or_insert_with_key(|seed| Generation::after(seed.as_bytes()).take(words).collect())
    }
}
