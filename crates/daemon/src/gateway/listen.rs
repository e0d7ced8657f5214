//! The gateway's listeners and its shutdown.

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{Request, Response, StatusCode};
use telemetry::Metrics;
use tokio::{net::TcpListener, sync::watch, time::Instant};

use crate::{
    buffers::BufferBudget,
    edge::{ServerCommand, ServerExit},
    serve::{self, ConnectionLimits, Drain, RequestBody, Serve},
};

use super::{Dialect, Gateway, GatewayListeners, body::Body, control, forward};

/// Most header fields in a request.
const MAX_HEADERS: usize = 100;

/// Largest head of a control request, in bytes.
const MAX_CONTROL_HEADER_BYTES: usize = 16 << 10;

/// Time for which a connection of an operator or an endpoint may be idle.
const CONTROL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Most open connections of the load balancer's readiness checks.
const MAX_READINESS_CONNECTIONS: u64 = 128;

/// Serves callers.
struct Callers<D: Dialect>(Rc<Gateway<D>>);

/// Serves control requests of operators and endpoints.
struct ControlClients<D: Dialect>(Rc<Gateway<D>>);

/// Serves the load balancer's readiness checks.
struct ReadinessChecks<D: Dialect> {
    gateway: Rc<Gateway<D>>,
    connections: Cell<u64>,
}

impl<D: Dialect> Serve for Callers<D> {
    type Body = Body;

    fn connection_limits(&self) -> ConnectionLimits {
        let limits =
            self.0.active_configuration().map(|active| *active.table.limits()).unwrap_or_default();
        ConnectionLimits {
            header_timeout: limits.header_timeout,
            idle_timeout: limits.idle_timeout,
            header_bytes: usize::try_from(limits.header_bytes.as_u64()).unwrap_or(usize::MAX),
            headers: MAX_HEADERS,
            body_bytes: limits.body_bytes.as_u64(),
        }
    }

    fn connections(&self) -> &Cell<u64> {
        &self.0.connections
    }

    fn buffers(&self) -> &Arc<BufferBudget> {
        &self.0.buffer_budget
    }

    fn metrics(&self) -> &Metrics {
        &self.0.metrics
    }

    async fn handle(self: Rc<Self>, req: Request<RequestBody>) -> Response<Body> {
        forward::handle(Rc::clone(&self.0), req).await
    }
}

impl<D: Dialect> Serve for ControlClients<D> {
    type Body = Body;

    const DESCRIPTORS: u64 = 1;

    fn connection_limits(&self) -> ConnectionLimits {
        control_bounds()
    }

    fn connections(&self) -> &Cell<u64> {
        &self.0.connections
    }

    fn buffers(&self) -> &Arc<BufferBudget> {
        &self.0.buffer_budget
    }

    fn metrics(&self) -> &Metrics {
        &self.0.metrics
    }

    async fn handle(self: Rc<Self>, req: Request<RequestBody>) -> Response<Body> {
        control::handle(Rc::clone(&self.0), req).await
    }
}

impl<D: Dialect> Serve for ReadinessChecks<D> {
    type Body = Body;

    const DESCRIPTORS: u64 = 1;

    fn max_connections(&self) -> u64 {
        MAX_READINESS_CONNECTIONS
    }

    fn connection_limits(&self) -> ConnectionLimits {
        control_bounds()
    }

    fn connections(&self) -> &Cell<u64> {
        &self.connections
    }

    fn buffers(&self) -> &Arc<BufferBudget> {
        &self.gateway.buffer_budget
    }

    fn metrics(&self) -> &Metrics {
        &self.gateway.metrics
    }

    async fn handle(self: Rc<Self>, _: Request<RequestBody>) -> Response<Body> {
        let mut response = Response::new(Body::from(Bytes::new()));
        if !self.gateway.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }
}

fn control_bounds() -> ConnectionLimits {
    ConnectionLimits {
        header_timeout: CONTROL_IDLE_TIMEOUT,
        idle_timeout: CONTROL_IDLE_TIMEOUT,
        header_bytes: MAX_CONTROL_HEADER_BYTES,
        headers: MAX_HEADERS,
        body_bytes: control::MAX_BODY_BYTES as u64,
    }
}

/// Serves until the shutdown is complete.
pub(super) async fn run<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    listeners: GatewayListeners,
    commands: flume::Receiver<ServerCommand>,
) -> ServerExit {
    let (drain_tx, drain_rx) = watch::channel(false);
    let GatewayListeners { callers, readiness, control } = listeners;
    start(Callers(Rc::clone(&gateway)), callers, &drain_rx);
    start(ControlClients(Rc::clone(&gateway)), control, &drain_rx);
    let checks = ReadinessChecks { gateway: Rc::clone(&gateway), connections: Cell::new(0) };
    start(checks, readiness, &drain_rx);
    let limit = gateway.cfg.drain_limit(gateway.drain_notice);
    serve::wait_for_shutdown(&*gateway, &commands, &drain_tx, Some(limit)).await;
    ServerExit { cut: gateway.active_requests.get() }
}

fn start<S: Serve>(
    service: S,
    listener: Option<std::net::TcpListener>,
    drain: &watch::Receiver<bool>,
) {
    let Some(listener) = listener else { return };
    let listener = TcpListener::from_std(listener).expect("the listener is in non-blocking mode");
    tokio::task::spawn_local(serve::accept(Rc::new(service), listener, drain.clone()));
}

impl<D: Dialect> Drain for Gateway<D> {
    fn leave(&self) {
        self.is_draining.set(true);
        let time_left = self.drain_notice + self.cfg.drain_limit(self.drain_notice);
        self.stop_time.set_process_end(Instant::now() + time_left);
    }

    fn is_idle(&self) -> bool {
        self.active_requests.get() == 0 && self.connections.get() == 0
    }
}
