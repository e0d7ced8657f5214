use std::{
    thread,
    time::{Duration, Instant},
};

use base::{ChangeId, Revision, UnixMillis};
use fleet::{ChangeRecord, ChangeReply, Command, ConfigChange, Reply};
use rouille::{Request, Response};
use wire::{
    leader::{LeaderAnswer, LeaderRequest},
    operator::{ChangeAnswer, ChangeRequest, CurrentDeclaration, History, HistoryEntry},
};

use super::{Pages, body, json, problems::Refused};

/// Largest body of a change, in bytes: a declaration with each quote escaped.
const CHANGE_BYTES: u64 = 6 << 20;

/// Longest wait until an accepted change is in force here too.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between looks at the revision in force.
const IN_FORCE_POLL: Duration = Duration::from_millis(5);

/// Returns the declaration that is in force at this router.
pub(super) fn current(pages: &Pages) -> CurrentDeclaration {
    let in_force = pages.sources.configurations.in_force();
    match in_force.as_ref().and_then(|held| held.configuration.as_ref()) {
        None => CurrentDeclaration {
            revision: Revision::ZERO,
            toml: "".into(),
            author: None,
            at: None,
            reason: None,
        },
        Some(held) => CurrentDeclaration {
            revision: held.revision,
            toml: held.declaration.clone(),
            author: Some(held.author.clone()),
            at: Some(held.at),
            reason: Some(held.reason.clone()),
        },
    }
}

/// Replaces the declaration if its revision is still the expected one.
pub(super) fn change(pages: &Pages, req: &Request) -> Result<Response, Refused> {
    let req: ChangeRequest = body::read(req, CHANGE_BYTES)?;
    let (id, author) = (req.id.clone(), req.author.clone());
    let change = Command::Change(ConfigChange {
        id: req.id,
        expected: req.expected,
        author: req.author,
        reason: req.reason,
        // The leader sets its own time.
        at: UnixMillis::new(0),
        declaration: req.toml,
    });
    let answer = pages.leader.submit(&LeaderRequest::Command(change))?;
    let LeaderAnswer::Reply(Reply::Change(reply)) = answer else { return Err(Refused::unknown()) };
    let answer = to_answer(pages, &id, reply)?;
    if let ChangeAnswer::Applied { revision } = answer {
        log::info!(change:% = id, author:%, revision:%; "configuration changed");
        wait_in_force(pages, revision);
    }
    Ok(json(&answer).with_status_code(answer.status()))
}

/// Lists the changes that are kept.
pub(super) fn history(pages: &Pages) -> Result<History, Refused> {
    let records = match pages.leader.submit(&LeaderRequest::ReadHistory) {
        Ok(LeaderAnswer::History(records)) => records,
        Ok(_) => return Err(Refused::unavailable("the leader's answer can't be read")),
        Err(refused) => pages.sources.replica.load().ok_or(refused)?.history,
    };
    Ok(History { changes: records.into_iter().map(entry).collect() })
}

fn to_answer(pages: &Pages, id: &ChangeId, reply: ChangeReply) -> Result<ChangeAnswer, Refused> {
    Ok(match reply {
        ChangeReply::Changed(revision) => ChangeAnswer::Applied { revision },
        ChangeReply::Conflict { winner: Some(winner), .. } => {
            ChangeAnswer::Conflict { winner: entry(winner) }
        }
        ChangeReply::Conflict { winner: None, current } => {
            return Err(Refused::conflict(format!("revision {current} is in force")));
        }
        ChangeReply::Invalid(e) => {
            ChangeAnswer::Invalid { line: Some(e.line()), message: e.to_string().into() }
        }
        ChangeReply::InvalidReason => {
            let message = "the reason is empty or too long".into();
            ChangeAnswer::Invalid { line: None, message }
        }
        ChangeReply::IdReused => {
            let first = history(pages)?.changes.into_iter().find(|change| change.id == *id);
            let first = first.ok_or_else(|| {
                Refused::conflict(format!("change id {id} stands for another change"))
            })?;
            ChangeAnswer::ReusedId { first }
        }
    })
}

fn entry(record: ChangeRecord) -> HistoryEntry {
    HistoryEntry {
        revision: record.revision,
        id: record.id,
        author: record.author,
        at: record.at,
        reason: record.reason,
    }
}

/// Waits until `revision` is in force here, so that the operator's next question finds it.
fn wait_in_force(pages: &Pages, revision: Revision) {
    let deadline = Instant::now() + IN_FORCE_TIMEOUT;
    while pages.sources.configurations.revision() < revision && Instant::now() < deadline {
        thread::sleep(IN_FORCE_POLL);
    }
}
