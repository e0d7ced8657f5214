use std::{
    cell::RefCell,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use base::Verdict;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1::SendRequest};

use crate::net;

use crate::failure::Failure;

/// Most idle connections kept to an endpoint.
const MAX_IDLE: usize = 64;

/// A connection to an endpoint that can take a request.
pub(super) type Connection = SendRequest<Full<Bytes>>;

/// Connections to one endpoint.
pub(super) struct Pool {
    source: IpAddr,
    address: SocketAddr,
    idle: RefCell<Vec<Connection>>,
}

impl Pool {
    /// Creates a pool of connections from the own address `source`.
    pub(super) fn new(source: IpAddr, address: SocketAddr) -> Self {
        Self { source, address, idle: RefCell::new(Vec::new()) }
    }

    /// Returns a connection that has carried no request.
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
            && let Ok(response) = idle.send_request(req.clone()).await
        {
            return Ok((response, idle));
        }
        let mut fresh = self.connect(timeout).await?;
        let response = send_once(&mut fresh, req).await?;
        Ok((response, fresh))
    }

    /// Keeps a connection whose last answer was read to its end.
    pub(super) fn put_back(&self, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE && !connection.is_closed() {
            idle.push(connection);
        }
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| !connection.is_closed());
        let ready = idle.iter().rposition(SendRequest::is_ready)?;
        Some(idle.swap_remove(ready))
    }
}

/// Sends a request over a connection of its own.
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
        .map_err(|e| Failure::bad_gateway(format!("no answer: {e}"), Verdict::MayHaveRun))
}
