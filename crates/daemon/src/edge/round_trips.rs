use std::{collections::HashMap, time::Duration};

use base::DataCentreId;

/// A slower sample raises the estimate by its excess divided by this.
const RISE_DIVISOR: u32 = 64;

/// Samples after which an estimate is used: after one slow sample alone, a data centre would get no
/// requests, and so no quicker sample could correct its estimate.
const MIN_SAMPLES: u32 = 8;

/// Estimated round-trip time to each data centre.
///
/// Follows the quickest responses of its endpoints: a quicker sample replaces the estimate, a slower
/// one raises it slowly.
pub(super) struct RoundTrips {
    local: DataCentreId,
    by_data_centre: HashMap<DataCentreId, RoundTripEstimate>,
}

struct RoundTripEstimate {
    samples: u32,
    round_trip: Duration,
}

impl RoundTrips {
    pub(super) fn new(local: DataCentreId) -> Self {
        Self { local, by_data_centre: HashMap::new() }
    }

    /// Records the time from a request to the head of its response.
    pub(super) fn record(&mut self, data_centre: &DataCentreId, elapsed: Duration) {
        let first = RoundTripEstimate { samples: 0, round_trip: elapsed };
        let estimate = self.by_data_centre.entry(data_centre.clone()).or_insert(first);
        estimate.samples = estimate.samples.saturating_add(1);
        estimate.round_trip = match elapsed.checked_sub(estimate.round_trip) {
            Some(excess) => estimate.round_trip + excess / RISE_DIVISOR,
            None => elapsed,
        };
    }

    /// Returns the round-trip time in excess of that within the local data centre.
    pub(super) fn beyond_local(&self, data_centre: &DataCentreId) -> Duration {
        if *data_centre == self.local {
            return Duration::ZERO;
        }
        let local = self.estimate(&self.local).unwrap_or_default();
        self.estimate(data_centre).unwrap_or_default().saturating_sub(local)
    }

    fn estimate(&self, data_centre: &DataCentreId) -> Option<Duration> {
        let estimate = self.by_data_centre.get(data_centre)?;
        (MIN_SAMPLES <= estimate.samples).then_some(estimate.round_trip)
    }
}
