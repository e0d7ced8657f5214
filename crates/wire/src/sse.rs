//! Server-sent events: a parser and a splitter with bounded memory, and an encoder.

use std::fmt::Write as _;

use base::ByteCount;

use crate::BodyError;

/// A server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The event's id.
    pub id: Option<String>,
    /// The event's type, unless it is the default one.
    pub kind: Option<String>,
    /// The data, its lines joined by line feeds.
    pub data: String,
}

impl Event {
    /// Creates an event of the default type.
    pub fn data(data: impl Into<String>) -> Self {
        Self { data: data.into(), ..Self::default() }
    }

    /// Encodes the event, with the empty line that ends it.
    pub fn to_text(&self) -> String {
        let mut text = String::with_capacity(self.data.len() + 32);
        if let Some(id) = &self.id {
            writeln!(text, "id: {id}").expect("writing to a string never fails");
        }
        if let Some(kind) = &self.kind {
            writeln!(text, "event: {kind}").expect("writing to a string never fails");
        }
        for line in self.data.split('\n') {
            writeln!(text, "data: {line}").expect("writing to a string never fails");
        }
        text.push('\n');
        text
    }
}

/// Parses a stream of bytes into events.
#[derive(Debug)]
pub struct Parser {
    max_event_bytes: usize,
    buf: Vec<u8>,
    scanned: usize,
    event: Event,
    has_data: bool,
    event_bytes: usize,
}

impl Parser {
    /// Creates a parser that buffers at most `max_event_bytes` of one event.
    pub fn new(max_event_bytes: ByteCount) -> Self {
        Self {
            max_event_bytes: usize::try_from(max_event_bytes.as_u64()).unwrap_or(usize::MAX),
            buf: Vec::new(),
            scanned: 0,
            event: Event::default(),
            has_data: false,
            event_bytes: 0,
        }
    }

    /// Parses `bytes` and appends the events that they complete to `events`.
    ///
    /// # Errors
    ///
    /// Returns an error if an event is too long or not UTF-8; the parser can't be used after that.
    pub fn push(&mut self, bytes: &[u8], events: &mut Vec<Event>) -> Result<(), BodyError> {
        self.buf.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(offset) = self.buf[self.scanned..].iter().position(|&b| b == b'\n') {
            let end = self.scanned + offset;
            let line = std::str::from_utf8(&self.buf[start..end])
                .map_err(|_| BodyError::new("event is not valid UTF-8"))?;
            let line = line.strip_suffix('\r').unwrap_or(line);
            self.event_bytes += end - start;
            if self.max_event_bytes < self.event_bytes {
                return Err(self.too_long());
            }
            parse_line(line, &mut self.event, &mut self.has_data);
            if line.is_empty() {
                self.event_bytes = 0;
                let event = std::mem::take(&mut self.event);
                if std::mem::take(&mut self.has_data) {
                    events.push(event);
                }
            }
            start = end + 1;
            self.scanned = start;
        }
        self.buf.drain(..start);
        self.scanned = self.buf.len();
        if self.max_event_bytes < self.event_bytes + self.buf.len() {
            return Err(self.too_long());
        }
        Ok(())
    }

    fn too_long(&self) -> BodyError {
        BodyError::new(format!("event exceeds {} bytes", self.max_event_bytes))
    }
}

fn parse_line(line: &str, event: &mut Event, has_data: &mut bool) {
    let (field, value) = line.split_once(':').unwrap_or((line, ""));
    let value = value.strip_prefix(' ').unwrap_or(value);
    match field {
        "id" => event.id = Some(value.to_owned()),
        "event" => event.kind = Some(value.to_owned()),
        "data" => {
            if *has_data {
                event.data.push('\n');
            }
            event.data.push_str(value);
            *has_data = true;
        }
        _ => {}
    }
}

/// Splits a stream of bytes into complete events without changing a byte of them.
#[derive(Debug)]
pub struct EventSplitter {
    max_event_bytes: usize,
    buf: Vec<u8>,
}

/// Complete events, byte for byte as received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The events' bytes, each with the empty line that ends it.
    pub bytes: Vec<u8>,
    /// The number of events.
    pub events: usize,
    /// The id of the last event that has one.
    pub last_id: Option<String>,
}

impl EventSplitter {
    /// Creates a splitter that buffers at most `max_event_bytes` of one event.
    pub fn new(max_event_bytes: ByteCount) -> Self {
        let max_event_bytes = usize::try_from(max_event_bytes.as_u64()).unwrap_or(usize::MAX);
        Self { max_event_bytes, buf: Vec::new() }
    }

    /// Buffers `bytes` and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Returns an error if an event is too long or contains a line that no event has, as when an
    /// endpoint writes a response head into its stream; the splitter can't be used after that.
    pub fn push(&mut self, bytes: &[u8]) -> Result<CompleteEvents, BodyError> {
        self.buf.extend_from_slice(bytes);
        let mut complete = CompleteEvents::default();
        let (mut start, mut end, mut id) = (0, 0, None);
        while let Some(offset) = self.buf[start..].iter().position(|&b| b == b'\n') {
            let line = &self.buf[start..start + offset];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            start += offset + 1;
            if !is_event_line(line) {
                return Err(BodyError::new("the stream contains a line that is not of an event"));
            }
            if line.is_empty() {
                end = start;
                complete.events += 1;
                complete.last_id = id.take().or(complete.last_id);
            } else if let Some(text) = line.strip_prefix(b"id:") {
                let text = text.strip_prefix(b" ").unwrap_or(text);
                id = Some(String::from_utf8_lossy(text).into_owned());
            }
        }
        complete.bytes = self.buf.drain(..end).collect();
        if self.max_event_bytes < self.buf.len() {
            return Err(BodyError::new(format!("event exceeds {} bytes", self.max_event_bytes)));
        }
        Ok(complete)
    }

    /// Returns the number of buffered bytes, all of an incomplete event.
    pub fn buffered_bytes(&self) -> usize {
        self.buf.len()
    }

    /// Returns whether bytes of an incomplete event are buffered.
    pub fn is_within_event(&self) -> bool {
        !self.buf.is_empty()
    }
}

/// Returns whether a line is empty, a comment or a field with a lowercase name, as all fields of
/// events have; names of header fields are mostly capitalised, and a status line has no name.
fn is_event_line(line: &[u8]) -> bool {
    match line.iter().position(|&b| b == b':') {
        None => matches!(line, b"" | b"id" | b"data" | b"event" | b"retry"),
        Some(end) => line[..end]
            .iter()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'-' | b'_')),
    }
}
