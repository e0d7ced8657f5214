//! Integers within bounds.

use std::{fmt, str::FromStr};

use base::ParseError;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

macro_rules! ranged_numbers {
    ($($(#[$doc:meta])* $name:ident: $what:literal, $min:literal..=$max:literal, $allowed:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name(u32);

        impl $name {
            /// The minimum value.
            pub const MIN: Self = Self($min);
            /// The maximum value.
            pub const MAX: Self = Self($max);

            /// Returns `number`, clamped to the allowed range.
            pub const fn clamped(number: u32) -> Self {
                if number < Self::MIN.0 {
                    return Self::MIN;
                }
                if Self::MAX.0 < number {
                    return Self::MAX;
                }
                Self(number)
            }

            /// Returns the plain number.
            pub const fn as_u32(self) -> u32 {
                self.0
            }

            fn checked(number: i64) -> Option<Self> {
                let number = u32::try_from(number).ok()?;
                ($min..=$max).contains(&number).then_some(Self(number))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                text.parse()
                    .ok()
                    .and_then(Self::checked)
                    .ok_or_else(|| ParseError::new($what, text, $allowed))
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_u32(self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                struct Visitor;

                impl de::Visitor<'_> for Visitor {
                    type Value = $name;

                    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                        f.write_str($allowed)
                    }

                    fn visit_i64<E: de::Error>(self, number: i64) -> Result<$name, E> {
                        $name::checked(number)
                            .ok_or_else(|| E::invalid_value(de::Unexpected::Signed(number), &self))
                    }

                    fn visit_u64<E: de::Error>(self, number: u64) -> Result<$name, E> {
                        self.visit_i64(i64::try_from(number).unwrap_or(i64::MAX))
                    }
                }

                deserializer.deserialize_i64(Visitor)
            }
        }
    )*};
}

ranged_numbers! {
    /// The depth of a prefix, in cached blocks, at which its home is chosen.
    PlacementLevel: "placement level", 0..=4096, "a whole number of blocks from 0 to 4096";
    /// An organisation's weight in fair scheduling.
    Share: "share", 1..=10_000, "a whole number from 1 to 10000";
    /// A limit on requests, connections or claims.
    Count: "count", 1..=1_000_000, "a whole number from 1 to 1000000";
    /// A limit on bytes stored in memory for one request.
    ByteLimit: "byte limit", 0..=67_108_864, "a whole number of bytes from 0 to 67108864";
    /// The priority of a request in the engines' queues: 0 goes first.
    Priority: "priority", 0..=9, "a whole number from 0 (first) to 9 (last)";
    /// Maximum number of servers that load weights at once across the site.
    WeightLoads: "weight loads", 1..=3, "a whole number from 1 to 3";
}
