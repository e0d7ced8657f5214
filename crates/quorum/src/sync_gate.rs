use std::{collections::VecDeque, time::Duration};

use base::{LogIndex, MonotonicTime, Term};

use crate::{Action, AppendOutcome, Body, HardState, Message, RestoredState, StartCount, Write};

/// Sync duration after which a follower's replies no longer wait for it; most syncs are shorter.
const EARLY_REPLY_AFTER: Duration = Duration::from_millis(100);

/// Sync duration after which no message is released early, so that another host can lead.
const STALLED_AFTER: Duration = Duration::from_secs(1);

/// Delays actions that depend on writes that are not durable yet.
///
/// The driver submits all actions of its node, writes the batches that the gate returns, and
/// carries out the actions that it releases. A leader's entries and heartbeats don't wait for its
/// own disk, nor do a follower's replies during a long sync. Messages released early depend on
/// nothing that is not durable: they neither include it in a commit index nor acknowledge it.
/// So a slow disk neither deposes a leader nor makes a follower lose its leader. Once a sync takes
/// so long that the disk seems stuck, nothing is released early.
#[derive(Debug)]
pub struct SyncGate {
    durable: Durable,
    unsynced: VecDeque<Unsynced>,
    delayed: VecDeque<(BatchNumber, Action)>,
    last_number: BatchNumber,
}

/// The number of a batch, in the order in which batches must be written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BatchNumber(u64);

/// Writes that must be made durable together, in order.
#[derive(Clone, Debug)]
pub struct Batch {
    /// The batch's number.
    pub number: BatchNumber,
    /// The writes.
    pub writes: Vec<Write>,
}

/// The state on disk that survives a crash.
#[derive(Clone, Copy, Debug)]
struct Durable {
    term: Term,
    starts: StartCount,
    last: LogIndex,
}

/// How an action is released while writes are in progress.
enum Release {
    Now(Action),
    /// `now` is sent at once; `later`, the full message, once all writes are durable.
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
    /// The state that survives a crash once this batch is synced.
    after: Durable,
    /// The last entry that the batch leaves unchanged; `None` if a snapshot replaces the log.
    unchanged: Option<LogIndex>,
}

impl SyncGate {
    /// Creates a gate for a restored data folder.
    pub fn new(restored: &RestoredState) -> Self {
        let covered = restored.snapshot.as_ref().map(|snapshot| snapshot.last_index);
        let written = restored.entries.last().map(|entry| entry.index);
        let last = covered.max(written).unwrap_or_default();
        let HardState { term, starts, .. } = restored.hard_state;
        let durable = Durable { term, starts, last };
        Self {
            durable,
            unsynced: VecDeque::new(),
            delayed: VecDeque::new(),
            last_number: BatchNumber::default(),
        }
    }

    /// Submits a node's actions: adds those that may be carried out at once to `ready`, and returns
    /// the writes as a batch.
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
        let batch = self.number_batch(now, writes, is_replaced);
        if self.unsynced.is_empty() {
            ready.extend(others);
            return batch;
        }
        for action in others {
            match self.release(now, action) {
                Release::Now(action) => ready.push(action),
                Release::Partly { now, later } => {
                    ready.push(now);
                    self.delayed.push_back((self.last_number, later));
                }
                Release::Later(action) => self.delayed.push_back((self.last_number, action)),
            }
        }
        batch
    }

    /// Marks the batches up to `through` as durable, and adds the actions delayed for them to
    /// `ready`.
    pub fn mark_synced(&mut self, through: BatchNumber, ready: &mut Vec<Action>) {
        while let Some(done) = self.unsynced.pop_front_if(|batch| batch.number <= through) {
            self.durable = done.after;
        }
        while let Some((_, action)) = self.delayed.pop_front_if(|(number, _)| *number <= through) {
            ready.push(action);
        }
    }

    /// Returns the time since the oldest batch that isn't durable was submitted, if there is one.
    pub fn oldest_sync_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.unsynced.front().map(|batch| now.saturating_since(batch.since))
    }

    /// Numbers the writes of a batch; a snapshot that replaces the state may replace entries too.
    fn number_batch(
        &mut self,
        now: MonotonicTime,
        writes: Vec<Write>,
        is_replaced: bool,
    ) -> Option<Batch> {
        if writes.is_empty() {
            return None;
        }
        self.last_number.0 += 1;
        let mut after = self.unsynced.back().map_or(self.durable, |batch| batch.after);
        let mut unchanged = Some(after.last);
        for write in &writes {
            match write {
                Write::Log { hard_state, entries } => {
                    if let Some(hard_state) = hard_state {
                        (after.term, after.starts) = (hard_state.term, hard_state.starts);
                    }
                    if let (Some(first), Some(last)) = (entries.first(), entries.last()) {
                        let before = LogIndex::new(first.index.as_u64().saturating_sub(1));
                        unchanged = unchanged.map(|unchanged| unchanged.min(before));
                        after.last = last.index;
                    }
                }
                Write::Snapshot(snapshot) if is_replaced => {
                    unchanged = None;
                    // The entries after the snapshot may have been dropped.
                    after.last = snapshot.last_index;
                }
                Write::Snapshot(_) => {}
            }
        }
        self.unsynced.push_back(Unsynced {
            number: self.last_number,
            since: now,
            after,
            unchanged,
        });
        Some(Batch { number: self.last_number, writes })
    }

    /// Decides which part of an action is released before the writes in progress are durable.
    fn release(&self, now: MonotonicTime, action: Action) -> Release {
        let Action::Send { to, message } = &action else { return Release::Later(action) };
        let (Some(sync_age), Some(unchanged)) =
            (self.oldest_sync_age(now), self.unchanged_through())
        else {
            return Release::Later(action);
        };
        if STALLED_AFTER <= sync_age || !self.is_durable(message) {
            return Release::Later(action);
        }
        let body = match &message.body {
            Body::Append { commit, .. } if *commit <= unchanged => return Release::Now(action),
            body @ Body::Append { .. } => with_commit(body.clone(), unchanged),
            Body::AppendReply { outcome, sent_at } if EARLY_REPLY_AFTER <= sync_age => {
                Body::AppendReply {
                    outcome: durable_outcome(*outcome, unchanged),
                    sent_at: *sent_at,
                }
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

    /// Returns whether the term and the start that a message names would survive a crash.
    fn is_durable(&self, message: &Message) -> bool {
        message.term <= self.durable.term && message.starts <= self.durable.starts
    }

    /// Returns the last entry that would survive a crash unchanged, if one is known.
    fn unchanged_through(&self) -> Option<LogIndex> {
        let mut unsynced = self.unsynced.iter();
        unsynced
            .try_fold(self.durable.last, |unchanged, batch| Some(unchanged.min(batch.unchanged?)))
    }
}

fn with_commit(mut body: Body, known: LogIndex) -> Body {
    if let Body::Append { commit, .. } = &mut body {
        *commit = known;
    }
    body
}

/// Returns the outcome limited to the entries up to `unchanged`, which are durable.
fn durable_outcome(outcome: AppendOutcome, unchanged: LogIndex) -> AppendOutcome {
    match outcome {
        AppendOutcome::Matched(index) => AppendOutcome::Matched(index.min(unchanged)),
        conflict @ AppendOutcome::Conflict { .. } => conflict,
    }
}
