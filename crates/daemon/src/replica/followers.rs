//! What the leader tells the hosts that follow it, and what they tell it.

use std::{collections::BTreeMap, time::Duration};

use base::{HostId, ModelId, MonotonicTime, Term};
use fleet::{EngineUpdate, Published, WeightsAge, WeightsHistory};
use member::Leavers;
use prefix::SentPromptLog;
use route::{LoadAggregator, SentLoad};
use wire::leader::{Follow, PublishedView, Seen, ViewVersion};

use super::waiting::Reply;

/// Longest time for which a question for what is published is held.
///
/// Shorter than the time for which the follower waits.
const MAX_HOLD: Duration = Duration::from_millis(400);

/// Time for which a router's report of what it has under way counts.
const LOAD_LIFETIME: Duration = Duration::from_secs(1);

/// Prompts that are kept to be told to routers; more than come in between two questions.
const MAX_SENT: usize = 4096;

/// Questions that are held until there is news, and what is told in answer.
pub(super) struct Followers {
    held: Vec<Held>,
    engines: Vec<EngineUpdate>,
    loads: LoadAggregator,
    sent: SentPromptLog,
    leavers: Leavers,
    /// When weights were named, as far as this host was there or was told.
    weights: BTreeMap<ModelId, WeightsHistory>,
    /// How often what followers are told at once has changed.
    changes: u64,
}

/// A held question.
pub(super) struct Held {
    pub question: Follow,
    pub reply: Reply,
    until: MonotonicTime,
}

impl Default for Followers {
    fn default() -> Self {
        Self {
            held: Vec::new(),
            engines: Vec::new(),
            loads: LoadAggregator::new(LOAD_LIFETIME),
            sent: SentPromptLog::new(MAX_SENT),
            leavers: Leavers::default(),
            weights: BTreeMap::new(),
            changes: 0,
        }
    }
}

impl Followers {
    /// Takes a question with what its sender tells.
    pub(super) fn hold(&mut self, now: MonotonicTime, mut question: Follow, reply: Reply) {
        self.loads.report(now, question.from.clone(), std::mem::take(&mut question.loads));
        self.sent.extend(&question.from, std::mem::take(&mut question.sent));
        if self.leavers.hear(now, &question.leaving) {
            self.changes += 1;
        }
        let until = now + question.hold.min(MAX_HOLD);
        self.held.push(Held { question, reply, until });
    }

    /// Takes out the questions that saw something else or were held long enough; all of them once
    /// this host leads no more.
    pub(super) fn take_due(&mut self, now: MonotonicTime, term: Term, leads: bool) -> Vec<Held> {
        let version = self.version(term);
        let due =
            |held: &Held| !leads || held.question.seen.version != version || held.until <= now;
        let (due, held) = std::mem::take(&mut self.held).into_iter().partition(due);
        self.held = held;
        due
    }

    /// Notes that what is published has changed.
    pub(super) fn note_change(&mut self) {
        self.changes += 1;
    }

    /// Notes which weights are named at `now`; those not known yet were named then at the latest.
    pub(super) fn note_named(&mut self, now: MonotonicTime, published: &Published) {
        for named in published.weights() {
            let history = self.weights.entry(named.model).or_default();
            history.record(now, named.version, Duration::ZERO);
        }
    }

    /// Takes how long ago weights were named at `now`, as another host remembers it.
    pub(super) fn note_ages(&mut self, now: MonotonicTime, ages: &[WeightsAge]) {
        for told in ages {
            let history = self.weights.entry(told.model.clone()).or_default();
            history.record(now, told.version, told.age);
        }
    }

    /// Takes what the rollout of weights knows of engines.
    pub(super) fn set_engines(&mut self, engines: Vec<EngineUpdate>) {
        if self.engines != engines {
            self.engines = engines;
            self.changes += 1;
        }
    }

    /// Forgets what is known of engines, as after another host has led.
    pub(super) fn forget_engines(&mut self) {
        self.engines.clear();
    }

    /// Returns what all routers have under way.
    pub(super) fn loads(&mut self, now: MonotonicTime) -> Vec<SentLoad> {
        self.loads.totals(now)
    }

    /// Returns what `asker` is told, given what it has seen.
    pub(super) fn view(
        &mut self,
        now: MonotonicTime,
        term: Term,
        published: &Published,
        seen: &Seen,
        asker: Option<&HostId>,
    ) -> PublishedView {
        let publication = published.publication();
        let is_held = seen.number == publication.number;
        let same_leader = seen.version.term == term;
        let first = if same_leader { seen.next_sent } else { self.sent.next() };
        let sent = asker.map(|asker| self.sent.since(first, asker).cloned().collect());
        PublishedView {
            version: self.version(term),
            number: publication.number,
            content: (!is_held).then(|| publication.content.clone()),
            weights: self.weight_ages(now),
            engines: self.engines.clone(),
            loads: self.loads.totals(now),
            leaving: self.leavers.lives(now),
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
