use std::{fmt, str::FromStr, time::Duration};

use base::{MonotonicTime, OrganisationId, ParseError, TokenCount};

/// Identifies a request within [`Admission`](crate::Admission).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(crate) u64);

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A request's priority within its organisation; lower values go first, as in engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Priority(i32);

impl Priority {
    /// Wraps a plain number.
    pub const fn new(number: i32) -> Self {
        Self(number)
    }

    /// Returns the plain number.
    pub const fn as_i32(self) -> i32 {
        self.0
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Priority {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let number = text.parse().map_err(|_| {
            ParseError::new("priority", text, "a whole number, the lower the more urgent")
        })?;
        Ok(Self(number))
    }
}

/// A request to be admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The organisation that is charged for it.
    pub organisation: OrganisationId,
    /// Its priority among the organisation's requests.
    pub priority: Priority,
    /// The latest time at which it may start.
    pub deadline: MonotonicTime,
    /// The charged cost: tokens to prefill and to generate.
    pub cost: TokenCount,
}

/// The decision on an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request runs now; release the ticket when it ends.
    Run(Ticket),
    /// The request waits for an [`Action`] on its ticket.
    Wait(Ticket),
    /// The request is refused and does not run.
    Refuse(Refusal),
}

/// The outcome for a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The request runs now; release the ticket when it ends.
    Run(Ticket),
    /// The request is refused and does not run; the ticket is no longer valid.
    Refuse(Ticket, Refusal),
}

/// The reason why a request was refused, and when to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// The time after which the request is likely to be admitted.
    pub retry_after: Duration,
}

/// The reason why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// It would wait beyond its deadline.
    Overloaded,
    /// Its organisation has too many waiting requests.
    QueueFull,
    /// Its deadline passed.
    DeadlinePassed,
}

impl RefusalReason {
    /// Returns the reason's name, as responses and metrics spell it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Overloaded => "overloaded",
            Self::QueueFull => "queue-full",
            Self::DeadlinePassed => "deadline-passed",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
