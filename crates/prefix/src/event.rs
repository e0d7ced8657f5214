use crate::BlockHash;

/// A change of an engine's cache, published by the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// These blocks are cached now.
    Stored(Vec<BlockHash>),
    /// These blocks are no longer cached.
    Removed(Vec<BlockHash>),
    /// The cache is empty.
    Cleared,
}

/// The outcome of applying a cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventOutcome {
    /// The event followed the last one without a gap.
    InOrder,
    /// Events since the last one are missing; this one was applied.
    AfterGap,
    /// The event is from another incarnation or was already applied; it was ignored.
    Stale,
}
