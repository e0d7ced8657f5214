//! Two core machines lose their disks right after the first configuration was acknowledged.

use std::{
    net::SocketAddr,
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    fleet::{Fleet, wait_for},
    http,
    record::Record,
    site::configuration,
};

const RECOVERY: Duration = Duration::from_secs(12);
const CONTACT: Duration = Duration::from_millis(3_000);

/// Time for which the killed machines are down.
const DOWN: Duration = Duration::from_millis(520);

/// Time for which the operator asks after `RECOVERY`.
const READ_TIME: Duration = Duration::from_secs(20);

/// Time that an operator waits for an answer.
const PATIENCE: Duration = Duration::from_secs(1);

pub fn run(folder: &Path, record: &Arc<Record>, trouble: bool) -> Result<Outcome, String> {
    let mut fleet = Fleet::start(folder, 5, 2);
    // The operator sends the first configuration again and again until it is accepted.
    let mut acker = None;
    let mut sender = 0;
    let is_acknowledged = wait_for(Duration::from_secs(15), || {
        let to = fleet.control()[sender % 5];
        let sent = http::send(to, "POST /config/put", &[], &configuration(1), PATIENCE);
        let status = sent.map(|response| response.status);
        record.line(format!("POST /config/put, version 1, to core {}: {status:?}", sender % 5));
        acker = matches!(status, Ok(200)).then_some(sender % 5);
        sender += usize::from(acker.is_none());
        acker.is_some()
    });
    let Some(acker) = acker.filter(|_| is_acknowledged) else {
        return Err("the first configuration was not acknowledged".to_owned());
    };
    record.say(format!("{} has acknowledged the first configuration", fleet.cores[acker].name));
    if trouble {
        // The machine that acknowledged and one more, as many as `faultTolerance` allows; seeds.
        let first = if acker < 3 { acker } else { 0 };
        let lost = [first, (first + 1) % 3];
        lost.iter().for_each(|core| fleet.kill_core(*core));
        record.say(format!(
            "{} and {} are killed and lose their disks",
            fleet.cores[lost[0]].name, fleet.cores[lost[1]].name
        ));
        thread::sleep(DOWN);
        fleet.write_settings(false);
        for core in lost {
            fleet.wipe_core(core);
            fleet.restart_core(core);
        }
        record.say("both are back with empty disks");
    }
    let back = Instant::now();
    thread::sleep(RECOVERY);
    let until = back + RECOVERY + READ_TIME.max(CONTACT);
    let mut answers = Vec::new();
    while Instant::now() < until {
        for (core, to) in fleet.control().into_iter().enumerate() {
            answers.push(read(record, core, to));
        }
        thread::sleep(Duration::from_millis(500));
    }
    if !fleet.ended().is_empty() {
        return Err(format!("machines have ended: {:?}", fleet.ended()));
    }
    let put = http::send(fleet.control()[4], "POST /config/put", &[], &configuration(2), PATIENCE);
    record.say(format!("a later configuration: {:?}", put.map(|response| response.status)));
    let current = answers.iter().filter(|version| **version == Some(1)).count();
    record.say(format!(
        "{} reads of the configuration, {current} answered with version 1",
        answers.len()
    ));
    if 0 < current {
        return Ok(Outcome::Held);
    }
    Ok(Outcome::Broken(format!(
        "LOST: the acknowledged configuration doesn't come in {} reads from {} s to {} s after all machines \
         are back",
        answers.len(),
        RECOVERY.as_secs(),
        (RECOVERY + READ_TIME).as_secs()
    )))
}

/// Reads the configuration from a core machine; returns its version if one comes.
fn read(record: &Record, core: usize, to: SocketAddr) -> Option<u64> {
    let sent = http::send(to, "GET /config/get", &[], "", PATIENCE);
    let response = match sent {
        Ok(response) => response,
        Err(e) => {
            record.line(format!("GET /config/get at core {core}: {e}"));
            return None;
        }
    };
    let body = String::from_utf8_lossy(&response.body).into_owned();
    record.line(format!("GET /config/get at core {core}: {} {:.80}", response.status, body));
    let version = body.split("\"version\":").nth(1)?.split(',').next()?.trim().parse().ok()?;
    (response.status == 200).then_some(version)
}
