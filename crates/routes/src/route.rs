use std::{sync::Arc, time::Duration};

use base::ServiceId;

/// Where requests for a host and path go, and how they may be treated.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for logs.
    pub name: Arc<str>,
    /// The host that callers name.
    pub host: Arc<str>,
    /// What the path begins with; it begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Where requests go, by weight.
    pub services: Vec<WeightedService>,
    /// What may be sent again.
    pub retry_policy: RetryPolicy,
    /// Longest time from a request's arrival to its final answer.
    pub timeout: Duration,
    /// Time to the answer, or to a stream's first event, that callers expect.
    pub objective: Duration,
    /// Urgency; 0 comes first.
    pub priority: u8,
    /// Most endpoints that may run one request.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its share, relative to the route's other services.
    pub weight: u32,
}

/// What may be sent again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The whole request.
    Idempotent,
    /// Nothing.
    AtMostOnce,
    /// Nothing; the answer is a stream of events.
    Stream,
    /// The rest of a stream of events, after the last one delivered.
    ResumableStream,
}

impl RetryPolicy {
    /// Returns whether a request may be sent again after it may have run.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

impl Route {
    /// Returns the service that `draw`, a number from 0 below 1, falls to.
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceId> {
        let total: f64 = self.services.iter().map(|entry| f64::from(entry.weight)).sum();
        let mut left = draw * total;
        let weighted = self.services.iter().filter(|entry| entry.weight != 0);
        let mut last = None;
        for entry in weighted {
            last = Some(&entry.service);
            left -= f64::from(entry.weight);
            if left < 0.0 {
                break;
            }
        }
        last
    }

    /// Returns whether the route sends requests to `service`.
    pub fn serves(&self, service: &ServiceId) -> bool {
        self.services.iter().any(|entry| entry.service == *service && entry.weight != 0)
    }
}
