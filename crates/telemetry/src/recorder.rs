use std::{array, fmt, sync::Arc, time::Duration};

use base::{TokenCount, Verdict};
use opentelemetry::KeyValue;

use crate::instruments::Instruments;

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Refusal {
    /// The request could not be parsed, or broke a limit.
    Malformed,
    /// The API key belongs to no organisation.
    Unauthorised,
    /// No endpoint serves the model or service.
    Unknown,
    /// The organisation is over its share.
    OverShare,
    /// The response would arrive after the deadline.
    Deadline,
    /// Every endpoint that serves the request is full or avoided.
    NoEndpoint,
    /// The claim could not be committed.
    NoQuorum,
    /// The idempotency key is missing, or was used for a different request.
    IdempotencyKey,
    /// The router is stopping.
    Draining,
}

impl Refusal {
    /// All reasons.
    pub const ALL: [Self; 9] = [
        Self::Malformed,
        Self::Unauthorised,
        Self::Unknown,
        Self::OverShare,
        Self::Deadline,
        Self::NoEndpoint,
        Self::NoQuorum,
        Self::IdempotencyKey,
        Self::Draining,
    ];

    /// Returns the reason's label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::Unauthorised => "unauthorised",
            Self::Unknown => "unknown",
            Self::OverShare => "over-share",
            Self::Deadline => "deadline",
            Self::NoEndpoint => "no-endpoint",
            Self::NoQuorum => "no-quorum",
            Self::IdempotencyKey => "idempotency-key",
            Self::Draining => "draining",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Records metrics of one organisation's requests; cheap to clone and use.
#[derive(Clone, Debug)]
pub struct Recorder {
    instruments: Arc<Instruments>,
    labels: Arc<Labels>,
}

impl Recorder {
    pub(crate) fn new(instruments: Arc<Instruments>, labels: Arc<Labels>) -> Self {
        Self { instruments, labels }
    }

    /// Records the time from a request to its first token.
    pub fn first_token(&self, time: Duration) {
        self.instruments.first_token.record(time.as_secs_f64(), &self.labels.organisation);
    }

    /// Records the time from one token to the next.
    pub fn between_tokens(&self, time: Duration) {
        self.instruments.between_tokens.record(time.as_secs_f64(), &self.labels.organisation);
    }

    /// Records how long a request was queued for a slot.
    pub fn queue_wait(&self, time: Duration) {
        self.instruments.queue_wait.record(time.as_secs_f64(), &self.labels.organisation);
    }

    /// Records the time from a request to the end of its response.
    pub fn request_duration(&self, time: Duration) {
        self.instruments.request_duration.record(time.as_secs_f64(), &self.labels.organisation);
    }

    /// Counts a prompt's tokens and those that the engine had cached.
    pub fn prompt(&self, tokens: TokenCount, cached: TokenCount) {
        self.instruments.prompt_tokens.add(tokens.as_u64(), &self.labels.organisation);
        self.instruments.cached_tokens.add(cached.as_u64(), &self.labels.organisation);
    }

    /// Counts tokens that were computed although another engine had them cached.
    pub fn recomputed(&self, tokens: TokenCount) {
        self.instruments.recomputed_tokens.add(tokens.as_u64(), &self.labels.organisation);
    }

    /// Counts a failed request.
    pub fn verdict(&self, verdict: Verdict) {
        self.instruments.verdicts.add(1, &self.labels.verdicts[verdict as usize]);
    }

    /// Counts a retry.
    pub fn retry(&self) {
        self.instruments.retries.add(1, &self.labels.organisation);
    }

    /// Counts a hedged request, sent to a second endpoint.
    pub fn hedge(&self) {
        self.instruments.hedges.add(1, &self.labels.organisation);
    }

    /// Counts a refused request.
    pub fn refusal(&self, reason: Refusal) {
        self.instruments.refusals.add(1, &self.labels.refusals[reason as usize]);
    }

    /// Counts a request as in flight until the guard is dropped.
    #[must_use]
    pub fn in_flight(&self) -> InFlight {
        self.instruments.in_flight.add(1, &self.labels.organisation);
        InFlight(self.clone())
    }

    /// Counts a response dropped because it belonged to another request.
    pub fn mismatched_response(&self) {
        self.instruments.mismatched_responses.add(1, &self.labels.organisation);
    }

    /// Counts a stream resumed after an interruption.
    pub fn resume(&self) {
        self.instruments.resumes.add(1, &self.labels.organisation);
    }

    /// Counts a claim of a non-idempotent call.
    pub fn claim(&self) {
        self.instruments.claims.add(1, &self.labels.organisation);
    }
}

/// Guard that counts a request as in flight until dropped.
#[derive(Debug)]
pub struct InFlight(Recorder);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.instruments.in_flight.add(-1, &self.0.labels.organisation);
    }
}

/// Label sets, created once per organisation.
#[derive(Debug)]
pub(crate) struct Labels {
    organisation: [KeyValue; 1],
    verdicts: [[KeyValue; 2]; Verdict::ALL.len()],
    refusals: [[KeyValue; 2]; Refusal::ALL.len()],
}

impl Labels {
    pub(crate) fn new(organisation: &str) -> Self {
        let organisation = KeyValue::new("organisation", organisation.to_owned());
        let with_label = |key, value| [organisation.clone(), KeyValue::new(key, value)];
        Self {
            verdicts: array::from_fn(|i| with_label("verdict", Verdict::ALL[i].as_str())),
            refusals: array::from_fn(|i| with_label("reason", Refusal::ALL[i].as_str())),
            organisation: [organisation],
        }
    }
}
