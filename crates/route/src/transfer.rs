//! Decides whether KV cache blocks are fetched from elsewhere or recomputed.

use std::time::Duration;

use base::TokenRate;

/// Costs of fetching blocks and of computing them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TransferSettings {
    /// Time to fetch a block, without the round trip.
    pub block_time: Duration,
    /// Tokens in a block.
    pub block_tokens: u64,
    /// Rate at which an engine computes a prompt's tokens.
    pub prefill_rate: TokenRate,
    /// Minimum share of the compute time that fetching must save.
    pub margin: f64,
}

impl Default for TransferSettings {
    fn default() -> Self {
        Self {
            block_time: Duration::from_micros(250),
            block_tokens: 16,
            prefill_rate: TokenRate::new(20_000),
            margin: 0.2,
        }
    }
}

/// An endpoint or store that is expected to hold the first blocks of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Source {
    /// Number of leading blocks that it is expected to hold.
    pub blocks: usize,
    /// Round-trip time to it.
    pub round_trip: Duration,
}

impl TransferSettings {
    /// Returns the time, in seconds, that an engine saves by fetching from `source` if it has cached
    /// the first `cached_blocks`; `None` if it saves less than the margin.
    pub fn saving(&self, cached_blocks: usize, source: &Source) -> Option<f64> {
        let missing = source.blocks.saturating_sub(cached_blocks) as f64;
        let fetch = source.round_trip.as_secs_f64() + missing * self.block_time.as_secs_f64();
        let rate = (self.prefill_rate.as_u64() as f64).max(1.0);
        let compute = missing * self.block_tokens as f64 / rate;
        let saving = compute - fetch;
        (0.0 < saving && compute * self.margin <= saving).then_some(saving)
    }
}

/// Returns the index of the source that saves the most time for an engine that has cached the first
/// `cached_blocks` of the prompt, `None` if computing the rest is cheaper.
///
/// # Examples
///
/// ```
/// use route::{Source, TransferSettings, choose_source};
///
/// let near = Source { blocks: 100, ..Source::default() };
/// assert_eq!(choose_source(&TransferSettings::default(), 20, &[near]), Some(0));
/// assert_eq!(choose_source(&TransferSettings::default(), 100, &[near]), None);
/// ```
pub fn choose_source(
    cfg: &TransferSettings,
    cached_blocks: usize,
    sources: &[Source],
) -> Option<usize> {
    let savings = sources.iter().enumerate();
    let savings = savings.filter_map(|(i, source)| Some((i, cfg.saving(cached_blocks, source)?)));
    savings.max_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(i, _)| i)
}
