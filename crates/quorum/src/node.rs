use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{HostId, LogIndex, MonotonicTime, Term};
use rand::{Rng, RngExt};

use crate::{
    Action, Body, Config, Entry, FolderId, HardState, Input, Message, Refusal, Registration,
    RestoredState, Role, Status, VoteKind, VoterSet, Write,
    election::Campaign,
    follower::{IncomingSnapshot, SnapshotChunk},
    leader::LeaderState,
    log::{Log, before},
    message::Sender,
    registration::{self, RegistrationReports},
};

/// A replica of the log: a voter or a learner.
#[derive(Debug)]
pub struct Node<R> {
    pub(crate) cfg: Config,
    pub(crate) rng: R,
    pub(crate) folder: FolderId,
    pub(crate) hard: HardState,
    pub(crate) folder_records_changed: bool,
    pub(crate) log: Log,
    pub(crate) commit: LogIndex,
    pub(crate) applied: LogIndex,
    pub(crate) now: MonotonicTime,
    pub(crate) leader: Option<HostId>,
    pub(crate) last_leader_contact: MonotonicTime,
    pub(crate) election_at: MonotonicTime,
    pub(crate) campaign: Option<Campaign>,
    pub(crate) leader_state: Option<LeaderState>,
    pub(crate) learners: BTreeSet<HostId>,
    pub(crate) incoming: Option<IncomingSnapshot>,
    pub(crate) registration: Registration,
    pub(crate) reports: RegistrationReports,
    pub(crate) retry_at: MonotonicTime,
    pub(crate) fresh_founders: BTreeMap<HostId, FolderId>,
    pub(crate) founding_denied: bool,
}

impl<R: Rng> Node<R> {
    /// Creates a node from the restored state of its data folder.
    pub fn new(cfg: Config, restored: RestoredState, now: MonotonicTime, rng: R) -> Self {
        let log = Log::new(restored.snapshot, restored.entries);
        let covered = log.snapshot_index();
        // A crash may have cut the end of the log, but never committed entries.
        let commit = covered.max(restored.hard_state.committed_voters.min(log.last_index()));
        let registration = registration::initial(&cfg.host, restored.folder, log.voters());
        let mut node = Self {
            cfg,
            rng,
            folder: restored.folder,
            hard: restored.hard_state,
            folder_records_changed: false,
            log,
            commit,
            applied: covered,
            now,
            leader: None,
            last_leader_contact: now,
            election_at: now,
            campaign: None,
            leader_state: None,
            learners: BTreeSet::new(),
            incoming: None,
            registration,
            reports: RegistrationReports::default(),
            retry_at: now,
            fresh_founders: BTreeMap::new(),
            founding_denied: false,
        };
        node.defer_election();
        node
    }

    /// Processes one input and adds the resulting actions to `actions`.
    pub fn step(&mut self, now: MonotonicTime, input: Input, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match input {
            Input::Tick => self.tick(actions),
            Input::Message { from, message } => self.receive(&from, message, actions),
            Input::Propose { id, command } => self.propose(id, command, actions),
            Input::ProposeVoters { id, voters } => self.propose_voters(id, voters, actions),
            Input::Read { id } => self.read(id, actions),
            Input::Snapshot { through, data } => self.compact(through, data, actions),
            Input::Learners(hosts) => self.set_learners(hosts),
            Input::Transfer => self.transfer(actions),
        }
    }

    /// Returns the end of the leader's lease, until which no other node can lead.
    pub fn lease_until(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let leader_state = self.leader_state.as_ref()?;
        if leader_state.transfer_until.is_some() || self.commit < leader_state.term_start {
            return None;
        }
        self.support_until(now)
    }

    /// Returns whether this node leads and holds a lease at `now`.
    pub fn holds_lease(&self, now: MonotonicTime) -> bool {
        self.lease_until(now).is_some_and(|until| now < until)
    }

    /// Returns the role in the current term.
    pub fn role(&self) -> Role {
        if self.leader_state.is_some() {
            return Role::Leader;
        }
        if self.campaign.is_some() { Role::Candidate } else { Role::Follower }
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<&HostId> {
        self.leader.as_ref()
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Returns this node's folder.
    pub fn folder(&self) -> FolderId {
        self.folder
    }

    /// Returns the voters after the last entry, committed or not.
    pub fn voters(&self) -> &VoterSet {
        self.log.voters()
    }

    /// Returns the node's status.
    pub fn status(&self) -> Status {
        Status {
            term: self.hard.term,
            role: self.role(),
            leader: self.leader.clone(),
            commit: self.commit,
            applied: self.applied,
            last: self.log.last_index(),
            snapshot: self.log.snapshot_index(),
            voters: self.log.voters().clone(),
            voters_committed: self.log.voters_index() <= self.commit,
            registration: self.registration,
            progress: self.leader_state.as_ref().map(|l| l.progress.clone()).unwrap_or_default(),
        }
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        if self.leader_state.is_some() {
            return self.tick_leader(actions);
        }
        self.tick_founding(actions);
        self.tick_registration(actions);
        if self.election_at <= self.now {
            self.start_election(actions);
        }
    }

    fn receive(&mut self, from: &HostId, message: Message, actions: &mut Vec<Action>) {
        if *from == self.cfg.host {
            return;
        }
        let Message { term, folder, starts, body } = message;
        let sender = Sender { host: from, folder, starts };
        match body {
            Body::Register { starts, last_index } => {
                return self.handle_register(sender, starts, term, last_index, actions);
            }
            Body::RegisterReply { starts, accepted, committed } => {
                return self.handle_register_reply(sender, starts, accepted, committed, actions);
            }
            Body::UncommittedVoters(voters) => {
                return self.handle_uncommitted_voters(sender, voters, actions);
            }
            Body::FoundingQuery => return self.handle_founding_query(from, folder, actions),
            Body::FoundingReply { requester, founding } => {
                return self.handle_founding_reply(sender, requester, founding, actions);
            }
            _ => {}
        }
        if self.registration != Registration::Done {
            return self.note_contact(from, &body);
        }
        if let Body::Vote { campaign, vote_kind, voter_folder, last_index, last_term } = body {
            let candidate = (last_term, last_index);
            if voter_folder != self.folder {
                return;
            }
            return self.handle_vote(sender, campaign, vote_kind, candidate, actions);
        }
        if let Body::VoteReply { campaign, vote_kind: VoteKind::PreVote, granted } = body
            && term <= self.hard.term
        {
            // A voter keeps its term when it grants a pre-vote, and may have missed the latest one.
            return self.handle_vote_reply(sender, campaign, VoteKind::PreVote, granted, actions);
        }
        if term < self.hard.term {
            return self.reject_stale_leader(from, &body, actions);
        }
        if self.hard.term < term {
            self.become_follower(term, None, actions);
        }
        self.receive_current(sender, body, actions);
    }

    fn receive_current(&mut self, from: Sender<'_>, body: Body, actions: &mut Vec<Action>) {
        match body {
            Body::VoteReply { campaign, vote_kind, granted } => {
                self.handle_vote_reply(from, campaign, vote_kind, granted, actions);
            }
            Body::Append { prev_index, prev_term, entries, commit, sent_at, folder_records } => {
                self.note_leader_contact(from.host, actions);
                self.merge_folder_records(&folder_records);
                let outcome = self.append(prev_index, prev_term, entries, actions);
                self.send(from.host, Body::AppendReply { outcome, sent_at }, actions);
                self.advance_follower_commit(outcome, commit, actions);
            }
            Body::AppendReply { outcome, sent_at } => {
                self.handle_append_reply(from, outcome, sent_at, actions);
            }
            Body::Chunk { last_index, last_term, voters, offset, data, done, sent_at } => {
                self.note_leader_contact(from.host, actions);
                let target = IncomingSnapshot::new(last_index, last_term, voters);
                let chunk = SnapshotChunk { offset, data: &data, done, sent_at };
                let reply = self.receive_chunk(target, chunk, actions);
                self.send(from.host, reply, actions);
            }
            Body::ChunkReply { last_index, received, sent_at } => {
                self.handle_chunk_reply(from, last_index, received, sent_at, actions);
            }
            Body::Campaign => self.campaign_at_once(actions),
            _ => {}
        }
    }

    /// Becomes a follower in `term`, which may be the current one.
    pub(crate) fn become_follower(
        &mut self,
        term: Term,
        leader: Option<HostId>,
        actions: &mut Vec<Action>,
    ) {
        if self.hard.term < term {
            self.hard.term = term;
            self.hard.voted_for = None;
            self.incoming = None;
            self.save_hard_state(actions);
        }
        self.leader = leader;
        self.campaign = None;
        let Some(leader_state) = self.leader_state.take() else { return };
        for read in leader_state.reads {
            actions.push(Action::ReadRefused { id: read.id, leader: self.leader.clone() });
        }
        self.defer_election();
    }

    /// Resets the election timeout to a random duration.
    pub(crate) fn defer_election(&mut self) {
        let shortest = self.cfg.election_timeout;
        let spread = u64::try_from(shortest.as_micros()).unwrap_or(u64::MAX).max(1);
        let extra = Duration::from_micros(self.rng.random_range(0..spread));
        self.election_at = self.now + shortest + extra;
    }

    /// Returns whether this node is a voter with its present folder.
    pub(crate) fn is_voter(&self) -> bool {
        self.log.voters().admits(&self.cfg.host, self.folder)
    }

    /// Returns the voters before the last change, unless the change is known to be committed.
    pub(crate) fn voters_before_change(&self) -> Option<VoterSet> {
        let changed_at = self.log.voters_index();
        (self.commit < changed_at).then(|| self.log.voters_at(before(changed_at)))
    }

    /// Returns the other voters' hosts.
    pub(crate) fn other_voters(&self) -> Vec<HostId> {
        let hosts = self.log.voters().folders.keys();
        hosts.filter(|host| **host != self.cfg.host).cloned().collect()
    }

    pub(crate) fn send(&self, to: &HostId, body: Body, actions: &mut Vec<Action>) {
        let (term, folder, starts) = (self.hard.term, self.folder, self.hard.starts);
        let message = Message { term, folder, starts, body };
        actions.push(Action::Send { to: to.clone(), message });
    }

    pub(crate) fn save_hard_state(&mut self, actions: &mut Vec<Action>) {
        self.folder_records_changed = false;
        let hard_state = Some(self.hard.clone());
        actions.push(Action::Write(Write::Log { hard_state, entries: Vec::new() }));
    }

    /// Writes entries, together with changed folder records.
    pub(crate) fn save_entries(&mut self, entries: Vec<Entry>, actions: &mut Vec<Action>) {
        let changed = std::mem::take(&mut self.folder_records_changed);
        let hard_state = changed.then(|| self.hard.clone());
        actions.push(Action::Write(Write::Log { hard_state, entries }));
    }

    pub(crate) fn apply_committed(&mut self, actions: &mut Vec<Action>) {
        if self.commit <= self.applied {
            return;
        }
        self.save_committed_voters(actions);
        let entries = self.log.range(self.applied.next(), self.commit).cloned().collect();
        self.applied = self.commit;
        actions.push(Action::Apply(entries));
    }

    /// Persists that the newest change of voters is committed.
    ///
    /// After a restart of all voters this may be the only one left that can confirm the change to
    /// a voter that has not received it.
    fn save_committed_voters(&mut self, actions: &mut Vec<Action>) {
        let changed_at = self.log.voters_index();
        if self.commit < changed_at || changed_at <= self.hard.committed_voters {
            return;
        }
        self.hard.committed_voters = changed_at;
        self.save_hard_state(actions);
    }

    pub(crate) fn refusal(&self) -> Option<Refusal> {
        let Some(leader_state) = &self.leader_state else { return Some(Refusal::NotLeader) };
        leader_state.transfer_until.is_some().then_some(Refusal::Transferring)
    }
}
