//! Every parser handles arbitrary bytes without a panic, and accepted messages round-trip.

use base::{Revision, UnixMillis};
use fleet::{CallKey, ChangeRecord};
use proptest::{prelude::*, test_runner::RngSeed};
use quorum::{FolderId, VoterSet};
use wire::{
    announcement::AnnouncementBody,
    chunk::Chunk,
    completion::CompletionRequest,
    leader::{LeaderRequest, LeaderResponse},
    peer::{gossip_from_bytes, gossip_to_bytes, quorum_from_bytes, quorum_to_bytes},
};

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn requests() -> Vec<LeaderRequest> {
    let host = "host-1".parse().unwrap();
    let call =
        CallKey { organisation: "school-1".parse().unwrap(), key: "order/7".parse().unwrap() };
    vec![
        LeaderRequest::ReadCall(call),
        LeaderRequest::ReadUnsettled,
        LeaderRequest::AddVoter { host, folder: FolderId::new(7) },
        LeaderRequest::RemoveVoter { host: "host-2".parse().unwrap() },
        LeaderRequest::ReadHistory,
        LeaderRequest::ReadVoters,
    ]
}

fn responses() -> Vec<LeaderResponse> {
    let folders = [("host-1".parse().unwrap(), FolderId::new(7))];
    let change = ChangeRecord {
        revision: Revision::new(3),
        id: "c-1".parse().unwrap(),
        author: "ilka".parse().unwrap(),
        reason: "a reason".into(),
        at: UnixMillis::new(5),
    };
    vec![
        LeaderResponse::Call(None),
        LeaderResponse::Unsettled(Vec::new()),
        LeaderResponse::Voters(VoterSet { folders: folders.into() }),
        LeaderResponse::Refused("why".into()),
        LeaderResponse::History(vec![change]),
    ]
}

#[test]
fn leader_requests_and_responses_round_trip() {
    for request in requests() {
        assert_eq!(LeaderRequest::from_bytes(&request.to_bytes()).unwrap(), request);
    }
    for response in responses() {
        assert_eq!(LeaderResponse::from_bytes(&response.to_bytes()).unwrap(), response);
    }
}

proptest! {
    #![proptest_config(config(512))]

    #[test]
    fn arbitrary_bytes_as_router_messages(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(message) = gossip_from_bytes(&bytes) {
            prop_assert_eq!(gossip_from_bytes(&gossip_to_bytes(&message)).unwrap(), message);
        }
        if let Ok(message) = quorum_from_bytes(&bytes) {
            prop_assert_eq!(quorum_from_bytes(&quorum_to_bytes(&message)).unwrap(), message);
        }
        if let Ok(request) = LeaderRequest::from_bytes(&bytes) {
            prop_assert_eq!(LeaderRequest::from_bytes(&request.to_bytes()).unwrap(), request);
        }
        if let Ok(response) = LeaderResponse::from_bytes(&bytes) {
            prop_assert_eq!(LeaderResponse::from_bytes(&response.to_bytes()).unwrap(), response);
        }
    }

    #[test]
    fn truncated_and_altered_requests_never_panic(
        which in 0..6_usize, length in 0..40_usize, at in 0..40_usize, byte: u8,
    ) {
        let mut bytes = requests()[which].to_bytes();
        bytes.truncate(length);
        if let Some(altered) = bytes.get_mut(at) {
            *altered = byte;
        }
        let _ = LeaderRequest::from_bytes(&bytes);
    }

    #[test]
    fn arbitrary_text_as_bodies_never_panics(text in ".{0,200}") {
        let _ = CompletionRequest::from_slice(text.as_bytes());
        let _ = AnnouncementBody::from_slice(text.as_bytes());
        let _ = Chunk::parse(&text);
    }

    #[test]
    fn completion_of_arbitrary_json(
        prompt in "(\"[a-z ]{0,9}\"|[0-9]{1,3}|\\[[0-9]\\]|null)",
        model in "(\"[a-z+/]{0,9}\"|[0-9]|null)",
        stream in "(true|false|1|null)",
    ) {
        let body = format!("{{\"model\": {model}, \"prompt\": {prompt}, \"stream\": {stream}}}");
        if let Ok(completion) = CompletionRequest::from_slice(body.as_bytes()) {
            prop_assert!(!completion.model().as_str().is_empty());
            completion.prompt_parts();
        }
    }
}

#[test]
fn overlong_varint_is_rejected() {
    let mut bytes = LeaderRequest::ReadUnsettled.to_bytes();
    bytes[0] = 0xff;
    bytes.extend([0xff; 16]);
    assert!(LeaderRequest::from_bytes(&bytes).is_err());
}
