//! Status reports of another writer, under the ids of running servers, name a service that no
//! configuration names.

use std::{
    net::SocketAddr,
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    Outcome, http,
    record::Record,
    site::{Content, Load, Request, Sent, Site},
};

const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// "get 20 or more requests on routes that were added later"
const FEWEST: usize = 20;

/// Time for which callers go on after the odd reports.
const CHECKED_TIME: Duration = Duration::from_secs(40);

/// "serve them less than a quarter as often as those on the first routes"
const LEAST_SHARE: f64 = 0.25;

pub fn run(folder: &Path, record: &Arc<Record>, trouble: bool) -> Result<Outcome, String> {
    let mut site = Site::start(folder, record, 8, 6, 3)?;
    site.record_names();
    site.publish(2, &Content { has_history: true, ..Content::default() })?;
    thread::sleep(2 * CONFIG_APPLY);
    let proofs = Load::start(&site, Duration::from_millis(60), |n| {
        Request::proof_check(n, &format!("proof {n}"))
    });
    let lookups = Load::start(&site, Duration::from_millis(60), |n| {
        // Each front machine gets both kinds.
        if (n / 8).is_multiple_of(2) { Request::order_status(n) } else { Request::history(n) }
    });
    thread::sleep(Duration::from_secs(3));
    let began = Instant::now();
    if trouble {
        for (n, desk) in site.desks.iter().enumerate() {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let own = SocketAddr::new(site.fleet.ip(240 + n as u8), 8_080);
            let body = format!(
                "{{\"service\":\"not-named-here\",\"address\":\"{own}\",\"zone\":\"hobart-a\",\
                 \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\"seqNo\":1,\"born\":{}}}",
                now.as_millis()
            );
            let start = format!("POST /instances/{}/heartbeat", desk.id());
            let to = site.fleet.control()[n];
            let sent = http::send(to, &start, &[], &body, Duration::from_secs(1));
            let status = sent.map(|response| response.status);
            record.say(format!("odd report with the id of {}: {status:?}", desk.name));
        }
    }
    thread::sleep(CHECKED_TIME);
    let acknowledged: u32 = site.desks.iter().map(|desk| desk.acknowledged()).sum();
    let (proofs, lookups) = (proofs.stop(), lookups.stop());
    if !site.fleet.ended().is_empty() {
        return Err(format!("machines have ended: {:?}", site.fleet.ended()));
    }
    let served = |sent: &[Sent]| sent.iter().filter(|sent| sent.is_served()).count();
    let share = |sent: &[Sent]| served(sent) as f64 / sent.len().max(1) as f64;
    let later = |sent: &[Sent]| -> Vec<Sent> {
        sent.iter().filter(|sent| began < sent.at).cloned().collect()
    };
    let (added, lookups): (Vec<Sent>, Vec<Sent>) =
        lookups.into_iter().partition(|sent| sent.path.starts_with("/history/"));
    for (what, sent) in
        [("proof-checks", &proofs), ("lookups", &lookups), ("lookups on the added route", &added)]
    {
        let since = later(sent);
        record.say(format!(
            "{what}: {} of {} served; since the odd reports {} of {}",
            served(sent),
            sent.len(),
            served(&since),
            since.len()
        ));
    }
    record.say(format!("the desks' own reports: {acknowledged} acknowledged"));
    if share(&proofs) < 0.9 {
        return Err("too few proof-checks were served".to_owned());
    }
    let first: Vec<Sent> = later(&proofs).into_iter().chain(later(&lookups)).collect();
    let added = later(&added);
    if added.len() < FEWEST {
        return Err("too few requests on the added route".to_owned());
    }
    if LEAST_SHARE * share(&first) <= share(&added) {
        return Ok(Outcome::Held);
    }
    Ok(Outcome::Broken(format!(
        "CONFIG: {} requests on a route that was added later are served in {:.3} of all cases, those on \
         the first routes in {:.3}",
        added.len(),
        share(&added),
        share(&first)
    )))
}
