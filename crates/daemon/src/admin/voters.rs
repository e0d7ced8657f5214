use quorum::VoterSet;
use rouille::Request;
use wire::{
    leader::{LeaderRequest, LeaderResponse},
    operator::{Voter, VoterChange, VoterChangeRequest, Voters},
};

use super::{AdminApi, body, problems::ApiError, status};

/// Lists the voters; on the leader with the matched log index of each.
pub(super) fn list(api: &AdminApi) -> Result<Voters, ApiError> {
    let (now, view) = (api.context.clock.now(), api.context.replica.load());
    if let Some(view) = view.as_ref().filter(|view| view.node.role == quorum::Role::Leader) {
        return Ok(Voters { voters: status::voters(now, view) });
    }
    match api.leader.submit(&LeaderRequest::ReadVoters) {
        Ok(response) => voters(response),
        Err(error) => Ok(Voters { voters: status::voters(now, &view.ok_or(error)?) }),
    }
}

/// Adds or removes one voter.
pub(super) fn change(api: &AdminApi, req: &Request) -> Result<Voters, ApiError> {
    let VoterChangeRequest { change, author, reason } =
        body::read(req, body::MAX_SMALL_BODY_BYTES)?;
    if reason.trim().is_empty() {
        return Err(ApiError::invalid("the reason is empty"));
    }
    let request = match change {
        VoterChange::Add { host, folder } => {
            let folder =
                folder.parse().map_err(|e: base::ParseError| ApiError::malformed(e.to_string()))?;
            log::info!(host:%, folder:%, author:%, reason; "voter addition requested");
            LeaderRequest::AddVoter { host, folder }
        }
        VoterChange::Remove { host } => {
            log::info!(host:%, author:%, reason; "voter removal requested");
            LeaderRequest::RemoveVoter { host }
        }
    };
    api.leader.submit(&request).and_then(voters)
}

fn voters(response: LeaderResponse) -> Result<Voters, ApiError> {
    let LeaderResponse::Voters(VoterSet { folders }) = response else {
        return Err(ApiError::unknown());
    };
    let voter = |(host, folder): (_, quorum::FolderId)| Voter {
        host,
        folder: folder.to_string().into(),
        matched: None,
        heard_ms: None,
        absent: false,
    };
    Ok(Voters { voters: folders.into_iter().map(voter).collect() })
}
