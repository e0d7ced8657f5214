use std::{cell::Cell, rc::Rc, sync::Arc};

use hyper::{
    Method, Request, Response,
    header::{CONNECTION, HeaderValue},
};
use telemetry::Metrics;
use tokio::{net::TcpListener, sync::watch};

use crate::{
    buffers::BufferBudget,
    serve::{self, ConnectionLimits, Drain, RequestBody, Serve},
};

use crate::failure::Failure;

use super::{
    Edge, ServerCommand, ServerExit, active::ActiveRequest, announce, body::Body, completions,
    services,
};

/// Most header fields in a request.
const MAX_HEADERS: usize = 64;

/// Serves callers until commanded to stop.
pub(super) async fn run(
    edge: Rc<Edge>,
    listener: std::net::TcpListener,
    commands: flume::Receiver<ServerCommand>,
) -> ServerExit {
    let listener = TcpListener::from_std(listener).expect("the listener is in non-blocking mode");
    let (drain_tx, drain_rx) = watch::channel(false);
    let accepting = tokio::task::spawn_local(serve::accept(Rc::clone(&edge), listener, drain_rx));
    serve::wait_for_shutdown(&*edge, &commands, &drain_tx, None).await;
    accepting.abort();
    let active = edge.active.borrow();
    active.log_aborted(edge.clock.now());
    ServerExit { cut: active.len() }
}

impl Drain for Edge {
    fn leave(&self) {
        self.leaving.set(true);
    }

    fn is_idle(&self) -> bool {
        self.active.borrow().len() == 0 && self.connections.get() == 0
    }
}

impl Serve for Edge {
    type Body = Body;

    fn connection_limits(&self) -> ConnectionLimits {
        let header_bytes = self.cfg.limits.header_bytes.as_u64();
        ConnectionLimits {
            header_timeout: self.cfg.timeouts.header,
            idle_timeout: self.cfg.timeouts.header,
            header_bytes: usize::try_from(header_bytes).unwrap_or(usize::MAX),
            headers: MAX_HEADERS,
            body_bytes: self.cfg.limits.body_bytes.as_u64(),
        }
    }

    fn max_connections(&self) -> u64 {
        self.cfg.limits.connections
    }

    fn connections(&self) -> &Cell<u64> {
        &self.connections
    }

    fn buffers(&self) -> &Arc<BufferBudget> {
        &self.buffer_budget
    }

    fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    async fn handle(self: Rc<Self>, req: Request<RequestBody>) -> Response<Body> {
        handle(self, req).await
    }
}

async fn handle(edge: Rc<Edge>, req: Request<RequestBody>) -> Response<Body> {
    let active = ActiveRequest::begin(&edge, req.uri().path());
    let result = match (req.method(), req.uri().path()) {
        (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
            completions::handle(&edge, req, active).await
        }
        (&Method::GET, "/v1/models") => completions::models(&edge, &req),
        (&Method::POST, "/announce") => announce::handle(&edge, req).await,
        (_, path) if path.starts_with(services::PATH_PREFIX) => {
            services::handle(&edge, req, active).await
        }
        (_, "/v1/completions" | "/v1/chat/completions" | "/v1/models" | "/announce") => {
            Err(Failure::method_not_allowed())
        }
        _ => Err(Failure::not_found("no such path")),
    };
    let mut response = result.unwrap_or_else(|failure| failure.to_response());
    if edge.leaving.get() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
