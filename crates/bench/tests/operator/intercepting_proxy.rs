//! A proxy in front of a router's admin address that intercepts each change.

use std::{
    io::{self, BufRead as _, BufReader, Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    thread,
};

/// What the proxy does with the router's response to a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeResponses {
    Forward,
    Drop,
}

/// Starts a proxy to `router` that runs `before_change` before it forwards a change.
pub fn start(
    router: SocketAddr,
    responses: ChangeResponses,
    before_change: impl Fn() + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let Some(request) = read_request(&stream) else { continue };
            let is_change = request.starts_with(b"POST ");
            if is_change {
                before_change();
            }
            let response = forward(router, &request);
            if !is_change || responses == ChangeResponses::Forward {
                stream.write_all(&response).unwrap();
            }
        }
    });
    address
}

fn read_request(stream: &TcpStream) -> Option<Vec<u8>> {
    let mut reader = BufReader::new(stream);
    let mut request = Vec::new();
    let mut length = 0;
    loop {
        let start = request.len();
        if reader.read_until(b'\n', &mut request).ok()? == 0 {
            return None;
        }
        let line = String::from_utf8_lossy(&request[start..]).to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
        if line.trim().is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    request.extend(body);
    Some(request)
}

fn forward(router: SocketAddr, request: &[u8]) -> Vec<u8> {
    let exchange = || -> io::Result<Vec<u8>> {
        let mut stream = TcpStream::connect(router)?;
        stream.write_all(request)?;
        stream.shutdown(Shutdown::Write)?;
        let mut response = Vec::new();
        stream.read_to_end(&mut response)?;
        Ok(response)
    };
    exchange().unwrap()
}
