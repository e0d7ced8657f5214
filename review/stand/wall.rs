//! A configuration makes a tenant isolated whose requests have made cached parts before.

use std::{
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    record::Record,
    site::{Content, OTHER_KEY, OTHER_TENANT, Request, Sent, Site, TENANT},
};

const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// Requests of each tenant, one every `PAUSE`.
const REQUESTS: u64 = 40;
const PAUSE: Duration = Duration::from_millis(100);

pub fn run(folder: &Path, record: &Arc<Record>, trouble: bool) -> Result<Outcome, String> {
    let mut site = Site::start(folder, record, 4, 6, 3)?;
    site.record_names();
    // Without the change, the tenant is isolated from its first request on.
    site.publish(2, &Content { is_isolated: !trouble, ..Content::default() })?;
    thread::sleep(2 * CONFIG_APPLY);
    let own: Vec<Sent> =
        (0..REQUESTS).map(|n| send(&site, n, Request::proof_check(n, "a proof"))).collect();
    record.say(format!("{TENANT}: {} of {REQUESTS} requests served", served(&own)));
    site.publish(3, &Content { is_isolated: true, ..Content::default() })?;
    record.say(format!("version 3 is acknowledged; {TENANT} is isolated"));
    let acknowledged = Instant::now();
    thread::sleep(2 * CONFIG_APPLY);
    let others: Vec<Sent> = (0..REQUESTS)
        .map(|n| {
            let request = Request::proof_check(1_000 + n, "a proof");
            send(&site, n, Request { key: OTHER_KEY, ..request })
        })
        .collect();
    record.say(format!("{OTHER_TENANT}: {} of {REQUESTS} requests served", served(&others)));
    if !site.fleet.ended().is_empty() {
        return Err(format!("machines have ended: {:?}", site.fleet.ended()));
    }
    if served(&own).min(served(&others)) * 10 < REQUESTS as usize * 9 {
        return Err("too few requests were served".to_owned());
    }
    let uses = site.world.cache_uses();
    let foreign: Vec<_> = others
        .iter()
        .filter(|sent| acknowledged + CONFIG_APPLY < sent.at)
        .filter(|sent| {
            uses.iter().any(|used| {
                used.request == sent.id && used.tenant == OTHER_TENANT && used.maker == TENANT
            })
        })
        .collect();
    record.say(format!(
        "requests of {OTHER_TENANT}, sent later than configApplyMs after the acknowledgement, that used KV \
         cache which a request of {TENANT} made: {}",
        foreign.len()
    ));
    if foreign.is_empty() {
        return Ok(Outcome::Held);
    }
    Ok(Outcome::Broken(format!(
        "WALL: {} requests used KV cache that a request of an isolated tenant made",
        foreign.len()
    )))
}

fn send(site: &Site, n: u64, request: Request) -> Sent {
    let sent = request.send(&site.record, site.fleet.front(n as usize));
    thread::sleep(PAUSE);
    sent
}

fn served(sent: &[Sent]) -> usize {
    sent.iter().filter(|sent| sent.is_served()).count()
}
