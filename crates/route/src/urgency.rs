use base::TokenCount;

use crate::{EngineSpeed, InFlightLoad};

/// Of how many slots of an engine one is reserved for urgent requests.
const SLOTS_PER_RESERVED: u32 = 6;

/// Whether engines prefill a request before others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Urgency {
    /// Prefilled before requests of the other class.
    Urgent,
    /// Prefilled after urgent requests, in order of arrival.
    #[default]
    Normal,
}

impl Urgency {
    /// Returns the class of a priority; only 0 is urgent.
    pub fn of(priority: u8) -> Self {
        match priority {
            0 => Self::Urgent,
            _ => Self::Normal,
        }
    }
}

/// Work in flight at an engine, with the part that is urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadByUrgency {
    /// All work, the urgent included.
    pub total: InFlightLoad,
    /// Tokens of urgent requests that wait for prefill.
    pub urgent_prefill_tokens: TokenCount,
}

impl LoadByUrgency {
    /// Returns the load that a new request of this urgency waits for.
    ///
    /// An urgent request waits for the prefill of urgent ones only. Requests count in full: an
    /// engine at its slots preempts a less urgent request and repeats its prefill later.
    pub fn ahead_of(&self, urgency: Urgency) -> InFlightLoad {
        match urgency {
            Urgency::Urgent => {
                let prefill_tokens = self.urgent_prefill_tokens.min(self.total.prefill_tokens);
                InFlightLoad { prefill_tokens, ..self.total }
            }
            Urgency::Normal => self.total,
        }
    }
}

impl EngineSpeed {
    /// Returns the speed for requests that leave the reserved slots to urgent ones: a sixth of the
    /// slots and at least one, but never the only one.
    pub fn without_reserved_slots(self) -> Self {
        let reserved = (self.max_streams / SLOTS_PER_RESERVED).max(1);
        let max_streams = self.max_streams.saturating_sub(reserved).max(self.max_streams.min(1));
        Self { max_streams, ..self }
    }
}
