use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use base::Digest;
use bench::{
    process::{Daemon, DaemonSpec},
    site::{FLEET_KEY, OPERATOR_KEY},
};

use crate::tool::{program, run_at};

fn start(flags: &[(&str, String)]) -> Daemon {
    let spec = DaemonSpec::new("host-1", "a").flag("--fleet-key", FLEET_KEY);
    let spec = flags.iter().fold(spec, |spec, (name, value)| spec.flag(name, value));
    let mut daemon = Daemon::start(&program(), spec).unwrap();
    daemon.wait_ready(Duration::from_secs(10)).unwrap();
    daemon
}

fn start_with_key() -> Daemon {
    start(&[("--operator-key", Digest::of(OPERATOR_KEY.as_bytes()).to_string())])
}

fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

fn request(line: &str, key: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{line} HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {key}\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

macro_rules! refused {
    ($($name:ident: $request:expr => $($expected:literal),+;)*) => {$(
        #[test]
        fn $name() {
            let daemon = start_with_key();
            let response = exchange(daemon.spec().admin_listen, &$request);
            assert!(response.contains("application/problem+json"), "{response:?}");
            assert!(response.contains("not-run"), "{response:?}");
            $(assert!(response.contains($expected), "{response:?}");)+
        }
    )*};
}

refused! {
    wrong_key: request("GET /operator/status", "wrong", "") => "401";
    no_key: "GET /operator/status HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\r\n" => "401";
    unknown_page: request("GET /operator/none", OPERATOR_KEY, "") => "404";
    unknown_page_without_the_prefix: request("GET /none", OPERATOR_KEY, "") => "404";
    wrong_method: request("DELETE /operator/declaration", OPERATOR_KEY, "") => "405", "GET, POST";
    change_is_no_json: request("POST /operator/declaration", OPERATOR_KEY, "{") => "400", "line 1";
    change_with_an_unknown_field:
        request("POST /operator/declaration", OPERATOR_KEY, "{\"force\": true}") => "400", "force";
    long_resolution:
        request("POST /operator/calls/a/b/resolve", OPERATOR_KEY, &"x".repeat(70_000)) => "413";
    call_without_a_key: request("GET /operator/calls/a", OPERATOR_KEY, "") => "404";
    voter_change_without_a_reason:
        request(
            "POST /operator/voters",
            OPERATOR_KEY,
            "{\"change\": {\"remove\": {\"host\": \"h\"}}, \"author\": \"a\", \"reason\": \" \"}",
        ) => "422", "reason";
    change_without_a_quorum:
        request(
            "POST /operator/declaration",
            OPERATOR_KEY,
            "{\"id\": \"c\", \"expected\": 0, \"author\": \"a\", \"reason\": \"r\", \"toml\": \"\"}",
        ) => "503", "no leader";
}

#[test]
fn without_an_operator_key_only_the_public_pages_are_served() {
    let daemon = start(&[]);
    let admin = daemon.spec().admin_listen;
    let closed = exchange(admin, &request("GET /operator/status", OPERATOR_KEY, ""));
    assert!(closed.starts_with("HTTP/1.1 403") && closed.contains("--operator-key"), "{closed:?}");
    for page in ["/healthz", "/readyz", "/metrics"] {
        let open = exchange(admin, &request(&format!("GET {page}"), "any", ""));
        assert!(open.starts_with("HTTP/1.1 200"), "{open:?}");
    }
}

#[test]
fn tool_without_a_quorum_exits_with_the_code_for_not_run() {
    let daemon = start_with_key();
    let set = ["defaults", "set", "wait-weight", "2.5", "--yes", "--reason", "a test"];
    let run = run_at(&[daemon.spec().admin_listen], &set);
    assert_eq!(run.code, Some(3), "{run:?}");
}

#[test]
fn metrics_show_revision_and_role_from_the_start() {
    let daemon = start_with_key();
    let page = exchange(daemon.spec().admin_listen, &request("GET /metrics", "any", ""));
    for name in ["dotterelreach_configuration_revision", "dotterelreach_quorum_role"] {
        assert!(page.contains(name), "{name}: {page}");
    }
}
