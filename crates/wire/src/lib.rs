//! Wire types: what callers, endpoints, operators and routers say to each other.
//!
//! Bodies of HTTP messages are types of their own, which convert to and from the types of the
//! cores with `From` and `TryFrom`, so that a core never depends on a format.
//!
//! # Example
//!
//! ```
//! use wire::completion::CompletionRequest;
//!
//! let body = br#"{"model": "diary-8b", "prompt": "Dear diary", "stream": true}"#;
//! let completion = CompletionRequest::from_slice(body)?;
//! assert_eq!(completion.model().as_str(), "diary-8b");
//! assert!(completion.wants_stream());
//! # Ok::<(), wire::BodyError>(())
//! ```

pub mod announcement;
pub mod chunk;
pub mod completion;
mod error;
mod event_id;
pub mod kv_transfer;
pub mod leader;
pub mod operator;
pub mod peer;
pub mod problem;
pub mod sse;

#[allow(missing_docs, clippy::all, clippy::unimplemented)]
pub mod peer_capnp;

pub use crate::{error::BodyError, event_id::EventId};
