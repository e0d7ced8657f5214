//! A fake router, and helpers that run the tool.

use std::{
    fs,
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{TcpListener, TcpStream},
    path::PathBuf,
    process::{Command, Output, Stdio},
    sync::mpsc,
    thread,
};

use tempfile::TempDir;

/// A request as the fake router received it.
#[derive(Debug)]
pub struct Received {
    pub method: String,
    pub path: String,
    pub authorization: Option<String>,
    pub body: String,
}

/// How the fake router replies to a request.
pub enum Reply {
    Complete(u16, String),
    /// Sends only half of the body's content length.
    Truncated(u16, String),
    /// Closes the connection without a response.
    NoResponse,
    /// Keeps the connection open without a response.
    Hang,
}

pub struct Router {
    pub address: String,
    pub received: mpsc::Receiver<Received>,
}

/// Starts a router that replies to each request with the result of `reply`.
pub fn router(reply: impl Fn(&Received) -> Reply + Send + 'static) -> Router {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (tx, received) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let Some(req) = receive(&stream) else { continue };
            let reply = reply(&req);
            // Sent before the reply, so that the test has it when the tool ends. Errors are
            // ignored: not all tests keep the receiver.
            let _ = tx.send(req);
            send(&mut stream, reply);
        }
    });
    Router { address, received }
}

/// An address that refuses connections: no test's listener can be assigned its port.
pub const CLOSED_ADDRESS: &str = "127.0.0.1:1";

fn receive(stream: &TcpStream) -> Option<Received> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let mut words = line.split_whitespace().map(str::to_owned);
    let (method, path) = (words.next()?, words.next()?);
    let (mut length, mut authorization) = (0, None);
    loop {
        line.clear();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim().split_once(": ") else { break };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse().unwrap(),
            "authorization" => authorization = Some(value.to_owned()),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Received { method, path, authorization, body: String::from_utf8(body).unwrap() })
}

fn send(stream: &mut TcpStream, reply: Reply) {
    let (status, body, sent) = match reply {
        Reply::Complete(status, body) => (status, body.clone(), body),
        Reply::Truncated(status, body) => (status, body.clone(), body[..body.len() / 2].to_owned()),
        Reply::NoResponse => return,
        Reply::Hang => {
            // Keeps the connection open until the test's process ends.
            std::mem::forget(stream.try_clone().unwrap());
            return;
        }
    };
    let length = body.len();
    let head =
        format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n");
    stream.write_all(format!("{head}{sent}").as_bytes()).unwrap();
}

/// Runs the tool with only the given environment variables.
pub fn run(args: &[&str], variables: &[(&str, &str)]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dotterelreach"))
        .env_clear()
        .envs(variables.iter().copied())
        .args(args)
        .stdin(Stdio::null())
        .output()
        .unwrap()
}

/// Writes a file that is deleted with the returned folder.
pub fn file(text: &str) -> (TempDir, PathBuf) {
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("declaration.toml");
    fs::write(&path, text).unwrap();
    (folder, path)
}

pub fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

pub fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}
