//! Timers that expire only after what arrived before was read.

use std::time::Duration;

/// Time from a deadline to its expiry, in which the runtime looks for arrived data once more.
///
/// When a paused process goes on, the runtime may see that a deadline has passed before it sees
/// what arrived meanwhile.
const READ_TIME: Duration = Duration::from_millis(1);

/// Waits until `duration` has passed and what arrived by then can be read.
pub(super) async fn sleep(duration: Duration) {
    tokio::time::sleep(duration).await;
    arrivals().await;
}

/// Waits until what has arrived can be read.
pub(super) async fn arrivals() {
    tokio::time::sleep(READ_TIME).await;
}
