use std::collections::BTreeSet;

use base::{HostId, LogIndex, MonotonicTime, Term};
use rand::Rng;

use crate::{Action, Body, Node, Registration, VoteKind, message::Sender};

/// A candidate's campaign and the votes granted.
#[derive(Debug)]
pub(crate) struct Campaign {
    term: Term,
    vote_kind: VoteKind,
    granted_by: BTreeSet<HostId>,
}

impl<R: Rng> Node<R> {
    /// Starts a pre-vote, which tests whether an election could be won.
    pub(crate) fn start_election(&mut self, actions: &mut Vec<Action>) {
        self.defer_election();
        if !self.may_campaign() {
            return;
        }
        self.leader = None;
        self.request_votes(self.hard.term.next(), VoteKind::PreVote, actions);
    }

    /// Campaigns without a pre-vote, after a leader gave up its lease to transfer its leadership.
    pub(crate) fn campaign_at_once(&mut self, actions: &mut Vec<Action>) {
        if !self.may_campaign() || self.leader_state.is_some() {
            return;
        }
        self.campaign_in_next_term(VoteKind::Transfer, actions);
    }

    /// Replies to a candidate whose last entry is `candidate` and whose log names this folder.
    ///
    /// This node's own log may not name it yet.
    pub(crate) fn handle_vote(
        &mut self,
        from: Sender<'_>,
        campaign: Term,
        vote_kind: VoteKind,
        candidate: (Term, LogIndex),
        actions: &mut Vec<Action>,
    ) {
        if vote_kind != VoteKind::Transfer && self.has_live_leader() {
            return;
        }
        let is_up_to_date = (self.log.last_term(), self.log.last_index()) <= candidate;
        if vote_kind == VoteKind::PreVote {
            let granted = is_up_to_date && self.hard.term < campaign;
            return self.send(from.host, Body::VoteReply { campaign, vote_kind, granted }, actions);
        }
        if self.hard.term < campaign {
            self.become_follower(campaign, None, actions);
        }
        let can_vote = self.hard.voted_for.as_ref().is_none_or(|host| host == from.host);
        let granted = is_up_to_date && can_vote && campaign == self.hard.term;
        if granted {
            self.grant_vote(from, actions);
        }
        self.send(from.host, Body::VoteReply { campaign, vote_kind, granted }, actions);
    }

    pub(crate) fn handle_vote_reply(
        &mut self,
        from: Sender<'_>,
        term: Term,
        vote_kind: VoteKind,
        granted: bool,
        actions: &mut Vec<Action>,
    ) {
        if !granted || !self.log.voters().admits(from.host, from.folder) {
            return;
        }
        if vote_kind != VoteKind::PreVote {
            self.record_activity(from, term, LogIndex::ZERO);
        }
        let Some(campaign) = &mut self.campaign else { return };
        if campaign.term != term || campaign.vote_kind != vote_kind {
            return;
        }
        campaign.granted_by.insert(from.host.clone());
        self.finish_campaign(actions);
    }

    /// Returns whether this node may campaign from its folder.
    ///
    /// A voter that is being removed may campaign until the removal is known to be committed, since
    /// its log may be the only one that can win.
    fn may_campaign(&self) -> bool {
        let leaving = || {
            let voters = self.voters_before_change();
            voters.is_some_and(|voters| voters.admits(&self.cfg.host, self.folder))
        };
        self.registration == Registration::Done && (self.is_voter() || leaving())
    }

    fn grant_vote(&mut self, candidate: Sender<'_>, actions: &mut Vec<Action>) {
        self.record_activity(candidate, self.hard.term, LogIndex::ZERO);
        self.hard.voted_for = Some(candidate.host.clone());
        self.defer_election();
        self.save_hard_state(actions);
    }

    /// Returns whether a leader may still rely on this node to refuse other candidates.
    fn has_live_leader(&self) -> bool {
        if self.leader_state.is_some() {
            return self.support_until(self.now).is_some_and(|until| self.now < until);
        }
        self.now < self.last_leader_contact + self.cfg.election_timeout
    }

    /// Returns the time until which a majority of the voters refuses every other candidate.
    pub(crate) fn support_until(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let contact = self.majority_contact(now)?;
        let span = self.cfg.election_timeout.saturating_sub(self.cfg.max_clock_drift);
        Some(contact + span)
    }

    fn request_votes(&mut self, term: Term, vote_kind: VoteKind, actions: &mut Vec<Action>) {
        let own = self.is_voter().then(|| self.cfg.host.clone());
        let granted_by = BTreeSet::from_iter(own);
        self.campaign = Some(Campaign { term, vote_kind, granted_by });
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for (host, voter_folder) in &self.log.voters().folders {
            let voter_folder = *voter_folder;
            if *host != self.cfg.host {
                let body =
                    Body::Vote { campaign: term, vote_kind, voter_folder, last_index, last_term };
                self.send(host, body, actions);
            }
        }
        self.finish_campaign(actions);
    }

    fn finish_campaign(&mut self, actions: &mut Vec<Action>) {
        let Some(campaign) = &self.campaign else { return };
        let voters = self.log.voters();
        let votes = campaign.granted_by.iter().filter(|host| voters.folders.contains_key(*host));
        if votes.count() < voters.majority() {
            return;
        }
        if campaign.vote_kind == VoteKind::PreVote {
            return self.campaign_in_next_term(VoteKind::Vote, actions);
        }
        self.become_leader(actions);
    }

    fn campaign_in_next_term(&mut self, vote_kind: VoteKind, actions: &mut Vec<Action>) {
        self.become_follower(self.hard.term.next(), None, actions);
        self.hard.voted_for = Some(self.cfg.host.clone());
        self.save_hard_state(actions);
        self.request_votes(self.hard.term, vote_kind, actions);
    }
}
