//! Responses to read-only requests to the leader.

use base::{HostId, MonotonicTime};
use fleet::Fleet;
use quorum::Node;
use rand_pcg::Pcg64Mcg;
use wire::leader::{FollowCursor, LeaderRequest, LeaderResponse, UnsettledCall};

use super::followers::Followers;

/// The state from which responses are built.
pub(super) struct ReadState<'a> {
    pub now: MonotonicTime,
    pub node: &'a Node<Pcg64Mcg>,
    pub fleet: &'a Fleet,
    pub followers: &'a mut Followers,
}

impl ReadState<'_> {
    /// Returns the response to a read-only request, or `None` if the request is a write.
    pub(super) fn response(&mut self, request: &LeaderRequest) -> Option<LeaderResponse> {
        let response = match request {
            LeaderRequest::ReadCall(key) => {
                LeaderResponse::Call(self.fleet.ledger().call(key).cloned().map(Box::new))
            }
            LeaderRequest::ReadRevision => LeaderResponse::Revision(self.fleet.revision()),
            LeaderRequest::ReadUnsettled => LeaderResponse::Unsettled(self.unsettled()),
            LeaderRequest::ReadHistory => {
                LeaderResponse::History(self.fleet.configuration().history().cloned().collect())
            }
            LeaderRequest::ReadVoters => LeaderResponse::Voters(self.node.status().voters),
            LeaderRequest::ReadPublished => self.published(&FollowCursor::default(), None),
            LeaderRequest::FollowPublished(poll) => self.published(&poll.seen, Some(&poll.from)),
            LeaderRequest::Command(_)
            | LeaderRequest::AddVoter { .. }
            | LeaderRequest::RemoveVoter { .. }
            | LeaderRequest::AskQuota(_) => return None,
        };
        Some(response)
    }

    fn unsettled(&self) -> Vec<UnsettledCall> {
        let unsettled = self.fleet.ledger().unsettled();
        unsettled.map(|(key, call)| UnsettledCall { key, call: call.clone() }).collect()
    }

    fn published(&mut self, seen: &FollowCursor, follower: Option<&HostId>) -> LeaderResponse {
        let term = self.node.term();
        let view = self.followers.view(self.now, term, self.fleet.published(), seen, follower);
        LeaderResponse::Published(Box::new(view))
    }
}
