//! A host's evidence on what crashes endpoints, and what is kept from them.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    rc::Rc,
    time::Duration,
};

use base::{MonotonicTime, Term};
use member::IncarnationKey;
use prefix::PartId;
use quarantine::{Crash, Quarantined, RequestFingerprints, Survivals, Suspect};
use wire::leader::{CrashReport, PublishedView};

use super::target::Target;

/// Largest number of crashes that wait to be reported, of each kind: a burst of one kind leaves room
/// for the others.
const MAX_UNREPORTED: usize = 64;

/// Largest number of reported crashes that are kept for the next leader.
const MAX_REPORTED: usize = 3 * MAX_UNREPORTED;

/// Time from the end for which they are kept.
const REPORTED_RETENTION: Duration = Duration::from_secs(60);

/// Time after a lost connection in which a sign of life shows that its endpoint has not ended; a
/// running one's next announcement mostly arrives in it, and an ended one is not back.
const CONFIRMATION_TIME: Duration = Duration::from_millis(1_500);

/// Time in which what an endpoint sent before its end still arrives.
const DELIVERY_TIME: Duration = Duration::from_millis(100);

/// Whether an endpoint that ended connections still runs, as new connections to it show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LivenessCheck {
    /// Each connection was refused: no process listens there.
    Ended,
    /// Each connection was accepted.
    Running,
    /// Connections timed out, or some were refused and some accepted.
    Inconclusive,
}

impl fmt::Display for LivenessCheck {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ended => "ended",
            Self::Running => "running",
            Self::Inconclusive => "inconclusive",
        })
    }
}

/// A host's evidence on parts and requests that crash endpoints, and the leader's findings.
#[derive(Default)]
pub(super) struct CrashEvidence {
    survivals: Survivals,
    unconfirmed: Vec<UnconfirmedCrash>,
    unreported: Vec<RecordedCrash>,
    /// The crashes that a leader knows, oldest first; the next one needs them too.
    reported: VecDeque<RecordedCrash>,
    /// The term of the leader that knows them.
    term: Term,
    suspects: Vec<Suspect>,
    quarantined_since: BTreeMap<Suspect, MonotonicTime>,
}

/// A crash, without its age.
#[derive(Clone, PartialEq, Eq)]
struct RecordedCrash {
    ended: MonotonicTime,
    crash: Crash<IncarnationKey>,
}

impl RecordedCrash {
    fn of_report(now: MonotonicTime, crash: Crash<IncarnationKey>) -> Self {
        let ended = now.saturating_sub(crash.age);
        Self { ended, crash: Crash { age: Duration::ZERO, ..crash } }
    }

    fn to_report(&self, now: MonotonicTime) -> Crash<IncarnationKey> {
        Crash { age: now.saturating_since(self.ended), ..self.crash.clone() }
    }
}

/// What an endpoint lost as it ended.
pub(super) struct LostRequest {
    pub request: RequestFingerprints,
    /// The parts of its prompt that other requests may share.
    pub parts: Vec<PartId>,
    /// Time for which it had waited for the head of its response, if none had come.
    pub waited: Option<Duration>,
}

/// The end of a connection, unless the endpoint only reset it.
struct UnconfirmedCrash {
    at: MonotonicTime,
    target: Rc<Target>,
    lost: LostRequest,
    /// The outcome of the endpoint's check, once it is known.
    check: Option<LivenessCheck>,
}

impl UnconfirmedCrash {
    /// Returns whether the endpoint has ended; `None` if that isn't known yet.
    ///
    /// A heartbeat that was sent before the end may arrive after it, so a check of the endpoint goes
    /// before its announcements.
    fn has_ended(&self, now: MonotonicTime) -> Option<bool> {
        let has_shown_since = |sign: MonotonicTime| self.at + DELIVERY_TIME < sign;
        match self.check {
            Some(LivenessCheck::Running) => Some(false),
            Some(LivenessCheck::Ended) => Some(!has_shown_since(self.target.answered_at())),
            Some(LivenessCheck::Inconclusive) | None => {
                let is_due = CONFIRMATION_TIME <= now.saturating_since(self.at);
                is_due.then(|| !has_shown_since(self.target.alive_at()))
            }
        }
    }
}

impl CrashEvidence {
    /// Records that an engine ended at `now` as it began to answer a request.
    pub(super) fn record_crash(&mut self, now: MonotonicTime, target: &Target, lost: LostRequest) {
        self.push(recorded_crash(now, target, lost));
    }

    /// Records that an endpoint ended the connection of a request that it may have begun to run.
    ///
    /// Returns whether to check if the endpoint still runs; one check at a time is enough.
    pub(super) fn record_lost_connection(
        &mut self,
        now: MonotonicTime,
        target: &Rc<Target>,
        lost: LostRequest,
    ) -> bool {
        let has_waited = lost.waited.is_some();
        let is_alike = |other: &&UnconfirmedCrash| other.lost.waited.is_some() == has_waited;
        if MAX_UNREPORTED <= self.unconfirmed.iter().filter(is_alike).count() {
            return false;
        }
        let is_checked = self.unchecked(target).next().is_some();
        let target = Rc::clone(target);
        self.unconfirmed.push(UnconfirmedCrash { at: now, target, lost, check: None });
        !is_checked
    }

    /// Records the outcome of an endpoint's check for all connections that it has ended; returns
    /// their number.
    pub(super) fn record_check(&mut self, target: &Rc<Target>, check: LivenessCheck) -> usize {
        self.unchecked(target).map(|lost| lost.check = Some(check)).count()
    }

    fn unchecked(&mut self, target: &Rc<Target>) -> impl Iterator<Item = &mut UnconfirmedCrash> {
        let is_unchecked =
            |lost: &UnconfirmedCrash| Rc::ptr_eq(&lost.target, target) && lost.check.is_none();
        self.unconfirmed.iter_mut().filter(move |lost| is_unchecked(lost))
    }

    /// Records that an endpoint has answered a request, with these parts and fingerprints.
    pub(super) fn record_survival(
        &mut self,
        now: MonotonicTime,
        survivors: impl Iterator<Item = Suspect>,
    ) {
        self.survivals.record(now, survivors);
    }

    /// Returns the first of these suspects that is quarantined.
    pub(super) fn quarantined_among(
        &self,
        mut suspects: impl Iterator<Item = Suspect>,
    ) -> Option<Suspect> {
        suspects.find(|suspect| self.quarantined_since.contains_key(suspect))
    }

    /// Takes the evidence for the next request to the leader; the end of an endpoint that has left
    /// by itself is none.
    pub(super) fn take_report(
        &mut self,
        now: MonotonicTime,
        has_left: impl Fn(&Target) -> bool,
    ) -> CrashReport {
        self.confirm(now, has_left);
        let quarantined = self.quarantined_since.iter();
        let unreported = std::mem::take(&mut self.unreported);
        CrashReport {
            crashes: unreported.iter().map(|crash| crash.to_report(now)).collect(),
            survivals: self.survivals.among(now, &self.suspects),
            quarantined: quarantined
                .map(|(&suspect, since)| Quarantined { suspect, age: now.saturating_since(*since) })
                .collect(),
        }
    }

    /// Restores the crashes of a report made at `reported` that didn't reach the leader.
    pub(super) fn restore(&mut self, reported: MonotonicTime, report: CrashReport) {
        let crashes = report.crashes.into_iter();
        crashes.for_each(|crash| self.push(RecordedCrash::of_report(reported, crash)));
    }

    /// Applies the leader's findings in the response to a report made at `reported`.
    pub(super) fn apply_view(
        &mut self,
        now: MonotonicTime,
        reported: MonotonicTime,
        report: CrashReport,
        view: &PublishedView,
    ) {
        let crashes = report.crashes.into_iter();
        let crashes = crashes.map(|crash| RecordedCrash::of_report(reported, crash));
        self.record_reported(now, crashes, view.version.term);
        self.suspects.clone_from(&view.suspects);
        let quarantined = view.quarantined.iter();
        let since: BTreeMap<_, _> =
            quarantined.map(|known| (known.suspect, now.saturating_sub(known.age))).collect();
        for suspect in since.keys().filter(|suspect| !self.quarantined_since.contains_key(suspect))
        {
            log::info!(suspect:%; "quarantined by the leader");
        }
        for suspect in self.quarantined_since.keys().filter(|suspect| !since.contains_key(suspect))
        {
            log::info!(suspect:%; "no longer quarantined");
        }
        self.quarantined_since = since;
    }

    /// Keeps the crashes that the leader of this term knows now, and reports the earlier ones again
    /// if it is new.
    fn record_reported(
        &mut self,
        now: MonotonicTime,
        crashes: impl Iterator<Item = RecordedCrash>,
        term: Term,
    ) {
        self.reported.retain(|known| now.saturating_since(known.ended) < REPORTED_RETENTION);
        if std::mem::replace(&mut self.term, term) != term {
            let earlier: Vec<_> = self.reported.iter().cloned().collect();
            earlier.into_iter().for_each(|crash| self.push(crash));
        }
        for crash in crashes {
            if self.reported.contains(&crash) {
                continue;
            }
            if self.reported.len() == MAX_REPORTED {
                self.reported.pop_front();
            }
            self.reported.push_back(crash);
        }
    }

    /// Moves lost connections to the report whose endpoints have ended.
    fn confirm(&mut self, now: MonotonicTime, has_left: impl Fn(&Target) -> bool) {
        for lost in std::mem::take(&mut self.unconfirmed) {
            match lost.has_ended(now) {
                None => self.unconfirmed.push(lost),
                Some(true) if !has_left(&lost.target) => {
                    self.push(recorded_crash(lost.at, &lost.target, lost.lost));
                }
                Some(_) => {}
            }
        }
    }

    fn push(&mut self, recorded: RecordedCrash) {
        let kind = |recorded: &RecordedCrash| {
            (recorded.crash.parts.is_empty(), recorded.crash.waited.is_some())
        };
        let alike = self.unreported.iter().filter(|other| kind(other) == kind(&recorded));
        if alike.count() < MAX_UNREPORTED {
            self.unreported.push(recorded);
        }
    }
}

fn recorded_crash(ended: MonotonicTime, target: &Target, lost: LostRequest) -> RecordedCrash {
    let engine = IncarnationKey::new(&target.endpoint, target.incarnation);
    let LostRequest { request, parts, waited } = lost;
    RecordedCrash { ended, crash: Crash { engine, request, parts, age: Duration::ZERO, waited } }
}
