//! Whether cached blocks (KV) are fetched from elsewhere or computed again.

use std::time::Duration;

use base::TokenRate;

/// What fetching blocks and computing them costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TransferSettings {
    /// Time to fetch a block, without the round trip.
    pub block_time: Duration,
    /// Tokens in a block.
    pub block_tokens: u64,
    /// Rate at which an engine computes a prompt's tokens.
    pub prefill_rate: TokenRate,
    /// Part of the time to compute that fetching must save at least.
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

/// A place that is believed to hold the first blocks of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Source {
    /// Leading blocks that it is believed to hold.
    pub blocks: usize,
    /// Time for a message to it and back.
    pub round_trip: Duration,
}

impl TransferSettings {
    /// Returns the time that fetching from `source` saves an engine that holds `held` blocks, in
    /// seconds; `None` unless it is cheaper by the margin.
    pub fn saving(&self, held: usize, source: &Source) -> Option<f64> {
        let missing = source.blocks.saturating_sub(held) as f64;
        let fetch = source.round_trip.as_secs_f64() + missing * self.block_time.as_secs_f64();
        let rate = (self.prefill_rate.as_u64() as f64).max(1.0);
        let compute = missing * self.block_tokens as f64 / rate;
        let saving = compute - fetch;
        (0.0 < saving && compute * self.margin <= saving).then_some(saving)
    }
}

/// Returns the position of the source that saves an engine with `held` blocks the most time,
/// `None` if computing the rest of the prompt is cheaper.
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
pub fn choose_source(cfg: &TransferSettings, held: usize, sources: &[Source]) -> Option<usize> {
    let savings = sources.iter().enumerate();
    let savings = savings.filter_map(|(i, source)| Some((i, cfg.saving(held, source)?)));
    savings.max_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(i, _)| i)
}
