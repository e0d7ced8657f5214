use std::time::Duration;

use base::TokenRate;
use fleet::setting::{KvTransfer, RoutingPolicy};
use rand::Rng;
use route::{
    Candidate, Hash, LeastInFlight, Policy as _, Request, RoundRobin, TtftEstimate, Warm,
    WarmSettings, WarmV1,
};

/// Routing settings in force for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RoutingPreferences {
    pub policy: RoutingPolicy,
    pub warmth_weight: f64,
    pub wait_weight: f64,
    /// Leading blocks of the prompt that decide its home.
    pub placement_level: usize,
    pub kv_transfer: KvTransfer,
}

impl From<&fleet::Settings> for RoutingPreferences {
    fn from(settings: &fleet::Settings) -> Self {
        Self {
            policy: settings.routing_policy,
            warmth_weight: settings.warmth_weight.as_f64(),
            wait_weight: settings.wait_weight.as_f64(),
            placement_level: settings.placement_level.as_u32() as usize,
            kv_transfer: settings.kv_transfer,
        }
    }
}

/// Fewest computed tokens from which a prefill rate is sampled.
const MIN_RATE_SAMPLE_TOKENS: u64 = 128;

/// Inverse of a sample's weight in the moving average of the prefill rate.
const RATE_SMOOTHING: u64 = 16;

/// Inverse of a sample's weight in the moving average of the hold time.
const HOLD_TIME_SMOOTHING: u32 = 64;

/// The routing policies, with the state that they keep between choices.
#[derive(Default)]
pub(super) struct Policies {
    round_robin: RoundRobin,
    warm_v1: WarmV1,
    warm: Warm,
    prefill_rate: Option<u64>,
    hold_time: Option<Duration>,
}

impl Policies {
    /// Returns the position of the chosen candidate, `None` if there is none.
    pub(super) fn choose<R: Rng>(
        &mut self,
        preferences: &RoutingPreferences,
        req: &Request,
        candidates: &[Candidate],
        rng: &mut R,
    ) -> Option<usize> {
        match preferences.policy {
            RoutingPolicy::RoundRobin => self.round_robin.choose(req, candidates, rng),
            RoutingPolicy::LeastInFlight => LeastInFlight.choose(req, candidates, rng),
            RoutingPolicy::Hash => Hash.choose(req, candidates, rng),
            RoutingPolicy::WarmV1 => self.warm_v1.choose(req, candidates, rng),
            RoutingPolicy::Warm => {
                self.warm.set_settings(self.warm_settings(preferences));
                self.warm.choose(req, candidates, rng)
            }
        }
    }

    /// Returns the parts of each candidate's score under the policy `warm`.
    pub(super) fn explain(
        &mut self,
        preferences: &RoutingPreferences,
        req: &Request,
        candidates: &[Candidate],
    ) -> Vec<TtftEstimate> {
        self.warm.set_settings(self.warm_settings(preferences));
        self.warm.explain(req, candidates)
    }

    /// Updates the engines' prefill rate from a response to the engine's only request in flight.
    pub(super) fn record_prefill_rate(&mut self, computed_tokens: u64, elapsed: Duration) {
        if computed_tokens < MIN_RATE_SAMPLE_TOKENS || elapsed.is_zero() {
            return;
        }
        let rate = (computed_tokens as f64 / elapsed.as_secs_f64()) as u64;
        let previous = self.prefill_rate.unwrap_or(rate);
        self.prefill_rate = Some((previous * (RATE_SMOOTHING - 1) + rate) / RATE_SMOOTHING);
    }

    /// Updates the hold time with an engine's time from a request's first token to its last.
    pub(super) fn record_hold_time(&mut self, elapsed: Duration) {
        let previous = self.hold_time.unwrap_or(elapsed);
        self.hold_time =
            Some((previous * (HOLD_TIME_SMOOTHING - 1) + elapsed) / HOLD_TIME_SMOOTHING);
    }

    /// Returns the average time for which a request holds an engine's slot, if one has ended.
    pub(super) fn hold_time(&self) -> Option<Duration> {
        self.hold_time
    }

    /// Returns the estimated prefill rate of the engines.
    pub(super) fn prefill_rate(&self) -> TokenRate {
        self.prefill_rate.map_or(WarmSettings::default().prefill_rate, TokenRate::new)
    }

    fn warm_settings(&self, preferences: &RoutingPreferences) -> WarmSettings {
        let defaults = WarmSettings::default();
        WarmSettings {
            prefill_rate: self.prefill_rate(),
            hold_time: self.hold_time.unwrap_or(defaults.hold_time),
            compute_weight: preferences.warmth_weight,
            wait_weight: preferences.wait_weight,
            ..defaults
        }
    }
}
