use std::time::Duration;

use base::{EndpointId, MonotonicTime, TokenCount};
use route::{Outcome, StandingChange};

use super::{BLOCK_TOKENS, Chosen, Router};

impl Router {
    /// Learns that the head of an engine's answer has arrived.
    pub(in crate::edge) fn head_arrived(&mut self, now: MonotonicTime, chosen: &Chosen) {
        let data_centre = chosen.in_flight.target().data_centre();
        self.round_trips.record(&data_centre, now.saturating_since(chosen.sent));
    }

    /// Learns that the engine's first token has arrived; returns the time it took.
    pub(in crate::edge) fn first_token(
        &mut self,
        now: MonotonicTime,
        chosen: &Chosen,
    ) -> Option<Duration> {
        if chosen.begun.get().is_some() {
            return None;
        }
        let took = now.saturating_since(chosen.sent);
        chosen.begun.set(Some(took));
        chosen.in_flight.mark_prefilled();
        let change = self.engine_outliers.record(now, &chosen.endpoint, Outcome::Answered(took));
        log_change(&chosen.endpoint, change);
        Some(took)
    }

    /// Learns how many of the prompt's tokens the engine had cached.
    pub(in crate::edge) fn answered(
        &mut self,
        now: MonotonicTime,
        chosen: &Chosen,
        cached: TokenCount,
    ) {
        let cached_blocks = (cached.as_u64() / BLOCK_TOKENS) as usize;
        if let Some(slot) = chosen.in_flight.target().slot() {
            self.warmth.answered(now, slot, &chosen.chain, chosen.believed, cached_blocks);
        }
        let Some(took) = chosen.begun.get() else { return };
        self.policies.learn_hold_time(now.saturating_since(chosen.sent + took));
        if chosen.was_idle {
            let computed = chosen.prompt_tokens.as_u64().saturating_sub(cached.as_u64());
            self.policies.learn_prefill_rate(computed, took);
        }
    }

    /// Learns that a request at an engine failed.
    pub(in crate::edge) fn failed(&mut self, now: MonotonicTime, chosen: &Chosen) {
        let change = self.engine_outliers.record(now, &chosen.endpoint, Outcome::Failed);
        log_change(&chosen.endpoint, change);
        if let Some(slot) = chosen.in_flight.target().slot() {
            self.warmth.failed(now, slot, &chosen.chain, 0);
        }
    }

    /// Learns how a call at an endpoint of a plain service went.
    pub(in crate::edge) fn service_ended(
        &mut self,
        now: MonotonicTime,
        endpoint: &EndpointId,
        outcome: Outcome,
    ) {
        let change = self.service_outliers.record(now, endpoint, outcome);
        log_change(endpoint, change);
    }
}

fn log_change(endpoint: &EndpointId, change: Option<StandingChange>) {
    match change {
        Some(StandingChange::Ejected(_)) => log::warn!("endpoint={endpoint} ejected as an outlier"),
        Some(StandingChange::Restored) => log::info!("endpoint={endpoint} restored"),
        None => {}
    }
}
