use std::{fmt, sync::Arc};

use quota::Quota;

/// A caller's API key; redacted in debug output.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// Wraps a key's text.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(not shown)")
    }
}

impl std::borrow::Borrow<str> for ApiKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}

/// A customer of the site.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Its name, as sent to endpoints.
    pub name: Arc<str>,
    /// The API keys of its callers.
    pub keys: Vec<ApiKey>,
    /// Its priority, which overrides the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Whether its cached prompts are kept apart from those of other organisations.
    pub isolated: bool,
    /// Its limit across all routers, if it has one.
    pub quota: Option<Quota>,
}
