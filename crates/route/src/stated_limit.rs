//! One router's part of the request rate that an endpoint accepts from all routers together.

use std::time::Duration;

use base::{MonotonicTime, RequestRate};

/// Part of the stated rate that routers use; they don't know when the others send.
const USED_SHARE: f64 = 0.8;

/// Lowest rate of all routers together, in requests per second, so that they hear of a limit's end.
const MIN_RATE: f64 = 0.25;

/// Time after which an unused permission is lost, so that routers don't all spend saved ones at once.
const PERMISSION_LIFETIME: Duration = Duration::from_secs(1);

/// The response that states a limit, or none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitResponse {
    /// The stated limit.
    pub limit: Option<RequestRate>,
    /// When the request was sent.
    pub sent: MonotonicTime,
    /// When the response arrived.
    pub received: MonotonicTime,
}

/// How a response changed the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The endpoint states a limit that it didn't state before.
    Stated(RequestRate),
    /// The endpoint states no limit any more.
    Lifted,
}

/// The request rate that an endpoint accepts from all routers together, and this router's part of it.
///
/// Routers share the rate evenly, without messages: each gets a permission at fixed intervals, from a
/// random phase, and loses one that it doesn't use.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use base::MonotonicTime;
/// use route::{LimitResponse, StatedLimit};
///
/// let now = MonotonicTime::from_millis(1_000);
/// let mut limit = StatedLimit::default();
/// let response = LimitResponse { limit: Some("2".parse()?), sent: now, received: now };
/// limit.record(&response, 1, 0.5);
/// assert!(!limit.try_take(now, 1));
/// let later = now + limit.wait(now, 1);
/// assert!(limit.try_take(later, 1) && !limit.try_take(later, 1));
/// # Ok::<(), base::ParseError>(())
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StatedLimit(Option<ActiveLimit>);

#[derive(Clone, Copy, Debug, PartialEq)]
struct ActiveLimit {
    rate: RequestRate,
    /// When this router's next permission begins.
    next: MonotonicTime,
    /// When the endpoint last stated a limit.
    stated: MonotonicTime,
}

impl StatedLimit {
    /// Returns whether the endpoint states a limit.
    pub fn is_active(&self) -> bool {
        self.0.is_some()
    }

    /// Returns the rate that the endpoint states for all routers together.
    pub fn rate(&self) -> Option<RequestRate> {
        self.0.map(|active| active.rate)
    }

    /// Applies a response; `phase`, from 0 to 1, is this router's place within the interval.
    ///
    /// Only a response to a request that was sent after the latest statement lifts a limit.
    pub fn record(
        &mut self,
        response: &LimitResponse,
        routers: u32,
        phase: f64,
    ) -> Option<LimitChange> {
        let LimitResponse { limit, sent, received: now } = *response;
        match (self.0, limit) {
            (None, None) => None,
            (Some(active), None) => {
                if sent < active.stated {
                    return None;
                }
                self.0 = None;
                Some(LimitChange::Lifted)
            }
            (None, Some(rate)) => {
                let next = now + interval(rate, routers).mul_f64(phase.clamp(0.0, 1.0));
                self.0 = Some(ActiveLimit { rate, next, stated: now });
                Some(LimitChange::Stated(rate))
            }
            (Some(active), Some(rate)) => {
                let next = rescaled(active.next, now, active.rate, rate);
                self.0 = Some(ActiveLimit { rate, next, stated: now });
                (active.rate != rate).then_some(LimitChange::Stated(rate))
            }
        }
    }

    /// Returns the time until this router, one of `routers`, may send a request.
    pub fn wait(&self, now: MonotonicTime, routers: u32) -> Duration {
        self.0
            .map_or(Duration::ZERO, |active| active.permission(now, routers).saturating_since(now))
    }

    /// Takes the permission for a request; returns `false` if there is none.
    pub fn try_take(&mut self, now: MonotonicTime, routers: u32) -> bool {
        let Some(active) = &mut self.0 else { return true };
        let permission = active.permission(now, routers);
        if now < permission {
            return false;
        }
        active.next = permission + interval(active.rate, routers);
        true
    }
}

impl ActiveLimit {
    /// Returns when the earliest permission begins that isn't lost.
    fn permission(&self, now: MonotonicTime, routers: u32) -> MonotonicTime {
        let oldest = now.saturating_sub(PERMISSION_LIFETIME);
        let overdue = oldest.saturating_since(self.next);
        if overdue.is_zero() {
            return self.next;
        }
        let interval = interval(self.rate, routers);
        let lost = (overdue.as_secs_f64() / interval.as_secs_f64()).ceil();
        self.next + interval.mul_f64(lost)
    }
}

/// Returns the time between two permissions of one of `routers`.
fn interval(rate: RequestRate, routers: u32) -> Duration {
    let rate = (rate.per_second() * USED_SHARE).max(MIN_RATE);
    let seconds = f64::from(routers.max(1)) / rate;
    // Never zero, even at rates beyond all that a router could send.
    Duration::from_secs_f64(seconds).max(Duration::from_nanos(1))
}

/// Returns a permission's time after a change of the rate, at the same part of the interval.
fn rescaled(
    next: MonotonicTime,
    now: MonotonicTime,
    old: RequestRate,
    new: RequestRate,
) -> MonotonicTime {
    let left = next.saturating_since(now);
    if left.is_zero() {
        return next;
    }
    let ratio = interval(new, 1).as_secs_f64() / interval(old, 1).as_secs_f64();
    now + left.mul_f64(ratio)
}
