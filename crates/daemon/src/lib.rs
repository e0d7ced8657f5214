//! The router's daemon: one process on every entry host.
//!
//! Each duty has a thread, and bounded rings join them:
//!
//! | thread | duty |
//! |---|---|
//! | `edge` | callers, streams from endpoints, choice of endpoint |
//! | `roster` | membership of endpoints and routers |
//! | `peers` | calls between routers |
//! | `replica` | this host's part in the quorum, on a host with a vote |
//! | `admin` | operator, health and metrics pages |
//! | `signals` | graceful shutdown |
//!
//! # Example
//!
//! ```
//! use daemon::Settings;
//!
//! let faults = Settings::from_args(&["--listen", "nowhere"]).unwrap_err();
//! assert!(faults.to_string().contains("--listen: \"nowhere\""));
//! ```

mod admin;
mod clock;
mod configurations;
mod directory;
mod edge;
mod failure;
mod gateway;
mod in_flight;
mod leader_client;
mod net;
mod peers;
mod process;
mod readiness;
mod replica;
mod roster;
mod run;
mod serve;
mod settings;
mod signals;

pub use crate::{
    edge::EdgeEnd,
    gateway::{
        AnswerHead, Arrival, AttemptHead, BadCall, ControlAnswer, ControlCall, Dialect, EngineHead,
        EngineReport, FleetRetries, GatewaySettings, LoadCall, Prompt, Unreadable,
    },
    peers::{PeerClient, PeerResponse},
    run::{exit_code, gateway_exit_code, main, run, run_gateway},
    settings::{
        InvalidSettings, Limits, OrganisationKey, Settings, SettingsError, TelemetrySettings,
        Timeouts,
    },
};
