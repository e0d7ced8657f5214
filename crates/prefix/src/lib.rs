//! Prefix identity, the index of warm (cached) prefixes and placement of prefixes on endpoints.
//!
//! A prompt is cut into blocks of equal size. Each block's [`BlockHash`] covers the block and all
//! that precede it, starting from a [`Salt`] of organisation, model, weights version and adapter.
//! Two hashes are therefore equal only if an engine may reuse the cached block.
//!
//! The [`WarmIndex`] tracks which endpoints are expected to have a block cached, in a fixed amount
//! of memory. [`rank`] assigns each prefix a home endpoint by rendezvous hashing, without any
//! state; [`HotPrefixes`] and [`Replication`] assign several homes to a hot prefix.
//!
//! Prompts whose parts callers have named are hashed in a [`CacheScope`], which says whose requests may
//! use each other's cached parts.
//!
//! # Example
//!
//! ```
//! use prefix::{BlockBytes, Chain, Salt};
//!
//! let salt = Salt::new(&"school-1".parse()?, &"diary".parse()?, &"v1".parse()?, None);
//! let size = BlockBytes::new(4).unwrap();
//! let short = Chain::of(salt, size, b"house style");
//! let long = Chain::of(salt, size, b"house style, page 7");
//! assert_eq!(short.blocks(), &long.blocks()[..2]);
//! # Ok::<(), base::ParseError>(())
//! ```

mod chain;
mod event;
mod hot;
mod index;
mod parts;
mod placement;
mod scope;
mod shared;
mod slot;
mod table;

pub use crate::{
    chain::{BlockBytes, BlockHash, Chain, Salt},
    event::{CacheEvent, EventOutcome},
    hot::HotPrefixes,
    index::{IndexSettings, PrefixMatches, WarmIndex},
    parts::{Part, PartCacheModel, PartChain, PartId},
    placement::{Replication, homes, rank, rank_by_name},
    scope::CacheScope,
    shared::{SentPrompt, SentPromptLog, UnreportedPrompts},
    slot::Slot,
};
