//! What this router has under way at an endpoint.

use std::{cell::Cell, rc::Rc};

use base::TokenCount;

/// Counts of what is under way.
#[derive(Debug, Default)]
pub(crate) struct InFlightCounts {
    requests: Cell<u32>,
    prefill_tokens: Cell<u64>,
}

/// An endpoint that counts what is under way there.
pub(crate) trait CountsInFlight {
    /// Returns the counts.
    fn in_flight_counts(&self) -> &InFlightCounts;
}

/// A request under way at an endpoint; ends on drop.
pub(crate) struct InFlight<T: CountsInFlight> {
    target: Rc<T>,
    /// Tokens of the request that wait for prefill.
    prefill_tokens: Cell<u64>,
}

impl InFlightCounts {
    /// Returns the requests under way.
    pub(crate) fn requests(&self) -> u32 {
        self.requests.get()
    }

    /// Returns the tokens that wait for prefill.
    pub(crate) fn prefill_tokens(&self) -> TokenCount {
        TokenCount::new(self.prefill_tokens.get())
    }
}

impl<T: CountsInFlight> InFlight<T> {
    /// Counts a request with so many tokens to prefill.
    pub(crate) fn begin(target: &Rc<T>, prefill_tokens: TokenCount) -> Self {
        let (work, tokens) = (target.in_flight_counts(), prefill_tokens.as_u64());
        work.requests.set(work.requests.get() + 1);
        work.prefill_tokens.set(work.prefill_tokens.get() + tokens);
        Self { target: Rc::clone(target), prefill_tokens: Cell::new(tokens) }
    }

    pub(crate) fn target(&self) -> &Rc<T> {
        &self.target
    }

    /// Notes that the prompt has been prefilled.
    pub(crate) fn mark_prefilled(&self) {
        let tokens = self.prefill_tokens.take();
        let work = self.target.in_flight_counts();
        work.prefill_tokens.set(work.prefill_tokens.get() - tokens);
    }
}

impl<T: CountsInFlight> Drop for InFlight<T> {
    fn drop(&mut self) {
        self.mark_prefilled();
        let work = self.target.in_flight_counts();
        work.requests.set(work.requests.get() - 1);
    }
}
