use std::{fs, io, path::Path};

use base::{Author, Digest, ParseError, Revision};
use bpaf::ParseFailure;
use serde::Serialize;
use toml::{Table, Value};
use wire::operator::{
    CALLS_PATH, Call, CallPath, CurrentDeclaration, DECLARATION_PATH, ENDPOINTS_PATH, EXPLAIN_PATH,
    EXPLAIN_ROUTE_PATH, Endpoints, ExplainRequest, Explanation, HISTORY_PATH, History, PromptPart,
    RESOLVE_SUFFIX, ResolveRequest, ResolvedVerdict, RouteExplanation, STATUS_PATH, Status,
    UnsettledCalls, VOTERS_PATH, VoterChange, VoterChangeRequest, Voters,
};

use crate::{
    EditableDeclaration, Error, Exit, NewException,
    client::Client,
    line_diff,
    options::{self, Action, Approval, ExceptionOptions, Input, Outcome, RouteOptions},
    output::{Output, printable},
    route_query, route_view,
    settings::Settings,
    submit::submit,
    view,
};

const HELP_WIDTH_COLUMNS: usize = 100;

/// Runs the tool on this process's arguments.
pub fn main() -> Exit {
    run_args(bpaf::Args::current_args())
}

/// Runs the tool on `args`, without the program name.
pub fn run(args: &[&str]) -> Exit {
    run_args(bpaf::Args::from(args))
}

fn run_args(args: bpaf::Args<'_>) -> Exit {
    let invocation = match options::parser().run_inner(args) {
        Ok(invocation) => invocation,
        Err(failure) => {
            failure.print_message(HELP_WIDTH_COLUMNS);
            let is_usage_error = matches!(failure, ParseFailure::Stderr(_));
            return if is_usage_error { Exit::Usage } else { Exit::Done };
        }
    };
    let result = Settings::check(invocation.common).and_then(|settings| {
        let session = Session { client: Client::new(&settings), settings: &settings };
        session.run(invocation.action)
    });
    result.unwrap_or_else(|e| {
        eprintln!("{}", printable(&e.to_string()));
        e.exit()
    })
}

/// Reads a key from standard input, which keeps the key out of process lists.
pub(crate) fn read_key() -> Result<String, Error> {
    let mut line = String::new();
    io::stdin().read_line(&mut line).map_err(|e| Error::usage(format!("standard input: {e}")))?;
    let key = line.trim_end_matches(['\r', '\n']);
    if key.is_empty() {
        return Err(Error::usage("standard input: expected a key on one line"));
    }
    Ok(key.to_owned())
}

fn print_digest() -> Result<(), Error> {
    println!("{}", Digest::of(read_key()?.as_bytes()));
    Ok(())
}

struct Session<'a> {
    client: Client<'a>,
    settings: &'a Settings,
}

/// Difference between a file and the current declaration.
#[derive(Serialize)]
struct Difference {
    revision: Revision,
    differs: bool,
    diff: String,
}

impl Session<'_> {
    fn run(&self, action: Action) -> Result<Exit, Error> {
        match action {
            Action::Diff { file } => return self.diff(&file),
            Action::Digest => print_digest()?,
            Action::Status => self.show::<Status>(STATUS_PATH, view::status)?,
            Action::Endpoints => self.show::<Endpoints>(ENDPOINTS_PATH, view::endpoints)?,
            Action::History => self.show::<History>(HISTORY_PATH, view::history)?,
            Action::VotersList => self.show::<Voters>(VOTERS_PATH, view::voters)?,
            Action::DefaultsGet { key } => self.defaults(key.as_deref())?,
            Action::DefaultsSet { approval, key, value } => {
                self.edit(&approval, |edit| {
                    edit.set_default(&key, &value);
                    Ok(())
                })?;
            }
            Action::ExceptionsList => self.exceptions()?,
            Action::ExceptionsAdd { exception, approval, id } => {
                let exception = new_exception(exception, &approval, &id)?;
                self.edit(&approval, |edit| edit.add_exception(exception))?;
            }
            Action::ExceptionsRemove { approval, id } => {
                let id = parse_argument("ID", &id)?;
                self.edit(&approval, |edit| {
                    edit.remove_exception(&id);
                    Ok(())
                })?;
            }
            Action::Explain { organisation, model, adapter, input } => {
                self.explain(&organisation, &model, adapter.as_deref(), input)?;
            }
            Action::ExplainRoute(options) => self.explain_route(options)?,
            Action::Apply { approval, file } => {
                let toml = read_file(&file)?;
                submit(self.settings, &self.current_declaration()?, toml, &approval)?;
            }
            Action::CallsList => self.show::<UnsettledCalls>(CALLS_PATH, view::unsettled)?,
            Action::CallsShow { organisation, key } => {
                let path = call_path(&organisation, &key)?.to_string();
                self.show::<Call>(&path, view::call)?;
            }
            Action::CallsResolve { outcome, organisation, reason, key } => {
                self.resolve(&call_path(&organisation, &key)?, outcome, reason)?;
            }
            Action::VotersAdd { folder, reason, host } => {
                let host = parse_argument("HOST", &host)?;
                self.change_voters(VoterChange::Add { host, folder: folder.into() }, reason)?;
            }
            Action::VotersRemove { reason, host } => {
                let host = parse_argument("HOST", &host)?;
                self.change_voters(VoterChange::Remove { host }, reason)?;
            }
        }
        Ok(Exit::Done)
    }

    fn show<T>(&self, path: &str, text: fn(&T) -> String) -> Result<(), Error>
    where
        T: Serialize + serde::de::DeserializeOwned,
    {
        let value: T = self.client.get(path)?;
        self.output().print(&value, || text(&value));
        Ok(())
    }

    fn output(&self) -> Output {
        Output::new(self.settings.json)
    }

    fn current_declaration(&self) -> Result<CurrentDeclaration, Error> {
        self.client.get(DECLARATION_PATH)
    }

    fn edit(
        &self,
        approval: &Approval,
        change: impl FnOnce(&mut EditableDeclaration) -> Result<(), Error>,
    ) -> Result<(), Error> {
        let current = self.current_declaration()?;
        let mut edit = EditableDeclaration::parse(&current.toml)?;
        change(&mut edit)?;
        submit(self.settings, &current, edit.to_toml(), approval)
    }

    fn diff(&self, file: &Path) -> Result<Exit, Error> {
        let toml = read_file(file)?;
        let current = self.current_declaration()?;
        let differs =
            EditableDeclaration::parse(&toml)? != EditableDeclaration::parse(&current.toml)?;
        let diff = if differs { line_diff(&current.toml, &toml) } else { String::new() };
        let difference = Difference { revision: current.revision, differs, diff };
        self.output()
            .print(&difference, || view::difference(differs, &printable(&difference.diff)));
        Ok(if differs { Exit::Differs } else { Exit::Done })
    }

    fn defaults(&self, key: Option<&str>) -> Result<(), Error> {
        let edit = EditableDeclaration::parse(&self.current_declaration()?.toml)?;
        let selected = edit.defaults().filter(|(name, _)| key.is_none_or(|key| key == *name));
        let selected: Table =
            selected.map(|(key, value)| (key.to_owned(), value.clone())).collect();
        if let (true, Some(key)) = (selected.is_empty(), key) {
            let message = format!("{key} is not in the declaration; its built-in value applies");
            return Err(Error::refused(message));
        }
        self.output().print(&selected, || view::settings(&selected));
        Ok(())
    }

    fn exceptions(&self) -> Result<(), Error> {
        let edit = EditableDeclaration::parse(&self.current_declaration()?.toml)?;
        let exceptions: Vec<&Table> = edit.exceptions().collect();
        self.output().print(&exceptions, || view::exceptions(&exceptions));
        Ok(())
    }

    fn explain(
        &self,
        organisation: &str,
        model: &str,
        adapter: Option<&str>,
        input: Input,
    ) -> Result<(), Error> {
        let req = ExplainRequest {
            organisation: parse_argument("--organisation", organisation)?,
            model: parse_argument("--model", model)?,
            adapter: adapter.map(|adapter| parse_argument("--adapter", adapter)).transpose()?,
            input: match input {
                Input::Prompt(text) => PromptPart::Prompt(text.into()),
                Input::Prefix(text) => PromptPart::Prefix(text.into()),
            },
        };
        let explanation: Explanation = self.client.query(EXPLAIN_PATH, &req)?;
        self.output().print(&explanation, || view::explanation(&explanation));
        Ok(())
    }

    fn explain_route(&self, options: RouteOptions) -> Result<(), Error> {
        let query = route_query::parse(options)?;
        let explanation: RouteExplanation = self.client.query(EXPLAIN_ROUTE_PATH, &query)?;
        self.output().print(&explanation, || route_view::explanation(&explanation));
        Ok(())
    }

    fn resolve(&self, path: &CallPath, outcome: Outcome, reason: String) -> Result<(), Error> {
        let verdict = match outcome {
            Outcome::Ran => ResolvedVerdict::Ran,
            Outcome::NotRun => ResolvedVerdict::NotRun,
        };
        let req = ResolveRequest { verdict, author: self.author(), reason: reason.into() };
        let response = self.client.change(&format!("{path}{RESOLVE_SUFFIX}"), &req)?;
        let call: Call = response.outcome()?;
        self.output().print(&call, || view::call(&call));
        Ok(())
    }

    fn change_voters(&self, change: VoterChange, reason: String) -> Result<(), Error> {
        let req = VoterChangeRequest { change, author: self.author(), reason: reason.into() };
        let voters: Voters = self.client.change(VOTERS_PATH, &req)?.outcome()?;
        self.output().print(&voters, || view::voters(&voters));
        Ok(())
    }

    fn author(&self) -> Author {
        self.settings.author.clone()
    }
}

fn call_path(organisation: &str, key: &str) -> Result<CallPath, Error> {
    Ok(CallPath {
        organisation: parse_argument("--organisation", organisation)?,
        key: parse_argument("KEY", key)?,
    })
}

fn new_exception(
    exception: ExceptionOptions,
    approval: &Approval,
    id: &str,
) -> Result<NewException, Error> {
    Ok(NewException {
        id: parse_argument("ID", id)?,
        reason: approval.reason.clone(),
        until: exception.until.map(parse_until).transpose()?,
        scope: parse_pairs("--scope", &exception.scope)?,
        set: parse_pairs("--set", &exception.set)?,
    })
}

fn parse_until(text: String) -> Result<String, Error> {
    const EXPECTED: &str = "a time in UTC such as 2027-02-01T00:00:00Z";
    match humantime::parse_rfc3339(&text) {
        Ok(_) => Ok(text),
        Err(_) => {
            Err(Error::usage(format!("--until: {}", ParseError::new("time", &text, EXPECTED))))
        }
    }
}

fn parse_pairs(name: &str, texts: &[String]) -> Result<Vec<(String, String)>, Error> {
    let pair = |text: &String| {
        let (key, value) = text.split_once('=').filter(|(key, _)| !key.is_empty())?;
        Some((key.to_owned(), value.to_owned()))
    };
    let invalid = |text: &str| ParseError::new("pair", text, "KEY=VALUE");
    let checked =
        |text| pair(text).ok_or_else(|| Error::usage(format!("{name}: {}", invalid(text))));
    texts.iter().map(checked).collect()
}

pub(crate) fn parse_argument<T: std::str::FromStr<Err = ParseError>>(
    name: &str,
    text: &str,
) -> Result<T, Error> {
    text.parse().map_err(|e| Error::usage(format!("{name}: {e}")))
}

fn read_file(file: &Path) -> Result<String, Error> {
    fs::read_to_string(file).map_err(|e| Error::usage(format!("FILE: {}: {e}", file.display())))
}

/// Formats a TOML value as on the command line: strings without quotes.
pub(crate) fn display_value(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
