use base::{UnixMillis, Verdict};
use fleet::{CallKey, CallState as State, Command, Held, Reply, Resolve, ResolveReply};
use rouille::Request;
use wire::{
    leader::{LeaderAnswer, LeaderRequest},
    operator::{
        Call, CallPath, CallState, Resolution, ResolveRequest, ResolvedVerdict, UnsettledCalls,
    },
};

use super::{Pages, body, problems::Refused};

/// Shows a call that may not be repeated.
pub(super) fn show(pages: &Pages, path: CallPath) -> Result<Call, Refused> {
    read(pages, CallKey { organisation: path.organisation, key: path.key })
}

/// Lists the calls that are open or whose outcome is unknown.
pub(super) fn unsettled(pages: &Pages) -> Result<UnsettledCalls, Refused> {
    match pages.leader.submit(&LeaderRequest::ReadUnsettled)? {
        LeaderAnswer::Unsettled(calls) => {
            let calls = calls.into_iter().map(|unsettled| to_wire(unsettled.key, unsettled.call));
            Ok(UnsettledCalls { calls: calls.collect() })
        }
        _ => Err(Refused::unavailable("the leader's answer can't be read")),
    }
}

/// Settles a call by an operator's word; the same word again finds it settled.
pub(super) fn resolve(pages: &Pages, req: &Request, path: CallPath) -> Result<Call, Refused> {
    let req: ResolveRequest = body::read(req, body::SMALL_BYTES)?;
    let key = CallKey { organisation: path.organisation, key: path.key };
    let resolve = Command::Resolve(Resolve {
        call: key.clone(),
        resolution: match req.verdict {
            ResolvedVerdict::Ran => fleet::Resolution::Ran,
            ResolvedVerdict::NotRun => fleet::Resolution::NotRun,
        },
        author: req.author.clone(),
        reason: req.reason,
        // The leader sets its own time.
        at: UnixMillis::new(0),
    });
    let answer = pages.leader.submit(&LeaderRequest::Command(resolve))?;
    let LeaderAnswer::Reply(Reply::Resolve(reply)) = answer else {
        return Err(Refused::unknown());
    };
    match reply {
        ResolveReply::Resolved => {
            let verdict = Verdict::from(req.verdict);
            log::info!(call:% = key, verdict:%, author:% = req.author; "call settled");
            read(pages, key).map_err(|_| Refused::unknown())
        }
        ResolveReply::AlreadySettled => settled_before(pages, key, req.verdict),
        ResolveReply::TooEarly { wait } => {
            let shown = humantime::format_duration(wait);
            let detail = format!("its owner may still send the call; try again in {shown}");
            Err(Refused::conflict(detail).retry_after(wait))
        }
        ResolveReply::InvalidReason => Err(Refused::invalid("the reason is empty or too long")),
        ResolveReply::Unknown => Err(unknown(&key)),
    }
}

fn settled_before(pages: &Pages, key: CallKey, verdict: ResolvedVerdict) -> Result<Call, Refused> {
    let call = read(pages, key)?;
    if call.state == CallState::Resolved && call.verdict == Verdict::from(verdict) {
        return Ok(call);
    }
    Err(Refused::conflict(format!("the call is settled already: {}", call.verdict)))
}

fn read(pages: &Pages, key: CallKey) -> Result<Call, Refused> {
    match pages.leader.submit(&LeaderRequest::ReadCall(key.clone()))? {
        LeaderAnswer::Call(Some(call)) => Ok(to_wire(key, *call)),
        LeaderAnswer::Call(None) => Err(unknown(&key)),
        _ => Err(Refused::unavailable("the leader's answer can't be read")),
    }
}

fn unknown(key: &CallKey) -> Refused {
    let CallKey { organisation, key } = key;
    Refused::not_found(format!("no call {key} of {organisation} is known"))
}

fn to_wire(key: CallKey, call: fleet::Call) -> Call {
    let late_status = call.conflict.map(|conflict| conflict.status);
    let shown = |state, verdict, held: Option<Held>| {
        let owner = held.as_ref().map(|held| held.owner.clone());
        Call {
            organisation: key.organisation.clone(),
            key: key.key.clone(),
            state,
            verdict,
            owner: owner.as_ref().map(|owner| owner.host.clone()),
            owner_incarnation: owner.map(|owner| owner.incarnation),
            claimed_at: held.map(|held| held.claimed_at),
            status: None,
            resolution: None,
            late_status,
        }
    };
    match call.state {
        State::Claimed(held) => shown(CallState::Open, Verdict::MayHaveRun, Some(held)),
        State::Finished(held, answer) => {
            let status = Some(answer.status);
            Call { status, ..shown(CallState::Answered, Verdict::Ran, Some(held)) }
        }
        State::MayHaveRun(held, _) => shown(CallState::Failed, Verdict::MayHaveRun, Some(held)),
        State::Released => shown(CallState::Released, Verdict::NotRun, None),
        State::Resolved(held, resolved) => {
            let verdict = match resolved.resolution {
                fleet::Resolution::Ran => Verdict::Ran,
                fleet::Resolution::NotRun => Verdict::NotRun,
            };
            let resolution = Some(Resolution {
                author: resolved.author,
                reason: resolved.reason,
                at: resolved.at,
            });
            Call { resolution, ..shown(CallState::Resolved, verdict, Some(held)) }
        }
    }
}
