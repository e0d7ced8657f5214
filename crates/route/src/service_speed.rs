use std::time::Duration;

use base::{TokenCount, TokenRate};

use crate::{EngineSpeed, InFlightLoad, WarmSettings, linear_fit::LinearFit};

/// Number of streams that the mean hold time is taken over; at a few streams a second, it follows a
/// change within ten seconds.
const HOLD_TIME_STREAMS: f64 = 32.0;

/// Fewest streams from which the mean hold time replaces the default.
const MIN_HOLD_TIME_STREAMS: f64 = 8.0;

/// Shortest hold time.
const MIN_HOLD_TIME: Duration = Duration::from_millis(50);

/// Longest hold time.
const MAX_HOLD_TIME: Duration = Duration::from_secs(30);

/// Number of prompts that the prefill rate is fitted over.
const PREFILL_PROMPTS: f64 = 64.0;

/// Fewest prompts that the prefill rate is fitted over.
const MIN_PREFILL_PROMPTS: f64 = 12.0;

/// Standard errors by which the time per token must exceed zero. With fewer, a service whose prompts
/// are of similar lengths would get a rate from noise.
const MIN_PREFILL_SIGNIFICANCE: f64 = 3.0;

/// Lowest prefill rate, 5 tokens/ms.
const MIN_PREFILL_RATE: u64 = 5_000;

/// Highest prefill rate, 200 tokens/ms.
const MAX_PREFILL_RATE: u64 = 200_000;

/// Most requests in flight at an engine, the prompt included, with which the time to its first event
/// shows its prefill; a third of the usual 12 slots.
const MAX_REQUESTS_DURING_PREFILL: u32 = 4;

/// Time beyond a prompt's prefill at the lowest rate from which its engine has waited, not prefilled.
const MAX_TIME_BESIDE_PREFILL: Duration = Duration::from_secs(1);

/// Shortest time to the first event of a cached prompt.
const MIN_CACHED_TTFT: Duration = Duration::from_millis(5);

/// Longest time to the first event of a cached prompt.
const MAX_CACHED_TTFT: Duration = Duration::from_secs(1);

/// Share of a value by which it differs clearly from an earlier one.
const CLEAR_CHANGE: f64 = 0.25;

/// The speed of a service's engines, as a router learns it from its own prompts.
///
/// The *hold time* is the time from sending a prompt to the end of its stream, in which it takes one
/// of the engine's slots. The *prefill rate* is the slope of a linear fit of the time to the first
/// event against the uncached tokens. The defaults apply until enough was observed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceSpeed {
    /// Number of streams, with older ones counted in part.
    streams: f64,
    /// Mean hold time of these streams, in seconds.
    mean_hold_time: f64,
    /// Times to the first event in milliseconds, against thousands of uncached tokens.
    prefill: LinearFit,
    /// The last significant fit.
    fitted: Option<FittedPrefill>,
}

/// The time to the first event as a line.
#[derive(Clone, Copy, Debug, PartialEq)]
struct FittedPrefill {
    rate: TokenRate,
    /// Time to the first event of a prompt that is cached completely.
    cached_ttft: Duration,
}

impl ServiceSpeed {
    /// Returns the mean hold time, or the default while it is unknown.
    pub fn hold_time(&self) -> Duration {
        if self.streams < MIN_HOLD_TIME_STREAMS {
            return WarmSettings::default().hold_time;
        }
        Duration::from_secs_f64(self.mean_hold_time)
    }

    /// Returns the prefill rate, or the default while it is unknown.
    pub fn prefill_rate(&self) -> TokenRate {
        self.fitted.map_or(EngineSpeed::default().prefill_rate, |fitted| fitted.rate)
    }

    /// Returns the time in which an engine prefills `tokens`.
    pub fn prefill_time(&self, tokens: TokenCount) -> Duration {
        let rate = self.prefill_rate().as_u64().max(1) as f64;
        Duration::from_secs_f64(tokens.as_u64() as f64 / rate)
    }

    /// Returns the expected time to the first event of the last prompt of `load`, for comparisons among
    /// the service's engines; the default line while the fit is unknown.
    pub fn expected_ttft(&self, load: InFlightLoad) -> Duration {
        let default = EngineSpeed::default();
        let cached_ttft = self.fitted.map_or(default.cached_ttft, |fitted| fitted.cached_ttft);
        cached_ttft + self.prefill_time(load.prefill_tokens)
    }

    /// Records the time from sending a prompt to the end of its stream.
    pub fn record_stream(&mut self, hold_time: Duration) {
        let hold_time = hold_time.clamp(MIN_HOLD_TIME, MAX_HOLD_TIME).as_secs_f64();
        self.streams = self.streams * (1.0 - 1.0 / HOLD_TIME_STREAMS) + 1.0;
        self.mean_hold_time += (hold_time - self.mean_hold_time) / self.streams;
    }

    /// Records a stream that was given up or broke off after `lasted`, a lower bound of its hold time.
    ///
    /// It counts only if it is longer than the mean, since short ones would hide the long streams that
    /// callers give up.
    pub fn record_unfinished_stream(&mut self, lasted: Duration) {
        if self.hold_time() < lasted {
            self.record_stream(lasted);
        }
    }

    /// Returns whether the time to the first event of a prompt shows the prefill of its `uncached`
    /// tokens, by the load of its engine, the prompt included: few other streams, and no other prompt
    /// waiting.
    pub fn shows_prefill(load: InFlightLoad, uncached: TokenCount) -> bool {
        load.requests <= MAX_REQUESTS_DURING_PREFILL && load.prefill_tokens <= uncached
    }

    /// Records the time to the first event of a prompt for which [`Self::shows_prefill`] was true.
    pub fn record_prefill(&mut self, uncached: TokenCount, first_event: Duration) {
        let tokens = uncached.as_u64() as f64;
        let slowest = MAX_TIME_BESIDE_PREFILL.as_secs_f64() + tokens / MIN_PREFILL_RATE as f64;
        if slowest < first_event.as_secs_f64() {
            return;
        }
        self.prefill.add(PREFILL_PROMPTS, tokens / 1_000.0, first_event.as_secs_f64() * 1_000.0);
        if let Some(slope) = self.prefill.slope(MIN_PREFILL_PROMPTS, MIN_PREFILL_SIGNIFICANCE) {
            let rate = (1_000_000.0 / slope).round() as u64;
            let bounded = rate.clamp(MIN_PREFILL_RATE, MAX_PREFILL_RATE);
            let cached_ttft = self.prefill.value_at(0.0, slope) / 1_000.0;
            let (min, max) = (MIN_CACHED_TTFT.as_secs_f64(), MAX_CACHED_TTFT.as_secs_f64());
            self.fitted = Some(FittedPrefill {
                rate: TokenRate::new(bounded),
                cached_ttft: Duration::from_secs_f64(cached_ttft.clamp(min, max)),
            });
        }
    }

    /// Returns whether the hold time or the prefill rate differs from an earlier one by more than a
    /// quarter.
    pub fn differs_clearly(&self, earlier: &Self) -> bool {
        let differs = |new: f64, old: f64| CLEAR_CHANGE < (new / old - 1.0).abs();
        let rate = |speed: &Self| speed.prefill_rate().as_u64() as f64;
        differs(self.hold_time().as_secs_f64(), earlier.hold_time().as_secs_f64())
            || differs(rate(self), rate(earlier))
    }
}
