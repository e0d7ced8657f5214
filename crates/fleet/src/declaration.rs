//! Defaults and exceptions, as operators keep them under version control.

use std::{
    collections::{BTreeSet, HashMap},
    fmt,
    str::FromStr,
    sync::Arc,
};

use base::{
    AdapterId, Author, Digest, ExceptionId, ModelId, OrganisationId, ParseError, UnixMillis,
    WeightsVersion,
};
use serde::{Deserialize, Deserializer, Serialize, de};
use toml::Spanned;

use crate::{
    declaration_error::DeclarationError,
    scope::Scope,
    setting::{Count, EndTime, Share},
    settings::{Overrides, SettingKey, SettingValue, Settings},
};

/// A checked declaration.
#[derive(Clone, Debug, Default)]
pub struct Declaration {
    contents: Contents,
    index: Index,
}

/// What a declaration says.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Contents {
    /// Values for all traffic.
    #[serde(skip_serializing_if = "is_empty")]
    pub defaults: Overrides,
    /// The models to keep in service.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<DesiredModel>,
    /// The customers of the site.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub organisations: Vec<Organisation>,
    /// Departures from the defaults.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub exceptions: Vec<Exception>,
}

fn is_empty(overrides: &Overrides) -> bool {
    *overrides == Overrides::default()
}

/// A model to keep in service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct DesiredModel {
    /// The model.
    pub model: ModelId,
    /// The version of its weights.
    pub weights: WeightsVersion,
    /// The adapters loaded on top.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<AdapterId>,
    /// How many servers should have it.
    pub minimum_servers: Count,
    /// How many of them should only prefill.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefill_servers: Option<Count>,
}

/// A customer of the site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name.
    pub id: OrganisationId,
    /// Digests of its bearer keys.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<Digest>,
    /// Its weight when requests compete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<Share>,
}

/// A departure from the defaults.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Exception {
    /// Its name.
    pub id: ExceptionId,
    /// Why it exists.
    pub reason: Reason,
    /// Who asked for it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub author: Option<Author>,
    /// When it ends, if it does.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub until: Option<EndTime>,
    /// The traffic it holds for.
    pub scope: Scope,
    /// The settings it changes.
    pub set: Overrides,
}

/// A written reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Reason(Arc<str>);

impl Reason {
    const MIN_LETTERS: usize = 3;
    const MAX_BYTES: usize = 1000;
    const RULE: &str = "a sentence with at least 3 letters and at most 1000 bytes";

    /// Returns the reason's text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for Reason {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let letters = text.chars().filter(|c| c.is_alphabetic()).count();
        if letters < Self::MIN_LETTERS || Self::MAX_BYTES < text.len() {
            return Err(ParseError::new("reason", text, Self::RULE));
        }
        Ok(Self(text.into()))
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Reason {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}

/// Where a setting's value comes from.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// The program.
    BuiltIn,
    /// The declaration's defaults.
    Default,
    /// The entry of the organisation.
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
    /// Where the value comes from.
    pub source: Source,
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {} ({})", self.key.name, self.value, self.source)
    }
}

impl PartialEq for Declaration {
    fn eq(&self, other: &Self) -> bool {
        self.contents == other.contents
    }
}

impl Declaration {
    /// Reads a declaration from TOML.
    ///
    /// # Errors
    ///
    /// Returns the line, the column, the key and the value that are wrong, and what is allowed.
    pub fn from_toml(text: &str) -> Result<Self, DeclarationError> {
        let file: File = toml::from_str(text).map_err(|e| DeclarationError::from_toml(text, &e))?;
        file.check(text)?;
        let contents = Contents::from(file);
        let index = Index::new(&contents);
        Ok(Self { contents, index })
    }

    /// Writes the declaration as TOML; values that equal the built-in ones stay.
    ///
    /// # Panics
    ///
    /// Never: each type in a declaration has a TOML form.
    pub fn to_toml(&self) -> String {
        toml::to_string(&self.contents).expect("each type in a declaration has a TOML form")
    }

    /// Returns what the declaration says.
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

    /// Resolves the settings that hold for `scope` at `now`.
    ///
    /// Values come, later over earlier, from the program, `[defaults]`, the organisation's entry
    /// and the exceptions that cover `scope`. Among these the one with more dimensions in its
    /// scope wins; then the one with the narrowest dimension (endpoint, organisation, service,
    /// model, data centre); then the one further down in the declaration.
    pub fn effective(&self, scope: &Scope, now: UnixMillis) -> Settings {
        let mut settings = Settings::default();
        for layer in self.layers(scope, now) {
            layer.overrides.apply_to(&mut settings);
        }
        settings
    }

    /// Lists each setting for `scope` at `now` with the source of its value.
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
            own.into_iter().flatten().chain(&self.index.for_any).copied().collect();
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

impl Exception {
    /// Returns whether the exception has not ended at `now`.
    pub fn is_live(&self, now: UnixMillis) -> bool {
        !self.until.is_some_and(|until| until.has_passed(now))
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

/// Positions in [`Contents`], so that a question reads only the entries that may matter.
#[derive(Clone, Debug, Default)]
struct Index {
    organisations: HashMap<OrganisationId, usize>,
    keys: HashMap<Digest, usize>,
    by_organisation: HashMap<OrganisationId, Vec<usize>>,
    for_any: Vec<usize>,
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
                None => index.for_any.push(position),
            }
        }
        index
    }
}

/// A declaration as it stands in its file, with places for messages.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    defaults: Option<Spanned<Overrides>>,
    #[serde(default)]
    models: Vec<Spanned<DesiredModel>>,
    #[serde(default)]
    organisations: Vec<Spanned<Organisation>>,
    #[serde(default)]
    exceptions: Vec<FileException>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileException {
    id: Spanned<ExceptionId>,
    reason: Reason,
    author: Option<Author>,
    until: Option<EndTime>,
    scope: Spanned<Scope>,
    set: Spanned<Overrides>,
}

impl File {
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

impl FileException {
    fn check(&self, text: &str) -> Result<(), DeclarationError> {
        let scope = self.scope.get_ref().dimensions();
        if scope == crate::scope::Dimensions::NONE {
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
            crate::scope::Dimensions::NONE => "this setting in [defaults] only".to_owned(),
            dimensions => format!("this setting in a scope of {dimensions} only"),
        };
        Err(DeclarationError::at_key(text, self.set.span(), key.name, &allowed))
    }
}

impl From<File> for Contents {
    fn from(file: File) -> Self {
        Self {
            defaults: file.defaults.map(Spanned::into_inner).unwrap_or_default(),
            models: file.models.into_iter().map(Spanned::into_inner).collect(),
            organisations: file.organisations.into_iter().map(Spanned::into_inner).collect(),
            exceptions: file.exceptions.into_iter().map(Exception::from).collect(),
        }
    }
}

impl From<FileException> for Exception {
    fn from(entry: FileException) -> Self {
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
