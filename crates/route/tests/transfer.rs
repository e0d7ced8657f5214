//! Whether blocks are fetched or recomputed.

use std::time::Duration;

use base::TokenRate;
use route::{Source, TransferSettings, choose_source};

/// A block takes 1 ms to fetch and 2 ms to compute.
const CFG: TransferSettings = TransferSettings {
    block_time: Duration::from_millis(1),
    block_tokens: 16,
    prefill_rate: TokenRate::new(8_000),
    margin: 0.25,
};

const fn source(blocks: usize, round_trip_ms: u64) -> Source {
    Source { blocks, round_trip: Duration::from_millis(round_trip_ms) }
}

macro_rules! choices {
    ($($name:ident: $cached_blocks:expr, $sources:expr => $chosen:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(choose_source(&CFG, $cached_blocks, &$sources), $chosen);
        }
    )*};
}

choices! {
    nothing_is_fetched_without_sources: 0, [] => None;
    held_blocks_are_not_fetched: 10, [source(10, 0)] => None;
    cheap_blocks_are_fetched: 0, [source(10, 1)] => Some(0);
    saving_equal_to_the_margin_is_enough: 0, [source(10, 5)] => Some(0);
    saving_below_the_margin_is_too_little: 0, [source(10, 6)] => None;
    far_source_costs_more_than_computing: 0, [source(10, 30)] => None;
    only_missing_blocks_count: 9, [source(10, 1)] => None;
    nearer_of_two_equal_sources_wins: 0, [source(10, 3), source(10, 1)] => Some(1);
    longer_prefix_wins_despite_a_longer_round_trip: 0, [source(10, 0), source(40, 10)] => Some(1);
}
