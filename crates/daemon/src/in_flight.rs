//! Requests that this router has in flight at an endpoint.

use std::{cell::Cell, rc::Rc};

use base::TokenCount;

/// Counts of an endpoint's requests in flight.
#[derive(Debug, Default)]
pub(crate) struct InFlightCounts {
    requests: Cell<u32>,
    prefill_tokens: Cell<u64>,
}

/// An endpoint that counts its requests in flight.
pub(crate) trait CountsInFlight {
    /// Returns the counts.
    fn in_flight_counts(&self) -> &InFlightCounts;
}

/// A request in flight at an endpoint, until dropped.
pub(crate) struct InFlight<T: CountsInFlight> {
    target: Rc<T>,
    /// The request's tokens that wait for prefill.
    prefill_tokens: Cell<u64>,
}

impl InFlightCounts {
    /// Returns the number of requests in flight.
    pub(crate) fn requests(&self) -> u32 {
        self.requests.get()
    }

    /// Returns the number of tokens that wait for prefill.
    pub(crate) fn prefill_tokens(&self) -> TokenCount {
        TokenCount::new(self.prefill_tokens.get())
    }
}

impl<T: CountsInFlight> InFlight<T> {
    /// Counts a request with `prefill_tokens` to prefill.
    pub(crate) fn begin(target: &Rc<T>, prefill_tokens: TokenCount) -> Self {
        let (counts, tokens) = (target.in_flight_counts(), prefill_tokens.as_u64());
        counts.requests.set(counts.requests.get() + 1);
        counts.prefill_tokens.set(counts.prefill_tokens.get() + tokens);
        Self { target: Rc::clone(target), prefill_tokens: Cell::new(tokens) }
    }

    pub(crate) fn target(&self) -> &Rc<T> {
        &self.target
    }

    /// Records that the prompt has been prefilled.
    pub(crate) fn mark_prefilled(&self) {
        let tokens = self.prefill_tokens.take();
        let counts = self.target.in_flight_counts();
        counts.prefill_tokens.set(counts.prefill_tokens.get() - tokens);
    }
}

impl<T: CountsInFlight> Drop for InFlight<T> {
    fn drop(&mut self) {
        self.mark_prefilled();
        let counts = self.target.in_flight_counts();
        counts.requests.set(counts.requests.get() - 1);
    }
}
