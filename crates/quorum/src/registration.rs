use std::{collections::BTreeSet, fmt};

use base::{HostId, LogIndex, Term};
use rand::Rng;

use crate::{
    Action, Body, CommittedVoters, FolderId, Node, Standing, StartCount, VoterSet, message::Sender,
};

/// Whether a node may vote from the folder that it found at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registration {
    /// The other voters have not confirmed the folder yet.
    Pending,
    /// A majority confirmed the folder, or it is not a voter's.
    Done,
    /// A voter remembers more of this folder than it holds: it is an older copy.
    Refused,
}

impl fmt::Display for Registration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Pending => "waiting for a majority to confirm the data folder",
            Self::Done => "confirmed",
            Self::Refused => "refused: the data folder is an older copy",
        })
    }
}

/// Returns what a node with this folder starts with.
pub(crate) fn at_start(host: &HostId, folder: FolderId, voters: &VoterSet) -> Registration {
    if voters.admits(host, folder) { Registration::Pending } else { Registration::Done }
}

impl<R: Rng> Node<R> {
    pub(crate) fn tick_registration(&mut self, actions: &mut Vec<Action>) {
        if self.registration != Registration::Pending || self.now < self.retry_at {
            return;
        }
        self.retry_at = self.now + self.cfg.heartbeat;
        let (starts, last_index) = (self.next_start(), self.log.last_index());
        let later = self.later_voters.iter().flat_map(|later| later.voters.folders.keys());
        let mut others = BTreeSet::from_iter(self.other_voters());
        others.extend(later.filter(|host| **host != self.cfg.host).cloned());
        for host in others {
            self.send(&host, Body::Register { starts, last_index }, actions);
        }
        self.finish_registration(actions);
    }

    /// Checks the folder of a voter that started against what is remembered of it.
    ///
    /// This node's log may not name that folder yet, or no longer.
    pub(crate) fn register(
        &mut self,
        from: Sender<'_>,
        starts: StartCount,
        term: Term,
        last_index: LogIndex,
        actions: &mut Vec<Action>,
    ) {
        if self.registration == Registration::Refused {
            return;
        }
        let known = self.standing(from.host, from.folder);
        let is_new = known.starts < starts || known.starts == starts && !known.active;
        let accepted = is_new && (known.term, known.matched) <= (term, last_index);
        let replaced = self.log.voters().folders.get(from.host).is_some_and(|f| *f != from.folder);
        if accepted && !replaced {
            let mut standing = known;
            (standing.starts, standing.active) = (starts, false);
            standing.raise(term, LogIndex::ZERO);
            self.hard.standings.insert(from.host.clone(), standing);
            self.save_hard_state(actions);
        }
        let committed = self.committed_voters();
        self.send(from.host, Body::RegisterReply { starts, accepted, committed }, actions);
    }

    /// Takes in committed voters, if this node's log is behind them.
    fn learn_voters(&mut self, committed: Option<CommittedVoters>) {
        let known = self.later_voters.as_ref().map(|later| later.index);
        let known = known.unwrap_or_default().max(self.log.voters_index());
        if let Some(committed) = committed.filter(|committed| known < committed.index) {
            self.later_voters = Some(committed);
        }
    }

    pub(crate) fn registered(
        &mut self,
        from: Sender<'_>,
        starts: StartCount,
        accepted: bool,
        committed: Option<CommittedVoters>,
        actions: &mut Vec<Action>,
    ) {
        let current = self.registration == Registration::Pending && starts == self.next_start();
        let may_confirm = |voters: &VoterSet| voters.admits(from.host, from.folder);
        if !current || !self.confirming_voters().any(may_confirm) {
            return;
        }
        if !accepted {
            self.registration = Registration::Refused;
            return;
        }
        self.learn_voters(committed);
        self.accepted_by.insert(from.host.clone(), from.folder);
        self.finish_registration(actions);
    }

    /// Remembers that a voter's folder voted or acknowledged in `term`.
    pub(crate) fn note_promise(&mut self, from: Sender<'_>, term: Term, matched: LogIndex) {
        if !self.is_admitted(from.host, from.folder) {
            return;
        }
        let mut standing = self.standing(from.host, from.folder);
        if standing.starts <= from.starts {
            (standing.starts, standing.active) = (from.starts, true);
        }
        standing.raise(term, matched);
        self.remember(from.host, standing);
    }

    pub(crate) fn merge_standings(&mut self, standings: &[(HostId, Standing)]) {
        for (host, heard) in standings {
            if !self.is_admitted(host, heard.folder) || *host == self.cfg.host {
                continue;
            }
            let mut standing = self.standing(host, heard.folder);
            standing.merge(heard);
            self.remember(host, standing);
        }
    }

    /// Returns whether a folder is a voter's, or was until a change that may not be committed.
    fn is_admitted(&self, host: &HostId, folder: FolderId) -> bool {
        self.log.voters().admits(host, folder)
            || self.voters_before_change().is_some_and(|voters| voters.admits(host, folder))
    }

    fn next_start(&self) -> StartCount {
        StartCount(self.hard.starts.0 + 1)
    }

    fn standing(&self, host: &HostId, folder: FolderId) -> Standing {
        let known = self.hard.standings.get(host).filter(|known| known.folder == folder);
        known.copied().unwrap_or(Standing { folder, ..Standing::default() })
    }

    fn remember(&mut self, host: &HostId, standing: Standing) {
        if self.hard.standings.get(host) == Some(&standing) {
            return;
        }
        self.hard.standings.insert(host.clone(), standing);
        self.standings_changed = true;
    }

    fn finish_registration(&mut self, actions: &mut Vec<Action>) {
        if !self.confirming_voters().any(|voters| self.is_confirmed_by(voters)) {
            return;
        }
        self.hard.starts = self.next_start();
        self.registration = Registration::Done;
        self.accepted_by.clear();
        self.later_voters = None;
        self.save_hard_state(actions);
    }

    /// Returns the voters that may confirm this node's folder.
    ///
    /// Voters that were committed later count too: some of those that this node's log still names
    /// may be gone for good.
    fn confirming_voters(&self) -> impl Iterator<Item = &VoterSet> {
        let later = self.later_voters.iter().map(|later| &later.voters);
        let admits = |voters: &&VoterSet| voters.admits(&self.cfg.host, self.folder);
        std::iter::once(self.log.voters()).chain(later.filter(admits))
    }

    fn is_confirmed_by(&self, voters: &VoterSet) -> bool {
        let accepted = self.accepted_by.iter();
        let confirmed = accepted.filter(|(host, folder)| voters.admits(host, **folder)).count();
        voters.majority() <= confirmed + 1
    }

    fn committed_voters(&self) -> Option<CommittedVoters> {
        let index = self.log.voters_index();
        (index <= self.commit).then(|| CommittedVoters { index, voters: self.log.voters().clone() })
    }
}
