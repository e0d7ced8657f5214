use std::{borrow::Borrow, fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, de};

use crate::ParseError;

/// Longest text of an identifier, in bytes.
const MAX_ID_BYTES: usize = 128;

const ID_RULE: &str = "1 to 128 letters, digits or any of . _ - : / + @ =";

fn is_id_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"._-:/+@=".contains(&byte)
}

macro_rules! text_ids {
    ($($(#[$doc:meta])* $name:ident: $what:literal,)*) => {$(
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
                let fits = (1..=MAX_ID_BYTES).contains(&text.len());
                if !fits || !text.bytes().all(is_id_byte) {
                    return Err(ParseError::new($what, text, ID_RULE));
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
    /// The text that keeps an engine from sharing cached blocks between owners.
    CacheSalt: "cache salt",
    /// The identity of one change of configuration, the same on every resend.
    ChangeId: "change id",
    /// A data centre.
    DataCentreId: "data centre id",
    /// A server that answers requests: a model engine or a plain service.
    EndpointId: "endpoint id",
    /// An entry in the list of exceptions.
    ExceptionId: "exception id",
    /// A machine that runs the router.
    HostId: "host id",
    /// A caller's name for one call that may not be repeated.
    IdempotencyKey: "idempotency key",
    /// A language model.
    ModelId: "model id",
    /// A customer of the site.
    OrganisationId: "organisation id",
    /// One request, as logs, spans and endpoints name it.
    RequestId: "request id",
    /// A plain service beside the model engines.
    ServiceId: "service id",
    /// A version of a model's weights.
    WeightsVersion: "weights version",
}
