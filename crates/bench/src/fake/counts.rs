//! What a fake engine counts, with sums and differences.

/// What a fake engine counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Requests that arrived.
    pub requests: u64,
    /// Streams that ended before their end mark, since the reader had gone.
    pub cancelled: u64,
    /// Streams resumed.
    pub resumed: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Prompt tokens that arrived.
    pub prompt_tokens: u64,
    /// Prompt tokens that were cached.
    pub cached_tokens: u64,
    /// Prompt tokens computed again.
    pub wasted_tokens: u64,
    /// Times that another place was asked for blocks.
    pub fetches: u64,
    /// Prompt tokens fetched, which then count as cached.
    pub fetched_tokens: u64,
}

impl EngineCounts {
    /// Returns the sums of what two engines, or two lives of one, counted.
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

    /// Returns what was counted since an earlier reading.
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
