use std::{
    cell::RefCell,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use base::Verdict;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Response, body::Incoming, client::conn::http1::SendRequest,
    header::HeaderValue,
};

use crate::net;

use crate::failure::Failure;

use super::tracked::REQUEST_ID_HEADER;

/// Most idle connections kept open to an endpoint.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// An HTTP/1 connection to an endpoint.
pub(super) type Connection = SendRequest<Full<Bytes>>;

/// Pool of connections to one endpoint.
pub(super) struct ConnectionPool {
    source: IpAddr,
    address: SocketAddr,
    idle: RefCell<Vec<IdleConnection>>,
}

/// A connection that waits for its next request.
struct IdleConnection {
    connection: Connection,
    /// The id of the last request, if it had one.
    last_request: Option<HeaderValue>,
}

impl IdleConnection {
    /// Returns whether a response to `request` names the request before it.
    fn repeats_last(&self, request: &HeaderMap, response: &HeaderMap) -> bool {
        let id = response.get(REQUEST_ID_HEADER);
        id.is_some() && id == self.last_request.as_ref() && id != request.get(REQUEST_ID_HEADER)
    }
}

impl ConnectionPool {
    /// Creates a pool of connections from the local address `source`.
    pub(super) fn new(source: IpAddr, address: SocketAddr) -> Self {
        Self { source, address, idle: RefCell::new(Vec::new()) }
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// Returns a failure with the verdict that nothing has run.
    pub(super) async fn connect(&self, timeout: Duration) -> Result<Connection, Failure> {
        let connected = net::connect_http(self.source, self.address, timeout).await;
        let fresh = connected.map_err(|why| {
            Failure::bad_gateway(format!("no connection: {why}"), Verdict::NotRun)
        })?;
        Ok(fresh.sender)
    }

    /// Sends an idempotent request, over an idle connection if there is one.
    ///
    /// # Errors
    ///
    /// Returns a failure with the verdict on whether the request may have run.
    pub(super) async fn send(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(Response<Incoming>, Connection), Failure> {
        if let Some(mut idle) = self.take_idle()
            && let Ok(response) = idle.connection.send_request(req.clone()).await
            && !idle.repeats_last(req.headers(), response.headers())
        {
            return Ok((response, idle.connection));
        }
        let mut fresh = self.connect(timeout).await?;
        let response = send_once(&mut fresh, req).await?;
        Ok((response, fresh))
    }

    /// Returns a connection to the pool after the response to `last_request` was read to the end.
    pub(super) fn return_idle(&self, connection: Connection, last_request: Option<HeaderValue>) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS && !connection.is_closed() {
            idle.push(IdleConnection { connection, last_request });
        }
    }

    fn take_idle(&self) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|idle| !idle.connection.is_closed());
        let ready = idle.iter().rposition(|idle| idle.connection.is_ready())?;
        Some(idle.swap_remove(ready))
    }
}

/// Sends a request once, over a given connection.
///
/// # Errors
///
/// Returns a failure with the verdict that the request may have run.
pub(super) async fn send_once(
    connection: &mut Connection,
    req: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, Failure> {
    connection
        .send_request(req)
        .await
        .map_err(|e| Failure::bad_gateway(format!("no response: {e}"), Verdict::MayHaveRun))
}
