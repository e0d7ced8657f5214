//! The operator's command-line tool.
//!
//! [`main`] parses the command line, asks a router and prints what it answers. Changes of defaults
//! and exceptions are edits of the declaration that replace it only if nobody changed it
//! meanwhile; [`Edit`] makes them on the text.
//!
//! # Example
//!
//! ```
//! use cli::Edit;
//!
//! let mut edit = Edit::parse("[defaults]\nwait-weight = 1.0\n")?;
//! edit.set_default("wait-weight", "2.5");
//! assert_eq!(edit.to_toml(), "[defaults]\nwait-weight = 2.5\n");
//! # Ok::<(), cli::Error>(())
//! ```

mod client;
mod command;
mod diff;
mod edit;
mod error;
mod options;
mod output;
mod settings;
mod submit;
mod view;

pub use crate::{
    command::{main, run},
    diff::line_diff,
    edit::{Edit, NewException},
    error::{Error, Exit},
    settings::{RouterAddress, Routers},
};
