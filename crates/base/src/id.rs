use std::{borrow::Borrow, fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, de};

use crate::ParseError;

/// Longest identifier, in bytes.
const MAX_ID_BYTES: usize = 128;

const ID_SYNTAX: &str = "1 to 128 letters, digits or any of . _ - : / + @ =";

fn is_id_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"._-:/+@=".contains(&byte)
}

macro_rules! text_ids {
    ($($(#[$doc:meta])* $name:ident: $type_name:literal,)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier's text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                let has_valid_length = (1..=MAX_ID_BYTES).contains(&text.len());
                if !has_valid_length || !text.bytes().all(is_id_byte) {
                    return Err(ParseError::new($type_name, text, ID_SYNTAX));
                }
                Ok(Self(text.into()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
                text.parse().map_err(de::Error::custom)
            }
        }
    )*};
}

text_ids! {
    /// An adapter loaded on top of a model's weights.
    AdapterId: "adapter id",
    /// The person or program that made a change.
    Author: "author",
    /// A salt that keeps an engine from sharing cached blocks between organisations.
    CacheSalt: "cache salt",
    /// Identifies one configuration change; the same on every resend.
    ChangeId: "change id",
    /// A data centre.
    DataCentreId: "data centre id",
    /// A process that serves requests: a model engine or a member of a plain service.
    EndpointId: "endpoint id",
    /// An entry in the list of exceptions to the defaults.
    ExceptionId: "exception id",
    /// A machine that runs the router.
    HostId: "host id",
    /// The idempotency key that a caller gives to a call that may run at most once.
    IdempotencyKey: "idempotency key",
    /// A language model.
    ModelId: "model id",
    /// A customer of the site.
    OrganisationId: "organisation id",
    /// Identifies one request in logs, spans and at endpoints.
    RequestId: "request id",
    /// A service: a set of interchangeable endpoints, either engines or plain servers.
    ServiceId: "service id",
    /// A version of a model's weights.
    WeightsVersion: "weights version",
}
