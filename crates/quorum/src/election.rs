use std::collections::BTreeSet;

use base::{HostId, LogIndex, MonotonicTime, Term};
use rand::Rng;

use crate::{Action, Ballot, Body, Node, Registration, message::Sender};

/// A candidate's count of votes.
#[derive(Debug)]
pub(crate) struct Campaign {
    term: Term,
    ballot: Ballot,
    granted_by: BTreeSet<HostId>,
}

impl<R: Rng> Node<R> {
    /// Asks the other voters whether an election could be won.
    pub(crate) fn start_election(&mut self, actions: &mut Vec<Action>) {
        self.defer_election();
        if !self.may_campaign() {
            return;
        }
        self.leader = None;
        self.ask_votes(self.hard.term.next(), Ballot::PreVote, actions);
    }

    /// Campaigns on the word of a leader that gave up its lease.
    pub(crate) fn campaign_at_once(&mut self, actions: &mut Vec<Action>) {
        if !self.may_campaign() || self.leading.is_some() {
            return;
        }
        self.campaign_in_next_term(Ballot::Transfer, actions);
    }

    /// Answers a candidate whose last entry is `candidate` and whose log names this folder.
    ///
    /// This node's own log may not name it yet.
    pub(crate) fn vote(
        &mut self,
        from: Sender<'_>,
        campaign: Term,
        ballot: Ballot,
        candidate: (Term, LogIndex),
        actions: &mut Vec<Action>,
    ) {
        if ballot != Ballot::Transfer && self.hears_leader() {
            return;
        }
        let complete = (self.log.last_term(), self.log.last_index()) <= candidate;
        if ballot == Ballot::PreVote {
            let granted = complete && self.hard.term < campaign;
            return self.send(from.host, Body::VoteReply { campaign, ballot, granted }, actions);
        }
        if self.hard.term < campaign {
            self.follow(campaign, None, actions);
        }
        let free = self.hard.voted_for.as_ref().is_none_or(|host| host == from.host);
        let granted = complete && free && campaign == self.hard.term;
        if granted {
            self.grant(from, actions);
        }
        self.send(from.host, Body::VoteReply { campaign, ballot, granted }, actions);
    }

    pub(crate) fn count_vote(
        &mut self,
        from: Sender<'_>,
        term: Term,
        ballot: Ballot,
        granted: bool,
        actions: &mut Vec<Action>,
    ) {
        if !granted || !self.log.voters().admits(from.host, from.folder) {
            return;
        }
        if ballot != Ballot::PreVote {
            self.note_promise(from, term, LogIndex::ZERO);
        }
        let Some(campaign) = &mut self.campaign else { return };
        if campaign.term != term || campaign.ballot != ballot {
            return;
        }
        campaign.granted_by.insert(from.host.clone());
        self.finish_campaign(actions);
    }

    /// Returns whether this node may campaign from its folder.
    ///
    /// A voter whose removal may not be committed may hold the only log that can win.
    fn may_campaign(&self) -> bool {
        let leaving = || {
            let voters = self.voters_before_change();
            voters.is_some_and(|voters| voters.admits(&self.cfg.host, self.folder))
        };
        self.registration == Registration::Done && (self.is_voter() || leaving())
    }

    fn grant(&mut self, candidate: Sender<'_>, actions: &mut Vec<Action>) {
        self.note_promise(candidate, self.hard.term, LogIndex::ZERO);
        self.hard.voted_for = Some(candidate.host.clone());
        self.defer_election();
        self.save_hard_state(actions);
    }

    /// Returns whether a leader may still rely on this node's support.
    fn hears_leader(&self) -> bool {
        if self.leading.is_some() {
            return self.support_until(self.now).is_some_and(|until| self.now < until);
        }
        self.now < self.leader_heard + self.cfg.election_timeout
    }

    /// Returns until when a majority of the voters refuses every other candidate.
    pub(crate) fn support_until(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let heard = self.majority_heard(now)?;
        let span = self.cfg.election_timeout.saturating_sub(self.cfg.drift_margin);
        Some(heard + span)
    }

    fn ask_votes(&mut self, term: Term, ballot: Ballot, actions: &mut Vec<Action>) {
        let own = self.is_voter().then(|| self.cfg.host.clone());
        let granted_by = BTreeSet::from_iter(own);
        self.campaign = Some(Campaign { term, ballot, granted_by });
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for (host, named) in &self.log.voters().folders {
            let named = *named;
            if *host != self.cfg.host {
                let body = Body::Vote { campaign: term, ballot, named, last_index, last_term };
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
        if campaign.ballot == Ballot::PreVote {
            return self.campaign_in_next_term(Ballot::Vote, actions);
        }
        self.lead(actions);
    }

    fn campaign_in_next_term(&mut self, ballot: Ballot, actions: &mut Vec<Action>) {
        self.follow(self.hard.term.next(), None, actions);
        self.hard.voted_for = Some(self.cfg.host.clone());
        self.save_hard_state(actions);
        self.ask_votes(self.hard.term, ballot, actions);
    }
}
