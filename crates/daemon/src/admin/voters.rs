use quorum::VoterSet;
use rouille::Request;
use wire::{
    leader::{LeaderAnswer, LeaderRequest},
    operator::{Voter, VoterChange, VoterChangeRequest, Voters},
};

use super::{Pages, body, problems::Refused, status};

/// Lists the voters; a leader knows how far each has come.
pub(super) fn list(pages: &Pages) -> Result<Voters, Refused> {
    let view = pages.sources.replica.load();
    if let Some(view) = view.as_ref().filter(|view| view.node.role == quorum::Role::Leader) {
        return Ok(Voters { voters: status::voters(view) });
    }
    match pages.leader.submit(&LeaderRequest::ReadVoters) {
        Ok(answer) => voters(answer),
        Err(refused) => Ok(Voters { voters: status::voters(&view.ok_or(refused)?) }),
    }
}

/// Takes one voter in or out.
pub(super) fn change(pages: &Pages, req: &Request) -> Result<Voters, Refused> {
    let VoterChangeRequest { change, author, reason } = body::read(req, body::SMALL_BYTES)?;
    if reason.trim().is_empty() {
        return Err(Refused::invalid("the reason is empty"));
    }
    let request = match change {
        VoterChange::Add { host, folder } => {
            let folder =
                folder.parse().map_err(|e: base::ParseError| Refused::malformed(e.to_string()))?;
            log::info!(host:%, folder:%, author:%, reason; "a voter is to be taken in");
            LeaderRequest::AddVoter { host, folder }
        }
        VoterChange::Remove { host } => {
            log::info!(host:%, author:%, reason; "a voter is to be taken out");
            LeaderRequest::RemoveVoter { host }
        }
    };
    pages.leader.submit(&request).and_then(voters)
}

fn voters(answer: LeaderAnswer) -> Result<Voters, Refused> {
    let LeaderAnswer::Voters(VoterSet { folders }) = answer else { return Err(Refused::unknown()) };
    let voter = |(host, folder): (_, quorum::FolderId)| Voter {
        host,
        folder: folder.to_string().into(),
        matched: None,
    };
    Ok(Voters { voters: folders.into_iter().map(voter).collect() })
}
