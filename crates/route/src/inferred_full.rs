use std::time::Duration;

use base::MonotonicTime;

/// Divisor of the weight of one request in the mean hold time.
const HOLD_TIME_WEIGHT_DIVISOR: u32 = 16;

/// Longest time that a request counts with, so that one endless response doesn't dominate the mean.
const MAX_HOLD_TIME: Duration = Duration::from_secs(30);

/// Growth factor of the inferred period with each refusal in a row.
const GROWTH_FACTOR: u32 = 2;

/// Time after a period, in hold times, in which another refusal continues the row. By then all
/// requests that the endpoint ran have ended, so a later refusal shows new load.
const ROW_HOLD_TIMES: u32 = 4;

/// The mean time that a service's requests occupy a slot of their endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HoldTime(Option<Duration>);

impl HoldTime {
    /// Records the time that a completed request took at its endpoint.
    pub fn record(&mut self, held: Duration) {
        let held = held.min(MAX_HOLD_TIME);
        let mean = self.0.unwrap_or(held);
        self.0 = Some((mean * (HOLD_TIME_WEIGHT_DIVISOR - 1) + held) / HOLD_TIME_WEIGHT_DIVISOR);
    }

    /// Returns the decayed mean, or nothing before the first request has completed.
    pub fn mean(&self) -> Option<Duration> {
        self.0
    }
}

/// The refusal of a request by an endpoint without a free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FullRefusal {
    /// When the request was sent.
    pub sent: MonotonicTime,
    /// When the refusal arrived.
    pub received: MonotonicTime,
    /// Mean time that a request occupies a slot.
    pub hold_time: Duration,
    /// Requests that the endpoint runs at once.
    pub slots: u32,
}

/// Whether an endpoint is still full, as inferred from its refusals.
///
/// A refusal shows that all slots were in use at that moment. One is expected to be free after the
/// hold time divided by the slots, so the endpoint counts as full until then; each further refusal
/// in a row doubles this period, up to one hold time. A request that the endpoint accepts ends it.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use base::MonotonicTime;
/// use route::{FullRefusal, InferredFull};
///
/// let now = MonotonicTime::from_millis(1_000);
/// let hold_time = Duration::from_millis(600);
/// let mut full = InferredFull::default();
/// full.record_refusal(&FullRefusal { sent: now, received: now, hold_time, slots: 6 });
/// assert!(full.is_full(now + Duration::from_millis(99)));
/// assert!(!full.is_full(now + Duration::from_millis(100)));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InferredFull {
    /// When the last refusal arrived.
    refused_at: MonotonicTime,
    period: Duration,
}

impl InferredFull {
    /// Applies a refusal; returns whether the endpoint wasn't inferred to be full before.
    ///
    /// A request that was sent before the last refusal arrived shows nothing new.
    pub fn record_refusal(&mut self, refusal: &FullRefusal) -> bool {
        let FullRefusal { sent, received, hold_time, slots } = *refusal;
        if sent < self.refused_at {
            return false;
        }
        let was_full = self.is_full(received);
        let row_ends = self.until() + hold_time * ROW_HOLD_TIMES;
        let continued =
            if received < row_ends { self.period * GROWTH_FACTOR } else { Duration::ZERO };
        self.period = continued.max(hold_time / slots.max(1)).min(hold_time);
        self.refused_at = received;
        !was_full
    }

    /// Applies the acceptance of a request that was sent at `sent`; one sent before the last refusal
    /// arrived shows nothing.
    pub fn record_accepted(&mut self, sent: MonotonicTime) {
        if self.refused_at <= sent {
            self.period = Duration::ZERO;
        }
    }

    /// Returns whether the endpoint is inferred to be full.
    pub fn is_full(&self, now: MonotonicTime) -> bool {
        now < self.until()
    }

    /// Returns the end of the period.
    fn until(&self) -> MonotonicTime {
        self.refused_at + self.period
    }
}

/// Returns the endpoints that aren't inferred to be full, or nothing if that doesn't narrow the
/// choice.
///
/// If more than half of the endpoints seem full, the service is overloaded; leaving them out would
/// send all requests to the few others.
pub fn without_full<T: Copy>(endpoints: &[T], is_full: impl Fn(T) -> bool) -> Option<Vec<T>> {
    if !endpoints.iter().any(|endpoint| is_full(*endpoint)) {
        return None;
    }
    let free: Vec<T> = endpoints.iter().copied().filter(|endpoint| !is_full(*endpoint)).collect();
    (endpoints.len() <= free.len() * 2).then_some(free)
}
