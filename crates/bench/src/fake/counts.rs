use super::EngineCounts;

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
