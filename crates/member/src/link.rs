use std::{collections::VecDeque, time::Duration};

/// Number of round trips that the estimate rests on.
const WINDOW: usize = 32;

/// Weight of the newest probe in the estimate of loss, as one part in so many.
const LOSS_WEIGHT: f64 = 16.0;

const SHORTEST_TIMEOUT: Duration = Duration::from_millis(100);
const LONGEST_TIMEOUT: Duration = Duration::from_secs(2);
const FIRST_TIMEOUT: Duration = Duration::from_millis(500);

/// Round-trip times and loss observed towards one data centre.
#[derive(Debug, Default)]
pub(crate) struct Link {
    round_trips: VecDeque<Duration>,
    loss: f64,
}

impl Link {
    /// Notes an answer that took `round_trip`.
    pub(crate) fn answered(&mut self, round_trip: Duration) {
        if self.round_trips.len() == WINDOW {
            self.round_trips.pop_front();
        }
        self.round_trips.push_back(round_trip);
        self.loss -= self.loss / LOSS_WEIGHT;
    }

    /// Notes a probe without an answer in time.
    pub(crate) fn lost(&mut self) {
        self.loss += (1.0 - self.loss) / LOSS_WEIGHT;
    }

    /// Returns how long an answer may take: three times the 95th percentile of the window.
    pub(crate) fn timeout(&self) -> Duration {
        let mut sorted: Vec<_> = self.round_trips.iter().copied().collect();
        sorted.sort_unstable();
        let Some(high) = sorted.get(sorted.len().saturating_sub(1) * 95 / 100) else {
            return FIRST_TIMEOUT;
        };
        (*high * 3).clamp(SHORTEST_TIMEOUT, LONGEST_TIMEOUT)
    }

    /// Returns by how much suspicion lasts longer than without loss.
    pub(crate) fn patience(&self) -> f64 {
        const PER_LOSS: f64 = 4.0;
        1.0 + PER_LOSS * self.loss
    }
}
