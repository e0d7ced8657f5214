//! A fake OTLP collector that passes on the spans it receives.

use std::{
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{TcpListener, TcpStream},
    thread,
};

/// A span as received by the collector.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReceivedSpan {
    pub trace: Vec<u8>,
    pub span: Vec<u8>,
    pub parent: Vec<u8>,
    pub name: String,
}

/// Starts a collector that responds to each export with `status`; returns its URL and the channel of
/// received spans.
pub fn start(status: u16) -> (String, flume::Receiver<ReceivedSpan>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}/v1/traces", listener.local_addr().unwrap());
    let (tx, rx) = flume::unbounded();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut reader = BufReader::new(stream.unwrap());
            for span in spans(&read_body(&mut reader)) {
                // Sent before the response, so that a flush implies receipt; the test may have dropped
                // the receiver.
                let _ = tx.send(span);
            }
            respond(reader.into_inner(), status);
        }
    });
    (url, rx)
}

fn read_body(reader: &mut BufReader<TcpStream>) -> Vec<u8> {
    let mut length = 0;
    let mut line = String::new();
    while 2 < reader.read_line(&mut line).unwrap() {
        let lower = line.to_ascii_lowercase();
        if let Some(value) = lower.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
        line.clear();
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    body
}

fn respond(mut stream: TcpStream, status: u16) {
    let response = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    stream.write_all(response.as_bytes()).unwrap();
}

fn spans(request: &[u8]) -> Vec<ReceivedSpan> {
    let resources = fields(request).into_iter().filter(|field| field.0 == 1);
    let scopes = resources.flat_map(|field| fields(field.1)).filter(|field| field.0 == 2);
    let spans = scopes.flat_map(|field| fields(field.1)).filter(|field| field.0 == 2);
    spans.map(|field| span(field.1)).collect()
}

fn span(bytes: &[u8]) -> ReceivedSpan {
    let mut span = ReceivedSpan::default();
    for (number, value) in fields(bytes) {
        match number {
            1 => span.trace = value.to_vec(),
            2 => span.span = value.to_vec(),
            4 => span.parent = value.to_vec(),
            5 => span.name = String::from_utf8(value.to_vec()).unwrap(),
            _ => {}
        }
    }
    span
}

/// Splits a protobuf message into field numbers and values; the value of a varint field is empty.
fn fields(mut bytes: &[u8]) -> Vec<(u64, &[u8])> {
    let mut found = Vec::new();
    while !bytes.is_empty() {
        let tag = varint(&mut bytes);
        let length = match tag & 7 {
            0 => {
                varint(&mut bytes);
                0
            }
            1 => 8,
            2 => usize::try_from(varint(&mut bytes)).unwrap(),
            5 => 4,
            other => panic!("wire type {other}"),
        };
        let (value, rest) = bytes.split_at(length);
        found.push((tag >> 3, value));
        bytes = rest;
    }
    found
}

fn varint(bytes: &mut &[u8]) -> u64 {
    let mut value = 0;
    for shift in (0..).step_by(7) {
        let (byte, rest) = bytes.split_first().unwrap();
        *bytes = rest;
        value |= u64::from(byte & 0x7f) << shift;
        if byte & 0x80 == 0 {
            break;
        }
    }
    value
}
