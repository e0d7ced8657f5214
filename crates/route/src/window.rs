use std::time::Duration;

use base::MonotonicTime;

/// Parts into which a window is cut; it slides by one at a time.
const PARTS: usize = 8;

/// Counts outcomes over a sliding window.
#[derive(Clone, Debug)]
pub(crate) struct Window {
    part: Duration,
    counts: [Counts; PARTS],
    /// The part that was counted last, since the clock's origin.
    last: u64,
}

/// Outcomes within a span of time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) total: u32,
    pub(crate) bad: u32,
}

impl Window {
    pub(crate) fn new(length: Duration) -> Self {
        let part = (length / PARTS as u32).max(Duration::from_nanos(1));
        Self { part, counts: [Counts::default(); PARTS], last: 0 }
    }

    /// Counts an outcome and returns the sum over the window.
    pub(crate) fn record(&mut self, now: MonotonicTime, is_bad: bool) -> Counts {
        self.slide(now);
        let counts = &mut self.counts[self.last as usize % PARTS];
        counts.total = counts.total.saturating_add(1);
        counts.bad = counts.bad.saturating_add(is_bad.into());
        self.sum()
    }

    fn slide(&mut self, now: MonotonicTime) {
        let part = (now.since_origin().as_nanos() / self.part.as_nanos()) as u64;
        let passed = part.saturating_sub(self.last).min(PARTS as u64);
        self.last = self.last.max(part);
        for back in 0..passed {
            self.counts[(self.last - back) as usize % PARTS] = Counts::default();
        }
    }

    fn sum(&self) -> Counts {
        let add = |sum: Counts, part: &Counts| Counts {
            total: sum.total.saturating_add(part.total),
            bad: sum.bad.saturating_add(part.bad),
        };
        self.counts.iter().fold(Counts::default(), add)
    }
}
