//! HTTP/1.1 over plain sockets, for the stand-ins of callers, servers and the operator.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// The head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method and the path of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or_default(), words.next().unwrap_or_default())
    }
}

/// A response, as far as it was received.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    pub complete: bool,
}

pub fn read_head(from: &mut impl BufRead) -> io::Result<Head> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 || !line.ends_with('\n') {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(head);
        }
        match line.split_once(':').filter(|_| !head.start.is_empty()) {
            Some((name, value)) => head.fields.push((name.to_owned(), value.trim().to_owned())),
            None => head.start = line.to_owned(),
        }
    }
}

/// Reads a body with a length or in chunks; returns it and whether it is complete.
pub fn read_body(head: &Head, from: &mut impl BufRead) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    if let Some(length) = head.field("content-length") {
        let length: usize = length.parse().unwrap_or(0);
        let read = from.take(length as u64).read_to_end(&mut body);
        return (body, read.is_ok_and(|read| read == length));
    }
    if head.field("transfer-encoding").is_none() {
        return (body, true);
    }
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).unwrap_or(0) == 0 {
            return (body, false);
        }
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return (body, false) };
        let mut chunk = Vec::new();
        let read = from.take(size as u64 + 2).read_to_end(&mut chunk);
        if !read.is_ok_and(|read| read == size + 2) {
            return (body, false);
        }
        if size == 0 {
            return (body, true);
        }
        body.extend(&chunk[..size]);
    }
}

/// Sends a request on a new connection and reads the response.
pub fn send(
    to: SocketAddr,
    start: &str,
    fields: &[(&str, String)],
    body: &str,
    timeout: Duration,
) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&to, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut text = format!("{start} HTTP/1.1\r\nConnection: close\r\n");
    if !fields.iter().any(|(name, _)| *name == "Host") {
        text += &format!("Host: {to}\r\n");
    }
    for (name, value) in fields {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let status = head.start.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let (body, complete) = read_body(&head, &mut reader);
    Ok(Response { status, body, complete })
}
