use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::ParseError;

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident: $type_name:literal,)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Zero.
            pub const ZERO: Self = Self(0);

            /// Wraps a plain number.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the plain number.
            pub const fn as_u64(self) -> u64 {
                self.0
            }

            /// Returns the number that follows.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
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
                    .map(Self)
                    .map_err(|_| ParseError::new($type_name, text, "a whole number from 0"))
            }
        }
    )*};
}

numbers! {
    /// A number of cached blocks.
    BlockCount: "block count",
    /// A number of bytes.
    ByteCount: "byte count",
    /// A transfer rate, in bytes per second.
    ByteRate: "byte rate",
    /// Identifies one run of a process; higher after each start.
    Incarnation: "incarnation",
    /// A position in the replicated log, from 1.
    LogIndex: "log index",
    /// A revision of the configuration, from 1; 0 is the built-in one.
    Revision: "revision",
    /// A position in a sequence of messages from one sender.
    Sequence: "sequence number",
    /// An election term of the quorum, which is also the fencing token of its leader's orders.
    Term: "term",
    /// A number of tokens.
    TokenCount: "token count",
    /// A token's position in a stream, from 1.
    TokenIndex: "token index",
    /// A token rate, in tokens per second.
    TokenRate: "token rate",
}
