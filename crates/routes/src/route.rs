use std::{sync::Arc, time::Duration};

use base::ServiceId;

/// The services for a host and path prefix, and how their requests are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for logs.
    pub name: Arc<str>,
    /// The host name that callers use; case is ignored.
    pub host: Arc<str>,
    /// The prefix of the path; it begins and ends with a slash.
    pub prefix: Arc<str>,
    /// The services that receive the requests, by weight.
    pub services: Vec<WeightedService>,
    /// What may be sent again after a failure.
    pub retry_policy: RetryPolicy,
    /// Longest time from a request's arrival to its final response.
    pub timeout: Duration,
    /// Latency objective: time to the response, or to the first event of a stream.
    pub objective: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Largest number of endpoints to which one request is sent.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
}

/// A service with its weight among a route's services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its share of requests, relative to the route's other services.
    pub weight: u32,
}

/// What may be sent again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The whole request.
    Idempotent,
    /// Nothing.
    AtMostOnce,
    /// Nothing; the response is a stream of events.
    Stream,
    /// The rest of a stream of events, after the last one delivered.
    ResumableStream,
}

impl RetryPolicy {
    /// Returns whether a request may be sent again after it may have run.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

impl Route {
    /// Returns a service chosen by weight; `draw` is a random number from 0 below 1.
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceId> {
        let total: f64 = self.services.iter().map(|entry| f64::from(entry.weight)).sum();
        let mut remaining = draw * total;
        let weighted = self.services.iter().filter(|entry| entry.weight != 0);
        let mut last = None;
        for entry in weighted {
            last = Some(&entry.service);
            remaining -= f64::from(entry.weight);
            if remaining < 0.0 {
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
