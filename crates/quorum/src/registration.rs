use std::{collections::BTreeSet, fmt};

use base::{HostId, LogIndex, Term};
use rand::Rng;

use crate::{
    Action, Body, CommittedVoters, FolderId, FolderRecord, Node, StartCount, VoterSet,
    message::Sender,
};

/// The state of the registration of a node's folder; a voter can't vote before it is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registration {
    /// A majority of the voters has not confirmed the folder yet.
    Pending,
    /// A majority has confirmed the folder, or the folder is not a voter's.
    Done,
    /// A voter has recorded more of this folder than it holds: it is an outdated copy.
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

/// Returns the initial state for this folder.
pub(crate) fn initial(host: &HostId, folder: FolderId, voters: &VoterSet) -> Registration {
    if voters.admits(host, folder) { Registration::Pending } else { Registration::Done }
}

impl<R: Rng> Node<R> {
    pub(crate) fn tick_registration(&mut self, actions: &mut Vec<Action>) {
        if self.registration != Registration::Pending || self.now < self.retry_at {
            return;
        }
        self.retry_at = self.now + self.cfg.heartbeat_interval;
        let (starts, last_index) = (self.next_start(), self.log.last_index());
        let later = self.later_voters.iter().flat_map(|later| later.voters.folders.keys());
        let mut others = BTreeSet::from_iter(self.other_voters());
        others.extend(later.filter(|host| **host != self.cfg.host).cloned());
        for host in others {
            self.send(&host, Body::Register { starts, last_index }, actions);
        }
        self.finish_registration(actions);
    }

    /// Checks the folder of a voter that started against this node's record of it.
    ///
    /// This node's log may not name that folder yet, or may no longer do so.
    pub(crate) fn handle_register(
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
        let known = self.folder_record(from.host, from.folder);
        let is_new = known.starts < starts || known.starts == starts && !known.active;
        let accepted = is_new && (known.term, known.matched) <= (term, last_index);
        let replaced = self.log.voters().folders.get(from.host).is_some_and(|f| *f != from.folder);
        if accepted && !replaced {
            let mut record = known;
            (record.starts, record.active) = (starts, false);
            record.raise(term, LogIndex::ZERO);
            self.hard.folder_records.insert(from.host.clone(), record);
            self.save_hard_state(actions);
        }
        let committed = self.committed_voters();
        self.send(from.host, Body::RegisterReply { starts, accepted, committed }, actions);
    }

    /// Records committed voters, if they are newer than this node's log.
    fn record_later_voters(&mut self, committed: Option<CommittedVoters>) {
        let known = self.later_voters.as_ref().map(|later| later.index);
        let known = known.unwrap_or_default().max(self.log.voters_index());
        if let Some(committed) = committed.filter(|committed| known < committed.index) {
            self.later_voters = Some(committed);
        }
    }

    pub(crate) fn handle_register_reply(
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
        self.record_later_voters(committed);
        self.accepted_by.insert(from.host.clone(), from.folder);
        self.finish_registration(actions);
    }

    /// Records that a voter's folder voted in `term`, or acknowledged entries up to `matched`.
    pub(crate) fn record_activity(&mut self, from: Sender<'_>, term: Term, matched: LogIndex) {
        if !self.is_admitted(from.host, from.folder) {
            return;
        }
        let mut record = self.folder_record(from.host, from.folder);
        if record.starts <= from.starts {
            (record.starts, record.active) = (from.starts, true);
        }
        record.raise(term, matched);
        self.store_folder_record(from.host, record);
    }

    pub(crate) fn merge_folder_records(&mut self, folder_records: &[(HostId, FolderRecord)]) {
        for (host, received) in folder_records {
            if !self.is_admitted(host, received.folder) || *host == self.cfg.host {
                continue;
            }
            let mut record = self.folder_record(host, received.folder);
            record.merge(received);
            self.store_folder_record(host, record);
        }
    }

    /// Returns whether a folder is a voter's, or was before a change that may not be committed.
    fn is_admitted(&self, host: &HostId, folder: FolderId) -> bool {
        self.log.voters().admits(host, folder)
            || self.voters_before_change().is_some_and(|voters| voters.admits(host, folder))
    }

    fn next_start(&self) -> StartCount {
        StartCount(self.hard.starts.0 + 1)
    }

    fn folder_record(&self, host: &HostId, folder: FolderId) -> FolderRecord {
        let known = self.hard.folder_records.get(host).filter(|known| known.folder == folder);
        known.copied().unwrap_or(FolderRecord { folder, ..FolderRecord::default() })
    }

    fn store_folder_record(&mut self, host: &HostId, record: FolderRecord) {
        if self.hard.folder_records.get(host) == Some(&record) {
            return;
        }
        self.hard.folder_records.insert(host.clone(), record);
        self.folder_records_changed = true;
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
    /// Newer committed voters can confirm it too, since voters that this node's log still names may
    /// be lost permanently.
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
