//! Equal shares of admitted tokens among organisations while capacity is short.

use std::{sync::Arc, time::Duration};

use base::{MonotonicTime, TokenCount};
use route::TokenShares;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn admit(shares: &mut TokenShares, now: u64, organisation: &str, tokens: u64) {
    shares.record_admitted(at(now), &Arc::from(organisation), TokenCount::new(tokens));
}

/// Guards against refusals on sites with enough capacity.
#[test]
fn nothing_is_refused_without_a_shortage() {
    let mut shares = TokenShares::default();
    admit(&mut shares, 0, "large", 90_000);
    admit(&mut shares, 0, "small", 100);
    assert_eq!(shares.check(at(10), "large"), Ok(()));
}

/// Guards against shares by requests, which favour organisations with long prompts.
#[test]
fn organisation_over_its_share_of_tokens_is_refused() {
    let mut shares = TokenShares::default();
    (0..20).for_each(|_| admit(&mut shares, 500, "chats", 900));
    (0..5).for_each(|_| admit(&mut shares, 500, "prompts", 9_200));
    shares.record_shortage(at(600), &Arc::from("prompts"));
    assert_eq!(shares.check(at(700), "chats"), Ok(()));
    assert_eq!(shares.check(at(700), "newcomer"), Ok(()));
    let over = shares.check(at(700), "prompts").unwrap_err();
    assert_eq!((over.taken, over.share), (TokenCount::new(46_000), TokenCount::new(32_000)));
}

/// Guards against a lone organisation that is refused though nobody else asks.
#[test]
fn lone_organisation_is_not_refused() {
    let mut shares = TokenShares::default();
    admit(&mut shares, 0, "large", 90_000);
    shares.record_shortage(at(0), &Arc::from("large"));
    assert_eq!(shares.check(at(10), "large"), Ok(()));
}

/// Guards against a stated wait after which the request is refused again.
#[test]
fn refused_organisation_is_admitted_after_the_stated_wait() {
    let mut shares = TokenShares::default();
    admit(&mut shares, 0, "small", 100);
    admit(&mut shares, 0, "large", 90_000);
    // The shortage would last until 5 s, the tokens leave the window at 4 s.
    shares.record_shortage(at(3_000), &Arc::from("large"));
    let over = shares.check(at(3_000), "large").unwrap_err();
    assert_eq!(over.retry_after, Duration::from_millis(1_000));
    assert_eq!(shares.check(at(4_000), "large"), Ok(()));
}

#[test]
fn shortage_ends_after_the_latest_refusal() {
    let mut shares = TokenShares::default();
    admit(&mut shares, 0, "small", 100);
    admit(&mut shares, 0, "large", 90_000);
    shares.record_shortage(at(0), &Arc::from("large"));
    assert!(shares.check(at(1_999), "large").is_err());
    assert_eq!(shares.check(at(2_000), "large"), Ok(()));
}

/// Guards against an organisation that has no share because none of its requests was admitted.
#[test]
fn organisation_without_admitted_requests_takes_part() {
    let mut shares = TokenShares::default();
    admit(&mut shares, 0, "large", 90_000);
    shares.record_shortage(at(10), &Arc::from("small"));
    assert!(shares.check(at(20), "large").is_err());
    assert_eq!(shares.check(at(20), "small"), Ok(()));
}

/// Guards against a small organisation that a flood of another leaves without service: engines
/// serve 40,000 tokens/s, one organisation asks for five times that and another for a tenth.
#[test]
fn flood_leaves_a_small_organisation_its_share() {
    let served = |is_shared: bool| {
        let mut shares = TokenShares::default();
        let (mut capacity, mut small) = (0.0, 0);
        for now in 0..20_000_u64 {
            capacity = f64::min(capacity + 40.0, 20_000.0);
            let arrivals = [("flood", now % 50 == 0, 10_000), ("small", now % 250 == 7, 1_000)];
            for (organisation, _, tokens) in arrivals.iter().filter(|(_, arrives, _)| *arrives) {
                if is_shared && shares.check(at(now), organisation).is_err() {
                    continue;
                }
                if capacity < f64::from(*tokens) {
                    shares.record_shortage(at(now), &Arc::from(*organisation));
                    continue;
                }
                capacity -= f64::from(*tokens);
                small += u32::from(*organisation == "small");
                let tokens = u64::try_from(*tokens).unwrap();
                admit(&mut shares, now, organisation, tokens);
            }
        }
        small
    };
    println!(
        "served of 80 requests of the small one: {} before, {} after",
        served(false),
        served(true)
    );
    assert!(76 <= served(true));
}
