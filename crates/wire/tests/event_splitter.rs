//! The event splitter returns complete events, byte for byte.

use base::ByteCount;
use wire::sse::EventSplitter;
use yare::parameterized;

#[parameterized(
    whole = { &["id: 1\ndata: a\n\n"], "id: 1\ndata: a\n\n", 1, Some("1"), false },
    two = { &["id: 1\ndata: a\n\nid: 2\ndata: b\n\n"], "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2, Some("2"), false },
    incomplete = { &["id: 1\n\nid: 2\ndata"], "id: 1\n\n", 1, Some("1"), true },
    split_anywhere = { &["i", "d: 7\r\nda", "ta: x\r\n\r", "\n"], "id: 7\r\ndata: x\r\n\r\n", 1, Some("7"), false },
    other_fields = { &["x-weight-versions: 2\nid: 1\n: ping\nretry\ndata\n\n"], "x-weight-versions: 2\nid: 1\n: ping\nretry\ndata\n\n", 1, Some("1"), false },
    colons_in_data = { &["data: HTTP/1.1 200 OK: yes\n\n"], "data: HTTP/1.1 200 OK: yes\n\n", 1, None, false },
    without_id = { &["data: a\n\n"], "data: a\n\n", 1, None, false },
)]
fn splits(pieces: &[&str], bytes: &str, events: usize, last_id: Option<&str>, within_event: bool) {
    let mut splitter = EventSplitter::new(ByteCount::new(1 << 10));
    let (mut out, mut count, mut last) = (Vec::new(), 0, None);
    for piece in pieces {
        let complete = splitter.push(piece.as_bytes()).unwrap();
        out.extend(complete.bytes);
        count += complete.events;
        last = complete.last_id.or(last);
    }
    assert_eq!(String::from_utf8(out).unwrap(), bytes);
    assert_eq!(
        (count, last.as_deref(), splitter.is_within_event()),
        (events, last_id, within_event)
    );
}

#[test]
fn oversized_event_is_rejected() {
    let mut splitter = EventSplitter::new(ByteCount::new(16));
    assert!(splitter.push(&[b'x'; 17]).is_err());
}

#[parameterized(
    status_line_within_a_name = { "id: 3\ndaHTTP/1.1 500 Internal Server Error\r\n" },
    status_line_within_a_value = { "data: tokHTTP/1.1 500 Oops\r\nContent-Length: 6\r\n\r\nfailed" },
    status_line_between_events = { "data: a\n\nHTTP/1.1 500 Oops\r\n" },
    page = { "<p>\n\nfailed\n\n</p>\n\n" },
    document = { "{\"error\":\n\n\"failed\"}\n\n" },
    chunk_size = { "1f\r\n" },
)]
fn other_text_is_not_an_event(text: &str) {
    let mut splitter = EventSplitter::new(ByteCount::new(1 << 10));
    assert!(splitter.push(text.as_bytes()).is_err());
}
