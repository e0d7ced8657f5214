use std::time::Duration;

use prefix::PartId;
use serde::{Deserialize, Serialize};

use crate::{RequestFingerprints, Suspect};

/// The end of an endpoint just as it began to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash<E> {
    /// The endpoint's incarnation.
    pub engine: E,
    /// The request.
    pub request: RequestFingerprints,
    /// The parts of its prompt that other requests may share, in order; empty if none may be the
    /// cause.
    pub parts: Vec<PartId>,
    /// Time from the end to the report.
    pub age: Duration,
    /// Time for which the request had waited for the head of its response, if none had come: the
    /// engine may not have begun to run it.
    pub waited: Option<Duration>,
}

impl<E> Crash<E> {
    /// Returns all that may be the cause.
    pub fn suspects(&self) -> impl Iterator<Item = Suspect> + '_ {
        let parts = self.parts.iter().copied().map(Suspect::Part);
        parts.chain(self.request.iter().map(Suspect::Request))
    }
}

/// A suspect that an endpoint answered without a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Survival {
    /// The suspect.
    pub suspect: Suspect,
    /// Time since the latest such answer.
    pub age: Duration,
}

/// A suspect that is kept from the endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// The part or request.
    pub suspect: Suspect,
    /// Time since it was quarantined.
    pub age: Duration,
}
