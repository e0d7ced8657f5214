//! A delayed message from an earlier start marked the next registration's number as used, so that
//! the registration was refused.

use base::{LogIndex, Term};
use quorum::{Body, StartCount, VoteKind};

use crate::{
    cluster::host,
    messages::{NodeHarness, folder},
};

#[test]
fn message_from_an_earlier_start_does_not_consume_a_registration() {
    let mut harness = NodeHarness::new(3, &[]);
    let register = Body::Register { starts: StartCount(2), last_index: LogIndex::new(1) };
    let term = Term::new(1);
    harness.receive_in(term, StartCount(1), 1, folder(1), register.clone());
    harness.wait(700);
    let (last_index, last_term) = (LogIndex::new(1), Term::new(1));
    let campaign = Term::new(1);
    let (vote_kind, voter_folder) = (VoteKind::Vote, folder(0));
    let vote = Body::Vote { campaign, vote_kind, voter_folder, last_index, last_term };
    harness.receive_in(term, StartCount(1), 1, folder(1), vote);
    harness.receive_in(term, StartCount(1), 1, folder(1), register);
    let replies: Vec<bool> = harness
        .sent(&host(1))
        .filter_map(|body| match body {
            Body::RegisterReply { accepted, .. } => Some(*accepted),
            _ => None,
        })
        .collect();
    assert_eq!(replies, [true, true]);
}
