//! A graceful shutdown cuts no request, and a second signal logs the requests that it cuts.

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

const WAIT_TIMEOUT: Duration = Duration::from_secs(5);

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

fn completion(site: &Site, tokens: u64) -> CompletionSpec {
    let organisation = &site.spec.organisations[0];
    CompletionSpec {
        key: organisation_key(organisation),
        model: site.spec.model.to_string(),
        prompt: format!("organisation {organisation}\nwho keeps the key"),
        tokens,
        chat: false,
    }
}

async fn open(site: &Site, request: &CompletionSpec) -> CompletionStream {
    CompletionStream::open(site.routers()[0], request, None).await.unwrap().stream().unwrap()
}

fn readiness(site: &Site) -> u16 {
    let url = format!("http://{}/readyz", site.daemons[0].spec().admin_listen);
    attohttpc::get(url).send().map_or(0, |response| response.status().as_u16())
}

/// A caller's keep-alive connection.
struct KeepAliveConnection(TcpStream);

impl KeepAliveConnection {
    fn connect(router: SocketAddr) -> Self {
        let stream = TcpStream::connect(router).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Self(stream)
    }

    /// Requests the models and returns the response's head and body.
    fn list_models(&mut self, key: &str) -> String {
        let req =
            format!("GET /v1/models HTTP/1.1\r\nhost: r\r\nauthorization: Bearer {key}\r\n\r\n");
        self.0.write_all(req.as_bytes()).unwrap();
        let mut response = Vec::new();
        let mut byte = [0];
        while !response.ends_with(b"\"list\"}") && self.0.read(&mut byte).unwrap() != 0 {
            response.extend(byte);
        }
        String::from_utf8(response).unwrap()
    }

    fn is_closed(&mut self) -> bool {
        self.0.read(&mut [0]).unwrap() == 0
    }
}

#[test]
fn readiness_fails_first_and_running_streams_complete() {
    let mut site = site("500ms");
    let request = completion(&site, 300);
    let router = site.routers()[0];
    let mut idle = KeepAliveConnection::connect(router);
    assert!(idle.list_models(&request.key).starts_with("HTTP/1.1 200"));
    block_on(async {
        let mut before = open(&site, &request).await;
        before.read_tokens(3).await.unwrap();
        site.daemons[0].terminate().unwrap();
        wait_until("readiness fails", WAIT_TIMEOUT, || readiness(&site) == 503).unwrap();
        // Connections are accepted until the drain notice of the load balancer has passed.
        let mut during = open(&site, &request).await;
        let response = KeepAliveConnection::connect(router).list_models(&request.key);
        assert!(response.to_lowercase().contains("connection: close"), "{response}");
        assert!(idle.is_closed());
        wait_until("connections are refused", WAIT_TIMEOUT, || TcpStream::connect(router).is_err())
            .unwrap();
        for stream in [&mut before, &mut during] {
            assert_eq!(stream.finish().await.unwrap(), StreamEnd::Done);
            check_complete(&request, &[stream]).unwrap();
        }
    });
    assert_eq!(site.daemons[0].wait_exit(WAIT_TIMEOUT).unwrap().code(), Some(0));
}

#[test]
fn request_sent_as_the_listener_closes_is_served() {
    let mut site = site("1ms");
    let request = completion(&site, 100);
    let router = site.routers()[0];
    let mut idle: Vec<_> = (0..20).map(|_| KeepAliveConnection::connect(router)).collect();
    for connection in &mut idle {
        assert!(connection.list_models(&request.key).starts_with("HTTP/1.1 200"));
    }
    // While frozen, the daemon gets the signal and the requests; it sees both at once when thawed.
    site.daemons[0].freeze().unwrap();
    site.daemons[0].terminate().unwrap();
    let waiting: Vec<_> = (0..20).map(|_| KeepAliveConnection::connect(router)).collect();
    idle.extend(waiting);
    let readers: Vec<_> = idle
        .into_iter()
        .map(|mut connection| {
            let key = request.key.clone();
            std::thread::spawn(move || connection.list_models(&key))
        })
        .collect();
    // Gives the threads time to write all requests before the daemon reads them.
    std::thread::sleep(Duration::from_millis(100));
    site.daemons[0].thaw().unwrap();
    for reader in readers {
        let response = reader.join().unwrap();
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    }
    assert_eq!(site.daemons[0].wait_exit(WAIT_TIMEOUT).unwrap().code(), Some(0));
}

#[test]
fn request_on_an_idle_connection_right_after_the_listener_closed_is_served() {
    let mut site = site("1ms");
    let key = completion(&site, 1).key;
    let router = site.routers()[0];
    let mut idle = KeepAliveConnection::connect(router);
    assert!(idle.list_models(&key).starts_with("HTTP/1.1 200"));
    site.daemons[0].terminate().unwrap();
    wait_until("connections are refused", WAIT_TIMEOUT, || TcpStream::connect(router).is_err())
        .unwrap();
    let response = idle.list_models(&key);
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    assert!(response.to_lowercase().contains("connection: close"), "{response}");
    assert_eq!(site.daemons[0].wait_exit(WAIT_TIMEOUT).unwrap().code(), Some(0));
}

#[test]
fn second_signal_exits_at_once_and_logs_the_requests_cut() {
    let mut site = site("100ms");
    let request = completion(&site, 100_000);
    block_on(async {
        let mut stream = open(&site, &request).await;
        stream.read_tokens(3).await.unwrap();
        site.daemons[0].terminate().unwrap();
        wait_until("readiness fails", WAIT_TIMEOUT, || readiness(&site) == 503).unwrap();
        site.daemons[0].terminate().unwrap();
        assert!(stream.finish().await.is_err());
    });
    assert_eq!(site.daemons[0].wait_exit(WAIT_TIMEOUT).unwrap().code(), Some(3));
    let log = site.daemons[0].log().unwrap();
    assert!(log.contains("request cut") && log.contains("/v1/completions"), "{log}");
}
