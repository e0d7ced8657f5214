//! One organisation's calls and the order in which they are evicted.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base::{IdempotencyKey, UnixMillis};
use serde::{Deserialize, Serialize};

use crate::{
    call::{Call, CallState, GrantedClaim},
    command::{Claim, ClaimId, Resolution},
    reply::ClaimReply,
    settings::Settings,
};

/// Maximum number of released attempts stored per key.
const MAX_RELEASED_IDS: usize = 16;

/// Keys by settlement number, oldest first.
type Settlements = BTreeMap<u64, IdempotencyKey>;

/// The calls of one organisation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Calls {
    by_key: BTreeMap<IdempotencyKey, Entry>,
    open: BTreeSet<IdempotencyKey>,
    /// Settled keys whose outcome is known.
    known_outcome: Settlements,
    /// Settled keys whose call may have run.
    in_doubt: Settlements,
}

/// A call and the attempts to send it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub(crate) call: Call,
    pub(crate) released: VecDeque<ClaimId>,
    settlement: Option<u64>,
}

/// Number and size of evicted calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Evicted {
    pub(crate) calls: usize,
    pub(crate) body_bytes: usize,
}

impl Calls {
    pub(crate) fn call(&self, key: &IdempotencyKey) -> Option<&Call> {
        self.by_key.get(key).map(|entry| &entry.call)
    }

    pub(crate) fn entry_mut(&mut self, key: &IdempotencyKey) -> Option<&mut Entry> {
        self.by_key.get_mut(key)
    }

    pub(crate) fn iter(&self) -> impl ExactSizeIterator<Item = (&IdempotencyKey, &Call)> {
        self.by_key.iter().map(|(key, entry)| (key, &entry.call))
    }

    pub(crate) fn open_count(&self) -> usize {
        self.open.len()
    }

    pub(crate) fn open_claims(&self) -> impl Iterator<Item = (&IdempotencyKey, &GrantedClaim)> {
        self.open.iter().filter_map(|key| match &self.by_key.get(key)?.call.state {
            CallState::Claimed(granted) => Some((key, granted)),
            _ => None,
        })
    }

    /// Adds an open call, or reopens a released one.
    pub(crate) fn open(&mut self, key: &IdempotencyKey, call: Call) {
        self.open.insert(key.clone());
        let Some(entry) = self.by_key.get_mut(key) else {
            let entry = Entry { call, released: VecDeque::new(), settlement: None };
            self.by_key.insert(key.clone(), entry);
            return;
        };
        entry.call = call;
        if let Some(number) = entry.settlement.take() {
            self.remove_settlement(number);
        }
    }

    /// Moves a call to a state that is not open; returns the size of the body that this drops.
    pub(crate) fn settle(
        &mut self,
        key: &IdempotencyKey,
        state: CallState,
        now: UnixMillis,
        number: u64,
    ) -> usize {
        let Some(entry) = self.by_key.get_mut(key) else {
            return 0;
        };
        let freed = entry.call.state.body_bytes();
        let earlier = entry.settlement.replace(number);
        let list = if state.is_in_doubt() { &mut self.in_doubt } else { &mut self.known_outcome };
        list.insert(number, key.clone());
        entry.call.state = state;
        entry.call.since = now;
        self.open.remove(key);
        if let Some(earlier) = earlier {
            self.remove_settlement(earlier);
        }
        freed
    }

    /// Returns how many calls are not open.
    pub(crate) fn settled_count(&self) -> usize {
        self.known_outcome.len() + self.in_doubt.len()
    }

    /// Evicts settled calls past the organisation's retention time or count.
    pub(crate) fn evict_due(&mut self, now: UnixMillis, settings: &Settings) -> Evicted {
        let mut due = self.due_keys(&self.known_outcome, now, settings);
        due.extend(self.due_keys(&self.in_doubt, now, settings));
        self.remove_all(&due)
    }

    /// Evicts the oldest call whose outcome is known, or else the oldest one in doubt.
    pub(crate) fn evict_oldest(&mut self) -> Evicted {
        let oldest = self.known_outcome.first_key_value().or(self.in_doubt.first_key_value());
        let due: Vec<_> = oldest.map(|(_, key)| key.clone()).into_iter().collect();
        self.remove_all(&due)
    }

    pub(crate) fn body_bytes(&self) -> usize {
        self.iter().map(|(_, call)| call.state.body_bytes()).sum()
    }

    pub(crate) fn last_settlement(&self) -> Option<u64> {
        let known = self.known_outcome.last_key_value();
        known.max(self.in_doubt.last_key_value()).map(|(number, _)| *number)
    }

    /// Returns whether each call is in exactly one index, the one for its state.
    pub(crate) fn is_consistent(&self) -> bool {
        let listed = self.open.len() + self.known_outcome.len() + self.in_doubt.len();
        listed == self.by_key.len()
            && self.by_key.iter().all(|(key, entry)| self.is_listed(key, entry))
    }

    fn is_listed(&self, key: &IdempotencyKey, entry: &Entry) -> bool {
        let Some(number) = entry.settlement else {
            return entry.call.state.is_open() && self.open.contains(key);
        };
        let list =
            if entry.call.state.is_in_doubt() { &self.in_doubt } else { &self.known_outcome };
        !entry.call.state.is_open() && list.get(&number) == Some(key)
    }

    /// Returns the keys at the front of `list` that are past the retention time or count.
    fn due_keys(
        &self,
        list: &Settlements,
        now: UnixMillis,
        settings: &Settings,
    ) -> Vec<IdempotencyKey> {
        let retention = settings.claim_retention.as_duration();
        let count = settings.claim_retention_count.as_u32() as usize;
        let excess = list.len().saturating_sub(count);
        let is_old = |key: &IdempotencyKey| {
            let since = self.call(key).map_or(UnixMillis::default(), |call| call.since);
            retention <= now.saturating_since(since)
        };
        list.values()
            .enumerate()
            .take_while(|(position, key)| *position < excess || is_old(key))
            .map(|(_, key)| key.clone())
            .collect()
    }

    fn remove_all(&mut self, due: &[IdempotencyKey]) -> Evicted {
        let mut evicted = Evicted::default();
        for key in due {
            let Some(entry) = self.by_key.remove(key) else {
                continue;
            };
            if let Some(number) = entry.settlement {
                self.remove_settlement(number);
            }
            evicted.calls += 1;
            evicted.body_bytes += entry.call.state.body_bytes();
        }
        evicted
    }

    fn remove_settlement(&mut self, number: u64) {
        self.known_outcome.remove(&number);
        self.in_doubt.remove(&number);
    }
}

impl Entry {
    pub(crate) fn record_released(&mut self, id: ClaimId) {
        self.released.push_back(id);
        if MAX_RELEASED_IDS < self.released.len() {
            self.released.pop_front();
        }
    }

    /// Returns the reply to a claim, or `None` if the key can be claimed.
    pub(crate) fn reply_to(&self, claim: &Claim) -> Option<ClaimReply> {
        if self.call.request != claim.request {
            return Some(ClaimReply::KeyReused);
        }
        if self.released.contains(&claim.id) {
            return Some(ClaimReply::AttemptReleased);
        }
        match &self.call.state {
            CallState::Claimed(granted) if granted.matches(claim.id, &claim.owner) => {
                Some(ClaimReply::Claimed { send_within: granted.send_within })
            }
            CallState::Claimed(granted) => Some(ClaimReply::InProgress(granted.owner.clone())),
            CallState::Released => None,
            CallState::Finished(_, response) => Some(ClaimReply::Finished(response.clone())),
            CallState::MayHaveRun(_, why) => {
                Some(ClaimReply::MayHaveRun { since: self.call.since, reason: *why })
            }
            CallState::Resolved(_, resolved) => Some(match resolved.resolution {
                Resolution::Ran => ClaimReply::Ran,
                Resolution::NotRun => ClaimReply::NotRun,
            }),
        }
    }
}
