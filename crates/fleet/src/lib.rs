//! The replicated state of the fleet: defaults, exceptions and the ledger of calls that may not be
//! repeated.
//!
//! [`Fleet::apply`] takes the log's commands in order; every replica that applied the same
//! commands holds the same state. Nothing in it reads a clock: a command carries its time.

mod command;
mod declaration;
mod state;

pub use crate::{
    command::{Answer, Claim, Command, ConfigChange, Owner, Reply},
    declaration::{Declaration, DeclarationError},
    state::Fleet,
};
