use std::time::Duration;

use base::MonotonicTime;

/// Number of equal parts of a window; it slides by one part at a time.
const WINDOW_PARTS: usize = 8;

/// Counts outcomes over a sliding window.
#[derive(Clone, Debug)]
pub(crate) struct Window {
    part_length: Duration,
    counts: [Counts; WINDOW_PARTS],
    /// Number of the latest part, counted from the clock's origin.
    last: u64,
}

/// Numbers of outcomes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) total: u32,
    pub(crate) bad: u32,
}

impl Window {
    pub(crate) fn new(length: Duration) -> Self {
        let part_length = (length / WINDOW_PARTS as u32).max(Duration::from_nanos(1));
        Self { part_length, counts: [Counts::default(); WINDOW_PARTS], last: 0 }
    }

    /// Records an outcome and returns the counts over the window.
    pub(crate) fn record(&mut self, now: MonotonicTime, is_bad: bool) -> Counts {
        self.slide(now);
        let counts = &mut self.counts[self.last as usize % WINDOW_PARTS];
        counts.total = counts.total.saturating_add(1);
        counts.bad = counts.bad.saturating_add(is_bad.into());
        self.sum()
    }

    fn slide(&mut self, now: MonotonicTime) {
        let part = (now.since_origin().as_nanos() / self.part_length.as_nanos()) as u64;
        let passed = part.saturating_sub(self.last).min(WINDOW_PARTS as u64);
        self.last = self.last.max(part);
        for back in 0..passed {
            self.counts[(self.last - back) as usize % WINDOW_PARTS] = Counts::default();
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
