use std::{collections::HashMap, fmt};

use base::{EndpointId, Incarnation, Sequence};

/// The compact name that the index uses for an endpoint's incarnation.
///
/// What is learnt under the slot of an earlier incarnation is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot {
    pub(crate) number: u16,
    pub(crate) life: u16,
}

impl Slot {
    /// Returns the slot's number, the same for all incarnations of an endpoint.
    pub const fn as_usize(self) -> usize {
        self.number as usize
    }
}

impl fmt::Display for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.number.fmt(f)
    }
}

/// What the index keeps for an endpoint's incarnation.
#[derive(Clone, Debug)]
pub(crate) struct State {
    pub(crate) incarnation: Incarnation,
    /// The last cache event applied, if any.
    pub(crate) sequence: Option<Sequence>,
    /// Holdings learnt before this time, in milliseconds, may have been removed in a lost event.
    pub(crate) doubted_until: Option<u32>,
    /// How long a holding is believed after it was learnt, in milliseconds.
    pub(crate) trust: u32,
    /// Holdings with another generation are void.
    pub(crate) generation: u16,
    /// Slots with another life name an earlier incarnation.
    pub(crate) life: u16,
}

/// Maps endpoints to slots.
#[derive(Clone, Debug, Default)]
pub(crate) struct Slots {
    by_endpoint: HashMap<EndpointId, u16>,
    states: Vec<State>,
    free: Vec<u16>,
}

impl Slots {
    pub(crate) fn of(&self, endpoint: &EndpointId) -> Option<Slot> {
        let number = *self.by_endpoint.get(endpoint)?;
        let state = self.states.get(usize::from(number))?;
        Some(Slot { number, life: state.life })
    }

    /// Returns the state of the incarnation that `slot` names, `None` if it is over.
    pub(crate) fn live(&self, slot: Slot) -> Option<&State> {
        self.states.get(slot.as_usize()).filter(|state| state.life == slot.life)
    }

    /// Returns the state of the incarnation that `slot` names, `None` if it is over.
    pub(crate) fn live_mut(&mut self, slot: Slot) -> Option<&mut State> {
        self.states.get_mut(slot.as_usize()).filter(|state| state.life == slot.life)
    }

    /// Returns the states by number.
    pub(crate) fn states(&self) -> &[State] {
        &self.states
    }

    /// Gives `endpoint` a slot, `None` if all numbers are taken.
    pub(crate) fn add(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        trust: u32,
    ) -> Option<Slot> {
        let number = match self.free.pop() {
            Some(number) => number,
            None => self.add_state()?,
        };
        self.by_endpoint.insert(endpoint.clone(), number);
        self.states[usize::from(number)].restart(incarnation, trust);
        self.of(endpoint)
    }

    /// Frees the slot of `endpoint` and voids what was held under it.
    pub(crate) fn remove(&mut self, endpoint: &EndpointId) {
        let Some(number) = self.by_endpoint.remove(endpoint) else { return };
        self.states[usize::from(number)].restart(Incarnation::ZERO, 0);
        self.free.push(number);
    }

    fn add_state(&mut self) -> Option<u16> {
        let number = u16::try_from(self.states.len()).ok()?;
        self.states.push(State {
            incarnation: Incarnation::ZERO,
            sequence: None,
            doubted_until: None,
            trust: 0,
            generation: 0,
            life: 0,
        });
        Some(number)
    }
}

impl State {
    /// Voids every holding learnt so far.
    pub(crate) fn void(&mut self) {
        self.generation = self.generation.wrapping_add(1);
        self.doubted_until = None;
    }

    /// Starts a new incarnation.
    pub(crate) fn restart(&mut self, incarnation: Incarnation, trust: u32) {
        self.void();
        self.life = self.life.wrapping_add(1);
        self.incarnation = incarnation;
        self.sequence = None;
        self.trust = trust;
    }
}
