//! Encoded bytes per second that a router spends on gossip.

mod net;

use net::Net;

const MAX_BYTES_PER_SECOND: u64 = 8_000;
const MEASURED_SECONDS: u64 = 10;
const WARM_UP_MILLIS: u64 = 25_000;

/// Returns the highest and the mean bytes per second, sent and received, over all routers.
fn measure(size: usize, services: usize) -> (u64, u64) {
    let mut net = Net::new(size, 21);
    let renew = |net: &mut Net| net.announce_every(1_000, 0..services);
    net.stopped[1..].fill(true);
    net.run(2_000, renew);
    let mut running = 1;
    while running < size {
        let more = size.min(2 * running);
        (running..more).for_each(|index| net.restart(index, 1));
        running = more;
        net.run(2_000, renew);
    }
    net.run(WARM_UP_MILLIS, renew);
    net.bytes.fill(0);
    net.run(MEASURED_SECONDS * 1_000, renew);
    let ready: usize = (0..size).map(|index| net.ready_at(index)).sum();
    assert!(size * services * 99 / 100 <= ready, "{ready} of {} known", size * services);
    let highest = net.bytes.iter().max().unwrap() / MEASURED_SECONDS;
    (highest, net.bytes.iter().sum::<u64>() / size as u64 / MEASURED_SECONDS)
}

macro_rules! traffic_stays_within_limit {
    ($($name:ident: ($size:literal, $services:literal),)*) => {$(
        #[test]
        fn $name() {
            let (highest, mean) = measure($size, $services);
            println!("{} routers, {} endpoints: {mean} B/s mean, {highest} B/s highest", $size, $services);
            assert!(highest < MAX_BYTES_PER_SECOND, "{highest} B/s");
        }
    )*};
}

traffic_stays_within_limit! {
    eight_routers: (8, 24),
    thirty_two_routers: (32, 24),
    hundred_and_twenty_eight_routers: (128, 24),
    three_hundred_and_fifty_routers: (350, 24),
    sixty_four_routers_with_many_endpoints: (64, 1800),
    three_hundred_and_fifty_routers_with_many_endpoints: (350, 1800),
}
