//! A graceful shutdown cuts no request, and a second signal says what it cuts.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use bench::{
    caller::{CompletionSpec, block_on},
    process::{Program, wait_until},
    site::{Site, SiteSpec, organisation_key},
    stream::{CompletionStream, StreamEnd, check_complete},
};

const SOON: Duration = Duration::from_secs(5);

fn site(drain_notice: &str) -> Site {
    let spec = SiteSpec {
        daemons: vec!["a"],
        voters: 1,
        engines: vec!["a"],
        services: Vec::new(),
        flags: vec![("--drain-notice", drain_notice.to_owned())],
        ..SiteSpec::small()
    };
    Site::start(&Program::bench(env!("CARGO_BIN_EXE_bench")), spec).unwrap()
}

fn ask(site: &Site, tokens: u64) -> CompletionSpec {
    let organisation = &site.spec.organisations[0];
    CompletionSpec {
        key: organisation_key(organisation),
        model: site.spec.model.to_string(),
        prompt: format!("organisation {organisation}\nwho keeps the key"),
        tokens,
        chat: false,
    }
}

async fn open(site: &Site, ask: &CompletionSpec) -> CompletionStream {
    CompletionStream::open(site.routers()[0], ask, None).await.unwrap().stream().unwrap()
}

fn readiness(site: &Site) -> u16 {
    let url = format!("http://{}/readyz", site.daemons[0].spec().admin_listen);
    attohttpc::get(url).send().map_or(0, |response| response.status().as_u16())
}

/// A caller's connection that stays open between requests.
struct KeptOpen(TcpStream);

impl KeptOpen {
    fn connect(router: SocketAddr) -> Self {
        let stream = TcpStream::connect(router).unwrap();
        stream.set_read_timeout(Some(SOON)).unwrap();
        Self(stream)
    }

    /// Asks for the models and returns the answer's head and body.
    fn ask_models(&mut self, key: &str) -> String {
        let req =
            format!("GET /v1/models HTTP/1.1\r\nhost: r\r\nauthorization: Bearer {key}\r\n\r\n");
        self.0.write_all(req.as_bytes()).unwrap();
        let mut answer = Vec::new();
        let mut byte = [0];
        while !answer.ends_with(b"\"list\"}") && self.0.read(&mut byte).unwrap() != 0 {
            answer.extend(byte);
        }
        String::from_utf8(answer).unwrap()
    }

    fn is_closed(&mut self) -> bool {
        self.0.read(&mut [0]).unwrap() == 0
    }
}

#[test]
fn readiness_fails_first_and_running_streams_end_whole() {
    let mut site = site("500ms");
    let ask = ask(&site, 300);
    let router = site.routers()[0];
    let mut idle = KeptOpen::connect(router);
    assert!(idle.ask_models(&ask.key).starts_with("HTTP/1.1 200"));
    block_on(async {
        let mut before = open(&site, &ask).await;
        before.read_tokens(3).await.unwrap();
        site.daemons[0].terminate().unwrap();
        wait_until("readiness fails", SOON, || readiness(&site) == 503).unwrap();
        // Accepting goes on until the balancer has had its notice.
        let mut during = open(&site, &ask).await;
        let answer = KeptOpen::connect(router).ask_models(&ask.key);
        assert!(answer.to_lowercase().contains("connection: close"), "{answer}");
        assert!(idle.is_closed());
        wait_until("connections are refused", SOON, || TcpStream::connect(router).is_err())
            .unwrap();
        for stream in [&mut before, &mut during] {
            assert_eq!(stream.finish().await.unwrap(), StreamEnd::Done);
            check_complete(&ask, &[stream]).unwrap();
        }
    });
    assert_eq!(site.daemons[0].wait_exit(SOON).unwrap().code(), Some(0));
}

#[test]
fn request_sent_as_accepting_ends_is_served() {
    let mut site = site("1ms");
    let ask = ask(&site, 100);
    let router = site.routers()[0];
    let mut idle: Vec<_> = (0..20).map(|_| KeptOpen::connect(router)).collect();
    for connection in &mut idle {
        assert!(connection.ask_models(&ask.key).starts_with("HTTP/1.1 200"));
    }
    // Frozen, the daemon gets the signal and the requests in the same moment.
    site.daemons[0].freeze().unwrap();
    site.daemons[0].terminate().unwrap();
    let waiting: Vec<_> = (0..20).map(|_| KeptOpen::connect(router)).collect();
    idle.extend(waiting);
    let readers: Vec<_> = idle
        .into_iter()
        .map(|mut connection| {
            let key = ask.key.clone();
            std::thread::spawn(move || connection.ask_models(&key))
        })
        .collect();
    // The requests lie in the sockets once all are written; reading begins after that.
    std::thread::sleep(Duration::from_millis(100));
    site.daemons[0].thaw().unwrap();
    for reader in readers {
        let answer = reader.join().unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    }
    assert_eq!(site.daemons[0].wait_exit(SOON).unwrap().code(), Some(0));
}

#[test]
fn request_on_an_idle_connection_right_after_accepting_ended_is_served() {
    let mut site = site("1ms");
    let key = ask(&site, 1).key;
    let router = site.routers()[0];
    let mut idle = KeptOpen::connect(router);
    assert!(idle.ask_models(&key).starts_with("HTTP/1.1 200"));
    site.daemons[0].terminate().unwrap();
    wait_until("connections are refused", SOON, || TcpStream::connect(router).is_err()).unwrap();
    let answer = idle.ask_models(&key);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    assert!(answer.to_lowercase().contains("connection: close"), "{answer}");
    assert_eq!(site.daemons[0].wait_exit(SOON).unwrap().code(), Some(0));
}

#[test]
fn second_signal_ends_at_once_and_tells_what_was_cut() {
    let mut site = site("100ms");
    let ask = ask(&site, 100_000);
    block_on(async {
        let mut stream = open(&site, &ask).await;
        stream.read_tokens(3).await.unwrap();
        site.daemons[0].terminate().unwrap();
        wait_until("readiness fails", SOON, || readiness(&site) == 503).unwrap();
        site.daemons[0].terminate().unwrap();
        assert!(stream.finish().await.is_err());
    });
    assert_eq!(site.daemons[0].wait_exit(SOON).unwrap().code(), Some(3));
    let log = site.daemons[0].log().unwrap();
    assert!(log.contains("request cut") && log.contains("/v1/completions"), "{log}");
}
