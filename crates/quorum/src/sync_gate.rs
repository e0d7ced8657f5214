use std::{collections::VecDeque, time::Duration};

use base::{LogIndex, MonotonicTime, Term};

use crate::{Action, AppendOutcome, Body, HardState, Message, Restored, StartCount, Write};

/// Time after which a follower's answers don't wait for a sync; most are done by then.
const ANSWER_AFTER: Duration = Duration::from_millis(100);

/// Time after which a sync holds everything back, so that another host may lead.
const STALLED_AFTER: Duration = Duration::from_secs(1);

/// Holds back what depends on writes that are not durable yet.
///
/// The driver hands it all actions of its node, writes the batches that it returns, and carries
/// out the actions that it lets through. A leader's entries and heartbeats don't wait for its own
/// disk, and while a sync takes long a follower's answers don't either. They claim nothing of what
/// is not durable: they name no commit that counts on it, and acknowledge none of it. So a slow
/// disk costs its host neither the lead nor its leader. All this ends once the disk seems stuck.
#[derive(Debug)]
pub struct SyncGate {
    durable: Durable,
    unsynced: VecDeque<Unsynced>,
    held: VecDeque<(BatchNumber, Action)>,
    last: BatchNumber,
}

/// Numbers the batches in the order in which they must be written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BatchNumber(u64);

/// What must be written together, in order.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Its place among the batches.
    pub number: BatchNumber,
    /// What is to be written.
    pub writes: Vec<Write>,
}

/// What a crash would leave.
#[derive(Clone, Copy, Debug)]
struct Durable {
    term: Term,
    starts: StartCount,
    last: LogIndex,
}

/// What goes ahead of the writes that are under way.
enum Release {
    Now(Action),
    /// One goes now, and the other, which says more, once all is written.
    Partly {
        now: Action,
        later: Action,
    },
    Later(Action),
}

#[derive(Debug)]
struct Unsynced {
    number: BatchNumber,
    since: MonotonicTime,
    /// What a crash would leave once this batch is synced.
    after: Durable,
    /// The last entry that stays as it was; none is known to if a snapshot replaces them.
    kept: Option<LogIndex>,
}

impl SyncGate {
    /// Creates a gate for what a data folder held.
    pub fn new(restored: &Restored) -> Self {
        let covered = restored.snapshot.as_ref().map(|snapshot| snapshot.last_index);
        let written = restored.entries.last().map(|entry| entry.index);
        let last = covered.max(written).unwrap_or_default();
        let HardState { term, starts, .. } = restored.hard_state;
        let durable = Durable { term, starts, last };
        Self {
            durable,
            unsynced: VecDeque::new(),
            held: VecDeque::new(),
            last: BatchNumber::default(),
        }
    }

    /// Takes a node's actions, adds those that may be carried out at once to `ready`, and returns
    /// what must be written.
    pub fn submit(
        &mut self,
        now: MonotonicTime,
        actions: Vec<Action>,
        ready: &mut Vec<Action>,
    ) -> Option<Batch> {
        let mut writes = Vec::new();
        let mut others = Vec::new();
        for action in actions {
            match action {
                Action::Write(write) => writes.push(write),
                other => others.push(other),
            }
        }
        let is_replaced = others.iter().any(|action| matches!(action, Action::Restore(_)));
        let batch = self.number(now, writes, is_replaced);
        if self.unsynced.is_empty() {
            ready.extend(others);
            return batch;
        }
        for action in others {
            match self.release(now, action) {
                Release::Now(action) => ready.push(action),
                Release::Partly { now, later } => {
                    ready.push(now);
                    self.held.push_back((self.last, later));
                }
                Release::Later(action) => self.held.push_back((self.last, action)),
            }
        }
        batch
    }

    /// Notes that the batches up to `through` are durable, and adds what waited for them to
    /// `ready`.
    pub fn mark_synced(&mut self, through: BatchNumber, ready: &mut Vec<Action>) {
        while let Some(done) = self.unsynced.pop_front_if(|batch| batch.number <= through) {
            self.durable = done.after;
        }
        while let Some((_, action)) = self.held.pop_front_if(|(number, _)| *number <= through) {
            ready.push(action);
        }
    }

    /// Returns how long the oldest batch that isn't durable has been under way, if there is one.
    pub fn oldest_sync_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.unsynced.front().map(|batch| now.saturating_since(batch.since))
    }

    /// Numbers what is to be written; a snapshot that replaces the state may replace entries too.
    fn number(
        &mut self,
        now: MonotonicTime,
        writes: Vec<Write>,
        is_replaced: bool,
    ) -> Option<Batch> {
        if writes.is_empty() {
            return None;
        }
        self.last.0 += 1;
        let mut after = self.unsynced.back().map_or(self.durable, |batch| batch.after);
        let mut kept = Some(after.last);
        for write in &writes {
            match write {
                Write::Log { hard_state, entries } => {
                    if let Some(hard_state) = hard_state {
                        (after.term, after.starts) = (hard_state.term, hard_state.starts);
                    }
                    if let (Some(first), Some(last)) = (entries.first(), entries.last()) {
                        let before = LogIndex::new(first.index.as_u64().saturating_sub(1));
                        kept = kept.map(|kept| kept.min(before));
                        after.last = last.index;
                    }
                }
                Write::Snapshot(snapshot) if is_replaced => {
                    kept = None;
                    // The entries after it may have been dropped.
                    after.last = snapshot.last_index;
                }
                Write::Snapshot(_) => {}
            }
        }
        self.unsynced.push_back(Unsynced { number: self.last, since: now, after, kept });
        Some(Batch { number: self.last, writes })
    }

    /// Decides what of an action goes ahead of the writes that are under way.
    fn release(&self, now: MonotonicTime, action: Action) -> Release {
        let Action::Send { to, message } = &action else { return Release::Later(action) };
        let (Some(waited), Some(kept)) = (self.oldest_sync_age(now), self.kept()) else {
            return Release::Later(action);
        };
        if STALLED_AFTER <= waited || !self.is_durable(message) {
            return Release::Later(action);
        }
        let body = match &message.body {
            Body::Append { commit, .. } if *commit <= kept => return Release::Now(action),
            body @ Body::Append { .. } => with_commit(body.clone(), kept),
            Body::AppendReply { outcome, sent } if ANSWER_AFTER <= waited => {
                Body::AppendReply { outcome: durable_part(*outcome, kept), sent: *sent }
            }
            _ => return Release::Later(action),
        };
        let has_entries = matches!(&body, Body::Append { entries, .. } if !entries.is_empty());
        let early = Action::Send { to: to.clone(), message: Message { body, ..message.clone() } };
        if has_entries {
            return Release::Now(early);
        }
        Release::Partly { now: early, later: action }
    }

    /// Returns whether a crash would leave the term and the start that a message names.
    fn is_durable(&self, message: &Message) -> bool {
        message.term <= self.durable.term && message.starts <= self.durable.starts
    }

    /// Returns the last entry that a crash would leave as the node has it, if one is known.
    fn kept(&self) -> Option<LogIndex> {
        let mut unsynced = self.unsynced.iter();
        unsynced.try_fold(self.durable.last, |kept, batch| Some(kept.min(batch.kept?)))
    }
}

fn with_commit(mut body: Body, known: LogIndex) -> Body {
    if let Body::Append { commit, .. } = &mut body {
        *commit = known;
    }
    body
}

/// Returns what an answer may say of the entries up to `kept`.
fn durable_part(outcome: AppendOutcome, kept: LogIndex) -> AppendOutcome {
    match outcome {
        AppendOutcome::Matched(index) => AppendOutcome::Matched(index.min(kept)),
        conflict @ AppendOutcome::Conflict { .. } => conflict,
    }
}
