use std::{
    io,
    net::{IpAddr, SocketAddr, TcpListener},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    client::conn::http1::{self, SendRequest},
    header::HeaderValue,
};
use hyper_util::rt::TokioIo;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::{
    net::{TcpSocket, TcpStream},
    task::JoinHandle,
};

/// Connections that may wait to be accepted; with a shorter queue, callers in a burst wait a
/// second, after which TCP retransmits.
const LISTEN_BACKLOG: i32 = 4096;

/// Most bytes that a connection to an endpoint buffers, and so of a response's head; hosts have
/// hundreds of such connections.
const MAX_READ_BUFFER_BYTES: usize = 32 << 10;

/// Listens on `address`.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

/// Opens a connection from the host's own address, so that the other side sees the address in the
/// settings.
pub(crate) async fn connect(source: IpAddr, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if !source.is_unspecified() && source.is_ipv4() == address.is_ipv4() {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    socket.set_nodelay(true)?;
    socket.connect(address).await
}

/// Returns the `Host` header of a request to `address`.
pub(crate) fn host_value(address: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&address.to_string()).expect("an address is a valid header")
}

/// A task that is aborted on drop.
pub(crate) struct AbortOnDrop(pub JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A new connection, not used for a request yet.
pub(crate) struct FreshConnection {
    /// Sends the request.
    pub sender: SendRequest<Full<Bytes>>,
    /// Drives the connection's I/O; aborting it closes the connection.
    pub driver: JoinHandle<()>,
}

/// Opens a connection for requests from the host's own address `source`.
///
/// # Errors
///
/// Returns the reason; nothing was sent.
pub(crate) async fn connect_http(
    source: IpAddr,
    address: SocketAddr,
    timeout: Duration,
) -> Result<FreshConnection, String> {
    let connecting = async {
        let stream = connect(source, address).await.map_err(|e| e.to_string())?;
        http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| e.to_string())
    };
    let connected = tokio::time::timeout(timeout, connecting).await;
    let (sender, connection) = connected.map_err(|_| "timeout".to_owned())??;
    let driver = tokio::task::spawn_local(async move {
        if let Err(e) = connection.await {
            log::debug!("endpoint connection failed: address={address} error={e}");
        }
    });
    Ok(FreshConnection { sender, driver })
}
