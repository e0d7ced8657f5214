//! What routers tell each other of the prompts that they have sent.

use base::{HostId, TokenCount};
use prefix::{Part, PartChain, SentPrompt, SentPromptLog, UnreportedPrompts};

fn host(i: u32) -> HostId {
    format!("host-{i}").parse().unwrap()
}

fn sent(id: u64) -> SentPrompt {
    let chain = PartChain::new(1, &[Part { id, tokens: TokenCount::new(10) }]);
    SentPrompt { engine: 7, weights: 1, chain, saved: false }
}

#[test]
fn others_learn_what_a_router_has_sent_once() {
    let mut log = SentPromptLog::new(10);
    log.extend(&host(1), vec![sent(1), sent(2)]);
    assert_eq!(log.since(0, &host(2)).cloned().collect::<Vec<_>>(), [sent(1), sent(2)]);
    let seen = log.next();
    log.extend(&host(3), vec![sent(3)]);
    assert_eq!(log.since(seen, &host(2)).cloned().collect::<Vec<_>>(), [sent(3)]);
    assert_eq!(log.since(seen, &host(3)).count(), 0);
}

#[test]
fn oldest_entries_go_first() {
    let mut log = SentPromptLog::new(2);
    log.extend(&host(1), vec![sent(1), sent(2), sent(3)]);
    assert_eq!(log.since(0, &host(2)).cloned().collect::<Vec<_>>(), [sent(2), sent(3)]);
}

#[test]
fn what_could_not_be_told_is_told_later() {
    let mut untold = UnreportedPrompts::default();
    untold.push(sent(1));
    let lost = untold.take();
    untold.push(sent(2));
    untold.restore(lost);
    assert_eq!(untold.take(), [sent(1), sent(2)]);
    assert_eq!(untold.take(), []);
}
