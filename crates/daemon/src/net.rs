use std::{
    io,
    net::{IpAddr, SocketAddr, TcpListener},
};

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpSocket, TcpStream};

/// Connections that may wait to be accepted; with fewer, a burst of callers waits for a second,
/// the time after which TCP asks again.
const BACKLOG: i32 = 4096;

/// Listens on `address`.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Opens a connection from the host's own address, so that the far side sees the address that the
/// settings name.
pub(crate) async fn connect(source: IpAddr, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if !source.is_unspecified() && source.is_ipv4() == address.is_ipv4() {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    socket.set_nodelay(true)?;
    socket.connect(address).await
}
