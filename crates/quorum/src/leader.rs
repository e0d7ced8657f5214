use std::{collections::BTreeMap, sync::Arc};

use base::{HostId, LogIndex, MonotonicTime};
use rand::Rng;

use crate::{
    Action, Body, Entry, Node, Payload, Progress, ProposalId, ReadId, Refusal, VoterSet,
    log::before,
};

/// Maximum number of committed entries that a new voter may lack.
const MAX_NEW_VOTER_LAG: u64 = 64;

/// The state of a node while it leads.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) progress: BTreeMap<HostId, Progress>,
    pub(crate) term_start: LogIndex,
    pub(crate) heartbeat_at: MonotonicTime,
    pub(crate) elected_at: MonotonicTime,
    pub(crate) reads: Vec<PendingRead>,
    pub(crate) transfer_until: Option<MonotonicTime>,
}

/// A read that waits until a majority confirms that this node still leads.
#[derive(Debug)]
pub(crate) struct PendingRead {
    pub(crate) id: ReadId,
    received_at: MonotonicTime,
}

impl<R: Rng> Node<R> {
    /// Becomes the leader of the current term.
    pub(crate) fn become_leader(&mut self, actions: &mut Vec<Action>) {
        self.campaign = None;
        self.incoming = None;
        self.leader = Some(self.cfg.host.clone());
        self.leader_state = Some(LeaderState {
            progress: BTreeMap::new(),
            term_start: self.log.last_index().next(),
            heartbeat_at: self.now + self.cfg.heartbeat_interval,
            elected_at: self.now,
            reads: Vec::new(),
            transfer_until: None,
        });
        self.track_followers();
        self.write(Payload::Empty, actions);
    }

    pub(crate) fn tick_leader(&mut self, actions: &mut Vec<Action>) {
        let Some(leader_state) = &mut self.leader_state else { return };
        if leader_state.transfer_until.is_some_and(|until| until <= self.now) {
            leader_state.transfer_until = None;
        }
        if leader_state.heartbeat_at <= self.now {
            leader_state.heartbeat_at = self.now + self.cfg.heartbeat_interval;
            self.heartbeat(actions);
        }
        if !self.has_majority_contact() {
            self.become_follower(self.hard.term, None, actions);
        }
    }

    pub(crate) fn propose(
        &mut self,
        id: ProposalId,
        command: Arc<[u8]>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(refusal) = self.refusal() {
            return self.refuse(id, refusal, actions);
        }
        self.write_proposal(id, Payload::Command(command), actions);
    }

    pub(crate) fn propose_voters(
        &mut self,
        id: ProposalId,
        voters: VoterSet,
        actions: &mut Vec<Action>,
    ) {
        if let Some(refusal) = self.refusal().or_else(|| self.voters_refusal(&voters)) {
            return self.refuse(id, refusal, actions);
        }
        self.write_proposal(id, Payload::Voters(voters), actions);
    }

    pub(crate) fn read(&mut self, id: ReadId, actions: &mut Vec<Action>) {
        let Some(leader_state) = &mut self.leader_state else {
            let leader = self.leader.clone();
            return actions.push(Action::ReadRefused { id, leader });
        };
        leader_state.reads.push(PendingRead { id, received_at: self.now });
        if !self.holds_lease(self.now) {
            self.heartbeat(actions);
        }
        self.release_reads(actions);
    }

    pub(crate) fn set_learners(&mut self, hosts: Vec<HostId>) {
        self.learners = hosts.into_iter().filter(|host| *host != self.cfg.host).collect();
        self.track_followers();
    }

    /// Refuses proposals until another voter has taken over or an election timeout has passed.
    pub(crate) fn transfer(&mut self, actions: &mut Vec<Action>) {
        let until = self.now + self.cfg.election_timeout;
        let Some(leader_state) = &mut self.leader_state else { return };
        leader_state.transfer_until = Some(until);
        self.try_transfer(actions);
    }

    /// Completes a requested transfer, once a voter holds the whole log, by making it campaign.
    pub(crate) fn try_transfer(&mut self, actions: &mut Vec<Action>) {
        let Some(leader_state) = &self.leader_state else { return };
        if leader_state.transfer_until.is_none() {
            return;
        }
        let (voters, last) = (self.log.voters(), self.log.last_index());
        let target = leader_state.progress.iter().find(|(host, progress)| {
            let admitted = progress.folder.is_some_and(|folder| voters.admits(host, folder));
            admitted && progress.matched == last
        });
        let Some(target) = target.map(|(host, _)| host.clone()) else { return };
        self.send(&target, Body::Campaign, actions);
        self.become_follower(self.hard.term, None, actions);
    }

    /// Reports as ready each pending read that arrived before this node was last confirmed to lead.
    pub(crate) fn release_reads(&mut self, actions: &mut Vec<Action>) {
        let leased = self.holds_lease(self.now);
        let contact = self.majority_contact(self.now);
        let Some(leader_state) = &mut self.leader_state else { return };
        if self.commit < leader_state.term_start {
            return;
        }
        let index = self.commit;
        leader_state.reads.retain(|read| {
            let ready = leased || contact.is_some_and(|contact| read.received_at <= contact);
            if ready {
                actions.push(Action::ReadReady { id: read.id, index });
            }
            !ready
        });
    }

    /// Commits the entries that a majority holds, once they include one of the current term.
    pub(crate) fn advance_commit(&mut self, actions: &mut Vec<Action>) {
        let Some(leader_state) = &self.leader_state else { return };
        let matched = self.majority_matched(leader_state);
        if matched <= self.commit || self.log.term_at(matched) != Some(self.hard.term) {
            return;
        }
        let changed_at = self.log.voters_index();
        let voters_changed = self.commit < changed_at && changed_at <= matched;
        self.commit = matched;
        self.apply_committed(actions);
        self.release_reads(actions);
        if voters_changed {
            self.heartbeat(actions);
            self.track_followers();
            self.step_down_if_removed(actions);
        }
    }

    /// Returns the latest time for which a majority of the voters has replied to a message sent at
    /// that time or later.
    pub(crate) fn majority_contact(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let leader_state = self.leader_state.as_ref()?;
        self.log.voters().reached_by_majority(|host, folder| {
            if *host == self.cfg.host {
                return (folder == self.folder).then_some(now);
            }
            let progress = leader_state.progress.get(host)?;
            if progress.folder == Some(folder) { progress.last_contact } else { None }
        })
    }

    /// Updates the tracked followers to the current voters and learners.
    pub(crate) fn track_followers(&mut self) {
        let next = self.log.last_index().next();
        let mut followers = self.other_voters();
        followers.extend(self.learners.iter().cloned());
        if let Some(old) = self.voters_before_change() {
            followers.extend(old.folders.into_keys().filter(|host| *host != self.cfg.host));
        }
        let Some(leader_state) = &mut self.leader_state else { return };
        leader_state.progress.retain(|host, _| followers.contains(host));
        for host in followers {
            leader_state.progress.entry(host).or_insert_with(|| Progress::new(next));
        }
    }

    fn step_down_if_removed(&mut self, actions: &mut Vec<Action>) {
        if !self.is_voter() {
            self.become_follower(self.hard.term, None, actions);
        }
    }

    fn has_majority_contact(&self) -> bool {
        let Some(leader_state) = &self.leader_state else { return false };
        let contact =
            self.majority_contact(self.now).unwrap_or_default().max(leader_state.elected_at);
        self.now.saturating_since(contact) <= 2 * self.cfg.election_timeout
    }

    /// Returns the last entry that a majority of the voters holds.
    ///
    /// A voter that this leader adds doesn't count towards the commit of its own addition. One that
    /// an earlier leader added does count: the change may be committed already, by voters that have
    /// failed since.
    fn majority_matched(&self, leader_state: &LeaderState) -> LogIndex {
        let matched = |host: &HostId, folder| self.matched_by(leader_state, host, folder);
        let reached_by_majority = self.log.voters().reached_by_majority(matched);
        let changed_at = self.log.voters_index();
        let proposed = leader_state.term_start..=reached_by_majority;
        let Some(old) = self.voters_before_change().filter(|_| proposed.contains(&changed_at))
        else {
            return reached_by_majority;
        };
        let added = old.folders.len() < self.log.voters().folders.len();
        let confirmed =
            !added || old.folders.is_empty() || changed_at <= old.reached_by_majority(matched);
        if confirmed { reached_by_majority } else { before(changed_at) }
    }

    fn matched_by(
        &self,
        leader_state: &LeaderState,
        host: &HostId,
        folder: crate::FolderId,
    ) -> LogIndex {
        if *host == self.cfg.host {
            let own = folder == self.folder;
            return if own { self.log.last_index() } else { LogIndex::ZERO };
        }
        let progress = leader_state.progress.get(host).filter(|p| p.folder == Some(folder));
        progress.map_or(LogIndex::ZERO, |progress| progress.matched)
    }

    fn voters_refusal(&self, voters: &VoterSet) -> Option<Refusal> {
        let leader_state = self.leader_state.as_ref()?;
        if self.commit < leader_state.term_start {
            return Some(Refusal::TermNotCommitted);
        }
        if self.commit < self.log.voters_index() {
            return Some(Refusal::ChangePending);
        }
        let current = self.log.voters();
        if voters.folders.is_empty() || !current.differs_by_one(voters) {
            return Some(Refusal::NotOneChange);
        }
        let mut added =
            voters.folders.iter().filter(|(host, folder)| !current.admits(host, **folder));
        let required = LogIndex::new(self.commit.as_u64().saturating_sub(MAX_NEW_VOTER_LAG));
        let lags = added.any(|(host, folder)| {
            let matched = self.matched_by(leader_state, host, *folder);
            matched < required.max(LogIndex::new(1))
        });
        lags.then_some(Refusal::Lagging)
    }

    fn refuse(&self, id: ProposalId, refusal: Refusal, actions: &mut Vec<Action>) {
        let leader = self.leader.clone();
        actions.push(Action::Refused { id, leader, refusal });
    }

    fn write_proposal(&mut self, id: ProposalId, payload: Payload, actions: &mut Vec<Action>) {
        let index = self.log.last_index().next();
        actions.push(Action::Accepted { id, index, term: self.hard.term });
        self.write(payload, actions);
    }

    fn write(&mut self, payload: Payload, actions: &mut Vec<Action>) {
        let index = self.log.last_index().next();
        let entry = Entry { index, term: self.hard.term, payload };
        self.log.push(entry.clone());
        self.save_entries(vec![entry], actions);
        self.track_followers();
        self.replicate_to_all(actions);
        self.advance_commit(actions);
    }
}
