//! A small HTTP/1.1 client and the parts of one that servers need too.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

#[derive(Clone, Debug)]
pub struct Message {
    /// The first line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads the first line and the header fields; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut start = String::new();
    if reader.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    Ok(Some(Message { start: start.trim_end().to_owned(), headers, body: Vec::new() }))
}

/// Reads a body with a length, in chunks, or (for responses) up to the end of the connection.
pub fn read_body(reader: &mut impl BufRead, head: &mut Message, to_end: bool) -> io::Result<()> {
    let chunked = head.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
    if chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut data = vec![0; size + 2];
            reader.read_exact(&mut data)?;
            if size == 0 {
                return Ok(());
            }
            head.body.extend_from_slice(&data[..size]);
        }
    }
    match head.header("content-length").and_then(|text| text.parse::<usize>().ok()) {
        Some(length) => {
            head.body = vec![0; length];
            reader.read_exact(&mut head.body)
        }
        None if to_end => reader.read_to_end(&mut head.body).map(drop),
        None => Ok(()),
    }
}

/// Sends a request on a new connection and reads the whole response.
pub fn send(
    to: SocketAddr,
    start: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut text = format!("{start} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        text += &format!("Host: {to}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !start.starts_with("GET ") || !body.is_empty() {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "Connection: close\r\n\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let mut head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &mut head, true)?;
    Ok(head)
}
