use std::{collections::HashMap, fmt};

use base::{EndpointId, Incarnation, Sequence};

/// The compact key of an endpoint's incarnation in the index.
///
/// Updates with the slot of an earlier incarnation are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot {
    pub(crate) number: u16,
    pub(crate) epoch: u16,
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

/// The index's state for an endpoint's incarnation.
#[derive(Clone, Debug)]
pub(crate) struct SlotState {
    pub(crate) incarnation: Incarnation,
    /// The last cache event applied, if any.
    pub(crate) sequence: Option<Sequence>,
    /// When a gap in the events was last seen, in milliseconds; entries recorded before it may have
    /// been removed by a lost event.
    pub(crate) last_gap: Option<u32>,
    /// How long an entry is valid after it was recorded, in milliseconds.
    pub(crate) ttl: u32,
    /// Entries with another generation are invalid.
    pub(crate) generation: u16,
    /// Slots with another epoch belong to an earlier incarnation.
    pub(crate) epoch: u16,
}

/// Maps endpoints to slots.
#[derive(Clone, Debug, Default)]
pub(crate) struct Slots {
    by_endpoint: HashMap<EndpointId, u16>,
    states: Vec<SlotState>,
    free: Vec<u16>,
}

impl Slots {
    pub(crate) fn get(&self, endpoint: &EndpointId) -> Option<Slot> {
        let number = *self.by_endpoint.get(endpoint)?;
        let state = self.states.get(usize::from(number))?;
        Some(Slot { number, epoch: state.epoch })
    }

    /// Returns the state of the incarnation that `slot` belongs to, `None` if it has ended.
    pub(crate) fn live(&self, slot: Slot) -> Option<&SlotState> {
        self.states.get(slot.as_usize()).filter(|state| state.epoch == slot.epoch)
    }

    /// Returns the state of the incarnation that `slot` belongs to, `None` if it has ended.
    pub(crate) fn live_mut(&mut self, slot: Slot) -> Option<&mut SlotState> {
        self.states.get_mut(slot.as_usize()).filter(|state| state.epoch == slot.epoch)
    }

    /// Returns the states, indexed by slot number.
    pub(crate) fn states(&self) -> &[SlotState] {
        &self.states
    }

    /// Assigns a slot to `endpoint`; returns `None` if all numbers are in use.
    pub(crate) fn add(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        ttl: u32,
    ) -> Option<Slot> {
        let number = match self.free.pop() {
            Some(number) => number,
            None => self.add_state()?,
        };
        self.by_endpoint.insert(endpoint.clone(), number);
        self.states[usize::from(number)].restart(incarnation, ttl);
        self.get(endpoint)
    }

    /// Frees the slot of `endpoint` and invalidates its entries.
    pub(crate) fn remove(&mut self, endpoint: &EndpointId) {
        let Some(number) = self.by_endpoint.remove(endpoint) else { return };
        self.states[usize::from(number)].restart(Incarnation::ZERO, 0);
        self.free.push(number);
    }

    fn add_state(&mut self) -> Option<u16> {
        let number = u16::try_from(self.states.len()).ok()?;
        self.states.push(SlotState {
            incarnation: Incarnation::ZERO,
            sequence: None,
            last_gap: None,
            ttl: 0,
            generation: 0,
            epoch: 0,
        });
        Some(number)
    }
}

impl SlotState {
    /// Invalidates every entry recorded so far.
    pub(crate) fn invalidate(&mut self) {
        self.generation = self.generation.wrapping_add(1);
        self.last_gap = None;
    }

    /// Starts a new incarnation.
    pub(crate) fn restart(&mut self, incarnation: Incarnation, ttl: u32) {
        self.invalidate();
        self.epoch = self.epoch.wrapping_add(1);
        self.incarnation = incarnation;
        self.sequence = None;
        self.ttl = ttl;
    }
}
