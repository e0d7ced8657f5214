//! Hundreds of changes of a large configuration, under the memory limit of the machines.

use std::{thread, time::{Duration, Instant}};

use crate::{Outcome, http, record::Record, site::{KEY, Site, configuration}};

/// Routes beside the usual ones: 20 times the 350 of the site file.
const ROUTES: usize = 7_000;

/// Changes that the operator sends, one after the other.
const CHANGES: u64 = 500;

/// Time for which it does so.
const OPERATOR_TIME: Duration = Duration::from_secs(85);

/// `memoryMb` of a core machine.
const MEMORY_MB: f64 = 256.0;

/// Time from the end of a process to its next start.
const RESTART_DELAY: Duration = Duration::from_millis(800);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let Some(mut site) = Site::prepare(record, 5, 1) else { return Outcome::NotRun };
    for i in 0..5 {
        if !site.cores[i].start(record) {
            return Outcome::NotRun;
        }
    }
    site.fronts[0].start(record);
    // The disruption is the many routes; without them the operator sends as many changes.
    let more = if trouble { routes(ROUTES) } else { String::new() };
    let size = configuration(1, &[KEY], &more).len();
    record.note(&format!("a configuration has {size} bytes"));
    let begun = Instant::now();
    let mut ends = [0_u32; 5];
    let mut down: [Option<Instant>; 5] = [None; 5];
    let mut peak = [0.0_f64; 5];
    let (mut acked, mut unclear, mut turn) = (0_u64, 0_u64, 0_usize);
    let mut version = 1;
    while version <= CHANGES && begun.elapsed() < OPERATOR_TIME {
        for i in 0..5 {
            if let Some(since) = down[i] {
                if RESTART_DELAY <= since.elapsed() {
                    let _ = site.write_settings(true, i, false);
                    site.cores[i].start(record);
                    down[i] = None;
                }
                continue;
            }
            let Some(used) = site.cores[i].memory_mb() else {
                record.note(&format!("core-{i} has ended by itself"));
                ends[i] += 1;
                site.cores[i].kill();
                down[i] = Some(Instant::now());
                continue;
            };
            peak[i] = peak[i].max(used);
            if MEMORY_MB < used {
                record.note(&format!(
                    "platform: core-{i} uses {used:.1} MB, more than memoryMb = {MEMORY_MB}; killed"
                ));
                ends[i] += 1;
                site.cores[i].kill();
                down[i] = Some(Instant::now());
            }
        }
        let core = turn % 5;
        turn += 1;
        if down[core].is_some() {
            thread::sleep(Duration::from_millis(5));
            continue;
        }
        let body = configuration(version, &[KEY], &more);
        let fields = [("Content-Type", "application/json".to_owned())];
        let to = site.core_control(core);
        let sent = http::send(to, "POST /config/put", &fields, body.as_bytes(), Duration::from_secs(2));
        match sent {
            Ok(response) if response.status() == 200 => {
                acked += 1;
                if version % 20 == 0 || version < 3 {
                    let now: Vec<String> = (0..5)
                        .map(|i| site.cores[i].memory_mb().map_or("-".into(), |mb| format!("{mb:.0}")))
                        .collect();
                    record.note(&format!(
                        "version {version} acknowledged by core-{core}; memory of the cores, MB: {}",
                        now.join(" ")
                    ));
                }
                version += 1;
            }
            Ok(response) => {
                unclear += 1;
                record.note(&format!("version {version} to core-{core}: {} {}", response.status(), response.text()));
                thread::sleep(Duration::from_millis(100));
            }
            Err(e) => {
                unclear += 1;
                record.note(&format!("version {version} to core-{core}: no answer: {e}"));
                thread::sleep(Duration::from_millis(100));
            }
        }
    }
    let looping = ends.iter().filter(|ends| 3 <= **ends).count();
    record.note(&format!(
        "{acked} changes acknowledged, {unclear} without a clear answer, in {:.0} s; ends by themselves by machine: {ends:?}; most memory, MB: {peak:.0?}",
        begun.elapsed().as_secs_f64()
    ));
    record.note("rule Fault: on a tenth of the machines in use (two at least), or on half of the core, three times");
    if acked < 60 {
        site.keep_logs(10);
        return Outcome::NotRun;
    }
    if 2 <= looping { Outcome::Broken } else { Outcome::Held }
}

fn routes(count: usize) -> String {
    (0..count)
        .map(|i| {
            format!(
                ",{{\"name\":\"r-more{i}\",\"host\":\"hulo{}.example\",\"pathPrefix\":\"/xapu{i}/ny{i}/\",\"kind\":\"idempotent\",\
                 \"timeoutMs\":1500,\"sloMs\":600,\"priority\":2,\"service\":\"desk\",\"maxAttempts\":2,\"public\":false,\
                 \"sticky\":false,\"resumable\":false}}",
                i % 97
            )
        })
        .collect()
}
