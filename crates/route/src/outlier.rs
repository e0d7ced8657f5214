use std::{collections::HashMap, time::Duration};

use base::{EndpointId, MonotonicTime};

use crate::window::Window;

/// Bounds of [`OutlierDetector`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierSettings {
    /// Length of the sliding window of outcomes.
    pub window: Duration,
    /// Minimum number of outcomes in the window before an endpoint can be ejected.
    pub min_outcomes: u32,
    /// Share of failed or slow outcomes at which an endpoint is ejected.
    pub bad_share: f64,
    /// Factor over the typical time to first token from which a response is slow.
    pub slow_factor: f64,
    /// Shortest time to first token that can be slow.
    pub min_slow_ttft: Duration,
    /// Duration of an endpoint's first ejection; it doubles with each further ejection.
    pub initial_ejection_time: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection_time: Duration,
    /// Maximum share of the endpoints that may be ejected at the same time.
    pub max_ejected_share: f64,
    /// Consecutive successful probes that end an ejection.
    pub probes_to_restore: u32,
}

impl Default for OutlierSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(10),
            min_outcomes: 5,
            bad_share: 0.5,
            slow_factor: 4.0,
            min_slow_ttft: Duration::from_millis(200),
            initial_ejection_time: Duration::from_secs(2),
            max_ejection_time: Duration::from_secs(60),
            max_ejected_share: 0.3,
            probes_to_restore: 3,
        }
    }
}

/// The outcome of a request at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The first token arrived after this time.
    Answered(Duration),
    /// The endpoint failed the request.
    Failed,
}

/// Whether an endpoint may receive requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionState {
    /// It receives requests.
    Ready,
    /// It may receive one request as a probe.
    ProbeDue,
    /// It receives no requests.
    Ejected,
}

/// A change of an endpoint's [`EjectionState`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionChange {
    /// The endpoint receives no requests until this time.
    Ejected(MonotonicTime),
    /// The endpoint receives requests again.
    Restored,
}

/// Ejects endpoints that fail or are slow, for an exponentially growing time, and restores them
/// after successful probes.
///
/// At most [`OutlierSettings::max_ejected_share`] of the endpoints are ejected, and never all.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    settings: OutlierSettings,
    endpoints: HashMap<EndpointId, TrackedEndpoint>,
    ejected: usize,
    /// Natural logarithm of the typical time to first token, in seconds.
    typical_ttft_ln: Option<f64>,
}

#[derive(Clone, Debug)]
struct TrackedEndpoint {
    window: Window,
    state: State,
    /// Ejections since the endpoint last went a whole window without one.
    ejections: u32,
    restored_at: MonotonicTime,
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
    /// Successful probes since the last failed one.
    successful_probes: u32,
}

/// Weight of one response in the moving average of the typical time to first token.
const TYPICAL_TTFT_WEIGHT: f64 = 0.02;

impl OutlierDetector {
    /// Creates a detector that tracks no endpoints.
    pub fn new(settings: OutlierSettings) -> Self {
        Self { settings, endpoints: HashMap::new(), ejected: 0, typical_ttft_ln: None }
    }

    /// Tracks `endpoint` from `now` on; discards the outcomes of an earlier incarnation.
    pub fn join(&mut self, now: MonotonicTime, endpoint: EndpointId) {
        let window = Window::new(self.settings.window);
        let tracked =
            TrackedEndpoint { window, state: State::Ready, ejections: 0, restored_at: now };
        let old = self.endpoints.insert(endpoint, tracked);
        self.uncount_ejection(old);
    }

    /// Stops tracking `endpoint`.
    pub fn leave(&mut self, endpoint: &EndpointId) {
        let old = self.endpoints.remove(endpoint);
        self.uncount_ejection(old);
    }

    /// Returns whether `endpoint` may receive requests; an endpoint that is not tracked may.
    pub fn ejection_state(&self, now: MonotonicTime, endpoint: &EndpointId) -> EjectionState {
        match self.endpoints.get(endpoint).map(|tracked| tracked.state) {
            None | Some(State::Ready) => EjectionState::Ready,
            Some(State::Ejected(ejection)) if ejection.next_probe <= now => EjectionState::ProbeDue,
            Some(State::Ejected(_)) => EjectionState::Ejected,
        }
    }

    /// Records that a request was sent to `endpoint`; if a probe was due, this request is the
    /// probe.
    ///
    /// The next probe is due when the outcome of this one is recorded, or after the duration of the
    /// first ejection if it never is.
    pub fn record_sent(&mut self, now: MonotonicTime, endpoint: &EndpointId) {
        let probe_timeout = self.settings.initial_ejection_time;
        let Some(tracked) = self.endpoints.get_mut(endpoint) else { return };
        if let State::Ejected(ejection) = &mut tracked.state
            && ejection.next_probe <= now
        {
            ejection.next_probe = now + probe_timeout;
            ejection.probing = true;
        }
    }

    /// Records the outcome of a request at `endpoint`.
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
            State::Ready => tracked.record_outcome(now, is_bad, may_eject, &settings),
            State::Ejected(ejection) => tracked.record_probe(now, is_bad, ejection, &settings),
        };
        match (tracked.state, change) {
            (State::Ready, Some(EjectionChange::Restored)) => self.ejected -= 1,
            (State::Ejected(_), Some(EjectionChange::Ejected(_))) => self.ejected += 1,
            _ => {}
        }
        change
    }

    /// Returns the number of ejected endpoints.
    pub fn ejected(&self) -> usize {
        self.ejected
    }

    fn may_eject(&self) -> bool {
        let tracked = self.endpoints.len();
        let max_ejected = (tracked as f64 * self.settings.max_ejected_share) as usize;
        self.ejected < max_ejected.min(tracked.saturating_sub(1))
    }

    /// Classifies an outcome, and updates the typical time to first token with it.
    fn is_bad(&mut self, outcome: Outcome) -> bool {
        let Outcome::Answered(ttft) = outcome else { return true };
        let log = ttft.as_secs_f64().max(1e-6).ln();
        let typical = *self.typical_ttft_ln.get_or_insert(log);
        self.typical_ttft_ln = Some(typical + (log - typical) * TYPICAL_TTFT_WEIGHT);
        self.settings.min_slow_ttft <= ttft && typical + self.settings.slow_factor.ln() <= log
    }

    /// Updates the number of ejected endpoints after `old` was removed.
    fn uncount_ejection(&mut self, old: Option<TrackedEndpoint>) {
        if old.is_some_and(|tracked| matches!(tracked.state, State::Ejected(_))) {
            self.ejected -= 1;
        }
    }
}

impl TrackedEndpoint {
    fn record_outcome(
        &mut self,
        now: MonotonicTime,
        is_bad: bool,
        may_eject: bool,
        settings: &OutlierSettings,
    ) -> Option<EjectionChange> {
        let counts = self.window.record(now, is_bad);
        if self.restored_at + settings.window.max(self.ejection_time(settings)) <= now {
            self.ejections = 0;
        }
        let is_outlier = settings.min_outcomes <= counts.total
            && settings.bad_share * f64::from(counts.total) <= f64::from(counts.bad);
        if !is_bad || !is_outlier || !may_eject {
            return None;
        }
        Some(EjectionChange::Ejected(self.eject(now, settings)))
    }

    /// Records the outcome of a probe; outcomes of requests sent before the ejection are ignored.
    fn record_probe(
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
        let successful_probes = ejection.successful_probes + 1;
        if successful_probes < settings.probes_to_restore {
            self.state =
                State::Ejected(Ejection { next_probe: now, probing: false, successful_probes });
            return None;
        }
        self.state = State::Ready;
        self.window = Window::new(settings.window);
        self.restored_at = now;
        Some(EjectionChange::Restored)
    }

    fn eject(&mut self, now: MonotonicTime, settings: &OutlierSettings) -> MonotonicTime {
        let next_probe = now + self.ejection_time(settings);
        self.ejections += 1;
        self.state = State::Ejected(Ejection { next_probe, probing: false, successful_probes: 0 });
        next_probe
    }

    fn ejection_time(&self, settings: &OutlierSettings) -> Duration {
        let factor = 2_u32.saturating_pow(self.ejections);
        settings.initial_ejection_time.saturating_mul(factor).min(settings.max_ejection_time)
    }
}
