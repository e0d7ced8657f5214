//! The replicated state of the fleet: settings and the ledger of non-idempotent calls; and the
//! planners of orders to endpoints.
//!
//! [`Fleet::apply`] is a deterministic state machine: replicas that applied the same log entries in
//! order hold the same state. It reads no clock; each command carries its timestamp.
//!
//! # Example
//!
//! ```
//! use base::{LogIndex, Revision, UnixMillis};
//! use fleet::{ChangeReply, Command, ConfigChange, Fleet, Reply, Scope};
//!
//! let change = Command::Change(ConfigChange {
//!     id: "change-1".parse()?,
//!     expected: Revision::ZERO,
//!     author: "ilona".parse()?,
//!     reason: "the harvest rota needs longer prompts".into(),
//!     at: UnixMillis::new(1_000),
//!     declaration: "[defaults]\nrequest-timeout = '90s'".into(),
//! });
//! let mut fleet = Fleet::default();
//! let reply = fleet.apply(LogIndex::new(1), &change);
//! assert_eq!(reply, Reply::Change(ChangeReply::Changed(Revision::new(1))));
//!
//! let declaration = fleet.configuration().declaration();
//! let settings = declaration.effective(&Scope::default(), UnixMillis::new(2_000));
//! assert_eq!(settings.request_timeout.to_string(), "1m 30s");
//! # Ok::<(), base::ParseError>(())
//! ```

mod call;
mod calls;
mod codec;
mod command;
mod configuration;
mod configuration_lease;
mod contents;
mod declaration;
mod declaration_error;
mod declaration_file;
mod departures;
mod diff;
mod engine_updates;
mod explanation;
mod ledger;
mod order_gate;
pub mod orders;
mod published;
mod reply;
mod rollout;
mod scope;
pub mod setting;
mod settings;
mod state;
mod weights_history;

pub use crate::{
    call::{Call, CallState, Conflict, GrantedClaim, Resolved},
    codec::CodecError,
    command::{
        CallKey, Claim, ClaimId, Command, ConfigChange, Finish, Outcome, Owner, OwnerGone, Release,
        Resolution, Resolve, StoredResponse,
    },
    configuration::{Configuration, MAX_HISTORY_ENTRIES, MAX_STORED_REPLIES, REPLY_RETENTION},
    configuration_lease::{ConfigurationLease, LeaderSighting},
    contents::{Contents, DesiredModel, Exception, Organisation, Reason},
    declaration::Declaration,
    declaration_error::DeclarationError,
    departures::{Departure, Departures},
    diff::{Difference, diff},
    engine_updates::{EngineUpdateLog, ReceivedEngineUpdates},
    explanation::{Explanation, Source},
    ledger::{Ledger, MAX_STORED_BODY_BYTES, MAX_STORED_CALLS, RESOLVE_MARGIN},
    order_gate::{Leadership, OrderGate, OrderPermission},
    published::{ConfigurationNumber, DesiredWeights, Publication, PublishReply, Published},
    reply::{
        ChangeRecord, ChangeReply, ClaimReply, FinishReply, MayHaveRunReason, ReleaseReply, Reply,
        ResolveReply,
    },
    rollout::{
        EngineLoad, EngineUpdate, EngineView, LoadOrder, OrderOutcome, Rollout, RolloutProgress,
        RolloutSettings,
    },
    scope::Scope,
    settings::{Overrides, SettingKey, SettingValue, Settings},
    state::Fleet,
    weights_history::{WeightsAge, WeightsHistory},
};
