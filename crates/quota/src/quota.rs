use base::TokenCount;
use serde::{Deserialize, Serialize};

/// Burst, in seconds of the rate, below which an organisation is always metered.
///
/// While an organisation is open, the leader learns of its consumption about 250 ms late; the lower
/// half of a smaller bucket would not cover that.
const MIN_OPEN_BURST_SECONDS: f64 = 0.5;

/// What a request costs, in units of its organisation's quota.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Cost(u32);

impl Cost {
    /// The cost of a request where requests are counted.
    pub const ONE: Self = Self(1);

    /// Wraps a plain number of units.
    pub const fn new(units: u32) -> Self {
        Self(units)
    }

    /// Returns the plain number of units.
    pub const fn as_u32(self) -> u32 {
        self.0
    }

    pub(crate) fn units(self) -> f64 {
        f64::from(self.0)
    }
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Prompt tokens and maximum output tokens of requests.
    Tokens,
}

/// An organisation's limit across all routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    rate: f64,
    burst: f64,
    unit: Unit,
    plain_cost: Cost,
}

impl Quota {
    /// Creates a quota of `rate` units per second and a burst in units, or returns `None` if the rate
    /// isn't positive and finite, or the burst is negative or not finite.
    ///
    /// A request that states no tokens costs `plain_cost` where tokens are counted.
    pub fn new(rate: f64, burst: f64, unit: Unit, plain_cost: Cost) -> Option<Self> {
        let is_valid = rate.is_finite() && 0.0 < rate && burst.is_finite() && 0.0 <= burst;
        is_valid.then_some(Self { rate, burst, unit, plain_cost })
    }

    /// Returns the units per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the largest level of the bucket, in units.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// Returns what is counted.
    pub fn unit(&self) -> Unit {
        self.unit
    }

    /// Returns the cost of a request that states these tokens, or none.
    pub fn cost(&self, tokens: Option<TokenCount>) -> Cost {
        match (self.unit, tokens) {
            (Unit::Requests, _) => Cost::ONE,
            (Unit::Tokens, None) => self.plain_cost,
            (Unit::Tokens, Some(tokens)) => {
                Cost(u32::try_from(tokens.as_u64()).unwrap_or(u32::MAX))
            }
        }
    }

    /// Returns an equal share for one of some routers, with this part of the rate.
    pub(crate) fn share(&self, routers: u32, part: f64) -> Self {
        let routers = f64::from(routers);
        Self { rate: part * self.rate / routers, burst: self.burst / routers, ..*self }
    }

    pub(crate) fn may_open(&self) -> bool {
        MIN_OPEN_BURST_SECONDS * self.rate <= self.burst
    }
}
