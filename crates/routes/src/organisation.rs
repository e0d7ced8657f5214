use std::{fmt, sync::Arc};

/// A caller's key; it is never shown.
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
    /// Its name, as endpoints are told.
    pub name: Arc<str>,
    /// The keys that its callers use.
    pub keys: Vec<ApiKey>,
    /// Its urgency, which goes before the route's; 0 comes first.
    pub priority: Option<u8>,
    /// Whether it shares no cached prompt with others.
    pub isolated: bool,
}
