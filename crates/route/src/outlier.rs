use std::{collections::HashMap, time::Duration};

use base::{EndpointId, MonotonicTime};

use crate::window::Window;

/// Bounds of [`OutlierDetector`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierSettings {
    /// Time over which an endpoint's outcomes count.
    pub window: Duration,
    /// Fewest outcomes within the window that can eject an endpoint.
    pub min_outcomes: u32,
    /// Share of failed or slow outcomes that ejects an endpoint.
    pub bad_share: f64,
    /// A time to first token that exceeds the usual one by this factor is slow.
    pub slow_factor: f64,
    /// A time to first token below this is never slow.
    pub slow_floor: Duration,
    /// Duration of an endpoint's first ejection; it doubles with each one that follows.
    pub first_ejection: Duration,
    /// Longest duration of an ejection.
    pub max_ejection: Duration,
    /// Most endpoints that are ejected at a time, as a share of all.
    pub max_share: f64,
    /// Successful probes that end an ejection.
    pub probes: u32,
}

impl Default for OutlierSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(10),
            min_outcomes: 5,
            bad_share: 0.5,
            slow_factor: 4.0,
            slow_floor: Duration::from_millis(200),
            first_ejection: Duration::from_secs(2),
            max_ejection: Duration::from_secs(60),
            max_share: 0.3,
            probes: 3,
        }
    }
}

/// How a request at an endpoint went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The first token came after this time.
    Answered(Duration),
    /// The endpoint failed the request.
    Failed,
}

/// Whether an endpoint may get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionState {
    /// It may.
    Ready,
    /// It may get one request now, to see whether it recovered.
    ProbeDue,
    /// It may not.
    Ejected,
}

/// A change of an endpoint's standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionChange {
    /// The endpoint gets no requests until then.
    Ejected(MonotonicTime),
    /// The endpoint gets requests again.
    Restored,
}

/// Ejects endpoints that fail or are slow for a growing time, and lets them back after probes.
///
/// Never more than [`OutlierSettings::max_share`] of the endpoints are ejected, and never all.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    settings: OutlierSettings,
    endpoints: HashMap<EndpointId, Tracked>,
    ejected: usize,
    /// Natural logarithm of the usual time to first token, in seconds.
    usual: Option<f64>,
}

#[derive(Clone, Debug)]
struct Tracked {
    window: Window,
    state: State,
    /// Ejections since the endpoint last left a whole window without being ejected.
    ejections: u32,
    restored: MonotonicTime,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Ready,
    Ejected(Ejection),
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    next_probe: MonotonicTime,
    probing: bool,
    /// Probes that succeeded in a row.
    passed: u32,
}

/// Weight of one outcome in the usual time to first token.
const USUAL_WEIGHT: f64 = 0.02;

impl OutlierDetector {
    /// Creates a tracker without endpoints.
    pub fn new(settings: OutlierSettings) -> Self {
        Self { settings, endpoints: HashMap::new(), ejected: 0, usual: None }
    }

    /// Tracks `endpoint` from `now` on; one tracked already, as a new incarnation, starts afresh.
    pub fn join(&mut self, now: MonotonicTime, endpoint: EndpointId) {
        let window = Window::new(self.settings.window);
        let tracked = Tracked { window, state: State::Ready, ejections: 0, restored: now };
        let old = self.endpoints.insert(endpoint, tracked);
        self.count_out(old);
    }

    /// Forgets `endpoint`.
    pub fn leave(&mut self, endpoint: &EndpointId) {
        let old = self.endpoints.remove(endpoint);
        self.count_out(old);
    }

    /// Returns whether `endpoint` may get requests; an unknown one may.
    pub fn ejection_state(&self, now: MonotonicTime, endpoint: &EndpointId) -> EjectionState {
        match self.endpoints.get(endpoint).map(|tracked| tracked.state) {
            None | Some(State::Ready) => EjectionState::Ready,
            Some(State::Ejected(ejection)) if ejection.next_probe <= now => EjectionState::ProbeDue,
            Some(State::Ejected(_)) => EjectionState::Ejected,
        }
    }

    /// Notes that a request was sent to `endpoint`; if a probe was due, this is it.
    ///
    /// The next probe is due when this one's outcome is recorded, or after the first ejection's
    /// duration if it never is.
    pub fn sent(&mut self, now: MonotonicTime, endpoint: &EndpointId) {
        let patience = self.settings.first_ejection;
        let Some(tracked) = self.endpoints.get_mut(endpoint) else { return };
        if let State::Ejected(ejection) = &mut tracked.state
            && ejection.next_probe <= now
        {
            ejection.next_probe = now + patience;
            ejection.probing = true;
        }
    }

    /// Counts the outcome of a request at `endpoint`.
    pub fn record(
        &mut self,
        now: MonotonicTime,
        endpoint: &EndpointId,
        outcome: Outcome,
    ) -> Option<EjectionChange> {
        let is_bad = self.is_bad(outcome);
        let may_eject = self.may_eject();
        let settings = self.settings;
        let tracked = self.endpoints.get_mut(endpoint)?;
        let change = match tracked.state {
            State::Ready => tracked.count(now, is_bad, may_eject, &settings),
            State::Ejected(ejection) => tracked.probed(now, is_bad, ejection, &settings),
        };
        match (tracked.state, change) {
            (State::Ready, Some(EjectionChange::Restored)) => self.ejected -= 1,
            (State::Ejected(_), Some(EjectionChange::Ejected(_))) => self.ejected += 1,
            _ => {}
        }
        change
    }

    /// Returns the number of endpoints ejected.
    pub fn ejected(&self) -> usize {
        self.ejected
    }

    fn may_eject(&self) -> bool {
        let known = self.endpoints.len();
        let most = (known as f64 * self.settings.max_share) as usize;
        self.ejected < most.min(known.saturating_sub(1))
    }

    /// Classifies an outcome and learns the usual time to first token from it.
    fn is_bad(&mut self, outcome: Outcome) -> bool {
        let Outcome::Answered(took) = outcome else { return true };
        let log = took.as_secs_f64().max(1e-6).ln();
        let usual = *self.usual.get_or_insert(log);
        self.usual = Some(usual + (log - usual) * USUAL_WEIGHT);
        self.settings.slow_floor <= took && usual + self.settings.slow_factor.ln() <= log
    }

    fn count_out(&mut self, old: Option<Tracked>) {
        if old.is_some_and(|tracked| matches!(tracked.state, State::Ejected(_))) {
            self.ejected -= 1;
        }
    }
}

impl Tracked {
    fn count(
        &mut self,
        now: MonotonicTime,
        is_bad: bool,
        may_eject: bool,
        settings: &OutlierSettings,
    ) -> Option<EjectionChange> {
        let counts = self.window.record(now, is_bad);
        if self.restored + settings.window.max(self.ejection_time(settings)) <= now {
            self.ejections = 0;
        }
        let is_outlier = settings.min_outcomes <= counts.total
            && settings.bad_share * f64::from(counts.total) <= f64::from(counts.bad);
        if !is_bad || !is_outlier || !may_eject {
            return None;
        }
        Some(EjectionChange::Ejected(self.eject(now, settings)))
    }

    /// Counts the outcome of a probe; one of a request sent before the ejection changes nothing.
    fn probed(
        &mut self,
        now: MonotonicTime,
        is_bad: bool,
        ejection: Ejection,
        settings: &OutlierSettings,
    ) -> Option<EjectionChange> {
        if !ejection.probing {
            return None;
        }
        if is_bad {
            self.eject(now, settings);
            return None;
        }
        let passed = ejection.passed + 1;
        if passed < settings.probes {
            self.state = State::Ejected(Ejection { next_probe: now, probing: false, passed });
            return None;
        }
        self.state = State::Ready;
        self.window = Window::new(settings.window);
        self.restored = now;
        Some(EjectionChange::Restored)
    }

    fn eject(&mut self, now: MonotonicTime, settings: &OutlierSettings) -> MonotonicTime {
        let next_probe = now + self.ejection_time(settings);
        self.ejections += 1;
        self.state = State::Ejected(Ejection { next_probe, probing: false, passed: 0 });
        next_probe
    }

    fn ejection_time(&self, settings: &OutlierSettings) -> Duration {
        let factor = 2_u32.saturating_pow(self.ejections);
        settings.first_ejection.saturating_mul(factor).min(settings.max_ejection)
    }
}
