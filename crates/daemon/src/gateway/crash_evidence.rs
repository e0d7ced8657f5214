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

/// Largest number of crashes that wait to be reported, of those with parts and of the others.
const MAX_UNREPORTED: usize = 64;

/// Largest number of reported crashes that are kept for the next leader.
const MAX_REPORTED: usize = 2 * MAX_UNREPORTED;

/// Time for which they are kept; a leader counts them from their arrival.
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
    unreported: Vec<Crash<IncarnationKey>>,
    /// The crashes that a leader knows, oldest first; the next one needs them too.
    reported: VecDeque<ReportedCrash>,
    /// The term of the leader that knows them.
    term: Term,
    suspects: Vec<Suspect>,
    quarantined_since: BTreeMap<Suspect, MonotonicTime>,
}

struct ReportedCrash {
    at: MonotonicTime,
    crash: Crash<IncarnationKey>,
}

/// The end of a connection, unless the endpoint only reset it.
struct UnconfirmedCrash {
    at: MonotonicTime,
    target: Rc<Target>,
    request: RequestFingerprints,
    parts: Vec<PartId>,
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
    /// Records that an engine ended as it began to answer a prompt with these shared parts.
    pub(super) fn record_crash(
        &mut self,
        target: &Target,
        request: RequestFingerprints,
        parts: Vec<PartId>,
    ) {
        self.push(crash(target, request, parts));
    }

    /// Records that an endpoint ended the connection of a request that it may have begun to run.
    ///
    /// Returns whether to check if the endpoint still runs; one check at a time is enough.
    pub(super) fn record_lost_connection(
        &mut self,
        now: MonotonicTime,
        target: &Rc<Target>,
        request: RequestFingerprints,
        parts: Vec<PartId>,
    ) -> bool {
        if MAX_UNREPORTED <= self.unconfirmed.len() {
            return false;
        }
        let is_checked = self.unchecked(target).next().is_some();
        let target = Rc::clone(target);
        let lost = UnconfirmedCrash { at: now, target, request, parts, check: None };
        self.unconfirmed.push(lost);
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
        CrashReport {
            crashes: std::mem::take(&mut self.unreported),
            survivals: self.survivals.among(now, &self.suspects),
            quarantined: quarantined
                .map(|(&suspect, since)| Quarantined { suspect, age: now.saturating_since(*since) })
                .collect(),
        }
    }

    /// Restores the crashes of a report that didn't reach the leader.
    pub(super) fn restore(&mut self, report: CrashReport) {
        report.crashes.into_iter().for_each(|crash| self.push(crash));
    }

    /// Applies the leader's findings in the response to a report.
    pub(super) fn apply_view(
        &mut self,
        now: MonotonicTime,
        report: CrashReport,
        view: &PublishedView,
    ) {
        self.record_reported(now, report.crashes, view.version.term);
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
        crashes: Vec<Crash<IncarnationKey>>,
        term: Term,
    ) {
        self.reported.retain(|known| now.saturating_since(known.at) < REPORTED_RETENTION);
        if std::mem::replace(&mut self.term, term) != term {
            let earlier: Vec<_> = self.reported.iter().map(|known| known.crash.clone()).collect();
            earlier.into_iter().for_each(|crash| self.push(crash));
        }
        for crash in crashes {
            if self.reported.iter().any(|known| known.crash == crash) {
                continue;
            }
            if self.reported.len() == MAX_REPORTED {
                self.reported.pop_front();
            }
            self.reported.push_back(ReportedCrash { at: now, crash });
        }
    }

    /// Moves lost connections to the report whose endpoints have ended.
    fn confirm(&mut self, now: MonotonicTime, has_left: impl Fn(&Target) -> bool) {
        for lost in std::mem::take(&mut self.unconfirmed) {
            match lost.has_ended(now) {
                None => self.unconfirmed.push(lost),
                Some(true) if !has_left(&lost.target) => {
                    self.push(crash(&lost.target, lost.request, lost.parts));
                }
                Some(_) => {}
            }
        }
    }

    fn push(&mut self, crash: Crash<IncarnationKey>) {
        let is_alike =
            |other: &&Crash<IncarnationKey>| other.parts.is_empty() == crash.parts.is_empty();
        if self.unreported.iter().filter(is_alike).count() < MAX_UNREPORTED {
            self.unreported.push(crash);
        }
    }
}

fn crash(
    target: &Target,
    request: RequestFingerprints,
    parts: Vec<PartId>,
) -> Crash<IncarnationKey> {
    Crash { engine: IncarnationKey::new(&target.endpoint, target.incarnation), request, parts }
}
