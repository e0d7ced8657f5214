//! A replicated log: leader election, replication, snapshots and changes of voters.
//!
//! A [`Node`] is a state machine. It takes an [`Input`] and the time, and returns [`Action`]s for
//! its driver, which owns the sockets, the files and the clock.
//!
//! # Driver's contract
//!
//! The driver may step the node with several inputs, and then makes every [`Action::Persist`] and
//! [`Action::SaveSnapshot`] returned durable, in order, before it carries out any other action of
//! those steps. If that fails it stops the node. Messages may be lost, doubled and reordered.

mod node;
mod types;

pub use crate::{
    node::{Action, Config, Input, Node, Role},
    types::{
        Entry, FolderId, HardState, Message, Payload, ProposalId, ReadId, Restored, Snapshot,
        VoterSet,
    },
};
