//! Prefix identity, the warm index and placement of prefixes on endpoints.
//!
//! A prompt is cut into blocks of equal size. Each block's [`BlockHash`] covers the block and all
//! that precede it, starting from a [`Salt`] of organisation, model, weights version and adapter.
//! So two hashes are equal only where an engine may reuse the cached block.
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
mod placement;

pub use crate::{
    chain::{BlockBytes, BlockHash, Chain, Salt},
    placement::rank,
};
