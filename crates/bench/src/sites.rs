//! The two sites of the measurements: their layout, workload and engines.

use std::{fmt, str::FromStr, time::Duration};

use base::ParseError;
use route::PolicyKind;

use crate::{
    Fault,
    fake::EngineConfig,
    site::{Site, SiteSpec},
    workload::{PromptLevel, PromptShape},
};

/// A site to measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiteKind {
    /// Long prompts: house style, school, page.
    Printers,
    /// Shorter prompts: archive, well, question.
    Villagers,
}

/// Cache size of a site's engine, in blocks.
pub const CACHE_BLOCKS: usize = 2_000;

/// Most concurrent streams of a site's engine.
pub const MAX_RUNNING: usize = 8;

/// Time in which a site's engine prefills one token.
pub const PREFILL_TIME_PER_TOKEN: Duration = Duration::from_micros(125);

/// Time between two tokens of a stream that is the engine's only one.
pub const DECODE_TIME_PER_TOKEN: Duration = Duration::from_millis(40);

/// Time that each other running stream adds to [`DECODE_TIME_PER_TOKEN`].
pub const DECODE_TIME_PER_STREAM: Duration = Duration::from_micros(500);

/// Tokens requested by a completion.
pub const COMPLETION_TOKENS: std::ops::Range<u64> = 8..25;

/// Engines in each data centre.
const ENGINES_PER_DATA_CENTRE: usize = 6;

impl SiteKind {
    /// Every site.
    pub const ALL: [Self; 2] = [Self::Printers, Self::Villagers];

    /// Returns the site's name.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Printers => "printers",
            Self::Villagers => "villagers",
        }
    }

    /// Returns the one-way network delay between data centres.
    pub fn one_way_delay(self) -> Duration {
        match self {
            Self::Printers => Duration::from_micros(5_000),
            Self::Villagers => Duration::from_micros(3_500),
        }
    }

    /// Returns the shape of the workload's prompts.
    pub fn shape(self) -> PromptShape {
        let level = |texts, words, skew| PromptLevel { texts, words, skew };
        match self {
            Self::Printers => PromptShape {
                first: 1_600,
                second: level(5, 960, 2),
                third: level(16, 640, 3),
                tokens: COMPLETION_TOKENS,
            },
            Self::Villagers => PromptShape {
                first: 800,
                second: level(8, 320, 2),
                third: level(30, 160, 3),
                tokens: COMPLETION_TOKENS,
            },
        }
    }

    /// Returns the site's configuration: eight daemons, 18 engines, three service endpoints.
    pub fn spec(self, seed: u64) -> SiteSpec {
        let (model, service, organisation) = match self {
            Self::Printers => ("diary-8b", "orders", "school"),
            Self::Villagers => ("blessing-8b", "shifts", "family"),
        };
        let data_centres = ["a", "b", "c"];
        let engines = ENGINES_PER_DATA_CENTRE * data_centres.len();
        let id = |n| format!("{organisation}-{n}").parse().expect("a valid id");
        SiteSpec {
            daemons: data_centres.into_iter().cycle().take(8).collect(),
            voters: 3,
            engines: data_centres.into_iter().cycle().take(engines).collect(),
            services: data_centres.to_vec(),
            kv_store: None,
            model: model.parse().expect("a valid id"),
            service: service.parse().expect("a valid id"),
            organisations: (1..=8).map(id).collect(),
            flags: Vec::new(),
            tune,
            seed,
        }
    }

    /// Returns the declaration with which the site runs `policy`.
    ///
    /// Prompts are placed by their first two levels. The printers' site has a lower weight of the
    /// queueing time than the villagers', and so prefers cached prefixes more.
    pub fn declaration(self, policy: PolicyKind) -> String {
        let level = self.shape().placement_blocks();
        let wait = match self {
            Self::Printers => 0.8,
            Self::Villagers => 1.0,
        };
        format!(
            "[defaults]\nrouting-policy = \"{policy}\"\nplacement-level = {level}\n\
             wait-weight = {wait:.1}\nqueue-deadline = \"250ms\"\n"
        )
    }

    /// Returns how many completions per second the engines can serve when all prompts are cached.
    ///
    /// A completion occupies one of an engine's [`MAX_RUNNING`] slots while its tokens are decoded.
    /// Prefill is not counted, so that the capacity is the same for every policy.
    pub fn capacity(self) -> f64 {
        let engines = ENGINES_PER_DATA_CENTRE * 3;
        let mean_tokens = (COMPLETION_TOKENS.start + COMPLETION_TOKENS.end - 1) / 2;
        let token = DECODE_TIME_PER_TOKEN + DECODE_TIME_PER_STREAM * (MAX_RUNNING as u32 - 1);
        let slot_seconds = token.as_secs_f64() * mean_tokens as f64;
        (engines * MAX_RUNNING) as f64 / slot_seconds
    }
}

/// Delays every connection from a daemon to an endpoint or daemon in another data centre.
pub fn set_data_centre_delay(site: &Site, one_way: Duration) {
    for (daemon, data_centre) in site.daemons.iter().zip(&site.spec.daemons) {
        let source = daemon.spec().listen.ip();
        let engines = site.engines.iter().map(|node| &node.proxy).zip(&site.spec.engines);
        let services = site.services.iter().map(|node| &node.proxy).zip(&site.spec.services);
        let peers = site.peer_proxies.iter().zip(&site.spec.daemons);
        for (proxy, target_data_centre) in engines.chain(services).chain(peers) {
            if data_centre != target_data_centre {
                proxy.set_for(source, Fault::delay(one_way));
            }
        }
    }
}

/// Delays every connection to the KV store by `one_way`, whatever its source.
pub fn set_kv_store_delay(site: &Site, one_way: Duration) {
    if let Some(node) = &site.kv_store {
        node.proxy.set(Fault::delay(one_way));
    }
}

fn tune(cfg: &mut EngineConfig) {
    cfg.cache_blocks = CACHE_BLOCKS;
    cfg.prefill_token = PREFILL_TIME_PER_TOKEN;
    cfg.decode_token = DECODE_TIME_PER_TOKEN;
    cfg.decode_share = DECODE_TIME_PER_STREAM;
    cfg.max_running = MAX_RUNNING;
}

impl fmt::Display for SiteKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for SiteKind {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let found = Self::ALL.into_iter().find(|site| site.as_str() == text);
        found.ok_or_else(|| ParseError::new("site", text, "printers or villagers"))
    }
}
