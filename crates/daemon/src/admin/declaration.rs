use std::{
    thread,
    time::{Duration, Instant},
};

use base::{ChangeId, Revision, UnixMillis};
use fleet::{ChangeRecord, ChangeReply, Command, ConfigChange, Reply};
use rouille::{Request, Response};
use wire::{
    leader::{LeaderRequest, LeaderResponse},
    operator::{ChangeRequest, ChangeResult, CurrentDeclaration, History, HistoryEntry},
};

use super::{AdminApi, body, json, problems::ApiError};

/// Largest body of a change, in bytes: a declaration with each quote escaped.
pub(super) const MAX_CHANGE_BODY_BYTES: u64 = 6 << 20;

/// Longest wait until an accepted change is in force at this router.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between checks of the revision in force.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Returns the declaration that is in force at this router.
pub(super) fn current(api: &AdminApi) -> CurrentDeclaration {
    let in_force = api.context.configurations.in_force();
    match in_force.as_ref().and_then(|active| active.configuration.as_ref()) {
        None => CurrentDeclaration {
            revision: Revision::ZERO,
            toml: "".into(),
            author: None,
            at: None,
            reason: None,
        },
        Some(active) => CurrentDeclaration {
            revision: active.revision,
            toml: active.declaration.clone(),
            author: Some(active.author.clone()),
            at: Some(active.at),
            reason: Some(active.reason.clone()),
        },
    }
}

/// Replaces the declaration if its revision is still the expected one.
pub(super) fn change(api: &AdminApi, req: &Request) -> Result<Response, ApiError> {
    let req: ChangeRequest = body::read(req, MAX_CHANGE_BODY_BYTES)?;
    let (id, author) = (req.id.clone(), req.author.clone());
    let change = Command::Change(ConfigChange {
        id: req.id,
        expected: req.expected,
        author: req.author,
        reason: req.reason,
        // The leader sets the time.
        at: UnixMillis::new(0),
        declaration: req.toml,
    });
    let response = api.leader.submit(&LeaderRequest::Command(change))?;
    let LeaderResponse::Reply(Reply::Change(reply)) = response else {
        return Err(ApiError::unknown());
    };
    let response = to_change_result(api, &id, reply)?;
    if let ChangeResult::Applied { revision } = response {
        log::info!(change:% = id, author:%, revision:%; "configuration changed");
        wait_in_force(api, revision);
    }
    Ok(json(&response).with_status_code(response.status()))
}

/// Lists the retained changes.
pub(super) fn history(api: &AdminApi) -> Result<History, ApiError> {
    let records = match api.leader.submit(&LeaderRequest::ReadHistory) {
        Ok(LeaderResponse::History(records)) => records,
        Ok(_) => return Err(ApiError::unavailable("the leader's response can't be decoded")),
        Err(error) => api.context.replica.load().ok_or(error)?.history,
    };
    Ok(History { changes: records.into_iter().map(entry).collect() })
}

fn to_change_result(
    api: &AdminApi,
    id: &ChangeId,
    reply: ChangeReply,
) -> Result<ChangeResult, ApiError> {
    Ok(match reply {
        ChangeReply::Changed(revision) => ChangeResult::Applied { revision },
        ChangeReply::Conflict { winner: Some(winner), .. } => {
            ChangeResult::Conflict { winner: entry(winner) }
        }
        ChangeReply::Conflict { winner: None, current } => {
            return Err(ApiError::conflict(format!("revision {current} is in force")));
        }
        ChangeReply::Invalid(e) => {
            ChangeResult::Invalid { line: Some(e.line()), message: e.to_string().into() }
        }
        ChangeReply::InvalidReason => {
            let message = "the reason is empty or too long".into();
            ChangeResult::Invalid { line: None, message }
        }
        ChangeReply::IdReused => {
            let first = history(api)?.changes.into_iter().find(|change| change.id == *id);
            let first = first.ok_or_else(|| {
                ApiError::conflict(format!("change id {id} was already used for another change"))
            })?;
            ChangeResult::ReusedId { first }
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

/// Waits until `revision` is in force here, so that the operator's next query sees it.
fn wait_in_force(api: &AdminApi, revision: Revision) {
    let deadline = Instant::now() + IN_FORCE_TIMEOUT;
    while api.context.configurations.revision() < revision && Instant::now() < deadline {
        thread::sleep(IN_FORCE_POLL_INTERVAL);
    }
}
