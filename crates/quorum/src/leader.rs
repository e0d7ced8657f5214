use std::{collections::BTreeMap, sync::Arc};

use base::{HostId, LogIndex, MonotonicTime};
use rand::Rng;

use crate::{
    Action, Body, Entry, Node, Payload, Progress, ProposalId, ReadId, Refusal, VoterSet,
    log::before,
};

/// How far a new voter may be behind the last committed entry.
const MAX_NEW_VOTER_LAG: u64 = 64;

/// What a node keeps while it leads.
#[derive(Debug)]
pub(crate) struct Leading {
    pub(crate) progress: BTreeMap<HostId, Progress>,
    pub(crate) term_start: LogIndex,
    pub(crate) heartbeat_at: MonotonicTime,
    pub(crate) elected_at: MonotonicTime,
    pub(crate) reads: Vec<PendingRead>,
    pub(crate) transfer_until: Option<MonotonicTime>,
}

/// A read that waits for a sign that its node still leads.
#[derive(Debug)]
pub(crate) struct PendingRead {
    pub(crate) id: ReadId,
    at: MonotonicTime,
}

impl<R: Rng> Node<R> {
    /// Takes office in the present term.
    pub(crate) fn lead(&mut self, actions: &mut Vec<Action>) {
        self.campaign = None;
        self.incoming = None;
        self.leader = Some(self.cfg.host.clone());
        self.leading = Some(Leading {
            progress: BTreeMap::new(),
            term_start: self.log.last_index().next(),
            heartbeat_at: self.now + self.cfg.heartbeat,
            elected_at: self.now,
            reads: Vec::new(),
            transfer_until: None,
        });
        self.track_followers();
        self.write(Payload::Empty, actions);
    }

    pub(crate) fn tick_leader(&mut self, actions: &mut Vec<Action>) {
        let Some(leading) = &mut self.leading else { return };
        if leading.transfer_until.is_some_and(|until| until <= self.now) {
            leading.transfer_until = None;
        }
        if leading.heartbeat_at <= self.now {
            leading.heartbeat_at = self.now + self.cfg.heartbeat;
            self.heartbeat(actions);
        }
        if !self.hears_majority() {
            self.follow(self.hard.term, None, actions);
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
        let Some(leading) = &mut self.leading else {
            let leader = self.leader.clone();
            return actions.push(Action::ReadRefused { id, leader });
        };
        leading.reads.push(PendingRead { id, at: self.now });
        if !self.holds_lease(self.now) {
            self.heartbeat(actions);
        }
        self.answer_reads(actions);
    }

    pub(crate) fn set_learners(&mut self, hosts: Vec<HostId>) {
        self.learners = hosts.into_iter().filter(|host| *host != self.cfg.host).collect();
        self.track_followers();
    }

    /// Stops taking proposals until another voter took over or an election timeout has passed.
    pub(crate) fn transfer(&mut self, actions: &mut Vec<Action>) {
        let until = self.now + self.cfg.election_timeout;
        let Some(leading) = &mut self.leading else { return };
        leading.transfer_until = Some(until);
        self.hand_over(actions);
    }

    /// Tells a voter that holds the whole log to campaign, if the leader is to hand over.
    pub(crate) fn hand_over(&mut self, actions: &mut Vec<Action>) {
        let Some(leading) = &self.leading else { return };
        if leading.transfer_until.is_none() {
            return;
        }
        let (voters, last) = (self.log.voters(), self.log.last_index());
        let heir = leading.progress.iter().find(|(host, progress)| {
            let admitted = progress.folder.is_some_and(|folder| voters.admits(host, folder));
            admitted && progress.matched == last
        });
        let Some(heir) = heir.map(|(host, _)| host.clone()) else { return };
        self.send(&heir, Body::Campaign, actions);
        self.follow(self.hard.term, None, actions);
    }

    /// Answers the reads for which this node is known to have led since they came.
    pub(crate) fn answer_reads(&mut self, actions: &mut Vec<Action>) {
        let leased = self.holds_lease(self.now);
        let heard = self.majority_heard(self.now);
        let Some(leading) = &mut self.leading else { return };
        if self.commit < leading.term_start {
            return;
        }
        let index = self.commit;
        leading.reads.retain(|read| {
            let ready = leased || heard.is_some_and(|heard| read.at <= heard);
            if ready {
                actions.push(Action::ReadReady { id: read.id, index });
            }
            !ready
        });
    }

    /// Commits what a majority holds, once it includes an entry of the present term.
    pub(crate) fn advance_commit(&mut self, actions: &mut Vec<Action>) {
        let Some(leading) = &self.leading else { return };
        let held = self.held_by_majority(leading);
        if held <= self.commit || self.log.term_at(held) != Some(self.hard.term) {
            return;
        }
        let changed_at = self.log.voters_index();
        let voters_changed = self.commit < changed_at && changed_at <= held;
        self.commit = held;
        self.apply_committed(actions);
        self.answer_reads(actions);
        if voters_changed {
            self.heartbeat(actions);
            self.track_followers();
            self.leave_office_if_removed(actions);
        }
    }

    /// Returns when the latest messages were sent that a majority of the voters answered.
    pub(crate) fn majority_heard(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let leading = self.leading.as_ref()?;
        self.log.voters().agreed(|host, folder| {
            if *host == self.cfg.host {
                return (folder == self.folder).then_some(now);
            }
            let progress = leading.progress.get(host)?;
            if progress.folder == Some(folder) { progress.heard } else { None }
        })
    }

    /// Follows the voters and learners, and nobody else.
    pub(crate) fn track_followers(&mut self) {
        let next = self.log.last_index().next();
        let mut followers = self.other_voters();
        followers.extend(self.learners.iter().cloned());
        if let Some(old) = self.voters_before_change() {
            followers.extend(old.folders.into_keys().filter(|host| *host != self.cfg.host));
        }
        let Some(leading) = &mut self.leading else { return };
        leading.progress.retain(|host, _| followers.contains(host));
        for host in followers {
            leading.progress.entry(host).or_insert_with(|| Progress::new(next));
        }
    }

    fn leave_office_if_removed(&mut self, actions: &mut Vec<Action>) {
        if !self.is_voter() {
            self.follow(self.hard.term, None, actions);
        }
    }

    fn hears_majority(&self) -> bool {
        let Some(leading) = &self.leading else { return false };
        let heard = self.majority_heard(self.now).unwrap_or_default().max(leading.elected_at);
        self.now.saturating_since(heard) <= 2 * self.cfg.election_timeout
    }

    /// Returns the last entry that a majority of the voters holds.
    ///
    /// A voter that this leader takes in doesn't help to take itself in. A change by an earlier
    /// leader may be committed already, with voters that failed since.
    fn held_by_majority(&self, leading: &Leading) -> LogIndex {
        let held = |host: &HostId, folder| self.held_by(leading, host, folder);
        let agreed = self.log.voters().agreed(held);
        let changed_at = self.log.voters_index();
        let proposed = leading.term_start..=agreed;
        let Some(old) = self.voters_before_change().filter(|_| proposed.contains(&changed_at))
        else {
            return agreed;
        };
        let added = old.folders.len() < self.log.voters().folders.len();
        let confirmed = !added || old.folders.is_empty() || changed_at <= old.agreed(held);
        if confirmed { agreed } else { before(changed_at) }
    }

    fn held_by(&self, leading: &Leading, host: &HostId, folder: crate::FolderId) -> LogIndex {
        if *host == self.cfg.host {
            let own = folder == self.folder;
            return if own { self.log.last_index() } else { LogIndex::ZERO };
        }
        let progress = leading.progress.get(host).filter(|p| p.folder == Some(folder));
        progress.map_or(LogIndex::ZERO, |progress| progress.matched)
    }

    fn voters_refusal(&self, voters: &VoterSet) -> Option<Refusal> {
        let leading = self.leading.as_ref()?;
        if self.commit < leading.term_start {
            return Some(Refusal::TermNotCommitted);
        }
        if self.commit < self.log.voters_index() {
            return Some(Refusal::ChangePending);
        }
        let present = self.log.voters();
        if voters.folders.is_empty() || !present.differs_by_one(voters) {
            return Some(Refusal::NotOneChange);
        }
        let mut added =
            voters.folders.iter().filter(|(host, folder)| !present.admits(host, **folder));
        let wanted = LogIndex::new(self.commit.as_u64().saturating_sub(MAX_NEW_VOTER_LAG));
        let lags = added.any(|(host, folder)| {
            let held = self.held_by(leading, host, *folder);
            held < wanted.max(LogIndex::new(1))
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
