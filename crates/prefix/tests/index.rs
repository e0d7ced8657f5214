//! Which cached blocks the index expects endpoints to hold.

use std::time::Duration;

use base::{ByteCount, Incarnation, MonotonicTime, Sequence};
use prefix::{
    BlockBytes, CacheEvent, Chain, EventOutcome, IndexSettings, PrefixMatches, Salt, Slot,
    WarmIndex,
};
use proptest::prelude::{ProptestConfig, any, prop_assert, proptest};

const BLOCKS: usize = 8;

fn chain_of(text: &[u8]) -> Chain {
    let id = "x".parse().unwrap();
    let salt = Salt::new(&id, &"m".parse().unwrap(), &"v1".parse().unwrap(), None);
    Chain::of(salt, BlockBytes::new(4).unwrap(), text)
}

fn chain() -> Chain {
    chain_of(&[7; 4 * BLOCKS])
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

struct Fixture {
    index: WarmIndex,
    slot: Slot,
}

impl Fixture {
    fn new() -> Self {
        let mut index = WarmIndex::new(IndexSettings {
            memory: ByteCount::new(64 << 10),
            max_ttl: Duration::from_secs(10),
            min_ttl: Duration::from_secs(1),
            ..IndexSettings::default()
        });
        let slot = index.bind(&"e1".parse().unwrap(), Incarnation::new(1)).unwrap();
        Self { index, slot }
    }

    fn sent(mut self) -> Self {
        self.index.record_sent(at(0), self.slot, &chain());
        self
    }

    fn restart(mut self, incarnation: u64) -> Self {
        let endpoint = "e1".parse().unwrap();
        self.slot = self.index.bind(&endpoint, Incarnation::new(incarnation)).unwrap();
        self
    }

    fn event(mut self, incarnation: u64, sequence: u64, event: CacheEvent) -> (Self, EventOutcome) {
        let incarnation = Incarnation::new(incarnation);
        let sequence = Sequence::new(sequence);
        let outcome = self.index.apply(at(500), self.slot, incarnation, sequence, &event);
        (self, outcome)
    }

    fn matched_blocks(&self, now: u64) -> usize {
        let mut matches = PrefixMatches::default();
        self.index.match_prefix(at(now), &chain(), &mut matches);
        matches.blocks(self.slot)
    }
}

fn stored(blocks: std::ops::Range<usize>) -> CacheEvent {
    CacheEvent::Stored(chain().blocks()[blocks].to_vec())
}

fn removed(blocks: std::ops::Range<usize>) -> CacheEvent {
    CacheEvent::Removed(chain().blocks()[blocks].to_vec())
}

macro_rules! match_cases {
    ($($name:ident: $fixture:expr, at $now:expr => $blocks:expr,)*) => {$(
        #[test]
        fn $name() {
            assert_eq!($fixture.matched_blocks($now), $blocks);
        }
    )*};
}

match_cases! {
    empty_index_has_no_match: Fixture::new(), at 0 => 0,
    sent_request_is_recorded: Fixture::new().sent(), at 1 => BLOCKS,
    entries_expire_after_the_ttl: Fixture::new().sent(), at 10_000 => 0,
    new_incarnation_invalidates_entries: Fixture::new().sent().restart(2), at 1 => 0,
    older_incarnation_is_ignored: Fixture::new().restart(3).sent().restart(2), at 1 => BLOCKS,
    stored_event_adds_blocks: Fixture::new().event(1, 1, stored(0..3)).0, at 501 => 3,
    removed_event_shortens_the_match:
        Fixture::new().sent().event(1, 1, removed(5..6)).0, at 501 => 5,
    cleared_event_invalidates_entries:
        Fixture::new().sent().event(1, 1, CacheEvent::Cleared).0, at 501 => 0,
    blocks_after_a_missing_block_do_not_match:
        Fixture::new().event(1, 1, stored(1..8)).0, at 501 => 0,
    event_of_dead_incarnation_is_ignored:
        Fixture::new().restart(2).event(1, 1, stored(0..8)).0, at 501 => 0,
    event_without_gap_keeps_the_ttl:
        Fixture::new().sent().event(1, 1, stored(0..1)).0.event(1, 2, stored(0..1)).0,
        at 1_500 => BLOCKS,
    gap_shortens_the_ttl_of_earlier_entries:
        Fixture::new().sent().event(1, 1, stored(0..1)).0.event(1, 3, stored(0..2)).0,
        at 2_000 => 2,
    gap_keeps_recent_entries:
        Fixture::new().sent().event(1, 1, stored(0..1)).0.event(1, 3, stored(0..2)).0,
        at 999 => BLOCKS,
}

#[test]
fn repeated_event_is_stale() {
    let (fixture, first) = Fixture::new().event(1, 4, stored(0..1));
    let (fixture, second) = fixture.event(1, 4, CacheEvent::Cleared);
    let (_, third) = fixture.event(1, 6, stored(0..1));
    assert_eq!(
        [first, second, third],
        [EventOutcome::InOrder, EventOutcome::Stale, EventOutcome::AfterGap]
    );
}

#[test]
fn cached_count_shortens_and_extends_the_match() {
    let mut fixture = Fixture::new().sent();
    fixture.index.record_cached(at(1), fixture.slot, &chain(), 2);
    assert_eq!(fixture.matched_blocks(2), 2);
    fixture.index.record_cached(at(3), fixture.slot, &chain(), 6);
    assert_eq!(fixture.matched_blocks(4), 6);
}

#[test]
fn responses_adjust_the_ttl() {
    let mut fixture = Fixture::new();
    let start = fixture.index.ttl(fixture.slot).unwrap();
    for _ in 0..100 {
        fixture.index.record_response(at(0), fixture.slot, &chain(), 8, 1);
    }
    let low = fixture.index.ttl(fixture.slot).unwrap();
    for _ in 0..100 {
        fixture.index.record_response(at(0), fixture.slot, &chain(), 8, 8);
    }
    assert_eq!(low, Duration::from_secs(1));
    assert_eq!(fixture.index.ttl(fixture.slot), Some(start));
}

#[test]
fn new_weights_invalidate_entries_but_keep_the_slot() {
    let mut fixture = Fixture::new().sent();
    fixture.index.invalidate(fixture.slot);
    assert_eq!(fixture.matched_blocks(1), 0);
    assert_eq!(fixture.sent().matched_blocks(1), BLOCKS);
}

#[test]
fn reused_slot_inherits_no_entries() {
    let mut fixture = Fixture::new().sent();
    fixture.index.unbind(&"e1".parse().unwrap());
    let slot = fixture.index.bind(&"e2".parse().unwrap(), Incarnation::new(1)).unwrap();
    assert_eq!((slot.as_usize(), fixture.matched_blocks(1)), (fixture.slot.as_usize(), 0));
}

#[test]
fn memory_stays_at_the_reserved_size() {
    let mut fixture = Fixture::new();
    let reserved = fixture.index.memory();
    for n in 0_u64..20_000 {
        fixture.index.record_sent(at(n / 10), fixture.slot, &chain_of(&n.to_le_bytes()));
    }
    let capacity = (64 << 10) / WarmIndex::ENTRY_BYTES as u64;
    assert_eq!(fixture.index.len().as_u64(), capacity);
    assert_eq!(fixture.index.memory(), reserved);
    assert_eq!(reserved.as_u64(), capacity * WarmIndex::ENTRY_BYTES as u64);
    assert_eq!(WarmIndex::ENTRY_BYTES, 24);
}

#[test]
fn eviction_keeps_refreshed_entries() {
    let mut fixture = Fixture::new().sent();
    for n in 0_u64..6_000 {
        fixture.index.record_sent(at(n), fixture.slot, &chain_of(&n.to_le_bytes()));
        fixture.index.record_sent(at(n), fixture.slot, &chain());
    }
    assert_eq!(fixture.matched_blocks(6_000), BLOCKS);
}

#[test]
fn holders_of_a_block_are_bounded() {
    let mut fixture = Fixture::new();
    for n in 0..100 {
        let endpoint = format!("x{n}").parse().unwrap();
        let slot = fixture.index.bind(&endpoint, Incarnation::new(1)).unwrap();
        fixture.index.record_sent(at(n), slot, &chain_of(b"root"));
    }
    assert_eq!(fixture.index.len().as_u64(), WarmIndex::MAX_HOLDERS as u64);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    #[test]
    fn index_stays_within_bounds_after_any_updates(steps in proptest::collection::vec(any::<(u8, u8, u16)>(), 0..300)) {
        let memory = ByteCount::new(50 * WarmIndex::ENTRY_BYTES as u64);
        let mut index = WarmIndex::new(IndexSettings { memory, ..IndexSettings::default() });
        let mut matches = PrefixMatches::default();
        for (n, (op, id, seed)) in (0_u64..).zip(steps) {
            let endpoint = format!("e{}", id % 5).parse().unwrap();
            let incarnation = Incarnation::new(u64::from(seed % 3));
            let slot = index.bind(&endpoint, incarnation).unwrap();
            let chain = chain_of(&[seed.to_le_bytes(), seed.to_be_bytes()].concat().repeat(3));
            let blocks = chain.blocks().to_vec();
            let mut apply = |event| index.apply(at(n), slot, incarnation, Sequence::new(n), &event);
            match op % 7 {
                0 => index.record_sent(at(n), slot, &chain),
                1 => index.record_cached(at(n), slot, &chain, usize::from(seed % 4)),
                2 => index.record_response(at(n), slot, &chain, 2, usize::from(seed % 4)),
                3 => { apply(CacheEvent::Stored(blocks)); }
                4 => { apply(CacheEvent::Removed(blocks)); }
                5 => { apply(CacheEvent::Cleared); }
                _ => index.unbind(&endpoint),
            }
            index.match_prefix(at(n), &chain, &mut matches);
            prop_assert!(matches.blocks(slot) <= chain.blocks().len());
            prop_assert!(index.len().as_u64() <= 50);
        }
    }
}
