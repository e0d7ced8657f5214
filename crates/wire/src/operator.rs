//! Bodies of the operator's HTTP interface.
//!
//! Unknown fields are ignored in responses, so that an older tool can read a newer router's, and
//! rejected in requests, so that no part of a request is silently dropped. Errors are returned as a
//! [`Problem`](crate::problem::Problem).

mod calls;
mod change;
mod explain;
mod route;
mod status;

pub use self::{
    calls::{
        Call, CallPath, CallState, Resolution, ResolveRequest, ResolvedVerdict, UnsettledCalls,
    },
    change::{
        ChangeRequest, ChangeResult, CurrentDeclaration, History, HistoryEntry, VoterChange,
        VoterChangeRequest, Voters,
    },
    explain::{ExplainRequest, ExplainedCandidate, Explanation, PromptPart, ScorePart},
    route::{
        ExplainedEndpoint, ExplainedQuota, ExplainedRefusal, ExplainedRoute, QueriedCaller,
        QueriedPart, QueriedTokens, QuotaState, RouteExplanation, RouteQuery,
    },
    status::{
        Counts, EndpointState, EndpointStatus, Endpoints, Peer, PeerState, QuorumRole,
        QuorumStatus, ServedModel, ServingState, Status, Voter,
    },
};

/// Path of [`Status`].
pub const STATUS_PATH: &str = "/operator/status";
/// Path of [`Endpoints`].
pub const ENDPOINTS_PATH: &str = "/operator/endpoints";
/// Path of [`CurrentDeclaration`] and, for `POST`, of [`ChangeRequest`].
pub const DECLARATION_PATH: &str = "/operator/declaration";
/// Path of [`History`].
pub const HISTORY_PATH: &str = "/operator/history";
/// Path of [`ExplainRequest`].
pub const EXPLAIN_PATH: &str = "/operator/explain";
/// Path of [`RouteQuery`].
pub const EXPLAIN_ROUTE_PATH: &str = "/operator/explain/route";
/// Path of [`Voters`] and, for `POST`, of [`VoterChangeRequest`].
pub const VOTERS_PATH: &str = "/operator/voters";
/// Path of [`UnsettledCalls`] and prefix of each [`CallPath`].
pub const CALLS_PATH: &str = "/operator/calls";
/// Suffix of a [`CallPath`] for `POST` of [`ResolveRequest`].
pub const RESOLVE_SUFFIX: &str = "/resolve";
