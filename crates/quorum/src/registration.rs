use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use base::{HostId, LogIndex, Term};
use rand::Rng;

use crate::{
    Action, Body, FolderId, FolderRecord, Node, StartCount, VoterSet, VotersAt, message::Sender,
};

/// Most hosts that are kept as contacts; more don't vote in any fleet.
const MAX_CONTACTS: usize = 64;

/// The state of the registration of a node's folder; a voter can't vote before it is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registration {
    /// A majority of the voters has not confirmed the folder yet.
    Pending,
    /// As pending, and the newest voters that are known to be committed no longer include it.
    Removed,
    /// A majority has confirmed the folder, or the folder is not a voter's.
    Done,
    /// A voter has recorded more of this folder than it holds: it is an outdated copy.
    Refused,
}

impl fmt::Display for Registration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Pending => "waiting for a majority to confirm the data folder",
            Self::Removed => "unconfirmed: the data folder is no longer a voter's",
            Self::Done => "confirmed",
            Self::Refused => "refused: the data folder is an older copy",
        })
    }
}

/// Returns the initial state for this folder.
pub(crate) fn initial(host: &HostId, folder: FolderId, voters: &VoterSet) -> Registration {
    if voters.admits(host, folder) { Registration::Pending } else { Registration::Done }
}

/// What other hosts reported to a node that registers its folder.
///
/// The log of the node may be so old that the voters it names are all lost, so it also takes part
/// in the registration with voters that others report, whoever they are: what is committed stays
/// so, and voters that aren't committed yet may be the only ones left that can go on.
#[derive(Debug, Default)]
pub(crate) struct RegistrationReports {
    /// The folders from which hosts accepted the registration.
    accepted_by: BTreeMap<HostId, FolderId>,
    /// The newest committed voters, if they are newer than those in this node's log.
    committed: Option<VotersAt>,
    /// Changes of voters that may not be committed, by the host that reported them.
    uncommitted: BTreeMap<HostId, VotersAt>,
    /// Hosts that sent messages as leaders or candidates.
    contacts: BTreeSet<HostId>,
}

impl RegistrationReports {
    /// Returns the reported voters, of which uncommitted ones count only after committed ones.
    fn voters(&self) -> impl Iterator<Item = &VoterSet> {
        let committed_at = self.committed.as_ref().map(|committed| committed.index);
        let uncommitted = self.uncommitted.values().filter(move |v| committed_at < Some(v.index));
        self.committed.iter().chain(uncommitted).map(|reported| &reported.voters)
    }

    fn hosts(&self) -> impl Iterator<Item = &HostId> {
        self.voters().flat_map(|voters| voters.folders.keys()).chain(&self.contacts)
    }
}

impl<R: Rng> Node<R> {
    pub(crate) fn tick_registration(&mut self, actions: &mut Vec<Action>) {
        if !self.is_registering() || self.now < self.retry_at {
            return;
        }
        self.retry_at = self.now + self.cfg.heartbeat_interval;
        let (starts, last_index) = (self.next_start(), self.log.last_index());
        let mut others = BTreeSet::from_iter(self.other_voters());
        others.extend(self.reports.hosts().filter(|host| **host != self.cfg.host).cloned());
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
        if self.commit < self.log.voters_index() {
            let (index, voters) = (self.log.voters_index(), self.log.voters().clone());
            self.send(from.host, Body::UncommittedVoters(VotersAt { index, voters }), actions);
        }
    }

    /// Records a host that sent a message which this node can't handle while it registers.
    ///
    /// Leaders and candidates know newer voters than this node's log may name.
    pub(crate) fn note_contact(&mut self, from: &HostId, body: &Body) {
        let leads = matches!(body, Body::Vote { .. } | Body::Append { .. } | Body::Chunk { .. });
        if leads && self.is_registering() && self.reports.contacts.len() < MAX_CONTACTS {
            self.reports.contacts.insert(from.clone());
        }
    }

    fn is_registering(&self) -> bool {
        matches!(self.registration, Registration::Pending | Registration::Removed)
    }

    /// Records committed voters, if this node's log doesn't hold them.
    fn record_committed_voters(&mut self, committed: VotersAt) {
        let own = self.log.voters_change_at(self.commit);
        let known = self.reports.committed.as_ref().map(|committed| committed.index);
        let known = known.max(own.map(|(index, _)| index));
        let held = self.log.voters_change_at(committed.index);
        if known < Some(committed.index) && held != Some((committed.index, &committed.voters)) {
            let is_voter = committed.voters.admits(&self.cfg.host, self.folder);
            self.registration =
                if is_voter { Registration::Pending } else { Registration::Removed };
            self.reports.committed = Some(committed);
        }
    }

    pub(crate) fn handle_uncommitted_voters(
        &mut self,
        from: Sender<'_>,
        voters: VotersAt,
        actions: &mut Vec<Action>,
    ) {
        let committed = self.log.voters_change_at(self.commit).map(|(index, _)| index);
        let is_newer = committed < Some(voters.index);
        if !self.is_registering() || !is_newer || !voters.voters.admits(from.host, from.folder) {
            return;
        }
        self.reports.uncommitted.insert(from.host.clone(), voters);
        self.finish_registration(actions);
    }

    pub(crate) fn handle_register_reply(
        &mut self,
        from: Sender<'_>,
        starts: StartCount,
        accepted: bool,
        committed: Option<VotersAt>,
        actions: &mut Vec<Action>,
    ) {
        if !self.is_registering() || starts != self.next_start() {
            return;
        }
        if !accepted {
            self.registration = Registration::Refused;
            return;
        }
        if let Some(committed) = committed {
            self.record_committed_voters(committed);
        }
        self.reports.accepted_by.insert(from.host.clone(), from.folder);
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
        self.reports = RegistrationReports::default();
        self.save_hard_state(actions);
    }

    /// Returns the voters that may confirm this node's folder.
    ///
    /// Reported ones can confirm it too, since voters that this node's log still names may be lost
    /// permanently.
    fn confirming_voters(&self) -> impl Iterator<Item = &VoterSet> {
        let admits = |voters: &&VoterSet| voters.admits(&self.cfg.host, self.folder);
        std::iter::once(self.log.voters()).chain(self.reports.voters().filter(admits))
    }

    fn is_confirmed_by(&self, voters: &VoterSet) -> bool {
        let accepted = self.reports.accepted_by.iter();
        let confirmed = accepted.filter(|(host, folder)| voters.admits(host, **folder)).count();
        voters.majority() <= confirmed + 1
    }

    fn committed_voters(&self) -> Option<VotersAt> {
        let (index, voters) = self.log.voters_change_at(self.commit)?;
        Some(VotersAt { index, voters: voters.clone() })
    }
}
