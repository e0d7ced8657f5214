use std::{error, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// Defaults and exceptions, as operators keep them under version control.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Declaration {}

/// A declaration that is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclarationError {
    message: Arc<str>,
}

impl fmt::Display for DeclarationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl error::Error for DeclarationError {}

impl Declaration {
    /// Reads a declaration from TOML.
    ///
    /// # Errors
    ///
    /// Returns the line and what is wrong there.
    pub fn from_toml(text: &str) -> Result<Self, DeclarationError> {
        toml::from_str(text).map_err(|e| DeclarationError { message: e.to_string().into() })
    }
}
