//! Declarations: settings, models and organisations, as operators keep them under version control.

use std::collections::HashMap;

use base::{Digest, OrganisationId, UnixMillis};

use crate::{
    contents::{Contents, Exception, Organisation},
    declaration_error::DeclarationError,
    declaration_file::DeclarationFile,
    explanation::{Explanation, Source},
    scope::Scope,
    settings::{Overrides, SettingValue, Settings},
};

/// Maximum size of a declaration.
const MAX_DECLARATION_BYTES: usize = 2 << 20;

/// A validated declaration.
#[derive(Clone, Debug, Default)]
pub struct Declaration {
    contents: Contents,
    index: Index,
}

impl PartialEq for Declaration {
    fn eq(&self, other: &Self) -> bool {
        self.contents == other.contents
    }
}

impl Declaration {
    /// Parses and validates a declaration in TOML.
    ///
    /// # Errors
    ///
    /// Returns an error with the position, the key and the value that are invalid, and what is
    /// allowed.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::UnixMillis;
    /// use fleet::{Declaration, Scope};
    ///
    /// let declaration = Declaration::from_toml(
    ///     r#"
    ///     [defaults]
    ///     request-timeout = "60s"
    ///
    ///     [[exceptions]]
    ///     id = "fan-repair"
    ///     reason = "engine-3 is switched off for a new fan"
    ///     until = "2026-12-05T18:00:00Z"
    ///     scope = { endpoint = "engine-3" }
    ///     set = { drain = true }
    ///     "#,
    /// )?;
    /// let scope = Scope::endpoint("engine-3".parse()?);
    /// assert!(declaration.effective(&scope, UnixMillis::new(0)).drain);
    ///
    /// let error = Declaration::from_toml("[defaults]\nshare = 0").unwrap_err();
    /// assert_eq!((error.line(), error.column()), (2, 9));
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn from_toml(text: &str) -> Result<Self, DeclarationError> {
        if MAX_DECLARATION_BYTES < text.len() {
            return Err(DeclarationError::too_long(text.len(), MAX_DECLARATION_BYTES));
        }
        let contents: Contents = DeclarationFile::read(text)?.into();
        let index = Index::new(&contents);
        Ok(Self { contents, index })
    }

    /// Returns the declaration as TOML, including values that equal the built-in ones.
    ///
    /// # Panics
    ///
    /// Never: each type in a declaration has a TOML form.
    pub fn to_toml(&self) -> String {
        toml::to_string(&self.contents).expect("each type in a declaration has a TOML form")
    }

    /// Returns the declaration's contents.
    pub fn contents(&self) -> &Contents {
        &self.contents
    }

    /// Returns the organisation that owns the bearer key with this digest.
    pub fn organisation_of_key(&self, key: &Digest) -> Option<&Organisation> {
        self.index.keys.get(key).map(|position| &self.contents.organisations[*position])
    }

    /// Returns the entry of an organisation.
    pub fn organisation(&self, id: &OrganisationId) -> Option<&Organisation> {
        self.index.organisations.get(id).map(|position| &self.contents.organisations[*position])
    }

    /// Returns the effective settings for `scope` at `now`.
    ///
    /// Later layers override earlier ones: built-in values, `[defaults]`, the organisation's entry,
    /// the exceptions that cover `scope`. Among exceptions, the one with more dimensions in its
    /// scope takes precedence; then the one with the narrowest dimension (endpoint, organisation,
    /// service, model, data centre); then the one further down in the declaration.
    pub fn effective(&self, scope: &Scope, now: UnixMillis) -> Settings {
        let mut settings = Settings::default();
        for layer in self.layers(scope, now) {
            layer.overrides.apply_to(&mut settings);
        }
        settings
    }

    /// Returns each setting for `scope` at `now` with the source of its value.
    pub fn explain(&self, scope: &Scope, now: UnixMillis) -> Vec<Explanation> {
        let built_in = Settings::default().values().into_iter();
        let mut explanations: Vec<_> = built_in
            .map(|SettingValue { key, value }| Explanation { key, value, source: Source::BuiltIn })
            .collect();
        for layer in self.layers(scope, now) {
            for SettingValue { key, value } in layer.overrides.values() {
                let explained = explanations.iter_mut().find(|e| e.key.name == key.name);
                if let Some(explained) = explained {
                    *explained = Explanation { key, value, source: layer.source() };
                }
            }
        }
        explanations
    }

    fn layers(&self, scope: &Scope, now: UnixMillis) -> Vec<Layer<'_>> {
        let mut layers = vec![Layer { overrides: self.contents.defaults, origin: Origin::Default }];
        let organisation = scope.organisation.as_ref();
        if let Some(share) = organisation.and_then(|id| self.organisation(id)?.share) {
            let overrides = Overrides { share: Some(share), ..Overrides::default() };
            layers.push(Layer { overrides, origin: Origin::Organisation });
        }
        let own = organisation.and_then(|id| self.index.by_organisation.get(id));
        let mut positions: Vec<_> =
            own.into_iter().flatten().chain(&self.index.without_organisation).copied().collect();
        positions.retain(|position| {
            let exception = &self.contents.exceptions[*position];
            exception.scope.covers(scope) && exception.is_live(now)
        });
        positions.sort_by_key(|position| {
            let exception = &self.contents.exceptions[*position];
            (exception.scope.dimensions().specificity(), *position)
        });
        layers.extend(positions.into_iter().map(|position| {
            let exception = &self.contents.exceptions[position];
            Layer { overrides: exception.set, origin: Origin::Exception(exception) }
        }));
        layers
    }
}

struct Layer<'a> {
    overrides: Overrides,
    origin: Origin<'a>,
}

enum Origin<'a> {
    Default,
    Organisation,
    Exception(&'a Exception),
}

impl Layer<'_> {
    fn source(&self) -> Source {
        match self.origin {
            Origin::Default => Source::Default,
            Origin::Organisation => Source::Organisation,
            Origin::Exception(exception) => {
                Source::Exception { id: exception.id.clone(), reason: exception.reason.clone() }
            }
        }
    }
}

/// Positions in [`Contents`], so that a lookup reads only entries that can match.
#[derive(Clone, Debug, Default)]
struct Index {
    organisations: HashMap<OrganisationId, usize>,
    keys: HashMap<Digest, usize>,
    by_organisation: HashMap<OrganisationId, Vec<usize>>,
    without_organisation: Vec<usize>,
}

impl Index {
    fn new(contents: &Contents) -> Self {
        let mut index = Self::default();
        for (position, organisation) in contents.organisations.iter().enumerate() {
            index.organisations.insert(organisation.id.clone(), position);
            index.keys.extend(organisation.keys.iter().map(|key| (*key, position)));
        }
        for (position, exception) in contents.exceptions.iter().enumerate() {
            match &exception.scope.organisation {
                Some(id) => index.by_organisation.entry(id.clone()).or_default().push(position),
                None => index.without_organisation.push(position),
            }
        }
        index
    }
}
