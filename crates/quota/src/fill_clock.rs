use std::{
    collections::{HashMap, VecDeque},
    hash::Hash,
    time::Duration,
};

use base::MonotonicTime;

/// Time since its last poll for which a router counts as live.
const LIVE_TIME: Duration = Duration::from_secs(1);

/// Time since its last poll for which a router counts as known.
///
/// A partitioned router uses its share for as long as it lives; the leader must not fill that share
/// meanwhile.
const KNOWN_TIME: Duration = Duration::from_secs(3_600);

/// The time for which buckets are filled: it advances at the share of known routers that are live.
#[derive(Clone, Debug)]
pub(crate) struct FillClock<R> {
    started: MonotonicTime,
    now: MonotonicTime,
    /// Fill time so far, in seconds.
    filled: f64,
    last_polls: HashMap<R, MonotonicTime>,
    /// Polls of the last [`LIVE_TIME`], oldest first, superseded ones included.
    polls: VecDeque<(MonotonicTime, R)>,
    live: usize,
    /// Largest number of routers that a live router has reported.
    reported: u32,
    next_cleanup: MonotonicTime,
}

impl<R: Clone + Eq + Hash> FillClock<R> {
    pub(crate) fn new(now: MonotonicTime) -> Self {
        Self {
            started: now,
            now,
            filled: 0.0,
            last_polls: HashMap::new(),
            polls: VecDeque::new(),
            live: 0,
            reported: 0,
            next_cleanup: now + KNOWN_TIME,
        }
    }

    /// Records a poll of a router that knows this number of routers.
    pub(crate) fn record_poll(&mut self, now: MonotonicTime, router: &R, routers: u32) {
        self.advance(now);
        self.reported = self.reported.max(routers);
        let previous = self.last_polls.insert(router.clone(), self.now);
        if previous == Some(self.now) {
            return;
        }
        if previous.is_none_or(|previous| previous + LIVE_TIME <= self.now) {
            self.live += 1;
        }
        self.polls.push_back((self.now, router.clone()));
    }

    /// Returns the fill time at `now`, in seconds.
    pub(crate) fn at(&mut self, now: MonotonicTime) -> f64 {
        self.advance(now);
        self.filled
    }

    /// Returns the number of known routers.
    pub(crate) fn known(&self) -> u32 {
        u32::try_from(self.last_polls.len()).unwrap_or(u32::MAX).max(self.reported)
    }

    /// Returns how much fill time is expected to pass per time.
    ///
    /// At the start of a term few routers have polled yet, and where none is live one will poll
    /// soon; waits that assume that this stays so would be many times too long.
    pub(crate) fn expected_speed(&self) -> f64 {
        let is_new = self.now.saturating_since(self.started) < LIVE_TIME;
        if is_new || self.live == 0 { 1.0 } else { self.speed() }
    }

    /// Returns how much fill time passes per time.
    fn speed(&self) -> f64 {
        self.live as f64 / f64::from(self.known().max(1))
    }

    /// Advances the clock; routers stop being live in the order of their last polls, also if this
    /// host was frozen meanwhile.
    fn advance(&mut self, now: MonotonicTime) {
        while let Some((at, _)) = self.polls.front() {
            let expiry = *at + LIVE_TIME;
            if now < expiry {
                break;
            }
            self.fill_until(expiry);
            let Some((at, router)) = self.polls.pop_front() else { break };
            if self.last_polls.get(&router) == Some(&at) {
                self.live -= 1;
            }
        }
        self.fill_until(now);
        self.remove_unknown();
    }

    fn fill_until(&mut self, until: MonotonicTime) {
        self.filled += until.saturating_since(self.now).as_secs_f64() * self.speed();
        self.now = self.now.max(until);
    }

    fn remove_unknown(&mut self) {
        if self.now < self.next_cleanup {
            return;
        }
        self.next_cleanup = self.now + KNOWN_TIME;
        let now = self.now;
        self.last_polls.retain(|_, at| now.saturating_since(*at) < KNOWN_TIME);
        self.reported = 0;
    }
}
