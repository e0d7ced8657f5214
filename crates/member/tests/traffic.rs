//! Bytes a second that a router spends on gossip, as encoded.

mod net;

use net::Net;

const BUDGET: u64 = 8_000;
const SECONDS: u64 = 10;
const WARM_UP: u64 = 25_000;

/// Returns the highest and the mean bytes a second over all routers, sent and received.
fn measure(size: usize, services: usize) -> (u64, u64) {
    let mut net = Net::new(size, 21);
    let renew = |net: &mut Net| net.announce_each(1_000, 0..services);
    net.stopped[1..].fill(true);
    net.run(2_000, renew);
    let mut running = 1;
    while running < size {
        let more = size.min(2 * running);
        (running..more).for_each(|index| net.restart(index, 1));
        running = more;
        net.run(2_000, renew);
    }
    net.run(WARM_UP, renew);
    net.bytes.fill(0);
    net.run(SECONDS * 1_000, renew);
    let ready: usize = (0..size).map(|index| net.ready_at(index)).sum();
    assert!(size * services * 99 / 100 <= ready, "{ready} of {} known", size * services);
    let highest = net.bytes.iter().max().unwrap() / SECONDS;
    (highest, net.bytes.iter().sum::<u64>() / size as u64 / SECONDS)
}

macro_rules! within_budget {
    ($($name:ident: ($size:literal, $services:literal),)*) => {$(
        #[test]
        fn $name() {
            let (highest, mean) = measure($size, $services);
            println!("{} routers, {} endpoints: {mean} B/s mean, {highest} B/s highest", $size, $services);
            assert!(highest < BUDGET, "{highest} B/s");
        }
    )*};
}

within_budget! {
    eight_routers: (8, 24),
    thirty_two_routers: (32, 24),
    hundred_and_twenty_eight_routers: (128, 24),
    three_hundred_and_fifty_routers: (350, 24),
    sixty_four_routers_before_many_endpoints: (64, 1800),
    three_hundred_and_fifty_routers_before_many_endpoints: (350, 1800),
}
