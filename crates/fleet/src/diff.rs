//! Differences between declarations.

use std::{collections::HashMap, fmt};

use crate::{declaration::Declaration, settings::Overrides};

/// One difference between two declarations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The entry that differs: `default` and a setting, or the kind and name of an entry.
    pub name: String,
    /// The old value, `None` if the entry is new.
    pub before: Option<String>,
    /// The new value, `None` if the entry was removed.
    pub after: Option<String>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {}: {before} -> {after}", self.name),
            (Some(before), None) => write!(f, "- {}: {before}", self.name),
            (None, Some(after)) => write!(f, "+ {}: {after}", self.name),
            (None, None) => f.write_str(&self.name),
        }
    }
}

/// Returns the differences, in the order of `after`; removed entries come last.
pub fn diff(before: &Declaration, after: &Declaration) -> Vec<Difference> {
    let (old, new) = (entries(before), entries(after));
    let old_values = by_name(&old);
    let new_values = by_name(&new);
    let gone = old.iter().filter(|entry| !new_values.contains_key(entry.name.as_str()));
    new.iter()
        .chain(gone)
        .map(|entry| Difference {
            name: entry.name.clone(),
            before: old_values.get(entry.name.as_str()).map(|value| (*value).to_owned()),
            after: new_values.get(entry.name.as_str()).map(|value| (*value).to_owned()),
        })
        .filter(|difference| difference.before != difference.after)
        .collect()
}

fn by_name(entries: &[Entry]) -> HashMap<&str, &str> {
    entries.iter().map(|entry| (entry.name.as_str(), entry.value.as_str())).collect()
}

struct Entry {
    name: String,
    value: String,
}

fn entries(declaration: &Declaration) -> Vec<Entry> {
    let contents = declaration.contents();
    let mut entries = Vec::new();
    for value in contents.defaults.values() {
        entries.push(Entry { name: format!("default {}", value.key.name), value: value.value });
    }
    for model in &contents.models {
        let adapters: Vec<_> = model.adapters.iter().map(|id| id.as_str()).collect();
        let prefill = model.prefill_servers.map_or(0, |count| count.as_u32());
        let value = format!(
            "weights {} adapters [{}] on {} servers, {prefill} for prefill",
            model.weights,
            adapters.join(", "),
            model.minimum_servers,
        );
        entries.push(Entry { name: format!("model {}", model.model), value });
    }
    for organisation in &contents.organisations {
        let keys: Vec<_> = organisation.keys.iter().map(ToString::to_string).collect();
        let share = organisation.share.map_or("default".to_owned(), |share| share.to_string());
        let value = format!("share {share}, keys [{}]", keys.join(", "));
        entries.push(Entry { name: format!("organisation {}", organisation.id), value });
    }
    for exception in &contents.exceptions {
        let until = exception.until.map_or("no end".to_owned(), |until| format!("until {until}"));
        let author = exception.author.as_ref().map_or("nobody", |author| author.as_str());
        let value = format!(
            "{} for {}, {until}, by {author}: {}",
            settings_text(&exception.set),
            scope_text(&exception.scope),
            exception.reason,
        );
        entries.push(Entry { name: format!("exception {}", exception.id), value });
    }
    entries
}

fn settings_text(overrides: &Overrides) -> String {
    let values = overrides.values().into_iter();
    let texts: Vec<_> = values.map(|value| format!("{}={}", value.key.name, value.value)).collect();
    texts.join(" ")
}

fn scope_text(scope: &crate::Scope) -> String {
    let dimensions = [
        scope.organisation.as_ref().map(|id| format!("organisation={id}")),
        scope.model.as_ref().map(|id| format!("model={id}")),
        scope.service.as_ref().map(|id| format!("service={id}")),
        scope.data_centre.as_ref().map(|id| format!("data-centre={id}")),
        scope.endpoint.as_ref().map(|id| format!("endpoint={id}")),
    ];
    dimensions.into_iter().flatten().collect::<Vec<_>>().join(" ")
}
