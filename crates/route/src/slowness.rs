use std::{fmt, time::Duration};

use base::ServiceId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Share of a factor by which a clearly different one exceeds it. At a site with speeds of 1.0, 1.0 and
/// 1.3, smaller changes are noise and come several times a second.
const CLEAR_CHANGE: f64 = 0.25;

/// How much longer an endpoint's responses take than those of its service's median endpoint, in
/// hundredths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Slowness(u16);

impl Slowness {
    /// The slowness of the median endpoint, and of one whose speed is unknown.
    pub const NOMINAL: Self = Self(100);

    /// The lowest factor, 0.25.
    pub const MIN: Self = Self(25);

    /// The highest factor, 16.
    pub const MAX: Self = Self(1_600);

    /// Rounds a factor to hundredths within the bounds; one that is not a number is nominal.
    pub fn from_factor(factor: f64) -> Self {
        if factor.is_nan() {
            return Self::NOMINAL;
        }
        let hundredths = (factor * 100.0).round();
        Self(hundredths.clamp(f64::from(Self::MIN.0), f64::from(Self::MAX.0)) as u16)
    }

    /// Returns the value within the bounds, as for one that another host sent.
    pub fn bounded(self) -> Self {
        self.clamp(Self::MIN, Self::MAX)
    }

    /// Returns the factor; 1 is nominal.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }

    /// Returns whether the factor is more than a quarter above an earlier one, or the reverse.
    pub fn differs_clearly(self, earlier: Self) -> bool {
        let (lower, higher) = (self.min(earlier).factor(), self.max(earlier).factor());
        lower * (1.0 + CLEAR_CHANGE) < higher
    }

    /// Returns the factor in hundredths.
    pub const fn as_hundredths(self) -> u16 {
        self.0
    }

    /// Returns the load of an endpoint to which one more request goes, in hundredths of a request: that
    /// request and those in flight, weighted by the factor.
    pub fn weighted_load(self, in_flight: u32) -> u64 {
        (u64::from(in_flight) + 1) * u64::from(self.0)
    }

    /// Returns `time` as it takes at an endpoint with this slowness.
    pub fn scale(self, time: Duration) -> Duration {
        if self == Self::NOMINAL { time } else { time.mul_f64(self.factor()) }
    }
}

impl Default for Slowness {
    fn default() -> Self {
        Self::NOMINAL
    }
}

/// Formats the factor, as in `1.30`.
impl fmt::Display for Slowness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}", self.factor())
    }
}

/// A short key for a service in reports of response times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceKey(u32);

impl ServiceKey {
    /// Derives the key of a service.
    pub fn of(service: &ServiceId) -> Self {
        Self((xxh3_64(service.as_str().as_bytes()) >> 32) as u32)
    }
}

/// The published slowness of an endpoint incarnation, with what it was inferred from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedSlowness<K> {
    /// The incarnation.
    pub endpoint: K,
    /// The factor.
    pub slowness: Slowness,
    /// Responses that the factor was inferred from, with older ones counted in part.
    pub weight: u32,
    /// Observed over expected time of the service's median endpoint, in hundredths.
    pub median: u32,
}
