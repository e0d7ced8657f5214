//! The prefix index and the cache events that update it.

use std::time::{Duration, Instant};

use base::{ByteCount, Incarnation, MonotonicTime, Sequence};
use prefix::{
    BlockBytes, BlockHash, CacheEvent, Chain, IndexSettings, PrefixMatches, Salt, Slot, WarmIndex,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use super::Slope;

const INDEX_SIZES: [usize; 5] = [10_000, 50_000, 100_000, 500_000, 1_000_000];
const EVENT_BLOCKS: [usize; 5] = [1, 4, 16, 32, 64];
const EVENT_RATES: [usize; 4] = [10_000, 50_000, 250_000, 1_000_000];
const ENGINES: usize = 1_800;

/// Blocks of one cache event in the time measurements.
const BLOCKS_PER_EVENT: usize = 16;

/// Blocks of each prompt that is looked up.
const PROMPT_BLOCKS: usize = 64;

const PROMPTS: usize = 64;
const LOOKUPS: usize = 4_096;

const MIB: f64 = 1_048_576.0;

/// A cache event as an engine publishes it.
#[derive(Serialize)]
struct PublishedEvent {
    incarnation: u64,
    sequence: u64,
    stored: Vec<u64>,
}

/// Measures the index and the cache events.
pub(super) fn slopes() -> Vec<Slope> {
    let indexes: Vec<_> =
        INDEX_SIZES.iter().map(|&entries| (entries, FullIndex::new(entries))).collect();
    let memory = indexes
        .iter()
        .map(|(entries, filled)| [*entries as f64, filled.index.memory().as_u64() as f64 / MIB]);
    let lookups = indexes.iter().map(|(entries, filled)| [*entries as f64, filled.lookup_micros()]);
    let event_sizes = |encoded_len: fn(&PublishedEvent) -> usize| {
        EVENT_BLOCKS.iter().map(|&n| [n as f64, encoded_len(&published_event(n)) as f64]).collect()
    };
    let postcard = event_sizes(|event| postcard::to_stdvec(event).map_or(0, |bytes| bytes.len()));
    let json = event_sizes(|event| serde_json::to_vec(event).map_or(0, |bytes| bytes.len()));
    let mut full = FullIndex::new(INDEX_SIZES[INDEX_SIZES.len() - 1]);
    let rates = EVENT_RATES.iter().map(|&blocks| [blocks as f64, full.apply(blocks).as_secs_f64()]);
    vec![
        Slope::fit("blocks/index memory", "holdings", "MiB", memory.collect()),
        Slope::fit("blocks/lookup of 64 blocks", "holdings", "µs", lookups.collect()),
        Slope::fit("events/processor time", "block events/s", "cores", rates.collect()),
        Slope::fit("events/bytes in postcard", "blocks an event", "bytes", postcard),
        Slope::fit("events/bytes in JSON", "blocks an event", "bytes", json),
    ]
}

fn published_event(blocks: usize) -> PublishedEvent {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    PublishedEvent {
        incarnation: 1_764_800_000,
        sequence: 10_000_000,
        stored: (0..blocks).map(|_| rng.random()).collect(),
    }
}

/// An index that holds its maximum number of entries.
struct FullIndex {
    index: WarmIndex,
    slots: Vec<Slot>,
    prompts: Vec<Chain>,
    sequence: u64,
    rng: Pcg64Mcg,
}

impl FullIndex {
    fn new(entries: usize) -> Self {
        let memory = ByteCount::new((entries * WarmIndex::ENTRY_BYTES) as u64);
        let mut index = WarmIndex::new(IndexSettings { memory, ..IndexSettings::default() });
        let bind = |engine| {
            let id = format!("engine-{engine}").parse().expect("a valid id");
            index.bind(&id, Incarnation::new(1)).expect("a free slot")
        };
        let slots = (0..ENGINES).map(bind).collect();
        let prompts = (0..PROMPTS).map(prompt).collect();
        let rng = Pcg64Mcg::seed_from_u64(8);
        let mut filled = Self { index, slots, prompts, sequence: 0, rng };
        filled.apply(entries);
        for (chain, slot) in filled.prompts.iter().zip(&filled.slots) {
            filled.index.record_sent(now(), *slot, chain);
        }
        filled
    }

    /// Returns the time to apply events with `blocks` blocks in total.
    fn apply(&mut self, blocks: usize) -> Duration {
        let incarnation = Incarnation::new(1);
        let events: Vec<_> = (0..blocks / BLOCKS_PER_EVENT)
            .map(|_| {
                CacheEvent::Stored(
                    (0..BLOCKS_PER_EVENT).map(|_| BlockHash::new(self.rng.random())).collect(),
                )
            })
            .collect();
        let begun = Instant::now();
        for event in &events {
            self.sequence += 1;
            let slot = self.slots[self.sequence as usize % ENGINES];
            self.index.apply(now(), slot, incarnation, Sequence::new(self.sequence), event);
        }
        begun.elapsed()
    }

    /// Returns the mean time to look up a prompt's cached prefix on all engines.
    fn lookup_micros(&self) -> f64 {
        let mut matches = PrefixMatches::default();
        let begun = Instant::now();
        for lookup in 0..LOOKUPS {
            self.index.match_prefix(now(), &self.prompts[lookup % PROMPTS], &mut matches);
        }
        begun.elapsed().as_secs_f64() * 1e6 / LOOKUPS as f64
    }
}

fn now() -> MonotonicTime {
    MonotonicTime::from_millis(1_000)
}

fn prompt(n: usize) -> Chain {
    let numbers = (0..PROMPT_BLOCKS).map(|block| n * PROMPT_BLOCKS + block);
    chain(numbers)
}

/// Returns the chain of a prompt with one number in each block.
pub(super) fn chain(numbers: impl Iterator<Item = usize>) -> Chain {
    let text: Vec<u8> = numbers.flat_map(|number| (number as u64).to_le_bytes()).collect();
    let salt = Salt::new(
        &"school-1".parse().expect("a valid id"),
        &"model-1".parse().expect("a valid id"),
        &"v1".parse().expect("a valid id"),
        None,
    );
    Chain::of(salt, BlockBytes::new(8).expect("not zero"), &text)
}
