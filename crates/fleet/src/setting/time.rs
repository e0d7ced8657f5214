//! Durations and times.

use std::{fmt, str::FromStr, time::Duration};

use base::{ParseError, UnixMillis};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use super::TextVisitor;

macro_rules! durations {
    ($($(#[$doc:meta])* $name:ident: $what:literal, $min:literal..=$max:literal, $allowed:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name(Duration);

        impl $name {
            /// Wraps a number of milliseconds.
            ///
            /// # Panics
            ///
            /// Panics if the duration is outside the allowed range; in a constant this stops the
            /// build.
            pub const fn from_millis(millis: u64) -> Self {
                assert!($min <= millis && millis <= $max, $allowed);
                Self(Duration::from_millis(millis))
            }

            /// Returns the duration.
            pub const fn as_duration(self) -> Duration {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                humantime::format_duration(self.0).fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                let duration = humantime::parse_duration(text).ok();
                duration.filter(|duration| ($min..=$max).contains(&duration.as_millis()))
                    .map(Self)
                    .ok_or_else(|| ParseError::new($what, text, $allowed))
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                deserializer.deserialize_str(TextVisitor::new($allowed))
            }
        }
    )*};
}

durations! {
    /// A time limit for one step of a request.
    Timeout: "timeout", 1..=3_600_000, "a duration from 1ms to 1h, such as 800ms or 5s";
    /// How long a settled call is stored.
    Retention: "retention", 1_000..=2_592_000_000, "a duration from 1s to 30days, such as 24h";
}

/// The time at which an exception ends, in seconds since 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndTime(u64);

impl EndTime {
    /// Returns whether the exception has ended at `now`.
    pub const fn has_passed(self, now: UnixMillis) -> bool {
        self.0.saturating_mul(1000) <= now.as_u64()
    }
}

const END_TIME_RULE: &str = "a UTC time such as 2026-12-04T18:00:00Z or seconds since 1970";

/// The last second of the year 9999, the latest that RFC 3339 can represent.
const LAST_SECOND: u64 = 253_402_300_799;

impl fmt::Display for EndTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = std::time::UNIX_EPOCH + Duration::from_secs(self.0);
        humantime::format_rfc3339_seconds(time).fmt(f)
    }
}

impl FromStr for EndTime {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let invalid = || ParseError::new("end time", text, END_TIME_RULE);
        let time = humantime::parse_rfc3339(text).map_err(|_| invalid())?;
        let since = time.duration_since(std::time::UNIX_EPOCH).map_err(|_| invalid())?;
        Ok(Self(since.as_secs()))
    }
}

impl Serialize for EndTime {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for EndTime {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Visitor;

        impl de::Visitor<'_> for Visitor {
            type Value = EndTime;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(END_TIME_RULE)
            }

            fn visit_str<E: de::Error>(self, text: &str) -> Result<EndTime, E> {
                text.parse().map_err(E::custom)
            }

            fn visit_i64<E: de::Error>(self, seconds: i64) -> Result<EndTime, E> {
                u64::try_from(seconds)
                    .ok()
                    .filter(|seconds| *seconds <= LAST_SECOND)
                    .map(EndTime)
                    .ok_or_else(|| E::invalid_value(de::Unexpected::Signed(seconds), &self))
            }
        }

        deserializer.deserialize_any(Visitor)
    }
}
