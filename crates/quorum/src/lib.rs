//! A replicated log: leader election, replication, snapshots and changes of voters.
//!
//! A [`Node`] is a state machine. It takes an [`Input`] and the time, and returns [`Action`]s for
//! its driver, which owns the sockets, the files and the clock.
//!
//! # Driver's contract
//!
//! The driver may step the node with several inputs, and then makes every [`Action::Write`]
//! returned durable, in order, before it carries out any other action of those steps. If that fails
//! it stops the node. A driver that steps the node on while a write is under way asks a
//! [`SyncGate`], which knows what needn't wait. Messages may be lost, doubled and reordered.
//! The driver steps the node with [`Input::Tick`] several times a heartbeat, and reads the clock
//! anew before it trusts [`Node::holds_lease`]. The clock must go on while the host is suspended.
//!
//! # Changes of voters
//!
//! A host is taken in after the leader has sent it the log, as one of [`Input::Learners`]; its
//! folder is then in [`Status::progress`]. [`Input::ProposeVoters`] adds or removes one voter.
//!
//! [`next_voters`] decides such changes without an operator; the driver proposes what it returns.
//!
//! # Founding
//!
//! The hosts in [`Config::founders`] ask one another what they hold. The first-listed host writes
//! the first entry, with the folder of each, once all others have said that they hold nothing and
//! name the same first host. The others take that entry over. A host whose disk was lost has
//! another folder: it neither founds a second log nor votes, since one host that holds anything
//! denies it. A host that was added later and isn't listed isn't asked; keep the list up to date.
//!
//! # Lost, swapped and older folders
//!
//! A voter is a host together with its folder. A node votes only if the candidate's log names its
//! folder. Votes and acknowledgements from another folder count for nothing until the voters are changed: remove the host, then add it with the new
//! folder. The leader that takes a voter in also needs a majority of the voters
//! before it.
//!
//! An older copy of the right folder is caught by registration. A voter that starts stays silent
//! until a majority, itself included, has confirmed that its folder holds all that they remember
//! of it: its count of starts, the highest term in which it voted or acknowledged, and the highest
//! entry that it acknowledged then. They learn this from the votes, from the leader's heartbeats
//! and from earlier registrations, and keep it with their vote. Not caught are: a copy taken since
//! the last start that lacks only what the confirming voters had not heard of (the latest
//! acknowledgements when the leader of that time is away) or, if they have restarted since, had not
//! written with a later entry, a copy in which the folder is not a
//! voter's yet, and older copies on a majority at once. One refusal keeps the node silent until
//! its process ends.
//!
//! # Example
//!
//! ```
//! use base::MonotonicTime;
//! use quorum::{Action, Config, FolderId, Input, Node, ProposalId, Restored, Role};
//! use rand::SeedableRng;
//!
//! let mut cfg = Config::new("tas-a1".parse()?);
//! cfg.founders = vec![cfg.host.clone()];
//! let restored = Restored { folder: FolderId::new(7), ..Restored::default() };
//! let rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
//! let mut node = Node::new(cfg, restored, MonotonicTime::ZERO, rng);
//!
//! let mut actions = Vec::new();
//! for millis in (0..1000).step_by(20) {
//!     node.step(MonotonicTime::from_millis(millis), Input::Tick, &mut actions);
//! }
//! assert_eq!(node.role(), Role::Leader);
//!
//! let command = b"order 12"[..].into();
//! let input = Input::Propose { id: ProposalId(1), command };
//! node.step(MonotonicTime::from_millis(1000), input, &mut actions);
//! assert!(matches!(actions.last(), Some(Action::Apply(entries)) if entries.len() == 1));
//! # Ok::<(), base::ParseError>(())
//! ```

mod action;
mod config;
mod election;
mod follower;
mod founding;
mod healing;
mod hints;
mod leader;
mod log;
mod message;
mod node;
mod progress;
mod registration;
mod replication;
mod status;
mod sync_gate;
mod types;

pub use crate::{
    action::{Action, Input, Refusal, Write},
    config::Config,
    healing::{HealingSettings, LeaderView, next_voters},
    hints::LeaderHints,
    message::{AppendOutcome, Ballot, Body, CommittedVoters, Founding, Message},
    node::Node,
    progress::Progress,
    registration::Registration,
    status::{Role, Status},
    sync_gate::{Batch, BatchNumber, SyncGate},
    types::{
        Entry, FolderId, HardState, Payload, ProposalId, ReadId, Restored, Snapshot, Standing,
        StartCount, VoterSet,
    },
};
