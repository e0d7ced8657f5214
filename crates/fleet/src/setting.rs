//! Typed values of settings, validated when parsed.

mod choice;
mod number;
mod ratio;
mod time;

use std::{fmt, marker::PhantomData, str::FromStr};

use base::ParseError;
use serde::de;

pub use self::{
    choice::{HedgeDelay, KvTransfer, Method, Methods, RoutingPolicy},
    number::{ByteLimit, Count, PlacementLevel, Priority, Share, WeightLoads},
    ratio::{Ratio, Weight},
    time::{EndTime, Retention, Timeout},
};

/// Deserialises a string by `FromStr`.
struct TextVisitor<T> {
    allowed: &'static str,
    value: PhantomData<T>,
}

impl<T> TextVisitor<T> {
    fn new(allowed: &'static str) -> Self {
        Self { allowed, value: PhantomData }
    }
}

impl<T: FromStr<Err = ParseError>> de::Visitor<'_> for TextVisitor<T> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.allowed)
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<T, E> {
        text.parse().map_err(E::custom)
    }
}
