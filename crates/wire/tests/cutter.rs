//! Whole events cut out of a stream, byte for byte.

use base::ByteCount;
use wire::sse::EventSplitter;
use yare::parameterized;

#[parameterized(
    whole = { &["id: 1\ndata: a\n\n"], "id: 1\ndata: a\n\n", 1, Some("1"), false },
    two = { &["id: 1\ndata: a\n\nid: 2\ndata: b\n\n"], "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2, Some("2"), false },
    unfinished = { &["id: 1\n\nid: 2\ndata"], "id: 1\n\n", 1, Some("1"), true },
    split_anywhere = { &["i", "d: 7\r\nda", "ta: x\r\n\r", "\n"], "id: 7\r\ndata: x\r\n\r\n", 1, Some("7"), false },
    without_id = { &["data: a\n\n"], "data: a\n\n", 1, None, false },
)]
fn cuts(pieces: &[&str], bytes: &str, events: usize, last_id: Option<&str>, within: bool) {
    let mut cutter = EventSplitter::new(ByteCount::new(1 << 10));
    let (mut out, mut count, mut last) = (Vec::new(), 0, None);
    for piece in pieces {
        let cut = cutter.push(piece.as_bytes()).unwrap();
        out.extend(cut.bytes);
        count += cut.events;
        last = cut.last_id.or(last);
    }
    assert_eq!(String::from_utf8(out).unwrap(), bytes);
    assert_eq!((count, last.as_deref(), cutter.is_within_event()), (events, last_id, within));
}

#[test]
fn endless_event_is_refused() {
    let mut cutter = EventSplitter::new(ByteCount::new(16));
    assert!(cutter.push(&[b'x'; 17]).is_err());
}
