//! Admission of urgent requests beside bursts of less urgent ones.
//!
//! The load: chats (830 prompt tokens, first-token objective 400 ms, urgent) and long prompts (9,200
//! tokens, objective 1,000 ms) whose rate rises by 2.4 for 4 of each 16 s, at engines with 12 slots
//! that prefill 81.9 tokens per ms in chunks of 4,096 tokens, urgent requests first.

mod engines;

use base::TokenCount;
use route::{EngineSpeed, InFlightLoad, LoadByUrgency, Urgency};

use yare::parameterized;

use engines::{Admission, Load, serve};

fn load(requests: u32, prefill_tokens: u64) -> InFlightLoad {
    InFlightLoad { requests, prefill_tokens: TokenCount::new(prefill_tokens) }
}

/// Guards against an urgent request that is refused because of prompts that it would overtake.
#[test]
fn urgent_request_waits_for_urgent_work_only() {
    let by_urgency =
        LoadByUrgency { total: load(7, 50_000), urgent_prefill_tokens: TokenCount::new(830) };
    assert_eq!(by_urgency.ahead_of(Urgency::Urgent), load(7, 830));
    assert_eq!(by_urgency.ahead_of(Urgency::Normal), load(7, 50_000));
}

/// Guards against sums that come from different reports: the urgent part is at most the total.
#[test]
fn urgent_part_is_at_most_the_total() {
    let by_urgency =
        LoadByUrgency { total: load(1, 100), urgent_prefill_tokens: TokenCount::new(500) };
    assert_eq!(by_urgency.ahead_of(Urgency::Urgent), load(1, 100));
}

#[test]
fn only_priority_0_is_urgent() {
    assert_eq!([0, 1, 2, 255].map(Urgency::of), {
        use Urgency::{Normal, Urgent};
        [Urgent, Normal, Normal, Normal]
    });
}

/// Guards against priority inversion: chats that engines would serve in time are refused because
/// of queued long prompts.
#[test]
fn bursts_of_long_prompts_leave_chats_in_time() {
    let before = serve(Load::long_bursts(), Admission::default());
    let after = serve(Load::long_bursts(), Admission { by_urgency: true, ..Admission::default() });
    println!("chats in time {:.3} before, {:.3} after", before.chats.share(), after.chats.share());
    println!("long prompts in time {:.3}, {:.3}", before.long.share(), after.long.share());
    assert!(before.chats.share() < 0.9);
    assert!(0.99 < after.chats.share());
    // Chats are 4% of the prompt tokens, so long prompts lose little.
    assert!(before.long.share() < after.long.share() + 0.03);
}

/// Guards against an engine that less urgent requests can't use at all, and one without a reserve.
#[parameterized(
    one = { 1, 1 },
    two = { 2, 1 },
    eight = { 8, 7 },
    twelve = { 12, 10 },
)]
fn slots_left_to_less_urgent_requests(slots: u32, expected: u32) {
    let speed = EngineSpeed::with_slots(slots).without_reserved_slots();
    assert_eq!(speed.max_streams, expected);
}

/// Guards against chats that are refused because less urgent streams hold all slots.
#[test]
fn reserved_slots_leave_room_for_chats_beside_long_streams() {
    let load = Load { long: 2.6, long_decode: 3_500.0, ..Load::long_bursts() };
    let before = serve(load, Admission { by_urgency: true, reserved: 0 });
    let after = serve(load, Admission { by_urgency: true, reserved: 2 });
    println!("chats in time {:.3} before, {:.3} after", before.chats.share(), after.chats.share());
    println!("long prompts in time {:.3}, {:.3}", before.long.share(), after.long.share());
    assert!(before.chats.share() < 0.9);
    assert!(0.97 < after.chats.share());
}

/// Guards against a change for sites whose requests all have one class.
#[test]
fn equal_urgency_leaves_all_decisions_as_they_were() {
    let load = Load { chat_urgency: Urgency::Normal, ..Load::long_bursts() };
    let before = serve(load, Admission::default());
    let after = serve(load, Admission { by_urgency: true, ..Admission::default() });
    assert_eq!(before, after);
}

#[test]
fn load_below_capacity_is_served_in_time_either_way() {
    let load = Load { burst: 1.0, ..Load::long_bursts() };
    for by_urgency in [false, true] {
        let served = serve(load, Admission { by_urgency, ..Admission::default() });
        assert!(0.99 < served.chats.share(), "{:.3}", served.chats.share());
    }
}
