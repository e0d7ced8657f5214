use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::ServiceKey;

/// Most incarnations that a router reports at once; further ones are not counted until the next
/// report.
const MAX_REPORTED: usize = 1_024;

/// Longest response time that is plausible, longer than any deadline.
const MAX_TIME: Duration = Duration::from_secs(120);

/// Most responses of one endpoint that a report plausibly has.
const MAX_COUNT: u32 = 100_000;

/// Time of a request without a prompt at an idle endpoint; only its ratios to other times matter.
const NOMINAL_CALL_TIME: Duration = Duration::from_millis(20);

/// Requests in flight that double the expected time of one without a prompt, as plain endpoints run
/// half a dozen at once.
const DOUBLING_CALLS: u32 = 12;

/// Responses of an endpoint incarnation, with the sums of their times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseSums<K> {
    /// The incarnation.
    pub endpoint: K,
    /// Its service.
    pub service: ServiceKey,
    /// Number of responses.
    pub count: u32,
    /// Sum of the times that were expected when the requests were sent, in microseconds.
    pub expected_us: u64,
    /// Sum of the times that the responses took, in microseconds.
    pub observed_us: u64,
}

impl<K> ResponseSums<K> {
    /// Returns whether the values are possible.
    pub fn is_plausible(&self) -> bool {
        let max_us = u64::from(self.count) * micros(MAX_TIME);
        let possible_us = 1..=max_us;
        (1..=MAX_COUNT).contains(&self.count)
            && possible_us.contains(&self.expected_us)
            && possible_us.contains(&self.observed_us)
    }
}

/// Collects the response times that a router expected and observed since its last report.
#[derive(Clone, Debug)]
pub struct ResponseTimes<K> {
    sums: BTreeMap<K, ResponseSums<K>>,
}

impl<K> Default for ResponseTimes<K> {
    fn default() -> Self {
        Self { sums: BTreeMap::new() }
    }
}

impl<K: Copy + Ord> ResponseTimes<K> {
    /// Counts a response; times beyond what is possible count as the longest or shortest possible.
    pub fn record(
        &mut self,
        endpoint: K,
        service: ServiceKey,
        expected: Duration,
        observed: Duration,
    ) {
        let possible_us = |time: Duration| micros(time.min(MAX_TIME)).max(1);
        self.add(ResponseSums {
            endpoint,
            service,
            count: 1,
            expected_us: possible_us(expected),
            observed_us: possible_us(observed),
        });
    }

    /// Returns the sums since the last call.
    pub fn take(&mut self) -> Vec<ResponseSums<K>> {
        std::mem::take(&mut self.sums).into_values().collect()
    }

    /// Takes back a report that did not arrive.
    pub fn restore(&mut self, report: Vec<ResponseSums<K>>) {
        report.into_iter().for_each(|sums| self.add(sums));
    }

    fn add(&mut self, added: ResponseSums<K>) {
        let Some(sums) = self.sums.get_mut(&added.endpoint) else {
            if self.sums.len() < MAX_REPORTED {
                self.sums.insert(added.endpoint, added);
            }
            return;
        };
        if MAX_COUNT - sums.count < added.count {
            return;
        }
        sums.count += added.count;
        sums.expected_us += added.expected_us;
        sums.observed_us += added.observed_us;
    }
}

/// Returns the expected time of a request without a prompt at an endpoint with `requests` in flight.
pub fn expected_call_time(requests: u32) -> Duration {
    NOMINAL_CALL_TIME.mul_f64(1.0 + f64::from(requests) / f64::from(DOUBLING_CALLS))
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
