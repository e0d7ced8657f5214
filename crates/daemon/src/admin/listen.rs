//! The interface's listener, which reads requests as those of callers are read.
//!
//! Handlers block while they wait for the leader, so they run on threads of their own once the whole
//! body is there.

use std::{
    cell::Cell,
    io::{self, Read as _},
    rc::Rc,
    sync::Arc,
};

use base::Verdict;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    header::{HeaderName, HeaderValue},
    http::request::Parts,
};
use telemetry::Metrics;
use tokio::{net::TcpListener, sync::watch};

use crate::{
    buffers::{BufferBudget, BufferedBody},
    failure::Failure,
    serve::{self, ConnectionLimits, RequestBody, Serve},
};

use super::{AdminApi, OPERATOR_PREFIX, declaration::MAX_CHANGE_BODY_BYTES};

/// Threads that handle requests; more than may wait for the leader, so that health checks still get
/// a response.
const HANDLER_THREADS: usize = 16;

/// Most open connections of operators and monitoring.
const MAX_CONNECTIONS: u64 = 384;

/// Most header fields in a request.
const MAX_HEADERS: usize = 64;

/// Serves operators, health checks and metrics.
struct Operators {
    api: Arc<AdminApi>,
    budget: Arc<BufferBudget>,
    connections: Cell<u64>,
}

impl Serve for Operators {
    type Body = Full<Bytes>;

    const DESCRIPTORS: u64 = 1;

    const SERVES_HALF_CLOSED: bool = true;

    fn connection_limits(&self) -> ConnectionLimits {
        let cfg = &self.api.context.cfg;
        ConnectionLimits {
            header_timeout: cfg.timeouts.header,
            idle_timeout: cfg.timeouts.header,
            header_bytes: usize::try_from(cfg.limits.header_bytes.as_u64()).unwrap_or(usize::MAX),
            headers: MAX_HEADERS,
            body_bytes: self.max_body_bytes() as u64,
        }
    }

    fn max_connections(&self) -> u64 {
        MAX_CONNECTIONS
    }

    fn connections(&self) -> &Cell<u64> {
        &self.connections
    }

    fn buffers(&self) -> &Arc<BufferBudget> {
        &self.budget
    }

    fn metrics(&self) -> &Metrics {
        &self.api.context.metrics
    }

    async fn handle(self: Rc<Self>, req: Request<RequestBody>) -> Response<Full<Bytes>> {
        self.respond(req).await.unwrap_or_else(|failure| failure.to_response())
    }
}

impl Operators {
    async fn respond(&self, req: Request<RequestBody>) -> Result<Response<Full<Bytes>>, Failure> {
        let (head, body) = req.into_parts();
        if head.uri.path().starts_with(OPERATOR_PREFIX) {
            // Without a key no body is read.
            if let Err(e) = self.api.keys.check(&to_blocking(&head, &[])) {
                return Ok(from_blocking(e.into_response()));
            }
        }
        let body = self.read(body).await?;
        let api = Arc::clone(&self.api);
        let handling = tokio::task::spawn_blocking(move || {
            from_blocking(api.handle(&to_blocking(&head, &body.bytes)))
        });
        handling.await.map_err(|_| {
            let detail = "the request's handler failed";
            Failure::new(StatusCode::INTERNAL_SERVER_ERROR, "failed", detail, Verdict::MayHaveRun)
        })
    }

    async fn read(&self, body: RequestBody) -> Result<BufferedBody, Failure> {
        let timeout = self.api.context.cfg.timeouts.body;
        let max_bytes = self.max_body_bytes();
        let reading = self.budget.read_request(body, max_bytes);
        let Ok(read) = tokio::time::timeout(timeout, reading).await else {
            return Err(Failure::body_timeout(timeout));
        };
        read.map_err(|e| e.into_failure(max_bytes))
    }

    /// Returns the largest body of any request; handlers have lower limits of their own.
    fn max_body_bytes(&self) -> usize {
        let max_bytes = self.api.context.cfg.limits.body_bytes.as_u64().max(MAX_CHANGE_BODY_BYTES);
        usize::try_from(max_bytes).unwrap_or(usize::MAX)
    }
}

fn to_blocking(head: &Parts, body: &[u8]) -> rouille::Request {
    let target = head.uri.path_and_query().map_or("/", |path| path.as_str());
    rouille::Request::fake_http(head.method.as_str(), target, fields(&head.headers), body.to_vec())
}

fn fields(headers: &HeaderMap) -> Vec<(String, String)> {
    let text = |value: &HeaderValue| String::from_utf8_lossy(value.as_bytes()).into_owned();
    headers.iter().map(|(name, value)| (name.to_string(), text(value))).collect()
}

fn from_blocking(response: rouille::Response) -> Response<Full<Bytes>> {
    let mut bytes = Vec::new();
    let (mut reader, _) = response.data.into_reader_and_size();
    let read = reader.read_to_end(&mut bytes);
    let mut converted = Response::new(Full::from(bytes));
    let status = StatusCode::from_u16(response.status_code).ok().filter(|_| read.is_ok());
    *converted.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    for (name, value) in response.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&value)) {
            converted.headers_mut().append(name, value);
        }
    }
    converted
}

/// Starts the thread that serves the interface.
///
/// # Errors
///
/// Returns an error if the thread or its runtime can't be created.
pub(super) fn spawn(
    api: AdminApi,
    budget: Arc<BufferBudget>,
    listener: std::net::TcpListener,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(HANDLER_THREADS)
        .build()?;
    std::thread::Builder::new().name("admin".into()).spawn(move || {
        let tasks = tokio::task::LocalSet::new();
        tasks.block_on(&runtime, async move {
            let listener =
                TcpListener::from_std(listener).expect("the listener is in non-blocking mode");
            let operators = Operators { api: Arc::new(api), budget, connections: Cell::new(0) };
            // The interface serves until the process ends.
            let (_drain_tx, drain_rx) = watch::channel(false);
            serve::accept(Rc::new(operators), listener, drain_rx).await;
        });
    })?;
    Ok(())
}
