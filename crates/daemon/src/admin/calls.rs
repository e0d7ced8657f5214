use base::{UnixMillis, Verdict};
use fleet::{CallKey, CallState as State, Command, GrantedClaim, Reply, Resolve, ResolveReply};
use rouille::Request;
use wire::{
    leader::{LeaderRequest, LeaderResponse},
    operator::{
        Call, CallPath, CallState, Resolution, ResolveRequest, ResolvedVerdict, UnsettledCalls,
    },
};

use super::{AdminApi, body, problems::ApiError};

/// Returns a non-idempotent call.
pub(super) fn show(api: &AdminApi, path: CallPath) -> Result<Call, ApiError> {
    read(api, CallKey { organisation: path.organisation, key: path.key })
}

/// Lists the calls that are open or whose outcome is unknown.
pub(super) fn unsettled(api: &AdminApi) -> Result<UnsettledCalls, ApiError> {
    match api.leader.submit(&LeaderRequest::ReadUnsettled)? {
        LeaderResponse::Unsettled(calls) => {
            let calls = calls.into_iter().map(|unsettled| to_wire(unsettled.key, unsettled.call));
            Ok(UnsettledCalls { calls: calls.collect() })
        }
        _ => Err(ApiError::unavailable("the leader's response can't be decoded")),
    }
}

/// Records the operator's verdict on a call; the same verdict again succeeds.
pub(super) fn resolve(api: &AdminApi, req: &Request, path: CallPath) -> Result<Call, ApiError> {
    let req: ResolveRequest = body::read(req, body::MAX_SMALL_BODY_BYTES)?;
    let key = CallKey { organisation: path.organisation, key: path.key };
    let resolve = Command::Resolve(Resolve {
        call: key.clone(),
        resolution: match req.verdict {
            ResolvedVerdict::Ran => fleet::Resolution::Ran,
            ResolvedVerdict::NotRun => fleet::Resolution::NotRun,
        },
        author: req.author.clone(),
        reason: req.reason,
        // The leader sets the time.
        at: UnixMillis::new(0),
    });
    let response = api.leader.submit(&LeaderRequest::Command(resolve))?;
    let LeaderResponse::Reply(Reply::Resolve(reply)) = response else {
        return Err(ApiError::unknown());
    };
    match reply {
        ResolveReply::Resolved => {
            let verdict = Verdict::from(req.verdict);
            log::info!(call:% = key, verdict:%, author:% = req.author; "call resolved");
            read(api, key).map_err(|_| ApiError::unknown())
        }
        ResolveReply::AlreadySettled => already_settled(api, key, req.verdict),
        ResolveReply::TooEarly { wait } => {
            let wait_text = humantime::format_duration(wait);
            let detail = format!("its owner may still send the call; retry in {wait_text}");
            Err(ApiError::conflict(detail).retry_after(wait))
        }
        ResolveReply::InvalidReason => Err(ApiError::invalid("the reason is empty or too long")),
        ResolveReply::Unknown => Err(unknown(&key)),
    }
}

fn already_settled(
    api: &AdminApi,
    key: CallKey,
    verdict: ResolvedVerdict,
) -> Result<Call, ApiError> {
    let call = read(api, key)?;
    if call.state == CallState::Resolved && call.verdict == Verdict::from(verdict) {
        return Ok(call);
    }
    Err(ApiError::conflict(format!("the call is settled already: {}", call.verdict)))
}

fn read(api: &AdminApi, key: CallKey) -> Result<Call, ApiError> {
    match api.leader.submit(&LeaderRequest::ReadCall(key.clone()))? {
        LeaderResponse::Call(Some(call)) => Ok(to_wire(key, *call)),
        LeaderResponse::Call(None) => Err(unknown(&key)),
        _ => Err(ApiError::unavailable("the leader's response can't be decoded")),
    }
}

fn unknown(key: &CallKey) -> ApiError {
    let CallKey { organisation, key } = key;
    ApiError::not_found(format!("no call {key} of {organisation} is known"))
}

fn to_wire(key: CallKey, call: fleet::Call) -> Call {
    let late_status = call.conflict.map(|conflict| conflict.status);
    let wire_call = |state, verdict, claim: Option<GrantedClaim>| {
        let owner = claim.as_ref().map(|claim| claim.owner.clone());
        Call {
            organisation: key.organisation.clone(),
            key: key.key.clone(),
            state,
            verdict,
            owner: owner.as_ref().map(|owner| owner.host.clone()),
            owner_incarnation: owner.map(|owner| owner.incarnation),
            claimed_at: claim.map(|claim| claim.claimed_at),
            status: None,
            resolution: None,
            late_status,
        }
    };
    match call.state {
        State::Claimed(claim) => wire_call(CallState::Open, Verdict::MayHaveRun, Some(claim)),
        State::Finished(claim, response) => {
            let status = Some(response.status);
            Call { status, ..wire_call(CallState::Answered, Verdict::Ran, Some(claim)) }
        }
        State::MayHaveRun(claim, _) => {
            wire_call(CallState::Failed, Verdict::MayHaveRun, Some(claim))
        }
        State::Released => wire_call(CallState::Released, Verdict::NotRun, None),
        State::Resolved(claim, resolved) => {
            let verdict = match resolved.resolution {
                fleet::Resolution::Ran => Verdict::Ran,
                fleet::Resolution::NotRun => Verdict::NotRun,
            };
            let resolution = Some(Resolution {
                author: resolved.author,
                reason: resolved.reason,
                at: resolved.at,
            });
            Call { resolution, ..wire_call(CallState::Resolved, verdict, Some(claim)) }
        }
    }
}
