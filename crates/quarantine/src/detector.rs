use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use base::MonotonicTime;

use crate::{Crash, Quarantined, RequestFingerprint, Survival, Suspect, hearings::Hearings};

/// Engines that a suspect must have crashed if none has ever answered it.
const MIN_CRASHES: usize = 3;

/// Engines that it must have crashed since one last answered it.
const MIN_CRASHES_AFTER_SURVIVAL: usize = 8;

/// Time for which crashes and survivals of parts count.
const PART_RETENTION: Duration = Duration::from_secs(60);

/// Time for which crashes and survivals of requests count; a request may come again rarely.
const REQUEST_RETENTION: Duration = Duration::from_secs(300);

/// Time for which a suspect stays in quarantine.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// Largest number of crashes that are kept: of requests with shared parts that had begun, of those
/// that had waited, and of the others.
const MAX_CRASHES: usize = 256;

/// Largest number of engines whose end is known to be explained.
const MAX_EXPLAINED: usize = 512;

/// Longest time for which the evidence isn't weighed again though no report came; that of parts
/// expires meanwhile.
const MAX_REVIEW_INTERVAL: Duration = Duration::from_secs(1);

/// Puts the reports of all routers together and finds the parts and requests that crash engines.
///
/// `E` identifies an incarnation of an engine or another endpoint.
#[derive(Clone, Debug)]
pub struct Detector<E> {
    /// Crashes that no quarantined suspect explains, oldest first.
    crashes: VecDeque<RecordedCrash<E>>,
    /// Engines that crashed on a quarantined suspect, oldest first; what else they lost says nothing.
    explained: VecDeque<(MonotonicTime, E)>,
    /// When a suspect was last answered.
    survived: BTreeMap<Suspect, MonotonicTime>,
    quarantined: BTreeMap<Suspect, MonotonicTime>,
    hearings: Hearings,
    /// When the evidence is due to be weighed again; nothing if it has changed since.
    next_review: Option<MonotonicTime>,
}

#[derive(Clone, Debug)]
struct RecordedCrash<E> {
    at: MonotonicTime,
    crash: Crash<E>,
}

impl<E> RecordedCrash<E> {
    fn ended(&self) -> MonotonicTime {
        self.at.saturating_sub(self.crash.age)
    }

    /// Returns when the request was sent, if it may not have begun to run.
    fn waiting_since(&self) -> Option<MonotonicTime> {
        self.crash.waited.map(|waited| self.ended().saturating_sub(waited))
    }

    /// Returns whether the crash counts among the same crashes up to the bounds on their number.
    fn is_alike(&self, crash: &Crash<E>) -> bool {
        let kind = |crash: &Crash<E>| (crash.parts.is_empty(), crash.waited.is_some());
        kind(&self.crash) == kind(crash)
    }
}

/// A suspect that was found to crash engines, and the evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The part or request, which is in quarantine now.
    pub suspect: Suspect,
    /// Number of engines that crashed on it.
    pub engines: usize,
    /// Time since the first of these crashes.
    pub first_crash_age: Duration,
}

/// The crashes since a suspect was last answered.
#[derive(Debug)]
struct Evidence<E> {
    /// The engines that count, by the request that each of them lost.
    engines: BTreeMap<RequestFingerprint, BTreeSet<E>>,
    /// Engines that lost a request which had waited there since before the last end that counts.
    simultaneous: BTreeSet<E>,
    /// The last end that counts.
    counted_until: MonotonicTime,
    first_crash: MonotonicTime,
    last_crash: MonotonicTime,
    /// Largest number of suspects of the same kind before this one in a request; suspects further
    /// back stand in fewer requests.
    depth: usize,
}

/// What a suspect is, in the order of precedence: fewer callers need the later ones, but for the
/// content, which all that ask for the same with other prompts need.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Cause {
    /// The content of a request that came with another prompt each time.
    Content,
    /// A part of prompts.
    Part,
    /// A request that came again as it was.
    SameRequest,
}

/// How close a suspect is to its quarantine; greater is closer.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    missing_crashes: Reverse<usize>,
    weight: usize,
    last_crash: MonotonicTime,
}

impl<E: Clone + Ord> Evidence<E> {
    fn new(first_crash: MonotonicTime) -> Self {
        Self {
            engines: BTreeMap::new(),
            simultaneous: BTreeSet::new(),
            counted_until: MonotonicTime::ZERO,
            first_crash,
            last_crash: first_crash,
            depth: 0,
        }
    }

    /// Counts a crash; crashes come in the order of the engines' ends.
    ///
    /// Engines that end together, as in a data centre without power, take all that waits there with
    /// them. A request that waited counts only if it was sent after the last end that counts.
    fn record(&mut self, recorded: &RecordedCrash<E>) {
        let engine = recorded.crash.engine.clone();
        if recorded.waiting_since().is_some_and(|since| since < self.counted_until) {
            self.simultaneous.insert(engine);
            return;
        }
        self.engines.entry(recorded.crash.request.with_prompt).or_default().insert(engine);
        self.counted_until = recorded.ended();
        self.first_crash = recorded.at.min(self.first_crash);
        self.last_crash = recorded.at.max(self.last_crash);
    }

    fn all_engines(&self) -> BTreeSet<&E> {
        self.engines.values().flatten().collect()
    }

    /// Counts the crashes that speak against the suspect.
    fn weight(&self, suspect: Suspect) -> usize {
        self.weight_of_itself(suspect).max(self.weight_by_request())
    }

    /// Counts the engines that lost the request itself, with the same prompt or without one.
    fn weight_of_itself(&self, suspect: Suspect) -> usize {
        match suspect {
            Suspect::Part(_) => 0,
            Suspect::Request(request) => self.engines.get(&request).map_or(0, BTreeSet::len),
        }
    }

    /// Counts all engines that one request ended once: the request itself may be the cause.
    fn weight_by_request(&self) -> usize {
        let most = self.engines.values().map(BTreeSet::len).max();
        most.map_or(0, |most| 1 + self.all_engines().len() - most)
    }

    /// Returns what the crashes show the suspect to be.
    fn cause(&self, suspect: Suspect) -> Cause {
        if !suspect.is_request() {
            Cause::Part
        } else if self.weight_by_request() <= self.weight_of_itself(suspect) {
            Cause::SameRequest
        } else {
            Cause::Content
        }
    }

    /// Returns whether different requests ended all engines of `other`, and further ones.
    fn explains_more_than(&self, other: &Self) -> bool {
        let engines = self.lost_engines();
        let others = other.lost_engines();
        others.is_subset(&engines) && others.len() < self.weight_by_request()
    }

    /// Returns the engines that lost the suspect, whether they count or not.
    fn lost_engines(&self) -> BTreeSet<&E> {
        self.engines.values().flatten().chain(&self.simultaneous).collect()
    }

    fn shares_engines(&self, other: &Self) -> bool {
        let others = other.all_engines();
        self.engines.values().flatten().any(|engine| others.contains(engine))
    }
}

impl<E> Default for Detector<E> {
    fn default() -> Self {
        Self {
            crashes: VecDeque::new(),
            explained: VecDeque::new(),
            survived: BTreeMap::new(),
            quarantined: BTreeMap::new(),
            hearings: Hearings::default(),
            next_review: None,
        }
    }
}

impl<E: Clone + Ord> Detector<E> {
    /// Records a crash that a router reported at `now`.
    pub fn record_crash(&mut self, now: MonotonicTime, crash: &Crash<E>) {
        if crash.suspects().any(|suspect| self.quarantined.contains_key(&suspect)) {
            self.next_review = None;
            self.record_explained(now, crash.engine.clone());
            self.crashes.retain(|recorded| recorded.crash.engine != crash.engine);
            return;
        }
        if self.is_explained(&crash.engine) {
            return;
        }
        let is_alike = |recorded: &RecordedCrash<E>| recorded.is_alike(crash);
        if self.crashes.iter().filter(|recorded| is_alike(recorded)).count() == MAX_CRASHES {
            let oldest = self.crashes.iter().position(is_alike);
            oldest.map(|oldest| self.crashes.remove(oldest));
        }
        self.next_review = None;
        crash.suspects().for_each(|suspect| self.hearings.open(now, suspect));
        self.crashes.push_back(RecordedCrash { at: now, crash: crash.clone() });
    }

    /// Records a survival that a router reported at `now`; it ends the suspect's quarantine.
    pub fn record_survival(&mut self, now: MonotonicTime, survival: Survival) {
        let at = now.saturating_sub(survival.age);
        let latest = self.survived.entry(survival.suspect).or_insert(at);
        *latest = at.max(*latest);
        if self.quarantined.get(&survival.suspect).is_some_and(|since| *since < at) {
            self.quarantined.remove(&survival.suspect);
            self.next_review = None;
        }
        if self.hearings.is_open(survival.suspect) {
            self.next_review = None;
        }
    }

    /// Adopts a quarantine that a router knows from an earlier leader.
    pub fn adopt(&mut self, now: MonotonicTime, known: Quarantined) {
        let since = now.saturating_sub(known.age);
        let ended = self.survived.get(&known.suspect).is_some_and(|at| since < *at);
        if !ended && known.age < QUARANTINE_TIME {
            self.quarantined.entry(known.suspect).or_insert_with(|| {
                self.hearings.close(known.suspect);
                self.next_review = None;
                since
            });
        }
    }

    /// Quarantines the suspect that explains most crashes, if the evidence is sufficient.
    ///
    /// A request that came again as it was comes first, as fewest callers need it, then a part, then
    /// what requests have in common beside their prompts.
    pub fn update(&mut self, now: MonotonicTime) -> Option<Finding> {
        self.remove_expired(now);
        if self.next_review.is_some_and(|due| now < due) {
            return None;
        }
        let all = self.evidence(now);
        let ranked = self.ranked(&all);
        self.hearings.replace(now, ranked.iter().map(|(_, suspect)| *suspect));
        let sufficient = ranked.iter().take_while(|(rank, _)| rank.missing_crashes.0 == 0);
        let sufficient: BTreeMap<_, _> =
            sufficient.map(|(_, suspect)| (*suspect, &all[suspect])).collect();
        let hearing_end = |suspect: Suspect, evidence: &Evidence<E>| {
            self.hearings.end(suspect, evidence.first_crash)
        };
        let hearing_ends = sufficient.iter().filter_map(|(suspect, of)| hearing_end(*suspect, of));
        let next_end = hearing_ends.filter(|end| now < *end).min();
        let latest = now + MAX_REVIEW_INTERVAL;
        self.next_review = Some(next_end.map_or(latest, |end| end.min(latest)));
        let ripe = sufficient.iter().filter(|(suspect, evidence)| {
            hearing_end(**suspect, evidence).is_some_and(|end| end <= now)
                && !self.may_be_due_to_a_part(**suspect, evidence, &sufficient)
        });
        let (&suspect, found) = ripe.max_by_key(|(suspect, evidence)| {
            let has_survived = self.survived.contains_key(suspect);
            let engines = evidence.all_engines().len();
            (Reverse(has_survived), evidence.cause(**suspect), engines, evidence.depth)
        })?;
        let finding = Finding {
            suspect,
            engines: found.all_engines().len(),
            first_crash_age: now.saturating_since(found.first_crash),
        };
        let engines: BTreeSet<E> = found.lost_engines().into_iter().cloned().collect();
        self.next_review = None;
        self.quarantined.insert(suspect, now);
        self.hearings.close(suspect);
        self.remove_explained(suspect, &engines);
        engines.into_iter().for_each(|engine| self.record_explained(now, engine));
        Some(finding)
    }

    /// Returns the suspects whose survivals routers should report.
    pub fn suspects(&self) -> Vec<Suspect> {
        let quarantined = self.quarantined.keys().copied();
        self.hearings.suspects().chain(quarantined).collect()
    }

    /// Returns the suspects that are kept from the engines.
    pub fn quarantined(&self, now: MonotonicTime) -> Vec<Quarantined> {
        let quarantined = self.quarantined.iter();
        quarantined
            .map(|(&suspect, since)| Quarantined { suspect, age: now.saturating_since(*since) })
            .collect()
    }

    /// Returns whether a never-answered part may explain the crashes of a request better.
    ///
    /// For a content that is any part of the same engines. A request that came again may have been a
    /// bystander each time where a part ended all of its engines and others too.
    fn may_be_due_to_a_part(
        &self,
        suspect: Suspect,
        evidence: &Evidence<E>,
        sufficient: &BTreeMap<Suspect, &Evidence<E>>,
    ) -> bool {
        let explains = |of_part: &Evidence<E>| match evidence.cause(suspect) {
            Cause::Part => false,
            Cause::Content => of_part.shares_engines(evidence),
            Cause::SameRequest => of_part.explains_more_than(evidence),
        };
        sufficient.iter().any(|(other, of_other)| {
            !other.is_request() && !self.survived.contains_key(other) && explains(of_other)
        })
    }

    /// Returns all suspects, those closest to their quarantine first.
    fn ranked(&self, all: &BTreeMap<Suspect, Evidence<E>>) -> Vec<(Rank, Suspect)> {
        let rank = |(&suspect, evidence): (&Suspect, &Evidence<E>)| {
            let weight = evidence.weight(suspect);
            let missing_crashes = Reverse(self.required(suspect).saturating_sub(weight));
            (Rank { missing_crashes, weight, last_crash: evidence.last_crash }, suspect)
        };
        let mut ranked: Vec<_> = all.iter().map(rank).collect();
        ranked.sort_unstable_by(|one, other| other.cmp(one));
        ranked
    }

    /// Returns the number of crashes that quarantine a suspect.
    fn required(&self, suspect: Suspect) -> usize {
        match self.survived.contains_key(&suspect) {
            true => MIN_CRASHES_AFTER_SURVIVAL,
            false => MIN_CRASHES,
        }
    }

    fn evidence(&self, now: MonotonicTime) -> BTreeMap<Suspect, Evidence<E>> {
        let mut all = BTreeMap::new();
        let mut by_end: Vec<_> = self.crashes.iter().collect();
        by_end.sort_by_key(|recorded| recorded.ended());
        for recorded in by_end {
            let RecordedCrash { at, crash } = recorded;
            let parts = crash.parts.iter().copied().map(Suspect::Part).enumerate();
            let requests = crash.request.iter().map(Suspect::Request).enumerate();
            for (depth, suspect) in parts.chain(requests) {
                let survived = self.survived.get(&suspect).is_some_and(|survived| at <= survived);
                let expired = retention(suspect) <= now.saturating_since(*at);
                if survived || expired || self.quarantined.contains_key(&suspect) {
                    continue;
                }
                let evidence = all.entry(suspect).or_insert_with(|| Evidence::new(*at));
                evidence.record(recorded);
                evidence.depth = depth.max(evidence.depth);
            }
        }
        all
    }

    /// Removes the crashes of a quarantined suspect's engines.
    ///
    /// One crash of a request stays, since a part of its prompt may be the cause, and so do those of
    /// requests that ended as many of the engines.
    fn remove_explained(&mut self, suspect: Suspect, engines: &BTreeSet<E>) {
        let mut lost: BTreeMap<RequestFingerprint, BTreeSet<&E>> = BTreeMap::new();
        for RecordedCrash { crash, .. } in &self.crashes {
            if engines.contains(&crash.engine) {
                lost.entry(crash.request.with_prompt).or_default().insert(&crash.engine);
            }
        }
        let rivals: BTreeSet<_> = lost
            .into_iter()
            .filter(|(_, of_request)| of_request.len() == engines.len())
            .map(|(request, _)| request)
            .collect();
        let mut is_first = suspect.is_request();
        self.crashes.retain(|RecordedCrash { crash, .. }| {
            if crash.suspects().any(|other| other == suspect) {
                return std::mem::take(&mut is_first);
            }
            let is_rival = suspect.is_request() && rivals.contains(&crash.request.with_prompt);
            is_rival || !engines.contains(&crash.engine)
        });
    }

    fn record_explained(&mut self, now: MonotonicTime, engine: E) {
        if self.is_explained(&engine) {
            return;
        }
        if self.explained.len() == MAX_EXPLAINED {
            self.explained.pop_front();
        }
        self.explained.push_back((now, engine));
    }

    fn is_explained(&self, engine: &E) -> bool {
        self.explained.iter().any(|(_, explained)| explained == engine)
    }

    fn remove_expired(&mut self, now: MonotonicTime) {
        let is_recent = |at: MonotonicTime, max_age| now.saturating_since(at) < max_age;
        let entries = self.entries();
        self.crashes.retain(|recorded| {
            let survived = |request| {
                let at = self.survived.get(&Suspect::Request(request));
                at.is_some_and(|survived| recorded.at <= *survived)
            };
            let counts_for_requests = !recorded.crash.request.iter().all(survived);
            let max_age = if counts_for_requests { REQUEST_RETENTION } else { PART_RETENTION };
            is_recent(recorded.at, max_age)
        });
        self.explained.retain(|(at, _)| is_recent(*at, REQUEST_RETENTION));
        self.survived.retain(|suspect, at| is_recent(*at, retention(*suspect)));
        self.quarantined.retain(|_, since| is_recent(*since, QUARANTINE_TIME));
        if self.entries() != entries {
            self.next_review = None;
        }
    }

    /// Returns the number of all that expires.
    fn entries(&self) -> usize {
        self.crashes.len() + self.explained.len() + self.survived.len() + self.quarantined.len()
    }
}

/// Returns for how long crashes and survivals of a suspect count.
fn retention(suspect: Suspect) -> Duration {
    match suspect {
        Suspect::Part(_) => PART_RETENTION,
        Suspect::Request(_) => REQUEST_RETENTION,
    }
}
