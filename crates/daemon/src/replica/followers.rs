//! The leader's exchange with its followers: long polls, reported loads and published views.

use std::{collections::BTreeMap, time::Duration};

use base::{HostId, ModelId, MonotonicTime, Term};
use fleet::{EngineUpdate, Published, WeightsAge, WeightsHistory};
use member::LeavingSet;
use prefix::SentPromptLog;
use route::{LoadAggregator, SentLoad};
use wire::leader::{FollowCursor, FollowRequest, PublishedView, ViewVersion};

use super::pending::ReplySender;

/// Longest time for which a poll is held.
///
/// Shorter than the follower's timeout.
const MAX_HOLD: Duration = Duration::from_millis(400);

/// Time after which a router's load report expires.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(1);

/// Most sent prompts that are kept for routers; more than arrive between two polls.
const MAX_SENT_PROMPTS: usize = 4096;

/// Long polls of followers, and the state that answers them.
pub(super) struct Followers {
    held: Vec<HeldPoll>,
    engines: Vec<EngineUpdate>,
    loads: LoadAggregator,
    sent: SentPromptLog,
    leavers: LeavingSet,
    /// When weights were named, as far as this host observed or received it.
    weights: BTreeMap<ModelId, WeightsHistory>,
    /// Number of changes that end held polls early.
    changes: u64,
}

/// A held poll.
pub(super) struct HeldPoll {
    pub poll: FollowRequest,
    pub reply: ReplySender,
    until: MonotonicTime,
}

impl Default for Followers {
    fn default() -> Self {
        Self {
            held: Vec::new(),
            engines: Vec::new(),
            loads: LoadAggregator::new(LOAD_REPORT_TTL),
            sent: SentPromptLog::new(MAX_SENT_PROMPTS),
            leavers: LeavingSet::default(),
            weights: BTreeMap::new(),
            changes: 0,
        }
    }
}

impl Followers {
    /// Holds a poll, and applies what its sender reports.
    pub(super) fn hold(&mut self, now: MonotonicTime, mut poll: FollowRequest, reply: ReplySender) {
        self.loads.report(now, poll.from.clone(), std::mem::take(&mut poll.loads));
        self.sent.extend(&poll.from, std::mem::take(&mut poll.sent));
        if self.leavers.record_leaving(now, &poll.leaving) {
            self.changes += 1;
        }
        let until = now + poll.max_wait.min(MAX_HOLD);
        self.held.push(HeldPoll { poll, reply, until });
    }

    /// Removes and returns the polls that saw another version or were held long enough; all of them
    /// if this host no longer leads.
    pub(super) fn take_due(
        &mut self,
        now: MonotonicTime,
        term: Term,
        leads: bool,
    ) -> Vec<HeldPoll> {
        let version = self.version(term);
        let due =
            |held: &HeldPoll| !leads || held.poll.seen.version != version || held.until <= now;
        let (due, held) = std::mem::take(&mut self.held).into_iter().partition(due);
        self.held = held;
        due
    }

    /// Records a change of what is published.
    pub(super) fn record_change(&mut self) {
        self.changes += 1;
    }

    /// Records the weights named at `now`, which is the latest time for those not known before.
    pub(super) fn record_named_weights(&mut self, now: MonotonicTime, published: &Published) {
        for named in published.weights() {
            let history = self.weights.entry(named.model).or_default();
            history.record(now, named.version, Duration::ZERO);
        }
    }

    /// Records the ages of named weights at `now`, as received from another host.
    pub(super) fn record_weights_ages(&mut self, now: MonotonicTime, ages: &[WeightsAge]) {
        for received in ages {
            let history = self.weights.entry(received.model.clone()).or_default();
            history.record(now, received.version, received.age);
        }
    }

    /// Sets what the weights rollout knows of engines.
    pub(super) fn set_engines(&mut self, engines: Vec<EngineUpdate>) {
        if self.engines != engines {
            self.engines = engines;
            self.changes += 1;
        }
    }

    /// Clears what is known of engines, as after a change of leader.
    pub(super) fn clear_engines(&mut self) {
        self.engines.clear();
    }

    /// Returns the load that all routers have placed on endpoints.
    pub(super) fn loads(&mut self, now: MonotonicTime) -> Vec<SentLoad> {
        self.loads.totals(now)
    }

    /// Returns the view for `follower`, given what it has seen.
    pub(super) fn view(
        &mut self,
        now: MonotonicTime,
        term: Term,
        published: &Published,
        seen: &FollowCursor,
        follower: Option<&HostId>,
    ) -> PublishedView {
        let publication = published.publication();
        let is_current = seen.number == publication.number;
        let same_leader = seen.version.term == term;
        let first = if same_leader { seen.next_sent } else { self.sent.next() };
        let sent = follower.map(|follower| self.sent.since(first, follower).cloned().collect());
        PublishedView {
            version: self.version(term),
            number: publication.number,
            content: (!is_current).then(|| publication.content.clone()),
            weights: self.weight_ages(now),
            engines: self.engines.clone(),
            loads: self.loads.totals(now),
            leaving: self.leavers.leaving(now),
            sent: sent.unwrap_or_default(),
            next_sent: self.sent.next(),
        }
    }

    fn weight_ages(&self, now: MonotonicTime) -> Vec<WeightsAge> {
        self.weights.iter().flat_map(|(model, history)| history.ages(model, now)).collect()
    }

    fn version(&self, term: Term) -> ViewVersion {
        ViewVersion { term, changes: self.changes }
    }
}
