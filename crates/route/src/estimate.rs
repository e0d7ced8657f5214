use std::fmt;

/// A candidate's estimated time to first token by component, each in weighted seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TtftEstimate {
    /// Time to compute the tokens that are not warm.
    pub compute: f64,
    /// Cost to later requests of computing them away from the prefix's homes.
    pub away: f64,
    /// Queueing time behind other requests.
    pub wait: f64,
    /// Round-trip time to the endpoint.
    pub round_trip: f64,
    /// Time by which slowness changes the response, and delay to others, if the endpoint with the least
    /// sum of the other components is slow; else 0.
    pub slowness: f64,
}

impl TtftEstimate {
    /// Returns the score, the sum of the components; the lowest is chosen.
    pub fn total(&self) -> f64 {
        self.compute + self.away + self.wait + self.round_trip + self.slowness
    }
}

/// Formats the score and its components in milliseconds.
impl fmt::Display for TtftEstimate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        const MILLIS: f64 = 1e3;
        write!(
            f,
            "{:.1} ms (compute {:.1}, away from home {:.1}, wait {:.1}, round trip {:.1})",
            self.total() * MILLIS,
            self.compute * MILLIS,
            self.away * MILLIS,
            self.wait * MILLIS,
            self.round_trip * MILLIS,
        )
    }
}
