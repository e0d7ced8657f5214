//! The time at which a stopping host gives its last answers.

use std::time::Duration;

use tokio::{
    sync::watch,
    time::{Instant, error::Elapsed},
};

/// Time that the last answers take to reach their callers.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// The time at which requests that are still in flight are answered, once the host stops.
pub(super) struct StopTime(watch::Sender<Option<Instant>>);

impl Default for StopTime {
    fn default() -> Self {
        Self(watch::Sender::new(None))
    }
}

impl StopTime {
    /// Sets the time from the end of the process, unless it is set.
    pub(super) fn set_process_end(&self, end: Instant) {
        let at = end.checked_sub(ANSWER_TIME).unwrap_or(end);
        self.0.send_if_modified(|stop| {
            let is_first = stop.is_none();
            stop.get_or_insert(at);
            is_first
        });
    }

    /// Waits until the time has come; forever if the host doesn't stop.
    pub(super) async fn passed(&self) {
        let mut stop = self.0.subscribe();
        let at = match stop.wait_for(Option::is_some).await {
            Ok(stop) => *stop,
            Err(_) => None,
        };
        match at {
            Some(at) => tokio::time::sleep_until(at).await,
            None => std::future::pending().await,
        }
    }

    /// Runs a step of a request until its deadline, or until the time has come.
    ///
    /// # Errors
    ///
    /// Returns an error if the step has not ended then.
    pub(super) async fn run_until<T>(
        &self,
        deadline: Instant,
        step: impl Future<Output = T>,
    ) -> Result<T, Elapsed> {
        let timed = tokio::time::timeout_at(deadline, step);
        tokio::select! {
            biased;
            result = timed => result,
            () = self.passed() => elapsed().await,
        }
    }
}

/// Returns the error of a step that has no time left.
async fn elapsed<T>() -> Result<T, Elapsed> {
    tokio::time::timeout(Duration::ZERO, std::future::pending()).await
}
