use std::{collections::HashMap, time::Duration};

use base::DataCentreId;

/// Part of a longer answer's excess by which the estimate rises.
const RISE_PARTS: u32 = 64;

/// The time for a message to each data centre and back.
///
/// It follows the quickest of the endpoints' answers: a quicker one counts at once, a slower one
/// raises the estimate slowly.
pub(super) struct RoundTrips {
    own: DataCentreId,
    by_data_centre: HashMap<DataCentreId, Duration>,
}

impl RoundTrips {
    pub(super) fn new(own: DataCentreId) -> Self {
        Self { own, by_data_centre: HashMap::new() }
    }

    /// Takes the time from a request to the head of its answer.
    pub(super) fn record(&mut self, data_centre: &DataCentreId, took: Duration) {
        let known = self.by_data_centre.entry(data_centre.clone()).or_insert(took);
        *known = if took < *known { took } else { *known + (took - *known) / RISE_PARTS };
    }

    /// Returns the time beyond that to the own data centre.
    pub(super) fn to(&self, data_centre: &DataCentreId) -> Duration {
        if *data_centre == self.own {
            return Duration::ZERO;
        }
        let of = |id| self.by_data_centre.get(id).copied().unwrap_or_default();
        of(data_centre).saturating_sub(of(&self.own))
    }
}
