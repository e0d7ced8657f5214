//! A replicated log: leader election, replication, snapshots and changes of voters.
//!
//! A [`Node`] is a state machine. It takes an [`Input`] and the time, and returns [`Action`]s for
//! its driver, which owns the sockets, the files and the clock.
//!
//! # Requirements on the driver
//!
//! The driver may step the node with several inputs, and then makes every [`Action::Write`]
//! returned durable, in order, before it carries out any other action of those steps. If a write
//! fails, the driver stops the node. A driver that steps the node while a write is in progress
//! passes the actions through a [`SyncGate`], which releases those that need not wait for the
//! write. Messages may be lost, duplicated and reordered. The driver steps the node with
//! [`Input::Tick`] several times per heartbeat interval, and reads the clock again before it relies
//! on [`Node::holds_lease`]. The clock must keep running while the host is suspended.
//!
//! # Changes of voters
//!
//! A host can be added after the leader has replicated the log to it as one of
//! [`Input::Learners`]; its folder is then in [`Status::progress`]. [`Input::ProposeVoters`] adds
//! or removes one voter.
//!
//! [`next_voters`] decides such changes without an operator; the driver proposes what it returns.
//!
//! # Founding
//!
//! The hosts in [`Config::founders`] query each other's folders. The first-listed host writes the
//! first entry, with the folder of each founder, once all others have replied that their folder is
//! empty and that they list the same host first, or none, as a founder may that has restarted. The
//! others copy that entry. A host whose disk was
//! lost has a new folder. It can't found a second log, since one founder whose folder is not empty
//! prevents that, and it can't vote. Hosts that were added later and aren't listed aren't queried;
//! keep the list up to date.
//!
//! # Lost, replaced and outdated folders
//!
//! A voter is a host together with its folder. A node votes only if the candidate's log names its
//! folder. Votes and acknowledgements from another folder are ignored until the voters are changed:
//! remove the host, then add it with the new folder. To commit the addition of a voter, the leader
//! also needs a majority of the voters before it.
//!
//! An outdated copy of the right folder is detected by registration. After a start, a voter doesn't
//! campaign, vote or acknowledge until a majority, itself included, has confirmed that its folder
//! holds at least what they have recorded of it: its start count, the highest term in which it
//! voted or acknowledged, and the highest entry that it acknowledged in that term. They record this
//! from votes, from the leader's heartbeats and from earlier registrations, and store it with their
//! vote. Its own log may be so old that all voters it names have other folders by now, or that they
//! are other hosts. It therefore asks leaders and candidates that call on it too, and takes part
//! with the voters that they report, of which a majority must confirm it in the same way. A folder
//! that the newest committed voters no longer include is told so.
//!
//! Three cases are not detected:
//!
//! - a copy made since the last start, if the confirming voters have no record of what it lacks:
//!   they never received the latest acknowledgements (the leader of that time is down), or they
//!   restarted before they wrote the record with a later entry,
//! - a copy from before the folder became a voter's,
//! - outdated copies on a majority at once.
//!
//! After one refusal the node stays inactive until its process ends.
//!
//! # Example
//!
//! ```
//! use base::MonotonicTime;
//! use quorum::{Action, Config, FolderId, Input, Node, ProposalId, RestoredState, Role};
//! use rand::SeedableRng;
//!
//! let mut cfg = Config::new("tas-a1".parse()?);
//! cfg.founders = vec![cfg.host.clone()];
//! let restored = RestoredState { folder: FolderId::new(7), ..RestoredState::default() };
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
    healing::{HealingSettings, LeaderView, absent_voters, next_voters},
    hints::LeaderHints,
    message::{AppendOutcome, Body, FoundingState, Message, VoteKind, VotersAt},
    node::Node,
    progress::Progress,
    registration::Registration,
    status::{Role, Status},
    sync_gate::{Batch, BatchNumber, SyncGate},
    types::{
        Entry, FolderId, FolderRecord, HardState, Payload, ProposalId, ReadId, RestoredState,
        Snapshot, StartCount, VoterSet,
    },
};
