//! Long polls, load reports and published views of followers: the routers that poll the leader.

use std::{collections::BTreeMap, time::Duration};

use base::{HostId, ModelId, MonotonicTime, Term};
use fleet::{EngineUpdate, EngineUpdateLog, Published, WeightsAge, WeightsHistory};
use member::{IncarnationKey, LeavingSet};
use prefix::SentPromptLog;
use quarantine::Detector;
use route::{LoadAggregator, SentLoad, SlownessEstimator};
use wire::leader::{
    CrashReport, FollowCursor, FollowRequest, PublishedView, SlownessList, ViewVersion,
};

use super::{pending::ReplySender, quotas::Quotas};

/// Longest time for which a poll waits for a change; shorter than the follower's timeout.
const MAX_POLL_WAIT: Duration = Duration::from_millis(400);

/// Time after which a router's load report expires.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(1);

/// Time between searches for what crashes endpoints.
const CRASH_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Largest number of sent prompts kept for routers; more than arrive between two polls.
const MAX_SENT_PROMPTS: usize = 4096;

/// Long polls of followers, and the state for the responses to them.
pub(super) struct Followers {
    polls: Vec<PendingPoll>,
    engines: EngineUpdateLog,
    loads: LoadAggregator,
    sent: SentPromptLog,
    leaving_set: LeavingSet,
    crash_detector: Detector<IncarnationKey>,
    next_crash_check: MonotonicTime,
    slowness: SlownessEstimator<IncarnationKey>,
    /// Number of published lists of slow endpoints.
    slowness_lists: u64,
    pub(super) quotas: Quotas,
    /// When weights became the desired ones, as far as this host observed or received it.
    weights: BTreeMap<ModelId, WeightsHistory>,
    /// Number of changes so far; each one ends the waiting polls.
    changes: u64,
}

/// A poll that waits for a change or its deadline.
pub(super) struct PendingPoll {
    pub poll: FollowRequest,
    pub reply: ReplySender,
    deadline: MonotonicTime,
}

impl Default for Followers {
    fn default() -> Self {
        Self {
            polls: Vec::new(),
            engines: EngineUpdateLog::default(),
            loads: LoadAggregator::new(LOAD_REPORT_TTL),
            sent: SentPromptLog::new(MAX_SENT_PROMPTS),
            leaving_set: LeavingSet::default(),
            crash_detector: Detector::default(),
            next_crash_check: MonotonicTime::ZERO,
            slowness: SlownessEstimator::default(),
            slowness_lists: 0,
            quotas: Quotas::default(),
            weights: BTreeMap::new(),
            changes: 0,
        }
    }
}

impl Followers {
    /// Adds a poll, and applies its sender's report.
    pub(super) fn add_poll(
        &mut self,
        now: MonotonicTime,
        mut poll: FollowRequest,
        reply: ReplySender,
    ) {
        self.loads.report(now, poll.from.clone(), std::mem::take(&mut poll.loads));
        self.sent.extend(&poll.from, std::mem::take(&mut poll.sent));
        self.record_leaving(now, &poll.leaving);
        self.record_crashes(now, std::mem::take(&mut poll.crashes));
        self.slowness.record(now, &std::mem::take(&mut poll.response_times));
        if let Some(report) = poll.quota.take() {
            self.quotas.record(now, &poll.from, &report);
        }
        let deadline = now + poll.max_wait.min(MAX_POLL_WAIT);
        self.polls.push(PendingPoll { poll, reply, deadline });
    }

    /// Records incarnations of endpoints that leave, and tells the followers if that is news.
    pub(super) fn record_leaving(&mut self, now: MonotonicTime, leaving: &[IncarnationKey]) {
        if self.leaving_set.record_leaving(now, leaving) {
            self.changes += 1;
        }
    }

    fn record_crashes(&mut self, now: MonotonicTime, report: CrashReport) {
        for known in report.quarantined {
            self.crash_detector.adopt(now, known);
        }
        for survival in report.survivals {
            self.crash_detector.record_survival(now, survival);
        }
        for crash in &report.crashes {
            self.crash_detector.record_crash(now, crash);
        }
    }

    /// Quarantines parts of prompts and requests that are found to crash endpoints.
    pub(super) fn quarantine_suspects(&mut self, now: MonotonicTime) {
        if now < self.next_crash_check {
            return;
        }
        self.next_crash_check = now + CRASH_CHECK_INTERVAL;
        while let Some(finding) = self.crash_detector.update(now) {
            self.changes += 1;
            let first_crash_age_ms = finding.first_crash_age.as_millis() as u64;
            log::warn!(suspect:% = finding.suspect, endpoints = finding.engines, first_crash_age_ms;
                "quarantined, endpoints crashed on it");
        }
    }

    /// Tells the followers at once of organisations that became metered.
    pub(super) fn review_quotas(&mut self, now: MonotonicTime) {
        if self.quotas.review(now) {
            self.changes += 1;
        }
    }

    /// Removes and returns the polls whose sender has seen another version or whose deadline has
    /// passed; all of them if this host does not lead.
    pub(super) fn take_due(
        &mut self,
        now: MonotonicTime,
        term: Term,
        leads: bool,
    ) -> Vec<PendingPoll> {
        let version = self.version(term);
        let due = |pending: &PendingPoll| {
            !leads || pending.poll.seen.version != version || pending.deadline <= now
        };
        let (due, waiting) = std::mem::take(&mut self.polls).into_iter().partition(due);
        self.polls = waiting;
        due
    }

    /// Records a change of the published state.
    pub(super) fn record_change(&mut self) {
        self.changes += 1;
    }

    /// Records the weights that are desired at `now`, the latest possible time for new versions.
    pub(super) fn record_desired_weights(&mut self, now: MonotonicTime, published: &Published) {
        for named in published.weights() {
            let history = self.weights.entry(named.model).or_default();
            history.record(now, named.version, Duration::ZERO);
        }
    }

    /// Records the ages of desired weights at `now`, as received from another host.
    pub(super) fn record_weights_ages(&mut self, now: MonotonicTime, ages: &[WeightsAge]) {
        for received in ages {
            let history = self.weights.entry(received.model.clone()).or_default();
            history.record(now, received.version, received.age);
        }
    }

    /// Sets the engines' states as recorded by the weights rollout.
    pub(super) fn set_engines(&mut self, engines: Vec<EngineUpdate>) {
        if self.engines.set(self.changes + 1, engines) {
            self.changes += 1;
        }
    }

    /// Clears the engines' states, as after a change of leader.
    pub(super) fn clear_engines(&mut self) {
        self.engines.clear();
    }

    /// Forgets what crashed endpoints; routers tell it to the next leader.
    pub(super) fn clear_crashes(&mut self) {
        self.crash_detector = Detector::default();
    }

    /// Forgets the speeds of endpoints; routers keep the last list until the next leader's.
    pub(super) fn clear_slowness(&mut self) {
        self.slowness = SlownessEstimator::default();
        self.slowness_lists = 0;
    }

    /// Returns the list of slow endpoints, unless there is none yet or the follower has it.
    fn slowness_list(
        &mut self,
        now: MonotonicTime,
        term: Term,
        seen: ViewVersion,
    ) -> Option<SlownessList> {
        if self.slowness.update(now) {
            self.slowness_lists += 1;
        }
        let version = ViewVersion { term, changes: self.slowness_lists };
        if self.slowness_lists == 0 || seen == version {
            return None;
        }
        Some(SlownessList { version, endpoints: self.slowness.published().copied().collect() })
    }

    /// Returns the load that all routers report to have placed on endpoints.
    pub(super) fn loads(&mut self, now: MonotonicTime) -> Vec<SentLoad> {
        self.loads.totals(now)
    }

    /// Returns the view for `follower`, without the content and prompts that it has seen.
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
            engines: self.engines.since(same_leader.then_some(seen.version.changes)),
            loads: self.loads.totals(now),
            leaving: self.leaving_set.leaving(now),
            sent: sent.unwrap_or_default(),
            next_sent: self.sent.next(),
            suspects: self.crash_detector.suspects(),
            quarantined: self.crash_detector.quarantined(now),
            slowness: self.slowness_list(now, term, seen.slowness),
            quota: self.quotas.view(if same_leader { seen.next_quota } else { 0 }),
        }
    }

    fn weight_ages(&self, now: MonotonicTime) -> Vec<WeightsAge> {
        self.weights.iter().flat_map(|(model, history)| history.ages(model, now)).collect()
    }

    fn version(&self, term: Term) -> ViewVersion {
        ViewVersion { term, changes: self.changes }
    }
}
