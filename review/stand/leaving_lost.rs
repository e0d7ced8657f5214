//! A core machine is killed right after it has acknowledged that a server is gone.

use std::{
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    fleet::wait_for,
    http,
    record::Record,
    site::{Load, Request, Site},
};

const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);

/// How long the server goes on to serve: `drainMs` and "a little longer (at times many seconds)".
const SERVES_ON: Duration = Duration::from_secs(9);

/// How long the killed machine is down: `for_s` of `node_kill` on core (trouble-2).
const DOWN: Duration = Duration::from_millis(7_000);

/// Allowance for the clocks of this program.
const SLACK: Duration = Duration::from_millis(50);

pub fn run(folder: &Path, record: &Arc<Record>, trouble: bool) -> Result<Outcome, String> {
    let mut site = Site::start(folder, record, 8, 3, 3)?;
    site.record_names();
    // 28 requests a second, as the site's order-desk gets.
    let load = Load::start(&site, Duration::from_millis(36), Request::order_status);
    thread::sleep(Duration::from_secs(5));

    // The server tells a machine that serves control that it is gone, and serves on.
    let leaving = Arc::clone(&site.desks[2]);
    let leader = site.fleet.leader();
    let target = (0..5).find(|core| Some(*core) != leader).unwrap_or(0);
    let before = leaving.acknowledged();
    if !wait_for(Duration::from_secs(3), || before < leaving.acknowledged()) {
        return Err("no status report was acknowledged".to_owned());
    }
    // Right after a report, with time for it to spread.
    thread::sleep(Duration::from_millis(300));
    let (path, body) = leaving.stop_reports();
    let to = site.fleet.control()[target];
    record.say(format!("server {} deregisters at {}", leaving.name, site.fleet.cores[target].name));
    let answer = http::send(to, &format!("POST {path}"), &[], &body, Duration::from_secs(1));
    let acknowledged = Instant::now();
    match &answer {
        Ok(response) if (200..300).contains(&response.status) => {}
        other => return Err(format!("the deregistration was not acknowledged: {other:?}")),
    }
    if trouble {
        site.fleet.kill_core(target);
    }
    let killed = Instant::now();
    record.say(format!("acknowledged at {:.3}", record.seconds(acknowledged)));
    if trouble {
        record.say(format!(
            "{} was killed {:.1} ms later",
            site.fleet.cores[target].name,
            (killed - acknowledged).as_secs_f64() * 1e3
        ));
    }
    if trouble {
        thread::sleep((killed + DOWN).saturating_duration_since(Instant::now()));
        site.fleet.write_settings(false);
        site.fleet.restart_core(target);
        record.say(format!("{} is back", site.fleet.cores[target].name));
    }
    thread::sleep((acknowledged + SERVES_ON).saturating_duration_since(Instant::now()));
    leaving.exit();
    record.say(format!("server {} exits", leaving.name));
    let sent = load.stop();
    let served = sent.iter().filter(|sent| sent.is_served()).count();
    record.say(format!("{served} of {} requests served", sent.len()));
    if !site.fleet.ended().is_empty() {
        return Err(format!("machines have ended: {:?}", site.fleet.ended()));
    }
    if served * 2 < sent.len() {
        return Err("too few requests were served".to_owned());
    }
    // Machines are in touch again `contactMs` after the kill.
    let in_touch = if trouble { killed + CONTACT } else { acknowledged };
    // From its start on they aren't.
    let counted_until = if trouble { killed + DOWN } else { acknowledged + SERVES_ON };
    let counted_from = (acknowledged + DRAIN).max(in_touch) + SLACK;
    let arrivals = site.world.arrivals();
    let at_server: Vec<_> =
        arrivals.iter().filter(|arrival| arrival.server == leaving.name).collect();
    let after = |from: Instant| at_server.iter().filter(|arrival| from < arrival.at).count();
    let late: Vec<_> = at_server
        .iter()
        .filter(|arrival| {
            counted_from < arrival.at
                && arrival.at < counted_until
                && sent.iter().any(|sent| sent.id == arrival.request && counted_from < sent.at)
        })
        .collect();
    record.say(format!(
        "requests that reached the server later than drainMs after the acknowledgement: {}; of these, \
         taken and sent on by machines in touch: {}",
        after(acknowledged + DRAIN),
        late.len()
    ));
    let Some(last) = late.last() else { return Ok(Outcome::Held) };
    Ok(Outcome::Broken(format!(
        "DRAIN: {} requests reached a server up to {:.2} s after a machine in touch had acknowledged that \
         it was gone",
        late.len(),
        (last.at - acknowledged).as_secs_f64()
    )))
}
