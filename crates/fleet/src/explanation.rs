//! The sources of settings' values.

use std::fmt;

use base::ExceptionId;

use crate::{contents::Reason, settings::SettingKey};

/// The source of a setting's value.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// The built-in value.
    BuiltIn,
    /// The declaration's defaults.
    Default,
    /// The organisation's entry.
    Organisation,
    /// An exception.
    Exception {
        /// Its name.
        id: ExceptionId,
        /// Why it exists.
        reason: Reason,
    },
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BuiltIn => f.write_str("built-in"),
            Self::Default => f.write_str("defaults"),
            Self::Organisation => f.write_str("organisation's entry"),
            Self::Exception { id, reason } => write!(f, "exception {id}: {reason}"),
        }
    }
}

/// A setting's value and its source.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The setting.
    pub key: SettingKey,
    /// Its value, as text.
    pub value: String,
    /// The source of the value.
    pub source: Source,
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {} ({})", self.key.name, self.value, self.source)
    }
}
