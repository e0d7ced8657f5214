use std::time::Duration;

use base::{EndpointId, MonotonicTime, TokenCount};
use route::{EjectionChange, Outcome};

use super::{BLOCK_TOKENS, ChosenEngine, Router};

impl Router {
    /// Records that the head of an engine's response has arrived.
    pub(in crate::edge) fn record_response_head(
        &mut self,
        now: MonotonicTime,
        chosen: &ChosenEngine,
    ) {
        let data_centre = chosen.in_flight.target().data_centre();
        self.round_trips.record(&data_centre, now.saturating_since(chosen.sent_at));
    }

    /// Records that the engine's first token has arrived.
    ///
    /// Returns the time to first token, `None` if it was recorded before.
    pub(in crate::edge) fn record_first_token(
        &mut self,
        now: MonotonicTime,
        chosen: &ChosenEngine,
    ) -> Option<Duration> {
        if chosen.time_to_first_token.get().is_some() {
            return None;
        }
        let time_to_first_token = now.saturating_since(chosen.sent_at);
        chosen.time_to_first_token.set(Some(time_to_first_token));
        chosen.in_flight.mark_prefilled();
        let change = self.engine_outliers.record(
            now,
            &chosen.endpoint,
            Outcome::Answered(time_to_first_token),
        );
        log_ejection_change(&chosen.endpoint, change);
        Some(time_to_first_token)
    }

    /// Records how many of the prompt's tokens the engine had cached, as its response reports.
    pub(in crate::edge) fn record_usage(
        &mut self,
        now: MonotonicTime,
        chosen: &ChosenEngine,
        cached: TokenCount,
    ) {
        let cached_blocks = (cached.as_u64() / BLOCK_TOKENS) as usize;
        if let Some(slot) = chosen.in_flight.target().prefix_slot() {
            self.prefixes.record_response(
                now,
                slot,
                &chosen.chain,
                chosen.expected_blocks,
                cached_blocks,
            );
        }
        let Some(time_to_first_token) = chosen.time_to_first_token.get() else { return };
        self.policies.record_hold_time(now.saturating_since(chosen.sent_at + time_to_first_token));
        if chosen.was_idle {
            let computed = chosen.prompt_tokens.as_u64().saturating_sub(cached.as_u64());
            self.policies.record_prefill_rate(computed, time_to_first_token);
        }
    }

    /// Records that a request at an engine failed.
    pub(in crate::edge) fn record_failure(&mut self, now: MonotonicTime, chosen: &ChosenEngine) {
        let change = self.engine_outliers.record(now, &chosen.endpoint, Outcome::Failed);
        log_ejection_change(&chosen.endpoint, change);
        if let Some(slot) = chosen.in_flight.target().prefix_slot() {
            self.prefixes.record_failure(now, slot, &chosen.chain, 0);
        }
    }

    /// Records the outcome of a call at an endpoint of a plain service.
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

fn log_ejection_change(endpoint: &EndpointId, change: Option<EjectionChange>) {
    match change {
        Some(EjectionChange::Ejected(_)) => {
            log::warn!("endpoint ejected as an outlier: endpoint={endpoint}")
        }
        Some(EjectionChange::Restored) => {
            log::info!("ejected endpoint restored: endpoint={endpoint}")
        }
        None => {}
    }
}
