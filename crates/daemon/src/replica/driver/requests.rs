//! Requests to the leader, and the responses to them.

use base::UnixMillis;
use fleet::Command;
use quorum::{Input, Role, VoterSet};
use quota::Demand;
use wire::leader::{FollowRequest, LeaderRequest, LeaderResponse};

use crate::peers::SubmitCall;

use super::{
    super::{
        followers::PendingPoll,
        pending::{PendingRead, ReplySender},
        reads::ReadState,
        voters,
    },
    Driver,
};

impl Driver {
    pub(super) fn handle_request(&mut self, call: SubmitCall) {
        let reply = ReplySender::new(call.reply);
        if self.failure.is_some() {
            return reply.not_written(None);
        }
        match LeaderRequest::from_bytes(&call.request) {
            Ok(LeaderRequest::Command(_)) if !self.may_accept_commands() => {
                reply.not_written(self.node.leader().cloned());
            }
            Ok(LeaderRequest::Command(command)) => {
                let id = self.pending.propose(reply);
                let command = with_leader_time(command, self.clock.wall()).to_bytes().into();
                self.step(Input::Propose { id, command });
            }
            Ok(LeaderRequest::AddVoter { host, folder }) => {
                self.change_voters(reply, |voters| {
                    voters.folders.insert(host, folder);
                });
            }
            Ok(LeaderRequest::RemoveVoter { host }) => {
                self.change_voters(reply, |voters| {
                    voters.folders.remove(&host);
                });
            }
            Ok(
                request @ (LeaderRequest::ReadCall(_)
                | LeaderRequest::ReadUnsettled
                | LeaderRequest::ReadRevision
                | LeaderRequest::ReadHistory
                | LeaderRequest::ReadVoters
                | LeaderRequest::ReadPublished),
            ) => self.read(request, reply),
            Ok(LeaderRequest::FollowPublished(poll)) => self.queue_poll(poll, reply),
            Ok(LeaderRequest::AskQuota(demands)) => self.answer_quota(&demands, reply),
            Err(e) => reply.respond(&LeaderResponse::Refused(e.to_string())),
        }
    }

    /// Answers demands at once; the lease ensures that no other host leads and grants as well.
    fn answer_quota(&mut self, demands: &[Demand], reply: ReplySender) {
        let now = self.clock.now();
        let answers = match self.node.holds_lease(now) {
            true => self.followers.quotas.answer(now, demands),
            false => None,
        };
        match answers {
            Some(answers) => reply.respond(&LeaderResponse::Quota(answers)),
            None => reply.not_written(self.node.leader().cloned()),
        }
    }

    /// Returns whether a command that this host commits outlives the disks that may be lost; logs
    /// changes.
    fn may_accept_commands(&mut self) -> bool {
        if self.node.role() != Role::Leader {
            return true;
        }
        let voters = self.node.voters().folders.len();
        // Commands were accepted only from as many voters as it takes.
        let were_complete = || !self.fleet.is_pristine();
        let accepts = self.voter_healing.keeps_commits(voters, false)
            || self.voter_healing.keeps_commits(voters, were_complete());
        if accepts != self.accepts_commands {
            self.accepts_commands = accepts;
            if accepts {
                log::info!(voters; "commands accepted, enough voters to outlive lost disks");
            } else {
                log::warn!(voters; "commands refused, too few voters to outlive lost disks");
            }
        }
        accepts
    }

    /// Queues a follower's poll, or rejects it if another host leads.
    fn queue_poll(&mut self, poll: FollowRequest, reply: ReplySender) {
        if self.node.role() != Role::Leader {
            return reply.not_written(self.node.leader().cloned());
        }
        self.followers.add_poll(self.clock.now(), poll, reply);
    }

    /// Responds to due polls by reads, so that each response confirms that this host leads.
    pub(super) fn respond_to_due_polls(&mut self) {
        let leads = self.node.role() == Role::Leader;
        if leads {
            self.followers.quarantine_suspects(self.clock.now());
            self.followers.review_quotas(self.clock.now());
        }
        let due = self.followers.take_due(self.clock.now(), self.node.term(), leads);
        for PendingPoll { poll, reply, .. } in due {
            self.read(LeaderRequest::FollowPublished(poll), reply);
        }
        self.execute_actions();
    }

    fn change_voters(&mut self, reply: ReplySender, change: impl FnOnce(&mut VoterSet)) {
        match voters::changed(&self.node.status(), change) {
            Some(voters) => self.propose_voters(voters, reply),
            // That no change is needed is certain only once this host's leadership is confirmed.
            None => self.read(LeaderRequest::ReadVoters, reply),
        }
    }

    pub(super) fn propose_voters(&mut self, voters: VoterSet, reply: ReplySender) {
        let id = self.pending.propose(reply);
        self.step(Input::ProposeVoters { id, voters });
    }

    /// Responds to a read-only request once this host's leadership is confirmed.
    fn read(&mut self, request: LeaderRequest, reply: ReplySender) {
        let id = self.pending.read(PendingRead { request, reply });
        self.step(Input::Read { id });
    }

    pub(super) fn respond_to_read(&mut self, read: PendingRead) {
        let mut state = ReadState {
            now: self.clock.now(),
            node: &self.node,
            fleet: &self.fleet,
            followers: &mut self.followers,
        };
        if let Some(response) = state.response(&read.request) {
            read.reply.respond(&response);
        }
    }
}

/// Sets a command's timestamp to the leader's time.
fn with_leader_time(mut command: Command, now: UnixMillis) -> Command {
    let at = match &mut command {
        Command::Change(change) => &mut change.at,
        Command::Claim(claim) => &mut claim.at,
        Command::Finish(finish) => &mut finish.at,
        Command::Release(release) => &mut release.at,
        Command::Resolve(resolve) => &mut resolve.at,
        Command::OwnerGone(gone) => &mut gone.at,
        Command::Depart(departure) => &mut departure.at,
        Command::Publish(_) | Command::SetDesiredWeights(_) => return command,
    };
    *at = now;
    command
}
