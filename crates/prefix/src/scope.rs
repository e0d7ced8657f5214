use std::{collections::BTreeSet, fmt, sync::Arc};

use base::{Hasher, ModelId};

use crate::{Part, PartChain};

/// Length of the digest in the text of a shared scope, in hexadecimal digits.
const DIGEST_DIGITS: usize = 32;

/// The requests that may use each other's cached parts.
///
/// A scope follows from one configuration alone, so hosts with the same configuration agree on it
/// without any state. The scope that organisations share names all organisations that are kept out
/// of it: when another one becomes isolated, the others move to a scope that it has never used.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CacheScope(Arc<str>);

impl CacheScope {
    /// Returns the scope of all requests but those of the `isolated` organisations.
    pub fn shared<'a>(isolated: impl IntoIterator<Item = &'a str>) -> Self {
        let isolated: BTreeSet<&str> = isolated.into_iter().collect();
        let hasher = isolated
            .iter()
            .fold(Hasher::default(), |hasher, organisation| hasher.field(organisation.as_bytes()));
        let digest = hasher.finish().to_string();
        Self(format!("shared:{}", &digest[..DIGEST_DIGITS]).into())
    }

    /// Returns the scope of one organisation's requests.
    pub fn isolated(organisation: &str) -> Self {
        Self(format!("isolated:{organisation}").into())
    }

    /// Returns the scope of requests without an organisation, kept apart from those with one.
    pub fn anonymous() -> Self {
        Self("anonymous".into())
    }

    /// Returns the text under which engines and stores keep the parts made on a version of the
    /// weights.
    pub fn salt(&self, weights: u32) -> String {
        format!("{self}:{weights}")
    }

    /// Hashes a prompt's parts, so that prompts of two scopes have no hash in common.
    pub fn chain(&self, model: &ModelId, parts: &[Part]) -> PartChain {
        let digest =
            Hasher::default().field(model.as_str().as_bytes()).field(self.0.as_bytes()).finish();
        let bytes: [u8; 8] = std::array::from_fn(|i| digest.as_bytes()[i]);
        PartChain::new(u64::from_le_bytes(bytes), parts)
    }
}

impl fmt::Display for CacheScope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
