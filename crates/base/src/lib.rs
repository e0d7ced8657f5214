//! Basic types shared by every crate of the router.
//!
//! The crate holds identifiers, sizes, rates, monotonic time and the [`Verdict`] that each failed
//! request carries. It uses no sockets, files, threads or clocks, so that the state machines built
//! on it run the same in a test as in the daemon.
//!
//! # Example
//!
//! ```
//! use base::{EndpointId, Verdict};
//!
//! let endpoint: EndpointId = "engine-3".parse()?;
//! assert_eq!(endpoint.to_string(), "engine-3");
//! assert!(Verdict::NotRun.may_retry());
//! # Ok::<(), base::ParseError>(())
//! ```

mod digest;
mod id;
mod number;
mod parse;
mod rate;
mod time;
mod verdict;

pub use crate::{
    digest::{Digest, Hasher},
    id::{
        AdapterId, Author, CacheSalt, ChangeId, DataCentreId, EndpointId, ExceptionId, HostId,
        IdempotencyKey, ModelId, OrganisationId, RequestId, ServiceId, WeightsVersion,
    },
    number::{
        BlockCount, ByteCount, ByteRate, Incarnation, LogIndex, Revision, Sequence, Term,
        TokenCount, TokenIndex, TokenRate,
    },
    parse::ParseError,
    rate::RequestRate,
    time::{MonotonicTime, UnixMillis},
    verdict::Verdict,
};
