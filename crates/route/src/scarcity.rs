use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use base::{MonotonicTime, TokenCount};

/// Length of a part of the window.
const PART: Duration = Duration::from_secs(1);

/// Number of parts over which admitted tokens are compared.
const PARTS: u64 = 4;

/// Time for which capacity counts as short after a request was refused for lack of it.
const SHORTAGE_RETENTION: Duration = Duration::from_secs(2);

/// Shares a router's admitted tokens equally among organisations while capacity is short.
///
/// State: the tokens of each organisation with traffic in the last seconds.
#[derive(Clone, Debug, Default)]
pub struct TokenShares {
    /// Parts of the window with traffic, oldest first.
    parts: VecDeque<Part>,
    /// Sums over the window, of organisations with traffic in it.
    sums: HashMap<Arc<str>, Sum>,
    total: u64,
    short_until: MonotonicTime,
}

/// Tokens of an organisation over the window.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    tokens: u64,
    /// Number of parts in which it took part.
    parts: u32,
}

/// Tokens admitted in a part of the window.
#[derive(Clone, Debug)]
struct Part {
    /// Its number, counted from the clock's origin.
    number: u64,
    tokens: HashMap<Arc<str>, u64>,
}

/// Why an organisation's request is refused, and when it may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverShare {
    /// Tokens of the organisation in the window.
    pub taken: TokenCount,
    /// Its equal share of all tokens admitted in the window.
    pub share: TokenCount,
    /// The time until the oldest of its tokens leave the window or capacity is no longer short.
    pub retry_after: Duration,
}

impl TokenShares {
    /// Records an admitted request.
    pub fn record_admitted(
        &mut self,
        now: MonotonicTime,
        organisation: &Arc<str>,
        tokens: TokenCount,
    ) {
        self.add(now, organisation, tokens.as_u64());
    }

    /// Records that a request was refused for lack of capacity.
    ///
    /// Its organisation takes part even if none of its requests was admitted.
    pub fn record_shortage(&mut self, now: MonotonicTime, organisation: &Arc<str>) {
        self.add(now, organisation, 0);
        self.short_until = now + SHORTAGE_RETENTION;
    }

    fn add(&mut self, now: MonotonicTime, organisation: &Arc<str>, tokens: u64) {
        self.remove_expired(now);
        let number = part_number(now);
        if self.parts.back().is_none_or(|part| part.number != number) {
            self.parts.push_back(Part { number, tokens: HashMap::new() });
        }
        let Some(part) = self.parts.back_mut() else { return };
        let sum = self.sums.entry(Arc::clone(organisation)).or_default();
        let in_part = part.tokens.entry(Arc::clone(organisation)).or_insert_with(|| {
            sum.parts += 1;
            0
        });
        *in_part += tokens;
        sum.tokens += tokens;
        self.total += tokens;
    }

    /// Checks that an organisation has taken at most an equal share.
    ///
    /// # Errors
    ///
    /// Returns an error if capacity is short and the organisation has taken more than an equal share
    /// of the tokens admitted in the window, in which another one took part.
    pub fn check(&mut self, now: MonotonicTime, organisation: &str) -> Result<(), OverShare> {
        if self.short_until <= now {
            return Ok(());
        }
        self.remove_expired(now);
        let taken = self.sums.get(organisation).map_or(0, |sum| sum.tokens);
        let share = self.total / self.sums.len().max(1) as u64;
        if taken <= share {
            return Ok(());
        }
        let expiry = self.expiry_of(now, organisation);
        Err(OverShare {
            taken: TokenCount::new(taken),
            share: TokenCount::new(share),
            retry_after: expiry.min(self.short_until.saturating_since(now)),
        })
    }

    /// Returns the time until the oldest tokens of an organisation leave the window.
    fn expiry_of(&self, now: MonotonicTime, organisation: &str) -> Duration {
        let oldest = self.parts.iter().find(|part| part.tokens.contains_key(organisation));
        let number = oldest.map_or(0, |part| part.number + PARTS);
        (MonotonicTime::ZERO + PART * u32::try_from(number).unwrap_or(u32::MAX))
            .saturating_since(now)
    }

    fn remove_expired(&mut self, now: MonotonicTime) {
        let oldest = (part_number(now) + 1).saturating_sub(PARTS);
        while self.parts.front().is_some_and(|part| part.number < oldest) {
            let Some(part) = self.parts.pop_front() else { return };
            part.tokens
                .iter()
                .for_each(|(organisation, tokens)| self.subtract(organisation, *tokens));
        }
    }

    fn subtract(&mut self, organisation: &str, tokens: u64) {
        self.total -= tokens;
        let Some(sum) = self.sums.get_mut(organisation) else { return };
        sum.tokens -= tokens;
        sum.parts -= 1;
        if sum.parts == 0 {
            self.sums.remove(organisation);
        }
    }
}

fn part_number(now: MonotonicTime) -> u64 {
    (now.since_origin().as_nanos() / PART.as_nanos()) as u64
}
