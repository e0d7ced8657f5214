use crate::{BlockHash, Slot, hot::scale};

/// Marks the end of a list.
const NIL: u32 = u32::MAX;

/// Most endpoints remembered for one block; beyond it the one learnt first makes room.
pub(crate) const MAX_HOLDERS: usize = 32;

/// Holdings compared to find one to evict.
const EVICTION_SAMPLE: usize = 8;

/// One endpoint's holding of one block.
#[derive(Clone, Copy, Debug)]
#[repr(C, packed(4))]
pub(crate) struct Holding {
    pub(crate) block: u64,
    /// When it was learnt, in milliseconds since the clock's origin, modulo 2^32.
    pub(crate) learnt: u32,
    pub(crate) slot: u16,
    pub(crate) generation: u16,
    next: u32,
}

/// Holdings by block, in a fixed amount of memory: a list for each bucket.
#[derive(Clone, Debug)]
pub(crate) struct Table {
    heads: Vec<u32>,
    holdings: Vec<Holding>,
    capacity: usize,
    /// Where the search for a holding to evict starts.
    hand: usize,
    /// A list of the places whose holding was removed.
    free: u32,
    len: usize,
    seed: u64,
}

impl Table {
    /// Memory that a holding takes, in bytes: itself and its share of the buckets.
    pub(crate) const ENTRY_BYTES: usize = size_of::<Holding>() + size_of::<u32>();

    pub(crate) fn new(capacity: usize, seed: u64) -> Self {
        let capacity = capacity.clamp(1, NIL as usize - 1);
        Self {
            heads: vec![NIL; capacity],
            holdings: Vec::with_capacity(capacity),
            capacity,
            hand: 0,
            free: NIL,
            len: 0,
            seed,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn bytes(&self) -> usize {
        self.heads.capacity() * size_of::<u32>() + self.holdings.capacity() * size_of::<Holding>()
    }

    /// Returns the holdings of `block`, the one learnt last first.
    pub(crate) fn holders(&self, block: BlockHash) -> impl Iterator<Item = Holding> + '_ {
        self.places(block).map(|place| self.holdings[place])
    }

    /// Returns the places of the holdings of `block`.
    fn places(&self, block: BlockHash) -> impl Iterator<Item = usize> + '_ {
        let mut place = self.heads[self.bucket(block.as_u64())];
        std::iter::from_fn(move || {
            let found = (place != NIL).then_some(place as usize)?;
            place = self.holdings[found].next;
            Some(found)
        })
        .filter(move |&place| self.holdings[place].block == block.as_u64())
    }

    /// Stores or renews the holding of `block` by `slot`.
    pub(crate) fn insert(&mut self, block: BlockHash, slot: Slot, generation: u16, learnt: u32) {
        let renewed = self.places(block).find(|&place| self.holdings[place].slot == slot.number);
        let crowded = || self.places(block).nth(MAX_HOLDERS - 1);
        if let Some(place) = renewed.or_else(crowded) {
            let holding = &mut self.holdings[place];
            holding.slot = slot.number;
            holding.generation = generation;
            holding.learnt = learnt;
            self.move_to_front(place);
            return;
        }
        let place = self.vacant_place(learnt);
        let bucket = self.bucket(block.as_u64());
        let next = self.heads[bucket];
        let holding =
            Holding { block: block.as_u64(), learnt, slot: slot.number, generation, next };
        match self.holdings.get_mut(place) {
            Some(old) => *old = holding,
            None => self.holdings.push(holding),
        }
        self.heads[bucket] = place as u32;
        self.len += 1;
    }

    /// Removes the holding of `block` by `slot`.
    pub(crate) fn remove(&mut self, block: BlockHash, slot: Slot) {
        let found = self.places(block).find(|&place| self.holdings[place].slot == slot.number);
        let Some(place) = found else { return };
        self.unlink(place);
        self.holdings[place].next = self.free;
        self.free = place as u32;
    }

    /// Finds room for a holding, evicting one if the table is full.
    fn vacant_place(&mut self, now: u32) -> usize {
        if self.free != NIL {
            let place = self.free as usize;
            self.free = self.holdings[place].next;
            return place;
        }
        if self.holdings.len() < self.capacity {
            return self.holdings.len();
        }
        let place = self.oldest_at_hand(now);
        self.hand = (self.hand + 1) % self.capacity;
        self.unlink(place);
        place
    }

    /// Returns the oldest of the places next to the hand, so that a renewed holding stays.
    fn oldest_at_hand(&self, now: u32) -> usize {
        let places = (self.hand..self.hand + EVICTION_SAMPLE).map(|place| place % self.capacity);
        let age = |place: &usize| now.wrapping_sub(self.holdings[*place].learnt);
        places.rev().max_by_key(age).unwrap_or(self.hand)
    }

    fn move_to_front(&mut self, place: usize) {
        self.unlink(place);
        let bucket = self.bucket(self.holdings[place].block);
        self.holdings[place].next = self.heads[bucket];
        self.heads[bucket] = place as u32;
        self.len += 1;
    }

    fn unlink(&mut self, place: usize) {
        let Holding { block, next, .. } = self.holdings[place];
        let bucket = self.bucket(block);
        self.len -= 1;
        if self.heads[bucket] == place as u32 {
            self.heads[bucket] = next;
            return;
        }
        let mut before = self.heads[bucket] as usize;
        while self.holdings[before].next != place as u32 {
            before = self.holdings[before].next as usize;
        }
        self.holdings[before].next = next;
    }

    fn bucket(&self, block: u64) -> usize {
        scale(scatter(block ^ self.seed), self.heads.len())
    }
}

/// Folds the product with a constant, so that the seed reaches every bit.
fn scatter(number: u64) -> u64 {
    const ODD: u128 = 0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835;
    let product = u128::from(number).wrapping_mul(ODD);
    (product >> u64::BITS) as u64 ^ product as u64
}
