use std::{collections::BTreeMap, time::Duration};

use base::{EndpointId, Incarnation, UnixMillis};
use serde::{Deserialize, Serialize};

/// Time for which a departure is kept. The leases of endpoints are shorter, and one that still
/// announces that it leaves is recorded again.
const RETENTION: Duration = Duration::from_secs(60);

/// Largest number of departures kept; the oldest are removed first.
const MAX_DEPARTURES: usize = 4096;

/// An endpoint's announcement that it leaves and accepts no new requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The incarnation that leaves.
    pub incarnation: Incarnation,
    /// When it was committed first.
    pub at: UnixMillis,
}

/// The incarnations of endpoints that left recently.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departures {
    recorded: BTreeMap<EndpointId, BTreeMap<Incarnation, UnixMillis>>,
}

impl Departures {
    /// Returns whether an incarnation of an endpoint is known to leave.
    pub fn contains(&self, endpoint: &EndpointId, incarnation: Incarnation) -> bool {
        let incarnations = self.recorded.get(endpoint);
        incarnations.is_some_and(|incarnations| incarnations.contains_key(&incarnation))
    }

    /// Returns the departures that are not too old at `now`.
    pub fn recent(&self, now: UnixMillis) -> impl Iterator<Item = Departure> + '_ {
        self.iter().filter(move |departure| is_recent(departure.at, now))
    }

    fn iter(&self) -> impl Iterator<Item = Departure> + '_ {
        self.recorded.iter().flat_map(|(endpoint, incarnations)| {
            incarnations.iter().map(|(&incarnation, &at)| Departure {
                endpoint: endpoint.clone(),
                incarnation,
                at,
            })
        })
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.recorded.is_empty()
    }

    /// Records a departure, unless it is known.
    pub(crate) fn record(&mut self, departure: &Departure) {
        if self.contains(&departure.endpoint, departure.incarnation) {
            return;
        }
        self.remove_old(departure.at);
        let incarnations = self.recorded.entry(departure.endpoint.clone()).or_default();
        incarnations.insert(departure.incarnation, departure.at);
    }

    /// Removes departures that are too old at `now`, and the oldest if there are too many.
    fn remove_old(&mut self, now: UnixMillis) {
        let mut times: Vec<UnixMillis> =
            self.recorded.values().flat_map(BTreeMap::values).copied().collect();
        times.sort_unstable();
        let excess = (times.len() + 1).saturating_sub(MAX_DEPARTURES);
        let newest_removed = excess.checked_sub(1).map(|last| times[last]);
        let is_kept = |at| newest_removed < Some(at) && is_recent(at, now);
        self.recorded.retain(|_, incarnations| {
            incarnations.retain(|_, at| is_kept(*at));
            !incarnations.is_empty()
        });
    }
}

fn is_recent(at: UnixMillis, now: UnixMillis) -> bool {
    now.as_u64() < at.as_u64() + RETENTION.as_millis() as u64
}
