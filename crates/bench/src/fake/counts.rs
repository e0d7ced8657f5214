//! Counters of a fake engine, with sums and differences.

/// Counters of a fake engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Requests received.
    pub requests: u64,
    /// Streams that ended early because the reader disconnected or was replaced.
    pub cancelled: u64,
    /// Streams resumed.
    pub resumed: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Prompt tokens received.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Prompt tokens computed here that some engine had computed before.
    pub wasted_tokens: u64,
    /// Fetches of blocks from another engine or the store.
    pub fetches: u64,
    /// Prompt tokens fetched; they count as cached too.
    pub fetched_tokens: u64,
}

impl EngineCounts {
    /// Returns the sums of the counters of two engines, or of two incarnations of one.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            cancelled: self.cancelled + other.cancelled,
            resumed: self.resumed + other.resumed,
            generated: self.generated + other.generated,
            prompt_tokens: self.prompt_tokens + other.prompt_tokens,
            cached_tokens: self.cached_tokens + other.cached_tokens,
            wasted_tokens: self.wasted_tokens + other.wasted_tokens,
            fetches: self.fetches + other.fetches,
            fetched_tokens: self.fetched_tokens + other.fetched_tokens,
        }
    }

    /// Returns the increase since an earlier reading.
    #[must_use]
    pub fn minus(&self, earlier: &Self) -> Self {
        Self {
            requests: self.requests - earlier.requests,
            cancelled: self.cancelled - earlier.cancelled,
            resumed: self.resumed - earlier.resumed,
            generated: self.generated - earlier.generated,
            prompt_tokens: self.prompt_tokens - earlier.prompt_tokens,
            cached_tokens: self.cached_tokens - earlier.cached_tokens,
            wasted_tokens: self.wasted_tokens - earlier.wasted_tokens,
            fetches: self.fetches - earlier.fetches,
            fetched_tokens: self.fetched_tokens - earlier.fetched_tokens,
        }
    }
}
