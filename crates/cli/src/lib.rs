//! The operator's command-line tool.
//!
//! [`main`] parses the command line, sends a request to a router and prints the response. Defaults
//! and exceptions are changed by editing the declaration with [`EditableDeclaration`]; the edited
//! text replaces it only if nobody else changed it in the meantime.
//!
//! # Example
//!
//! ```
//! use cli::EditableDeclaration;
//!
//! let mut edit = EditableDeclaration::parse("[defaults]\nwait-weight = 1.0\n")?;
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
mod route_query;
mod route_view;
mod settings;
mod submit;
mod view;

pub use crate::{
    command::{main, run},
    diff::line_diff,
    edit::{EditableDeclaration, NewException},
    error::{Error, Exit},
    settings::{RouterAddress, Routers},
};
