//! Event ids, events, chunks and completion requests round-trip, and parsers handle arbitrary input
//! in arbitrary pieces.

use base::{ByteCount, Incarnation};
use proptest::{prelude::*, test_runner::RngSeed};
use wire::{
    EventId,
    chunk::{Chunk, Usage},
    completion::{CompletionRequest, Delivered},
    sse::{Event, Parser},
};

const ID: &str = "[A-Za-z0-9._:/+@=-]{1,40}";
const LINES: &str = "[^\r\n\0]{0,30}(\n[^\r\n\0]{0,30}){0,3}";
const MAX_EVENT: ByteCount = ByteCount::new(4096);
const SMALL_EVENT: ByteCount = ByteCount::new(24);

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn parse<'a>(
    max_event: ByteCount,
    pieces: impl IntoIterator<Item = &'a [u8]>,
) -> Result<Vec<Event>, wire::BodyError> {
    let mut parser = Parser::new(max_event);
    let mut events = Vec::new();
    pieces.into_iter().try_for_each(|piece| parser.push(piece, &mut events))?;
    Ok(events)
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let word = "[a-z0-9,.-]{0,12}";
    let event = (prop::option::of(word), prop::option::of(word), LINES);
    prop::collection::vec(event.prop_map(|(id, kind, data)| Event { id, kind, data }), 0..6)
}

prop_compose! {
    fn event_id()(
        endpoint in ID,
        incarnation: u64,
        weights in ID,
        request in ID,
        offset in 0u64..1 << 40,
        more in 0u64..1 << 40,
    ) -> EventId {
        EventId {
            endpoint: endpoint.parse().unwrap(),
            incarnation: Incarnation::new(incarnation),
            weights: weights.parse().unwrap(),
            request: request.parse().unwrap(),
            offset,
            token: offset + more,
        }
    }
}

proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn event_id_round_trip(id in event_id()) {
        prop_assert_eq!(id.to_string().parse::<EventId>().unwrap(), id);
    }

    #[test]
    fn accepted_event_id_has_canonical_form(text in "[a-z0-9,+-]{0,40}|\\PC{0,60}") {
        if let Ok(id) = text.parse::<EventId>() {
            prop_assert_eq!(id.to_string(), text);
        }
    }

    #[test]
    fn events_round_trip_in_arbitrary_pieces(
        events in events(),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..8),
    ) {
        let text: String = events.iter().map(Event::to_text).collect();
        let mut cuts: Vec<_> = cuts.iter().map(|cut| cut.index(text.len() + 1)).collect();
        cuts.extend([0, text.len()]);
        cuts.sort_unstable();
        let pieces = cuts.windows(2).map(|pair| &text.as_bytes()[pair[0]..pair[1]]);
        prop_assert_eq!(parse(MAX_EVENT, pieces).unwrap(), events);
    }

    #[test]
    fn arbitrary_bytes_parse_alike_whole_and_byte_by_byte(
        bytes in prop::collection::vec(prop_oneof![any::<u8>(), Just(b'\n'), Just(b':')], 0..300),
    ) {
        let whole = parse(SMALL_EVENT, [bytes.as_slice()]);
        let single = parse(SMALL_EVENT, bytes.chunks(1));
        prop_assert_eq!(whole.is_ok(), single.is_ok());
        if let (Ok(whole), Ok(single)) = (whole, single) {
            prop_assert_eq!(whole, single);
        }
    }

    #[test]
    fn arbitrary_text_never_panics(text in "\\PC{0,200}", bytes: Vec<u8>) {
        let _ = Chunk::parse(&text);
        let _ = CompletionRequest::from_slice(&bytes);
        let _ = CompletionRequest::from_slice(text.as_bytes());
    }

    #[test]
    fn chunk_round_trip(id in ID, text in "\\PC{0,40}", tokens: u32) {
        let usage = Usage { completion_tokens: tokens.into(), ..Usage::default() };
        let choices = serde_json::json!([{"index": 1, "text": text, "finish_reason": "stop"}]);
        let data = serde_json::json!({"id": id, "choices": choices, "usage": usage}).to_string();
        let chunk = Chunk::parse(&data).unwrap();
        prop_assert_eq!(chunk.text(), Some(text.as_str()));
        prop_assert!(chunk.is_tail() && chunk.belongs_to(&id));
        let written = serde_json::to_string(&chunk).unwrap();
        prop_assert_eq!(Chunk::parse(&written).unwrap(), chunk);
    }

    #[test]
    fn continued_completion_includes_delivered_text(
        prompt in "\\PC{1,60}",
        text in "\\PC{1,60}",
        tokens in 1u64..50,
    ) {
        let body = serde_json::json!({"model": "m", "prompt": prompt, "max_tokens": 50});
        let completion = CompletionRequest::from_slice(body.to_string().as_bytes()).unwrap();
        let delivered = Delivered { tokens, text: text.clone() };
        let written = completion.to_engine_body(&"salt".parse().unwrap(), 0, &delivered, None);
        let continued = CompletionRequest::from_slice(&written).unwrap();
        prop_assert_eq!(continued.prompt_parts().concat(), format!("{prompt}{text}").into_bytes());
        prop_assert_eq!(continued.max_tokens(), Some(50 - tokens));
    }
}

macro_rules! can_continue {
    ($($name:ident: $fields:tt => $expected:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut body = serde_json::json!($fields);
            body["model"] = "m".into();
            let completion = CompletionRequest::from_slice(body.to_string().as_bytes()).unwrap();
            assert_eq!(completion.can_continue(), $expected);
        }
    )*};
}

can_continue! {
    text_prompt_can_continue: {"prompt": "p"} => true;
    unset_fields_can_continue: {"prompt": "p", "tools": null, "echo": false, "n": 1} => true;
    two_choices_cannot_continue: {"prompt": "p", "n": 2} => false;
    token_ids_cannot_continue: {"prompt": [1, 2]} => false;
    echo_cannot_continue: {"prompt": "p", "echo": true} => false;
    structured_output_cannot_continue: {"prompt": "p", "response_format": {"type": "json"}} => false;
}
