//! Timers that expire only after what arrived before was read.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use hyper::rt::{Sleep, Timer};

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

/// A timer for the HTTP library's limits.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadFirstTimer;

impl Timer for ReadFirstTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        let sleep = Box::pin(tokio::time::sleep_until(deadline.into()));
        Box::pin(ReadFirstSleep { sleep, is_past_deadline: false })
    }
}

struct ReadFirstSleep {
    sleep: Pin<Box<tokio::time::Sleep>>,
    is_past_deadline: bool,
}

impl Sleep for ReadFirstSleep {}

impl Future for ReadFirstSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        ready!(self.sleep.as_mut().poll(cx));
        if self.is_past_deadline {
            return Poll::Ready(());
        }
        self.is_past_deadline = true;
        self.sleep.as_mut().reset(tokio::time::Instant::now() + READ_TIME);
        self.sleep.as_mut().poll(cx)
    }
}
