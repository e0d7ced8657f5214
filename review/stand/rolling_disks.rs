//! A core machine is down while the four others lose their disks one after the other. Once all are back
//! and in sync, two lose their disks at once.

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

/// "Traffic starts 10 s after the machines do."
const START: Duration = Duration::from_secs(10);

/// How long a killed machine is down: `for_s` of `node_kill` on core (trouble-2).
const DOWN: Duration = Duration::from_millis(7_000);

/// How often it is killed; each time as soon as it is back.
const KILLS: u32 = 3;

/// How long a machine that loses its disk is down, and `syncS`, after which it no longer counts as lost.
const WIPE_DOWN: Duration = Duration::from_millis(520);
const SYNC: Duration = Duration::from_secs(4);

const RECOVERY: Duration = Duration::from_secs(12);
const READ_TIME: Duration = Duration::from_secs(20);
const PATIENCE: Duration = Duration::from_secs(1);

/// The machine that is down.
const ABSENT: usize = 4;

pub fn run(folder: &Path, record: &Arc<Record>, trouble: bool) -> Result<Outcome, String> {
    let mut fleet = Fleet::start(folder, 5, 2);
    if !put(&fleet, record, 1) {
        return Err("the first configuration was not acknowledged".to_owned());
    }
    fleet.write_settings(false);
    thread::sleep(START.saturating_sub(record.elapsed()));
    let began = Instant::now();
    let at =
        |since: Duration| thread::sleep((began + since).saturating_duration_since(Instant::now()));
    if trouble {
        // Without the absent machine, the disks are lost all the same.
        let is_absent = std::env::var("ABSENT").map_or(true, |value| value != "0");
        if is_absent {
            fleet.kill_core(ABSENT);
            record.say(format!("{} is killed", fleet.cores[ABSENT].name));
        }
        let step = WIPE_DOWN + SYNC + Duration::from_millis(200);
        let mut events: Vec<(Duration, Option<usize>)> =
            (0..4).map(|i| (Duration::from_millis(300) + step * i, Some(i as usize))).collect();
        events.extend((1..KILLS).filter(|_| is_absent).map(|i| (DOWN * i, None)));
        events.sort();
        for (since, wiped) in events {
            at(since);
            match wiped {
                Some(core) => lose_disks(&mut fleet, record, &[core]),
                None => {
                    fleet.restart_core(ABSENT);
                    fleet.kill_core(ABSENT);
                    record.say(format!("{} is back and killed again", fleet.cores[ABSENT].name));
                }
            }
        }
        at(DOWN * KILLS);
        if is_absent {
            fleet.restart_core(ABSENT);
            record.say(format!("{} is back with its disk, for good", fleet.cores[ABSENT].name));
        }
    }
    at(DOWN * KILLS + SYNC + Duration::from_secs(2));
    if !put(&fleet, record, 2) {
        return Err("the second configuration was not acknowledged".to_owned());
    }
    record.say("version 2 is acknowledged; no machine has been lost for syncS");
    if trouble {
        lose_disks(&mut fleet, record, &[0, 1]);
    }
    let back = Instant::now();
    thread::sleep(RECOVERY);
    let mut answers = Vec::new();
    while back.elapsed() < RECOVERY + READ_TIME {
        for (core, to) in fleet.control().into_iter().enumerate() {
            answers.push(read(record, core, to));
        }
        thread::sleep(Duration::from_millis(500));
    }
    if !fleet.ended().is_empty() {
        return Err(format!("machines have ended: {:?}", fleet.ended()));
    }
    let current = answers.iter().filter(|version| **version == Some(2)).count();
    record.say(format!(
        "{} reads of the configuration, {current} answered with version 2",
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

/// Kills core machines, which are back a little later with empty disks.
fn lose_disks(fleet: &mut Fleet, record: &Record, cores: &[usize]) {
    for core in cores {
        fleet.kill_core(*core);
        fleet.wipe_core(*core);
        record.say(format!("{} is killed and loses its disk", fleet.cores[*core].name));
    }
    thread::sleep(WIPE_DOWN);
    cores.iter().for_each(|core| fleet.restart_core(*core));
}

/// Sends a configuration until a machine acknowledges it.
fn put(fleet: &Fleet, record: &Record, version: u64) -> bool {
    wait_for(Duration::from_secs(15), || {
        fleet.control().into_iter().any(|to| {
            let sent = http::send(to, "POST /config/put", &[], &configuration(version), PATIENCE);
            let status = sent.map(|response| response.status);
            record.line(format!("POST /config/put, version {version}, to {to}: {status:?}"));
            matches!(status, Ok(200))
        })
    })
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
