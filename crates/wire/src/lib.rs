//! Wire types: HTTP bodies of callers, endpoints and operators, and messages between routers.
//!
//! HTTP bodies have types of their own, which convert to and from the domain crates' types with
//! `From` and `TryFrom`, so that no domain crate depends on a wire format.
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
