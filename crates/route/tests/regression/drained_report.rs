//! A restarted router avoided a prefix's home because of a reported prefill that had ended since.

use std::time::Duration;

use base::TokenCount;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use route::{Candidate, Policy as _, Request, Warm};

fn chosen(reported_requests: u32) -> Option<usize> {
    let home = Candidate {
        rank: 9,
        slots: 8,
        reported_requests,
        reported_prefill_tokens: TokenCount::new(2_000),
        report_age: Duration::from_millis(300),
        ..Candidate::default()
    };
    let other = Candidate { slots: 8, ..Candidate::default() };
    let req = Request { prompt_tokens: TokenCount::new(300), homes: 1 };
    Warm::default().choose(&req, &[home, other], &mut Pcg64Mcg::seed_from_u64(1))
}

#[test]
fn reported_prefill_without_a_queue_decays_with_age() {
    assert_eq!(chosen(1), Some(0));
}

#[test]
fn reported_prefill_behind_full_slots_does_not_decay() {
    assert_eq!(chosen(10), Some(1));
}
