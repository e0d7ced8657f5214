//! Real numbers within bounds.

use std::{fmt, str::FromStr};

use base::ParseError;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

macro_rules! real_numbers {
    ($($(#[$doc:meta])* $name:ident: $what:literal, $max:literal, $allowed:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
        pub struct $name(f64);

        impl $name {
            /// Wraps a plain number.
            ///
            /// # Panics
            ///
            /// Panics if the number is outside the allowed range; in a constant this stops the
            /// build.
            pub const fn new(number: f64) -> Self {
                assert!(0.0 <= number && number <= $max, $allowed);
                Self(number)
            }

            /// Returns the plain number.
            pub const fn as_f64(self) -> f64 {
                self.0
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
                let number = text.parse().ok().filter(|number| (0.0..=$max).contains(number));
                number.map(Self).ok_or_else(|| ParseError::new($what, text, $allowed))
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_f64(self.0)
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

                    fn visit_f64<E: de::Error>(self, number: f64) -> Result<$name, E> {
                        if !(0.0..=$max).contains(&number) {
                            return Err(E::invalid_value(de::Unexpected::Float(number), &self));
                        }
                        Ok($name(number))
                    }

                    fn visit_i64<E: de::Error>(self, number: i64) -> Result<$name, E> {
                        self.visit_f64(number as f64)
                    }
                }

                deserializer.deserialize_f64(Visitor)
            }
        }
    )*};
}

real_numbers! {
    /// The weight of one term of an endpoint's score.
    Weight: "weight", 1000.0, "a number from 0 to 1000";
    /// The ratio of retries to requests.
    Ratio: "ratio", 1.0, "a number from 0 to 1";
}
