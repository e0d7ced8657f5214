use std::{collections::HashMap, time::Duration};

use base::DataCentreId;

/// Part of a longer response's excess by which the estimate rises.
const RISE_SMOOTHING: u32 = 64;

/// Answers after which an estimate counts; one slow response alone would keep requests away from a data
/// centre, and so any quicker response that could correct it.
const MIN_SAMPLES: u32 = 8;

/// The time for a message to each data centre and back.
///
/// It follows the quickest of the endpoints' samples: a quicker one counts at once, a slower one
/// raises the estimate slowly.
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

    /// Takes the time from a request to the head of its response.
    pub(super) fn record(&mut self, data_centre: &DataCentreId, elapsed: Duration) {
        let first = RoundTripEstimate { samples: 0, round_trip: elapsed };
        let estimate = self.by_data_centre.entry(data_centre.clone()).or_insert(first);
        estimate.samples = estimate.samples.saturating_add(1);
        estimate.round_trip = match elapsed.checked_sub(estimate.round_trip) {
            Some(excess) => estimate.round_trip + excess / RISE_SMOOTHING,
            None => elapsed,
        };
    }

    /// Returns the time beyond that to the own data centre.
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
