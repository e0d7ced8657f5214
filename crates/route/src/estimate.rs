use std::fmt;

/// The parts of a candidate's score, each in weighted seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TtftEstimate {
    /// Time to compute the tokens that are not warm.
    pub compute: f64,
    /// What computing them away from the prefix's homes costs later requests.
    pub away: f64,
    /// Time behind other requests.
    pub wait: f64,
    /// Time for a message to the endpoint and back.
    pub round_trip: f64,
}

impl TtftEstimate {
    /// Returns the score: the sum of the parts. The lowest wins.
    pub fn total(&self) -> f64 {
        self.compute + self.away + self.wait + self.round_trip
    }
}

/// Shows the score and its parts in milliseconds.
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
