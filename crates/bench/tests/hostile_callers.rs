//! Malformed, slow and forged requests are refused with an error, and the daemon keeps serving.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    time::Duration,
};

use bench::{
    process::{Daemon, DaemonSpec, Program},
    site::FLEET_KEY,
};

/// Returns the flag value with the BLAKE3 digest of the requests' key.
fn key_flag() -> String {
    format!("school-1={}", base::Digest::of(b"right-key"))
}

fn start() -> Daemon {
    start_with(&[])
}

fn start_with(flags: &[(&str, u64)]) -> Daemon {
    let program =
        Program { path: PathBuf::from(env!("CARGO_BIN_EXE_bench")), args: vec!["daemon".into()] };
    let mut spec = DaemonSpec::new("host-1", "a")
        .flag("--fleet-key", FLEET_KEY)
        .flag("--organisation-key", key_flag())
        .flag("--max-header-bytes", 8192)
        .flag("--max-body-bytes", 65536)
        .flag("--header-timeout", "300ms")
        .flag("--body-timeout", "300ms");
    for (flag, value) in flags {
        spec = spec.flag(flag, value);
    }
    let mut daemon = Daemon::start(&program, spec).unwrap();
    daemon.wait_ready(Duration::from_secs(10)).unwrap();
    daemon
}

/// Sends bytes and returns what the daemon sends until it closes the connection.
fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let _ = stream.write_all(bytes);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

fn post(path: &str, key: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {key}\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

fn head(extra: &str) -> String {
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: router\r\nauthorization: Bearer right-key\r\n{extra}"
    )
}

fn deep_json(levels: usize) -> String {
    format!("{{\"model\": \"m\", \"prompt\": {}{}}}", "[".repeat(levels), "]".repeat(levels))
}

fn assert_serving(address: SocketAddr) {
    let req = "GET /v1/models HTTP/1.1\r\nhost: router\r\nauthorization: Bearer right-key\r\n\
               connection: close\r\n\r\n";
    let response = exchange(address, req.as_bytes());
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

macro_rules! refused {
    ($($name:ident: $request:expr => $($expected:literal),+;)*) => {$(
        #[test]
        fn $name() {
            let daemon = start();
            let response = exchange(daemon.spec().listen, $request.as_ref());
            $(assert!(response.contains($expected), "{response:?}");)+
            assert!(!response.contains("HTTP/1.1 200"), "{response:?}");
            assert_serving(daemon.spec().listen);
        }
    )*};
}

const BODY: &str = "{\"model\": \"m\", \"prompt\": \"p\"}";

refused! {
    unknown_key: post("/v1/completions", "wrong-key", BODY) => "401", "not-run";
    missing_key: "POST /v1/completions HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\
                  content-length: 0\r\n\r\n" => "401", "not-run";
    unknown_model: post("/v1/completions", "right-key", BODY) => "404", "not-run", "model m";
    unknown_service: post("/services/none/x", "right-key", "{}") => "404", "not-run", "none";
    unknown_path: post("/v2", "right-key", "{}") => "404", "not-run";
    wrong_method: "DELETE /v1/models HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\r\n"
        => "405", "not-run";
    body_is_no_json: post("/v1/completions", "right-key", "{") => "400", "not-run", "line 1";
    body_is_no_object: post("/v1/completions", "right-key", "[]") => "400", "not-run";
    model_is_missing: post("/v1/completions", "right-key", "{\"prompt\": \"p\"}")
        => "400", "not-run", "model";
    prompt_is_missing: post("/v1/completions", "right-key", "{\"model\": \"m\"}")
        => "400", "not-run", "prompt";
    prompt_is_a_number: post("/v1/completions", "right-key", "{\"model\": \"m\", \"prompt\": 1}")
        => "400", "not-run", "prompt";
    messages_on_the_wrong_path:
        post(
            "/v1/completions",
            "right-key",
            "{\"model\": \"m\", \"messages\": [{\"role\": \"user\", \"content\": \"p\"}]}",
        ) => "400", "not-run", "/v1/chat/completions";
    deeply_nested_json: post("/v1/completions", "right-key", &deep_json(20_000))
        => "400", "not-run", "recursion";
    large_body: post("/v1/completions", "right-key", &"x".repeat(70_000)) => "413", "not-run";
    announcement_with_an_organisations_key: post("/announce", "right-key", "{}") => "401", "not-run";
    announcement_of_nothing: post("/announce", FLEET_KEY, "{}") => "400", "not-run", "missing field";
    two_different_lengths: head("content-length: 5\r\ncontent-length: 6\r\n\r\nhello!") => "400";
    negative_length: head("content-length: -5\r\n\r\nhello") => "400";
    length_is_no_number: head("content-length: 5x\r\n\r\nhello") => "400";
    endless_header: head(&format!("x-filler: {}", "x".repeat(100_000))) => "431";
    many_headers: head(&"x-filler: x\r\n".repeat(200)) => "431";
    slow_body: head("content-length: 10\r\n\r\nhello") => "408", "not-run";
}

/// Sends a body of 60,000 bytes after the refusal of its head, and another request after that.
fn exchange_after_refusal(address: SocketAddr, start: &str, key: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let head = format!(
        "{start} HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {key}\r\n\
         content-length: 60000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(200));
    let mut sent = Ok(());
    for _ in 0..15 {
        sent = sent.and_then(|()| stream.write_all(&[b'x'; 4_000]));
        std::thread::sleep(Duration::from_millis(10));
    }
    let next = "GET /v1/models HTTP/1.1\r\nhost: router\r\nauthorization: Bearer right-key\r\n\
                connection: close\r\n\r\n";
    sent = sent.and_then(|()| stream.write_all(next.as_bytes()));
    let mut responses = Vec::new();
    let read = stream.read_to_end(&mut responses);
    format!("{}\nsent: {sent:?}, read: {read:?}", String::from_utf8_lossy(&responses))
}

macro_rules! refusal_before_the_body_keeps_the_connection {
    ($($name:ident: $start:literal, $key:literal => $status:literal;)*) => {$(
        #[test]
        fn $name() {
            let daemon = start();
            let responses = exchange_after_refusal(daemon.spec().listen, $start, $key);
            assert!(responses.starts_with(concat!("HTTP/1.1 ", $status)), "{responses}");
            assert!(responses.contains("HTTP/1.1 200"), "{responses}");
        }
    )*};
}

refusal_before_the_body_keeps_the_connection! {
    key_refused_before_the_body: "POST /v1/completions", "wrong-key" => "401";
    service_key_refused_before_the_body: "POST /services/none/x", "wrong-key" => "401";
    path_refused_before_the_body: "POST /v2", "right-key" => "404";
    method_refused_before_the_body: "PUT /v1/models", "right-key" => "405";
    announcement_refused_before_the_body: "POST /announce", "right-key" => "401";
}

#[test]
fn content_length_with_chunked_encoding_smuggles_no_request() {
    let daemon = start();
    let smuggled = "GET /v1/models HTTP/1.1\r\nhost: r\r\nauthorization: Bearer right-key\r\n\r\n";
    let request = head(&format!(
        "content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{smuggled}"
    ));
    let response = exchange(daemon.spec().listen, request.as_bytes());
    assert!(!response.contains("\"object\":\"list\""), "{response:?}");
    assert_serving(daemon.spec().listen);
}

#[test]
fn slow_request_heads_are_closed_while_others_are_served() {
    const SLOW_CALLERS: usize = 200;
    let daemon = start();
    let address = daemon.spec().listen;
    let mut slow: Vec<_> = (0..SLOW_CALLERS)
        .map(|_| {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
            stream.write_all(b"POST /v1/completions HT").unwrap();
            stream
        })
        .collect();
    assert_serving(address);
    for stream in &mut slow {
        let mut response = Vec::new();
        stream.read_to_end(&mut response).unwrap();
        assert!(!response.starts_with(b"HTTP/1.1 200"));
    }
}

#[test]
fn body_cut_by_the_caller_is_not_run() {
    let daemon = start();
    let mut stream = TcpStream::connect(daemon.spec().listen).unwrap();
    stream.write_all(head("content-length: 100\r\n\r\n{\"model\"").as_bytes()).unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response);
    assert!(!response.contains("HTTP/1.1 200"), "{response:?}");
    assert_serving(daemon.spec().listen);
}

/// Connections of an address that `--max-connections 8` allows, three quarters of them.
const CONNECTIONS_PER_ADDRESS: usize = 6;

/// A caller that opens connections without end must not take those of others.
#[test]
fn connections_over_the_limit_are_closed() {
    let daemon = start_with(&[("--max-connections", 8)]);
    let address = daemon.spec().listen;
    let mut open: Vec<_> =
        (0..CONNECTIONS_PER_ADDRESS).map(|_| TcpStream::connect(address).unwrap()).collect();
    // A request waits for a first endpoint before it is answered, so each connection is in use.
    let request = post("/services/none/x", "right-key", "{}");
    open.iter_mut().for_each(|stream| stream.write_all(&request).unwrap());
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(exchange(address, b"GET /v1/models HTTP/1.1\r\nhost: r\r\n\r\n"), "");
    drop(open);
    std::thread::sleep(Duration::from_millis(200));
    assert_serving(address);
}

/// A caller that opens connections and sends nothing must not keep new ones out, nor exceed the limit.
#[test]
fn connection_over_the_limit_replaces_the_longest_idle_one() {
    let daemon = start_with(&[("--max-connections", 8)]);
    let address = daemon.spec().listen;
    let mut idle: Vec<_> =
        (0..CONNECTIONS_PER_ADDRESS).map(|_| TcpStream::connect(address).unwrap()).collect();
    assert_serving(address);
    let mut first = idle.remove(0);
    first.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    assert_eq!(first.read(&mut [0]).unwrap(), 0, "the first connection is closed");
    for mut stream in idle {
        stream.write_all(b"GET /v1/models HTTP/1.1\r\nhost: r\r\n\r\n").unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        assert_ne!(stream.read(&mut [0]).unwrap(), 0, "the others are open");
    }
}

/// An organisation that sends many requests at once must not take the place of others.
#[test]
fn organisation_requests_over_the_limit_are_refused() {
    let daemon = start_with(&[("--max-organisation-requests", 1)]);
    let address = daemon.spec().listen;
    let request = post("/services/none/x", "right-key", "{}");
    // A request waits for a first endpoint before it is answered.
    let mut first = TcpStream::connect(address).unwrap();
    first.write_all(&request).unwrap();
    std::thread::sleep(Duration::from_millis(50));
    let second = exchange(address, &request);
    assert!(second.starts_with("HTTP/1.1 429"), "{second}");
    assert!(second.contains("not-run"), "{second}");
}

#[test]
fn large_header_keeps_memory_bounded() {
    let daemon = start();
    let before = resident_kb(daemon.pid());
    let mut stream = TcpStream::connect(daemon.spec().listen).unwrap();
    stream.write_all(head("x-filler: ").as_bytes()).unwrap();
    let filler = vec![b'x'; 1 << 20];
    for _ in 0..32 {
        if stream.write_all(&filler).is_err() {
            break;
        }
    }
    assert_serving(daemon.spec().listen);
    let growth = resident_kb(daemon.pid()).saturating_sub(before);
    assert!(growth < 8 << 10, "memory grew by {growth} kB");
}

fn resident_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}
