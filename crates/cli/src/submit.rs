use std::io::{self, BufRead as _, IsTerminal as _, Write as _};

use base::{ChangeId, Hasher, Revision};
use serde::Serialize;
use wire::operator::{ChangeRequest, ChangeResult, CurrentDeclaration, DECLARATION_PATH};

use crate::{
    Edit, Error,
    client::Client,
    line_diff,
    options::Approval,
    output::{Output, printable},
    settings::Settings,
};

const CHANGE_ID_DIGITS: usize = 32;

/// What became of a change that was not refused.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
enum Submitted {
    Applied { revision: Revision },
    Unchanged { revision: Revision },
}

/// Replaces the declaration by `toml`, once shown and agreed to.
pub(crate) fn submit(
    settings: &Settings,
    current: &CurrentDeclaration,
    toml: String,
    approval: &Approval,
) -> Result<(), Error> {
    let output = Output::new(settings.json);
    if Edit::parse(&current.toml)? == Edit::parse(&toml)? {
        let unchanged = Submitted::Unchanged { revision: current.revision };
        output.print(&unchanged, || format!("nothing to do; revision {}", current.revision));
        return Ok(());
    }
    if approval.reason.trim().is_empty() {
        return Err(Error::usage(r#"--reason: "" is no reason; write why the change is made"#));
    }
    eprint!("{}", printable(&line_diff(&current.toml, &toml)));
    if !approval.yes {
        confirm()?;
    }
    let answer = Client::new(settings)
        .change(DECLARATION_PATH, &change_request(settings, current, toml, approval))?;
    let revision = applied(answer.outcome()?)?;
    output.print(&Submitted::Applied { revision }, || format!("applied; revision {revision}"));
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

/// Derives the id from the change, so that the same command sent again is the same change.
fn change_id(settings: &Settings, expected: Revision, toml: &str, reason: &str) -> ChangeId {
    let digest = Hasher::default()
        .field(&expected.as_u64().to_le_bytes())
        .field(settings.author.as_str().as_bytes())
        .field(reason.as_bytes())
        .field(toml.as_bytes())
        .finish()
        .to_string();
    let id = format!("cli-{}", &digest[..CHANGE_ID_DIGITS]);
    id.parse().expect("letters, digits and a dash make a change id")
}

fn applied(answer: ChangeResult) -> Result<Revision, Error> {
    match answer {
        ChangeResult::Applied { revision } => Ok(revision),
        ChangeResult::Conflict { winner } => Err(Error::refused(format!(
            "another change came first: revision {} by {}, {:?}; nothing was changed",
            winner.revision, winner.author, winner.reason
        ))),
        ChangeResult::ReusedId { first } => Err(Error::refused(format!(
            "change id {} stands for revision {} by {}; nothing was changed",
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
        return Err(Error::usage("--yes: not given, and there is no terminal to ask on"));
    }
    eprint!("make this change? [y/N] ");
    // A prompt that cannot be shown is still answered.
    let _ = io::stderr().flush();
    let mut line = String::new();
    let read = stdin.lock().read_line(&mut line);
    match read {
        Ok(_) if matches!(line.trim(), "y" | "yes") => Ok(()),
        _ => Err(Error::refused("not agreed to; nothing was changed")),
    }
}
