use std::time::Duration;

use base::{EndpointId, MonotonicTime, TokenCount};
use route::{Outcome, StandingChange};

use super::{BLOCK_TOKENS, ChosenEngine, Router};

impl Router {
    /// Learns that the head of an engine's response has arrived.
    pub(in crate::edge) fn record_response_head(
        &mut self,
        now: MonotonicTime,
        chosen: &ChosenEngine,
    ) {
        let data_centre = chosen.in_flight.target().data_centre();
        self.round_trips.record(&data_centre, now.saturating_since(chosen.sent_at));
    }

    /// Learns that the engine's first token has arrived; returns the time it took.
    pub(in crate::edge) fn record_first_token(
        &mut self,
        now: MonotonicTime,
        chosen: &ChosenEngine,
    ) -> Option<Duration> {
        if chosen.first_token_after.get().is_some() {
            return None;
        }
        let took = now.saturating_since(chosen.sent_at);
        chosen.first_token_after.set(Some(took));
        chosen.in_flight.prefilled();
        let change = self.engine_outliers.record(now, &chosen.endpoint, Outcome::Answered(took));
        log_ejection_change(&chosen.endpoint, change);
        Some(took)
    }

    /// Learns how many of the prompt's tokens the engine had cached.
    pub(in crate::edge) fn record_usage(
        &mut self,
        now: MonotonicTime,
        chosen: &ChosenEngine,
        cached: TokenCount,
    ) {
        let cached_blocks = (cached.as_u64() / BLOCK_TOKENS) as usize;
        if let Some(slot) = chosen.in_flight.target().slot() {
            self.prefixes.record_response(
                now,
                slot,
                &chosen.chain,
                chosen.expected_blocks,
                cached_blocks,
            );
        }
        let Some(took) = chosen.first_token_after.get() else { return };
        self.policies.record_hold_time(now.saturating_since(chosen.sent_at + took));
        if chosen.was_idle {
            let computed = chosen.prompt_tokens.as_u64().saturating_sub(cached.as_u64());
            self.policies.record_prefill_rate(computed, took);
        }
    }

    /// Learns that a request at an engine failed.
    pub(in crate::edge) fn record_failure(&mut self, now: MonotonicTime, chosen: &ChosenEngine) {
        let change = self.engine_outliers.record(now, &chosen.endpoint, Outcome::Failed);
        log_ejection_change(&chosen.endpoint, change);
        if let Some(slot) = chosen.in_flight.target().slot() {
            self.prefixes.record_failure(now, slot, &chosen.chain, 0);
        }
    }

    /// Learns how a call at an endpoint of a plain service went.
    pub(in crate::edge) fn record_service_outcome(
        &mut self,
        now: MonotonicTime,
        endpoint: &EndpointId,
        outcome: Outcome,
    ) {
        let change = self.service_outliers.record(now, endpoint, outcome);
        log_ejection_change(endpoint, change);
    }
}

fn log_ejection_change(endpoint: &EndpointId, change: Option<StandingChange>) {
    match change {
        Some(StandingChange::Ejected(_)) => log::warn!("endpoint={endpoint} ejected as an outlier"),
        Some(StandingChange::Restored) => log::info!("endpoint={endpoint} restored"),
        None => {}
    }
}
