//! The router's daemon: one process on every entry host.
//!
//! Each task has its own thread; the threads are connected by bounded channels:
//!
//! | thread | task |
//! |---|---|
//! | `edge` | callers' requests, endpoints' streams, choice of the endpoint |
//! | `gateway` | in place of `edge`: callers' requests, forwarded by a routing table |
//! | `roster` | membership of endpoints and routers |
//! | `peers` | RPC between routers |
//! | `replica` | replica of the quorum's log and state, on voters |
//! | `admin` | HTTP interface for operators, health checks and metrics |
//! | `signals` | graceful shutdown |
//!
//! # Example
//!
//! ```
//! use daemon::Settings;
//!
//! let errors = Settings::from_args(&["--listen", "nowhere"]).unwrap_err();
//! assert!(errors.to_string().contains("--listen: \"nowhere\""));
//! ```

mod admin;
mod buffers;
mod clock;
mod configurations;
mod departures;
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

pub use route::EndpointNotice;

pub use crate::{
    edge::ServerExit,
    gateway::{
        AttemptHead, CallerRequest, ControlRequest, ControlRequestError, ControlResponse,
        DecodeError, Dialect, EngineHead, EngineReport, FleetRetries, GatewaySettings,
        LoadWeightsRequest, OverloadSettings, Prompt, ResponseHead,
    },
    peers::{PeerClient, PeerResponse},
    run::{exit_code, gateway_exit_code, main, run, run_gateway},
    settings::{
        InvalidSettings, Limits, OrganisationKey, Settings, SettingsError, TelemetrySettings,
        Timeouts,
    },
};
