use std::{
    ops::{Add, AddAssign},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A reading of a monotonic clock: time since an origin private to this process.
///
/// State machines take it as an argument instead of reading a clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonotonicTime(Duration);

impl MonotonicTime {
    /// The origin.
    pub const ZERO: Self = Self(Duration::ZERO);

    /// Returns the reading `since_origin` after the origin.
    pub const fn new(since_origin: Duration) -> Self {
        Self(since_origin)
    }

    /// Returns the reading `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Returns the time since the origin.
    pub const fn since_origin(self) -> Duration {
        self.0
    }

    /// Returns the time from `earlier` to `self`, zero if `earlier` is later.
    pub const fn saturating_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the reading `span` before `self`, the origin if that is later.
    #[must_use]
    pub const fn saturating_sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span))
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }
}

impl AddAssign<Duration> for MonotonicTime {
    fn add_assign(&mut self, span: Duration) {
        *self = *self + span;
    }
}

/// A reading of the wall clock, in milliseconds since the Unix epoch.
///
/// It is shown to operators and bounds retention; no guarantee relies on clocks of two hosts
/// agreeing.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixMillis(u64);

impl UnixMillis {
    /// Wraps a plain number of milliseconds.
    pub const fn new(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the plain number of milliseconds.
    pub const fn as_u64(self) -> u64 {
        self.0
    }

    /// Returns the time from `earlier` to `self`, zero if `earlier` is later.
    pub const fn saturating_since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}
