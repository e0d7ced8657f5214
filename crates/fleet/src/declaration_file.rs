//! The file format of a declaration, and the checks that report positions in it.

use std::collections::BTreeSet;

use base::{Author, ExceptionId};
use serde::Deserialize;
use toml::Spanned;

use crate::{
    contents::{Contents, DesiredModel, Exception, Organisation, Reason},
    declaration_error::DeclarationError,
    scope::{Dimensions, Scope},
    setting::EndTime,
    settings::{Overrides, SettingValue},
};

/// A deserialised declaration with the spans that error messages need.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct DeclarationFile {
    defaults: Option<Spanned<Overrides>>,
    #[serde(default)]
    models: Vec<Spanned<DesiredModel>>,
    #[serde(default)]
    organisations: Vec<Spanned<Organisation>>,
    #[serde(default)]
    exceptions: Vec<ExceptionEntry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ExceptionEntry {
    id: Spanned<ExceptionId>,
    reason: Reason,
    author: Option<Author>,
    until: Option<EndTime>,
    scope: Spanned<Scope>,
    set: Spanned<Overrides>,
}

impl DeclarationFile {
    /// Parses and validates a file.
    pub(crate) fn read(text: &str) -> Result<Self, DeclarationError> {
        let file: Self = toml::from_str(text).map_err(|e| DeclarationError::from_toml(text, &e))?;
        file.check(text)?;
        Ok(file)
    }

    fn check(&self, text: &str) -> Result<(), DeclarationError> {
        if let Some(defaults) = &self.defaults {
            check_defaults(text, defaults)?;
        }
        self.check_models(text)?;
        self.check_organisations(text)?;
        let mut ids = BTreeSet::new();
        for exception in &self.exceptions {
            if !ids.insert(exception.id.get_ref()) {
                let (key, allowed) = ("id", "an id that no other exception has");
                return Err(DeclarationError::at(text, exception.id.span(), key, allowed));
            }
            exception.check(text)?;
        }
        Ok(())
    }

    fn check_models(&self, text: &str) -> Result<(), DeclarationError> {
        let mut models = BTreeSet::new();
        for model in &self.models {
            let entry = model.get_ref();
            if !models.insert(&entry.model) {
                let allowed = "one entry for each model";
                return Err(DeclarationError::at(text, model.span(), "model", allowed));
            }
            if entry.prefill_servers.is_some_and(|count| entry.minimum_servers <= count) {
                let allowed = "fewer prefill-servers than minimum-servers";
                return Err(DeclarationError::at(text, model.span(), "prefill-servers", allowed));
            }
        }
        Ok(())
    }

    fn check_organisations(&self, text: &str) -> Result<(), DeclarationError> {
        let mut ids = BTreeSet::new();
        let mut keys = BTreeSet::new();
        for organisation in &self.organisations {
            let entry = organisation.get_ref();
            if !ids.insert(&entry.id) {
                let allowed = "one entry for each organisation";
                return Err(DeclarationError::at(text, organisation.span(), "id", allowed));
            }
            if !entry.keys.iter().all(|key| keys.insert(key)) {
                let allowed = "digests that stand nowhere else";
                return Err(DeclarationError::at(text, organisation.span(), "keys", allowed));
            }
        }
        Ok(())
    }
}

fn check_defaults(text: &str, defaults: &Spanned<Overrides>) -> Result<(), DeclarationError> {
    let values = defaults.get_ref().values();
    let Some(wrong) = values.iter().find(|value| !value.key.in_defaults) else {
        return Ok(());
    };
    let allowed = "an exception for this setting; it can't be a default";
    Err(DeclarationError::at_key(text, defaults.span(), wrong.key.name, allowed))
}

impl ExceptionEntry {
    fn check(&self, text: &str) -> Result<(), DeclarationError> {
        let scope = self.scope.get_ref().dimensions();
        if scope == Dimensions::NONE {
            let allowed = "one or more of organisation, model, service, data-centre and endpoint";
            return Err(DeclarationError::at(text, self.scope.span(), "scope", allowed));
        }
        let values = self.set.get_ref().values();
        if values.is_empty() {
            let allowed = "at least one setting";
            return Err(DeclarationError::at(text, self.set.span(), "set", allowed));
        }
        let wrong = values.iter().find(|value| !scope.is_within(value.key.dimensions));
        let Some(SettingValue { key, .. }) = wrong else {
            return Ok(());
        };
        let allowed = match key.dimensions {
            Dimensions::NONE => "this setting in [defaults] only".to_owned(),
            dimensions => format!("this setting in a scope of {dimensions} only"),
        };
        Err(DeclarationError::at_key(text, self.set.span(), key.name, &allowed))
    }
}

impl From<DeclarationFile> for Contents {
    fn from(file: DeclarationFile) -> Self {
        Self {
            defaults: file.defaults.map(Spanned::into_inner).unwrap_or_default(),
            models: file.models.into_iter().map(Spanned::into_inner).collect(),
            organisations: file.organisations.into_iter().map(Spanned::into_inner).collect(),
            exceptions: file.exceptions.into_iter().map(Exception::from).collect(),
        }
    }
}

impl From<ExceptionEntry> for Exception {
    fn from(entry: ExceptionEntry) -> Self {
        Self {
            id: entry.id.into_inner(),
            reason: entry.reason,
            author: entry.author,
            until: entry.until,
            scope: entry.scope.into_inner(),
            set: entry.set.into_inner(),
        }
    }
}
