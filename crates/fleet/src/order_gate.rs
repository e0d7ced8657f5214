use std::time::Duration;

use base::{MonotonicTime, Term};

/// What a host knows of its own lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leadership {
    /// The term in which it leads.
    pub term: Term,
    /// Whether its lease runs, so that no other host can lead at present.
    pub has_lease: bool,
}

/// What a host may do about orders to endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderPermission {
    /// Another host may be giving orders.
    Denied,
    /// Orders of an earlier leader may still arrive, for this time.
    After(Duration),
    /// It may give orders.
    Granted,
}

/// The time for which a host leads in one term, and so may give orders to endpoints.
///
/// A lease that lapses and runs again in the same term proves that no other host led meanwhile, so
/// that only a new term makes the host wait for an earlier leader's orders.
#[derive(Clone, Copy, Debug)]
pub struct OrderGate {
    wait: Duration,
    first_lease: Option<(Term, MonotonicTime)>,
}

impl OrderGate {
    /// Creates one that waits for `wait` after the beginning of each term.
    pub const fn new(wait: Duration) -> Self {
        Self { wait, first_lease: None }
    }

    /// Returns the term in which orders may be given, once the lease has run in it.
    pub fn term(&self) -> Option<Term> {
        self.first_lease.map(|(term, _)| term)
    }

    /// Judges what the host may do at `now`; without a lead it holds nothing any more.
    pub fn update(
        &mut self,
        now: MonotonicTime,
        leadership: Option<Leadership>,
    ) -> OrderPermission {
        let Some(leadership) = leadership else {
            self.first_lease = None;
            return OrderPermission::Denied;
        };
        self.first_lease = self.first_lease.filter(|(term, _)| *term == leadership.term);
        if !leadership.has_lease {
            return OrderPermission::Denied;
        }
        let (_, since) = *self.first_lease.get_or_insert((leadership.term, now));
        match self.wait.saturating_sub(now.saturating_since(since)) {
            Duration::ZERO => OrderPermission::Granted,
            left => OrderPermission::After(left),
        }
    }
}
