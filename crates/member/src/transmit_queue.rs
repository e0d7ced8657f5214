use std::collections::{BTreeMap, BTreeSet};

/// Updates queued for gossip, the least transmitted first.
#[derive(Debug)]
pub(crate) struct TransmitQueue<K> {
    positions: BTreeMap<K, Position>,
    order: BTreeSet<(Position, K)>,
    push_count: u64,
}

/// The sort key of a queued update.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    transmissions: u32,
    newest_first: std::cmp::Reverse<u64>,
}

impl<K> Default for TransmitQueue<K> {
    fn default() -> Self {
        Self { positions: BTreeMap::new(), order: BTreeSet::new(), push_count: 0 }
    }
}

impl<K: Clone + Ord> TransmitQueue<K> {
    /// Queues an update of `key`, replacing an older one and its transmission count.
    pub(crate) fn push(&mut self, key: K) {
        self.remove(&key);
        self.push_count += 1;
        self.insert(
            key,
            Position { transmissions: 0, newest_first: std::cmp::Reverse(self.push_count) },
        );
    }

    /// Removes the update of `key`.
    pub(crate) fn remove(&mut self, key: &K) {
        let Some(position) = self.positions.remove(key) else { return };
        self.order.remove(&(position, key.clone()));
    }

    /// Returns whether the queue is empty.
    pub(crate) fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the number of queued updates.
    pub(crate) fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns the updates that fit into `remaining` bytes; an update is dropped after `limit`
    /// transmissions.
    ///
    /// An update longer than `max_bytes`, which no message can hold, is dropped. `encode` returns the
    /// item and its length, or nothing if the update is obsolete.
    pub(crate) fn take<T>(
        &mut self,
        remaining: &mut usize,
        max_bytes: usize,
        limit: u32,
        mut encode: impl FnMut(&K) -> Option<(T, usize)>,
    ) -> Vec<T> {
        let mut items = Vec::new();
        let mut sent = Vec::new();
        for (position, key) in &self.order {
            let Some((item, bytes)) = encode(key).filter(|(_, bytes)| *bytes <= max_bytes) else {
                sent.push((*position, key.clone(), limit));
                continue;
            };
            if *remaining < bytes {
                break;
            }
            *remaining -= bytes;
            items.push(item);
            sent.push((*position, key.clone(), position.transmissions + 1));
        }
        for (position, key, transmissions) in sent {
            self.remove(&key);
            if transmissions < limit {
                self.insert(key, Position { transmissions, ..position });
            }
        }
        items
    }

    fn insert(&mut self, key: K, position: Position) {
        self.positions.insert(key.clone(), position);
        self.order.insert((position, key));
    }
}
