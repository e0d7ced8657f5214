//! What organisation quotas cost the leader, in bytes and processor time.
//!
//! Load: 3,100 limited organisations with a request of 1,000 tokens a second each, at random of 350
//! routers, which poll every 150 ms.

use std::{fs, time::Duration};

use base::MonotonicTime;
use postcard::to_stdvec;
use quota::{
    Answer, Cost, Demand, Ledger, OrganisationKey, Quota, QuotaReport, ReportedCost, Unit,
};

const ORGANISATIONS: u64 = 3_100;
const ROUTERS: u64 = 350;
const POLL_MS: u64 = 150;
const STEP_MS: u64 = 10;
const COST: u32 = 1_000;

/// Time in which the buckets fill, and time that is measured, in milliseconds.
const FILL_MS: u64 = 3_000;
const MEASURED_MS: u64 = 10_000;

/// Numbers that look random and are the same in each run.
struct Draws(u64);

impl Draws {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}

struct Router {
    position: u64,
    number: u64,
    costs: Vec<ReportedCost>,
}

#[derive(Default)]
struct Sums {
    received: usize,
    sent: usize,
    largest_view: usize,
    cpu: Duration,
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// Returns the processor time of this thread, which other load on the machine hardly changes.
fn cpu_time() -> Duration {
    let text = fs::read_to_string("/proc/thread-self/schedstat").expect("Linux");
    Duration::from_nanos(text.split(' ').next().unwrap().parse().unwrap())
}

fn ledger(limit: f64) -> (Ledger<u64>, Vec<OrganisationKey>) {
    let keys: Vec<_> =
        (0..ORGANISATIONS).map(|n| OrganisationKey::of(&format!("organisation-{n}"))).collect();
    let quota = Quota::new(limit, limit, Unit::Tokens, Cost::new(200)).unwrap();
    let mut ledger = Ledger::new(at(0));
    ledger.set_quotas(at(0), keys.iter().map(|key| (*key, quota)));
    (ledger, keys)
}

/// Polls and reports of open organisations.
fn run_open() -> Sums {
    let (mut ledger, keys) = ledger(20_000.0);
    let mut draws = Draws(7);
    let mut routers: Vec<_> =
        (0..ROUTERS).map(|_| Router { position: 0, number: 0, costs: Vec::new() }).collect();
    let mut sums = Sums::default();
    for now in (0..FILL_MS + MEASURED_MS).step_by(STEP_MS as usize) {
        for _ in 0..ORGANISATIONS * STEP_MS / 1_000 {
            let organisation = keys[draws.below(ORGANISATIONS) as usize];
            let cost = ReportedCost { organisation, units: COST.into() };
            routers[draws.below(ROUTERS) as usize].costs.push(cost);
        }
        let begun = cpu_time();
        let (mut received, mut sent) = (0, 0);
        for (id, router) in (0..).zip(&mut routers) {
            if !(now + id * STEP_MS).is_multiple_of(POLL_MS) {
                continue;
            }
            router.number += 1;
            let costs = std::mem::take(&mut router.costs);
            let routers = ROUTERS as u32;
            let report = QuotaReport { routers, process: id, number: router.number, costs };
            received += to_stdvec(&report).unwrap().len();
            ledger.record_report(at(now), &id, &report);
            let view = ledger.view(router.position);
            router.position = view.next;
            let bytes = to_stdvec(&view).unwrap().len();
            sums.largest_view = sums.largest_view.max(bytes);
            sent += bytes;
        }
        ledger.review(at(now));
        if FILL_MS <= now {
            sums.cpu += cpu_time() - begun;
            (sums.received, sums.sent) = (sums.received + received, sums.sent + sent);
        }
    }
    sums
}

/// Asks about metered organisations, one at a time from each router.
fn run_metered() -> (Sums, usize) {
    let (mut ledger, keys) = ledger(500.0);
    let mut draws = Draws(7);
    let (mut sums, mut demanded) = (Sums::default(), 0);
    for now in (0..FILL_MS + MEASURED_MS).step_by(STEP_MS as usize) {
        for id in 0..ROUTERS {
            if (now + id * STEP_MS).is_multiple_of(POLL_MS) {
                ledger.record_poll(at(now), &id, ROUTERS as u32);
            }
        }
        let count = ORGANISATIONS * STEP_MS / 1_000;
        let demands: Vec<_> = (0..count)
            .map(|_| keys[draws.below(ORGANISATIONS) as usize])
            .map(|organisation| Demand { organisation, cost: Cost::new(COST) })
            .collect();
        let begun = cpu_time();
        // Asks with one demand each have the largest share of overhead.
        for demand in &demands {
            let answers: Vec<Answer> = ledger.answer(at(now), std::slice::from_ref(demand));
            sums.received += to_stdvec(&[*demand][..]).unwrap().len();
            sums.sent += to_stdvec(&answers).unwrap().len();
        }
        ledger.review(at(now));
        sums.cpu += cpu_time() - begun;
        demanded += demands.len();
    }
    (sums, demanded)
}

/// Guards against polls that carry all organisations, or make the leader search all of them.
#[test]
fn open_organisations_cost_the_leader_little() {
    let sums = run_open();
    let (received, sent) = (sums.received as u64 / 10, sums.sent as u64 / 10);
    let cpu = sums.cpu / 10;
    let largest = sums.largest_view;
    println!("a second: {received} B received, {sent} B sent, {cpu:?}; largest view {largest} B");
    // 3,100 costs of up to 12 B, and 2,333 reports and views of up to 20 B without any.
    assert!(received < 3_100 * 12 + 2_333 * 20, "{received} B received");
    assert!(sent < 2_333 * 20 + 40_000, "{sent} B sent");
    assert!(largest < 3_100 * 11, "{largest} B in a view");
    // A search of all organisations at each poll takes several times as much.
    assert!(cpu < Duration::from_millis(60), "{cpu:?} of processor time a second");
}

/// Guards against asks that make the leader search all organisations.
#[test]
fn metered_organisations_cost_the_leader_little() {
    let (sums, demanded) = run_metered();
    let (received, sent) =
        (sums.received as f64 / demanded as f64, sums.sent as f64 / demanded as f64);
    let cpu = sums.cpu / 13;
    println!("a demand: {received:.1} B received, {sent:.1} B sent; a second: {cpu:?}");
    assert!(received <= 15.0 && sent <= 9.0, "{received} B received, {sent} B sent");
    assert!(cpu < Duration::from_millis(60), "{cpu:?} of processor time a second");
}
