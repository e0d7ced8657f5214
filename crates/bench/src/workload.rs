//! The traffic of a measured site, planned before the run, and the best hit rate it allows.

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
    load::{Kind, Planned, pick_organisation},
    model::{Generation, TOKEN_BYTES},
    site::organisation_key,
};

/// Bytes in a block of the engines' caches.
const BLOCK_BYTES: usize = 64;

/// Share of requests that look a status up.
const LOOKUP_SHARE: f64 = 0.12;

/// Share of requests that may run at most once.
const ORDER_SHARE: f64 = 0.03;

/// One in so many texts of the second level is asked for by chat.
const CHAT_EVERY: u64 = 4;

/// The prompts' levels.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Words of the text that all prompts of an organisation share.
    pub first: usize,
    /// The texts below that one.
    pub second: Level,
    /// The texts below each of those.
    pub third: Level,
    /// Tokens that a completion asks for.
    pub tokens: Range<u64>,
}

/// Texts of one level below one text of the level above.
#[derive(Clone, Copy, Debug)]
pub struct Level {
    /// How many there are.
    pub texts: u64,
    /// Words in each.
    pub words: usize,
    /// How unequal their use is: 1 for all alike.
    pub skew: i32,
}

/// Traffic to be planned.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Where callers connect.
    pub routers: Vec<SocketAddr>,
    /// The organisations that call; the first ones call most.
    pub organisations: Vec<OrganisationId>,
    /// The model asked.
    pub model: ModelId,
    /// The plain service called.
    pub service: ServiceId,
    /// The prompts' levels.
    pub shape: Shape,
    /// Completions a second.
    pub rate: f64,
    /// How long to send before the measurement begins.
    pub warm_up: Duration,
    /// How long to send, the warm-up included.
    pub span: Duration,
    /// When other prefixes become hot, if they do.
    pub shift: Option<Duration>,
    /// Decides everything that is random.
    pub seed: u64,
}

impl Shape {
    /// Returns how many blocks the first two levels fill.
    pub fn placement_blocks(&self) -> usize {
        (self.first + self.second.words) * TOKEN_BYTES / BLOCK_BYTES
    }
}

impl Level {
    /// Picks a text; the first ones are picked most, or the last ones once they `shifted`.
    fn pick(self, rng: &mut Pcg64Mcg, shifted: bool) -> u64 {
        let uniform: f64 = rng.random();
        let picked = (uniform.powi(self.skew) * self.texts as f64) as u64;
        if shifted { self.texts - 1 - picked } else { picked }
    }
}

impl Workload {
    /// Plans all requests in the order of their sending.
    pub fn plan(&self) -> Vec<Planned> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let mut texts = Texts::default();
        let rate = self.rate / (1.0 - LOOKUP_SHARE - ORDER_SHARE);
        let mut due = Duration::ZERO;
        let mut planned = Vec::new();
        loop {
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            due += Duration::from_secs_f64(-uniform.ln() / rate);
            if self.span <= due {
                return planned;
            }
            let number = planned.len();
            planned.push(self.request(due, number, &mut texts, &mut rng));
        }
    }

    fn request(
        &self,
        due: Duration,
        number: usize,
        texts: &mut Texts,
        rng: &mut Pcg64Mcg,
    ) -> Planned {
        let router = self.routers[rng.random_range(0..self.routers.len())];
        let organisation = pick_organisation(&self.organisations, rng).clone();
        let service = &self.service;
        let draw: f64 = rng.random();
        let kind = if draw < LOOKUP_SHARE {
            Kind::Lookup { path: format!("/services/{service}/orders/{}", rng.random_range(0..50)) }
        } else if draw < LOOKUP_SHARE + ORDER_SHARE {
            let path = format!("/services/{service}/orders");
            Kind::Order { path, key: format!("order-{}-{number}", self.seed) }
        } else {
            let shifted = self.shift.is_some_and(|shift| shift <= due);
            Kind::CompletionSpec(self.ask(&organisation, number, shifted, texts, rng))
        };
        Planned { due, router, organisation, kind, measured: self.warm_up <= due }
    }

    fn ask(
        &self,
        organisation: &OrganisationId,
        number: usize,
        shifted: bool,
        texts: &mut Texts,
        rng: &mut Pcg64Mcg,
    ) -> CompletionSpec {
        let Shape { first, second, third, tokens } = &self.shape;
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
            chat: second_text % CHAT_EVERY == CHAT_EVERY - 1,
        }
    }
}

/// Returns the hit rate that `engines` engines with `cache_blocks` blocks each would reach if their
/// caches were one and every request knew all of it.
///
/// Each prompt, in the order of sending, looks its longest cached prefix up in one cache of
/// `engines * cache_blocks` blocks, least recently used out first, and leaves its blocks there. No
/// block is held twice and nothing waits, so engines with caches of their own stay below it. Only
/// measured requests count, but those of the warm-up fill the cache.
pub fn bound(planned: &[Planned], engines: usize, cache_blocks: usize) -> f64 {
    let mut cache = BlockCache::new(engines * cache_blocks);
    let mut computed = HashSet::new();
    let (mut prompt_tokens, mut cached_tokens) = (0, 0);
    for request in planned {
        let Kind::CompletionSpec(ask) = &request.kind else { continue };
        let text = ask.text();
        let lookup = cache.take(request.organisation.as_str(), text.as_bytes(), &mut computed);
        if request.measured {
            prompt_tokens += lookup.prompt_tokens;
            cached_tokens += lookup.cached_tokens;
        }
    }
    cached_tokens as f64 / f64::max(prompt_tokens as f64, 1.0)
}

/// Texts already made.
#[derive(Default)]
struct Texts(HashMap<String, String>);

impl Texts {
    fn text(&mut self, seed: String, words: usize) -> &str {
        self.0
            .entry(seed)
            .or_insert_with_key(|seed| Generation::after(seed.as_bytes()).take(words).collect())
    }
}
