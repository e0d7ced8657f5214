use base::TokenCount;

/// Of how many parts of an engine's memory one is left free.
///
/// It holds what other routers send before their reports arrive. With an eighth, 105 engines at 2.4
/// times their capacity exceeded their memory 17 times a minute.
const PARTS_PER_MARGIN: u64 = 4;

/// Share of the room of an engine that the requests expected before the next reports may take.
///
/// The number that arrives varies around the expected one, and each engine that ends loses all its
/// requests. With a half, engines exceeded their memory ten times as often.
const EXPECTED_ROOM_SHARE: f64 = 0.25;

/// The memory of an engine, which ends if the requests that it holds exceed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineMemory {
    capacity: TokenCount,
}

/// Tokens that an engine holds or would hold: prompts plus maximum outputs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldLoad {
    /// Requests in flight.
    pub requests: u32,
    /// Their tokens.
    pub tokens: TokenCount,
}

impl EngineMemory {
    /// Creates the memory of an engine that holds `capacity` tokens; `None` if that is unknown (0).
    pub fn new(capacity: TokenCount) -> Option<Self> {
        (capacity != TokenCount::ZERO).then_some(Self { capacity })
    }

    /// Returns whether the engine has room for a request of this size.
    ///
    /// A request that alone exceeds the bound has room at an engine with nothing in flight.
    pub fn has_room(&self, held: HeldLoad, size: TokenCount) -> bool {
        let tokens = held.tokens.as_u64().saturating_add(size.as_u64());
        held.requests == 0 || tokens <= self.bound()
    }

    /// Returns the share of requests that may be sent now, at most 1, given that `unreported` requests
    /// of other routers are expected at the engine of which no report has arrived.
    ///
    /// Without it, all routers send their requests to the few engines that were last reported to have
    /// room, whatever the margin.
    pub fn admitted_share(&self, held: HeldLoad, size: TokenCount, unreported: f64) -> f64 {
        let room = self.bound().saturating_sub(held.tokens.as_u64());
        let requests = (room / size.as_u64().max(1)).max(1) as f64;
        (EXPECTED_ROOM_SHARE * requests / unreported.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// Returns whether the engine may have ended because its memory was exceeded.
    ///
    /// Requests are admitted up to the same bound, so more is held only if routers sent requests
    /// without knowing of each other's, or one request exceeds it alone. What is held may be more
    /// than what has been reported, so the bound counts and not the capacity.
    pub fn may_be_exceeded(&self, held: HeldLoad) -> bool {
        self.bound() < held.tokens.as_u64()
    }

    /// Returns the number of tokens that may be held.
    fn bound(&self) -> u64 {
        let capacity = self.capacity.as_u64();
        capacity - capacity / PARTS_PER_MARGIN
    }
}
