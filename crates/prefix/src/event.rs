use crate::BlockHash;

/// A change of an engine's cache, as the engine publishes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// The engine now holds these blocks.
    Stored(Vec<BlockHash>),
    /// The engine no longer holds these blocks.
    Removed(Vec<BlockHash>),
    /// The engine holds no block.
    Cleared,
}

/// What became of a cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The event followed the one before.
    InOrder,
    /// Events between the last one and this one are missing; this one was applied.
    AfterGap,
    /// The event is of another incarnation or was applied before; it was ignored.
    Stale,
}
