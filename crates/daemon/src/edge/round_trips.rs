use std::{collections::HashMap, time::Duration};

use base::DataCentreId;

/// Part of a longer answer's excess by which the estimate rises.
const RISE_PARTS: u32 = 64;

/// Answers after which an estimate counts; one slow answer alone would keep requests away from a data
/// centre, and so any quicker answer that could correct it.
const MIN_ANSWERS: u32 = 8;

/// The time for a message to each data centre and back.
///
/// It follows the quickest of the endpoints' answers: a quicker one counts at once, a slower one
/// raises the estimate slowly.
pub(super) struct RoundTrips {
    own: DataCentreId,
    by_data_centre: HashMap<DataCentreId, Estimate>,
}

struct Estimate {
    answers: u32,
    span: Duration,
}

impl RoundTrips {
    pub(super) fn new(own: DataCentreId) -> Self {
        Self { own, by_data_centre: HashMap::new() }
    }

    /// Takes the time from a request to the head of its answer.
    pub(super) fn record(&mut self, data_centre: &DataCentreId, took: Duration) {
        let first = Estimate { answers: 0, span: took };
        let known = self.by_data_centre.entry(data_centre.clone()).or_insert(first);
        known.answers = known.answers.saturating_add(1);
        known.span = match took.checked_sub(known.span) {
            Some(excess) => known.span + excess / RISE_PARTS,
            None => took,
        };
    }

    /// Returns the time beyond that to the own data centre.
    pub(super) fn to(&self, data_centre: &DataCentreId) -> Duration {
        if *data_centre == self.own {
            return Duration::ZERO;
        }
        let own = self.estimate(&self.own).unwrap_or_default();
        self.estimate(data_centre).unwrap_or_default().saturating_sub(own)
    }

    fn estimate(&self, data_centre: &DataCentreId) -> Option<Duration> {
        let known = self.by_data_centre.get(data_centre)?;
        (MIN_ANSWERS <= known.answers).then_some(known.span)
    }
}
