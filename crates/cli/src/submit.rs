use std::io::{self, BufRead as _, IsTerminal as _, Write as _};

use base::{ChangeId, Hasher, Revision};
use serde::Serialize;
use wire::operator::{ChangeRequest, ChangeResult, CurrentDeclaration, DECLARATION_PATH};

use crate::{
    EditableDeclaration, Error,
    client::Client,
    line_diff,
    options::Approval,
    output::{Output, printable},
    settings::Settings,
};

const CHANGE_ID_HEX_DIGITS: usize = 32;

/// Result of a change that was not refused.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
enum SubmitResult {
    Applied { revision: Revision },
    Unchanged { revision: Revision },
}

/// Shows the difference, asks whether to go on, and replaces the declaration with `toml`.
pub(crate) fn submit(
    settings: &Settings,
    current: &CurrentDeclaration,
    toml: String,
    approval: &Approval,
) -> Result<(), Error> {
    let output = Output::new(settings.json);
    if EditableDeclaration::parse(&current.toml)? == EditableDeclaration::parse(&toml)? {
        let unchanged = SubmitResult::Unchanged { revision: current.revision };
        output.print(&unchanged, || format!("nothing to do; revision {}", current.revision));
        return Ok(());
    }
    if approval.reason.trim().is_empty() {
        return Err(Error::usage("--reason: must not be empty; state why the change is made"));
    }
    eprint!("{}", printable(&line_diff(&current.toml, &toml)));
    if !approval.yes {
        confirm()?;
    }
    let response = Client::new(settings)
        .change(DECLARATION_PATH, &change_request(settings, current, toml, approval))?;
    let revision = applied_revision(response.outcome()?)?;
    output.print(&SubmitResult::Applied { revision }, || format!("applied; revision {revision}"));
    Ok(())
}

fn change_request(
    settings: &Settings,
    current: &CurrentDeclaration,
    toml: String,
    approval: &Approval,
) -> ChangeRequest {
    ChangeRequest {
        id: change_id(settings, current.revision, &toml, &approval.reason),
        expected: current.revision,
        author: settings.author.clone(),
        reason: approval.reason.as_str().into(),
        toml: toml.into(),
    }
}

/// Derives the id from the change, so that repeating a command repeats the same change.
fn change_id(settings: &Settings, expected: Revision, toml: &str, reason: &str) -> ChangeId {
    let digest = Hasher::default()
        .field(&expected.as_u64().to_le_bytes())
        .field(settings.author.as_str().as_bytes())
        .field(reason.as_bytes())
        .field(toml.as_bytes())
        .finish()
        .to_string();
    let id = format!("cli-{}", &digest[..CHANGE_ID_HEX_DIGITS]);
    id.parse().expect("letters, digits and a dash make a change id")
}

fn applied_revision(result: ChangeResult) -> Result<Revision, Error> {
    match result {
        ChangeResult::Applied { revision } => Ok(revision),
        ChangeResult::Conflict { winner } => Err(Error::refused(format!(
            "another change came first: revision {} by {}, {:?}; nothing was changed",
            winner.revision, winner.author, winner.reason
        ))),
        ChangeResult::ReusedId { first } => Err(Error::refused(format!(
            "change id {} was already used by revision {} by {}; nothing was changed",
            first.id, first.revision, first.author
        ))),
        ChangeResult::Invalid { line: Some(line), message } => {
            Err(Error::refused(format!("declaration, line {line}: {message}; nothing was changed")))
        }
        ChangeResult::Invalid { line: None, message } => {
            Err(Error::refused(format!("declaration: {message}; nothing was changed")))
        }
    }
}

fn confirm() -> Result<(), Error> {
    let stdin = io::stdin();
    if !stdin.is_terminal() {
        return Err(Error::usage("--yes: not given, and standard input is not a terminal"));
    }
    eprint!("make this change? [y/N] ");
    // The reply is read even if the prompt can't be shown.
    let _ = io::stderr().flush();
    let mut line = String::new();
    let read = stdin.lock().read_line(&mut line);
    match read {
        Ok(_) if matches!(line.trim(), "y" | "yes") => Ok(()),
        _ => Err(Error::refused("not confirmed; nothing was changed")),
    }
}
