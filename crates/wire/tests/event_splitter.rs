//! The event splitter returns complete events, byte for byte.

use base::ByteCount;
use wire::sse::EventSplitter;
use yare::parameterized;

#[parameterized(
    whole = { &["id: 1\ndata: a\n\n"], "id: 1\ndata: a\n\n", 1, Some("1"), false },
    two = { &["id: 1\ndata: a\n\nid: 2\ndata: b\n\n"], "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2, Some("2"), false },
    incomplete = { &["id: 1\n\nid: 2\ndata"], "id: 1\n\n", 1, Some("1"), true },
    split_anywhere = { &["i", "d: 7\r\nda", "ta: x\r\n\r", "\n"], "id: 7\r\ndata: x\r\n\r\n", 1, Some("7"), false },
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
