//! A host's evidence on what crashes endpoints, and what is kept from them.

use std::{
    collections::{BTreeMap, VecDeque},
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
    pub(super) fn record_lost_connection(
        &mut self,
        now: MonotonicTime,
        target: &Rc<Target>,
        request: RequestFingerprints,
        parts: Vec<PartId>,
    ) {
        if self.unconfirmed.len() < MAX_UNREPORTED {
            let target = Rc::clone(target);
            self.unconfirmed.push(UnconfirmedCrash { at: now, target, request, parts });
        }
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

    /// Moves lost connections to the report whose endpoints have shown no sign of life since.
    fn confirm(&mut self, now: MonotonicTime, has_left: impl Fn(&Target) -> bool) {
        let is_due = |lost: &UnconfirmedCrash| CONFIRMATION_TIME <= now.saturating_since(lost.at);
        let (due, waiting) =
            std::mem::take(&mut self.unconfirmed).into_iter().partition::<Vec<_>, _>(is_due);
        self.unconfirmed = waiting;
        for lost in due {
            let is_alive = lost.at + DELIVERY_TIME < lost.target.alive_at();
            if !is_alive && !has_left(&lost.target) {
                self.push(crash(&lost.target, lost.request, lost.parts));
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
