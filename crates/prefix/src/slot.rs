use std::{collections::HashMap, fmt, time::Duration};

use base::{EndpointId, Incarnation, MonotonicTime, Sequence};

/// The compact number that the index uses for an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot(pub(crate) u16);

impl Slot {
    /// Returns the slot as an index.
    pub const fn as_usize(self) -> usize {
        self.0 as usize
    }
}

impl fmt::Display for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What the index keeps for an endpoint's incarnation.
#[derive(Clone, Debug)]
pub(crate) struct State {
    pub(crate) incarnation: Incarnation,
    /// Holdings with another generation are void.
    pub(crate) generation: u16,
    /// The last cache event applied, if any.
    pub(crate) sequence: Option<Sequence>,
    /// Holdings learnt before this time may have been removed in a lost event.
    pub(crate) doubted_until: Option<MonotonicTime>,
    /// How long a holding is believed after it was learnt.
    pub(crate) trust: Duration,
}

/// Maps endpoints to slots.
#[derive(Clone, Debug, Default)]
pub(crate) struct Slots {
    by_endpoint: HashMap<EndpointId, Slot>,
    states: Vec<State>,
    free: Vec<Slot>,
}

impl Slots {
    pub(crate) fn of(&self, endpoint: &EndpointId) -> Option<Slot> {
        self.by_endpoint.get(endpoint).copied()
    }

    pub(crate) fn state(&self, slot: Slot) -> Option<&State> {
        self.states.get(slot.as_usize())
    }

    pub(crate) fn state_mut(&mut self, slot: Slot) -> Option<&mut State> {
        self.states.get_mut(slot.as_usize())
    }

    pub(crate) fn states(&self) -> &[State] {
        &self.states
    }

    /// Gives `endpoint` a slot, `None` if all numbers are taken.
    pub(crate) fn add(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        trust: Duration,
    ) -> Option<Slot> {
        let slot = match self.free.pop() {
            Some(slot) => slot,
            None => Slot(u16::try_from(self.states.len()).ok()?),
        };
        self.by_endpoint.insert(endpoint.clone(), slot);
        let generation = self.state(slot).map_or(0, |state| state.generation);
        let state = State { incarnation, generation, sequence: None, doubted_until: None, trust };
        match self.states.get_mut(slot.as_usize()) {
            Some(old) => *old = state,
            None => self.states.push(state),
        }
        Some(slot)
    }

    /// Frees the slot of `endpoint` and voids what was held under it.
    pub(crate) fn remove(&mut self, endpoint: &EndpointId) {
        let Some(slot) = self.by_endpoint.remove(endpoint) else { return };
        self.states[slot.as_usize()].void();
        self.free.push(slot);
    }
}

impl State {
    /// Voids every holding learnt so far.
    pub(crate) fn void(&mut self) {
        self.generation = self.generation.wrapping_add(1);
        self.doubted_until = None;
    }

    /// Starts a new incarnation.
    pub(crate) fn restart(&mut self, incarnation: Incarnation, trust: Duration) {
        self.void();
        self.incarnation = incarnation;
        self.sequence = None;
        self.trust = trust;
    }
}
