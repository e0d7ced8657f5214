//! The HTTP interface for operators, health checks and metrics.

mod auth;
mod body;
mod calls;
mod declaration;
mod explain;
mod leader;
mod listen;
mod problems;
mod status;
mod voters;

use std::{io, net::SocketAddr, sync::Arc};

use base::Incarnation;
use rouille::{Request, Response};
use telemetry::Metrics;
use wire::operator::{
    CALLS_PATH, CallPath, DECLARATION_PATH, ENDPOINTS_PATH, EXPLAIN_PATH, EXPLAIN_ROUTE_PATH,
    HISTORY_PATH, RESOLVE_SUFFIX, STATUS_PATH, ServingState, VOTERS_PATH,
};

use crate::{
    Settings, buffers::BufferBudget, clock::Clock, configurations::Configurations,
    edge::AdminQuery, leader_client::LeaderClient, net, readiness::Readiness,
    replica::ReplicaState, roster::LatestRoster,
};

use auth::OperatorKeys;
use leader::BlockingLeaderClient;
use problems::ApiError;

/// Prefix of every operator path.
const OPERATOR_PREFIX: &str = "/operator/";

const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// State that the interface reads, and channels to the threads that change it.
pub(crate) struct AdminContext {
    pub cfg: Arc<Settings>,
    pub clock: Clock,
    pub incarnation: Incarnation,
    pub readiness: Readiness,
    pub roster: LatestRoster,
    pub replica: ReplicaState,
    pub configurations: Configurations,
    pub leader: LeaderClient,
    pub admin_queries: flume::Sender<AdminQuery>,
    pub metrics: Arc<Metrics>,
    /// Memory for bodies of requests.
    pub buffer_budget: Arc<BufferBudget>,
}

/// Handles the interface's requests.
struct AdminApi {
    context: AdminContext,
    keys: OperatorKeys,
    leader: BlockingLeaderClient,
}

/// Starts the thread that serves the interface.
///
/// # Errors
///
/// Returns an error if the address can't be bound or the thread can't be started.
pub(crate) fn spawn(address: SocketAddr, context: AdminContext) -> io::Result<()> {
    let api = AdminApi {
        keys: OperatorKeys::new(&context.cfg.operator_keys),
        leader: BlockingLeaderClient::new(context.leader.clone()),
        context,
    };
    let listener = net::listen(address).map_err(|e| io::Error::other(format!("{address}: {e}")))?;
    let budget = Arc::clone(&api.context.buffer_budget);
    listen::spawn(api, budget, listener)
}

impl AdminApi {
    fn handle(&self, req: &Request) -> Response {
        // Not decoded: an escaped slash in an idempotency key must not act as a path separator.
        let path = req.raw_url().split('?').next().unwrap_or_default();
        let response = match (req.method(), path) {
            ("GET", "/healthz") => Ok(Response::text("alive\n")),
            ("GET", "/readyz") => Ok(self.readiness()),
            ("GET", "/metrics") => Ok(self.metrics()),
            (_, "/healthz" | "/readyz" | "/metrics") => Err(ApiError::method_not_allowed("GET")),
            _ if path.starts_with(OPERATOR_PREFIX) => self.operator(req, path),
            _ => Err(ApiError::not_found("no such page")),
        };
        response.unwrap_or_else(|error| error.into_response())
    }

    fn operator(&self, req: &Request, path: &str) -> Result<Response, ApiError> {
        self.keys.check(req)?;
        match (req.method(), path) {
            ("GET", STATUS_PATH) => Ok(json(&status::status(self))),
            ("GET", ENDPOINTS_PATH) => Ok(json(&status::endpoints(self))),
            ("GET", DECLARATION_PATH) => Ok(json(&declaration::current(self))),
            ("POST", DECLARATION_PATH) => declaration::change(self, req),
            ("GET", HISTORY_PATH) => declaration::history(self).map(|history| json(&history)),
            ("POST", EXPLAIN_PATH) => {
                explain::explain(self, req).map(|explanation| json(&explanation))
            }
            ("POST", EXPLAIN_ROUTE_PATH) => {
                explain::explain_route(self, req).map(|explanation| json(&explanation))
            }
            ("GET", VOTERS_PATH) => voters::list(self).map(|voters| json(&voters)),
            ("POST", VOTERS_PATH) => voters::change(self, req).map(|voters| json(&voters)),
            ("GET", CALLS_PATH) => calls::unsettled(self).map(|calls| json(&calls)),
            (_, STATUS_PATH | ENDPOINTS_PATH | HISTORY_PATH | CALLS_PATH) => {
                Err(ApiError::method_not_allowed("GET"))
            }
            (_, EXPLAIN_PATH | EXPLAIN_ROUTE_PATH) => Err(ApiError::method_not_allowed("POST")),
            (_, DECLARATION_PATH | VOTERS_PATH) => Err(ApiError::method_not_allowed("GET, POST")),
            _ => self.call(req, path),
        }
    }

    fn call(&self, req: &Request, path: &str) -> Result<Response, ApiError> {
        let (path, resolves) = match path.strip_suffix(RESOLVE_SUFFIX) {
            Some(path) if path.parse::<CallPath>().is_ok() => (path, true),
            _ => (path, false),
        };
        let Ok(call) = path.parse::<CallPath>() else {
            return Err(ApiError::not_found("no such page"));
        };
        match (req.method(), resolves) {
            ("GET", false) => calls::show(self, call).map(|call| json(&call)),
            ("POST", true) => calls::resolve(self, req, call).map(|call| json(&call)),
            (_, false) => Err(ApiError::method_not_allowed("GET")),
            (_, true) => Err(ApiError::method_not_allowed("POST")),
        }
    }

    fn readiness(&self) -> Response {
        match self.context.readiness.state() {
            ServingState::Ready => Response::text("ready\n"),
            ServingState::Starting => Response::text("starting\n").with_status_code(503),
            _ => Response::text("draining\n").with_status_code(503),
        }
    }

    fn metrics(&self) -> Response {
        Response::from_data(METRICS_CONTENT_TYPE, self.context.metrics.render())
    }
}

fn json<T: serde::Serialize>(value: &T) -> Response {
    Response::json(value)
}
