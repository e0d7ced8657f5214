use std::{
    io,
    net::{IpAddr, SocketAddr},
};

use tokio::net::{TcpSocket, TcpStream};

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
