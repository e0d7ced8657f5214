//! One core machine is lost while the whole system starts for the first time.

use std::{sync::atomic::Ordering, thread, time::{Duration, Instant}};

use crate::{Outcome, http, record::Record, server::Server, site::{KEY, Site, configuration}};

/// Time for which the operator sends the first configuration, and clients send requests.
const TIME: Duration = Duration::from_secs(60);

/// `lost` is the number of the core machine that is lost; 0 to 2 are the seeds.
pub fn run(record: &Record, trouble: bool, lost: usize) -> Outcome {
    let Some(mut site) = Site::prepare(record, 5, 2) else { return Outcome::NotRun };
    // All machines start within 0.3 s of each other, in any order; core-0 to core-2 are the seeds.
    for i in [4, 3, 2, 1, 0] {
        if !site.cores[i].start(record) {
            return Outcome::NotRun;
        }
        thread::sleep(Duration::from_millis(50));
        // The last one to start is core-0, the first founder: the machine is lost before it runs.
        if i == 1 && trouble {
            record.note(&format!("disruption: the machine core-{lost} is lost for good (killed, not started again)"));
            site.cores[lost].kill();
        }
    }
    for i in 0..2 {
        site.fronts[i].start(record);
    }
    let control: Vec<_> = (0..5).map(|i| site.core_control(i)).collect();
    let mut servers = Vec::new();
    for (n, zone) in [(0u8, "hobart-a"), (1, "glenorchy-b")] {
        let address = (site.ip(100 + n), 8482).into();
        let id = format!("i-desk{n}");
        let Some(server) = Server::start(record, &id, "desk", zone, address, control.clone()) else {
            return Outcome::NotRun;
        };
        servers.push(server);
    }
    let body = configuration(1, &[KEY], "");
    let begun = Instant::now();
    let mut acked = None;
    let (mut sent, mut served) = (0, 0);
    for turn in 0.. {
        if TIME <= begun.elapsed() || served == 20 {
            break;
        }
        if acked.is_none() {
            let core = turn % 5;
            let fields = [("Content-Type", "application/json".to_owned())];
            let put = http::send(control[core], "POST /config/put", &fields, body.as_bytes(), Duration::from_secs(1));
            let answer = match &put {
                Ok(response) => format!("{} {}", response.status(), response.text()),
                Err(e) => format!("no answer: {e}"),
            };
            record.note(&format!("operator: version 1 to core-{core}: {answer}"));
            if put.is_ok_and(|response| response.status() == 200) {
                acked = Some(begun.elapsed());
            }
        }
        let front = turn % 2;
        sent += 1;
        let fields = [
            ("Host", "jepu9.example".to_owned()),
            ("X-Request-Id", format!("9c41d07b{sent:08x}")),
            ("X-Deadline-Ms", "1500".to_owned()),
            ("Authorization", format!("Token {KEY}")),
        ];
        let got = http::send(site.front_addr(front), "GET /status/2f", &fields, b"", Duration::from_millis(1500));
        let answer = match &got {
            Ok(response) => format!("{} {}", response.status(), response.text().trim()),
            Err(e) => format!("no answer: {e}"),
        };
        record.note(&format!("client: request {sent} to front-{front}: {answer}"));
        if got.is_ok_and(|r| r.status() == 200 && r.header("x-response-stamp").is_some()) {
            served += 1;
        }
        thread::sleep(Duration::from_millis(300));
    }
    let running = (0..5).filter(|i| site.cores[*i].is_running()).count();
    let reports: u64 = servers.iter().map(|server| server.acked.load(Ordering::SeqCst)).sum();
    record.note(&format!(
        "core machines running: {running} of 5; status reports acknowledged: {reports}; configuration acknowledged: {acked:?}; requests sent {sent}, served {served}"
    ));
    site.keep_logs(6);
    if running < 4 {
        return Outcome::NotRun;
    }
    if served == 0 { Outcome::Broken } else { Outcome::Held }
}
