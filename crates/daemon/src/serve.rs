//! Accepting, serving and closing callers' connections.

mod activity;
mod due;
mod open;
mod request_body;
mod timer;

use std::{
    cell::Cell, convert::Infallible, error::Error, future::Future, net::SocketAddr, rc::Rc,
    sync::Arc, time::Duration,
};

use bytes::Bytes;
use hyper::{
    Request, Response, Version,
    body::{Body as HttpBody, Incoming},
    header::EXPECT,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use telemetry::Metrics;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{Instant, error::Elapsed},
};

use crate::{buffers::BufferBudget, edge::ServerCommand};

use activity::{Activity, Overdue, TimeLimits, Tracked};
use due::{Due, ResponseDue, TrackedBody};
use open::OpenConnections;
use request_body::Unread;

pub(crate) use request_body::RequestBody;

/// Time from the end of accepting to the close of idle connections.
///
/// A request that arrives in that time is still read and served.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(500);

/// Time to wait after a failure to accept, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time between checks whether all requests have ended, while draining.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two log lines on refused connections.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Smallest limit on a request's head that the HTTP library accepts, in bytes.
const MIN_HEADER_BYTES: usize = 8 << 10;

/// Longest time to read on after the last response, while the caller still sends.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes read at once in that time.
const LINGER_READ_BYTES: usize = 16 << 10;

/// Limits on one connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    /// Longest time from the first to the last byte of a request's head.
    pub header_timeout: Duration,
    /// Longest time without a request.
    pub idle_timeout: Duration,
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Most header fields in a request.
    pub headers: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
}

/// A service for the requests on a thread's connections.
pub(crate) trait Serve: 'static {
    /// Descriptors that a connection may take; by default one more, to an endpoint.
    const DESCRIPTORS: u64 = 2;

    /// Whether a caller that closes its sending side still gets the response.
    const SERVES_HALF_CLOSED: bool = false;

    /// The body of a response.
    type Body: HttpBody<Data = Bytes, Error: Error + Send + Sync + 'static> + Unpin + 'static;

    /// Returns the limits that hold now: on times and on bodies for each connection, on heads for new
    /// ones.
    fn connection_limits(&self) -> ConnectionLimits;

    /// Returns the most connections that are open at once.
    fn max_connections(&self) -> u64 {
        u64::MAX
    }

    /// Returns the counter of open connections.
    fn connections(&self) -> &Cell<u64>;

    /// Returns the process's memory for heads and bodies.
    fn buffers(&self) -> &Arc<BufferBudget>;

    /// Returns the process's metrics.
    fn metrics(&self) -> &Metrics;

    /// Handles a request.
    fn handle(
        self: Rc<Self>,
        req: Request<RequestBody>,
    ) -> impl Future<Output = Response<Self::Body>> + 'static;
}

/// Counts an open connection until dropped.
struct OpenConnection<S: Serve> {
    service: Rc<S>,
    _open: open::OpenConnection,
}

impl<S: Serve> OpenConnection<S> {
    fn begin(service: &Rc<S>, open: open::OpenConnection) -> Self {
        service.connections().set(service.connections().get() + 1);
        Self { service: Rc::clone(service), _open: open }
    }
}

impl<S: Serve> Drop for OpenConnection<S> {
    fn drop(&mut self) {
        let connections = self.service.connections();
        connections.set(connections.get() - 1);
    }
}

/// Accepts connections until the drain, including those in the listen queue at its start.
pub(crate) async fn accept<S: Serve>(
    service: Rc<S>,
    listener: TcpListener,
    mut drain: watch::Receiver<bool>,
) {
    let all_open = OpenConnections::new(service.max_connections(), S::DESCRIPTORS);
    let mut refusals = RefusalLog::default();
    loop {
        let end = async {
            let _ = drain.wait_for(|draining| *draining).await;
            timer::arrivals().await;
        };
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = end => return,
        };
        match accepted {
            Ok((stream, caller)) => {
                let activity = Activity::new(service.buffers().begin());
                let Some(open) = all_open.begin(caller.ip(), &activity) else {
                    service.metrics().connection_refused();
                    refusals.add(caller);
                    continue;
                };
                let open = OpenConnection::begin(&service, open);
                let serving =
                    connection(Rc::clone(&service), stream, drain.clone(), open, activity);
                tokio::task::spawn_local(serving);
            }
            Err(e) => {
                log::warn!(error:% = e; "accept failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Logs refused connections, at most one line in each interval.
#[derive(Default)]
struct RefusalLog {
    count: u64,
    logged_at: Option<Instant>,
}

impl RefusalLog {
    fn add(&mut self, caller: SocketAddr) {
        self.count += 1;
        let now = Instant::now();
        if self.logged_at.is_some_and(|at| now < at + REFUSAL_LOG_INTERVAL) {
            return;
        }
        log::warn!(caller:%, refused = self.count; "connections refused, too many are open");
        *self = Self { count: 0, logged_at: Some(now) };
    }
}

/// A service that can be drained.
pub(crate) trait Drain {
    /// Starts to ask callers to use other hosts.
    fn leave(&self);

    /// Returns whether every request has ended and its response is sent.
    fn is_idle(&self) -> bool;
}

/// Executes commands until an abort, or until a drain is complete or has taken `limit`.
pub(crate) async fn wait_for_shutdown(
    service: &impl Drain,
    commands: &flume::Receiver<ServerCommand>,
    draining: &watch::Sender<bool>,
    limit: Option<Duration>,
) {
    while let Ok(command) = commands.recv_async().await {
        match command {
            ServerCommand::Leave => service.leave(),
            ServerCommand::Drain => {
                service.leave();
                let _ = draining.send(true);
                return drain(service, commands, limit).await;
            }
            ServerCommand::Abort => return,
        }
    }
}

async fn drain(
    service: &impl Drain,
    commands: &flume::Receiver<ServerCommand>,
    limit: Option<Duration>,
) {
    let deadline = limit.map(|limit| Instant::now() + limit);
    // The listen queue is accepted before the first check.
    loop {
        tokio::select! {
            command = commands.recv_async() => {
                if !matches!(command, Ok(ServerCommand::Drain | ServerCommand::Leave)) {
                    return;
                }
            }
            () = tokio::time::sleep(DRAIN_POLL_INTERVAL) => {}
        }
        if service.is_idle() || deadline.is_some_and(|deadline| deadline <= Instant::now()) {
            return;
        }
    }
}

/// Serves a connection until it is closed.
async fn connection<S: Serve>(
    service: Rc<S>,
    mut stream: TcpStream,
    drain: watch::Receiver<bool>,
    _open: OpenConnection<S>,
    activity: Activity,
) {
    let _ = stream.set_nodelay(true);
    let caller = stream.peer_addr().map_or("-".to_owned(), |caller| caller.to_string());
    let requests =
        Requests { service, due: ResponseDue::default(), unread: Unread::default(), activity };
    let Served { end, due, overdue } = serve_requests(&requests, &mut stream, drain).await;
    if let Some(reason) = overdue {
        requests.service.metrics().connection_closed(reason.as_str());
    }
    if overdue.is_some_and(|overdue| overdue != Overdue::Head) {
        // A reset would discard a whole response that the caller hasn't read yet.
        if due.is_some() || requests.activity.is_unread() {
            reset_on_close(&stream);
        }
        return;
    }
    if let Some(due) = due {
        if due.version < Version::HTTP_11 {
            reset_on_close(&stream);
        }
        return record_cut(requests.service.metrics(), &caller, due, end);
    }
    let is_head_refused = end.as_ref().is_err_and(hyper::Error::is_parse);
    if requests.unread.is_abandoned() || is_head_refused {
        tokio::select! {
            lingered = linger(&mut stream) => if lingered.is_err() {
                log::info!(caller; "caller connection closed while the caller was sending");
            },
            _ = requests.activity.cut_off(|| requests.idle_timeout()) => {}
        }
    }
    if let Err(e) = end {
        log::debug!("caller connection failed: {}", describe(&e));
    }
}

/// What the requests of a connection share.
struct Requests<S: Serve> {
    service: Rc<S>,
    due: ResponseDue,
    unread: Unread,
    activity: Activity,
}

impl<S: Serve> Clone for Requests<S> {
    fn clone(&self) -> Self {
        let service = Rc::clone(&self.service);
        Self {
            service,
            due: self.due.clone(),
            unread: self.unread.clone(),
            activity: self.activity.clone(),
        }
    }
}

impl<S: Serve> Requests<S> {
    async fn handle(self, req: Request<Incoming>) -> Response<TrackedBody<S::Body>> {
        let expects_continue = req.headers().contains_key(EXPECT);
        let req = self.unread.watch(req, &self.activity);
        let mut response = Rc::clone(&self.service).handle(req).await;
        let max_bytes = self.service.connection_limits().body_bytes;
        self.unread.settle(max_bytes, expects_continue, &mut response);
        response.map(|body| self.due.track(body, self.activity))
    }

    fn idle_timeout(&self) -> Duration {
        self.service.connection_limits().idle_timeout
    }

    /// Returns the limits that hold now, or `None` while the rest of a body is discarded.
    fn time_limits(&self) -> Option<TimeLimits> {
        if self.unread.is_discarding() {
            return None;
        }
        let limits = self.service.connection_limits();
        Some(TimeLimits { idle: limits.idle_timeout, head: limits.header_timeout })
    }
}

/// How a connection ended.
struct Served {
    end: hyper::Result<()>,
    /// The response that was due then.
    due: Option<Due>,
    /// Why this host closed it before its requests were finished.
    overdue: Option<Overdue>,
}

/// Serves requests until the connection ends.
async fn serve_requests<S: Serve>(
    requests: &Requests<S>,
    stream: &mut TcpStream,
    mut drain: watch::Receiver<bool>,
) -> Served {
    let limits = requests.service.connection_limits();
    let handler = service_fn(|req| {
        let requests = requests.clone();
        // The handler never runs if the caller leaves right after its request.
        requests.due.begin(req.version());
        requests.activity.begin_request();
        async move { Ok::<_, Infallible>(requests.handle(req).await) }
    });
    let tracked = Tracked { io: stream, activity: requests.activity.clone() };
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .half_close(S::SERVES_HALF_CLOSED)
        .max_buf_size(limits.header_bytes.max(MIN_HEADER_BYTES))
        .max_headers(limits.headers)
        .serve_connection(TokioIo::new(tracked), handler);
    tokio::pin!(connection);
    let close = async {
        let _ = drain.wait_for(|draining| *draining).await;
        timer::sleep(IDLE_CLOSE_DELAY).await;
    };
    let serving = async {
        tokio::select! {
            biased;
            end = connection.as_mut() => return (end, None),
            () = close => {}
            overdue = requests.activity.overdue(|| requests.time_limits()) => {
                if overdue != Overdue::Idle {
                    return (Ok(()), Some(overdue));
                }
            }
        }
        connection.as_mut().graceful_shutdown();
        tokio::select! {
            biased;
            end = connection.as_mut() => (end, None),
            cut_off = requests.activity.cut_off(|| requests.idle_timeout()) => (Ok(()), Some(cut_off)),
        }
    };
    // The response is written first, as the connection is polled first.
    let (end, overdue) = tokio::select! {
        biased;
        end = serving => end,
        never = requests.unread.discard(|| requests.activity.end_body()) => match never {},
    };
    let overdue = overdue.or_else(|| requests.activity.refused_head());
    // The connection still holds the response's body, which settles what is due when it is dropped.
    Served { end, due: requests.due.get(), overdue }
}

/// Reads on until the caller closes its side, as unread bytes would reset the connection, and the
/// reset may overtake the response.
async fn linger(stream: &mut TcpStream) -> Result<(), Elapsed> {
    let _ = stream.shutdown().await;
    let mut discarded = vec![0; LINGER_READ_BYTES];
    let reading = async { while let Ok(1..) = stream.read(&mut discarded).await {} };
    tokio::time::timeout(LINGER_TIMEOUT, reading).await
}

/// Makes the close of a connection reset it: a plain one would complete the response of a caller who
/// knows its end by that of the connection.
fn reset_on_close(stream: &TcpStream) {
    if let Err(e) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::warn!(error:% = e; "a connection can't be reset");
    }
}

/// Counts and logs the end of a connection on which a response is due.
fn record_cut(metrics: &Metrics, caller: &str, due: Due, end: hyper::Result<()>) {
    metrics.connection_cut();
    let why = end.err().map_or("the connection was closed".to_owned(), |e| describe(&e));
    log::info!(caller, stage:% = due.stage, due_ms = due.since.elapsed().as_millis() as u64, why;
        "caller connection ended before its response");
}

/// Returns an error with its sources.
fn describe(error: &hyper::Error) -> String {
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
