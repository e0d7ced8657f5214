use std::time::Duration;

use base::{MonotonicTime, Term};

/// A host's own leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leadership {
    /// The term in which the host leads.
    pub term: Term,
    /// Whether the leader lease is valid, so that no other host can lead at present.
    pub has_lease: bool,
}

/// Whether a host may send orders to endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderPermission {
    /// No: another host may be sending orders.
    Denied,
    /// Not yet: an earlier leader's orders may still arrive for this long.
    After(Duration),
    /// Yes.
    Granted,
}

/// Decides when the leader may send orders to endpoints.
///
/// After its first lease in a term the leader waits until the orders of an earlier leader can no
/// longer arrive. A lease that lapses and is renewed within the same term starts no new wait, as no
/// other host can have led meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct OrderGate {
    wait: Duration,
    first_lease: Option<(Term, MonotonicTime)>,
}

impl OrderGate {
    /// Creates a gate that waits for `wait` after the first lease of each term.
    pub const fn new(wait: Duration) -> Self {
        Self { wait, first_lease: None }
    }

    /// Returns the current term once the host has held a lease in it.
    pub fn term(&self) -> Option<Term> {
        self.first_lease.map(|(term, _)| term)
    }

    /// Updates the gate with the host's leadership at `now` and returns whether it may send orders.
    ///
    /// `None` stands for a host that is not the leader; it resets the gate.
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
