use std::collections::{BTreeMap, BTreeSet};

/// News that waits to be sent, the least transmitted first.
#[derive(Debug)]
pub(crate) struct Spread<K> {
    places: BTreeMap<K, Place>,
    order: BTreeSet<(Place, K)>,
    added: u64,
}

/// A place in the order of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    transmissions: u32,
    newest_first: std::cmp::Reverse<u64>,
}

impl<K> Default for Spread<K> {
    fn default() -> Self {
        Self { places: BTreeMap::new(), order: BTreeSet::new(), added: 0 }
    }
}

impl<K: Clone + Ord> Spread<K> {
    /// Adds news, or starts over with newer news of the same subject.
    pub(crate) fn push(&mut self, key: K) {
        self.remove(&key);
        self.added += 1;
        self.insert(key, Place { transmissions: 0, newest_first: std::cmp::Reverse(self.added) });
    }

    /// Drops news that is no longer worth sending.
    pub(crate) fn remove(&mut self, key: &K) {
        let Some(place) = self.places.remove(key) else { return };
        self.order.remove(&(place, key.clone()));
    }

    /// Returns whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the number of subjects that wait.
    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    /// Takes what fits in `room` bytes, each `limit` times at most before it is dropped.
    ///
    /// `encode` returns the item and its length, or nothing if there is no news to send.
    pub(crate) fn take<T>(
        &mut self,
        room: &mut usize,
        limit: u32,
        mut encode: impl FnMut(&K) -> Option<(T, usize)>,
    ) -> Vec<T> {
        let mut items = Vec::new();
        let mut sent = Vec::new();
        for (place, key) in &self.order {
            let Some((item, bytes)) = encode(key) else {
                sent.push((*place, key.clone(), limit));
                continue;
            };
            if *room < bytes {
                break;
            }
            *room -= bytes;
            items.push(item);
            sent.push((*place, key.clone(), place.transmissions + 1));
        }
        for (place, key, transmissions) in sent {
            self.remove(&key);
            if transmissions < limit {
                self.insert(key, Place { transmissions, ..place });
            }
        }
        items
    }

    fn insert(&mut self, key: K, place: Place) {
        self.places.insert(key.clone(), place);
        self.order.insert((place, key));
    }
}
