//! Requests that this router has in flight at an endpoint.

use std::{cell::Cell, rc::Rc};

use base::TokenCount;
use route::Urgency;

/// Counts of an endpoint's requests in flight.
#[derive(Debug, Default)]
pub(crate) struct InFlightCounts {
    requests: Cell<u32>,
    prefill_tokens: Cell<u64>,
    /// The part of `prefill_tokens` that belongs to urgent requests.
    urgent_prefill_tokens: Cell<u64>,
    held_tokens: Cell<u64>,
}

/// What a request adds to the work of its endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Work {
    /// Tokens to prefill.
    pub prefill_tokens: TokenCount,
    pub urgency: Urgency,
    /// Tokens that it occupies until it ends: its prompt and its maximum output.
    pub held_tokens: TokenCount,
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
    urgency: Urgency,
    held_tokens: u64,
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

    /// Returns the number of tokens of urgent requests that wait for prefill.
    pub(crate) fn urgent_prefill_tokens(&self) -> TokenCount {
        TokenCount::new(self.urgent_prefill_tokens.get())
    }

    /// Returns the number of tokens that the requests occupy.
    pub(crate) fn held_tokens(&self) -> TokenCount {
        TokenCount::new(self.held_tokens.get())
    }

    fn add_prefill(&self, urgency: Urgency, tokens: u64) {
        self.prefill_tokens.set(self.prefill_tokens.get() + tokens);
        if urgency == Urgency::Urgent {
            self.urgent_prefill_tokens.set(self.urgent_prefill_tokens.get() + tokens);
        }
    }

    fn remove_prefill(&self, urgency: Urgency, tokens: u64) {
        self.prefill_tokens.set(self.prefill_tokens.get() - tokens);
        if urgency == Urgency::Urgent {
            self.urgent_prefill_tokens.set(self.urgent_prefill_tokens.get() - tokens);
        }
    }
}

impl<T: CountsInFlight> InFlight<T> {
    /// Counts a request with its work.
    pub(crate) fn begin(target: &Rc<T>, work: Work) -> Self {
        let (counts, tokens) = (target.in_flight_counts(), work.prefill_tokens.as_u64());
        counts.requests.set(counts.requests.get() + 1);
        counts.add_prefill(work.urgency, tokens);
        let held_tokens = work.held_tokens.as_u64();
        counts.held_tokens.set(counts.held_tokens.get() + held_tokens);
        let (target, prefill_tokens) = (Rc::clone(target), Cell::new(tokens));
        Self { target, prefill_tokens, urgency: work.urgency, held_tokens }
    }

    pub(crate) fn target(&self) -> &Rc<T> {
        &self.target
    }

    /// Records that the prompt has been prefilled.
    pub(crate) fn mark_prefilled(&self) {
        let tokens = self.prefill_tokens.take();
        self.target.in_flight_counts().remove_prefill(self.urgency, tokens);
    }
}

impl<T: CountsInFlight> Drop for InFlight<T> {
    fn drop(&mut self) {
        self.mark_prefilled();
        let counts = self.target.in_flight_counts();
        counts.requests.set(counts.requests.get() - 1);
        counts.held_tokens.set(counts.held_tokens.get() - self.held_tokens);
    }
}
