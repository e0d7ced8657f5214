use base::{HostId, LogIndex, Term};
use rand::Rng;

use crate::{
    Action, Body, Entry, FolderId, FoundingState, Node, Payload, VoterSet, Write, message::Sender,
    registration,
};

/// Index of the log's first entry, which names the founding voters.
const FOUNDING_INDEX: LogIndex = LogIndex::new(1);

impl<R: Rng> Node<R> {
    /// Queries the other founders while this node's folder is empty.
    pub(crate) fn tick_founding(&mut self, actions: &mut Vec<Action>) {
        let is_founder = self.cfg.founders.contains(&self.cfg.host);
        if !is_founder || !self.is_fresh() || self.founding_denied || self.now < self.retry_at {
            return;
        }
        self.retry_at = self.now + self.cfg.heartbeat_interval;
        for host in self.cfg.founders.clone() {
            if host != self.cfg.host {
                self.send(&host, Body::FoundingQuery, actions);
            }
        }
        self.start_log_if_all_fresh(actions);
    }

    pub(crate) fn handle_founding_query(
        &self,
        from: &HostId,
        requester: FolderId,
        actions: &mut Vec<Action>,
    ) {
        let founding = match self.log.entry(FOUNDING_INDEX).map(|entry| &entry.payload) {
            Some(Payload::Voters(voters)) => FoundingState::Founded(voters.clone()),
            _ if !self.is_fresh() => FoundingState::Compacted,
            _ if self.may_be_first_founder(from) => FoundingState::Fresh,
            _ => return,
        };
        self.send(from, Body::FoundingReply { requester, founding }, actions);
    }

    pub(crate) fn handle_founding_reply(
        &mut self,
        from: Sender<'_>,
        requester: FolderId,
        founding: FoundingState,
        actions: &mut Vec<Action>,
    ) {
        let is_founder = self.cfg.founders.contains(from.host);
        if requester != self.folder || !is_founder || !self.is_fresh() || self.founding_denied {
            return;
        }
        match founding {
            FoundingState::Fresh => {
                self.fresh_founders.insert(from.host.clone(), from.folder);
                self.start_log_if_all_fresh(actions);
            }
            FoundingState::Founded(voters) if voters.admits(&self.cfg.host, self.folder) => {
                self.write_founding_entry(voters, actions);
            }
            FoundingState::Founded(_) | FoundingState::Compacted => self.founding_denied = true,
        }
    }

    /// Returns whether `host` may write the first entry, as far as this node's settings tell.
    ///
    /// A founder that restarts during the first start may no longer be told who the founders are.
    /// Whoever the reply reaches, only the first founder acts on it.
    fn may_be_first_founder(&self, host: &HostId) -> bool {
        self.cfg.founders.first().is_none_or(|first| first == host)
    }

    fn is_fresh(&self) -> bool {
        self.log.is_fresh() && self.hard.term == Term::ZERO
    }

    /// Writes the first entry, on the first founder only, once all founders' folders are fresh.
    fn start_log_if_all_fresh(&mut self, actions: &mut Vec<Action>) {
        if self.cfg.founders.first() != Some(&self.cfg.host) {
            return;
        }
        let mut voters = VoterSet { folders: self.fresh_founders.clone() };
        voters.folders.insert(self.cfg.host.clone(), self.folder);
        if self.cfg.founders.iter().all(|host| voters.folders.contains_key(host)) {
            self.write_founding_entry(voters, actions);
        }
    }

    fn write_founding_entry(&mut self, voters: VoterSet, actions: &mut Vec<Action>) {
        let entry =
            Entry { index: FOUNDING_INDEX, term: Term::new(1), payload: Payload::Voters(voters) };
        self.log.push(entry.clone());
        self.hard.term = entry.term;
        let hard_state = Some(self.hard.clone());
        actions.push(Action::Write(Write::Log { hard_state, entries: vec![entry] }));
        self.registration = registration::initial(&self.cfg.host, self.folder, self.log.voters());
    }
}
