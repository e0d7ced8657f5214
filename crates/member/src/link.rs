use std::{collections::VecDeque, time::Duration};

/// Number of recent round trips from which the timeout is computed.
const ROUND_TRIP_WINDOW: usize = 32;

/// Reciprocal of the newest probe's weight in the moving average of the loss.
const LOSS_SMOOTHING: f64 = 16.0;

const MIN_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_TIMEOUT: Duration = Duration::from_secs(2);
const INITIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Round-trip times and probe loss measured to one data centre.
#[derive(Debug, Default)]
pub(crate) struct Link {
    round_trips: VecDeque<Duration>,
    loss: f64,
}

impl Link {
    /// Records a response that took `round_trip`.
    pub(crate) fn record_round_trip(&mut self, round_trip: Duration) {
        if self.round_trips.len() == ROUND_TRIP_WINDOW {
            self.round_trips.pop_front();
        }
        self.round_trips.push_back(round_trip);
        self.loss -= self.loss / LOSS_SMOOTHING;
    }

    /// Records a probe without a response in time.
    pub(crate) fn record_loss(&mut self) {
        self.loss += (1.0 - self.loss) / LOSS_SMOOTHING;
    }

    /// Returns the response timeout: three times the 95th percentile of the window.
    pub(crate) fn timeout(&self) -> Duration {
        let mut sorted: Vec<_> = self.round_trips.iter().copied().collect();
        sorted.sort_unstable();
        let Some(percentile) = sorted.get(sorted.len().saturating_sub(1) * 95 / 100) else {
            return INITIAL_TIMEOUT;
        };
        (*percentile * 3).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }

    /// Returns the factor by which loss prolongs the suspicion timeout.
    pub(crate) fn suspicion_factor(&self) -> f64 {
        const FACTOR_PER_LOSS: f64 = 4.0;
        1.0 + FACTOR_PER_LOSS * self.loss
    }
}
