use base::ExceptionId;
use toml::{Table, Value};

use crate::Error;

const DEFAULTS: &str = "defaults";
const EXCEPTIONS: &str = "exceptions";

/// A declaration that can be edited; comments and order are not kept.
///
/// Edits keep the text valid TOML; the router validates the settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EditableDeclaration(Table);

/// An exception to add.
#[derive(Clone, Debug)]
pub struct NewException {
    /// Its id, unique in the declaration.
    pub id: ExceptionId,
    /// Reason, kept in the declaration.
    pub reason: String,
    /// End time; `None` if it does not expire.
    pub until: Option<String>,
    /// Traffic that it applies to.
    pub scope: Vec<(String, String)>,
    /// Settings that it changes.
    pub set: Vec<(String, String)>,
}

impl EditableDeclaration {
    /// Parses a declaration.
    ///
    /// # Errors
    ///
    /// Returns an error that names the line if `text` is not TOML, `defaults` is not a table or
    /// `exceptions` is not a list of tables.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let table: Table =
            text.parse().map_err(|e| Error::usage(format!("declaration is not TOML: {e}")))?;
        if table.get(DEFAULTS).is_some_and(|defaults| !defaults.is_table()) {
            return Err(Error::usage("declaration: defaults is not a table"));
        }
        let is_list =
            |value: &Value| value.as_array().is_some_and(|list| list.iter().all(Value::is_table));
        if table.get(EXCEPTIONS).is_some_and(|exceptions| !is_list(exceptions)) {
            return Err(Error::usage("declaration: exceptions is not a list of tables"));
        }
        Ok(Self(table))
    }

    /// Returns the declaration's text.
    pub fn to_toml(&self) -> String {
        // A parsed table can always be written as TOML.
        toml::to_string(&self.0).unwrap_or_default()
    }

    /// Returns the declaration's defaults.
    pub fn defaults(&self) -> impl Iterator<Item = (&str, &Value)> {
        let defaults = self.0.get(DEFAULTS).and_then(Value::as_table);
        defaults.into_iter().flatten().map(|(key, value)| (key.as_str(), value))
    }

    /// Returns the declaration's exceptions.
    pub fn exceptions(&self) -> impl Iterator<Item = &Table> {
        let exceptions = self.0.get(EXCEPTIONS).and_then(Value::as_array);
        exceptions.into_iter().flatten().filter_map(Value::as_table)
    }

    /// Sets a default to a TOML value, or to a string if `value` is not valid TOML.
    pub fn set_default(&mut self, key: &str, value: &str) {
        let defaults = self.0.entry(DEFAULTS).or_insert_with(|| Table::new().into());
        if let Some(defaults) = defaults.as_table_mut() {
            defaults.insert(key.to_owned(), parse_value(value));
        }
    }

    /// Adds an exception. Adding an identical one again changes nothing.
    ///
    /// # Errors
    ///
    /// Returns an error if another exception has the same id.
    pub fn add_exception(&mut self, exception: NewException) -> Result<(), Error> {
        let new = exception.into_table();
        if let Some(existing) =
            self.exceptions().find(|existing| existing.get("id") == new.get("id"))
        {
            if *existing == new {
                return Ok(());
            }
            let id = new.get("id").and_then(Value::as_str).unwrap_or_default();
            let message = format!("exception {id} exists and differs; remove it first");
            return Err(Error::refused(message));
        }
        let exceptions = self.0.entry(EXCEPTIONS).or_insert_with(|| Vec::<Value>::new().into());
        if let Some(exceptions) = exceptions.as_array_mut() {
            exceptions.push(new.into());
        }
        Ok(())
    }

    /// Removes the exception with this id, if there is one.
    pub fn remove_exception(&mut self, id: &ExceptionId) {
        let exceptions = self.0.get_mut(EXCEPTIONS).and_then(Value::as_array_mut);
        let Some(exceptions) = exceptions else { return };
        exceptions
            .retain(|existing| existing.get("id").and_then(Value::as_str) != Some(id.as_str()));
        if exceptions.is_empty() {
            self.0.remove(EXCEPTIONS);
        }
    }
}

impl NewException {
    fn into_table(self) -> Table {
        let strings = self.scope.into_iter().map(|(key, value)| (key, Value::String(value)));
        let set = self.set.into_iter().map(|(key, value)| (key, parse_value(&value)));
        let mut table = Table::new();
        table.insert("id".into(), self.id.as_str().into());
        table.insert("reason".into(), self.reason.into());
        if let Some(until) = self.until {
            table.insert("until".into(), until.into());
        }
        table.insert("scope".into(), strings.collect::<Table>().into());
        table.insert("set".into(), set.collect::<Table>().into());
        table
    }
}

fn parse_value(text: &str) -> Value {
    // Parsed as a whole document, so that text which would add a line or key becomes a string.
    let table = format!("value = {text}").parse::<Table>().ok();
    let value = table.filter(|table| table.len() == 1).and_then(|mut table| table.remove("value"));
    value.unwrap_or_else(|| text.into())
}
